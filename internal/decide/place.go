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
	// maxKept bounds the pairs that a policy is asked about in one decision, and
	// that `stoatramp why` shows.
	maxKept = 6
	// otherHallCost is added to pairs in two data halls: links between halls are shared.
	otherHallCost = 0.001
	// boxHallCost is added for each engine in another hall than the box: the prompt and the
	// answer go over links between halls, and boxes of different halls seldom choose the same
	// engine at one moment. A queue outweighs it. Measured from 0.003 to 0.03: no difference
	// beyond the noise.
	boxHallCost = 0.010
	// silentCost keeps engines with old reports as a last resort, not as a taboo:
	// when all reports freeze, traffic must go on.
	silentCost = 0.250
	// stepWeight turns closeness to the between-tokens target into seconds.
	stepWeight = 0.030
	// workWeight counts reading time once more, because it is also taken from the
	// requests that come after: a cached prefix is worth some waiting.
	workWeight = 2.0
	// favouritePull is how many times a prefix's reading time its favourite engine
	// is preferred by where the prefix is not known to be cached, at the most, and
	// pullGain how soon that is reached as beliefs prove wrong.
	pullGain      = 4
	favouritePull = 5.0
	// avoidCost keeps a retry off the engine the last try failed on, unless it is the only one.
	avoidCost = 1
	// noise is the width of the random part of a cost, in seconds.
	noise = 0.001
)

// pool is the state of one pool: its engines and its waiting requests.
type pool struct {
	Pool
	prefill  []*engine
	decode   []*engine
	ring     []ringPoint // Prefill engines by hash, for affinity.
	queue    waitQueue
	pace     pace
	surprise surprise
	urgency  urgency
	speed    speed
	// said is what was last said of it to the driver.
	said Learned
	// since is when the pool was first heard of, and changedAt when engines were last added or
	// taken away.
	since, changedAt time.Time
	lengths
	// scarce is the role that waiting requests lack.
	scarce EngineRole
	// bestPerStream is the least a stream adds to a step.
	bestPerStream time.Duration
	// bestLink and bestStep are the fastest link and step in the pool.
	bestLink float64
	bestStep time.Duration
	regions  map[string]*region
	// endsHeard says that the ends of all boxes' streams are heard of.
	endsHeard bool
	// migrateAt is when streams to move were last looked for.
	migrateAt time.Time
}

// region is the part of a pool that is in one region. Requests never leave theirs,
// so samples are drawn from it and not from the pool.
type region struct {
	prefill  []*engine
	decode   []*engine
	prefills int // Those not leaving by the configuration.
	// mostKV and mostSlots are the memory in tokens, and the places, of the largest decode
	// engine that stays; no places mean no bound.
	mostKV    int
	mostSlots int
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

// batch is how many streams a decode engine can run within the target.
func (p *pool) batch(target time.Duration) int {
	if p.bestPerStream <= 0 {
		return mostBatch // Streams do not slow each other: memory and places bound them.
	}
	return min(mostBatch, max(1, 1+int((target-p.bestStep)/p.bestPerStream)))
}

// mostBatch bounds the streams of an engine where nothing else does.
const mostBatch = 4096

// decodeWork is a request's share of a decode engine that is full of requests like it:
// full because of the target between tokens, or because its memory or places hold no more.
// Memory counts at half the answer: streams are at all points of their answers at once.
//
// Example: a target that allows 100 streams, memory for 10 such requests half written,
// and steps of 1 ms with 10 streams. 400 tokens take 400 ms, and a tenth of the engine:
// 40 ms.
func (p *pool) decodeWork(f *flight) time.Duration {
	n := p.batch(f.BetweenTokens)
	step := f.BetweenTokens
	g := p.in(f.Region)
	held := g.mostKV / max(1, f.PromptTokens+f.MaxTokens/2)
	if g.mostSlots > 0 {
		held = min(held, g.mostSlots)
	}
	if held < n {
		n = max(1, held)
		step = p.bestStep + time.Duration(n-1)*p.bestPerStream
	}
	return time.Duration(f.expected()) * step / time.Duration(n)
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
	p.apply()
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
	p.bestLink, p.bestStep = 0, 0
	p.regions = map[string]*region{}
	for _, e := range p.prefill {
		g := p.in(e.Region)
		g.prefill = append(g.prefill, e)
		if e.Leaving || e.Closed {
			continue
		}
		p.bestLink = max(p.bestLink, e.LinkRate)
		g.prefills++
	}
	p.pace.limit(Prefill, len(p.prefill))
	p.pace.limit(Decode, len(p.decode))
	for _, e := range p.decode {
		g := p.in(e.Region)
		g.decode = append(g.decode, e)
		if e.Leaving || e.Closed {
			continue
		}
		if step := e.Step + e.StepPerStream; p.bestStep == 0 || step < p.bestStep {
			p.bestStep, p.bestPerStream = step, e.StepPerStream
		}
		g.mostKV = max(g.mostKV, e.KVTokens)
		g.mostSlots = max(g.mostSlots, e.Slots)
	}
}

// favourite is the engine all boxes send a prefix to while none is known to have
// it: it does not depend on what this box has seen. Nil without a prefix.
func (p *pool) favourite(f *flight) *engine {
	if len(f.Blocks) == 0 || len(p.ring) == 0 {
		return nil
	}
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= f.Blocks[0] })
	return p.ring[i%len(p.ring)].e
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

