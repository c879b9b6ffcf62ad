package builds

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file has the boxes of the searches, which reach the store and each other in ways that fail box by box.

// failure is how the store fails for the calls of one box. A duration may follow a colon.
type failure string

const (
	sound   failure = ""
	refuses failure = "refuse" // A call is turned away at once.
	hangs   failure = "hang"   // A call is not answered, and a write not applied.
	loses   failure = "lose"   // A write is applied and not answered. Reads are not answered.
	resets  failure = "reset"  // A write is applied, and answered with an error. Reads are turned away.
	odd     failure = "odd"    // Each second call is turned away, beginning with the first.
	even    failure = "even"   // The same, beginning with the second.
	late    failure = "late"   // A call takes effect after a time, and is answered if the caller still waits.
	slow    failure = "slow"   // A call takes effect at once, and is answered after a time.
)

func (f failure) kind() failure {
	kind, _, _ := strings.Cut(string(f), ":")
	return failure(kind)
}

func (f failure) time() time.Duration {
	_, text, _ := strings.Cut(string(f), ":")
	d, _ := time.ParseDuration(text)
	return d
}

// answers reports whether calls are answered within d, if they are repeated.
func (f failure) answers(d time.Duration) bool {
	return f == sound || f == odd || f == even || (f.kind() == slow || f.kind() == late) && f.time() < d
}

const (
	// A call takes arriveTime to the store, and as long back.
	arriveTime = 3 * time.Millisecond
	// maxCallTime is longer than all time limits of calls, and than all durations of failures.
	maxCallTime = 30 * time.Second
	// A change of the table reaches boxes after followTime. A box that has just started, or that was cut off, follows the
	// table after refollowTime. It can call the store before.
	followTime   = 20 * time.Millisecond
	refollowTime = 500 * time.Millisecond
	// askTime bounds the wait for other boxes.
	askTime = 500 * time.Millisecond
	// maxFollowLag is how long a box may lag behind that can call the store.
	maxFollowLag = 15 * time.Second
)

var errTurnedAway = errors.New("the store turned the call away")

// simBox is a box of a search. simSite.mu protects it.
type simBox struct {
	site    *simSite
	n       int
	planner *Planner
	cancel  context.CancelFunc
	ctx     context.Context
	// born is the number of restores of the store before the planner started.
	born int
	// reads and writes are how the store fails for this box.
	reads, writes failure
	calls         int // While each second one fails.
	// part tells which boxes reach each other: those with the same one. frozen is set while the box stands still.
	part     int
	frozen   bool
	frozenAt time.Time
	// freshAt is when the table that the box follows was last confirmed, as of the last change of who reaches whom.
	freshAt time.Time
	// listFreshAt is the same for the list of endpoints.
	listFreshAt time.Time
	// The box does not follow the table until lagsUntil. With staleList it keeps the list of endpoints that it has.
	lagsUntil time.Time
	staleList bool
	// seen is the newest version of the table that the box follows, and listSeen that of the list of endpoints; -1 if none.
	seen, listSeen int
	era            int64
	// clock is by how much the box's time of day is off.
	clock time.Duration
	// release is what the box runs, and renames simSite.renames as it started.
	release release
	renames int
}

// tableVersion is the table of plans after a change.
type tableVersion struct {
	rows map[string][]byte
	era  int64
}

// simSite has boxes that share a store.
type simSite struct {
	*fakeStore
	boxes []*simBox
	// tables and lists are all versions of the table of plans and of the list of endpoints.
	tables []tableVersion
	lists  []map[string]int
	// copies are the store before each step.
	copies   []storeCopy
	restores int
	ctx      context.Context
	stopAll  context.CancelFunc
	// streams are those that began.
	streams []*simStream
	began   sync.WaitGroup
	nextKey uint64
	found   searchResult
	phase   string
	// renames counts how often the account of all callers has had another name.
	renames int
}

type storeCopy struct {
	plans map[string]lease.Row
	log   map[string][]byte
	ver   int64
}

// simStream is a stream that began, with the time until which its caller may take it up.
type simStream struct {
	key       origins.Key
	build     string
	how       How
	box       int
	term      time.Duration
	at, until time.Time
	takenUp   int
	phase     string
}

func newSimSite(ctx context.Context, boxes int, first release) *simSite {
	s := &simSite{fakeStore: newFakeStore(), tables: []tableVersion{{map[string][]byte{}, 1}}, lists: []map[string]int{{"v1": 2}}}
	s.ctx, s.stopAll = context.WithCancel(ctx)
	for n := range boxes {
		s.boxes = append(s.boxes, &simBox{site: s, n: n, release: first})
	}
	for _, b := range s.boxes {
		s.start(b)
	}
	return s
}

