package slots

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/retry"
)

const (
	// maxWaiting is how many requests wait at most.
	maxWaiting = 4096
	// grantGrace is how long a grant counts as in use after its caller has given up. It covers the way of the release.
	grantGrace = 200 * time.Millisecond
	// A grant counts as in use for at most overdueFactor mean service times. An endpoint that lost an answer, or runs the
	// call no more, would otherwise hold a slot until the caller gives up: with one lost answer in 200 calls and callers
	// that wait 1.1 s, a quarter of the slots was held for nothing. MinOverdue is the least such time, and leaves room for
	// the first estimates.
	overdueFactor = 6
	MinOverdue    = 150 * time.Millisecond
	// maxOverdue bounds the grants that are overdue. Beyond it, a grant is forgotten when it becomes overdue, and its result
	// is not counted. Otherwise the number of grants would depend on how long the boxes say that callers wait.
	maxOverdue = 4096
	// busyMemory is how long boxes go on asking after the slots were last contended.
	busyMemory = 2 * time.Second
)

// Options are the settings of a Dispatcher and of a Server.
type Options struct {
	// Part is the part of the slots that the Dispatcher may grant. 0 stands for 1, the part of an owner. With a smaller
	// part, an endpoint gets at most Slots times Part calls at once, and at least one.
	Part float64
	// Outside returns how many calls are at an endpoint that count against its limit and were not granted by this
	// Dispatcher. It must not block. Nil stands for 0. Release must be called when the result has fallen.
	Outside func(endpoint string) int
	// Clock returns the present time for a Server. Nil stands for internal/clock.Now.
	Clock func() time.Time
	// Rand spreads the times of retries. Nil stands for a source with a random seed.
	Rand *rand.Rand
	// HallLatency returns how much longer a call from a hall to an endpoint in another hall takes. Nil stands for 2 ms.
	HallLatency func(from, to string) time.Duration
}

// Dispatcher grants the slots of the endpoints of one cell. Its methods must not be called at the same time, and the
// times given to them must not decrease.
type Dispatcher struct {
	part        float64
	outside     func(endpoint string) int
	rand        *rand.Rand
	hallLatency func(from, to string) time.Duration
	stopped     bool
	// current is whether advance has run at advancedTo and the state has not changed since.
	current    bool
	advancedTo time.Time

	endpoints map[string]*endpoint
	list      []*endpoint // The values of endpoints, ordered by ID.

	waiting map[string]*waiter
	// onTime has the requests that can be on time, late those that can't.
	onTime, late queue
	seq          uint64
	// sinceLate counts the grants since the last one to the late queue, while on-time requests waited.
	sinceLate int

	grants    map[string]*grant
	expiring  timeHeap[*grant]
	overdue   int // The grants that are overdue.
	refused   refusals
	told      retry.ToldCallers
	busyUntil time.Time
	// arrivals and burst measure the requests that could be on time on an idle endpoint, without returning ones.
	arrivals, burst arrivalRate
	// overloadSince is zero while there is spare capacity.
	overloadSince time.Time
	// counts has the counts of at most maxCountedAccounts accounts and of otherAccounts.
	counts map[string]*AccountCounts
	// changes are the decisions that Step has not returned yet.
	changes []Change
}

// NewDispatcher returns a Dispatcher without endpoints.
func NewDispatcher(o Options) *Dispatcher {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Outside == nil {
		o.Outside = func(string) int { return 0 }
	}
	if o.HallLatency == nil {
		o.HallLatency = func(string, string) time.Duration { return otherHallLatency }
	}
	return &Dispatcher{
		part: validPart(o.Part), outside: o.Outside, rand: o.Rand, hallLatency: o.HallLatency,
		endpoints: map[string]*endpoint{}, waiting: map[string]*waiter{}, grants: map[string]*grant{}, counts: map[string]*AccountCounts{},
		refused: refusals{byID: map[string]Decision{}}, arrivals: arrivalRate{window: arrivalWindow}, burst: arrivalRate{window: burstWindow},
	}
}

func validPart(part float64) float64 {
	if !(part > 0 && part < 1) {
		return 1
	}
	return part
}

// SetPart changes Options.Part. Grants that are in use go on and count as before.
func (d *Dispatcher) SetPart(now time.Time, part float64) {
	d.advance(now)
	d.current, d.part = false, validPart(part)
	for _, e := range d.endpoints {
		e.setPart(d.part)
	}
	d.advance(now)
}