// usable says whether the engine may take new work. Its region is not asked here:
// only engines of the request's own are ever looked at.
func (c *Core) usable(e *engine, now time.Time, passed *PassedOver) bool {
	switch {
	case e.leaving():
		passed.Leaving++
	case c.waitFor(e) > 0:
		passed.Throttled++
	case e.health.setAside(now):
		passed.SetAside++
	case e.cold(now):
		passed.Cold++
	default:
		return true
	}
	return false
}

// reader holds the figures of a prefill engine for one request, so that they are
// worked out once and not once for each pair.
type reader struct {
	e      *engine
	cached int
	queue  time.Duration
	ahead  time.Duration // The part of queue that is for work at least as urgent.
	read   time.Duration
	ready  time.Time // When the prompt would be read.
	extra  float64   // Cost that does not depend on the decode engine.
}

// writer holds the figures of a decode engine for one request.
type writer struct {
	e     *engine
	step  time.Duration
	extra float64
}

// pair is one reader with one writer, by their places in the scratch slices.
type pair struct {
	cost   float64
	reader int
	writer int
	// transfer and first are kept for the record of the choice.
	transfer time.Duration
	first    time.Duration
	queue    time.Duration // Of a selfReader.
}

// selfReader stands in pair.reader for the decode engine itself.
const selfReader = -1

// chosen is the pair a request is placed on.
type chosen struct {
	Candidate
	prefill, decode *engine
	ahead           time.Duration
}

// choose compares pairs and returns the cheapest; ok is false where there is
// none. The engines of both roles are filtered first, so the number of pairs is
// bounded by the two samples and not by the pool.
func (c *Core) choose(p *pool, f *flight, now time.Time) (best chosen, ch *Choice, ok bool) {
	ch = &Choice{}
	c.findWriters(p, f, now, &ch.Passed)
	if len(c.writers) == 0 {
		return best, ch, false
	}
	c.findReaders(p, f, now, &ch.Passed)
	if len(c.readers) == 0 && p.SelfRead == 0 {
		return best, ch, false
	}
	c.best = c.best[:0]
	if p.SelfRead > 0 {
		for j := range c.writers {
			c.keep(c.predictWhole(p, f, j, now))
		}
	}
	for i := range c.readers {
		for j := range c.writers {
			c.keep(c.predict(p, f, i, j, now))
		}
	}
	ch.Compared = max(1, len(c.readers)) * len(c.writers)
	ch.Candidates = make([]Candidate, len(c.best))
	for i, q := range c.best {
		ch.Candidates[i] = c.describe(q)
	}
	if f.Policy != nil {
		c.weigh(f, ch.Candidates)
	}
	first := ch.Candidates[0]
	best = chosen{Candidate: first, prefill: c.engines[first.Prefill], decode: c.engines[first.Decode]}
	for i := range c.readers {
		if c.readers[i].e == best.prefill {
			best.ahead = c.readers[i].ahead
		}
	}
	return best, ch, true
}

