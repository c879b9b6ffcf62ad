package box

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
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
	"github.com/stoatramp/stoatramp/internal/retry"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// This file sets up the tables of the store that a relay box follows. Two of them are the operator's configuration and
// the list of endpoints. The shared configuration holds policies and operators. The members are the boxes that have
// registered. The last table holds the suspected crashes.

// Read intervals of the tables. A call to the store waits until the table changes or the wait time is over. On a
// large fleet each call is expensive, so the wait is as long as possible. The store may lose a call. That call must
// time out before the box is required to have read everything again. The list of endpoints changes often, so it is
// read in batches. The pause between two batches is limited, because the box must know in time that an endpoint is
// leaving. Within that limit the pause is as long as possible.
const (
	callTimeout = 600 * time.Millisecond
	// rereadSlack is the time for a lost call and the next call. It is added to the wait.
	rereadSlack = 800 * time.Millisecond
	// leavingSlack is the time for reading the list and for finishing requests that have just begun.
	leavingSlack = 900 * time.Millisecond
	minWait      = 500 * time.Millisecond
	minListPause = 200 * time.Millisecond
	changePause  = 50 * time.Millisecond
	// manualWait is the wait time for tables that are changed by hand, such as policies. It is longer than other
	// wait times, because these tables change rarely.
	manualWait = 8 * time.Second
)

// Read intervals of a box that publishes its tables to other boxes, its followers. The published information must be
// fresh. A follower reads the store itself once its information is too old. Too old means older than the limit of
// that table minus storeReadTime. The publishing box asks the store well before that.
const (
	// storeReadTime is the most time that a follower needs to read the store itself. It includes the time of requests
	// that are already under way to engines.
	storeReadTime = 900 * time.Millisecond
	// followedWaitShare and followedPauseShare are shares of a table's maximum age. A call of the publishing box
	// waits for followedWaitShare of that age. After a call that changed the list, the box pauses for
	// followedPauseShare. The two add up to less than 1, which leaves some time for the transfer to the followers.
	followedWaitShare  = 0.6
	followedPauseShare = 0.3
	// settleTime is how long a box that has just started waits before it asks the store for changes. In this time
	// another box may publish the table to it. The new box finds the publishing box in the list of members. If all
	// boxes start together, the list of members exists after membersSettleTime. The key that boxes use among each
	// other exists another membersPause later. A box counts as in contact with the store 3 s after its start. By
	// then it must know what has changed.
	settleTime        = 2200 * time.Millisecond
	membersSettleTime = 450 * time.Millisecond
	// manualMaxAge is the maximum age of tables that are changed by hand.
	manualMaxAge = 12 * time.Second
	// membersPause is the least time between two reads of the list of members that return changes. Several boxes
	// may start together. Because of the pause, a box reads them in one batch.
	membersPause = time.Second
	// membersFirstWait is the wait of the first calls for changes of the list of members. A box acts as owner of slots
	// only once the list was confirmed 1 s after its start; with manualWait that took 9 s.
	membersFirstWait = 500 * time.Millisecond
)

// scale returns the share p of a duration.
func scale(d time.Duration, p float64) time.Duration { return time.Duration(p * float64(d)) }

// tableOptions returns the read intervals of four tables: the operator's configuration, the list of endpoints, the
// policies (changed by hand) and the members.
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
	members.Pause, members.FollowedPause, members.SettleDelay, members.FirstWait = membersPause, membersPause, membersSettleTime, membersFirstWait
	return operator, list, manual, members
}

// crashOptions returns the read intervals of the table of suspected crashes. This table changes rarely, like the
// configuration. After an outage each box must have read everything again by a set time. The box must know
// this table by that time.
func (b *RelayBox) crashOptions(cfg *config.Relay, operator follow.Options) follow.Options {
	o := operator
	o.StaleAfter = cfg.RereadWithin - storeReadTime
	o.FollowedWait = scale(o.StaleAfter, followedWaitShare)
	o.SettleDelay = 0 // Another box that publishes this table does so before the first read.
	if cfg.Peers != "" {
		// A box counts as in contact with the store 3 s after its start. Until settleTime another box may
		// publish the table, which saves one call per box.
		o.FirstReadDelay, o.NoUpstreamExpected = settleTime, func() bool { return b.node.IsFirst() } // makeTables sets b.node later.
	}
	return o
}

