package decide

import (
	"slices"
	"time"
)

// engine is what a core knows of one engine: the engine's configuration, the ledger, and what was observed of the
// engine. The ledger is the memory and work that this box has reserved on the engine.
type engine struct {
	Engine

	// reservedKV and streams are what this box's requests have reserved on a decode engine: the memory in tokens,
	// and the number of streams. Short answers count as a fraction of a stream.
	reservedKV int
	streams    float64
	// prefills is the number of this box's prompts that are queued or being prefilled on the engine.
	prefills int

	// busyUntil is when a prefill engine is expected to finish all work that this box knows of.
	busyUntil time.Time
	link      link
	// remoteWait is how long a prompt has to wait for work of other boxes, as observed at remoteWaitAt. It is the
	// part of a wait that this box's own work does not explain.
	remoteWait   time.Duration
	remoteWaitAt time.Time

	report        LoadReport
	hasReport     bool
	probeFailed   bool           // Whether the last load probe was not answered.
	reportDelayed bool           // Whether the last report was older than maxReportDelay on arrival.
	placements    []placement    // Work sent to the engine after report.At, oldest first.
	endedStreams  []StreamEnded  // Streams that ended after report.At, oldest first.
	forecast      memoryForecast // Cached by forecastMemory; reset when the engine's load changes.
	cache         blockCache
	health        health

	denial denial
	// denied are the requests that this box denied as the owner of the engine.
	denied deniedRequests

	// lastUsed is when this box last sent a request to the engine.
	lastUsed time.Time
}

// placement is a request that was sent to an engine after the engine measured its last report. So that report does not
// include the request.
type placement struct {
	id            ID
	at            time.Time
	prefillTokens int // Tokens to be prefilled by a prefill engine.
	streams       float64
	reservation
}

// reservation is decode memory reserved for a stream, in tokens.
type reservation struct {
	kv            int // The most memory that the stream can use.
	prompt        int // The part of kv that is in use from the beginning.
	outputReserve int // Further memory that must be free when decoding begins.
	answer        int // Expected length of the answer.
}

const (
	// maxPlacements bounds the lists of placements and of ended streams of an engine.
	maxPlacements = 512
	// maxReportDelay is the age on arrival up to which a report is relied on.
	maxReportDelay = 3 * time.Second
)

// statsUnreliable reports that the engine's reported load cannot be relied on. Either the engine did not answer the
// last load probe, or its last report was already old when it arrived. The time since the last report does not count.
// Engines report with their answers, so an engine without requests has no reason to report.
func (e *engine) statsUnreliable() bool { return e.probeFailed || e.reportDelayed }

// mayBeQueued reports that the request may still be queued behind prompts of other boxes, and so is not stuck. This is
// the case if a report measured after the request was sent shows enough queued tokens on the prefill engine: at least
// as many as the request needs.
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

// leaving reports that the engine must get no new work. Either the engine is configured as leaving or evacuated, or its
// last report says that it is leaving.
func (e *engine) leaving() bool { return e.Leaving || e.Evacuated || e.hasReport && e.report.Leaving }

// cold reports that the engine is still warming up after its start, and that this box must wait before it sends the
// engine another request.
func (e *engine) cold(now time.Time) bool { return e.Cold.Blocks(now, e.lastUsed) }

// queueTime is how long a prompt that is sent now is expected to wait on the engine. It covers the work of this box and
// of other boxes.
func (e *engine) queueTime(now time.Time) time.Duration {
	return e.ownQueueTime(now) + e.remoteQueueTime(now)
}

func (e *engine) ownQueueTime(now time.Time) time.Duration { return max(0, e.busyUntil.Sub(now)) }

// remoteQueueTime is the remaining wait that other boxes cause. It assumes that other boxes have sent nothing to the
// engine since the wait was observed. If they have, the next prompt of this box shows it.
func (e *engine) remoteQueueTime(now time.Time) time.Duration {
	return max(0, e.remoteWait-now.Sub(e.remoteWaitAt))
}

// observeWait records the wait that other boxes caused. excess is how much longer a prompt of this box took than the
// box's own work explains. While the prompt is not done, excess is a lower bound, and is recorded only if it exceeds
// the known wait.
//
// Example: this box sends a prompt that takes 100 ms behind 50 ms of its own work, and the prompt is done after 900 ms.
// So work of other boxes took 750 ms. A prompt that is sent 200 ms later is expected to wait 550 ms for other boxes.
func (e *engine) observeWait(now time.Time, excess time.Duration, done bool) {
	if done || excess > e.remoteQueueTime(now) {
		e.remoteWait, e.remoteWaitAt = max(0, excess), now
	}
}

func (e *engine) prefillTime(tokens int) time.Duration {
	return seconds(float64(tokens) / e.PrefillRate)
}

// freeKV estimates the free memory of a decode engine, in tokens. It is the smaller of two values. The first is the
// memory that this box's ledger leaves free, which is exact but ignores other boxes. The second is the free memory
// that the engine last reported, less the memory of requests sent since that report.
//
// Example: the engine has memory for 1000 tokens. This box's requests reserve 300, of which 100 were sent
// after the last report, which says that 500 are free. The ledger leaves 700 and the report 400, so 400
// is the estimate: other boxes must occupy about 300.
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

// stepTime predicts the time between tokens on the engine if it gets one more stream.
func (e *engine) stepTime() time.Duration {
	return e.Step + time.Duration((e.running()+1)*float64(e.StepPerStream))
}

// running estimates the number of streams on the engine. It is the larger of two values. The first is the number of
// streams in this box's ledger. The second is the reported number plus the streams placed since the report.
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

