package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RoleChange recommends that some engines of a pool change their role.
type RoleChange struct {
	Pool    string
	Region  string
	Engines []string
	Role    EngineRole // The new role of the engines.
}

const (
	// minGain is the factor by which a change of role must raise the capacity of a pool that has requests. It is
	// large because an engine that changes its role is unavailable for some seconds. minIdleGain is the factor for
	// a pool without requests. There, a change costs nothing.
	minGain     = 1.25
	minIdleGain = 1.1
	// A pool without requests for idleAfter counts as idle. This box must also have known the pool for that long.
	idleAfter = 2 * time.Second
	// busyChangeDivisor bounds how many engines change their role at the same time while the pool has requests. The
	// bound is the number of engines of the role divided by busyChangeDivisor, but at least one. The other engines
	// must do all the work until the change is done.
	busyChangeDivisor = 4
	// stableFor is how long the number of engines must have stayed the same. When a fleet starts or its list is
	// read again, engines are listed one by one. An incomplete list gives wrong recommendations.
	stableFor = 1500 * time.Millisecond
	// defaultWorkRatio is the work ratio (see workRatio) that is assumed before any requests are observed. On real
	// deployments the ratio is 2.8 to 3.4 (docs/design/measures.md). In workRatio the default counts as much as
	// defaultRatioWeight observed requests.
	defaultWorkRatio   = 3.0
	defaultRatioWeight = 100
)

// workRatio is a mean request's work on a decode engine, divided by its work on a prefill engine. The result is a
// weighted geometric mean of the observed ratio and defaultWorkRatio. The more requests were observed, the less the
// default counts.
//
// Example: the first 100 requests took as much time of decode engines as of prefill engines, so the observed ratio is
// 1. The default is 3 and has the same weight. The result is the geometric mean of 1 and 3, which is 1.7.
func (p *pool) workRatio(region string) float64 {
	n := p.sampleCount()
	if n == 0 {
		return defaultWorkRatio
	}
	reg := p.regionNamed(region)
	f := &flight{Request: Request{
		Region: region, PromptTokens: int(p.meanPrompt), MaxTokens: int(p.meanOutput), BetweenTokens: p.tokenTarget,
	}}
	// All engines of a pool are alike, so any of them gives the prefill time.
	prefillTime := max(reg.decode[0].prefillTime(int(p.meanUncached)), p.minTransferTime(int(p.meanPrompt)))
	weight := float64(n) / float64(n+defaultRatioWeight)
	observedRatio := max(minRatio, p.decodeWork(f).Seconds()/max(minWork, prefillTime.Seconds()))
	return math.Exp(weight*math.Log(observedRatio) + (1-weight)*math.Log(defaultWorkRatio))
}

// sampleCount is the number of requests that the observed work ratio is based on.
func (p *pool) sampleCount() int {
	switch {
	case !p.speedKnown() || p.tokenTarget == 0: // Only the box's own requests show the target between tokens.
		return 0
	case !p.EstimatesSpeed:
		return p.requestCount
	}
	return min(p.requestCount, p.speed.prefillCount, p.speed.stepCount)
}

// minRatio, and minWork in seconds, avoid the logarithm of zero and a division by zero.
const (
	minRatio = 1e-3
	minWork  = 1e-6
)

// RecommendRoleChange returns engines that should change their role, if there are any. The number of requests that a
// pool can serve depends on the role that is more heavily loaded. So the best split of the engines into roles is the
// split with the lowest load on that role.
//
// Example: a request takes 100 ms of a prefill engine and 500 ms of a decode engine, and there are 3 prefill and 6
// decode engines. Per request, the prefill engines together are busy for 33 ms and the decode engines for 83 ms. With 2
// and 7 engines these are 50 and 71 ms. This raises the capacity by a factor of 1.17 (83/71).
//
// Example: a request takes only 300 ms of a decode engine. Then 3 and 6 engines give 33 and 50 ms, and 2 and 7 engines
// give 50 and 43 ms. The larger number is 50 ms in both cases, so nothing would change.
func (c *Core) RecommendRoleChange() (RoleChange, bool) {
	for _, name := range c.poolNames {
		p := c.pools[name]
		if c.now.Sub(p.changedAt) < stableFor {
			continue
		}
		for _, region := range p.regionNames() {
			if a, ok := p.recommendRoleChange(region, c.now); ok {
				return a, true
			}
		}
	}
	return RoleChange{}, false
}

func (p *pool) regionNames() []string {
	var out []string
	for name := range p.regions {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func (p *pool) recommendRoleChange(region string, now time.Time) (RoleChange, bool) {
	reg := p.regionNamed(region)
	prefills, decodes := notLeaving(reg.prefill), notLeaving(reg.decode)
	if len(prefills) == 0 && len(decodes) > 1 {
		return RoleChange{Pool: p.Name, Region: region, Engines: pickAcrossHalls(decodes, 1), Role: Prefill}, true
	}
	if len(prefills) == 0 || len(decodes) == 0 {
		return RoleChange{}, false
	}
	ratio := p.workRatio(region)
	prefillsNow, decodesNow := len(prefills)+p.UnlistedEngines[Prefill], len(decodes)+p.UnlistedEngines[Decode]
	load := func(nPrefill int) float64 {
		nDecode := prefillsNow + decodesNow - nPrefill
		return max(1/float64(nPrefill), ratio/float64(nDecode))
	}
	idle := now.Sub(p.lastRequestAt) > idleAfter && now.Sub(p.createdAt) > idleAfter
	gain := minGain
	if idle {
		gain = minIdleGain
	}
	current := prefillsNow
	best := current
	for n := 1; n < prefillsNow+decodesNow; n++ {
		if load(n) < load(best) {
			best = n
		}
	}
	if best == current || load(current) < gain*load(best) {
		return RoleChange{}, false
	}
	from, role := prefills, Decode
	if best > current {
		from, role = decodes, Prefill
	}
	n := min(max(current-best, best-current), len(from)-1)
	if !idle {
		n = min(n, max(1, len(from)/busyChangeDivisor))
	}
	if n < 1 {
		return RoleChange{}, false
	}
	return RoleChange{Pool: p.Name, Region: region, Engines: pickAcrossHalls(from, n), Role: role}, true
}

// notLeaving returns the engines that are not leaving and so can get new work. They stay in the same order.
func notLeaving(list []*engine) []*engine {
	return slices.DeleteFunc(slices.Clone(list), func(e *engine) bool { return e.leaving() })
}

// pickAcrossHalls selects n engines of a role. It selects one after another, each from the hall that has the most
// engines of the role left. So no hall loses many more engines than other halls.
func pickAcrossHalls(list []*engine, n int) []string {
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
