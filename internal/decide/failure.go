package decide

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file handles failed and stalled calls, cancellations and the ends of requests.

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
	if !ev.PathBroke {
		c.noteFailure(e)
	}
	if f.stage == prefilling && ev.Reason == outcome.EndpointRefused {
		e.health.noteRefusal(c.now)
	}
	c.endFailedRerun(f, ev.Reason)
	if ev.Ran && f.stage != prefilling {
		e.addLostRun(f, c.now)
	}
	if !ev.KVCached || !c.tryRerun(f, ev.Reason) {
		c.recoverFromFailure(f, ev.Reason, ev.Ran, ev.KVGone)
	}
	c.drainQueue(f.pool)
}

// recoverFromFailure decides what happens to a request whose current call failed. ran reports that the call
// may have run the request, and kvGone that the prefill engine no longer has the KV cache.
func (c *Core) recoverFromFailure(f *flight, reason outcome.Reason, ran, kvGone bool) {
	switch f.stage {
	case prefilling:
		c.abandonTry(f, reason, ran)
	case transferring:
		c.retryDecode(f, reason, ran, kvGone)
	case streaming:
		if f.Resumable {
			f.resumeLate(c.now)
			c.abandonTry(f, reason, ran)
			return
		}
		c.abortCalls(f)
		c.finish(f, outcome.Outcome{Kind: outcome.CutOff, Reason: reason})
	}
}

// resumeLate lets a stream that has lost its connection continue late. The caller has already received a part of the
// answer and waits for more. So the first-token target no longer matters, and any pair of engines is better than none.
func (f *flight) resumeLate(now time.Time) {
	f.mayBeLate = true
	f.connectionLostAt = now
	f.order = f.latestStart
}

// handleNoRoom places a request again after its decode engine or the owner of that engine denied room. The engine was full, because
// its reported load was out of date or other boxes were faster. Nothing was sent to any engine. So the placement does
// not count as a try, and uses no retry of the budget.
func (c *Core) handleNoRoom(ev ReservationRefused) {
	f := c.flights[ev.ID]
	selfPrefilling := f != nil && f.stage == transferring && (f.prefill == nil || f.rerun != nil)
	if f == nil || f.stage != prefilling && !selfPrefilling || ev.Attempt != f.attempt {
		return
	}
	if ev.Yielded {
		f.decode.denial.addYield(c.now, f)
	} else {
		f.decode.denial.add(c.now, f, f.decode)
	}
	if f.rerun != nil {
		c.cancelRerun(f, RerunNoRoom, "")
		return
	}
	f.tries--
	f.prefillAttempt, f.decodeAttempt = 0, 0
	c.abortCalls(f)
	c.enqueue(f)
}

// retryDecode lets another decode engine fetch the KV cache. This requires that the prefill engine still has the cache,
// that fewer than maxDecodeRefusals engines have refused the request since, that the request may be run again, and that a
// retry is left. Otherwise retryDecode abandons the try.
func (c *Core) retryDecode(f *flight, reason outcome.Reason, ran, kvGone bool) {
	// The KV cache can be fetched only once. A call that may have run, and had the time to fetch the cache, counts as
	// having fetched it. A call that had less time may have fetched it too. If another engine then refuses the
	// request, the cache is gone, and calls to further engines would waste retries.
	kvGone = kvGone || ran && c.hadTimeToFetch(f) || f.kvMayBeTaken && reason == outcome.EndpointRefused
	c.abortDecode(f)
	f.kvMayBeTaken = f.kvMayBeTaken || ran
	if reason == outcome.EndpointRefused {
		f.decodeRefusals++
	}
	usable := !kvGone && f.decodeRefusals < maxDecodeRefusals && c.now.Add(expiryMargin).Before(f.expires)
	if usable && (f.Repeatable || !ran) && c.budget.Has(c.now, 1) && c.reserveOtherDecode(f) {
		c.budget.Take(c.now, 1)
		c.emit(Retry{f.ID, f.engineToAvoid.Name, reason})
		c.startDecode(f, reason)
		return
	}
	c.abandonTry(f, reason, ran)
}

