package decide

import "time"

// Learned is what a core knows of a pool, for another core to begin with.
type Learned struct {
	Pool string
	Speed
	// Prompt, Read and Output are the mean lengths of prompts, of their parts that are not
	// cached, and of answers, in tokens, and Gap is the target between tokens.
	Prompt, Read, Output float64
	Gap                  time.Duration
	// Requests is how many tell so.
	Requests int
}

// Remember brings what was known of a pool before this core began.
type Remember struct{ Learned }

func (Remember) event() {}

// Learnt says that what is known of a pool changed clearly.
type Learnt struct{ Learned }

func (Learnt) action() {}

// clearly is the part by which a figure must differ from what was last said of it.
const clearly = 0.2

// learn takes what a request took of a pool's engines.
func (c *Core) learn(p *pool, t Timing) {
	if !p.Learns || !p.speed.took(t) {
		return
	}
	p.apply()
	p.measure()
	if l := p.learned(); p.known() && l.Differs(p.said, clearly) {
		p.said = l
		c.emit(Learnt{l})
	}
}

func (p *pool) learned() Learned {
	return Learned{p.Name, p.speed.Speed, p.meanPrompt, p.meanRead, p.meanOutput, p.gap, p.evidence()}
}

// mostRemembered bounds the requests that what was known before counts as: so many that the
// usual ratio of the roles hardly counts beside it, and traffic that changed soon does.
const mostRemembered = 4 * usualSeen

// Learned lists what is known of the pools that learn and have had requests.
func (c *Core) Learned() []Learned {
	var out []Learned
	for _, name := range c.names {
		if p := c.pools[name]; p.Learns && p.evidence() >= speedLeast {
			out = append(out, p.learned())
		}
	}
	return out
}

// remember takes it for a pool, also for one that is not configured yet.
func (c *Core) remember(l Learned) {
	c.remembered[l.Pool] = l
	if p := c.pools[l.Pool]; p != nil {
		p.remember(l)
		p.apply()
		p.measure()
	}
}

func (p *pool) remember(l Learned) {
	n := min(l.Requests, mostRemembered)
	p.speed.remember(l.Speed, n)
	if p.seen == 0 {
		p.seen, p.gap = n, l.Gap
		p.meanPrompt, p.meanRead, p.meanOutput = l.Prompt, l.Read, l.Output
	}
}

// Differs says that two cores' knowledge of a pool differs by more than a part, in any figure.
func (l Learned) Differs(o Learned, part float64) bool {
	other := o.figures()
	for i, a := range l.figures() {
		if b := other[i]; max(a, b)-min(a, b) > part*max(a, b) {
			return true
		}
	}
	return false
}

// figures are those that decisions rest on.
func (l Learned) figures() [5]float64 {
	return [5]float64{l.PrefillRate, l.Step.Seconds(), l.Begin.Seconds(), l.Prompt, l.Output}
}
