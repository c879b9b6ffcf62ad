package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

const (
	// prefillWindow is how much work at least as urgent a prefill engine may have in
	// front of a new prompt. Beyond it a request waits on the box, where a better engine or a
	// more urgent request can still come first.
	prefillWindow = 80 * time.Millisecond
	// linkWindow is the same for the transfer: how long it may have to wait for
	// its links. Large transfers kept on the box leave room for small ones.
	linkWindow = 100 * time.Millisecond
	// rebindGain is how much sooner an answer must begin for its decode engine to
	// be changed once the prompt is read.
	rebindGain = 5 * time.Millisecond
	// A stage counts as stalled when it takes stallFactor times its prediction
	// and half the first-token target longer, within these margins. It then moves
	// if there is somewhere better to go, and goes on otherwise: a slow call is
	// not a lost one, and giving up many at once would only load the others.
	stallFactor    = 3
	shortestMargin = 300 * time.Millisecond
	longestMargin  = 2 * time.Second
	// hardStall, added to the target, ends a stage whatever else is true.
	hardStall = 5 * time.Second
	// expirySafety is how long before the expiry a result is no longer used.
	expirySafety = 50 * time.Millisecond
	// patientWait bounds the wait of a request that may run late.
	patientWait = 30 * time.Second
	// maxTries bounds the prefills of one request, whatever the budget says.
	maxTries = 3
	// queueTries bounds how many waiting requests one event tries to place.
	queueTries = 8
)

type stage uint8

const (
	waiting stage = iota
	prefilling
	transferring
	streaming
)

// flight is one request in the core's care.
type flight struct {
	Request
	pool    *pool
	stage   stage
	arrived time.Time
	// latestStart is when the prompt must start to be read to meet the target.
	latestStart time.Time
	// work is the least time the request takes from an engine of each role. Of a
	// prefill engine: for reading the prompt or sending the KV cache, whichever is
	// longer. Of a decode engine: its share of a full batch while it is written.
	work [2]time.Duration
	// order is latestStart moved by the route's priority; the queue and the
	// engines run the earliest first.
	order time.Time
	// patient requests wait past their target.
	patient bool
	attempt Attempt
	// ran is set once any part of the request may have run. It never goes back.
	ran    bool
	tries  int
	avoid  *engine // The engine the last try failed on.
	lastCh *Choice // What the last attempt to place it saw.
	late   bool    // That attempt saw no pair that could still meet the target.

	prefill        *engine
	prefillAttempt Attempt // 0 when no prefill engine holds anything for it.
	reading        bool    // Whether the prefill's ledger entry stands.
	readTokens     int     // Prompt tokens the prefill engine had to read.
	expires        time.Time

	predictedRead time.Time // When the prompt was to be read, by the prediction.
	// planned is the engines whose links the transfer takes or is expected on.
	planned [2]*engine

	decode        *engine
	decodeAttempt Attempt // 0 when no decode engine was sent anything.
	held          int     // Tokens held in the decode ledger.

	stageStart    time.Time
	stageDeadline time.Time // When the stage counts as stalled; zero if it cannot.
}

// need is the decode memory the request takes, in tokens.
func (f *flight) need() int { return f.PromptTokens + f.MaxTokens }

// fullStream is the answer length from which a stream counts as a whole one in
// predictions of the step. A verdict of a few tokens is gone after a few steps.
const fullStream = 64

// weight is how much of a stream the request is, in predictions of the step.
func (f *flight) weight() float64 { return min(1, float64(f.MaxTokens)/fullStream) }

// Core is the state of the decisions of one box. It is not safe for concurrent use.
type Core struct {
	rng     *rand.Rand
	maxWait int
	engines map[string]*engine
	pools   map[string]*pool
	names   []string // Pool names in order, so that runs repeat exactly.
	flights map[ID]*flight
	budget  retryBudget
	now     time.Time
	out     []Action

	// Scratch space of choose, kept to spare allocations.
	prefills, decodes []*engine
	readers           []reader
	writers           []writer
	best              []pair
}

// New returns an empty core that lets at most maxWait requests wait.
func New(rng *rand.Rand, maxWait int) *Core {
	return &Core{
		rng:     rng,
		maxWait: maxWait,
		engines: map[string]*engine{},
		pools:   map[string]*pool{},
		flights: map[ID]*flight{},
		budget:  retryBudget{tokens: retryTokens},
	}
}

