package slots

import (
	"math"
	"time"
)

const (
	// serviceMargin is how many mean service times a new request must have left after its expected wait to be on time.
	serviceMargin = 2
	// dropMargin is how many mean service times a waiting request must have left. With service times that vary by half of
	// their mean, an answer takes more than 1.5 times the mean in 1 of 8 calls, and more than the mean in 4 of 10.
	dropMargin = 1.5
	// maxServiceMargin and maxDropMargin bound these margins, as parts of the time that a request has in total. Without
	// the bounds, an endpoint whose mean service time rises to half of the target would get late requests only.
	maxServiceMargin = 0.7
	maxDropMargin    = 0.5
	// One in lateShare grants goes to the late queue while on-time requests wait, so that callers that retry after a
	// refusal aren't all refused again.
	lateShare = 8

	// The time after which a retry is suggested is between minRetryAfter and maxRetryAfter. It is spread by retrySpread
	// so that callers don't return together.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	retrySpread   = 0.25
	// overloadRetryAfter is the time of the first second of an overload; it doubles for each further second.
	overloadRetryAfter = time.Second

	// arrivalWindow is the time constant of the measured arrival rate. At 250 requests per second the rate varies by 4%.
	arrivalWindow = time.Second
	// burstWindow is the time constant of a second measurement, which shows a burst before many late requests wait.
	burstWindow = 200 * time.Millisecond
)

// arrivalRate is a moving average of a number of arrivals per second.
type arrivalRate struct {
	window time.Duration
	count  float64
	at     time.Time
}

func (a *arrivalRate) decay(now time.Time) {
	if now.After(a.at) {
		a.count *= math.Exp(-float64(now.Sub(a.at)) / float64(a.window))
		a.at = now
	}
}

func (a *arrivalRate) add(now time.Time) {
	a.decay(now)
	a.count++
}

func (a *arrivalRate) perSecond(now time.Time) float64 {
	a.decay(now)
	return a.count / a.window.Seconds()
}

// capacity is what a set of endpoints can serve.
type capacity struct {
	// rate is the number of slots that come free per second while all are in use.
	rate float64
	// service is the mean time for which grants are in use. It includes the passes between boxes and endpoints.
	service time.Duration
	// inUse and limit are sums over the endpoints.
	inUse, limit int
}

// capacityFor returns the capacity of the endpoints that r may get. A nil r stands for a request that excludes none.
// Endpoints that are set aside count only if there are no others.
func (d *Dispatcher) capacityFor(now time.Time, r *Request) capacity {
	var in, aside capacity
	var inTime, asideTime float64
	for _, e := range d.list {
		if !e.usable() || r != nil && !e.allows(r) {
			continue
		}
		c, t := &in, &inTime
		if e.isSetAside(now) {
			c, t = &aside, &asideTime
		}
		c.rate += e.rate()
		*t += e.rate() * e.held
		c.inUse += e.inUse
		c.limit += e.limit
	}
	if in.limit == 0 {
		in, inTime = aside, asideTime
	}
	if in.rate > 0 {
		in.service = seconds(inTime / in.rate)
	}
	return in
}

// onTimeRate is the rate at which the on-time queue is served.
func (d *Dispatcher) onTimeRate(c capacity) float64 {
	if d.late.len() > 0 {
		return c.rate * (lateShare - 1) / lateShare
	}
	return c.rate
}

// spare is the capacity that the on-time load leaves, in requests per second. It may be negative.
func (d *Dispatcher) spare(now time.Time, c capacity) float64 {
	return c.rate - d.arrivals.perSecond(now)
}

// spareInBurst is like spare, but falls sooner if a burst begins.
func (d *Dispatcher) spareInBurst(now time.Time, c capacity) float64 {
	return c.rate - max(d.arrivals.perSecond(now), d.burst.perSecond(now))
}

// lateRate is the rate at which the late queue is served at least.
func (d *Dispatcher) lateRate(now time.Time, c capacity) float64 {
	return max(d.spareInBurst(now, c), c.rate/lateShare)
}

// waitAt returns the expected wait of a request with ahead requests before it that are served at a rate.
func waitAt(ahead int, rate float64) time.Duration {
	const forever = time.Hour
	if rate <= 0 {
		return forever
	}
	return min(seconds(float64(ahead+1)/rate), forever)
}

// admitOnTime returns the expected wait of r in the on-time queue, and whether it can be on time.
func (d *Dispatcher) admitOnTime(c capacity, r *Request) (time.Duration, bool) {
	wait := waitAt(d.onTime.ahead(*r), d.onTimeRate(c))
	return wait, wait+c.margin(r.OnTime) <= r.OnTime
}

// margin is the time that a new request must have left after its expected wait, if it has the time left in total.
func (c capacity) margin(left time.Duration) time.Duration {
	return max(c.service, min(serviceMargin*c.service, seconds(maxServiceMargin*left.Seconds())))
}

// needs is the time before its due time at which a waiting request must get a slot.
func (c capacity) needs(w *waiter) time.Duration {
	return seconds(min(dropMargin*c.service.Seconds(), maxDropMargin*w.due.Sub(w.arrived).Seconds()))
}

// admitLate returns the expected wait of r in the late queue, and whether it can be served there. left is the time until
// its caller gives up. The capacity that on-time requests leave serves any request. The share of the late queue serves
// only callers that were refused before. It serves them on time if they can be on time at all: if such requests waited
// longer there, the share would turn a part of the on-time answers into late ones.
func (d *Dispatcher) admitLate(now time.Time, c capacity, r *Request, left time.Duration) (time.Duration, bool) {
	ahead, margin := d.late.ahead(*r), c.margin(left)
	wait := waitAt(ahead, d.spareInBurst(now, c))
	if d.onTime.len() > 0 {
		wait = max(wait, waitAt(d.onTime.len(), c.rate))
	}
	if wait+margin <= left {
		return wait, true
	}
	if !r.Returning {
		return wait, false
	}
	if r.OnTime >= margin {
		left = min(left, r.OnTime)
	}
	wait = waitAt(ahead, c.rate/lateShare)
	return wait, wait+margin <= left
}

// noteOverload keeps overloadSince, the time since when the on-time load has left no spare capacity.
func (d *Dispatcher) noteOverload(now time.Time) {
	if d.spare(now, d.capacityFor(now, nil)) > 0 {
		d.overloadSince = time.Time{}
	} else if d.overloadSince.IsZero() {
		d.overloadSince = now
	}
}

// retryAfter returns when a refused request is expected to find a slot, and remembers that the caller was told so.
func (d *Dispatcher) retryAfter(now time.Time) time.Duration {
	var after time.Duration
	c := d.capacityFor(now, nil)
	if spare := d.spare(now, c); spare > 0 {
		after = waitAt(d.onTime.len()+d.late.len()+d.told.DueAfter(now)-1, spare)
	} else {
		lasted := time.Duration(0)
		if !d.overloadSince.IsZero() {
			lasted = now.Sub(d.overloadSince)
		}
		after = overloadRetryAfter << min(int(lasted/time.Second), 3)
	}
	// The bounds hold after the spread.
	after = min(max(after, seconds(minRetryAfter.Seconds()/(1-retrySpread))), seconds(maxRetryAfter.Seconds()/(1+retrySpread)))
	after = max(minRetryAfter, min(maxRetryAfter, seconds(after.Seconds()*(1-retrySpread+2*retrySpread*d.rand.Float64()))))
	d.told.Add(now.Add(after))
	return after
}
