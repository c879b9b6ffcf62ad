package relay

import (
	"context"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file moves a stream that is being written to another engine. The engine that writes
// it stops, closes its answer without an end, and copies what it has in memory to the other
// one; the same request then goes on there after the last event that the caller has:
//
//	move asked ─► engine stops ─► its call ends ┐
//	                └► copied: a handle ────────┴► the next call goes on by the handle
//
// The two come in any order. Nothing runs at two engines at once: the next call is made only
// when the engine has said that the run is stopped, and its own call has ended. Until then
// the caller gets what the first engine made; afterwards nothing of its is passed on.

// migration is a move under way.
type migration struct {
	attempt decide.Attempt // Of the call that is to go on.
	from    string
	to      string
	// source is where the run's memory is, once the engine has stopped it; empty before.
	source Source
	// copied says that the other engine has the memory too.
	copied bool
	// sourceEnd is how the first engine's call ended; nil while it goes on. A whole answer has no
	// reason: whether that was its end is known only by the answer to the move.
	sourceEnd *callError
	// unframed says that the first engine's answer ended with its connection, as a stopped one does too.
	unframed bool
	// keptUntil is until when the engines keep the memory at least; zero before the run is stopped.
	keptUntil time.Time
	// resumed says that the next call was made, and atSource that it was made to the first engine. bound says that
	// the attempt is bound to a call.
	resumed, atSource, bound bool
	// rested counts the calls that were made to an engine at rest.
	rested int
}

// is tells whether an attempt is that of the move; of no move none is.
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// migrationResult is what became of a move.
type migrationResult struct {
	source Source // Empty where the engine named no memory.
	copied bool
	// unanswered says that no answer came: the run may have been stopped or not.
	unanswered bool
	// detail is why the stream was not moved, for the record.
	detail string
}

// drop frees what an engine keeps for a move that nobody needs any more.
func (m *migrationResult) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Engine, m.source.Address, r.wire.DropHandle(m.source.Handle))
	}
}

const (
	// migrateTries is how often a move is asked for whose connection ends without an answer.
	migrateTries = 2
	// migratePollInterval paces the questions to an engine that says that the move is under way already.
	migratePollInterval = 100 * time.Millisecond
	// stopTimeout is how long the call of a run that was stopped may take to end.
	stopTimeout = 250 * time.Millisecond
	// reofferDelay is the pause before a stopped run is offered again to engines that turned it away: they keep
	// its memory, and streams end several times a second on a busy engine.
	reofferDelay = 100 * time.Millisecond
	// restCalls is how often a stopped run is offered to an engine at rest that keeps it: nobody else can go on
	// with it, and its request came before the rest.
	restCalls = 2
	// migrateAnswerTimeout is how long the answer to a move is waited for once the run has ended, before a stream
	// that may be resumed is read anew elsewhere: callers give up one that pauses for some seconds.
	migrateAnswerTimeout = 2 * time.Second
)

// migrate asks the engine that writes to give the stream away. A quarantined stream stays: it may be sent
// to no other engine, and ending it here would take from the caller an answer that is under way.
func (f *flight) migrate(a decide.Migrate) {
	if o, yes := f.x.quarantined(); yes {
		f.abortMigration(a.Attempt, o.Reason.Sentence())
		return
	}
	f.migration = &migration{attempt: a.Attempt, from: a.From, to: a.To}
	f.calls.Go(func() { f.callMigrate(a) })
}

// callMigrate reports what the engine answers. An engine stops the run before it copies the memory, so a
// late answer does not mean that the run goes on, and only the answer names the memory. It is waited for
// as long as the caller waits, and then for as long as the engine keeps the memory.
func (f *flight) callMigrate(a decide.Migrate) {
	kept := f.x.service.Engines.HandleFor
	limit := f.x.left() + kept
	ctx, cancel := linger(f.ctx, kept)
	defer cancel()
	address := f.x.r.disp.Address(a.From)
	call := f.x.r.wire.Migrate(f.x.meta.ID, f.x.r.disp.Address(a.To))
	out := &migrationResult{unanswered: true}
	for lost := 0; lost < migrateTries && ctx.Err() == nil; {
		resp, body, err := f.x.r.sidePool.Call(ctx, limit, sideRequest(a.From, address, call), maxSideAnswer)
		var answer Migration
		if err == nil {
			answer, err = f.x.r.wire.Migrated(resp.StatusCode, body)
		}
		if err != nil {
			out.detail = err.Error()
			lost++
			continue
		}
		out.detail = "the engine answered " + resp.Status
		if answer.UnderWay {
			sleepCtx(ctx, migratePollInterval)
			continue
		}
		out.unanswered = false
		if answer.Handle != "" {
			out.source, out.copied = Source{Engine: a.From, Address: address, Handle: answer.Handle}, answer.Copied
		}
		break
	}
	f.send(flightEvent{attempt: a.Attempt, moved: out})
}

