package retry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fault is what fails in a simulation of all boxes.
type fault struct {
	// lossy is the number of boxes that lose the answer of one call in five.
	lossy int
	// lostAnswers is the share of lost answers to requests for calls.
	lostAnswers float64
	// cutOff is the number of boxes that reach no other box for two seconds, and restarts the number of boxes that lose
	// their state, each at a random time.
	cutOff, restarts int
}

// fleet is a number of boxes in virtual time, each with a budget for one service.
type fleet struct {
	rng     *rand.Rand
	limits  Limits
	borrows bool
	fault   fault
	start   time.Time
	names   []string
	boxes   []*fleetBox
	// arrived and extra are the times of requests and of the arrivals of extra calls at the service.
	arrived, extra []time.Duration
	failed, asked  int
	// events are what happens at a later time, in order.
	events []fleetEvent
}

type fleetEvent struct {
	at time.Duration
	do func()
}

type fleetBox struct {
	Budget
	lenders            Lenders
	running            int
	cutFrom, restartAt time.Duration
}

const (
	fleetStep   = 10 * time.Millisecond
	faultBegins = 12 * time.Second
	faultEnds   = 18 * time.Second
	fleetTime   = 24 * time.Second
	answerTime  = 300 * time.Millisecond
)

func newFleet(seed uint64, borrows bool, f fault) *fleet {
	s := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), limits: Limits{Share: 0.2, FreeCalls: 206, Window: 10 * time.Second}, borrows: borrows,
		fault: f, start: time.Unix(1_800_000_000, 0), names: make([]string, 83),
	}
	for i := range s.names {
		s.names[i] = fmt.Sprint(i)
		b := &fleetBox{cutFrom: time.Hour, restartAt: time.Hour, lenders: Lenders{Perm: s.rng.Perm}}
		b.SetBound(s.limits, len(s.names), s.start.Add(-time.Hour))
		s.boxes = append(s.boxes, b)
	}
	for _, i := range s.rng.Perm(len(s.boxes))[:f.cutOff] {
		s.boxes[i].cutFrom = faultBegins + time.Duration(s.rng.Int64N(int64(4*time.Second)))
	}
	for _, i := range s.rng.Perm(len(s.boxes))[:f.restarts] {
		s.boxes[i].restartAt = faultBegins + time.Duration(s.rng.Int64N(int64(6*time.Second)))
	}
	return s
}

func (s *fleet) after(now, d time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(s.events, now+d, func(e fleetEvent, at time.Duration) int { return int(e.at - at) })
	s.events = slices.Insert(s.events, i, fleetEvent{now + d, do})
}

// run runs the fleet with the given number of requests a second.
func (s *fleet) run(perSecond float64) {
	for now := time.Duration(0); now < fleetTime; now += fleetStep {
		for len(s.events) > 0 && s.events[0].at <= now {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
		}
		for i, b := range s.boxes {
			if s.rng.Float64() < perSecond/float64(len(s.boxes))*fleetStep.Seconds() {
				s.arrived = append(s.arrived, now)
				b.CountRequest(s.start.Add(now))
				b.running++
				s.call(i, now, 1)
			}
			if now >= b.restartAt && b.restartAt < time.Hour {
				b.Budget = Budget{}
				b.SetBound(s.limits, len(s.boxes), s.start.Add(now))
				b.restartAt = time.Hour
			}
			if s.borrows {
				s.ask(i, now)
			}
		}
	}
}

// call makes a call of a request. After its first lost answer it is run again on the same engine, which is one extra call.
// Then it starts over, which is two.
func (s *fleet) call(i int, now time.Duration, try int) {
	b := s.boxes[i]
	lost := now >= faultBegins && now < faultEnds && i < s.fault.lossy && s.rng.IntN(5) == 0
	took := time.Duration(s.rng.Int64N(int64(2 * answerTime)))
	s.after(now, took, func() {
		at := now + took
		switch {
		case !lost:
		case try < 4 && b.Take(s.start.Add(at), min(try, 2)):
			for range min(try, 2) {
				s.extra = append(s.extra, at+time.Duration(s.rng.Int64N(int64(maxTransit))))
			}
			s.call(i, at, try+1)
			return
		default:
			s.failed++
		}
		b.running--
	})
}

func (s *fleet) reachable(b *fleetBox, at time.Duration) bool {
	return at < b.cutFrom || at >= b.cutFrom+2*time.Second
}