// noteMayHaveRun records that the present decode engine may have run a part of the request.
func (f *flight) noteMayHaveRun() {
	if f.decode != nil && !slices.Contains(f.enginesRun, f.decode) {
		f.enginesRun = append(f.enginesRun, f.decode)
	}
}

// canRunOn reports whether the decode engine may run the request. At most MaxEngines engines may run a part of the
// request. Once that many may have run a part, only these engines may run the request again.
func (f *flight) canRunOn(e *engine) bool {
	return f.MaxEngines <= 0 || len(f.enginesRun) < f.MaxEngines || slices.Contains(f.enginesRun, e)
}

// canUseAnotherEngine reports whether MaxEngines allows one more decode engine. The present decode engine counts as
// used, and so do the engines that may already have run a part of the request.
func (f *flight) canUseAnotherEngine() bool {
	n := len(f.enginesRun)
	if f.stage != prefilling && f.decode != nil && !slices.Contains(f.enginesRun, f.decode) {
		n++
	}
	return f.MaxEngines <= 0 || n < f.MaxEngines
}

// abandonTry ends the calls of the present try and releases the memory reserved for it. It queues the request for
// another try if the request may be run again, the first-token target can still be met and the retry budget allows it.
// Otherwise it ends the request.
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

// CanResume reports whether the stream would be resumed on other engines if its connection were lost now.
func (c *Core) CanResume(now time.Time, id ID) bool {
	f := c.flights[id]
	return f != nil && f.stage == streaming && f.Resumable && f.tries < maxTries && f.canUseAnotherEngine() && c.budget.Has(now, f.retriesForNextTry())
}

// CanRepeatPrefill reports whether the prompt would be prefilled again if its prefill call were lost now.
func (c *Core) CanRepeatPrefill(now time.Time, id ID) bool {
	f := c.flights[id]
	return f != nil && f.stage == prefilling && f.tries < maxTries && (f.mayBeLate || !now.After(f.latestStart)) && c.budget.Has(now, f.retriesForNextTry())
}

// TakeRetries takes n retries from the budget, and reports whether the budget had n. If it had fewer, none is taken.
func (c *Core) TakeRetries(now time.Time, n int) bool { return c.budget.Take(now, n) }

// retriesForNextTry is how many retries the next try costs if the present try failed. A platform counts each prefill
// call and each decode call beyond the request's first as a retry. So a try can cost two retries. When a try cost
// only one retry for both calls, the boxes together sent twice as many repeated calls as they had retries.
func (f *flight) retriesForNextTry() int {
	f.prefillSent = f.prefillSent || f.prefill != nil
	f.decodeSent = f.decodeSent || f.stage != prefilling
	if f.prefillSent && f.decodeSent {
		return 2
	}
	return 1
}

// currentEngine is the engine whose response the present stage waits for; nil if there is none.
func (f *flight) currentEngine() *engine {
	if f.stage == prefilling {
		return f.prefill
	}
	return f.decode
}

// engineToBlame is the engine responsible for a failure in the present stage. The decode engine may have been released
// while no other decode engine was found. Then the released engine is to blame.
func (f *flight) engineToBlame() *engine {
	if e := f.currentEngine(); e != nil {
		return e
	}
	return f.engineToAvoid
}

// abortCalls aborts the open calls of the request and releases what the ledgers of engines hold for it.
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
	c.endRerun(f, RerunCancelled)
	if f.stage == prefilling || f.stage == transferring {
		c.emit(WastedPrefill{f.ID, f.uncachedTokens, outcome.CallerGone})
	}
	c.abortCalls(f)
	c.forget(f)
	c.drainQueue(f.pool)
}

// end ends a request without a complete answer. If the request has not run and the cause is temporary, the
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

// endTooLate refuses a request that cannot be on time. The caller is told why (detail) and when to retry.
func (c *Core) endTooLate(f *flight, detail string) {
	c.finish(f, outcome.Outcome{Kind: f.kindWithoutAnswer(), Reason: outcome.TooLate, Detail: detail, RetryAfter: c.retryAfter()})
}

// kindWithoutAnswer is the kind of outcome of a request that ends without a complete answer.
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

