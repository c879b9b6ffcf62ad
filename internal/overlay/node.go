// Package overlay distributes two things among the boxes of a platform: the tables of the platform's store, and gossip
// messages. It needs no coordinator and no fixed list of boxes.
//
//	platform's store ─► first box of all ─┬► the others of its hall
//	                                      ├► first box of another hall ─► the others of that
//	                                      └► …
//
// Each box registers itself as a member: it writes a row with its address to the members table of the store. Members
// rank by their links and their age (see compareUpstreams). Each box follows a box of its hall that ranks higher (see
// parent). The box that it follows is its upstream and sends it the tables. The first box of a hall follows the first
// box of all. A box without an upstream reads the store itself. So one box
// reads for all boxes. No agreement is needed to elect that box: two boxes that both act as the root only cost some
// extra calls to the store. The members table also holds the shared key, which authenticates the calls between all
// boxes.
//
// Tables flow down the tree, from each box to its followers. Package follow ensures that a table never goes back to an
// older version and is fresh enough. Gossip messages report observations of single boxes, such as the load of an
// engine. They flow up and down, and reach each box of the tree once.
//
// The owner of an engine or of a client account is a box that all other boxes ask. The owner of an engine grants the
// engine's memory to streams. The owner of an account grants units of the account's limit.
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
	"github.com/stoatramp/stoatramp/internal/retry"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

const (
	// heartbeatInterval is how often a follower is sent an update even if nothing has changed. silenceTimeout is how
	// long a follower waits for an update, or for progress of one that has begun. After that the follower reads the
	// store itself.
	heartbeatInterval = 200 * time.Millisecond
	silenceTimeout    = 600 * time.Millisecond
	// minSendInterval is the minimum time between two sends to one follower, or to the upstream. Messages that
	// are queued meanwhile are sent together.
	minSendInterval = 60 * time.Millisecond
	// followerBytesPerSecond limits the rate at which one follower is sent long updates. maxSendInterval bounds the
	// pause after a long update. It is shorter than silenceTimeout. In a hall of 200 boxes, a box with a link of
	// 20 Mbit/s, which is 2.5 MB/s, has fourteen followers. A third of the link is for tables. Parts of more than
	// maxInlineBytes are not in updates.
	followerBytesPerSecond = 50e3
	maxSendInterval        = 400 * time.Millisecond
	// minFollowTime is how long a box keeps its upstream although a better upstream is available or the box needs no
	// upstream. minFollowTimeStoreLost applies instead if the upstream was chosen because the store did not answer.
	minFollowTime          = 2 * time.Second
	minFollowTimeStoreLost = 6 * time.Second
	// upstreamRetryInterval is the pause between attempts to select an upstream while a box has none.
	upstreamRetryInterval = 500 * time.Millisecond
	// callTimeout bounds a call to another box. dialTimeout bounds the time to connect to that box.
	callTimeout = 500 * time.Millisecond
	dialTimeout = 300 * time.Millisecond
	// maxFollowers bounds the followers of one box. The box refuses further boxes. These then follow another box.
	maxFollowers = 64
	// maxQueuedMessages bounds the gossip messages that are queued for one box.
	maxQueuedMessages = 512
	// registerInterval is the mean pause between two checks whether this box is still in the members table.
	// registerJitter keeps boxes that start together from writing at the same time.
	registerInterval = 2 * time.Second
	// These are for a box whose upstream reports that the store does not answer the upstream. If the store answers the
	// box, the box drops the upstream after storeLostGrace. Otherwise it does so after bothStoreLostGrace.
	storeLostGrace     = 400 * time.Millisecond
	bothStoreLostGrace = 2500 * time.Millisecond
	registerJitter     = 300 * time.Millisecond
	// isolationTime is how long a box has no contact with an upstream or a follower until it counts as isolated. A box that
	// loses its upstream follows the next one within silenceTimeout, minFollowBackoff and a call.
	isolationTime = 2 * time.Second
	// keyCreationTimeout is how long the other boxes wait for the oldest box to create the shared key. The shared key
	// authenticates the connections between all boxes.
	keyCreationTimeout = 2 * registerInterval
	// protocolVersion is raised when boxes of the previous version would misread a message.
	protocolVersion = 1
)

