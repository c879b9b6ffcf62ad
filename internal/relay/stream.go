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
	// eventBuffer is the number of reported events that a flight buffers while its caller is slow.
	eventBuffer = 32
	// controlCallTimeout limits the wait for the answer to a control call (a call of the box that is not a caller's
	// request) that reserves or frees engine memory.
	controlCallTimeout = 700 * time.Millisecond
	// releaseTries is the number of attempts to free memory if the engine does not answer, and releaseRetryDelay the
	// pause between two attempts.
	releaseTries      = 3
	releaseRetryDelay = 250 * time.Millisecond
	// maxControlAnswer limits the body of the answer to a control call or to a prefill, in bytes.
	maxControlAnswer = 64 << 10
)

// flight is the state of a stream while engines process it. Only the goroutine that runs its loop changes the state;
// the calls to engines run in goroutines of their own and report events to the loop.
type flight struct {
	x      *exchange
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context  // Ends with the caller's connection, at the deadline, or when runStream returns.
	events chan flightEvent // What the calls to engines report.
	calls  sync.WaitGroup   // The running calls to engines.

	prefillAttempt decide.Attempt // The attempt number of the current prefill call.
	prefillEngine  string         // The engine of the current prefill call.
	decodeAttempt  decide.Attempt // The attempt number of the current decode call.
	decodeEngine   string         // The engine of the current decode call.
	// abandonedAttempt is the attempt number of a decode call that began to answer after the decision core had given
	// the call up; 0 if there is none. Nothing of such an answer is passed on.
	abandonedAttempt decide.Attempt
	// plannedDecode is the decode engine that the flight asks for a reservation.
	plannedDecode string
	// reservation is the memory that an engine has reserved for the flight, and source the result of the last prefill.
	// free frees both. They are empty once an engine that uses them has begun the answer.
	reservation reservation
	source      Source
	// prefillCalls and decodeCalls are the numbers of prefill and decode calls sent to engines.
	prefillCalls, decodeCalls int
	// migration is the migration in progress; nil if there is none.
	migration *migration
	// stopDecode cancels the current decode call.
	stopDecode context.CancelFunc

	firstEventAt time.Time // When the first event was sent to the caller; zero before that.
	lastEventAt  time.Time // When the last event was sent to the caller; zero before the first.
	lastID       string    // The id of the last event sent to the caller.
	eventsSent   int       // The number of events sent to the caller.
}

// reservation is memory that an engine has reserved for a flight; id is empty if there is none.
type reservation struct {
	engine string
	id     string
	// owner is the other box that granted the memory as the engine's owner. It is empty if this box owns the engine or
	// the owner did not answer.
	owner string
}

// flightEvent is what a call to an engine reports to the loop of its flight. Exactly one of the fields after attempt is
// set, except that unframed may be set together with ended.
type flightEvent struct {
	attempt       decide.Attempt
	reserved      *reservation // An engine has reserved memory.
	noRoom        *noRoom      // No memory was reserved.
	prefillResult *Source      // The prefill is done; this is where its result is stored.
	head          *headPart    // The answer has begun.
	part          *part        // More of the answer was received.
	ended         bool         // The answer is complete.
	// unframed is set if the answer had no length or end marker, so that only the close of the connection ended it.
	unframed    bool
	errorAnswer *errorAnswer     // The engine ran the request and answered with an error.
	err         *callError       // The call failed.
	migrated    *migrationResult // An engine has answered a migration request.
	overdue     bool             // The call of a run that was stopped for a migration has not ended in time.
	// unanswered is set if the stream's run has ended and its migration request was not answered in time.
	unanswered bool
}

// noRoom reports that no memory was reserved. owner is the other box that denied the memory as the engine's owner; it
// is empty if the engine itself did not reserve any.
type noRoom struct{ owner string }

// headPart is the header of an answer with the first part of its body.
type headPart struct {
	header http.Header
	part   part
}

