package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// beginStream has a stream that may be resumed begin, and go on for so long.
func beginStream(t *testing.T, lasts time.Duration) *scene {
	t.Helper()
	s := newScene(t, 1, 2)
	s.step(Arrive{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: time.Second,
		Repeatable: true, Resumable: true, ReadNotRun: true, RefuseEarly: true, MaxWait: 2500 * time.Millisecond,
	}})
	s.pass(tickEvery)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.step(FirstToken{ID: 1, Attempt: s.goes[1].Attempt})
	for range lasts / tickEvery {
		s.pass(tickEvery)
	}
	return s
}

// The time for which a request may wait to begin had passed when a long stream broke, and ended it.
func TestLongStreamThatBreaksIsResumed(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		s := beginStream(t, lasts)
		first := s.runs[1]
		s.step(Failed{ID: 1, Attempt: s.goes[1].Attempt, Reason: outcome.Truncated, Ran: true})
		s.pass(tickEvery)
		if o, ended := s.ends[1]; ended || s.runs[1].Attempt == first.Attempt {
			t.Errorf("after %s: expected the stream to go on elsewhere, got %+v", lasts, o)
		}
	}
}

// A caller gives up a stream that pauses for some seconds, and the engines must not work for nobody.
func TestBrokenStreamWaitsNoLongerThanItsCaller(t *testing.T) {
	s := beginStream(t, 3*time.Second)
	for i := range s.c.pools["p"].prefill {
		s.c.pools["p"].prefill[i].Leaving = true
	}
	s.step(Failed{ID: 1, Attempt: s.goes[1].Attempt, Reason: outcome.Truncated, Ran: true})
	for range time.Second / tickEvery {
		s.pass(tickEvery)
	}
	if o, ended := s.ends[1]; ended {
		t.Errorf("expected the stream to wait for an engine, got %+v", o)
	}
	for range 2 * time.Second / tickEvery {
		s.pass(tickEvery)
	}
	if _, ended := s.ends[1]; !ended {
		t.Error("expected the stream to be given up after its wait")
	}
}

func TestBrokenStreamIsNotCutOffByAFullQueue(t *testing.T) {
	s := beginStream(t, time.Second)
	s.c.SetQueue(0)
	s.step(Failed{ID: 1, Attempt: s.goes[1].Attempt, Reason: outcome.Truncated, Ran: true})
	if o, ended := s.ends[1]; ended {
		t.Errorf("expected the stream to go on elsewhere, got %+v", o)
	}
}