// start has a box run a new planner, which knows nothing.
func (s *simSite) start(b *simBox) {
	ctx, cancel := context.WithCancel(s.ctx)
	p := s.newSimPlanner(b)
	s.mu.Lock()
	if b.cancel != nil {
		b.cancel()
	}
	b.planner, b.ctx, b.cancel, b.born = p, ctx, cancel, s.restores
	b.frozen, b.lagsUntil, b.seen, b.listSeen, b.era = false, time.Time{}, -1, -1, 0
	b.freshAt, b.listFreshAt = time.Time{}, time.Time{}
	b.renames = s.renames
	s.mu.Unlock()
	go p.Run(ctx)
	s.listAfter(0)
	s.followAfter(refollowTime)
}

// newSimPlanner returns a planner that reaches the store and other boxes as a box does.
func (s *simSite) newSimPlanner(b *simBox) *Planner {
	return NewPlanner(Options{
		Box: boxName(b.n), Region: testGroup.Region, Table: b.table(), Log: simLog{b}, Boxes: simBoxes{b},
		Era:   func() int64 { s.mu.Lock(); defer s.mu.Unlock(); return b.era },
		Now:   func() time.Time { s.mu.Lock(); defer s.mu.Unlock(); return time.Now().Add(b.clock) },
		Peers: simPeers{b},
		Age:   func() time.Duration { s.mu.Lock(); defer s.mu.Unlock(); s.noteFresh(); return time.Since(b.freshAt) },
		ListAge: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.noteFresh()
			return time.Since(b.listFreshAt)
		},
		OnChange: func(_, _ *Plan) {}, Failed: func(string, error) {},
	})
}

// failureOf returns how the store fails for a read or a write of the box. s.mu is held.
func (b *simBox) failureOf(write bool) failure {
	switch {
	case b.frozen:
		return hangs
	case write:
		return b.writes
	}
	return b.reads
}

// followsStore reports whether the box can follow the store itself. s.mu is held.
func (b *simBox) followsStore() bool { return !b.frozen && b.reads.answers(time.Second) }

// linked reports whether two boxes reach each other. s.mu is held.
func (b *simBox) linked(o *simBox) bool { return b != o && b.part == o.part && !b.frozen && !o.frozen }

