package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/calltimes"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// This file refuses, during a planned stop of this box, the requests that could not end by its deadline.

const (
	// drainRetryAfter is the retry delay of a refusal by a box that is stopping or not ready yet. It is short, so that the
	// caller soon tries another box.
	drainRetryAfter = 100 * time.Millisecond
	// lengthGuessMargin is a safety factor for the estimated time of a stream. The estimated length of the stream may be
	// too low.
	lengthGuessMargin = 1.5
)

// errOutlastsStop is the cause with which the waits of a request end that could not end by the deadline of a planned stop.
// errStopOver is the cause with which calls end that still run at the end of the stop.
var (
	errOutlastsStop = errors.New("the request could not end before this box stops")
	errStopOver     = errors.New("the time for the stop of this box is over")
)

// plannedStop is the planned stop of this box.
type plannedStop struct {
	// deadline is when requests must have ended; nil if no stop has begun.
	deadline atomic.Pointer[time.Time]
	// begun ends when the stop begins, and over when the process is about to close the callers' connections.
	begun, over       context.Context
	setBegun, setOver context.CancelFunc
}

func (s *plannedStop) init() {
	s.begun, s.setBegun = context.WithCancel(context.Background())
	s.over, s.setOver = context.WithCancel(context.Background())
}

// planned reports whether a stop has begun. From then on answers ask callers to close their connections.
func (s *plannedStop) planned() bool { return s.deadline.Load() != nil }

// BeginStop begins a planned stop with a deadline. From then on the box is not ready. It still serves the requests that
// it can finish by the deadline.
func (r *Relay) BeginStop(deadline time.Time) {
	r.stop.deadline.Store(&deadline)
	r.stop.setBegun()
	r.ownedCells.stop() // Other boxes then ask the next owner.
}

// EndStop ends the calls that still run at the end of a planned stop. A caller whose answer has not begun is told that its
// request may have run. EndStop returns the ids of the requests.
func (r *Relay) EndStop() []string {
	ids := r.RunningIDs()
	r.m.StopCuts.Add(len(ids))
	r.stop.setOver()
	return ids
}

// Drain refuses new requests. It waits until the running requests are done and sent, and the calls that free their memory.
func (r *Relay) Drain(ctx context.Context) error {
	return r.gate.Drain(ctx, func() {
		r.callerPool.WaitSent()
		r.cleanups.Wait()
	})
}

// stopOutcome refuses a request because this box stops.
func stopOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: drainRetryAfter}
}

// refuseForStop refuses a request that could not end by the deadline of a planned stop, and was not sent.
func (x *exchange) refuseForStop() {
	x.r.m.StopRefusals[telemetry.StopOutlasted].Inc()
	x.refuse(stopOutcome())
}

// outlastsStop reports whether the request would probably still run at the deadline of a planned stop if it were sent now. If
// no stop is planned, it returns false.
func (x *exchange) outlastsStop() bool {
	deadline := x.r.stop.deadline.Load()
	return deadline != nil && (x.waitsEndedByStop() || clock.Now().Add(x.expectedTime()).After(*deadline))
}

// expectedTime returns how long the request may take once it is sent. Of a plain call of a service that this box has not
// called, nothing is known but the request's own deadline. It decides for a request that may run only once; a request that
// may run again loses only time if the stop ends it.
func (x *exchange) expectedTime() time.Duration {
	if x.service.Engines != nil {
		return time.Duration(lengthGuessMargin * float64(x.r.disp.EstimateStreamTime(x.service.Name, x.meta.ExpectedOutput)))
	}
	d, known := x.r.callTimes.Estimate(x.callKey())
	left := max(0, clock.Until(x.deadline))
	switch {
	case known:
		return min(d, left)
	case x.route.repeats():
		return 0
	}
	return left
}