// forget removes the request from the queue and from the ledgers of all engines.
func (c *Core) forget(f *flight) {
	if f.pool != nil {
		f.pool.queue.remove(f)
	}
	c.releasePrefill(f)
	c.releaseDecode(f)
	f.noteInactive()
	delete(c.flights, f.ID)
}

// handleStall handles a stage that takes too long. The call counts as failed if another engine can take the request or
// the hard timeout has passed. Otherwise the call gets more time.
func (c *Core) handleStall(f *flight) {
	if c.now.Before(f.stageStart.Add(hardStallTimeout+f.FirstToken)) && !c.hasAlternative(f) {
		margin := f.stallMargin()
		if shorter, ok := f.decodeMargin(); ok && f.stage == transferring {
			margin = shorter
		}
		f.stageDeadline = c.now.Add(margin)
		return
	}
	reason := outcome.TransferStalled
	if f.stage == prefilling {
		reason = outcome.PrefillStalled
	}
	c.noteFailure(f.currentEngine())
	ran := f.stage != prefilling || !f.PrefillNotRun
	f.ran = f.ran || ran
	c.endFailedRerun(f, reason)
	if f.stage != prefilling {
		f.noteMayHaveRun()
		f.stalls++
		f.decode.addLostRun(f, c.now)
		if c.tryRerun(f, reason) {
			return
		}
	}
	c.recoverFromFailure(f, reason, ran, false)
}

// hasAlternative reports whether a stalled request can be moved to another engine or be run again on its decode engine,
// with enough retries left for this.
func (c *Core) hasAlternative(f *flight) bool {
	if f.stage == transferring && c.canRerun(f) {
		return true
	}
	if !c.mayTryAgain(f) {
		return false
	}
	if f.stage == transferring {
		return c.canStartElsewhere(f, f.decode)
	}
	if f.prefill.mayBeQueued(f) {
		return false
	}
	var excluded Exclusions
	c.findPrefillOptions(f.pool, f, c.now, &excluded)
	return slices.ContainsFunc(c.prefillOptions, func(option prefillOption) bool {
		return option.e != f.prefill && option.urgentQueue <= maxPrefillBacklog
	})
}

// mayTryAgain reports whether the rules and the retry budget allow a new try on other engines.
func (c *Core) mayTryAgain(f *flight) bool {
	return f.Repeatable && f.canUseAnotherEngine() && f.tries < maxTries && (f.mayBeLate || !c.now.After(f.latestStart)) &&
		c.budget.Has(c.now, f.retriesForNextTry())
}

// canStartElsewhere reports whether a new try could begin its answer in time, on another decode engine than e.
func (c *Core) canStartElsewhere(f *flight, e *engine) bool {
	avoided := f.engineToAvoid
	f.engineToAvoid = e
	chosen, _, ok := c.choose(f.pool, f, c.now)
	f.engineToAvoid = avoided
	if !ok || chosen.Decode == e.Name || c.tooBusy(f, &chosen) {
		return false
	}
	begin := c.now.Add(chosen.FirstToken + f.pool.urgency.lateness(f))
	return f.mayBeLate || !begin.After(f.arrived.Add(f.FirstToken))
}

// maxTickGap is the longest time between two ticks on a box that runs normally. After a longer gap, the box itself must
// have been paused. A pause of less than minDecodeMargin must be noticed, since a decode call could stall in it.
const maxTickGap = 2 * tickInterval

// extendDeadlinesAfterPause detects that this box was paused (frozen or without a CPU), and adds the time of the pause
// to the deadlines of all running stages. Answers that arrived during the pause have not been read yet. So a missing
// answer does not mean that an engine failed. Each call that is given up costs a retry and another prefill.
func (c *Core) extendDeadlinesAfterPause() {
	gap := c.now.Sub(c.lastTick)
	first := c.lastTick.IsZero()
	c.lastTick = c.now
	if first || gap <= maxTickGap {
		return
	}
	for _, f := range c.flights {
		if !f.stageDeadline.IsZero() {
			f.stageDeadline = f.stageDeadline.Add(min(gap-tickInterval, c.now.Sub(f.stageStart)))
		}
	}
}
