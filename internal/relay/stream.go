package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/record"
)

const (
	// eventBuffer lets a few events wait for a caller that reads slowly.
	eventBuffer = 32
	// sideLimit bounds the wait for a call that sets memory aside, and a call that frees it.
	sideLimit = 700 * time.Millisecond
	// releaseTries is how often memory is freed whose engine does not answer, and dropAgain the pause.
	releaseTries      = 3
	releaseRetryDelay = 250 * time.Millisecond
	// maxSideAnswer bounds the answer to one, in bytes.
	maxSideAnswer = 64 << 10
)

// flight is one stream while engines work on it.
type flight struct {
	x      *exchange
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context // Ends with the caller, the deadline or the request.
	events chan flightEvent
	calls  sync.WaitGroup // Those to engines, which report to events.

	prefillAttempt decide.Attempt // The current prefill.
	prefillEngine  string         // The current prefill engine.
	decodeAttempt  decide.Attempt // The current decode call.
	decodeEngine   string         // The current decode engine.
	// abandoned is the decode call that the core gave up as the answer began; 0 if there is none.
	abandoned decide.Attempt
	// plannedDecode is the decode engine that is asked to set memory aside.
	plannedDecode string
	// reservation and source are what engines keep for the flight: memory set aside, and the
	// last prefill's result. Both are freed with the flight, unless an engine that has
	// begun the answer has taken them.
	reservation reservation
	source      Source
	// prefillCalls and decodeCalls count the calls that were sent, to have the prompt read and the answer made.
	prefillCalls, decodeCalls int
	// migration is the move of the stream to another engine that is under way; nil if none is.
	migration *migration
	// stopDecode ends the current decode call.
	stopDecode context.CancelFunc

	firstEventAt time.Time // When the first event was written; zero before.
	lastEventAt  time.Time
	lastID       string // The id of the last event that the caller was sent.
	eventsSent   int    // How many it was sent.
}

// reservation is memory set aside for the flight; ID is empty if there is none.
type reservation struct {
	engine string
	id     string
	// owner is the box that granted the room; empty if none did.
	owner string
}

// flightEvent is what the calls to engines report. Exactly one of the fields after
// attempt is set, and unframed beside ended only.
type flightEvent struct {
	attempt   decide.Attempt
	reserved  *reservation // Memory was set aside.
	noRoom    *noRoom      // It was refused.
	prefilled *Source      // The prompt was read.
	head      *headPart    // The answer began.
	part      *part        // The answer went on.
	ended     bool         // The answer is whole.
	// unframed says of an answer that ended that its end was that of its connection.
	unframed bool
	final    *finalPart
	err      *callError
	moved    *migrationResult // An engine answered to a move.
	overdue  bool             // A call that was stopped for a move should have ended.
	// unanswered says that a move should have been answered whose run has ended.
	unanswered bool
}

// noRoom says who refused memory: the engine itself, or its home, which is named.
type noRoom struct{ owner string }

// headPart is an answer's head together with what came first of its body.
type headPart struct {
	header http.Header
	part   part
}

// part is some whole events of a stream.
type part struct {
	bytes []byte
	// lastID is the id of the last event in it, empty if none had one, and events how many had.
	lastID string
	events int
	// reservedBytes is how much of the box's memory it takes until it was written, in bytes.
	reservedBytes int64
}

// finalPart is an engine's own failure, which the caller gets as it is.
type finalPart struct {
	resp *http.Response
	body []byte
}

// callError is a call to an engine that came to nothing.
type callError struct {
	reason outcome.Reason
	ran    bool
	// connLoss is set where the engine connLoss the call off.
	connLoss connLoss
	// detail is the error of the connection, for the record; empty if there is none.
	detail string
}

// serveStream gives the request to the core and does what the core says until the
// request ends.
func (x *exchange) serveStream(ctx context.Context) {
	if x.r.outlastsStop(clock.Now(), x.service.Name, x.meta.GuessedOutput) {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: drainRetryAfter})
		return
	}
	if !x.r.connected() {
		x.r.sampleLoads(ctx, x.service.Name, x.region)
	}
	o := x.runStream(ctx)
	switch {
	case o.Kind == outcome.Answered:
		x.extendWriteDeadline() // The server still writes the end, which may come long after the last event.
		x.acc.Close(o)
	case x.begun || o.Kind == outcome.Cancelled:
		if o.Kind != outcome.Cancelled {
			o.Kind = outcome.CutOff // The core does not know how much of the answer the caller has.
		}
		x.cutOff(o) // A plain return would close the stream as if it were whole.
	default:
		if o.RetryAfter > 0 {
			o.RetryAfter = max(o.RetryAfter, jitter(streamRetryAfter))
		}
		x.refuse(o)
	}
}