// SetEndpoints replaces the list of endpoints. Endpoints that are also in the new list keep their limits and
// statistics. Grants of endpoints that are no longer in the list go on.
func (d *Dispatcher) SetEndpoints(now time.Time, list []Endpoint) {
	d.advance(now)
	d.current = false
	for _, e := range d.endpoints {
		e.listed = false
	}
	for _, x := range list {
		if e := d.endpoints[x.ID]; e != nil {
			e.set(x, d.part)
		} else {
			d.endpoints[x.ID] = newEndpoint(x, d.part)
		}
	}
	d.list = d.list[:0]
	for id, e := range d.endpoints {
		if !e.listed && e.inUse == 0 {
			delete(d.endpoints, id)
			continue
		}
		d.list = append(d.list, e)
	}
	slices.SortFunc(d.list, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	d.advance(now)
}

// Acquire asks for a slot. The decision on a queued request is returned by Step later.
func (d *Dispatcher) Acquire(now time.Time, r Request) Decision {
	d.advance(now)
	if g := d.grants[r.ID]; g != nil {
		return g.decision
	}
	if w := d.waiting[r.ID]; w != nil {
		return d.queuedDecision(now, w)
	}
	if answer, ok := d.refused.byID[r.ID]; ok {
		return answer
	}
	if d.stopped {
		return Decision{State: Refused, Reason: Stopping}
	}
	d.current = false
	answer := d.decide(now, r)
	if answer.State == Refused {
		d.refused.add(now, r.ID, answer)
		d.countRefusal(&r, answer.Reason)
	}
	if c := d.countsOf(r.Account); r.Returning {
		c.Returning++
	}
	d.advance(now)
	return answer
}

// decide decides on a new request.
func (d *Dispatcher) decide(now time.Time, r Request) Decision {
	c := d.capacityFor(now, &r)
	r.OnTime = min(r.OnTime, r.Left)
	if r.Returning {
		d.told.RemoveFirst()
	} else if r.OnTime >= c.service {
		d.arrivals.add(now)
		d.burst.add(now)
	}
	d.noteOverload(now)
	if c.limit == 0 {
		return Decision{State: Refused, Reason: NoEndpoint}
	}
	w := &waiter{Request: r, arrived: now, seq: d.seq}
	d.seq++
	if r.Left <= 0 {
		return d.refusal(now, TooLate, c, 0)
	}
	// Requests that wait can't use the slots that are free, as advance has granted those that they may have.
	if e := d.best(now, &r); e != nil {
		return d.grant(now, w, e)
	}
	if len(d.waiting) >= maxWaiting {
		return d.refusal(now, QueueFull, c, len(d.waiting))
	}
	if _, ok := d.admitOnTime(c, &r); ok {
		d.enqueue(w, false)
		return d.queuedDecision(now, w)
	}
	if _, ok := d.admitLate(now, c, &r, r.Left); ok {
		d.enqueue(w, true)
		return d.queuedDecision(now, w)
	}
	if e := d.lastResort(now, &r); e != nil {
		return d.grant(now, w, e)
	}
	return d.refusal(now, TooLate, c, d.onTime.ahead(r))
}

func (d *Dispatcher) queueOf(w *waiter) *queue {
	if w.late {
		return &d.late
	}
	return &d.onTime
}

func (d *Dispatcher) enqueue(w *waiter, late bool) {
	w.late, w.due = late, w.arrived.Add(w.OnTime)
	if late {
		w.due = w.arrived.Add(w.Left)
	}
	d.queueOf(w).push(w)
	d.waiting[w.ID] = w
}

func (d *Dispatcher) queuedDecision(now time.Time, w *waiter) Decision {
	c := d.capacityFor(now, &w.Request)
	q, rate := &d.onTime, d.onTimeRate(c)
	if w.late {
		q, rate = &d.late, d.lateRate(now, c)
	}
	ahead := q.aheadOf(w)
	return Decision{State: Queued, Wait: waitAt(ahead, rate), Waiting: ahead, InUse: c.inUse, Limit: c.limit}
}

func (d *Dispatcher) refusal(now time.Time, reason Reason, c capacity, ahead int) Decision {
	return Decision{State: Refused, Reason: reason, RetryAfter: d.retryAfter(now), Waiting: ahead, InUse: c.inUse, Limit: c.limit}
}

// grant gives a slot of e to w, which must not be in a queue.
func (d *Dispatcher) grant(now time.Time, w *waiter, e *endpoint) Decision {
	g := &grant{id: w.ID, account: w.Account, endpoint: e, at: now, extra: d.extra(&w.Request, e)}
	g.ends = w.arrived.Add(w.Left + grantGrace)
	g.expires = now.Add(max(MinOverdue, seconds(overdueFactor*e.slow)) + g.extra)
	if g.ends.Before(g.expires) {
		g.expires = g.ends
	}
	e.inUse++
	d.countsOf(w.Account).Granted++
	g.decision = Decision{State: Granted, Endpoint: e.ID, Wait: now.Sub(w.arrived), InUse: e.inUse, Limit: e.limit}
	g.decision.Waiting = len(d.waiting)
	d.grants[g.id] = g
	d.expiring.push(g)
	return g.decision
}

// free reports whether an endpoint has a free slot.
func (d *Dispatcher) free(e *endpoint) bool { return e.inUse+e.outside < e.limit }

// countOutside reads the calls outside. Their number changes at any time, so each decision uses the values that were read
// before it.
func (d *Dispatcher) countOutside() {
	for _, e := range d.list {
		e.outside = d.outside(e.ID)
	}
}

func (d *Dispatcher) extra(r *Request, e *endpoint) time.Duration {
	if r.Hall == e.Hall || r.Hall == "" || e.Hall == "" {
		return 0
	}
	return d.hallLatency(r.Hall, e.Hall)
}

// lowestService returns the lowest slow estimate of the service time of a usable endpoint.
func (d *Dispatcher) lowestService() float64 {
	lowest := math.Inf(1)
	for _, e := range d.list {
		if e.usable() {
			lowest = min(lowest, e.slow)
		}
	}
	if math.IsInf(lowest, 1) {
		return initialService
	}
	return lowest
}

// best returns the endpoint with a free slot at which r is expected to be complete first, or nil. Endpoints that are
// set aside are considered only if r may get no others.
func (d *Dispatcher) best(now time.Time, r *Request) *endpoint {
	var best, aside *endpoint
	var bestCost, asideCost float64
	others, lowest := false, d.lowestService()
	for _, e := range d.list {
		if !e.allows(r) {
			continue
		}
		out := e.isSetAside(now)
		others = others || !out
		if !d.free(e) {
			continue
		}
		cost := e.cost(now, lowest, d.extra(r, e))
		if out {
			if aside == nil || cost < asideCost {
				aside, asideCost = e, cost
			}
		} else if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if !others {
		return aside
	}
	return best
}

// lastResort returns an idle endpoint that is set aside, for a request that would otherwise be refused. Such an endpoint
// gets one call at a time, so that few calls are lost if it is broken.
func (d *Dispatcher) lastResort(now time.Time, r *Request) *endpoint {
	for _, e := range d.list {
		if e.allows(r) && e.isSetAside(now) && e.inUse == 0 {
			return e
		}
	}
	return nil
}

// Release ends a grant, or withdraws a queued request. It does nothing if the ID is unknown.
func (d *Dispatcher) Release(now time.Time, id string, res Result) {
	d.advance(now)
	d.current = false
	if w := d.waiting[id]; w != nil {
		d.queueOf(w).remove(w)
		delete(d.waiting, id)
		d.countsOf(w.Account).Withdrawn++
	} else if g := d.grants[id]; g != nil {
		d.expiring.remove(g)
		d.end(now, g, res)
		// The decision may not have been taken yet.
		d.changes = slices.DeleteFunc(d.changes, func(c Change) bool { return c.ID == id })
	}
	d.advance(now)
}

// end ends a grant that is no longer in d.expiring.
func (d *Dispatcher) end(now time.Time, g *grant, res Result) {
	delete(d.grants, g.id)
	e := g.endpoint
	e.ended(now, res, d.lowestService(), now.Sub(g.at), g.extra)
	if g.overdue {
		d.overdue--
	} else {
		e.inUse--
	}
	// If the last grant of an endpoint that left the list was overdue, the list may have the endpoint again by now.
	if !e.listed && e.inUse == 0 && d.endpoints[e.ID] == e {
		delete(d.endpoints, e.ID)
		d.list = slices.DeleteFunc(d.list, func(x *endpoint) bool { return x == e })
	}
}