// Step takes one event and returns what to do. The result is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.out = c.out[:0]
	switch ev := ev.(type) {
	case Fleet:
		c.fleet(ev)
	case Arrive:
		c.arrive(ev.Request)
	case Cancel:
		c.cancel(ev.ID)
	case PrefillDone:
		c.prefillDone(ev)
	case FirstToken:
		c.firstToken(ev)
	case Done:
		c.done(ev)
	case Failed:
		c.failedCall(ev)
	case Report:
		c.report(ev)
	case Silent:
		if e := c.engines[ev.Engine]; e != nil {
			e.unanswered = true
		}
	case Evicted:
		if e := c.engines[ev.Engine]; e != nil {
			e.cache.drop(ev.Blocks)
			if ev.All {
				e.cache.young, e.cache.old = nil, nil
			}
		}
	case Tick:
		c.tick()
	default:
		panic(fmt.Sprintf("decide: unknown event %T", ev))
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

// fleet brings the engines up to date and keeps what is known of those that stay.
// An engine that vanishes keeps its ledger until its last request is gone.
func (c *Core) fleet(ev Fleet) {
	for _, p := range ev.Pools {
		if c.pools[p.Name] == nil {
			c.pools[p.Name] = &pool{}
			c.names = append(c.names, p.Name)
			slices.Sort(c.names)
		}
		c.pools[p.Name].Pool = p
	}
	for _, p := range c.pools {
		p.prefill, p.decode = nil, nil
	}
	named := map[string]bool{}
	for _, cfg := range ev.Engines {
		p := c.pools[cfg.Pool]
		if p == nil {
			continue
		}
		e := c.engines[cfg.Name]
		if e == nil {
			e = &engine{}
			c.engines[cfg.Name] = e
		}
		e.Engine = cfg
		named[cfg.Name] = true
		if cfg.Role == Prefill {
			p.prefill = append(p.prefill, e)
		} else {
			p.decode = append(p.decode, e)
		}
	}
	for name := range c.engines {
		if !named[name] {
			c.engines[name].Leaving = true
			delete(c.engines, name)
		}
	}
	for _, name := range c.names {
		c.pools[name].rebuild()
		c.drainQueue(c.pools[name])
	}
}

func (c *Core) arrive(r Request) {
	c.budget.arrived()
	f := &flight{Request: r, pool: c.pools[r.Pool], arrived: c.now, patient: r.ServeLate}
	f.PromptTokens = max(1, f.PromptTokens)
	c.flights[r.ID] = f
	if f.pool == nil {
		c.end(f, outcome.UnknownModel, "")
		return
	}
	if !c.fits(f) {
		return
	}
	c.setWork(f)
	f.pool.urgency.arrived(f)
	f.order = f.latestStart.Add(time.Duration(f.Priority) * time.Second)
	if f.Policy != nil && !c.admit(f) {
		return
	}
	if !f.patient && c.now.Add(c.shortestQueue(f)).After(f.latestStart) {
		c.endLate(f, "every prefill engine has more to read already than the target allows")
		return
	}
	c.wait(f)
}

// fits refuses a request that no engine of the pool could ever hold, or that
// has no engine in its region at all.
func (c *Core) fits(f *flight) bool {
	g := f.pool.regions[f.Region]
	switch {
	case g.prefills == 0:
		c.end(f, outcome.NoPrefill, "")
	case g.mostKV == 0:
		c.end(f, outcome.NoDecode, "")
	case f.need() > g.mostKV:
		c.end(f, outcome.PromptTooLong, fmt.Sprintf("it needs %d tokens of memory and the largest engine has %d", f.need(), g.mostKV))
	default:
		return true
	}
	return false
}

// setWork works out the least work of the request, and when its prompt must start
// to be read at the latest, with nothing else running.
func (c *Core) setWork(f *flight) {
	read := time.Duration(1<<63 - 1)
	for _, e := range c.lookAt(f.pool, f) {
		read = min(read, e.readTime(f.PromptTokens-e.cachedTokens(f)))
	}
	transfer := f.pool.idleTransfer(f.PromptTokens)
	f.work[Prefill] = max(read, transfer)
	f.work[Decode] = time.Duration(f.MaxTokens) * f.BetweenTokens / time.Duration(f.pool.batch(f.BetweenTokens))
	f.latestStart = f.arrived.Add(f.FirstToken - read - transfer - f.pool.bestStep)
}

func (c *Core) shortestQueue(f *flight) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, e := range c.lookAt(f.pool, f) {
		reading, ahead := f.pool.urgency.wait(f, e.queueTime(c.now))
		least = min(least, reading+ahead)
	}
	return least
}

