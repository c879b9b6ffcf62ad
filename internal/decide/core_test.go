package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

var start = time.Unix(1800000000, 0)

// fixture is a core with one small pool and a clock, for short tests. It keeps the core's last actions for
// each request.
type fixture struct {
	t        *testing.T
	c        *Core
	now      time.Time
	outcomes map[ID]outcome.Outcome
	prefills map[ID]StartPrefill
	decodes  map[ID]StartDecode
}

// newFixture returns a fixture with prefill engines a, b, ... and decode engines with the letters after these.
// A prefill engine prefills 10,000 tokens per second.
func newFixture(t *testing.T, prefills, decodes int) *fixture {
	s := &fixture{
		t: t, c: New(rand.New(rand.NewPCG(1, 2)), 1000), now: start,
		outcomes: map[ID]outcome.Outcome{}, prefills: map[ID]StartPrefill{}, decodes: map[ID]StartDecode{},
	}
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second}}}
	for i := range prefills + decodes {
		e := Engine{Name: string(rune('a' + i)), Pool: "p", Region: "r", Hall: "h", PrefillRate: 10000, KVTokens: 100000, Step: time.Millisecond, LinkRate: 1e9}
		if i >= prefills {
			e.Role = Decode
		}
		f.Engines = append(f.Engines, e)
	}
	s.step(f)
	return s
}

func (s *fixture) step(ev Event) {
	for _, a := range s.c.Step(s.now, ev) {
		switch a := a.(type) {
		case StartPrefill:
			s.prefills[a.ID] = a
		case StartDecode:
			s.decodes[a.ID] = a
		case End:
			s.outcomes[a.ID] = a.Outcome
		}
	}
}

// arrive submits a request of a client with a prompt of the given number of tokens and a first-token target
// of one second.
func (s *fixture) arrive(id ID, client string, tokens int) {
	s.step(Submit{Request: Request{
		ID: id, Pool: "p", Region: "r", Client: client, PromptTokens: tokens, MaxTokens: 10,
		FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond, Repeatable: true,
	}})
}

func (s *fixture) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

func (s *fixture) expectStarted(id ID) {
	s.t.Helper()
	if _, ok := s.prefills[id]; !ok {
		s.t.Errorf("expected request %d to start, it ended with %+v", id, s.outcomes[id])
	}
}

func (s *fixture) expectRefused(id ID, r outcome.Reason) {
	s.t.Helper()
	if o, ok := s.outcomes[id]; !ok || o.Kind != outcome.NotRun || o.Reason != r {
		s.t.Errorf("expected request %d to be refused as %s, got %+v", id, r, o)
	}
}

