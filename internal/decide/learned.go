package decide

import "time"

// Estimates holds a core's estimates for a pool, with which another core can start.
type Estimates struct {
	Pool string
	Speed
	// Prompt, UncachedPrompt and Output are the mean lengths of prompts, of their uncached parts and of
	// answers, in tokens. TokenTarget is the target between tokens.
	Prompt, UncachedPrompt, Output float64
	TokenTarget                    time.Duration
	// Requests is how many requests the estimates are based on.
	Requests int
}

// SetEstimates sets the estimates of a pool from before this core started.
type SetEstimates struct{ Estimates }

func (SetEstimates) event() {}

// EstimatesChanged reports that the estimates of a pool changed by more than minPublishedChange.
type EstimatesChanged struct{ Estimates }

func (EstimatesChanged) action() {}

// minPublishedChange is the fraction by which a figure must differ from the last published one.
const minPublishedChange = 0.2

// learn updates a pool's estimates by the timing of a request.
func (c *Core) learn(p *pool, t Timing) {
	if !p.EstimatesSpeed || !p.speed.add(t) {
		return
	}
	p.applySpeed()
	p.updateFigures()
	if l := p.estimates(); p.speedKnown() && l.Differs(p.published, minPublishedChange) {
		p.published = l
		c.emit(EstimatesChanged{l})
	}
}

func (p *pool) estimates() Estimates {
	return Estimates{p.Name, p.speed.Speed, p.meanPrompt, p.meanUncached, p.meanOutput, p.tokenTarget, p.sampleCount()}
}

// maxPriorRequests bounds the weight of prior estimates, in requests. It is large enough for
// them to outweigh the default ratio of the roles, and small enough for changed traffic to
// show soon.
const maxPriorRequests = 4 * defaultRatioWeight

// Estimates returns the estimates of the pools that learn and have had requests.
func (c *Core) Estimates() []Estimates {
	var out []Estimates
	for _, name := range c.poolNames {
		if p := c.pools[name]; p.EstimatesSpeed && p.sampleCount() >= minTimings {
			out = append(out, p.estimates())
		}
	}
	return out
}

// handleSetEstimates stores the estimates of a pool, also of one that is not configured yet.
func (c *Core) handleSetEstimates(l Estimates) {
	c.priorEstimates[l.Pool] = l
	if p := c.pools[l.Pool]; p != nil {
		p.setPrior(l)
		p.applySpeed()
		p.updateFigures()
	}
}

func (p *pool) setPrior(l Estimates) {
	n := min(l.Requests, maxPriorRequests)
	p.speed.setPrior(l.Speed, n)
	if p.requestCount == 0 {
		p.requestCount, p.tokenTarget = n, l.TokenTarget
		p.meanPrompt, p.meanUncached, p.meanOutput = l.Prompt, l.UncachedPrompt, l.Output
	}
}

// Differs reports whether any figure of the two estimates differs by more than the given fraction.
func (l Estimates) Differs(o Estimates, part float64) bool {
	other := o.figures()
	for i, a := range l.figures() {
		if b := other[i]; max(a, b)-min(a, b) > part*max(a, b) {
			return true
		}
	}
	return false
}

// figures are the estimates that decisions are based on.
func (l Estimates) figures() [5]float64 {
	return [5]float64{l.PrefillRate, l.Step.Seconds(), l.FirstEventDelay.Seconds(), l.Prompt, l.Output}
}
