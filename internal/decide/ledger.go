package decide

import (
	"slices"
	"time"
)

// engine is what the core knows and believes of one engine.
type engine struct {
	Engine

	// heldKV and streams are what this core's own requests hold on a decode engine.
	heldKV  int
	streams float64
	// jobs counts this core's own prefills in flight.
	jobs int

	// busyUntil is when a prefill engine is believed to finish all work known of.
	busyUntil time.Time
	link      link
	// foreign is the wait, as of foreignAt, that only work of other boxes can explain.
	foreign   time.Duration
	foreignAt time.Time

	report     Report
	reported   bool
	unanswered bool       // The last probe got no answer.
	frozen     bool       // The last report was old when it came.
	sent       []sentWork // Sent after report.At, oldest first.
	ended      []Ended    // Streams that ended after report.At, oldest first.
	outlook    outlook    // Zero where something has come since it was worked out.
	cache      blockCache
	health     health

	// noRoomFor is the memory, in tokens, that the engine refused to set aside; until
	// noRoomUntil it is not asked for that much again.
	noRoomFor   int
	noRoomUntil time.Time

	// usedAt is when it was last chosen for a request.
	usedAt time.Time
}

// sentWork is work this core gave an engine that its last report cannot include.
type sentWork struct {
	id      ID
	at      time.Time
	tokens  int // To be read by a prefill engine.
	streams float64
	booking
}

// booking is memory of a decode engine that is booked for a stream, in tokens.
type booking struct {
	kv     int // All that it may take.
	prompt int // The part of kv that is taken from the start,
	ahead  int // and what must be free beside it then.
	answer int // How long the answer is expected to be.
}

const (
	// maxSent bounds sentWork where an engine reports nothing at all.
	maxSent = 512
	// frozenAfter is how old a report may be when it comes.
	frozenAfter = 3 * time.Second
)

// silent says that the engine's figures cannot be relied on. How long ago the
// last report came does not matter: reports come with answers, and an engine
// that is sent nothing need not report.
func (e *engine) silent() bool { return e.unanswered || e.frozen }

// hasQueued says that the engine, asked since the request was sent to it, has at
// least as much left to read: then the request is not stuck but waits its turn,
// behind what other boxes sent.
func (e *engine) hasQueued(f *flight) bool {
	return e.reported && e.report.At.After(f.stageStart) && e.report.QueuedTokens >= f.readTokens
}

// reportAge is how old the engine's own figures are; 0 if it gave none.
func (e *engine) reportAge(now time.Time) time.Duration {
	if !e.reported {
		return 0
	}
	return now.Sub(e.report.At)
}

// leaving says that the engine gets nothing new.
func (e *engine) leaving() bool { return e.Leaving || e.Closed || e.reported && e.report.Leaving }

// cold says that the engine has just started and gets nothing more of this box at the moment.
func (e *engine) cold(now time.Time) bool { return e.Cold.Holds(now, e.usedAt) }

// queueTime is how long a prompt sent now would wait, for this box's own work and for
// what it has seen of others'.
func (e *engine) queueTime(now time.Time) time.Duration {
	return e.ownQueue(now) + e.foreignQueue(now)
}

func (e *engine) ownQueue(now time.Time) time.Duration { return max(0, e.busyUntil.Sub(now)) }

// foreignQueue is what is left of the wait that others caused. It is taken to have been
// read since: if others sent more, the next prompt shows it.
func (e *engine) foreignQueue(now time.Time) time.Duration {
	return max(0, e.foreign-now.Sub(e.foreignAt))
}

// waited takes how much longer a prompt took, or has taken so far, than this box's own
// work explains. While it is not done yet that is a bound from below.
//
// Example: a prompt that takes 100 ms to read was sent behind 50 ms of our own work, and
// comes back after 900 ms. Other boxes have 750 ms of work there, and the next prompt,
// sent 200 ms later, is expected to wait 550 ms for it.
func (e *engine) waited(now time.Time, excess time.Duration, done bool) {
	if done || excess > e.foreignQueue(now) {
		e.foreign, e.foreignAt = max(0, excess), now
	}
}

func (e *engine) readTime(tokens int) time.Duration {
	return seconds(float64(tokens) / e.PrefillRate)
}

// freeKV is the decode memory believed free. Two views are combined, and the
// smaller wins: this core's own ledger, which is exact but blind to other
// boxes, and the engine's report less what was sent since it was taken.
//
// Example: capacity 1000; our requests hold 300; the report, taken before our
// last 100 were sent, says 500 free. The ledger gives 700 and the report 400,
// so another box must hold about 300, and 400 is the answer.
func (e *engine) freeKV() int {
	free := e.KVTokens - e.heldKV
	if !e.reported {
		return free
	}
	seen := e.report.FreeKV
	for i := range e.sent {
		seen -= e.sent[i].kv
	}
	return min(free, seen)
}

