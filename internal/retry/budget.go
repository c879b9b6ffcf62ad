// Package retry bounds the calls that boxes make beyond the first of each request, so that retries do not
// overload a failing service further.
//
// The platform allows all of its boxes together a share of the requests, plus a number of free calls, in any
// window. Each box uses an equal part of that which needs no communication, so the bound holds for the sum
// even while boxes are cut off from each other or restarted.
//
// Alternatives: a common budget, with boxes publishing what they used, exceeds the bound while messages are
// lost (in simulations of 85 boxes whose engines reject most calls, 1.3 times the bound with half of the boxes
// cut off, and 1.4 times with all restarted in turn). A box that grants retries costs a call for each and
// must be found. Fixed parts cost nothing, but a box that meets a fault alone has less to use.
package retry

import (
	"sync"
	"time"
)

// Limits are what the platform allows all of its boxes together.
type Limits struct {
	// A service may get the share Share of its requests, plus FreeCalls, as calls beyond the first of a request
	// in any Window.
	Share     float64
	FreeCalls float64
	Window    time.Duration
}

const (
	// usableShare and usableFree are the fractions of the bound that boxes use. The rest is for calls that
	// reach a service closer together than they were sent, and for boxes that are not listed yet.
	usableShare = 0.75
	usableFree  = 0.9
	// maxTransit is the longest time between Take and the call's arrival at the service: connecting may take
	// 0.7 s.
	maxTransit = time.Second
	// numSlots is the number of slots in which a window is counted.
	numSlots = 22
)

// Budget is the part of the bound that one box may use at one service. It is safe for concurrent use. The
// zero value allows nothing.
type Budget struct {
	mu    sync.Mutex
	share float64
	free  float64
	// slotLength is the time that one slot covers.
	slotLength time.Duration
	// freeFrom is when the free calls become available.
	freeFrom time.Time
	slots    [numSlots]slot
}

// slot counts the requests and the extra calls in one part of the window.
type slot struct {
	index          int64 // The slot's number since 1970.
	arrived, spent int
}

// SetBound sets the part of the platform's bound that this box may use, for the given number of boxes. A box that
// does not know that number gets no free calls, only a share of its own requests. The same applies in the
// first window after a start, since the box may have used its free calls before it restarted.
//
// Example: of 210 free calls each of 85 boxes gets 2.2. So it may make two in a window, and a third once five
// requests have arrived.
func (b *Budget) SetBound(l Limits, boxes int, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = usableShare * l.Share
	b.free = 0
	if boxes > 0 {
		b.free = usableFree * l.FreeCalls / float64(boxes)
	}
	window := l.Window + maxTransit
	b.slotLength = max(time.Millisecond, window/(numSlots-1)) // The oldest slot is only partly within the window.
	b.freeFrom = started.Add(window)
}

// SetFixed sets a share of the requests and a number of free calls, available at once, for a box on its own.
func (b *Budget) SetFixed(share, free float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.free, b.slotLength = share, free, window/(numSlots-1)
	b.freeFrom = time.Time{}
}

// CountRequest counts a request.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.slotAt(now); s != nil {
		s.arrived++
	}
}

// Has reports whether n more calls may be made now.
func (b *Budget) Has(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has(now, n)
}

// Take reserves n more calls, all or none, and reports whether they may be made.
func (b *Budget) Take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.has(now, n) {
		return false
	}
	b.slotAt(now).spent += n
	return true
}

// Return gives back n calls that were taken at the given time and not made. Calls taken longer than a window ago
// no longer count, so nothing is given back for them.
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

// slotAt returns the slot of a time; nil if nothing is allowed.
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