// ask lets a box ask others for calls. A request takes 1 to 5 ms, and so does an answer.
func (s *fleet) ask(i int, now time.Duration) {
	b := s.boxes[i]
	at := s.start.Add(now)
	if now%(50*time.Millisecond) != 0 {
		return
	}
	unused, wanted := b.TakeUnused(at), b.Wanted(at, b.running > 0)
	if wanted == 0 && len(unused) == 0 {
		return
	}
	others := slices.Delete(slices.Clone(s.names), i, i+1)
	var loans []Loan
	for _, a := range b.lenders.Plan(at, "", wanted, unused, others) {
		s.asked++
		lender := s.boxes[slices.Index(s.names, a.Box)]
		answered := s.reachable(b, now) && s.reachable(lender, now)
		if answered {
			lender.TakeBack(at, a.Returned.ID, a.Returned.Calls)
			n, id := lender.Lend(at, a.Calls)
			if answered = s.rng.Float64() >= s.fault.lostAnswers; answered {
				loans = append(loans, Loan{Lender: a.Box, ID: id, Calls: n})
			}
		}
		b.lenders.Done(at, a.Box, answered)
	}
	if wanted > 0 {
		b.Borrow(at, at, loans...)
	}
}

// expectBounded expects that in no window the service got more extra calls than the platform allows to all boxes.
func (s *fleet) expectBounded(t *testing.T) {
	t.Helper()
	slices.Sort(s.extra)
	for _, from := range s.extra {
		most := s.limits.FreeCalls + s.limits.Share*float64(max(s.within(s.arrived, from), s.within(s.arrived, from-s.limits.Window)))
		if n := s.within(s.extra, from); float64(n) > most {
			t.Errorf("%+v: expected at most %.0f extra calls in the window from %s, got %d", s.fault, most, from, n)
			return
		}
	}
}

// within counts the times of a sorted list that are in the window from a time.
func (s *fleet) within(times []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+s.limits.Window)
	return end - first
}

// failures returns how many requests ended for lack of a retry, on a number of fleets.
func failures(t *testing.T, seeds uint64, perSecond float64, borrows bool, f fault) (n int) {
	t.Helper()
	for seed := range seeds {
		s := newFleet(seed, borrows, f)
		s.run(perSecond)
		s.expectBounded(t)
		n += s.failed
	}
	return n
}

// With the box's own part alone, a box that lost more answers than others refused retries while all boxes together had
// calls left. The rates are those of the usual load of 83 boxes and of a burst.
func TestBorrowingSavesRetries(t *testing.T) {
	for _, perSecond := range []float64{40, 100} {
		for lossy, seeds := range map[int]uint64{10: 40, 83: 5} {
			before, after := failures(t, seeds, perSecond, false, fault{lossy: lossy}), failures(t, seeds, perSecond, true, fault{lossy: lossy})
			if 3*after >= before {
				t.Errorf("%g requests a second, %d boxes lose answers: expected under a third of %d requests without a retry, got %d", perSecond, lossy, before, after)
			}
			t.Logf("%g requests a second, %d boxes lose answers: %d requests without a retry before, %d with loans", perSecond, lossy, before, after)
		}
	}
}

// Calls that were lent and lost, or lent by a box that then forgot it, must not be made twice.
func TestBorrowingKeepsBound(t *testing.T) {
	for _, f := range []fault{
		{lossy: 83, lostAnswers: 0.3},
		{lossy: 83, cutOff: 40},
		{lossy: 83, restarts: 83},
		{lossy: 83, lostAnswers: 0.3, cutOff: 40, restarts: 83},
	} {
		failures(t, 5, 100, true, f)
	}
}

// Without a fault, no box asks another one for calls.
func TestNothingBorrowedInCalm(t *testing.T) {
	s := newFleet(1, true, fault{})
	for _, b := range s.boxes {
		b.SetBound(s.limits, 10*len(s.boxes), s.start.Add(-time.Hour)) // Less than one call of its own.
	}
	s.run(100)
	if s.asked > 0 {
		t.Errorf("expected no requests for calls, got %d", s.asked)
	}
}

