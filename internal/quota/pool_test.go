package quota

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// poolWithShares returns a pool of the owner of all groups, to which the given number of the boxes have lent their
// shares.
func poolWithShares(now time.Time, boxes, lenders int, limits map[string]Limit) *Pool {
	p := NewPool()
	p.SetLimits(now, nil)
	for g := range Groups {
		p.SetPlace(now, g, Place{Boxes: boxes})
	}
	for i := range lenders {
		p.Lend(now, fmt.Sprint(i), []int{0, 1, 2, 3}, false, time.Second)
	}
	p.SetLimits(now, limits)
	return p
}

// A configuration that sets limits again after all were removed is not the first one after a start. Its buckets were
// empty, and the accounts' requests were refused.
func TestLimitsSetAgainStartFull(t *testing.T) {
	now := time.Now()
	p := NewPool()
	limits := map[string]Limit{"a": {Rate: 1, Burst: 100}}
	p.SetPlace(now, GroupOf("a"), Place{Boxes: 1})
	p.Lend(now, "box", []int{GroupOf("a")}, false, time.Second)
	p.SetLimits(now, limits)
	if a, _ := p.Grant(now, "", "a", 1, 0); a.Granted != 0 {
		t.Errorf("expected an empty bucket after a start, got %g units", a.Granted)
	}
	p.SetLimits(now, nil)
	p.SetLimits(now, limits)
	if a, _ := p.Grant(now, "", "a", 100, 0); a.Granted != 100 {
		t.Errorf("expected the burst of 100 after the limits were set again, got %g", a.Granted)
	}
}

// A rate of 0 means no limit. Such an account was refused, and counted as one that is near its limit.
func TestRateOfZeroIsNoLimit(t *testing.T) {
	now := time.Now()
	p := poolWithShares(now, 1, 1, map[string]Limit{"free": {}, "other": {Burst: 10}})
	for _, account := range []string{"free", "other"} {
		if a, known := p.Grant(now, "", account, 1e6, 0); !known || a.Granted != 1e6 || a.Uncertain(1e6) {
			t.Errorf("expected all units for the account %q, got %+v, known %t", account, a, known)
		}
	}
	if p.HasLimits() || len(p.LowAccounts(now, 2)) > 0 {
		t.Errorf("expected no limits and no account near one, got %v", p.LowAccounts(now, 2))
	}
	p.SetLimits(now, map[string]Limit{"free": {Rate: 1, Burst: 10}})
	if a, _ := p.Grant(now, "", "free", 11, 0); a.Granted != 0 {
		t.Errorf("expected a limit of 10 at once after it was set, got %g", a.Granted)
	}
	if a, _ := p.Grant(now, "", "free", 10, 0); a.Granted != 10 {
		t.Errorf("expected a full bucket of a new limit, got %g", a.Granted)
	}
}

// A platform may set a window of 0. The overage is then part of the bucket's capacity only: a refill rate over a window
// of 0 would be infinite, and no limit would hold.
func TestOverageOfWindowZero(t *testing.T) {
	now := time.Now()
	p := poolWithShares(now, 1, 1, map[string]Limit{"a": {Rate: 10, Burst: 100}})
	p.SetBounds(now, Bounds{Overage: 0.1, Slack: 20})
	granted := 0.0
	for end := now.Add(900 * time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
		if a, _ := p.Grant(now, "", "a", 1, 0); a.Granted > 0 {
			granted += a.Granted
		}
	}
	// The burst, 9 units of 0.9 s, and the overage of 0.1 * 100 + 20.
	if granted < 100 || granted > 100+9+30 {
		t.Errorf("expected the burst, and at most the limit with its overage, got %g units", granted)
	}
}

// Guards against callers that are refused together, told the same time, and refused again when they return together.
func TestRefusedCallersAreToldToReturnInTurn(t *testing.T) {
	p, now := NewPool(), time.Unix(1000, 0)
	p.SetLimits(now, map[string]Limit{"other": {Rate: 1, Burst: 1}})
	p.SetLimits(now, map[string]Limit{"a": {Rate: 100, Burst: 100}})
	g := GroupOf("a")
	p.SetPlace(now, g, Place{Boxes: 1})
	p.Lend(now, "self", []int{g}, false, MaxLoan)
	now = now.Add(5 * time.Second)
	for { // Empties the bucket.
		if a, _ := p.Grant(now, "", "a", 10, 0); a.Granted == 0 {
			break
		}
	}
	type retry struct{ at time.Time }
	var due []retry
	for range 20 {
		a, _ := p.Grant(now, "", "a", 50, 0)
		if a.Granted > 0 {
			t.Fatal("expected a refusal")
		}
		due = append(due, retry{now.Add(a.Wait)})
	}
	slices.SortFunc(due, func(a, b retry) int { return a.at.Compare(b.at) })
	again := 0
	for _, r := range due {
		if a, _ := p.Grant(r.at, "", "a", 50, 0); a.Granted == 0 {
			again++
		}
	}
	if again > 5 {
		t.Errorf("%d of 20 callers were refused again, want a quarter at most", again)
	}
}