// retryAfter is how long the work ahead will take, at least a second, so that a
// refused caller comes back when it has a chance.
func (c *Core) retryAfter(f *flight) time.Duration {
	return max(time.Second, f.pool.ahead(f)+c.shortestQueue(f))
}

func (c *Core) admit(f *flight) bool {
	v := f.Policy.Admit(&f.Request, c.view(f))
	if v.Text != "" || v.Fault != "" || v.Refuse || v.Wait {
		c.emit(Ruled{f.ID, v})
	}
	if v.Refuse {
		c.endRetry(f, outcome.PolicyRefused, time.Second)
		return false
	}
	f.patient = f.patient || v.Wait
	return true
}

func (c *Core) view(f *flight) View {
	v := View{Waiting: len(f.pool.queue.items), PrefillQueue: c.shortestQueue(f)}
	policy := f.Policy
	f.Policy = nil // The prediction is the built-in one.
	q, _, ok := c.choose(f.pool, f, c.now)
	f.Policy = policy
	for _, e := range c.decodes {
		v.DecodeFreeKV = max(v.DecodeFreeKV, e.freeKV())
	}
	if ok {
		v.PredictedTime = q.First
	}
	return v
}

// wait puts the request in the queue and at once tries to start what stands
// first, so that a new request never passes a more urgent one.
func (c *Core) wait(f *flight) {
	p := f.pool
	if len(p.queue.items) >= c.maxWait {
		c.endRetry(f, outcome.QueueFull, c.retryAfter(f))
		return
	}
	f.stage = waiting
	p.queue.add(f)
	c.drainQueue(p)
	c.relieve(p)
	if f.stage != waiting || c.flights[f.ID] == nil {
		return
	}
	c.emit(Waiting{f.ID, f.waitReason(), View{Waiting: len(p.queue.items)}})
}

// waitReason says which role the request waits for.
func (f *flight) waitReason() outcome.Reason {
	if f.lastCh != nil && f.lastCh.Passed.NoRoom+f.lastCh.Passed.TooSlow > 0 && f.lastCh.Compared == 0 {
		return outcome.NoDecode
	}
	return outcome.NoPrefill
}

// tryPlace starts the request if a pair is free for it. Decode memory is held
// before the prefill starts, so a prefill never lacks a place to go.
func (c *Core) tryPlace(f *flight) bool {
	q, ch, ok := c.choose(f.pool, f, c.now)
	f.lastCh = ch
	if !ok {
		return false
	}
	first, target := c.now.Add(q.First), f.arrived.Add(f.FirstToken)
	if !f.patient && first.Add(f.pool.urgency.lateness(f)).After(target) {
		if !first.After(target) {
			f.pool.urgency.doubted(f)
		}
		f.late = true
		return false
	}
	linkWait := q.Transfer - transferTime(f.pool, f, q.prefill, q.decode)
	if q.ahead > prefillWindow || linkWait > linkWindow {
		ch.Passed.Busy++
		return false
	}
	f.pool.pace.started(f)
	f.tries++
	f.attempt++
	f.prefill, f.prefillAttempt, f.reading = q.prefill, f.attempt, true
	f.readTokens = f.PromptTokens - q.Cached
	c.setStage(f, prefilling, q.Queue+q.Read)
	c.holdDecode(f, q.decode)
	q.prefill.addPrefill(c.now, f.ID, f.readTokens)
	q.prefill.cache.add(f.Blocks)
	q.prefill.health.chosen(c.now)
	f.predictedRead = c.now.Add(q.Queue + q.Read)
	f.plan(f.predictedRead)
	c.emit(StartPrefill{f.ID, f.attempt, q.prefill.Name, q.decode.Name, f.enginePriority(), ch})
	return true
}

// engineEpoch keeps engine priorities small; any fixed instant would do.
var engineEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// setStage begins a stage that is predicted to take so long.
func (c *Core) setStage(f *flight, s stage, predicted time.Duration) {
	f.stage = s
	f.stageStart = c.now
	f.stageDeadline = c.now.Add(stallFactor*predicted + f.stallMargin())
}

func (f *flight) stallMargin() time.Duration {
	return max(shortestMargin, min(longestMargin, f.FirstToken/2))
}

