package decide

import (
	"cmp"
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
	// adviceGain is how much more a pool must be able to carry for a change of role:
	// an engine that changes does nothing for some seconds.
	adviceGain = 1.1
	// demandBlend is the weight of one arrival in the mean demand.
	demandBlend = 0.01
	// demandSeen is how many arrivals tell the demand where the operator expects none.
	demandSeen = 50
)

// demand is the mean work of a request on an engine of each role, in seconds.
type demand struct {
	work [2]float64
	seen int
}

func (d *demand) arrived(f *flight) {
	d.seen++
	blend := max(demandBlend, 1/float64(d.seen))
	for role := range d.work {
		d.work[role] += blend * (f.work[role].Seconds() - d.work[role])
	}
}

// expect begins the demand with what the operator expects.
func (p *pool) expect() {
	if p.demand.seen > 0 || p.ExpectPrompt <= 0 {
		return
	}
	for name, g := range p.regions {
		if len(g.decode) == 0 {
			continue
		}
		f := &flight{Request: Request{
			Region: name, PromptTokens: p.ExpectPrompt, BetweenTokens: p.ExpectGap,
			MaxTokens: p.ExpectReserve, ExpectTokens: p.ExpectOutput,
		}}
		read := g.decode[0].readTime(p.ExpectPrompt) // All engines of a pool are alike.
		f.work = [2]time.Duration{read, p.decodeWork(f)}
		p.demand.arrived(f)
		p.demand.seen = demandSeen
		return
	}
}

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
		p.expect()
		if p.demand.seen < demandSeen {
			continue
		}
		for _, region := range p.regionNames() {
			if a, ok := p.advise(region); ok {
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

func (p *pool) advise(region string) (Advice, bool) {
	g := p.in(region)
	prefills, decodes := staying(g.prefill), staying(g.decode)
	if len(prefills) == 0 && len(decodes) > 1 {
		return Advice{Pool: p.Name, Region: region, Engines: mostAlike(decodes, 1), Role: Prefill}, true
	}
	if len(prefills) == 0 || len(decodes) == 0 {
		return Advice{}, false
	}
	busy := func(readers int) float64 {
		writers := len(prefills) + len(decodes) - readers
		return max(p.demand.work[Prefill]/float64(readers), p.demand.work[Decode]/float64(writers))
	}
	now := len(prefills)
	best := now
	for n := 1; n < len(prefills)+len(decodes); n++ {
		if busy(n) < busy(best) {
			best = n
		}
	}
	if best == now || busy(now) < adviceGain*busy(best) {
		return Advice{}, false
	}
	from, role := prefills, Decode
	if best > now {
		from, role = decodes, Prefill
	}
	return Advice{Pool: p.Name, Region: region, Engines: mostAlike(from, max(now-best, best-now)), Role: role}, true
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