// Two boxes lend each other calls at random, lose answers, repeat and delay returns, and make each call as late as they
// may. In any window, the service gets at most their own parts. Lent calls that counted from the moment of lending came
// together with calls that the lender made a window later.
func TestLoansStayWithinBound(t *testing.T) {
	const window, parts = 10 * time.Second, 36
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		start := time.Unix(1_800_000_000, 0)
		now := start
		boxes := make([]Budget, 2)
		for i := range boxes {
			boxes[i].SetBound(Limits{FreeCalls: parts / usableFree, Window: window}, 2, start.Add(-time.Hour))
		}
		var returned []Loan
		var made []time.Time
		for range 3000 {
			now = now.Add(time.Duration(rng.IntN(30)) * time.Millisecond)
			i := rng.IntN(2)
			b, other := &boxes[i], &boxes[1-i]
			switch rng.IntN(5) {
			case 0:
				for n := 1 + rng.IntN(2); b.Take(now, n); n = 1 + rng.IntN(2) {
					for range n {
						made = append(made, now.Add(time.Duration(rng.Int64N(int64(maxTransit)))))
					}
				}
			case 1:
				n, id := other.Lend(now, 1+rng.IntN(MaxLoan))
				if rng.IntN(4) > 0 {
					b.Borrow(now.Add(time.Duration(rng.IntN(40))*time.Millisecond), now, Loan{Lender: fmt.Sprint(1 - i), ID: id, Calls: n})
				}
			case 2:
				returned = append(returned, b.TakeUnused(now)...)
			case 3:
				if len(returned) > 0 {
					l := returned[rng.IntN(len(returned))]
					boxes[l.Lender[0]-'0'].TakeBack(now, l.ID, l.Calls)
				}
			case 4:
				if b.Take(now, 1) {
					b.Return(now, 1)
				}
			}
		}
		slices.SortFunc(made, time.Time.Compare)
		for i, from := range made {
			end, _ := slices.BinarySearchFunc(made, from.Add(window), time.Time.Compare)
			if end-i > parts {
				t.Fatalf("seed %d: expected at most %d calls in the window from %s, got %d", seed, parts, from.Sub(start), end-i)
			}
		}
	}
}

// A loan is taken back once, and only while its lender knows it.
func TestTakeBackOnce(t *testing.T) {
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{FreeCalls: 20 / usableFree, Window: 10 * time.Second}, 1, now.Add(-time.Hour))
	n, id := b.Lend(now, 9)
	if left, _, _ := b.State(now); n != MaxLoan || left != 16 {
		t.Fatalf("expected %d calls lent and 16 left, got %d and %d", MaxLoan, n, left)
	}
	b.TakeBack(now, id, MaxLoan+1)
	for range 2 {
		b.TakeBack(now, id, 3)
		b.TakeBack(now, id+1, 1)
	}
	if left, _, c := b.State(now); left != 19 || c.Lent-c.TakenBack != 1 {
		t.Errorf("expected 19 calls left and one lent, got %d and %+v", left, c)
	}
	_, id = b.Lend(now, 1)
	b.TakeBack(now.Add(LoanTime+returnTime+1), id, 1)
	if left, _, _ := b.State(now); left != 18 {
		t.Errorf("expected a late return to be ignored, got %d calls left", left)
	}
}

func TestLendKeepsHalf(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for free, want := range map[float64]int{1.9: 0, 2.2: 1, 3.9: 1, 4: 2, 20: MaxLoan} {
		var b Budget
		b.SetBound(Limits{FreeCalls: free / usableFree, Window: 10 * time.Second}, 1, now.Add(-time.Hour))
		if n, _ := b.Lend(now, MaxLoan); n != want {
			t.Errorf("%g calls left: expected %d lent, got %d", free, want, n)
		}
	}
	var alone, started Budget
	alone.SetFixed(0, 20, 10*time.Second)
	started.SetBound(Limits{FreeCalls: 20, Window: 10 * time.Second}, 1, now)
	for what, b := range map[string]*Budget{"a box on its own": &alone, "a box that has just started": &started} {
		if n, _ := b.Lend(now, MaxLoan); n != 0 {
			t.Errorf("%s: expected no calls lent, got %d", what, n)
		}
	}
}

// Borrowed calls expire LoanTime after the request, however late the answer came. They are not lent on.
func TestBorrowedCallsExpire(t *testing.T) {
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{Window: 10 * time.Second}, 1, now.Add(-time.Hour))
	b.Borrow(now.Add(30*time.Millisecond), now, Loan{Calls: 3})
	if n, _ := b.Lend(now, 1); n != 0 {
		t.Error("expected no borrowed call to be lent")
	}
	if !b.Take(now.Add(LoanTime-1), 2) || b.Has(now.Add(LoanTime), 1) {
		t.Error("expected the borrowed calls to be allowed until LoanTime after the request")
	}
	b.Borrow(now.Add(time.Minute), now, Loan{Calls: 1})
	if b.Has(now.Add(time.Minute), 1) {
		t.Error("expected calls of a late answer to be ignored")
	}
}

