// Package retry bounds the calls that boxes make beyond the first of their requests, so that a
// failing service is not loaded further by its own retries.
//
// A platform allows all of its boxes together a share of the requests, and some free calls
// beside it, in any window. Each box keeps to a part that needs no word of the others, so that
// the bound holds for the sum whatever boxes hear of each other, and however many start anew.
//
// Ways weighed: a common stock that boxes tell each other they have spent from goes over the
// bound while they do not hear of it (on played days of 85 boxes before engines that reject
// most calls 1.3 times what is allowed with half of the boxes cut off, and 1.4 times with all
// restarted in turn); a box that hands retries out costs a call for each and must be found; parts
// alone cost nothing, and a box that meets a fault by itself has less to spend.
package retry

import (
	"sync"
	"time"
)

// Limits are what a platform allows all of its boxes together.
type Limits struct {
	// Share of the requests, and Free beside it, are the calls beyond the first of their request
	// that a service may get in Window.
	Share  float64
	Free   float64
	Window time.Duration
}

const (
	// sharePart and freePart are what boxes use of what is allowed. The rest is for calls that
	// reach a service closer together than they were sent, and for boxes that are not listed yet.
	sharePart = 0.75
	freePart  = 0.9
	// underWay is the longest time between a call's being taken and its reaching the service: a
	// connection may take 0.7 s to be made.
	underWay = time.Second
	// slots are the parts that a window is counted in.
	slots = 22
)

// Budget is what one box may spend of that at one service. It is safe for concurrent use. The
// zero value allows nothing.
type Budget struct {
	mu    sync.Mutex
	share float64
	free  float64
	// part is the time that a slot counts.
	part time.Duration
	// freeFrom is when the free part begins.
	freeFrom time.Time
	slots    [slots]slot
}

// slot counts what came and was spent in one part of the window.
type slot struct {
	at             int64 // The number of the part since 1970.
	arrived, spent int
}

// Bound sets what the box may spend: its part of what the platform allows so many boxes. A box
// that does not know how many there are has a share of its own requests only; so has one in its
// first window, since it may have spent its part before it was started anew.
//
// Example: of 210 free calls 85 boxes have 2.2 each; one may be made in a window, a second
// one too, and a third once five requests have come.
func (b *Budget) Bound(l Limits, boxes int, started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = sharePart * l.Share
	b.free = 0
	if boxes > 0 {
		b.free = freePart * l.Free / float64(boxes)
	}
	window := l.Window + underWay
	b.part = max(time.Millisecond, window/(slots-1)) // The oldest slot is only partly in the window.
	b.freeFrom = started.Add(window)
}

// Fixed sets a share of the requests and free calls that hold at once, for a box alone.
func (b *Budget) Fixed(share, free float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.free, b.part = share, free, window/(slots-1)
	b.freeFrom = time.Time{}
}

// Arrived counts a request.
func (b *Budget) Arrived(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.slot(now); s != nil {
		s.arrived++
	}
}

// Has says whether n more calls may be made now.
func (b *Budget) Has(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.has(now, n)
}

// Take counts n more calls, all or none, and returns whether they may be made.
func (b *Budget) Take(now time.Time, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.has(now, n) {
		return false
	}
	b.slot(now).spent += n
	return true
}

// Return gives back n calls that were taken at a time and not made. What was taken longer ago than a
// window counts no more, and nothing is given back.
func (b *Budget) Return(taken time.Time, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.part <= 0 {
		return
	}
	at := taken.UnixNano() / int64(b.part)
	if s := &b.slots[((at%slots)+slots)%slots]; s.at == at {
		s.spent = max(0, s.spent-n)
	}
}

func (b *Budget) has(now time.Time, n int) bool {
	newest := b.slot(now)
	if newest == nil {
		return false
	}
	arrived, spent := 0, 0
	for _, s := range b.slots {
		if newest.at-s.at < slots {
			arrived += s.arrived
			spent += s.spent
		}
	}
	most := b.share * float64(arrived)
	if !now.Before(b.freeFrom) {
		most += b.free
	}
	return float64(spent+n) <= most
}

// slot is that of a time; nil where nothing is allowed.
func (b *Budget) slot(now time.Time) *slot {
	if b.part <= 0 {
		return nil
	}
	at := now.UnixNano() / int64(b.part)
	s := &b.slots[((at%slots)+slots)%slots]
	if s.at != at {
		*s = slot{at: at}
	}
	return s
}
