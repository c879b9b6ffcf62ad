package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/retry"
)

const (
	// maxPrefillBacklog bounds the predicted wait of a prompt on a prefill engine. Only the wait for
	// queued prompts that are at least as urgent counts. If the wait would be longer, the request waits
	// on the box instead. There, a better engine or a more urgent request can still come first.
	maxPrefillBacklog = 80 * time.Millisecond
	// maxLinkBacklog bounds how long the transfer of a KV cache is predicted to wait for other transfers
	// on the same links. If the wait would be longer, the request waits on the box instead. This leaves
	// the links to smaller transfers.
	maxLinkBacklog = 100 * time.Millisecond
	// minRebindGain decides whether a request changes its decode engine once the prompt is prefilled. The
	// answer must be predicted to begin at least this much sooner on the other decode engine.
	minRebindGain = 5 * time.Millisecond
	// A stage of a request (prefill or transfer) counts as stalled after stallFactor times its predicted
	// duration plus a margin. The margin is half the first-token target, but at least minStallMargin and
	// at most maxStallMargin. A decode call that fetches the KV cache, or is a rerun, stalls sooner (see
	// setDecodeStage). A stalled request is moved if another engine can take it or its decode engine can
	// run it again. Otherwise it is left alone, because a slow call is not a lost call. If many calls were
	// given up at the same time, they would only load the other engines.
	stallFactor    = 3
	minStallMargin = 300 * time.Millisecond
	maxStallMargin = 2 * time.Second
	// minDecodeMargin is the least margin of a decode call. An engine may begin late for some tens of
	// milliseconds, and the box sees stalls only at its ticks.
	minDecodeMargin = 100 * time.Millisecond
	// After hardStallTimeout plus the first-token target, a call is given up even if no other
	// engine can take the request.
	hardStallTimeout = 5 * time.Second
	// expiryMargin is a safety margin before a prefill engine drops a KV cache. From this long before the
	// expiry, the cache is no longer fetched.
	expiryMargin = 50 * time.Millisecond
	// defaultMaxWait bounds the wait of a request that may run late, if the request sets no bound.
	defaultMaxWait = 30 * time.Second
	// lateOrderDelay is added to the order (a deadline) of requests that may run late, so that all other
	// requests go first. Without it, requests that are late would become the most urgent ones. They
	// would then make the other requests late too.
	lateOrderDelay = defaultMaxWait
	// maxTries is how many times a request may be started, even if the retry budget allows more.
	maxTries = 3
	// maxDecodeRefusals is how many decode engines may refuse a request after its prompt was read. If two engines
	// refuse, the pool is most likely full, and calls to further engines would only add load.
	maxDecodeRefusals = 2
	// maxPlacementTries bounds how many waiting requests one event tries to place.
	maxPlacementTries = 8
)

// stage says how far a request is. It waits on the box, a prefill engine prefills the prompt, the decode engine
// fetches the KV cache, or the answer is being streamed.
type stage uint8

const (
	waiting stage = iota
	prefilling
	transferring
	streaming
)