// enginePriority is the order in milliseconds: engines run the lowest
// first, so the prompts of all boxes are read earliest deadline first.
func (f *flight) enginePriority() int { return int(f.order.Sub(engineEpoch).Milliseconds()) }

func (c *Core) holdDecode(f *flight, e *engine) {
	f.decode = e
	f.held = f.need()
	e.addDecode(c.now, f.ID, f.held, f.weight())
	e.health.chosen(c.now)
}

func (c *Core) releaseDecode(f *flight) {
	f.unplan()
	if f.decode != nil {
		f.decode.dropDecode(f.ID, f.held, f.weight())
		f.decode, f.held = nil, 0
	}
}

func (c *Core) releasePrefill(f *flight) {
	if f.reading {
		f.prefill.dropPrefill(c.now)
		f.reading = false
	}
}

func (c *Core) prefillDone(ev PrefillDone) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != prefilling || ev.Attempt != f.prefillAttempt {
		return
	}
	f.ran = true
	f.expires = ev.Expires
	f.pool.urgency.wasLate(f, c.now.Sub(f.predictedRead))
	if len(f.Blocks) > 0 {
		f.pool.surprise.cached(f.PromptTokens-f.readTokens, ev.Cached)
	}
	f.prefill.cache.learn(f.PromptTokens-f.readTokens, ev.Cached, len(f.Blocks))
	f.readTokens = max(0, f.PromptTokens-ev.Cached)
	c.releasePrefill(f)
	f.prefill.health.succeeded()
	moved := outcome.OK
	if f.decode.leaving() {
		moved = outcome.NoDecode
		if !c.anotherDecode(f) {
			c.giveUpTry(f, outcome.NoDecode, true)
			c.drainQueue(f.pool)
			return
		}
	}
	f.unplan()
	c.betterDecode(f)
	c.startDecode(f, moved)
	c.drainQueue(f.pool)
}

func (c *Core) startDecode(f *flight, moved outcome.Reason) {
	f.attempt++
	f.decodeAttempt = f.attempt
	f.unplan()
	takes := predictTransfer(f.pool, f, f.prefill, f.decode, c.now)
	f.plan(c.now)
	c.setStage(f, transferring, takes+f.decode.stepTime())
	c.emit(StartDecode{f.ID, f.attempt, f.prefill.Name, f.prefillAttempt, f.decode.Name, f.enginePriority(), moved})
}

// betterDecode changes the decode engine before the transfer starts, when
// another one would have the answer begin clearly sooner: links and batches have
// changed since the engine was chosen, before the prompt was read. A place is held
// on one or the other at all times.
func (c *Core) betterDecode(f *flight) {
	var passed PassedOver
	c.findWriters(f.pool, f, c.now, &passed)
	begin := func(e *engine, step time.Duration) time.Duration {
		return predictTransfer(f.pool, f, f.prefill, e, c.now) + step
	}
	best, least := f.decode, begin(f.decode, f.decode.stepTime())-rebindGain
	for _, w := range c.writers {
		if t := begin(w.e, w.step); w.e != f.decode && t < least {
			best, least = w.e, t
		}
	}
	if best != f.decode {
		c.releaseDecode(f)
		c.holdDecode(f, best)
	}
}

// anotherDecode holds memory on a decode engine other than the present one.
func (c *Core) anotherDecode(f *flight) bool {
	f.avoid = f.decode
	c.releaseDecode(f)
	var passed PassedOver
	var best *engine
	c.findWriters(f.pool, f, c.now, &passed)
	for _, w := range c.writers {
		if w.e != f.avoid && (best == nil || w.e.stepTime() < best.stepTime()) {
			best = w.e
		}
	}
	if best == nil {
		return false
	}
	c.holdDecode(f, best)
	return true
}

func (c *Core) firstToken(ev FirstToken) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != transferring || ev.Attempt != f.decodeAttempt {
		return
	}
	f.stage = streaming
	f.unplan()
	alone := transferTime(f.pool, f, f.prefill, f.decode)
	f.pool.surprise.sent(c.now.Sub(f.stageStart)-f.decode.stepTime(), alone)
	f.prefillAttempt = 0 // The decode engine has taken the KV cache.
	f.stageDeadline = time.Time{}
	f.decode.health.succeeded()
}

func (c *Core) done(ev Done) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.decodeAttempt || f.decodeAttempt == 0 {
		return
	}
	f.decode.health.succeeded()
	f.decodeAttempt, f.prefillAttempt = 0, 0
	c.forget(f)
	c.drainQueue(f.pool)
}

