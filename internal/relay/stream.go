package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/record"
)

const (
	// eventBuffer is the number of events that calls can report to a flight before the calls have to wait. The buffer
	// fills while the caller reads slowly.
	eventBuffer = 32
	// controlCallTimeout limits the wait for the answer to a control call that reserves or frees engine memory. A
	// control call is a request that the box itself sends to an endpoint. It does not carry a caller's request.
	controlCallTimeout = 700 * time.Millisecond
	// releaseTries is the number of attempts to free memory at an engine that does not answer. releaseRetryDelay is
	// the pause after each failed attempt.
	releaseTries      = 3
	releaseRetryDelay = 250 * time.Millisecond
	// maxControlAnswer limits the body of the answer to a control call or to a prefill, in bytes.
	maxControlAnswer = 64 << 10
)

// flight is the state of one request for a stream while engines process the request. Only the goroutine that runs
// flight.loop changes the state. Each call to an engine runs in its own goroutine, and reports events to the loop.
type flight struct {
	x      *exchange        // The caller's request with its answer.
	id     decide.ID        // The decision core's number for the request.
	call   *dispatch.Call   // Receives the decision core's actions for the request.
	ctx    context.Context  // Ends with the caller's connection, at the deadline, or when runStream returns.
	events chan flightEvent // The events that the calls to engines report.
	calls  sync.WaitGroup   // Waits for the running calls to engines.

	prefillAttempt decide.Attempt // The attempt number of the current prefill call.
	prefillEngine  string         // The engine of the current prefill call.
	decodeAttempt  decide.Attempt // The attempt number of the current decode call.
	decodeEngine   string         // The engine of the current decode call.
	// abandonedAttempt is the attempt number of a decode call that the decision core gave up before the call began to
	// answer. It is 0 if there is no such call. Nothing of the answer to that call is passed to the caller.
	abandonedAttempt decide.Attempt
	// plannedDecode is the decode engine of the current attempt. The flight asks this engine to reserve memory.
	plannedDecode string
	// reservation is the memory that an engine has reserved for the flight. source is where the result of the last
	// prefill is stored. Both fields are emptied when an engine begins the answer, or when the memory is freed.
	reservation reservation
	source      Source
	// prefillCalls and decodeCalls are the numbers of prefill and decode calls sent to engines.
	prefillCalls, decodeCalls int
	// runningEngine is the engine whose run of the stream has begun; empty if there is none, or if its end has been
	// published.
	runningEngine string
	// run is the decode call in progress.
	run openRun
	// migration is the migration in progress; nil if there is none.
	migration *migration
	// stopRequests are the migration requests that were sent. endedAttempt is the attempt whose answer has been read to its
	// end. The calls to engines use them too.
	stopRequests stopRequests
	endedAttempt atomic.Int64
	// beganBuild is the build, a string, that wrote the first event. The calls to engines use it too.
	beganBuild atomic.Value
	// partsChanged is closed when the verdict on a part of any prompt changes; nil for a prompt without shared parts.
	partsChanged <-chan struct{}
	// guard keeps calls from being sent once the stream was refused because of a planned stop.
	guard sendGuard
	// stopDecode cancels the current decode call; nil before the first decode call.
	stopDecode context.CancelFunc

	firstEventAt time.Time // When the first event was sent to the caller; zero before that.
	lastEventAt  time.Time // When the last event was sent to the caller; zero before the first.
	lastID       string    // The id of the last event sent to the caller.
	eventsSent   int       // The number of events sent to the caller.
	// publishedBuild is the build at which the stream was last said to begin.
	publishedBuild string
}

// reservation is memory that an engine has reserved for a flight. If there is no such memory, id is empty.
type reservation struct {
	engine string
	id     string
	// owner is the box that granted the memory. Each engine has one owner: the box that decides which streams get the
	// engine's free memory. owner is empty if this box is the engine's owner, or if the engine's owner did not answer.
	owner string
}

