package decide

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file runs a request again on the decode engine that lost the connection of its answer or did not begin it in time.
// The engine still has the prompt's KV cache as a cached prefix. A handle can be fetched only once, so on any other engine
// the prompt would have to be prefilled again.

// RerunResult is how a rerun ended. A rerun is a second call to the decode engine whose first call was lost or stalled.
type RerunResult uint8

const (
	RerunBegun     RerunResult = iota // The engine answered.
	RerunDeclined                     // No call was made, because the engine could not be used.
	RerunNoRoom                       // The engine or its owner denied room, and nothing was sent.
	RerunRefused                      // The engine said that it did not run the request.
	RerunFailed                       // The call failed in another way.
	RerunCancelled                    // The request ended before the engine answered.
	rerunResultCount
)

var rerunResultNames = [rerunResultCount]string{"begun", "declined", "no_room", "refused", "failed", "cancelled"}

func (r RerunResult) String() string { return rerunResultNames[r] }

// RerunResults calls fn with every result, so that a counter can be registered for each when the box starts.
func RerunResults(fn func(RerunResult)) {
	for r := RerunBegun; r < rerunResultCount; r++ {
		fn(r)
	}
}

// RerunEnded reports how a rerun ended. Text says why a rerun was declined; it is empty otherwise.
type RerunEnded struct {
	ID     ID
	Engine string
	Result RerunResult
	Text   string
}

func (RerunEnded) action() {}

// rerun is the state of a rerun until the engine answers. If nothing was sent, the flight is set back to stage.
type rerun struct {
	reason  outcome.Reason // Why the first call failed.
	stage   stage
	takenAt time.Time // When the retry was taken from the budget.
}

// tryRerun runs the request again on its decode engine, and reports whether it did. Otherwise it has aborted the lost
// call and released the engine, and the caller must decide what happens to the request.
func (c *Core) tryRerun(f *flight, reason outcome.Reason) bool {
	e := f.decode
	if !c.mayHaveKV(f) || slices.Contains(f.enginesRerun, e) {
		return false
	}
	c.abortDecode(f) // A run must have ended before the next begins.
	f.engineToAvoid = e
	f.expires = time.Time{} // The KV cache counts as fetched, so no other engine is offered the handle.
	if f.stage == streaming {
		f.resumeLate(c.now)
	}
	c.releaseDecode(f)
	obstacle := c.rerunObstacle(f, e)
	if obstacle == "" && !c.budget.Take(c.now, 1) {
		obstacle = "no retry is left"
	}
	if obstacle != "" {
		c.emit(RerunEnded{f.ID, e.Name, RerunDeclined, obstacle})
		return false
	}
	f.enginesRerun = append(f.enginesRerun, e)
	f.rerun = &rerun{reason, f.stage, c.now}
	f.attempt = f.newAttempt()
	f.decodeAttempt = f.attempt
	c.reserveDecode(f, e)
	c.setDecodeStage(f, c.rerunTime(f, e))
	c.emit(StartDecode{ID: f.ID, Attempt: f.attempt, Decode: e.Name, Priority: f.enginePriority(), Rerun: reason})
	return true
}

// mayHaveKV reports whether the request may run again, and its decode engine may have the prompt's KV cache.
func (c *Core) mayHaveKV(f *flight) bool {
	switch {
	case !f.Repeatable || f.pool.SelfPrefillRatio == 0:
		return false
	case f.stage == streaming:
		return f.Resumable
	case f.stage != transferring || f.decode == nil:
		return false
	}
	return c.hadTimeToFetch(f)
}

// hadTimeToFetch reports whether the current decode call may have fetched the KV cache, or prefilled the prompt itself. A
// call does not count as having fetched the cache sooner than the transfer takes on free links and half of the usual delay of
// the first event. Before that, another engine can probably still fetch it. Once the decode engine is released, tryRerun has found that there was time.
func (c *Core) hadTimeToFetch(f *flight) bool {
	if f.prefill == nil || f.decode == nil {
		return true
	}
	// Calls that are reset before the engine fetches anything were seen up to 8 ms after they were sent, where first events
	// come after 19 ms. Their prompts would be prefilled again at half the pace, although the handle can still be fetched.
	least := transferTime(f.pool, f, f.prefill, f.decode) + f.pool.speed.FirstEventDelay/2
	return c.now.Sub(f.stageStart) >= least
}

// canRerun reports whether the decode engine of a call that has not begun its answer could run the request again.
func (c *Core) canRerun(f *flight) bool {
	if !c.mayHaveKV(f) || slices.Contains(f.enginesRerun, f.decode) || !c.budget.Has(c.now, 1) {
		return false
	}
	e := *f.decode
	e.placements, e.forecast = slices.Clone(e.placements), memoryForecast{}
	e.addLostRun(f, c.now)
	e.releaseDecode(f.ID, f.reservedKV, f.streamWeight())
	return c.rerunObstacle(f, &e) == ""
}

// addLostRun records that the current run of a request of this box has ended on the engine without the end of its answer.
// The engine's last report may still contain the run.
func (e *engine) addLostRun(f *flight, now time.Time) {
	if slices.ContainsFunc(e.placements, func(w placement) bool { return w.id == f.ID && w.kv > 0 }) {
		return // The run is more recent than the report.
	}
	if f.stage == streaming {
		e.addStreamEnded(f.pool, StreamEnded{Engine: e.Name, At: now, Tokens: f.PromptTokens + f.outputSoFar(now)})
		return
	}
	e.removeLostRun(f.pool, now, f.PromptTokens)
}

