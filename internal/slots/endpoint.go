package slots

import (
	"math"
	"slices"
	"time"
)

const (
	// defaultSlots stands for an unknown number of slots.
	defaultSlots = 4
	// An endpoint gets one grant more than it has slots per slotsPerSpare slots, and at least one more. A request that
	// already waits at the endpoint covers the two network passes (about 4 ms) between a release and the next call.
	slotsPerSpare = 8
	// limitCut is the part of the grants in use to which a rejection cuts the limit.
	limitCut = 0.7

	// initialService is the service time of an endpoint that has not answered yet, in seconds.
	initialService = 0.050
	// fastWeight is the weight of an answer in the service time by which endpoints are selected. With 0.2, an endpoint
	// that takes 2.5 times as long counts as 1.7 times as long after 3 answers and 2.3 times after 10.
	fastWeight = 0.2
	// fastCap bounds how often the usual service time a single answer counts in the fast estimate. Without it, one call in
	// a hundred that takes five times as long makes its endpoint look 1.8 times as slow.
	fastCap = 3
	// spreadFactor is by how much the cost of an endpoint whose slots are all in use is raised, so that calls are spread
	// over equal endpoints. At 0.1, the estimates, which vary by 15%, kept most calls at one endpoint at low load.
	spreadFactor = 0.4
	// slowWeight is the weight of an answer in the service time by which waits are estimated. Service times vary by
	// half of their mean; at 0.04 the estimate varies by 8%.
	slowWeight = 0.04
	// fastHalfLife is the time in which the fast estimate of an endpoint without answers gets half as far from that of the
	// fastest endpoint of the cell, so that an endpoint that was slow is tried again. Its own slow estimate would be too
	// high for that: it includes the slow answers, and at low load no others follow.
	fastHalfLife = time.Second

	// An endpoint is set aside for setAsideDuration after setAsideFailures failures in a row. An owner sees the calls of
	// all boxes. At 200 calls a second, of which 14% are answered with an error, two failures in a row occur four times a
	// second, and five in a row every two minutes.
	setAsideFailures = 5
	setAsideDuration = 1500 * time.Millisecond
	// The following values are those of internal/relay/endpoints.go, which gives their reasons.
	failureWeight     = 0.1
	failureHalfLife   = 3 * time.Second
	failureCostFactor = 6

	// otherHallLatency is the additional time of a call to an endpoint in another hall: two passes between halls, whose
	// one-way latency was measured as 0.9 to 1.4 ms.
	otherHallLatency = 2 * time.Millisecond
)

// endpoint is an endpoint of a Dispatcher with its limit and the results of its calls.
type endpoint struct {
	Endpoint
	// listed is false if the endpoint is no longer in the list. It is kept until its grants have ended.
	listed bool
	// limit is the number of grants that may be in use, between 1 and maxLimit.
	limit, maxLimit int
	inUse           int
	outside         int       // The calls that this Dispatcher has not granted; see Options.Outside.
	answers         int       // The answers since the limit last changed.
	nextCut         time.Time // Rejections before this time don't cut the limit again.

	// fast and slow are moving averages of the service time in seconds, without the latency between halls. held is the
	// moving average of the time for which grants were in use.
	fast, slow, held float64
	fastAt           time.Time
	samples          int

	// failures and rejections are counted since the last success. An endpoint that rejects even single calls is set aside
	// too: it would otherwise look idle, and get most calls.
	failures, rejections int
	setAsideUntil        time.Time
	failureRate          float64
	failureRateAt        time.Time
}

// MaxGrants returns how many grants of an endpoint with a number of slots may be in use; 0 stands for an unknown number.
func MaxGrants(slotCount int) int {
	if slotCount <= 0 {
		slotCount = defaultSlots
	}
	return slotCount + max(1, slotCount/slotsPerSpare)
}

func newEndpoint(e Endpoint, part float64) *endpoint {
	n := &endpoint{fast: initialService, slow: initialService, held: initialService}
	n.set(e, part)
	// What other owners granted is not known, so the limit starts at half.
	n.limit = max(1, min(n.maxLimit, int(math.Ceil(float64(n.Slots)*part/2))))
	return n
}

// set replaces the endpoint's entry in the list. part is the part of the slots that the Dispatcher grants.
func (e *endpoint) set(x Endpoint, part float64) {
	if x.Slots <= 0 {
		x.Slots = defaultSlots
	}
	e.Endpoint, e.listed = x, true
	e.setPart(part)
}