// flightEvent is what a call to an engine reports to the loop of its flight. Of the fields after attempt, exactly one
// is set. The only exception is unframed, which may be set together with ended.
type flightEvent struct {
	attempt       decide.Attempt
	reserved      *reservation // An engine has reserved memory.
	noRoom        *noRoom      // No memory was reserved.
	prefillResult *Source      // The prefill is done, and its result is stored there.
	head          *headPart    // The answer has begun.
	part          *part        // More of the answer was received.
	ended         bool         // The answer is complete.
	// unframed is set if the answer had neither a length nor an end marker. Only the close of the connection showed
	// that the answer was over. The end must not be passed on as one that the engine vouched for.
	unframed    bool
	errorAnswer *errorAnswer     // The engine ran the request and answered with an error.
	err         *callError       // The call failed.
	migrated    *migrationResult // An engine has answered a migration request.
	carried     *carried         // Another box carries the connection of the call.
	timer       *migrationTimer  // A timer of a migration has expired. The event has no attempt.
}

// noRoom reports that no memory was reserved. owner is the box that denied the memory, as the owner of the engine.
// owner is empty if the engine itself reserved no memory.
type noRoom struct {
	owner string
	// yields is set if the engine has room, but the owner leaves it to a stream that goes first.
	yields bool
}

// headPart is the header of an answer with the first part of its body.
type headPart struct {
	header  http.Header
	framing h1.Framing
	part    part
}

// part is a piece of a stream. It holds complete events.
type part struct {
	bytes []byte
	// events is the number of events in the part that have an id. lastID is the id of the last of these events; empty
	// if no event has an id.
	lastID string
	events int
	// reservedBytes is the number of bytes of this box's memory that are reserved for the part. The reservation ends
	// when the part has been written to the caller.
	reservedBytes int64
}

// errorAnswer is an error answer that the engine itself wrote. It is passed to the caller unchanged.
type errorAnswer struct {
	resp *http.Response
	body []byte
}

// callError describes a failed call to an engine.
type callError struct {
	reason outcome.Reason
	ran    bool // The engine may have run the caller's request.
	// connLoss describes how the engine closed the connection; empty if the engine did not close it.
	connLoss connLoss
	// dropped is set if the connection was reset or closed before the answer was complete, and not by the engine to stop
	// the run for a migration.
	dropped bool
	// pathBroke is set if the failure says nothing about the engine, because this box's path to it failed.
	pathBroke bool
	// detail is the text of the connection's error, for the trace of the request; empty if there is none.
	detail string
}

// serveStream passes the request to the decision core and carries out its decisions until the request ends.
func (x *exchange) serveStream(ctx context.Context) {
	// A box without connections to other boxes gets no engine loads from them. It has to ask the engines.
	if !x.r.connected() {
		x.r.sampleLoads(ctx, x.service.Name, x.region)
	}
	if o, ok := x.findOrigin(ctx); !ok {
		x.refuse(o)
		return
	}
	if o, ok := x.planBuild(ctx); !ok {
		x.refuse(o)
		return
	}
	o := x.runStream(ctx)
	switch {
	case o.Kind == outcome.Answered:
		x.extendWriteDeadline() // The server still has to write the answer's end, perhaps long after the last event.
		x.trace.Close(o)
	case x.begun || o.Kind == outcome.Cancelled:
		if o.Kind != outcome.Cancelled {
			o.Kind = outcome.CutOff // The decision core does not know that part of the answer has been sent.
		}
		x.cutOff(o) // A plain return would make the incomplete answer look complete.
	case o.Reason == outcome.Draining:
		x.refuseForStop()
	default:
		o.RetryAfter = refusalDelay(o)
		if x.plannedBuild != "" && o.Reason == outcome.BuildGone {
			o.RetryAfter = jitter(retryAfter) // The next attempt has another ID, and may get another build.
		}
		x.refuse(o)
	}
}

// refusalDelay returns the delay that the caller of a refused stream is told. The decision core computes it from the callers
// that all boxes told to retry, as far as this box knows them. It is at least streamRetryAfter: shorter delays brought 410 callers
// that were refused again in place of 264, and no more answers.
func refusalDelay(o outcome.Outcome) time.Duration {
	if o.RetryAfter == 0 {
		return 0
	}
	return max(o.RetryAfter, jitter(streamRetryAfter))
}

