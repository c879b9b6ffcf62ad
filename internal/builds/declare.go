package builds

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file tells the origin of streams that are not logged and for which the oldest plan names a build that has left the newest
// one. From the first change of a plan on, until no earlier plan counts any more (a sequence), each box declares in a row of
// the log at which builds its streams begin that are not logged. It begins no such stream elsewhere. So a stream that
// neither the log nor the oldest plan tells began at the only build that is declared, if there is just one and all boxes have
// declared theirs. Before a sequence nothing is declared: the plan that begins it lists the boxes that serve.

// declaration is the value of a row. Its key names the group, the box, the box's start and the write.
type declaration struct {
	Box string `json:"box"`
	// Sequence is the number of the plan that began the sequence. Declarations of others do not count.
	Sequence int64      `json:"sequence"`
	Builds   []declared `json:"builds,omitempty"`
	// Term bounds for how long callers may take up a stream that begins at a build without Until, in milliseconds.
	Term    int64 `json:"term_ms"`
	Expires int64 `json:"expires_ms"` // Unix milliseconds.
}

// declared is a build at which streams of a box begin that are not logged. If Until is not 0, none begins there any more, and
// callers may take up those that have until then.
type declared struct {
	Build string `json:"build"`
	Until int64  `json:"until_ms,omitempty"` // Unix milliseconds.
}

// open reports whether streams begin at a build that are not logged, for callers that come back for the given time.
func (d *declaration) open(build string, term time.Duration) bool {
	return term.Milliseconds() <= d.Term && slices.Contains(d.Builds, declared{Build: build})
}

// same reports whether two declarations name the same builds, open or not, for the same term.
func (d *declaration) same(o *declaration) bool {
	return d.Term == o.Term && slices.EqualFunc(d.Builds, o.Builds, func(a, b declared) bool { return a.Build == b.Build && (a.Until == 0) == (b.Until == 0) })
}

const (
	// declarationPrefix is after all keys of streams and boxes.
	declarationPrefix = "~"
	// A declaration is written again after declarationRetention/2, and removed after declarationRetention if its box is gone.
	declarationRetention = time.Hour
	// A write removes at most maxOlderRows earlier declarations of the box.
	maxOlderRows = 20
	// declareInterval is how often a box compares what it has declared with what it should.
	declareInterval = 250 * time.Millisecond
	// The term of a declaration is a multiple of termUnit, and returnTime if no stream has begun yet.
	termUnit = 2 * time.Second
)

// declaring is what a box has declared for a group. Planner.mu protects it.
type declaring struct {
	// sequence is the one that the other fields are about. predates is set if this box had a plan before the sequence began.
	sequence int64
	predates bool
	// sent are the rows that the store may have, by their keys. Each removes those before it, so a build is declared for sure if
	// all have it. acked is the last one that the store has confirmed.
	sent   map[string]*declaration
	acked  string
	writes int
	sentAt time.Time
	// unlogged are the streams that are not logged and that callers may take up. They outlive sequences.
	unlogged map[origins.Key]unloggedStream
	pruned   time.Time
	// inherited is the same for the streams of earlier processes of this box. It is known once readOwn is set.
	inherited map[string]time.Time
	readOwn   bool
	readAt    time.Time
	// due is set once a stream has begun in the sequence that is not logged.
	due bool
	// older are the keys of rows that the next write removes.
	older []string
	term  time.Duration
	// fallback is the build at which streams begin that should be logged, if neither the log nor the oldest plan's build can be
	// used.
	fallback string
}

func (p *Planner) declaringOf(g Group) *declaring {
	d := p.declarations[g]
	if d == nil {
		d = &declaring{sent: map[string]*declaration{}, unlogged: map[origins.Key]unloggedStream{}}
		p.declarations[g] = d
	}
	return d
}

// follow has the declarations be about a plan's sequence. p.mu is held.
func (d *declaring) follow(before, plan *Plan) {
	if d.sequence == plan.Sequence {
		return
	}
	for key := range d.sent {
		d.older = append(d.older, key)
	}
	d.sequence, d.predates = plan.Sequence, before != nil
	d.sent, d.acked, d.readOwn, d.inherited = map[string]*declaration{}, "", false, nil
	d.due = false
}

