package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// newPoolCore returns a core with one pool of the given numbers of engines, spread over three halls.
func newPoolCore(prefills, decodes int, selfPrefillRatio float64) *Core {
	c := New(rand.New(rand.NewPCG(1, 1)), 100)
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: time.Second, SelfPrefillRatio: selfPrefillRatio}}}
	for i := range prefills + decodes {
		role := Prefill
		if i >= prefills {
			role = Decode
		}
		f.Engines = append(f.Engines, Engine{
			Name: fmt.Sprintf("e%02d", i), Pool: "p", Region: "r", Hall: fmt.Sprint(i % 3), Role: role, PrefillRate: 50_000,
			KVTokens: 90_000, Step: 600 * time.Microsecond, StepPerStream: 20 * time.Microsecond, LinkRate: 1e9,
		})
	}
	now := time.Unix(1_800_000_000, 0)
	c.Step(now, f)
	c.now = now.Add(idleAfter + time.Millisecond) // By now the list of engines counts as complete and the pool as idle.
	return c
}

// observeOutputs makes the pool observe many requests with prompts of 5,000 tokens and answers of the given
// length.
func (c *Core) observeOutputs(output int) *Core {
	for range 100 * defaultRatioWeight {
		c.pools["p"].observe(c.now, 5000, 5000, output, 5*time.Millisecond)
	}
	return c
}

// expectRoleChange checks how many engines are told to change to the given role. Before, the pool observed requests
// with answers of the given length. The last of these requests arrived the given time ago.
func expectRoleChange(t *testing.T, prefills, decodes, output int, ago time.Duration, changes int, role EngineRole) {
	t.Helper()
	c := newPoolCore(prefills, decodes, 0).observeOutputs(output)
	c.now = c.now.Add(ago)
	a, ok := c.RecommendRoleChange()
	if ok != (changes > 0) || len(a.Engines) != changes || ok && a.Role != role {
		t.Errorf("%d and %d engines, %d tokens: expected %d changes to %s, got %+v", prefills, decodes, output, changes, role, a)
	}
}

func TestAdvise(t *testing.T) {
	expectRoleChange(t, 3, 6, 4400, 0, 0, Decode)
	expectRoleChange(t, 3, 6, 12000, 0, 1, Decode)
	expectRoleChange(t, 4, 5, 8000, 0, 1, Decode)
	expectRoleChange(t, 2, 7, 4400, 0, 0, Decode)
	expectRoleChange(t, 1, 8, 4400, 0, 1, Prefill)
	expectRoleChange(t, 0, 9, 4400, 0, 1, Prefill)
	expectRoleChange(t, 3, 6, 100, 0, 1, Prefill) // Prompts are long and answers short.
	expectRoleChange(t, 3, 6, 100, idleAfter+time.Millisecond, 5, Prefill)
	expectRoleChange(t, 30, 60, 100, 0, 15, Prefill)
	expectRoleChange(t, 1, 0, 4400, 0, 0, Decode)
}

// A change of role that gains little is recommended only while the pool has no requests to disturb.
func TestAdviseSmallGain(t *testing.T) {
	expectRoleChange(t, 4, 5, 4400, 0, 0, Decode)
	expectRoleChange(t, 4, 5, 4400, idleAfter+time.Millisecond, 2, Decode)
	expectRoleChange(t, 3, 6, 5500, 0, 0, Decode)
	expectRoleChange(t, 3, 6, 5500, idleAfter+time.Millisecond, 1, Decode)
}

// Before any requests are observed, the default work ratio of the roles determines the recommendation.
func TestAdviseWithoutRequests(t *testing.T) {
	for _, tc := range []struct{ prefills, decodes, changes int }{{4, 5, 2}, {3, 6, 0}, {2, 7, 0}, {30, 60, 7}} {
		a, _ := newPoolCore(tc.prefills, tc.decodes, 0).RecommendRoleChange()
		if len(a.Engines) != tc.changes {
			t.Errorf("%d and %d engines: expected %d changes, got %+v", tc.prefills, tc.decodes, tc.changes, a)
		}
	}
}

// Shortly after an engine was listed there is no recommendation, because more engines may follow.
func TestAdviseGrowingList(t *testing.T) {
	c := newPoolCore(4, 5, 0)
	c.now = c.pools["p"].changedAt.Add(stableFor - time.Millisecond)
	if a, ok := c.RecommendRoleChange(); ok {
		t.Errorf("expected no advice so soon after the last engine was listed, got %+v", a)
	}
}

