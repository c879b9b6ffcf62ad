package decide

import "time"

// Estimates holds what a core has estimated for a pool: the speed of its engines and the mean lengths of
// its requests. It is stored and given to cores that start later.
type Estimates struct {
	Pool string
	Speed
	// Prompt, UncachedPrompt and Output are the mean lengths, in tokens, of prompts, of the uncached parts
	// of prompts and of answers. TokenTarget is the target for the time between tokens.
	Prompt, UncachedPrompt, Output float64
	TokenTarget                    time.Duration
	// Requests is how many requests the estimates are based on.
	Requests int
}

// SetEstimates gives a core the estimates of a pool that other cores made before it started.
type SetEstimates struct{ Estimates }

func (SetEstimates) event() {}

// EstimatesChanged reports that an estimate of a pool changed by more than the share minPublishedChange,
// so that the estimates should be published again.
type EstimatesChanged struct{ Estimates }

func (EstimatesChanged) action() {}

// minPublishedChange is the fraction by which an estimate must differ from the last published value for the
// estimates to be published again.
const minPublishedChange = 0.2

// learn improves a pool's estimates by the timing of one request.
func (c *Core) learn(p *pool, t Timing) {
	if !p.EstimatesSpeed || !p.speed.add(t) {
		return
	}
	p.applySpeed()
	p.updateFigures()
	if estimates := p.estimates(); p.speedKnown() && estimates.Differs(p.published, minPublishedChange) {
		p.published = estimates
		c.emit(EstimatesChanged{estimates})
	}
}

func (p *pool) estimates() Estimates {
	return Estimates{p.Name, p.speed.Speed, p.meanPrompt, p.meanUncached, p.meanOutput, p.tokenTarget, p.sampleCount()}
}

// maxPriorRequests bounds the number of requests as which prior estimates (those from before this core
// started) count. It is large enough for them to outweigh the default ratio of the roles, and small
// enough for changed traffic to show soon.
const maxPriorRequests = 4 * defaultRatioWeight

// Estimates returns the estimates of all pools that estimate their speed and have had enough requests.
func (c *Core) Estimates() []Estimates {
	var out []Estimates
	for _, name := range c.poolNames {
		if p := c.pools[name]; p.EstimatesSpeed && p.sampleCount() >= minTimings {
			out = append(out, p.estimates())
		}
	}
	return out
}

// handleSetEstimates stores the estimates of a pool. The pool may be configured later.
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

// Differs reports whether any figure of the two estimates differs by more than the given fraction of
// the larger value.
func (l Estimates) Differs(o Estimates, fraction float64) bool {
	other := o.figures()
	for i, a := range l.figures() {
		if b := other[i]; max(a, b)-min(a, b) > fraction*max(a, b) {
			return true
		}
	}
	return false
}

// figures are the estimates that are compared by Differs.
func (l Estimates) figures() [5]float64 {
	return [5]float64{l.PrefillRate, l.Step.Seconds(), l.FirstEventDelay.Seconds(), l.Prompt, l.Output}
}
