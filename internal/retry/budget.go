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
// Fixed parts cost no calls. Their drawback: if only one box meets a fault, it can use only its own part of the bound.
//
// The package also has what a box knows of callers who retry: CallerTimes tells them from callers at their first attempt,
// and ToldCallers counts those who were told to retry and have not done so yet.
package retry

import (
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
	slots    [numSlots]slot
}

// slot counts the requests that arrived and the extra calls that were made in one part of the window.
type slot struct {
	index          int64 // The number of the slot, counted since 1970.
	arrived, spent int
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
	b.freeFrom = started.Add(window)
}

// SetFixed sets a budget for a box on its own: a fraction of the requests, and a number of free calls. The free calls
// are available immediately.
func (b *Budget) SetFixed(share, free float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.free, b.slotLength = share, free, window/(numSlots-1)
	b.freeFrom = time.Time{}
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
func (b *Budget) Take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.has(now, n) {
		return false
	}
	b.slotAt(now).spent += n
	return true
}

// Return gives back n extra calls that Take took at the given time and that were not made. It does nothing if they were
// taken more than a window ago, since they no longer count.
func (b *Budget) Return(taken time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.slotLength <= 0 {
		return
	}
	index := taken.UnixNano() / int64(b.slotLength)
	if s := &b.slots[((index%numSlots)+numSlots)%numSlots]; s.index == index {
		s.spent = max(0, s.spent-n)
	}
}

func (b *Budget) has(now time.Time, n int) bool {
	newest := b.slotAt(now)
	if newest == nil {
		return false
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
	return float64(spent+n) <= allowed
}

// slotAt returns the slot of a time, or nil if the budget allows nothing.
func (b *Budget) slotAt(now time.Time) *slot {
	if b.slotLength <= 0 {
		return nil
	}
	index := now.UnixNano() / int64(b.slotLength)
	s := &b.slots[((index%numSlots)+numSlots)%numSlots]
	if s.index != index {
		*s = slot{index: index}
	}
	return s
}
