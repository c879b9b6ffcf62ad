package decide

import (
	"fmt"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// rerunFixture is a fixture whose decode engines can prefill prompts. The answer of request 1 is lost.
type rerunFixture struct {
	*fixture
	results []RerunEnded
	aborts  []Abort
	timings []Timing
	engine  string // The engine that lost the answer.
}

// newRerunFixture returns a fixture with a stream for which set has changed the request. The stream waits for the first
// event of its decode engine, or has begun.
func newRerunFixture(t *testing.T, begun bool, set func(*Request)) *rerunFixture {
	t.Helper()
	s := &rerunFixture{fixture: newFixture(t, 1, 3)}
	s.setFleet(func(*Engine) {})
	r := Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 2000, MaxTokens: 1000, FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond,
		Repeatable: true, Resumable: true, MaxEngines: 3, PrefillNotRun: true,
	}
	set(&r)
	s.step(Submit{Request: r})
	s.now = s.now.Add(200 * time.Millisecond)
	s.step(PrefillDone{ID: 1, Attempt: s.prefills[1].Attempt, Expires: s.now.Add(5 * time.Second)})
	s.now = s.now.Add(10 * time.Millisecond)
	s.engine = s.decodes[1].Decode
	if begun {
		s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
		s.now = s.now.Add(time.Second)
	}
	return s
}

// setFleet configures the engines of the fixture, each changed by set.
func (s *rerunFixture) setFleet(set func(*Engine)) {
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second, SelfPrefillRatio: 0.5}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := s.c.engines[name].Engine
		set(&e)
		f.Engines = append(f.Engines, e)
	}
	s.step(f)
}

func (s *rerunFixture) step(ev Event) {
	for _, a := range s.c.Step(s.now, ev) {
		switch a := a.(type) {
		case StartPrefill:
			s.prefills[a.ID] = a
		case StartDecode:
			s.decodes[a.ID] = a
		case End:
			s.outcomes[a.ID] = a.Outcome
		case RerunEnded:
			s.results = append(s.results, a)
		case Abort:
			s.aborts = append(s.aborts, a)
		case RequestTiming:
			s.timings = append(s.timings, a.Timing)
		}
	}
}

// lose reports that the current decode call lost its connection.
func (s *rerunFixture) lose() {
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.EndpointLost, Ran: true, KVCached: true})
}

func (s *rerunFixture) expectResults(want ...RerunResult) {
	s.t.Helper()
	var got []RerunResult
	for _, r := range s.results {
		got = append(got, r.Result)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		s.t.Errorf("expected reruns that ended with %v, got %+v", want, s.results)
	}
}

func (s *rerunFixture) expectRerun(want bool) {
	s.t.Helper()
	d := s.decodes[1]
	if rerun := d.Rerun != outcome.OK && d.Decode == s.engine && d.Prefill == ""; rerun != want {
		s.t.Errorf("expected a rerun on %s %t, got %+v, reruns %+v", s.engine, want, d, s.results)
	}
}

// A decode engine that loses its connection has fetched the KV cache, and its handle is used up. Past fault: other decode
// engines were called with the same handle, refused, and the prompt was prefilled again.
func TestLostAnswerIsRunAgainOnItsEngine(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newRerunFixture(t, begun, func(*Request) {})
		first, retries := s.decodes[1], retriesLeft(s.c)
		s.lose()
		s.expectRerun(true)
		if len(s.aborts) != 1 || s.aborts[0].Attempt != first.Attempt {
			t.Errorf("begun %t: expected the first call to be aborted before the second, got %+v", begun, s.aborts)
		}
		if got := retriesLeft(s.c); got != retries-1 {
			t.Errorf("begun %t: expected one of %d retries to be used, got %d left", begun, retries, got)
		}
		s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
		s.expectResults(RerunBegun)
		s.step(Done{ID: 1, Attempt: s.decodes[1].Attempt, Output: 100})
		if kv := s.c.engines[s.engine].reservedKV; kv != 0 || len(s.c.flights) != 0 {
			t.Errorf("begun %t: expected nothing to be left, got %d tokens and %d requests", begun, kv, len(s.c.flights))
		}
	}
}

