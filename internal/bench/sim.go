package bench

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/cost"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

const (
	// messageDelay is how long a message takes between a box (a machine that runs the router) and an engine.
	messageDelay = 200 * time.Microsecond
	// reportLag is how old the figures in an engine's load report are at least.
	reportLag = 200 * time.Millisecond
	// sampleInterval is how often an engine records the load values for its reports.
	sampleInterval = 50 * time.Millisecond
	// probeInterval is how often a box asks every engine for its load. Without these probes, a box would not know the
	// load of an engine that it sends no requests to.
	probeInterval = time.Second
	// drainTime is how long a simulation continues after the last arrivals.
	drainTime = 15 * time.Second
	// cacheCapacity is the capacity of an engine's prefix cache in blocks.
	cacheCapacity = 960
)

// decider makes the decisions of a simulated router. It is the decision core (decide.Core) or a conventional router
// (baseline).
type decider interface {
	Step(now time.Time, ev decide.Event) []decide.Action
}

// event is a function to call at a virtual time. Events at the same time are called in the order of seq.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

// simulation is one run of a site and its boxes in virtual time.
type simulation struct {
	m          *mix
	now        time.Time
	start      time.Time
	events     eventHeap
	seq        int
	boxes      []decider
	engines    map[string]*simEngine
	engineList []*simEngine
	flights    map[decide.ID]*simFlight
	// transfers are the KV transfers in progress. The field bytesLeft of each transfer is valid at the time
	// transfersAt.
	transfers   []*transfer
	transfersAt time.Time
	wakeUpSeq   int
	res         Result
}

// simFlight is a request from its arrival to its end.
type simFlight struct {
	*request
	box           int
	ended         bool
	firstTokenAt  time.Time
	lastTokenAt   time.Time
	unusedPrefill int // Tokens that were prefilled for this request and not yet used for an answer.
	arrived       time.Time
}

func (r *simulation) at(t time.Time, do func()) {
	r.seq++
	heap.Push(&r.events, event{t, r.seq, do})
}

func (r *simulation) after(d time.Duration, do func()) { r.at(r.now.Add(d), do) }

