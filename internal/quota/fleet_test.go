package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// fleetSim is many boxes in virtual time that keep one account to its limit. Boxes reach each
// other as cut and frozen say.
type fleetSim struct {
	t     *testing.T
	rng   *rand.Rand
	way   way
	limit Limit
	b     Bounds
	boxes []*simBox
	// order is the boxes' order as homes of the account.
	order []int
	began time.Time
	// turn has each box think of another order of homes; 0 while all think of the same.
	turn int
	// asked is what came, and whether it was let through.
	asked []use
}

type use struct {
	at    time.Duration
	units float64
	ok    bool
}

// way is how the boxes keep the limit together.
type way uint8

const (
	lentParts way = iota
	ownParts
	wholeHome
	counts
)

func (w way) String() string {
	return [...]string{"lent parts", "parts alone", "home with the whole limit", "counts passed on"}[w]
}

type simBox struct {
	f      *fleetSim
	i      int
	pool   *Pool
	lender *Lender
	purse  *Purse
	silent map[int]time.Time
	// side is the part of the fleet that the box is in: only boxes of one side reach each other.
	side   int
	frozen bool
	// heard is what the others let through as they last told, and told what this one did.
	heard float64
	level float64
	at    time.Time
}

const simAccount = "a"

var simBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 120_000}

func newFleetSim(t *testing.T, way way, n int, rate float64) *fleetSim {
	f := &fleetSim{t: t, way: way, rng: rand.New(rand.NewPCG(uint64(n), 1)), limit: Limit{rate, rate}, b: simBounds, began: time.Now()}
	f.order = f.rng.Perm(n)
	for i := range n {
		b := &simBox{f: f, i: i}
		f.boxes = append(f.boxes, b)
		b.start()
	}
	return f
}

// start begins a life of the box.
func (b *simBox) start() {
	b.pool, b.lender, b.silent = NewPool(), &Lender{}, map[int]time.Time{}
	b.purse = NewPurse(b)
	b.pool.SetBounds(time.Now(), b.f.b)
	b.pool.SetLimits(time.Now(), map[string]Limit{simAccount: b.f.limit})
	b.level, b.at, b.heard = 0, time.Now(), 0
}

func (b *simBox) reaches(i int) bool {
	o := b.f.boxes[i]
	return o == b || !b.frozen && !o.frozen && b.side == o.side
}

func (b *simBox) alone() bool {
	return !slices.ContainsFunc(b.f.boxes, func(o *simBox) bool { return o != b && b.reaches(o.i) })
}

func (b *simBox) usable(i int) bool { return i == b.i || !time.Now().Before(b.silent[i]) }

// order is that of homes as the box thinks of it.
func (b *simBox) order() []int {
	if b.f.turn == 0 {
		return b.f.order
	}
	n := (b.i + b.f.turn) % len(b.f.order)
	return slices.Concat(b.f.order[n:], b.f.order[:n])
}

// tick lends the box's part, as its overlay does.
func (b *simBox) tick() {
	if b.frozen {
		return
	}
	group := GroupOf(simAccount)
	_, lent := Renewal(len(b.f.boxes))
	b.pool.SetPlace(time.Now(), group, Place{Boxes: len(b.f.boxes), Rank: slices.Index(b.f.order, b.i)})
	for range 2 {
		var want [Groups]string
		want[group] = fmt.Sprint(b.i)
		for _, i := range b.order() {
			if b.alone() {
				break
			}
			if b.usable(i) {
				want[group] = fmt.Sprint(i)
				break
			}
		}
		again := false
		for _, c := range b.lender.Plan(time.Now(), want, lent) {
			var to int
			_, _ = fmt.Sscan(c.To, &to)
			result := Lost
			if b.reaches(to) {
				b.f.boxes[to].pool.Lend(time.Now(), fmt.Sprint(b.i), c.Groups, c.Back, c.For)
				result = Delivered
			} else {
				b.silent[to] = time.Now().Add(2 * time.Second)
			}
			again = b.lender.Ended(time.Now(), c, result) || again
		}
		if !again {
			return
		}
	}
}

// Allow asks homes, as the box's overlay does.
func (b *simBox) Allow(_ context.Context, account string, units, ahead float64) (Answer, bool) {
	asked := 0
	for _, i := range b.order() {
		if i == b.i || b.alone() || asked == 2 {
			break
		}
		if !b.usable(i) {
			continue
		}
		if b.reaches(i) {
			a, _ := b.f.boxes[i].pool.Ask(time.Now(), account, units, ahead)
			return a, true
		}
		b.silent[i] = time.Now().Add(2 * time.Second)
		asked++
	}
	return b.pool.Ask(time.Now(), account, units, ahead)
}

