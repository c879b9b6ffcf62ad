package decide

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file handles failed and stalled attempts, cancellations and the ends of requests.

func (c *Core) handleFailed(ev Failed) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.attempt {
		return
	}
	f.ran = f.ran || ev.Ran
	if ev.Ran && f.stage != prefilling {
		f.noteMayHaveRun()
	}
	e := f.currentEngine()
	if e == nil {
		return
	}
	c.noteFailure(e)
	if f.stage == prefilling && ev.Reason == outcome.EndpointRefused {
		e.health.noteRefusal(c.now)
	}
	c.recoverFromFailure(f, ev.Reason, ev.Ran, ev.KVGone)
	c.drainQueue(f.pool)
}

// recoverFromFailure decides what becomes of a request whose current call failed.
func (c *Core) recoverFromFailure(f *flight, reason outcome.Reason, ran, kvGone bool) {
	switch f.stage {
	case prefilling:
		c.abandonTry(f, reason, ran)
	case transferring:
		c.retryDecode(f, reason, ran, kvGone)
	case streaming:
		if f.Resumable {
			// The caller waits in the middle of its answer, and there is no target left to
			// miss: any pair is better than none.
			f.mayBeLate = true
			f.connectionLostAt = c.now
			f.order = f.latestStart
			c.abandonTry(f, reason, ran)
			return
		}
		c.abortCalls(f)
		c.finish(f, outcome.Outcome{Kind: outcome.CutOff, Reason: reason})
	}
}

// refusedKVPause is how long a decode engine that refused to reserve memory is not asked
// for as much again. On a busy engine several streams end per second.
const refusedKVPause = 100 * time.Millisecond

// handleNoRoom places a request again whose decode engine turned out to be full, because
// its figures were old or other boxes were faster. Nothing was sent, so this does not
// count as a try and takes no retry from the budget.
func (c *Core) handleNoRoom(ev ReservationRefused) {
	f := c.flights[ev.ID]
	selfPrefilling := f != nil && f.stage == transferring && f.prefill == nil
	if f == nil || f.stage != prefilling && !selfPrefilling || ev.Attempt != f.attempt {
		return
	}
	f.decode.refusedKV, f.decode.refusedKVUntil = f.kvNeed(), c.now.Add(refusedKVPause)
	f.tries--
	f.prefillAttempt, f.decodeAttempt = 0, 0
	c.abortCalls(f)
	c.enqueue(f)
}

// retryDecode transfers the KV cache to a second decode engine while the prefill engine
// still has it, and otherwise abandons the try.
func (c *Core) retryDecode(f *flight, reason outcome.Reason, ran, kvGone bool) {
	c.abortDecode(f)
	// A call that may have run may have taken the KV cache, which can be taken only once. If another
	// engine then refuses the request, the cache is gone; trying further engines would waste retries.
	kvGone = kvGone || f.kvMayBeTaken && reason == outcome.EndpointRefused
	f.kvMayBeTaken = f.kvMayBeTaken || ran
	usable := !kvGone && c.now.Add(expiryMargin).Before(f.expires)
	if usable && (f.Repeatable || !ran) && c.budget.Has(c.now, 1) && c.reserveOtherDecode(f) {
		c.budget.Take(c.now, 1)
		c.emit(Retry{f.ID, f.engineToAvoid.Name, reason})
		c.startDecode(f, reason)
		return
	}
	c.abandonTry(f, reason, ran)
}

// noteMayHaveRun records that the present decode engine may have run the request.
func (f *flight) noteMayHaveRun() {
	if f.decode != nil && !slices.Contains(f.enginesRun, f.decode) {
		f.enginesRun = append(f.enginesRun, f.decode)
	}
}

// canRunOn reports whether a decode engine may run the request. Once MaxEngines engines
// may have run it, only these may continue.
func (f *flight) canRunOn(e *engine) bool {
	return f.MaxEngines <= 0 || len(f.enginesRun) < f.MaxEngines || slices.Contains(f.enginesRun, e)
}

// canUseAnotherEngine reports whether an engine other than the previous ones and the present
// one may still run the request.
func (f *flight) canUseAnotherEngine() bool {
	n := len(f.enginesRun)
	if f.stage != prefilling && f.decode != nil && !slices.Contains(f.enginesRun, f.decode) {
		n++
	}
	return f.MaxEngines <= 0 || n < f.MaxEngines
}

// abandonTry frees everything that the try holds, and starts another one if the request
// may be repeated, the budget allows it and the target can still be met.
func (c *Core) abandonTry(f *flight, reason outcome.Reason, ran bool) {
	f.ran = f.ran || ran
	if f.stage != prefilling || ran {
		c.emit(WastedPrefill{f.ID, f.uncachedTokens, reason})
	}
	f.engineToAvoid = f.engineToBlame()
	retries := f.retriesForNextTry()
	c.abortCalls(f)
	if f.ran && !f.Repeatable || f.tries >= maxTries {
		c.end(f, reason, "")
		return
	}
	if !f.mayBeLate && c.now.After(f.latestStart) {
		c.end(f, reason, "")
		return
	}
	if !c.budget.Take(c.now, retries) {
		c.end(f, outcome.RetryBudget, reason.Sentence())
		return
	}
	c.emit(Retry{f.ID, f.engineToAvoid.Name, reason})
	c.enqueue(f)
}

// CanResume reports whether a stream whose connection is lost now would be tried again.
func (c *Core) CanResume(now time.Time, id ID) bool {
	f := c.flights[id]
	return f != nil && f.stage == streaming && f.Resumable && f.tries < maxTries && f.canUseAnotherEngine() && c.budget.Has(now, f.retriesForNextTry())
}

// TakeRetries takes n retries, all or none, and reports whether there were enough.
func (c *Core) TakeRetries(now time.Time, n int) bool { return c.budget.Take(now, n) }