// setPart sets the part of the slots that the Dispatcher grants. Grants beyond it go on.
func (e *endpoint) setPart(part float64) {
	if part < 1 {
		e.maxLimit = max(1, int(float64(e.Slots)*part))
	} else {
		e.maxLimit = MaxGrants(e.Slots)
	}
	e.limit = min(e.limit, e.maxLimit)
}

// share is the number of slots that the Dispatcher may use, without the spare.
func (e *endpoint) share() int { return min(e.Slots, e.maxLimit) }

func (e *endpoint) usable() bool { return e.listed && e.Usable }

func (e *endpoint) isSetAside(now time.Time) bool { return now.Before(e.setAsideUntil) }

func (e *endpoint) allows(r *Request) bool { return e.usable() && !slices.Contains(r.Exclude, e.ID) }

// rate is the number of slots that come free per second if all grants of the limit are in use.
func (e *endpoint) rate() float64 { return float64(e.limit) / e.held }

// currentFast returns the fast estimate. lowest is the lowest slow estimate of the cell.
func (e *endpoint) currentFast(now time.Time, lowest float64) float64 {
	return lowest + (e.fast-lowest)*math.Exp2(-float64(now.Sub(e.fastAt))/float64(fastHalfLife))
}

func (e *endpoint) currentFailureRate(now time.Time) float64 {
	return e.failureRate * math.Exp2(-float64(now.Sub(e.failureRateAt))/float64(failureHalfLife))
}

// cost is the expected time to completion of one more call, in seconds, raised by the failures. lowest is the lowest
// slow estimate of the cell, and extra the additional latency between halls.
func (e *endpoint) cost(now time.Time, lowest float64, extra time.Duration) float64 {
	running := float64(e.inUse+1) / float64(e.Slots)
	// Up to its slots the endpoint runs calls side by side.
	load := max(1, running) + spreadFactor*running
	return (e.currentFast(now, lowest)*load + extra.Seconds()) * (1 + failureCostFactor*e.currentFailureRate(now))
}

// ended records the result of a grant that was in use for held. lowest is the lowest slow estimate of the cell,
// and extra the additional latency between halls that res.Took includes.
func (e *endpoint) ended(now time.Time, res Result, lowest float64, held, extra time.Duration) {
	switch res.Outcome {
	case Answered:
		e.answered(now, lowest, max(res.Took-extra, 0).Seconds(), held.Seconds())
	case Failed:
		e.failureRate, e.failureRateAt = e.currentFailureRate(now)*(1-failureWeight)+failureWeight, now
		// A call that fails slowly holds a slot for long. A fast failure says nothing about the calls that succeed.
		if h := held.Seconds(); h > e.held {
			e.held += slowWeight * (h - e.held)
		}
		e.failures++
		if e.failures >= setAsideFailures {
			e.setAsideUntil = now.Add(setAsideDuration)
		}
	case Rejected, Reset:
		e.rejections++
		if e.limit == 1 && e.rejections >= setAsideFailures {
			e.setAsideUntil = now.Add(setAsideDuration)
		}
		if now.Before(e.nextCut) {
			break
		}
		// inUse still includes the rejected call.
		e.limit = max(1, min(e.limit, int(limitCut*float64(e.inUse))))
		e.answers = 0
		e.nextCut = now.Add(seconds(e.slow))
	}
}

func (e *endpoint) answered(now time.Time, lowest, took, held float64) {
	e.failureRate, e.failureRateAt = e.currentFailureRate(now)*(1-failureWeight), now
	e.failures, e.rejections, e.setAsideUntil = 0, 0, time.Time{}

	// The first answers count as much as one another, so that the initial values are forgotten.
	e.samples++
	first := 1 / float64(e.samples)
	e.fast = e.currentFast(now, lowest)
	e.fast += max(fastWeight, first) * (min(took, fastCap*e.slow) - e.fast)
	e.fastAt = now
	e.slow += max(slowWeight, first) * (took - e.slow)
	e.held += max(slowWeight, first) * (held - e.held)
	e.held = max(e.held, 1e-4)

	e.answers++
	if e.answers >= e.limit && e.limit < e.maxLimit {
		e.limit++
		e.answers = 0
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
