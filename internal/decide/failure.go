package decide

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file deals with attempts that fail or stall, with cancels, and with ends.

func (c *Core) failedCall(ev Failed) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.attempt {
		return
	}
	f.ran = f.ran || ev.Ran
	if ev.Ran && f.stage != prefilling {
		f.noteRun()
	}
	e := f.working()
	if e == nil {
		return
	}
	c.blame(e)
	if f.stage == prefilling && ev.Reason == outcome.EndpointRefused {
		e.health.refused(c.now)
	}
	c.callFailed(f, ev.Reason, ev.Ran, ev.KVGone)
	c.drainQueue(f.pool)
}

// callFailed decides what becomes of a request whose current call is lost.
func (c *Core) callFailed(f *flight, reason outcome.Reason, ran, kvGone bool) {
	switch f.stage {
	case prefilling:
		c.giveUpTry(f, reason, ran)
	case transferring:
		c.decodeLost(f, reason, ran, kvGone)
	case streaming:
		if f.Resumable {
			// The caller waits in the middle of its answer, and no target is left to
			// miss: any pair is better than none.
			f.patient = true
			f.brokeAt = c.now
			f.order = f.latestStart
			c.giveUpTry(f, reason, ran)
			return
		}
		c.abortCalls(f)
		c.finish(f, outcome.Outcome{Kind: outcome.CutOff, Reason: reason})
	}
}

// noRoomPause is how long a decode engine that refused to set memory aside is not
// asked for as much again. Streams end several times a second on a busy engine.
const noRoomPause = 100 * time.Millisecond

// noRoom places a request anew whose decode engine turned out full: its figures were
// old, or other boxes were first. Nothing was sent, so this is no try and needs no
// retry budget.
func (c *Core) noRoom(ev NoRoom) {
	f := c.flights[ev.ID]
	whole := f != nil && f.stage == transferring && f.prefill == nil
	if f == nil || f.stage != prefilling && !whole || ev.Attempt != f.attempt {
		return
	}
	f.decode.noRoomFor, f.decode.noRoomUntil = f.need(), c.now.Add(noRoomPause)
	f.tries--
	f.prefillAttempt, f.decodeAttempt = 0, 0
	c.abortCalls(f)
	c.wait(f)
}

// decodeLost moves the KV cache to a second decode engine while the prefill
// engine still holds it, and otherwise gives up the try.
func (c *Core) decodeLost(f *flight, reason outcome.Reason, ran, kvGone bool) {
	c.abortDecode(f)
	// A call that may have run may have taken the KV cache, which serves once. An engine that refuses the
	// next one tells that it did; without this each further engine is a retry for nothing.
	kvGone = kvGone || f.kvTaken && reason == outcome.EndpointRefused
	f.kvTaken = f.kvTaken || ran
	usable := !kvGone && c.now.Add(expirySafety).Before(f.expires)
	if usable && (f.Repeatable || !ran) && c.budget.Has(c.now, 1) && c.anotherDecode(f) {
		c.budget.Take(c.now, 1)
		c.emit(Retry{f.ID, f.avoid.Name, reason})
		c.startDecode(f, reason)
		return
	}
	c.giveUpTry(f, reason, ran)
}

// noteRun notes that the present decode engine may have run the request.
func (f *flight) noteRun() {
	if f.decode != nil && !slices.Contains(f.ranOn, f.decode) {
		f.ranOn = append(f.ranOn, f.decode)
	}
}

// mayRunOn says whether a decode engine may run the request: once as many as may have run
// it did, only these may go on.
func (f *flight) mayRunOn(e *engine) bool {
	return f.MaxEngines <= 0 || len(f.ranOn) < f.MaxEngines || slices.Contains(f.ranOn, e)
}

// mayGoElsewhere says whether an engine besides those before and the present one may still
// run the request.
func (f *flight) mayGoElsewhere() bool {
	n := len(f.ranOn)
	if f.stage != prefilling && f.decode != nil && !slices.Contains(f.ranOn, f.decode) {
		n++
	}
	return f.MaxEngines <= 0 || n < f.MaxEngines
}

// giveUpTry frees everything the try holds, and starts another where the
// request may be repeated, the budget allows it and the target can still be met.
func (c *Core) giveUpTry(f *flight, reason outcome.Reason, ran bool) {
	f.ran = f.ran || ran
	if f.stage != prefilling || ran {
		c.emit(Waste{f.ID, f.readTokens, reason})
	}
	f.avoid = f.failing()
	again := f.callsAgain()
	c.abortCalls(f)
	if f.ran && !f.Repeatable || f.tries >= maxTries {
		c.end(f, reason, "")
		return
	}
	if !f.patient && c.now.After(f.latestStart) {
		c.end(f, reason, "")
		return
	}
	if !c.budget.Take(c.now, again) {
		c.end(f, outcome.RetryBudget, reason.Sentence())
		return
	}
	c.emit(Retry{f.ID, f.avoid.Name, reason})
	c.wait(f)
}

// MayResume says whether a stream that breaks off now would be tried again.
func (c *Core) MayResume(now time.Time, id ID) bool {
	f := c.flights[id]
	return f != nil && f.stage == streaming && f.Resumable && f.tries < maxTries && f.mayGoElsewhere() && c.budget.Has(now, f.callsAgain())
}