// A second loss on the same engine is handled like any other failure, also after the rerun has begun to answer. Another
// engine may run the request again in its turn.
func TestLostRerunIsNotRunThereAgain(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newRerunFixture(t, false, func(*Request) {})
		s.lose()
		if begun {
			s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
		}
		before, retries := s.decodes[1], retriesLeft(s.c)
		s.lose()
		if got := retriesLeft(s.c); got != retries-2 {
			t.Errorf("begun %t: expected a prefill and a decode call to use two of %d retries, got %d left", begun, retries, got)
		}
		if begun {
			s.expectResults(RerunBegun)
		} else {
			s.expectResults(RerunFailed)
		}
		if s.decodes[1] != before || s.prefills[1].Attempt <= before.Attempt || s.prefills[1].Decode == s.engine {
			t.Fatalf("begun %t: expected the prompt to be prefilled for another engine, got %+v", begun, s.prefills[1])
		}
		s.now = s.now.Add(200 * time.Millisecond)
		s.step(PrefillDone{ID: 1, Attempt: s.prefills[1].Attempt, Expires: s.now.Add(5 * time.Second)})
		s.now = s.now.Add(10 * time.Millisecond)
		s.engine = s.decodes[1].Decode
		s.lose()
		s.expectRerun(true)
	}
}

// Each case is a request or an engine for which a second run is forbidden or of no use.
func TestLostAnswerIsNotRunAgain(t *testing.T) {
	atEngine := func(set func(*engine)) func(*rerunFixture) {
		return func(s *rerunFixture) { set(s.c.engines[s.engine]) }
	}
	for name, c := range map[string]struct {
		begun   bool
		request func(*Request)
		before  func(*rerunFixture)
		failed  Failed
		silent  bool // The rule does not apply at all, so no result is reported.
	}{
		"may run once":          {request: func(r *Request) { r.Repeatable, r.Resumable = false, false }, silent: true},
		"begun, not resumable":  {begun: true, request: func(r *Request) { r.Resumable = false }, silent: true},
		"refused":               {failed: Failed{Reason: outcome.EndpointRefused}, silent: true},
		"suspected or answered": {failed: Failed{Reason: outcome.EndpointLost, Ran: true}, silent: true},
		"lost before the transfer": {silent: true, before: func(s *rerunFixture) {
			s.c.flights[1].stageStart = s.now
		}},
		"engines cannot prefill": {silent: true, before: func(s *rerunFixture) { s.c.pools["p"].SelfPrefillRatio = 0 }},
		"leaving":                {before: atEngine(func(e *engine) { e.Leaving = true })},
		"cold":                   {before: atEngine(func(e *engine) { e.Cold.Until = start.Add(time.Hour) })},
		"evacuated":              {before: atEngine(func(e *engine) { e.Evacuated = true })},
		"reports that it leaves": {before: atEngine(func(e *engine) { e.report.Leaving, e.hasReport = true, true })},
		"third failure":          {before: atEngine(func(e *engine) { e.health.failuresInRow = failuresToSetAside - 1 })},
		"throttled":              {before: func(s *rerunFixture) { s.c.SetNotices(throttledNotices{engine: s.engine}) }},
		"paused":                 {before: func(s *rerunFixture) { s.c.SetNotices(throttledNotices{paused: s.engine}) }},
		"no room by its report": {before: func(s *rerunFixture) {
			s.now = s.now.Add(time.Millisecond)
			s.step(LoadReport{Engine: s.engine, At: s.now, FreeKV: 100, Runs: []StreamLoad{{Tokens: 99900}}})
		}},
		"denied room lately": {before: atEngine(func(e *engine) { e.denial.until, e.denial.kv = start.Add(time.Hour), 1 })},
		"no retry left":      {before: func(s *rerunFixture) { s.c.budget.SetFixed(0, 0, time.Minute) }},
		"late without the cached prompt": {before: func(s *rerunFixture) {
			s.now = s.now.Add(400 * time.Millisecond) // Prefilling 2,000 tokens at half the pace takes 400 ms.
		}},
	} {
		set := c.request
		if set == nil {
			set = func(*Request) {}
		}
		s := newRerunFixture(t, c.begun, set)
		if c.before != nil {
			c.before(s)
		}
		c.failed.ID, c.failed.Attempt = 1, s.decodes[1].Attempt
		if c.failed.Reason == outcome.OK {
			c.failed.Reason, c.failed.Ran, c.failed.KVCached = outcome.EndpointLost, true, true
		}
		s.step(c.failed)
		if s.decodes[1].Rerun != outcome.OK {
			t.Errorf("%s: expected no rerun, got %+v", name, s.decodes[1])
		}
		if c.silent != (len(s.results) == 0) || !c.silent && (s.results[0].Result != RerunDeclined || s.results[0].Text == "") {
			t.Errorf("%s: expected a declined rerun %t, got %+v", name, !c.silent, s.results)
		}
		if e := s.c.engines[s.engine]; s.prefills[1].Attempt == 1 && e.reservedKV != 0 && s.decodes[1].Decode != s.engine {
			t.Errorf("%s: expected the engine's memory to be released, got %d tokens", name, e.reservedKV)
		}
	}
}