// More requests wait for the only prefill engine than can be on time. The largest request is refused immediately, and
// the others are started in time.
func TestLargestRequestIsRefused(t *testing.T) {
	s := newFixture(t, 1, 1)
	s.arrive(1, "a", 4000) // Needs 400 ms of prefill and is started immediately.
	s.arrive(2, "a", 5000)
	s.arrive(3, "a", 1000)
	s.arrive(4, "a", 1500)
	s.expectStarted(1)
	s.expectRefused(2, outcome.TooLate)
	s.advance(400 * time.Millisecond)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectStarted(4) // This request has the longer prompt, so it must start first to be on time.
	s.advance(150 * time.Millisecond)
	s.step(PrefillDone{ID: 4, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectStarted(3)
}

// One client submits many requests, another client one larger request. The larger request is still started. Requests of
// the client with many requests are refused instead.
func TestBulkDoesNotStarve(t *testing.T) {
	s := newFixture(t, 1, 1)
	s.arrive(1, "bulk", 3000)
	s.arrive(2, "window", 2000)
	for id := ID(3); id < 40; id++ {
		s.arrive(id, "bulk", 500)
	}
	for n := 0; n < 200 && len(s.outcomes) < 38; n++ {
		s.advance(20 * time.Millisecond)
		for id, a := range s.prefills {
			s.step(PrefillDone{ID: id, Attempt: a.Attempt, Expires: s.now.Add(time.Second)})
		}
	}
	s.expectStarted(2)
}

// Guards against an engine that is set aside for calls that were lost with this box's own path to it.
func TestLostPathSetsNoEngineAside(t *testing.T) {
	s := newFixture(t, 1, 1)
	for id := ID(1); id <= failuresToSetAside+2; id++ {
		s.arrive(id, "a", 10)
		s.step(Failed{ID: id, Attempt: s.prefills[id].Attempt, Reason: outcome.EndpointLost, PathBroke: true})
	}
	if n := s.c.engines["a"].health.failuresInRow; n != 0 {
		t.Errorf("expected no failure of the engine, got %d", n)
	}
}

// After three failures in a row, an engine gets no requests for a period. After this period, the engine gets exactly
// one request as a probe.
func TestSetAside(t *testing.T) {
	s := newFixture(t, 2, 1)
	bad := s.c.engines["a"]
	for range failuresToSetAside {
		bad.health.noteFailure(s.now)
	}
	for id := ID(1); id <= 5; id++ {
		s.arrive(id, "a", 10)
		if s.prefills[id].Prefill == "a" {
			t.Fatal("new work for an engine that is set aside")
		}
	}
	s.advance(minSetAside + time.Millisecond)
	for id := ID(6); id <= 40; id++ {
		s.arrive(id, "a", 10)
	}
	n := 0
	for id := ID(6); id <= 40; id++ {
		if s.prefills[id].Prefill == "a" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("expected one probe of the engine, it got %d requests", n)
	}
}

// All prefill calls fail. The number of retries stays within the budget: a fraction of the number of requests, plus a
// fixed number of retries.
func TestRetryBudget(t *testing.T) {
	s := newFixture(t, 3, 3)
	retries := 0
	for id := ID(1); id <= 200; id++ {
		s.arrive(id, "a", 10)
		for n := Attempt(1); s.outcomes[id].Reason == outcome.OK && n < 10; n++ {
			before := s.prefills[id].Attempt
			s.step(Failed{ID: id, Attempt: before, Reason: outcome.EndpointRefused})
			if s.prefills[id].Attempt > before {
				retries++
			}
		}
	}
	if most := freeRetries + 200*retryShare; float64(retries) > most {
		t.Errorf("expected at most %.0f retries of 200 requests, got %d", most, retries)
	}
	if retries == 0 {
		t.Error("expected some retries")
	}
}

func expectDelay(t *testing.T, l link, takes, want time.Duration) {
	t.Helper()
	if got := l.delay(start, takes); got != want {
		t.Errorf("expected a delay of %s, got %s", want, got)
	}
}

func TestLinkDelay(t *testing.T) {
	ms := time.Millisecond
	two := link{[]transfer{{1, start, 130 * ms}, {2, start, 130 * ms}, {3, start.Add(ms), 500 * ms}}}
	expectDelay(t, link{}, 2*ms, 0)
	expectDelay(t, two, 2*ms, 4*ms)
	expectDelay(t, two, 500*ms, 260*ms)
	expectDelay(t, link{[]transfer{{1, start.Add(-200 * ms), 130 * ms}}}, 2*ms, 0)
}

// The assumed cache size of an engine falls to the minimum after many wrong predictions, and rises to the
// maximum after many right ones.
func TestCacheSizeAdapts(t *testing.T) {
	c := &blockCache{}
	for range 100 {
		c.learn(10*BlockTokens, 0, 10)
	}
	if c.size() != minBlocks {
		t.Errorf("expected the smallest size after 100 wrong predictions, got %d", c.size())
	}
	for range 1000 {
		c.learn(BlockTokens, BlockTokens, 10)
	}
	if c.size() != maxBlocks {
		t.Errorf("expected the largest size after 1000 right predictions, got %d", c.size())
	}
}

func BenchmarkArrive(b *testing.B) {
	s := newFixture(&testing.T{}, 4, 5)
	b.ReportAllocs()
	id := ID(0)
	for b.Loop() {
		id++
		s.now = s.now.Add(10 * time.Millisecond)
		s.arrive(id, "c", 1000)
		s.step(Cancel{ID: id})
		clear(s.prefills)
	}
}

// expectWait checks the predicted wait of a request for an engine. The first-token target of the request and the queue
// of the engine are given. The wait has two parts: for the prompt that is being prefilled, and for queued prompts that
// are at least as urgent as the request.
func expectWait(t *testing.T, u *urgency, target, queued, wantInProgress, wantUrgentQueue time.Duration) {
	t.Helper()
	inProgress, urgentQueue := u.wait(&flight{Request: Request{FirstToken: target}}, queued)
	if inProgress != wantInProgress || urgentQueue != wantUrgentQueue {
		t.Errorf("expected %s and %s, got %s and %s", wantInProgress, wantUrgentQueue, inProgress, urgentQueue)
	}
}

// A request waits for the prompt that is being prefilled, and for queued prompts at least as urgent as the request.
func TestUrgency(t *testing.T) {
	ms := time.Millisecond
	u := &urgency{classes: []urgencyClass{{target: 400 * ms, recentWork: 1, meanPrefill: 10 * ms}, {target: 2 * time.Second, recentWork: 9, meanPrefill: 170 * ms}}}
	expectWait(t, u, 400*ms, 500*ms, 170*ms, 33*ms)
	expectWait(t, u, 400*ms, 100*ms, 100*ms, 0)
	expectWait(t, u, 2*time.Second, 500*ms, 0, 500*ms)
	expectWait(t, &urgency{}, 400*ms, 500*ms, 0, 500*ms)
}

// A request that may run late arrives first, but is started after a request that can still be on time.
func TestLateRequestsGoLast(t *testing.T) {
	s := newFixture(t, 1, 1)
	s.arrive(1, "a", 3000) // Its prefill takes 300 ms.
	s.step(Submit{Request: Request{
		ID: 2, Pool: "p", Region: "r", Client: "late", PromptTokens: 2000, MaxTokens: 10,
		FirstToken: 100 * time.Millisecond, BetweenTokens: 20 * time.Millisecond, ServeLate: true,
	}})
	s.advance(100 * time.Millisecond)
	s.arrive(3, "a", 1000)
	s.advance(200 * time.Millisecond)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectStarted(3)
	if _, ok := s.prefills[2]; ok {
		t.Error("expected the request that may be late to wait behind the other")
	}
	s.advance(100 * time.Millisecond)
	s.step(PrefillDone{ID: 3, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectStarted(2)
}

// A pool has two engines in region r and 78 in another region. Each request of region r uses only the two in region r.
func TestRegionsOfOnePool(t *testing.T) {
	s := newFixture(t, 0, 0)
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second}}}
	for i := range 80 {
		e := Engine{Name: fmt.Sprint(i), Pool: "p", Region: "far", Hall: "h", Role: EngineRole(i % 2), PrefillRate: 10000, KVTokens: 100000, Step: time.Millisecond, LinkRate: 1e9}
		if i < 2 {
			e.Region = "r"
		}
		f.Engines = append(f.Engines, e)
	}
	s.step(f)
	for id := ID(1); id <= 50; id++ {
		s.arrive(id, "c", 10)
		s.expectStarted(id)
		if a := s.prefills[id]; a.Prefill != "0" || a.Decode != "1" {
			t.Errorf("expected the engines of the request's region, got %s and %s", a.Prefill, a.Decode)
		}
		s.step(PrefillDone{ID: id, Attempt: 1, Expires: s.now.Add(time.Second)})
		s.step(FirstToken{ID: id, Attempt: 2})
		s.step(Done{ID: id, Attempt: 2})
		s.advance(10 * time.Millisecond)
	}
}

// Two decode engines may run a request (MaxEngines), and all calls fail. After two decode engines may have run the
// request, further tries use only these two.
func TestMaxEngines(t *testing.T) {
	for seed := range uint64(10) {
		s := newFixture(t, 1, 4)
		s.c.rng = rand.New(rand.NewPCG(seed, 1))
		s.step(Submit{Request: Request{
			ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: 10 * time.Second, BetweenTokens: time.Second,
			Repeatable: true, Resumable: true, MaxEngines: 2, PrefillNotRun: true,
		}})
		ran := map[string]bool{}
		for attempt := Attempt(1); attempt < 12 && s.outcomes[1] == (outcome.Outcome{}); attempt++ {
			s.advance(20 * time.Millisecond)
			if d, ok := s.decodes[1]; ok && d.Attempt == attempt {
				ran[d.Decode] = true
				s.step(Failed{ID: 1, Attempt: attempt, Reason: outcome.EndpointLost, Ran: true, KVGone: attempt%3 == 0})
				continue
			}
			s.step(PrefillDone{ID: 1, Attempt: attempt, Expires: s.now.Add(time.Second)})
		}
		if len(ran) != 2 {
			t.Errorf("seed %d: expected two engines to run it, got %v", seed, ran)
		}
	}
}
