// Package overlay distributes the platform's tables and gossip messages among the boxes of a
// platform, with no coordinator and no fixed list of members.
//
//	platform's store ─► oldest box of all ─┬► the others of its hall
//	                                       ├► oldest box of another hall ─► the others of that
//	                                       └► …
//
// Each box registers itself in a table of the store. It follows an older box of its hall (see
// parent), its upstream; the oldest of a hall follows the oldest of all; and a box without an
// upstream reads the store itself. So one box reads for all, and electing it takes no agreement:
// two boxes that both act as the root only cost some extra calls to the store. Tables flow down
// the tree (package follow ensures that they never go back to an older version and are fresh
// enough). Gossip messages also flow up, and reach each box of the tree once.
package overlay

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/quota"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

const (
	// heartbeatInterval is how often a follower is sent an update even without changes, and
	// silenceTimeout how long a follower waits for one before it reads the store itself.
	heartbeatInterval = 200 * time.Millisecond
	silenceTimeout    = 600 * time.Millisecond
	// minSendInterval is the minimum time between two sends to one follower, or to the upstream:
	// what is queued meanwhile is sent together.
	minSendInterval = 60 * time.Millisecond
	// followerBytesPerSecond limits the rate at which one follower is sent long updates, and
	// maxSendInterval bounds the pause that results; it is shorter than silenceTimeout. The smallest
	// boxes have links of 20 Mbit/s, 2.5 MB/s, and fourteen followers in a hall of 200: a third of
	// the link is for tables.
	followerBytesPerSecond = 50e3
	maxSendInterval        = 400 * time.Millisecond
	// minFollowTime is how long an upstream is kept although a better one is available, or none is
	// needed, and minFollowTimeStoreLost the same where it was chosen because the store did not answer.
	minFollowTime          = 2 * time.Second
	minFollowTimeStoreLost = 6 * time.Second
	// upstreamRetryInterval is the pause between attempts to select an upstream while there is none.
	upstreamRetryInterval = 500 * time.Millisecond
	// callTimeout bounds a call to another box, and dialTimeout the connection to it.
	callTimeout = 500 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxFollowers bounds the followers of one box; further boxes follow one of those.
	maxFollowers = 64
	// maxQueuedMessages bounds the gossip messages that are queued for one box.
	maxQueuedMessages = 512
	// registerInterval is the mean pause between attempts to register this box, and registerJitter
	// keeps boxes that start together from writing at the same time.
	registerInterval = 2 * time.Second
	// An upstream that reports that the store does not answer it is dropped after storeLostGrace if
	// the store answers this box, and otherwise after bothStoreLostGrace.
	storeLostGrace     = 400 * time.Millisecond
	bothStoreLostGrace = 2500 * time.Millisecond
	registerJitter     = 300 * time.Millisecond
	// keyCreationTimeout is how long the oldest box has to create the shared key.
	keyCreationTimeout = 2 * registerInterval
	// protocolVersion is raised when boxes of the previous version would misread a message.
	protocolVersion = 1
)

// Table is a table that boxes replicate to each other; package follow implements it.
type Table interface {
	PartSince(since follow.Version) follow.Part
	Receive(p follow.Part, duration time.Duration) bool
	EndDelegation()
	SetFollowed(yes bool)
	Changed() <-chan struct{}
	Version() follow.Version
	Unavailable() bool
}

// Register is the table of members in the platform's store.
type Register interface {
	// Put adds or replaces a row.
	Put(ctx context.Context, key string, value []byte) error
	// Create adds a row unless one exists.
	Create(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, key string) error
}

// Options configure a Node.
type Options struct {
	Self     Member
	Register Register
	// Tables are replicated, by names that all boxes share. Open are those that a box which
	// starts while the store is unavailable may fetch without a key.
	Tables        map[string]Table
	KeylessTables []string
	// Seeds are addresses of boxes, ip:port, which may be stale.
	Seeds []string
	// Room answers for engines that this box owns, and must not block.
	Room func(Room) bool
	// Limits holds the parts of account limits that this box grants from as owner of client accounts.
	Limits *quota.Pool
	// OnMessage receives the gossip messages of other boxes, and must not block.
	OnMessage func(Message)
	// OnStateChange reports changes of the observed state of other boxes, and must not block.
	OnStateChange func(change string, fields ...zap.Field)
	Metrics       *metrics.Set
}

