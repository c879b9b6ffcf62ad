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
	// maxPrefillBacklog is how much work of at least the same urgency a prefill engine may
	// have queued ahead of a new prompt. Beyond it the request waits on the box, where a better
	// engine or a more urgent request can still come first.
	maxPrefillBacklog = 80 * time.Millisecond
	// maxLinkBacklog is the same for the transfer: how long it may wait for its links. Large
	// transfers that wait on the box leave room for small ones.
	maxLinkBacklog = 100 * time.Millisecond
	// minRebindGain is how much sooner an answer must begin for the decode engine to be
	// changed once the prompt is prefilled.
	minRebindGain = 5 * time.Millisecond
	// A stage counts as stalled when it takes longer than stallFactor times its predicted
	// duration plus half the first-token target, the latter within these margins. The
	// request is then moved if another engine can take it, and otherwise left alone: a slow
	// call is not a lost one, and giving up many at once would only load the other engines.
	stallFactor    = 3
	minStallMargin = 300 * time.Millisecond
	maxStallMargin = 2 * time.Second
	// hardStallTimeout plus the first-token target ends a stage in any case.
	hardStallTimeout = 5 * time.Second
	// expiryMargin is how long before its expiry a KV cache is no longer used.
	expiryMargin = 50 * time.Millisecond
	// defaultMaxWait bounds the wait of a request that may be late.
	defaultMaxWait = 30 * time.Second
	// lateOrderDelay puts requests that may be late behind those that may not. Otherwise
	// they would become the most urgent ones as soon as they are late, and delay all
	// others past their targets too.
	lateOrderDelay = defaultMaxWait
	// maxTries bounds the prefills of one request, even if the retry budget allows more.
	maxTries = 3
	// maxPlacementTries bounds how many waiting requests one event tries to place.
	maxPlacementTries = 8
)

type stage uint8

const (
	waiting stage = iota
	prefilling
	transferring
	streaming
)

// flight is one request from its arrival to its end.
type flight struct {
	Request
	pool    *pool
	stage   stage
	arrived time.Time
	// latestStart is when the prefill must start for the first-token target to be met.
	latestStart time.Time
	// work is the least time that the request takes of an engine of each role. For a
	// prefill engine it is the longer of the prefill and the transfer of the KV cache;
	// for a decode engine, the request's share of a full batch while it is decoded.
	work [2]time.Duration
	// order is latestStart adjusted by the route's priority; the queue and the engines
	// run the earliest first.
	order time.Time
	// mayBeLate requests wait past their target.
	mayBeLate bool
	// connectionLostAt is when the connection of a running stream was last lost; zero if it never was.
	connectionLostAt time.Time
	// yieldsToOnTime requests go behind all requests that can still be on time.
	yieldsToOnTime bool
	attempt        Attempt
	// ran is set once any part of the request may have run, and is never reset.
	ran bool
	// enginesRun are the decode engines that may have run any part of the request.
	enginesRun []*engine
	tries      int
	// prefillSent and decodeSent report whether a prefill call and a decode call were sent.
	prefillSent, decodeSent bool
	engineToAvoid           *engine // The engine on which the last try failed.
	lastChoice              *Choice // The result of the last attempt to place the request.
	missesTarget            bool    // Whether that attempt found no pair that meets the target.

	prefill             *engine
	prefillAttempt      Attempt // 0 if no prefill engine holds anything for the request.
	prefillReserved     bool    // Whether the ledger of the prefill engine contains the prompt.
	selfPrefillReserved bool    // The same for a decode engine that prefills the prompt itself.
	uncachedTokens      int     // Prompt tokens that are not cached on the prefill engine.
	expires             time.Time
	kvMayBeTaken        bool // Whether a decode engine may have taken the KV cache from the prefill engine.

	predictedPrefillEnd time.Time
	// ownWorkEnd is the predicted end of the prefill if no other box has sent work to the engine.
	ownWorkEnd time.Time
	// plannedLinks are the engines whose links the running or expected transfer uses.
	plannedLinks [2]*engine

	decode        *engine
	decodeAttempt Attempt // 0 if no decode engine was sent anything.
	reservedKV    int     // Tokens reserved in the ledger of the decode engine.

	// tokensAhead is how many tokens were known to be queued ahead of the prompt, and timing
	// collects the time that the request took on engines.
	tokensAhead int
	timing      Timing

	streamStart time.Time // When the answer began.
	// firstTokens arrived with the first event; wasMigrated is set once the stream was migrated.
	firstTokens int
	wasMigrated bool
	// migrateTarget is the engine that the stream is being migrated to by migrateAttempt, with
	// targetReservedKV tokens reserved in its ledger; nil if no migration is under way. No
	// migration starts before noMigrateBefore.
	migrateTarget    *engine
	targetReservedKV int
	migrateAttempt   Attempt
	retryTakenAt     time.Time // When the retry for the migration was taken from the budget.
	noMigrateBefore  time.Time

	stageStart    time.Time
	stageDeadline time.Time // When the stage counts as stalled; zero if it cannot stall.
}

// kvNeed is the decode memory that the request can take, in tokens.
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

