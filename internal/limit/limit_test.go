package limit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1800000000, 0)

// expectGranted asks for requests at a fixed pace for a while and expects how many
// are granted.
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

// Tokens are counted after the answer, so the bucket may be overdrawn, and the
// refusal says when it will have room.
func TestTokens(t *testing.T) {
	s := Set{Tokens: Rule{Rate: 100}}
	table := NewTable()
	if _, ok := table.Take(start, "c", s); !ok {
		t.Fatal("expected the first request to be granted")
	}
	table.Spend(start, "c", s, 600)
	r, ok := table.Take(start, "c", s)
	if ok || !r.Tokens || r.After != 5010*time.Millisecond {
		t.Errorf("expected a refusal for 5.01 s, got %+v, %v", r, ok)
	}
	if _, ok := table.Take(start.Add(r.After), "c", s); !ok {
		t.Error("expected room at the time that was named")
	}
}

// fleet is several boxes that exchange demands through one home each second.
type fleet struct {
	home   *Home
	tables []*Table
	set    Set
}

func newFleet(boxes int, rate float64) *fleet {
	f := &fleet{home: NewHome(), set: Set{Requests: Rule{Rate: rate}}}
	for range boxes {
		t := NewTable()
		t.SetDefault(1 / float64(boxes))
		f.tables = append(f.tables, t)
	}
	return f
}

// run asks for so many requests a second, spread over the boxes by weights, and
// returns how many a second are granted in the last half.
func (f *fleet) run(seconds, perSecond int, weights []float64, homeUp bool) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	granted := 0
	for s := range seconds {
		for i := range perSecond {
			now := start.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond))
			if _, ok := f.tables[pick(rng, weights)].Take(now, "c", f.set); ok && s >= seconds/2 {
				granted++
			}
		}
		now := start.Add(time.Duration(s+1) * time.Second)
		for b, t := range f.tables {
			for _, d := range t.Demands(time.Second) {
				if !homeUp {
					t.DropShare(d.Client)
					continue
				}
				t.SetShare(f.home.Hear(now, fmt.Sprint(b), []Demand{d})[0])
			}
		}
	}
	return float64(granted) / float64(seconds-seconds/2)
}

func pick(rng *rand.Rand, weights []float64) int {
	u := rng.Float64()
	for i, w := range weights {
		if u -= w; u < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func expectRate(t *testing.T, got, want, within float64) {
	t.Helper()
	if math.Abs(got-want) > within*want {
		t.Errorf("expected %.1f granted a second within %.0f%%, got %.1f", want, 100*within, got)
	}
}

// A client has its limit on all boxes together, however its requests are spread.
func TestSharesAddUp(t *testing.T) {
	even := []float64{.125, .125, .125, .125, .125, .125, .125, .125}
	uneven := []float64{.7, .2, .1, 0, 0, 0, 0, 0}
	expectRate(t, newFleet(8, 100).run(60, 400, even, true), 100, 0.05)
	expectRate(t, newFleet(8, 100).run(60, 400, uneven, true), 100, 0.05)
	// Below its limit a client is not refused, but for what the shares lag behind.
	expectRate(t, newFleet(8, 100).run(60, 60, uneven, true), 60, 0.05)
	// Without a home each box keeps to its part: careful, never too much.
	expectRate(t, newFleet(8, 100).run(60, 400, even, false), 100, 0.05)
	if got := newFleet(8, 100).run(60, 400, uneven, false); got > 100 {
		t.Errorf("expected at most 100 a second without a home, got %.1f", got)
	}
}

// A box that is gone loses its share after a few seconds.
func TestGoneBoxIsForgotten(t *testing.T) {
	h := NewHome()
	h.Hear(start, "a", []Demand{{"c", 30}})
	if s := h.Hear(start.Add(time.Second), "b", []Demand{{"c", 10}}); s[0].Part != 0.25 {
		t.Errorf("expected a quarter, got %v", s)
	}
	if s := h.Hear(start.Add(demandKept+2*time.Second), "b", []Demand{{"c", 10}}); s[0].Part != 1 {
		t.Errorf("expected all, got %v", s)
	}
	h.Forget(start.Add(time.Minute))
	if len(h.clients) != 0 {
		t.Error("expected clients that nobody asks about to be forgotten")
	}
}