func (c *Core) failedCall(ev Failed) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.attempt {
		return
	}
	f.ran = f.ran || ev.Ran
	e := f.decode
	if f.stage == prefilling {
		e = f.prefill
	}
	if e == nil {
		return
	}
	e.health.failed(c.now)
	c.callFailed(f, ev.Reason, ev.Ran, ev.KVGone)
	c.drainQueue(f.pool)
}

// callFailed decides what becomes of a request whose current call is lost.
func (c *Core) callFailed(f *flight, reason outcome.Reason, ran, kvGone bool) {
	switch f.stage {
	case prefilling:
		c.giveUpTry(f, reason, ran)
	case transferring:
		c.decodeLost(f, reason, ran, kvGone)
	case streaming:
		c.abortCalls(f)
		c.finish(f, outcome.Outcome{Kind: outcome.CutOff, Reason: reason})
	}
}

// decodeLost moves the KV cache to a second decode engine while the prefill
// engine still holds it, and otherwise gives up the try.
func (c *Core) decodeLost(f *flight, reason outcome.Reason, ran, kvGone bool) {
	c.abortDecode(f)
	usable := !kvGone && c.now.Add(expirySafety).Before(f.expires)
	if usable && (f.Repeatable || !ran) && c.budget.take() && c.anotherDecode(f) {
		c.emit(Retry{f.ID, f.avoid.Name, reason})
		c.startDecode(f, reason)
		return
	}
	c.giveUpTry(f, reason, ran)
}

// giveUpTry frees everything the try holds, and starts another where the
// request may be repeated, the budget allows it and the target can still be met.
func (c *Core) giveUpTry(f *flight, reason outcome.Reason, ran bool) {
	f.ran = f.ran || ran
	if f.stage != prefilling || ran {
		c.emit(Waste{f.ID, f.readTokens, reason})
	}
	f.avoid = f.failing()
	c.abortCalls(f)
	if f.ran && !f.Repeatable || f.tries >= maxTries {
		c.end(f, reason, "")
		return
	}
	if !f.patient && c.now.After(f.latestStart) {
		c.end(f, reason, "")
		return
	}
	if !c.budget.take() {
		c.end(f, outcome.RetryBudget, reason.Sentence())
		return
	}
	c.emit(Retry{f.ID, f.avoid.Name, reason})
	c.wait(f)
}

// failing is the engine to blame for the present stage. A decode engine that was
// given up already, in search of another, is the one avoided.
func (f *flight) failing() *engine {
	switch {
	case f.stage == prefilling:
		return f.prefill
	case f.decode != nil:
		return f.decode
	}
	return f.avoid
}

// abortCalls tells engines to free what they hold for the request, and empties its ledger.
func (c *Core) abortCalls(f *flight) {
	c.abortDecode(f)
	c.releasePrefill(f)
	if f.prefillAttempt != 0 {
		c.emit(Abort{f.ID, f.prefillAttempt, f.prefill.Name})
		f.prefillAttempt = 0
	}
	c.releaseDecode(f)
}

func (c *Core) abortDecode(f *flight) {
	if f.decodeAttempt != 0 && f.decode != nil {
		c.emit(Abort{f.ID, f.decodeAttempt, f.decode.Name})
		f.decodeAttempt = 0
	}
}

func (c *Core) cancel(id ID) {
	f := c.flights[id]
	if f == nil {
		return
	}
	if f.stage == prefilling || f.stage == transferring {
		c.emit(Waste{f.ID, f.readTokens, outcome.CallerGone})
	}
	c.abortCalls(f)
	c.forget(f)
	c.drainQueue(f.pool)
}

func (c *Core) end(f *flight, reason outcome.Reason, detail string) {
	c.finish(f, outcome.Outcome{Kind: f.unanswered(), Reason: reason, Detail: detail})
}

func (c *Core) endRetry(f *flight, reason outcome.Reason, after time.Duration) {
	c.finish(f, outcome.Outcome{Kind: f.unanswered(), Reason: reason, RetryAfter: after})
}

// endLate refuses a request that cannot be on time, and says how that was told.
func (c *Core) endLate(f *flight, detail string) {
	c.finish(f, outcome.Outcome{Kind: f.unanswered(), Reason: outcome.TooLate, Detail: detail, RetryAfter: c.retryAfter(f)})
}