// sleepCtx returns after a time, or when ctx ends.
func sleepCtx(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// handleMigrationEvent takes what a move waits for, and returns whether that was all about the event.
func (f *flight) handleMigrationEvent(ev flightEvent) bool {
	m := f.migration
	switch {
	case ev.moved != nil:
		f.applyMigrationResult(ev.moved)
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

// applyMigrationResult takes the engine's answer. Where it did not stop the run the stream goes on, or
// has ended by itself.
func (f *flight) applyMigrationResult(ev *migrationResult) {
	m := f.migration
	if ev.source.Handle != "" {
		m.source, m.copied = ev.source, ev.copied
		m.keptUntil = clock.Now().Add(f.x.service.Engines.HandleFor)
		if m.sourceEnd == nil {
			attempt := m.attempt // The loop may have ended the move by then.
			f.calls.Go(func() { f.awaitStop(attempt) })
		}
		f.resumeWhenStopped()
		return
	}
	f.migration = nil
	f.abortMigration(m.attempt, ev.detail)
	switch {
	case m.sourceEnd == nil:
	case m.sourceEnd.reason == outcome.OK && m.unframed && ev.unanswered:
		f.requeue(flightEvent{attempt: f.decodeAttempt, err: &callError{
			reason: outcome.Truncated, ran: true, detail: "the answer had no length, and the run may have been stopped",
		}})
	case m.sourceEnd.reason == outcome.OK:
		f.requeue(flightEvent{attempt: f.decodeAttempt, ended: true})
	default:
		f.requeue(flightEvent{attempt: f.decodeAttempt, err: m.sourceEnd})
	}
}

// requeue has the loop take an event that was held back during a move.
func (f *flight) requeue(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitAnswer reports when the move of a stream that may be resumed should have been answered.
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

// resumeElsewhere ends a move whose run has ended without an answer, and has the stream read anew. Where
// that is not possible the answer is all that there is, and is waited for.
func (f *flight) resumeElsewhere() {
	m := f.migration
	if m.source.Handle != "" {
		return
	}
	if !f.x.r.disp.MayResume(f.id) {
		f.awaitAnswer()
		return
	}
	f.migration = nil
	f.abortMigration(m.attempt, "its run has ended, and the engine does not answer")
	f.handleFailure(f.decodeAttempt, *m.sourceEnd)
}

// awaitStop reports when the call of the run that was stopped should have ended.
func (f *flight) awaitStop(attempt decide.Attempt) {
	sleepCtx(f.ctx, stopTimeout)
	f.send(flightEvent{attempt: attempt, overdue: true})
}

// abortMigration ends a move for which no other call was made.
func (f *flight) abortMigration(move decide.Attempt, why string) {
	f.x.r.m.MigratedNot.Inc()
	f.x.acc.Step(record.Step{Kind: record.StepStayed, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: move})
}

// resumeWhenStopped makes the next call as soon as the run is stopped and its call has ended. One that was quarantined
// meanwhile, or whose second engine asked for rest, goes on where it was.
func (f *flight) resumeWhenStopped() {
	m := f.migration
	if m.source.Handle == "" || m.sourceEnd == nil || m.resumed {
		return
	}
	m.resumed = true
	f.callResume(f.mustResumeAtSource(), 0)
}

// mustResumeAtSource says that the engine which a stream was to be moved to cannot go on with it.
func (f *flight) mustResumeAtSource() bool {
	_, quarantined := f.x.quarantined()
	return quarantined || !f.migration.copied || f.x.r.notices.Rests(f.migration.to, clock.Now())
}

// callResume calls the other engine or, back, the first one, which keeps the memory, after a pause.
func (f *flight) callResume(atSource bool, delay time.Duration) {
	m := f.migration
	m.atSource = atSource
	engine := m.to
	if atSource {
		engine = m.from
	}
	f.decodeAttempt, f.decodeEngine = m.attempt, engine
	var ctx context.Context
	if atSource || m.bound { // The attempt is bound already: it goes on.
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

// handleResumeFailure tries the first engine where the other one is not known to have taken the run: the handle
// serves once, so it is not run there if the other engine did take it.
func (f *flight) handleResumeFailure(e callError) {
	m := f.migration
	if !m.atSource && (!e.ran || e.connLoss.unanswered) {
		f.recordFailure(m.attempt, m.to, &e)
		f.stopDecode()
		f.callResume(true, 0)
		return
	}
	if m.atSource && e.reason == outcome.EndpointRefused && f.mayOffer() {
		f.recordFailure(m.attempt, m.from, &e)
		f.stopDecode()
		f.callResume(f.mustResumeAtSource(), reofferDelay)
		return
	}
	f.x.r.m.MigratedNot.Inc()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Stayed: m.atSource})
	f.dropMigration()
	f.migration = nil
	f.handleFailure(f.decodeAttempt, e)
}

// mayOffer says whether a stopped run that its engine turned away may be offered again: while its memory is kept,
// and as far as a rest and the retries allow.
func (f *flight) mayOffer() bool {
	m, now := f.migration, clock.Now()
	if f.ctx.Err() != nil || now.Add(reofferDelay).After(m.keptUntil) {
		return false
	}
	if !f.mustResumeAtSource() {
		return f.x.r.disp.TakeRetries(2) // The other engine's, and the first one's after it.
	}
	if f.x.r.notices.Rests(m.from, now) {
		if m.rested++; m.rested > restCalls {
			return false
		}
	}
	return f.x.r.disp.TakeRetries(1)
}

// finishMigration ends a move whose next call has begun to answer.
func (f *flight) finishMigration() {
	m := f.migration
	f.migration = nil
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Stayed: m.atSource})
	if m.atSource {
		f.x.r.m.MigratedNot.Inc()
		f.x.acc.Step(record.Step{Kind: record.StepStayed, Text: m.to + " did not take it"})
		return
	}
	f.x.r.m.Migrated.Inc()
	f.publishEnded(m.from)
	f.x.acc.Step(record.Step{Kind: record.StepMigrated, Decode: f.decodeEngine})
}

// dropMigration frees what engines keep for a move that did not come to its end.
func (f *flight) dropMigration() {
	if f.migration != nil {
		(&migrationResult{source: f.migration.source}).drop(f.x.r)
		f.migration.source = Source{}
	}
}
