package decide

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// sampleThreshold is the number of engines of one role up to which a decision compares
	// all of them. Beyond, it compares a random sample plus the engines that the prefix hash
	// of the prompt maps to. Random samples also keep boxes with the same stale reports from
	// all choosing the same engine.
	sampleThreshold = 12
	// sampleSize is the size of that random sample.
	sampleSize = 8
	// affineCount is the number of engines that a prefix hash maps to.
	affineCount = 2
	// maxCandidates bounds the pairs that a policy weighs in one decision and that
	// `stoatramp why` shows.
	maxCandidates = 6
	// crossHallCost is added, in seconds, to pairs in two data halls: links between halls are shared.
	crossHallCost = 0.001
	// remoteHallCost is added, in seconds, for each engine in another hall than the box: prompt
	// and answer cross the links between halls, and boxes of different halls seldom choose the
	// same engine at the same moment. A queue outweighs it. Values from 0.003 to 0.03 give the
	// same results within the noise.
	remoteHallCost = 0.010
	// staleLoadCost, in seconds, makes engines with old reports a last resort without excluding
	// them: if all reports freeze, traffic must continue.
	staleLoadCost = 0.250
	// stepLoadWeight converts the squared ratio of step time to between-tokens target into seconds.
	stepLoadWeight = 0.030
	// prefillWorkWeight counts prefill time again, because it also delays the requests
	// that come after: a cached prefix is worth some waiting.
	prefillWorkWeight = 2.0
	// maxAffinityFactor bounds the bonus of a prefix's preferred engine, as a multiple of the
	// prefill time of the uncached part of the prefix. affinityGain is how fast that bound is
	// approached as cache predictions prove wrong.
	affinityGain      = 4
	maxAffinityFactor = 5.0
	// avoidCost, in seconds, keeps a retry off the engine that failed last, unless it is the only one.
	avoidCost = 1
	// costNoise is the width of the random part of a cost, in seconds.
	costNoise = 0.001
)

// pool is the state of one pool: its engines and its waiting requests.
type pool struct {
	Pool
	prefill         []*engine
	decode          []*engine
	ring            []ringPoint // Prefill engines by hash, for prefix affinity.
	queue           waitQueue
	throughput      throughput
	predictionError predictionError
	urgency         urgency
	speed           speed
	// published are the estimates last published to the driver.
	published Estimates
	// createdAt is when the pool was first configured, and changedAt when engines were last
	// added or removed.
	createdAt, changedAt time.Time
	requestLengths
	// scarceRole is the role that most waiting requests lack.
	scarceRole EngineRole
	// minStepPerStream is what one stream adds to a step on the engine with the shortest step.
	minStepPerStream time.Duration
	// maxLinkRate and minStep are the fastest link and the shortest step in the pool.
	maxLinkRate float64
	minStep     time.Duration
	regions     map[string]*region
	// endsKnown reports that the stream ends of all boxes are received.
	endsKnown bool
	// lastMigrateCheck is when streams to migrate were last searched for.
	lastMigrateCheck time.Time
}

// region is the part of a pool in one region. Requests never leave their region, so
// samples are drawn from it and not from the pool.
type region struct {
	prefill         []*engine
	decode          []*engine
	stayingPrefills int // Those not leaving by the configuration.
	// maxKV and maxSlots are the memory in tokens and the slots of the largest decode engine
	// that stays; 0 slots mean no bound.
	maxKV    int
	maxSlots int
}

// in returns the part of the pool in a region, which may be empty.
func (p *pool) in(name string) *region {
	g := p.regions[name]
	if g == nil {
		g = &region{}
		p.regions[name] = g
	}
	return g
}

// maxBatch is how many streams a decode engine can run within the between-tokens target.
func (p *pool) maxBatch(target time.Duration) int {
	if p.minStepPerStream <= 0 {
		return batchLimit // Streams do not slow each other: only memory and slots bound them.
	}
	return min(batchLimit, max(1, 1+int((target-p.minStep)/p.minStepPerStream)))
}

