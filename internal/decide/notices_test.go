package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// fakeNotices is a Notices for tests. Engines accept no new requests until the given times. It counts the requests sent
// to each engine.
type fakeNotices struct {
	until map[string]time.Time
	sent  map[string]int
}

func (a *fakeNotices) ThrottledFor(engine string, now time.Time) time.Duration {
	return max(0, a.until[engine].Sub(now))
}

func (a *fakeNotices) IsPaused(engine string, now time.Time) bool {
	return a.ThrottledFor(engine, now) > 0
}

func (a *fakeNotices) Sent(engine string, _ time.Time) { a.sent[engine]++ }

// newNoticeFixture returns a fixture with prefill engines a and b and decode engines c and d. Engines accept no
// requests until the given times.
func newNoticeFixture(t *testing.T, until map[string]time.Time) (*fixture, *fakeNotices) {
	s := newFixture(t, 2, 2)
	a := &fakeNotices{until, map[string]int{}}
	s.c.SetNotices(a)
	return s, a
}

func TestLimitedEnginesGetNothingNew(t *testing.T) {
	later := start.Add(time.Minute)
	s, a := newNoticeFixture(t, map[string]time.Time{"a": later, "d": later})
	for id := ID(1); id <= 5; id++ {
		s.arrive(id, "x", 100)
		if p := s.prefills[id]; p.Prefill != "b" || p.Decode != "c" {
			t.Errorf("expected prefill on b and decode on c, got %+v", p)
		}
	}
	if a.sent["b"] != 5 || a.sent["c"] != 5 || len(a.sent) != 2 {
		t.Errorf("expected each request to count once at both engines, got %v", a.sent)
	}
}

func TestRequestIsRefusedAtOnceWhereAllEnginesAreLimited(t *testing.T) {
	for _, role := range [][]string{{"a", "b"}, {"c", "d"}} {
		later := start.Add(time.Minute)
		s, _ := newNoticeFixture(t, map[string]time.Time{role[0]: later, role[1]: later.Add(time.Second)})
		s.arrive(1, "x", 100)
		s.expectRefused(1, outcome.EndpointsThrottled)
		if back := s.outcomes[1].RetryAfter; back != time.Minute {
			t.Errorf("%v: expected a retry time of when the first engine accepts requests, got %s", role, back)
		}
	}
}

func TestRequestWaitsForAnEngineThatIsLimitedShortly(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	s, _ := newNoticeFixture(t, map[string]time.Time{"c": soon, "d": soon})
	s.arrive(1, "x", 100)
	if len(s.prefills)+len(s.outcomes) > 0 {
		t.Errorf("expected the request to wait, got %v %v", s.prefills, s.outcomes)
	}
	s.advance(100 * time.Millisecond)
	s.expectStarted(1)
}

// All decode engines are throttled for 2 s. A request that may run late waits for that time, as it would wait for
// memory.
func TestPatientRequestWaitsForALimitedEngine(t *testing.T) {
	soon := start.Add(2 * time.Second)
	s, _ := newNoticeFixture(t, map[string]time.Time{"c": soon, "d": soon})
	s.step(Submit{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second,
		BetweenTokens: 20 * time.Millisecond, ServeLate: true, MaxWait: 3 * time.Second,
	}})
	if len(s.outcomes) > 0 {
		t.Errorf("expected the request to wait, got %v", s.outcomes)
	}
	s.advance(2 * time.Second)
	s.expectStarted(1)
}

// The chosen decode engine asks for a pause while the prompt is prefilled. Then the other decode engine is used.
func TestDecodeAvoidsPausedEngine(t *testing.T) {
	s, a := newNoticeFixture(t, map[string]time.Time{})
	s.arrive(1, "x", 100)
	first := s.prefills[1].Decode
	a.until[first] = s.now.Add(time.Minute)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	if got := s.decodes[1].Decode; got == first || got == "" {
		t.Errorf("expected decode on another engine than %s, got %q", first, got)
	}
}

func TestRetryGoesToAnEngineThatIsNotLimited(t *testing.T) {
	s, a := newNoticeFixture(t, map[string]time.Time{})
	s.arrive(1, "x", 100)
	first := s.prefills[1].Decode
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	for _, e := range []string{"c", "d"} {
		a.until[e] = s.now.Add(time.Minute)
	}
	s.step(Failed{ID: 1, Attempt: 2, Reason: outcome.EndpointRefused})
	if n := a.sent["c"] + a.sent["d"]; n != 1 {
		t.Errorf("expected nothing more to be sent than the first call to %s, got %d", first, n)
	}
}
