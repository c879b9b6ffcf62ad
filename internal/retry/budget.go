// Package retry bounds the retries of all boxes together, so that retries do not overload a failing service further. A
// box is a machine that runs the router. An extra call is a call of a request beyond the request's first call. Package
// decide counts prefill calls and decode calls separately: the first call of each kind is not an extra call.
//
// The platform sets a bound on the number of extra calls in any window of time. The bound is a fraction of the number
// of requests (Share), plus a fixed number (FreeCalls). It applies to the sum over all boxes. The fixed number is
// divided equally among the boxes. The fraction applies on each box to the requests that arrived at that box. This
// needs no communication. So the sum stays within the bound even while boxes are cut off from each other or restarted.
//
// Alternative: the boxes could share one budget and publish what they used. Extra calls then exceed the bound while
// messages are lost. In simulations of 85 boxes, engines rejected most calls. The boxes made 1.3 times the allowed
// calls with half of the boxes cut off, and 1.4 times with all boxes restarted in turn.
//
// Alternative: one box could grant the retries. Then each retry costs a call to that box, and that box must be found.
//
// Fixed parts cost no calls. Their drawback: if only one box meets a fault, it can use only its own part of the bound. So
// a box that runs out of calls during a fault borrows some of other boxes. A lent call counts at the lender as made, until
// the borrower returns it unused. If one of their messages is lost, so is the call, and the sum stays within the bound.
//
// Alternative: borrowed calls that are not used could expire without being returned. Then a box uses one in five
// to seven of the calls that it borrows, and where answers are lost at all boxes more requests end for lack of a retry than
// without loans.
//
// The package also has what a box knows of callers who retry: CallerTimes tells them from callers at their first attempt,
// and ToldCallers counts those who were told to retry and have not done so yet.
package retry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Limits are the extra calls that the platform allows all of its boxes together.
type Limits struct {
	// In any Window, a service may receive at most Share times its number of requests, plus FreeCalls, as
	// extra calls.
	Share     float64
	FreeCalls float64
	Window    time.Duration
}

const (
	// usableShare and usableFree are the fractions of Share and FreeCalls that boxes use. The remaining calls are
	// a reserve for two cases: calls that reach a service closer together than they were sent, and boxes that are
	// not listed yet.
	usableShare = 0.75
	usableFree  = 0.9
	// maxTransit is the longest time between a call of Take and the arrival of the extra call at the service.
	// Connecting can take 0.7 s.
	maxTransit = time.Second
	// numSlots is the number of slots, parts of equal length, in which a window is counted.
	numSlots = 22
	// maxSlotsAhead is how many slots after the present one calls may be counted: LoanTime in the slots of the shortest
	// window, which is maxTransit.
	maxSlotsAhead = int64(LoanTime/(maxTransit/(numSlots-1))) + 1
	ringSize      = numSlots + maxSlotsAhead
)

const (
	// LoanTime is how long after its request a box may use the calls that it borrowed.
	LoanTime = 500 * time.Millisecond
	// renewBefore is how long before they expire borrowed calls are returned, or borrowed anew: an interval of the caller's
	// check and an answer to it.
	renewBefore = 100 * time.Millisecond
	// returnTime is how long after they expired lent calls can be taken back.
	returnTime = time.Second
	// MaxLoan is the largest number of calls in one request of a box to another.
	MaxLoan = 4
	// enoughCalls is the number of calls from which on a box borrows none. A stream that starts over makes two.
	enoughCalls = 2
	// calmAfter is how long after the last extra call, made or denied, a box stops borrowing calls for requests in
	// progress.
	calmAfter = 2 * time.Second
	// minAskInterval is the pause between two rounds of requests to other boxes. It doubles with each round that yields
	// nothing, up to maxAskInterval: the other boxes will have calls again as their windows pass, not within
	// milliseconds. A request and its answer take 0.5 KB.
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = 400 * time.Millisecond
)

// Budget is the part of the platform's bound that one box may use at one service. It is safe for concurrent use. The
// zero value allows no extra calls.
type Budget struct {
	mu    sync.Mutex
	share float64
	free  float64
	// slotLength is the time that one slot covers.
	slotLength time.Duration
	// freeFrom is from when the box may use its free calls.
	freeFrom time.Time
	// lends means that the budget is a part of the bound of all boxes, so that calls may be lent and borrowed.
	lends bool
	slots [ringSize]slot
	// loans are the borrowed calls that were not made yet.
	loans []Loan
	// lent are the loans to other boxes that may still be returned, by ID.
	lent map[uint64]lentCalls
	// lastUsed and lastDenied are when an extra call was last made and last denied.
	lastUsed, lastDenied time.Time
	// nextAsk is from when other boxes may be asked for calls again, and askInterval the pause after a round.
	nextAsk     time.Time
	askInterval time.Duration
	count       Counts
}

