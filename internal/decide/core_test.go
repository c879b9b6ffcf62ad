package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

var start = time.Unix(1800000000, 0)

// scene is a core with a small pool and a clock for short tests.
type scene struct {
	t    *testing.T
	c    *Core
	now  time.Time
	ends map[ID]outcome.Outcome
	runs map[ID]StartPrefill
	goes map[ID]StartDecode
}

func newScene(t *testing.T, prefills, decodes int) *scene {
	s := &scene{
		t: t, c: New(rand.New(rand.NewPCG(1, 2)), 1000), now: start,
		ends: map[ID]outcome.Outcome{}, runs: map[ID]StartPrefill{}, goes: map[ID]StartDecode{},
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

func (s *scene) step(ev Event) {
	for _, a := range s.c.Step(s.now, ev) {
		switch a := a.(type) {
		case StartPrefill:
			s.runs[a.ID] = a
		case StartDecode:
			s.goes[a.ID] = a
		case End:
			s.ends[a.ID] = a.Outcome
		}
	}
}

func (s *scene) arrive(id ID, client string, tokens int) {
	s.step(Arrive{Request: Request{
		ID: id, Pool: "p", Region: "r", Client: client, PromptTokens: tokens, MaxTokens: 10,
		FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond, Repeatable: true,
	}})
}

func (s *scene) pass(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

func (s *scene) expectRuns(id ID) {
	s.t.Helper()
	if _, ok := s.runs[id]; !ok {
		s.t.Errorf("expected request %d to run, it ended with %+v", id, s.ends[id])
	}
}

func (s *scene) expectRefused(id ID, r outcome.Reason) {
	s.t.Helper()
	if o, ok := s.ends[id]; !ok || o.Kind != outcome.NotRun || o.Reason != r {
		s.t.Errorf("expected request %d to be refused as %s, got %+v", id, r, o)
	}
}

// With too much waiting the largest goes, at once, and the others are on time.
func TestLargestIsRefused(t *testing.T) {
	s := newScene(t, 1, 1)
	s.arrive(1, "a", 4000) // 400 ms of reading: runs.
	s.arrive(2, "a", 5000)
	s.arrive(3, "a", 1000)
	s.arrive(4, "a", 1500)
	s.expectRuns(1)
	s.expectRefused(2, outcome.TooLate)
	s.pass(400 * time.Millisecond)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectRuns(4) // It must start first to be on time.
	s.pass(150 * time.Millisecond)
	s.step(PrefillDone{ID: 4, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectRuns(3)
}

// One client's bulk does not push out another's request, even a larger one.
func TestBulkDoesNotStarve(t *testing.T) {
	s := newScene(t, 1, 1)
	s.arrive(1, "bulk", 3000)
	s.arrive(2, "window", 2000)
	for id := ID(3); id < 40; id++ {
		s.arrive(id, "bulk", 500)
	}
	for n := 0; n < 200 && len(s.ends) < 38; n++ {
		s.pass(20 * time.Millisecond)
		for id, a := range s.runs {
			s.step(PrefillDone{ID: id, Attempt: a.Attempt, Expires: s.now.Add(time.Second)})
		}
	}
	s.expectRuns(2)
}

// An engine with three failures in a row is set aside and probed after a pause.
func TestSetAside(t *testing.T) {
	s := newScene(t, 2, 1)
	bad := s.c.engines["a"]
	for range failuresToSetAside {
		bad.health.failed(s.now)
	}
	for id := ID(1); id <= 5; id++ {
		s.arrive(id, "a", 10)
		if s.runs[id].Prefill == "a" {
			t.Fatal("new work for an engine that is set aside")
		}
	}
	s.pass(firstPause + time.Millisecond)
	for id := ID(6); id <= 40; id++ {
		s.arrive(id, "a", 10)
	}
	n := 0
	for id := ID(6); id <= 40; id++ {
		if s.runs[id].Prefill == "a" {
			n++
		}
	}
	if n != 1 {
		t.Errorf("expected one probe of the engine, it got %d requests", n)
	}
}

// Retries are a share of traffic: when everything fails they run out.
func TestRetryBudget(t *testing.T) {
	s := newScene(t, 3, 3)
	retries := 0
	for id := ID(1); id <= 200; id++ {
		s.arrive(id, "a", 10)
		for n := Attempt(1); s.ends[id].Reason == outcome.OK && n < 10; n++ {
			before := s.runs[id].Attempt
			s.step(Failed{ID: id, Attempt: before, Reason: outcome.EndpointRefused})
			if s.runs[id].Attempt > before {
				retries++
			}
		}
	}
	if most := retryFree + 200*retryShare; float64(retries) > most {
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

// The believed cache shrinks to what the engine really keeps.
func TestCacheSizeIsLearned(t *testing.T) {
	c := &blockCache{}
	for range 100 {
		c.learn(10*BlockTokens, 0, 10)
	}
	if c.size() != leastBlocks {
		t.Errorf("expected the smallest size after 100 wrong beliefs, got %d", c.size())
	}
	for range 1000 {
		c.learn(BlockTokens, BlockTokens, 10)
	}
	if c.size() != mostBlocks {
		t.Errorf("expected the largest size after 1000 right beliefs, got %d", c.size())
	}
}

func BenchmarkArrive(b *testing.B) {
	s := newScene(&testing.T{}, 4, 5)
	b.ReportAllocs()
	id := ID(0)
	for b.Loop() {
		id++
		s.now = s.now.Add(10 * time.Millisecond)
		s.arrive(id, "c", 1000)
		s.step(Cancel{ID: id})
		clear(s.runs)
	}
}

func expectWait(t *testing.T, u *urgency, target, queued, reading, ahead time.Duration) {
	t.Helper()
	r, a := u.wait(&flight{Request: Request{FirstToken: target}}, queued)
	if r != reading || a != ahead {
		t.Errorf("expected %s and %s, got %s and %s", reading, ahead, r, a)
	}
}

// A request waits for the prompt being read and for work at least as urgent.
func TestUrgency(t *testing.T) {
	ms := time.Millisecond
	u := &urgency{classes: []urgencyClass{{target: 400 * ms, work: 1, job: 10 * ms}, {target: 2 * time.Second, work: 9, job: 170 * ms}}}
	expectWait(t, u, 400*ms, 500*ms, 170*ms, 33*ms)
	expectWait(t, u, 400*ms, 100*ms, 100*ms, 0)
	expectWait(t, u, 2*time.Second, 500*ms, 0, 500*ms)
	expectWait(t, &urgency{}, 400*ms, 500*ms, 0, 500*ms)
}

// A request that may be late takes what the others leave.
func TestPatientGoesLast(t *testing.T) {
	s := newScene(t, 1, 1)
	s.arrive(1, "a", 3000) // Runs for 300 ms.
	s.step(Arrive{Request: Request{
		ID: 2, Pool: "p", Region: "r", Client: "late", PromptTokens: 2000, MaxTokens: 10,
		FirstToken: 100 * time.Millisecond, BetweenTokens: 20 * time.Millisecond, ServeLate: true,
	}})
	s.pass(100 * time.Millisecond)
	s.arrive(3, "a", 1000)
	s.pass(200 * time.Millisecond)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectRuns(3)
	if _, ok := s.runs[2]; ok {
		t.Error("expected the request that may be late to wait behind the other")
	}
	s.pass(100 * time.Millisecond)
	s.step(PrefillDone{ID: 3, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.expectRuns(2)
}

// In a pool of two regions each request sees the engines of its own, however few.
func TestRegionsOfOnePool(t *testing.T) {
	s := newScene(t, 0, 0)
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
		s.expectRuns(id)
		if a := s.runs[id]; a.Prefill != "0" || a.Decode != "1" {
			t.Errorf("expected the engines of the request's region, got %s and %s", a.Prefill, a.Decode)
		}
		s.step(PrefillDone{ID: id, Attempt: 1, Expires: s.now.Add(time.Second)})
		s.step(FirstToken{ID: id, Attempt: 2})
		s.step(Done{ID: id, Attempt: 2})
		s.pass(10 * time.Millisecond)
	}
}

// A request that has run on as many engines as may run it goes on at one of these only.
func TestMaxEngines(t *testing.T) {
	for seed := range uint64(10) {
		s := newScene(t, 1, 4)
		s.c.rng = rand.New(rand.NewPCG(seed, 1))
		s.step(Arrive{Request: Request{
			ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: 10 * time.Second, BetweenTokens: time.Second,
			Repeatable: true, Resumable: true, MaxEngines: 2, ReadNotRun: true,
		}})
		ran := map[string]bool{}
		for attempt := Attempt(1); attempt < 12 && s.ends[1] == (outcome.Outcome{}); attempt++ {
			s.pass(20 * time.Millisecond)
			if d, ok := s.goes[1]; ok && d.Attempt == attempt {
				ran[d.Decode] = true
				s.step(Failed{ID: 1, Attempt: attempt, Reason: outcome.EndpointDied, Ran: true, KVGone: attempt%3 == 0})
				continue
			}
			s.step(PrefillDone{ID: 1, Attempt: attempt, Expires: s.now.Add(time.Second)})
		}
		if len(ran) != 2 {
			t.Errorf("seed %d: expected two engines to run it, got %v", seed, ran)
		}
	}
}
