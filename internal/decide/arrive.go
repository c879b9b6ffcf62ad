package decide

import (
	"fmt"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file takes requests in: from arrival to the queue, and out of it again.

func (c *Core) arrive(r Request) {
	c.budget.Arrived(c.now)
	f := &flight{Request: r, pool: c.pools[r.Pool], arrived: c.now, patient: r.ServeLate, yields: r.ServeLate}
	f.PromptTokens = max(1, f.PromptTokens)
	c.flights[r.ID] = f
	if f.pool == nil {
		c.end(f, outcome.UnknownModel, "")
		return
	}
	if !c.fits(f) {
		return
	}
	c.setWork(f)
	f.pool.saw(c.now, f.PromptTokens, f.readTokens, f.expected(), f.BetweenTokens)
	f.order = f.latestStart.Add(time.Duration(f.Priority) * time.Second)
	if f.Policy != nil && !c.admit(f) {
		return
	}
	if f.yields {
		f.order = f.order.Add(patientDelay)
	}
	if f.CameBack {
		f.order = f.arrived
	}
	f.pool.urgency.arrived(f)
	if !f.patient && c.now.Add(c.shortestQueue(f)).After(f.latestStart) {
		c.endLate(f, "every prefill engine has more to read already than the target allows")
		return
	}
	c.wait(f)
}

// comeBack is when a caller may try again where the reason may pass but nothing
// tells when.
const comeBack = time.Second

// fits refuses a request that no engine of the pool could ever hold, or that
// has no engine in its region at all.
func (c *Core) fits(f *flight) bool {
	g := f.pool.in(f.Region)
	switch {
	case g.prefills == 0 && f.pool.SelfRead == 0:
		c.endRetry(f, outcome.NoPrefill, comeBack)
	case g.mostKV == 0:
		c.endRetry(f, outcome.NoDecode, comeBack)
	case f.need() > g.mostKV:
		c.end(f, outcome.PromptTooLong, fmt.Sprintf("it needs %d tokens of memory and the largest engine has %d", f.need(), g.mostKV))
	default:
		return true
	}
	return false
}

// setWork works out the least work of the request, and when its prompt must start
// to be read at the latest, with nothing else running.
func (c *Core) setWork(f *flight) {
	read := time.Duration(1<<63 - 1)
	f.readTokens = f.PromptTokens
	for _, e := range c.lookAt(f.pool, f) {
		f.readTokens = min(f.readTokens, f.PromptTokens-e.cachedTokens(f))
		read = min(read, e.readTime(f.PromptTokens-e.cachedTokens(f)))
	}
	if f.pool.SelfRead > 0 && len(c.prefills) == 0 {
		for _, e := range f.pool.in(f.Region).decode {
			read = min(read, time.Duration(float64(e.readTime(f.PromptTokens))/f.pool.SelfRead))
		}
	}
	transfer := f.pool.idleTransfer(f.PromptTokens)
	f.work[Prefill] = max(read, transfer)
	f.work[Decode] = f.pool.decodeWork(f)
	f.latestStart = f.arrived.Add(f.FirstToken - read - f.pool.speed.ReadDelay - transfer - f.pool.beginTime(f.pool.bestStep))
}

func (c *Core) shortestQueue(f *flight) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, e := range c.lookAt(f.pool, f) {
		reading, ahead := f.pool.urgency.wait(f, e.queueTime(c.now))
		least = min(least, reading+ahead)
	}
	if wait, ok := f.pool.selfReadSoonest(f, c.now); ok {
		least = min(least, wait)
	}
	return least
}

// retryAfter is how long the work ahead will take, at least a second, so that a
// refused caller comes back when it has a chance.
func (c *Core) retryAfter(f *flight) time.Duration {
	return max(time.Second, f.pool.ahead(f)+c.shortestQueue(f))
}

func (c *Core) admit(f *flight) bool {
	v := f.Policy.Admit(&f.Request, c.view(f))
	if v.Text != "" || v.Fault != "" || v.Refuse || v.Wait {
		c.emit(Ruled{f.ID, v})
	}
	if v.Refuse {
		c.endRetry(f, outcome.PolicyRefused, comeBack)
		return false
	}
	f.patient = f.patient || v.Wait
	f.yields = f.yields || v.Wait
	return true
}