// At most two boxes are asked at a time, none more often than each lenderInterval for a service, and none that did not
// answer.
func TestPlanBounds(t *testing.T) {
	var l Lenders
	now := time.Unix(1_800_000_000, 0)
	boxes := []string{"a", "b", "c"}
	expect := func(what string, got []Ask, boxes, calls int) []Ask {
		t.Helper()
		n := 0
		for _, a := range got {
			n += a.Calls
		}
		if len(got) != boxes || n != calls {
			t.Errorf("%s: expected %d calls of %d boxes, got %+v", what, calls, boxes, got)
		}
		return got
	}
	first := expect("first", l.Plan(now, "s", 2, nil, boxes), 2, 2)
	expect("while two are asked", l.Plan(now, "s", 2, nil, boxes), 0, 0)
	l.Done(now, first[0].Box, true)
	l.Done(now, first[1].Box, false)
	third := expect("the third box", l.Plan(now, "s", 2, nil, boxes), 1, 2)
	l.Done(now, third[0].Box, true)
	other := expect("another service", l.Plan(now, "u", 9, nil, boxes), 2, 2*MaxLoan)
	for _, a := range other {
		l.Done(now, a.Box, true)
	}
	now = now.Add(lenderInterval)
	unused := []Loan{{Lender: first[1].Box, Calls: 1}, {Lender: first[0].Box, ID: 7, Calls: 1}}
	got := expect("a renewal", l.Plan(now, "s", 1, unused, boxes), 1, 1)
	if got[0].Box != first[0].Box || got[0].Returned.ID != 7 {
		t.Errorf("expected the loan to be renewed by its lender, got %+v", got)
	}
}

// A borrower may make lent calls until LoanTime later, and they may arrive after maxTransit. Until a window after that, the
// lender must not make them itself, and its own calls must count as before. The lender may restart right after it lent.
func TestLentCallsCountUntilTheirLastUse(t *testing.T) {
	const window = 10 * time.Second
	limits := Limits{FreeCalls: 10 / usableFree, Window: window}
	for phase := time.Duration(0); phase < time.Second; phase += 10 * time.Millisecond {
		start := time.Unix(1_800_000_000, 0).Add(phase)
		var b, restarted Budget
		b.SetBound(limits, 1, start.Add(-time.Hour))
		restarted.SetBound(limits, 1, start)
		n, _ := b.Lend(start, 4)
		last := start.Add(LoanTime + maxTransit + window - time.Millisecond)
		if n != 4 || b.Has(last, 7) || !b.Has(last, 6) || !b.Has(last.Add(time.Second), 10) {
			t.Errorf("phase %s: expected 4 calls lent, and counted for a window after their last use and not much longer, got %d lent", phase, n)
		}
		if restarted.Has(last, 1) {
			t.Errorf("phase %s: expected no free calls of a restarted lender while calls that it lent before may be made", phase)
		}
		var old Budget
		old.SetBound(limits, 1, start.Add(-time.Hour))
		old.Take(start, 6)
		end := start.Add(window + maxTransit - time.Millisecond)
		if n, _ := old.Lend(end, 1); n != 1 || old.Has(end, 4) {
			t.Errorf("phase %s: expected lending at the end of the window to leave the earlier calls counted", phase)
		}
	}
}

// Borrowed calls that were taken and given back must not become calls of this box: its lender counts them for a shorter time.
func TestReturnedBorrowedCallsAreLost(t *testing.T) {
	var b Budget
	now := time.Unix(1_800_000_000, 0)
	b.SetBound(Limits{FreeCalls: 2 / usableFree, Window: 10 * time.Second}, 1, now.Add(-time.Hour))
	b.Borrow(now, now, Loan{Calls: 2})
	if !b.Take(now, 4) {
		t.Fatal("expected own and borrowed calls to be allowed together")
	}
	b.Return(now, 2)
	if b.Has(now, 1) {
		t.Error("expected the borrowed calls to be lost")
	}
	b.Return(now, 1)
	if !b.Has(now, 1) || b.Has(now, 2) {
		t.Error("expected an own call to be allowed again")
	}
}
