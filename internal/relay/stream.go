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
	// eventBuffer is the number of events buffered for a slow caller.
	eventBuffer = 32
	// sideCallTimeout limits the wait for a call that reserves memory, and for a call that frees it.
	sideCallTimeout = 700 * time.Millisecond
	// releaseTries is the number of attempts to free memory if the engine does not answer, and releaseRetryDelay the
	// pause between them.
	releaseTries      = 3
	releaseRetryDelay = 250 * time.Millisecond
	// maxSideAnswer limits the answer to such a call, in bytes.
	maxSideAnswer = 64 << 10
)

// flight is the state of a stream while engines process it.
type flight struct {
	x      *exchange
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context // Ends with the caller's connection, the deadline or the request.
	events chan flightEvent
	calls  sync.WaitGroup // Calls to engines, which report to events.

	prefillAttempt decide.Attempt // The current prefill.
	prefillEngine  string         // The current prefill engine.
	decodeAttempt  decide.Attempt // The current decode call.
	decodeEngine   string         // The current decode engine.
	// abandoned is the decode call that the decision core gave up as its answer began; 0 if there is none.
	abandoned decide.Attempt
	// plannedDecode is the decode engine that is asked for a reservation.
	plannedDecode string
	// reservation and source are what engines store for the flight: reserved memory, and the result of the last
	// prefill. Both are freed with the flight, unless an engine that has begun the answer has used them.
	reservation reservation
	source      Source
	// prefillCalls and decodeCalls count the calls sent to engines.
	prefillCalls, decodeCalls int
	// migration is the migration in progress; nil if there is none.
	migration *migration
	// stopDecode cancels the current decode call.
	stopDecode context.CancelFunc

	firstEventAt time.Time // When the first event was sent to the caller; zero before.
	lastEventAt  time.Time // When the last event was sent; zero before.
	lastID       string    // The id of the last event sent to the caller.
	eventsSent   int       // The number of events sent to the caller.
}

// reservation is memory reserved for the flight; the ID is empty if there is none.
type reservation struct {
	engine string
	id     string
	// owner is the box that granted the room; empty if none did.
	owner string
}

// flightEvent is an event reported by a call to an engine. Exactly one of the fields after attempt is set, except
// that unframed may be set together with ended.
type flightEvent struct {
	attempt   decide.Attempt
	reserved  *reservation // Memory was reserved.
	noRoom    *noRoom      // The reservation was refused.
	prefilled *Source      // The prefill is done.
	head      *headPart    // The answer began.
	part      *part        // More of the answer.
	ended     bool         // The answer is complete.
	// unframed is set if only the close of the connection marked the end of the answer.
	unframed bool
	final    *finalPart
	err      *callError
	migrated *migrationResult // An engine answered a migration request.
	overdue  bool             // A call stopped for a migration has not ended in time.
	// unanswered is set if a migration was not answered in time after its run has ended.
	unanswered bool
}

// noRoom names the box that denied the reservation as the engine's owner; empty if the engine itself refused.
type noRoom struct{ owner string }

// headPart is the header of an answer with the first part of its body.
type headPart struct {
	header http.Header
	part   part
}

// part is a sequence of whole events of a stream.
type part struct {
	bytes []byte
	// lastID is the id of the last event with one, empty if there is none, and events the number of events with one.
	lastID string
	events int
	// reservedBytes is the memory reserved for it until it is written, in bytes.
	reservedBytes int64
}

// finalPart is an engine's own error answer, which is passed to the caller unchanged.
type finalPart struct {
	resp *http.Response
	body []byte
}

// callError is a failed call to an engine.
type callError struct {
	reason outcome.Reason
	ran    bool
	// connLoss is set if the engine closed the connection.
	connLoss connLoss
	// detail is the connection's error, for the record; empty if there is none.
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
			o.Kind = outcome.CutOff // The decision core does not know how much of the answer the caller has.
		}
		x.cutOff(o) // A plain return would end the stream as if it were complete.
	default:
		if o.RetryAfter > 0 {
			o.RetryAfter = max(o.RetryAfter, jitter(streamRetryAfter))
		}
		x.refuse(o)
	}
}

// streamRetryAfter is the retry delay of a refused stream. An overload of the engines lasts some seconds, and a
// caller that returns during it and is refused again loses more than one that returns later. Between 1 and 4 s the
// score differs by no more than the noise; 3 s leads to a tenth fewer refusals than 1 s.
const streamRetryAfter = 3 * time.Second

