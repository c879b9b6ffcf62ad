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

// This file sets up the tables that a relay box follows: the operator's configuration, the list of
// endpoints, the shared configuration of policies and operators, the boxes and the suspected crashes.

// Read intervals of the tables. Each call to the store is expensive on a large fleet, so a call waits for a
// change as long as it may: a call that the store has lost must time out before the box is required to have
// read everything again. The list of endpoints changes often and is read in batches, as rarely as the time
// allows within which the box must know that an endpoint is leaving.
const (
	callTimeout = 600 * time.Millisecond
	// rereadSlack is what a lost call and the one after it take in addition to the wait.
	rereadSlack = 800 * time.Millisecond
	// leavingSlack is what reading the list and finishing requests that have just begun take.
	leavingSlack = 900 * time.Millisecond
	minWait      = 500 * time.Millisecond
	minListPause = 200 * time.Millisecond
	changePause  = 50 * time.Millisecond
	// manualWait is longer, because policies are changed by hand.
	manualWait = 8 * time.Second
)

// Read intervals of a box that others follow. What it publishes must be fresh: a follower reads the store
// itself once its information is older than the limit for that table less storeReadTime, and a followed box
// asks well before that.
const (
	// storeReadTime is the most that reading the store itself takes a follower, including requests under way to engines.
	storeReadTime = 900 * time.Millisecond
	// followedWaitShare and followedPauseShare are the shares of the maximum age for which a call of a followed
	// box waits, and for which it pauses after a call that changed the list. Together they leave some time for
	// the transfer.
	followedWaitShare  = 0.6
	followedPauseShare = 0.3
	// settleTime is how long a box that has just started waits for another one to publish changes to it before
	// it asks the store: it finds that box in the list of members. If all boxes start at once, the list exists
	// after membersSettleTime, and its key after another membersPause. A box counts as in contact 3 s after its
	// start, and must know by then what has changed.
	settleTime        = 2200 * time.Millisecond
	membersSettleTime = 450 * time.Millisecond
	// manualMaxAge is the maximum age of tables that are changed by hand.
	manualMaxAge = 12 * time.Second
	// membersPause lets boxes that start together read the list of members in batches.
	membersPause = time.Second
)