// mayBeginUnlogged reports whether a stream may begin at a build without being logged, and notes that it does.
func (p *Planner) mayBeginUnlogged(plan *Plan, k origins.Key, build string, now, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.declaringOf(plan.Group)
	term := until.Sub(now)
	if plan.inSequence(now) {
		if d.sequence != plan.Sequence {
			return false
		}
		for _, row := range d.sent {
			if !row.open(build, term) {
				return false
			}
		}
		// Without a row of this box, no stream is told that only declarations tell. An earlier process may have left one.
		if d.acked == "" && !(d.predates && slices.Contains(plan.Undeclared, p.o.Box)) {
			return false
		}
	}
	if plan.inSequence(now) && len(d.sent) == 0 {
		d.due = true
		p.wakeDeclare()
	}
	if end := clock.Now().Add(term); d.unlogged[k].build != build || end.After(d.unlogged[k].until) {
		d.unlogged[k] = unloggedStream{build, end}
	}
	return true
}

// unloggedStream is a stream that has begun at a build and is not logged, with the time until which its caller may take it up.
type unloggedStream struct {
	build string
	until time.Time
}

// Withdraw is called if a stream has not begun after all.
func (p *Planner) Withdraw(g Group, k origins.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.declaringOf(g).unlogged, k)
}

// last returns until when callers may take up streams that are not logged, by build.
func (d *declaring) last() map[string]time.Time {
	out := map[string]time.Time{}
	for _, s := range d.unlogged {
		if s.until.After(out[s.build]) {
			out[s.build] = s.until
		}
	}
	return out
}

// prune forgets streams that callers can't take up any more.
func (d *declaring) prune(now time.Time) {
	if now.Sub(d.pruned) < termUnit {
		return
	}
	d.pruned = now
	maps.DeleteFunc(d.unlogged, func(_ origins.Key, s unloggedStream) bool { return now.Sub(s.until) > termUnit })
}

// noteTerm records for how long a caller may come back.
func (p *Planner) noteTerm(g Group, term time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.declaringOf(g)
	d.prune(clock.Now())
	if term > d.term {
		d.term = min(returnTime, (term+termUnit-1)/termUnit*termUnit)
		p.wakeDeclare()
	}
}

// fallbackBuild returns the build at which streams begin that can't be logged; empty if there is none.
func (p *Planner) fallbackBuild(plan *Plan) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.declaringOf(plan.Group); d.sequence == plan.Sequence && plan.Sequence != 0 {
		return d.fallback
	}
	return ""
}

// wanted returns the builds at which streams may begin that are not logged. p.mu is held.
func (p *Planner) wanted(g Group, plan *Plan, d *declaring) []string {
	now := p.o.Now()
	serving := p.serving[g]
	list := plan.candidates(now.Add(-clockSlack))
	out := map[string]bool{}
	for _, s := range plan.Shares {
		if !slices.ContainsFunc(list, func(c Shares) bool { return !c.has(s.Build) }) {
			out[s.Build] = true // All plans name it for some streams.
		}
		if list[0].has(s.Build) || plan.candidates(now)[0].has(s.Build) {
			out[s.Build] = true
		}
	}
	if !plan.Shares.has(d.fallback) || !serving.has(d.fallback) {
		most := Share{}
		for _, s := range plan.Shares {
			if serving.has(s.Build) && s.Weight > most.Weight {
				most = s
			}
		}
		if most.Build != "" {
			d.fallback = most.Build
		}
	}
	if len(out) == 0 && d.fallback != "" {
		out[d.fallback] = true
	}
	return slices.Sorted(maps.Keys(out))
}

// nextDeclaration returns the declaration that a box should have made; nil if it has. A shorter term is not worth a write alone. p.mu
// is held.
func (p *Planner) nextDeclaration(g Group, plan *Plan, d *declaring, alone bool) *declaration {
	now, wall := clock.Now(), p.o.Now()
	row := &declaration{Box: p.o.Box, Sequence: plan.Sequence, Term: d.term.Milliseconds()}
	if d.term == 0 {
		row.Term = returnTime.Milliseconds()
	}
	open := p.wanted(g, plan, d)
	for _, b := range open {
		row.Builds = append(row.Builds, declared{Build: b})
	}
	ends := d.last()
	for b, at := range d.inherited {
		if at.After(ends[b]) {
			ends[b] = at
		}
	}
	for _, b := range slices.Sorted(maps.Keys(ends)) {
		if left := ends[b].Sub(now); left > -time.Second && !slices.Contains(open, b) {
			row.Builds = append(row.Builds, declared{b, wall.Add(left + time.Second).UnixMilli()})
		}
	}
	if old := d.sent[d.acked]; old != nil && len(d.sent) == 1 && now.Sub(d.sentAt) < declarationRetention/2 {
		if alone {
			row.Term = max(row.Term, old.Term)
		}
		if old.same(row) {
			return nil
		}
	}
	row.Expires = wall.Add(declarationRetention).UnixMilli()
	return row
}