// Loan is a number of calls that a box borrowed, and did not make yet.
type Loan struct {
	// Lender is the box that lent the calls, and ID names the loan there.
	Lender string
	ID     uint64
	Calls  int
	// until is when the calls expire.
	until time.Time
}

// lentCalls are calls that were lent to another box.
type lentCalls struct {
	calls int
	// at is the time at which the calls count as made.
	at time.Time
}

// Counts are numbers of calls since the start of a box.
type Counts struct {
	// Borrowed and Lent count the calls that were received from and given to other boxes. Returned and TakenBack count those
	// of them that were not made. Denied counts the extra calls that requests needed and the budget did not allow.
	Borrowed, Returned, Lent, TakenBack, Denied uint64
}

// slot counts the requests that arrived and the extra calls that were made in one part of the window.
type slot struct {
	index          int64 // The number of the slot, counted since 1970.
	arrived, spent int
	borrowed       int // The extra calls that were made with borrowed calls. They are not in spent.
}

// SetBound sets the part of the platform's bound that this box may use. boxes is the number of boxes. If that number
// is not known (0), the box gets no free calls, only the fraction for its own requests. The same applies in the first
// window after a start, since the box may have used its free calls before it restarted.
//
// Example: the bound contains 210 free calls, and each of 85 boxes gets 2.2 of them. So a box may make two extra calls
// in a window, and a third extra call after five requests have arrived.
func (b *Budget) SetBound(l Limits, boxes int, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = usableShare * l.Share
	b.free = 0
	if boxes > 0 {
		b.free = usableFree * l.FreeCalls / float64(boxes)
	}
	window := l.Window + maxTransit
	// There is one slot more than fits into the window, because the oldest slot is only partly within the window.
	b.slotLength = max(time.Millisecond, window/(numSlots-1))
	b.freeFrom = started.Add(window + LoanTime)
	b.lends = true
}

// SetFixed sets a budget for a box on its own: a fraction of the requests, and a number of free calls. The free calls
// are available immediately.
func (b *Budget) SetFixed(share, free float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.free, b.slotLength = share, free, window/(numSlots-1)
	b.freeFrom = time.Time{}
	b.lends = false
}

// CountRequest counts a request that arrived. Each request raises the number of allowed extra calls.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.slotAt(now); s != nil {
		s.arrived++
	}
}

// Has reports whether n extra calls may be made now.
func (b *Budget) Has(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has(now, n)
}

// Take takes n extra calls from the budget if all n are allowed, and reports whether they are. Otherwise it takes none.
// Borrowed calls are taken first, since they expire.
func (b *Budget) Take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.has(now, n) {
		b.deny(now, n)
		return false
	}
	s := b.slotAt(now)
	borrowed := b.takeBorrowed(now, n)
	s.borrowed += borrowed
	s.spent += n - borrowed
	b.lastUsed = now
	return true
}

// TakeSpare takes n calls that are not retries of failed ones, such as migrations, if all n are allowed by this box's own
// part of the bound. They are no reason to borrow calls of other boxes.
func (b *Budget) TakeSpare(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slotLength <= 0 || float64(n) > b.left(now) {
		return false
	}
	b.slotAt(now).spent += n
	return true
}

// Return gives back n extra calls that Take took at the given time and that were not made. It does nothing if they were
// taken more than a window ago, since they no longer count. Borrowed calls are lost: they may have
// expired.
func (b *Budget) Return(taken time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slotLength <= 0 {
		return
	}
	index := b.index(taken)
	if s := &b.slots[ringPosition(index)]; s.index == index {
		borrowed := min(n, s.borrowed)
		s.borrowed -= borrowed
		s.spent = max(0, s.spent-(n-borrowed))
	}
}

// CountDenied counts n extra calls that a request needed and that Has did not allow. Take counts those that it denies.
func (b *Budget) CountDenied(now time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deny(now, n)
}

func (b *Budget) deny(now time.Time, n int) {
	b.lastDenied = now
	b.count.Denied += uint64(n)
}

// Wanted returns how many calls should be borrowed of other boxes now. It is 0 in calm, while no extra calls are made.
// inProgress means that a request that may run again is in progress. If the caller asks other boxes, it reports the
// result with Borrow.
func (b *Budget) Wanted(now time.Time, inProgress bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	denied := now.Sub(b.lastDenied) < LoanTime
	if !b.lends || now.Before(b.nextAsk) || !denied && !(inProgress && now.Sub(b.lastUsed) < calmAfter) {
		return 0
	}
	return max(0, enoughCalls-b.borrowedCalls(now.Add(renewBefore))-int(b.left(now)))
}