// The engine's last report contains the run whose connection was lost. Past fault: the run counted beside its rerun, so
// that an engine with room for one of them was taken for full.
func TestLostRunNeedsNoRoomBesideItsRerun(t *testing.T) {
	s := newRerunFixture(t, true, func(r *Request) { r.ExpectedTokens = 1000 })
	s.step(LoadReport{Engine: s.engine, At: s.now, FreeKV: 2000, Streams: 2, Runs: []StreamLoad{{Tokens: 95000}, {Tokens: 3000, Output: 1000}}})
	s.now = s.now.Add(time.Millisecond)
	s.lose()
	s.expectRerun(true)
}

// The tokens of a resumed stream were generated in several runs. Past fault: all of them were divided by the time of the last
// run, so that engines seemed faster than they are.
func TestResumedStreamGivesNoStepTime(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newRerunFixture(t, begun, func(*Request) {})
		s.lose()
		s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt, Tokens: 10})
		s.now = s.now.Add(100 * time.Millisecond)
		s.step(Done{ID: 1, Attempt: s.decodes[1].Attempt, Output: 1000})
		if len(s.timings) != 1 || (s.timings[0].Step == 0) != begun {
			t.Errorf("begun %t: expected one timing, with a step time only if all tokens are of one run, got %+v", begun, s.timings)
		}
	}
}

// throttledNotices throttles one engine, and has asked for a pause on another.
type throttledNotices struct{ engine, paused string }

func (n throttledNotices) ThrottledFor(engine string, _ time.Time) time.Duration {
	if engine == n.engine {
		return time.Second
	}
	return 0
}
func (throttledNotices) Sent(string, time.Time)                     {}
func (n throttledNotices) IsPaused(engine string, _ time.Time) bool { return engine == n.paused }

// The engine or its owner denies room to a rerun. Nothing was sent, so the retry is given back. Past fault: another engine
// was called with the used handle and refused, before the prompt was prefilled again.
func TestRerunWithoutRoom(t *testing.T) {
	for _, begun := range []bool{false, true} {
		s := newRerunFixture(t, begun, func(*Request) {})
		retries := retriesLeft(s.c)
		s.lose()
		s.step(ReservationRefused{ID: 1, Attempt: s.decodes[1].Attempt})
		s.expectResults(RerunNoRoom)
		if d := s.decodes[1]; d.Prefill != "" || s.prefills[1].Attempt <= d.Attempt || s.prefills[1].Decode == s.engine || retriesLeft(s.c) != retries-2 {
			t.Errorf("begun %t: expected the prompt to be prefilled again with two of %d retries, got %+v, %+v, %d left", begun, retries, s.prefills[1], d, retriesLeft(s.c))
		}
		s.step(Cancel{ID: 1})
		for name, e := range s.c.engines {
			if e.reservedKV != 0 {
				t.Errorf("expected nothing to be reserved, got %d tokens on %s", e.reservedKV, name)
			}
		}
	}
}

// A caller that leaves during a rerun, and an engine that refuses one or does not answer it, each have a result of their
// own.
func TestRerunResults(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	s.lose()
	s.step(Cancel{ID: 1})
	s.expectResults(RerunCancelled)

	s = newRerunFixture(t, false, func(*Request) {})
	s.lose()
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.EndpointRefused})
	s.expectResults(RerunRefused)

	s = newRerunFixture(t, false, func(*Request) {})
	s.lose()
	for end := s.now.Add(hardStallTimeout + 2*time.Second); s.now.Before(end); {
		s.now = s.now.Add(tickInterval)
		s.step(Tick{})
	}
	s.expectResults(RerunFailed)
}

// knowDelays lets the core know first-event delays of the pool.
func (s *fixture) knowDelays(delays ...time.Duration) {
	for n := range 2 * minTimings {
		s.step(RemoteTiming{Pool: "p", Timing: Timing{FirstEventDelay: delays[n%len(delays)]}})
	}
}

// tickUntilGivenUp sends ticks until the stream is called again, and returns how long that took.
func (s *rerunFixture) tickUntilGivenUp(limit time.Duration) time.Duration {
	s.t.Helper()
	from, last := s.now, s.lastCall()
	for s.lastCall() == last {
		if s.now = s.now.Add(tickInterval); s.now.Sub(from) > limit {
			s.t.Fatalf("expected the call to be given up within %s", limit)
		}
		s.step(Tick{})
	}
	return s.now.Sub(from)
}

// waitWithDelays lets the decode call begin now, with the given first-event delays known.
func (s *rerunFixture) waitWithDelays(delays ...time.Duration) {
	s.knowDelays(delays...)
	s.c.setDecodeStage(s.c.flights[1], 2*time.Millisecond)
	s.step(Tick{})
}