// keep inserts a pair into the short list of the cheapest.
func (c *Core) keep(q pair) {
	i := len(c.best)
	for i > 0 && q.cost < c.best[i-1].cost {
		i--
	}
	if i >= maxKept {
		return
	}
	if len(c.best) == maxKept {
		c.best = c.best[:maxKept-1]
	}
	c.best = slices.Insert(c.best, i, q)
}

func (c *Core) describe(q pair) Candidate {
	w := &c.writers[q.writer]
	if q.reader == selfReader {
		return Candidate{
			Decode: w.e.Name, SameHall: true, Queue: q.queue, Read: q.first - q.queue - w.step, First: q.first,
			Step: w.step, FreeKV: w.e.freeKV(), Cost: q.cost, ReportAge: w.e.reportAge(c.now),
		}
	}
	r := &c.readers[q.reader]
	return Candidate{
		Prefill: r.e.Name, Decode: w.e.Name, SameHall: r.e.Hall == w.e.Hall, Cached: r.cached,
		Queue: r.queue, Read: r.read, Transfer: q.transfer, First: q.first,
		Step: w.step, FreeKV: w.e.freeKV(), Cost: q.cost, ReportAge: w.e.reportAge(c.now),
	}
}

// weigh lets the policy add to the cost of the best pairs. If the program fails
// on any of them, the built-in costs of all stand.
func (c *Core) weigh(f *flight, list []Candidate) {
	var add [maxKept]float64
	for i := range list {
		n, err := f.Policy.Weigh(&f.Request, &list[i])
		if err != nil {
			c.emit(Ruled{f.ID, Verdict{Fault: err.Error()}})
			return
		}
		add[i] = n
	}
	for i := range list {
		list[i].Cost += add[i]
	}
	slices.SortStableFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
}

// findReaders fills c.readers with the prefill engines that may be used.
func (c *Core) findReaders(p *pool, f *flight, now time.Time, passed *PassedOver) {
	c.readers = c.readers[:0]
	favourite := p.favourite(f)
	for _, e := range c.lookAt(p, f) {
		if !c.usable(e, now, passed) {
			continue
		}
		reading, ahead := p.urgency.wait(f, e.queueTime(now))
		r := reader{e: e, cached: e.cachedTokens(f), queue: reading + ahead, ahead: ahead, extra: e.doubt(f, now)}
		r.read = e.readTime(f.PromptTokens - r.cached)
		if e == favourite {
			r.extra -= p.surprise.pull() * e.readTime(len(f.Blocks)*BlockTokens-r.cached).Seconds()
		}
		r.ready = now.Add(r.queue + r.read + p.speed.ReadDelay)
		r.extra += r.queue.Seconds() + (1+workWeight)*r.read.Seconds() + noise*c.rng.Float64()
		c.readers = append(c.readers, r)
	}
}