// retriesForNextTry is how many calls beyond the first of their kind the next try sends, now
// that the present one failed. A platform counts a repeated prefill as well as a repeated
// decode: when one retry paid for both, the boxes together sent twice what they had taken.
func (f *flight) retriesForNextTry() int {
	f.prefillSent = f.prefillSent || f.prefill != nil
	f.decodeSent = f.decodeSent || f.stage != prefilling
	if f.prefillSent && f.decodeSent {
		return 2
	}
	return 1
}

// currentEngine is the engine that the present stage waits for; nil while nothing is sent.
func (f *flight) currentEngine() *engine {
	if f.stage == prefilling {
		return f.prefill
	}
	return f.decode
}

// engineToBlame is the engine responsible for a failure of the present stage. If the
// decode engine was already released in search of another, it is the avoided one.
func (f *flight) engineToBlame() *engine {
	if e := f.currentEngine(); e != nil {
		return e
	}
	return f.engineToAvoid
}

// abortCalls aborts the open calls of the request and releases its ledger entries.
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

func (c *Core) handleCancel(id ID) {
	f := c.flights[id]
	if f == nil {
		return
	}
	if f.stage == prefilling || f.stage == transferring {
		c.emit(WastedPrefill{f.ID, f.uncachedTokens, outcome.CallerGone})
	}
	c.abortCalls(f)
	c.forget(f)
	c.drainQueue(f.pool)
}

// end ends a request without an answer. If it has not run and the reason is temporary, the
// caller is told when to retry.
func (c *Core) end(f *flight, reason outcome.Reason, detail string) {
	o := outcome.Outcome{Kind: f.kindWithoutAnswer(), Reason: reason, Detail: detail}
	if o.Kind == outcome.NotRun && reason.Transient() {
		o.RetryAfter = defaultRetryAfter
	}
	c.finish(f, o)
}

func (c *Core) endWithRetryAfter(f *flight, reason outcome.Reason, after time.Duration) {
	c.finish(f, outcome.Outcome{Kind: f.kindWithoutAnswer(), Reason: reason, RetryAfter: after})
}

// endTooLate refuses a request that cannot be on time; detail says why.
func (c *Core) endTooLate(f *flight, detail string) {
	c.finish(f, outcome.Outcome{Kind: f.kindWithoutAnswer(), Reason: outcome.TooLate, Detail: detail, RetryAfter: c.retryAfter(f)})
}

// kindWithoutAnswer is the outcome kind of a request that ends without an answer.
func (f *flight) kindWithoutAnswer() outcome.Kind {
	if f.ran {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

func (c *Core) finish(f *flight, o outcome.Outcome) {
	c.emit(End{f.ID, o})
	c.forget(f)
}

// forget removes the request and all its ledger entries.
func (c *Core) forget(f *flight) {
	if f.pool != nil {
		f.pool.queue.remove(f)
	}
	c.releasePrefill(f)
	c.releaseDecode(f)
	delete(c.flights, f.ID)
}

// handleStall retries a request whose stage takes too long, or gives the stage more time.
func (c *Core) handleStall(f *flight) {
	if c.now.Before(f.stageStart.Add(hardStallTimeout+f.FirstToken)) && !c.hasAlternative(f) {
		f.stageDeadline = c.now.Add(f.stallMargin())
		return
	}
	reason := outcome.TransferStalled
	if f.stage == prefilling {
		reason = outcome.PrefillStalled
	}
	c.noteFailure(f.currentEngine())
	ran := f.stage != prefilling || !f.PrefillNotRun
	if f.stage != prefilling {
		f.noteMayHaveRun()
	}
	f.ran = f.ran || ran
	c.recoverFromFailure(f, reason, ran, false)
}

// hasAlternative reports whether a stalled request can be moved to another engine.
func (c *Core) hasAlternative(f *flight) bool {
	calls := 1 // Once prefilled, only the decode call is repeated.
	if f.stage == prefilling {
		calls = f.retriesForNextTry()
	}
	if !f.Repeatable || !f.canUseAnotherEngine() || !c.budget.Has(c.now, calls) {
		return false
	}
	var excluded Exclusions
	if f.stage == transferring {
		c.findDecodeOptions(f.pool, f, c.now, &excluded)
		other := func(option decodeOption) bool { return option.e != f.decode }
		return c.now.Add(expiryMargin).Before(f.expires) && slices.ContainsFunc(c.decodeOptions, other)
	}
	if f.tries >= maxTries || !f.mayBeLate && c.now.After(f.latestStart) || f.prefill.mayBeQueued(f) {
		return false
	}
	c.findPrefillOptions(f.pool, f, c.now, &excluded)
	return slices.ContainsFunc(c.prefillOptions, func(option prefillOption) bool {
		return option.e != f.prefill && option.urgentQueue <= maxPrefillBacklog
	})
}

// maxTickGap is the largest gap between ticks on a box that runs normally, five times the
// tick interval. A larger gap means that the box itself was paused.
const maxTickGap = 5 * tickInterval

// extendDeadlinesAfterPause adds the time for which this box was paused (frozen or without a
// CPU) to the deadlines of running stages. Answers that arrived meanwhile are still unread, so
// missing answers say nothing about the engines. Giving up these calls would cost a retry and
// a repeated prefill each.
func (c *Core) extendDeadlinesAfterPause() {
	gap := c.now.Sub(c.lastTick)
	first := c.lastTick.IsZero()
	c.lastTick = c.now
	if first || gap <= maxTickGap {
		return
	}
	for _, f := range c.flights {
		if !f.stageDeadline.IsZero() {
			f.stageDeadline = f.stageDeadline.Add(min(gap, c.now.Sub(f.stageStart)))
		}
	}
}