// part is a sequence of complete events of a stream.
type part struct {
	bytes []byte
	// lastID is the id of the last event that has an id, and events the number of events that have an id. lastID is
	// empty if no event has an id.
	lastID string
	events int
	// reservedBytes is the memory of this box, in bytes, that is reserved for the part until it is written.
	reservedBytes int64
}

// errorAnswer is an engine's own error answer, which is passed to the caller unchanged.
type errorAnswer struct {
	resp *http.Response
	body []byte
}

// callError describes a failed call to an engine.
type callError struct {
	reason outcome.Reason
	ran    bool // The engine may have run the request.
	// connLoss is set if the engine closed the connection.
	connLoss connLoss
	// detail is the text of the connection's error, for the request's record; empty if there is none.
	detail string
}

// serveStream passes the request to the decision core and carries out its decisions until the request ends.
func (x *exchange) serveStream(ctx context.Context) {
	if x.r.outlastsStop(clock.Now(), x.service.Name, x.meta.ExpectedOutput) {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: drainRetryAfter})
		return
	}
	if !x.r.connected() {
		x.r.sampleLoads(ctx, x.service.Name, x.region)
	}
	o := x.runStream(ctx)
	switch {
	case o.Kind == outcome.Answered:
		x.extendWriteDeadline() // The server still has to write the end, perhaps long after the last event.
		x.trace.Close(o)
	case x.begun || o.Kind == outcome.Cancelled:
		if o.Kind != outcome.Cancelled {
			o.Kind = outcome.CutOff // The decision core does not know that part of the answer was sent.
		}
		x.cutOff(o) // If the handler returned instead, the incomplete answer would look complete.
	default:
		if o.RetryAfter > 0 {
			o.RetryAfter = max(o.RetryAfter, jitter(streamRetryAfter))
		}
		x.refuse(o)
	}
}

// streamRetryAfter is the retry delay of a refused stream. An overload of the engines lasts some seconds. A caller that
// returns during the overload and is refused again loses more time than a caller that returns after it. Delays of 1 to
// 4 s make no difference to the goodput beyond the noise; 3 s leads to a tenth fewer refusals than 1 s.
const streamRetryAfter = 3 * time.Second

// jitter varies a delay by up to 20%, so that callers refused at the same time do not return at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// runStream has engines process the stream, and returns its outcome. Before it returns, it starts to free all memory
// that engines and this box store for the stream; the calls that free it may still run afterwards.
func (x *exchange) runStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = x.r.disp.Submit(x.meta.ID, f.request())
	// Deferred, so that engine memory is freed even if the loop panics.
	defer func() {
		f.publishStreamEnded(f.decodeEngine)
		x.r.disp.Remove(f.id)
		f.drainSteps()
		f.shutdown(cancel)
	}()
	return f.loop()
}

// shutdown cancels the flight's calls and frees what engines store for it. Events that the loop has not received may
// name more engine memory: that memory is freed once all calls have returned.
func (f *flight) shutdown(cancel context.CancelFunc) {
	cancel()
	f.free()
	f.x.r.cleanups.Go(func() {
		f.calls.Wait()
		for len(f.events) > 0 {
			f.freeEvent(<-f.events)
		}
	})
}

func (f *flight) request() decide.Request {
	x := f.x
	return decide.Request{
		Pool:           x.service.Name,
		Region:         x.region,
		Hall:           x.r.o.Hall,
		Route:          x.route.Name,
		PromptTokens:   x.meta.PromptTokens,
		MaxTokens:      x.reservedOutput(),
		OutputReserve:  x.outputReserve(),
		ExpectedTokens: x.meta.ExpectedOutput,
		Blocks:         x.meta.PrefixHashes,
		FirstToken:     x.route.LatencyTarget,
		BetweenTokens:  x.route.EventGapTarget / time.Duration(x.service.Engines.TokensPerEvent),
		Repeatable:     x.route.repeats(),
		Resumable:      x.route.Resumable,
		MaxEngines:     x.route.MaxEndpoints,
		PrefillNotRun:  true,
		CallerRetry:    x.route.isReturning(x.meta.Timeout),
		RefuseEarly:    true,
		MaxWait:        maxStreamWait,
		Kind:           x.route.Kind.String(),
		Rank:           x.priority(),
		Policy:         x.policy(),
	}
}