func (r *simulation) loop(until time.Time) {
	for len(r.events) > 0 && !r.events[0].at.After(until) {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
}

// deliver passes an event to a box and carries out the actions that the box returns.
func (r *simulation) deliver(box int, ev decide.Event) {
	for _, a := range slices.Clone(r.boxes[box].Step(r.now, ev)) {
		r.exec(a)
	}
}

func (r *simulation) exec(a decide.Action) {
	switch a := a.(type) {
	case decide.StartPrefill:
		f := r.flights[a.ID]
		c := &call{flight: f, attempt: a.Attempt, priority: a.Priority}
		r.after(messageDelay, func() { r.engines[a.Prefill].startPrefill(c) })
	case decide.StartDecode:
		f := r.flights[a.ID]
		c := &call{flight: f, attempt: a.Attempt, priority: a.Priority, kvAttempt: a.PrefillAttempt, kvSource: r.engines[a.Prefill]}
		if a.Moved != outcome.OK {
			r.res.Moves++
		}
		r.after(messageDelay, func() { r.engines[a.Decode].startDecode(c) })
	case decide.Abort:
		r.after(messageDelay, func() { r.engines[a.Engine].abort(a.ID, a.Attempt) })
	case decide.Retry:
		r.res.Retries++
	case decide.End:
		f := r.flights[a.ID]
		if f.ended {
			return
		}
		f.ended = true
		r.countWaste(f)
		switch a.Outcome.Kind {
		case outcome.NotRun:
			r.res.Refused++
		default:
			r.res.Lost++
		}
		r.res.EndReasons[a.Outcome.Reason.String()]++
	}
}

// countWaste counts the prompt tokens that were processed for a request and will not be used for an answer.
func (r *simulation) countWaste(f *simFlight) {
	r.res.WastedTokens += f.unusedPrefill
	f.unusedPrefill = 0
}

// call is one call to an engine, either a prefill or a decode. A decode call fetches the KV cache from the engine
// kvSource. The prefill call with the attempt number kvAttempt has left the KV cache there.
type call struct {
	flight         *simFlight
	attempt        decide.Attempt
	priority       int
	kvAttempt      decide.Attempt
	kvSource       *simEngine
	uncachedTokens int
	generated      int
	kvTokens       int
	stopped        bool
}

type callKey struct {
	id      decide.ID
	attempt decide.Attempt
}

// simEngine is one engine in virtual time. Its speed is given by the same cost model as that of the stand-ins.
type simEngine struct {
	r     *simulation
	name  string
	model cost.Model
	role  decide.EngineRole

	calls        map[callKey]*call
	queue        []*call // Waiting prefills; the most urgent is first.
	busy         bool
	queuedTokens int // Tokens to process for waiting and running prefills, without cached tokens.
	results      map[callKey]*call
	cache        map[uint64]int // For each block, the value of cacheClock when the block was last used.
	cacheClock   int
	waiting      []*call
	running      []*call
	freeKV       int
	stepping     bool
	transfers    int // The number of KV transfers that now use its link.

	dead    bool
	stalled bool // KV transfers to this engine that start now never end.
	frozen  bool // The engine takes no new figures for its load reports.
	samples []loadSample
}

type loadSample struct {
	at                            time.Time
	queuedTokens, freeKV, streams int
}

func engineName(i int) string { return fmt.Sprintf("e%03d", i) }

func (e *simEngine) fail(c *call, reason outcome.Reason, ran, kvGone bool) {
	delete(e.calls, callKey{c.flight.ID, c.attempt})
	c.stopped = true
	e.r.after(messageDelay, func() {
		e.r.deliver(c.flight.box, decide.Failed{ID: c.flight.ID, Attempt: c.attempt, Reason: reason, Ran: ran, KVGone: kvGone})
	})
}

func (e *simEngine) startPrefill(c *call) {
	if e.dead {
		e.fail(c, outcome.ConnectFailed, false, false)
		return
	}
	e.calls[callKey{c.flight.ID, c.attempt}] = c
	c.uncachedTokens = c.flight.PromptTokens - e.cachedTokens(c.flight.Blocks)
	e.queuedTokens += c.uncachedTokens
	i, _ := slices.BinarySearchFunc(e.queue, c, func(a, b *call) int { return cmp.Compare(a.priority, b.priority+1) })
	e.queue = slices.Insert(e.queue, i, c)
	e.startNextPrefill()
}

func (e *simEngine) cachedTokens(blocks []uint64) int {
	n := 0
	for _, b := range blocks {
		if _, ok := e.cache[b]; !ok {
			break
		}
		n++
	}
	return n * decide.BlockTokens
}

// addToCache adds blocks to the prefix cache and evicts the least recently used blocks.
func (e *simEngine) addToCache(blocks []uint64) {
	e.cacheClock++
	for _, b := range blocks {
		e.cache[b] = e.cacheClock
	}
	if len(e.cache) <= cacheCapacity {
		return
	}
	uses := make([]int, 0, len(e.cache))
	for _, u := range e.cache {
		uses = append(uses, u)
	}
	slices.Sort(uses)
	limit := uses[len(uses)-cacheCapacity]
	for b, u := range e.cache {
		if u < limit {
			delete(e.cache, b)
		}
	}
}

func (e *simEngine) startNextPrefill() {
	if e.busy || len(e.queue) == 0 || e.dead {
		return
	}
	c := e.queue[0]
	e.queue = e.queue[1:]
	e.queuedTokens -= c.uncachedTokens
	c.uncachedTokens = c.flight.PromptTokens - e.cachedTokens(c.flight.Blocks)
	e.queuedTokens += c.uncachedTokens
	e.busy = true
	e.r.after(e.model.Prefill(c.uncachedTokens, 0), func() { e.finishPrefill(c) })
}

func (e *simEngine) finishPrefill(c *call) {
	e.busy = false
	if e.dead {
		return
	}
	e.queuedTokens -= c.uncachedTokens
	e.addToCache(c.flight.Blocks)
	e.r.res.PrefillTokens += c.uncachedTokens
	c.flight.unusedPrefill += c.uncachedTokens
	if c.stopped || c.flight.ended {
		e.r.countWaste(c.flight)
		e.startNextPrefill()
		return
	}
	key := callKey{c.flight.ID, c.attempt}
	e.results[key] = c
	expires := e.r.now.Add(e.model.Expiry)
	e.r.after(e.model.Expiry, func() { delete(e.results, key) })
	cached := c.flight.PromptTokens - c.uncachedTokens
	e.r.after(messageDelay, func() {
		e.report(c.flight.box)
		e.r.deliver(c.flight.box, decide.PrefillDone{ID: c.flight.ID, Attempt: c.attempt, Cached: cached, Expires: expires})
	})
	e.startNextPrefill()
}

func (e *simEngine) startDecode(c *call) {
	if e.dead {
		e.fail(c, outcome.ConnectFailed, false, false)
		return
	}
	kv := callKey{c.flight.ID, c.kvAttempt}
	if c.kvSource.results[kv] == nil {
		e.fail(c, outcome.PrefillExpired, false, true)
		return
	}
	e.calls[callKey{c.flight.ID, c.attempt}] = c
	if e.stalled {
		return // The transfer never ends.
	}
	e.r.startTransfer(&transfer{from: c.kvSource, to: e, call: c, bytesLeft: float64(c.flight.PromptTokens * e.model.KVBytesPerToken), done: func() { e.finishTransfer(c, kv) }})
}

func (e *simEngine) finishTransfer(c *call, kv callKey) {
	if e.dead || c.stopped {
		return
	}
	if c.kvSource.results[kv] == nil {
		e.fail(c, outcome.PrefillExpired, true, true)
		return
	}
	delete(c.kvSource.results, kv)
	c.kvTokens = c.flight.PromptTokens + c.flight.MaxTokens
	e.waiting = append(e.waiting, c)
	slices.SortStableFunc(e.waiting, func(a, b *call) int { return cmp.Compare(a.priority, b.priority) })
	e.admit()
}

func (e *simEngine) admit() {
	for len(e.waiting) > 0 && e.waiting[0].kvTokens <= e.freeKV {
		c := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.freeKV -= c.kvTokens
		e.running = append(e.running, c)
	}
	if len(e.running) > 0 && !e.stepping {
		e.stepping = true
		e.r.after(e.model.StepOf(len(e.running)), e.step)
	}
}

// step generates one token for every running stream, and ends the streams that are complete.
func (e *simEngine) step() {
	e.stepping = false
	if e.dead {
		return
	}
	for _, c := range slices.Clone(e.running) {
		c.generated++
		c.flight.lastTokenAt = e.r.now
		if c.generated == 1 {
			c.flight.firstTokenAt = e.r.now
			c.flight.unusedPrefill = 0
			e.report(c.flight.box)
			e.r.deliver(c.flight.box, decide.FirstToken{ID: c.flight.ID, Attempt: c.attempt})
		}
		if c.generated >= c.flight.outputTokens && !c.stopped {
			e.removeCall(c)
			e.r.finish(c)
		}
	}
	e.admit()
}

// transfer is the transfer of a KV cache from a prefill engine to a decode engine. All transfers that use an engine's
// link get equal shares of its rate.
type transfer struct {
	from, to  *simEngine
	call      *call
	bytesLeft float64
	done      func()
}

func (t *transfer) rate() float64 {
	return min(t.from.model.LinkRate/float64(t.from.transfers), t.to.model.LinkRate/float64(t.to.transfers))
}

func (r *simulation) startTransfer(t *transfer) {
	r.advanceTransfers()
	r.transfers = append(r.transfers, t)
	t.from.transfers++
	t.to.transfers++
	r.scheduleTransferWakeUp()
}

// advanceTransfers updates all transfers to the current time. It ends the transfers that are complete. It also ends a
// transfer if its call was stopped or one of its two engines has crashed.
func (r *simulation) advanceTransfers() {
	passed := r.now.Sub(r.transfersAt).Seconds()
	r.transfersAt = r.now
	for _, t := range r.transfers {
		t.bytesLeft -= passed * t.rate()
	}
	const roundingBytes = 1 // A transfer with fewer bytes left counts as complete, because of rounding errors.
	var ended []*transfer
	r.transfers = slices.DeleteFunc(r.transfers, func(t *transfer) bool {
		if t.bytesLeft > roundingBytes && !t.call.stopped && !t.to.dead && !t.from.dead {
			return false
		}
		ended = append(ended, t)
		return true
	})
	for _, t := range ended {
		t.from.transfers--
		t.to.transfers--
	}
	for _, t := range ended {
		if t.bytesLeft <= roundingBytes {
			t.done()
		} else if t.from.dead && !t.to.dead && !t.call.stopped {
			t.to.fail(t.call, outcome.PrefillExpired, true, true)
		}
	}
}

// scheduleTransferWakeUp schedules an event at the time when the next transfer will be complete.
func (r *simulation) scheduleTransferWakeUp() {
	soonest := -1.0
	for _, t := range r.transfers {
		if d := t.bytesLeft / t.rate(); soonest < 0 || d < soonest {
			soonest = d
		}
	}
	if soonest < 0 {
		return
	}
	// Only the wake-up that was scheduled last has an effect. If earlier wake-ups had an effect too, each of
	// them would schedule further wake-ups.
	r.wakeUpSeq++
	seq := r.wakeUpSeq
	r.after(time.Duration(soonest*float64(time.Second))+time.Nanosecond, func() {
		if seq == r.wakeUpSeq {
			r.advanceTransfers()
			r.scheduleTransferWakeUp()
		}
	})
}

// removeCall ends a call: it removes the call from the waiting and running streams, and frees its memory.
func (e *simEngine) removeCall(c *call) {
	delete(e.calls, callKey{c.flight.ID, c.attempt})
	c.stopped = true
	if i := slices.Index(e.running, c); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.freeKV += c.kvTokens
	}
	if i := slices.Index(e.waiting, c); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
}

