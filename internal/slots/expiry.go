package slots

import (
	"container/heap"
	"time"
)

// grant is a slot that was granted to a request and not released yet.
type grant struct {
	id       string
	account  string
	endpoint *endpoint
	at       time.Time
	// expires is when the grant no longer counts as in use although it was not released.
	expires time.Time
	// ends is when the grant is forgotten. Between expires and ends it is overdue: it takes no slot, and its result still
	// counts in the endpoint's statistics.
	ends    time.Time
	overdue bool
	// extra is the additional latency between the halls of the box and of the endpoint.
	extra    time.Duration
	decision Decision
	index    int // The index in grantHeap.
}

// grantHeap has the grants in use, the one that expires first at the top.
type grantHeap []*grant

func (h grantHeap) Len() int           { return len(h) }
func (h grantHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h grantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *grantHeap) Push(x any) {
	g := x.(*grant)
	g.index = len(*h)
	*h = append(*h, g)
}
func (h *grantHeap) Pop() any {
	old := *h
	g := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return g
}

// timeHeap has times, the earliest at the top.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(x any)        { *h = append(*h, x.(time.Time)) }
func (h *timeHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

func (h *timeHeap) push(t time.Time) { heap.Push(h, t) }
func (h *timeHeap) pop() time.Time   { return heap.Pop(h).(time.Time) }

// refusals remembers the decisions on refused requests for a short time, so that a request that is sent twice gets the
// same answer twice.
type refusals struct {
	byID  map[string]Decision
	order []refusal // In order of time.
}

type refusal struct {
	id string
	at time.Time
}

const (
	// refusalMemory covers a request that is sent again after its connection failed.
	refusalMemory = time.Second
	maxRefusals   = 4096
)

func (f *refusals) add(now time.Time, id string, d Decision) {
	if len(f.order) >= maxRefusals {
		delete(f.byID, f.order[0].id)
		f.order = f.order[1:]
	}
	f.byID[id] = d
	f.order = append(f.order, refusal{id, now})
}

func (f *refusals) advance(now time.Time) {
	for len(f.order) > 0 && now.Sub(f.order[0].at) >= refusalMemory {
		delete(f.byID, f.order[0].id)
		f.order = f.order[1:]
	}
}