func (f *flight) loop() outcome.Outcome {
	for {
		select {
		case <-f.ctx.Done():
			return f.finishExpired()
		case <-f.call.Wake:
			for _, a := range f.call.TakeActions() {
				if o, end := f.apply(a); end {
					return o
				}
			}
		case ev := <-f.events:
			if f.ctx.Err() != nil {
				return f.finishExpired(ev) // ev may be the error of a call that was canceled with the request.
			}
			if o, end := f.handleEvent(ev); end {
				return o
			}
		}
	}
}

// finishExpired ends a request whose context has ended. If the whole answer was received before, it is still delivered:
// a box that was not scheduled for a while finds the answer's end and the passed deadline at once. Nothing more of an
// incomplete answer is sent to the caller. received has the event that the loop has already taken from f.events.
func (f *flight) finishExpired(received ...flightEvent) outcome.Outcome {
	list, whole := f.collectUntilEnd(received)
	for _, ev := range list {
		if !whole || f.x.req.Context().Err() != nil {
			f.freeEvent(ev)
			continue
		}
		if o, end := f.handleEvent(ev); end {
			return o
		}
	}
	return f.expiredOutcome()
}

// collectUntilEnd appends the events that calls have reported to list, up to the end of an answer or a failed call.
// whole is set if it found the end of an answer.
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
		if ev := &list[n]; ev.ended || ev.errorAnswer != nil || ev.err != nil {
			return list, ev.err == nil
		}
	}
}

