// Package overlay has the boxes of a platform tell each other what one of them learned, with
// no coordinator and no fixed list.
//
//	platform's store ─► oldest box of all ─┬► the others of its hall
//	                                       ├► oldest box of another hall ─► the others of that
//	                                       └► …
//
// Each box lists itself in a table of the store. It follows an older box of its hall (see
// parent); the oldest of a hall follows the oldest of all; and a box that has nobody to follow
// reads the store itself. So one box reads for all, and who that is needs no agreement: two
// that believe it of themselves cost some calls. What comes down are the platform's tables
// (package follow sees to it that they never step back and are fresh enough) and facts; facts
// also go up, and once through the whole tree.
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
	// heartbeat is how often a follower hears something, and silence how long it waits for
	// that before it reads the store itself.
	heartbeat = 200 * time.Millisecond
	silence   = 600 * time.Millisecond
	// spacing is the least time between two messages to one follower, or to the box followed:
	// what comes meanwhile goes together.
	spacing = 60 * time.Millisecond
	// followerRate is how many bytes a second one follower is sent while messages are long, and
	// longestSpacing the longest pause that comes of it, shorter than silence. The smallest boxes have
	// links of 20 Mbit/s, 2.5 MB/s, and fourteen followers in a hall of 200: a third is for tables.
	followerRate   = 50e3
	longestSpacing = 400 * time.Millisecond
	// reconsider is how long a box is followed while a better one could be, or nobody need be,
	// and reconsiderLost the same where it is followed because the store did not answer.
	reconsider     = 2 * time.Second
	reconsiderLost = 6 * time.Second
	// lookAgain paces looks at the list of members while there is nobody to follow.
	lookAgain = 500 * time.Millisecond
	// callLimit bounds a call to another box, and dialLimit the connection to it.
	callLimit = 500 * time.Millisecond
	dialLimit = 300 * time.Millisecond
	// mostFollowers bounds the boxes that follow one: more follow one of those.
	mostFollowers = 64
	// mostQueued bounds the facts that wait to be sent to one box.
	mostQueued = 512
	// registerPause paces the tries to list this box, and registerSpread keeps boxes that
	// start together from writing together.
	registerPause = 2 * time.Second
	// A box that tells that the store does not answer it is followed no more after lostFor if
	// the store answers this one, and otherwise after bothLostFor.
	lostFor        = 400 * time.Millisecond
	bothLostFor    = 2500 * time.Millisecond
	registerSpread = 300 * time.Millisecond
	// keyWait is how long the oldest box has to make the key.
	keyWait = 2 * registerPause
	// protocol is raised when boxes of the version before would misread a message.
	protocol = 1
)

// Table is a table that boxes pass on; package follow has it.
type Table interface {
	Tell(since follow.Version) follow.Part
	Hear(p follow.Part, relief time.Duration) bool
	Alone()
	Followed(yes bool)
	Changed() <-chan struct{}
	Version() follow.Version
	Away() bool
}

// Register is the table of members in the platform's store.
type Register interface {
	// Put lists a row, whatever it was before.
	Put(ctx context.Context, key string, value []byte) error
	// Create adds a row unless there is one.
	Create(ctx context.Context, key string, value []byte) error
	Remove(ctx context.Context, key string) error
}

// Options are what a Node is made from.
type Options struct {
	Self     Member
	Register Register
	// Tables are passed on, by names that all boxes share. Open are those that a box which
	// starts while the store is away is told without a key.
	Tables map[string]Table
	Open   []string
	// Seeds are addresses of boxes, ip:port, that may be stale.
	Seeds []string
	// Room answers for this box where it is the home of an engine, and must not block.
	Room func(Room) bool
	// Limits is what this box gives out as the home of client accounts.
	Limits *quota.Pool
	// Heard takes what another box learned, and must not block.
	Heard func(Fact)
	// Believed is told what changes in the box's view of the others, and must not block.
	Believed func(change string, fields ...zap.Field)
	Metrics  *metrics.Set
}

