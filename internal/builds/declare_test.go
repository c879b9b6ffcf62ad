package builds

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// released plays a release in which v2 replaces v1, and waits until no caller comes back with a stream of v1.
func released(s *site) {
	s.serve(map[string]int{"v1": 3})
	time.Sleep(5 * time.Second)
	s.serve(both)
	time.Sleep(3 * time.Second)
	s.serve(map[string]int{"v2": 3})
	time.Sleep(time.Minute)
}

var onlyV2 = map[Group]Serving{testGroup: {Counts: map[string]int{"v2": 3}, Listed: []string{"v2"}}}

// Guards against streams of a box that has declared nothing, being cut off, and that are taken for ones of the declared build.
func TestStreamsOfABoxThatDeclaredNothingAreNotTold(t *testing.T) {
	suspensionOff(t)
	playFound(t, []foundSequence{
		{3, "isolate 2; serve v2:2; wait 90s; begin 2 14s; wait 1s"},
		{3, "isolate 2; serve v1:2,v2:2; wait 5s; serve v2:2; wait 90s; begin 2 14s; wait 1s; take 0"},
		{3, "serve v1:2,v2:2 but 2; isolate 2; serve v2:2; wait 90s; begin 2 60s; wait 1s; kill 2"},
	})
}

// Guards against streams that begin unlogged at a box that has not declared anything yet, whose earlier process has.
func TestStartedBoxBeginsNoUnloggedStreamBeforeItsDeclaration(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		released(s)
		p, store := s.faultyBox(t, 2, func(o *Options) { o.Box = "box-1" })
		store.noReads.Store(true)
		store.noWrites.Store(true)
		p.SetServing(onlyV2)
		if began, _ := beginStreams(t, p, 1, 40, 14*time.Second); len(began) > 0 {
			t.Errorf("expected that no stream begins, got %d", len(began))
		}
		store.noReads.Store(false)
		store.noWrites.Store(false)
		time.Sleep(2 * time.Second)
		store.noWrites.Store(true)
		if began, refused := beginStreams(t, p, 40, 80, 14*time.Second); refused > 2 {
			t.Errorf("expected that streams begin once the box has declared where, got %d of 40", len(began))
		}
	})
}

// Guards against streams that may be taken up for longer than what a box has declared lasts after its end.
func TestUnloggedStreamDoesNotOutliveItsDeclaration(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		beginStreams(t, s.planners[0], 1000, 1010, 14*time.Second)
		s.serve(map[string]int{"v2": 3})
		time.Sleep(time.Minute)
		setSilent(s, true)
		if began, refused := beginStreams(t, s.planners[0], 1, 40, 14*time.Second); refused > 2 {
			t.Errorf("expected that streams begin, got %d of 39", len(began))
		}
		if began, _ := beginStreams(t, s.planners[0], 40, 60, time.Minute); len(began) > 0 {
			t.Errorf("expected that no longer stream begins, got %d", len(began))
		}
	})
}

// Guards against a declaration that is kept open by streams that never began.
func TestWithdrawnStreamIsNotDeclared(t *testing.T) {
	run(t, 1, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3})
		time.Sleep(5 * time.Second)
		beginStreams(t, s.planners[0], 1, 20, 14*time.Second)
		for k := range origins.Key(20) {
			s.planners[0].Withdraw(testGroup, k)
		}
		s.serve(map[string]int{"v2": 3})
		time.Sleep(5 * time.Second)
		rows, err := s.planners[0].readDeclarations(t.Context(), declarationsOf(testGroup))
		if err != nil || len(rows) != 1 {
			t.Fatalf("expected one declaration, got %v, %v", rows, err)
		}
		for _, row := range rows {
			if len(row.Builds) != 1 || row.Builds[0].Build != "v2" {
				t.Errorf("expected v2 alone, got %+v", row.Builds)
			}
		}
	})
}

// Guards against an answer although a declaration can't be read, or is of a box that has not declared again.
func TestUnreadableDeclarationTellsNothing(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		released(s)
		plan := s.plan(t, 0)
		if build, err := s.planners[0].declaredBuild(t.Context(), &plan); build != "v2" || err != nil {
			t.Errorf("expected v2, got %q, %v", build, err)
		}
		s.mu.Lock()
		for key := range s.log {
			if strings.HasPrefix(key, declarationsOf(testGroup)+"box-1") {
				s.log[key] = []byte(`{"box":"box-1","builds":[`)
			}
		}
		s.mu.Unlock()
		if build, err := s.planners[0].declaredBuild(t.Context(), &plan); build != "" || err == nil {
			t.Errorf("expected an error, got %q", build)
		}
		s.mu.Lock()
		for key := range s.log {
			if strings.HasPrefix(key, declarationsOf(testGroup)+"box-1") {
				delete(s.log, key)
			}
		}
		s.mu.Unlock()
		if build, _ := s.planners[0].declaredBuild(context.Background(), &plan); build != "" {
			t.Errorf("expected no answer without the row of a box, got %q", build)
		}
	})
}

// Guards against a box that forgets, as it starts again, where its earlier process began streams.
func TestStartedBoxAnswersForItsEarlierProcess(t *testing.T) {
	suspensionOff(t)
	playFound(t, []foundSequence{
		{2, "serve v2:2; wait 90s; fail writes all hang; begin all 60s; wait 1s; kill all; heal; serve v3:2; wait 20s; take 0"},
		{2, "serve v2:2; wait 90s; fail writes 0 hang; begin 0 60s; wait 1s; kill 0; heal; serve v2:2,v3:2; wait 2s; serve v3:2; wait 20s; kill 0; wait 5s; take 1"},
	})
}

// Guards against a box that removes the declaration of another box whose name begins like its own.
func TestStartedBoxKeepsDeclarationsOfOtherBoxes(t *testing.T) {
	run(t, 2, func(t *testing.T, s *site) {
		released(s)
		key := declarationsOf(testGroup) + "box-1.hall." + strings.Repeat("0", 9)
		s.mu.Lock()
		s.log[key] = []byte(`{"box":"box-1.hall","sequence":2,"builds":[{"build":"v2"}],"term_ms":14000,"expires_ms":99999999999999}`)
		s.mu.Unlock()
		p, _ := s.faultyBox(t, 2, func(o *Options) { o.Box = "box-1" })
		p.SetServing(onlyV2)
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.log[key] == nil {
			t.Error("expected the row of the other box")
		}
	})
}