// Node is one box's part of the overlay. All fields are set by New.
type Node struct {
	o       Options
	hc      *http.Client
	members members
	count   counters
	// membersChanged is signalled when the list of members changes.
	membersChanged chan struct{}
	// stopped is cancelled when the box begins a planned stop: its followers select another upstream.
	stopped      context.Context
	stop         context.CancelFunc
	seedLimiter  bucket
	unresponsive unresponsiveOwners
	ownerOrder   ownerRankings
	lender       quota.Lender
	// interests tracks the engines that this box deals with, as the upstream knows them.
	interests interestState
	packer    packer
	startedAt time.Time
	// keyMissingSince is when the list was first seen without a key. Only register uses it.
	keyMissingSince time.Time
	// lastPut is when this box last registered itself. Only register uses it.
	lastPut time.Time

	// followedMu serializes the calls of Table.SetFollowed; it is locked before mu.
	followedMu sync.Mutex

	mu        sync.Mutex
	followers map[*follower]struct{}
	upstream  *link // nil if this box follows none.
	// upstreamPath names the boxes that this box's tables pass through; empty if it reads the store.
	upstreamPath []string
	seq          uint64
	// lastReceived is the position of the last gossip message received from each box.
	lastReceived map[string]messagePosition
}

type messagePosition struct {
	incarnation int64
	seq         uint64
}

type counters struct {
	published, received, dropped, refused, switches  *metrics.Counter
	roomGranted, roomDenied, roomUnanswered          *metrics.Counter
	lent, lendFailed, allowAnswered, allowUnanswered *metrics.Counter
}

