package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// expectMoved has a decode call say nothing for 4 s, during which the box ticks or stands still, and
// returns whether it was given up for another engine.
func expectMoved(t *testing.T, ticks, want bool) *scene {
	t.Helper()
	s := newScene(t, 1, 3)
	s.arrive(1, "a", 100)
	s.pass(tickEvery)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Minute)})
	first := s.goes[1]
	const silent = 4 * time.Second
	if ticks {
		for range silent / tickEvery {
			s.pass(tickEvery)
		}
	} else {
		s.pass(silent)
	}
	if moved := s.goes[1].Attempt != first.Attempt; moved != want {
		t.Errorf("ticks %t: expected moved %t, got %t", ticks, want, moved)
	}
	return s
}

// A box that stood still for some seconds gave up all calls under way as stalled when it woke,
// though their answers lay unread: each cost a retry and a second reading of the prompt, and where
// the engine had taken the result of the first, the request was refused for want of retries. In a
// run of all tests on a busy machine 14 of 200 streams ended so or began twice.
func TestPauseIsNoStall(t *testing.T) {
	s := expectMoved(t, false, false)
	s.step(FirstToken{ID: 1, Attempt: s.goes[1].Attempt})
	if !s.c.Writes(1, s.goes[1].Attempt) {
		t.Error("expected the call's answer to be taken after the pause")
	}
}

// An engine that is silent after the pause is given up as ever.
func TestStallAfterPause(t *testing.T) {
	expectMoved(t, true, true)
	s := expectMoved(t, false, false)
	first := s.goes[1]
	for range 4 * time.Second / tickEvery {
		s.pass(tickEvery)
	}
	if s.goes[1].Attempt == first.Attempt {
		t.Error("expected a call that stays silent to be given up")
	}
}

// A call that is slow is kept where retries are short. After a try that had sent both its calls a
// move needs two retries, and with one left the request was ended for want of them although the
// slow engine still worked on it.
func TestStallKeptWithoutRetries(t *testing.T) {
	s := newScene(t, 2, 3)
	s.c.budget.Fixed(0, 3, time.Minute)
	s.arrive(1, "a", 100)
	s.pass(tickEvery)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Minute)})
	s.step(Failed{ID: 1, Attempt: s.goes[1].Attempt, Reason: outcome.EndpointDied, Ran: true, KVGone: true})
	second := s.runs[1]
	if second.Attempt == 1 {
		t.Fatal("expected the prompt to be read again")
	}
	for range 3 * time.Second / tickEvery {
		s.pass(tickEvery)
	}
	if o, ended := s.ends[1]; ended || s.runs[1].Attempt != second.Attempt {
		t.Errorf("expected the second try to go on, it ended with %+v", o)
	}
}
