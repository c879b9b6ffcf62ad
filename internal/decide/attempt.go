package decide

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file starts the prefill and decode calls of requests, and handles their success.

// tryPlace starts the request if a pair of engines can serve it now. Decode memory is reserved before the prefill
// starts, so that some engine is certain to have room for the KV cache. If the request would be late on the best pair,
// tryPlace sets missesTarget instead.
func (c *Core) tryPlace(f *flight) bool {
	chosen, choice, ok := c.choose(f.pool, f, c.now)
	f.lastChoice = choice
	if !ok {
		return false
	}
	firstToken, target := c.now.Add(chosen.FirstToken), f.arrived.Add(f.FirstToken)
	if !f.mayBeLate && firstToken.Add(f.pool.urgency.lateness(f)).After(target) {
		if !firstToken.After(target) {
			f.pool.urgency.fadeLateness(f)
		}
		f.missesTarget = true
		return false
	}
	if c.tooBusy(f, &chosen) {
		choice.Excluded.Busy++
		return false
	}
	f.pool.throughput.addStarted(f)
	c.remote.addStart(c.now, c.now)
	f.noteActive()
	f.tries++
	f.attempt = f.newAttempt()
	if chosen.prefill == nil {
		c.startDecodeOnly(f, chosen, choice)
		return true
	}
	f.prefill, f.prefillAttempt, f.prefillReserved, f.kvMayBeTaken = chosen.prefill, f.attempt, true, false
	f.uncachedTokens = f.PromptTokens - chosen.Cached
	delay := f.pool.speed.PrefillDelay
	c.setStage(f, prefilling, chosen.Queue+chosen.PrefillTime+delay)
	c.reserveDecode(f, chosen.decode)
	f.ownWorkEnd = c.now.Add(chosen.prefill.ownQueueTime(c.now) + chosen.PrefillTime + delay)
	f.tokensAhead = int(chosen.prefill.ownQueueTime(c.now).Seconds() * chosen.prefill.PrefillRate)
	chosen.prefill.reservePrefill(c.now, f.ID, f.uncachedTokens)
	chosen.prefill.cache.add(f.Blocks)
	chosen.prefill.health.noteRequest(c.now)
	c.noteSent(chosen.prefill)
	f.predictedPrefillEnd = c.now.Add(chosen.Queue + chosen.PrefillTime + delay)
	f.planTransfer(f.predictedPrefillEnd)
	c.emit(StartPrefill{f.ID, f.attempt, chosen.prefill.Name, chosen.decode.Name, f.enginePriority(), choice})
	return true
}

// tooBusy reports whether too much is queued even for the chosen pair. The request then waits on this box instead.
func (c *Core) tooBusy(f *flight, chosen *chosenPair) bool {
	if chosen.prefill == nil {
		return chosen.Queue > maxPrefillBacklog
	}
	linkWait := chosen.Transfer - transferTime(f.pool, f, chosen.prefill, chosen.decode)
	return chosen.urgentQueue > maxPrefillBacklog || linkWait > maxLinkBacklog
}

// startDecodeOnly sends the request to a decode engine that prefills the prompt itself.
func (c *Core) startDecodeOnly(f *flight, chosen chosenPair, choice *Choice) {
	f.prefill, f.prefillAttempt, f.expires = nil, 0, time.Time{}
	f.decodeAttempt, f.uncachedTokens = f.attempt, f.PromptTokens
	c.reserveDecode(f, chosen.decode)
	chosen.decode.reservePrefill(c.now, f.ID, int(float64(f.PromptTokens)/f.pool.SelfPrefillRatio))
	f.selfPrefillReserved = true
	c.setStage(f, transferring, chosen.FirstToken)
	c.emit(StartDecode{ID: f.ID, Attempt: f.attempt, Decode: chosen.decode.Name, Priority: f.enginePriority(), Choice: choice})
}

// engineEpoch is the time from which engine priorities are counted. It keeps the priorities small. Any other fixed
// time would do too.
var engineEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// setStage begins a stage with the given predicted duration.
func (c *Core) setStage(f *flight, s stage, predicted time.Duration) {
	f.stage = s
	f.stageStart = c.now
	f.stageDeadline = c.now.Add(stallFactor*predicted + f.stallMargin())
}