// streamRetryAfter is when a refused stream may be tried again. What fills the engines lasts
// some seconds, and a caller that comes back into it and is refused again has lost more
// than one that came later. Measured from 1 to 4 s: no difference beyond the noise in
// credit, and a tenth fewer refusals at 3 s than at 1 s.
const streamRetryAfter = 3 * time.Second

// jitter keeps callers refused together from coming back together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// runStream returns when the request has ended; by then everything that it still held
// is being freed.
func (x *exchange) runStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = x.r.disp.Arrive(x.meta.ID, f.request())
	// Deferred, so that even a panic in the loop leaves no engine memory held.
	defer func() {
		f.publishEnded(f.decodeEngine)
		x.r.disp.Leave(f.id)
		f.drainSteps()
		f.end(cancel)
	}()
	return f.loop()
}

// end ends the flight's calls and frees what it holds. A call may have reported memory that
// the loop has not taken any more: that is freed once no call can report another.
func (f *flight) end(cancel context.CancelFunc) {
	cancel()
	f.free()
	f.x.r.cleanups.Go(func() {
		f.calls.Wait()
		for len(f.events) > 0 {
			f.discard(<-f.events)
		}
	})
}

func (f *flight) request() decide.Request {
	x := f.x
	return decide.Request{
		Pool:          x.service.Name,
		Region:        x.region,
		Hall:          x.r.o.Hall,
		Route:         x.route.Name,
		PromptTokens:  x.meta.PromptTokens,
		MaxTokens:     x.reservedOutput(),
		Ahead:         x.reservedAhead(),
		ExpectTokens:  x.meta.GuessedOutput,
		Blocks:        x.meta.Shared,
		FirstToken:    x.route.Objective,
		BetweenTokens: x.route.Gap / time.Duration(x.service.Engines.Stride),
		Repeatable:    x.route.repeats(),
		Resumable:     x.route.Resumable,
		MaxEngines:    x.route.Tries,
		ReadNotRun:    true,
		CameBack:      x.route.isReturning(x.meta.Patience),
		RefuseEarly:   true,
		MaxWait:       maxStreamWait,
		Kind:          x.route.Kind.String(),
		Rank:          x.rank(),
		Policy:        x.policy(),
	}
}

func (f *flight) loop() outcome.Outcome {
	for {
		select {
		case <-f.ctx.Done():
			return f.rest()
		case <-f.call.Wake:
			for _, a := range f.call.Take() {
				if o, end := f.apply(a); end {
					return o
				}
			}
		case ev := <-f.events:
			if f.ctx.Err() != nil {
				return f.rest(ev) // The calls of a request end with it.
			}
			if o, end := f.handleEvent(ev); end {
				return o
			}
		}
	}
}

// rest passes on an answer whose end had come when the request's time was over: a box that had no processor
// finds both at once. An answer that has not begun and would be cut off is better not begun.
func (f *flight) rest(taken ...flightEvent) outcome.Outcome {
	list, whole := f.collectUntilEnd(taken)
	for _, ev := range list {
		if !whole || f.x.req.Context().Err() != nil {
			f.discard(ev)
			continue
		}
		if o, end := f.handleEvent(ev); end {
			return o
		}
	}
	return f.over()
}

// collectUntilEnd takes what calls have reported beside what was taken already, up to the end of an answer or an error,
// and says whether it came to the end.
func (f *flight) collectUntilEnd(list []flightEvent) (_ []flightEvent, whole bool) {
	for n := 0; ; n++ {
		if n == len(list) {
			select {
			case ev := <-f.events:
				list = append(list, ev)
			default:
				return list, false
			}
		}
		if ev := &list[n]; ev.ended || ev.final != nil || ev.err != nil {
			return list, ev.err == nil
		}
	}
}

// over says why the request's context ended.
func (f *flight) over() outcome.Outcome {
	if f.x.req.Context().Err() != nil {
		return callerGoneOutcome()
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.WaitExpired, RetryAfter: retryAfter}
	if f.decodeAttempt != 0 {
		o = outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.DecodeSilent, Detail: "the request's time was over"}
	}
	if f.x.begun {
		o.Kind = outcome.CutOff
	}
	return o
}

// drainSteps records the actions that came with the end of the request.
func (f *flight) drainSteps() {
	for _, a := range f.call.Take() {
		f.recordStep(a)
		if took, ok := a.(decide.Took); ok {
			f.x.r.publishTiming(f.x.service.Name, took.Timing)
		}
	}
}

func (f *flight) recordStep(a decide.Action) {
	if s, ok := record.StepOf(a); ok {
		f.x.acc.Step(s)
	}
}