// takes asks for a request's units in the way that is weighed.
func (b *simBox) takes(units float64) bool {
	n := float64(len(b.f.boxes))
	switch b.f.way {
	case lentParts:
		return b.purse.Take(context.Background(), simAccount, units).OK
	case ownParts:
		return b.bucket(units, 1/n, b.f.b.over(b.f.limit)/n/2)
	case wholeHome:
		for _, i := range b.f.order {
			if b.reaches(i) {
				return b.f.boxes[i].bucket(units, 1, 0)
			}
		}
	case counts:
		b.refill(1, 0)
		if b.level-b.heard < units {
			return false
		}
		b.level -= units
		for _, o := range b.f.boxes {
			if o != b && b.reaches(o.i) {
				o.tell(units)
			}
		}
		return true
	}
	return false
}

// tell passes on, a second later, what another box let through.
func (b *simBox) tell(units float64) {
	time.AfterFunc(time.Second, func() { b.level -= units })
}

func (b *simBox) refill(part, extra float64) {
	now := time.Now()
	most := part*b.f.limit.Burst + extra
	b.level = min(most, b.level+now.Sub(b.at).Seconds()*(part*b.f.limit.Rate+extra/b.f.b.Window.Seconds()))
	b.at = now
}

func (b *simBox) bucket(units, part, extra float64) bool {
	b.refill(part, extra)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}

// The demand: plain calls of 200 units and streams of 14,000, at the share of the shifted work, of
// callers who each come to one box.
const (
	simPlain     = 200.0
	simStream    = 14_000.0
	simStreams   = 0.12
	simStep      = 10 * time.Millisecond
	simUsual     = 0.55
	simHot       = 7.5
	simHotFrom   = 20 * time.Second
	simHotUntil  = 26500 * time.Millisecond
	simEnd       = 36 * time.Second
	simMean      = simStreams*simStream + (1-simStreams)*simPlain
	simSettled   = 10 * time.Second
	simFaultFrom = 20500 * time.Millisecond
	simFaultEnd  = 26 * time.Second
	simTurn      = 400 * time.Millisecond
)

// play has callers come to a fifth of the boxes, at least two, while fault harms the fleet.
func (f *fleetSim) play(hot float64, fault func(f *fleetSim, at time.Duration)) {
	at := f.rng.Perm(len(f.boxes))[:max(2, len(f.boxes)/5)]
	due := 0.0
	renew, _ := Renewal(len(f.boxes))
	for now := time.Duration(0); now < simEnd; now = time.Since(f.began) {
		fault(f, now)
		for _, b := range f.boxes {
			if (int(now/simStep)+b.i)%int(renew/simStep) == 0 {
				b.tick()
			}
		}
		rate := simUsual * f.limit.Rate / simMean
		if now >= simHotFrom && now < simHotUntil {
			rate *= hot
		}
		for due += rate * simStep.Seconds(); due >= 1; due-- {
			units := simPlain
			if f.rng.Float64() < simStreams {
				units = simStream
			}
			b := f.boxes[at[f.rng.IntN(len(at))]]
			ok := !b.frozen && b.takes(units)
			f.asked = append(f.asked, use{now, units, ok})
		}
		time.Sleep(simStep)
	}
}

// worst is the largest sum in any window, as a share of what is allowed.
func (f *fleetSim) worst() float64 {
	most, sum, from := 0.0, 0.0, 0
	for _, u := range f.asked {
		if u.ok {
			sum += u.units
		}
		for f.asked[from].at <= u.at-f.b.Window {
			if f.asked[from].ok {
				sum -= f.asked[from].units
			}
			from++
		}
		most = max(most, sum)
	}
	r := f.limit.Rate*f.b.Window.Seconds() + f.limit.Burst
	return most / (r + f.b.over(f.limit))
}

// refused is the share of the units within the limit that were refused once the fleet had begun.
func (f *fleetSim) refused() float64 {
	level, at, within, lost := f.limit.Burst, time.Duration(0), 0.0, 0.0
	for _, u := range f.asked {
		level = min(f.limit.Burst, level+(u.at-at).Seconds()*f.limit.Rate)
		at = u.at
		if level < u.units {
			continue
		}
		level -= u.units
		if u.at < simSettled {
			continue
		}
		within += u.units
		if !u.ok {
			lost += u.units
		}
	}
	return lost / within
}

