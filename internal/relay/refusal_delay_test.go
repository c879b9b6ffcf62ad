package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// The decision core gets the client account of a stream. Past fault: it got none, so all accounts shared one place in the
// fair order of waiting streams.
func TestStreamNamesItsAccount(t *testing.T) {
	_, f, _ := arrivedFlight(t, context.Background(), decide.Request{}, "writer")
	f.x.route = &Route{}
	if got := f.request(); got.Client != "" {
		t.Errorf("expected no client without an account, got %q", got.Client)
	}
	f.x.account = &Account{Name: "bakery", Priority: 2, HasPriority: true}
	if got := f.request(); got.Client != "bakery" || got.Weight != 1 || got.Rank != 2 {
		t.Errorf("expected the account bakery with weight 1 and rank 2, got %q with %g and %d", got.Client, got.Weight, got.Rank)
	}
}

// The weight of an account reaches the fair orders of streams and of plain calls. Past fault: all accounts had weight 1.
func TestAccountWeight(t *testing.T) {
	_, f, _ := arrivedFlight(t, context.Background(), decide.Request{}, "writer")
	f.x.route, f.x.account = &Route{}, &Account{Name: "bakery"}
	for _, tt := range []struct {
		weights map[string]float64
		want    float64
	}{{nil, 1}, {map[string]float64{"bakery": 2.5, "lab": 4}, 2.5}, {map[string]float64{"lab": 4}, 1}} {
		f.x.r.SetWeights(tt.weights)
		if stream, call := f.request().Weight, f.x.slotRequest(nil).Weight; stream != tt.want || call != tt.want {
			t.Errorf("expected weight %g, got %g for a stream and %g for a call", tt.want, stream, call)
		}
	}
}

// A delay that the decision core computed from a long queue is passed on. A short one is raised, unless the box knows which
// callers all boxes told to retry. Past fault: callers that were told less than three seconds came back during the same
// overload and were refused again.
func TestRefusalDelayHasAFloor(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.TooLate, outcome.QueueFull, outcome.WaitExpired, outcome.NoDecode} {
		if got := refusalDelay(outcome.Outcome{Reason: reason, RetryAfter: 400 * time.Millisecond}); got < 2*time.Second {
			t.Errorf("%s: expected at least 2.4 s, got %s", reason, got)
		}
		if got := refusalDelay(outcome.Outcome{Reason: reason, RetryAfter: 6 * time.Second}); got != 6*time.Second {
			t.Errorf("%s: expected 6 s, got %s", reason, got)
		}
	}
	if got := refusalDelay(outcome.Outcome{Reason: outcome.PromptTooLong}); got != 0 {
		t.Errorf("expected no delay for a refusal that a retry cannot help, got %s", got)
	}
}
