package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var testLimits = ColdLimits{Factor: 1.5, Slack: 5}

// simulateArrivals returns when requests arrive at a cold endpoint in twenty seconds. All boxes always have a request
// for the endpoint, and send as fast as they may. Each box uses its own list of boxes. A request takes up to 300 ms to
// arrive.
func simulateArrivals(rng *rand.Rand, lists map[string][]string, rate float64, l ColdLimits) (at []time.Duration) {
	const duration = 20 * time.Second
	for box, list := range lists {
		pace := time.Duration(NewColdPace(box, list, "e", rate, l))
		if pace == 0 {
			continue
		}
		for sent := time.Duration(0); sent < duration; sent += pace { // All boxes send first at time 0.
			at = append(at, sent+time.Duration(rng.Int64N(int64(300*time.Millisecond))))
		}
	}
	slices.Sort(at)
	return at
}

// worstSecond returns the largest number of arrivals in any second.
func worstSecond(at []time.Duration) (most int) {
	for first, last := 0, 0; last < len(at); last++ {
		for at[last]-at[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func boxNames(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("box-", i))
	}
	return out
}

// expectWithin simulates boxes whose lists are incomplete: from each list, the fraction missing of the boxes is left
// out. In every second, the arrivals must be within the bound. The endpoint must receive at least the fraction minUsed
// of its rate.
func expectWithin(t *testing.T, boxes int, missing, rate float64, l ColdLimits, minUsed float64) {
	t.Helper()
	seeds := uint64(20)
	if boxes > 100 {
		seeds = 3 // Fewer runs, because each box hashes the names of all boxes.
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		lists := map[string][]string{}
		for _, box := range boxNames(boxes) {
			lists[box] = slices.DeleteFunc(boxNames(boxes), func(other string) bool { return other != box && rng.Float64() < missing })
		}
		at := simulateArrivals(rng, lists, rate, l)
		if worst := worstSecond(at); float64(worst) > l.maxPerSecond(rate) {
			t.Errorf("%d boxes, %g of each list missing, seed %d: expected at most %g in any second, got %d", boxes, missing, seed, l.maxPerSecond(rate), worst)
		}
		if got := float64(len(at)) / 20 / rate; got < minUsed {
			t.Errorf("%d boxes, seed %d: expected at least %g of the rate to be used, got %g", boxes, seed, minUsed, got)
		}
	}
}

// The bound for a cold endpoint holds for any number of boxes, without communication between them. If each of 986 boxes
// sent one request per second, a bound of 63 would be exceeded. The bound also holds if each box's list lacks a third
// of the boxes.
func TestBoundOverAllBoxes(t *testing.T) {
	for _, boxes := range []int{1, 7, 23, 80, 400, 986} {
		expectWithin(t, boxes, 0, 39, testLimits, 0.02)
		expectWithin(t, boxes, 0.33, 39, testLimits, 0.02)
	}
	expectWithin(t, 80, 0, 2, testLimits, 0.5)
	expectWithin(t, 80, 0, 1000, ColdLimits{}, 0.05)
	expectWithin(t, 80, 0, 2, ColdLimits{}, 0.4)
}

// An endpoint that can serve less than one request per second receives no request while it is cold. A box that is not
// on its own list of boxes must not send.
func TestSendsNothing(t *testing.T) {
	if p := NewColdPace("box-0", boxNames(1), "e", 0.5, ColdLimits{}); p != 0 {
		t.Errorf("expected no pace for an endpoint with a rate of 0.5 per second, got %s", time.Duration(p))
	}
	if p := NewColdPace("new", boxNames(3), "e", 39, testLimits); p != 0 {
		t.Errorf("expected no pace for a box that is not listed, got %s", time.Duration(p))
	}
	if p := NewColdPace("box-0", nil, "e", 39, testLimits); p != 0 {
		t.Errorf("expected no pace without a list, got %s", time.Duration(p))
	}
}

// BenchmarkPaceOf measures how long one box needs to compute its pace for one cold endpoint, for several numbers of
// boxes. A box does this whenever its list of boxes changes.
func BenchmarkPaceOf(b *testing.B) {
	for _, n := range []int{80, 400, 986} {
		list := boxNames(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				NewColdPace("box-7", list, "e", 39, testLimits)
			}
		})
	}
}
