package relay

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// This file migrates a running stream from one engine, the source, to another engine, the target. The source stops the
// run, and closes its answer without an end marker. It then copies the memory of the run to the target. The box sends
// the same request to the target. The target resumes the stream after the last event that the caller has received:
//
//	migration requested ─► engine stops ─► its call ends ┐
//	                         └► copied: a handle ────────┴► the next call resumes with the handle
//
// The source's call may end before or after the copy is reported. A stream never runs at two engines at the same time.
// The next call is therefore made only when the source has reported the stop, and the source's call has ended. Until
// the call ends, the caller gets the events of the source. After that, no event of the source is passed on.

// migration is the state of a migration that has begun and not ended.
type migration struct {
	attempt      decide.Attempt // The attempt number of the call that resumes the stream.
	sourceEngine string         // The engine that runs the stream.
	targetEngine string         // The engine that is to resume the stream.
	// source is where the source engine stores the memory of the stopped run. It is empty until that engine has
	// reported the stop.
	source Source
	// copied is set if the target engine has the memory too.
	copied bool
	// sourceEnd is how the call to the source engine ended; nil while the call runs. Its reason is OK if the answer
	// was complete. A complete answer may still be the answer of a stopped run. Only the answer to the migration
	// request shows whether the stream was over.
	sourceEnd *callError
	// unframed is set if only the close of the connection ended the source engine's answer. The answer of a stopped run
	// may end in the same way.
	unframed bool
	// keptUntil is the time until which the engines store the memory, or longer. It is zero before the run is stopped.
	keptUntil time.Time
	// resumed is set once the stream was sent to an engine that is to resume it. atSource is set if the last such
	// call went to the source engine, and not to the target. bound is set once bindDecode has made the context of the
	// attempt.
	resumed, atSource, bound bool
	// pauseRetries counts the calls made to the source engine after it had asked for a pause in requests.
	pauseRetries int
	// refusal is the source engine's refusal of the stopped run while the run waits to be sent again.
	refusal *callError
	// timer is the timer of the migration's present state; nil if that waits for no time.
	timer *migrationTimer
}

// migrationTimer ends a state of a migration after a delay. The loop ignores it unless it is the timer of the present migration and
// state: it may expire while the event that ended the state waits in the loop's buffer.
type migrationTimer struct {
	expired func() // Called by the loop.
	stop    context.CancelFunc
}

// stopTimer is called when the state ends that the timer belongs to.
func (m *migration) stopTimer() {
	if m.timer != nil {
		m.timer.stop()
		m.timer = nil
	}
}

// is reports whether an attempt is the attempt that resumes the stream. If there is no migration (m is nil), it is
// false.
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// endedWhole reports whether the source engine's answer has ended with its frame. A stopped run's answer lacks the end of it.
func (m *migration) endedWhole() bool {
	return m.sourceEnd != nil && m.sourceEnd.reason == outcome.OK && !m.unframed
}

// migrationResult is the result of a migration request.
type migrationResult struct {
	source Source // The memory of the stopped run; empty if the run was not stopped.
	copied bool   // The target engine has the memory too.
	// unanswered is set if a try that may have arrived got no answer. The engine may then have stopped the run, or stop it
	// later.
	unanswered bool
	// answeredAt is when the engine answered the last try; zero if it answered none.
	answeredAt time.Time
	// detail says why the stream was not migrated, and answers how the engine answered each try, for the trace of the request. Equal
	// answers in a row stand once.
	detail  string
	answers []string
}

// note counts and records the answer to a try.
func (m *migrationResult) note(r *Relay, answer telemetry.MigrationAnswer, detail string) {
	r.m.MigrationAnswers[answer].Inc()
	m.detail = detail
	if text := fmt.Sprintf("%s (%s)", answer, detail); len(m.answers) == 0 || m.answers[len(m.answers)-1] != text {
		m.answers = append(m.answers, text)
	}
}

// drop starts to free the memory of the stopped run, if the result has a handle for it. drop does not wait for the call
// that frees the memory.
func (m *migrationResult) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Engine, m.source.Address, r.protocol.ReleaseHandle(m.source.Handle))
	}
}