// jitter varies a delay by up to 20%, so that callers refused at the same time do not return at the same time.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// runStream returns when the request has ended, and has then started to free everything stored for it.
func (x *exchange) runStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = x.r.disp.Submit(x.meta.ID, f.request())
	// Deferred, so that engine memory is freed even if the loop panics.
	defer func() {
		f.publishStreamEnded(f.decodeEngine)
		x.r.disp.Remove(f.id)
		f.drainSteps()
		f.end(cancel)
	}()
	return f.loop()
}

// end cancels the flight's calls and frees its reservations. A call may have reported memory that the loop no longer
// receives: that is freed once all calls have returned.
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
		Rank:           x.rank(),
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
				return f.finishExpired(ev) // The calls of a request are canceled with it.
			}
			if o, end := f.handleEvent(ev); end {
				return o
			}
		}
	}
}

// finishExpired delivers an answer whose end was already received when the request's context ended: a box that was not
// scheduled for a while finds both at once. An answer that is incomplete and has not begun is not begun.
func (f *flight) finishExpired(taken ...flightEvent) outcome.Outcome {
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
	return f.expiredOutcome()
}

// collectUntilEnd appends the events reported by calls up to the end of an answer or an error, and reports whether
// it found the end of an answer.
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

// expiredOutcome returns the outcome of a request whose context has ended.
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

// drainSteps records the actions that the decision core emitted with the end of the request.
func (f *flight) drainSteps() {
	for _, a := range f.call.TakeActions() {
		f.recordStep(a)
		if took, ok := a.(decide.RequestTiming); ok {
			f.x.r.publishTiming(f.x.service.Name, took.Timing)
		}
	}
}

func (f *flight) recordStep(a decide.Action) {
	if s, ok := record.NewStep(a); ok {
		f.x.trace.Step(s)
	}
}

// apply carries out an action of the decision core.
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
		// A call given up without an answer may have run, so quarantined must not report it as "not run".
		f.x.ran = f.x.ran || a.Reason == outcome.TransferStalled
	case decide.Migrate:
		f.migrate(a)
	case decide.StartPrefill:
		f.free() // Reservations of an earlier attempt.
		f.prefillAttempt, f.prefillEngine, f.plannedDecode = a.Attempt, a.Prefill, a.Decode
		ctx := f.call.AttemptContext(f.ctx, a.Attempt)
		f.calls.Go(func() { f.callPrefill(ctx, a) })
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.r.m.Moves.Inc()
		}
		f.decodeAttempt, f.decodeEngine, f.plannedDecode = a.Attempt, a.Decode, a.Decode
		if a.Prefill == "" {
			f.free() // Reservations of an earlier attempt.
			ctx, last := f.bindDecode(a.Attempt), f.lastID
			f.calls.Go(func() { f.callCombined(ctx, a, last) })
			break
		}
		f.dropReservationElsewhere(a.Decode)
		f.countCall(a.Attempt)
		run := Run{Instance: a.Decode, Source: f.source, Reservation: f.reservation.id, LastEvent: f.lastID}
		ctx := f.bindDecode(a.Attempt)
		f.calls.Go(func() { f.callDecode(ctx, a, run) })
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// countCall counts a call sent to an engine. Resuming a migrated stream continues the same run and is not counted.
func (f *flight) countCall(a decide.Attempt) {
	n := &f.decodeCalls
	if a == f.prefillAttempt {
		n = &f.prefillCalls
	}
	if *n++; *n > 1 {
		f.x.r.m.RepeatedCalls.Inc()
	}
}

// bindDecode returns the context of a decode call, and sets stopDecode.
func (f *flight) bindDecode(a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(f.call.AttemptContext(f.ctx, a))
	f.stopDecode = cancel
	return ctx
}

// dropReservation frees the reservation. Once the answer has begun the engine counts the memory of the run itself,
// and would count the rest of the reservation beside it until it expires.
func (f *flight) dropReservation() {
	if f.reservation.id != "" {
		f.x.r.drop(f.reservation.engine, f.x.r.disp.Address(f.reservation.engine), f.x.r.protocol.ReleaseReservation(f.reservation.id))
		f.reservation = reservation{}
	}
}

// dropReservationElsewhere frees a reservation at any engine but the one that will generate the answer.
func (f *flight) dropReservationElsewhere(engine string) {
	if f.reservation.engine != engine {
		f.dropReservation()
	}
}

