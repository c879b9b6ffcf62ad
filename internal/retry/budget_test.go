package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// In any window, extra calls stay within a bound: the free calls, plus a fraction of the requests. Requests count if
// they arrived in that window or in the window before.
func TestBudget(t *testing.T) {
	for seed := range uint64(300) {
		expectBounded(t, seed)
	}
}

func expectBounded(t *testing.T, seed uint64) {
	t.Helper()
	const window = 10 * time.Second
	rng := rand.New(rand.NewPCG(seed, 1))
	l := Limits{Share: 0.2, FreeCalls: float64(rng.IntN(60)), Window: window}
	boxes := rng.IntN(20)
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(l, boxes, now.Add(-time.Hour))
	free := 0.0
	if boxes > 0 {
		free = l.FreeCalls / float64(boxes)
	}
	var arrivals, retries []time.Time
	for range 300 {
		now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
		if n := rng.IntN(4); n == 0 {
			b.CountRequest(now)
			arrivals = append(arrivals, now)
		} else if b.Take(now, n) {
			for range n {
				retries = append(retries, now)
			}
		}
		from := now.Add(-window)
		// Each extra call was allowed because of requests in the window before that call.
		if n, requests := countAfter(retries, from), countAfter(arrivals, from.Add(-window-2*maxTransit)); float64(n) > free+l.Share*float64(requests) {
			t.Fatalf("seed %d: %d extra calls with %g free and %d requests in one window", seed, n, free, requests)
		}
	}
}

// Extra calls that are given back can be taken again in the same window. They add nothing to a later window.
func TestReturn(t *testing.T) {
	var b Budget
	b.SetFixed(0, 2, 10*time.Second)
	now := time.Unix(1_800_000_000, 0)
	expectTaken := func(what string, n int) {
		t.Helper()
		got := 0
		for b.Take(now, 1) {
			got++
		}
		if got != n {
			t.Errorf("%s: expected %d calls to be allowed, got %d", what, n, got)
		}
	}
	expectTaken("at first", 2)
	b.Return(now, 1)
	expectTaken("after one was returned", 1)
	taken := now
	now = now.Add(time.Minute)
	b.Return(taken, 1)
	expectTaken("a minute later", 2)
}

// countAfter counts the times in the list that are after from.
func countAfter(list []time.Time, from time.Time) (n int) {
	for _, at := range list {
		if at.After(from) {
			n++
		}
	}
	return n
}

// expectAllowed expects that a box is allowed want extra calls. The box was started the duration age ago, knows of the
// given number of boxes, and has counted arrived requests.
func expectAllowed(t *testing.T, boxes int, age time.Duration, arrived, want int) {
	t.Helper()
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{Share: 0.2, FreeCalls: 210, Window: 10 * time.Second}, boxes, now.Add(-age))
	for range arrived {
		b.CountRequest(now)
	}
	got := 0
	for b.Take(now, 1) {
		got++
	}
	if got != want {
		t.Errorf("%d boxes, %s after the start, %d requests: expected %d calls, got %d", boxes, age, arrived, want, got)
	}
}

func TestBudgetOfSingleBox(t *testing.T)      { expectAllowed(t, 1, time.Minute, 0, 189) }
func TestBudgetOfFewBoxes(t *testing.T)       { expectAllowed(t, 8, time.Minute, 0, 23) }
func TestBudgetOfManyBoxes(t *testing.T)      { expectAllowed(t, 85, time.Minute, 6, 3) }
func TestBudgetWithUnknownBoxes(t *testing.T) { expectAllowed(t, 0, time.Minute, 20, 3) }
func TestBudgetAfterStart(t *testing.T)       { expectAllowed(t, 8, 10*time.Second, 20, 3) }

// After the budget is used up, it is available again when the window plus maxTransit has passed, and not earlier.
func TestBudgetRefillsAfterWindow(t *testing.T) {
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{FreeCalls: 10, Window: 10 * time.Second}, 3, now.Add(-time.Hour))
	for b.Take(now, 1) {
	}
	if b.Has(now.Add(10*time.Second), 1) || !b.Has(now.Add(12*time.Second), 3) {
		t.Error("expected the budget to be available again after the window and the maximum transit time, and not before")
	}
}

// A platform may set a window of 0. The budget must then still be bounded: calls are counted over maxTransit.
func TestWindowZero(t *testing.T) {
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{FreeCalls: 10}, 1, now.Add(-time.Minute))
	for i := range 10 {
		if got, want := b.Take(now, 1), i < 9; got != want {
			t.Errorf("call %d: expected allowed %t, got %t", i+1, want, got)
		}
	}
	if b.Take(now.Add(maxTransit*9/10), 1) || !b.Take(now.Add(2*maxTransit), 1) {
		t.Error("expected free calls again after maxTransit, and none before")
	}
}