// findWriters fills c.writers with the decode engines that have room.
func (c *Core) findWriters(p *pool, f *flight, now time.Time, passed *PassedOver) {
	c.writers = c.writers[:0]
	c.decodes = c.sample(c.decodes[:0], p.in(f.Region).decode)
	for _, e := range c.decodes {
		if !c.usable(e, now, passed) || !f.mayRunOn(e) {
			continue
		}
		if !e.hasRoom(p, f, now) || f.need() >= e.noRoomFor && now.Before(e.noRoomUntil) {
			passed.NoRoom++
			continue
		}
		w := writer{e: e, step: e.stepTime(), extra: e.doubt(f, now)}
		if p.Foresee && e.unforeseen(now) {
			w.extra += unforeseenCost
		}
		// A stream that may run late can join a slow batch, and an engine with
		// nothing running is never too slow to try.
		if !f.patient && w.step > f.BetweenTokens && e.running() >= 1 {
			passed.TooSlow++
			continue
		}
		load := w.step.Seconds() / f.BetweenTokens.Seconds()
		w.extra += w.step.Seconds() + stepWeight*load*load + noise*c.rng.Float64()
		c.writers = append(c.writers, w)
	}
}

// doubt is the cost of an engine that is far, failed this request, turned others away lately
// or does not report.
func (e *engine) doubt(f *flight, now time.Time) float64 {
	cost := 0.0
	if f.Hall != "" && e.Hall != f.Hall {
		cost += boxHallCost
	}
	if e == f.avoid {
		cost += avoidCost
	}
	if e.silent() {
		cost += silentCost
	}
	if now.Before(e.health.doubtedUntil) {
		cost += refusedCost
	}
	return cost
}

// predict works out the cost of one pair: the predicted time to the first token,
// and what speaks against either engine.
func (c *Core) predict(p *pool, f *flight, i, j int, now time.Time) pair {
	r, w := &c.readers[i], &c.writers[j]
	q := pair{reader: i, writer: j}
	q.transfer = predictTransfer(p, f, r.e, w.e, r.ready)
	q.first = r.queue + r.read + p.speed.ReadDelay + q.transfer + p.beginTime(w.step)
	q.cost = r.extra + w.extra + q.transfer.Seconds()
	if r.e.Hall != w.e.Hall {
		q.cost += otherHallCost
	}
	return q
}

// selfReadCost is added where a decode engine reads the prompt: its streams slow down.
// Measured at 0.05, 0.3, 1 and 100 s: no difference beyond the noise while prefill engines
// are there.
const selfReadCost = 0.3

// predictWhole works out the cost of having a decode engine read the prompt itself.
func (c *Core) predictWhole(p *pool, f *flight, j int, now time.Time) pair {
	w := &c.writers[j]
	q := pair{reader: selfReader, writer: j, queue: w.e.queueTime(now)}
	read := w.e.readTime(int(float64(f.PromptTokens) / p.SelfRead))
	q.first = q.queue + read + p.speed.ReadDelay + p.beginTime(w.step)
	q.cost = w.extra + q.queue.Seconds() + (1+workWeight)*read.Seconds() + selfReadCost
	return q
}

// selfReadSoonest is how soon a decode engine could begin to read the prompt itself,
// put as a wait for a prefill engine: the longer reading counts as a wait.
func (p *pool) selfReadSoonest(f *flight, now time.Time) (wait time.Duration, ok bool) {
	if p.SelfRead == 0 {
		return 0, false
	}
	for _, e := range p.in(f.Region).decode {
		if e.leaving() {
			continue
		}
		read := e.readTime(f.PromptTokens)
		at := e.queueTime(now) + time.Duration(float64(read)/p.SelfRead) - read
		if !ok || at < wait {
			wait, ok = at, true
		}
	}
	return wait, ok
}

// lookAt returns the prefill engines of the request's region that a decision about
// it considers.
func (c *Core) lookAt(p *pool, f *flight) []*engine {
	c.prefills = c.prefills[:0]
	if len(f.Blocks) > 0 && len(p.prefill) > maxSampled {
		c.prefills = p.affine(c.prefills, f.Blocks[0])
	}
	c.prefills = slices.DeleteFunc(c.prefills, func(e *engine) bool { return e.Region != f.Region })
	c.prefills = c.sample(c.prefills, p.in(f.Region).prefill)
	return c.prefills
}