// scale multiplies a duration by a factor.
func scale(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// tableOptions returns the read intervals of the configuration, the list, the policies and the members.
func tableOptions(cfg *config.Relay, link *follow.Link) (operator, list, manual, members follow.Options) {
	maxWait := max(minWait, cfg.RereadWithin-rereadSlack)
	maxAge := cfg.ConfigWithin - storeReadTime
	operator = follow.Options{
		Wait: maxWait, Pause: changePause, CallTimeout: callTimeout, Link: link,
		FollowedWait: scale(maxAge, followedWaitShare), FollowedPause: changePause, StaleAfter: maxAge, SettleDelay: settleTime,
	}
	maxAge = cfg.LeavingWithin - storeReadTime
	list = follow.Options{
		Wait: maxWait, Pause: max(minListPause, cfg.LeavingWithin-leavingSlack), CallTimeout: callTimeout, Link: link,
		FollowedWait: scale(maxAge, followedWaitShare), FollowedPause: scale(maxAge, followedPauseShare), StaleAfter: maxAge,
	}
	manual = follow.Options{
		Wait: manualWait, Pause: changePause, CallTimeout: callTimeout, Link: link,
		FollowedWait: manualWait, FollowedPause: changePause, StaleAfter: manualMaxAge, SettleDelay: settleTime,
	}
	members = manual
	members.Pause, members.FollowedPause, members.SettleDelay = membersPause, membersPause, membersSettleTime
	return operator, list, manual, members
}

// crashOptions returns the read intervals of the table of suspected crashes. It changes rarely, like the
// configuration, and each box must know it within the time in which it has to read everything again after an
// outage.
func (b *RelayBox) crashOptions(cfg *config.Relay, operator follow.Options) follow.Options {
	o := operator
	o.StaleAfter = cfg.RereadWithin - storeReadTime
	o.FollowedWait = scale(o.StaleAfter, followedWaitShare)
	o.SettleDelay = 0 // A box that would publish this table does so before it is first read.
	if cfg.Peers != "" {
		// A box counts as in contact 3 s after its start, and this saves one call per box.
		o.FirstReadDelay, o.NoUpstreamExpected = settleTime, func() bool { return b.node.IsOldest() } // b.node is set later.
	}
	return o
}

// The names of the tables in messages between boxes.
const (
	tableConfig    = "configuration"
	tableEndpoints = "endpoints"
	tablePolicies  = "policies"
	tableMembers   = "members"
	tableCrashes   = "ends"
)

// makeTables creates the tables that the box follows, and its overlay node.
func (b *RelayBox) makeTables() {
	cfg := b.settings.Load()
	operator, list, manual, members := tableOptions(cfg, &b.storeLink)
	crashes := b.crashOptions(cfg, operator)
	b.tables = map[string]*follow.Table{
		tableConfig:    b.newTable(tableConfig, b.site.Operator, operator, &b.configFreshness, b.applyConfig, func() { b.configRestored = true }),
		tableEndpoints: b.newTable(tableEndpoints, b.site.Endpoints, list, &b.listFreshness, b.applyList, func() { b.listRestored = true }),
		tablePolicies:  b.newTable(tablePolicies, b.site.SharedChanges, manual, &b.rulesFreshness, b.applyRules, nil),
		tableMembers:   b.newTable(tableMembers, b.site.Members, members, &b.membersFreshness, b.applyMembers, b.membersRestored),
		tableCrashes:   b.newTable(tableCrashes, b.site.SuspectedCrashChanges, crashes, &b.crashesFreshness, b.crashes.SetRows, b.crashesRestored),
	}
	shared := make(map[string]overlay.Table, len(b.tables))
	for name, t := range b.tables {
		shared[name] = t
	}
	b.node = overlay.New(overlay.Options{
		Self:     overlay.Member{Name: cfg.Name, Region: cfg.Region, Hall: cfg.Hall, Incarnation: time.Now().UnixNano()},
		Register: b.site.MemberTable,
		Tables:   shared,
		// Policies contain operators and the hashes of their keys, and members the boxes' key, so they are not open.
		KeylessTables: []string{tableConfig, tableEndpoints, tableCrashes},
		Seeds:         cfg.Seeds,
		Room:          func(r overlay.Room) bool { return b.Relay.HasRoom(r) },
		Limits:        b.quotaPool,
		OnMessage:     func(msg overlay.Message) { b.Relay.Receive(msg) },
		OnStateChange: b.recorder.Log.StateChange,
		Metrics:       b.Metrics.Set,
	})
}

// followTables starts following all tables; members only if there may be other boxes.
func (b *RelayBox) followTables() {
	for name, t := range b.tables {
		if name != tableMembers || b.settings.Load().Peers != "" {
			go t.Run(b.ctx)
		}
	}
}

func (b *RelayBox) newTable(name string, src follow.Source, o follow.Options, freshness *follow.Freshness, apply func(map[string][]byte), restored func()) *follow.Table {
	t := follow.New(src, o, apply)
	t.Fresh = freshness
	t.OnRestored = func(era int64) {
		b.observeEra(era)
		b.recorder.Log.StateChange("table restored from an older snapshot", zap.String("table", name), zap.Int64("era", era))
		if restored != nil {
			restored()
		}
	}
	t.OnLost = func(err error) {
		b.recorder.Log.StateChange("store unreachable", zap.String("table", name), zap.Duration("age", freshness.Age()), zap.Error(err))
	}
	t.OnRecovered = func(downFor time.Duration) {
		b.recorder.Log.StateChange("store reachable again", zap.String("table", name), zap.Duration("away", downFor))
	}
	return t
}

func (b *RelayBox) applyMembers(rows map[string][]byte) { b.node.SetMembers(rows) }

func (b *RelayBox) applyConfig(rows map[string][]byte) {
	b.applyEvacuations(rows)
	c, err := b.site.ParseConfig(rows)
	if err != nil {
		b.recorder.Log.StateChange("configuration rejected", zap.Error(err))
		return
	}
	if c == nil || !b.configTexts.recordIfNewer(c.Version, c.Digest) {
		return
	}
	old := b.Relay.Version()
	b.quotaPool.SetLimits(clock.Now(), c.AccountLimits())
	b.Relay.SetConfig(c)
	b.recorder.Log.StateChange("configuration in force", zap.Int64("version", c.Version), zap.Int64("before", old), zap.Int("routes", len(c.Routes)))
}

// applyRules puts a newer shared configuration in force. The version never decreases here, whatever the store
// returns; a configuration that does not compile is rejected, and the last one stays in force.
func (b *RelayBox) applyRules(rows map[string][]byte) {
	if b.shared.set(rows) {
		b.rewriteShared()
	}
	v, err := control.FromRows(rows, b.site.ParseVersioned)
	if err == nil && (v == nil || !b.ruleTexts.recordIfNewer(v.Number, sha256.Sum256([]byte(v.Text)))) {
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
		b.recorder.Log.StateChange("policies rejected", zap.Error(err))
		return
	}
	b.rules.Store(c)
	b.Relay.SetPolicies(c.Version, set)
	b.recorder.Log.StateChange("policies in force", zap.Int64("version", c.Version), zap.String("author", v.Author),
		zap.Int("policies", len(c.Policies)), zap.Int("rules", len(c.Rules)), zap.Int("operators", len(c.Operators)))
}

// parseRules parses an accepted version. Its test cases passed before it was accepted, so they are not run again.
func parseRules(v *control.Version) (*config.Rules, error) {
	c, err := config.ParseRules(fmt.Sprintf("version %d", v.Number), []byte(v.Text), nil)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}

// checkRules checks a text before it is accepted, and runs its policies' test cases.
func checkRules(text string) error {
	_, err := config.ParseRules("configuration", []byte(text), policy.Check)
	return err
}

// isOperator reports whether a key is the one in the settings or belongs to an operator of the shared configuration.
func (b *RelayBox) isOperator(key string) bool {
	if first := b.settings.Load().OperatorKeySHA256; first != "" && config.KeyMatches(key, first) {
		return true
	}
	return key != "" && b.rules.Load().OperatorByKey(key) != nil
}

// listedEndpoint is a row of the endpoint list as it was last read.
type listedEndpoint struct {
	text     []byte
	endpoint relay.Endpoint
	// foreign rows name no endpoint to use: another writer wrote them, or they come from an older snapshot.
	foreign bool
	// replacement replaces the row at a later time, unless it changes before; nil if there is none.
	replacement *rowReplacement
}

// rowReplacement is what a row becomes at a given time.
type rowReplacement struct {
	listedEndpoint
	at time.Time
}

// expiredEntryGrace is how long after the store is reachable again a missing endpoint is kept: its entry may have
// expired during the outage, and a live endpoint writes it again within two seconds.
const expiredEntryGrace = 2100 * time.Millisecond

// keepExpired keeps endpoints that are missing since the store is reachable again, and checks again when they
// should have been written again.
func (b *RelayBox) keepExpired(next map[string]listedEndpoint) {
	remaining := expiredEntryGrace - b.timeSinceRecovery()
	if remaining <= 0 {
		return
	}
	kept := 0
	for key, old := range b.listed {
		if _, there := next[key]; !there && !old.endpoint.Leaving && !old.foreign {
			next[key] = old
			kept++
		}
	}
	if kept > 0 && !b.keepingExpired {
		b.keepingExpired = true
		b.recorder.Log.StateChange("endpoints kept whose entries expired during the store outage", zap.Int("endpoints", kept), zap.Duration("for", remaining))
		time.AfterFunc(remaining+time.Millisecond, func() { b.tables[tableEndpoints].Reapply(func() { b.keepingExpired = false }) })
	}
}

// timeSinceRecovery is the time since the store answered again after an outage.
func (b *RelayBox) timeSinceRecovery() time.Duration { return b.tables[tableEndpoints].SinceRecovery() }

// applyList takes a new list of endpoints. Most rows are unchanged, and most changed rows say nothing new
// about their endpoint: only changed text is parsed, and only actual changes are passed on.
func (b *RelayBox) applyList(rows map[string][]byte) {
	next, changed, inPlace := b.readList(rows)
	b.listRestored = false
	now := clock.Now()
	if b.hasReplacements {
		changed = b.applyReplacements(next, now) || changed
	}
	if !inPlace {
		b.keepExpired(next)
		b.recordGone(b.listed, next, now)
	}
	b.listed = next
	b.listChanged = b.listChanged || changed
	if !b.listChanged || b.deferList(clock.Now()) {
		return
	}
	started := clock.Now()
	b.Relay.SetEndpoints(usable(next))
	b.listChanged, b.listDueAt = false, clock.Now().Add(listPause(clock.Since(started)))
}

const (
	// maxListShare is the largest share of its time that a box spends on passing the list on, which costs 7 ms
	// at 10,000 endpoints and several times that on a fifth of a core. Changes that arrive in between are passed
	// on together.
	maxListShare = 0.1
	// maxListPause bounds how long changes wait, however long passing on the last ones took: a box that was
	// frozen must learn quickly which endpoints are leaving.
	maxListPause = 600 * time.Millisecond
)

// listPause is how long further changes wait after passing on the list took a given time.
func listPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)/maxListShare), maxListPause)
}

