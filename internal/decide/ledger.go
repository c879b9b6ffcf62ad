package decide

import (
	"slices"
	"time"
)

// engine is the configuration, the ledger and the observed state of one engine.
type engine struct {
	Engine

	// reservedKV and streams are what this core's own requests occupy on a decode engine.
	reservedKV int
	streams    float64
	// prefills counts this core's own prefills in flight.
	prefills int

	// busyUntil is when a prefill engine is expected to finish all known work.
	busyUntil time.Time
	link      link
	// remoteWait is the wait, as of remoteWaitAt, that only work of other boxes can explain.
	remoteWait   time.Duration
	remoteWaitAt time.Time

	report        LoadReport
	hasReport     bool
	probeFailed   bool           // The last probe was not answered.
	reportDelayed bool           // The last report was already old when it arrived.
	placements    []placement    // Work placed after report.At, oldest first.
	endedStreams  []StreamEnded  // Streams that ended after report.At, oldest first.
	forecast      memoryForecast // Reset to zero when anything it depends on changes.
	cache         blockCache
	health        health

	// refusedKV is the memory, in tokens, that the engine refused to reserve; until
	// refusedKVUntil it is not asked for that much again.
	refusedKV      int
	refusedKVUntil time.Time

	// lastUsed is when the engine was last selected for a request.
	lastUsed time.Time
}

// placement is work that was sent to an engine after its last report was taken.
type placement struct {
	id            ID
	at            time.Time
	prefillTokens int // To be prefilled by a prefill engine.
	streams       float64
	reservation
}

// reservation is decode memory reserved for a stream, in tokens.
type reservation struct {
	kv            int // The most that the stream may take.
	prompt        int // The part of kv that is taken from the start.
	outputReserve int // Further memory that must be free at the start.
	answer        int // Expected length of the answer.
}

const (
	// maxPlacements bounds the list for an engine that reports nothing at all.
	maxPlacements = 512
	// maxReportDelay is how old a report may be when it arrives.
	maxReportDelay = 3 * time.Second
)

// statsUnreliable reports that the engine's figures cannot be relied on. The time since
// the last report does not matter: reports come with answers, and an engine that is sent
// nothing need not report.
func (e *engine) statsUnreliable() bool { return e.probeFailed || e.reportDelayed }

// mayBeQueued reports that, by a report taken since the request was sent, the engine has at
// least as much left to prefill as the request needs. Then the request is not stuck but
// queued behind prompts of other boxes.
func (e *engine) mayBeQueued(f *flight) bool {
	return e.hasReport && e.report.At.After(f.stageStart) && e.report.QueuedTokens >= f.uncachedTokens
}

// reportAge is the age of the engine's last report; 0 if there is none.
func (e *engine) reportAge(now time.Time) time.Duration {
	if !e.hasReport {
		return 0
	}
	return now.Sub(e.report.At)
}

// leaving reports that the engine gets no new work.
func (e *engine) leaving() bool { return e.Leaving || e.Evacuated || e.hasReport && e.report.Leaving }

// cold reports that the engine has just started and gets no more work of this box at the moment.
func (e *engine) cold(now time.Time) bool { return e.Cold.Blocks(now, e.lastUsed) }

// queueTime is how long a prompt sent now would wait for this box's own work and for the
// observed work of other boxes.
func (e *engine) queueTime(now time.Time) time.Duration {
	return e.ownQueueTime(now) + e.remoteQueueTime(now)
}

func (e *engine) ownQueueTime(now time.Time) time.Duration { return max(0, e.busyUntil.Sub(now)) }

// remoteQueueTime is what remains of the wait that other boxes caused. It assumes that they
// sent nothing since: if they did, the next prompt shows it.
func (e *engine) remoteQueueTime(now time.Time) time.Duration {
	return max(0, e.remoteWait-now.Sub(e.remoteWaitAt))
}

// observeWait records how much longer a prompt took, or has taken so far, than this box's
// own work explains. Until the prompt is done that is a lower bound.
//
// Example: a prompt that takes 100 ms to prefill was sent behind 50 ms of our own work and
// comes back after 900 ms. Other boxes have 750 ms of work there, and the next prompt,
// sent 200 ms later, is expected to wait 550 ms for it.
func (e *engine) observeWait(now time.Time, excess time.Duration, done bool) {
	if done || excess > e.remoteQueueTime(now) {
		e.remoteWait, e.remoteWaitAt = max(0, excess), now
	}
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return seconds(float64(tokens) / e.PrefillRate)
}

// freeKV estimates the free decode memory. It takes the smaller of two figures: this
// core's own ledger, which is exact but does not include other boxes, and the engine's
// report less what was placed since it was taken.
//
// Example: capacity 1000; our requests reserve 300; the report, taken before our last
// 100 were sent, says 500 free. The ledger gives 700 and the report 400, so another box
// must occupy about 300, and 400 is the answer.
func (e *engine) freeKV() int {
	free := e.KVTokens - e.reservedKV
	if !e.hasReport {
		return free
	}
	reportedFree := e.report.FreeKV
	for i := range e.placements {
		reportedFree -= e.placements[i].kv
	}
	return min(free, reportedFree)
}

