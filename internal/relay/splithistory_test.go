package relay

import (
	"slices"
	"testing"
	"time"
)

func splitRoute(name string, weights ...float64) *Route {
	r := &Route{Name: name}
	for i, w := range weights {
		r.Targets = append(r.Targets, Target{Service: string(rune('a' + i)), Weight: w})
	}
	return r
}

// Guards against weights that are forgotten while their streams may be taken up, and against ones that are remembered for good.
func TestFormerWeightsAreRemembered(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var old *Config
	h := splitHistory{}
	apply := func(routes ...*Route) {
		next := &Config{Routes: routes}
		h, old = h.updated(old, next, now), next
	}
	expect := func(what string, r *Route, want ...string) {
		t.Helper()
		if got := h.servicesOf(r, "x", now); !slices.Equal(got, want) {
			t.Errorf("%s: expected %q, got %q", what, want, got)
		}
	}
	apply(splitRoute("r", 1, 0), splitRoute("other", 1, 0))
	expect("first configuration", splitRoute("r", 1, 0), "a")
	apply(splitRoute("r", 0, 1), splitRoute("other", 1, 0))
	expect("changed", splitRoute("r", 0, 1), "b", "a")
	expect("another route", splitRoute("other", 1, 0), "a")
	now = now.Add(splitTime - time.Second)
	apply(splitRoute("r", 0, 0, 1))
	expect("changed again", splitRoute("r", 0, 0, 1), "c", "a", "b")
	now = now.Add(time.Second)
	expect("the first forgotten", splitRoute("r", 0, 0, 1), "c", "b")
	for range 3 * maxFormerSplits {
		apply(splitRoute("r", 1))
		apply(splitRoute("r", 0, 1))
	}
	if n := len(h["r"]); n > maxFormerSplits {
		t.Errorf("expected at most %d former targets, got %d", maxFormerSplits, n)
	}
	now = now.Add(splitTime)
	apply(splitRoute("r", 0, 1))
	if len(h) != 0 {
		t.Errorf("expected an empty history, got %v", h)
	}
}
