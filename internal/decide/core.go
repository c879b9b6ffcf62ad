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
	// patientDelay puts requests that may be late behind those that may not: they
	// would otherwise be the most urgent as soon as they are late, and make all
	// others late too.
	patientDelay = patientWait
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
	// brokeAt is when a stream last broke that had begun; zero if none did.
	brokeAt time.Time
	// yields puts a patient request behind all that can still be on time.
	yields  bool
	attempt Attempt
	// ran is set once any part of the request may have run. It never goes back.
	ran bool
	// ranOn are the decode engines that may have run any of it.
	ranOn []*engine
	tries int
	// readSent and writeSent say that a call was sent to have the prompt read, and the answer made.
	readSent, writeSent bool
	avoid               *engine // The engine the last try failed on.
	lastCh              *Choice // What the last attempt to place it saw.
	late                bool    // That attempt saw no pair that could still meet the target.

	prefill        *engine
	prefillAttempt Attempt // 0 when no prefill engine holds anything for it.
	reading        bool    // Whether the prefill's ledger entry stands.
	selfReading    bool    // The same on a decode engine that reads the prompt itself.
	readTokens     int     // Prompt tokens the prefill engine had to read.
	expires        time.Time
	kvTaken        bool // Whether a decode engine may have taken the prefill's result.

	predictedRead time.Time // When the prompt was to be read, by the prediction.
	// explained is when the prompt was to be read if no other box had sent anything.
	explained time.Time
	// planned is the engines whose links the transfer takes or is expected on.
	planned [2]*engine

	decode        *engine
	decodeAttempt Attempt // 0 when no decode engine was sent anything.
	held          int     // Tokens held in the decode ledger.

	// readAhead is how many tokens were known to be in front of the prompt, and timing what the
	// request took of engines so far.
	readAhead int
	timing    Timing

	began time.Time // When the answer began.
	// firstTokens came at once then, and wasMoved says that the stream went on elsewhere.
	firstTokens int
	wasMoved    bool
	// target is the engine that the stream is being moved to, with targetHeld tokens held in
	// its ledger, under moveAttempt; nil if it is not. It is not moved before stayUntil.
	target      *engine
	targetHeld  int
	moveAttempt Attempt
	moveAt      time.Time // When the retry for the move was taken.
	stayUntil   time.Time

	stageStart    time.Time
	stageDeadline time.Time // When the stage counts as stalled; zero if it cannot.
}

// need is the decode memory the request takes, in tokens.
func (f *flight) need() int { return f.PromptTokens + f.MaxTokens }

// needNow is the decode memory that must be free for the request to begin, in tokens.
func (f *flight) needNow() int {
	if f.Ahead > 0 {
		return f.PromptTokens + min(f.Ahead, f.MaxTokens)
	}
	return f.need()
}

// expected is the length of the answer that is expected, in tokens.
func (f *flight) expected() int {
	if f.ExpectTokens > 0 {
		return f.ExpectTokens
	}
	return f.MaxTokens
}

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
	// remembered is what was learned of pools before this core began.
	remembered map[string]Learned
	budget     retry.Budget
	// ticked is when the latest tick was; zero before the first.
	ticked time.Time
	others others
	// notices are what engines ask for in their answers; nil if that is not known.
	notices Notices
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
	c := &Core{
		rng:        rng,
		maxWait:    maxWait,
		engines:    map[string]*engine{},
		pools:      map[string]*pool{},
		flights:    map[ID]*flight{},
		remembered: map[string]Learned{},
	}
	c.budget.Fixed(retryShare, retryFree, retryWindow)
	return c
}

// Notices are what engines ask of this box in their answers.
type Notices interface {
	// Wait is how long an engine takes nothing new of this box; 0 if it takes some now.
	Wait(engine string, now time.Time) time.Duration
	// Sent notes that something new is sent to it.
	Sent(engine string, now time.Time)
	// Rests says that it has asked this box for rest, so that nothing is sent there that was placed before.
	Rests(engine string, now time.Time) bool
}

// SetNotices has the core keep to what engines ask for. It is for before the first event; a nil core
// decides nothing.
func (c *Core) SetNotices(n Notices) {
	if c != nil {
		c.notices = n
	}
}

// waitFor is how long an engine takes nothing new of this box.
func (c *Core) waitFor(e *engine) time.Duration {
	if c.notices == nil {
		return 0
	}
	return c.notices.Wait(e.Name, c.now)
}

func (c *Core) sentTo(e *engine) {
	e.usedAt = c.now
	if c.notices != nil {
		c.notices.Sent(e.Name, c.now)
	}
}