// Node is one box's part of the overlay. All fields are set by New.
type Node struct {
	o       Options
	hc      *http.Client
	members members
	count   counters
	// changed is poked when the list of members changes.
	changed chan struct{}
	// stopped ends when the box begins a planned stop: its followers go elsewhere.
	stopped context.Context
	stop    context.CancelFunc
	open    bucket
	homes   homes
	order   homeOrder
	lender  quota.Lender
	// interests are the engines that this box deals with, as the box followed is told of them.
	interests interests
	packer    packer
	began     time.Time
	// keyless is since when the list has no key. Only register uses it.
	keyless time.Time
	// putAt is when this box last listed itself. Only register uses it.
	putAt time.Time

	// telling orders the calls to tables about followers; it is taken before mu.
	telling sync.Mutex

	mu        sync.Mutex
	followers map[*follower]struct{}
	up        *link // To the box followed; nil if none is.
	// path names the boxes that this one's tables come through; empty if it reads the store.
	path []string
	seq  uint64
	// seen is the last fact heard of each box.
	seen map[string]seenFact
}

type seenFact struct {
	incarnation int64
	seq         uint64
}

type counters struct {
	told, heard, dropped, refused, switches *metrics.Counter
	granted, denied, alone                  *metrics.Counter
	lent, lendLost, asked, unasked          *metrics.Counter
}

// New returns a node that knows nobody.
func New(o Options) *Node {
	n := &Node{
		o: o, changed: make(chan struct{}, 1), followers: map[*follower]struct{}{}, seen: map[string]seenFact{},
		open: bucket{rate: openRate, most: openRate}, began: clock.Now(),
	}
	n.stopped, n.stop = context.WithCancel(context.Background())
	dialer := net.Dialer{Timeout: dialLimit, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}}
	n.hc = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, DisableCompression: true}}
	n.count = counters{
		told:     o.Metrics.NewCounter("stoatramp_overlay_facts_told_total"),
		heard:    o.Metrics.NewCounter("stoatramp_overlay_facts_heard_total"),
		dropped:  o.Metrics.NewCounter("stoatramp_overlay_facts_dropped_total"),
		refused:  o.Metrics.NewCounter("stoatramp_overlay_refused_total"),
		switches: o.Metrics.NewCounter("stoatramp_overlay_switches_total"),
		granted:  o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="granted"}`),
		denied:   o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="denied"}`),
		alone:    o.Metrics.NewCounter(`stoatramp_overlay_rooms_total{answer="none"}`),
		lent:     o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="yes"}`),
		lendLost: o.Metrics.NewCounter(`stoatramp_overlay_lends_total{answer="none"}`),
		asked:    o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="yes"}`),
		unasked:  o.Metrics.NewCounter(`stoatramp_overlay_limits_total{answer="none"}`),
	}
	o.Metrics.NewGauge("stoatramp_overlay_members", func() float64 { return float64(n.members.size()) })
	o.Metrics.NewGauge("stoatramp_overlay_followers", func() float64 { return float64(n.Followers()) })
	return n
}

// SetAddress says where this box serves the others. It is for before Run.
func (n *Node) SetAddress(address string) { n.o.Self.Address = address }

// SetMembers takes the table of members.
func (n *Node) SetMembers(rows map[string][]byte) {
	n.members.set(rows)
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// MembersRestored says that the table of members that is set next is of an older copy. It is to be set once
// more after MissingKept.
func (n *Node) MembersRestored() { n.members.setRestored() }

// Followers counts the boxes that follow this one.
func (n *Node) Followers() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.followers)
}

// Connected says whether facts of others reach this box: it follows one or is followed.
func (n *Node) Connected() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up != nil || len(n.followers) > 0
}

// Follows says whether this box follows another one.
func (n *Node) Follows() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up != nil
}

// Oldest says that this box is the oldest listed of its region: it follows nobody.
func (n *Node) Oldest() bool {
	all := n.members.list(n.o.Self.Region)
	return len(all) > 0 && !slices.ContainsFunc(all, func(m Member) bool {
		return m.Name != n.o.Self.Name && older(m, n.o.Self) < 0
	})
}

