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
	// all engines of the role. With more engines, a decision compares a random sample, and for prefill also
	// the engines that the hash of the prompt's first block maps to. Random samples also keep
	// boxes with the same old reports from all choosing the same engine.
	sampleThreshold = 12
	// sampleSize is the number of random draws for a sample. An engine that is drawn twice counts once.
	sampleSize = 8
	// affineCount is the number of prefill engines that the hash of a prompt's first block maps to.
	affineCount = 2
	// maxCandidates is how many of the cheapest pairs of a prefill and a decode engine are kept
	// per decision. An operator's policy can reorder these pairs, and `stoatramp why` shows them.
	maxCandidates = 6
	// crossHallCost, in seconds, is added to a pair whose two engines are in different data halls:
	// the KV cache then crosses the links between halls, which all transfers share.
	crossHallCost = 0.001
	// remoteHallCost, in seconds, is added for each engine that is in another data hall than this
	// box: prompt and answer would cross the links between halls. Boxes of different halls then
	// also seldom choose the same engine at the same moment. A queue costs more, so an idle engine
	// in another hall is preferred to an engine with a queue in the box's own hall. Values from
	// 0.003 to 0.03 give results that differ only by the usual variation between runs.
	remoteHallCost = 0.010
	// staleLoadCost, in seconds, is added for an engine whose reported load cannot be relied on
	// (see statsUnreliable), which makes the engine a last resort. It is not excluded: if the
	// reports of all engines fail, traffic must continue.
	staleLoadCost = 0.250
	// stepLoadWeight, in seconds, is the cost of a decode engine whose step time equals the
	// request's between-tokens target. The cost grows with the square of step time over target.
	stepLoadWeight = 0.030
	// prefillWorkWeight is the factor by which the prefill time is added to the cost a second
	// time: a prefill delays not only its own request but also the requests that come after it. So
	// an engine with the prefix in its cache may be chosen in spite of a longer queue.
	prefillWorkWeight = 2.0
	// All boxes prefer the same prefill engine for a prefix (see preferredPrefill). That engine's cost is
	// reduced by the prefill time of the part of the prefix that it has not cached, times a factor.
	// The factor is maxAffinityFactor * affinityGain * the share of wrong cache predictions, and
	// at most maxAffinityFactor. It rises with wrong predictions, because a box that cannot tell
	// which engine has a prefix in its cache does better to follow the common preference.
	affinityGain      = 4
	maxAffinityFactor = 5.0
	// avoidCost, in seconds, is added for the engine on which the request's last try failed. A retry
	// goes there only if there is no other engine.
	avoidCost = 1
	// costNoise, in seconds, is the upper bound of a random amount that is added to each cost.
	costNoise = 0.001
)

// pool is the state of one pool: its engines and its waiting requests.
type pool struct {
	Pool
	prefill         []*engine
	decode          []*engine
	ring            []ringPoint // The consistent hash ring of the prefill engines, sorted by hash.
	queue           waitQueue
	throughput      throughput
	predictionError predictionError
	urgency         urgency
	speed           speed
	// published are the estimates last published to the program that runs the core.
	published Estimates
	// createdAt is when the pool was first configured. changedAt is when the number of its engines
	// last changed.
	createdAt, changedAt time.Time
	// requestLengths are the mean lengths of recent prompts and answers.
	requestLengths
	// scarceRole is the engine role (prefill or decode) that most requests at the front of the queue
	// wait for.
	scarceRole EngineRole
	// stepPerStreamAtMinStep is how much one more stream lengthens a step of the engine that has
	// the shortest step with one stream.
	stepPerStreamAtMinStep time.Duration
	// maxLinkRate is the rate of the fastest link of a prefill engine, in bytes per second.
	// minStep is the shortest step of a decode engine with one stream.
	maxLinkRate float64
	minStep     time.Duration
	regions     map[string]*region
	// receivesStreamEnds reports that this box receives the messages by which all boxes announce
	// the ends of their streams. A reported stream without a StreamEnded event then still runs.
	receivesStreamEnds bool
	// lastMigrateCheck is when streams to migrate to another engine were last searched for.
	lastMigrateCheck time.Time
}