// expiredOutcome returns the outcome of a request whose context has ended before its answer was complete.
func (f *flight) expiredOutcome() outcome.Outcome {
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

// drainSteps records the last actions of the decision core, which it emitted when the request ended, and publishes the
// stream's timing.
func (f *flight) drainSteps() {
	for _, a := range f.call.TakeActions() {
		f.recordStep(a)
		if took, ok := a.(decide.RequestTiming); ok {
			f.x.r.publishTiming(f.x.service.Name, took.Timing)
		}
	}
}

// recordStep adds an action of the decision core to the request's trace.
func (f *flight) recordStep(a decide.Action) {
	if s, ok := record.NewStep(a); ok {
		f.x.trace.Step(s)
	}
}

// apply carries out an action of the decision core. If the action ends the request, apply returns its outcome and true.
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
		// An engine that did not answer in time may have run the request, so a later refusal must not say "not run".
		f.x.ran = f.x.ran || a.Reason == outcome.TransferStalled
	case decide.Migrate:
		f.migrate(a)
	case decide.StartPrefill:
		f.free() // What engines store for an earlier attempt is not needed any more.
		f.prefillAttempt, f.prefillEngine, f.plannedDecode = a.Attempt, a.Prefill, a.Decode
		ctx := f.call.AttemptContext(f.ctx, a.Attempt)
		f.calls.Go(func() { f.callPrefill(ctx, a) })
	case decide.StartDecode:
		if a.Moved != outcome.OK { // The decode engine is not the one that was chosen first.
			f.x.r.m.Moves.Inc()
		}
		f.decodeAttempt, f.decodeEngine, f.plannedDecode = a.Attempt, a.Decode, a.Decode
		if a.Prefill == "" {
			f.free() // What engines store for an earlier attempt is not needed any more.
			ctx, last := f.bindDecode(a.Attempt), f.lastID
			f.calls.Go(func() { f.callCombined(ctx, a, last) })
			break
		}
		f.freeReservationElsewhere(a.Decode)
		f.countCall(a.Attempt)
		run := Run{Instance: a.Decode, Source: f.source, Reservation: f.reservation.id, LastEvent: f.lastID}
		ctx := f.bindDecode(a.Attempt)
		f.calls.Go(func() { f.callDecode(ctx, a, run) })
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// countCall counts a call sent to an engine. Resuming a migrated stream continues the same run, and is not counted.
func (f *flight) countCall(a decide.Attempt) {
	n := &f.decodeCalls
	if a == f.prefillAttempt {
		n = &f.prefillCalls
	}
	if *n++; *n > 1 {
		f.x.r.m.RepeatedCalls.Inc()
	}
}

// bindDecode returns the context of a decode attempt, which ends when the decision core gives the attempt up, and sets
// stopDecode to cancel it.
func (f *flight) bindDecode(a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(f.call.AttemptContext(f.ctx, a))
	f.stopDecode = cancel
	return ctx
}

// freeReservation frees the memory that an engine has reserved for the flight, if any. It is called when the answer
// begins, at the latest: the engine would count the reservation beside the memory of the run until the reservation
// expires.
func (f *flight) freeReservation() {
	if f.reservation.id != "" {
		f.x.r.drop(f.reservation.engine, f.x.r.disp.Address(f.reservation.engine), f.x.r.protocol.ReleaseReservation(f.reservation.id))
		f.reservation = reservation{}
	}
}

// freeReservationElsewhere frees the reservation unless it is at the engine that will generate the answer.
func (f *flight) freeReservationElsewhere(engine string) {
	if f.reservation.engine != engine {
		f.freeReservation()
	}
}

// handleEvent handles an event that a call has reported. If the event ends the request, handleEvent returns the outcome
// and true. An event that does not belong to a current call is ignored, and the memory that it names is freed.
func (f *flight) handleEvent(ev flightEvent) (outcome.Outcome, bool) {
	current := ev.attempt == f.prefillAttempt || ev.attempt == f.decodeAttempt || f.migration.is(ev.attempt)
	if !current || ev.attempt == f.abandonedAttempt {
		f.freeEvent(ev)
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
		f.countCall(ev.attempt) // Not before, as until now the request was in no engine's queue.
	case ev.noRoom != nil:
		f.x.trace.Step(record.Step{Kind: record.StepNoRoom, Attempt: int(ev.attempt), Decode: f.plannedDecode, Text: ev.noRoom.owner})
		f.x.r.disp.Step(decide.ReservationRefused{ID: f.id, Attempt: ev.attempt})
	case ev.prefillResult != nil:
		f.source = *ev.prefillResult
		f.x.r.m.PrefillTokens.Add(f.x.meta.PromptTokens)
		f.x.r.disp.Step(decide.PrefillDone{
			ID: f.id, Attempt: ev.attempt, Expires: clock.Now().Add(f.x.service.Engines.HandleTTL),
		})
	case ev.head != nil:
		return f.beginAnswer(ev)
	case ev.part != nil:
		return f.passEvents(ev.part)
	case ev.errorAnswer != nil:
		return f.passErrorAnswer(ev.errorAnswer), true
	case ev.ended:
		f.x.recordServed()
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.eventsSent * f.x.service.Engines.TokensPerEvent})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// freeEvent frees what an event names that the loop does not handle: bytes reserved on this box, and memory at engines.
func (f *flight) freeEvent(ev flightEvent) {
	switch {
	case ev.head != nil:
		f.x.r.memory.release(ev.head.part.reservedBytes)
	case ev.part != nil:
		f.x.r.memory.release(ev.part.reservedBytes)
	}
	if ev.reserved != nil {
		f.x.r.drop(ev.reserved.engine, f.x.r.disp.Address(ev.reserved.engine), f.x.r.protocol.ReleaseReservation(ev.reserved.id))
	}
	if ev.prefillResult != nil {
		f.x.r.drop(ev.prefillResult.Engine, ev.prefillResult.Address, f.x.r.protocol.ReleaseHandle(ev.prefillResult.Handle))
	}
	if ev.migrated != nil {
		ev.migrated.drop(f.x.r)
	}
}

// handleFailure records that a call to an engine failed, and reports the failure to the decision core and, if an engine
// refused a prefill, to the other boxes.
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
			f.x.r.publish(overlay.Message{Refused: &overlay.PrefillRefused{Engine: engine}})
		}
	}
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran})
}

