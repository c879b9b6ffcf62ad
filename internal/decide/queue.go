package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// waitQueue holds the waiting requests, sorted by rank and then by flight.order. Both never change while a request waits,
// so a sorted slice is enough.
type waitQueue struct {
	items    []*flight
	accounts []waitingAccount // The client accounts of items, sorted by rank and then by name.
}

func byOrder(a, b *flight) int {
	if n := cmp.Compare(a.Rank, b.Rank); n != 0 {
		return n
	}
	if n := a.order.Compare(b.order); n != 0 {
		return n
	}
	return cmp.Compare(a.ID, b.ID)
}

func (q *waitQueue) add(f *flight) {
	i, _ := slices.BinarySearchFunc(q.items, f, byOrder)
	q.items = slices.Insert(q.items, i, f)
	q.addAccount(f)
}

func (q *waitQueue) remove(f *flight) {
	i, ok := slices.BinarySearchFunc(q.items, f, byOrder)
	if ok {
		q.items = slices.Delete(q.items, i, i+1)
		q.removeAccount(f)
	}
}

// throughput measures how much work this box starts while requests wait, in engine seconds per second, by role. With
// n engines and no other box, the throughput is about n. With other boxes, it is the part of n that this box gets.
// It falls when engines are removed.
type throughput struct {
	engines     [2]float64 // The number of engines, by role.
	estimate    [2]float64 // The present estimate, in engine seconds per second; 0 before the first measurement.
	windowStart time.Time  // Start of the measurement; zero while no request waits.
	startedWork [2]float64 // Work started since windowStart, in engine seconds.
}

const (
	// throughputWindow is the shortest time over which the throughput is measured.
	throughputWindow = 400 * time.Millisecond
	// throughputBlend is the weight of a new measurement in the estimate. While no request waits, the
	// estimate approaches the number of engines instead, with the weight idleBlend on each update.
	throughputBlend = 0.5
	idleBlend       = 0.01
	// minThroughput is the lowest estimate. It lets the estimate recover after a time in which no request started.
	minThroughput = 0.05
)

func (p *throughput) setEngines(role EngineRole, engines int) { p.engines[role] = float64(engines) }

func (p *throughput) addStarted(f *flight) {
	for role := range p.startedWork {
		p.startedWork[role] += f.work[role].Seconds()
	}
}

// update is called after each change of the queue. While requests wait, it measures the throughput. Otherwise it moves
// the estimate towards the number of engines.
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

// timeAhead is how long it will take to start the waiting requests that go before f. Requests that yield to f do not
// count.
func (p *pool) timeAhead(f *flight) time.Duration {
	work := 0.0
	mean, several := p.queue.meanLoad(f.Rank)
	skipYielding := several && !f.yields(mean)
	for _, other := range p.queue.items {
		if byOrder(other, f) >= 0 {
			break
		}
		if skipYielding && other.Rank == f.Rank && other.yields(mean) {
			continue
		}
		work += other.work[p.scarceRole].Seconds()
	}
	return seconds(work / p.throughput.rate(p.scarceRole))
}

// maxShed is the most requests that one call of shedLate refuses.
const maxShed = 16

