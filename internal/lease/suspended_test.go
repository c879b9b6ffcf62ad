package lease

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// A box that was suspended after it had acquired the lease must not send the order. Another box may have acquired the
// next lease by then. Before, the lease looked valid, because the steady clock stops during a suspension.
func TestSuspendedHolder(t *testing.T) {
	var suspended time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return suspended })()
	k := &Acquirer{
		Rows: &rowStore{rng: rand.New(rand.NewPCG(1, 1)), start: time.Now()}, Key: "k", Holder: "a",
		Length: 8 * time.Second, UsableFor: 1500 * time.Millisecond,
	}
	l, err := k.Acquire(context.Background())
	if err != nil || !l.Valid(clock.Now()) {
		t.Fatalf("expected a valid lease, got %v, %v", l, err)
	}
	suspended = 4 * time.Second
	if l.Valid(clock.Now()) {
		t.Error("expected no valid lease after the suspension")
	}
}
