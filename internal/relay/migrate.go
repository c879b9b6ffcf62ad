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
	// old is how the first engine's call ended; nil while it goes on. A whole answer has no
	// reason: whether that was its end is known only by the answer to the move.
	old *callError
	// unframed says that the first engine's answer ended with its connection, as a stopped one does too.
	unframed bool
	// keptUntil is until when the engines keep the memory at least; zero before the run is stopped.
	keptUntil time.Time
	// going says that the next call was made, and back that it was made to the first engine. bound says that
	// the attempt is bound to a call.
	going, back, bound bool
	// rested counts the calls that were made to an engine at rest.
	rested int
}

// is tells whether an attempt is that of the move; of no move none is.
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// moved is what became of a move.
type moved struct {
	source Source // Empty where the engine named no memory.
	copied bool
	// unanswered says that no answer came: the run may have been stopped or not.
	unanswered bool
	// said is why the stream was not moved, for the record.
	said string
}

// drop frees what an engine keeps for a move that nobody needs any more.
func (m *moved) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Engine, m.source.Address, r.wire.DropHandle(m.source.Handle))
	}
}

const (
	// moveTries is how often a move is asked for whose connection ends without an answer.
	moveTries = 2
	// moveAgain paces the questions to an engine that says that the move is under way already.
	moveAgain = 100 * time.Millisecond
	// stopTime is how long the call of a run that was stopped may take to end.
	stopTime = 250 * time.Millisecond
	// offerAgain is the pause before a stopped run is offered again to engines that turned it away: they keep
	// its memory, and streams end several times a second on a busy engine.
	offerAgain = 100 * time.Millisecond
	// restCalls is how often a stopped run is offered to an engine at rest that keeps it: nobody else can go on
	// with it, and its request came before the rest.
	restCalls = 2
	// resumeAfter is how long the answer to a move is waited for once the run has ended, before a stream
	// that may be resumed is read anew elsewhere: callers give up one that pauses for some seconds.
	resumeAfter = 2 * time.Second
)

