package pacing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/quota"
)

// strategy is a way in which boxes enforce an endpoint's limit together. With selectedBoxes, the strategy in use, a few
// boxes are selected to send. With equalShares, each box may send an equal share. With lentShares, boxes lend their
// shares to one box, the owner, which admits requests.
type strategy uint8

const (
	selectedBoxes strategy = iota
	equalShares
	lentShares
)

func (s strategy) String() string {
	return [...]string{"selected boxes", "equal shares", "shares lent to an owner"}[s]
}

// shareSim simulates, in virtual time, many boxes that send to one endpoint with an announced limit.
type shareSim struct {
	rng      *rand.Rand
	strategy strategy
	limit    float64
	boxes    []*simBox
	now      time.Duration
	// arrived are the arrival times of the requests that count. Requests of boxes that are cut off, frozen or were
	// started recently do not count.
	arrived  []time.Duration
	requests int
}

type simBox struct {
	name         string
	list         []string // The boxes that this box knows of.
	disconnected bool     // The box is cut off or frozen, so its requests do not count.
	// recoveredAt is when the box last started, or when its last disconnection was over.
	recoveredAt time.Duration
	bucket      bucket
	lastSlot    int64 // The slot that was used last, counted from 1; 0 if none was used.
	// share is the box's share of the limit, computed from a list of boxes. shareList points to the first box of
	// that list, so that a new list is noticed.
	share     Share
	shareList *string
	pool      *quota.Pool
	lender    *quota.Lender
}