// storeCall makes a call of a box to the store.
func storeCall[T any](ctx context.Context, b *simBox, write bool, f func() (T, error)) (T, error) {
	type result struct {
		out T
		err error
	}
	var none T
	s := b.site
	fails := func() failure { s.mu.Lock(); defer s.mu.Unlock(); return b.failureOf(write) }
	answered := make(chan result, 1)
	how := fails()
	if how == odd || how == even {
		s.mu.Lock()
		b.calls++
		turnedAway := (b.calls%2 == 1) == (how == odd)
		s.mu.Unlock()
		if how = slow; turnedAway {
			how = refuses
		}
	}
	go func() {
		time.Sleep(arriveTime)
		if how == sound {
			how = fails()
		}
		if how.kind() == late {
			time.Sleep(how.time())
		}
		if how == hangs || how == loses && !write {
			return
		}
		r := result{err: errTurnedAway}
		if how != refuses && (how != resets || write) {
			s.mu.Lock()
			r.out, r.err = f()
			s.mu.Unlock()
		}
		if how == resets {
			r = result{err: errAckLost}
		}
		if how == loses {
			return
		}
		if how.kind() == slow {
			time.Sleep(how.time())
		}
		time.Sleep(arriveTime)
		switch now := fails(); {
		case now == refuses && how != refuses:
			answered <- result{err: errTurnedAway} // The connection is closed.
		case now != hangs && now != loses:
			answered <- r
		}
	}()
	select {
	case r := <-answered:
		if r.err == nil {
			s.mu.Lock()
			b.era = max(b.era, s.era)
			s.mu.Unlock()
		}
		return r.out, r.err
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// simTable is the table of plans as a box reaches it.
type simTable struct{ b *simBox }

func (t simTable) Get(ctx context.Context, key string) (lease.Row, time.Duration, error) {
	s := t.b.site
	row, err := storeCall(ctx, t.b, false, func() (lease.Row, error) {
		row := s.plans[key]
		row.Era = s.era
		return row, nil
	})
	return row, 0, err
}

// Put compares versions alone, as the platform's store does: a write that arrives after a restore may find the version that it
// expects.
func (t simTable) Put(ctx context.Context, key string, old lease.Row, value []byte) (lease.Row, error) {
	s := t.b.site
	s.mu.Lock()
	known := t.b.era
	s.mu.Unlock()
	if known != old.Era {
		return lease.Row{}, lease.ErrConflict
	}
	return storeCall(ctx, t.b, true, func() (lease.Row, error) {
		if s.plans[key].Version != old.Version {
			return lease.Row{}, lease.ErrConflict
		}
		s.ver++
		row := lease.Row{Value: value, Version: s.ver, Era: s.era}
		s.plans[key] = row
		s.noteTable()
		if s.era != old.Era {
			return row, lease.ErrRestored
		}
		return row, nil
	})
}

func (t simTable) List(ctx context.Context, prefix string) (map[string][]byte, error) {
	s := t.b.site
	return storeCall(ctx, t.b, false, func() (map[string][]byte, error) {
		rows := s.planRows()
		maps.DeleteFunc(rows, func(key string, _ []byte) bool { return !strings.HasPrefix(key, prefix) })
		return rows, nil
	})
}

// simLog is the log as a box reaches it.
type simLog struct{ b *simBox }

func (l simLog) Write(ctx context.Context, put map[string][]byte, remove []string) error {
	s := l.b.site
	put, remove = maps.Clone(put), slices.Clone(remove)
	_, err := storeCall(ctx, l.b, true, func() (bool, error) {
		maps.Copy(s.log, put)
		for _, key := range remove {
			delete(s.log, key)
		}
		return true, nil
	})
	return err
}

func (l simLog) Read(ctx context.Context, key string) ([]byte, error) {
	return storeCall(ctx, l.b, false, func() ([]byte, error) { return l.b.site.log[key], nil })
}

func (l simLog) ReadSome(ctx context.Context, from string) (map[string][]byte, error) {
	return storeCall(ctx, l.b, false, func() (map[string][]byte, error) {
		rows := maps.Clone(l.b.site.log)
		maps.DeleteFunc(rows, func(key string, _ []byte) bool { return key < from })
		return rows, nil
	})
}

// simBoxes are the boxes as one of them sees them.
type simBoxes struct{ b *simBox }

// Rank counts the boxes that the box reaches and that come first.
func (o simBoxes) Rank(string, string) (rank int) {
	o.b.site.mu.Lock()
	defer o.b.site.mu.Unlock()
	for _, other := range o.b.site.boxes[:o.b.n] {
		if o.b.linked(other) {
			rank++
		}
	}
	return rank
}

func (o simBoxes) Count(string) int { return len(o.b.site.boxes) }

func (o simBoxes) Isolated() bool {
	o.b.site.mu.Lock()
	defer o.b.site.mu.Unlock()
	return len(o.b.site.boxes) > 1 && !slices.ContainsFunc(o.b.site.boxes, o.b.linked)
}

// simPeers are the boxes that a box asks for an origin.
type simPeers struct{ b *simBox }

func (o simPeers) ConfirmOrigin(ctx context.Context, g Group, asked origins.Stream) (build, by string, ok bool) {
	s := o.b.site
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	type answer struct {
		build, by string
		ok        bool
	}
	linked := func(other *simBox) bool { s.mu.Lock(); defer s.mu.Unlock(); return o.b.linked(other) }
	answers := make(chan answer, len(s.boxes))
	for _, other := range s.boxes {
		go func() {
			time.Sleep(arriveTime)
			if !linked(other) {
				answers <- answer{}
				return
			}
			s.mu.Lock()
			p, stream := other.planner, o.b.ask(other, asked)
			s.mu.Unlock()
			build, ok := p.ConfirmOrigin(ctx, g, stream)
			time.Sleep(arriveTime)
			answers <- answer{build, boxName(other.n), ok && linked(other)}
		}()
	}
	for range s.boxes {
		select {
		case a := <-answers:
			if a.ok {
				return a.build, a.by, true
			}
		case <-ctx.Done():
			return "", "", false
		}
	}
	return "", "", false
}

func boxName(n int) string { return fmt.Sprint("box-", n) }

// noteFresh records which boxes follow the store now, themselves or by others. s.mu is held.
func (s *simSite) noteFresh() {
	for _, b := range s.boxes {
		if b.followsStore() && !time.Now().Before(b.lagsUntil) {
			b.freshAt = time.Now()
		}
		if s.reachesOthers(b) && !b.staleList {
			b.listFreshAt = time.Now()
		}
	}
	for _, b := range s.boxes {
		for _, o := range s.boxes {
			if b.linked(o) && !time.Now().Before(b.lagsUntil) && o.freshAt.After(b.freshAt) {
				b.freshAt = o.freshAt
			}
		}
	}
}

// noteTable records a change of the table, which boxes then see. s.mu is held.
func (s *simSite) noteTable() {
	s.tables = append(s.tables, tableVersion{s.planRows(), s.era})
	s.followAfter(followTime)
}

// followAfter has the boxes see after d what they can: from the store, or from each other.
func (s *simSite) followAfter(d time.Duration) {
	go func() { time.Sleep(d); s.follow() }()
}

func (s *simSite) listAfter(d time.Duration) {
	go func() { time.Sleep(d); s.sendLists() }()
}

func (s *simSite) follow() {
	s.mu.Lock()
	got := make([]int, len(s.boxes))
	for n, b := range s.boxes {
		if got[n] = b.seen; b.followsStore() && !time.Now().Before(b.lagsUntil) {
			got[n] = len(s.tables) - 1
		}
	}
	for range s.boxes {
		for n, b := range s.boxes {
			for m, o := range s.boxes {
				if b.linked(o) && !time.Now().Before(b.lagsUntil) {
					got[n] = max(got[n], got[m])
				}
			}
		}
	}
	var sends []func()
	for n, b := range s.boxes {
		if got[n] <= b.seen || b.frozen {
			continue
		}
		b.seen = got[n]
		table, p := s.tables[got[n]], b.planner
		b.era = max(b.era, table.era)
		rows := b.decodeRows(table.rows)
		sends = append(sends, func() { p.SetRows(rows) })
	}
	s.mu.Unlock()
	for _, send := range sends {
		send()
	}
	s.sendLists()
}

// sendLists shows boxes that reach the store or another box the list of endpoints.
func (s *simSite) sendLists() {
	s.mu.Lock()
	var sends []func()
	for _, b := range s.boxes {
		if !s.reachesOthers(b) || b.staleList && b.listSeen >= 0 || b.listSeen == len(s.lists)-1 {
			continue
		}
		b.listSeen = len(s.lists) - 1
		p, serving := b.planner, servingOf(s.lists[b.listSeen])
		sends = append(sends, func() { p.SetServing(serving) })
	}
	s.mu.Unlock()
	for _, send := range sends {
		send()
	}
}

// reachesOthers reports whether a box reaches the store or another box. s.mu is held.
func (s *simSite) reachesOthers(b *simBox) bool {
	return b.followsStore() || slices.ContainsFunc(s.boxes, b.linked)
}

func servingOf(counts map[string]int) map[Group]Serving {
	return map[Group]Serving{testGroup: {Counts: maps.Clone(counts), Listed: slices.Sorted(maps.Keys(counts))}}
}

// heal ends all failures of a box. It follows the table a while later.
func (s *simSite) heal(b *simBox) {
	s.mu.Lock()
	s.noteFresh()
	p, stoodStill, since := b.planner, b.frozen, b.frozenAt
	b.reads, b.writes, b.part, b.frozen, b.staleList, b.lagsUntil = sound, sound, 0, false, false, time.Now().Add(refollowTime)
	s.mu.Unlock()
	if stoodStill { // The planner has run meanwhile.
		p.mu.Lock()
		p.checkedAt = since
		p.mu.Unlock()
	}
	s.followAfter(refollowTime)
}

// copyStore keeps the store for a restore.
func (s *simSite) copyStore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = append(s.copies, storeCopy{maps.Clone(s.plans), maps.Clone(s.log), s.ver})
}

// restore has the store come back as it was before the last n steps.
func (s *simSite) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.copies[max(0, len(s.copies)-1-n)] // The last copy is that of this step.
	s.plans, s.log, s.ver = maps.Clone(c.plans), maps.Clone(c.log), c.ver
	s.era++
	s.restores++
	s.noteTable()
}

// newKeys returns keys of four streams. They differ in where they begin while the builds are alike, and while one has more
// engines.
func (s *simSite) newKeys() (keys []origins.Key) {
	even, more1, more2 := shares("v1", 2, "v2", 2), shares("v1", 3, "v2", 1), shares("v1", 1, "v2", 3)
	for _, want := range [][3]string{{"v1", "v1", "v1"}, {"v2", "v2", "v2"}, {"v1", "v1", "v2"}, {"v2", "v1", "v2"}} {
		for {
			s.nextKey++
			k := origins.Key(rand.New(rand.NewPCG(s.nextKey, 7)).Uint64() | 1)
			if [3]string{even.BuildOf(k), more1.BuildOf(k), more2.BuildOf(k)} == want {
				keys = append(keys, k)
				break
			}
		}
	}
	return keys
}