// A box that has seen only requests of other boxes does not know the target between tokens. So it makes no
// recommendation.
func TestAdviseRemoteRequestsOnly(t *testing.T) {
	c := newPoolCore(2, 7, 0)
	for range 100 * defaultRatioWeight {
		c.pools["p"].observeRemote(RemotePlacement{At: c.now, PromptTokens: 5000, KV: 9400})
	}
	if a, ok := c.RecommendRoleChange(); ok {
		t.Errorf("expected no advice, got %+v", a)
	}
}

// A pool has the right numbers of engines per role. The first few timings suggest slower engines. They must not lead to
// a recommendation.
func TestAdviseLittleEvidence(t *testing.T) {
	c := newPoolCore(2, 7, 0).observeOutputs(4400)
	p := c.pools["p"]
	p.EstimatesSpeed = true
	for range minTimings {
		c.learn(p, Timing{PrefillTokens: 5000, PrefillTime: 2 * time.Second, FirstEventDelay: time.Millisecond, Step: time.Millisecond, Streams: 5})
	}
	if a, ok := c.RecommendRoleChange(); ok {
		t.Errorf("expected no advice after %d timings, got %+v", minTimings, a)
	}
}

// A pool has no prefill engines. If decode engines can prefill prompts themselves, a request is sent to a decode
// engine. Otherwise the request is refused as not run.
func TestNoPrefillEngines(t *testing.T) {
	for _, self := range []float64{0, 0.5} {
		c := newPoolCore(0, 3, self)
		out := c.Step(c.now, Submit{Request{ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}})
		switch a := out[len(out)-1].(type) {
		case StartDecode:
			if self == 0 || a.Prefill != "" || a.Choice == nil {
				t.Errorf("self-read %g: unexpected %+v", self, a)
			}
		case End:
			if self != 0 || a.Outcome.Reason != outcome.NoPrefill || a.Outcome.Kind != outcome.NotRun {
				t.Errorf("self-read %g: unexpected %+v", self, a)
			}
		default:
			t.Errorf("self-read %g: unexpected %+v", self, a)
		}
	}
}

// retriesLeft is how many retries the core's budget has left.
func retriesLeft(c *Core) (n int) {
	for c.budget.Has(c.now, n+1) {
		n++
	}
	return n
}

// A decode engine refuses to reserve memory for a request. The request is placed on the other decode engine, without a
// retry from the budget. When both have refused, the request waits, and is tried again after a short pause.
func TestNoRoomTriesAnother(t *testing.T) {
	c := newPoolCore(1, 2, 0)
	before := retriesLeft(c)
	out := c.Step(c.now, Submit{Request{ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}})
	first := out[len(out)-1].(StartPrefill)
	out = c.Step(c.now.Add(time.Millisecond), ReservationRefused{ID: 1, Attempt: first.Attempt})
	second, ok := out[len(out)-1].(StartPrefill)
	if !ok || second.Decode == first.Decode || retriesLeft(c) != before {
		t.Errorf("expected the other decode engine and an untouched budget of %d, got %+v, %d", before, out, retriesLeft(c))
	}
	out = c.Step(c.now.Add(time.Millisecond), ReservationRefused{ID: 1, Attempt: second.Attempt})
	if _, ok := out[len(out)-1].(Waiting); !ok {
		t.Errorf("expected the request to wait while both are full, got %+v", out)
	}
	if out = c.Step(c.now.Add(minDenialPause+time.Millisecond), Tick{}); len(out) == 0 {
		t.Error("expected another try after the pause")
	}
}

// expectPrefillOn submits a request and expects the given engine to prefill the prompt. If no engine is given, any will
// do.
func expectPrefillOn(t *testing.T, c *Core, id ID, want string) Attempt {
	t.Helper()
	out := c.Step(c.now, Submit{Request{ID: id, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond, Repeatable: true, PrefillNotRun: true}})
	a, ok := out[len(out)-1].(StartPrefill)
	if !ok || a.Prefill != want && want != "" {
		t.Fatalf("expected request %d to be prefilled by %q, got %+v", id, want, out)
	}
	return a.Attempt
}