// unanswered is the kind of end that is true of a request without an answer.
func (f *flight) unanswered() outcome.Kind {
	if f.ran {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

func (c *Core) finish(f *flight, o outcome.Outcome) {
	c.emit(End{f.ID, o})
	c.forget(f)
}

// forget removes the request; nothing of it stays in any ledger.
func (c *Core) forget(f *flight) {
	if f.pool != nil {
		f.pool.queue.remove(f)
	}
	c.releasePrefill(f)
	c.releaseDecode(f)
	delete(c.flights, f.ID)
}

func (c *Core) report(r Report) {
	e := c.engines[r.Engine]
	if e == nil {
		return
	}
	e.addReport(c.now, r)
	if p := c.pools[e.Pool]; p != nil {
		c.drainQueue(p)
	}
}

// tickEvery is how often the driver is expected to send Tick.
const tickEvery = 20 * time.Millisecond

// TickEvery is how often the driver should send Tick.
func TickEvery() time.Duration { return tickEvery }

func (c *Core) tick() {
	c.budget.refill(tickEvery)
	var late []*flight
	for _, f := range c.flights {
		if f.stage != waiting && !f.stageDeadline.IsZero() && c.now.After(f.stageDeadline) {
			late = append(late, f)
		}
	}
	slices.SortFunc(late, func(a, b *flight) int { return cmp.Compare(a.ID, b.ID) })
	for _, f := range late {
		c.stalled(f)
	}
	for _, name := range c.names {
		c.drainQueue(c.pools[name])
		c.relieve(c.pools[name])
	}
}

// stalled moves a request whose stage takes too long, or lets it go on.
func (c *Core) stalled(f *flight) {
	if c.now.Before(f.stageStart.Add(hardStall+f.FirstToken)) && !c.canMove(f) {
		f.stageDeadline = c.now.Add(f.stallMargin())
		return
	}
	e, reason := f.decode, outcome.TransferStalled
	if f.stage == prefilling {
		e, reason = f.prefill, outcome.PrefillStalled
	}
	e.health.failed(c.now)
	f.ran = true
	c.callFailed(f, reason, true, false)
}

// canMove says whether a stalled request has somewhere better to go.
func (c *Core) canMove(f *flight) bool {
	if !f.Repeatable || !c.budget.has() {
		return false
	}
	var passed PassedOver
	if f.stage == transferring {
		c.findWriters(f.pool, f, c.now, &passed)
		other := func(w writer) bool { return w.e != f.decode }
		return c.now.Add(expirySafety).Before(f.expires) && slices.ContainsFunc(c.writers, other)
	}
	if f.tries >= maxTries || !f.patient && c.now.After(f.latestStart) || f.prefill.hasQueued(f) {
		return false
	}
	c.findReaders(f.pool, f, c.now, &passed)
	return slices.ContainsFunc(c.readers, func(r reader) bool { return r.e != f.prefill && r.ahead <= prefillWindow })
}

// drainQueue starts waiting requests, most urgent first, and refuses those that
// can no longer meet their target. A few are tried past one that does not fit,
// so that a large request does not hold up small ones.
func (c *Core) drainQueue(p *pool) {
	if p == nil {
		return
	}
	tried := 0
	for i := 0; i < len(p.queue.items) && tried < queueTries; {
		f := p.queue.items[i]
		f.lastCh, f.late = nil, false
		if c.expired(f) {
			c.endRetry(f, outcome.WaitExpired, c.retryAfter(f))
			continue
		}
		tried++
		switch {
		case c.tryPlace(f):
			p.queue.items = append(p.queue.items[:i], p.queue.items[i+1:]...)
		case f.late:
			c.endLate(f, "the best pair of engines would be too slow")
		default:
			i++
		}
	}
	p.findScarce(tried)
	p.pace.look(c.now, len(p.queue.items) > 0)
}

// findScarce notes which role the first waiting requests lack.
func (p *pool) findScarce(tried int) {
	n := 0
	seen := min(tried, len(p.queue.items))
	for _, f := range p.queue.items[:seen] {
		if f.waitReason() == outcome.NoDecode {
			n++
		}
	}
	if seen > 0 {
		p.scarce = Prefill
		if 2*n > seen {
			p.scarce = Decode
		}
	}
}

func (c *Core) expired(f *flight) bool {
	if f.patient {
		return c.now.Sub(f.arrived) > patientWait
	}
	return c.now.After(f.latestStart)
}
