package decide

import "time"

// Estimates holds what a core has estimated for a pool: the speed of the pool's engines and the mean lengths of
// requests. Estimates are stored, and given to cores that start later.
type Estimates struct {
	Pool string
	Speed
	// Prompt, UncachedPrompt and Output are mean lengths in tokens: of prompts, of the uncached parts of prompts,
	// and of answers. TokenTarget is the target for the time between tokens.
	Prompt, UncachedPrompt, Output float64
	TokenTarget                    time.Duration
	// Requests is how many requests the estimates are based on.
	Requests int
}

// SetEstimates gives a core the estimates of a pool that other cores made before this core started.
type SetEstimates struct{ Estimates }

func (SetEstimates) event() {}

// EstimatesChanged reports that an estimate of a pool changed by more than the fraction minPublishedChange. The
// estimates should then be published again.
type EstimatesChanged struct{ Estimates }

func (EstimatesChanged) action() {}

// minPublishedChange decides when estimates are published again. An estimate must differ from its last published value
// by more than this fraction.
const minPublishedChange = 0.2

// learn improves a pool's estimates by the timing of one request. If an estimate changed clearly, learn reports this.
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

// maxPriorRequests bounds how much prior estimates count. Prior estimates are those from before this core started. They
// count as much as at most this number of requests. The number is large enough to outweigh defaultWorkRatio. It is
// small enough for changed traffic to show soon.
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

// handleSetEstimates stores the estimates of a pool. It also works before the pool is configured.
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

// Differs reports whether the two estimates differ in any compared value by more than the given fraction. The fraction
// applies to the larger of the two values.
func (l Estimates) Differs(o Estimates, fraction float64) bool {
	other := o.figures()
	for i, a := range l.figures() {
		if b := other[i]; max(a, b)-min(a, b) > fraction*max(a, b) {
			return true
		}
	}
	return false
}

// figures are the values that Differs compares.
func (l Estimates) figures() [5]float64 {
	return [5]float64{l.PrefillRate, l.Step.Seconds(), l.FirstEventDelay.Seconds(), l.Prompt, l.Output}
}
