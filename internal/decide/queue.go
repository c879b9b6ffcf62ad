package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waitQueue holds requests that wait, the one whose latest start comes first in
// front. Slack is measured against a fixed instant for each request, so the
// order does not change as time passes and a sorted slice is enough.
type waitQueue struct{ items []*flight }

func byOrder(a, b *flight) int {
	if n := a.order.Compare(b.order); n != 0 {
		return n
	}
	return cmp.Compare(a.ID, b.ID)
}

func (q *waitQueue) add(f *flight) {
	i, _ := slices.BinarySearchFunc(q.items, f, byOrder)
	q.items = slices.Insert(q.items, i, f)
}

func (q *waitQueue) remove(f *flight) {
	i, ok := slices.BinarySearchFunc(q.items, f, byOrder)
	if ok {
		q.items = slices.Delete(q.items, i, i+1)
	}
}

// pace measures how many engine seconds of work this box starts in a second while
// requests wait, in each role. Alone before n engines that is about n; with other
// boxes before the same engines it is this box's share, and it falls when engines go.
type pace struct {
	most  [2]float64 // The number of engines, by role.
	now   [2]float64 // The present estimate; 0 before the first window.
	since time.Time  // When the window began; zero while nothing waits.
	work  [2]float64 // Started in the window, in seconds.
}

const (
	// paceWindow is how long requests must have waited for a measurement.
	paceWindow = 400 * time.Millisecond
	// paceBlend is the weight of a new measurement, and paceTrust that of the
	// number of engines whenever nothing waits.
	paceBlend = 0.5
	paceTrust = 0.01
	// leastPace keeps an estimate from a standstill usable.
	leastPace = 0.05
)

func (p *pace) limit(role EngineRole, engines int) { p.most[role] = float64(engines) }

func (p *pace) started(f *flight) {
	for role := range p.work {
		p.work[role] += f.work[role].Seconds()
	}
}

// look is called after each change of the queue.
func (p *pace) look(now time.Time, waiting bool) {
	switch d := now.Sub(p.since); {
	case !waiting:
		p.since, p.work = time.Time{}, [2]float64{}
		for role := range p.now {
			had := p.get(EngineRole(role))
			p.now[role] = had + paceTrust*(p.most[role]-had)
		}
	case p.since.IsZero():
		p.since, p.work = now, [2]float64{}
	case d >= paceWindow:
		for role := range p.now {
			had := p.get(EngineRole(role))
			p.now[role] = had + paceBlend*(p.work[role]/d.Seconds()-had)
		}
		p.since, p.work = now, [2]float64{}
	}
}

func (p *pace) get(role EngineRole) float64 {
	if p.now[role] == 0 {
		return max(leastPace, p.most[role])
	}
	return max(leastPace, min(p.most[role], p.now[role]))
}

// ahead is how long the requests that start before f will take.
func (p *pool) ahead(f *flight) time.Duration {
	work := 0.0
	for _, g := range p.queue.items {
		if byOrder(g, f) >= 0 {
			break
		}
		work += g.work[p.scarce].Seconds()
	}
	return seconds(work / p.pace.get(p.scarce))
}

// maxRelieved bounds the requests refused in one go.
const maxRelieved = 16

// relieve refuses waiting requests that are too many to be on time, as soon as
// that can be told. Work is that on the scarce role. The queue is gone through in its order, adding up the work; at
// the first request that would start too late something before it or itself must
// go. That is the largest one of the client that has most work there: this keeps
// the most requests on time (the rule of Moore and Hodgson), and one client's
// bulk cannot push out another's few.
//
// Example: one engine, three waiting requests of 400, 10 and 10 ms, of which the
// last two would be late behind the first. Refusing the first serves two of three;
// refusing each as it becomes late would serve one.
func (c *Core) relieve(p *pool) {
	for range maxRelieved {
		late := c.firstLate(p)
		if late < 0 {
			return
		}
		f := largestOfGreatest(p.queue.items[:late+1], p.scarce)
		c.endLate(f, "more is waiting for "+p.scarce.String()+" engines than can be on time, and it was the largest of the client with most waiting")
	}
}

// firstLate finds the first waiting request that would start too late; -1 if none.
func (c *Core) firstLate(p *pool) int {
	if len(p.queue.items) == 0 {
		return -1
	}
	at := c.now
	if p.scarce == Prefill {
		at = at.Add(c.shortestQueue(p.queue.items[0]))
	}
	rate := p.pace.get(p.scarce)
	for i, f := range p.queue.items {
		if !f.patient && at.After(f.latestStart) {
			return i
		}
		at = at.Add(seconds(f.work[p.scarce].Seconds() / rate))
	}
	return -1
}

// largestOfGreatest picks the largest request of the client with most work.
func largestOfGreatest(items []*flight, role EngineRole) *flight {
	total := map[string]time.Duration{}
	greatest := ""
	for _, f := range items {
		if f.patient {
			continue
		}
		total[f.Client] += f.work[role]
		if t := total[f.Client]; greatest == "" || t > total[greatest] {
			greatest = f.Client
		}
	}
	var best *flight
	for _, f := range items {
		if !f.patient && f.Client == greatest && (best == nil || f.work[role] > best.work[role]) {
			best = f
		}
	}
	return best
}

// The retries of a core alone are a share of its requests, and some free ones in a window, so
// that a failing fleet is not loaded further by its own retries.
const (
	retryShare  = 0.1
	retryFree   = 10
	retryWindow = 10 * time.Second
)

// others is what is heard of the other boxes' requests.
type others struct {
	waiting int
	// starts are when requests started, of this box too, none older than startsWindow.
	starts []time.Time
}

const (
	startsWindow = time.Second
	mostStarts   = 8192
	// leastChance is the chance to start in time below which a request that waits is refused.
	// Streams served in time on 30 days of three small sites at 0.5, 0.8 and 0.9: 15,510,
	// 15,339 and 15,080 of 18,971; those refused are told so half as late at 0.8.
	leastChance = 0.5
)

func (o *others) started(at time.Time) {
	if len(o.starts) < mostStarts {
		o.starts = append(o.starts, at)
	}
}

// chance is the probability that a request starts within a time, among all that wait: room
// goes to any of them as it comes. Without word of the others it is 1.
//
// Example: 20 requests wait on all boxes, and 30 started in the last second. One of them has
// started within 0.5 s with a chance of 1 - exp(-30 * 0.5 / 20) = 0.53.
func (o *others) chance(now time.Time, mine int, within time.Duration) float64 {
	if o.waiting == 0 {
		return 1
	}
	o.starts = slices.DeleteFunc(o.starts, func(at time.Time) bool { return now.Sub(at) > startsWindow })
	rate := float64(max(1, len(o.starts))) / startsWindow.Seconds()
	return 1 - math.Exp(-rate*within.Seconds()/float64(o.waiting+mine))
}
