package relay

import (
	"context"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file migrates a running stream from one engine, the source, to another, the target. The source stops the run,
// closes its answer without an end marker, and copies the run's memory to the target. The box then sends the same
// request to the target, which resumes the stream after the last event that the caller has received:
//
//	migration requested ─► engine stops ─► its call ends ┐
//	                         └► copied: a handle ────────┴► the next call resumes with the handle
//
// The end of the source's call and the copy may come in either order. A stream never runs at two engines at once: the
// next call is made only when the source has reported that the run is stopped, and the source's call has ended. Until
// then the caller gets the events of the source; after that none of them are passed on.

// migration is a migration in progress.
type migration struct {
	attempt      decide.Attempt // The attempt number of the call that resumes the stream.
	sourceEngine string         // The engine that runs the stream.
	targetEngine string         // The engine that is to resume the stream.
	// source is the stopped run's memory at the source engine; empty until that engine has reported the stop.
	source Source
	// copied is set if the target engine has the memory too.
	copied bool
	// sourceEnd is how the call to the source engine ended; nil while the call runs. Its reason is OK if the answer was
	// complete. Such an answer may be that of a stopped run: only the answer to the migration request tells whether it
	// was the end of the stream.
	sourceEnd *callError
	// unframed is set if only the close of the connection ended the source engine's answer. The answer of a stopped run
	// may end in the same way.
	unframed bool
	// keptUntil is the time until which the engines store the memory at least; zero before the run is stopped.
	keptUntil time.Time
	// resumed is set once a call was made that resumes the stream. atSource is set if the last call of this kind was
	// made to the source engine, and not to the target. bound is set once bindDecode has bound the attempt to a
	// context.
	resumed, atSource, bound bool
	// pauseRetries counts the calls made to the source engine after it had asked for a pause in requests.
	pauseRetries int
}

// is reports whether an attempt is the one that resumes the stream. It is false if there is no migration (m is nil).
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// migrationResult is the result of a migration request.
type migrationResult struct {
	source Source // The memory of the stopped run; empty if the run was not stopped.
	copied bool   // The target engine has the memory too.
	// unanswered is set if the request was not answered. The run may or may not have been stopped then.
	unanswered bool
	// detail says, for the request's record, why the stream was not migrated.
	detail string
}

// drop frees the run's memory that the result names, if any; the call that frees it is not waited for.
func (m *migrationResult) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Engine, m.source.Address, r.protocol.ReleaseHandle(m.source.Handle))
	}
}

const (
	// migrateTries is how often a migration request is sent if the connection ends without an answer.
	migrateTries = 2
	// migratePollInterval is the pause before a migration request is repeated that the engine is still working on.
	migratePollInterval = 100 * time.Millisecond
	// stopTimeout is how long the call of a stopped run may take to end, before the box closes its connection.
	stopTimeout = 250 * time.Millisecond
	// reofferDelay is the pause before a stopped run is offered again to the engines that store its memory and have
	// refused it. They may accept it soon, because streams end several times a second on a busy engine.
	reofferDelay = 100 * time.Millisecond
	// maxPauseRetries is how often a stopped run is offered to an engine that stores its memory and asked for a pause
	// in requests. No other engine can resume the run, and the engine accepted its request before it asked for the
	// pause.
	maxPauseRetries = 2
	// migrateAnswerTimeout is how long the answer to a migration request is waited for after the run has ended. Then a
	// resumable stream is prefilled again at another engine: callers abandon a stream that pauses for some seconds.
	migrateAnswerTimeout = 2 * time.Second
)

// migrate asks the engine that runs the stream to migrate it. A quarantined stream is not migrated, because it must not
// be sent to another engine. It continues where it runs: ending it would take a running answer from the caller.
func (f *flight) migrate(a decide.Migrate) {
	if o, yes := f.x.quarantined(); yes {
		f.abortMigration(a.Attempt, o.Reason.Sentence())
		return
	}
	f.migration = &migration{attempt: a.Attempt, sourceEngine: a.From, targetEngine: a.To}
	f.calls.Go(func() { f.callMigrate(a) })
}