func (c *Core) rests(e *engine) bool {
	return c.notices != nil && c.notices.Rests(e.Name, c.now)
}

// closedFor is how long no engine that stays takes anything new for a request; 0 if one does.
func (c *Core) closedFor(f *flight) time.Duration {
	g := f.pool.in(f.Region)
	if wait := c.closed(g.decode); wait > 0 || f.pool.SelfRead > 0 {
		return wait
	}
	return c.closed(g.prefill)
}

func (c *Core) closed(list []*engine) (least time.Duration) {
	for _, e := range list {
		if e.leaving() {
			continue
		}
		wait := c.waitFor(e)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// BoundRetries has the box keep to its part of the retries that a platform allows so many boxes,
// of which this one started at a time.
func (c *Core) BoundRetries(l retry.Limits, boxes int, started time.Time) {
	c.budget.Bound(l, boxes, started)
}

// Connected says whether what other boxes do is heard of.
func (c *Core) Connected(yes bool) {
	for _, p := range c.pools {
		p.endsHeard = yes
	}
}

// Writes says whether a decode call of a request is the one that its caller is answered from.
func (c *Core) Writes(id ID, a Attempt) bool {
	f := c.flights[id]
	return f != nil && f.stage == streaming && f.decodeAttempt == a
}

// Waiting is how many requests wait.
func (c *Core) Waiting() (n int) {
	for _, p := range c.pools {
		n += len(p.queue.items)
	}
	return n
}

// SetQueue changes how many requests may wait; those that wait already stay.
func (c *Core) SetQueue(n int) { c.maxWait = n }

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
	case NoRoom:
		c.noRoom(ev)
	case Report:
		c.report(ev)
	case Sent:
		if e := c.engines[ev.Engine]; e != nil {
			e.heardSent(ev)
			if ev.KV > 0 {
				c.others.started(ev.At)
				c.pools[e.Pool].sawElsewhere(ev)
			}
		}
	case Migrated:
		c.migrated(ev)
	case MigrateFailed:
		c.migrateFailed(ev)
	case Refused:
		if e := c.engines[ev.Engine]; e != nil {
			e.health.refused(c.now)
		}
	case Ended:
		if e := c.engines[ev.Engine]; e != nil {
			p := c.pools[e.Pool]
			e.heardEnded(p, ev)
			c.drainQueue(p)
		}
	case OthersWait:
		c.others.waiting = ev.N
	case Remember:
		c.remember(ev.Learned)
	case OtherTook:
		if p := c.pools[ev.Pool]; p != nil {
			c.learn(p, ev.Timing)
		}
	case Silent:
		if e := c.engines[ev.Engine]; e != nil && !e.unanswered {
			e.unanswered = true
			c.emit(Believed{Engine: e.Name, State: SilentNow})
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
			c.pools[p.Name] = &pool{since: c.now}
			c.pools[p.Name].remember(c.remembered[p.Name])
			c.names = append(c.names, p.Name)
			slices.Sort(c.names)
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
			// It has done the order that its report was about, and takes work again.
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
	for _, name := range c.names {
		p := c.pools[name]
		if len(p.prefill)+len(p.decode) != before[p] {
			p.changedAt = c.now
		}
		p.rebuild()
		c.drainQueue(c.pools[name])
	}
}

// succeeded notes that a call to an engine came to something.
func (c *Core) succeeded(e *engine) {
	if e.health.failures >= failuresToSetAside {
		c.emit(Believed{Engine: e.Name, State: Usable})
	}
	e.health.succeeded()
}

// blame notes that a call to an engine came to nothing.
func (c *Core) blame(e *engine) {
	e.health.failed(c.now)
	if e.health.failures >= failuresToSetAside {
		c.emit(Believed{Engine: e.Name, State: SetAside, Until: e.health.until})
	}
}

func (c *Core) report(r Report) {
	e := c.engines[r.Engine]
	if e == nil {
		return
	}
	if e.unanswered {
		c.emit(Believed{Engine: e.Name, State: Usable})
	}
	p := c.pools[e.Pool]
	e.addReport(c.now, p, r)
	c.drainQueue(p)
}

// tickEvery is how often the driver is expected to send Tick.
const tickEvery = 20 * time.Millisecond

// TickEvery is how often the driver should send Tick.
func TickEvery() time.Duration { return tickEvery }

func (c *Core) tick() {
	c.allowForPause()
	var late []*flight
	for _, f := range c.flights {
		if f.stage == prefilling {
			f.prefill.waited(c.now, c.now.Sub(f.explained), false)
		}
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
		c.decideWaiting(c.pools[name])
		c.relieve(c.pools[name])
		c.migrate(c.pools[name])
	}
}
