package decide

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// sampleThreshold is the number of engines of one role up to which a decision compares all of them.
	// With more engines, a decision compares a random sample. For prefill it also compares the engines
	// that the hash of the prompt's first block maps to. Boxes often have the same out-of-date load
	// reports. If all boxes compared all engines, all would then choose the same engine.
	sampleThreshold = 12
	// sampleSize is the number of random draws for a sample. An engine that is drawn twice counts once.
	sampleSize = 8
	// affineCount is the number of prefill engines that the hash of a prompt's first block maps to.
	affineCount = 2
	// maxCandidates is how many of the cheapest pairs of a prefill and a decode engine are kept
	// per decision. An operator's policy can reorder these pairs, and `stoatramp why` shows them.
	maxCandidates = 6
	// crossHallCost, in seconds, is added to a pair whose two engines are in different data halls.
	// The KV cache of such a pair crosses the links between halls, which all transfers share.
	crossHallCost = 0.001
	// remoteHallCost, in seconds, is added for each engine that is in another data hall than this box.
	// There are two reasons. First, prompt and answer would cross the links between halls. Second,
	// boxes of different halls then seldom choose the same engine at the same moment. The wait in a
	// queue costs more, so an idle engine in another hall is preferred to an engine with a queue in
	// the box's own hall. Values from 0.003 to 0.03 give results that differ only by the usual
	// variation between runs.
	remoteHallCost = 0.010
	// staleLoadCost, in seconds, is added for an engine whose reported load cannot be relied on (see
	// statsUnreliable). The engine is then a last resort, but it is not excluded. If the reports of all
	// engines fail, traffic must continue.
	staleLoadCost = 0.250
	// stepLoadWeight, in seconds, is one part of a decode engine's cost. In a step, the engine generates
	// one token for each running stream. The load is the step time divided by the request's
	// between-tokens target. This part of the cost is stepLoadWeight times the square of the load. The
	// step time itself and penalties are added to it.
	stepLoadWeight = 0.030
	// prefillWorkWeight times the prefill time is added to the cost, in addition to the prefill time
	// itself. With 2.0, the prefill time counts three times in total. The reason is that a prefill also
	// delays the requests that come after it. So an engine with the prefix in its cache can be chosen
	// in spite of a longer queue.
	prefillWorkWeight = 2.0
	// affinityGain and maxAffinityFactor determine how much cheaper the preferred prefill engine is. For
	// each prefix, all boxes prefer the same prefill engine (see preferredPrefill). The cost of that
	// engine is reduced by a factor times the prefill time of the prefix part that it has not cached.
	// The factor is maxAffinityFactor * affinityGain * the share of wrong cache predictions, and at most
	// maxAffinityFactor. The factor rises with wrong predictions. A box that cannot predict which engine
	// has a prefix in its cache does better to follow the common preference.
	affinityGain      = 4
	maxAffinityFactor = 5.0
	// avoidCost, in seconds, is added for the engine that this request should avoid (see
	// flight.engineToAvoid). The request goes there only if no other usable engine is cheaper.
	avoidCost = 1
	// costNoise, in seconds, is the upper bound of a random amount that is added to each cost.
	costNoise = 0.001
)

// pool is the state of one pool: its engines and its waiting requests.
type pool struct {
	Pool
	prefill []*engine
	decode  []*engine
	ring    []ringPoint // The consistent hash ring of the prefill engines, sorted by hash.
	queue   waitQueue
	// active is the number of starting and running requests of this box, by client account. Accounts without such
	// requests are not listed.
	active map[string]int
	// remoteActive is the number of starting and running requests on the other boxes, by client account, as far as these
	// boxes report it. remoteQueues are the accounts with requests that wait on them.
	remoteActive    map[string]int
	remoteQueues    []AccountQueue
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
	// wait for. The front consists of the requests that are placed first.
	scarceRole EngineRole
	// stepPerStreamAtMinStep belongs to the decode engine with the shortest step for a single stream. It
	// is how much longer a step of that engine takes for each further stream.
	stepPerStreamAtMinStep time.Duration
	// maxLinkRate is the rate of the fastest link of a prefill engine, in bytes per second.
	// minStep is the shortest step of a decode engine that runs a single stream. Engines that are
	// configured as leaving or evacuated do not count in these values.
	maxLinkRate float64
	minStep     time.Duration
	regions     map[string]*region
	// receivesStreamEnds reports that this box receives the messages by which all boxes announce the
	// ends of their streams. If an engine reports a stream and no StreamEnded event arrived for the
	// stream, then the stream still runs.
	receivesStreamEnds bool
	// lastMigrateCheck is when the core last searched for streams to migrate to another engine.
	lastMigrateCheck time.Time
}

