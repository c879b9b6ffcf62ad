package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// asked are engines that take nothing new until a time; sent counts what they got.
type asked struct {
	until map[string]time.Time
	sent  map[string]int
}

func (a *asked) Wait(engine string, now time.Time) time.Duration {
	return max(0, a.until[engine].Sub(now))
}

func (a *asked) Rests(engine string, now time.Time) bool { return a.Wait(engine, now) > 0 }

func (a *asked) Sent(engine string, _ time.Time) { a.sent[engine]++ }

// noticeScene has two engines that read, a and b, and two that write, c and d.
func noticeScene(t *testing.T, until map[string]time.Time) (*scene, *asked) {
	s := newScene(t, 2, 2)
	a := &asked{until, map[string]int{}}
	s.c.SetNotices(a)
	return s, a
}

func TestLimitedEnginesGetNothingNew(t *testing.T) {
	later := start.Add(time.Minute)
	s, a := noticeScene(t, map[string]time.Time{"a": later, "d": later})
	for id := ID(1); id <= 5; id++ {
		s.arrive(id, "x", 100)
		if p := s.runs[id]; p.Prefill != "b" || p.Decode != "c" {
			t.Errorf("expected b to read and c to write, got %+v", p)
		}
	}
	if a.sent["b"] != 5 || a.sent["c"] != 5 || len(a.sent) != 2 {
		t.Errorf("expected each request to count once at both engines, got %v", a.sent)
	}
}

func TestRequestIsRefusedAtOnceWhereAllEnginesAreLimited(t *testing.T) {
	for _, role := range [][]string{{"a", "b"}, {"c", "d"}} {
		later := start.Add(time.Minute)
		s, _ := noticeScene(t, map[string]time.Time{role[0]: later, role[1]: later.Add(time.Second)})
		s.arrive(1, "x", 100)
		s.expectRefused(1, outcome.EndpointsThrottled)
		if back := s.ends[1].RetryAfter; back != time.Minute {
			t.Errorf("%v: expected to be told when the first engine takes something, got %s", role, back)
		}
	}
}

func TestRequestWaitsForAnEngineThatIsLimitedShortly(t *testing.T) {
	soon := start.Add(100 * time.Millisecond)
	s, _ := noticeScene(t, map[string]time.Time{"c": soon, "d": soon})
	s.arrive(1, "x", 100)
	if len(s.runs)+len(s.ends) > 0 {
		t.Errorf("expected the request to wait, got %v %v", s.runs, s.ends)
	}
	s.pass(100 * time.Millisecond)
	s.expectRuns(1)
}

// A request that may be late waits as long as one that finds no room.
func TestPatientRequestWaitsForALimitedEngine(t *testing.T) {
	soon := start.Add(2 * time.Second)
	s, _ := noticeScene(t, map[string]time.Time{"c": soon, "d": soon})
	s.step(Arrive{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second,
		BetweenTokens: 20 * time.Millisecond, ServeLate: true, MaxWait: 3 * time.Second,
	}})
	if len(s.ends) > 0 {
		t.Errorf("expected the request to wait, got %v", s.ends)
	}
	s.pass(2 * time.Second)
	s.expectRuns(1)
}

// The engine that was to write may have asked for rest while the prompt was read.
func TestReadPromptGoesToAnEngineThatDoesNotRest(t *testing.T) {
	s, a := noticeScene(t, map[string]time.Time{})
	s.arrive(1, "x", 100)
	first := s.runs[1].Decode
	a.until[first] = s.now.Add(time.Minute)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	if got := s.goes[1].Decode; got == first || got == "" {
		t.Errorf("expected another engine than %s to write, got %q", first, got)
	}
}

func TestRetryGoesToAnEngineThatIsNotLimited(t *testing.T) {
	s, a := noticeScene(t, map[string]time.Time{})
	s.arrive(1, "x", 100)
	first := s.runs[1].Decode
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	for _, e := range []string{"c", "d"} {
		a.until[e] = s.now.Add(time.Minute)
	}
	s.step(Failed{ID: 1, Attempt: 2, Reason: outcome.EndpointRefused})
	if n := a.sent["c"] + a.sent["d"]; n != 1 {
		t.Errorf("expected nothing more to be sent than the first call to %s, got %d", first, n)
	}
}
