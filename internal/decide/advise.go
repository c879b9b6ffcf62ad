package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// RoleChange proposes that engines of a pool change their role.
type RoleChange struct {
	Pool    string
	Region  string
	Engines []string
	Role    EngineRole // The role they should take.
}

const (
	// minGain is by what factor the capacity of a pool must grow for a change of role while it
	// has requests: an engine that changes its role is unavailable for some seconds. minIdleGain
	// is the same while the pool has none, when a change costs nothing.
	minGain     = 1.25
	minIdleGain = 1.1
	// idleAfter is the time without requests after which a pool counts as idle. A box must
	// also have been running for that long.
	idleAfter = 2 * time.Second
	// busyChangeDivisor bounds how many engines change at once while there are requests: one in
	// so many of a role. The other engines must take over their work meanwhile.
	busyChangeDivisor = 4
	// stableFor is how long no engine must have been added or removed: when a fleet starts or its
	// list is read again, engines appear one by one, and a partial list gives wrong recommendations.
	stableFor = 1500 * time.Millisecond
	// defaultWorkRatio is the ratio of a request's work on a decode engine to that on a prefill
	// engine before any requests are observed. On real deployments it is 2.8 to 3.4
	// (docs/design/measures.md). It has the weight of defaultRatioWeight requests.
	defaultWorkRatio   = 3.0
	defaultRatioWeight = 100
)

// workRatio is the ratio of a mean request's work on a decode engine to that on a prefill
// engine. The more requests have been observed, the less the default ratio counts.
//
// Example: the first 100 requests take a decode engine as long as a prefill engine, and the
// default is three times as long. The ratio is the geometric mean of both: 1.7.
func (p *pool) workRatio(region string) float64 {
	n := p.sampleCount()
	if n == 0 {
		return defaultWorkRatio
	}
	reg := p.region(region)
	f := &flight{Request: Request{
		Region: region, PromptTokens: int(p.meanPrompt), MaxTokens: int(p.meanOutput), BetweenTokens: p.tokenTarget,
	}}
	prefillTime := max(reg.decode[0].prefillTime(int(p.meanUncached)), p.minTransferTime(int(p.meanPrompt))) // All engines of a pool are alike.
	weight := float64(n) / float64(n+defaultRatioWeight)
	ratio := max(minRatio, p.decodeWork(f).Seconds()/max(minWork, prefillTime.Seconds()))
	return math.Exp(weight*math.Log(ratio) + (1-weight)*math.Log(defaultWorkRatio))
}

// sampleCount is how many requests the estimated work per request is based on.
func (p *pool) sampleCount() int {
	switch {
	case !p.speedKnown() || p.tokenTarget == 0: // The target between tokens is known only from the box's own requests.
		return 0
	case !p.EstimatesSpeed:
		return p.requestCount
	}
	return min(p.requestCount, p.speed.prefillCount, p.speed.stepCount)
}

// minRatio and minWork, in seconds, avoid division by zero and the logarithm of zero.
const (
	minRatio = 1e-3
	minWork  = 1e-6
)

// RecommendRoleChange returns which engines should change their role, if any. A pool carries as many
// requests as its scarcer role does, so the best split is the one whose busier role is
// least busy.
//
// Example: a request takes 100 ms of a prefill engine and 500 ms of a decode engine, and
// there are 3 and 6 of them. The roles take 33 and 83 ms per request; with 2 and 7 engines
// it is 50 and 71, which is 1.17 times better. With 300 ms instead of 500 it would be 50 and
// 43 instead of 33 and 50, and nothing changes.
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
	reg := p.region(region)
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

// notLeaving returns the engines that are not leaving, in the same order.
func notLeaving(list []*engine) []*engine {
	return slices.DeleteFunc(slices.Clone(list), func(e *engine) bool { return e.leaving() })
}

// pickAcrossHalls picks n engines, each in the hall with the most engines of the role left,
// so that every hall keeps some.
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