type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(now time.Duration, rate, burst float64) bool {
	b.level = min(burst, b.level+(now-b.at).Seconds()*rate)
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

const simEndpoint = "e"

var simStart = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

var simBounds = quota.Bounds{Window: limitWindow, Overage: limitFactor - 1, Slack: limitSlack}

func newShareSim(strategy strategy, n int, limit float64, seed uint64) *shareSim {
	s := &shareSim{rng: rand.New(rand.NewPCG(seed, uint64(n))), strategy: strategy, limit: limit}
	for i := range n {
		s.boxes = append(s.boxes, s.start(fmt.Sprint("box-", i)))
	}
	for _, b := range s.boxes {
		b.list = s.boxNames()
	}
	return s
}

func (s *shareSim) start(name string) *simBox {
	b := &simBox{name: name, recoveredAt: s.now, pool: quota.NewPool(), lender: &quota.Lender{}}
	b.bucket = bucket{1, s.now}
	b.pool.SetBounds(s.time(), simBounds)
	b.pool.SetLimits(s.time(), map[string]quota.Limit{simEndpoint: {Rate: s.limit}})
	return b
}

func (s *shareSim) time() time.Time { return simStart.Add(s.now) }

func (s *shareSim) boxNames() (out []string) {
	for _, b := range s.boxes {
		out = append(out, b.name)
	}
	return out
}

// maySend reports whether a box may send a request now. If so, the request counts against the box's share.
func (s *shareSim) maySend(b *simBox) bool {
	switch s.strategy {
	case equalShares:
		return b.bucket.take(s.now, s.limit/float64(max(1, len(b.list))), 1)
	case lentShares:
		return s.takeFromOwner(b)
	}
	if b.shareList != &b.list[0] {
		b.share, b.shareList = ShareOf(b.name, b.list, simEndpoint, s.limit), &b.list[0]
	}
	if b.share.Selected {
		return b.bucket.take(s.now, b.share.Rate, b.share.Burst)
	}
	n, open := b.share.slot(s.now)
	if !open || b.lastSlot == n+1 {
		return false
	}
	b.lastSlot = n + 1
	return true
}

// owner returns the box to which the given box lends its share. This is the first box on the list of the given box, if
// both are connected. Otherwise owner returns the given box itself.
func (s *shareSim) owner(b *simBox) *simBox {
	for _, o := range s.boxes {
		if o.name == b.list[0] && !o.disconnected && !b.disconnected {
			return o
		}
	}
	return b
}

func (s *shareSim) takeFromOwner(b *simBox) bool {
	a, _ := s.owner(b).pool.Grant(s.time(), "", simEndpoint, 1, 0)
	return a.Granted >= 1
}

// lend lends the share of a box to its owner for another period.
func (s *shareSim) lend(b *simBox) {
	group := quota.GroupOf(simEndpoint)
	_, lentFor := quota.RenewalInterval(len(b.list))
	b.pool.SetPlace(s.time(), group, quota.Place{Boxes: len(b.list), Rank: slices.Index(b.list, b.name)})
	var want [quota.Groups]string
	want[group] = s.owner(b).name
	for _, c := range b.lender.Plan(s.time(), want, lentFor) {
		i := slices.IndexFunc(s.boxes, func(o *simBox) bool { return o.name == c.To })
		if i < 0 || s.boxes[i].disconnected || b.disconnected && s.boxes[i] != b {
			b.lender.CallDone(s.time(), c, quota.Lost)
			continue
		}
		s.boxes[i].pool.Lend(s.time(), b.name, c.Groups, c.Return, c.Duration)
		b.lender.CallDone(s.time(), c, quota.Delivered)
	}
}

const (
	simStep         = 10 * time.Millisecond
	simLength       = 40 * time.Second
	simFaultFrom    = 10 * time.Second // Start of the fault.
	simFaultUntil   = 25 * time.Second // End of the fault.
	simMaxLatency   = 300 * time.Millisecond
	simRecoveryTime = 3 * time.Second // How long the requests of a box that started or was disconnected do not count.
)

// run sends requests to all boxes evenly, while fault disturbs the boxes. The rate is load times the limit.
func (s *shareSim) run(load float64, fault func(s *shareSim)) {
	due := 0.0
	for s.now = 0; s.now < simLength; s.now += simStep {
		fault(s)
		if s.strategy == lentShares {
			for i, b := range s.boxes {
				renew, _ := quota.RenewalInterval(len(s.boxes))
				if (int(s.now/simStep)+i)%int(renew/simStep) == 0 {
					s.lend(b)
				}
			}
		}
		for due += load * s.limit * simStep.Seconds() * (0.5 + s.rng.Float64()); due >= 1; due-- {
			b := s.boxes[s.rng.IntN(len(s.boxes))]
			s.requests++
			if b.disconnected {
				b.recoveredAt = s.now
				continue
			}
			if s.maySend(b) && (b.recoveredAt == 0 || s.now-b.recoveredAt > simRecoveryTime) {
				s.arrived = append(s.arrived, s.now+time.Duration(s.rng.Int64N(int64(simMaxLatency))))
			}
		}
	}
	slices.Sort(s.arrived)
}

// worstWindow finds the limitWindow with the most arrivals. It returns these arrivals divided by the bound.
func (s *shareSim) worstWindow() float64 {
	maxArrived, from := 0, 0
	for i, at := range s.arrived {
		for at-s.arrived[from] >= limitWindow {
			from++
		}
		maxArrived = max(maxArrived, i-from+1)
	}
	return float64(maxArrived) / (limitFactor*s.limit*limitWindow.Seconds() + limitSlack)
}

// unused returns the fraction of the limit that was not used, although there were requests for it.
func (s *shareSim) unused() float64 {
	return 1 - float64(len(s.arrived))/min(float64(s.requests), s.limit*simLength.Seconds())
}

var shareFaults = []struct {
	name  string
	apply func(s *shareSim)
}{
	{"none", func(*shareSim) {}},
	{"a tenth of the boxes cut off or frozen", func(s *shareSim) {
		for i, b := range s.boxes {
			b.disconnected = i%10 == 0 && s.now >= simFaultFrom && s.now < simFaultUntil
		}
	}},
	{"a fifth of each list missing for three seconds", func(s *shareSim) {
		for _, b := range s.boxes {
			switch s.now {
			case simFaultFrom:
				b.list = slices.DeleteFunc(s.boxNames(), func(name string) bool { return name != b.name && s.rng.Float64() < 0.2 })
			case simFaultFrom + 3*time.Second:
				b.list = s.boxNames()
			}
		}
	}},
	{"all boxes restarted in turn, and listed a second later", func(s *shareSim) {
		n := time.Duration(len(s.boxes))
		for i, b := range s.boxes {
			at := simFaultFrom + (simFaultUntil-simFaultFrom)*time.Duration(i)/n
			if s.now >= at && s.now < at+simStep {
				list := b.list
				s.boxes[i] = s.start(b.name)
				s.boxes[i].list = list
			}
		}
	}},
	{"a box joins every half second, and is listed up to a second later", func(s *shareSim) {
		const joinInterval = 500 * time.Millisecond
		if s.now >= simFaultFrom && s.now < simFaultUntil && s.now%joinInterval == 0 {
			b := s.start(fmt.Sprint("new-", s.now))
			s.boxes = append(s.boxes, b)
			b.list = s.boxNames()
		}
		for i, b := range s.boxes {
			if (s.now+time.Duration(i)*simStep)%time.Second == 0 {
				b.list = s.boxNames()
			}
		}
	}},
	{"a box leaves every second, and is unlisted up to a second later", func(s *shareSim) {
		if s.now >= simFaultFrom && s.now < simFaultUntil && s.now%time.Second == 0 && len(s.boxes) > 3 {
			s.boxes = slices.Delete(s.boxes, 1, 2)
		}
		for i, b := range s.boxes {
			if (s.now+time.Duration(i)*simStep)%time.Second == 0 {
				b.list = s.boxNames()
			}
		}
	}},
}

// The arrivals from all boxes together stay within the bound, even if boxes have different lists of boxes.
func TestLimitHoldsForTheSumOfAllBoxes(t *testing.T) {
	for _, n := range []int{8, 60, 400} {
		for _, limit := range []float64{0.5, 6, 60} {
			for _, fault := range shareFaults {
				t.Run(fmt.Sprintf("%d/%g/%s", n, limit, fault.name), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(3) {
						s := newShareSim(selectedBoxes, n, limit, seed)
						s.run(10, fault.apply)
						if worst := s.worstWindow(); worst > 1 {
							t.Errorf("seed %d: expected at most the bound in any 4 s, got %.2f times the bound", seed, worst)
						}
					}
				})
			}
		}
	}
}