// The names that messages between boxes use for the tables.
const (
	tableConfig    = "configuration"
	tableEndpoints = "endpoints"
	tablePolicies  = "policies"
	tableMembers   = "members"
	tableCrashes   = "ends"
)

// makeTables creates the tables that the box follows, and the node that connects the box to the other boxes.
func (b *RelayBox) makeTables() {
	cfg := b.settings.Load()
	operator, list, manual, members := tableOptions(cfg, &b.storeLink)
	crashes := b.crashOptions(cfg, operator)
	b.rejected = map[string]*rejectedRows{}
	for _, name := range []string{tableConfig, tableEndpoints, tablePolicies, tableMembers, tableCrashes} {
		b.rejected[name] = newRejectedRows(name, b.Metrics.Set, b.recorder.Log)
	}
	b.crashes.OnRejected = func(key string) { b.rejected[tableCrashes].reject("suspected crash row rejected", key, errCrashRow) }
	b.tables = map[string]*follow.Table{
		tableConfig:    b.newTable(tableConfig, b.site.Operator, operator, &b.configFreshness, b.applyConfig, func() { b.configRestored = true }),
		tableEndpoints: b.newTable(tableEndpoints, b.site.Endpoints, list, &b.listFreshness, b.applyList, func() { b.listRestored = true }),
		tablePolicies:  b.newTable(tablePolicies, b.site.SharedChanges, manual, &b.rulesFreshness, b.applyRules, nil),
		tableMembers:   b.newTable(tableMembers, b.site.Members, members, &b.membersFreshness, b.applyMembers, b.membersRestored),
		tableCrashes:   b.newTable(tableCrashes, b.site.SuspectedCrashChanges, crashes, &b.crashesFreshness, b.applyCrashes, b.crashesRestored),
	}
	shared := make(map[string]overlay.Table, len(b.tables))
	for name, t := range b.tables {
		shared[name] = t
	}
	b.node = overlay.New(overlay.Options{
		Self: overlay.Member{
			Name: cfg.Name, Region: cfg.Region, Hall: cfg.Hall, Incarnation: time.Now().UnixNano(), LinkMbps: cfg.LinkMbps,
			Plans: true, PlanRules: overlay.PlanRulesByID,
		},
		Register: b.site.MemberTable,
		Tables:   shared,
		// A box that starts while the store is unavailable may fetch these tables from another box. It needs no key
		// of the boxes for that. The configuration contains the hashes of callers' keys: without them, the new
		// box would refuse all callers. The other two tables are not open: the policies contain the hashes of
		// the operators' keys, and the members contain the key of the boxes.
		KeylessTables: []string{tableConfig, tableEndpoints, tableCrashes},
		Seeds:         cfg.Seeds,
		Room:          func(r overlay.Room) overlay.RoomAnswer { return b.Relay.HasRoom(r) },
		Limits:        b.quotaPool,
		Slots:         relaySlots{b},
		Retries:       relayRetries{b},
		MembersAge:    b.membersFreshness.Age,
		OnMessage:     func(msg overlay.Message) { b.Relay.Receive(msg) },
		OnOrigin:      b.logForeignOrigin,
		ConfirmOrigin: b.confirmOrigin,
		OnStateChange: b.recorder.Log.StateChange,
		OnRejected:    func(key string, err error) { b.rejected[tableMembers].reject("member row rejected", key, err) },
		OnMalformed:   b.malformedOf(telemetry.OfBox),
		Metrics:       b.Metrics.Set,
	})
}

// relayRetries lends calls of the retry budgets of a box's relay. The relay is created after the node that needs it.
type relayRetries struct{ b *RelayBox }

func (s relayRetries) LendRetries(service string, calls int, returned retry.Loan) retry.Loan {
	return s.b.Relay.LendRetries(service, calls, returned)
}

