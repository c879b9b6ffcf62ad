package decide

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file takes in arriving requests, keeps them in the queue, and starts or refuses waiting requests.

func (c *Core) handleSubmit(r Request) {
	c.budget.CountRequest(c.now)
	f := &flight{Request: r, pool: c.pools[r.Pool], arrived: c.now, mayBeLate: r.ServeLate, yieldsToOnTime: r.ServeLate}
	f.PromptTokens = max(1, f.PromptTokens)
	c.flights[r.ID] = f
	if f.pool == nil {
		c.end(f, outcome.UnknownModel, "")
		return
	}
	if !c.checkCapacity(f) || c.endWithoutBuild(f) {
		return
	}
	c.estimateWork(f)
	f.pool.observe(c.now, f.PromptTokens, f.uncachedTokens, f.expectedOutput(), f.BetweenTokens)
	f.order = f.latestStart.Add(time.Duration(f.Priority) * time.Second)
	if f.Continues {
		f.resumeLate(c.now)
	}
	if f.Policy != nil && !c.admit(f) {
		return
	}
	if f.yieldsToOnTime {
		f.order = f.order.Add(lateOrderDelay)
	}
	if f.CallerRetry {
		f.order = f.arrived
		c.told.RemoveFirst()
	}
	f.pool.urgency.addArrival(f)
	if !f.mayBeLate && c.now.Add(c.shortestQueue(f)).After(f.latestStart) {
		c.endTooLate(f, "every prefill engine has more to read already than the target allows")
		return
	}
	c.enqueue(f)
}

// defaultRetryAfter is the retry delay that a refused caller is told if the cause is temporary, but it is unknown for
// how long.
const defaultRetryAfter = time.Second

// checkCapacity refuses a request that is too large for every decode engine of its region. It also refuses a request
// whose region lacks engines of a role that the request needs. It reports whether the request may go on.
func (c *Core) checkCapacity(f *flight) bool {
	reg := f.pool.regionNamed(f.Region)
	switch {
	case reg.stayingPrefills == 0 && f.pool.SelfPrefillRatio == 0:
		c.endWithRetryAfter(f, outcome.NoPrefill, defaultRetryAfter)
	case reg.maxKV == 0:
		c.endWithRetryAfter(f, outcome.NoDecode, defaultRetryAfter)
	case f.kvNeed() > reg.maxKV:
		c.end(f, outcome.PromptTooLong, fmt.Sprintf("it needs %d tokens of memory and the largest engine has %d", f.kvNeed(), reg.maxKV))
	default:
		return true
	}
	return false
}

// estimateWork computes the least engine time that the request uses (work). It also computes the latest time at which
// the prefill can start and still meet the first-token target (latestStart). Both assume that no other request runs.
func (c *Core) estimateWork(f *flight) {
	leastPrefill := time.Duration(1<<63 - 1)
	f.uncachedTokens = f.PromptTokens
	for _, e := range c.samplePrefills(f.pool, f) {
		f.uncachedTokens = min(f.uncachedTokens, f.PromptTokens-e.cachedTokens(f))
		leastPrefill = min(leastPrefill, e.prefillTime(f.PromptTokens-e.cachedTokens(f)))
	}
	if f.pool.SelfPrefillRatio > 0 && len(c.sampledPrefills) == 0 {
		for _, e := range f.pool.regionNamed(f.Region).decode {
			leastPrefill = min(leastPrefill, time.Duration(float64(e.prefillTime(f.PromptTokens))/f.pool.SelfPrefillRatio))
		}
	}
	transfer := f.pool.minTransferTime(f.PromptTokens)
	f.work[Prefill] = max(leastPrefill, transfer)
	f.work[Decode] = f.pool.decodeWork(f)
	f.latestStart = f.arrived.Add(f.FirstToken - leastPrefill - f.pool.speed.PrefillDelay - transfer - f.pool.beginTime(f.pool.minStep))
}