// The faults.
var simFaults = []struct {
	name string
	do   func(f *fleetSim, at time.Duration)
}{
	{"none", func(*fleetSim, time.Duration) {}},
	{"home frozen", func(f *fleetSim, at time.Duration) {
		f.boxes[f.order[0]].frozen = at >= simFaultFrom && at < simFaultEnd
	}},
	{"a tenth cut off, each alone", func(f *fleetSim, at time.Duration) {
		f.divide(at, func(i int) int { return (i % 10 / 9) * (i + 1) })
	}},
	{"cut in halves", func(f *fleetSim, at time.Duration) { f.divide(at, func(i int) int { return i % 2 }) }},
	{"each alone", func(f *fleetSim, at time.Duration) { f.divide(at, func(i int) int { return i }) }},
	{"all restarted at once", func(f *fleetSim, at time.Duration) {
		if at == simFaultFrom {
			for _, b := range f.boxes {
				b.start()
			}
		}
	}},
	{"all restarted in turn", func(f *fleetSim, at time.Duration) {
		n := len(f.boxes)
		span := simFaultEnd - simFaultFrom
		for _, b := range f.boxes {
			if when := simFaultFrom + span*time.Duration(b.i)/time.Duration(n); at >= when && at < when+simStep {
				b.start()
			}
		}
	}},
	{"boxes that disagree who the home is, and change their minds", func(f *fleetSim, at time.Duration) {
		f.turn = 0
		if at >= simFaultFrom && at < simFaultEnd {
			f.turn = 1 + int((at-simFaultFrom)/simTurn)
		}
	}},
	{"another order of homes", func(f *fleetSim, at time.Duration) {
		if at >= simFaultFrom && at < simFaultFrom+simStep {
			slices.Reverse(f.order)
		}
	}},
}

func (f *fleetSim) divide(at time.Duration, side func(i int) int) {
	for _, b := range f.boxes {
		b.side = 0
		if at >= simFaultFrom && at < simFaultEnd {
			b.side = side(b.i)
		}
	}
}

// playSim plays one case.
func playSim(t *testing.T, w way, n int, rate, hot float64, fault func(f *fleetSim, at time.Duration)) (worst, refused float64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetSim(t, w, n, rate)
		f.play(hot, fault)
		worst, refused = f.worst(), f.refused()
	})
	return worst, refused
}

// An account that asks for four times its limit, whatever happens between the boxes, is never let
// through more than the platform allows all of them together. Counted over the whole fleet, a box
// that only hears of others' use went to twice that while boxes were cut off, and a home with the
// whole limit did while there were two.
func TestSumOfAllBoxes(t *testing.T) {
	for _, n := range []int{8, 60, 400} {
		for _, rate := range []float64{29_000, 141_000} {
			for _, fault := range simFaults {
				t.Run(fmt.Sprintf("%d/%.0f/%s", n, rate, fault.name), func(t *testing.T) {
					t.Parallel()
					if worst, _ := playSim(t, lentParts, n, rate, simHot, fault.do); worst > 1 {
						t.Errorf("expected at most what is allowed, got %.2f of it", worst)
					}
				})
			}
		}
	}
}

// An account within its limit is refused nothing while the boxes hear of each other.
func TestWithinTheLimit(t *testing.T) {
	for _, n := range []int{8, 60, 400} {
		for _, rate := range []float64{29_000, 141_000} {
			t.Run(fmt.Sprintf("%d/%.0f", n, rate), func(t *testing.T) {
				t.Parallel()
				if _, refused := playSim(t, lentParts, n, rate, 1, simFaults[0].do); refused > 0.005 {
					t.Errorf("expected under 0.5%% of what is within the limit to be refused, got %.2f%%", 100*refused)
				}
			})
		}
	}
}

// TestWays prints the worst sums and what is refused within the limit for each way weighed.
func TestWays(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	for _, w := range []way{lentParts, ownParts, wholeHome, counts} {
		for _, fault := range simFaults {
			row := fmt.Sprintf("| %s | %s |", w, fault.name)
			for _, n := range []int{8, 60, 400} {
				worst, _ := playSim(t, w, n, 29_000, simHot, fault.do)
				large, _ := playSim(t, w, n, 141_000, simHot, fault.do)
				_, calm := playSim(t, w, n, 29_000, 1, fault.do)
				_, calmLarge := playSim(t, w, n, 141_000, 1, fault.do)
				row += fmt.Sprintf(" %.2f, %.2f | %.1f%%, %.1f%% |", worst, large, 100*calm, 100*calmLarge)
			}
			t.Log(row)
		}
	}
}
