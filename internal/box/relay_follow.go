package box

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/policy"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// This file is what a relay box follows: the operator's configuration, the list of
// endpoints, and the shared configuration of policies and operators.

// Pace of the tables. Each call to the store is dear on a large fleet, so a call waits as
// long as it may for a change: one that the store has lost must have run out before the
// time in which the box is to have read everything again. The list of endpoints changes
// often and is read in batches, as seldom as the time in which it must know that one is
// leaving allows.
const (
	callLimit = 600 * time.Millisecond
	// rereadSlack is what a call that was lost and the one after it take beside the wait.
	rereadSlack = 800 * time.Millisecond
	// leavingSlack is what reading the list and ending what was just begun take.
	leavingSlack = 900 * time.Millisecond
	shortWait    = 500 * time.Millisecond
	shortPause   = 200 * time.Millisecond
	changePause  = 50 * time.Millisecond
	// rulesWait is longer: policies are changed by hand.
	rulesWait = 8 * time.Second
)

// Pace of a box that others follow. What it tells them must be fresh: a follower reads the
// store itself when the last word of it is older than the time in which it must know less
// ownRead, and a followed box asks well before that.
const (
	// ownRead is what reading the store itself takes a follower at the most, beside what is
	// under way to engines.
	ownRead = 900 * time.Millisecond
	// followedPart and pausePart are the parts of that age for which a call of a followed box
	// waits, and for which it pauses after one that brought changes to the list. Together
	// they leave some for the way.
	followedPart = 0.6
	pausePart    = 0.3
	// settle is how long a box that has just started waits for another one to tell it what
	// changes, before it asks the store: it finds that one in the list of members. Where all
	// start at once the list is made in membersSettle, and its key in a membersPause more. A
	// box counts as in touch 3 s after its start, and must know by then what has changed.
	settle        = 2200 * time.Millisecond
	membersSettle = 450 * time.Millisecond
	// handStale is the age for what is changed by hand.
	handStale = 12 * time.Second
	// membersPause has boxes that start together read their list in batches.
	membersPause = time.Second
)

