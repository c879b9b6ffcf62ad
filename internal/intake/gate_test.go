package intake

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// machine is a box that can carry a number of connections a second. What it reads beyond that waits.
type machine struct {
	gate     Gate
	shares   Shares
	capacity float64
	backlog  float64
	read     float64 // Since the last call of reset, like unread and late.
	unread   float64
	late     float64 // Read while the delay was over twice overDelay.
}

// delay is how long what the machine reads now waits.
func (m *machine) delay() time.Duration {
	return time.Duration(m.backlog / m.capacity * float64(time.Second))
}

// fleetOf are machines before a balancer that hands a share of the connections to one of them.
type fleetOf struct {
	t        *testing.T
	rng      *rand.Rand
	names    []string
	machines []*machine
	now      time.Duration
	// messages counts the rates that were published. lossy loses all of them.
	messages int
	lossy    bool
	owed     float64
}

func newFleetOf(t *testing.T, n int, capacity float64) *fleetOf {
	f := &fleetOf{t: t, rng: rand.New(rand.NewPCG(1, uint64(n)))}
	for i := range n {
		f.names = append(f.names, fmt.Sprint("box-", i))
		f.machines = append(f.machines, &machine{capacity: capacity})
	}
	return f
}

// simStep is the time between two steps of the simulation.
const simStep = 20 * time.Millisecond

// play offers connections for a duration. hot is the machine that gets share of them; the others are spread evenly. An unread
// connection comes to another machine at once. It returns how many machines had a bound at the same time at most.
func (f *fleetOf) play(d time.Duration, perSecond float64, hot int, share float64) (mostLimited int) {
	for end := f.now + d; f.now < end; f.now += simStep {
		now := at(f.now)
		f.owed += perSecond * simStep.Seconds()
		for ; f.owed >= 1; f.owed-- {
			i := f.rng.IntN(len(f.machines))
			if hot >= 0 && f.rng.Float64() < share {
				i = hot
			}
			for try := 0; try < 3 && !f.offer(i, now); try++ {
				i = f.rng.IntN(len(f.machines))
			}
		}
		limited := 0
		for i, m := range f.machines {
			m.backlog = max(0, m.backlog-m.capacity*simStep.Seconds())
			if f.now%(5*simStep) != 0 {
				continue
			}
			offered := m.gate.State(now).Offered
			if m.shares.Due(now, offered) {
				f.messages++
				for j, o := range f.machines {
					if j != i && !f.lossy {
						o.shares.Receive(now, f.names[i], offered)
					}
				}
			}
			m.gate.Step(now, m.delay(), false, m.shares.Compare(now, f.names[i], offered, f.names).Hot)
			if m.gate.Limited() {
				limited++
			}
		}
		mostLimited = max(mostLimited, limited)
	}
	return mostLimited
}

// offer offers a connection to a machine, and reports whether it was read.
func (f *fleetOf) offer(i int, now time.Time) bool {
	m := f.machines[i]
	if !m.gate.Admit(now) {
		m.unread++
		return false
	}
	if m.delay() > 2*overDelay {
		m.late++
	}
	m.read++
	m.backlog++
	return true
}

func (m *machine) reset() { m.read, m.unread, m.late = 0, 0, 0 }

// Guards against a box that reads more than it can carry, at any size of the fleet, and serves all of it late.
func TestHotBoxReadsWhatItCanCarry(t *testing.T) {
	for _, n := range []int{2, 8, 24, 60, 400} {
		for _, lossy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d boxes, messages lost %t", n, lossy), func(t *testing.T) {
				const capacity = 50
				perSecond := min(1.5*capacity, 0.4*capacity*float64(n))
				f := newFleetOf(t, n, capacity)
				f.lossy = lossy
				if most := f.play(5*time.Second, perSecond, -1, 0); most > 0 {
					t.Errorf("expected no bound while the load is even, got %d at once", most)
				}
				for _, hot := range []int{0, 1} {
					// The balancer hands it three times what it carries.
					f.play(3*time.Second, 3*capacity, hot, 7.0/8)
					f.machines[hot].reset()
					most := f.play(5*time.Second, 3*capacity, hot, 7.0/8)
					m := f.machines[hot]
					if n == 2 {
						continue // The other box is over what it carries, too.
					}
					if m.late > 0.05*m.read {
						t.Errorf("box %d: expected what is read in time, got %.0f late of %.0f, %.0f unread", hot, m.late, m.read, m.unread)
					}
					if m.read < 5*0.6*capacity {
						t.Errorf("box %d: expected it to read most of what it carries, %d a second, got %.0f in 5 s", hot, capacity, m.read)
					}
					if 2*most > n {
						t.Errorf("expected a bound on half of the boxes at most, got %d of %d", most, n)
					}
				}
				f.play(8*time.Second, perSecond, -1, 0)
				for i, m := range f.machines {
					if m.gate.Limited() {
						t.Errorf("box %d: expected no bound once the load is even again", i)
					}
				}
			})
		}
	}
}