// region holds the engines of a pool that are in one region. A request is only ever placed on
// engines of its own region.
type region struct {
	prefill         []*engine
	decode          []*engine
	stayingPrefills int // Prefill engines that are configured neither as leaving nor as evacuated.
	// maxKV is the largest memory, in tokens, and maxSlots the largest number of slots of a decode
	// engine that is neither leaving nor evacuated. 0 slots mean that only memory bounds streams.
	maxKV    int
	maxSlots int
}

// regionNamed returns the engines of the pool that are in the named region, of which there may be none.
func (p *pool) regionNamed(name string) *region {
	found := p.regions[name]
	if found == nil {
		found = &region{}
		p.regions[name] = found
	}
	return found
}

// maxBatch is how many streams a decode engine can run so that a step takes no longer than the
// between-tokens target. Memory and slots are not considered.
func (p *pool) maxBatch(target time.Duration) int {
	if p.stepPerStreamAtMinStep <= 0 {
		return batchLimit // Streams do not slow each other: only memory and slots bound them.
	}
	return min(batchLimit, max(1, 1+int((target-p.minStep)/p.stepPerStreamAtMinStep)))
}

// batchLimit is the result of maxBatch if more streams do not make a step longer.
const batchLimit = 4096

// decodeWork is the share of a decode engine's time that the request's answer takes: the time
// that the answer takes in a full batch of requests like it, divided by the number of streams in
// the batch. The between-tokens target, the memory or the slots limit the batch. Each stream
// counts with half its answer's memory, since the streams of a batch are at all points of
// their answers.
//
// Example: the target allows 100 streams, but the memory only 10 requests at half their answer
// length, and a step with 10 streams takes 1 ms. An answer of 400 tokens takes 400 ms on a
// tenth of the engine, so the result is 40 ms.
func (p *pool) decodeWork(f *flight) time.Duration {
	n := p.maxBatch(f.BetweenTokens)
	step := f.BetweenTokens
	reg := p.regionNamed(f.Region)
	fits := reg.maxKV / max(1, f.PromptTokens+f.MaxTokens/2)
	if reg.maxSlots > 0 {
		fits = min(fits, reg.maxSlots)
	}
	if fits < n {
		n = max(1, fits)
		step = p.minStep + time.Duration(n-1)*p.stepPerStreamAtMinStep
	}
	return time.Duration(f.expectedOutput()) * step / time.Duration(n)
}

// minTransferTime is how long the transfer of a KV cache of that many tokens takes on the fastest
// link of the pool if no other transfer shares the link.
func (p *pool) minTransferTime(tokens int) time.Duration {
	if p.maxLinkRate <= 0 {
		return 0
	}
	return seconds(float64(tokens) * float64(p.KVBytesPerToken) / p.maxLinkRate)
}

// ringPoint is one virtual node of an engine on the consistent hash ring.
type ringPoint struct {
	hash uint64
	e    *engine
}

// ringPointsPerEngine is the number of virtual nodes of each engine on the consistent hash ring,
// by which the hash of a prompt's first block is mapped to prefill engines.
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

// updateFigures recomputes the figures that are derived from the configuration of all engines
// of the pool, in total and by region.
func (p *pool) updateFigures() {
	p.maxLinkRate, p.minStep = 0, 0
	p.regions = map[string]*region{}
	for _, e := range p.prefill {
		reg := p.regionNamed(e.Region)
		reg.prefill = append(reg.prefill, e)
		if e.Leaving || e.Evacuated {
			continue
		}
		p.maxLinkRate = max(p.maxLinkRate, e.LinkRate)
		reg.stayingPrefills++
	}
	p.throughput.setEngines(Prefill, len(p.prefill))
	p.throughput.setEngines(Decode, len(p.decode))
	for _, e := range p.decode {
		reg := p.regionNamed(e.Region)
		reg.decode = append(reg.decode, e)
		if e.Leaving || e.Evacuated {
			continue
		}
		if step := e.Step + e.StepPerStream; p.minStep == 0 || step < p.minStep {
			p.minStep, p.stepPerStreamAtMinStep = step, e.StepPerStream
		}
		reg.maxKV = max(reg.maxKV, e.KVTokens)
		reg.maxSlots = max(reg.maxSlots, e.Slots)
	}
}