func (c *Core) view(f *flight) View {
	v := View{Waiting: len(f.pool.queue.items), PrefillQueue: c.shortestQueue(f)}
	policy := f.Policy
	f.Policy = nil // The prediction is the built-in one.
	q, _, ok := c.choose(f.pool, f, c.now)
	f.Policy = policy
	for _, e := range c.decodes {
		v.DecodeFreeKV = max(v.DecodeFreeKV, e.freeKV())
	}
	if ok {
		v.PredictedTime = q.First
	}
	return v
}

// wait puts the request in the queue and at once tries to start what stands
// first, so that a new request never passes a more urgent one. The queue's length
// bounds new requests only: it would cut a stream off that has begun.
func (c *Core) wait(f *flight) {
	p := f.pool
	if len(p.queue.items) >= c.maxWait && f.brokeAt.IsZero() {
		c.endRetry(f, outcome.QueueFull, c.retryAfter(f))
		return
	}
	f.stage = waiting
	p.queue.add(f)
	c.drainQueue(p)
	c.relieve(p)
	if f.stage != waiting || c.flights[f.ID] == nil {
		return
	}
	c.emit(Waiting{f.ID, f.waitReason(), View{Waiting: len(p.queue.items)}})
}

// waitReason says which role the request waits for.
func (f *flight) waitReason() outcome.Reason {
	if f.lastCh != nil && f.lastCh.Passed.NoRoom+f.lastCh.Passed.TooSlow > 0 && f.lastCh.Compared == 0 {
		return outcome.NoDecode
	}
	return outcome.NoPrefill
}

// drainQueue starts waiting requests, most urgent first, and refuses those that
// can no longer meet their target. A few are tried past one that does not fit,
// so that a large request does not hold up small ones.
func (c *Core) drainQueue(p *pool) {
	if p == nil {
		return
	}
	tried := 0
	for i := 0; i < len(p.queue.items) && tried < queueTries; {
		f := p.queue.items[i]
		f.lastCh, f.late = nil, false
		if c.expired(f) {
			c.endRetry(f, outcome.WaitExpired, c.retryAfter(f))
			continue
		}
		if wait := c.closedFor(f); wait > 0 && c.now.Add(wait).After(f.lastStart()) {
			c.endRetry(f, outcome.EndpointsThrottled, wait)
			continue
		}
		tried++
		switch {
		case c.tryPlace(f):
			p.queue.items = append(p.queue.items[:i], p.queue.items[i+1:]...)
		case f.late:
			c.endLate(f, "the best pair of engines would be too slow")
		default:
			i++
		}
	}
	p.findScarce(tried)
	p.pace.look(c.now, len(p.queue.items) > 0)
}

// findScarce notes which role the first waiting requests lack.
func (p *pool) findScarce(tried int) {
	n := 0
	seen := min(tried, len(p.queue.items))
	for _, f := range p.queue.items[:seen] {
		if f.waitReason() == outcome.NoDecode {
			n++
		}
	}
	if seen > 0 {
		p.scarce = Prefill
		if 2*n > seen {
			p.scarce = Decode
		}
	}
}

func (f *flight) maxWait() time.Duration {
	if f.MaxWait > 0 {
		return f.MaxWait
	}
	return patientWait
}

// decideWaiting refuses requests that are not expected to start in time: the sooner a caller
// is told, the sooner it can do something else.
func (c *Core) decideWaiting(p *pool) {
	for _, f := range slices.Clone(p.queue.items) {
		if !f.RefuseEarly || f.patient {
			continue
		}
		if c.now.Add(p.ahead(f)).After(f.latestStart) {
			c.endLate(f, "more urgent requests that wait take longer than its target allows")
			continue
		}
		if c.others.chance(c.now, len(p.queue.items), f.latestStart.Sub(c.now)) < leastChance {
			c.endLate(f, "too many wait on all boxes for it to start in time")
		}
	}
}

// lastStart is when a request that waits is given up. A caller's patience with a stream that has begun runs from
// where it broke.
func (f *flight) lastStart() time.Time {
	switch {
	case !f.brokeAt.IsZero():
		return f.brokeAt.Add(f.maxWait())
	case f.patient:
		return f.arrived.Add(f.maxWait())
	}
	return f.latestStart
}

func (c *Core) expired(f *flight) bool { return c.now.After(f.lastStart()) }
