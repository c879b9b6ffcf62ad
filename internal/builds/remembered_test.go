package builds

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// Guards against answers by a plan of an older copy, before a box has written the plan again.
func TestPlanOfAnOlderEraTellsNothing(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		older := s.copyPlans()
		s.serve(both)
		time.Sleep(3 * time.Second)
		began, _ := beginStreams(t, s.planners[0], 1, 40, 14*time.Second)
		s.restore(older)
		fresh := s.newPlanner(0, 2) // It writes no plans.
		fresh.SetServing(map[Group]Serving{testGroup: {Counts: both, Listed: []string{"v1", "v2"}}})
		expectRefusedOrSame(t, "before the plan is written again", fresh, began)
		time.Sleep(time.Second)
	})
}

// Guards against a row that is written although its stream began elsewhere.
func TestRowThatWaitedTooLongIsNotWritten(t *testing.T) {
	run(t, 1, func(t *testing.T, s *site) {
		p, _ := s.faultyBox(t, 400) // One write in 2.7 s after the burst.
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		s.serve(both)
		time.Sleep(3 * time.Second)
		began := map[origins.Key]string{}
		for k := origins.Key(1); k < 40; k++ {
			if b, err := p.Begin(t.Context(), testGroup, streamOf(k), time.Now().Add(14*time.Second)); err == nil {
				began[k] = b.Build
			}
		}
		time.Sleep(5 * time.Second)
		expectRefusedOrSame(t, "later", s.newPlanner(0, 1), began)
	})
}

// Guards against a guess for a caller that names no attempt, and against one by the list or the plans alone.
func TestUnnamedStreamIsNotGuessed(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		if f := s.planners[0].Origin(t.Context(), testGroup, streamOf(0)); f.Build != "v1" {
			t.Errorf("expected the only build, got %+v", f)
		}
		s.planners[0].SetServing(map[Group]Serving{testGroup: {Counts: map[string]int{"v1": 3}, Listed: []string{"v1", "v2"}}})
		if f := s.planners[0].Origin(t.Context(), testGroup, streamOf(0)); f.Build != "" {
			t.Errorf("two builds are listed: got %+v", f)
		}
		s.serve(both)
		time.Sleep(3 * time.Second)
		if f := s.planners[0].Origin(t.Context(), testGroup, streamOf(0)); f.Build != "" {
			t.Errorf("two builds serve: got %+v", f)
		}
		s.serve(map[string]int{"v2": 3})
		time.Sleep(5 * time.Second)
		if f := s.planners[0].Origin(t.Context(), testGroup, streamOf(0)); f.Build != "" {
			t.Errorf("two builds served: got %+v", f)
		}
	})
}

// Guards against a read of the table that began before the caller came and ended after it.
func TestReadThatBeganBeforeTheCallerCame(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		p, _ := s.faultyBox(t, 3)
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		slow := &slowList{Table: p.o.Table}
		p.o.Table = slow
		old := s.copyPlans()
		s.planners = s.planners[:2] // The box is cut off from the others.
		go func() { _ = p.confirm(context.Background(), time.Now()) }()
		time.Sleep(10 * time.Millisecond) // The store has taken the read; its answer is on its way.
		slow.rows = old
		s.serve(both)
		time.Sleep(100 * time.Millisecond)
		since := time.Now()
		time.Sleep(time.Millisecond)
		slow.rows = nil
		_ = p.confirm(t.Context(), since)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.confirmed.Before(since) {
			t.Errorf("confirmed by a read that began %s before", since.Sub(p.confirmed))
		}
	})
}

// slowList answers List after 200 ms.
type slowList struct {
	Table
	rows map[string][]byte
}

func (s *slowList) List(ctx context.Context, prefix string) (map[string][]byte, error) {
	time.Sleep(200 * time.Millisecond)
	return s.Table.List(ctx, prefix)
}