// streamRetryAfter is the delay after which the caller of a refused stream is told to retry. An overload of the engines
// lasts some seconds. A caller that retries during the overload is refused again. It loses more time than a caller that
// retries after the overload. Retry delays of 1 to 4 s give the same goodput, apart from noise. With 3 s a tenth fewer
// streams are refused than with 1 s.
const streamRetryAfter = 3 * time.Second

// jitter changes a delay at random by up to 20% in either direction. Callers that are refused at the same time then do
// not all retry at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// runStream has engines process the stream, and returns the outcome. Before it returns, it starts to free all memory
// that engines and this box hold for the stream. The calls that free the memory may still run after the return.
func (x *exchange) runStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	if len(x.meta.Parts) > 0 {
		f.partsChanged = x.r.o.Crashes.PartsChanged()
	}
	f.id, f.call = x.r.disp.Submit(x.meta.ID, f.request())
	// The end is deferred, so that engine memory is freed even if the loop panics. The order matters: the decision core
	// emits its last actions when the request is removed, and drainSteps then records them. The calls are canceled
	// last.
	defer func() {
		f.endRun(false)
		f.publishStreamEnded(false)
		x.r.disp.Remove(f.id)
		f.drainSteps()
		f.shutdown(cancel)
	}()
	return f.loop()
}

// shutdown cancels the flight's calls, and starts to free what engines store for the flight. The loop no longer
// receives events, but some may be left in the buffer. Such an event may report more memory, on this box or at an
// engine. That memory is freed once all calls have returned.
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

// request describes the stream to the decision core: where it may run, how long it is, and what its caller expects.
func (f *flight) request() decide.Request {
	x := f.x
	return decide.Request{
		Pool:           x.service.Name,
		Region:         x.region,
		Hall:           x.r.o.Hall,
		Route:          x.route.Name,
		Client:         x.accountName(),
		Weight:         x.weight(),
		PromptTokens:   x.meta.PromptTokens,
		MaxTokens:      x.reservedOutput(),
		OutputReserve:  x.outputReserve(),
		ExpectedTokens: x.meta.ExpectedOutput,
		Blocks:         x.meta.PrefixHashes,
		FirstToken:     x.route.LatencyTarget,
		BetweenTokens:  x.route.EventGapTarget / time.Duration(x.service.Engines.TokensPerEvent),
		Repeatable:     x.route.repeats(),
		Resumable:      x.route.Resumable,
		Build:          cmp.Or(x.origin.Build, x.plannedBuild),
		Planned:        x.planned,
		Continues:      x.continues(),
		MaxEngines:     x.route.MaxEndpoints,
		PrefillNotRun:  true,
		CallerRetry:    x.isReturning(),
		RefuseEarly:    true,
		MaxWait:        maxStreamWait,
		Kind:           x.route.Kind.String(),
		Rank:           x.priority(),
		Policy:         x.policy(),
	}
}

// loop carries out the decision core's actions and handles the events of the calls, until the request ends. It returns
// the outcome of the request.
func (f *flight) loop() outcome.Outcome {
	waits := f.x.waitsOr(f.ctx).Done()
	for {
		select {
		case <-f.ctx.Done():
			return f.finishExpired()
		case <-waits:
			if o, end := f.endForStop(); end {
				return o
			}
			waits = nil
		case <-f.call.Wake:
			for _, a := range f.call.TakeActions() {
				if o, end := f.apply(a); end {
					return o
				}
			}
		case <-f.partsChanged:
			f.partsChanged = f.x.r.o.Crashes.PartsChanged()
			if o, end := f.endIfQuarantined(); end {
				return o
			}
		case ev := <-f.events:
			if f.ctx.Err() != nil {
				return f.finishExpired(ev) // ev may be the error of a call that was canceled at the request's end.
			}
			if o, end := f.handleEvent(ev); end {
				return o
			}
		}
	}
}