// part is a part of a duration.
func part(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// paces returns those of the configuration, the list, the policies and the members.
func paces(cfg *config.Relay, link *follow.Link) (operator, list, hand, members follow.Options) {
	wait := max(shortWait, cfg.RereadWithin-rereadSlack)
	stale := cfg.ConfigWithin - ownRead
	operator = follow.Options{
		Wait: wait, Pause: changePause, Limit: callLimit, Link: link,
		FollowedWait: part(stale, followedPart), FollowedPause: changePause, Stale: stale, Settle: settle,
	}
	stale = cfg.LeavingWithin - ownRead
	list = follow.Options{
		Wait: wait, Pause: max(shortPause, cfg.LeavingWithin-leavingSlack), Limit: callLimit, Link: link,
		FollowedWait: part(stale, followedPart), FollowedPause: part(stale, pausePart), Stale: stale,
	}
	hand = follow.Options{
		Wait: rulesWait, Pause: changePause, Limit: callLimit, Link: link,
		FollowedWait: rulesWait, FollowedPause: changePause, Stale: handStale, Settle: settle,
	}
	members = hand
	members.Pause, members.FollowedPause, members.Settle = membersPause, membersPause, membersSettle
	return operator, list, hand, members
}

// endsPace is that of the requests under which endpoints ended. They change seldom, like the
// configuration, and each box must know them in the time in which it is to have read everything after
// an outage.
func (b *RelayBox) endsPace(cfg *config.Relay, operator follow.Options) follow.Options {
	o := operator
	o.Stale = cfg.RereadWithin - ownRead
	o.FollowedWait = part(o.Stale, followedPart)
	o.Settle = 0 // Whoever would tell of the table does so before it is first read.
	if cfg.Peers != "" {
		// A box counts as in touch 3 s after its start, and one call less a box is made.
		o.Late, o.First = settle, func() bool { return b.node.Oldest() } // The node is made later.
	}
	return o
}

// The names by which boxes tell each other of tables.
const (
	tableConfig    = "configuration"
	tableEndpoints = "endpoints"
	tablePolicies  = "policies"
	tableMembers   = "members"
	tableEnds      = "ends"
)

// makeTables makes the tables that the box follows, and its part in the overlay.
func (b *RelayBox) makeTables() {
	cfg := b.settings.Load()
	operator, list, hand, members := paces(cfg, &b.storeLink)
	ends := b.endsPace(cfg, operator)
	b.tables = map[string]*follow.Table{
		tableConfig:    b.table(tableConfig, b.site.Operator, operator, &b.configHeard, b.configure, func() { b.configRestored = true }),
		tableEndpoints: b.table(tableEndpoints, b.site.Endpoints, list, &b.listHeard, b.list, func() { b.listRestored = true }),
		tablePolicies:  b.table(tablePolicies, b.site.SharedChanges, hand, &b.rulesHeard, b.takeRules, nil),
		tableMembers:   b.table(tableMembers, b.site.Members, members, &b.membersHeard, b.takeMembers, b.membersRestored),
		tableEnds:      b.table(tableEnds, b.site.EndsChanges, ends, &b.endsHeard, b.ends.SetRows, b.endsRestored),
	}
	shared := make(map[string]overlay.Table, len(b.tables))
	for name, t := range b.tables {
		shared[name] = t
	}
	b.node = overlay.New(overlay.Options{
		Self:     overlay.Member{Name: cfg.Name, Region: cfg.Region, Hall: cfg.Hall, Incarnation: time.Now().UnixNano()},
		Register: b.site.Register,
		Tables:   shared,
		// Policies name operators and their hashed keys, and the members the boxes' key.
		Open:     []string{tableConfig, tableEndpoints, tableEnds},
		Seeds:    cfg.Seeds,
		Room:     func(r overlay.Room) bool { return b.Relay.HasRoom(r) },
		Limits:   b.pool,
		Heard:    func(f overlay.Fact) { b.Relay.Hear(f) },
		Believed: b.book.Log.Belief,
		Metrics:  b.Metrics.Set,
	})
}

// follow begins to follow all tables; members only where there may be others.
func (b *RelayBox) follow() {
	for name, t := range b.tables {
		if name != tableMembers || b.settings.Load().Peers != "" {
			go t.Run(b.ctx)
		}
	}
}

func (b *RelayBox) table(name string, src follow.Source, o follow.Options, heard *follow.Freshness, apply func(map[string][]byte), restored func()) *follow.Table {
	t := follow.New(src, o, apply)
	t.Fresh = heard
	t.Restored = func(era int64) {
		b.observeEra(era)
		b.book.Log.Belief("table of an older copy", zap.String("table", name), zap.Int64("era", era))
		if restored != nil {
			restored()
		}
	}
	t.Lost = func(err error) {
		b.book.Log.Belief("store lost", zap.String("table", name), zap.Duration("age", heard.Age()), zap.Error(err))
	}
	t.Back = func(away time.Duration) {
		b.book.Log.Belief("store back", zap.String("table", name), zap.Duration("away", away))
	}
	return t
}

func (b *RelayBox) takeMembers(rows map[string][]byte) { b.node.SetMembers(rows) }

func (b *RelayBox) configure(rows map[string][]byte) {
	b.evacuate(rows)
	c, err := b.site.Config(rows)
	if err != nil {
		b.book.Log.Belief("configuration not taken", zap.Error(err))
		return
	}
	if c == nil || !b.configTexts.take(c.Version, c.Digest) {
		return
	}
	old := b.Relay.Version()
	b.pool.SetLimits(clock.Now(), c.AccountLimits())
	b.Relay.SetConfig(c)
	b.book.Log.Belief("configuration in force", zap.Int64("version", c.Version), zap.Int64("before", old), zap.Int("routes", len(c.Routes)))
}

// takeRules puts a newer shared configuration in force. Versions only grow here, whatever
// the store answers; one that does not compile is not taken, and the last one stays.
func (b *RelayBox) takeRules(rows map[string][]byte) {
	if b.shared.set(rows) {
		b.rewriteShared()
	}
	v, err := control.Current(rows, b.site.Versioned)
	if err == nil && (v == nil || !b.ruleTexts.take(v.Number, sha256.Sum256([]byte(v.Text)))) {
		return
	}
	var c *config.Rules
	var set *policy.RuleSet
	if err == nil {
		c, err = parseRules(v)
	}
	if err == nil {
		set, err = policy.CompileRules(c)
	}
	if err != nil {
		b.book.Log.Belief("policies not taken", zap.Error(err))
		return
	}
	b.rules.Store(c)
	b.Relay.SetPolicies(c.Version, set)
	b.book.Log.Belief("policies in force", zap.Int64("version", c.Version), zap.String("author", v.Author),
		zap.Int("policies", len(c.Policies)), zap.Int("rules", len(c.Rules)), zap.Int("operators", len(c.Operators)))
}

// parseRules reads an accepted version. Its cases passed before it was accepted.
func parseRules(v *control.Version) (*config.Rules, error) {
	c, err := config.ParseRules(fmt.Sprintf("version %d", v.Number), []byte(v.Text), nil)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}

// checkRules checks a text that is to be accepted, with the policies' own cases.
func checkRules(text string) error {
	_, err := config.ParseRules("configuration", []byte(text), policy.Check)
	return err
}

// isOperator tells whether a key is that of the settings or of an operator of the shared
// configuration.
func (b *RelayBox) isOperator(key string) bool {
	if first := b.settings.Load().OperatorKeySHA256; first != "" && config.KeyMatches(key, first) {
		return true
	}
	return key != "" && b.rules.Load().OperatorByKey(key) != nil
}

// listedEndpoint is a row of the list as it was last read.
type listedEndpoint struct {
	text     []byte
	endpoint relay.Endpoint
	// foreign rows name no endpoint to use: they are another writer's, or an older copy's.
	foreign bool
	// later replaces the row after a time, if it does not change before; nil if it stays.
	later *laterEndpoint
}

// laterEndpoint is what a row is to be from a time on.
type laterEndpoint struct {
	listedEndpoint
	at time.Time
}

// lapseGrace is for how long after the store's return an endpoint that is missing from the
// list is kept: its entry may have lapsed while the store was away, and one that lives writes
// it again within two seconds.
const lapseGrace = 2100 * time.Millisecond

// keepLapsed keeps endpoints that are missing since the store is back, and looks again when
// they should have been back too.
func (b *RelayBox) keepLapsed(next map[string]listedEndpoint) {
	left := lapseGrace - b.listBack()
	if left <= 0 {
		return
	}
	kept := 0
	for key, old := range b.listed {
		if _, there := next[key]; !there && !old.endpoint.Leaving && !old.foreign {
			next[key] = old
			kept++
		}
	}
	if kept > 0 && !b.lapsing {
		b.lapsing = true
		b.book.Log.Belief("endpoints kept that lapsed with the store", zap.Int("endpoints", kept), zap.Duration("for", left))
		time.AfterFunc(left+time.Millisecond, func() { b.tables[tableEndpoints].Again(func() { b.lapsing = false }) })
	}
}

// listBack is how long ago the store was heard of again after it did not answer.
func (b *RelayBox) listBack() time.Duration { return b.tables[tableEndpoints].BackSince() }

// list takes the list of endpoints. Most rows are as before, and most that changed say
// nothing new of their endpoint: only new text is read, and only news are handed on.
func (b *RelayBox) list(rows map[string][]byte) {
	next, news, inPlace := b.readList(rows)
	b.listRestored = false
	now := clock.Now()
	if b.listLaterRows {
		news = b.applyLater(next, now) || news
	}
	if !inPlace {
		b.keepLapsed(next)
		b.noteGone(b.listed, next, now)
	}
	b.listed = next
	b.listNews = b.listNews || news
	if !b.listNews || b.listLater(clock.Now()) {
		return
	}
	began := clock.Now()
	b.Relay.SetEndpoints(usable(next))
	b.listNews, b.listDue = false, clock.Now().Add(listPause(clock.Since(began)))
}

const (
	// listShare is the part of its time that a box spends at most on handing the list on, which costs
	// 7 ms at 10,000 endpoints and several times that on a fifth of a core. Changes that come meanwhile
	// go together.
	listShare = 0.1
	// longestListPause bounds for how long news wait, whatever the last ones took: a box that was
	// frozen must learn soon who leaves.
	longestListPause = 600 * time.Millisecond
)

// listPause is for how long news of the list wait after some that took so long to hand on.
func listPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)/listShare), longestListPause)
}

