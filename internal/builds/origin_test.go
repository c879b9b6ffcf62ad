package builds

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// Guards against answers by an old plan of a box that did not see that a build was added.
func TestBoxWithAnOldPlanDoesNotAnswerByIt(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		p, store := s.faultyBox(t, 3)
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		s.setLive(s.live()[:2]) // The third box is cut off.
		store.noReads.Store(true)
		store.noWrites.Store(true)
		s.serve(both)
		time.Sleep(3 * time.Second)
		began, _ := beginStreams(t, s.planners[0], 1, 40, 14*time.Second)
		expectNoOtherBuild(t, p, began, 0)
		if f := p.Origin(t.Context(), testGroup, streamOf(1)); f.Verdict != Unconfirmed {
			t.Errorf("expected that the box can't tell, got %s", f.Verdict)
		}
		store.noReads.Store(false)
		expectNoOtherBuild(t, p, began, 1)
	})
}

// askPlanner has one planner answer for the other boxes.
type askPlanner struct{ p *Planner }

func (a askPlanner) ConfirmOrigin(ctx context.Context, g Group, k origins.Stream) (build, by string, ok bool) {
	build, ok = a.p.ConfirmOrigin(ctx, g, k)
	return build, a.p.o.Box, ok
}

// Guards against refusals at a box that does not reach the store while others do.
func TestOtherBoxesConfirmOrigins(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		p, store := s.faultyBox(t, 3, func(o *Options) { o.Peers = askPlanner{s.planners[0]} })
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		store.noReads.Store(true)
		s.serve(both)
		time.Sleep(3 * time.Second)
		began, _ := beginStreams(t, s.planners[1], 1, 40, 14*time.Second)
		expectNoOtherBuild(t, p, began, 1)
		if f := p.Origin(t.Context(), testGroup, streamOf(1)); f.Verdict != Confirmed || f.By != "box-0" {
			t.Errorf("expected an origin that box-0 confirmed, got %+v", f)
		}
	})
}

// Guards against a stream of another service that is told a build of this one.
func TestStreamOfAnotherServiceIsToldNoBuild(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		other := Group{Service: "other", Region: testGroup.Region}
		if err := s.planners[0].logOrigin(t.Context(), other, streamOf(7), "v1", time.Now().Add(time.Minute)); err != nil {
			t.Fatal(err)
		}
		if f := s.planners[1].Origin(t.Context(), testGroup, streamOf(7)); f.Build != "" {
			t.Errorf("expected no build, got %+v", f)
		}
	})
}