const (
	// migrateTries is how often a migration request may fail, without a readable answer, before the box gives it up.
	migrateTries = 2
	// migratePollInterval is the pause before a migration request is repeated because the engine still works on it.
	migratePollInterval = 100 * time.Millisecond
	// stopTimeout is how long the call of a stopped run may take to end, before the box closes its connection.
	stopTimeout = 250 * time.Millisecond
	// reofferDelay is the pause before a stopped run is sent again to the engines that store its memory and have
	// refused the run, and between two checks for a retry left. The engines may soon accept it: on a busy engine,
	// streams end several times a second.
	reofferDelay = 100 * time.Millisecond
	// maxPauseRetries is how often a stopped run is sent to its source engine although the engine has asked for a pause
	// in requests. No other engine can resume the run. The engine accepted the stream's request before it asked for
	// the pause.
	maxPauseRetries = 2
	// migrateAnswerTimeout is how long the box waits for the answer to a migration request after the run has ended.
	// Then a resumable stream is prefilled again at another engine. Callers abandon a stream that pauses for some
	// seconds. It is also how long the box waits after the request has ended, in order to free the memory: with only the
	// time for which an engine keeps a handle, copies that took longer were left to the engine's expiry.
	migrateAnswerTimeout = 2 * time.Second
)

// migrate asks the engine that runs the stream to migrate it. A quarantined stream is not migrated, because it must not
// be sent to another engine. The stream continues where it runs, so that its caller keeps the running answer.
func (f *flight) migrate(a decide.Migrate) {
	if o, yes := f.x.quarantined(); yes {
		f.abortMigration(a.Attempt, o.Reason.Sentence())
		return
	}
	f.migration = &migration{attempt: a.Attempt, sourceEngine: a.From, targetEngine: a.To}
	f.stopRequests.begin(a.From)
	running := f.decodeAttempt
	f.calls.Go(func() { f.callMigrate(a, running) })
}

// callMigrate sends a migration request, unless the answer to the attempt running has ended, and reports the engine's
// answer. An engine stops the run before it copies the memory. A late answer therefore does not mean that the run
// continues, and only the answer has the handle of the memory. callMigrate waits for the answer until the caller's
// deadline, and for migrateAnswerTimeout or the time for which the engine stores the memory longer, also if the caller
// has left.
func (f *flight) callMigrate(a decide.Migrate, running decide.Attempt) {
	gracePeriod := max(f.x.service.Engines.HandleTTL, migrateAnswerTimeout)
	limit := f.x.timeLeft() + gracePeriod
	ctx, cancel := withGracePeriod(f.ctx, gracePeriod)
	defer cancel()
	address := f.x.r.disp.Address(a.From)
	call := f.x.r.protocol.Migrate(f.x.meta.ID, f.x.r.disp.Address(a.To))
	out := &migrationResult{}
	inProgress := false
	for lost := 0; lost < migrateTries && ctx.Err() == nil; {
		if len(out.answers) == 0 && f.endedAttempt.Load() == int64(running) {
			out.note(f.x.r, telemetry.MigrationUnsent, "the stream has ended")
			break
		}
		resp, body, err := f.x.r.controlPool.DoShort(ctx, limit, controlRequest(a.From, address, call), maxControlAnswer)
		if err != nil {
			lost++
			if mayHaveArrived(err) {
				out.unanswered = true
				out.note(f.x.r, telemetry.MigrationLost, err.Error())
			} else {
				out.note(f.x.r, telemetry.MigrationUnsent, err.Error())
			}
			continue
		}
		out.answeredAt = clock.Now()
		answer, err := f.x.r.protocol.ParseMigration(resp.StatusCode, body)
		if err != nil { // A repeated request may still get the handle.
			lost++
			out.note(f.x.r, telemetry.MigrationUnnamed, err.Error())
			continue
		}
		detail := "the engine answered " + resp.Status
		if inProgress = answer.InProgress; inProgress {
			out.note(f.x.r, telemetry.MigrationInProgress, detail)
			sleepCtx(ctx, migratePollInterval)
			continue
		}
		if answer.Handle == "" {
			out.note(f.x.r, telemetry.MigrationUnnamed, detail)
			break
		}
		out.note(f.x.r, telemetry.MigrationStopped, detail)
		out.source, out.copied = Source{Engine: a.From, Address: address, Handle: answer.Handle}, answer.Copied
		break
	}
	out.unanswered = out.unanswered || inProgress
	f.send(flightEvent{attempt: a.Attempt, migrated: out})
}

