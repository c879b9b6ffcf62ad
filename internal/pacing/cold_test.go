package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var usual = ColdLimits{Over: 1.5, Slack: 5}

// arrivals has boxes that always have a request for a cold endpoint send as fast as they may for
// twenty seconds. Each box goes by its own list, and a request is up to 300 ms under way.
func arrivals(rng *rand.Rand, lists map[string][]string, rate float64, l ColdLimits) (at []time.Duration) {
	const length = 20 * time.Second
	for box, list := range lists {
		pace := time.Duration(ColdPaceOf(box, list, "e", rate, l))
		if pace == 0 {
			continue
		}
		for sent := time.Duration(0); sent < length; sent += pace { // All send in the first moment.
			at = append(at, sent+time.Duration(rng.Int64N(int64(300*time.Millisecond))))
		}
	}
	slices.Sort(at)
	return at
}

// worstSecond is the most that came in any second.
func worstSecond(at []time.Duration) (most int) {
	for first, last := 0, 0; last < len(at); last++ {
		for at[last]-at[first] >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("box-", i))
	}
	return out
}

// expectWithin plays boxes whose lists lack a part of the boxes each, and expects every second within
// the bound and the endpoint to get a part of its rate.
func expectWithin(t *testing.T, boxes int, lacking, rate float64, l ColdLimits, least float64) {
	t.Helper()
	seeds := uint64(20)
	if boxes > 100 {
		seeds = 3 // Each costs a hash for each pair of boxes.
	}
	for seed := range seeds {
		rng := rand.New(rand.NewPCG(seed, 1))
		lists := map[string][]string{}
		for _, box := range names(boxes) {
			lists[box] = slices.DeleteFunc(names(boxes), func(other string) bool { return other != box && rng.Float64() < lacking })
		}
		at := arrivals(rng, lists, rate, l)
		if worst := worstSecond(at); float64(worst) > l.most(rate) {
			t.Errorf("%d boxes, %g of each list lacking, seed %d: expected at most %g in any second, got %d", boxes, lacking, seed, l.most(rate), worst)
		}
		if got := float64(len(at)) / 20 / rate; got < least {
			t.Errorf("%d boxes, seed %d: expected at least %g of the rate to be used, got %g", boxes, seed, least, got)
		}
	}
}

// The bound holds for any number of boxes, where each has its share by itself: 986 boxes that each sent
// one request in a second would send 986 of 63. It holds while a third of each list is missing too.
func TestBoundOverAllBoxes(t *testing.T) {
	for _, boxes := range []int{1, 7, 23, 80, 400, 986} {
		expectWithin(t, boxes, 0, 39, usual, 0.02)
		expectWithin(t, boxes, 0.33, 39, usual, 0.02)
	}
	expectWithin(t, 80, 0, 2, usual, 0.5)
	expectWithin(t, 80, 0, 1000, ColdLimits{}, 0.05)
	expectWithin(t, 80, 0, 2, ColdLimits{}, 0.4)
}

// An endpoint that bears less than a request a second gets none while it is cold, and a box that is not
// on its own list is none of those that send.
func TestSendsNothing(t *testing.T) {
	if p := ColdPaceOf("box-0", names(1), "e", 0.5, ColdLimits{}); p != 0 {
		t.Errorf("expected no pace for an endpoint that bears 0.5 a second, got %s", time.Duration(p))
	}
	if p := ColdPaceOf("new", names(3), "e", 39, usual); p != 0 {
		t.Errorf("expected no pace for a box that is not listed, got %s", time.Duration(p))
	}
	if p := ColdPaceOf("box-0", nil, "e", 39, usual); p != 0 {
		t.Errorf("expected no pace without a list, got %s", time.Duration(p))
	}
}

// BenchmarkPaceOf is what one cold endpoint costs a box whenever the list of boxes changes.
func BenchmarkPaceOf(b *testing.B) {
	for _, n := range []int{80, 400, 986} {
		list := names(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				ColdPaceOf("box-7", list, "e", 39, usual)
			}
		})
	}
}
