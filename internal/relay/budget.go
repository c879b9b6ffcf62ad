package relay

import (
	"sync"
	"time"
)

// budget bounds what a service receives beyond the first call of each request, so that
// a failing service is not loaded further by its own retries. The bound holds over a
// sliding window, and every box keeps to its own part of it.
type budget struct {
	mu sync.Mutex
	// slots count arrivals and extra calls by halfSecond; slots[i] is for the time at[i].
	slots [budgetSlots]budgetSlot
}

type budgetSlot struct {
	at       int64 // The half second it counts.
	arrivals int
	extra    int
}

const (
	budgetSlots = 20 // Ten seconds.
	budgetPart  = 500 * time.Millisecond
	// extraShare and extraFree are this box's part: a share of its own requests, and a
	// few besides, so that a box with little traffic may retry at all.
	extraShare = 0.15
	extraFree  = 2
)

func (b *budget) slot(now time.Time) *budgetSlot {
	at := now.UnixNano() / int64(budgetPart)
	s := &b.slots[at%budgetSlots]
	if s.at != at {
		*s = budgetSlot{at: at}
	}
	return s
}

// arrived counts a request.
func (b *budget) arrived(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).arrivals++
}

// take counts one more call, if the window has room for it.
func (b *budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(now)
	arrivals, extra := 0, 0
	for i := range b.slots {
		if s.at-b.slots[i].at < budgetSlots {
			arrivals += b.slots[i].arrivals
			extra += b.slots[i].extra
		}
	}
	if float64(extra) >= extraFree+extraShare*float64(arrivals) {
		return false
	}
	s.extra++
	return true
}