func (f *flight) stallMargin() time.Duration {
	return max(minStallMargin, min(maxStallMargin, f.FirstToken/2))
}

// setDecodeStage begins the wait for the first event of a decode call with the given predicted duration.
func (c *Core) setDecodeStage(f *flight, predicted time.Duration) {
	c.setStage(f, transferring, predicted)
	if margin, ok := f.decodeMargin(); ok {
		f.stageDeadline = c.now.Add(predicted + margin)
	}
}

// decodeMargin is how much longer than predicted a decode call may take to its first event. It follows from the
// observed delays, and doubles with each stall of the request, like a retransmission time-out. ok is false while too few
// delays are known.
func (f *flight) decodeMargin() (margin time.Duration, ok bool) {
	margin, ok = f.pool.speed.firstEvents.margin()
	margin = max(margin, minDecodeMargin) << min(f.stalls, maxTries)
	return min(margin, f.stallMargin()), ok
}

// enginePriority is the request's order in milliseconds since engineEpoch. Engines run the request with the lowest
// value first. So an engine serves the requests of all boxes in the order of their deadlines.
func (f *flight) enginePriority() int { return int(f.order.Sub(engineEpoch).Milliseconds()) }

func (c *Core) reserveDecode(f *flight, e *engine) {
	f.decode = e
	f.reservedKV = f.kvNeed()
	c.noteSent(e)
	e.denial.probe(c.now, f)
	e.denied.granted(0)
	e.reserveDecode(c.now, f.ID, reservation{f.reservedKV, f.PromptTokens, f.kvNeedAtStart() - f.PromptTokens, f.expectedOutput()}, f.streamWeight())
	e.health.noteRequest(c.now)
}

func (c *Core) releaseDecode(f *flight) {
	f.cancelTransfer()
	c.releaseSelfPrefill(f)
	c.releaseTarget(f)
	if f.decode != nil {
		f.decode.releaseDecode(f.ID, f.reservedKV, f.streamWeight())
		f.decode, f.reservedKV = nil, 0
	}
}

// releaseSelfPrefill removes the prompt from the ledger of the decode engine if that engine prefills the prompt itself.
func (c *Core) releaseSelfPrefill(f *flight) {
	if f.selfPrefillReserved {
		f.decode.releasePrefill(c.now)
		f.selfPrefillReserved = false
	}
}

func (c *Core) releasePrefill(f *flight) {
	if f.prefillReserved {
		f.prefill.releasePrefill(c.now)
		f.prefillReserved = false
	}
}

func (c *Core) handlePrefillDone(ev PrefillDone) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != prefilling || ev.Attempt != f.prefillAttempt {
		return
	}
	f.ran = f.ran || !f.PrefillNotRun
	f.expires, f.decodeRefusals = ev.Expires, 0
	f.pool.urgency.observeLateness(f, c.now.Sub(f.predictedPrefillEnd))
	f.prefill.observeWait(c.now, c.now.Sub(f.ownWorkEnd), true)
	if len(f.Blocks) > 0 {
		f.pool.predictionError.observeCache(f.PromptTokens-f.uncachedTokens, ev.Cached)
	}
	f.prefill.cache.learn(f.PromptTokens-f.uncachedTokens, ev.Cached, len(f.Blocks))
	f.uncachedTokens = max(0, f.PromptTokens-ev.Cached)
	if float64(f.tokensAhead) <= maxAheadShare*float64(f.uncachedTokens) {
		f.timing.PrefillTokens, f.timing.PrefillTime = f.uncachedTokens+f.tokensAhead, c.now.Sub(f.stageStart)
	}
	c.releasePrefill(f)
	c.noteSuccess(f.prefill)
	f.decode.denial.confirm() // The prompt was sent only after the decode engine had reserved memory.
	moved := outcome.OK
	if f.decode.leaving() || c.isPaused(f.decode) {
		moved = outcome.NoDecode
		if !c.reserveOtherDecode(f) {
			c.abandonTry(f, outcome.NoDecode, true)
			c.drainQueue(f.pool)
			return
		}
	}
	f.cancelTransfer()
	c.improveDecode(f)
	c.startDecode(f, moved)
	c.drainQueue(f.pool)
}

