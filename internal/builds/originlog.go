package builds

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file keeps the origins of streams that the plans don't tell. There are two kinds: a stream for which a plan that was
// replaced lately names another build; and all streams of several builds while some may have begun without a plan. The store
// has such an origin before the caller has a byte of the stream. No box follows these rows: a box reads one when it is asked to
// go on with a stream that no box knows.
//
// So if all streams began as planned, a stream that is not in the log began at the build that the oldest plan names under
// which it may have begun: each later plan that names another build had it logged, or it began where the oldest plan says.
// That needs to know of each write whether it can still take effect. While the store takes no writes, none are made for new
// streams; a row of this box is written now and then to find out when it takes them again.

// Log is the table of the platform's store that has the logged origins.
type Log interface {
	// Write sets the rows in put and removes the rows with the keys in remove, in one transaction.
	Write(ctx context.Context, put map[string][]byte, remove []string) error
	// Read returns a row; nil if there is none.
	Read(ctx context.Context, key string) ([]byte, error)
	// ReadSome returns some rows, the first ones from a key on.
	ReadSome(ctx context.Context, from string) (map[string][]byte, error)
}

const (
	// maxRowsPerWrite bounds the rows in a write.
	maxRowsPerWrite = 100
	// All boxes together make at most logRate writes a second. Each may make logBurst at once.
	logRate  = 150.0
	logBurst = 8.0
	// logWait bounds the wait of a caller for the store.
	logWait = 250 * time.Millisecond
	// logRetryDelay is the pause after a failed write.
	logRetryDelay = 500 * time.Millisecond
	// logRetention is for how much longer a row is kept than its caller may come back. A caller that takes the stream up may
	// name a new deadline. Without the row, the plans that counted as the stream began would tell another build.
	logRetention = returnTime
	// One box removes the expired rows of all boxes each sweepInterval, or each idleSweepInterval if no plan has changed lately.
	// What the store says of a row decides: another box may have extended it.
	sweepInterval     = time.Minute
	idleSweepInterval = 5 * time.Minute
	// sweepTimeout bounds the calls for the rows of one read.
	sweepTimeout = 5 * time.Second
)

// loggedOrigin is the value of a row. Its key is the stream's key.
type loggedOrigin struct {
	Service string `json:"service"`
	Build   string `json:"build"`
	Expires int64  `json:"expires_ms"` // Unix milliseconds.
	// Caller identifies the API key of the caller that began the stream; 0 if it had none or is not known.
	Caller uint64 `json:"caller,omitempty"`
}

func newLoggedOrigin(g Group, build string, caller uint64, until time.Time) loggedOrigin {
	return loggedOrigin{g.Service, build, until.Add(logRetention).UnixMilli(), caller}
}

func (o *loggedOrigin) expired(now time.Time) bool {
	return o.Expires < now.Add(-clockSlack).UnixMilli()
}

const (
	// maxExpiry is longer than rows are kept. A later expiry is of another writer.
	maxExpiry = 48 * time.Hour
	// damagedRetention is for how long a row that can't be read is kept. It is longer than callers come back.
	damagedRetention = 25 * time.Hour
)

func logKey(k origins.Key) string { return strconv.FormatUint(uint64(k), 36) }

// logKeys returns the keys of the rows that a stream gets. Boxes that don't know ByID look for the account's key.
func (p *Planner) logKeys(plan *Plan, s origins.Stream) []string {
	keys := []string{logKey(s.Key)}
	if account := s.AccountKey(); account != 0 && (plan == nil || !plan.ByID || p.o.Boxes.PlanRules(plan.Region) < PlanRulesByID) {
		keys = append(keys, logKey(account))
	}
	return keys
}

// originLog is this box's part of the log. Planner.mu protects it.
type originLog struct {
	// pending are the rows that the next write sets.
	pending map[string]*pendingRow
	// refused is set while the store takes no writes. Then no row of a new stream is written.
	refused bool
	// tokens are the writes that this box may make now, as of refilled.
	tokens   float64
	refilled time.Time
	write    chan struct{}
}