// relaySlots is the slot server of a box's relay. The relay is created after the node that needs the slot server.
type relaySlots struct{ b *RelayBox }

func (s relaySlots) Acquire(ctx context.Context, cell slots.Cell, r slots.Request, queued func(slots.Decision)) (slots.Decision, bool) {
	return s.b.Relay.SlotServer().Acquire(ctx, cell, r, queued)
}

func (s relaySlots) Release(cell slots.Cell, id string, res slots.Result) bool {
	return s.b.Relay.SlotServer().Release(cell, id, res)
}

// slotOwner returns the box that this box asks first for a slot of a cell. A box without peers is the owner of all cells.
func (b *RelayBox) slotOwner(cell slots.Cell) string {
	if cfg := b.settings.Load(); cfg.Peers == "" {
		return cfg.Name
	}
	return b.node.SlotOwner(cell)
}

// followTables starts to follow all tables. The members are followed only if the box has an address for peers.
func (b *RelayBox) followTables() {
	for name, t := range b.tables {
		if name != tableMembers || b.settings.Load().Peers != "" {
			go t.Run(b.ctx)
		}
	}
}

// longReadTime is how long the bytes of a response of the store may take to arrive before a line is logged. A change of the
// configuration or of the list of endpoints must be in force on all boxes within a few seconds, and the read is the first
// step.
const longReadTime = 500 * time.Millisecond

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
	t.OnBytes = b.Metrics.Set.NewCounter(fmt.Sprintf("stoatramp_store_read_bytes_total{table=%q}", name)).Add
	readSeconds := b.Metrics.Set.NewFloatCounter(fmt.Sprintf("stoatramp_store_read_seconds_total{table=%q}", name))
	t.OnRead = func(bytes int64, took time.Duration) {
		readSeconds.Add(took.Seconds())
		if took > longReadTime {
			b.recorder.Log.StateChange("long read of the store", zap.String("table", name), zap.Int64("bytes", bytes), zap.Duration("took", took))
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

// errCrashRow is the cause of a rejected row of the suspected crashes, whatever is wrong with it.
var errCrashRow = errors.New("no box can have written this row")

func (b *RelayBox) applyConfig(rows map[string][]byte) {
	b.applyEvacuations(rows)
	c, err := b.site.ParseConfig(rows)
	if err != nil {
		if !errors.Is(err, b.configError) { // The same error stands for the same document.
			b.rejected[tableConfig].reject("configuration rejected", tableConfig, err)
		}
		b.configError = err
		return
	}
	b.configError = nil
	if c == nil || !b.configTexts.recordIfNewer(c.Version, c.Digest) {
		return
	}
	old := b.Relay.Version()
	b.quotaPool.SetLimits(clock.Now(), c.AccountLimits())
	b.Relay.SetConfig(c)
	b.recorder.Log.StateChange("configuration in force", zap.Int64("version", c.Version), zap.Int64("before", old), zap.Int("routes", len(c.Routes)))
}

// applyRules puts a newer shared configuration in force. The version in force never decreases, whatever the store
// returns. If a configuration does not compile, applyRules rejects it, and the previous configuration stays in force.
func (b *RelayBox) applyRules(rows map[string][]byte) {
	if b.shared.set(rows) {
		b.rewriteShared()
	}
	text := control.CurrentRow(rows)
	if text != nil && bytes.Equal(text, b.rulesText) {
		return // Another row has changed.
	}
	b.rulesText = text
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
		b.rejected[tablePolicies].reject("policies rejected", tablePolicies, err)
		return
	}
	b.rules.Store(c)
	b.Relay.SetPolicies(c.Version, set)
	b.Relay.SetWeights(c.Weights)
	b.recorder.Log.StateChange("policies in force", zap.Int64("version", c.Version), zap.String("author", v.Author),
		zap.Int("policies", len(c.Policies)), zap.Int("rules", len(c.Rules)), zap.Int("operators", len(c.Operators)))
}

// parseRules parses a version that was accepted before. Its test cases passed then, so they are not run again.
func parseRules(v *control.Version) (*config.Rules, error) {
	c, err := config.ParseRules(fmt.Sprintf("version %d", v.Number), []byte(v.Text), nil)
	if err != nil {
		return nil, err
	}
	c.Version = v.Number
	return c, nil
}

// checkRules checks the text of a shared configuration before it is accepted, and runs the test cases of its policies.
func checkRules(text string) error {
	_, err := config.ParseRules("configuration", []byte(text), policy.Check)
	return err
}

// isOperator reports whether a key belongs to an operator. It accepts the operator key in the settings, and the keys
// of the operators in the shared configuration.
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
	// foreign means that the row names no endpoint to use. There are two causes. A program other than the platform's
	// endpoints wrote the row, or the row comes from an older snapshot of the store.
	foreign bool
	// usedWithoutStart is set while the row lacks a start time, once it has named an endpoint to use (usable).
	usedWithoutStart bool
	// replacement replaces the row at a later time if the row has not changed by then. It is nil if no replacement
	// is planned.
	replacement *rowReplacement
}