// shortestQueue is the shortest predicted wait of the request for an engine that prefills its prompt.
func (c *Core) shortestQueue(f *flight) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, e := range c.samplePrefills(f.pool, f) {
		inProgress, urgentQueue := f.pool.urgency.wait(f, e.queueTime(c.now))
		least = min(least, inProgress+urgentQueue)
	}
	if wait, ok := f.pool.selfPrefillWait(f, c.now); ok {
		least = min(least, wait)
	}
	return least
}

const (
	// minRetryAfter is the shortest retry delay that a refused caller is told. maxRetryAfter bounds the delay before
	// it is spread.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	// retrySpread is by how much a retry delay is changed at random, as a fraction. Callers that are refused at the
	// same time then do not all retry at the same time.
	retrySpread = 0.25
)

// retryAfter is the retry delay that a refused caller is told, and counts the caller as one who will retry. The delay is
// the time until all waiting requests and those of callers that were told to retry have started, at the rate of starts of
// all boxes in the last second.
//
// Example: 20 requests wait on all boxes, 10 callers of all boxes were told to retry, and 15 requests started in the last
// second. The caller is told a delay of 1.5 to 2.5 s.
func (c *Core) retryAfter() time.Duration {
	ahead := float64(c.Waiting() + c.remote.waiting + c.Told(c.now) + c.remote.told)
	// The lower bound is raised before the delay is spread, so that the shortest delays are spread too.
	mean := max(minRetryAfter.Seconds()/(1-retrySpread), min(ahead/c.remote.rate(c.now), maxRetryAfter.Seconds()))
	delay := seconds(mean * (1 + retrySpread*(2*c.rng.Float64()-1)))
	c.told.Add(c.now.Add(delay))
	return delay
}

// Told is how many callers this box told to retry, without those that should have retried some time ago.
func (c *Core) Told(now time.Time) int {
	c.told.Prune(now)
	return c.told.Len()
}

func (c *Core) admit(f *flight) bool {
	v := f.Policy.Admit(&f.Request, c.view(f))
	if v.Text != "" || v.Fault != "" || v.Refuse || v.Wait {
		c.emit(PolicyVerdict{f.ID, v})
	}
	if v.Refuse {
		c.endWithRetryAfter(f, outcome.PolicyRefused, defaultRetryAfter)
		return false
	}
	f.mayBeLate = f.mayBeLate || v.Wait
	f.yieldsToOnTime = f.yieldsToOnTime || v.Wait
	return true
}

func (c *Core) view(f *flight) View {
	v := View{Waiting: len(f.pool.queue.items), PrefillQueue: c.shortestQueue(f)}
	policy := f.Policy
	f.Policy = nil // Predict with the built-in rules only.
	chosen, _, ok := c.choose(f.pool, f, c.now)
	f.Policy = policy
	for _, e := range c.sampledDecodes {
		v.DecodeFreeKV = max(v.DecodeFreeKV, e.freeKV())
	}
	if ok {
		v.PredictedTime = chosen.FirstToken
	}
	return v
}

// enqueue adds the request to the queue, and then tries to start requests in the order of the queue. So a new request
// never overtakes a more urgent request. If the queue is full, a new request is refused. A stream that lost its
// connection is queued even then, because otherwise its answer would be cut off.
func (c *Core) enqueue(f *flight) {
	p := f.pool
	f.noteInactive()
	if len(p.queue.items) >= c.maxWaiting && f.connectionLostAt.IsZero() {
		c.endWithRetryAfter(f, outcome.QueueFull, c.retryAfter())
		return
	}
	f.stage = waiting
	p.queue.add(f)
	c.drainQueue(p)
	c.shedLate(p)
	if f.stage != waiting || c.flights[f.ID] == nil {
		return
	}
	c.emit(Waiting{f.ID, f.waitReason(), View{Waiting: len(p.queue.items)}})
}

