package relay

import (
	"context"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file migrates a running stream to another engine. The engine that runs it stops the run, closes its answer
// without an end marker, and copies the run's memory to the other one; the same request is then resumed there after
// the last event that the caller has received:
//
//	migration requested ─► engine stops ─► its call ends ┐
//	                         └► copied: a handle ────────┴► the next call resumes with the handle
//
// Both may happen in either order. A stream never runs at two engines at once: the next call is made only when the
// engine has reported that the run is stopped, and its own call has ended. Until then the caller gets the events of
// the first engine; after that none of them are passed on.

// migration is a migration in progress.
type migration struct {
	attempt      decide.Attempt // Of the call that resumes the stream.
	sourceEngine string         // The engine that runs the stream.
	targetEngine string         // The engine that is to resume the stream.
	// source is where the run's memory is, once the engine has stopped it; empty before.
	source Source
	// copied is set if the other engine has the memory too.
	copied bool
	// sourceEnd is how the first engine's call ended; nil while it runs. A complete answer has no reason: only the
	// answer to the migration request tells whether that was the end of the stream.
	sourceEnd *callError
	// unframed is set if the close of the connection ended the first engine's answer, which also happens to a stopped
	// run.
	unframed bool
	// keptUntil is the earliest time at which the engines may free the memory; zero before the run is stopped.
	keptUntil time.Time
	// resumed is set once the next call was made, and atSource if it was made to the first engine. bound is set once
	// the attempt is bound to a call.
	resumed, atSource, bound bool
	// pauseRetries counts the calls that were made to an engine that had asked for a pause.
	pauseRetries int
}

// is reports whether an attempt is that of the migration; false for a nil migration.
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// migrationResult is the result of a migration request.
type migrationResult struct {
	source Source // Empty if the engine named no memory.
	copied bool
	// unanswered is set if no answer was received; the run may or may not have been stopped.
	unanswered bool
	// detail is the reason why the stream was not migrated, for the record.
	detail string
}

// drop frees the memory that an engine stores for a migration and that is not needed any more.
func (m *migrationResult) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Engine, m.source.Address, r.protocol.ReleaseHandle(m.source.Handle))
	}
}

const (
	// migrateTries is the number of migration requests sent while the connection ends without an answer.
	migrateTries = 2
	// migratePollInterval is the pause before a request is repeated whose engine answered that it is in progress.
	migratePollInterval = 100 * time.Millisecond
	// stopTimeout is how long the call of a stopped run may take to end.
	stopTimeout = 250 * time.Millisecond
	// reofferDelay is the pause before a stopped run is offered again to the engines that refused it: they store its
	// memory, and streams end several times a second on a busy engine.
	reofferDelay = 100 * time.Millisecond
	// maxPauseRetries is how often a stopped run is offered to an engine that asked for a pause and stores its
	// memory: no other engine can resume it, and its request came before the pause.
	maxPauseRetries = 2
	// migrateAnswerTimeout is how long the answer to a migration request is waited for once the run has ended, before a
	// resumable stream is prefilled again elsewhere: callers abandon a stream that pauses for some seconds.
	migrateAnswerTimeout = 2 * time.Second
)

// migrate asks the engine that runs the stream to migrate it. A quarantined stream is not migrated: it may not be
// sent to another engine, and ending it would take a running answer from the caller.
func (f *flight) migrate(a decide.Migrate) {
	if o, yes := f.x.quarantined(); yes {
		f.abortMigration(a.Attempt, o.Reason.Sentence())
		return
	}
	f.migration = &migration{attempt: a.Attempt, sourceEngine: a.From, targetEngine: a.To}
	f.calls.Go(func() { f.callMigrate(a) })
}

// callMigrate reports the engine's answer to a migration request. An engine stops the run before it copies the
// memory, so a late answer does not mean that the run continues, and only the answer names the memory. The call
// therefore lasts until the caller's deadline, plus the time for which the engine keeps the memory.
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

// handleMigrationEvent handles the events that concern a migration, and reports whether the event was one of them.
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

// applyMigrationResult applies the engine's answer. If the engine did not stop the run, the stream continues or has
// already ended.
func (f *flight) applyMigrationResult(result *migrationResult) {
	m := f.migration
	if result.source.Handle != "" {
		m.source, m.copied = result.source, result.copied
		m.keptUntil = clock.Now().Add(f.x.service.Engines.HandleTTL)
		if m.sourceEnd == nil {
			attempt := m.attempt // The loop may have ended the migration by then.
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

// requeue sends an event to the loop that was withheld during a migration.
func (f *flight) requeue(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitAnswer reports if the migration request of a resumable stream is not answered in time.
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

// resumeElsewhere aborts a migration whose run has ended and whose request is unanswered, and has the stream
// prefilled again. If that is not possible, only the answer can resume the stream, and is waited for.
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

// awaitStop reports if the call of the stopped run does not end in time.
func (f *flight) awaitStop(attempt decide.Attempt) {
	sleepCtx(f.ctx, stopTimeout)
	f.send(flightEvent{attempt: attempt, overdue: true})
}

// abortMigration ends a migration before its next call was made.
func (f *flight) abortMigration(attempt decide.Attempt, why string) {
	f.x.r.m.AbortedMigrations.Inc()
	f.x.trace.Step(record.Step{Kind: record.StepMigrationAborted, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: attempt})
}

// resumeWhenStopped makes the next call once the run is stopped and its call has ended. It resumes at the source a
// stream that was quarantined meanwhile, or whose other engine asked for a pause.
func (f *flight) resumeWhenStopped() {
	m := f.migration
	if m.source.Handle == "" || m.sourceEnd == nil || m.resumed {
		return
	}
	m.resumed = true
	f.callResume(f.mustResumeAtSource(), 0)
}

// mustResumeAtSource reports whether the target of the migration cannot resume the stream.
func (f *flight) mustResumeAtSource() bool {
	_, quarantined := f.x.quarantined()
	return quarantined || !f.migration.copied || f.x.r.notices.IsPaused(f.migration.targetEngine, clock.Now())
}

// callResume calls the target or, if atSource, the first engine, which keeps the memory, after a delay.
func (f *flight) callResume(atSource bool, delay time.Duration) {
	m := f.migration
	m.atSource = atSource
	engine := m.targetEngine
	if atSource {
		engine = m.sourceEngine
	}
	f.decodeAttempt, f.decodeEngine = m.attempt, engine
	var ctx context.Context
	if atSource || m.bound { // The attempt is already bound and continues.
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

// handleResumeFailure tries the first engine if the target is not known to have accepted the run: the handle can be
// used only once, so the first engine refuses the run if the target did accept it.
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

// canReoffer reports whether a stopped run that its engine refused may be offered again: while its memory is kept, and
// within the limits for pauses and retries.
func (f *flight) canReoffer() bool {
	m, now := f.migration, clock.Now()
	if f.ctx.Err() != nil || now.Add(reofferDelay).After(m.keptUntil) {
		return false
	}
	if !f.mustResumeAtSource() {
		return f.x.r.disp.TakeRetries(2) // One for the target, and one for the first engine after it.
	}
	if f.x.r.notices.IsPaused(m.sourceEngine, now) {
		if m.pauseRetries++; m.pauseRetries > maxPauseRetries {
			return false
		}
	}
	return f.x.r.disp.TakeRetries(1)
}

// finishMigration ends a migration whose next call has begun to answer.
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

// freeMigration frees the memory that engines store for an unfinished migration.
func (f *flight) freeMigration() {
	if f.migration != nil {
		(&migrationResult{source: f.migration.source}).drop(f.x.r)
		f.migration.source = Source{}
	}
}