// migrate asks the engine that writes to give the stream away. A quarantined stream stays: it may be sent
// to no other engine, and ending it here would take from the caller an answer that is under way.
func (f *flight) migrate(a decide.Migrate) {
	if o, yes := f.x.quarantined(); yes {
		f.abortMigration(a.Attempt, o.Reason.Sentence())
		return
	}
	f.moving = &migration{attempt: a.Attempt, from: a.From, to: a.To}
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
	call := f.x.r.wire.Migrate(f.x.ask.ID, f.x.r.disp.Address(a.To))
	out := &moved{unanswered: true}
	for lost := 0; lost < moveTries && ctx.Err() == nil; {
		resp, body, err := f.x.r.side.Call(ctx, limit, sideRequest(a.From, address, call), sideAnswer)
		var answer Migration
		if err == nil {
			answer, err = f.x.r.wire.Migrated(resp.StatusCode, body)
		}
		if err != nil {
			out.said = err.Error()
			lost++
			continue
		}
		out.said = "the engine answered " + resp.Status
		if answer.UnderWay {
			pause(ctx, moveAgain)
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

// pause returns after a time, or when ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// whileMoving takes what a move waits for, and returns whether that was all about the event.
func (f *flight) whileMoving(ev flightEvent) bool {
	m := f.moving
	switch {
	case ev.moved != nil:
		f.takeMoved(ev.moved)
	case ev.overdue:
		if !m.going {
			f.stopWrite()
			m.old = &callError{reason: outcome.Truncated, ran: true, detail: "ended by the box after the run had stopped"}
			f.goOn()
		}
	case ev.unanswered:
		f.resumeElsewhere()
	case ev.err != nil && m.is(ev.attempt):
		f.nextFailed(*ev.err)
	case ev.err != nil:
		m.old = ev.err
		f.awaitAnswer()
		f.goOn()
	case ev.ended && !m.is(ev.attempt):
		m.old, m.unframed = &callError{}, ev.unframed
		f.goOn()
	default:
		return false
	}
	return true
}

// takeMoved takes the engine's answer. Where it did not stop the run the stream goes on, or
// has ended by itself.
func (f *flight) takeMoved(ev *moved) {
	m := f.moving
	if ev.source.Handle != "" {
		m.source, m.copied = ev.source, ev.copied
		m.keptUntil = clock.Now().Add(f.x.service.Engines.HandleFor)
		if m.old == nil {
			attempt := m.attempt // The loop may have ended the move by then.
			f.calls.Go(func() { f.awaitStop(attempt) })
		}
		f.goOn()
		return
	}
	f.moving = nil
	f.abortMigration(m.attempt, ev.said)
	switch {
	case m.old == nil:
	case m.old.reason == outcome.OK && m.unframed && ev.unanswered:
		f.again(flightEvent{attempt: f.write, err: &callError{
			reason: outcome.Truncated, ran: true, detail: "the answer had no length, and the run may have been stopped",
		}})
	case m.old.reason == outcome.OK:
		f.again(flightEvent{attempt: f.write, ended: true})
	default:
		f.again(flightEvent{attempt: f.write, err: m.old})
	}
}

// again has the loop take an event that was held back during a move.
func (f *flight) again(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitAnswer reports when the move of a stream that may be resumed should have been answered.
func (f *flight) awaitAnswer() {
	if !f.x.route.Resumable || f.moving.source.Handle != "" {
		return
	}
	attempt := f.moving.attempt
	f.calls.Go(func() {
		pause(f.ctx, resumeAfter)
		f.send(flightEvent{attempt: attempt, unanswered: true})
	})
}

// resumeElsewhere ends a move whose run has ended without an answer, and has the stream read anew. Where
// that is not possible the answer is all that there is, and is waited for.
func (f *flight) resumeElsewhere() {
	m := f.moving
	if m.source.Handle != "" {
		return
	}
	if !f.x.r.disp.MayResume(f.id) {
		f.awaitAnswer()
		return
	}
	f.moving = nil
	f.abortMigration(m.attempt, "its run has ended, and the engine does not answer")
	f.failed(f.write, *m.old)
}

// awaitStop reports when the call of the run that was stopped should have ended.
func (f *flight) awaitStop(attempt decide.Attempt) {
	pause(f.ctx, stopTime)
	f.send(flightEvent{attempt: attempt, overdue: true})
}

// abortMigration ends a move for which no other call was made.
func (f *flight) abortMigration(move decide.Attempt, why string) {
	f.x.r.m.MigratedNot.Inc()
	f.x.acc.Step(record.Step{Kind: record.StepStayed, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: move})
}

// goOn makes the next call as soon as the run is stopped and its call has ended. One that was quarantined
// meanwhile, or whose second engine asked for rest, goes on where it was.
func (f *flight) goOn() {
	m := f.moving
	if m.source.Handle == "" || m.old == nil || m.going {
		return
	}
	m.going = true
	f.callNext(f.mustGoBack(), 0)
}

// mustGoBack says that the engine which a stream was to be moved to cannot go on with it.
func (f *flight) mustGoBack() bool {
	_, quarantined := f.x.quarantined()
	return quarantined || !f.moving.copied || f.x.r.notices.Rests(f.moving.to, clock.Now())
}

// callNext calls the other engine or, back, the first one, which keeps the memory, after a pause.
func (f *flight) callNext(back bool, after time.Duration) {
	m := f.moving
	m.back = back
	engine := m.to
	if back {
		engine = m.from
	}
	f.write, f.writer = m.attempt, engine
	var ctx context.Context
	if back || m.bound { // The attempt is bound already: it goes on.
		ctx, f.stopWrite = context.WithCancel(f.ctx)
	} else {
		ctx, m.bound = f.bindWrite(m.attempt), true
	}
	a := decide.StartDecode{ID: f.id, Attempt: m.attempt, Decode: engine}
	run := Run{Instance: engine, Source: m.source, LastEvent: f.lastID}
	f.calls.Go(func() {
		pause(ctx, after)
		f.callWrite(ctx, a, run)
	})
}

// nextFailed tries the first engine where the other one is not known to have taken the run: the handle
// serves once, so it is not run there if the other engine did take it.
func (f *flight) nextFailed(e callError) {
	m := f.moving
	if !m.back && (!e.ran || e.broke.unanswered) {
		f.recordFailure(m.attempt, m.to, &e)
		f.stopWrite()
		f.callNext(true, 0)
		return
	}
	if m.back && e.reason == outcome.EndpointRefused && f.mayOffer() {
		f.recordFailure(m.attempt, m.from, &e)
		f.stopWrite()
		f.callNext(f.mustGoBack(), offerAgain)
		return
	}
	f.x.r.m.MigratedNot.Inc()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Stayed: m.back})
	f.dropMoving()
	f.moving = nil
	f.failed(f.write, e)
}

// mayOffer says whether a stopped run that its engine turned away may be offered again: while its memory is kept,
// and as far as a rest and the retries allow.
func (f *flight) mayOffer() bool {
	m, now := f.moving, clock.Now()
	if f.ctx.Err() != nil || now.Add(offerAgain).After(m.keptUntil) {
		return false
	}
	if !f.mustGoBack() {
		return f.x.r.disp.TakeRetries(2) // The other engine's, and the first one's after it.
	}
	if f.x.r.notices.Rests(m.from, now) {
		if m.rested++; m.rested > restCalls {
			return false
		}
	}
	return f.x.r.disp.TakeRetries(1)
}

// wentOn ends a move whose next call has begun to answer.
func (f *flight) wentOn() {
	m := f.moving
	f.moving = nil
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Stayed: m.back})
	if m.back {
		f.x.r.m.MigratedNot.Inc()
		f.x.acc.Step(record.Step{Kind: record.StepStayed, Text: m.to + " did not take it"})
		return
	}
	f.x.r.m.Migrated.Inc()
	f.tellEnded(m.from)
	f.x.acc.Step(record.Step{Kind: record.StepMigrated, Decode: f.writer})
}

// dropMoving frees what engines keep for a move that did not come to its end.
func (f *flight) dropMoving() {
	if f.moving != nil {
		(&moved{source: f.moving.source}).drop(f.x.r)
		f.moving.source = Source{}
	}
}
