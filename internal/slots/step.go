package slots

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Step returns the decisions on queued requests since the last call.
func (d *Dispatcher) Step(now time.Time) []Change {
	d.advance(now)
	out := d.changes
	d.changes = nil
	return out
}

// Next returns when Step must be called at the latest, or false if it need not be called before another method.
func (d *Dispatcher) Next(now time.Time) (time.Time, bool) {
	if len(d.changes) > 0 {
		return now, true
	}
	if len(d.waiting) == 0 {
		return time.Time{}, false
	}
	c := d.capacityFor(now, nil)
	var next time.Time
	earliest := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, q := range []*queue{&d.onTime, &d.late} {
		if q.len() > 0 {
			earliest(q.byDue[0].due.Add(-c.needs(q.byDue[0])))
		}
	}
	if len(d.expiring) > 0 {
		earliest(d.expiring[0].expires)
	}
	for _, e := range d.list {
		if e.isSetAside(now) {
			earliest(e.setAsideUntil)
		}
	}
	if next.Before(now) {
		next = now
	}
	return next, true
}

// Stop refuses all requests that wait, and all later ones. Grants can still be released.
func (d *Dispatcher) Stop(now time.Time) []Change {
	d.advance(now)
	d.stopped, d.current = true, false
	for _, w := range slices.SortedFunc(maps.Values(d.waiting), func(a, b *waiter) int { return cmp.Compare(a.seq, b.seq) }) {
		d.queueOf(w).remove(w)
		delete(d.waiting, w.ID)
		d.countRefusal(&w.Request, Stopping)
		d.changes = append(d.changes, Change{w.ID, Decision{State: Refused, Reason: Stopping}})
	}
	return d.Step(now)
}

// Busy reports whether the slots are contended, so that boxes should go on asking for them.
func (d *Dispatcher) Busy(now time.Time) bool {
	d.advance(now)
	return now.Before(d.busyUntil)
}

// noteBusy records that slots are contended at present.
func (d *Dispatcher) noteBusy(now time.Time) {
	inUse, slots := 0, 0
	for _, e := range d.list {
		if e.usable() {
			inUse += e.inUse
			slots += e.share()
		}
	}
	if len(d.waiting) > 0 || 2*inUse > slots {
		d.busyUntil = now.Add(busyMemory)
	}
}

// advance brings the state up to now: it ends expired grants, refuses requests that can't be served in time any more,
// and grants free slots.
func (d *Dispatcher) advance(now time.Time) {
	if d.current && now.Equal(d.advancedTo) {
		return
	}
	d.current, d.advancedTo = true, now
	d.countOutside()
	d.noteBusy(now)
	for len(d.expiring) > 0 && !d.expiring[0].expires.After(now) {
		g := d.expiring.pop()
		if now.Before(g.ends) && d.overdue < maxOverdue {
			d.overdue++
			g.overdue, g.expires = true, g.ends
			g.endpoint.inUse--
			d.expiring.push(g)
			continue
		}
		// How the call ended is not known.
		d.end(now, g, Result{Outcome: Unused})
	}
	d.refused.advance(now)
	d.told.Prune(now)
	if len(d.waiting) > 0 {
		// After a pause of the process, requests may wait whose callers have given up. They must not be granted a slot.
		d.drop(now, dueOnly)
		d.grantFree(now)
		d.drop(now, all)
	}
	d.noteBusy(now)
}

// grantFree grants free slots to requests that wait.
func (d *Dispatcher) grantFree(now time.Time) {
	for len(d.waiting) > 0 {
		if !d.hasFree() {
			return
		}
		anyFree := d.best(now, &Request{}) != nil
		fits := func(w *waiter) bool {
			if len(w.Exclude) == 0 {
				return anyFree
			}
			return d.best(now, &w.Request) != nil
		}
		q := d.nextQueue()
		w := q.first(fits)
		if w == nil {
			// Requests of the other queue may use endpoints that those of this queue exclude.
			if q = d.otherQueue(q); q.len() > 0 {
				w = q.first(fits)
			}
		}
		if w == nil {
			return
		}
		if w.late {
			d.sinceLate = 0
		} else {
			d.sinceLate++
		}
		q.serve(w)
		delete(d.waiting, w.ID)
		d.changes = append(d.changes, Change{w.ID, d.grant(now, w, d.best(now, &w.Request))})
	}
}

// hasFree reports whether any endpoint has a free slot.
func (d *Dispatcher) hasFree() bool {
	for _, e := range d.list {
		if e.usable() && d.free(e) {
			return true
		}
	}
	return false
}