func (e *simEngine) abort(id decide.ID, a decide.Attempt) {
	key := callKey{id, a}
	delete(e.results, key)
	c := e.calls[key]
	if c == nil {
		return
	}
	e.removeCall(c)
	if i := slices.Index(e.queue, c); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.queuedTokens -= c.uncachedTokens
	}
}

// crash ends the engine's calls as failed. It drops the engine's queue and the KV caches that wait for a decode engine.
// A call of a prefill engine does not fail if the request already has its first token. The prefix cache is kept.
func (e *simEngine) crash() {
	e.dead = true
	e.results = map[callKey]*call{}
	var all []*call
	for _, c := range e.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *call) int { return cmp.Compare(a.flight.ID, b.flight.ID) })
	for _, c := range all {
		if e.role == decide.Prefill && c.flight.firstTokenAt.IsZero() || e.role == decide.Decode {
			e.fail(c, outcome.EndpointLost, true, false)
		}
	}
	e.queue, e.waiting, e.running, e.queuedTokens, e.busy = nil, nil, nil, 0, false
	e.freeKV = e.model.KVTokens
}

// sample records the engine's load, so that later reports can contain it.
func (e *simEngine) sample() {
	if e.frozen || e.dead {
		return
	}
	e.samples = append(e.samples, loadSample{e.r.now, e.queuedTokens, e.freeKV, len(e.running) + len(e.waiting)})
	for len(e.samples) > 1 && e.r.now.Sub(e.samples[1].at) >= reportLag {
		e.samples = e.samples[1:]
	}
}

