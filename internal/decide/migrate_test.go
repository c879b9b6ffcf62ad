package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// moveScene is a pool of one prefill engine, a, and decode engines b to d. A stream of this
// box has begun on b.
type moveScene struct {
	*scene
	moves []Migrate
}

func newMoveScene(t *testing.T) *moveScene {
	s := &moveScene{scene: newScene(t, 1, 3)}
	s.fleet("")
	s.step(Report{Engine: "b", At: s.now, FreeKV: 100000, Runs: []Run{}})
	s.step(Arrive{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 5000, MaxTokens: 5000, ExpectTokens: 4400,
		FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond,
	}})
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.step(FirstToken{ID: 1, Attempt: 2})
	if got := s.c.flights[1]; got.decode.Name != "b" || got.stage != streaming {
		t.Fatalf("expected the stream at b, got %+v", got.decode)
	}
	return s
}

// fleet puts the engines in force, one of which may be leaving.
func (s *moveScene) fleet(leaving string) {
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second, Foresee: true, Migrates: true}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := s.c.engines[name].Engine
		e.Leaving = name == leaving
		f.Engines = append(f.Engines, e)
	}
	s.step(f)
}

func (s *moveScene) step(ev Event) {
	for _, a := range s.c.Step(s.now, ev) {
		if m, ok := a.(Migrate); ok {
			s.moves = append(s.moves, m)
		}
	}
}

// tell has engines report: b is full of runs that had made so many tokens, and c is empty.
func (s *moveScene) tell(runs, made int) {
	r := Report{Engine: "b", At: s.now, FreeKV: 100000 - runs*9000, Streams: runs}
	for range runs {
		r.Runs = append(r.Runs, Run{Tokens: 9000, Made: made})
	}
	s.step(r)
	s.step(Report{Engine: "c", At: s.now, FreeKV: 100000, Runs: []Run{}})
}

func (s *moveScene) later(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

func (s *moveScene) expectMoves(what string, n int) {
	s.t.Helper()
	if len(s.moves) != n {
		s.t.Fatalf("%s: expected %d moves, got %+v", what, n, s.moves)
	}
}

// expectBooked expects memory of the stream to be held at these engines only.
func (s *moveScene) expectBooked(names ...string) {
	s.t.Helper()
	for _, e := range s.c.engines {
		want := false
		for _, name := range names {
			want = want || e.Name == name
		}
		if (e.heldKV > 0) != want {
			s.t.Errorf("expected memory to be held at %v, got %d at %s", names, e.heldKV, e.Name)
		}
	}
}

// The newest stream of an engine that will run out of memory is moved to the one with most
// room, and is booked at both until it goes on there.
func TestMovesNewest(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(11, 600)
	s.later(migrateEvery)
	s.expectMoves("the newest of a full engine", 1)
	m := s.moves[0]
	if m.From != "b" || m.To != "c" || m.Leaving || m.Attempt != 3 {
		t.Errorf("expected a move from b to c, got %+v", m)
	}
	s.expectBooked("b", "c")
	s.later(migrateEvery)
	s.expectMoves("while it is moved", 1)
	s.step(Migrated{ID: 1, Attempt: 3})
	s.expectBooked("c")
	s.step(Failed{ID: 1, Attempt: 2, Reason: outcome.EndpointDied, Ran: true}) // The old call: late.
	if f := s.c.flights[1]; f == nil || f.decode.Name != "c" || f.attempt != 3 {
		t.Errorf("expected the stream to go on at c, got %+v", f)
	}
	s.step(Done{ID: 1, Attempt: 3})
	s.expectBooked()
}

func TestMoveFails(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(11, 600)
	s.later(migrateEvery)
	s.expectMoves("a full engine", 1)
	s.step(MigrateFailed{ID: 1, Attempt: 3})
	s.expectBooked("b")
	s.tell(11, 700)
	s.later(migrateEvery)
	s.expectMoves("right after a failure", 1)
	s.step(Cancel{ID: 1})
	s.expectBooked()
}

func TestCancelWhileMoved(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(11, 600)
	s.later(migrateEvery)
	s.expectBooked("b", "c")
	s.step(Cancel{ID: 1})
	s.expectBooked()
}

// A stream that is not the newest stays: the engine displaces another.
func TestOlderStays(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(time.Second)
	s.tell(11, 50)
	s.later(migrateEvery)
	s.expectMoves("newer ones run there", 0)
}

func TestRoomyStays(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(3, 1500)
	s.later(migrateEvery)
	s.expectMoves("an engine with room", 0)
}

// An engine that fell silent seems to become empty, and one whose streams wait is full.
func TestMovesNotToSilent(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(11, 600)
	s.step(Silent{Engine: "c"})
	s.step(Report{Engine: "d", At: s.now, FreeKV: 100000, Queued: 1, Runs: []Run{}})
	s.later(migrateEvery)
	s.expectMoves("only a silent one and one with a queue", 0)
}

// Streams are moved off an engine that leaves, unless they are nearly done.
func TestMovesOffLeaving(t *testing.T) {
	s := newMoveScene(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.tell(2, 1500)
	s.fleet("b")
	s.later(migrateEvery)
	s.expectMoves("an engine that leaves", 1)
	if !s.moves[0].Leaving {
		t.Error("expected the reason to be that it leaves")
	}
	s = newMoveScene(t)
	s.now = s.now.Add(4100 * time.Millisecond)
	s.tell(2, 1500)
	s.fleet("b")
	s.later(migrateEvery)
	s.expectMoves("a stream that is nearly done", 0)
}

// A move that was not made had used up the retry that it took. Each engine that leaves is asked again every
// 1.5 s while it has no room for the copy; with ten retries for all, none was left when a stream broke off
// that could have gone on elsewhere, and its caller's connection was closed.
func TestMoveNotMadeGivesItsRetryBack(t *testing.T) {
	s := newMoveScene(t)
	before := s.retriesLeft()
	s.tell(0, 0)
	s.fleet("b")
	for n := 1; n <= 5; n++ {
		s.tell(0, 0)
		s.later(migratePause + migrateEvery)
		s.expectMoves("while b leaves", n)
		if got := s.retriesLeft(); got != before-1 {
			t.Fatalf("expected one retry to be taken by the move under way, got %d of %d left", got, before)
		}
		s.step(MigrateFailed{ID: 1, Attempt: s.moves[n-1].Attempt})
	}
	if got := s.retriesLeft(); got != before {
		t.Errorf("expected all %d retries to be left, got %d", before, got)
	}
}

// retriesLeft is how many calls the budget would let through now.
func (s *moveScene) retriesLeft() (n int) {
	for s.c.budget.Has(s.now, n+1) {
		n++
	}
	return n
}