// Table is a copy of a table of the store that boxes send each other. Package follow implements it.
type Table interface {
	PartSince(since follow.Version) follow.Part
	Receive(p follow.Part, duration time.Duration) bool
	EndDelegation()
	ExtendDelegation(duration time.Duration, transferring bool)
	SetFollowed(yes bool)
	Changed() <-chan struct{}
	Version() follow.Version
	// Value returns the value of a row; nil if there is none.
	Value(key string) []byte
	Unavailable() bool
}

// Register writes the members table in the platform's store.
type Register interface {
	// Put adds a row or replaces the row with this key.
	Put(ctx context.Context, key string, value []byte) error
	// Create adds a row unless there is a row with this key.
	Create(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, key string) error
}

// Node is the overlay's part of one box. New sets all fields.
type Node struct {
	o          Options
	httpClient *http.Client
	members    members
	count      counters
	// membersChanged has an element when the list of members has changed.
	membersChanged chan struct{}
	// stopped is cancelled when this box begins a planned stop. Then its followers select another upstream.
	stopped      context.Context
	stop         context.CancelFunc
	seedLimiter  bucket
	unresponsive unresponsiveOwners
	ownerOrder   ownerRankings
	boxes        regionBoxes
	others       otherBoxes
	lender       quota.Lender
	slots        slotState
	retryLenders retry.Lenders
	borrowers    borrowers
	origins      originState
	// confirmations are the requests for origins that other boxes read in the store.
	confirmations confirmations
	// interests holds the engines that this box has a use for messages about, and those that its upstream knows.
	interests interestState
	packer    packer
	blobs     blobStore
	blobCount blobCounters
	startedAt time.Time
	// keyMissingSince is when this box first found that the members table has no shared key. Only register
	// uses it.
	keyMissingSince time.Time
	// lastPut is when this box last registered itself. Only register uses it.
	lastPut time.Time

	// followedMu serializes the calls of Table.SetFollowed; it is locked before mu.
	followedMu sync.Mutex

	mu        sync.Mutex
	followers map[*follower]struct{}
	upstream  *link // nil if this box follows none.
	// upstreamPath names the boxes that the tables pass through on their way from the store to this box. It is empty if
	// this box reads the store itself.
	upstreamPath []string
	// lastContact is when an upstream last sent this box anything or this box a follower, or the start of this box.
	// othersSince is since when others of its region are listed; zero if none is.
	lastContact, othersSince time.Time
	seq                      uint64
	// needsWhole are the tables that the next upstream must send whole, because a delta did not fit.
	needsWhole map[string]bool
	// lastReceived is the incarnation and sequence number of the last gossip message from each box.
	lastReceived map[string]messagePosition
}

type messagePosition struct {
	incarnation int64
	seq         uint64
	receivedAt  time.Time
}

type counters struct {
	published, received, dropped, refused, switches *metrics.Counter
	// updateBytes counts the bytes of the updates that the upstreams of this box sent. followEnds counts the times that
	// this box stopped following an upstream, by cause.
	updateBytes *metrics.Counter
	followEnds  map[string]*metrics.Counter
	// unknownBases counts the deltas that did not fit.
	unknownBases                                         *metrics.Counter
	roomGranted, roomDenied, roomYielded, roomUnanswered *metrics.Counter
	lent, lendFailed, allowAnswered, allowUnanswered     *metrics.Counter
	// These count the requests for slots to other boxes.
	slotGranted, slotRefused, slotStopping, slotUnanswered *metrics.Counter
	// slotReleaseCalls counts calls, and slotReleasesLost releases.
	slotReleaseCalls, slotReleasesLost *metrics.Counter
	// These count the requests to other boxes for calls of their retry budgets.
	retriesLent, retriesNotLent, retriesUnanswered *metrics.Counter
}