// report sends a load report to a box. The figures in it are the newest that are at least reportLag old.
func (e *simEngine) report(box int) {
	if len(e.samples) == 0 || e.dead {
		return
	}
	s := e.samples[0]
	e.r.deliver(box, decide.LoadReport{Engine: e.name, At: s.at, QueuedTokens: s.queuedTokens, FreeKV: s.freeKV, Streams: s.streams})
}

func (r *simulation) finish(c *call) {
	f := c.flight
	if f.ended {
		return
	}
	f.ended = true
	r.res.Answered++
	first := f.firstTokenAt.Sub(f.arrived)
	gap := time.Duration(0)
	if f.outputTokens > 1 {
		gap = f.lastTokenAt.Sub(f.firstTokenAt) / time.Duration(f.outputTokens-1)
	}
	r.res.firstTokens = append(r.res.firstTokens, first)
	r.res.tokenGaps = append(r.res.tokenGaps, gap)
	good := first <= f.FirstToken && gap <= f.BetweenTokens
	if good {
		r.res.Good++
		r.res.goodAt = append(r.res.goodAt, f.at)
		r.res.goodIDs[f.ID] = true
	}
	r.deliver(f.box, decide.Done{ID: f.ID, Attempt: c.attempt, Output: f.outputTokens})
}