// sleepCtx returns after a duration, or when ctx ends.
func sleepCtx(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleMigrationEvent handles an event that concerns a migration, and returns true. For any other event it does
// nothing and returns false.
func (f *flight) handleMigrationEvent(ev flightEvent) bool {
	m := f.migration
	switch {
	case ev.migrated != nil:
		f.x.trace.Step(record.Step{Kind: record.StepMigrationAnswers, Decode: m.sourceEngine, Text: strings.Join(ev.migrated.answers, "; ")})
		f.applyMigrationResult(ev.migrated)
	case ev.timer != nil:
		m.timer = nil
		ev.timer.expired()
	case ev.err != nil && m.is(ev.attempt):
		f.handleResumeFailure(*ev.err)
	case ev.err != nil:
		f.recordSourceEnd(ev.err.detail)
		m.sourceEnd = ev.err
		m.sourceEnd.dropped = false // The engine may have stopped the run.
		f.awaitAnswer()
		f.resumeWhenStopped()
	case ev.ended && !m.is(ev.attempt):
		f.recordSourceEnd(endTexts[ev.unframed])
		m.sourceEnd, m.unframed = &callError{}, ev.unframed
		f.awaitAnswer()
		f.resumeWhenStopped()
	default:
		return false
	}
	return true
}

// endTexts say how an answer ended, by whether it had no frame.
var endTexts = map[bool]string{false: "its frame is complete", true: "it had no length, and its connection was closed"}

// recordSourceEnd adds the end of the source engine's answer to the trace of the request, if it precedes the answer to the
// migration request.
func (f *flight) recordSourceEnd(how string) {
	if m := f.migration; m.source.Handle == "" {
		f.x.trace.Step(record.Step{Kind: record.StepSourceEnded, Decode: m.sourceEngine, Text: how})
	}
}

// applyMigrationResult applies the answer to the migration request. If the engine stopped the run, the stream is
// resumed once its call has ended. If the answer does not say so, the migration is aborted. The stream then continues, or
// it has already ended, and the withheld end is now sent to the loop, which checks stopRequests.
func (f *flight) applyMigrationResult(result *migrationResult) {
	m := f.migration
	m.stopTimer()
	f.stopRequests.settle(m.sourceEngine, result)
	if result.source.Handle != "" {
		m.source, m.copied = result.source, result.copied
		m.keptUntil = clock.Now().Add(f.x.service.Engines.HandleTTL)
		if m.sourceEnd == nil {
			f.startTimer(stopTimeout, f.endStoppedCall)
		}
		f.resumeWhenStopped()
		return
	}
	f.endMigration()
	f.abortMigration(m.attempt, result.detail)
	switch {
	case m.sourceEnd == nil:
	case m.sourceEnd.reason == outcome.OK:
		f.requeue(flightEvent{attempt: f.decodeAttempt, ended: true, unframed: m.unframed})
	default:
		f.requeue(flightEvent{attempt: f.decodeAttempt, err: m.sourceEnd})
	}
}

// endStoppedCall closes the connection of the source engine's call, which has not ended although the engine has stopped the run.
func (f *flight) endStoppedCall() {
	f.stopDecode()
	f.migration.sourceEnd = &callError{reason: outcome.Truncated, ran: true, detail: "ended by the box after the run had stopped"}
	f.resumeWhenStopped()
}

// endMigration forgets the migration in progress.
func (f *flight) endMigration() {
	f.migration.stopTimer()
	f.migration = nil
}

// requeue sends the loop an event of the source engine's call that was withheld during a migration.
func (f *flight) requeue(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitAnswer starts a timer for the answer to the migration request, if the stream can do without it: it may be resumed, or
// has ended with its frame. After migrateAnswerTimeout the stream does without it.
func (f *flight) awaitAnswer() {
	if m := f.migration; !f.x.route.Resumable && !m.endedWhole() || m.source.Handle != "" {
		return
	}
	f.startTimer(migrateAnswerTimeout, f.resumeElsewhere)
}

// resumeElsewhere aborts a migration whose run has ended without an answer to the migration request. The stream is then
// prefilled again at another engine. If that is not possible, only the answer can resume the stream. The timer for the
// answer is then started again.
func (f *flight) resumeElsewhere() {
	m := f.migration
	if m.endedWhole() {
		f.endMigration()
		f.abortMigration(m.attempt, "its stream has ended, and the engine does not answer")
		f.requeue(flightEvent{attempt: f.decodeAttempt, ended: true})
		return
	}
	if !f.x.r.disp.CanResume(f.id) {
		f.awaitAnswer()
		return
	}
	f.endMigration()
	f.abortMigration(m.attempt, "its run has ended, and the engine does not answer")
	if m.sourceEnd.reason == outcome.OK {
		f.x.r.m.DoubtfulEnds.Inc()
		*m.sourceEnd = stoppedError()
	}
	f.handleFailure(f.decodeAttempt, *m.sourceEnd)
}

// stoppedError returns the failure of a call whose answer had no frame, and whose run may have been stopped when it ended.
func stoppedError() callError {
	return callError{reason: outcome.Truncated, ran: true, detail: "the answer had no length, and a migration request may have stopped the run"}
}

// startTimer starts the timer of the migration's present state.
func (f *flight) startTimer(delay time.Duration, expired func()) {
	f.migration.stopTimer()
	ctx, stop := context.WithCancel(f.ctx)
	t := &migrationTimer{expired, stop}
	f.migration.timer = t
	f.calls.Go(func() {
		if sleepCtx(ctx, delay); ctx.Err() == nil {
			f.send(flightEvent{timer: t})
		}
	})
}

// abortMigration ends a migration before any call that resumes the stream was made. It adds the reason to the request's
// trace, counts the abort, and tells the decision core.
func (f *flight) abortMigration(attempt decide.Attempt, why string) {
	f.x.r.m.AbortedMigrations.Inc()
	f.x.trace.Step(record.Step{Kind: record.StepMigrationAborted, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: attempt})
}

// resumeWhenStopped makes the call that resumes the stream, if the run is stopped and the source's call has ended. The
// call goes to the target engine. If the target cannot resume the stream, it goes to the source engine.
func (f *flight) resumeWhenStopped() {
	m := f.migration
	if m.source.Handle == "" || m.sourceEnd == nil || m.resumed {
		return
	}
	m.resumed = true
	f.callResume(f.mustResumeAtSource())
}

// mustResumeAtSource reports whether the stream cannot be resumed at the target engine. There are three reasons: the
// stream is quarantined, the target does not have the memory, or the target asked for a pause in requests.
func (f *flight) mustResumeAtSource() bool {
	_, quarantined := f.x.quarantined()
	return quarantined || !f.migration.copied || f.x.r.notices.IsPaused(f.migration.targetEngine, clock.Now())
}

// callResume has the stream resumed. If atSource is set, the source engine resumes it, and otherwise the target engine.
func (f *flight) callResume(atSource bool) {
	m := f.migration
	m.stopTimer()
	m.atSource = atSource
	engine := m.targetEngine
	if atSource {
		engine = m.sourceEngine
	}
	f.decodeAttempt, f.decodeEngine = m.attempt, engine
	f.startRun(engine)
	var ctx context.Context
	if atSource || m.bound { // The attempt is already bound to a context.
		ctx, f.stopDecode = context.WithCancel(f.ctx)
	} else {
		ctx, m.bound = f.bindDecode(m.attempt), true
	}
	a := decide.StartDecode{ID: f.id, Attempt: m.attempt, Decode: engine}
	run := Run{Instance: engine, Source: m.source, LastEvent: f.lastID}
	f.calls.Go(func() { f.callDecode(ctx, a, run) })
}

// handleResumeFailure handles the failure of a call that resumes the stream. If the target engine is not known to have
// accepted the run, the source engine is tried next. That is safe, because the handle can be used only once: if the
// target did accept the run, the source refuses the run. A run that the source refuses may be sent again after a pause.
// If no further try is possible, the migration ends, and the failure goes to the decision core.
func (f *flight) handleResumeFailure(e callError) {
	m := f.migration
	if !m.atSource && (!e.ran || e.connLoss.unanswered) {
		f.recordFailure(m.attempt, m.targetEngine, &e)
		f.stopDecode()
		f.callResume(true)
		return
	}
	if m.atSource && e.reason == outcome.EndpointRefused && f.canReoffer(reofferDelay) {
		f.recordFailure(m.attempt, m.sourceEngine, &e)
		f.stopDecode()
		m.refusal = &e
		f.awaitReoffer()
		return
	}
	f.failMigration(e)
}

// failMigration ends a migration whose stream no engine has resumed.
func (f *flight) failMigration(e callError) {
	m := f.migration
	f.x.r.m.AbortedMigrations.Inc()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Aborted: m.atSource})
	f.freeMigration()
	f.endMigration()
	f.handleFailure(f.decodeAttempt, e)
}

