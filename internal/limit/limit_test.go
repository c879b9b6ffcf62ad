package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1800000000, 0)

// expectGranted sends perSecond requests per second for some seconds, and expects that want of them are granted.
func expectGranted(t *testing.T, s Set, perSecond, seconds, want int) {
	t.Helper()
	table, got := NewTable(), 0
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		if _, ok := table.Take(now, "c", s); ok {
			got++
		}
	}
	if got != want {
		t.Errorf("%+v: expected %d granted, got %d", s, want, got)
	}
}

func TestRequests(t *testing.T) {
	expectGranted(t, Set{}, 100, 2, 200)
	expectGranted(t, Set{Requests: Rule{Rate: 10}}, 5, 10, 50)
	expectGranted(t, Set{Requests: Rule{Rate: 10}}, 100, 10, 10+99)
	expectGranted(t, Set{Requests: Rule{Rate: 10, Burst: 50}}, 100, 10, 50+99)
}

// Tokens are counted after the response, so the token bucket can go below zero. The next request is then refused. The
// refusal says when the bucket will be refilled.
func TestTokens(t *testing.T) {
	s := Set{Tokens: Rule{Rate: 100}}
	table := NewTable()
	if _, ok := table.Take(start, "c", s); !ok {
		t.Fatal("expected the first request to be granted")
	}
	table.Spend(start, "c", s, 600)
	r, ok := table.Take(start, "c", s)
	if ok || !r.Tokens || r.RetryAfter != 5010*time.Millisecond {
		t.Errorf("expected a refusal for 5.01 s, got %+v, %v", r, ok)
	}
	if _, ok := table.Take(start.Add(r.RetryAfter), "c", s); !ok {
		t.Error("expected a grant at the time given by the refusal")
	}
}

// simFleet simulates several boxes. Every second, each box reports its demand to one owner and receives its shares.
type simFleet struct {
	owner  *Owner
	tables []*Table
	set    Set
}

func newSimFleet(boxes int, rate float64) *simFleet {
	f := &simFleet{owner: NewOwner(), set: Set{Requests: Rule{Rate: rate}}}
	for range boxes {
		t := NewTable()
		t.SetDefault(1 / float64(boxes))
		f.tables = append(f.tables, t)
	}
	return f
}

// run sends perSecond requests per second, distributed over the boxes by weights. The result is the rate of granted
// requests in the second half of the time.
func (f *simFleet) run(seconds, perSecond int, weights []float64, ownerUp bool) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	granted := 0
	for s := range seconds {
		for i := range perSecond {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond))
			if _, ok := f.tables[pickWeighted(rng, weights)].Take(now, "c", f.set); ok && s >= seconds/2 {
				granted++
			}
		}
		now := start.Add(time.Duration(s+1) * time.Second)
		for b, t := range f.tables {
			for _, d := range t.Demands(time.Second) {
				if !ownerUp {
					t.DropShare(d.Client)
					continue
				}
				t.SetShare(f.owner.Update(now, fmt.Sprint(b), []Demand{d})[0])
			}
		}
	}
	return float64(granted) / float64(seconds-seconds/2)
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	u := rng.Float64()
	for i, w := range weights {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func expectRate(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	if math.Abs(got-want) > tolerance*want {
		t.Errorf("expected %.1f granted per second within %.0f%%, got %.1f", want, 100*tolerance, got)
	}
}

// All boxes together grant a client its limit. It does not matter how the client's requests are distributed over the
// boxes.
func TestSharesAddUpToLimit(t *testing.T) {
	even := []float64{.125, .125, .125, .125, .125, .125, .125, .125}
	uneven := []float64{.7, .2, .1, 0, 0, 0, 0, 0}
	expectRate(t, newSimFleet(8, 100).run(60, 400, even, true), 100, 0.05)
	expectRate(t, newSimFleet(8, 100).run(60, 400, uneven, true), 100, 0.05)
	// A client that stays below its limit is refused only few requests, before the shares follow its distribution.
	expectRate(t, newSimFleet(8, 100).run(60, 60, uneven, true), 60, 0.05)
	// Without an owner, each box grants the default part. So all boxes together never exceed the limit.
	expectRate(t, newSimFleet(8, 100).run(60, 400, even, false), 100, 0.05)
	if got := newSimFleet(8, 100).run(60, 400, uneven, false); got > 100 {
		t.Errorf("expected at most 100 per second without an owner, got %.1f", got)
	}
}

// When a box reports no more demand, its share goes to other boxes after demandTTL.
func TestShareOfRemovedBoxExpires(t *testing.T) {
	owner := NewOwner()
	owner.Update(start, "a", []Demand{{"c", 30}})
	if s := owner.Update(start.Add(time.Second), "b", []Demand{{"c", 10}}); s[0].Fraction != 0.25 {
		t.Errorf("expected a quarter, got %v", s)
	}
	if s := owner.Update(start.Add(demandTTL+2*time.Second), "b", []Demand{{"c", 10}}); s[0].Fraction != 1 {
		t.Errorf("expected all, got %v", s)
	}
	owner.Forget(start.Add(time.Minute))
	if len(owner.clients) != 0 {
		t.Error("expected clients without recent demand to be forgotten")
	}
}