// callMigrate sends a migration request, and reports the engine's answer. An engine stops the run before it copies the
// memory, so a late answer does not mean that the run continues, and only the answer names the memory. callMigrate
// therefore waits until the caller's deadline, and in addition for as long as the engine stores the memory.
func (f *flight) callMigrate(a decide.Migrate) {
	gracePeriod := f.x.service.Engines.HandleTTL
	limit := f.x.timeLeft() + gracePeriod
	ctx, cancel := withGracePeriod(f.ctx, gracePeriod)
	defer cancel()
	address := f.x.r.disp.Address(a.From)
	call := f.x.r.protocol.Migrate(f.x.meta.ID, f.x.r.disp.Address(a.To))
	out := &migrationResult{unanswered: true}
	for lost := 0; lost < migrateTries && ctx.Err() == nil; {
		resp, body, err := f.x.r.controlPool.DoShort(ctx, limit, controlRequest(a.From, address, call), maxControlAnswer)
		var answer Migration
		if err == nil {
			answer, err = f.x.r.protocol.ParseMigration(resp.StatusCode, body)
		}
		if err != nil {
			out.detail = err.Error()
			lost++
			continue
		}
		out.detail = "the engine answered " + resp.Status
		if answer.InProgress {
			sleepCtx(ctx, migratePollInterval)
			continue
		}
		out.unanswered = false
		if answer.Handle != "" {
			out.source, out.copied = Source{Engine: a.From, Address: address, Handle: answer.Handle}, answer.Copied
		}
		break
	}
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

// handleMigrationEvent handles an event that concerns a migration. It returns false for an event that does not.
func (f *flight) handleMigrationEvent(ev flightEvent) bool {
	m := f.migration
	switch {
	case ev.migrated != nil:
		f.applyMigrationResult(ev.migrated)
	case ev.overdue:
		if !m.resumed {
			f.stopDecode()
			m.sourceEnd = &callError{reason: outcome.Truncated, ran: true, detail: "ended by the box after the run had stopped"}
			f.resumeWhenStopped()
		}
	case ev.unanswered:
		f.resumeElsewhere()
	case ev.err != nil && m.is(ev.attempt):
		f.handleResumeFailure(*ev.err)
	case ev.err != nil:
		m.sourceEnd = ev.err
		f.awaitAnswer()
		f.resumeWhenStopped()
	case ev.ended && !m.is(ev.attempt):
		m.sourceEnd, m.unframed = &callError{}, ev.unframed
		f.resumeWhenStopped()
	default:
		return false
	}
	return true
}

// applyMigrationResult applies the answer to the migration request. If the engine did not stop the run, the migration
// ends; the stream then continues, or has already ended.
func (f *flight) applyMigrationResult(result *migrationResult) {
	m := f.migration
	if result.source.Handle != "" {
		m.source, m.copied = result.source, result.copied
		m.keptUntil = clock.Now().Add(f.x.service.Engines.HandleTTL)
		if m.sourceEnd == nil {
			attempt := m.attempt // The migration may be over when the goroutine starts.
			f.calls.Go(func() { f.awaitStop(attempt) })
		}
		f.resumeWhenStopped()
		return
	}
	f.migration = nil
	f.abortMigration(m.attempt, result.detail)
	switch {
	case m.sourceEnd == nil:
	case m.sourceEnd.reason == outcome.OK && m.unframed && result.unanswered:
		f.requeue(flightEvent{attempt: f.decodeAttempt, err: &callError{
			reason: outcome.Truncated, ran: true, detail: "the answer had no length, and the run may have been stopped",
		}})
	case m.sourceEnd.reason == outcome.OK:
		f.requeue(flightEvent{attempt: f.decodeAttempt, ended: true})
	default:
		f.requeue(flightEvent{attempt: f.decodeAttempt, err: m.sourceEnd})
	}
}

// requeue sends the loop an event of the source engine's call that was withheld during a migration.
func (f *flight) requeue(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitAnswer has the loop told if the migration request of a resumable stream is not answered in time.
func (f *flight) awaitAnswer() {
	if !f.x.route.Resumable || f.migration.source.Handle != "" {
		return
	}
	attempt := f.migration.attempt
	f.calls.Go(func() {
		sleepCtx(f.ctx, migrateAnswerTimeout)
		f.send(flightEvent{attempt: attempt, unanswered: true})
	})
}

// resumeElsewhere aborts a migration whose run has ended and whose request was not answered, and has the stream
// prefilled again at another engine. If that is not possible, only the answer can resume the stream, and is waited for
// again.
func (f *flight) resumeElsewhere() {
	m := f.migration
	if m.source.Handle != "" {
		return
	}
	if !f.x.r.disp.CanResume(f.id) {
		f.awaitAnswer()
		return
	}
	f.migration = nil
	f.abortMigration(m.attempt, "its run has ended, and the engine does not answer")
	f.handleFailure(f.decodeAttempt, *m.sourceEnd)
}

// awaitStop tells the loop if the call of a stopped run has not ended in time.
func (f *flight) awaitStop(attempt decide.Attempt) {
	sleepCtx(f.ctx, stopTimeout)
	f.send(flightEvent{attempt: attempt, overdue: true})
}

// abortMigration records, with the reason, that a migration ended before a call that resumes the stream was made.
func (f *flight) abortMigration(attempt decide.Attempt, why string) {
	f.x.r.m.AbortedMigrations.Inc()
	f.x.trace.Step(record.Step{Kind: record.StepMigrationAborted, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: attempt})
}

// resumeWhenStopped makes the call that resumes the stream, once the run is stopped and its call has ended. The call
// goes to the target engine, or to the source engine if the target cannot resume the stream.
func (f *flight) resumeWhenStopped() {
	m := f.migration
	if m.source.Handle == "" || m.sourceEnd == nil || m.resumed {
		return
	}
	m.resumed = true
	f.callResume(f.mustResumeAtSource(), 0)
}

// mustResumeAtSource reports whether the stream cannot be resumed at the target engine: the stream was quarantined
// meanwhile, the target does not have the memory, or it asked for a pause in requests.
func (f *flight) mustResumeAtSource() bool {
	_, quarantined := f.x.quarantined()
	return quarantined || !f.migration.copied || f.x.r.notices.IsPaused(f.migration.targetEngine, clock.Now())
}

// callResume has the stream resumed, after a delay, at the source engine if atSource is set, and else at the target.
func (f *flight) callResume(atSource bool, delay time.Duration) {
	m := f.migration
	m.atSource = atSource
	engine := m.targetEngine
	if atSource {
		engine = m.sourceEngine
	}
	f.decodeAttempt, f.decodeEngine = m.attempt, engine
	var ctx context.Context
	if atSource || m.bound { // The attempt is already bound to a context.
		ctx, f.stopDecode = context.WithCancel(f.ctx)
	} else {
		ctx, m.bound = f.bindDecode(m.attempt), true
	}
	a := decide.StartDecode{ID: f.id, Attempt: m.attempt, Decode: engine}
	run := Run{Instance: engine, Source: m.source, LastEvent: f.lastID}
	f.calls.Go(func() {
		sleepCtx(ctx, delay)
		f.callDecode(ctx, a, run)
	})
}

// handleResumeFailure handles the failure of a call that resumes the stream. If the target engine is not known to have
// accepted the run, the source engine is tried next. That is safe, because the handle can be used only once: if the
// target did accept the run, the source refuses it. A run that its source refuses may be offered again after a pause.
func (f *flight) handleResumeFailure(e callError) {
	m := f.migration
	if !m.atSource && (!e.ran || e.connLoss.unanswered) {
		f.recordFailure(m.attempt, m.targetEngine, &e)
		f.stopDecode()
		f.callResume(true, 0)
		return
	}
	if m.atSource && e.reason == outcome.EndpointRefused && f.canReoffer() {
		f.recordFailure(m.attempt, m.sourceEngine, &e)
		f.stopDecode()
		f.callResume(f.mustResumeAtSource(), reofferDelay)
		return
	}
	f.x.r.m.AbortedMigrations.Inc()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Aborted: m.atSource})
	f.freeMigration()
	f.migration = nil
	f.handleFailure(f.decodeAttempt, e)
}