// canReoffer reports whether a stopped run that the source engine has refused may be sent again after a delay. The run's
// memory must still be stored then, and the limit for pauses must allow it.
func (f *flight) canReoffer(delay time.Duration) bool {
	m, now := f.migration, clock.Now()
	if f.ctx.Err() != nil || now.Add(delay).After(m.keptUntil) {
		return false
	}
	return !f.mustResumeAtSource() || !f.x.r.notices.IsPaused(m.sourceEngine, now) || m.pauseRetries < maxPauseRetries
}

// awaitReoffer sends the stopped run again after reofferDelay.
func (f *flight) awaitReoffer() { f.startTimer(reofferDelay, f.reoffer) }

// reoffer sends a stopped run again to the engines that store its memory. While the box has no retry left, reoffer is
// repeated until the memory expires: other boxes may lend retries, and used ones stop counting.
func (f *flight) reoffer() {
	m := f.migration
	atSource, retries := f.mustResumeAtSource(), 1
	if !atSource {
		retries = 2 // One for the target engine, and one for the source engine after it.
	}
	switch {
	case !f.canReoffer(0):
		f.failMigration(*m.refusal)
	case !f.x.r.disp.TakeRetries(retries):
		m.refusal.detail = "the box had no retry left for another call"
		f.awaitReoffer()
	default:
		if atSource && f.x.r.notices.IsPaused(m.sourceEngine, clock.Now()) {
			m.pauseRetries++
		}
		f.callResume(atSource)
	}
}

// finishMigration ends a migration when the call that resumes the stream has begun to answer. If the source engine
// resumed the stream, the migration counts as aborted.
func (f *flight) finishMigration() {
	m := f.migration
	f.endMigration()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Aborted: m.atSource})
	if m.atSource {
		f.x.r.m.AbortedMigrations.Inc()
		f.x.trace.Step(record.Step{Kind: record.StepMigrationAborted, Text: m.targetEngine + " did not take it"})
		return
	}
	f.x.r.m.CompletedMigrations.Inc()
	f.publishStreamEnded(false)
	f.x.trace.Step(record.Step{Kind: record.StepMigrated, Decode: f.decodeEngine, Build: f.x.r.fleet.buildOf(f.decodeEngine)})
}

// freeMigration starts to free the memory that the source engine stores for an unfinished migration, if there is any.
func (f *flight) freeMigration() {
	if f.migration != nil {
		(&migrationResult{source: f.migration.source}).drop(f.x.r)
		f.migration.source = Source{}
	}
}