// batchLimit bounds the streams of an engine where nothing else does.
const batchLimit = 4096

// decodeWork is a request's share of a decode engine that is full of requests like it,
// limited either by the between-tokens target or by memory or slots. Each stream counts
// with half its answer's memory, since streams are at all points of their answers at once.
//
// Example: the target allows 100 streams, the memory 10 such requests at half their
// length, and a step takes 1 ms with 10 streams. 400 tokens take 400 ms and a tenth of
// the engine: 40 ms.
func (p *pool) decodeWork(f *flight) time.Duration {
	n := p.maxBatch(f.BetweenTokens)
	step := f.BetweenTokens
	g := p.in(f.Region)
	fits := g.maxKV / max(1, f.PromptTokens+f.MaxTokens/2)
	if g.maxSlots > 0 {
		fits = min(fits, g.maxSlots)
	}
	if fits < n {
		n = max(1, fits)
		step = p.minStep + time.Duration(n-1)*p.minStepPerStream
	}
	return time.Duration(f.expectedOutput()) * step / time.Duration(n)
}

// minTransferTime is the time that a KV cache takes over the fastest link if nothing shares it.
func (p *pool) minTransferTime(tokens int) time.Duration {
	if p.maxLinkRate <= 0 {
		return 0
	}
	return seconds(float64(tokens) * float64(p.KVBytesPerToken) / p.maxLinkRate)
}

type ringPoint struct {
	hash uint64
	e    *engine
}

// ringPointsPerEngine is the number of points of each engine on the affinity ring.
const ringPointsPerEngine = 16

func (p *pool) rebuild() {
	byName := func(a, b *engine) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(p.prefill, byName)
	slices.SortFunc(p.decode, byName)
	p.ring = p.ring[:0]
	p.applySpeed()
	p.updateFigures()
	for _, e := range p.prefill {
		h := fnv.New64a()
		for i := range ringPointsPerEngine {
			h.Write([]byte{byte(i)})
			h.Write([]byte(e.Name))
			p.ring = append(p.ring, ringPoint{h.Sum64(), e})
		}
	}
	slices.SortFunc(p.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
}

// updateFigures recomputes the figures of the pool as a whole.
func (p *pool) updateFigures() {
	p.maxLinkRate, p.minStep = 0, 0
	p.regions = map[string]*region{}
	for _, e := range p.prefill {
		g := p.in(e.Region)
		g.prefill = append(g.prefill, e)
		if e.Leaving || e.Evacuated {
			continue
		}
		p.maxLinkRate = max(p.maxLinkRate, e.LinkRate)
		g.stayingPrefills++
	}
	p.throughput.setEngines(Prefill, len(p.prefill))
	p.throughput.setEngines(Decode, len(p.decode))
	for _, e := range p.decode {
		g := p.in(e.Region)
		g.decode = append(g.decode, e)
		if e.Leaving || e.Evacuated {
			continue
		}
		if step := e.Step + e.StepPerStream; p.minStep == 0 || step < p.minStep {
			p.minStep, p.minStepPerStream = step, e.StepPerStream
		}
		g.maxKV = max(g.maxKV, e.KVTokens)
		g.maxSlots = max(g.maxSlots, e.Slots)
	}
}

// preferredPrefill is the engine to which all boxes send a prefix that is not known to be
// cached anywhere. It does not depend on what this box has observed. Nil without a prefix.
func (p *pool) preferredPrefill(f *flight) *engine {
	if len(f.Blocks) == 0 || len(p.ring) == 0 {
		return nil
	}
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= f.Blocks[0] })
	return p.ring[i%len(p.ring)].e
}

// appendAffine appends the engines that the prefix hash maps to.
func (p *pool) appendAffine(out []*engine, prefix uint64) []*engine {
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= prefix })
	want := len(out) + affineCount
	for n := 0; n < len(p.ring) && len(out) < want; n++ {
		e := p.ring[(i+n)%len(p.ring)].e
		if !slices.Contains(out, e) {
			out = append(out, e)
		}
	}
	return out
}