// Members is how many boxes are listed, this one included.
func (n *Node) Members() int { return n.members.size() }

// Neighbours is how many boxes of this one's region are listed, this one included. They tell each
// other what they learn.
func (n *Node) Neighbours() int { return len(n.members.list(n.o.Self.Region)) }

// Boxes lists the names of the boxes of a region, with a number that changes with the list.
func (n *Node) Boxes(region string) (names []string, version int64) {
	version = n.members.changes.Load()
	for _, m := range n.members.list(region) {
		names = append(names, m.Name)
	}
	return names, version
}

// Run takes part until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for _, t := range n.o.Tables {
		go n.watch(ctx, t)
	}
	go n.register(ctx)
	go n.askSeeds(ctx)
	n.follow(ctx)
}

// Leave is for a planned stop: those that follow this box go elsewhere, and the list loses it.
func (n *Node) Leave(ctx context.Context) {
	n.stop()
	_ = n.o.Register.Remove(ctx, n.o.Self.Name) // Otherwise the next start replaces the row.
}

// watch wakes the followers when a table changes.
func (n *Node) watch(ctx context.Context, t Table) {
	for {
		select {
		case <-t.Changed():
			n.wakeAll()
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) wakeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.followers {
		f.poke()
	}
}

// register keeps this box listed, and has the first box of all make the key.
func (n *Node) register(ctx context.Context) {
	sleep(ctx, time.Duration(mrand.Int64N(int64(registerSpread))))
	for ctx.Err() == nil && n.stopped.Err() == nil {
		if !n.members.known() {
			sleep(ctx, registerSpread/3)
			continue
		}
		n.registerOnce(ctx)
		pause := registerPause
		if n.members.secret() == "" {
			pause = registerSpread // No box can follow another before there is a key.
		}
		sleep(ctx, pause/2+time.Duration(mrand.Int64N(int64(pause))))
	}
}

func (n *Node) registerOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	m, listed := n.members.get(n.o.Self.Name)
	if listed = listed && m == n.o.Self; !listed && clock.Since(n.putAt) > registerPause {
		n.putAt = clock.Now() // The list shows it some time later.
		_ = n.o.Register.Put(ctx, n.o.Self.Name, n.o.Self.row())
	}
	key, missing := n.members.keyMissing()
	if !missing {
		n.keyless = time.Time{}
		return
	}
	if n.makesKey(listed, clock.Now()) {
		_ = n.o.Register.Create(ctx, keyRow, []byte(cmp.Or(key, rand.Text()))) // The table shows whose it was.
	}
}

// makesKey says whether this box makes the key: the oldest that is listed does at once, and
// any other one where it has not for keyWait. A call of each box would cost a large fleet as
// much as all that it asks the store for in a minute.
func (n *Node) makesKey(listed bool, now time.Time) bool {
	if n.keyless.IsZero() {
		n.keyless = now
	}
	if now.Sub(n.keyless) > keyWait {
		return true
	}
	list := n.members.list(n.o.Self.Region)
	return listed && !slices.ContainsFunc(list, func(m Member) bool { return older(m, n.o.Self) < 0 })
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// follow follows the box to be followed, for as long as there is one.
func (n *Node) follow(ctx context.Context) {
	for ctx.Err() == nil && n.stopped.Err() == nil {
		if m, ok := n.next(); ok {
			n.followOne(ctx, m)
			continue
		}
		select {
		case <-n.changed:
		case <-time.After(lookAgain):
		case <-ctx.Done():
		}
	}
}

// next is the member to follow now: one of the hall, or, if this box is the oldest there, the
// oldest of all. A box that the store does not answer follows any other; a circle that closes
// so is seen by the path of what comes round.
func (n *Node) next() (Member, bool) {
	if n.members.secret() == "" {
		return Member{}, false
	}
	self := n.o.Self
	// The row of an earlier start of this box may still stand.
	list := slices.DeleteFunc(n.members.usable(self.Region, clock.Now()), func(m Member) bool { return m.Name == self.Name })
	hall := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != self.Hall })
	if m, ok := parent(hall, self); ok {
		return m, true
	}
	if len(list) > 0 && (older(list[0], self) < 0 || n.lost()) {
		return list[0], true
	}
	return Member{}, false
}