// preferredPrefill is the prefill engine that the hash of the prompt's first block maps to. All
// boxes compute the same engine, since it depends on the configuration only and not on what a
// box has observed. It is nil if the prompt has no full block or the pool has no prefill engine.
func (p *pool) preferredPrefill(f *flight) *engine {
	if len(f.Blocks) == 0 || len(p.ring) == 0 {
		return nil
	}
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= f.Blocks[0] })
	return p.ring[i%len(p.ring)].e
}

// appendAffine appends the first affineCount engines that follow the hash on the consistent hash
// ring.
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

// appendSample appends the engines that a decision compares: all engines of a short list, or a
// random sample of a long one.
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

// usable reports whether the engine may take new work, and counts the reason in excluded if it
// may not. The region is not checked: callers pass only engines of the request's region.
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

// prefillOption is a prefill engine with its figures for one request. The figures are computed
// once per engine and used for all pairs with the engine.
type prefillOption struct {
	e            *engine
	cachedTokens int
	queue        time.Duration // Predicted wait before the engine begins with the prompt.
	urgentQueue  time.Duration // Part of queue: waiting for queued prompts that are at least as urgent.
	prefillTime  time.Duration
	readyAt      time.Time // Predicted end of the prefill.
	cost         float64   // The part of the cost that does not depend on the decode engine.
}

// decodeOption is a decode engine with its figures for one request.
type decodeOption struct {
	e    *engine
	step time.Duration // Predicted time between tokens with this request's stream.
	cost float64       // The part of the cost that does not depend on the prefill engine.
}

// pair is a prefill engine and a decode engine that could serve a request, as indexes into
// Core.prefillOptions and Core.decodeOptions.
type pair struct {
	cost         float64
	prefillIndex int
	decodeIndex  int
	// transfer, firstToken and queue are not compared. They are copied to the pair's Candidate.
	transfer   time.Duration
	firstToken time.Duration
	queue      time.Duration // Wait for the decode engine if prefillIndex is selfPrefill; 0 otherwise.
}

// selfPrefill is the prefillIndex of a pair without a prefill engine: the decode engine prefills the
// prompt itself.
const selfPrefill = -1

// chosenPair is the pair of engines that a request is placed on. prefill is nil if the decode engine
// prefills the prompt itself. urgentQueue is the predicted wait for queued prompts that are at least as
// urgent.
type chosenPair struct {
	Candidate
	prefill, decode *engine
	urgentQueue     time.Duration
}

