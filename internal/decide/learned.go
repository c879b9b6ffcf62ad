package decide

import "time"

// Learned holds a core's estimates for a pool, with which another core can start.
type Learned struct {
	Pool string
	Speed
	// Prompt, Read and Output are the mean lengths of prompts, of their uncached parts and of
	// answers, in tokens. Gap is the target between tokens.
	Prompt, Read, Output float64
	Gap                  time.Duration
	// Requests is how many requests the estimates are based on.
	Requests int
}

// Remember sets the estimates of a pool from before this core started.
type Remember struct{ Learned }

func (Remember) event() {}

// Learnt reports that the estimates of a pool changed by more than minPublishedChange.
type Learnt struct{ Learned }

func (Learnt) action() {}

// minPublishedChange is the fraction by which a figure must differ from the last published one.
const minPublishedChange = 0.2

// learn updates a pool's estimates by the timing of a request.
func (c *Core) learn(p *pool, t Timing) {
	if !p.Learns || !p.speed.add(t) {
		return
	}
	p.applySpeed()
	p.updateFigures()
	if l := p.estimates(); p.speedKnown() && l.Differs(p.published, minPublishedChange) {
		p.published = l
		c.emit(Learnt{l})
	}
}

func (p *pool) estimates() Learned {
	return Learned{p.Name, p.speed.Speed, p.meanPrompt, p.meanRead, p.meanOutput, p.tokenTarget, p.sampleCount()}
}

// maxPriorRequests bounds the weight of prior estimates, in requests. It is large enough for
// them to outweigh the default ratio of the roles, and small enough for changed traffic to
// show soon.
const maxPriorRequests = 4 * defaultRatioWeight

// Learned returns the estimates of the pools that learn and have had requests.
func (c *Core) Learned() []Learned {
	var out []Learned
	for _, name := range c.names {
		if p := c.pools[name]; p.Learns && p.sampleCount() >= minTimings {
			out = append(out, p.estimates())
		}
	}
	return out
}

// handleRemember stores the estimates of a pool, also of one that is not configured yet.
func (c *Core) handleRemember(l Learned) {
	c.priorEstimates[l.Pool] = l
	if p := c.pools[l.Pool]; p != nil {
		p.setPrior(l)
		p.applySpeed()
		p.updateFigures()
	}
}

func (p *pool) setPrior(l Learned) {
	n := min(l.Requests, maxPriorRequests)
	p.speed.setPrior(l.Speed, n)
	if p.requestCount == 0 {
		p.requestCount, p.tokenTarget = n, l.Gap
		p.meanPrompt, p.meanRead, p.meanOutput = l.Prompt, l.Read, l.Output
	}
}

// Differs reports whether any figure of the two estimates differs by more than the given fraction.
func (l Learned) Differs(o Learned, part float64) bool {
	other := o.figures()
	for i, a := range l.figures() {
		if b := other[i]; max(a, b)-min(a, b) > part*max(a, b) {
			return true
		}
	}
	return false
}

// figures are the estimates that decisions are based on.
func (l Learned) figures() [5]float64 {
	return [5]float64{l.PrefillRate, l.Step.Seconds(), l.Begin.Seconds(), l.Prompt, l.Output}
}
