package quota

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// grantingOwner is an owner that grants what is requested and 100 units in advance, and counts the calls.
type grantingOwner struct{ calls int }

func (g *grantingOwner) Allow(_ context.Context, _ string, units, _ float64) (Answer, bool) {
	g.calls++
	return Answer{Granted: units + 100, LentShare: 1}, true
}

// Units that were granted to a box in advance have expired when the box resumes after a suspension: the owner may have
// granted the same units to other boxes meanwhile.
func TestCachedGrantExpiresDuringSuspension(t *testing.T) {
	var suspended time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return suspended })()
	owner := &grantingOwner{}
	p := NewGrantCache(owner)
	p.Take(context.Background(), "a", 1)
	p.Take(context.Background(), "a", 1)
	if owner.calls != 1 {
		t.Fatalf("expected the second request to use cached units, got %d calls", owner.calls)
	}
	suspended = 2 * grantTTL
	p.Take(context.Background(), "a", 1)
	if owner.calls != 2 {
		t.Errorf("expected another call after the suspension, got %d calls", owner.calls)
	}
}

// While a box was suspended, the loans of other boxes' shares to it have expired. When it resumes it no longer grants
// units from them.
func TestLoanExpiresDuringSuspension(t *testing.T) {
	var suspended time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return suspended })()
	p := NewPool()
	p.SetLimits(clock.Now(), map[string]Limit{"a": {Rate: 100, Burst: 100}})
	p.SetPlace(clock.Now(), GroupOf("a"), Place{Boxes: 2})
	p.Lend(clock.Now(), "other", []int{GroupOf("a")}, false, 3*time.Second)
	before, _ := p.Grant(clock.Now(), "", "a", 1, 0)
	suspended = 4 * time.Second
	after, _ := p.Grant(clock.Now(), "", "a", 1, 0)
	if before.LentShare != 0.5 || after.LentShare != 0 {
		t.Errorf("expected a lent share of 0.5 before the suspension and 0 after it, got %g, then %g", before.LentShare, after.LentShare)
	}
}