// choose returns the pair of a prefill and a decode engine with the lowest cost; ok is false if no
// pair can take the request. Engines that cannot take it are removed from both samples first, so
// the number of compared pairs depends on the sample sizes and not on the size of the pool.
func (c *Core) choose(p *pool, f *flight, now time.Time) (best chosenPair, choice *Choice, ok bool) {
	choice = &Choice{}
	c.findDecodeOptions(p, f, now, &choice.Excluded)
	if len(c.decodeOptions) == 0 {
		return best, choice, false
	}
	c.findPrefillOptions(p, f, now, &choice.Excluded)
	if len(c.prefillOptions) == 0 && p.SelfPrefillRatio == 0 {
		return best, choice, false
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
	choice.Compared = max(1, len(c.prefillOptions)) * len(c.decodeOptions)
	choice.Candidates = make([]Candidate, len(c.bestPairs))
	for i, candidate := range c.bestPairs {
		choice.Candidates[i] = c.newCandidate(candidate)
	}
	if f.Policy != nil {
		c.applyPolicy(f, choice.Candidates)
	}
	cheapest := choice.Candidates[0]
	best = chosenPair{Candidate: cheapest, prefill: c.engines[cheapest.Prefill], decode: c.engines[cheapest.Decode]}
	for i := range c.prefillOptions {
		if c.prefillOptions[i].e == best.prefill {
			best.urgentQueue = c.prefillOptions[i].urgentQueue
		}
	}
	return best, choice, true
}

// keepCheapest inserts a pair into c.bestPairs if it is one of the maxCandidates cheapest so far.
func (c *Core) keepCheapest(candidate pair) {
	i := len(c.bestPairs)
	for i > 0 && candidate.cost < c.bestPairs[i-1].cost {
		i--
	}
	if i >= maxCandidates {
		return
	}
	if len(c.bestPairs) == maxCandidates {
		c.bestPairs = c.bestPairs[:maxCandidates-1]
	}
	c.bestPairs = slices.Insert(c.bestPairs, i, candidate)
}

func (c *Core) newCandidate(candidate pair) Candidate {
	dec := &c.decodeOptions[candidate.decodeIndex]
	if candidate.prefillIndex == selfPrefill {
		return Candidate{
			Decode: dec.e.Name, SameHall: true, Queue: candidate.queue, PrefillTime: candidate.firstToken - candidate.queue - dec.step, FirstToken: candidate.firstToken,
			Step: dec.step, FreeKV: dec.e.freeKV(), Cost: candidate.cost, ReportAge: dec.e.reportAge(c.now),
		}
	}
	pre := &c.prefillOptions[candidate.prefillIndex]
	return Candidate{
		Prefill: pre.e.Name, Decode: dec.e.Name, SameHall: pre.e.Hall == dec.e.Hall, Cached: pre.cachedTokens,
		Queue: pre.queue, PrefillTime: pre.prefillTime, Transfer: candidate.transfer, FirstToken: candidate.firstToken,
		Step: dec.step, FreeKV: dec.e.freeKV(), Cost: candidate.cost, ReportAge: dec.e.reportAge(c.now),
	}
}

// applyPolicy adds the costs that the operator's policy returns for the pairs, and sorts the pairs
// again. If the policy fails for one pair, the built-in costs of all pairs are kept.
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

// findPrefillOptions sets c.prefillOptions to the sampled prefill engines that may take the request.
func (c *Core) findPrefillOptions(p *pool, f *flight, now time.Time, excluded *Exclusions) {
	c.prefillOptions = c.prefillOptions[:0]
	preferred := p.preferredPrefill(f)
	for _, e := range c.samplePrefills(p, f) {
		if !c.usable(e, now, excluded) {
			continue
		}
		inProgress, urgentQueue := p.urgency.wait(f, e.queueTime(now))
		pre := prefillOption{e: e, cachedTokens: e.cachedTokens(f), queue: inProgress + urgentQueue, urgentQueue: urgentQueue, cost: e.penalty(f, now)}
		pre.prefillTime = e.prefillTime(f.PromptTokens - pre.cachedTokens)
		if e == preferred {
			pre.cost -= p.predictionError.affinityFactor() * e.prefillTime(len(f.Blocks)*BlockTokens-pre.cachedTokens).Seconds()
		}
		pre.readyAt = now.Add(pre.queue + pre.prefillTime + p.speed.PrefillDelay)
		pre.cost += pre.queue.Seconds() + (1+prefillWorkWeight)*pre.prefillTime.Seconds() + costNoise*c.rng.Float64()
		c.prefillOptions = append(c.prefillOptions, pre)
	}
}

// findDecodeOptions sets c.decodeOptions to the sampled decode engines that may take the request,
// have free memory for it and are fast enough.
func (c *Core) findDecodeOptions(p *pool, f *flight, now time.Time, excluded *Exclusions) {
	c.decodeOptions = c.decodeOptions[:0]
	c.sampledDecodes = c.appendSample(c.sampledDecodes[:0], p.regionNamed(f.Region).decode)
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
		// A step longer than the target excludes an engine, with two exceptions: the request may be
		// late, or no stream runs on the engine, which is then as fast as it can be.
		if !f.mayBeLate && dec.step > f.BetweenTokens && e.running() >= 1 {
			excluded.TooSlow++
			continue
		}
		load := dec.step.Seconds() / f.BetweenTokens.Seconds()
		dec.cost += dec.step.Seconds() + stepLoadWeight*load*load + costNoise*c.rng.Float64()
		c.decodeOptions = append(c.decodeOptions, dec)
	}
}