// shedLate refuses waiting requests as soon as not all of them can be on time. It goes through the queue in order and
// adds up the work for engines of the scarce role, until it finds a request that would start too late. Of this request
// and those of the same rank before it, it determines the client with the most work relative to its weight. Requests of
// higher ranks are not refused for it. It refuses the largest request of that client, and then repeats all this, at most
// maxShed times. Refusing the largest request keeps the most requests on time
// (Moore-Hodgson algorithm). Selecting a client first protects the few requests of one client from the bulk load of
// another.
//
// Example: there is one engine, and requests of 400, 10 and 10 ms wait in this order. The last two would be late
// because of the first. If the first is refused, two of the three are served in time. If requests were refused only
// when they are late themselves, only the first would be served in time.
func (c *Core) shedLate(p *pool) {
	for range maxShed {
		index := c.firstLateIndex(p)
		if index < 0 {
			return
		}
		lowest := p.queue.items[index].Rank
		first := slices.IndexFunc(p.queue.items, func(f *flight) bool { return f.Rank == lowest })
		f := largestOfBusiestClient(p.queue.items[first:index+1], p.scarceRole)
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

// largestOfBusiestClient determines the client whose requests need the most work of the given role, relative to its
// weight, and returns the largest request of that client. A request with CallerRetry is returned only if the client has no
// other. Requests that may be late do not count.
func largestOfBusiestClient(items []*flight, role EngineRole) *flight {
	total := map[string]float64{}
	busiestClient := ""
	for _, f := range items {
		if f.mayBeLate {
			continue
		}
		total[f.Client] += float64(f.work[role]) / f.weight()
		if t := total[f.Client]; busiestClient == "" || t > total[busiestClient] {
			busiestClient = f.Client
		}
	}
	var best *flight
	for _, f := range items {
		if f.mayBeLate || f.Client != busiestClient {
			continue
		}
		if best == nil || best.CallerRetry && !f.CallerRetry || best.CallerRetry == f.CallerRetry && f.work[role] > best.work[role] {
			best = f
		}
	}
	return best
}

// The limits of a core for which SetRetryLimits was not called. In each window, it may make retries for a fraction of
// its requests, and a fixed number of retries (freeRetries) in addition. This bounds the load on engines that fail.
const (
	retryShare  = 0.1
	freeRetries = 10
	retryWindow = 10 * time.Second
)

// remoteLoad is what this box knows of the waiting and starting requests of all boxes.
type remoteLoad struct {
	waiting int // Requests that wait on the other boxes.
	told    int // Callers that the other boxes told to retry.
	// starts are the times at which requests of all boxes were started in about the last startsWindow.
	starts []time.Time
}

const (
	startsWindow = time.Second
	maxStarts    = 8192
	// A waiting request with RefuseEarly is refused if its chance of starting in time is below minStartChance. In
	// 30 days of three small sites with 18,971 streams, 15,510 were served in time with 0.5, 15,339 with 0.8 and
	// 15,080 with 0.9. With 0.8, refused callers were told in half the time that this took with 0.5.
	minStartChance = 0.5
)

// addStart adds a start and removes the starts that are older than startsWindow. If the list is full, the start that was
// added first is removed.
func (o *remoteLoad) addStart(now, at time.Time) {
	o.prune(now)
	if len(o.starts) >= maxStarts {
		o.starts = slices.Delete(o.starts, 0, 1)
	}
	o.starts = append(o.starts, at)
}

// prune removes starts that are older than startsWindow from the front of the list. News of starts on other boxes
// arrives out of order by some milliseconds, so a few older starts can remain behind a newer one. rate does not count
// them.
func (o *remoteLoad) prune(now time.Time) {
	n := 0
	for n < len(o.starts) && now.Sub(o.starts[n]) > startsWindow {
		n++
	}
	o.starts = slices.Delete(o.starts, 0, n)
}

// rate is the number of requests of all boxes that started in the last startsWindow, per second. It is at least one
// per startsWindow.
func (o *remoteLoad) rate(now time.Time) float64 {
	n := 0
	for _, at := range o.starts {
		if now.Sub(at) <= startsWindow {
			n++
		}
	}
	return float64(max(1, n)) / startsWindow.Seconds()
}

// startChance is the probability that a waiting request of this box starts within the given time. It assumes that all
// waiting requests of all boxes are equally likely to be the next to start. local and remote are the numbers of requests
// that wait on this box and on the others, without those that the request goes before. If remote is 0, the result is 1.
//
// Example: 20 requests wait on all boxes, and 30 started in the last second. A waiting request then starts
// within 0.5 s with a probability of 1 - exp(-30 * 0.5 / 20) = 0.53.
func (o *remoteLoad) startChance(now time.Time, local, remote int, within time.Duration) float64 {
	if remote <= 0 {
		return 1
	}
	return 1 - math.Exp(-o.rate(now)*within.Seconds()/float64(remote+local))
}