// startDecode sends the request to its decode engine. The caller must have removed the planned transfer from the links
// of both engines. Otherwise the prediction would count it as another transfer that shares the links.
func (c *Core) startDecode(f *flight, moved outcome.Reason) {
	f.attempt = f.newAttempt()
	f.decodeAttempt = f.attempt
	transfer := predictTransfer(f.pool, f, f.prefill, f.decode, c.now)
	f.planTransfer(c.now)
	c.setDecodeStage(f, transfer+f.pool.beginTime(f.decode.stepTime()))
	c.emit(StartDecode{
		ID: f.ID, Attempt: f.attempt, Prefill: f.prefill.Name, PrefillAttempt: f.prefillAttempt,
		Decode: f.decode.Name, Priority: f.enginePriority(), Moved: moved,
	})
}

// improveDecode changes the decode engine if the answer would begin clearly sooner on another decode engine. It is
// called after the prefill and before the transfer. By then, the load of links and engines has changed since the
// choice.
func (c *Core) improveDecode(f *flight) {
	var excluded Exclusions
	c.findDecodeOptions(f.pool, f, c.now, &excluded)
	timeToAnswer := func(e *engine, step time.Duration) time.Duration {
		return predictTransfer(f.pool, f, f.prefill, e, c.now) + step
	}
	best, least := f.decode, timeToAnswer(f.decode, f.decode.stepTime())-minRebindGain
	for _, option := range c.decodeOptions {
		if t := timeToAnswer(option.e, option.step); option.e != f.decode && t < least {
			best, least = option.e, t
		}
	}
	if best != f.decode {
		c.releaseDecode(f)
		c.reserveDecode(f, best)
	}
}

// reserveOtherDecode releases the memory on the present decode engine and tries to reserve memory on another decode
// engine. It reports whether another engine could take the request. The present engine becomes engineToAvoid.
func (c *Core) reserveOtherDecode(f *flight) bool {
	if f.decode != nil {
		f.engineToAvoid = f.decode
	}
	c.releaseDecode(f)
	var excluded Exclusions
	var best *engine
	c.findDecodeOptions(f.pool, f, c.now, &excluded)
	for _, option := range c.decodeOptions {
		if option.e != f.engineToAvoid && (best == nil || option.e.stepTime() < best.stepTime()) {
			best = option.e
		}
	}
	if best == nil {
		return false
	}
	c.reserveDecode(f, best)
	return true
}

func (c *Core) handleFirstToken(ev FirstToken) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != transferring || ev.Attempt != f.decodeAttempt {
		return
	}
	f.stage, f.streamStart = streaming, c.now
	f.bindBuild()
	f.cancelTransfer()
	c.releaseSelfPrefill(f)
	if f.prefill != nil && f.rerun == nil {
		alone := transferTime(f.pool, f, f.prefill, f.decode)
		took := c.now.Sub(f.stageStart)
		f.pool.predictionError.observeTransfer(took-f.pool.beginTime(f.decode.stepTime()), alone)
		f.timing.FirstEventDelay = max(0, took-alone)
		f.pool.speed.firstEvents.observe(f.timing.FirstEventDelay)
	}
	c.endRerun(f, RerunBegun)
	f.firstTokens = ev.Tokens
	f.prefillAttempt = 0 // The decode engine has fetched the KV cache, so the prefill engine no longer holds it.
	f.stageDeadline = time.Time{}
	c.noteSuccess(f.decode)
}

func (c *Core) handleDone(ev Done) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.decodeAttempt || f.decodeAttempt == 0 {
		return
	}
	c.noteSuccess(f.decode)
	f.timing.Step, f.timing.Streams = f.meanStep(c.now, ev.Output), f.decode.running()
	c.learn(f.pool, f.timing)
	c.emit(RequestTiming{f.ID, f.timing})
	f.decodeAttempt, f.prefillAttempt = 0, 0
	c.forget(f)
	c.drainQueue(f.pool)
}