// appendSample appends the engines to compare: all of a small list, a random sample of a large one.
func (c *Core) appendSample(out, all []*engine) []*engine {
	if len(all) <= sampleThreshold {
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

// usable reports whether the engine may take new work, and counts the reason if not. It
// does not check the region: only engines of the request's own are ever compared.
func (c *Core) usable(e *engine, now time.Time, excluded *Exclusions) bool {
	switch {
	case e.leaving():
		excluded.Leaving++
	case c.throttledFor(e) > 0:
		excluded.Throttled++
	case e.health.setAside(now):
		excluded.SetAside++
	case e.cold(now):
		excluded.Cold++
	default:
		return true
	}
	return false
}

// prefillOption holds the figures of a prefill engine for one request, so that they are
// computed once and not for each pair.
type prefillOption struct {
	e            *engine
	cachedTokens int
	queue        time.Duration
	ahead        time.Duration // The part of queue that is due to work of at least the same urgency.
	prefillTime  time.Duration
	readyAt      time.Time // Predicted end of the prefill.
	cost         float64   // The part of the cost that does not depend on the decode engine.
}

// decodeOption holds the figures of a decode engine for one request.
type decodeOption struct {
	e    *engine
	step time.Duration
	cost float64
}

// pair combines a prefill and a decode option, by their indexes in the scratch slices.
type pair struct {
	cost         float64
	prefillIndex int
	decodeIndex  int
	// transfer and first are kept for the record of the choice.
	transfer time.Duration
	first    time.Duration
	queue    time.Duration // Only for selfPrefill.
}

// selfPrefill as prefillIndex means that the decode engine prefills the prompt itself.
const selfPrefill = -1

// chosenPair is the pair that a request is placed on.
type chosenPair struct {
	Candidate
	prefill, decode *engine
	ahead           time.Duration
}

// choose compares pairs and returns the cheapest; ok is false if there is none. The
// engines of both roles are filtered first, so the number of pairs is bounded by the two
// samples and not by the pool.
func (c *Core) choose(p *pool, f *flight, now time.Time) (best chosenPair, ch *Choice, ok bool) {
	ch = &Choice{}
	c.findDecodeOptions(p, f, now, &ch.Excluded)
	if len(c.decodeOptions) == 0 {
		return best, ch, false
	}
	c.findPrefillOptions(p, f, now, &ch.Excluded)
	if len(c.prefillOptions) == 0 && p.SelfPrefillRatio == 0 {
		return best, ch, false
	}
	c.bestPairs = c.bestPairs[:0]
	if p.SelfPrefillRatio > 0 {
		for j := range c.decodeOptions {
			c.keepCheapest(c.predictSelfPrefill(p, f, j, now))
		}
	}
	for i := range c.prefillOptions {
		for j := range c.decodeOptions {
			c.keepCheapest(c.predictPair(p, f, i, j, now))
		}
	}
	ch.Compared = max(1, len(c.prefillOptions)) * len(c.decodeOptions)
	ch.Candidates = make([]Candidate, len(c.bestPairs))
	for i, q := range c.bestPairs {
		ch.Candidates[i] = c.newCandidate(q)
	}
	if f.Policy != nil {
		c.applyPolicy(f, ch.Candidates)
	}
	first := ch.Candidates[0]
	best = chosenPair{Candidate: first, prefill: c.engines[first.Prefill], decode: c.engines[first.Decode]}
	for i := range c.prefillOptions {
		if c.prefillOptions[i].e == best.prefill {
			best.ahead = c.prefillOptions[i].ahead
		}
	}
	return best, ch, true
}

// keepCheapest inserts a pair into the sorted list of the cheapest pairs.
func (c *Core) keepCheapest(q pair) {
	i := len(c.bestPairs)
	for i > 0 && q.cost < c.bestPairs[i-1].cost {
		i--
	}
	if i >= maxCandidates {
		return
	}
	if len(c.bestPairs) == maxCandidates {
		c.bestPairs = c.bestPairs[:maxCandidates-1]
	}
	c.bestPairs = slices.Insert(c.bestPairs, i, q)
}

func (c *Core) newCandidate(q pair) Candidate {
	dec := &c.decodeOptions[q.decodeIndex]
	if q.prefillIndex == selfPrefill {
		return Candidate{
			Decode: dec.e.Name, SameHall: true, Queue: q.queue, PrefillTime: q.first - q.queue - dec.step, FirstToken: q.first,
			Step: dec.step, FreeKV: dec.e.freeKV(), Cost: q.cost, ReportAge: dec.e.reportAge(c.now),
		}
	}
	pre := &c.prefillOptions[q.prefillIndex]
	return Candidate{
		Prefill: pre.e.Name, Decode: dec.e.Name, SameHall: pre.e.Hall == dec.e.Hall, Cached: pre.cachedTokens,
		Queue: pre.queue, PrefillTime: pre.prefillTime, Transfer: q.transfer, FirstToken: q.first,
		Step: dec.step, FreeKV: dec.e.freeKV(), Cost: q.cost, ReportAge: dec.e.reportAge(c.now),
	}
}

// applyPolicy adds the policy's weights to the cost of the best pairs. If the program
// fails on any of them, all built-in costs are kept.
func (c *Core) applyPolicy(f *flight, list []Candidate) {
	var add [maxCandidates]float64
	for i := range list {
		n, err := f.Policy.Weigh(&f.Request, &list[i])
		if err != nil {
			c.emit(PolicyVerdict{f.ID, Verdict{Fault: err.Error()}})
			return
		}
		add[i] = n
	}
	for i := range list {
		list[i].Cost += add[i]
	}
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
}

// findPrefillOptions fills c.prefillOptions with the usable prefill engines.
func (c *Core) findPrefillOptions(p *pool, f *flight, now time.Time, excluded *Exclusions) {
	c.prefillOptions = c.prefillOptions[:0]
	preferred := p.preferredPrefill(f)
	for _, e := range c.samplePrefills(p, f) {
		if !c.usable(e, now, excluded) {
			continue
		}
		current, ahead := p.urgency.wait(f, e.queueTime(now))
		pre := prefillOption{e: e, cachedTokens: e.cachedTokens(f), queue: current + ahead, ahead: ahead, cost: e.penalty(f, now)}
		pre.prefillTime = e.prefillTime(f.PromptTokens - pre.cachedTokens)
		if e == preferred {
			pre.cost -= p.predictionError.affinityFactor() * e.prefillTime(len(f.Blocks)*BlockTokens-pre.cachedTokens).Seconds()
		}
		pre.readyAt = now.Add(pre.queue + pre.prefillTime + p.speed.PrefillDelay)
		pre.cost += pre.queue.Seconds() + (1+prefillWorkWeight)*pre.prefillTime.Seconds() + costNoise*c.rng.Float64()
		c.prefillOptions = append(c.prefillOptions, pre)
	}
}

// findDecodeOptions fills c.decodeOptions with the usable decode engines that have room.
func (c *Core) findDecodeOptions(p *pool, f *flight, now time.Time, excluded *Exclusions) {
	c.decodeOptions = c.decodeOptions[:0]
	c.sampledDecodes = c.appendSample(c.sampledDecodes[:0], p.in(f.Region).decode)
	for _, e := range c.sampledDecodes {
		if !c.usable(e, now, excluded) || !f.canRunOn(e) {
			continue
		}
		if !e.hasRoom(p, f, now) || f.kvNeed() >= e.refusedKV && now.Before(e.refusedKVUntil) {
			excluded.NoRoom++
			continue
		}
		dec := decodeOption{e: e, step: e.stepTime(), cost: e.penalty(f, now)}
		if p.ForecastsMemory && e.lacksForecast(now) {
			dec.cost += noForecastCost
		}
		// A stream that may be late can join a slow batch, and an engine without running
		// streams is never too slow to try.
		if !f.mayBeLate && dec.step > f.BetweenTokens && e.running() >= 1 {
			excluded.TooSlow++
			continue
		}
		load := dec.step.Seconds() / f.BetweenTokens.Seconds()
		dec.cost += dec.step.Seconds() + stepLoadWeight*load*load + costNoise*c.rng.Float64()
		c.decodeOptions = append(c.decodeOptions, dec)
	}
}

// penalty is the extra cost, in seconds, of an engine that is in another hall, failed this
// request, refused prompts recently or has no recent report.
func (e *engine) penalty(f *flight, now time.Time) float64 {
	cost := 0.0
	if f.Hall != "" && e.Hall != f.Hall {
		cost += remoteHallCost
	}
	if e == f.avoid {
		cost += avoidCost
	}
	if e.statsUnreliable() {
		cost += staleLoadCost
	}
	if now.Before(e.health.avoidUntil) {
		cost += refusedCost
	}
	return cost
}

// predictPair computes the cost of one pair: the predicted time to the first token and
// the penalties of both engines.
func (c *Core) predictPair(p *pool, f *flight, i, j int, now time.Time) pair {
	pre, dec := &c.prefillOptions[i], &c.decodeOptions[j]
	q := pair{prefillIndex: i, decodeIndex: j}
	q.transfer = predictTransfer(p, f, pre.e, dec.e, pre.readyAt)
	q.first = pre.queue + pre.prefillTime + p.speed.PrefillDelay + q.transfer + p.beginTime(dec.step)
	q.cost = pre.cost + dec.cost + q.transfer.Seconds()
	if pre.e.Hall != dec.e.Hall {
		q.cost += crossHallCost
	}
	return q
}

// selfPrefillCost, in seconds, is added if a decode engine prefills the prompt, because its
// streams slow down. Values from 0.05 to 100 give the same result within the noise while
// there are prefill engines.
const selfPrefillCost = 0.3

// predictSelfPrefill computes the cost of having a decode engine prefill the prompt itself.
func (c *Core) predictSelfPrefill(p *pool, f *flight, j int, now time.Time) pair {
	dec := &c.decodeOptions[j]
	q := pair{prefillIndex: selfPrefill, decodeIndex: j, queue: dec.e.queueTime(now)}
	selfTime := dec.e.prefillTime(int(float64(f.PromptTokens) / p.SelfPrefillRatio))
	q.first = q.queue + selfTime + p.speed.PrefillDelay + p.beginTime(dec.step)
	q.cost = dec.cost + q.queue.Seconds() + (1+prefillWorkWeight)*selfTime.Seconds() + selfPrefillCost
	return q
}

// selfPrefillWait is the shortest wait for a decode engine that prefills the prompt itself,
// as an equivalent wait for a prefill engine: the longer prefill counts as a wait.
func (p *pool) selfPrefillWait(f *flight, now time.Time) (wait time.Duration, ok bool) {
	if p.SelfPrefillRatio == 0 {
		return 0, false
	}
	for _, e := range p.in(f.Region).decode {
		if e.leaving() {
			continue
		}
		prefillTime := e.prefillTime(f.PromptTokens)
		at := e.queueTime(now) + time.Duration(float64(prefillTime)/p.SelfPrefillRatio) - prefillTime
		if !ok || at < wait {
			wait, ok = at, true
		}
	}
	return wait, ok
}

// samplePrefills returns the prefill engines of the request's region that a decision about
// it compares.
func (c *Core) samplePrefills(p *pool, f *flight) []*engine {
	c.sampledPrefills = c.sampledPrefills[:0]
	if len(f.Blocks) > 0 && len(p.prefill) > sampleThreshold {
		c.sampledPrefills = p.appendAffine(c.sampledPrefills, f.Blocks[0])
	}
	c.sampledPrefills = slices.DeleteFunc(c.sampledPrefills, func(e *engine) bool { return e.Region != f.Region })
	c.sampledPrefills = c.appendSample(c.sampledPrefills, p.in(f.Region).prefill)
	return c.sampledPrefills
}