// canReoffer reports whether a stopped run that the source engine has refused may be offered again. It may while the
// run's memory is stored, and within the limits for pauses and retries.
func (f *flight) canReoffer() bool {
	m, now := f.migration, clock.Now()
	if f.ctx.Err() != nil || now.Add(reofferDelay).After(m.keptUntil) {
		return false
	}
	if !f.mustResumeAtSource() {
		return f.x.r.disp.TakeRetries(2) // One retry for the target engine, and one for the source engine after it.
	}
	if f.x.r.notices.IsPaused(m.sourceEngine, now) {
		if m.pauseRetries++; m.pauseRetries > maxPauseRetries {
			return false
		}
	}
	return f.x.r.disp.TakeRetries(1)
}

// finishMigration ends a migration whose stream has been resumed: the resuming call has begun to answer.
func (f *flight) finishMigration() {
	m := f.migration
	f.migration = nil
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Aborted: m.atSource})
	if m.atSource {
		f.x.r.m.AbortedMigrations.Inc()
		f.x.trace.Step(record.Step{Kind: record.StepMigrationAborted, Text: m.targetEngine + " did not take it"})
		return
	}
	f.x.r.m.CompletedMigrations.Inc()
	f.publishStreamEnded(m.sourceEngine)
	f.x.trace.Step(record.Step{Kind: record.StepMigrated, Decode: f.decodeEngine})
}

// freeMigration frees the memory that the source engine stores for an unfinished migration, if any.
func (f *flight) freeMigration() {
	if f.migration != nil {
		(&migrationResult{source: f.migration.source}).drop(f.x.r)
		f.migration.source = Source{}
	}
}