// region holds the engines of a pool that are in one region. A region is a set of data halls. A request
// is only ever placed on engines of its own region.
type region struct {
	prefill         []*engine
	decode          []*engine
	stayingPrefills int // Prefill engines that are configured neither as leaving nor as evacuated.
	// maxKV is the largest memory of one decode engine, in tokens. maxSlots is the largest number of
	// slots of one decode engine. Engines that are leaving or evacuated do not count. If maxSlots is 0,
	// only memory bounds the number of streams.
	maxKV    int
	maxSlots int
	// builds counts the decode engines by build.
	builds []buildCount
}

// regionNamed returns the region with the given name, for reading. If the pool has no engine in the region, the result is
// an empty region that is not part of the pool.
func (p *pool) regionNamed(name string) *region {
	if found := p.regions[name]; found != nil {
		return found
	}
	return &region{}
}

// addRegion returns the region with the given name, and adds it to the pool if necessary.
func (p *pool) addRegion(name string) *region {
	if p.regions[name] == nil {
		p.regions[name] = &region{}
	}
	return p.regions[name]
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

// decodeWork is how much time of a decode engine the request's answer uses, as a duration. An engine runs
// many streams at the same time. So decodeWork assumes a full batch of requests like this one. The
// result is the time to generate the answer, divided by the number of streams in the batch. The
// batch is limited by the between-tokens target, by memory or by slots. Each stream counts with the
// memory of its prompt and half of MaxTokens, since the streams are at all points of their answers.
//
// Example: the target allows 100 streams, but the memory only 10 such requests. A step with 10
// streams takes 1 ms. An answer of 400 tokens then takes 400 ms. It uses a tenth of the engine
// during that time, so the result is 40 ms.
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

// rebuild updates what the pool derives from its list of engines. It sorts the engines by name, applies the
// estimated speeds to the engines, recomputes the regions and other totals, and builds the hash ring anew.
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

// updateFigures recomputes the values that are derived from the configuration of all engines: the fastest
// link, the shortest step, the regions and the numbers of engines by role.
func (p *pool) updateFigures() {
	p.maxLinkRate, p.minStep, p.stepPerStreamAtMinStep = 0, 0, 0
	p.regions = map[string]*region{}
	for _, e := range p.prefill {
		reg := p.addRegion(e.Region)
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
		reg := p.addRegion(e.Region)
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
	for _, reg := range p.regions {
		reg.countBuilds()
	}
}

// preferredPrefill is the first of the prefill engines that the hash of the prompt's first block maps
// to. All boxes compute the same engine, since it depends only on the configuration and not on what a
// box has observed. The result is nil if the prompt has no full block or the pool has no prefill engine.
func (p *pool) preferredPrefill(f *flight) *engine {
	if len(f.Blocks) == 0 || len(p.ring) == 0 {
		return nil
	}
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= f.Blocks[0] })
	return p.ring[i%len(p.ring)].e
}

// appendAffine appends up to affineCount engines to out. They are the first engines on the hash ring, from
// the given hash on, that out does not contain yet.
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

// usable reports whether the engine can be given new work. If it cannot, usable counts the reason in
// excluded. It does not check the region: callers pass only engines of the request's region.
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