// Guards against boxes that all leave connections unread, because all get more than they carry: then nobody reads them.
func TestOverloadOfAllBoxesLeavesNothingUnread(t *testing.T) {
	for _, n := range []int{1, 2, 3, 8, 60} {
		f := newFleetOf(t, n, 20)
		f.play(5*time.Second, 10*float64(n), -1, 0)
		f.play(10*time.Second, 60*float64(n), -1, 0)
		unread, read := 0.0, 0.0
		for _, m := range f.machines {
			unread, read = unread+m.unread, read+m.read
		}
		if unread > 0.02*read {
			t.Errorf("%d boxes: expected nothing unread, got %.0f beside %.0f", n, unread, read)
		}
	}
}

// Guards against messages that grow with the fleet while the load is steady.
func TestSteadyLoadIsHardlyPublished(t *testing.T) {
	f := newFleetOf(t, 100, 200)
	f.play(5*time.Second, 3000, -1, 0)
	f.messages = 0
	f.play(60*time.Second, 3000, -1, 0)
	if perSecond := float64(f.messages) / 60; perSecond > 5 {
		t.Errorf("expected at most 5 messages a second of 100 boxes, got %.1f", perSecond)
	}
}

// At most half of the boxes are hot, whatever they get.
func TestNoMoreThanHalfAreHot(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 2000 {
		n := 1 + rng.IntN(12)
		names, rates := make([]string, n), make([]float64, n)
		for i := range n {
			names[i], rates[i] = fmt.Sprint(i), quietRate+math.Exp(6*rng.Float64())
		}
		hot := 0
		for i := range n {
			var s Shares
			for j := range n {
				s.Receive(at(0), names[j], rates[j])
			}
			if s.Compare(at(0), names[i], rates[i], names).Hot {
				hot++
			}
		}
		if 2*hot > n {
			t.Fatalf("expected at most half of %d boxes, got %d with rates %v", n, hot, rates)
		}
	}
}

// Guards against a lone box, which has nobody to leave its callers to.
func TestLoneBoxIsNeverHot(t *testing.T) {
	var s Shares
	if c := s.Compare(at(0), "a", 1000, []string{"a"}); c.Hot {
		t.Errorf("expected it not to be hot, got %+v", c)
	}
	if c := s.Compare(at(0), "a", 1000, nil); c.Hot {
		t.Errorf("expected a box without a list not to be hot, got %+v", c)
	}
}

// Guards against a box without memory that reads on, and against one whose bound stays although the crowd has moved on.
func TestFullMemoryBoundsAndIsLifted(t *testing.T) {
	var g Gate
	now := time.Duration(0)
	offer := func(d time.Duration, full bool) {
		for end := now + d; now < end; now += 10 * time.Millisecond {
			g.Admit(at(now))
			g.Step(at(now), 0, full, true)
		}
	}
	offer(2*time.Second, false)
	if g.Limited() {
		t.Error("expected no bound without a delay")
	}
	offer(2*time.Second, true)
	if s := g.State(at(now)); s.Limit == 0 || s.Limit > 60 {
		t.Errorf("expected a bound below 60, got %+v", s)
	}
	for range 400 {
		now += 20 * time.Millisecond
		g.Step(at(now), 0, false, true)
	}
	if g.Limited() {
		t.Error("expected the bound to be lifted without connections")
	}
}

// Guards against rates of boxes that are gone, which are kept for good.
func TestRatesOfRemovedBoxesAreForgotten(t *testing.T) {
	var s Shares
	for i := range 20 {
		s.Receive(at(0), fmt.Sprint("box-", i), 50)
	}
	s.Forget([]string{"box-3", "box-new"})
	if len(s.byBox) != 1 || s.byBox["box-3"].rate != 50 {
		t.Errorf("expected the rate of box-3 only, got %v", s.byBox)
	}
}