// rowReplacement is what a row becomes at a given time.
type rowReplacement struct {
	listedEndpoint
	at time.Time
}

// expiredEntryGrace is how long a missing endpoint is kept after the store is reachable again. The endpoint's row may
// have expired during the outage. A live endpoint writes its row again within two seconds.
const expiredEntryGrace = 2100 * time.Millisecond

// keepExpired keeps endpoints that are missing from the list after an outage of the store. It does so for
// expiredEntryGrace, and not for endpoints that are leaving. It sets a timer to check the list again. By then, live
// endpoints should have written their rows.
func (b *RelayBox) keepExpired(next map[string]listedEndpoint) {
	remaining := expiredEntryGrace - b.timeSinceRecovery()
	if remaining <= 0 {
		return
	}
	kept := 0
	for key, old := range b.listed {
		if _, listed := next[key]; !listed && !old.endpoint.Leaving && !old.foreign {
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

// timeSinceRecovery is the time since the store first answered after its last outage.
func (b *RelayBox) timeSinceRecovery() time.Duration { return b.tables[tableEndpoints].SinceRecovery() }

// applyList applies a new list of endpoints. Most rows are unchanged, and most changed rows contain nothing new about
// their endpoint. So only changed rows are parsed, and the relay receives the list only if an endpoint has changed.
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
	// maxListShare is a share of the box's time. At most this share is spent on passing the list of endpoints to the
	// relay. One pass lasts 7 ms at 10,000 endpoints, and several times as long on a fifth of a core. Changes that
	// arrive between two passes are passed on together.
	maxListShare = 0.1
	// maxListPause bounds how long changes of the list wait, even if the last pass lasted very long. A box that was
	// frozen must learn quickly which endpoints are leaving.
	maxListPause = 600 * time.Millisecond
)

// listPause returns how long further changes wait. took is how long the last pass of the list to the relay took.
func listPause(took time.Duration) time.Duration {
	return min(time.Duration(float64(took)/maxListShare), maxListPause)
}

// deferList reports whether it is too early to pass the list on. If so, it sets a timer that passes the list on later.
func (b *RelayBox) deferList(now time.Time) bool {
	remaining := b.listDueAt.Sub(now)
	if remaining <= 0 {
		return false
	}
	if !b.listTimerSet {
		b.listTimerSet = true
		time.AfterFunc(remaining, func() { b.tables[tableEndpoints].Reapply(func() { b.listTimerSet = false }) })
	}
	return true
}

// readList parses the rows that changed, and reports whether they contain anything new. Most updates change one row
// among thousands. So if all known rows are still there, readList changes the list in place.
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
			b.rejected[tableEndpoints].reject("endpoint row rejected", key, err)
		}
		read := listedEndpoint{text: text, endpoint: e, foreign: err != nil, usedWithoutStart: old.usedWithoutStart && e.Started == 0}
		if b.listRestored {
			read = b.restoredRow(key, read, old, known)
		}
		changed = changed || !known || read.endpoint != old.endpoint || read.foreign != old.foreign
		next[key] = read
	}
	return next, changed, inPlace
}
