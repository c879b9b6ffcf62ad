package builds

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// boxStore is the store as one box reaches it.
type boxStore struct {
	*fakeStore
	// noReads and noWrites are set while the box's calls are not answered. late is set while its writes of the log take effect
	// although the box is told nothing.
	noReads, noWrites, late atomic.Bool
}

func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

func (s *boxStore) Get(ctx context.Context, key string) (lease.Row, time.Duration, error) {
	if s.noReads.Load() {
		return lease.Row{}, 0, hang(ctx)
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *boxStore) Put(ctx context.Context, key string, old lease.Row, value []byte) (lease.Row, error) {
	if s.noWrites.Load() {
		return lease.Row{}, hang(ctx)
	}
	return s.fakeStore.Put(ctx, key, old, value)
}

func (s *boxStore) List(ctx context.Context, prefix string) (map[string][]byte, error) {
	if s.noReads.Load() {
		return nil, hang(ctx)
	}
	return s.fakeStore.List(ctx, prefix)
}

// boxLog is the log as one box reaches it.
type boxLog struct{ *boxStore }

func (s boxLog) Write(ctx context.Context, put map[string][]byte, remove []string) error {
	if s.noWrites.Load() {
		if s.late.Load() {
			time.AfterFunc(3*time.Second, func() { _ = fakeLog{s.fakeStore}.Write(context.Background(), put, remove) })
		}
		return hang(ctx)
	}
	return fakeLog{s.fakeStore}.Write(ctx, put, remove)
}

func (s boxLog) Read(ctx context.Context, key string) ([]byte, error) {
	if s.noReads.Load() {
		return nil, hang(ctx)
	}
	return fakeLog{s.fakeStore}.Read(ctx, key)
}

func (s boxLog) ReadSome(ctx context.Context, from string) (map[string][]byte, error) {
	return fakeLog{s.fakeStore}.ReadSome(ctx, from)
}

// faultyBox adds a box whose way to the store can fail.
func (s *site) faultyBox(t *testing.T, boxes int, options ...func(*Options)) (*Planner, *boxStore) {
	store := &boxStore{fakeStore: s.fakeStore}
	p := s.newPlanner(len(s.planners), boxes)
	p.o.Table, p.o.Log = store, boxLog{store}
	for _, set := range options {
		set(&p.o)
	}
	s.setLive(append(s.live(), p))
	s.mu.Lock()
	rows := s.planRows()
	s.mu.Unlock()
	p.SetRows(rows)
	ctx, cancel := context.WithCancel(t.Context())
	go p.Run(ctx)
	stop := s.cancel
	s.cancel = func() { cancel(); stop() }
	return p, store
}

// beginStreams has streams begin at a box, and returns where they did.
func beginStreams(t *testing.T, p *Planner, from, to origins.Key, callers time.Duration) (began map[origins.Key]string, refused int) {
	t.Helper()
	began = map[origins.Key]string{}
	for k := from; k < to; k++ {
		b, err := p.Begin(t.Context(), testGroup, streamOf(k), time.Now().Add(callers))
		if err != nil {
			refused++
			continue
		}
		began[k] = b.Build
	}
	return began, refused
}

// expectNoOtherBuild expects that a planner names no other build than the one at which a stream began, and that it names it for
// the given part of the streams.
func expectNoOtherBuild(t *testing.T, p *Planner, began map[origins.Key]string, part float64) {
	t.Helper()
	told := 0
	for k, want := range began {
		f := p.Origin(t.Context(), testGroup, streamOf(k))
		switch f.Build {
		case want:
			told++
		case "":
		default:
			t.Errorf("stream %d: expected %s, got %s (%s)", k, want, f.Build, f.Verdict)
		}
	}
	if float64(told) < part*float64(len(began)) {
		t.Errorf("expected the builds of %.2f of %d streams, got %d", part, len(began), told)
	}
}

var both = map[string]int{"v1": 3, "v2": 3}

// Guards against streams of a build that has just been added and that are taken for streams of the earlier one, because their
// log was not written.
func TestStreamsBegunWhileTheLogIsNotWrittenKeepTheirBuild(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("writes take effect late: ", late), func(t *testing.T) {
			run(t, 2, func(t *testing.T, s *site) {
				p, store := s.faultyBox(t, 3)
				s.serve(map[string]int{"v1": 3})
				time.Sleep(5 * time.Second)
				s.serve(both)
				time.Sleep(3 * time.Second)
				store.noWrites.Store(true)
				store.late.Store(late)
				began, refused := beginStreams(t, p, 1, 100, 14*time.Second)
				if refused > 2 { // The first that should be logged finds out that the store takes no writes.
					t.Errorf("expected that the streams begin, got %d of 99 refused", refused)
				}
				store.noWrites.Store(false)
				time.Sleep(4 * time.Second)
				expectNoOtherBuild(t, s.newPlanner(0, 3), began, 1)
				began, refused = beginStreams(t, p, 100, 200, 14*time.Second)
				if refused > 0 || !containsBuild(began, "v2") {
					t.Errorf("expected that streams begin at both builds again, got %d of 100 refused", refused)
				}
				expectNoOtherBuild(t, s.newPlanner(0, 3), began, 1)
			})
		})
	}
}