// For some seconds after an engine refused a prompt, it is used only if all other engines refuse too. The cause of a
// refusal usually persists, and each further refusal would cost one of the few retries.
func TestRefusingEngineIsLastResort(t *testing.T) {
	c := newPoolCore(2, 2, 0)
	out := c.Step(c.now, Submit{Request{ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond, Repeatable: true, PrefillNotRun: true}})
	first := out[len(out)-1].(StartPrefill)
	out = c.Step(c.now, Failed{ID: 1, Attempt: first.Attempt, Reason: outcome.EndpointRefused})
	second := out[len(out)-1].(StartPrefill)
	if second.Prefill == first.Prefill {
		t.Fatalf("expected the other engine to prefill the prompt, got %+v", second)
	}
	for id := ID(2); id < 8; id++ {
		expectPrefillOn(t, c, id, second.Prefill)
	}
	c.Step(c.now.Add(minAvoidPeriod), Tick{})
	c.Step(c.now, Cancel{ID: 1})
	for id := ID(2); id < 8; id++ {
		c.Step(c.now, Cancel{ID: id})
	}
	c.engines[second.Prefill].health.noteRefusal(c.now)
	expectPrefillOn(t, c, 8, first.Prefill)
	c.engines[first.Prefill].health.noteRefusal(c.now)
	expectPrefillOn(t, c, 9, "")
}

// An engine reports that it is leaving, because it changes its role. Later, the configuration lists the engine with the
// new role. From then on the engine gets work again, even before the next load probe.
func TestRoleChangeClearsLeaving(t *testing.T) {
	c := newPoolCore(1, 2, 0)
	e := c.engines["e01"]
	c.Step(c.now, LoadReport{Engine: "e01", At: c.now, Leaving: true})
	if !e.leaving() {
		t.Fatal("expected the engine to be unavailable while it changes its role")
	}
	f := Fleet{}
	for _, name := range []string{"e00", "e01", "e02"} {
		f.Engines = append(f.Engines, c.engines[name].Engine)
	}
	f.Engines[1].Role = Prefill
	c.Step(c.now, f)
	if e.leaving() {
		t.Error("expected the engine to take prompts in its new role")
	}
}

// Shortly after its start, a box has observed no requests. It cannot tell yet whether the pool is idle. So it does not
// recommend a change with a small gain.
func TestAdviseAtStart(t *testing.T) {
	c := newPoolCore(4, 5, 0)
	c.now = c.pools["p"].createdAt.Add(stableFor)
	if a, ok := c.RecommendRoleChange(); ok {
		t.Errorf("expected no advice for a small gain so soon after the start, got %+v", a)
	}
}

// A box that starts with the estimates of other boxes uses these estimates immediately, and not the default ratio.
func TestAdviseWithPriorEstimates(t *testing.T) {
	c := newPoolCore(2, 7, 0).observeOutputs(4400)
	l := c.pools["p"].estimates()
	l.PrefillRate, l.Step, l.Requests = 50_000, 600*time.Microsecond, 10_000
	l.Output = 2200 // With these lengths both roles have the same work.
	other := newPoolCore(4, 5, 0)
	other.pools["p"].EstimatesSpeed = true
	other.Step(other.now, SetEstimates{l})
	if a, ok := other.RecommendRoleChange(); ok {
		t.Errorf("expected the split to be kept, got %+v", a)
	}
}

// The streams of an engine may not slow each other down, or not measurably in the first timings. Then memory and slots
// determine how many streams run at the same time. The engine must not be treated as running one stream at a time.
func TestBatch(t *testing.T) {
	for _, tc := range []struct {
		perStream time.Duration
		slots     int
		want      time.Duration // The work of a request with an answer of 1,000 tokens.
	}{
		{0, 0, 100 * time.Millisecond}, // The memory is enough for 10 streams, and a token takes 1 ms.
		{0, 5, 200 * time.Millisecond},
		{100 * time.Microsecond, 0, 190 * time.Millisecond},
		{10 * time.Millisecond, 0, 5 * time.Second}, // The target between tokens allows one stream.
	} {
		p := &pool{minStep: time.Millisecond, stepPerStreamAtMinStep: tc.perStream, regions: map[string]*region{"r": {maxKV: 10_000, maxSlots: tc.slots}}}
		f := &flight{Request: Request{Region: "r", PromptTokens: 500, MaxTokens: 1000, BetweenTokens: 5 * time.Millisecond}}
		if got := p.decodeWork(f); got != tc.want {
			t.Errorf("%v per stream, %d slots: expected %v, got %v", tc.perStream, tc.slots, tc.want, got)
		}
	}
}