// TakeUnused removes the loans that expire within renewBefore, and returns them. The caller returns them to their lenders.
func (b *Budget) TakeUnused(now time.Time) (unused []Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loans = slices.DeleteFunc(b.loans, func(l Loan) bool {
		expires := !now.Add(renewBefore).Before(l.until)
		if expires {
			unused = append(unused, l)
			b.count.Returned += uint64(l.Calls)
		}
		return expires
	})
	return unused
}

// Borrow adds calls that other boxes have lent to this one. asked is when they were asked.
func (b *Budget) Borrow(now, asked time.Time, loans ...Loan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.askInterval = max(minAskInterval, min(2*b.askInterval, maxAskInterval))
	for _, l := range loans {
		if l.Calls > 0 {
			b.askInterval = minAskInterval
			l.until = asked.Add(LoanTime)
			b.loans = append(b.loans, l)
			b.count.Borrowed += uint64(l.Calls)
		}
	}
	b.nextAsk = now.Add(b.askInterval)
}

// Lend lends up to n calls to another box, and returns how many, with the ID of the loan. It lends at most half of the
// calls that are left, keeps one, and lends no borrowed ones. Lent calls count as made at the last time at which the
// borrower may make them.
func (b *Budget) Lend(now time.Time, n int) (calls int, id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lends {
		return 0, 0
	}
	left := b.left(now)
	n = max(0, min(n, MaxLoan, int(left/2), int(left)-1))
	if n == 0 {
		return 0, 0
	}
	if b.lent == nil {
		b.lent = map[uint64]lentCalls{}
	}
	maps.DeleteFunc(b.lent, func(_ uint64, l lentCalls) bool { return now.Sub(l.at) > returnTime })
	for _, taken := b.lent[id]; id == 0 || taken; _, taken = b.lent[id] {
		id = rand.Uint64() // A loan of this box's earlier start cannot be returned.
	}
	l := lentCalls{n, now.Add(LoanTime)}
	b.lent[id] = l
	b.lastUsed = now // The fault that others borrow for may reach this box too.
	b.slotAt(l.at).spent += n
	b.count.Lent += uint64(n)
	return n, id
}

// TakeBack takes back n calls of a loan that the borrower did not make and can no longer make. It does nothing if the loan
// is unknown, has fewer calls, or was taken back before.
func (b *Budget) TakeBack(now time.Time, id uint64, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.lent[id]
	if !ok || n <= 0 || n > l.calls || now.Sub(l.at) > returnTime {
		return
	}
	delete(b.lent, id)
	if b.slotLength <= 0 {
		return
	}
	if s := &b.slots[ringPosition(b.index(l.at))]; s.index == b.index(l.at) {
		s.spent = max(0, s.spent-n)
		b.count.TakenBack += uint64(n)
	}
}

// State returns the number of extra calls that are allowed now, those of them that are borrowed, and the counts.
func (b *Budget) State(now time.Time) (left, borrowed int, c Counts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	borrowed = b.borrowedCalls(now)
	return borrowed + int(b.left(now)), borrowed, b.count
}

func (b *Budget) has(now time.Time, n int) bool {
	if b.slotLength <= 0 {
		return false
	}
	return float64(n-b.borrowedCalls(now)) <= b.left(now)
}

// left returns the extra calls that this box's own part of the bound still allows.
func (b *Budget) left(now time.Time) float64 {
	newest := b.slotAt(now)
	if newest == nil {
		return 0
	}
	arrived, spent := 0, 0
	for _, s := range b.slots {
		if newest.index-s.index < numSlots {
			arrived += s.arrived
			spent += s.spent
		}
	}
	allowed := b.share * float64(arrived)
	if !now.Before(b.freeFrom) {
		allowed += b.free
	}
	return max(0, allowed-float64(spent))
}

// borrowedCalls returns how many borrowed calls may be made at a time.
func (b *Budget) borrowedCalls(at time.Time) (n int) {
	for _, l := range b.loans {
		if at.Before(l.until) {
			n += l.Calls
		}
	}
	return n
}

// takeBorrowed takes up to n borrowed calls, those first that expire first, and returns how many.
func (b *Budget) takeBorrowed(now time.Time, n int) (taken int) {
	for i, l := range b.loans {
		if now.Before(l.until) {
			k := min(n-taken, l.Calls)
			b.loans[i].Calls -= k
			taken += k
		}
	}
	b.loans = slices.DeleteFunc(b.loans, func(l Loan) bool { return l.Calls == 0 })
	return taken
}

func (b *Budget) index(at time.Time) int64 { return at.UnixNano() / int64(b.slotLength) }

func ringPosition(index int64) int64 { return ((index % ringSize) + ringSize) % ringSize }

// slotAt returns the slot of a time, or nil if the budget allows nothing.
func (b *Budget) slotAt(at time.Time) *slot {
	if b.slotLength <= 0 {
		return nil
	}
	index := b.index(at)
	s := &b.slots[ringPosition(index)]
	if s.index != index {
		*s = slot{index: index}
	}
	return s
}
