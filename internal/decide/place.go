package decide

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// maxSampled bounds the engines of one role that a decision looks at. Up to
	// this many all are; beyond, a random sample is, plus the engines that the
	// prompt's prefix points to. Random samples also keep many boxes with the
	// same stale reports from choosing the same engine.
	maxSampled = 12
	// sampleSize is the size of that random sample.
	sampleSize = 8
	// affineSize is how many engines a prompt's prefix points to.
	affineSize = 2
	// maxShown bounds the candidates kept for `stoatramp why`.
	maxShown = 6
	// otherHallCost is added to pairs in two data halls: links between halls are shared.
	otherHallCost = 0.001
	// silentCost keeps engines with old reports as a last resort, not as a taboo:
	// when all reports freeze, traffic must go on.
	silentCost = 0.250
	// stepWeight turns closeness to the between-tokens target into seconds.
	stepWeight = 0.030
	// avoidCost keeps a retry off the engine the last try failed on, unless it is the only one.
	avoidCost = 1
	// noise is the width of the random part of a cost, in seconds.
	noise = 0.001
)

// pool is the state of one pool: its engines and its waiting requests.
type pool struct {
	Pool
	prefill []*engine
	decode  []*engine
	ring    []ringPoint // Prefill engines by hash, for affinity.
	queue   waitQueue
	// totalRate is the prompt tokens a second of all prefill engines that take work.
	totalRate float64
	// bestLink and bestStep are the fastest link and step in the pool.
	bestLink float64
	bestStep time.Duration
	regions  map[string]regionSize
}

// regionSize is what a region of a pool has at the most.
type regionSize struct {
	prefills int
	mostKV   int // Memory of the largest decode engine, in tokens.
}

// idleTransfer is the time a KV cache takes over the fastest link, unshared.
func (p *pool) idleTransfer(tokens int) time.Duration {
	if p.bestLink <= 0 {
		return 0
	}
	return seconds(float64(tokens) * float64(p.KVBytesPerToken) / p.bestLink)
}

type ringPoint struct {
	hash uint64
	e    *engine
}

// ringPoints is how often each engine stands on the affinity ring.
const ringPoints = 16