// pendingRow is a row that is to be written, perhaps under two keys. written, if it is not nil, receives the result once.
type pendingRow struct {
	loggedOrigin
	written chan error
}

// finish reports the result of the write.
func (r *pendingRow) finish(err error) {
	select {
	case r.written <- err:
	default: // The row's other key was written with it.
	}
}

func (l *originLog) init() {
	l.pending, l.write, l.tokens = map[string]*pendingRow{}, make(chan struct{}, 1), logBurst
}

var (
	// errNotWritten means that the store will not get the row.
	errNotWritten = errors.New("the origin is not written, because the store takes no writes or too many origins wait")
	// errUncertain means that the store may have the row, or may still get it.
	errUncertain = errors.New("the store did not confirm the write of the origin in time")
)

// logOrigin has the store keep the origin of a stream that is about to begin.
func (p *Planner) logOrigin(ctx context.Context, g Group, s origins.Stream, build string, until time.Time) error {
	p.mu.Lock()
	keys := p.logKeys(p.plans[g], s)
	p.mu.Unlock()
	row := &pendingRow{newLoggedOrigin(g, build, s.Caller, until), make(chan error, 1)}
	if !p.addToLog(keys, row) {
		return errNotWritten
	}
	err := p.awaitLogged(ctx, keys, row)
	if errors.Is(err, errUncertain) { // Perhaps only the answer was lost.
		if logged, _ := p.loggedBuild(ctx, g, s.Caller, s.Key); logged == build {
			return nil
		}
	}
	return err
}

// awaitLogged returns the result of the write of a row, for which it waits at most logWait.
func (p *Planner) awaitLogged(ctx context.Context, keys []string, row *pendingRow) error {
	timeout := time.NewTimer(logWait)
	defer timeout.Stop()
	select {
	case err := <-row.written:
		return err
	case <-timeout.C:
		return p.withdraw(keys, row, true)
	case <-ctx.Done(): // The caller has left, which says nothing of the store.
		return p.withdraw(keys, row, false)
	}
}

// withdraw takes a row back that waits for a write. If the write is already under way, its result is uncertain. If it is late, no
// row is written until the store has answered.
func (p *Planner) withdraw(keys []string, row *pendingRow, late bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case err := <-row.written:
		return err
	default:
	}
	if p.log.pending[keys[0]] == row {
		for _, key := range keys {
			delete(p.log.pending, key)
		}
		return errNotWritten
	}
	if late {
		p.stopLogging(errUncertain)
	}
	return errUncertain
}

// stopLogging is called when the store has not taken a write. p.mu is held.
func (p *Planner) stopLogging(err error) {
	for key, row := range p.log.pending {
		if row.written != nil {
			row.finish(errNotWritten)
			delete(p.log.pending, key)
		}
	}
	if !p.log.refused {
		p.log.refused = true
		p.o.Failed("origins of streams not logged", err)
		p.onLogging(false)
	}
}

// LogRefused reports whether the store takes no origins.
func (p *Planner) LogRefused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.refused
}

func (p *Planner) onLogging(takes bool) {
	if p.o.OnLogging != nil {
		p.o.OnLogging(takes)
	}
}

// LogForOthers logs the origin of a stream that another box has begun, while boxes of an earlier release may begin some. It
// does not wait.
func (p *Planner) LogForOthers(g Group, o origins.Origin, until time.Time) {
	p.mu.Lock()
	plan := p.plans[g]
	p.mu.Unlock()
	if plan != nil && p.mayBeUnplanned(plan) && !p.addToLog([]string{logKey(o.Key)}, &pendingRow{newLoggedOrigin(g, o.Build, o.Caller, until), nil}) {
		p.o.Failed("origin of another box's stream not logged", errNotWritten)
	}
}