// recordFailure adds the failure of a call to an engine to the request's trace, and records a lost connection.
func (f *flight) recordFailure(a decide.Attempt, engine string, e *callError) {
	f.x.trace.Step(record.Step{Kind: record.StepFailed, Attempt: int(a), Decode: engine, Reason: e.reason, Text: e.detail})
	f.x.recordConnLoss(engine, e.connLoss)
}

// beginAnswer handles the beginning of a call's answer. The header is passed to the caller only from the first call
// that answers: a stream that is resumed at another engine keeps the first header. If the decision core has given the
// call up, nothing of its answer is passed on.
func (f *flight) beginAnswer(ev flightEvent) (outcome.Outcome, bool) {
	if !f.migration.is(ev.attempt) && !f.x.r.disp.AcceptFirstToken(decide.FirstToken{
		ID: f.id, Attempt: ev.attempt, Tokens: ev.head.part.events * f.x.service.Engines.TokensPerEvent,
	}) {
		f.abandonedAttempt = ev.attempt
		f.freeEvent(ev)
		return outcome.Outcome{}, false
	}
	if f.firstEventAt.IsZero() {
		f.firstEventAt = clock.Now()
		f.x.rec.FirstToken = f.firstEventAt.Sub(f.x.arrived)
		f.x.r.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
	}
	f.source = Source{} // The engine that answers has used up the result of the prefill.
	f.freeReservation()
	if f.migration.is(ev.attempt) {
		f.finishMigration()
		return f.passEvents(&ev.head.part)
	}
	f.x.trace.Step(record.Step{Kind: record.StepFirstToken, Decode: f.decodeEngine})
	if !f.x.begun {
		f.x.copyHead(ev.head.header)
		f.x.writeStatus(http.StatusOK)
	}
	return f.passEvents(&ev.head.part)
}

// passEvents sends events to the caller. If that fails it returns the outcome of the request and true.
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

// passErrorAnswer sends an engine's own error answer to the caller, unless an answer has begun.
func (f *flight) passErrorAnswer(p *errorAnswer) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointLost, Detail: "the engine answered " + p.resp.Status}
	}
	f.x.copyHead(p.resp.Header)
	f.x.writeStatus(p.resp.StatusCode)
	_, _ = f.x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}

// free frees all that engines store for the flight: its memory reservation, the result of its last prefill, and the KV
// cache of an unfinished migration. The calls that free the memory may outlast the request, and Relay.Drain waits for
// these calls. If they fail, the memory is freed when it expires at the engine.
func (f *flight) free() {
	f.freeReservation()
	f.freeMigration()
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Engine, f.source.Address, f.x.r.protocol.ReleaseHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop has an engine free memory, by the call c, and does not wait for the end of the call. The call is repeated if it
// is not answered, because the memory may not have been freed. An engine whose port refuses connections has crashed and
// stores nothing, so the call is not repeated.
func (r *Relay) drop(engine, address string, c Call) {
	r.m.Aborts.Inc()
	r.cleanups.Go(func() {
		for range releaseTries {
			_, _, err := r.controlPool.DoShort(context.Background(), controlCallTimeout, controlRequest(engine, address, c), maxControlAnswer)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			time.Sleep(releaseRetryDelay)
		}
		r.m.AbortsLost.Inc()
	})
}
