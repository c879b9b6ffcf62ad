package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Advice says that engines of a pool should change their role.
type Advice struct {
	Pool    string
	Region  string
	Engines []string
	Role    EngineRole // The one they should have.
}

const (
	// adviceGain is how much more a pool must be able to carry for a change of role while it
	// has requests: an engine that changes does nothing for some seconds. idleGain is the same
	// while it has none, when a change costs nothing.
	adviceGain = 1.25
	idleGain   = 1.1
	// idleAfter is how long ago the last request was seen where there are none, and for how
	// long a box must have looked to say so.
	idleAfter = 2 * time.Second
	// busyPart is the part of a role's engines, one in so many, that change at once while there
	// are requests: what they did must be done by the others meanwhile.
	busyPart = 4
	// steadyFor is for how long no engine must have come or gone: when a fleet starts, or its
	// list is read again, engines are listed one by one, and half a list advises wrongly.
	steadyFor = 1500 * time.Millisecond
	// usualRatio is how many times as long a request takes a decode engine as a prefill engine,
	// for all that is known before the first: 2.8 to 3.4 on the deployments that were measured
	// (docs/design/measures.md). It counts as much as usualSeen requests do.
	usualRatio = 3.0
	usualSeen  = 100
)

// workRatio is how many times as long a mean request takes a decode engine as a prefill
// engine. The longer requests have been seen, the less the usual one counts.
//
// Example: the first 100 requests take a decode engine as long as a prefill engine, where
// three times as long is usual. The ratio is the mean of both, by their logarithms: 1.7.
func (p *pool) workRatio(region string) float64 {
	n := p.evidence()
	if n == 0 {
		return usualRatio
	}
	g := p.in(region)
	f := &flight{Request: Request{
		Region: region, PromptTokens: int(p.meanPrompt), MaxTokens: int(p.meanOutput), BetweenTokens: p.gap,
	}}
	read := max(g.decode[0].readTime(int(p.meanRead)), p.idleTransfer(int(p.meanPrompt))) // All engines of a pool are alike.
	seen := float64(n) / float64(n+usualSeen)
	ratio := max(minRatio, p.decodeWork(f).Seconds()/max(minWork, read.Seconds()))
	return math.Exp(seen*math.Log(ratio) + (1-seen)*math.Log(usualRatio))
}

// evidence is how many requests tell what a request asks of engines.
func (p *pool) evidence() int {
	switch {
	case !p.known() || p.gap == 0: // Without a request of its own a box knows no target.
		return 0
	case !p.Learns:
		return p.seen
	}
	return min(p.seen, p.speed.readsSeen, p.speed.stepsSeen)
}

// minRatio and minWork, in seconds, keep the arithmetic sound.
const (
	minRatio = 1e-3
	minWork  = 1e-6
)

// Advise says which engine should change its role, if any should. A pool carries as
// many requests as its scarcer role does, so the best split is the one whose busier
// role is least busy.
//
// Example: a request takes 100 ms of a prefill engine and 500 ms of a decode engine, and
// there are 3 and 6. The roles take 33 and 83 ms a request; with 2 and 7 it is 50 and 71,
// which is 1.17 times better. With 300 ms instead of 500 it would be 50 and 43 in place of
// 33 and 50, and nothing changes.
func (c *Core) Advise() (Advice, bool) {
	for _, name := range c.names {
		p := c.pools[name]
		if c.now.Sub(p.changedAt) < steadyFor {
			continue
		}
		for _, region := range p.regionNames() {
			if a, ok := p.advise(region, c.now); ok {
				return a, true
			}
		}
	}
	return Advice{}, false
}

func (p *pool) regionNames() []string {
	var out []string
	for name := range p.regions {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (p *pool) advise(region string, now time.Time) (Advice, bool) {
	g := p.in(region)
	prefills, decodes := staying(g.prefill), staying(g.decode)
	if len(prefills) == 0 && len(decodes) > 1 {
		return Advice{Pool: p.Name, Region: region, Engines: mostAlike(decodes, 1), Role: Prefill}, true
	}
	if len(prefills) == 0 || len(decodes) == 0 {
		return Advice{}, false
	}
	ratio := p.workRatio(region)
	readersNow, writersNow := len(prefills)+p.Beyond[Prefill], len(decodes)+p.Beyond[Decode]
	busy := func(readers int) float64 {
		writers := readersNow + writersNow - readers
		return max(1/float64(readers), ratio/float64(writers))
	}
	idle := now.Sub(p.seenAt) > idleAfter && now.Sub(p.since) > idleAfter
	gain := adviceGain
	if idle {
		gain = idleGain
	}
	current := readersNow
	best := current
	for n := 1; n < readersNow+writersNow; n++ {
		if busy(n) < busy(best) {
			best = n
		}
	}
	if best == current || busy(current) < gain*busy(best) {
		return Advice{}, false
	}
	from, role := prefills, Decode
	if best > current {
		from, role = decodes, Prefill
	}
	n := min(max(current-best, best-current), len(from)-1)
	if !idle {
		n = min(n, max(1, len(from)/busyPart))
	}
	if n < 1 {
		return Advice{}, false
	}
	return Advice{Pool: p.Name, Region: region, Engines: mostAlike(from, n), Role: role}, true
}

// staying lists the engines that are not leaving, by name.
func staying(list []*engine) []*engine {
	return slices.DeleteFunc(slices.Clone(list), func(e *engine) bool { return e.leaving() })
}

// mostAlike picks n engines, each of the hall that has most engines of the role left, so
// that every hall keeps some.
func mostAlike(list []*engine, n int) []string {
	list = slices.Clone(list)
	halls := map[string]int{}
	for _, e := range list {
		halls[e.Hall]++
	}
	var out []string
	for range n {
		e := slices.MaxFunc(list, func(a, b *engine) int {
			if n := cmp.Compare(halls[a.Hall], halls[b.Hall]); n != 0 {
				return n
			}
			return cmp.Compare(a.Name, b.Name)
		})
		halls[e.Hall]--
		list = slices.DeleteFunc(list, func(o *engine) bool { return o == e })
		out = append(out, e.Name)
	}
	return out
}