// fullStreamTokens is the answer length from which a request counts as a whole stream in
// step-time predictions. Shorter answers end after a few steps.
const fullStreamTokens = 64

// streamWeight is the fraction of a stream that the request counts as in step-time predictions.
func (f *flight) streamWeight() float64 { return min(1, float64(f.MaxTokens)/fullStreamTokens) }

// Core is the scheduling state of one box. It is not safe for concurrent use.
type Core struct {
	rng        *rand.Rand
	maxWaiting int
	engines    map[string]*engine
	pools      map[string]*pool
	poolNames  []string // Sorted pool names, so that runs are reproducible.
	flights    map[ID]*flight
	// priorEstimates are the estimates of pools that were loaded at the start.
	priorEstimates map[string]Estimates
	budget         retry.Budget
	// lastTick is the time of the last tick; zero before the first.
	lastTick time.Time
	remote   remoteLoad
	// notices are the limits and pauses that engines announce in their answers; nil if unknown.
	notices Notices
	now     time.Time
	actions []Action

	// Scratch space of choose, reused to avoid allocations.
	sampledPrefills, sampledDecodes []*engine
	prefillOptions                  []prefillOption
	decodeOptions                   []decodeOption
	bestPairs                       []pair
}

// New returns an empty core that lets at most maxWaiting requests wait.
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

// Notices gives access to the limits and pauses that engines announce to this box in their answers.
type Notices interface {
	// ThrottledFor is how long an engine accepts no new requests of this box; 0 if it accepts some now.
	ThrottledFor(engine string, now time.Time) time.Duration
	// Sent records that a new request is sent to an engine.
	Sent(engine string, now time.Time)
	// IsPaused reports whether an engine asked this box for a pause, during which not even
	// requests that were placed on it before may be sent.
	IsPaused(engine string, now time.Time) bool
}

// SetNotices makes the core obey engine notices. It must be called before the first event;
// on a nil core it does nothing.
func (c *Core) SetNotices(n Notices) {
	if c != nil {
		c.notices = n
	}
}

// throttledFor is how long an engine accepts no new requests of this box.
func (c *Core) throttledFor(e *engine) time.Duration {
	if c.notices == nil {
		return 0
	}
	return c.notices.ThrottledFor(e.Name, c.now)
}

func (c *Core) noteSent(e *engine) {
	e.lastUsed = c.now
	if c.notices != nil {
		c.notices.Sent(e.Name, c.now)
	}
}

func (c *Core) isPaused(e *engine) bool {
	return c.notices != nil && c.notices.IsPaused(e.Name, c.now)
}

// allThrottledFor is how long no engine that stays accepts a new request; 0 if one does now.
func (c *Core) allThrottledFor(f *flight) time.Duration {
	reg := f.pool.region(f.Region)
	if wait := c.shortestThrottle(reg.decode); wait > 0 || f.pool.SelfPrefillRatio > 0 {
		return wait
	}
	return c.shortestThrottle(reg.prefill)
}

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

// SetRetryLimits limits the box to its share of the retries that a platform allows for the
// given number of boxes. The box started at the given time.
func (c *Core) SetRetryLimits(l retry.Limits, boxes int, started time.Time) {
	c.budget.SetBound(l, boxes, started)
}

// SetGossipConnected sets whether messages of other boxes are received.
func (c *Core) SetGossipConnected(yes bool) {
	for _, p := range c.pools {
		p.receivesStreamEnds = yes
	}
}

// IsAnswering reports whether a decode call of a request is the one that its caller is answered from.
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
	case LoadReport:
		c.handleReport(ev)
	case RemotePlacement:
		if e := c.engines[ev.Engine]; e != nil {
			e.addRemotePlacement(ev)
			if ev.KV > 0 {
				c.remote.addStart(ev.At)
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
		c.remote.waiting = ev.Waiting
	case SetEstimates:
		c.handleSetEstimates(ev.Estimates)
	case RemoteTiming:
		if p := c.pools[ev.Pool]; p != nil {
			c.learn(p, ev.Timing)
		}
	case ProbeFailed:
		if e := c.engines[ev.Engine]; e != nil && !e.probeFailed {
			e.probeFailed = true
			c.emit(StateChange{Engine: e.Name, State: Unresponsive})
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

// updateFleet replaces the engines and keeps the state of those that remain. An engine
// that was removed keeps its ledger until its last request has ended.
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
		if e.Role != cfg.Role {
			// The engine completed the role change that its report was about, and takes work again.
			e.report.Leaving = false
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
	for _, name := range c.poolNames {
		p := c.pools[name]
		if len(p.prefill)+len(p.decode) != before[p] {
			p.changedAt = c.now
		}
		p.rebuild()
		c.drainQueue(c.pools[name])
	}
}

// noteSuccess records a successful call to an engine.
func (c *Core) noteSuccess(e *engine) {
	if e.health.failuresInRow >= failuresToSetAside {
		c.emit(StateChange{Engine: e.Name, State: Usable})
	}
	e.health.noteSuccess()
}

// noteFailure records a failed call to an engine.
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

// tickInterval is how often the driver is expected to send Tick.
const tickInterval = 20 * time.Millisecond

// TickEvery is how often the driver should send Tick.
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