// Guards against a change of a plan that forgets what streams can't be told.
func TestSuccessorKeepsWhatIsNotKnown(t *testing.T) {
	p := successor(testGroup, 1, start, byID(shares("a", 1)))
	p.LogLostUntil, p.UnplannedUntil = start.Add(time.Minute).UnixMilli(), start.Add(2*time.Minute).UnixMilli()
	next := successor(testGroup, 1, start.Add(time.Second), byID(shares("a", 1, "b", 1)), p)
	if next.LogLostUntil < p.LogLostUntil || next.UnplannedUntil < p.UnplannedUntil {
		t.Errorf("got %+v", next)
	}
	p = successor(testGroup, 1, start, byID(shares("a", 1)))
	for i := range maxEarlier + 2 {
		p = successor(testGroup, 1, start.Add(time.Duration(i+1)*time.Second), byID(shares("a", i+2, "b", 1)), p)
	}
	if len(p.Earlier) > maxEarlier || p.UnplannedUntil == 0 {
		t.Errorf("expected that dropped plans are marked, got %d earlier, unplanned until %d", len(p.Earlier), p.UnplannedUntil)
	}
}

// Guards against boxes with other clocks: the one that begins a stream runs ahead, and has forgotten the earlier plan.
func TestStreamsOfABoxWhoseClockIsAhead(t *testing.T) {
	for _, ahead := range []time.Duration{-clockSlack + time.Second, clockSlack - time.Second} {
		run(t, 2, func(t *testing.T, s *site) {
			s.serve(map[string]int{"v1": 3})
			time.Sleep(5 * time.Second)
			s.serve(both)
			time.Sleep(3 * time.Second)
			changed := time.Now()
			p, store := s.faultyBox(t, 3)
			p.o.Now = func() time.Time { return time.Now().Add(ahead) }
			s.serve(both)
			for _, fails := range []bool{false, true} {
				store.noWrites.Store(fails)
				for at := returnTime - 40*time.Second; at < returnTime+20*time.Second; at += 2 * time.Second {
					if d := time.Until(changed.Add(at)); d > 0 {
						time.Sleep(d)
					}
					k := origins.Key(1000 + at/time.Second)
					if fails {
						k += 1000
					}
					began, _ := beginStreams(t, p, k*20, k*20+20, 14*time.Second)
					expectRefusedOrSame(t, "at once", s.newPlanner(0, 3), began)
					go func() {
						time.Sleep(13 * time.Second)
						expectRefusedOrSame(t, "at the deadline", s.newPlanner(0, 3), began)
					}()
				}
			}
			time.Sleep(20 * time.Second)
		})
	}
}

// The same while the store takes no writes, from before the earlier plan is forgotten.
func TestUnloggedStreamsOfABoxWithAnotherClock(t *testing.T) {
	for _, ahead := range []time.Duration{-clockSlack + time.Second, clockSlack - time.Second} {
		run(t, 2, func(t *testing.T, s *site) {
			s.serve(map[string]int{"v1": 3})
			time.Sleep(5 * time.Second)
			s.serve(both)
			time.Sleep(3 * time.Second)
			changed := time.Now()
			p, store := s.faultyBox(t, 3)
			p.o.Now = func() time.Time { return time.Now().Add(ahead) }
			s.serve(both)
			time.Sleep(time.Until(changed.Add(returnTime - 60*time.Second)))
			store.noWrites.Store(true)
			total := 0
			for i := range 40 {
				k := origins.Key(1000 + 40*i)
				began, _ := beginStreams(t, p, k, k+20, 14*time.Second)
				total += len(began)
				expectRefusedOrSame(t, "at once", s.newPlanner(0, 3), began)
				go func() {
					time.Sleep(13 * time.Second)
					expectRefusedOrSame(t, "at the deadline", s.newPlanner(0, 3), began)
				}()
				time.Sleep(2 * time.Second)
			}
			t.Logf("clock %s ahead: %d streams began", ahead, total)
			time.Sleep(20 * time.Second)
		})
	}
}