// lost says that the store does not answer this box, nor does one that is followed.
func (n *Node) lost() bool {
	for _, t := range n.o.Tables {
		if t.Away() {
			return true
		}
	}
	return false
}

// followOne follows a member until it fails, or a better one could be followed instead.
func (n *Node) followOne(ctx context.Context, m Member) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began, least := clock.Now(), reconsider
	if older(m, n.o.Self) > 0 {
		least = reconsiderLost
	}
	l := newLink(n, m)
	err := l.follow(ctx, func() bool {
		// Its row may have shown an earlier start, and nobody is older than this box.
		best, ok := n.next()
		return (!ok || best != m) && clock.Since(began) > least
	})
	n.setUp(nil)
	if ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, errBetter):
		n.members.worked(m)
		return
	case errors.Is(err, errLost), errors.Is(err, errCircle):
		n.members.worked(m) // It may be as good as any in a moment.
	}
	if l.worked {
		n.members.worked(m)
		n.o.Believed("box followed lost", zap.String("box", m.Name), zap.Error(err))
	}
	n.members.failed(m, clock.Now())
	for _, t := range n.o.Tables {
		t.Alone()
	}
}

var errBetter = errors.New("a better box can be followed")

// setUp says which box is followed; nil if none is.
func (n *Node) setUp(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up, n.path = l, nil
}

// setPath says through which boxes the tables come.
func (n *Node) setPath(path []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.path = path
}

// askSeeds has a box that starts while the store is away take the tables that others have:
// old ones serve callers better than none.
func (n *Node) askSeeds(ctx context.Context) {
	sleep(ctx, silence)
	for ctx.Err() == nil && n.members.secret() == "" {
		for _, address := range n.o.Seeds {
			if address != n.o.Self.Address {
				n.askSeed(ctx, address)
			}
		}
		sleep(ctx, silence/2+time.Duration(mrand.Int64N(int64(silence))))
	}
}

func (n *Node) askSeed(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	msg, err := n.tables(ctx, address)
	if err != nil {
		return
	}
	for _, p := range msg.Tables {
		t := n.o.Tables[p.Name]
		if t == nil || !t.Version().Before(versionOf(p)) {
			continue
		}
		n.o.Believed("table taken from a box", zap.String("table", p.Name), zap.String("from", address), zap.Stringer("version", versionOf(p)), zap.Int64("age_ms", p.AgeMs))
		part, err := partOf(p)
		if err != nil {
			n.o.Believed("table not taken", zap.String("table", p.Name), zap.String("from", address), zap.Error(err))
			continue
		}
		t.Hear(part, silence)
	}
}

// versionOf is the version of a table that a message tells of. Boxes that know no eras leave theirs at 0.
func versionOf(p *v1.Table) follow.Version { return follow.Version{Era: p.Era, Number: p.Version} }

// partOf reads a part of a table.
func partOf(p *v1.Table) (follow.Part, error) {
	out := follow.Part{Version: versionOf(p), Since: follow.Version{Era: p.SinceEra, Number: p.Since}, Skips: p.Skips, Age: time.Duration(p.AgeMs) * time.Millisecond, Lost: p.AgeMs < 0}
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

// tableOf says a part of a table, with long rows packed for a box that reads that.
func (n *Node) tableOf(name string, p follow.Part, packed bool) *v1.Table {
	out := &v1.Table{
		Name: name, Version: p.Version.Number, Era: p.Version.Era, Since: p.Since.Number, SinceEra: p.Since.Era, Skips: p.Skips, AgeMs: p.Age.Milliseconds(),
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