// New returns a node that knows no other box yet.
func New(o Options) *Node {
	n := &Node{
		o: o, membersChanged: make(chan struct{}, 1), followers: map[*follower]struct{}{}, needsWhole: map[string]bool{}, lastReceived: map[string]messagePosition{},
		seedLimiter: bucket{rate: seedCallsPerSecond, burst: seedCallsPerSecond}, startedAt: clock.Now(),
	}
	n.lastContact = n.startedAt
	n.stopped, n.stop = context.WithCancel(context.Background())
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	n.httpClient = &http.Client{Transport: transfer.RoundTripper{Base: o.strict(&http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true})}}
	n.members.onRejected = o.OnRejected
	n.slots = newSlotState(&o, dialer.DialContext)
	n.origins.count = newOriginCounters(o.Metrics)
	n.confirmations = newConfirmations(o.Metrics)
	n.blobCount = newBlobCounters(o.Metrics)
	n.count = counters{
		published:       o.Metrics.NewCounter("stoatramp_overlay_facts_told_total"),
		received:        o.Metrics.NewCounter("stoatramp_overlay_facts_heard_total"),
		dropped:         o.Metrics.NewCounter("stoatramp_overlay_facts_dropped_total"),
		refused:         o.Metrics.NewCounter("stoatramp_overlay_refused_total"),
		switches:        o.Metrics.NewCounter("stoatramp_overlay_switches_total"),
		updateBytes:     o.Metrics.NewCounter("stoatramp_overlay_update_bytes_total"),
		followEnds:      newFollowEnds(o.Metrics),
		unknownBases:    o.Metrics.NewCounter("stoatramp_overlay_unknown_bases_total"),
		roomGranted:     o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="granted"}`),
		roomDenied:      o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="denied"}`),
		roomYielded:     o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="yielded"}`),
		roomUnanswered:  o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="none"}`),
		lent:            o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="yes"}`),
		lendFailed:      o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="none"}`),
		allowAnswered:   o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="yes"}`),
		allowUnanswered: o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="none"}`),
		slotGranted:     o.Metrics.NewCounter(`stoatramp_overlay_slots_total{answer="granted"}`),
		slotRefused:     o.Metrics.NewCounter(`stoatramp_overlay_slots_total{answer="refused"}`),
		slotStopping:    o.Metrics.NewCounter(`stoatramp_overlay_slots_total{answer="stopping"}`),
		slotUnanswered:  o.Metrics.NewCounter(`stoatramp_overlay_slots_total{answer="none"}`),

		slotReleaseCalls: o.Metrics.NewCounter("stoatramp_overlay_slot_release_calls_total"),
		slotReleasesLost: o.Metrics.NewCounter("stoatramp_overlay_slot_releases_lost_total"),

		retriesLent:       o.Metrics.NewCounter(`stoatramp_overlay_retry_requests_total{answer="lent"}`),
		retriesNotLent:    o.Metrics.NewCounter(`stoatramp_overlay_retry_requests_total{answer="not_lent"}`),
		retriesUnanswered: o.Metrics.NewCounter(`stoatramp_overlay_retry_requests_total{answer="none"}`),
	}
	o.Metrics.NewGauge("stoatramp_overlay_members", func() float64 { return float64(n.members.size()) })
	o.Metrics.NewGauge("stoatramp_origins", func() float64 { return float64(n.OriginCount()) })
	o.Metrics.NewGauge("stoatramp_origins_evicted_total", func() float64 {
		_, evicted := n.origins.directory.Sizes()
		return float64(evicted)
	})
	o.Metrics.NewGauge("stoatramp_overlay_followers", func() float64 { return float64(n.Followers()) })
	return n
}

// SetAddress sets the address at which this box serves others. It must be called before Run.
func (n *Node) SetAddress(address string) { n.o.Self.Address = address }

// SetMembers replaces the table of members.
func (n *Node) SetMembers(rows map[string][]byte) {
	n.members.set(rows)
	n.noteOthers(clock.Now())
	n.forgetLastReceived(clock.Now())
	select {
	case n.membersChanged <- struct{}{}:
	default:
	}
}

// MembersRestored announces that the next table of members was restored from an older copy. SetMembers must be called
// once more after MissingRetention. That call removes the members that have not registered again.
func (n *Node) MembersRestored() { n.members.setRestored() }

// Followers returns the number of boxes that follow this box.
func (n *Node) Followers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.followers)
}

// Connected reports whether gossip messages of other boxes reach this box: it has an upstream or a follower.
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

// Isolated reports whether others of this box's region are listed, but for isolationTime this box has neither received anything
// from an upstream nor sent anything to a follower. Time for which this box was suspended counts. Isolated is false while this
// box has no list. A follower that was cut off without a word counts until its connection fails.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := clock.Now()
	return now.Sub(n.lastContact) >= isolationTime && !n.othersSince.IsZero() && now.Sub(n.othersSince) >= isolationTime
}

// noteContact records that an upstream has sent something, or that a follower was sent something.
func (n *Node) noteContact(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastContact = now
}