// A decode call does not begin its answer. Past fault: it was given up after three times the predicted time and half of the
// target.
func TestSilentDecodeIsRunAgainSoon(t *testing.T) {
	for _, c := range []struct {
		delays      []time.Duration
		least, most time.Duration
	}{
		{[]time.Duration{10 * time.Millisecond}, 100 * time.Millisecond, 120 * time.Millisecond},
		{[]time.Duration{200 * time.Millisecond}, 200 * time.Millisecond, 240 * time.Millisecond},
		{[]time.Duration{20 * time.Millisecond, 100 * time.Millisecond}, 180 * time.Millisecond, 280 * time.Millisecond},
		{[]time.Duration{3 * time.Second}, time.Second, 1040 * time.Millisecond}, // At most half of the target.
	} {
		s := newRerunFixture(t, false, func(r *Request) { r.FirstToken = 2 * time.Second })
		s.waitWithDelays(c.delays...)
		first := s.decodes[1]
		took := s.tickUntilGivenUp(2 * time.Second)
		if took < c.least || took > c.most {
			t.Errorf("delays %v: expected the call to be given up after %s to %s, got %s", c.delays, c.least, c.most, took)
		}
		s.expectRerun(true)
		if len(s.aborts) != 1 || s.aborts[0].Attempt != first.Attempt || s.decodes[1].Rerun != outcome.TransferStalled {
			t.Errorf("delays %v: expected the first call to be aborted before the second, got %+v, %+v", c.delays, s.aborts, s.decodes[1])
		}
	}
}

// Guards against giving up calls after a pause of the box that is shorter than their margin.
func TestShortPauseIsNoStall(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	s.waitWithDelays(10 * time.Millisecond)
	first := s.lastCall()
	s.now = s.now.Add(tickInterval)
	s.step(Tick{})
	s.now = s.now.Add(95 * time.Millisecond) // The call would have stalled 13 ms ago.
	if s.step(Tick{}); s.lastCall() != first {
		t.Error("expected the call to be kept")
	}
}

// Guards against giving up a call whose request could neither be run again nor be tried again in time.
func TestSilentDecodeIsKeptWithoutAlternative(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	s.waitWithDelays(10 * time.Millisecond)
	s.c.budget.SetFixed(0, 0, time.Minute)
	first := s.lastCall()
	for range 50 {
		s.now = s.now.Add(tickInterval)
		s.step(Tick{})
	}
	if _, ended := s.outcomes[1]; ended || s.lastCall() != first {
		t.Errorf("expected the call to be kept, got %+v, %+v", s.outcomes[1], s.decodes[1])
	}
}

// A decode call is lost after it had the time to fetch the KV cache. Past fault: other engines were called with its handle,
// and refused. An engine that refuses without having run the request leaves the handle to others.
func TestUsedHandleIsOfferedToNoOtherEngine(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	first := s.decodes[1]
	s.step(Failed{ID: 1, Attempt: first.Attempt, Reason: outcome.WrongAnswer, Ran: true})
	if s.decodes[1] != first || s.prefills[1].Attempt <= first.Attempt {
		t.Errorf("expected the prompt to be prefilled again, got %+v, %+v", s.decodes[1], s.prefills[1])
	}
	s = newRerunFixture(t, false, func(*Request) {})
	first = s.decodes[1]
	s.step(Failed{ID: 1, Attempt: first.Attempt, Reason: outcome.EndpointRefused})
	if d := s.decodes[1]; d.Attempt == first.Attempt || d.Prefill == "" || d.Decode == first.Decode {
		t.Errorf("expected another engine to fetch the KV cache, got %+v", d)
	}
}

// A rerun that a stall caused is forbidden, because the request is suspected of crashing engines. The retry is given back.
func TestForbiddenRerun(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	s.waitWithDelays(10 * time.Millisecond)
	retries := retriesLeft(s.c)
	s.tickUntilGivenUp(time.Second)
	s.step(RerunForbidden{ID: 1, Attempt: s.decodes[1].Attempt})
	s.expectResults(RerunDeclined)
	if s.prefills[1].Attempt <= s.decodes[1].Attempt || retriesLeft(s.c) != retries-2 {
		t.Errorf("expected the prompt to be prefilled again with two of %d retries, got %+v, %d left", retries, s.prefills[1], retriesLeft(s.c))
	}
}

// A rerun would be late if the engine had dropped the cached prompt, and a new prefill would be late too. Past fault: the
// request ended, although the engine usually still has the prompt.
func TestRerunIsBetterThanNone(t *testing.T) {
	s := newRerunFixture(t, false, func(*Request) {})
	s.now = s.now.Add(700 * time.Millisecond) // Prefilling 2,000 tokens again takes 200 ms elsewhere and 400 ms here.
	s.lose()
	s.expectRerun(true)
}
