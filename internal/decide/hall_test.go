package decide

import (
	"fmt"
	"testing"
	"time"
)

// newTwoHallCore returns a core with one engine of each role in each of two halls.
func newTwoHallCore() *Core {
	c := newPoolCore(0, 0, 0)
	f := Fleet{}
	for _, hall := range []string{"a", "b"} {
		for _, role := range []EngineRole{Prefill, Decode} {
			f.Engines = append(f.Engines, Engine{
				Name: fmt.Sprintf("%s-%s", role, hall), Pool: "p", Region: "r", Hall: hall, Role: role, PrefillRate: 50_000,
				KVTokens: 90_000, Step: 600 * time.Microsecond, StepPerStream: 20 * time.Microsecond, LinkRate: 1e9,
			})
		}
	}
	c.Step(c.now, f)
	return c
}

// expectHall submits a request on a box in the given hall and checks which engines it is placed on.
func expectHall(t *testing.T, c *Core, id ID, hall, wantPrefill, wantDecode string) {
	t.Helper()
	out := c.Step(c.now, Submit{Request{ID: id, Pool: "p", Region: "r", Hall: hall, PromptTokens: 1000, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 5 * time.Millisecond}})
	a, ok := out[len(out)-1].(StartPrefill)
	if !ok || a.Prefill != wantPrefill || a.Decode != wantDecode {
		t.Errorf("expected %s and %s for a box in hall %s, got %+v", wantPrefill, wantDecode, hall, out)
	}
}

// Engines in the box's own hall are preferred to similar engines in another hall.
func TestPrefersOwnHall(t *testing.T) {
	for _, hall := range []string{"a", "b"} {
		expectHall(t, newTwoHallCore(), 1, hall, "prefill-"+hall, "decode-"+hall)
	}
}

// A prefill engine without a queue in another hall is preferred to a prefill engine with a queue in the box's own hall.
func TestQueueOutweighsHall(t *testing.T) {
	c := newTwoHallCore()
	c.Step(c.now, RemotePlacement{Engine: "prefill-a", At: c.now, Tokens: 5000})
	expectHall(t, c, 1, "a", "prefill-b", "decode-a")
}