// prefillOption is a prefill engine with the values predicted for one request. The values are computed once
// per engine, and used for all pairs that contain the engine.
type prefillOption struct {
	e            *engine
	cachedTokens int
	queue        time.Duration // Predicted wait before the engine begins with the prompt.
	urgentQueue  time.Duration // Part of queue: the wait for queued prompts at least as urgent as this request.
	prefillTime  time.Duration
	readyAt      time.Time // Predicted end of the prefill.
	cost         float64   // The part of the cost that does not depend on the decode engine.
}

// decodeOption is a decode engine with the values predicted for one request.
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
	// transfer, firstToken, queue and prefillTime play no part in the comparison of pairs. They are copied to the
	// Candidate that describes the pair. queue and prefillTime are set only if the decode engine prefills the prompt
	// itself (selfPrefill). They are the wait for that engine and the time that it needs for the prompt.
	transfer    time.Duration
	firstToken  time.Duration
	queue       time.Duration
	prefillTime time.Duration
}

// selfPrefill is the prefillIndex of a pair without a prefill engine: the decode engine prefills the
// prompt itself.
const selfPrefill = -1

// chosenPair is the pair of engines that a request is placed on. prefill is nil if the decode engine prefills
// the prompt itself. urgentQueue is the predicted wait on the prefill engine for queued prompts that are at
// least as urgent as the request.
type chosenPair struct {
	Candidate
	prefill, decode *engine
	urgentQueue     time.Duration
}

// choose selects a prefill and a decode engine for the request. The pair with the lowest cost wins, after an
// operator's policy has added its costs to the cheapest pairs. ok is false if no pair can take the request.
// choice records the comparison and is never nil.
//
// choose compares only sampled engines, and drops engines that cannot take the request before it forms
// pairs. So the number of compared pairs depends on the sample sizes and not on the size of the pool.
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
	withoutRoom := 0
	compare := func(candidate pair) {
		// A stream that lost its connection is placed on any engine that has room now, because its caller waits in the
		// middle of the answer.
		if f.connectionLostAt.IsZero() && !c.decodeOptions[candidate.decodeIndex].e.hasRoomAfter(p, f, now, candidate.firstToken) {
			withoutRoom++
			return
		}
		c.keepCheapest(candidate)
	}
	if p.SelfPrefillRatio > 0 {
		for j := range c.decodeOptions {
			compare(c.predictSelfPrefill(p, f, j, now))
		}
	}
	for i := range c.prefillOptions {
		for j := range c.decodeOptions {
			compare(c.predictPair(p, f, i, j, now))
		}
	}
	if len(c.bestPairs) == 0 {
		choice.Excluded.NoRoom += len(c.decodeOptions)
		return best, choice, false
	}
	choice.Compared = max(len(c.bestPairs), max(1, len(c.prefillOptions))*len(c.decodeOptions)-withoutRoom)
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
			Decode: dec.e.Name, SameHall: true, Queue: candidate.queue, PrefillTime: candidate.prefillTime, FirstToken: candidate.firstToken,
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

// applyPolicy adds the costs that the operator's policy returns for the pairs, and sorts the pairs again. If
// the policy fails for one pair, all pairs keep their built-in costs, and the fault is reported.
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

// findPrefillOptions sets c.prefillOptions to the sampled prefill engines that can take the request.
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