// Extend is called when a caller has taken a stream up, and may come back until a later time than before. It does not wait.
func (p *Planner) Extend(g Group, s origins.Stream, build string, until time.Time) {
	p.mu.Lock()
	plan := p.plans[g]
	p.mu.Unlock()
	now := p.o.Now()
	if plan != nil && (outlivesPlans(now, until) || !plan.tellsUnlogged(s, build, now, until)) && !p.addToLog(p.logKeys(plan, s), &pendingRow{newLoggedOrigin(g, build, s.Caller, until), nil}) {
		p.o.Failed("origin of a longer stream not logged", errNotWritten)
	}
}

// addToLog has the next write set a row, under all of its keys. It returns false if the store takes no writes, or too many rows
// wait for one.
func (p *Planner) addToLog(keys []string, row *pendingRow) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.log
	if l.refused && row.written != nil || len(l.pending)+len(keys) > maxRowsPerWrite {
		return false
	}
	if old := l.pending[keys[0]]; old != nil && old.written != nil {
		return row.written == nil // The box that begins the stream knows best.
	}
	for _, key := range keys {
		l.pending[key] = row
	}
	p.wakeLog()
	return true
}

func (p *Planner) wakeLog() {
	select {
	case p.log.write <- struct{}{}:
	default:
	}
}