// stepTime predicts the time between tokens with one more stream.
func (e *engine) stepTime() time.Duration {
	return e.Step + time.Duration((e.running()+1)*float64(e.StepPerStream))
}

// running counts streams the same way freeKV counts memory: the larger of this
// core's own and the reported ones with those sent since.
func (e *engine) running() float64 {
	if !e.reported {
		return e.streams
	}
	seen := float64(e.report.Streams)
	for i := range e.sent {
		seen += e.sent[i].streams
	}
	return max(e.streams, seen)
}

// cachedTokens is how much of the prompt the engine is believed to have cached.
// At least one token is always read, since the engine must produce the next one.
func (e *engine) cachedTokens(f *flight) int {
	return max(0, min(e.cache.matched(f.Blocks)*BlockTokens, f.PromptTokens-1))
}

// addPrefill books a prompt on the engine.
func (e *engine) addPrefill(now time.Time, id ID, tokens int) {
	e.jobs++
	e.queueRead(now, tokens)
	e.note(sentWork{id: id, at: now, tokens: tokens})
}

// queueRead puts a prompt that was sent at a time behind all that the engine has to read.
func (e *engine) queueRead(at time.Time, tokens int) {
	if e.busyUntil.Before(at) {
		e.busyUntil = at
	}
	e.busyUntil = e.busyUntil.Add(e.readTime(tokens))
}

// addDecode holds memory for a request on the engine.
func (e *engine) addDecode(now time.Time, id ID, b booking, weight float64) {
	e.heldKV += b.kv
	e.streams += weight
	e.note(sentWork{id: id, at: now, booking: b, streams: weight})
}

// heardSent books what another box sent, as if this one had, until a report includes it.
func (e *engine) heardSent(s Sent) {
	if e.reported && !s.At.After(e.report.At) {
		return
	}
	w := sentWork{at: s.At, tokens: s.Tokens, booking: booking{s.KV, s.Prompt, s.Ahead, s.KV - s.Prompt}}
	if s.KV > 0 {
		w.streams = 1
	}
	if s.Tokens > 0 {
		e.queueRead(s.At, s.Tokens)
	}
	e.note(w)
}

// dropDecode gives the memory back. Work that no report has seen yet is taken
// out of sent too; otherwise the estimate would stay low until the next report.
func (e *engine) dropDecode(id ID, kv int, weight float64) {
	e.heldKV -= kv
	e.streams = max(0, e.streams-weight)
	if e.heldKV == 0 {
		e.streams = 0 // Sums of fractions do not come back to zero by themselves.
	}
	for i := range e.sent {
		if e.sent[i].id == id && e.sent[i].kv > 0 {
			e.sent = append(e.sent[:i], e.sent[i+1:]...)
			e.outlook = outlook{}
			return
		}
	}
	if e.reported && e.report.Runs == nil {
		e.report.FreeKV += kv
		e.report.Streams = max(0, e.report.Streams-1)
	}
}

// heardEnded takes a stream out of the report that still shows it: the one that would have
// grown to that size by now.
func (e *engine) heardEnded(p *pool, ev Ended) {
	if !e.reported || e.report.Runs == nil || !ev.At.After(e.report.At) {
		return
	}
	if len(e.ended) < maxSent {
		e.ended = append(e.ended, ev)
	}
	e.takeOut(p, ev)
}

func (e *engine) takeOut(p *pool, ev Ended) {
	grown := int(ev.At.Sub(e.report.At) / max(time.Microsecond, e.stepTime()))
	best, least := -1, int(endedSlack*p.meanOutput)
	for i, r := range e.report.Runs {
		if d := abs(r.Tokens + grown - ev.Tokens); d < least {
			best, least = i, d
		}
	}
	if best < 0 {
		return
	}
	e.report.FreeKV += e.report.Runs[best].Tokens
	e.report.Streams = max(0, e.report.Streams-1)
	e.report.Runs = slices.Delete(slices.Clone(e.report.Runs), best, best+1)
	e.outlook = outlook{}
}

// endedSlack is how far off the size of a stream that ended may be from that of the stream
// in a report that is taken for it, as a part of a mean answer.
const endedSlack = 0.35

func abs(n int) int { return max(n, -n) }

func (e *engine) note(w sentWork) {
	if len(e.sent) == maxSent {
		e.sent = append(e.sent[:0], e.sent[1:]...)
	}
	i := len(e.sent)
	for i > 0 && e.sent[i-1].at.After(w.at) {
		i-- // What others sent is heard of later.
	}
	e.sent = slices.Insert(e.sent, i, w)
	e.outlook = outlook{}
}

// dropPrefill ends a prompt's booking. When none of ours is left and no report
// contradicts it, the engine is free now, however wrong the prediction was.
func (e *engine) dropPrefill(now time.Time) {
	e.jobs--
	if e.jobs == 0 && (!e.reported || e.silent()) {
		e.busyUntil = now
	}
}