// handleEvent handles an event of a call. An event that does not belong to the current attempt is discarded, and the
// memory that it names is freed.
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
		f.countCall(ev.attempt) // Until now the request was in no engine's queue.
	case ev.noRoom != nil:
		f.x.trace.Step(record.Step{Kind: record.StepNoRoom, Attempt: int(ev.attempt), Decode: f.plannedDecode, Text: ev.noRoom.owner})
		f.x.r.disp.Step(decide.ReservationRefused{ID: f.id, Attempt: ev.attempt})
	case ev.prefilled != nil:
		f.source = *ev.prefilled
		f.x.r.m.PrefillTokens.Add(f.x.meta.PromptTokens)
		f.x.r.disp.Step(decide.PrefillDone{
			ID: f.id, Attempt: ev.attempt, Expires: clock.Now().Add(f.x.service.Engines.HandleTTL),
		})
	case ev.head != nil:
		return f.beginAnswer(ev)
	case ev.part != nil:
		return f.passEvents(ev.part)
	case ev.final != nil:
		return f.passFailure(ev.final), true
	case ev.ended:
		f.x.recordServed()
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.eventsSent * f.x.service.Engines.TokensPerEvent})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// discard frees the memory that an event of an earlier attempt names.
func (f *flight) discard(ev flightEvent) {
	switch {
	case ev.head != nil:
		f.x.r.memory.release(ev.head.part.reservedBytes)
	case ev.part != nil:
		f.x.r.memory.release(ev.part.reservedBytes)
	}
	if ev.reserved != nil {
		f.x.r.drop(ev.reserved.engine, f.x.r.disp.Address(ev.reserved.engine), f.x.r.protocol.ReleaseReservation(ev.reserved.id))
	}
	if ev.prefilled != nil {
		f.x.r.drop(ev.prefilled.Engine, ev.prefilled.Address, f.x.r.protocol.ReleaseHandle(ev.prefilled.Handle))
	}
	if ev.migrated != nil {
		ev.migrated.drop(f.x.r)
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
			f.x.r.publish(overlay.Message{Refused: &overlay.PrefillRefused{Engine: engine}})
		}
	}
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran})
}

// recordFailure records the failure of a call to an engine.
func (f *flight) recordFailure(a decide.Attempt, engine string, e *callError) {
	f.x.trace.Step(record.Step{Kind: record.StepFailed, Attempt: int(a), Decode: engine, Reason: e.reason, Text: e.detail})
	f.x.recordConnLoss(engine, e.connLoss)
}

// beginAnswer passes the header of the answer on, unless that of an earlier engine was: a stream resumed at another
// engine keeps the first header. Nothing is passed on of a call that the decision core has given up.
func (f *flight) beginAnswer(ev flightEvent) (outcome.Outcome, bool) {
	if !f.migration.is(ev.attempt) && !f.x.r.disp.AcceptFirstToken(decide.FirstToken{
		ID: f.id, Attempt: ev.attempt, Tokens: ev.head.part.events * f.x.service.Engines.TokensPerEvent,
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
	f.source = Source{} // The engine has used it.
	f.dropReservation()
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

// passFailure sends an engine's own error answer to the caller.
func (f *flight) passFailure(p *finalPart) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointLost, Detail: "the engine answered " + p.resp.Status}
	}
	f.x.copyHead(p.resp.Header)
	f.x.writeStatus(p.resp.StatusCode)
	_, _ = f.x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}

// free frees what engines store for the flight. The calls for that may outlive the request; a drain waits for them.
// If they fail, the memory is freed when it expires at the engine.
func (f *flight) free() {
	f.dropReservation()
	f.dropMigration()
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Engine, f.source.Address, f.x.r.protocol.ReleaseHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop makes a call that frees memory, without waiting for it. If there is no answer the memory may not have been
// freed, and the call is repeated; an engine whose port refuses connections has crashed and stores nothing.
func (r *Relay) drop(engine, address string, c Call) {
	r.m.Aborts.Inc()
	r.cleanups.Go(func() {
		for range releaseTries {
			_, _, err := r.sidePool.DoShort(context.Background(), sideCallTimeout, sideRequest(engine, address, c), maxSideAnswer)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			time.Sleep(releaseRetryDelay)
		}
		r.m.AbortsLost.Inc()
	})
}
