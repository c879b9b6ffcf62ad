package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// newRegionsCore returns a core with one pool that has the given number of prefill engines in each of two regions.
func newRegionsCore(prefills map[string]int) *Core {
	c := New(rand.New(rand.NewPCG(1, 1)), 100)
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: time.Second}}}
	for region, n := range prefills {
		for i := range n {
			f.Engines = append(f.Engines, Engine{Name: fmt.Sprint(region, i), Pool: "p", Region: region, Role: Prefill, PrefillRate: 50_000, LinkRate: 1e9})
		}
	}
	c.Step(time.Unix(1_800_000_000, 0), f)
	return c
}

// In a pool with several regions, a decision compares each prefill engine once. An engine that the prompt's hash maps to
// was compared twice where its region has few engines and the pool has many.
func TestSampledPrefillsAreDistinct(t *testing.T) {
	for _, own := range []int{3, sampleThreshold, 2 * sampleThreshold} {
		c := newRegionsCore(map[string]int{"r": own, "far": 2 * sampleThreshold})
		for n := range uint64(200) {
			f := &flight{Request: Request{Region: "r", Blocks: []uint64{n * (1 << 56)}}}
			seen := map[*engine]bool{}
			for _, e := range c.samplePrefills(c.pools["p"], f) {
				if seen[e] || e.Region != "r" {
					t.Fatalf("%d engines in the region: expected engines of the region, each once, got %s again", own, e.Name)
				}
				seen[e] = true
			}
			if own <= sampleThreshold && len(seen) != own {
				t.Fatalf("expected all %d engines of the region to be compared, got %d", own, len(seen))
			}
		}
	}
}

// The step time per stream belongs to engines that still run. Past fault: it was kept when all decode engines had left,
// beside a shortest step of 0.
func TestStepTimesAfterAllDecodesLeft(t *testing.T) {
	c := newPoolCore(1, 2, 0)
	p := c.pools["p"]
	if p.minStep == 0 || p.stepPerStreamAtMinStep == 0 {
		t.Fatalf("expected step times of the engines, got %s and %s", p.minStep, p.stepPerStreamAtMinStep)
	}
	for _, e := range p.decode {
		e.Leaving = true
	}
	p.updateFigures()
	if p.minStep != 0 || p.stepPerStreamAtMinStep != 0 {
		t.Errorf("expected no step times, got %s and %s", p.minStep, p.stepPerStreamAtMinStep)
	}
}

// A request may name a region without engines. The pool must not remember the name: a list of regions would grow with
// the names in requests.
func TestUnknownRegionIsNotAdded(t *testing.T) {
	c := newPoolCore(2, 2, 0)
	p := c.pools["p"]
	c.Step(c.now, Submit{Request{ID: 1, Pool: "p", Region: "nowhere", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}})
	p.selfPrefillWait(&flight{Request: Request{Region: "nowhere"}}, c.now)
	p.decodeWork(&flight{Request: Request{Region: "nowhere", BetweenTokens: time.Millisecond}})
	if got := p.regionNames(); len(got) != 1 {
		t.Errorf("expected the region of the engines alone, got %q", got)
	}
}

// The record of a pair states the time for the prompt alone. Past fault: where the decode engine prefills itself, it
// contained the delay of the first event, once that was known, less a step.
func TestPrefillTimeOfSelfPrefill(t *testing.T) {
	c := newPoolCore(0, 1, 0.5)
	p := c.pools["p"]
	p.speed.FirstEventDelay, p.speed.PrefillDelay = 30*time.Millisecond, 4*time.Millisecond
	f := &flight{pool: p, Request: Request{ID: 1, Pool: "p", Region: "r", PromptTokens: 1000, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}}
	best, _, ok := c.choose(p, f, c.now)
	// The engine prefills 50,000 tokens per second, and half as many beside its streams.
	if want := 40 * time.Millisecond; !ok || best.PrefillTime != want {
		t.Errorf("expected a prefill time of %s, got %s", want, best.PrefillTime)
	}
	if want := 74 * time.Millisecond; best.FirstToken != want {
		t.Errorf("expected the first token after %s, got %s", want, best.FirstToken)
	}
}

// The only prefill engine reports that it takes no prompts, as engines do while they carry out an order. The request
// waits, and starts once a report says that the engine takes prompts again. It would be refused if reports counted in
// the check of the region's engines. If the engine does not come back, the request is refused when its time is over.
func TestRequestWaitsForReportedLeaving(t *testing.T) {
	for _, comesBack := range []bool{true, false} {
		c := newPoolCore(1, 2, 0)
		step := func(ev Event) (last Action) {
			if out := c.Step(c.now, ev); len(out) > 0 {
				last = out[len(out)-1]
			}
			return last
		}
		step(LoadReport{Engine: "e00", At: c.now, Leaving: true})
		a := step(Submit{Request{ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}})
		if w, ok := a.(Waiting); !ok || w.Reason != outcome.NoPrefill {
			t.Fatalf("expected the request to wait, got %+v", a)
		}
		c.now = c.now.Add(200 * time.Millisecond)
		if comesBack {
			if a, ok := step(LoadReport{Engine: "e00", At: c.now}).(StartPrefill); !ok || a.Prefill != "e00" {
				t.Errorf("expected the request to start, got %+v", a)
			}
			continue
		}
		var end Action
		for waited := time.Duration(0); end == nil && waited < time.Minute; waited += 50 * time.Millisecond {
			c.now = c.now.Add(50 * time.Millisecond)
			end = step(Tick{})
		}
		if a, ok := end.(End); !ok || a.Outcome.Kind != outcome.NotRun || c.now.Sub(c.engines["e00"].report.At) > 1100*time.Millisecond {
			t.Errorf("expected the request to be refused as not run when its time is over, got %+v", end)
		}
	}
}
