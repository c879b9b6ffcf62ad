package relay

import (
	"context"
	"time"

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
	// going says that the next call was made, and back that it was made to the first engine.
	going, back bool
}

// is tells whether an attempt is that of the move; of no move none is.
func (m *migration) is(a decide.Attempt) bool { return m != nil && m.attempt == a }

// moved is an engine's answer to a move.
type moved struct {
	source Source // Empty where the run was not stopped.
	copied bool
	// said is why it was not, for the record.
	said string
}

// drop frees what an engine keeps for a move that nobody needs any more.
func (m *moved) drop(r *Relay) {
	if m.source.Handle != "" {
		r.drop(m.source.Address, r.wire.DropHandle(m.source.Handle))
	}
}

const (
	// moveLimit bounds a call to move a run, and moveTries how often it is made where no
	// answer comes: whether the run was stopped must be known.
	moveLimit = 900 * time.Millisecond
	moveTries = 2
	// stopTime is how long the call of a run that was stopped may take to end.
	stopTime = 250 * time.Millisecond
)

// migrate asks the engine that writes to give the stream away.
func (f *flight) migrate(a decide.Migrate) {
	f.moving = &migration{attempt: a.Attempt, from: a.From, to: a.To}
	f.calls.Go(func() { f.callMigrate(a) })
}

// callMigrate reports what the engine answers. It outlives a caller that leaves: only the
// answer names what is to be freed.
func (f *flight) callMigrate(a decide.Migrate) {
	r := f.x.r
	address := r.disp.Address(a.From)
	call := r.wire.Migrate(f.x.ask.ID, r.disp.Address(a.To))
	out := &moved{}
	for range moveTries {
		resp, body, err := r.side.Call(context.WithoutCancel(f.ctx), moveLimit, sideRequest(address, call), sideAnswer)
		if err != nil {
			out.said = err.Error()
			continue
		}
		out.said = "the engine answered " + resp.Status
		handle, copied := r.wire.Migrated(resp.StatusCode, body)
		if handle != "" {
			out.source, out.copied = Source{Address: address, Handle: handle}, copied
		}
		break
	}
	f.send(flightEvent{attempt: a.Attempt, moved: out})
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
	case ev.err != nil && m.is(ev.attempt):
		f.nextFailed(*ev.err)
	case ev.err != nil:
		m.old = ev.err
		f.goOn()
	case ev.ended && !m.is(ev.attempt):
		m.old = &callError{}
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
		if m.old == nil {
			attempt := m.attempt // The loop may have ended the move by then.
			f.calls.Go(func() { f.awaitStop(attempt) })
		}
		f.goOn()
		return
	}
	f.stayed(ev.said)
	switch {
	case m.old == nil:
	case m.old.reason == outcome.OK:
		f.again(flightEvent{attempt: f.write, ended: true})
	default:
		f.again(flightEvent{attempt: f.write, err: m.old})
	}
}

// again has the loop take an event that was held back during a move.
func (f *flight) again(ev flightEvent) { f.calls.Go(func() { f.send(ev) }) }

// awaitStop reports when the call of the run that was stopped should have ended.
func (f *flight) awaitStop(attempt decide.Attempt) {
	select {
	case <-time.After(stopTime):
		f.send(flightEvent{attempt: attempt, overdue: true})
	case <-f.ctx.Done():
	}
}

// stayed ends a move after which the stream is where it was.
func (f *flight) stayed(why string) {
	f.x.r.m.MigratedNot.Inc()
	f.x.acc.Step(record.Step{Kind: record.StepStayed, Text: why})
	f.x.r.disp.Step(decide.MigrateFailed{ID: f.id, Attempt: f.moving.attempt})
	f.moving = nil
}

// goOn makes the next call as soon as the run is stopped and its call has ended.
func (f *flight) goOn() {
	m := f.moving
	if m.source.Handle == "" || m.old == nil || m.going {
		return
	}
	m.going = true
	f.callNext(!m.copied)
}

// callNext calls the other engine or, back, the first one, which keeps the memory.
func (f *flight) callNext(back bool) {
	m := f.moving
	m.back = back
	engine := m.to
	if back {
		engine = m.from
	}
	f.write, f.writer = m.attempt, engine
	var ctx context.Context
	if back { // The attempt is bound already: it goes on.
		ctx, f.stopWrite = context.WithCancel(f.ctx)
	} else {
		ctx = f.bindWrite(m.attempt)
	}
	a := decide.StartDecode{ID: f.id, Attempt: m.attempt, Decode: engine}
	run := Run{Instance: engine, Source: m.source, LastEvent: f.lastID}
	f.calls.Go(func() { f.callWrite(ctx, a, run) })
}

// nextFailed tries the first engine where the other one did not take the run. What may have
// run is not tried again here.
func (f *flight) nextFailed(e callError) {
	m := f.moving
	if !m.back && !e.ran {
		f.stopWrite()
		f.callNext(true)
		return
	}
	f.x.r.m.MigratedNot.Inc()
	f.x.r.disp.Step(decide.Migrated{ID: f.id, Attempt: m.attempt, Stayed: m.back})
	f.dropMoving()
	f.moving = nil
	f.failed(f.write, e)
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