func containsBuild(began map[origins.Key]string, build string) bool {
	for _, b := range began {
		if b == build {
			return true
		}
	}
	return false
}

// Guards against an outage that refuses all streams after a release, because the earlier plan's build has left.
func TestStreamsBeginWhileTheStoreIsSilentAfterARelease(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		s.serve(both)
		time.Sleep(3 * time.Second)
		s.serve(map[string]int{"v2": 3})
		time.Sleep(5 * time.Second)
		setSilent(s, true)
		began, refused := beginStreams(t, s.planners[0], 1, 100, 14*time.Second)
		if refused > 2 {
			t.Errorf("expected that the streams begin, got %d of 99 refused", refused)
		}
		setSilent(s, false)
		expectNoOtherBuild(t, s.newPlanner(0, 2), began, 0)
		time.Sleep(5 * time.Second) // Those that were not logged are logged now, as many as may wait.
		expectNoOtherBuild(t, s.newPlanner(0, 2), began, 1)
		s.serve(both) // The release is taken back.
		time.Sleep(3 * time.Second)
		expectNoOtherBuild(t, s.newPlanner(0, 2), began, 1)
	})
}

// Guards against a build that comes back and gets streams that began elsewhere, unlogged, while it was gone.
func TestBuildThatComesBackGetsNoStreamsOfOthers(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		p, store := s.faultyBox(t, 3)
		s.serve(both)
		time.Sleep(5 * time.Second)
		s.serve(map[string]int{"v2": 3})
		time.Sleep(5 * time.Second)
		store.noWrites.Store(true)
		began, refused := beginStreams(t, p, 1, 100, time.Minute)
		if refused > 2 {
			t.Errorf("expected that the streams begin, got %d of 99 refused", refused)
		}
		s.setLive(s.live()[:2]) // The box is killed before it could log them.
		fresh := s.newPlanner(0, 3)
		fresh.SetServing(map[Group]Serving{testGroup: {Counts: both, Listed: []string{"v1", "v2"}}}) // No plan says so yet.
		expectNoOtherBuild(t, fresh, began, 0)
		s.serve(both)
		time.Sleep(3 * time.Second)
		if plan := s.plan(t, 0); len(plan.Shares) != 2 || plan.LogLostUntil == 0 {
			t.Errorf("expected a plan that says that the log is not complete, got %+v", plan)
		}
		expectNoOtherBuild(t, s.newPlanner(0, 3), began, 0)
	})
}

// Guards against a row of the log that can't be read and that counts as none.
func TestUnreadableOriginIsNotTakenForNone(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		s.serve(both)
		time.Sleep(3 * time.Second)
		began, _ := beginStreams(t, s.planners[0], 1, 40, 14*time.Second)
		s.mu.Lock()
		for key := range s.log {
			s.log[key] = []byte(`{"service":"llm","build":`)
		}
		s.mu.Unlock()
		expectNoOtherBuild(t, s.newPlanner(0, 2), began, 0.2)
	})
}