// deferList reports whether it is too early to pass changes on, and sets a timer to do so.
func (b *RelayBox) deferList(now time.Time) bool {
	left := b.listDueAt.Sub(now)
	if left <= 0 {
		return false
	}
	if !b.listTimerSet {
		b.listTimerSet = true
		time.AfterFunc(left, func() { b.tables[tableEndpoints].Reapply(func() { b.listTimerSet = false }) })
	}
	return true
}

// readList parses the rows that changed, and reports whether they contain anything new. If no row is gone, the
// list is changed in place: most updates change one row among thousands.
func (b *RelayBox) readList(rows map[string][]byte) (next map[string]listedEndpoint, changed, inPlace bool) {
	remaining := 0
	for key := range rows {
		if _, known := b.listed[key]; known {
			remaining++
		}
	}
	inPlace = b.listed != nil && remaining == len(b.listed)
	next, changed = b.listed, !inPlace
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
		e, err := b.site.ParseEndpoint(key, text)
		if err != nil {
			b.recorder.Log.StateChange("endpoint row rejected", zap.Error(err))
		}
		read := listedEndpoint{text: text, endpoint: e, foreign: err != nil}
		if b.listRestored {
			read = b.restoredRow(key, read, old, known)
		}
		changed = changed || !known || read.endpoint != old.endpoint || read.foreign != old.foreign
		next[key] = read
	}
	return next, changed, inPlace
}

// usable returns the endpoints of the rows that name one. If any endpoint of the platform states when it
// started, rows that do not were written by another writer and are left out.
func usable(rows map[string]listedEndpoint) []relay.Endpoint {
	anyStarted := false
	for _, l := range rows {
		anyStarted = anyStarted || l.endpoint.Started > 0
	}
	out := make([]relay.Endpoint, 0, len(rows))
	for _, l := range rows {
		if !l.foreign && (l.endpoint.Started > 0 || !anyStarted) {
			out = append(out, l.endpoint)
		}
	}
	return out
}
