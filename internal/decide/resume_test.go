package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// beginStream starts a stream that may be resumed on other engines, and lets it run for the given time.
func beginStream(t *testing.T, duration time.Duration) *fixture {
	t.Helper()
	s := newFixture(t, 1, 2)
	s.step(Submit{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: time.Second,
		Repeatable: true, Resumable: true, PrefillNotRun: true, RefuseEarly: true, MaxWait: 2500 * time.Millisecond,
	}})
	s.advance(tickInterval)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
	for range duration / tickInterval {
		s.advance(tickInterval)
	}
	return s
}

// A stream that loses its connection is resumed on other engines, however long it has been running. Past fault: the
// stream was ended if more than the maximum wait had passed since the request's arrival.
func TestLongStreamThatBreaksIsResumed(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 3 * time.Second, 10 * time.Second} {
		s := beginStream(t, lasts)
		first := s.prefills[1]
		s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.Truncated, Ran: true})
		s.advance(tickInterval)
		if o, ended := s.outcomes[1]; ended || s.prefills[1].Attempt == first.Attempt {
			t.Errorf("after %s: expected the stream to be resumed on other engines, got %+v", lasts, o)
		}
	}
}

// A stream that loses its connection waits for engines no longer than its maximum wait. Then the stream is ended, since
// callers give up a stream that pauses for longer.
func TestBrokenStreamWaitIsBounded(t *testing.T) {
	s := beginStream(t, 3*time.Second)
	for i := range s.c.pools["p"].prefill {
		s.c.pools["p"].prefill[i].Leaving = true
	}
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.Truncated, Ran: true})
	for range time.Second / tickInterval {
		s.advance(tickInterval)
	}
	if o, ended := s.outcomes[1]; ended {
		t.Errorf("expected the stream to wait for an engine, got %+v", o)
	}
	for range 2 * time.Second / tickInterval {
		s.advance(tickInterval)
	}
	if _, ended := s.outcomes[1]; !ended {
		t.Error("expected the stream to be ended after its maximum wait")
	}
}

func TestBrokenStreamIsNotCutOffByAFullQueue(t *testing.T) {
	s := beginStream(t, time.Second)
	s.c.SetMaxWaiting(0)
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.Truncated, Ran: true})
	if o, ended := s.outcomes[1]; ended {
		t.Errorf("expected the stream to be resumed on other engines, got %+v", o)
	}
}