// endForStop sets the outcome of a plain call that is not sent again because of a planned stop. If the request may have run,
// the outcome of its last call stays.
func (x *exchange) endForStop(o *outcome.Outcome, p *plainRuns) {
	if p.runs > 0 {
		o.Detail = noTimeLeft
		return
	}
	x.r.m.StopRefusals[telemetry.StopOutlasted].Inc()
	*o = stopOutcome()
}

// noTimeLeft is the detail of the outcome of a request whose next call could not end before the box stops.
const noTimeLeft = "the box stops too soon for another call"

func (x *exchange) callKey() calltimes.Key {
	return calltimes.Key{Service: x.service.Name, Route: x.route.Name}
}

// beforeStop returns the context of the waits before the request is sent. It ends with ctx, and once the request could no
// longer end by the deadline of a planned stop.
func (x *exchange) beforeStop(ctx context.Context) (context.Context, context.CancelFunc) {
	waits, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(x.r.stop.begun, func() {
		left := clock.Until(*x.r.stop.deadline.Load()) - x.expectedTime()
		t := time.AfterFunc(left, func() { cancel(errOutlastsStop) })
		context.AfterFunc(waits, func() { t.Stop() })
	})
	return waits, func() {
		stop()
		cancel(nil)
	}
}

// waitsOr returns the context of the waits, or ctx if the request has none of its own.
func (x *exchange) waitsOr(ctx context.Context) context.Context {
	if x.waits == nil {
		return ctx
	}
	return x.waits
}

// waitsEndedByStop reports whether the waits of the request have ended because of a planned stop.
func (x *exchange) waitsEndedByStop() bool {
	return x.waits != nil && errors.Is(context.Cause(x.waits), errOutlastsStop)
}

// untilStopOver returns a context for the calls of the request. It ends with ctx, and at the end of a planned stop unless
// release was called before.
func (x *exchange) untilStopOver(ctx context.Context) (_ context.Context, release func() bool) {
	out, cancel := context.WithCancelCause(ctx)
	return out, context.AfterFunc(x.r.stop.over, func() { cancel(errStopOver) })
}

// sendGuard decides whether calls are sent or stopped because of a planned stop. Once one is sent, none is stopped. The zero
// value is undecided.
type sendGuard struct{ state atomic.Int32 }

const (
	guardUndecided int32 = iota
	guardBegun
	guardStopped
)

// begin reports whether a call may be sent.
func (g *sendGuard) begin() bool {
	return g.state.CompareAndSwap(guardUndecided, guardBegun) || g.state.Load() == guardBegun
}

// stop reports whether no call was sent. From then on none may be sent.
func (g *sendGuard) stop() bool {
	return g.state.CompareAndSwap(guardUndecided, guardStopped) || g.state.Load() == guardStopped
}

func (g *sendGuard) begun() bool   { return g.state.Load() == guardBegun }
func (g *sendGuard) stopped() bool { return g.state.Load() == guardStopped }

// context returns the context for a call. It ends when waits end because of a planned stop, unless the call has begun.
// release ends the guard.
func (g *sendGuard) context(ctx, waits context.Context) (_ context.Context, release func() bool) {
	out, cancel := context.WithCancelCause(ctx)
	return out, context.AfterFunc(waits, func() {
		if errors.Is(context.Cause(waits), errOutlastsStop) && g.stop() {
			cancel(errOutlastsStop)
		}
	})
}

// endForStop returns the outcome of a stream that waited until it could no longer end by the deadline of a planned stop.
func (f *flight) endForStop() (o outcome.Outcome, end bool) {
	if !f.x.waitsEndedByStop() || !f.guard.stop() {
		return o, false
	}
	return stopOutcome(), true
}

// awaitVerdict is exchange.awaitVerdict for the next call of the stream.
func (f *flight) awaitVerdict() (outcome.Outcome, bool) {
	if f.guard.begun() {
		return f.x.awaitVerdict(f.ctx)
	}
	if o, yes := f.x.awaitVerdict(f.x.waitsOr(f.ctx)); yes {
		return o, true
	}
	return f.endForStop()
}
