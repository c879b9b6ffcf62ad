package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/quota"
)

// way is how boxes keep an endpoint's limit together.
type way uint8

const (
	fewSelected way = iota
	ownParts
	lentParts
)

func (w way) String() string {
	return [...]string{"few boxes selected", "a part for each box", "parts lent to one box"}[w]
}

// shareSim is many boxes in virtual time before an endpoint that names a limit.
type shareSim struct {
	rng   *rand.Rand
	way   way
	limit float64
	boxes []*simBox
	now   time.Duration
	// arrived are the requests that count, of boxes that are neither cut off nor frozen nor just started.
	arrived []time.Duration
	asked   int
}

type simBox struct {
	name string
	list []string // The boxes that it knows of.
	away bool     // Cut off or frozen: its requests do not count.
	// since is when it was last started or away.
	since  time.Duration
	bucket bucket
	used   int64 // The slot in which it sent last, from 1.
	// share is worked out for the list that begins at of.
	share  Share
	of     *string
	pool   *quota.Pool
	lender *quota.Lender
}

type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration, rate, most float64) bool {
	b.level = min(most, b.level+(now-b.at).Seconds()*rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

const simEndpoint = "e"

var simStart = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

var simLent = quota.Bounds{Window: limitWindow, Overage: limitOver - 1, Slack: limitSlack}

func newShareSim(w way, n int, limit float64, seed uint64) *shareSim {
	s := &shareSim{rng: rand.New(rand.NewPCG(seed, uint64(n))), way: w, limit: limit}
	for i := range n {
		s.boxes = append(s.boxes, s.start(fmt.Sprint("box-", i)))
	}
	for _, b := range s.boxes {
		b.list = s.names()
	}
	return s
}

func (s *shareSim) start(name string) *simBox {
	b := &simBox{name: name, since: s.now, pool: quota.NewPool(), lender: &quota.Lender{}}
	b.bucket = bucket{1, s.now}
	b.pool.SetBounds(s.time(), simLent)
	b.pool.SetLimits(s.time(), map[string]quota.Limit{simEndpoint: {Rate: s.limit}})
	return b
}

func (s *shareSim) time() time.Time { return simStart.Add(s.now) }

func (s *shareSim) names() (out []string) {
	for _, b := range s.boxes {
		out = append(out, b.name)
	}
	return out
}

// sends says whether a box may send a request now.
func (s *shareSim) sends(b *simBox) bool {
	switch s.way {
	case ownParts:
		return b.bucket.take(s.now, s.limit/float64(max(1, len(b.list))), 1)
	case lentParts:
		return s.borrows(b)
	}
	if b.of != &b.list[0] {
		b.share, b.of = ShareOf(b.name, b.list, simEndpoint, s.limit), &b.list[0]
	}
	if b.share.Selected {
		return b.bucket.take(s.now, b.share.Rate, b.share.Burst)
	}
	n, open := b.share.slot(s.now)
	if !open || b.used == n+1 {
		return false
	}
	b.used = n + 1
	return true
}

// owner is the box to which parts are lent, as a box has it.
func (s *shareSim) owner(b *simBox) *simBox {
	for _, o := range s.boxes {
		if o.name == b.list[0] && !o.away && !b.away {
			return o
		}
	}
	return b
}

func (s *shareSim) borrows(b *simBox) bool {
	a, _ := s.owner(b).pool.Ask(s.time(), simEndpoint, 1, 0)
	return a.Granted >= 1
}

// lend has a box lend its part.
func (s *shareSim) lend(b *simBox) {
	group := quota.GroupOf(simEndpoint)
	_, lent := quota.Renewal(len(b.list))
	b.pool.SetPlace(s.time(), group, quota.Place{Boxes: len(b.list), Rank: slices.Index(b.list, b.name)})
	var want [quota.Groups]string
	want[group] = s.owner(b).name
	for _, c := range b.lender.Plan(s.time(), want, lent) {
		i := slices.IndexFunc(s.boxes, func(o *simBox) bool { return o.name == c.To })
		if i < 0 || s.boxes[i].away || b.away && s.boxes[i] != b {
			b.lender.Ended(s.time(), c, quota.Lost)
			continue
		}
		s.boxes[i].pool.Lend(s.time(), b.name, c.Groups, c.Back, c.For)
		b.lender.Ended(s.time(), c, quota.Delivered)
	}
}

const (
	simStep   = 10 * time.Millisecond
	simLength = 40 * time.Second
	simFrom   = 10 * time.Second // When the fault begins,
	simUntil  = 25 * time.Second // and when it is over.
	simDelay  = 300 * time.Millisecond
	simExcuse = 3 * time.Second // For how long a box is excused after it was away or started.
)

// play has requests come to all boxes, evenly and so many times the limit.
func (s *shareSim) play(load float64, fault func(s *shareSim)) {
	due := 0.0
	for s.now = 0; s.now < simLength; s.now += simStep {
		fault(s)
		if s.way == lentParts {
			for i, b := range s.boxes {
				renew, _ := quota.Renewal(len(s.boxes))
				if (int(s.now/simStep)+i)%int(renew/simStep) == 0 {
					s.lend(b)
				}
			}
		}
		for due += load * s.limit * simStep.Seconds() * (0.5 + s.rng.Float64()); due >= 1; due-- {
			b := s.boxes[s.rng.IntN(len(s.boxes))]
			s.asked++
			if b.away {
				b.since = s.now
				continue
			}
			if s.sends(b) && (b.since == 0 || s.now-b.since > simExcuse) {
				s.arrived = append(s.arrived, s.now+time.Duration(s.rng.Int64N(int64(simDelay))))
			}
		}
	}
	slices.Sort(s.arrived)
}

// worst is the most that arrived in any window, as a part of what is allowed.
func (s *shareSim) worst() float64 {
	most, from := 0, 0
	for i, at := range s.arrived {
		for at-s.arrived[from] >= limitWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return float64(most) / (limitOver*s.limit*limitWindow.Seconds() + limitSlack)
}

// unused is the part of the limit that was not used though there were requests for it.
func (s *shareSim) unused() float64 {
	return 1 - float64(len(s.arrived))/min(float64(s.asked), s.limit*simLength.Seconds())
}

var shareFaults = []struct {
	name string
	do   func(s *shareSim)
}{
	{"none", func(*shareSim) {}},
	{"a tenth of the boxes cut off or frozen", func(s *shareSim) {
		for i, b := range s.boxes {
			b.away = i%10 == 0 && s.now >= simFrom && s.now < simUntil
		}
	}},
	{"a fifth of each list lacking for three seconds", func(s *shareSim) {
		for _, b := range s.boxes {
			switch s.now {
			case simFrom:
				b.list = slices.DeleteFunc(s.names(), func(name string) bool { return name != b.name && s.rng.Float64() < 0.2 })
			case simFrom + 3*time.Second:
				b.list = s.names()
			}
		}
	}},
	{"all boxes started again in turn, and heard of a second later", func(s *shareSim) {
		n := time.Duration(len(s.boxes))
		for i, b := range s.boxes {
			at := simFrom + (simUntil-simFrom)*time.Duration(i)/n
			if s.now >= at && s.now < at+simStep {
				list := b.list
				s.boxes[i] = s.start(b.name)
				s.boxes[i].list = list
			}
		}
	}},
	{"a box joins each half second, and is heard of up to a second later", func(s *shareSim) {
		const every = 500 * time.Millisecond
		if s.now >= simFrom && s.now < simUntil && s.now%every == 0 {
			b := s.start(fmt.Sprint("new-", s.now))
			s.boxes = append(s.boxes, b)
			b.list = s.names()
		}
		for i, b := range s.boxes {
			if (s.now+time.Duration(i)*simStep)%time.Second == 0 {
				b.list = s.names()
			}
		}
	}},
	{"a box leaves each second, and is missed up to a second later", func(s *shareSim) {
		if s.now >= simFrom && s.now < simUntil && s.now%time.Second == 0 && len(s.boxes) > 3 {
			s.boxes = slices.Delete(s.boxes, 1, 2)
		}
		for i, b := range s.boxes {
			if (s.now+time.Duration(i)*simStep)%time.Second == 0 {
				b.list = s.names()
			}
		}
	}},
}

// The sum over all boxes is within what is allowed, whatever they know of each other.
func TestLimitHoldsForTheSumOfAllBoxes(t *testing.T) {
	for _, n := range []int{8, 60, 400} {
		for _, limit := range []float64{0.5, 6, 60} {
			for _, fault := range shareFaults {
				t.Run(fmt.Sprintf("%d/%g/%s", n, limit, fault.name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						s := newShareSim(fewSelected, n, limit, seed)
						s.play(10, fault.do)
						if worst := s.worst(); worst > 1 {
							t.Errorf("seed %d: expected at most what is allowed in any 4 s, got %.2f of it", seed, worst)
						}
					}
				})
			}
		}
	}
}

// A few boxes use most of the limit themselves.
func TestLimitIsUsedByFewBoxes(t *testing.T) {
	s := newShareSim(fewSelected, 8, 6, 1)
	s.play(10, shareFaults[0].do)
	if left := s.unused(); left > 0.2 {
		t.Errorf("expected most of the limit to be used, got %.0f%% left", 100*left)
	}
}

// A box that sends nothing to an endpoint never gets the answer that lifts its limit.
func TestEveryBoxHasATurn(t *testing.T) {
	list := (&shareSim{boxes: newShareSim(fewSelected, 60, 6, 1).boxes}).names()
	for _, box := range list {
		s := ShareOf(box, list, simEndpoint, 6)
		if !s.Selected && (s.Every <= 0 || s.Every > 2*time.Minute || s.Slot <= 0) {
			t.Errorf("%s: expected a slot each two minutes at the least, got %+v", box, s)
		}
	}
}

// TestWays prints the most in any 4 s as a part of what is allowed, and what is left unused, for each way.
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	for _, load := range []float64{10, 1.5} {
		for _, w := range []way{fewSelected, ownParts, lentParts} {
			for _, fault := range shareFaults {
				row := fmt.Sprintf("| %s | %g | %s |", w, load, fault.name)
				for _, n := range []int{8, 60, 400, 1000} {
					for _, limit := range []float64{0.5, 6, 60} {
						most, left := 0.0, 0.0
						const seeds = 2
						for seed := range uint64(seeds) {
							s := newShareSim(w, n, limit, seed)
							s.play(load, fault.do)
							most, left = max(most, s.worst()), left+s.unused()/seeds
						}
						row += fmt.Sprintf(" %.2f %.0f%%", most, 100*left)
					}
					row += " |"
				}
				t.Log(row)
			}
		}
	}
}