// findDecodeOptions sets c.decodeOptions to the sampled decode engines that can take the request. These
// engines have enough free memory and, unless the request may be late, are fast enough.
func (c *Core) findDecodeOptions(p *pool, f *flight, now time.Time, excluded *Exclusions) {
	c.decodeOptions = c.decodeOptions[:0]
	reg := p.regionNamed(f.Region)
	c.sampledDecodes = c.appendSample(c.sampledDecodes[:0], c.decodesFor(reg, f))
	for _, e := range c.sampledDecodes {
		if !c.usable(e, now, excluded) || !f.canRunOn(e) {
			continue
		}
		if !e.hasRoom(p, f, now) || !f.keepsBuildReserve(reg, e) || e.denial.holds(now, f) {
			excluded.NoRoom++
			continue
		}
		// Requests of the owner of an engine yield as those of other boxes do.
		if f.stage == waiting && e.denied.owned(now) {
			if o := f.precedence(); c.mustYield(e, f, &o, now) {
				excluded.NoRoom++
				continue
			}
		}
		dec := decodeOption{e: e, step: e.stepTime(), cost: e.penalty(f, now)}
		if p.ForecastsMemory && e.lacksForecast(now) {
			dec.cost += noForecastCost
		}
		// An engine whose step takes longer than the target is excluded, with two exceptions. A request
		// that may be late accepts a longer step. An engine without streams cannot become any faster.
		if !f.mayBeLate && dec.step > f.BetweenTokens && e.running() >= 1 {
			excluded.TooSlow++
			continue
		}
		load := dec.step.Seconds() / f.BetweenTokens.Seconds()
		dec.cost += dec.step.Seconds() + stepLoadWeight*load*load + costNoise*c.rng.Float64()
		c.decodeOptions = append(c.decodeOptions, dec)
	}
}

// penalty is the sum, in seconds, of the costs for four drawbacks of an engine. The engine is in another data
// hall than the box. The request is to avoid the engine. The engine's reported load cannot be relied on.
// The engine refused prompts recently.
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

// predictPair predicts the time to the first token and the cost of a pair. The cost is the sum of the costs of
// both engines and the transfer time. If the engines are in different halls, crossHallCost is added.
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

// selfPrefillCost, in seconds, is added if a decode engine prefills the prompt itself, because the prefill
// slows down the streams of that engine. In pools with prefill engines, values from 0.05 to 100 give
// results that differ only by the usual variation between runs.
const selfPrefillCost = 0.3

// predictSelfPrefill predicts the time to the first token and the cost if a decode engine prefills the prompt
// itself.
func (c *Core) predictSelfPrefill(p *pool, f *flight, j int, now time.Time) pair {
	dec := &c.decodeOptions[j]
	result := pair{prefillIndex: selfPrefill, decodeIndex: j, queue: dec.e.queueTime(now)}
	selfTime := dec.e.prefillTime(int(float64(f.PromptTokens) / p.SelfPrefillRatio))
	result.prefillTime = selfTime
	result.firstToken = result.queue + selfTime + p.speed.PrefillDelay + p.beginTime(dec.step)
	result.cost = dec.cost + result.queue.Seconds() + (1+prefillWorkWeight)*selfTime.Seconds() + selfPrefillCost
	return result
}

// selfPrefillWait is the shortest wait if a decode engine prefills the prompt itself. The result can be
// compared with the wait for a prefill engine. Decode engines prefill at another rate. So the result is the
// queue time plus the prefill time on the decode engine, minus the prefill time at the full rate. ok is
// false if decode engines cannot prefill prompts, or all decode engines of the region are leaving.
//
// Example: a prompt takes 100 ms at the full rate, and a decode engine prefills at half that rate
// (SelfPrefillRatio 0.5). The engine needs 200 ms for the prompt, so without a queue the result is
// 100 ms. With a ratio above 1 and no queue, the result is negative.
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

// samplePrefills returns the prefill engines that a decision about the request compares. All of them are in
// the request's region.
func (c *Core) samplePrefills(p *pool, f *flight) []*engine {
	c.sampledPrefills = c.sampledPrefills[:0]
	all := p.regionNamed(f.Region).prefill
	if len(f.Blocks) > 0 && len(all) > sampleThreshold { // Of a short list, all engines are compared anyway.
		c.sampledPrefills = p.appendAffine(c.sampledPrefills, f.Blocks[0])
	}
	c.sampledPrefills = slices.DeleteFunc(c.sampledPrefills, func(e *engine) bool { return e.Region != f.Region })
	c.sampledPrefills = c.appendSample(c.sampledPrefills, all)
	return c.sampledPrefills
}