// New returns a node that knows no other box yet.
func New(o Options) *Node {
	n := &Node{
		o: o, membersChanged: make(chan struct{}, 1), followers: map[*follower]struct{}{}, lastReceived: map[string]messagePosition{},
		seedLimiter: bucket{rate: seedCallsPerSecond, burst: seedCallsPerSecond}, startedAt: clock.Now(),
	}
	n.stopped, n.stop = context.WithCancel(context.Background())
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	n.hc = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}}
	n.count = counters{
		published:       o.Metrics.NewCounter("stoatramp_overlay_facts_told_total"),
		received:        o.Metrics.NewCounter("stoatramp_overlay_facts_heard_total"),
		dropped:         o.Metrics.NewCounter("stoatramp_overlay_facts_dropped_total"),
		refused:         o.Metrics.NewCounter("stoatramp_overlay_refused_total"),
		switches:        o.Metrics.NewCounter("stoatramp_overlay_switches_total"),
		roomGranted:     o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="granted"}`),
		roomDenied:      o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="denied"}`),
		roomUnanswered:  o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="none"}`),
		lent:            o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="yes"}`),
		lendFailed:      o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="none"}`),
		allowAnswered:   o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="yes"}`),
		allowUnanswered: o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="none"}`),
	}
	o.Metrics.NewGauge("stoatramp_overlay_members", func() float64 { return float64(n.members.size()) })
	o.Metrics.NewGauge("stoatramp_overlay_followers", func() float64 { return float64(n.Followers()) })
	return n
}

// SetAddress sets the address at which this box serves others. It must be called before Run.
func (n *Node) SetAddress(address string) { n.o.Self.Address = address }

// SetMembers replaces the table of members.
func (n *Node) SetMembers(rows map[string][]byte) {
	n.members.set(rows)
	select {
	case n.membersChanged <- struct{}{}:
	default:
	}
}

// MembersRestored announces that the next table of members comes from a restored, older copy. The
// table must be set once more after MissingRetention.
func (n *Node) MembersRestored() { n.members.setRestored() }

// Followers returns the number of boxes that follow this one.
func (n *Node) Followers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.followers)
}

// Connected reports whether gossip messages of others reach this box: it follows one or is followed.
func (n *Node) Connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream != nil || len(n.followers) > 0
}

// HasUpstream reports whether this box follows another one.
func (n *Node) HasUpstream() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstream != nil
}

// IsOldest reports whether this box is the oldest one listed of its region, and so follows nobody.
func (n *Node) IsOldest() bool {
	all := n.members.list(n.o.Self.Region)
	return len(all) > 0 && !slices.ContainsFunc(all, func(m Member) bool {
		return m.Name != n.o.Self.Name && compareAge(m, n.o.Self) < 0
	})
}

// MemberCount returns how many boxes are listed, this one included.
func (n *Node) MemberCount() int { return n.members.size() }

// RegionSize returns how many boxes of this one's region are listed, this one included. They
// exchange gossip messages.
func (n *Node) RegionSize() int { return len(n.members.list(n.o.Self.Region)) }

// Boxes lists the names of the boxes of a region, with a number that changes with the list.
func (n *Node) Boxes(region string) (names []string, version int64) {
	version = n.members.changes.Load()
	for _, m := range n.members.list(region) {
		names = append(names, m.Name)
	}
	return names, version
}

// Run takes part in the overlay until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for _, t := range n.o.Tables {
		go n.watchTable(ctx, t)
	}
	go n.register(ctx)
	go n.fetchFromSeeds(ctx)
	n.follow(ctx)
}

// Leave prepares a planned stop: it disconnects the followers and removes this box from the list.
func (n *Node) Leave(ctx context.Context) {
	n.stop()
	_ = n.o.Register.Remove(ctx, n.o.Self.Name) // Otherwise the next start replaces the row.
}

// watchTable wakes the followers when a table changes.
func (n *Node) watchTable(ctx context.Context, t Table) {
	for {
		select {
		case <-t.Changed():
			n.wakeFollowers()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) wakeFollowers() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.followers {
		f.signal()
	}
}

// register keeps this box listed, and creates the shared key where that is up to this box.
func (n *Node) register(ctx context.Context) {
	sleep(ctx, time.Duration(mrand.Int64N(int64(registerJitter))))
	for ctx.Err() == nil && n.stopped.Err() == nil {
		if !n.members.loaded() {
			sleep(ctx, registerJitter/3)
			continue
		}
		n.registerOnce(ctx)
		pause := registerInterval
		if n.members.sharedKey() == "" {
			pause = registerJitter // No box can follow another before there is a key.
		}
		sleep(ctx, pause/2+time.Duration(mrand.Int64N(int64(pause))))
	}
}

func (n *Node) registerOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	m, listed := n.members.get(n.o.Self.Name)
	if listed = listed && m == n.o.Self; !listed && clock.Since(n.lastPut) > registerInterval {
		n.lastPut = clock.Now() // The list shows the row with some delay.
		_ = n.o.Register.Put(ctx, n.o.Self.Name, n.o.Self.encode())
	}
	key, missing := n.members.keyMissing()
	if !missing {
		n.keyMissingSince = time.Time{}
		return
	}
	if n.shouldCreateKey(listed, clock.Now()) {
		_ = n.o.Register.Create(ctx, keyRow, []byte(cmp.Or(key, rand.Text()))) // If two boxes create it, the table shows which row was stored.
	}
}

// shouldCreateKey reports whether this box creates the shared key: the oldest listed box does so at
// once, and any other one if the key is still missing after keyCreationTimeout. If every box
// tried, that would cost a large fleet as much as all that it asks the store for in a minute.
func (n *Node) shouldCreateKey(listed bool, now time.Time) bool {
	if n.keyMissingSince.IsZero() {
		n.keyMissingSince = now
	}
	if now.Sub(n.keyMissingSince) > keyCreationTimeout {
		return true
	}
	list := n.members.list(n.o.Self.Region)
	return listed && !slices.ContainsFunc(list, func(m Member) bool { return compareAge(m, n.o.Self) < 0 })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follow follows the selected upstream, and selects again when that ends.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil && n.stopped.Err() == nil {
		if m, ok := n.selectUpstream(); ok {
			n.followMember(ctx, m)
			continue
		}
		select {
		case <-n.membersChanged:
		case <-time.After(upstreamRetryInterval):
		case <-ctx.Done():
		}
	}
}

// selectUpstream returns the member to follow now: one of the hall, or, if this box is the oldest
// there, the oldest of all. A box that the store does not answer follows any other; a cycle that
// results is detected by the path of the updates.
func (n *Node) selectUpstream() (Member, bool) {
	if n.members.sharedKey() == "" {
		return Member{}, false
	}
	self := n.o.Self
	// The row of a previous start of this box may still exist.
	list := slices.DeleteFunc(n.members.followable(self.Region, clock.Now()), func(m Member) bool { return m.Name == self.Name })
	hall := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != self.Hall })
	if m, ok := parent(hall, self); ok {
		return m, true
	}
	if len(list) > 0 && (compareAge(list[0], self) < 0 || n.storeLost()) {
		return list[0], true
	}
	return Member{}, false
}

// storeLost reports whether a table is unavailable: neither the store nor an upstream provides it.
func (n *Node) storeLost() bool {
	for _, t := range n.o.Tables {
		if t.Unavailable() {
			return true
		}
	}
	return false
}

// followMember follows a member until that fails or another upstream should be used instead.
func (n *Node) followMember(ctx context.Context, m Member) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began, minTime := clock.Now(), minFollowTime
	if compareAge(m, n.o.Self) > 0 {
		minTime = minFollowTimeStoreLost
	}
	l := newLink(n, m)
	err := l.follow(ctx, func() bool {
		// The member's row may have been that of an earlier start: then no box is older than this one.
		best, ok := n.selectUpstream()
		return (!ok || best != m) && clock.Since(began) > minTime
	})
	n.setUpstream(nil)
	if ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, errBetterUpstream):
		n.members.recordSuccess(m)
		return
	case errors.Is(err, errUpstreamStoreLost), errors.Is(err, errCycle):
		n.members.recordSuccess(m) // It may work again in a moment.
	}
	if l.established {
		n.members.recordSuccess(m)
		n.o.OnStateChange("followed box failed", zap.String("box", m.Name), zap.Error(err))
	}
	n.members.recordFailure(m, clock.Now())
	for _, t := range n.o.Tables {
		t.EndDelegation()
	}
}

var errBetterUpstream = errors.New("a better upstream is available")

// setUpstream sets the link to the upstream; nil if there is none.
func (n *Node) setUpstream(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstream, n.upstreamPath = l, nil
}

// setUpstreamPath sets the boxes that the tables pass through.
func (n *Node) setUpstreamPath(path []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreamPath = path
}

// fetchFromSeeds fetches the open tables of other boxes for a box that starts while the store is
// unavailable: it serves callers better with old tables than with none.
func (n *Node) fetchFromSeeds(ctx context.Context) {
	sleep(ctx, silenceTimeout)
	for ctx.Err() == nil && n.members.sharedKey() == "" {
		for _, address := range n.o.Seeds {
			if address != n.o.Self.Address {
				n.fetchFromSeed(ctx, address)
			}
		}
		sleep(ctx, silenceTimeout/2+time.Duration(mrand.Int64N(int64(silenceTimeout))))
	}
}

func (n *Node) fetchFromSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg, err := n.fetchTables(ctx, address)
	if err != nil {
		return
	}
	for _, p := range msg.Tables {
		t := n.o.Tables[p.Name]
		if t == nil || !t.Version().Before(tableVersion(p)) {
			continue
		}
		n.o.OnStateChange("table fetched from a seed box", zap.String("table", p.Name), zap.String("from", address), zap.Stringer("version", tableVersion(p)), zap.Int64("age_ms", p.AgeMs))
		part, err := decodePart(p)
		if err != nil {
			n.o.OnStateChange("table from a seed box could not be decoded", zap.String("table", p.Name), zap.String("from", address), zap.Error(err))
			continue
		}
		t.Receive(part, silenceTimeout)
	}
}

// tableVersion is the version of a table in a message. Boxes that know no eras leave theirs at 0.
func tableVersion(p *v1.Table) follow.Version { return follow.Version{Era: p.Era, Number: p.Version} }

// decodePart decodes a part of a table.
func decodePart(p *v1.Table) (follow.Part, error) {
	out := follow.Part{Version: tableVersion(p), Since: follow.Version{Era: p.SinceEra, Number: p.Since}, OmitsReverted: p.Skips, Age: time.Duration(p.AgeMs) * time.Millisecond, Lost: p.AgeMs < 0}
	rows := p.Rows
	if len(p.Packed) > 0 {
		var err error
		if rows, err = unpack(p.Packed); err != nil {
			return follow.Part{}, fmt.Errorf("table %s: %w", p.Name, err)
		}
	}
	for _, r := range rows {
		out.Rows = append(out.Rows, follow.Row{Key: r.Key, Value: r.Value, Gone: r.Gone})
	}
	return out, nil
}

// encodePart encodes a part of a table, with long rows packed if the receiver can read that.
func (n *Node) encodePart(name string, p follow.Part, packed bool) *v1.Table {
	out := &v1.Table{
		Name: name, Version: p.Version.Number, Era: p.Version.Era, Since: p.Since.Number, SinceEra: p.Since.Era, Skips: p.OmitsReverted, AgeMs: p.Age.Milliseconds(),
	}
	if p.Lost {
		out.AgeMs = -1
	}
	for _, r := range p.Rows {
		out.Rows = append(out.Rows, &v1.Row{Key: r.Key, Value: r.Value, Gone: r.Gone})
	}
	if !packed {
		return out
	}
	if out.Packed = n.packer.pack(out); out.Packed != nil {
		out.Rows = nil
	}
	return out
}