// noteOthers records whether others of this box's region are listed.
func (n *Node) noteOthers(now time.Time) {
	others := slices.ContainsFunc(n.members.list(n.o.Self.Region), func(m Member) bool { return m.Name != n.o.Self.Name })
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case !others:
		n.othersSince = time.Time{}
	case n.othersSince.IsZero():
		n.othersSince = now
	}
}

// IsFirst reports whether this box ranks highest of the listed boxes of its region, and so has no upstream.
func (n *Node) IsFirst() bool {
	all := n.members.list(n.o.Self.Region)
	return len(all) > 0 && !slices.ContainsFunc(all, func(m Member) bool {
		return m.Name != n.o.Self.Name && compareUpstreams(m, n.o.Self) < 0
	})
}

// MemberCount returns how many boxes are listed, this one included.
func (n *Node) MemberCount() int { return n.members.size() }

// RegionSize returns how many boxes of this box's region are listed, this box included. The boxes of a region
// exchange gossip messages.
func (n *Node) RegionSize() int { return len(n.members.list(n.o.Self.Region)) }

// regionBoxes caches the names of the boxes of each region, because they are needed for each plain call.
type regionBoxes struct {
	mu       sync.Mutex
	version  int64
	byRegion map[string][]string
}

// Boxes lists the names of the boxes of a region. The list must not be changed. Version is a number that changes whenever
// the list changes.
func (n *Node) Boxes(region string) (names []string, version int64) {
	version = n.members.changes.Load()
	s := &n.boxes
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byRegion == nil || s.version != version {
		s.byRegion, s.version = map[string][]string{}, version
	}
	names, ok := s.byRegion[region]
	if !ok {
		for _, m := range n.members.list(region) {
			names = append(names, m.Name)
		}
		s.byRegion[region] = names
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

// Leave prepares a planned stop: it disconnects the followers and removes this box from the members table.
func (n *Node) Leave(ctx context.Context) {
	n.stop()
	_ = n.o.Register.Remove(ctx, n.o.Self.Name) // If this fails, the next start of the box replaces the row.
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

// register keeps this box in the members table, and creates the shared key if that is this box's task.
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
		n.lastPut = clock.Now() // The list shows the new row only after some delay.
		_ = n.o.Register.Put(ctx, n.o.Self.Name, n.o.Self.encode())
	}
	key, missing := n.members.keyMissing()
	if !missing {
		n.keyMissingSince = time.Time{}
		return
	}
	if !n.shouldCreateKey(listed, clock.Now()) {
		return
	}
	// If two boxes write the key at the same time, the table shows which key was stored.
	value := []byte(cmp.Or(key, rand.Text()))
	if n.members.hasDamagedKey() {
		_ = n.o.Register.Put(ctx, keyRow, value)
		return
	}
	_ = n.o.Register.Create(ctx, keyRow, value)
}

// shouldCreateKey reports whether this box is to create the shared key. The oldest listed box creates it immediately.
// Any other box creates it if the key is still missing after keyCreationTimeout. If every box tried at the same
// time, the attempts would cost a large fleet as many calls as it makes to the store in a minute.
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

// follow selects an upstream and follows it, again and again until ctx ends or this box stops.
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

// selectUpstream returns the member that this box should follow now. This is a member of the hall that ranks higher, if
// there is one. Otherwise it is the first member of the region, if that member ranks higher than this box. If a table is
// unavailable to this box, the first other member will do even if it ranks lower. That can result in a cycle. A cycle
// is detected, since each update names the boxes that it passed.
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
	if len(list) > 0 && (compareUpstreams(list[0], self) < 0 || n.storeLost()) {
		return list[0], true
	}
	return Member{}, false
}

// storeLost reports whether a table is unavailable: neither the store nor another box provides it.
func (n *Node) storeLost() bool {
	for _, t := range n.o.Tables {
		if t.Unavailable() {
			return true
		}
	}
	return false
}