// TakeRetries takes n retries, all or none, and returns whether there were as many.
func (c *Core) TakeRetries(now time.Time, n int) bool { return c.budget.Take(now, n) }

// callsAgain is how many calls beyond the first the next try will send, now that the present one
// has failed: a platform counts a prompt that is read again like an answer that is made again.
// With one retry for both all boxes sent twice what they took.
func (f *flight) callsAgain() int {
	f.readSent = f.readSent || f.prefill != nil
	f.writeSent = f.writeSent || f.stage != prefilling
	if f.readSent && f.writeSent {
		return 2
	}
	return 1
}

// working is the engine that the present stage waits for; nil while nothing is sent.
func (f *flight) working() *engine {
	if f.stage == prefilling {
		return f.prefill
	}
	return f.decode
}

// failing is the engine to blame for the present stage. A decode engine that was
// given up already, in search of another, is the one avoided.
func (f *flight) failing() *engine {
	if e := f.working(); e != nil {
		return e
	}
	return f.avoid
}

// abortCalls tells engines to free what they hold for the request, and empties its ledger.
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

func (c *Core) cancel(id ID) {
	f := c.flights[id]
	if f == nil {
		return
	}
	if f.stage == prefilling || f.stage == transferring {
		c.emit(Waste{f.ID, f.readTokens, outcome.CallerGone})
	}
	c.abortCalls(f)
	c.forget(f)
	c.drainQueue(f.pool)
}

// end ends a request without an answer. One that has not run and whose reason passes is
// told when to come back.
func (c *Core) end(f *flight, reason outcome.Reason, detail string) {
	o := outcome.Outcome{Kind: f.unanswered(), Reason: reason, Detail: detail}
	if o.Kind == outcome.NotRun && reason.Passes() {
		o.RetryAfter = comeBack
	}
	c.finish(f, o)
}

func (c *Core) endRetry(f *flight, reason outcome.Reason, after time.Duration) {
	c.finish(f, outcome.Outcome{Kind: f.unanswered(), Reason: reason, RetryAfter: after})
}

// endLate refuses a request that cannot be on time, and says how that was told.
func (c *Core) endLate(f *flight, detail string) {
	c.finish(f, outcome.Outcome{Kind: f.unanswered(), Reason: outcome.TooLate, Detail: detail, RetryAfter: c.retryAfter(f)})
}

// unanswered is the kind of end that is true of a request without an answer.
func (f *flight) unanswered() outcome.Kind {
	if f.ran {
		return outcome.MayHaveRun
	}
	return outcome.NotRun
}

func (c *Core) finish(f *flight, o outcome.Outcome) {
	c.emit(End{f.ID, o})
	c.forget(f)
}

// forget removes the request; nothing of it stays in any ledger.
func (c *Core) forget(f *flight) {
	if f.pool != nil {
		f.pool.queue.remove(f)
	}
	c.releasePrefill(f)
	c.releaseDecode(f)
	delete(c.flights, f.ID)
}

// stalled moves a request whose stage takes too long, or lets it go on.
func (c *Core) stalled(f *flight) {
	if c.now.Before(f.stageStart.Add(hardStall+f.FirstToken)) && !c.canMove(f) {
		f.stageDeadline = c.now.Add(f.stallMargin())
		return
	}
	reason := outcome.TransferStalled
	if f.stage == prefilling {
		reason = outcome.PrefillStalled
	}
	c.blame(f.working())
	ran := f.stage != prefilling || !f.ReadNotRun
	if f.stage != prefilling {
		f.noteRun()
	}
	f.ran = f.ran || ran
	c.callFailed(f, reason, ran, false)
}

// canMove says whether a stalled request has somewhere better to go.
func (c *Core) canMove(f *flight) bool {
	calls := 1 // A prompt's result is called for at another engine.
	if f.stage == prefilling {
		calls = f.callsAgain()
	}
	if !f.Repeatable || !f.mayGoElsewhere() || !c.budget.Has(c.now, calls) {
		return false
	}
	var passed PassedOver
	if f.stage == transferring {
		c.findWriters(f.pool, f, c.now, &passed)
		other := func(w writer) bool { return w.e != f.decode }
		return c.now.Add(expirySafety).Before(f.expires) && slices.ContainsFunc(c.writers, other)
	}
	if f.tries >= maxTries || !f.patient && c.now.After(f.latestStart) || f.prefill.hasQueued(f) {
		return false
	}
	c.findReaders(f.pool, f, c.now, &passed)
	return slices.ContainsFunc(c.readers, func(r reader) bool { return r.e != f.prefill && r.ahead <= prefillWindow })
}

// longestTick is how far apart ticks may be on a box that runs as it should, five times what is
// asked for. A larger gap means that the box itself stood still.
const longestTick = 5 * tickEvery

// allowForPause gives the stages under way the time again for which this box stood still: frozen, or
// without a processor. What engines answered meanwhile lies unread, so their silence says nothing
// of them. Each call that is given up then costs a retry and a prompt that is read for nothing.
func (c *Core) allowForPause() {
	gap := c.now.Sub(c.ticked)
	first := c.ticked.IsZero()
	c.ticked = c.now
	if first || gap <= longestTick {
		return
	}
	for _, f := range c.flights {
		if !f.stageDeadline.IsZero() {
			f.stageDeadline = f.stageDeadline.Add(min(gap, c.now.Sub(f.stageStart)))
		}
	}
}