// flight is one request from its arrival to its end. A try is one run of the request on a pair of
// engines: a prefill call, and then one or more decode calls.
type flight struct {
	Request
	pool    *pool
	stage   stage
	arrived time.Time
	// latestStart is the latest time at which the prefill can start so that the first-token target is
	// still met.
	latestStart time.Time
	// work is the least engine time that the request uses, by role. On a prefill engine it is the duration
	// of the prefill, or of the transfer of the KV cache if that is longer. On a decode engine it is the
	// time to generate the answer, divided by the number of streams in a full batch (see decodeWork).
	work [2]time.Duration
	// order is the deadline by which requests are ordered on the box and on the engines, earliest first.
	// It is latestStart plus Priority. If yieldsToOnTime is set, lateOrderDelay is added. For a request
	// with CallerRetry, order is the time of arrival.
	order time.Time
	// mayBeLate means that the request may start after latestStart. It then waits past its target and is
	// not refused for that.
	mayBeLate bool
	// connectionLostAt is when the connection of a running stream was last lost; zero if it never was.
	connectionLostAt time.Time
	// yieldsToOnTime means that the request goes behind all requests that can still be on time.
	yieldsToOnTime bool
	// active means that the request counts in pool.active.
	active bool
	// attempt is the number of the latest call to an engine.
	attempt Attempt
	// ran is set once any part of the request may have run, and is never reset.
	ran bool
	// enginesRun are the decode engines that may have run any part of the request. tries is the number
	// of tries so far.
	enginesRun []*engine
	tries      int
	// prefillSent and decodeSent report whether a prefill call and a decode call were sent in any try so far.
	prefillSent, decodeSent bool
	// enginesRerun are the decode engines on which the request was run for the second time. rerun is the rerun in
	// progress; nil if there is none.
	enginesRerun []*engine
	rerun        *rerun
	// stalls is the number of decode calls that stalled.
	stalls int
	// engineToAvoid is the engine on which the last call failed, or the decode engine that had to be
	// replaced. A new try uses this engine only if there is no other.
	engineToAvoid *engine
	// decodeRefusals is the number of decode engines that refused the request since its prompt was last read.
	decodeRefusals int
	// lastChoice is the result of the last attempt to place the request. missesTarget reports that the
	// best pair of engines in that attempt was predicted to miss the first-token target.
	lastChoice   *Choice
	missesTarget bool

	prefill             *engine
	prefillAttempt      Attempt   // The number of the prefill call that made the KV cache; 0 if no engine holds a cache.
	prefillReserved     bool      // Whether the ledger of the prefill engine contains the prompt.
	selfPrefillReserved bool      // Whether the decode engine's ledger contains the prompt to prefill.
	uncachedTokens      int       // Prompt tokens that are not cached on the prefill engine.
	expires             time.Time // When the prefill engine drops the KV cache.
	kvMayBeTaken        bool      // Whether a decode engine may have fetched the KV cache. The prefill engine then has it no longer.

	predictedPrefillEnd time.Time
	// ownWorkEnd is when the prefill would end if the engine ran only requests of this box. If the prefill
	// ends later, work of other boxes delayed it.
	ownWorkEnd time.Time
	// plannedLinks are the two engines of the transfer in progress, or else of the planned transfer.
	plannedLinks [2]*engine

	decode        *engine
	decodeAttempt Attempt // 0 if no decode engine was sent anything.
	reservedKV    int     // Tokens reserved in the ledger of the decode engine.

	// tokensAhead is the number of prompt tokens that this box knew to be queued on the prefill engine
	// before this prompt. timing collects how long the engines needed for the request.
	tokensAhead int
	timing      Timing

	streamStart time.Time // When the answer began.
	// firstTokens is the number of tokens in the first event of the answer. wasMigrated is set once the
	// stream has been migrated to another decode engine.
	firstTokens int
	wasMigrated bool
	// migrateTarget is the engine to which the stream is being migrated; nil without a migration. The
	// migration has the attempt number migrateAttempt. In the ledger of the target, targetReservedKV
	// tokens are reserved. No migration starts before noMigrateBefore.
	migrateTarget    *engine
	targetReservedKV int
	migrateAttempt   Attempt
	retryTakenAt     time.Time // When the retry that the migration counts as was taken from the retry budget.
	noMigrateBefore  time.Time

	stageStart    time.Time
	stageDeadline time.Time // When the stage counts as stalled; zero if it cannot stall.
}

// kvNeed is the largest decode memory that the request can need, in tokens.
func (f *flight) kvNeed() int { return f.PromptTokens + f.MaxTokens }

// kvNeedAtStart is the decode memory that must be free for decoding to begin, in tokens.
func (f *flight) kvNeedAtStart() int {
	if f.OutputReserve > 0 {
		return f.PromptTokens + min(f.OutputReserve, f.MaxTokens)
	}
	return f.kvNeed()
}

