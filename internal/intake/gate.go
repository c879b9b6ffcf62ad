package intake

import (
	"math"
	"sync"
	"time"
)

const (
	// overDelay is the own delay from which on a box reads less, and calmDelay the one below which it reads more. A call has
	// some tens of milliseconds to spare, and a connect between halls takes a few.
	overDelay = 30 * time.Millisecond
	calmDelay = 15 * time.Millisecond
	// stepInterval is the time between two changes of the bound. What was read before must have left the link by then.
	stepInterval = 400 * time.Millisecond
	// increaseFactor is by how much the bound rises in a step.
	increaseFactor = 1.08
	// drainTime is the time within which the delay is to be over. Meanwhile the box reads less than it can carry, but no less
	// than minDrainShare of it, and no more than maxDrainShare.
	drainTime     = 1500 * time.Millisecond
	minDrainShare = 0.3
	maxDrainShare = 0.95
	// A delay that rises or falls by more than this in its own time says nothing about what the box carries.
	minSlope, maxSlope = -0.5, 3.0
	// minLimit is the smallest bound, in connections a second, so that a box that is in reads some, and notices when its
	// delay is over.
	minLimit = 4.0
	// burstTime is how long a box may have read less than the bound and make up for it.
	burstTime = 250 * time.Millisecond
	// rateWindow is the time constant of the rates of connections.
	rateWindow = time.Second
	// liftShare is the share of the bound below which the connections offered no longer need one, and liftAfter how long
	// they must be below it.
	liftShare = 0.7
	liftAfter = 2 * time.Second
)

// rate is a moving average of events a second.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) decay(now time.Time) {
	if now.After(r.at) {
		r.count *= math.Exp(-float64(now.Sub(r.at)) / float64(rateWindow))
		r.at = now
	}
}

func (r *rate) add(now time.Time) {
	r.decay(now)
	r.count++
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.count / rateWindow.Seconds()
}

// Gate bounds the new connections a second that a box reads, while the box is over what it can carry. The zero value reads
// all, and is safe for concurrent use.
type Gate struct {
	mu            sync.Mutex
	offered, read rate
	// limit is the bound in connections a second; 0 if there is none. tokens are the connections that may be read at once,
	// at refilledAt.
	limit      float64
	tokens     float64
	refilledAt time.Time
	steppedAt  time.Time
	// stepDelay is the own delay at the last step, and stepRead the number of connections read since.
	stepDelay time.Duration
	stepRead  int
	// neededAt is when the connections offered last needed the bound.
	neededAt time.Time
}

// State is the state of a Gate for display. The rates are in connections a second; Limit is 0 if there is no bound.
type State struct{ Offered, Read, Limit float64 }

// Admit reports whether a new connection is read.
func (g *Gate) Admit(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offered.add(now)
	if g.limit > 0 {
		most := max(1, g.limit*burstTime.Seconds())
		g.tokens = min(most, g.tokens+g.limit*max(0, now.Sub(g.refilledAt)).Seconds())
		g.refilledAt = now
		if g.tokens < 1 {
			return false
		}
		g.tokens--
	}
	g.read.add(now)
	g.stepRead++
	return true
}

// Step adapts the bound to the box's own delay. full means that the box has no memory left for more requests. hot means that
// the box gets much more than the others; otherwise there is no bound. changed reports whether a bound was set or lifted.
func (g *Gate) Step(now time.Time, own time.Duration, full, hot bool) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit > 0 && g.offered.perSecond(now) > liftShare*g.limit {
		g.neededAt = now
	}
	if g.limit > 0 && (!hot || now.Sub(g.neededAt) >= liftAfter) {
		g.limit = 0
		return true
	}
	elapsed := now.Sub(g.steppedAt)
	if elapsed < stepInterval {
		return false
	}
	carried := g.carried(own, elapsed)
	g.steppedAt, g.stepDelay, g.stepRead = now, own, 0
	before := g.limit
	switch {
	case !hot:
	case full:
		g.limit = max(minLimit, minDrainShare*carried)
	case own > overDelay:
		excess := (own - overDelay).Seconds() / drainTime.Seconds()
		g.limit = max(minLimit, carried*min(maxDrainShare, max(minDrainShare, 1-excess)))
	case g.limit > 0 && own < calmDelay:
		g.limit *= increaseFactor
	}
	if before == 0 && g.limit > 0 {
		g.tokens, g.refilledAt, g.neededAt = 0, now, now
		return true
	}
	return false
}

// carried estimates how many connections a second the box carries. What it reads beyond that makes its delay rise: by a
// second each second if it reads twice as many. g.mu is held.
func (g *Gate) carried(own, elapsed time.Duration) float64 {
	read := float64(g.stepRead) / elapsed.Seconds()
	slope := (own - g.stepDelay).Seconds() / elapsed.Seconds()
	return read / (1 + min(maxSlope, max(minSlope, slope)))
}

// Limited reports whether there is a bound.
func (g *Gate) Limited() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit > 0
}

// State returns the present state.
func (g *Gate) State(now time.Time) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{Offered: g.offered.perSecond(now), Read: g.read.perSecond(now), Limit: g.limit}
}
