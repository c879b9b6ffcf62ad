package slots

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"
)

// waiter is a request that waits for a slot.
type waiter struct {
	Request
	arrived time.Time
	// seq numbers requests in the order in which they arrived.
	seq uint64
	// start is the start tag of the request in its flow.
	start float64
	late  bool
	// due is when the answer must be complete: on time for the on-time queue, before the caller gives up for the late
	// queue.
	due time.Time
	heapEntry
	class *class
	flow  *flow
}

func (w *waiter) heapTime() time.Time { return w.due }

// minWeight is the lowest weight that counts. Start tags lose their precision if one request adds too much to them.
const minWeight = 1e-6

func (w *waiter) weight() float64 {
	if !(w.Weight > 0) {
		return 1
	}
	return max(w.Weight, minWeight)
}

// maxFlows bounds the accounts of a class. It leaves room for an account of its own for each request that waits.
const maxFlows = maxWaiting

// queue has waiting requests, ordered by priority, then by start-time fair queueing between accounts, then by arrival.
type queue struct {
	// classes are the priorities with waiting requests, the highest priority first.
	classes []*class
	byDue   timeHeap[*waiter]
}

// class has the waiting requests of one priority. It exists only while requests of the priority wait, so the tags of
// its flows are comparable.
type class struct {
	priority int
	// virtual is the highest start tag that has been served.
	virtual float64
	flows   map[string]*flow
	n       int
}

// flow has the waiting requests of one account and priority, in order of arrival and of their start tags.
type flow struct {
	weight float64
	finish float64 // The finish tag of the newest request.
	items  []*waiter
}

// work is the waiting work of the flow relative to its weight.
func (f *flow) work() float64 { return float64(len(f.items)) / f.weight }

func (q *queue) len() int { return len(q.byDue) }

func (q *queue) class(priority int) (i int, found bool) {
	return slices.BinarySearchFunc(q.classes, priority, func(c *class, p int) int { return cmp.Compare(c.priority, p) })
}

// startTag returns the start tag that a new request of the account gets in class c.
func (c *class) startTag(account string) float64 {
	if f := c.flows[account]; f != nil {
		return max(c.virtual, f.finish)
	}
	return c.virtual
}

// ahead returns how many waiting requests would be served before r if r arrived now.
func (q *queue) ahead(r Request) int {
	n := 0
	for _, c := range q.classes {
		if c.priority > r.Priority {
			break
		}
		if c.priority < r.Priority {
			n += c.n
			continue
		}
		start := c.startTag(r.Account)
		for _, f := range c.flows {
			n += sort.Search(len(f.items), func(i int) bool { return f.items[i].start > start })
		}
	}
	return n
}

// aheadOf returns how many requests are served before w, which waits in q.
func (q *queue) aheadOf(w *waiter) int {
	n := 0
	for _, c := range q.classes {
		if c.priority < w.Priority {
			n += c.n
		}
	}
	for _, f := range w.class.flows {
		n += sort.Search(len(f.items), func(i int) bool { return !before(f.items[i], w) })
	}
	return n
}

func before(a, b *waiter) bool {
	return a.start < b.start || a.start == b.start && a.seq < b.seq
}

func (q *queue) push(w *waiter) {
	i, found := q.class(w.Priority)
	if !found {
		q.classes = slices.Insert(q.classes, i, &class{priority: w.Priority, flows: map[string]*flow{}})
	}
	c := q.classes[i]
	w.start = c.startTag(w.Account)
	f := c.flows[w.Account]
	if f == nil {
		if len(c.flows) >= maxFlows {
			maps.DeleteFunc(c.flows, func(_ string, f *flow) bool { return len(f.items) == 0 })
		}
		f = &flow{}
		c.flows[w.Account] = f
	}
	f.weight = w.weight()
	f.finish = w.start + 1/f.weight
	f.items = append(f.items, w)
	c.n++
	w.class, w.flow = c, f
	q.byDue.push(w)
}

// remove takes w out of the queue. If w is the newest request of its account, the account's next request gets the
// start tag of w.
func (q *queue) remove(w *waiter) {
	c, f := w.class, w.flow
	i := sort.Search(len(f.items), func(i int) bool { return f.items[i].start >= w.start })
	for f.items[i] != w {
		i++ // Tags are equal only if the weight is too large for the precision of a tag.
	}
	if i == len(f.items)-1 {
		f.finish = w.start
	}
	if i == 0 {
		f.items[0] = nil
		f.items = f.items[1:]
	} else {
		f.items = slices.Delete(f.items, i, i+1)
	}
	c.n--
	q.byDue.remove(w)
	if c.n == 0 {
		i, _ := q.class(c.priority)
		q.classes = slices.Delete(q.classes, i, i+1)
	}
}

// serve takes w out of the queue because it got a slot. The account's next request waits accordingly longer.
func (q *queue) serve(w *waiter) {
	c, f := w.class, w.flow
	finish := f.finish
	q.remove(w)
	f.finish = finish
	c.virtual = max(c.virtual, w.start)
	// A flow without waiting requests is needed only while its finish tag is ahead of the virtual time.
	for account, f := range c.flows {
		if len(f.items) == 0 && f.finish <= c.virtual {
			delete(c.flows, account)
		}
	}
}

// maxBlocked is how many requests of a flow are examined for one that may use a free slot. Only requests that exclude
// the endpoints with free slots are passed over, which are few.
const maxBlocked = 16

// first returns the first request in order for which fits returns true.
func (q *queue) first(fits func(*waiter) bool) *waiter {
	for _, c := range q.classes {
		var best *waiter
		for _, f := range c.flows {
			for _, w := range f.items[:min(len(f.items), maxBlocked)] {
				if best != nil && !before(w, best) {
					break
				}
				if fits(w) {
					best = w
					break
				}
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// victim returns the request to refuse if the queue is too long: in the lowest priority, the newest request of the
// account with the most waiting work per weight. The queue must not be empty.
func (q *queue) victim() *waiter {
	var most *flow
	for _, f := range q.classes[len(q.classes)-1].flows {
		if len(f.items) == 0 {
			continue
		}
		if most == nil || f.work() > most.work() || f.work() == most.work() && f.newest().seq > most.newest().seq {
			most = f
		}
	}
	return most.newest()
}

func (f *flow) newest() *waiter { return f.items[len(f.items)-1] }