// expectedOutput is the expected length of the answer, in tokens.
func (f *flight) expectedOutput() int {
	if f.ExpectedTokens > 0 {
		return f.ExpectedTokens
	}
	return f.MaxTokens
}

// fullStreamTokens is the answer length from which a request counts as a whole stream in predictions of step
// times. Shorter answers end after a few steps, so they count in proportion to their length.
const fullStreamTokens = 64

// streamWeight is the fraction of a whole stream that the request counts as in predictions of step times.
func (f *flight) streamWeight() float64 { return min(1, float64(f.MaxTokens)/fullStreamTokens) }

// Core is the scheduling state of one box. It is not safe for concurrent use.
type Core struct {
	rng        *rand.Rand
	maxWaiting int
	engines    map[string]*engine
	pools      map[string]*pool
	poolNames  []string // Sorted pool names. Pools are visited in this order, so that equal events give equal results.
	flights    map[ID]*flight
	// priorEstimates are estimates of engine speeds and request lengths, by pool. Other cores made them before
	// this core started.
	priorEstimates map[string]Estimates
	budget         retry.Budget
	// lastTick is the time of the last tick; zero before the first.
	lastTick time.Time
	remote   remoteLoad
	told     retry.ToldCallers // The callers that this box told to retry.
	// notices tells which limits and pauses engines have announced; nil if nothing does.
	notices Notices
	now     time.Time
	actions []Action

	// The following slices are working memory of choose, which reuses them to avoid allocations.
	sampledPrefills, sampledDecodes, ofBuild []*engine
	prefillOptions                           []prefillOption
	decodeOptions                            []decodeOption
	bestPairs                                []pair
	// toPlace is working memory of drainQueue.
	toPlace []*flight
}

// New returns a core without pools. At most maxWait requests can wait on it.
func New(rng *rand.Rand, maxWait int) *Core {
	c := &Core{
		rng:            rng,
		maxWaiting:     maxWait,
		engines:        map[string]*engine{},
		pools:          map[string]*pool{},
		flights:        map[ID]*flight{},
		priorEstimates: map[string]Estimates{},
	}
	c.budget.SetFixed(retryShare, freeRetries, retryWindow)
	return c
}

// Notices tells which limits and pauses engines announced to this box in their answers.
type Notices interface {
	// ThrottledFor is how long an engine accepts no new requests of this box; 0 if it accepts some now.
	ThrottledFor(engine string, now time.Time) time.Duration
	// Sent records that a new request is sent to an engine.
	Sent(engine string, now time.Time)
	// IsPaused reports whether an engine asked this box for a pause. During a pause, the engine is sent no
	// request at all, not even one that was placed on it before.
	IsPaused(engine string, now time.Time) bool
}

// SetNotices makes the core obey the limits and pauses of engines. It must be called before the first
// event. On a nil core it does nothing.
func (c *Core) SetNotices(n Notices) {
	if c != nil {
		c.notices = n
	}
}

// throttledFor is how long an engine accepts no new requests of this box; 0 if it accepts some now.
func (c *Core) throttledFor(e *engine) time.Duration {
	if c.notices == nil {
		return 0
	}
	return c.notices.ThrottledFor(e.Name, c.now)
}

// noteSent records that a request is sent to the engine, here and in the notices.
func (c *Core) noteSent(e *engine) {
	e.lastUsed = c.now
	if c.notices != nil {
		c.notices.Sent(e.Name, c.now)
	}
}

func (c *Core) isPaused(e *engine) bool {
	return c.notices != nil && c.notices.IsPaused(e.Name, c.now)
}

// allThrottledFor is how long the request finds no engine of a role that it needs, because all of them accept
// no new requests. It is 0 if an engine of each needed role accepts some now.
func (c *Core) allThrottledFor(f *flight) time.Duration {
	reg := f.pool.regionNamed(f.Region)
	if wait := c.shortestThrottle(reg.decode); wait > 0 || f.pool.SelfPrefillRatio > 0 {
		return wait
	}
	return c.shortestThrottle(reg.prefill)
}