// With 8 boxes and a limit of 6 requests per second, the boxes use most of the limit.
func TestLimitIsUsedByFewBoxes(t *testing.T) {
	s := newShareSim(selectedBoxes, 8, 6, 1)
	s.run(10, shareFaults[0].apply)
	if left := s.unused(); left > 0.2 {
		t.Errorf("expected most of the limit to be used, got %.0f%% unused", 100*left)
	}
}

// Every box that is not selected gets a slot. Without a slot, a box would never send to an endpoint. It could not
// receive the response that lifts the limit of that endpoint.
func TestEveryBoxHasASlot(t *testing.T) {
	list := (&shareSim{boxes: newShareSim(selectedBoxes, 60, 6, 1).boxes}).boxNames()
	for _, box := range list {
		s := ShareOf(box, list, simEndpoint, 6)
		if !s.Selected && (s.Period <= 0 || s.Period > 2*time.Minute || s.Slot <= 0) {
			t.Errorf("%s: expected a slot at least every two minutes, got %+v", box, s)
		}
	}
}

// TestWays prints two values for each strategy and fault. The first is the arrivals in the worst window as a fraction
// of the bound. The second is the fraction of the limit that was not used.
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	for _, load := range []float64{10, 1.5} {
		for _, strategy := range []strategy{selectedBoxes, equalShares, lentShares} {
			for _, fault := range shareFaults {
				row := fmt.Sprintf("| %s | %g | %s |", strategy, load, fault.name)
				for _, n := range []int{8, 60, 400, 1000} {
					for _, limit := range []float64{0.5, 6, 60} {
						worst, unused := 0.0, 0.0
						const seeds = 2
						for seed := range uint64(seeds) {
							s := newShareSim(strategy, n, limit, seed)
							s.run(load, fault.apply)
							worst, unused = max(worst, s.worstWindow()), unused+s.unused()/seeds
						}
						row += fmt.Sprintf(" %.2f %.0f%%", worst, 100*unused)
					}
					row += " |"
				}
				t.Log(row)
			}
		}
	}
}