func (p *Planner) wakeDeclare() {
	select {
	case p.declareNow <- struct{}{}:
	default:
	}
}

// runDeclarations declares until ctx is done.
func (p *Planner) runDeclarations(ctx context.Context) {
	tick := time.NewTicker(declareInterval)
	defer tick.Stop()
	for {
		for _, plan := range p.Plans() {
			if plan.Sequence != 0 {
				if err := p.declare(ctx, &plan); err != nil && ctx.Err() == nil {
					p.o.Failed("builds of streams that are not logged not declared", err)
				}
			}
		}
		select {
		case <-p.declareNow:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// dueDeclaration is a declaration that is about to be written.
type dueDeclaration struct {
	d        *declaring
	sequence int64
	key      string
	row      *declaration
	remove   []string
}

// startDeclaration returns the declaration that has to be written now, alone or with other rows; nil if there is none. p.mu is held.
func (p *Planner) startDeclaration(plan *Plan, alone bool) *dueDeclaration {
	g := plan.Group
	d := p.declaringOf(g)
	if !plan.inSequence(p.o.Now()) || d.sequence != plan.Sequence || !d.readOwn || len(d.sent) > 0 && d.sent[d.acked] == nil && clock.Since(d.sentAt) < logRetryDelay || len(d.sent) > 1 && clock.Since(d.sentAt) < logRetryDelay {
		return nil
	}
	if p.log.refused && d.acked != "" {
		return nil // What is declared stays so until the store takes writes.
	}
	row := p.nextDeclaration(g, plan, d, alone)
	if row == nil {
		return nil
	}
	key := ""
	for k, old := range d.sent {
		if k != d.acked && old.same(row) {
			key = k
		}
	}
	if key == "" {
		d.writes++
		key = declarationKey(g, p.o.Box, p.started, d.writes)
	}
	due := &dueDeclaration{d: d, sequence: plan.Sequence, key: key, row: row, remove: slices.Clone(d.older)}
	for old := range d.sent {
		if old != key {
			due.remove = append(due.remove, old)
		}
	}
	if n := len(due.remove) - maxOlderRows; n > 0 {
		due.remove = due.remove[n:]
	}
	d.sent[due.key], d.sentAt = row, clock.Now()
	return due
}

// endDeclaration records how a write of a declaration ended. p.mu is held.
func (due *dueDeclaration) endDeclaration(err error) {
	d := due.d
	switch {
	case d.sequence != due.sequence:
		d.older = append(d.older, due.key)
	case err == nil && due.key >= d.acked:
		d.older, d.acked = due.remove, due.key
		// Earlier rows that are applied late only add builds. Keys sort like the writes.
		maps.DeleteFunc(d.sent, func(key string, _ *declaration) bool { return key < due.key })
	}
}

// declare writes the declaration of a group if it has changed. While all builds of the earlier plans serve, the first one waits
// for a write of the log, or for a stream that is not logged.
func (p *Planner) declare(ctx context.Context, plan *Plan) error {
	p.mu.Lock()
	d := p.declaringOf(plan.Group)
	if d.sequence != plan.Sequence || !plan.inSequence(p.o.Now()) {
		p.mu.Unlock()
		return nil
	}
	if d.predates && !d.readOwn {
		p.inheritUndeclared(plan, d, plan.candidates(p.o.Now().Add(-clockSlack))[:1])
	}
	readOwn := d.readOwn
	if !readOwn && clock.Since(d.readAt) < logRetryDelay {
		p.mu.Unlock()
		return nil
	}
	d.readAt = clock.Now()
	p.mu.Unlock()
	if !readOwn {
		if err := p.inherit(ctx, plan); err != nil {
			return err
		}
	}
	p.mu.Lock()
	if d.predates && len(d.sent) == 0 && !d.due && slices.Contains(plan.Undeclared, p.o.Box) {
		// All boxes have to declare at the same moment: they take turns at the rate of the log.
		boxes := max(1, p.o.Boxes.Count(plan.Region))
		turn := time.Duration(float64(xxhash.Sum64String(p.o.Box)%uint64(boxes)) / logRate * float64(time.Second))
		if !plan.lacksEarlier(p.o.Now()) || clock.Since(p.changedAt[plan.Group]) < turn {
			p.mu.Unlock()
			return nil
		}
	}
	due := p.startDeclaration(plan, true)
	p.mu.Unlock()
	if due == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	value, _ := json.Marshal(due.row) // Strings and numbers always encode.
	err := p.o.Log.Write(ctx, map[string][]byte{due.key: value}, due.remove)
	p.mu.Lock()
	defer p.mu.Unlock()
	due.endDeclaration(err)
	return err
}

// inSequence reports whether boxes declare.
func (p *Plan) inSequence(now time.Time) bool {
	return p.Sequence != 0 && len(p.candidates(now.Add(-clockSlack))) > 1
}

// lacksEarlier reports whether a build of an earlier plan has left.
func (p *Plan) lacksEarlier(now time.Time) bool {
	return slices.ContainsFunc(p.candidates(now.Add(-clockSlack)), func(c Shares) bool {
		return slices.ContainsFunc(c, func(s Share) bool { return !p.Shares.has(s.Build) })
	})
}

// inheritUndeclared has this box answer for streams of an earlier process of this box that declared nothing. p.mu is held.
func (p *Planner) inheritUndeclared(plan *Plan, d *declaring, list []Shares) {
	if d.inherited == nil {
		d.inherited = map[string]time.Time{}
	}
	if end := p.startedAt.Add(returnTime); !p.startedBeforePlans(plan.Group) && end.After(clock.Now()) {
		for _, shares := range list {
			for _, s := range shares {
				if end.After(d.inherited[s.Build]) {
					d.inherited[s.Build] = end
				}
			}
		}
	}
	d.readOwn = true
}

func declarationsOf(g Group) string {
	return declarationPrefix + strconv.FormatUint(xxhash.Sum64String(g.Service+"\x00"+g.Region), 36) + "."
}

func declarationKey(g Group, box string, started time.Time, write int) string {
	return declarationsOf(g) + box + "." + strconv.FormatInt(started.UnixMicro(), 36) + "." + strconv.Itoa(1000000+write)
}

var errUnreadableDeclaration = errors.New("the row of a declaration can't be read")

// readDeclarations reads the declarations with a prefix.
func (p *Planner) readDeclarations(ctx context.Context, prefix string) (map[string]*declaration, error) {
	out := map[string]*declaration{}
	for from := prefix; ; {
		rows, err := p.o.Log.ReadSome(ctx, from)
		if err != nil {
			return nil, err
		}
		last := ""
		for key, value := range rows {
			if last = max(last, key); !strings.HasPrefix(key, prefix) {
				continue
			}
			row := &declaration{}
			if json.Unmarshal(value, row) != nil || row.Box == "" || slices.ContainsFunc(row.Builds, func(b declared) bool { return b.Build == "" }) {
				return nil, errUnreadableDeclaration
			}
			out[key] = row
		}
		if last == "" || !strings.HasPrefix(last, prefix) {
			return out, nil
		}
		from = last + "\x00"
	}
}

// inherit reads what earlier processes of this box have declared.
func (p *Planner) inherit(ctx context.Context, plan *Plan) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := p.readDeclarations(ctx, declarationsOf(plan.Group)+p.o.Box+".")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.declaringOf(plan.Group)
	if d.sequence != plan.Sequence {
		return nil
	}
	now, wall := clock.Now(), p.o.Now()
	d.inherited = map[string]time.Time{}
	keep := func(build string, until time.Time) {
		if until.After(d.inherited[build]) {
			d.inherited[build] = until
		}
	}
	found := false
	for key, row := range rows {
		if row.Box != p.o.Box { // Its name begins like this box's.
			continue
		}
		d.older = append(d.older, key)
		if row.Sequence != plan.Sequence {
			continue
		}
		found = true
		for _, b := range row.Builds {
			end := p.startedAt.Add(time.Duration(row.Term) * time.Millisecond)
			if b.Until != 0 {
				if left := time.UnixMilli(b.Until).Sub(wall); now.Add(left).Before(end) { // By the clock of the same box.
					end = now.Add(left)
				}
			}
			keep(b.Build, end)
		}
	}
	if !found {
		p.inheritUndeclared(plan, d, plan.candidates(wall.Add(-clockSlack)))
	}
	d.readOwn = true
	return nil
}

// startedBeforePlans reports whether this box was there before the first plan of a group. p.mu is held.
func (p *Planner) startedBeforePlans(g Group) bool {
	return p.read && !p.plannedAtStart[g.rowKey()]
}

// declaredBuild returns the only build at which a stream can have begun that neither the log nor the oldest plan tells; empty if
// there are several, or not all boxes have declared theirs. It reads the declarations after the call.
func (p *Planner) declaredBuild(ctx context.Context, plan *Plan) (string, error) {
	now := p.o.Now()
	if plan.Sequence == 0 || plan.UnknownUntil > now.Add(-clockSlack).UnixMilli() || plan.LogLostUntil > now.Add(-clockSlack).UnixMilli() || plan.Era < p.o.Era() {
		return "", nil
	}
	rows, err := p.readDeclarations(ctx, declarationsOf(plan.Group))
	if err != nil {
		return "", err
	}
	var builds, boxes []string
	for _, row := range rows {
		if row.Sequence != plan.Sequence {
			continue
		}
		boxes = append(boxes, row.Box)
		for _, b := range row.Builds {
			if b.Until == 0 || b.Until > now.Add(-clockSlack).UnixMilli() {
				builds = append(builds, b.Build)
			}
		}
	}
	must := append(p.o.Boxes.Names(), plan.Undeclared...)
	if slices.ContainsFunc(must, func(box string) bool { return !slices.Contains(boxes, box) }) {
		return "", nil
	}
	slices.Sort(builds)
	if builds = slices.Compact(builds); len(builds) == 1 && plan.Shares.has(builds[0]) {
		return builds[0], nil
	}
	return "", nil
}

// noteBoxes records which boxes there are. p.mu is held.
func (p *Planner) noteBoxes(now time.Time) {
	if p.o.Boxes.Isolated() || now.Sub(p.checkedAt) > stallTime && !p.checkedAt.IsZero() || p.o.Age != nil && p.o.Age() > newsTime {
		p.boxesKnownSince = now
	}
	for _, name := range p.o.Boxes.Names() {
		p.boxSeenAt[name] = now
	}
	maps.DeleteFunc(p.boxSeenAt, func(_ string, at time.Time) bool { return now.Sub(at) > returnTime })
}

// setSequence says in a plan which boxes have to declare, if it is the first of a sequence. p.mu is held.
func (p *Planner) setSequence(next *Plan, plans ...*Plan) {
	latest := latestOf(plans)
	switch {
	case latest == nil:
		return
	case latest.Era != next.Era || slices.ContainsFunc(plans, func(o *Plan) bool { return o != nil && o.Sequence != latest.Sequence && o.Number >= latest.Number }):
		return
	case len(latest.candidates(p.o.Now().Add(-clockSlack))) > 1:
		next.Sequence, next.Undeclared, next.UnknownUntil = latest.Sequence, latest.Undeclared, latest.UnknownUntil
		return
	}
	next.Sequence = next.Number
	next.Undeclared = slices.Sorted(maps.Keys(p.boxSeenAt))
	if !slices.Contains(next.Undeclared, p.o.Box) { // Who the other boxes are is not known.
		next.Sequence, next.Undeclared = 0, nil
		return
	}
	if now := clock.Now(); now.Sub(p.boxesKnownSince) < returnTime && !(p.boxesKnownSince.Equal(p.startedAt) && p.startedBeforePlans(next.Group)) {
		next.UnknownUntil = p.o.Now().Add(returnTime).UnixMilli()
	}
}

// declarationEnded reports whether a declaration counts no more: it has expired, or its sequence is over.
func (p *Planner) declarationEnded(key string, value []byte, now time.Time) bool {
	var row declaration
	if json.Unmarshal(value, &row) != nil || row.Expires < now.Add(-clockSlack).UnixMilli() {
		return true
	}
	if p.o.Age != nil && p.o.Age() > newsTime {
		return false // The plan that this box has may be old.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for g, plan := range p.plans {
		if strings.HasPrefix(key, declarationsOf(g)) {
			return row.Sequence < plan.Sequence || row.Sequence == plan.Sequence && !plan.inSequence(now.Add(-2*clockSlack))
		}
	}
	return false
}