// apply does what the core decided.
func (f *flight) apply(a decide.Action) (outcome.Outcome, bool) {
	f.recordStep(a)
	switch a.(type) {
	case decide.StartPrefill, decide.StartDecode:
		if o, yes := f.x.quarantined(); yes {
			return o, true
		}
	}
	switch a := a.(type) {
	case decide.Retry:
		// A call that was given up without an answer may have run: quarantined must not say "not run" of it.
		f.x.ran = f.x.ran || a.Reason == outcome.TransferStalled
	case decide.Migrate:
		f.migrate(a)
	case decide.StartPrefill:
		f.free() // What an earlier try left.
		f.prefillAttempt, f.prefillEngine, f.plannedDecode = a.Attempt, a.Prefill, a.Decode
		ctx := f.call.Bind(f.ctx, a.Attempt)
		f.calls.Go(func() { f.callPrefill(ctx, a) })
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.r.m.Moves.Inc()
		}
		f.decodeAttempt, f.decodeEngine, f.plannedDecode = a.Attempt, a.Decode, a.Decode
		if a.Prefill == "" {
			f.free() // What an earlier try left.
			ctx, last := f.bindDecode(a.Attempt), f.lastID
			f.calls.Go(func() { f.callCombined(ctx, a, last) })
			break
		}
		f.dropReservationElsewhere(a.Decode)
		f.countCall(a.Attempt)
		run := Run{Instance: a.Decode, Source: f.source, Hold: f.reservation.id, LastEvent: f.lastID}
		ctx := f.bindDecode(a.Attempt)
		f.calls.Go(func() { f.callDecode(ctx, a, run) })
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// countCall counts a call that is sent to an engine. One that goes on with a moved stream is the
// same run and no call of its own.
func (f *flight) countCall(a decide.Attempt) {
	n := &f.decodeCalls
	if a == f.prefillAttempt {
		n = &f.prefillCalls
	}
	if *n++; *n > 1 {
		f.x.r.m.CallsAgain.Inc()
	}
}

// bindDecode makes the context of a decode call.
func (f *flight) bindDecode(a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(f.call.Bind(f.ctx, a))
	f.stopDecode = cancel
	return ctx
}

// dropReservation gives back memory that was set aside: once the answer has begun the engine
// counts what the run takes, and would count the rest beside it until its lease ends.
func (f *flight) dropReservation() {
	if f.reservation.id != "" {
		f.x.r.drop(f.reservation.engine, f.x.r.disp.Address(f.reservation.engine), f.x.r.wire.DropHold(f.reservation.id))
		f.reservation = reservation{}
	}
}

// dropReservationElsewhere frees memory that was set aside at another engine than the one that will
// write the answer.
func (f *flight) dropReservationElsewhere(engine string) {
	if f.reservation.engine != engine {
		f.dropReservation()
	}
}

// handleEvent takes what a call reported. What does not belong to the current attempt is
// late: it is dropped, and freed where it holds memory.
func (f *flight) handleEvent(ev flightEvent) (outcome.Outcome, bool) {
	current := ev.attempt == f.prefillAttempt || ev.attempt == f.decodeAttempt || f.migration.is(ev.attempt)
	if !current || ev.attempt == f.abandoned {
		f.discard(ev)
		return outcome.Outcome{}, false
	}
	if f.migration != nil && f.handleMigrationEvent(ev) {
		return outcome.Outcome{}, false
	}
	switch {
	case ev.err != nil:
		f.handleFailure(ev.attempt, *ev.err)
	case ev.reserved != nil:
		f.reservation = *ev.reserved
		f.publishPlaced(ev.attempt)
		f.countCall(ev.attempt) // What was asked until now reached no queue of an engine.
	case ev.noRoom != nil:
		f.x.acc.Step(record.Step{Kind: record.StepNoRoom, Attempt: int(ev.attempt), Decode: f.plannedDecode, Text: ev.noRoom.owner})
		f.x.r.disp.Step(decide.NoRoom{ID: f.id, Attempt: ev.attempt})
	case ev.prefilled != nil:
		f.source = *ev.prefilled
		f.x.r.m.PrefillTokens.Add(f.x.meta.PromptTokens)
		f.x.r.disp.Step(decide.PrefillDone{
			ID: f.id, Attempt: ev.attempt, Expires: clock.Now().Add(f.x.service.Engines.HandleFor),
		})
	case ev.head != nil:
		return f.beginAnswer(ev)
	case ev.part != nil:
		return f.passEvents(ev.part)
	case ev.final != nil:
		return f.passFailure(ev.final), true
	case ev.ended:
		f.x.recordServed()
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.eventsSent * f.x.service.Engines.Stride})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// discard frees what a call of an earlier attempt brought.
func (f *flight) discard(ev flightEvent) {
	switch {
	case ev.head != nil:
		f.x.r.memory.release(ev.head.part.reservedBytes)
	case ev.part != nil:
		f.x.r.memory.release(ev.part.reservedBytes)
	}
	if ev.reserved != nil {
		f.x.r.drop(ev.reserved.engine, f.x.r.disp.Address(ev.reserved.engine), f.x.r.wire.DropHold(ev.reserved.id))
	}
	if ev.prefilled != nil {
		f.x.r.drop(ev.prefilled.Engine, ev.prefilled.Address, f.x.r.wire.DropHandle(ev.prefilled.Handle))
	}
	if ev.moved != nil {
		ev.moved.drop(f.x.r)
	}
}

func (f *flight) handleFailure(a decide.Attempt, e callError) {
	engine := f.decodeEngine
	if a == f.prefillAttempt {
		engine = f.prefillEngine
	}
	f.x.ran = f.x.ran || e.ran
	f.recordFailure(a, engine, &e)
	if e.reason == outcome.EndpointRefused {
		f.x.r.pollAfterRefusal(engine)
		if a == f.prefillAttempt {
			f.x.r.publish(overlay.Fact{Refused: &overlay.Refused{Engine: engine}})
		}
	}
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran})
}