// shortestThrottle is the shortest time until one of the engines accepts a new request. Engines that are leaving
// do not count. The result is 0 if an engine accepts a request now, or if no engine is left to count.
func (c *Core) shortestThrottle(list []*engine) (least time.Duration) {
	for _, e := range list {
		if e.leaving() {
			continue
		}
		wait := c.throttledFor(e)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// SetRetryLimits sets the retries that the platform allows to all its boxes together. The number of boxes and the
// start time of this box determine which part of the retries this box may use.
func (c *Core) SetRetryLimits(l retry.Limits, boxes int, started time.Time) {
	c.budget.SetBound(l, boxes, started)
}

// SetGossipConnected sets whether this box receives the messages (gossip) of the other boxes. Among them are the
// messages about the ends of streams.
func (c *Core) SetGossipConnected(yes bool) {
	for _, p := range c.pools {
		p.receivesStreamEnds = yes
	}
}

// IsAnswering reports whether a decode call is the one whose answer is passed on to the caller.
func (c *Core) IsAnswering(id ID, a Attempt) bool {
	f := c.flights[id]
	return f != nil && f.stage == streaming && f.decodeAttempt == a
}

// Waiting is the number of waiting requests.
func (c *Core) Waiting() (n int) {
	for _, p := range c.pools {
		n += len(p.queue.items)
	}
	return n
}

// SetMaxWaiting sets how many requests may wait; requests that already wait are kept.
func (c *Core) SetMaxWaiting(n int) { c.maxWaiting = n }

// Step handles one event and returns the resulting actions. The slice is valid until the next call.
func (c *Core) Step(now time.Time, ev Event) []Action {
	c.now = now
	c.actions = c.actions[:0]
	switch ev := ev.(type) {
	case Fleet:
		c.updateFleet(ev)
	case Submit:
		c.handleSubmit(ev.Request)
	case Cancel:
		c.handleCancel(ev.ID)
	case PrefillDone:
		c.handlePrefillDone(ev)
	case FirstToken:
		c.handleFirstToken(ev)
	case Done:
		c.handleDone(ev)
	case Failed:
		c.handleFailed(ev)
	case ReservationRefused:
		c.handleNoRoom(ev)
	case RerunForbidden:
		c.handleRerunForbidden(ev)
	case LoadReport:
		c.handleReport(ev)
	case RemotePlacement:
		if e := c.engines[ev.Engine]; e != nil {
			e.addRemotePlacement(ev)
			if ev.KV > 0 {
				c.remote.addStart(c.now, ev.At)
				c.pools[e.Pool].observeRemote(ev)
			}
		}
	case Migrated:
		c.handleMigrated(ev)
	case MigrateFailed:
		c.handleMigrateFailed(ev)
	case RemotePrefillRefused:
		if e := c.engines[ev.Engine]; e != nil {
			e.health.noteRefusal(c.now)
		}
	case StreamEnded:
		if e := c.engines[ev.Engine]; e != nil {
			p := c.pools[e.Pool]
			e.addStreamEnded(p, ev)
			c.drainQueue(p)
		}
	case RemoteQueue:
		c.handleRemoteQueue(ev)
	case SetEstimates:
		c.handleSetEstimates(ev.Estimates)
	case RemoteTiming:
		if p := c.pools[ev.Pool]; p != nil {
			p.speed.firstEvents.observe(ev.FirstEventDelay)
			c.learn(p, ev.Timing)
		}
	case ProbeFailed:
		if e := c.engines[ev.Engine]; e != nil && !e.probeFailed {
			e.probeFailed = true
			c.emit(StateChange{Engine: e.Name, State: Unresponsive, Box: ev.Box})
		}
	case Evicted:
		if e := c.engines[ev.Engine]; e != nil {
			e.cache.drop(ev.Blocks)
			if ev.All {
				e.cache.young, e.cache.old = nil, nil
			}
		}
	case Tick:
		c.handleTick()
	default:
		panic(fmt.Sprintf("decide: unknown event %T", ev))
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

// updateFleet replaces the configuration of pools and engines, and then tries to start waiting requests. Engines
// that remain keep their state. The state of a removed engine is kept until its last request has ended.
func (c *Core) updateFleet(ev Fleet) {
	for _, p := range ev.Pools {
		if c.pools[p.Name] == nil {
			c.pools[p.Name] = &pool{createdAt: c.now}
			c.pools[p.Name].setPrior(c.priorEstimates[p.Name])
			c.poolNames = append(c.poolNames, p.Name)
			slices.Sort(c.poolNames)
		}
		c.pools[p.Name].Pool = p
	}
	before := map[*pool]int{}
	for _, p := range c.pools {
		before[p] = len(p.prefill) + len(p.decode)
		p.prefill, p.decode = nil, nil
	}
	listed := map[string]bool{}
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
		if e.Role != cfg.Role {
			// The engine has completed the change of role that its report announced, so it takes work
			// again.
			e.report.Leaving = false
		}
		e.Engine = cfg
		listed[cfg.Name] = true
		if cfg.Role == Prefill {
			p.prefill = append(p.prefill, e)
		} else {
			p.decode = append(p.decode, e)
		}
	}
	for name := range c.engines {
		if !listed[name] {
			c.engines[name].Leaving = true
			delete(c.engines, name)
		}
	}
	for _, name := range c.poolNames {
		p := c.pools[name]
		if len(p.prefill)+len(p.decode) != before[p] {
			p.changedAt = c.now
		}
		p.rebuild()
		c.drainQueue(c.pools[name])
	}
}

// noteSuccess records a successful call to an engine. If the engine was set aside, it becomes usable.
func (c *Core) noteSuccess(e *engine) {
	if e.health.failuresInRow >= failuresToSetAside {
		c.emit(StateChange{Engine: e.Name, State: Usable})
	}
	e.health.noteSuccess()
}

// noteFailure records a failed call to an engine. After several failures in a row, the engine is set aside.
func (c *Core) noteFailure(e *engine) {
	e.health.noteFailure(c.now)
	if e.health.failuresInRow >= failuresToSetAside {
		c.emit(StateChange{Engine: e.Name, State: SetAside, Until: e.health.setAsideUntil})
	}
}

func (c *Core) handleReport(r LoadReport) {
	e := c.engines[r.Engine]
	if e == nil {
		return
	}
	if e.probeFailed {
		c.emit(StateChange{Engine: e.Name, State: Usable})
	}
	p := c.pools[e.Pool]
	e.addReport(c.now, p, r)
	c.drainQueue(p)
}

// tickInterval is how often the core expects a Tick event.
const tickInterval = 20 * time.Millisecond

// TickEvery is how often the program that runs the core should send a Tick event.
func TickEvery() time.Duration { return tickInterval }

func (c *Core) handleTick() {
	c.extendDeadlinesAfterPause()
	var overdue []*flight
	for _, f := range c.flights {
		if f.stage == prefilling {
			f.prefill.observeWait(c.now, c.now.Sub(f.ownWorkEnd), false)
		}
		if f.stage != waiting && !f.stageDeadline.IsZero() && c.now.After(f.stageDeadline) {
			overdue = append(overdue, f)
		}
	}
	slices.SortFunc(overdue, func(a, b *flight) int { return cmp.Compare(a.ID, b.ID) })
	for _, f := range overdue {
		c.handleStall(f)
	}
	for _, name := range c.poolNames {
		c.drainQueue(c.pools[name])
		c.refuseUnlikely(c.pools[name])
		c.shedLate(c.pools[name])
		c.migrateStreams(c.pools[name])
	}
}