// takeToken returns how long this box must wait before its next write; 0 if it may make one now.
func (l *originLog) takeToken(now time.Time, boxes int) time.Duration {
	rate := logRate / float64(max(1, boxes))
	if !l.refilled.IsZero() {
		l.tokens = min(logBurst, l.tokens+now.Sub(l.refilled).Seconds()*rate)
	}
	l.refilled = now
	if l.tokens < 1 {
		return time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	l.tokens--
	return 0
}

// awaitToken waits until this box may make another write. It returns false if ctx is done before.
func (p *Planner) awaitToken(ctx context.Context) bool {
	for {
		p.mu.Lock()
		wait := p.log.takeToken(clock.Now(), p.o.Boxes.Count(p.o.Region))
		p.mu.Unlock()
		if wait == 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// runLog writes to the log until ctx is done. Streams that begin meanwhile share the next write.
func (p *Planner) runLog(ctx context.Context) {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	swept := clock.Now()
	for {
		select {
		case <-p.log.write:
			if p.awaitToken(ctx) {
				p.writeLog(ctx)
			}
		case <-sweep.C:
			now := clock.Now()
			if (p.changedLately() || now.Sub(swept) >= idleSweepInterval) && p.o.Boxes.Rank(p.o.Region, "origin log") == 0 {
				p.sweepLog(ctx)
				swept = now
			}
		case <-ctx.Done():
			return
		}
	}
}

// probeKey returns the key of the row that this box writes to find out whether the store takes writes again.
func (p *Planner) probeKey() string { return "box." + p.o.Box }

// writeLog writes the rows that wait for it.
func (p *Planner) writeLog(ctx context.Context) {
	p.mu.Lock()
	rows := p.log.pending
	p.log.pending = map[string]*pendingRow{}
	if p.log.refused {
		rows[p.probeKey()] = &pendingRow{loggedOrigin{Expires: p.o.Now().UnixMilli()}, nil}
	}
	put := make(map[string][]byte, len(rows))
	for key, row := range rows {
		put[key], _ = json.Marshal(row.loggedOrigin) // Strings and numbers always encode.
	}
	p.mu.Unlock()
	if len(put) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := p.o.Log.Write(ctx, put, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.log.refused {
		p.log.refused = false
		p.onLogging(true)
	}
	if err != nil {
		p.stopLogging(err)
		p.retryRows(rows)
		time.AfterFunc(logRetryDelay, p.wakeLog)
		err = fmt.Errorf("%w: %w", errUncertain, err)
	}
	for _, row := range rows {
		if row.written != nil {
			row.finish(err)
		}
	}
}

// retryRows has rows of other boxes' streams written again after a failed write. These streams have begun. p.mu is held.
func (p *Planner) retryRows(rows map[string]*pendingRow) {
	now := p.o.Now()
	for key, row := range rows {
		if _, newer := p.log.pending[key]; row.written == nil && key != p.probeKey() && !newer && !row.expired(now) && len(p.log.pending) < maxRowsPerWrite {
			p.log.pending[key] = row
		}
	}
}

// changedLately reports whether rows may have been written lately: a plan has changed, or boxes of an earlier release serve.
func (p *Planner) changedLately() bool {
	for _, plan := range p.Plans() {
		if p.mayBeUnplanned(&plan) || len(plan.Earlier) > 0 && plan.Earlier[len(plan.Earlier)-1].Until+2*returnTime.Milliseconds() > p.o.Now().UnixMilli() {
			return true
		}
	}
	return false
}

// sweepLog removes expired rows, whichever box wrote them. Rows that can't be read expire later.
func (p *Planner) sweepLog(ctx context.Context) {
	for from := ""; ; {
		last, err := p.sweepFrom(ctx, from)
		if err != nil {
			p.o.Failed("expired origins not removed", err)
		}
		if err != nil || last == "" {
			return
		}
		from = last + "\x00" // The smallest key after it.
	}
}

// sweepFrom removes the expired ones of the rows that follow a key, and returns the last of their keys; empty if there were none.
func (p *Planner) sweepFrom(ctx context.Context, from string) (last string, err error) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := p.o.Log.ReadSome(ctx, from)
	if err != nil {
		return "", err
	}
	var expired []string
	now := p.o.Now()
	damaged, _ := json.Marshal(loggedOrigin{Expires: now.Add(damagedRetention).UnixMilli()}) // Strings and numbers always encode.
	replace := map[string][]byte{}
	for key, value := range rows {
		last = max(last, key)
		var o loggedOrigin
		switch err := json.Unmarshal(value, &o); {
		case err != nil || o.Expires > now.Add(maxExpiry).UnixMilli():
			// No box has written it. Without a row, its stream would count as one that was not logged.
			if len(replace) < maxRowsPerWrite {
				replace[key] = damaged
			}
		case o.expired(now):
			expired = append(expired, key)
		}
	}
	if len(replace) > 0 {
		if err := p.o.Log.Write(ctx, replace, nil); err != nil {
			return "", err
		}
	}
	for part := range slices.Chunk(expired, maxRowsPerWrite) {
		if err := p.o.Log.Write(ctx, nil, part); err != nil {
			return "", err
		}
	}
	return last, nil
}

var (
	errUnreadableOrigin = errors.New("the row of the origin can't be read")
	// errOtherStream means that a row may be that of another caller's stream, or that the stream began at another service.
	errOtherStream = errors.New("the row may be that of another stream")
)

// loggedBuild reads the logged origin of a stream under some of its keys; build is empty if the log has none. A row holds also
// after it has expired.
func (p *Planner) loggedBuild(ctx context.Context, g Group, caller uint64, keys ...origins.Key) (build string, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, k := range keys {
		logged, err := p.readLogRow(ctx, g, k, caller)
		switch {
		case err != nil:
			return "", err
		case build != "" && logged != "" && logged != build:
			return "", errOtherStream
		}
		build = cmp.Or(build, logged)
	}
	return build, nil
}

// readLogRow reads a row of the log.
func (p *Planner) readLogRow(ctx context.Context, g Group, k origins.Key, caller uint64) (build string, err error) {
	value, err := p.o.Log.Read(ctx, logKey(k))
	var o loggedOrigin
	if err == nil && value != nil && (json.Unmarshal(value, &o) != nil || o.Service == "" || o.Build == "" || len(o.Build) > maxBuild) {
		err = errUnreadableOrigin
	}
	if err != nil {
		if !errors.Is(err, context.Canceled) { // Another box has answered first.
			p.o.Failed("origin log not read", err)
		}
		return "", err
	}
	if value != nil && (o.Service != g.Service || caller != 0 && o.Caller != 0 && o.Caller != caller) {
		return "", errOtherStream
	}
	return o.Build, nil
}