// waitReason is NoDecode if the last attempt to place the request found decode engines, but none of them had enough
// free memory and was fast enough. Otherwise it is NoPrefill.
func (f *flight) waitReason() outcome.Reason {
	if f.lastChoice != nil && f.lastChoice.Excluded.NoRoom+f.lastChoice.Excluded.TooSlow > 0 && f.lastChoice.Compared == 0 {
		return outcome.NoDecode
	}
	return outcome.NoPrefill
}

// drainQueue starts waiting requests in the order of nextToPlace. It refuses requests that can no longer meet their target. If a
// request cannot be started now, drainQueue tries a few more, so that a large request does not block small ones.
func (c *Core) drainQueue(p *pool) {
	if p == nil {
		return
	}
	tried := 0
	rest := append(c.toPlace[:0], p.queue.items...)
	c.toPlace = rest
	for len(rest) > 0 && tried < maxPlacementTries {
		i := c.nextToPlace(p, rest)
		f := rest[i]
		copy(rest[1:], rest[:i]) // Requests that were passed over stay in order.
		rest = rest[1:]
		f.lastChoice, f.missesTarget = nil, false
		if c.endWithoutBuild(f) {
			continue
		}
		if c.expired(f) {
			c.endWithRetryAfter(f, outcome.WaitExpired, c.retryAfter())
			continue
		}
		if wait := c.allThrottledFor(f); wait > 0 && c.now.Add(wait).After(f.startDeadline()) {
			c.endWithRetryAfter(f, outcome.EndpointsThrottled, wait)
			continue
		}
		tried++
		switch {
		case c.tryPlace(f):
			p.queue.remove(f)
		case f.missesTarget:
			c.endTooLate(f, "the best pair of engines would be too slow")
		}
	}
	clear(c.toPlace) // Ended requests must not be kept in memory.
	p.updateScarceRole(tried)
	p.throughput.update(c.now, len(p.queue.items) > 0)
}

// updateScarceRole sets the engine role that most requests at the front of the queue wait for. The front is as many
// requests as drainQueue tried to place.
func (p *pool) updateScarceRole(tried int) {
	n := 0
	considered := min(tried, len(p.queue.items))
	for _, f := range p.queue.items[:considered] {
		if f.waitReason() == outcome.NoDecode {
			n++
		}
	}
	if considered > 0 {
		p.scarceRole = Prefill
		if 2*n > considered {
			p.scarceRole = Decode
		}
	}
}

func (f *flight) maxWait() time.Duration {
	if f.MaxWait > 0 {
		return f.MaxWait
	}
	return defaultMaxWait
}

// refuseUnlikely refuses waiting requests with RefuseEarly that are not expected to start in time. A caller that
// is told sooner can sooner do something else.
func (c *Core) refuseUnlikely(p *pool) {
	for _, f := range slices.Clone(p.queue.items) {
		if !f.RefuseEarly || f.mayBeLate {
			continue
		}
		if c.now.Add(p.timeAhead(f)).After(f.latestStart) {
			c.endTooLate(f, "more urgent requests that wait take longer than its target allows")
			continue
		}
		localBehind, remoteBehind := f.waitingBehind()
		if c.remote.startChance(c.now, len(p.queue.items)-localBehind, c.remote.waiting-remoteBehind, f.latestStart.Sub(c.now)) < minStartChance {
			c.endTooLate(f, "too many wait on all boxes for it to start in time")
		}
	}
}

// startDeadline is the time at which a waiting request is given up. A stream that lost its connection may wait for
// maxWait after the loss. A request that may be late may wait for maxWait after its arrival. Any other request may
// wait until latestStart.
func (f *flight) startDeadline() time.Time {
	switch {
	case !f.connectionLostAt.IsZero():
		return f.connectionLostAt.Add(f.maxWait())
	case f.mayBeLate:
		return f.arrived.Add(f.maxWait())
	}
	return f.latestStart
}

func (c *Core) expired(f *flight) bool { return c.now.After(f.startDeadline()) }