// listLater puts the news off while it is too soon for them, and returns whether it did.
func (b *RelayBox) listLater(now time.Time) bool {
	left := b.listDue.Sub(now)
	if left <= 0 {
		return false
	}
	if !b.listWaits {
		b.listWaits = true
		time.AfterFunc(left, func() { b.tables[tableEndpoints].Again(func() { b.listWaits = false }) })
	}
	return true
}

// readList reads the rows that changed, and tells whether they say anything new. Where no row is gone the
// list is changed in place: most changes are of one row among thousands.
func (b *RelayBox) readList(rows map[string][]byte) (next map[string]listedEndpoint, news, inPlace bool) {
	stay := 0
	for key := range rows {
		if _, known := b.listed[key]; known {
			stay++
		}
	}
	inPlace = b.listed != nil && stay == len(b.listed)
	next, news = b.listed, !inPlace
	if !inPlace {
		next = make(map[string]listedEndpoint, len(rows))
	}
	for key, text := range rows {
		old, known := b.listed[key]
		if known && bytes.Equal(old.text, text) {
			if !inPlace {
				next[key] = old
			}
			continue
		}
		e, err := b.site.Endpoint(key, text)
		if err != nil {
			b.book.Log.Belief("endpoint not taken", zap.Error(err))
		}
		read := listedEndpoint{text: text, endpoint: e, foreign: err != nil}
		if b.listRestored {
			read = b.restoredRow(key, read, old, known)
		}
		news = news || !known || read.endpoint != old.endpoint || read.foreign != old.foreign
		next[key] = read
	}
	return next, news, inPlace
}

// usable are the endpoints of the rows that name one. Where the platform's endpoints say when they
// started, a row that does not is another writer's.
func usable(rows map[string]listedEndpoint) []relay.Endpoint {
	dated := false
	for _, l := range rows {
		dated = dated || l.endpoint.Started > 0
	}
	out := make([]relay.Endpoint, 0, len(rows))
	for _, l := range rows {
		if !l.foreign && (l.endpoint.Started > 0 || !dated) {
			out = append(out, l.endpoint)
		}
	}
	return out
}