// drainSteps adds the last actions of the decision core to the request's trace. The decision core emitted them when the
// request ended. If they include the stream's timing, drainSteps publishes the timing to the other boxes.
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
		if o, yes := f.awaitVerdict(); yes {
			return o, true
		}
	}
	switch a := a.(type) {
	case decide.Retry:
		// The engine did not answer in time, but may have run the request. A later refusal must not say "not run".
		f.x.ran = f.x.ran || a.Reason == outcome.TransferStalled
	case decide.Migrate:
		f.migrate(a)
	case decide.StartPrefill:
		f.free() // Frees what engines store for an earlier attempt.
		f.prefillAttempt, f.prefillEngine, f.plannedDecode = a.Attempt, a.Prefill, a.Decode
		f.publishOrigin(a.Decode, a.Attempt)
		ctx := f.call.AttemptContext(f.ctx, a.Attempt)
		f.calls.Go(func() { f.callPrefill(ctx, a) })
	case decide.StartDecode:
		if a.Rerun == outcome.TransferStalled {
			f.x.ran = true // The engine did not answer in time, but may have run the request.
			if f.x.suspected() {
				f.x.r.disp.Step(decide.RerunForbidden{ID: f.id, Attempt: a.Attempt})
				break
			}
		}
		if a.Moved != outcome.OK { // The decision core has replaced the decode engine that it chose first.
			f.x.r.m.Moves.Inc()
		}
		f.decodeAttempt, f.decodeEngine, f.plannedDecode = a.Attempt, a.Decode, a.Decode
		f.startRun(a.Decode)
		f.publishOrigin(a.Decode, a.Attempt)
		if a.Prefill == "" {
			f.free() // Frees what engines store for an earlier attempt, also a handle that is not used.
			lost := 0
			if a.Rerun != outcome.OK {
				lost = f.tokensHeld()
			}
			ctx, last := f.bindDecode(a.Attempt), f.lastID
			f.calls.Go(func() { f.callCombined(ctx, a, last, lost) })
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

// countCall counts a prefill or decode call that is sent to an engine. A second call of the same kind also counts as a
// repeated call in the metrics. A call that resumes a migrated stream continues the same run. It is not counted.
func (f *flight) countCall(a decide.Attempt) {
	n := &f.decodeCalls
	if a == f.prefillAttempt {
		n = &f.prefillCalls
	}
	if *n++; *n > 1 {
		f.x.r.m.RepeatedCalls.Inc()
	}
}

// bindDecode returns the context for a decode call. The context ends when the decision core gives the attempt up.
// bindDecode also sets f.stopDecode, which cancels the context.
func (f *flight) bindDecode(a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(f.call.AttemptContext(f.ctx, a))
	f.stopDecode = cancel
	return ctx
}

// freeReservation starts to free the memory that an engine has reserved for the flight, if there is any. It must be
// called no later than the beginning of the answer. From then on the run has memory of its own. Until the reservation
// expires, the engine would count the reservation in addition to the memory of the run.
func (f *flight) freeReservation() {
	if f.reservation.id != "" {
		f.x.r.drop(f.reservation.engine, f.x.r.disp.Address(f.reservation.engine), f.x.r.protocol.ReleaseReservation(f.reservation.id))
		f.reservation = reservation{}
	}
}

// freeReservationElsewhere frees the reservation unless the given engine holds it. That engine will generate the
// answer.
func (f *flight) freeReservationElsewhere(engine string) {
	if f.reservation.engine != engine {
		f.freeReservation()
	}
}

// handleEvent handles an event that a call has reported. If the event ends the request, handleEvent returns the outcome
// and true. An event that does not belong to a current call is ignored, and the memory that it reports is freed.
func (f *flight) handleEvent(ev flightEvent) (outcome.Outcome, bool) {
	if !f.isCurrent(ev) {
		f.freeEvent(ev)
		return outcome.Outcome{}, false
	}
	if f.migration != nil && f.handleMigrationEvent(ev) {
		return outcome.Outcome{}, false
	}
	switch {
	case ev.carried != nil:
		f.x.trace.Step(record.Step{Kind: record.StepTunnel, Attempt: int(ev.attempt), Decode: ev.carried.endpoint, Text: ev.carried.box})
	case ev.err != nil:
		f.handleFailure(ev.attempt, *ev.err)
	case ev.reserved != nil:
		f.reservation = *ev.reserved
		f.publishPlaced(ev.attempt)
		f.countCall(ev.attempt) // Not counted earlier: until now the request was in no engine's queue.
	case ev.noRoom != nil:
		kind := record.StepNoRoom
		if ev.noRoom.yields {
			kind = record.StepYielded
		}
		f.x.trace.Step(record.Step{Kind: kind, Attempt: int(ev.attempt), Decode: f.plannedDecode, Text: ev.noRoom.owner})
		f.x.r.disp.Step(decide.ReservationRefused{ID: f.id, Attempt: ev.attempt, Yielded: ev.noRoom.yields})
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
	case ev.ended && ev.unframed && f.stopRequests.mayHaveStopped(f.decodeEngine):
		f.x.r.m.DoubtfulEnds.Inc()
		f.handleFailure(ev.attempt, stoppedError())
	case ev.ended && ev.unframed && !h1.EndsWithConn(f.x.req, f.x.w.Header()):
		f.handleFailure(ev.attempt, callError{
			reason: outcome.Truncated, ran: true, dropped: true, detail: "the answer had no length, and the caller's answer has a frame",
		})
	case ev.ended:
		f.x.recordServed()
		f.endRun(true)
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.tokensSent()})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// isCurrent reports whether an event belongs to a call, a migration or a timer that the flight still waits for. The attempt number
// of a migration becomes that of the stream's call, so it does not tell whether an event belongs to the present migration.
func (f *flight) isCurrent(ev flightEvent) bool {
	switch {
	case ev.timer != nil:
		return f.migration != nil && f.migration.timer == ev.timer
	case ev.migrated != nil:
		return f.migration.is(ev.attempt)
	case ev.attempt == f.abandonedAttempt:
		return false
	}
	return ev.attempt == f.prefillAttempt || ev.attempt == f.decodeAttempt || f.migration.is(ev.attempt)
}

// freeEvent frees the memory that an event reports, if the loop does not handle the event. This is memory reserved on
// this box, memory reserved at an engine, or a KV cache stored at an engine.
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

// handleFailure adds the failure of a call to the request's trace, and reports it to the decision core. If the engine
// refused the call, this box polls the engine's load, unless an earlier refusal led to a poll just before. If the
// refused call was a prefill, the other boxes are told too.
func (f *flight) handleFailure(a decide.Attempt, e callError) {
	engine := f.decodeEngine
	if a == f.prefillAttempt {
		engine = f.prefillEngine
	}
	f.x.ran = f.x.ran || e.ran
	f.recordFailure(a, engine, &e)
	if a == f.decodeAttempt {
		f.publishStreamEnded(e.ran && f.runningEngine == engine)
	}
	if e.reason == outcome.EndpointRefused {
		f.x.r.pollAfterRefusal(engine)
		if a == f.prefillAttempt {
			f.x.r.publish(overlay.Message{Refused: &overlay.PrefillRefused{Engine: engine}})
		}
	}
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran, PathBroke: e.pathBroke,
		KVCached: a == f.decodeAttempt && e.ran && e.dropped && !f.x.suspected()})
}

// recordFailure adds the failure of a call to the request's trace. If the engine closed the connection, it records that
// loss for the engine.
func (f *flight) recordFailure(a decide.Attempt, engine string, e *callError) {
	f.x.trace.Step(record.Step{Kind: record.StepFailed, Attempt: int(a), Decode: engine, Reason: e.reason, Text: e.detail})
	f.x.recordConnLoss(engine, e.connLoss)
	if a == f.decodeAttempt {
		f.run = openRun{}
	}
}

// free starts to free all that engines store for the flight. This is its memory reservation, the result of its last
// prefill, and the KV cache of an unfinished migration. The calls that free the memory may outlast the request.
// Relay.Drain waits for these calls. If a call fails, the engine frees the memory when the memory expires.
func (f *flight) free() {
	f.freeReservation()
	f.freeMigration()
	f.freeSource()
}

// freeSource starts to free the result of the last prefill, if an engine stores it.
func (f *flight) freeSource() {
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Engine, f.source.Address, f.x.r.protocol.ReleaseHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop sends the call c, which has an engine free memory. drop does not wait for the answer. An unanswered call is
// repeated, because the engine may not have freed the memory. If the engine's port refuses connections, the engine has
// crashed and stores nothing. The call is then not repeated.
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