// stepTime predicts the time between tokens with one more stream.
func (e *engine) stepTime() time.Duration {
	return e.Step + time.Duration((e.running()+1)*float64(e.StepPerStream))
}

// running counts streams in the same way as freeKV counts memory: the larger of this
// core's own and the reported ones plus those placed since.
func (e *engine) running() float64 {
	if !e.hasReport {
		return e.streams
	}
	reportedStreams := float64(e.report.Streams)
	for i := range e.placements {
		reportedStreams += e.placements[i].streams
	}
	return max(e.streams, reportedStreams)
}

// cachedTokens is how much of the prompt the engine is expected to have cached. At least
// one token is always prefilled, since the engine must generate the next one.
func (e *engine) cachedTokens(f *flight) int {
	return max(0, min(e.cache.matched(f.Blocks)*BlockTokens, f.PromptTokens-1))
}

func (e *engine) reservePrefill(now time.Time, id ID, tokens int) {
	e.prefills++
	e.extendQueue(now, tokens)
	e.addPlacement(placement{id: id, at: now, prefillTokens: tokens})
}

// extendQueue appends a prompt that was sent at the given time to the engine's prefill queue.
func (e *engine) extendQueue(at time.Time, tokens int) {
	if e.busyUntil.Before(at) {
		e.busyUntil = at
	}
	e.busyUntil = e.busyUntil.Add(e.prefillTime(tokens))
}

func (e *engine) reserveDecode(now time.Time, id ID, b reservation, weight float64) {
	e.reservedKV += b.kv
	e.streams += weight
	e.addPlacement(placement{id: id, at: now, reservation: b, streams: weight})
}

// addRemotePlacement books a placement of another box, until a report includes it.
func (e *engine) addRemotePlacement(s RemotePlacement) {
	if e.hasReport && !s.At.After(e.report.At) {
		return
	}
	w := placement{at: s.At, prefillTokens: s.Tokens, reservation: reservation{s.KV, s.PromptTokens, s.OutputReserve, s.KV - s.PromptTokens}}
	if s.KV > 0 {
		w.streams = 1
	}
	if s.Tokens > 0 {
		e.extendQueue(s.At, s.Tokens)
	}
	e.addPlacement(w)
}

// releaseDecode returns the memory. Work that no report includes yet is removed from the
// placements too; otherwise the estimate would stay too low until the next report.
func (e *engine) releaseDecode(id ID, kv int, weight float64) {
	e.reservedKV -= kv
	e.streams = max(0, e.streams-weight)
	if e.reservedKV == 0 {
		e.streams = 0 // Sums of fractions do not come back to zero by themselves.
	}
	for i := range e.placements {
		if e.placements[i].id == id && e.placements[i].kv > 0 {
			e.placements = append(e.placements[:i], e.placements[i+1:]...)
			e.forecast = memoryForecast{}
			return
		}
	}
	if e.hasReport && e.report.Runs == nil {
		e.report.FreeKV += kv
		e.report.Streams = max(0, e.report.Streams-1)
	}
}

// addStreamEnded removes a stream from the report that still includes it: the one that would have
// grown to about that size by now.
func (e *engine) addStreamEnded(p *pool, ev StreamEnded) {
	if !e.hasReport || e.report.Runs == nil || !ev.At.After(e.report.At) {
		return
	}
	if len(e.endedStreams) < maxPlacements {
		e.endedStreams = append(e.endedStreams, ev)
	}
	e.removeFromReport(p, ev)
}

func (e *engine) removeFromReport(p *pool, ev StreamEnded) {
	grown := int(ev.At.Sub(e.report.At) / max(time.Microsecond, e.stepTime()))
	best, least := -1, int(endedTolerance*p.meanOutput)
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
	e.forecast = memoryForecast{}
}

// endedTolerance is how much the size of an ended stream may differ from that of the
// reported stream that it is matched with, as a fraction of a mean answer.
const endedTolerance = 0.35

func abs(n int) int { return max(n, -n) }

func (e *engine) addPlacement(w placement) {
	if len(e.placements) == maxPlacements {
		e.placements = append(e.placements[:0], e.placements[1:]...)
	}
	i := len(e.placements)
	for i > 0 && e.placements[i-1].at.After(w.at) {
		i-- // Placements of other boxes arrive late.
	}
	e.placements = slices.Insert(e.placements, i, w)
	e.forecast = memoryForecast{}
}

// releasePrefill removes a prompt. When none of ours is left and no report contradicts
// it, the engine counts as free now, even if it was predicted to be busy.
func (e *engine) releasePrefill(now time.Time) {
	e.prefills--
	if e.prefills == 0 && (!e.hasReport || e.statsUnreliable()) {
		e.busyUntil = now
	}
}