// Guards against streams of a box that has known nothing of plans and boxes for longer than a plan is remembered.
func TestIsolatedBoxBeginsNoStreams(t *testing.T) {
	run(t, 1, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		store := &boxStore{fakeStore: s.fakeStore}
		p := s.newPlanner(1, 2) // It does not run.
		p.o.Table, p.o.Age, p.o.Boxes = store, func() time.Duration { return returnTime }, isolatedBoxes{p.o.Boxes}
		p.SetServing(map[Group]Serving{testGroup: {Counts: map[string]int{"v1": 3}, Listed: []string{"v1"}}})
		s.mu.Lock()
		rows := s.planRows()
		s.mu.Unlock()
		p.SetRows(rows)
		p.mu.Lock()
		p.noteCheck(clock.Now(), false) // It has not stood still.
		p.mu.Unlock()
		store.noReads.Store(true)
		if b, err := p.Begin(t.Context(), testGroup, streamOf(1), time.Now().Add(14*time.Second)); !errors.Is(err, ErrOutOfStep) {
			t.Errorf("expected no stream to begin, got %+v, %v", b, err)
		}
		store.noReads.Store(false)
		if b, err := p.Begin(t.Context(), testGroup, streamOf(1), time.Now().Add(14*time.Second)); err != nil || b.Build != "v1" {
			t.Errorf("expected v1, got %+v, %v", b, err)
		}
	})
}

type isolatedBoxes struct{ Boxes }

func (isolatedBoxes) Isolated() bool { return true }

// Guards against an inference by the oldest plan while it passes into another one.
func TestUnloggedStreamsOutliveTheOldestPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		v1, v2 := Shares{{"v1", 1}}, Shares{{"v2", 1}}
		soon := &Plan{Group: testGroup, Number: 2, ByID: true, Shares: Shares{{"v1", 1}, {"v2", 1}}, Earlier: []Earlier{{v1, now.Add(20 * time.Second).UnixMilli(), true}, {v2, now.Add(time.Minute).UnixMilli(), true}}}
		if soon.tellsUnlogged(streamOf(7), "v1", now, now.Add(14*time.Second)) || soon.tellsUnlogged(streamOf(7), "v2", now, now.Add(14*time.Second)) {
			t.Error("expected that the plans do not tell a stream that outlives the oldest one, by some box's clock")
		}
		if !soon.tellsUnlogged(streamOf(7), "v1", now, now.Add(5*time.Second)) {
			t.Error("expected that the plans tell a stream that ends before")
		}
		later := now.Add(40 * time.Second)
		if !soon.tellsUnlogged(streamOf(7), "v2", later, later.Add(5*time.Second)) {
			t.Error("expected that the plans tell a stream that begins after")
		}
	})
}

// Guards against streams that begin during an outage after a release and are refused once all boxes were killed, although their build serves.
func TestUnloggedStreamsGoOnAfterAllBoxesWereKilled(t *testing.T) {
	// goOnShare of the streams that are taken up must go on where all new ones begin.
	const goOnShare = 0.5
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		s.serve(both)
		time.Sleep(3 * time.Second)
		s.serve(map[string]int{"v2": 3})
		time.Sleep(time.Minute) // No caller comes back any more with a stream of v1.
		setSilent(s, true)
		began, refused := beginStreams(t, s.planners[0], 1, 100, 14*time.Second)
		if refused > 2 {
			t.Errorf("expected that the streams begin, got %d of 99 refused", refused)
		}
		s.stop() // All boxes are killed.
		setSilent(s, false)
		fresh := s.newPlanner(0, 2)
		fresh.SetServing(map[Group]Serving{testGroup: {Counts: map[string]int{"v2": 3}, Listed: []string{"v2"}}})
		expectNoOtherBuild(t, fresh, began, goOnShare)
	})
}