// removeLostRun removes a run from the last report. If no listed run has about its size, the run had memory but was not
// listed, because it had not begun.
func (e *engine) removeLostRun(p *pool, now time.Time, tokens int) {
	if !e.hasReport || e.report.Runs == nil {
		return
	}
	listed := len(e.report.Runs)
	if e.removeFromReport(p, StreamEnded{At: now, Tokens: tokens}); len(e.report.Runs) < listed {
		return
	}
	unlisted := e.KVTokens - e.report.FreeKV
	for _, r := range e.report.Runs {
		unlisted -= r.Tokens
	}
	e.report.FreeKV += max(0, min(tokens, unlisted))
	e.forecast = memoryForecast{}
}

// hasRoomAgain reports whether the engine has room for the start of a request whose lost run has been removed from its
// load. How the streams will grow was checked before the first run, which would have grown as well.
func (e *engine) hasRoomAgain(p *pool, f *flight, now time.Time) bool {
	return e.hasRoom(p, &flight{Request: f.Request, pool: p, mayBeLate: true}, now)
}

// GrantRerun is Grant for a rerun. The lost run used the given memory, in tokens, and has ended. This box may not know that
// yet, so it grants the rerun if the engine would have room without the lost run.
func (c *Core) GrantRerun(now time.Time, engine string, r Request, lost int) bool {
	e := c.engines[engine]
	if e == nil {
		return true
	}
	p := c.pools[e.Pool]
	f := &flight{Request: r, pool: p}
	after := *e
	after.placements, after.forecast = slices.Clone(e.placements), memoryForecast{}
	isLost := func(w placement) bool {
		return w.id == 0 && w.kv > 0 && w.prompt == f.PromptTokens && w.answer == f.expectedOutput()
	}
	if i := slices.IndexFunc(after.placements, isLost); i >= 0 {
		after.placements = slices.Delete(after.placements, i, i+1)
	} else if e.hasReport && e.report.Runs == nil {
		after.report.FreeKV += lost
	} else {
		after.removeLostRun(p, now, lost)
	}
	if !after.hasRoomAgain(p, f, now) {
		return false
	}
	if lost <= f.PromptTokens { // No StreamEnded follows for a run that had not begun.
		*e = after
	}
	e.denied.granted(0)
	e.addGrant(now, f)
	return true
}

// rerunObstacle says why the engine cannot run the request again; empty if it can. The request must hold no memory on
// the engine. A rerun that is in time only if the prompt is still cached, as it usually is, is better than none.
func (c *Core) rerunObstacle(f *flight, e *engine) string {
	var excluded Exclusions
	switch {
	case !c.usable(e, c.now, &excluded):
		return "the engine takes no new requests"
	case !f.fitsBuild(e):
		return "the engine now runs another build"
	case c.isPaused(e):
		return "the engine asked for a pause"
	case !e.hasRoomAgain(f.pool, f, c.now) || e.denial.holds(c.now, f):
		return "the engine has no room"
	}
	target := f.arrived.Add(f.FirstToken)
	late := !f.mayBeLate && c.now.Add(c.rerunTime(f, e)).After(target)
	cachedTime := e.queueTime(c.now) + f.pool.beginTime(e.stepTime())
	if late && (c.now.Add(cachedTime).After(target) || c.mayTryAgain(f) && c.canStartElsewhere(f, e)) {
		return "it would be late if the engine had dropped the cached prompt"
	}
	return ""
}

// rerunTime is the predicted time to the next event if the engine has dropped the cached prompt and prefills it again.
func (c *Core) rerunTime(f *flight, e *engine) time.Duration {
	prefillTime := e.prefillTime(int(float64(f.PromptTokens) / f.pool.SelfPrefillRatio))
	return e.queueTime(c.now) + prefillTime + f.pool.speed.PrefillDelay + f.pool.beginTime(e.stepTime())
}

// endRerun reports the result of the rerun, if there is one.
func (c *Core) endRerun(f *flight, result RerunResult) {
	if f.rerun != nil {
		c.emit(RerunEnded{ID: f.ID, Engine: f.enginesRerun[len(f.enginesRerun)-1].Name, Result: result})
		f.rerun = nil
	}
}

// endFailedRerun reports the result of a rerun whose call failed.
func (c *Core) endFailedRerun(f *flight, reason outcome.Reason) {
	if reason == outcome.EndpointRefused {
		c.endRerun(f, RerunRefused)
		return
	}
	c.endRerun(f, RerunFailed)
}

// handleRerunForbidden handles a rerun of a request that is suspected of crashing engines.
func (c *Core) handleRerunForbidden(ev RerunForbidden) {
	if f := c.flights[ev.ID]; f != nil && f.rerun != nil && ev.Attempt == f.attempt {
		c.cancelRerun(f, RerunDeclined, "the request is suspected of crashing engines")
	}
}

// cancelRerun ends a rerun that was not sent. The retry is given back, and the failure of the first call is handled as if
// there had been no rerun.
func (c *Core) cancelRerun(f *flight, result RerunResult, text string) {
	r := f.rerun
	c.budget.Return(r.takenAt, 1)
	c.emit(RerunEnded{f.ID, f.decode.Name, result, text})
	f.rerun, f.stage, f.decodeAttempt = nil, r.stage, 0
	f.engineToAvoid = f.decode
	c.recoverFromFailure(f, r.reason, true, true)
	c.drainQueue(f.pool)
}