// nextQueue returns the queue that the next grant goes to.
func (d *Dispatcher) nextQueue() *queue {
	if d.late.len() > 0 && (d.onTime.len() == 0 || d.sinceLate >= lateShare-1) {
		return &d.late
	}
	return &d.onTime
}

func (d *Dispatcher) otherQueue(q *queue) *queue {
	if q == &d.onTime {
		return &d.late
	}
	return &d.onTime
}

// dropScope says which requests drop considers.
type dropScope bool

const (
	dueOnly dropScope = false // Requests whose time is over.
	all     dropScope = true  // Also requests whose expected wait is too long.
)

// drop refuses requests that can't be served in time any more. A request of the on-time queue goes to the late queue if
// it can be served there.
func (d *Dispatcher) drop(now time.Time, scope dropScope) {
	c := d.capacityFor(now, nil)
	for d.onTime.len() > 0 {
		w := d.onTime.unservable(now, c, d.onTimeRate(c), scope)
		if w == nil {
			break
		}
		d.dropOne(now, c, w)
	}
	for d.late.len() > 0 {
		w := d.late.unservable(now, c, d.lateRate(now, c), scope)
		if w == nil {
			break
		}
		d.dropOne(now, c, w)
	}
}

// unservable returns a request that can't be served in time, or nil. rate is the rate at which the queue is served. The
// queue must not be empty.
func (q *queue) unservable(now time.Time, c capacity, rate float64, scope dropScope) *waiter {
	if w := q.byDue[0]; !now.Add(c.needs(w)).Before(w.due) {
		return w
	}
	if scope == dueOnly {
		return nil
	}
	last := now.Add(waitAt(q.len()-1, rate) + c.service)
	if !last.After(q.byDue[0].due) {
		return nil // Then no request is late, and the victim need not be looked for.
	}
	if w := q.victim(); last.After(w.due) {
		return w
	}
	return nil
}

// dropOne takes a request out of its queue that can't be served in time there.
func (d *Dispatcher) dropOne(now time.Time, c capacity, w *waiter) {
	q := d.queueOf(w)
	ahead := q.aheadOf(w)
	q.remove(w)
	if !w.late {
		// The share of the late queue is for callers that just returned.
		r := w.Request
		r.Returning = false
		if _, ok := d.admitLate(now, c, &r, w.arrived.Add(w.Left).Sub(now)); ok {
			d.enqueue(w, true)
			return
		}
	}
	delete(d.waiting, w.ID)
	var answer Decision
	if e := d.lastResort(now, &w.Request); e != nil && now.Before(w.arrived.Add(w.Left)) {
		answer = d.grant(now, w, e)
	} else {
		reason := TooLate
		if c.limit == 0 {
			reason = NoEndpoint
		}
		answer = d.refusal(now, reason, c, ahead)
		answer.Wait = now.Sub(w.arrived)
		d.refused.add(now, w.ID, answer)
		d.countRefusal(&w.Request, reason)
	}
	d.changes = append(d.changes, Change{w.ID, answer})
}

// Snapshot is the state of a Dispatcher for display.
type Snapshot struct {
	// Waiting is the number of requests that wait.
	Waiting int
	// Endpoints are ordered by ID. They include endpoints that left the list while grants of theirs are in use.
	Endpoints []EndpointSnapshot
	// Accounts are ordered by name.
	Accounts []AccountSnapshot
	// ToldToRetry is the number of callers whose suggested retry is not yet due.
	ToldToRetry int
}

// EndpointSnapshot is the state of an endpoint for display.
type EndpointSnapshot struct {
	ID, Hall            string
	Slots, Limit, InUse int
	// Overdue is the number of calls that take so long that they no longer hold a slot. Their results still count.
	Overdue          int
	Usable, SetAside bool
	// Service is the mean service time.
	Service time.Duration
	// FailureRate is the recent share of calls that failed.
	FailureRate float64
}

// Snapshot returns the present state.
func (d *Dispatcher) Snapshot(now time.Time) Snapshot {
	d.advance(now)
	s := Snapshot{Waiting: len(d.waiting), Accounts: d.accountSnapshots(), ToldToRetry: d.told.DueAfter(now)}
	overdue := map[*endpoint]int{}
	for _, g := range d.grants {
		if g.overdue {
			overdue[g.endpoint]++
		}
	}
	for _, e := range d.list {
		s.Endpoints = append(s.Endpoints, EndpointSnapshot{
			ID: e.ID, Hall: e.Hall, Slots: e.Slots, Limit: e.limit, InUse: e.inUse, Overdue: overdue[e], Usable: e.usable(),
			SetAside: e.isSetAside(now), Service: seconds(e.slow), FailureRate: e.currentFailureRate(now),
		})
	}
	return s
}