func (p *pool) rebuild() {
	byName := func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.prefill, byName)
	slices.SortFunc(p.decode, byName)
	p.ring = p.ring[:0]
	p.measure()
	for _, e := range p.prefill {
		h := fnv.New64a()
		for i := range ringPoints {
			h.Write([]byte{byte(i)})
			h.Write([]byte(e.Name))
			p.ring = append(p.ring, ringPoint{h.Sum64(), e})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// measure works out the figures of the pool as a whole.
func (p *pool) measure() {
	p.totalRate, p.bestLink, p.bestStep = 0, 0, 0
	p.regions = map[string]regionSize{}
	for _, e := range p.prefill {
		if e.Leaving {
			continue
		}
		p.totalRate += e.PrefillRate
		p.bestLink = max(p.bestLink, e.LinkRate)
		g := p.regions[e.Region]
		g.prefills++
		p.regions[e.Region] = g
	}
	for _, e := range p.decode {
		if e.Leaving {
			continue
		}
		if step := e.Step + e.StepPerStream; p.bestStep == 0 || step < p.bestStep {
			p.bestStep = step
		}
		g := p.regions[e.Region]
		g.mostKV = max(g.mostKV, e.KVTokens)
		p.regions[e.Region] = g
	}
}

// affine appends the engines the prefix points to.
func (p *pool) affine(out []*engine, prefix uint64) []*engine {
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= prefix })
	want := len(out) + affineSize
	for n := 0; n < len(p.ring) && len(out) < want; n++ {
		e := p.ring[(i+n)%len(p.ring)].e
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// sample appends the engines to look at.
func (c *Core) sample(out, all []*engine) []*engine {
	if len(all) <= maxSampled {
		return append(out, all...)
	}
	for range sampleSize {
		e := all[c.rng.IntN(len(all))]
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// usable says whether the promises and the engine's health let it take new work.
func (c *Core) usable(e *engine, r *Request, now time.Time, passed *PassedOver) bool {
	switch {
	case e.Region != r.Region:
		passed.Region++
	case e.leaving():
		passed.Leaving++
	case e.health.setAside(now):
		passed.SetAside++
	default:
		return true
	}
	return false
}

// pair is a candidate with the engines it names.
type pair struct {
	Candidate
	prefill, decode *engine
}

// choose compares pairs and returns the cheapest, or nil where there is none.
// The prefill engines and decode engines are filtered first, so the number of
// pairs is bounded by the two samples and not by the pool.
func (c *Core) choose(p *pool, f *flight, now time.Time) (*pair, *Choice) {
	ch := &Choice{}
	decodes := c.decodeEngines(p, f, now, &ch.Passed)
	if len(decodes) == 0 {
		return nil, ch
	}
	prefills := c.prefillEngines(p, f, now, &ch.Passed)
	c.pairs = c.pairs[:0]
	for _, pe := range prefills {
		for _, de := range decodes {
			c.pairs = append(c.pairs, c.predict(p, f, pe, de, now))
		}
	}
	ch.Compared = len(c.pairs)
	if len(c.pairs) == 0 {
		return nil, ch
	}
	slices.SortFunc(c.pairs, func(a, b pair) int { return cmp.Compare(a.Cost, b.Cost) })
	for i := range min(maxShown, len(c.pairs)) {
		ch.Candidates = append(ch.Candidates, c.pairs[i].Candidate)
	}
	return &c.pairs[0], ch
}

func (c *Core) prefillEngines(p *pool, f *flight, now time.Time, passed *PassedOver) []*engine {
	c.prefills = slices.DeleteFunc(c.lookAt(p, f), func(e *engine) bool {
		return !c.usable(e, &f.Request, now, passed)
	})
	return c.prefills
}

// lookAt returns the prefill engines a decision about the request considers.
func (c *Core) lookAt(p *pool, f *flight) []*engine {
	c.prefills = c.prefills[:0]
	if len(f.Blocks) > 0 && len(p.prefill) > maxSampled {
		c.prefills = p.affine(c.prefills, f.Blocks[0])
	}
	c.prefills = c.sample(c.prefills, p.prefill)
	return c.prefills
}

func (c *Core) decodeEngines(p *pool, f *flight, now time.Time, passed *PassedOver) []*engine {
	c.decodes = c.sample(c.decodes[:0], p.decode)
	c.decodes = slices.DeleteFunc(c.decodes, func(e *engine) bool {
		if !c.usable(e, &f.Request, now, passed) {
			return true
		}
		if e.freeKV() < f.need() {
			passed.NoRoom++
			return true
		}
		// A stream that must run late anyway may join a slow batch, but an
		// engine with nothing running is never too slow to try.
		if !f.patient && e.stepTime() > f.BetweenTokens && e.running() > 0 {
			passed.TooSlow++
			return true
		}
		return false
	})
	return c.decodes
}

// predict works out the figures of one pair.
func (c *Core) predict(p *pool, f *flight, pe, de *engine, now time.Time) pair {
	q := pair{prefill: pe, decode: de, Candidate: Candidate{
		Prefill:  pe.Name,
		Decode:   de.Name,
		SameHall: pe.Hall == de.Hall,
		Cached:   pe.cachedTokens(f),
		Queue:    pe.queueTime(now),
		FreeKV:   de.freeKV(),
		Step:     de.stepTime(),
	}}
	q.Read = pe.readTime(f.PromptTokens - q.Cached)
	ready := now.Add(q.Queue + q.Read)
	q.Transfer = transferEnd(p, f, pe, de, ready).Sub(ready)
	q.First = q.Queue + q.Read + q.Transfer + q.Step
	q.Cost = q.First.Seconds() + c.penalties(f, &q)
	return q
}

func (c *Core) penalties(f *flight, q *pair) float64 {
	load := q.Step.Seconds() / f.BetweenTokens.Seconds()
	cost := stepWeight*load*load + noise*c.rng.Float64()
	if !q.SameHall {
		cost += otherHallCost
	}
	if q.prefill == f.avoid || q.decode == f.avoid {
		cost += avoidCost
	}
	if q.prefill.silent() {
		cost += silentCost
	}
	if q.decode.silent() {
		cost += silentCost
	}
	if f.Policy != nil {
		cost += f.Policy.Weigh(&f.Request, &q.Candidate)
	}
	return cost
}

// transferEnd predicts when a transfer that may start at ready would be over.
func transferEnd(p *pool, f *flight, pe, de *engine, ready time.Time) time.Time {
	start := ready
	for _, e := range []*engine{pe, de} {
		if start.Before(e.linkUntil) {
			start = e.linkUntil
		}
	}
	rate := min(pe.LinkRate, de.LinkRate)
	return start.Add(seconds(float64(f.PromptTokens) * float64(p.KVBytesPerToken) / rate))
}