// followMember follows a member until that fails or this box should follow another member. It records the failure or
// success of the member.
func (n *Node) followMember(ctx context.Context, m Member) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began, minTime := clock.Now(), minFollowTime
	if compareUpstreams(m, n.o.Self) > 0 {
		minTime = minFollowTimeStoreLost
	}
	l := newLink(n, m)
	err := l.follow(ctx, func() bool {
		// If the member's row was that of an earlier start, this box may now be the oldest itself.
		best, ok := n.selectUpstream()
		return (!ok || best != m) && clock.Since(began) > minTime
	})
	n.setUpstream(nil)
	if ctx.Err() != nil {
		return
	}
	n.count.followEnds[followEndCause(err)].Inc()
	switch {
	case errors.Is(err, errBetterUpstream), errors.Is(err, errOtherVersion):
		n.members.recordSuccess(m)
		return
	case errors.Is(err, errUnknownBase):
		n.members.recordSuccess(m)
		n.count.unknownBases.Inc()
		n.o.OnStateChange("a delta did not fit; requesting the whole table", zap.String("box", m.Name), zap.Error(err))
		return
	case errors.Is(err, errUpstreamStoreLost), errors.Is(err, errCycle):
		n.members.recordSuccess(m) // The member answers. Its store, or the path of its updates, may be in order again soon.
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

// setUpstreamPath sets the boxes that the tables pass through before they reach this box.
func (n *Node) setUpstreamPath(path []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreamPath = path
}

// fetchFromSeeds fetches the tables that need no key from the seed boxes. It does so for as long as this box does not
// know the shared key. A box that starts while the store is unavailable serves callers better with old tables than
// without tables.
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
	ctx, _, cancel := transfer.WithIdleTimeout(ctx, callTimeout, callTimeout, nil, nil)
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
		part, err := decodePart(p, t.Value)
		if err != nil {
			n.o.OnStateChange("table from a seed box could not be decoded", zap.String("table", p.Name), zap.String("from", address), zap.Error(err))
			continue
		}
		t.Receive(part, silenceTimeout)
	}
}

// tableVersion returns the version of a table in a message. An era is the time between two restores of the store. Boxes
// of an older release know no eras and send 0.
func tableVersion(p *v1.Table) follow.Version { return follow.Version{Era: p.Era, Number: p.Version} }

func sinceVersion(p *v1.Table) follow.Version {
	return follow.Version{Era: p.SinceEra, Number: p.Since}
}

const (
	// maxEra is more restores than a store goes through. A box that took a later era for the present one would reject all that
	// the store says from then on.
	maxEra = 1 << 22
	// maxPartAge bounds the age of a part. Any part that is older than a minute is not fresh.
	maxPartAge = 24 * time.Hour
)

var errPartVersion = errors.New("the version is out of range")

func validVersion(v follow.Version) bool { return v.Number >= 0 && v.Era >= 0 && v.Era <= maxEra }

// decodePart decodes a part of a table: its changes since a version, or all its rows. Value returns the present value of
// a row of that table.
func decodePart(p *v1.Table, value func(key string) []byte) (follow.Part, error) {
	age := time.Duration(min(p.AgeMs, maxPartAge.Milliseconds())) * time.Millisecond
	out := follow.Part{Version: tableVersion(p), Since: sinceVersion(p), OmitsReverted: p.Skips, Age: age, Lost: p.AgeMs < 0, Transferring: p.Transferring}
	if !validVersion(out.Version) || !validVersion(out.Since) {
		return follow.Part{}, fmt.Errorf("table %s: %w", p.Name, errPartVersion)
	}
	rows := p.Rows
	if len(p.Packed) > 0 {
		var err error
		if rows, err = unpack(p.Packed); err != nil {
			return follow.Part{}, fmt.Errorf("table %s: %w", p.Name, err)
		}
	}
	for _, r := range rows {
		row, err := decodeRow(r, value)
		if err != nil {
			return follow.Part{}, fmt.Errorf("table %s: %w", p.Name, err)
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// encodings are the encodings of parts that a box can read.
type encodings struct {
	// packed stands for compressed rows, and deltas for rows that are the difference to an earlier value.
	// Blobs stands for parts that are fetched beside the updates.
	packed, deltas, blobs bool
}

// encodePart encodes a part of a table, as briefly as the receiver can read.
func (n *Node) encodePart(name string, p follow.Part, can encodings) *v1.Table {
	out := &v1.Table{
		Name: name, Version: p.Version.Number, Era: p.Version.Era, Since: p.Since.Number, SinceEra: p.Since.Era, Skips: p.OmitsReverted, AgeMs: p.Age.Milliseconds(), Transferring: p.Transferring,
	}
	if p.Lost {
		out.AgeMs = -1
	}
	var e encodedRows
	if can.packed {
		e = n.packer.encode(name, partKey{p.Since, p.Version, can.deltas}, p.Rows)
	} else {
		e = plainRows(p.Rows)
	}
	out.Rows, out.Packed = e.rows, e.packed
	return out
}
