package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// expectRetriedElsewhere lets a decode call return nothing for 4 s. Then it checks whether the core has given up the
// call and called another engine. In these 4 s, the box either runs normally (ticking) or is paused.
func expectRetriedElsewhere(t *testing.T, ticking, want bool) *fixture {
	t.Helper()
	s := newFixture(t, 1, 3)
	s.arrive(1, "a", 100)
	s.advance(tickInterval)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Minute)})
	first := s.decodes[1]
	const callTime = 4 * time.Second
	if ticking {
		for range callTime / tickInterval {
			s.advance(tickInterval)
		}
	} else {
		s.advance(callTime)
	}
	if abandoned := s.lastCall() != first.Attempt; abandoned != want {
		t.Errorf("ticks %t: expected abandoned %t, got %t", ticking, want, abandoned)
	}
	return s
}

// lastCall is the number of the last call for request 1.
func (s *fixture) lastCall() Attempt { return max(s.prefills[1].Attempt, s.decodes[1].Attempt) }

// A box that was paused for some seconds must not give up its running calls when it resumes. Past fault: the box
// counted the calls as stalled, although their answers were waiting to be read. Each call then cost a retry and a
// second prefill. If an engine had already fetched the KV cache, the request was refused for lack of retries. In a run
// of all tests on a busy machine, 14 of 200 streams ended this way or were started twice.
func TestPausedBoxIsNoStall(t *testing.T) {
	s := expectRetriedElsewhere(t, false, false)
	s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
	if !s.c.IsAnswering(1, s.decodes[1].Attempt) {
		t.Error("expected the call's answer to be accepted after the pause")
	}
}

// A call returns nothing during the pause, and nothing for 4 s after the pause. It is then given up like any other
// stalled call.
func TestStallAfterPause(t *testing.T) {
	expectRetriedElsewhere(t, true, true)
	s := expectRetriedElsewhere(t, false, false)
	first := s.decodes[1]
	for range 4 * time.Second / tickInterval {
		s.advance(tickInterval)
	}
	if _, ended := s.outcomes[1]; !ended && s.lastCall() == first.Attempt {
		t.Error("expected a call that returns nothing to be abandoned")
	}
}

// A slow call is not given up if too few retries are left for the next try. After a try that sent a prefill and a
// decode call, the next try costs two retries. Here, only one is left. Past fault: the request was ended for lack of
// retries, although the slow engine was still working on it.
func TestStalledCallKeptWithoutRetries(t *testing.T) {
	s := newFixture(t, 2, 3)
	s.c.budget.SetFixed(0, 3, time.Minute)
	s.arrive(1, "a", 100)
	s.advance(tickInterval)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Minute)})
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.EndpointLost, Ran: true, KVGone: true})
	second := s.prefills[1]
	if second.Attempt == 1 {
		t.Fatal("expected the prompt to be prefilled again")
	}
	for range 3 * time.Second / tickInterval {
		s.advance(tickInterval)
	}
	if o, ended := s.outcomes[1]; ended || s.prefills[1].Attempt != second.Attempt {
		t.Errorf("expected the second try to continue, it ended with %+v", o)
	}
}