// cachedTokens is how many tokens of the prompt the engine is expected to have in its cache. At least one token of the
// prompt never counts as cached, since the engine must prefill one token to generate the next.
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

// addRemotePlacement adds a placement of another box. The placement counts until a report includes it. It is ignored if
// the last report was measured later.
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

// releaseDecode releases a stream's memory in the ledger. If no report includes the stream yet, the placement of the
// stream is removed too. Otherwise the estimate of free memory would be too low until the next report.
func (e *engine) releaseDecode(id ID, kv int, weight float64) {
	e.reservedKV -= kv
	e.streams = max(0, e.streams-weight)
	if e.reservedKV == 0 {
		e.streams = 0 // Rounding errors of added fractions could remain.
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

// addStreamEnded removes an ended stream from the last report, if that report was measured before the stream ended.
func (e *engine) addStreamEnded(p *pool, ev StreamEnded) {
	e.denial.addFreed(ev.At, ev.Tokens)
	if !e.hasReport || e.report.Runs == nil || !ev.At.After(e.report.At) {
		return
	}
	if len(e.endedStreams) < maxPlacements {
		e.endedStreams = append(e.endedStreams, ev)
	}
	e.removeFromReport(p, ev)
}

// removeFromReport removes an ended stream from the report. Reports do not identify streams. So the function removes
// the reported stream whose size by now is expected to be closest to the size of the ended stream.
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

// endedTolerance bounds how much the size of an ended stream may differ from the expected size of the reported stream
// that is removed. It is a fraction of a mean answer.
const endedTolerance = 0.35

func abs(n int) int { return max(n, -n) }

func (e *engine) addPlacement(w placement) {
	if len(e.placements) == maxPlacements {
		e.placements = append(e.placements[:0], e.placements[1:]...)
	}
	i := len(e.placements)
	for i > 0 && e.placements[i-1].at.After(w.at) {
		i-- // Placements of other boxes may arrive out of order.
	}
	e.placements = slices.Insert(e.placements, i, w)
	e.forecast = memoryForecast{}
}

// releasePrefill removes one of this box's prompts from the ledger. If no other prompt is left and there is no reliable
// report, the engine counts as free from now on, even if it was predicted to be busy for longer.
func (e *engine) releasePrefill(now time.Time) {
	e.prefills--
	if e.prefills == 0 && (!e.hasReport || e.statsUnreliable()) {
		e.busyUntil = now
	}
}

// addReport replaces the engine's reported load by a new report, and drops placements that the report includes. Reports
// can arrive out of order: a report that was measured before the last one is ignored.
func (e *engine) addReport(now time.Time, p *pool, r LoadReport) {
	if e.hasReport && r.At.Before(e.report.At) {
		return
	}
	e.denial.addReport(r)
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

// blockCache predicts which prompt blocks an engine has in its cache. Blocks are kept in two sets, young and old. New
// blocks are added to the young set. When the young set is full, it becomes the old set. The blocks of the former old
// set are then dropped. A look-up needs two map accesses. Blocks are dropped in about the same order as on an engine
// whose memory is full.
//
// The box learns how many blocks the engine really keeps. The size of the sets shrinks whenever fewer tokens were
// cached than predicted. Otherwise it grows slowly.
type blockCache struct {
	young, old  map[uint64]struct{}
	learnedSize float64 // Most blocks in the young set; 0 before the first observation.
}

const (
	// maxBlocks and minBlocks limit the size of a set. Two sets of maxBlocks use about 150 KB per engine.
	maxBlocks = 2048
	minBlocks = 32
	// cacheShrink and cacheGrow are the factors by which one observation changes the size.
	cacheShrink = 0.9
	cacheGrow   = 1.01
)

// size is the most blocks in the young set. The exact value is kept as a fraction (learnedSize), since a small size
// grows by less than one block at a time.
func (c *blockCache) size() int { return int(c.sizeOrMax()) }

func (c *blockCache) sizeOrMax() float64 {
	if c.learnedSize == 0 {
		return maxBlocks
	}
	return c.learnedSize
}

// learn adjusts the size by the predicted and the real number of cached tokens of a prompt.
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

// matched counts how many leading blocks of a prompt are cached. If block i is cached, blocks 0 to i-1 are cached too,
// since they were added together with block i. So a binary search finds the last cached block.
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

// health tracks the failures of an engine. After several failures in a row, the engine is set aside: no requests are
// sent to it for some time. After that time, a single request is sent as a probe, and the time begins again. Other
// requests follow only after the probe succeeds. If the probe is never answered, another probe is sent after the same
// time.
type health struct {
	failuresInRow int
	setAsideUntil time.Time
	setAsideFor   time.Duration
	// refusalsInRow is how many prompts the engine refused in a row. Until avoidUntil, its cost is raised
	// by refusedCost.
	refusalsInRow int
	avoidUntil    time.Time
}

const (
	failuresToSetAside = 3
	minSetAside        = time.Second
	maxSetAside        = 30 * time.Second
	// An engine that refuses a prompt is about to change its role, is faulty or is full. Usually it goes on
	// refusing for seconds. So it is a last resort for minAvoidPeriod. The period doubles with each further
	// refusal, up to maxAvoidPeriod.
	minAvoidPeriod = 2 * time.Second
	maxAvoidPeriod = 8 * time.Second
	// refusedCost, in seconds, is added to the cost of an engine in that period. It is more than the cost of any
	// queue behind which a prompt can still be on time.
	refusedCost = 0.8
)

// setAside reports whether no requests may be sent to the engine now.
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