// penalty is the sum of the costs, in seconds, that apply if the engine is in another data hall than
// the box, is to be avoided by this request, has figures that cannot be relied on, or refused
// prompts recently.
func (e *engine) penalty(f *flight, now time.Time) float64 {
	cost := 0.0
	if f.Hall != "" && e.Hall != f.Hall {
		cost += remoteHallCost
	}
	if e == f.engineToAvoid {
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

// predictPair computes the predicted time to the first token and the cost of a pair. The cost is the
// sum of the costs of both engines, the time of the transfer and the cost of a pair across halls.
func (c *Core) predictPair(p *pool, f *flight, i, j int, now time.Time) pair {
	pre, dec := &c.prefillOptions[i], &c.decodeOptions[j]
	result := pair{prefillIndex: i, decodeIndex: j}
	result.transfer = predictTransfer(p, f, pre.e, dec.e, pre.readyAt)
	result.firstToken = pre.queue + pre.prefillTime + p.speed.PrefillDelay + result.transfer + p.beginTime(dec.step)
	result.cost = pre.cost + dec.cost + result.transfer.Seconds()
	if pre.e.Hall != dec.e.Hall {
		result.cost += crossHallCost
	}
	return result
}

// selfPrefillCost, in seconds, is added if a decode engine prefills the prompt itself, because that
// slows down the engine's streams. While the pool has prefill engines, values from 0.05 to 100 give
// results that differ only by the usual variation between runs.
const selfPrefillCost = 0.3

// predictSelfPrefill computes the predicted time to the first token and the cost if a decode engine
// prefills the prompt itself.
func (c *Core) predictSelfPrefill(p *pool, f *flight, j int, now time.Time) pair {
	dec := &c.decodeOptions[j]
	result := pair{prefillIndex: selfPrefill, decodeIndex: j, queue: dec.e.queueTime(now)}
	selfTime := dec.e.prefillTime(int(float64(f.PromptTokens) / p.SelfPrefillRatio))
	result.firstToken = result.queue + selfTime + p.speed.PrefillDelay + p.beginTime(dec.step)
	result.cost = dec.cost + result.queue.Seconds() + (1+prefillWorkWeight)*selfTime.Seconds() + selfPrefillCost
	return result
}

// selfPrefillWait is the shortest wait of a prompt among the decode engines that could prefill it
// themselves. Decode engines prefill more slowly, and the extra prefill time counts as wait, so
// that the result compares with the wait for a prefill engine. ok is false if decode engines of
// the pool cannot prefill prompts, or none is there.
//
// Example: a prompt takes 100 ms at the full rate, and a decode engine prefills at half the rate
// (SelfPrefillRatio 0.5). The engine takes 200 ms for the prompt, so without a queue the wait is
// 100 ms. It is negative for a ratio above 1.
func (p *pool) selfPrefillWait(f *flight, now time.Time) (wait time.Duration, ok bool) {
	if p.SelfPrefillRatio == 0 {
		return 0, false
	}
	for _, e := range p.regionNamed(f.Region).decode {
		if e.leaving() {
			continue
		}
		prefillTime := e.prefillTime(f.PromptTokens)
		equivalentWait := e.queueTime(now) + time.Duration(float64(prefillTime)/p.SelfPrefillRatio) - prefillTime
		if !ok || equivalentWait < wait {
			wait, ok = equivalentWait, true
		}
	}
	return wait, ok
}

// samplePrefills returns the prefill engines of the request's region that a decision about the
// request compares.
func (c *Core) samplePrefills(p *pool, f *flight) []*engine {
	c.sampledPrefills = c.sampledPrefills[:0]
	if len(f.Blocks) > 0 && len(p.prefill) > sampleThreshold {
		c.sampledPrefills = p.appendAffine(c.sampledPrefills, f.Blocks[0])
	}
	c.sampledPrefills = slices.DeleteFunc(c.sampledPrefills, func(e *engine) bool { return e.Region != f.Region })
	c.sampledPrefills = c.appendSample(c.sampledPrefills, p.regionNamed(f.Region).prefill)
	return c.sampledPrefills
}
