package decide

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file runs a request again on the decode engine that lost the connection of its answer. The engine still has the
// prompt's KV cache as a cached prefix. A handle can be fetched only once, so on any other engine the prompt would have
// to be prefilled again.

// RerunResult is how a rerun ended. A rerun is a second call to the decode engine that lost the connection of the first.
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

// rerun is the state of a rerun until the engine answers. If room is denied, nothing was sent, and the flight is set back
// to stage and expires.
type rerun struct {
	reason  outcome.Reason // Why the first call failed.
	stage   stage
	expires time.Time
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
	if f.stage == streaming {
		f.resumeLate(c.now)
		// The engine's last report still contains the run.
		e.addStreamEnded(f.pool, StreamEnded{Engine: e.Name, At: c.now, Tokens: f.PromptTokens + f.outputSoFar(c.now)})
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
	f.rerun = &rerun{reason, f.stage, f.expires, c.now}
	f.expires = time.Time{} // If the rerun fails, the handle is used no more.
	f.attempt = f.newAttempt()
	f.decodeAttempt = f.attempt
	c.reserveDecode(f, e)
	c.setStage(f, transferring, c.rerunTime(f, e))
	c.emit(StartDecode{ID: f.ID, Attempt: f.attempt, Decode: e.Name, Priority: f.enginePriority(), Rerun: reason})
	return true
}

// mayHaveKV reports whether the request may run again, and its decode engine may have the prompt's KV cache. The engine
// cannot have fetched the cache sooner than the transfer takes on free links. Before that, another engine can still
// fetch it.
func (c *Core) mayHaveKV(f *flight) bool {
	switch {
	case !f.Repeatable || f.pool.SelfPrefillRatio == 0:
		return false
	case f.stage == streaming:
		return f.Resumable
	case f.stage != transferring || f.decode == nil:
		return false
	}
	return f.prefill == nil || c.now.Sub(f.stageStart) >= transferTime(f.pool, f, f.prefill, f.decode)
}

// rerunObstacle says why the engine cannot run the request again; empty if it can. The request must hold no memory on
// the engine.
func (c *Core) rerunObstacle(f *flight, e *engine) string {
	var excluded Exclusions
	switch {
	case !c.usable(e, c.now, &excluded):
		return "the engine takes no new requests"
	case c.isPaused(e):
		return "the engine asked for a pause"
	case !e.hasRoom(f.pool, f, c.now) || e.denial.holds(c.now, f):
		return "the engine has no room"
	case !f.mayBeLate && c.now.Add(c.rerunTime(f, e)).After(f.arrived.Add(f.FirstToken)):
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

// handleRerunNoRoom handles a rerun to which the engine or its owner denied room. Nothing was sent, so the retry is given
// back, and the loss of the first call is handled as if there had been no rerun.
func (c *Core) handleRerunNoRoom(f *flight) {
	r := f.rerun
	c.budget.Return(r.takenAt, 1)
	c.endRerun(f, RerunNoRoom)
	f.stage, f.expires, f.decodeAttempt = r.stage, r.expires, 0
	f.engineToAvoid = f.decode
	c.recoverFromFailure(f, r.reason, true, false)
	c.drainQueue(f.pool)
}