// addReport takes an engine's own figures and lays the work sent since on top.
// An older report than the last is ignored, since reports may cross.
func (e *engine) addReport(now time.Time, p *pool, r Report) {
	if e.reported && r.At.Before(e.report.At) {
		return
	}
	e.report = r
	e.outlook = outlook{}
	e.reported = true
	e.unanswered = false
	e.frozen = now.Sub(r.At) > frozenAfter
	n := 0
	for n < len(e.sent) && !e.sent[n].at.After(r.At) {
		n++
	}
	e.sent = append(e.sent[:0], e.sent[n:]...)
	e.ended = slices.DeleteFunc(e.ended, func(ev Ended) bool { return !ev.At.After(r.At) })
	for _, ev := range e.ended {
		e.takeOut(p, ev)
	}
	e.busyUntil = r.At.Add(e.readTime(r.QueuedTokens))
	for _, w := range e.sent {
		if w.tokens > 0 {
			e.queueRead(w.at, w.tokens)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// blockCache remembers which prompt blocks an engine is believed to hold. It
// keeps two generations: new blocks go to the young one, and when that is full
// it becomes the old one, whose blocks are forgotten. This costs two map
// look-ups and no list, and forgets about as an engine under pressure does.
//
// How many blocks the engine really keeps is learned: when it had fewer cached
// than believed the generations shrink, and while it has them they slowly grow.
type blockCache struct {
	young, old map[uint64]struct{}
	limit      float64 // Blocks of one generation; 0 before the first is learned.
}

const (
	// mostBlocks bounds a generation; two cost about 150 KB an engine.
	mostBlocks  = 2048
	leastBlocks = 32
	cacheShrink = 0.9
	cacheGrow   = 1.01
)

// size is limit as a whole number; learning goes on from limit itself, since a
// small one grows by less than one block at a time.
func (c *blockCache) size() int { return int(c.bound()) }

func (c *blockCache) bound() float64 {
	if c.limit == 0 {
		return mostBlocks
	}
	return c.limit
}

// learn compares the prompt tokens believed cached with those that were.
func (c *blockCache) learn(believed, cached, blocks int) {
	if blocks == 0 {
		return
	}
	switch {
	case cached+BlockTokens <= believed:
		c.limit = max(leastBlocks, c.bound()*cacheShrink)
	case believed >= BlockTokens:
		c.limit = min(mostBlocks, c.bound()*cacheGrow)
	}
}

func (c *blockCache) has(b uint64) bool {
	if _, ok := c.young[b]; ok {
		return true
	}
	_, ok := c.old[b]
	return ok
}

func (c *blockCache) add(blocks []uint64) {
	for _, b := range blocks {
		if len(c.young) >= c.size() {
			c.old, c.young = c.young, nil
		}
		if c.young == nil {
			c.young = make(map[uint64]struct{}, 64)
		}
		c.young[b] = struct{}{}
	}
}

func (c *blockCache) drop(blocks []uint64) {
	for _, b := range blocks {
		delete(c.young, b)
		delete(c.old, b)
	}
}

// matched counts the leading blocks held. Blocks are chained, so holding block i
// means that 0 to i-1 were held with it, and a binary search finds the end.
func (c *blockCache) matched(blocks []uint64) int {
	lo, hi := 0, len(blocks)
	for lo < hi {
		mid := (lo + hi) / 2
		if c.has(blocks[mid]) {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo
}

// health sets an engine aside after failures in a row. When the pause is over a
// single request may probe it; the pause then starts again, so that a probe that
// never reports back does not keep the engine out for good.
type health struct {
	failures int
	until    time.Time
	pause    time.Duration
	// refusals counts the prompts that the engine turned away in a row; until doubtedUntil
	// it is a last resort.
	refusals     int
	doubtedUntil time.Time
}

const (
	failuresToSetAside = 3
	firstPause         = time.Second
	longestPause       = 30 * time.Second
	// An engine that turns a prompt away changes its role, is at fault or is full, and goes
	// on doing so for seconds. It is a last resort for firstDoubt, and for twice as long
	// after each further refusal, up to longestDoubt.
	firstDoubt   = 2 * time.Second
	longestDoubt = 8 * time.Second
	// refusedCost is what speaks against it meanwhile, in seconds: more than a queue that a
	// prompt can wait behind and still be on time.
	refusedCost = 0.8
)

func (h *health) setAside(now time.Time) bool {
	return h.failures >= failuresToSetAside && now.Before(h.until)
}

// chosen is called when a request is sent to the engine.
func (h *health) chosen(now time.Time) {
	if h.failures >= failuresToSetAside {
		h.until = now.Add(h.pause)
	}
}

// refused is called when the engine turned a prompt away.
func (h *health) refused(now time.Time) {
	h.doubtedUntil = now.Add(min(longestDoubt, firstDoubt<<min(h.refusals, 4)))
	h.refusals++
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < failuresToSetAside {
		return
	}
	h.pause = min(longestPause, max(firstPause, 2*h.pause))
	h.until = now.Add(h.pause)
}