// addReport replaces the engine's figures and adds the work placed since. A report older
// than the last is ignored, since reports may arrive out of order.
func (e *engine) addReport(now time.Time, p *pool, r LoadReport) {
	if e.hasReport && r.At.Before(e.report.At) {
		return
	}
	e.report = r
	e.forecast = memoryForecast{}
	e.hasReport = true
	e.probeFailed = false
	e.reportDelayed = now.Sub(r.At) > maxReportDelay
	n := 0
	for n < len(e.placements) && !e.placements[n].at.After(r.At) {
		n++
	}
	e.placements = append(e.placements[:0], e.placements[n:]...)
	e.endedStreams = slices.DeleteFunc(e.endedStreams, func(ev StreamEnded) bool { return !ev.At.After(r.At) })
	for _, ev := range e.endedStreams {
		e.removeFromReport(p, ev)
	}
	e.busyUntil = r.At.Add(e.prefillTime(r.QueuedTokens))
	for _, w := range e.placements {
		if w.prefillTokens > 0 {
			e.extendQueue(w.at, w.prefillTokens)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// blockCache predicts which prompt blocks an engine has cached. It keeps two
// generations: new blocks go to the young one, and when that is full it becomes the old
// one and the blocks of the previous old one are dropped. This takes two map look-ups and
// no list, and evicts roughly as an engine short of memory does.
//
// The number of blocks that the engine really keeps is learned: the generations shrink
// whenever fewer tokens were cached than predicted, and slowly grow otherwise.
type blockCache struct {
	young, old  map[uint64]struct{}
	learnedSize float64 // Blocks of one generation; 0 before the first observation.
}

const (
	// maxBlocks bounds a generation; two cost about 150 KB per engine.
	maxBlocks   = 2048
	minBlocks   = 32
	cacheShrink = 0.9
	cacheGrow   = 1.01
)

// size is sizeOrMax as a whole number. learn works on the fraction, since a small size
// grows by less than one block at a time.
func (c *blockCache) size() int { return int(c.sizeOrMax()) }

func (c *blockCache) sizeOrMax() float64 {
	if c.learnedSize == 0 {
		return maxBlocks
	}
	return c.learnedSize
}

// learn compares the predicted number of cached prompt tokens with the actual one.
func (c *blockCache) learn(predicted, cached, blocks int) {
	if blocks == 0 {
		return
	}
	switch {
	case cached+BlockTokens <= predicted:
		c.learnedSize = max(minBlocks, c.sizeOrMax()*cacheShrink)
	case predicted >= BlockTokens:
		c.learnedSize = min(maxBlocks, c.sizeOrMax()*cacheGrow)
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

// matched counts the leading cached blocks. Blocks are chained, so if block i is cached,
// 0 to i-1 were cached with it, and a binary search finds the end.
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

// health sets an engine aside after consecutive failures. After that period a single
// request may probe it. The period then starts again, so that further requests stay away
// until the probe succeeds, and another probe follows if it never returns.
type health struct {
	failuresInRow int
	setAsideUntil time.Time
	setAsideFor   time.Duration
	// refusalsInRow counts the prompts that the engine refused in a row; until avoidUntil
	// it is a last resort.
	refusalsInRow int
	avoidUntil    time.Time
}

const (
	failuresToSetAside = 3
	minSetAside        = time.Second
	maxSetAside        = 30 * time.Second
	// An engine that refuses a prompt changes its role, is faulty or is full, and goes on
	// refusing for seconds. It is a last resort for minAvoidPeriod, and for twice as long
	// after each further refusal, up to maxAvoidPeriod.
	minAvoidPeriod = 2 * time.Second
	maxAvoidPeriod = 8 * time.Second
	// refusedCost is its extra cost meanwhile, in seconds: more than any queue behind which a
	// prompt can still be on time.
	refusedCost = 0.8
)

func (h *health) setAside(now time.Time) bool {
	return h.failuresInRow >= failuresToSetAside && now.Before(h.setAsideUntil)
}

// noteRequest is called when a request is sent to the engine.
func (h *health) noteRequest(now time.Time) {
	if h.failuresInRow >= failuresToSetAside {
		h.setAsideUntil = now.Add(h.setAsideFor)
	}
}

// noteRefusal is called when the engine refused a prompt.
func (h *health) noteRefusal(now time.Time) {
	h.avoidUntil = now.Add(min(maxAvoidPeriod, minAvoidPeriod<<min(h.refusalsInRow, 4)))
	h.refusalsInRow++
}

func (h *health) noteSuccess() { *h = health{} }

func (h *health) noteFailure(now time.Time) {
	h.failuresInRow++
	if h.failuresInRow < failuresToSetAside {
		return
	}
	h.setAsideFor = min(maxSetAside, max(minSetAside, 2*h.setAsideFor))
	h.setAsideUntil = now.Add(h.setAsideFor)
}
