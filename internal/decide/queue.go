package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waitQueue holds the waiting requests, ordered by latest start. The latest start is a
// fixed time for each request, so the order does not change as time passes and a sorted
// slice is enough.
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

// throughput measures how many engine seconds of work per second this box starts in each
// role while requests wait. With n engines and no other box that is about n; with other
// boxes it is this box's share, and it falls when engines are removed.
type throughput struct {
	engines     [2]float64 // The number of engines, by role.
	estimate    [2]float64 // The present estimate; 0 before the first window.
	windowStart time.Time  // Start of the window; zero while nothing waits.
	startedWork [2]float64 // Work started in the window, in engine seconds.
}

const (
	// throughputWindow is how long requests must have been waiting for a measurement.
	throughputWindow = 400 * time.Millisecond
	// throughputBlend is the weight of a new measurement. idleBlend is that of the number
	// of engines on each update while nothing waits.
	throughputBlend = 0.5
	idleBlend       = 0.01
	// minThroughput keeps an estimate usable after a time in which nothing started.
	minThroughput = 0.05
)

func (p *throughput) setEngines(role EngineRole, engines int) { p.engines[role] = float64(engines) }

func (p *throughput) addStarted(f *flight) {
	for role := range p.startedWork {
		p.startedWork[role] += f.work[role].Seconds()
	}
}

// update is called after each change of the queue.
func (p *throughput) update(now time.Time, waiting bool) {
	switch d := now.Sub(p.windowStart); {
	case !waiting:
		p.windowStart, p.startedWork = time.Time{}, [2]float64{}
		for role := range p.estimate {
			current := p.rate(EngineRole(role))
			p.estimate[role] = current + idleBlend*(p.engines[role]-current)
		}
	case p.windowStart.IsZero():
		p.windowStart, p.startedWork = now, [2]float64{}
	case d >= throughputWindow:
		for role := range p.estimate {
			current := p.rate(EngineRole(role))
			p.estimate[role] = current + throughputBlend*(p.startedWork[role]/d.Seconds()-current)
		}
		p.windowStart, p.startedWork = now, [2]float64{}
	}
}

func (p *throughput) rate(role EngineRole) float64 {
	if p.estimate[role] == 0 {
		return max(minThroughput, p.engines[role])
	}
	return max(minThroughput, min(p.engines[role], p.estimate[role]))
}

// timeAhead is how long the requests that start before f will take.
func (p *pool) timeAhead(f *flight) time.Duration {
	work := 0.0
	for _, other := range p.queue.items {
		if byOrder(other, f) >= 0 {
			break
		}
		work += other.work[p.scarceRole].Seconds()
	}
	return seconds(work / p.throughput.rate(p.scarceRole))
}

// maxShed bounds the requests refused in one call of shedLate.
const maxShed = 16

// shedLate refuses waiting requests as soon as not all of them can be on time. It goes
// through the queue in order, adding up the work on the scarce role, until a request
// would start too late. Then it refuses the largest request up to there of the client with
// the most work there: this keeps the most requests on time (Moore-Hodgson algorithm), and
// the bulk load of one client cannot displace the few requests of another.
//
// Example: one engine and three waiting requests of 400, 10 and 10 ms, of which the last
// two would be late behind the first. Refusing the first serves two of three; refusing
// each as it becomes late would serve one.
func (c *Core) shedLate(p *pool) {
	for range maxShed {
		index := c.firstLateIndex(p)
		if index < 0 {
			return
		}
		f := largestOfBusiestClient(p.queue.items[:index+1], p.scarceRole)
		c.endTooLate(f, "more is waiting for "+p.scarceRole.String()+" engines than can be on time, and it was the largest of the client with most waiting")
	}
}

// firstLateIndex is the index of the first waiting request that would start too late; -1 if none.
func (c *Core) firstLateIndex(p *pool) int {
	if len(p.queue.items) == 0 {
		return -1
	}
	at := c.now
	if p.scarceRole == Prefill {
		at = at.Add(c.shortestQueue(p.queue.items[0]))
	}
	rate := p.throughput.rate(p.scarceRole)
	for i, f := range p.queue.items {
		if !f.mayBeLate && at.After(f.latestStart) {
			return i
		}
		at = at.Add(seconds(f.work[p.scarceRole].Seconds() / rate))
	}
	return -1
}

// largestOfBusiestClient returns the largest request of the client with the most work.
func largestOfBusiestClient(items []*flight, role EngineRole) *flight {
	total := map[string]time.Duration{}
	busiestClient := ""
	for _, f := range items {
		if f.mayBeLate {
			continue
		}
		total[f.Client] += f.work[role]
		if t := total[f.Client]; busiestClient == "" || t > total[busiestClient] {
			busiestClient = f.Client
		}
	}
	var best *flight
	for _, f := range items {
		if !f.mayBeLate && f.Client == busiestClient && (best == nil || f.work[role] > best.work[role]) {
			best = f
		}
	}
	return best
}

// A core without platform limits may retry a share of its requests plus some free retries
// per window, so that a failing fleet is not loaded further by retries.
const (
	retryShare  = 0.1
	freeRetries = 10
	retryWindow = 10 * time.Second
)

// remoteLoad is what other boxes publish about their requests.
type remoteLoad struct {
	waiting int
	// starts are the start times of requests, including this box's, none older than startsWindow.
	starts []time.Time
}

const (
	startsWindow = time.Second
	maxStarts    = 8192
	// minStartChance is the chance of starting in time below which a waiting request is refused.
	// At 0.5, 0.8 and 0.9, 30 days of three small sites serve 15,510, 15,339 and 15,080 of
	// 18,971 streams in time; at 0.8 the refused ones are told in half the time.
	minStartChance = 0.5
)

func (o *remoteLoad) addStart(at time.Time) {
	if len(o.starts) < maxStarts {
		o.starts = append(o.starts, at)
	}
}

// startChance is the probability that a request starts within a time. All waiting requests
// are equally likely to get free capacity. Without figures of the other boxes it is 1.
//
// Example: 20 requests wait on all boxes, and 30 started in the last second. One of them
// starts within 0.5 s with a probability of 1 - exp(-30 * 0.5 / 20) = 0.53.
func (o *remoteLoad) startChance(now time.Time, local int, within time.Duration) float64 {
	if o.waiting == 0 {
		return 1
	}
	o.starts = slices.DeleteFunc(o.starts, func(at time.Time) bool { return now.Sub(at) > startsWindow })
	rate := float64(max(1, len(o.starts))) / startsWindow.Seconds()
	return 1 - math.Exp(-rate*within.Seconds()/float64(o.waiting+local))
}