// recordFailure notes how a call to an engine failed.
func (f *flight) recordFailure(a decide.Attempt, engine string, e *callError) {
	f.x.acc.Step(record.Step{Kind: record.StepFailed, Attempt: int(a), Decode: engine, Reason: e.reason, Text: e.detail})
	f.x.recordConnLoss(engine, e.connLoss)
}

// beginAnswer passes the head of the answer on, unless an earlier engine's head was: a stream
// that goes on at another engine keeps the first one's. Of a call that the core has given up
// nothing is passed on.
func (f *flight) beginAnswer(ev flightEvent) (outcome.Outcome, bool) {
	if !f.migration.is(ev.attempt) && !f.x.r.disp.Begin(decide.FirstToken{
		ID: f.id, Attempt: ev.attempt, Tokens: ev.head.part.events * f.x.service.Engines.Stride,
	}) {
		f.abandoned = ev.attempt
		f.discard(ev)
		return outcome.Outcome{}, false
	}
	if f.firstEventAt.IsZero() {
		f.firstEventAt = clock.Now()
		f.x.rec.FirstToken = f.firstEventAt.Sub(f.x.arrived)
		f.x.r.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
	}
	f.source = Source{} // The engine has taken it.
	f.dropReservation()
	if f.migration.is(ev.attempt) {
		f.finishMigration()
		return f.passEvents(&ev.head.part)
	}
	f.x.acc.Step(record.Step{Kind: record.StepFirst, Decode: f.decodeEngine})
	if !f.x.begun {
		f.x.copyHead(ev.head.header)
		f.x.writeStatus(http.StatusOK)
	}
	return f.passEvents(&ev.head.part)
}

// passEvents sends events to the caller.
func (f *flight) passEvents(p *part) (outcome.Outcome, bool) {
	if len(p.bytes) == 0 {
		return outcome.Outcome{}, false
	}
	now := clock.Now()
	if !f.lastEventAt.IsZero() {
		gap := now.Sub(f.lastEventAt)
		f.x.r.m.BetweenTokens.Update(gap.Seconds())
		f.x.rec.LongestGap = max(f.x.rec.LongestGap, gap)
	}
	f.lastEventAt = now
	f.x.rec.Output++
	if p.lastID != "" {
		f.lastID = p.lastID
	}
	f.eventsSent += p.events
	_, err := callerWriter{f.x}.Write(p.bytes)
	f.x.r.memory.release(p.reservedBytes)
	if err == nil && len(f.events) == 0 {
		err = http.NewResponseController(f.x.w).Flush()
	}
	if err != nil {
		return writeErrorOutcome(err), true
	}
	return outcome.Outcome{}, false
}

// passFailure sends an engine's own failure to the caller.
func (f *flight) passFailure(p *finalPart) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointDied, Detail: "the engine answered " + p.resp.Status}
	}
	f.x.copyHead(p.resp.Header)
	f.x.writeStatus(p.resp.StatusCode)
	_, _ = f.x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}

// free gives back what the flight still holds. It outlives the request and is waited
// for by a drain; beyond that the engines' own expiry frees the memory.
func (f *flight) free() {
	f.dropReservation()
	f.dropMigration()
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Engine, f.source.Address, f.x.r.wire.DropHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop makes a call that frees memory, without waiting for it. A call without an answer may not have freed
// it and is made again; an engine whose port refuses has ended, and holds nothing.
func (r *Relay) drop(engine, address string, c Call) {
	r.m.Aborts.Inc()
	r.cleanups.Go(func() {
		for range releaseTries {
			_, _, err := r.sidePool.Call(context.Background(), sideLimit, sideRequest(engine, address, c), maxSideAnswer)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			time.Sleep(releaseRetryDelay)
		}
		r.m.AbortsLost.Inc()
	})
}
