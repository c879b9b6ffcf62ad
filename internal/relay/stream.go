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
	// dropTries is how often memory is freed whose engine does not answer, and dropAgain the pause.
	dropTries = 3
	dropAgain = 250 * time.Millisecond
	// sideAnswer bounds the answer to one, in bytes.
	sideAnswer = 64 << 10
)

// flight is one stream while engines work on it.
type flight struct {
	x      *exchange
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context // Ends with the caller, the deadline or the request.
	events chan flightEvent
	calls  sync.WaitGroup // Those to engines, which report to events.

	read   decide.Attempt // The current prefill.
	reader string         // The current prefill engine.
	write  decide.Attempt // The current decode call.
	writer string         // The current decode engine.
	// givenUp is the decode call that the core gave up as the answer began; 0 if there is none.
	givenUp decide.Attempt
	// planned is the decode engine that is asked to set memory aside.
	planned string
	// hold and source are what engines keep for the flight: memory set aside, and the
	// last prefill's result. Both are freed with the flight, unless an engine that has
	// begun the answer has taken them.
	hold   held
	source Source
	// reads and writes count the calls that were sent, to have the prompt read and the answer made.
	reads, writes int
	// moving is the move of the stream to another engine that is under way; nil if none is.
	moving *migration
	// stopWrite ends the current decode call.
	stopWrite context.CancelFunc

	first  time.Time // When the first event was written; zero before.
	last   time.Time
	lastID string // The id of the last event that the caller was sent.
	made   int    // How many it was sent.
}

// held is memory set aside for the flight; ID is empty if there is none.
type held struct {
	engine string
	id     string
	// home is the box that granted the room; empty if none did.
	home string
}

// flightEvent is what the calls to engines report. Exactly one of the fields after
// attempt is set, and unframed beside ended only.
type flightEvent struct {
	attempt decide.Attempt
	held    *held     // Memory was set aside.
	noRoom  *noRoom   // It was refused.
	read    *Source   // The prompt was read.
	head    *headPart // The answer began.
	part    *part     // The answer went on.
	ended   bool      // The answer is whole.
	// unframed says of an answer that ended that its end was that of its connection.
	unframed bool
	final    *finalPart
	err      *callError
	moved    *moved // An engine answered to a move.
	overdue  bool   // A call that was stopped for a move should have ended.
	// unanswered says that a move should have been answered whose run has ended.
	unanswered bool
}

// noRoom says who refused memory: the engine itself, or its home, which is named.
type noRoom struct{ home string }

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
	// counted is how much of the box's memory it takes until it was written, in bytes.
	counted int64
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
	// broke is set where the engine broke the call off.
	broke brokenOff
	// detail is the error of the connection, for the record; empty if there is none.
	detail string
}

// serveStream gives the request to the core and does what the core says until the
// request ends.
func (x *exchange) serveStream(ctx context.Context) {
	if x.r.outlives(clock.Now(), x.service.Name, x.ask.GuessedOutput) {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: drainRetry})
		return
	}
	if !x.r.connected() {
		x.r.askFresh(ctx, x.service.Name, x.region)
	}
	o := x.runStream(ctx)
	switch {
	case o.Kind == outcome.Answered:
		x.allowWrite() // The server still writes the end, which may come long after the last event.
		x.acc.Close(o)
	case x.begun || o.Kind == outcome.Cancelled:
		if o.Kind != outcome.Cancelled {
			o.Kind = outcome.CutOff // The core does not know how much of the answer the caller has.
		}
		x.cutOff(o) // A plain return would close the stream as if it were whole.
	default:
		if o.RetryAfter > 0 {
			o.RetryAfter = max(o.RetryAfter, spread(streamBack))
		}
		x.refuse(o)
	}
}

// streamBack is when a refused stream may be tried again. What fills the engines lasts
// some seconds, and a caller that comes back into it and is refused again has lost more
// than one that came later. Measured from 1 to 4 s: no difference beyond the noise in
// credit, and a tenth fewer refusals at 3 s than at 1 s.
const streamBack = 3 * time.Second

// spread keeps callers refused together from coming back together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.8 + 0.4*rand.Float64()))
}

// runStream returns when the request has ended; by then everything that it still held
// is being freed.
func (x *exchange) runStream(ctx context.Context) outcome.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = x.r.disp.Arrive(x.ask.ID, f.request())
	// Deferred, so that even a panic in the loop leaves no engine memory held.
	defer func() {
		f.tellEnded(f.writer)
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
	f.x.r.frees.Go(func() {
		f.calls.Wait()
		for len(f.events) > 0 {
			f.late(<-f.events)
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
		PromptTokens:  x.ask.PromptTokens,
		MaxTokens:     x.reserve(),
		Ahead:         x.ahead(),
		ExpectTokens:  x.ask.GuessedOutput,
		Blocks:        x.ask.Shared,
		FirstToken:    x.route.Objective,
		BetweenTokens: x.route.Gap / time.Duration(x.service.Engines.Stride),
		Repeatable:    x.route.repeats(),
		Resumable:     x.route.Resumable,
		MaxEngines:    x.route.Tries,
		ReadNotRun:    true,
		CameBack:      x.route.cameBack(x.ask.Patience),
		RefuseEarly:   true,
		MaxWait:       maxWait,
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
				if o, end := f.act(a); end {
					return o
				}
			}
		case ev := <-f.events:
			if f.ctx.Err() != nil {
				return f.rest(ev) // The calls of a request end with it.
			}
			if o, end := f.event(ev); end {
				return o
			}
		}
	}
}

// rest passes on an answer whose end had come when the request's time was over: a box that had no processor
// finds both at once. An answer that has not begun and would be cut off is better not begun.
func (f *flight) rest(taken ...flightEvent) outcome.Outcome {
	list, whole := f.untilEnd(taken)
	for _, ev := range list {
		if !whole || f.x.req.Context().Err() != nil {
			f.late(ev)
			continue
		}
		if o, end := f.event(ev); end {
			return o
		}
	}
	return f.over()
}

// untilEnd takes what calls have reported beside what was taken already, up to the end of an answer or an error,
// and says whether it came to the end.
func (f *flight) untilEnd(list []flightEvent) (_ []flightEvent, whole bool) {
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
		return callerClosed()
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.WaitExpired, RetryAfter: comeBack}
	if f.write != 0 {
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
		f.note(a)
		if took, ok := a.(decide.Took); ok {
			f.x.r.tellTook(f.x.service.Name, took.Timing)
		}
	}
}

func (f *flight) note(a decide.Action) {
	if s, ok := record.StepOf(a); ok {
		f.x.acc.Step(s)
	}
}

// act does what the core decided.
func (f *flight) act(a decide.Action) (outcome.Outcome, bool) {
	f.note(a)
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
		f.read, f.reader, f.planned = a.Attempt, a.Prefill, a.Decode
		ctx := f.call.Bind(f.ctx, a.Attempt)
		f.calls.Go(func() { f.callRead(ctx, a) })
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.r.m.Moves.Inc()
		}
		f.write, f.writer, f.planned = a.Attempt, a.Decode, a.Decode
		if a.Prefill == "" {
			f.free() // What an earlier try left.
			ctx, last := f.bindWrite(a.Attempt), f.lastID
			f.calls.Go(func() { f.callWhole(ctx, a, last) })
			break
		}
		f.leaveHold(a.Decode)
		f.countCall(a.Attempt)
		run := Run{Instance: a.Decode, Source: f.source, Hold: f.hold.id, LastEvent: f.lastID}
		ctx := f.bindWrite(a.Attempt)
		f.calls.Go(func() { f.callWrite(ctx, a, run) })
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// countCall counts a call that is sent to an engine. One that goes on with a moved stream is the
// same run and no call of its own.
func (f *flight) countCall(a decide.Attempt) {
	n := &f.writes
	if a == f.read {
		n = &f.reads
	}
	if *n++; *n > 1 {
		f.x.r.m.CallsAgain.Inc()
	}
}

// bindWrite makes the context of a decode call.
func (f *flight) bindWrite(a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(f.call.Bind(f.ctx, a))
	f.stopWrite = cancel
	return ctx
}

// dropHold gives back memory that was set aside: once the answer has begun the engine
// counts what the run takes, and would count the rest beside it until its lease ends.
func (f *flight) dropHold() {
	if f.hold.id != "" {
		f.x.r.drop(f.hold.engine, f.x.r.disp.Address(f.hold.engine), f.x.r.wire.DropHold(f.hold.id))
		f.hold = held{}
	}
}

// leaveHold frees memory that was set aside at another engine than the one that will
// write the answer.
func (f *flight) leaveHold(engine string) {
	if f.hold.engine != engine {
		f.dropHold()
	}
}

// event takes what a call reported. What does not belong to the current attempt is
// late: it is dropped, and freed where it holds memory.
func (f *flight) event(ev flightEvent) (outcome.Outcome, bool) {
	current := ev.attempt == f.read || ev.attempt == f.write || f.moving.is(ev.attempt)
	if !current || ev.attempt == f.givenUp {
		f.late(ev)
		return outcome.Outcome{}, false
	}
	if f.moving != nil && f.whileMoving(ev) {
		return outcome.Outcome{}, false
	}
	switch {
	case ev.err != nil:
		f.failed(ev.attempt, *ev.err)
	case ev.held != nil:
		f.hold = *ev.held
		f.tellPlaced(ev.attempt)
		f.countCall(ev.attempt) // What was asked until now reached no queue of an engine.
	case ev.noRoom != nil:
		f.x.acc.Step(record.Step{Kind: record.StepNoRoom, Attempt: int(ev.attempt), Decode: f.planned, Text: ev.noRoom.home})
		f.x.r.disp.Step(decide.NoRoom{ID: f.id, Attempt: ev.attempt})
	case ev.read != nil:
		f.source = *ev.read
		f.x.r.m.PrefillTokens.Add(f.x.ask.PromptTokens)
		f.x.r.disp.Step(decide.PrefillDone{
			ID: f.id, Attempt: ev.attempt, Expires: clock.Now().Add(f.x.service.Engines.HandleFor),
		})
	case ev.head != nil:
		return f.begin(ev)
	case ev.part != nil:
		return f.pass(ev.part)
	case ev.final != nil:
		return f.passFailure(ev.final), true
	case ev.ended:
		f.x.answered()
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.made * f.x.service.Engines.Stride})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// late frees what a call of an earlier attempt brought.
func (f *flight) late(ev flightEvent) {
	switch {
	case ev.head != nil:
		f.x.r.memory.give(ev.head.part.counted)
	case ev.part != nil:
		f.x.r.memory.give(ev.part.counted)
	}
	if ev.held != nil {
		f.x.r.drop(ev.held.engine, f.x.r.disp.Address(ev.held.engine), f.x.r.wire.DropHold(ev.held.id))
	}
	if ev.read != nil {
		f.x.r.drop(ev.read.Engine, ev.read.Address, f.x.r.wire.DropHandle(ev.read.Handle))
	}
	if ev.moved != nil {
		ev.moved.drop(f.x.r)
	}
}

func (f *flight) failed(a decide.Attempt, e callError) {
	engine := f.writer
	if a == f.read {
		engine = f.reader
	}
	f.x.ran = f.x.ran || e.ran
	f.recordFailure(a, engine, &e)
	if e.reason == outcome.EndpointRefused {
		f.x.r.askWhy(engine)
		if a == f.read {
			f.x.r.tell(overlay.Fact{Refused: &overlay.Refused{Engine: engine}})
		}
	}
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran})
}

// recordFailure notes how a call to an engine failed.
func (f *flight) recordFailure(a decide.Attempt, engine string, e *callError) {
	f.x.acc.Step(record.Step{Kind: record.StepFailed, Attempt: int(a), Decode: engine, Reason: e.reason, Text: e.detail})
	f.x.brokeOff(engine, e.broke)
}

// begin passes the head of the answer on, unless an earlier engine's head was: a stream
// that goes on at another engine keeps the first one's. Of a call that the core has given up
// nothing is passed on.
func (f *flight) begin(ev flightEvent) (outcome.Outcome, bool) {
	if !f.moving.is(ev.attempt) && !f.x.r.disp.Begin(decide.FirstToken{
		ID: f.id, Attempt: ev.attempt, Tokens: ev.head.part.events * f.x.service.Engines.Stride,
	}) {
		f.givenUp = ev.attempt
		f.late(ev)
		return outcome.Outcome{}, false
	}
	if f.first.IsZero() {
		f.first = clock.Now()
		f.x.rec.FirstToken = f.first.Sub(f.x.arrived)
		f.x.r.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
	}
	f.source = Source{} // The engine has taken it.
	f.dropHold()
	if f.moving.is(ev.attempt) {
		f.wentOn()
		return f.pass(&ev.head.part)
	}
	f.x.acc.Step(record.Step{Kind: record.StepFirst, Decode: f.writer})
	if !f.x.begun {
		f.x.takeHead(ev.head.header)
		f.x.writeStatus(http.StatusOK)
	}
	return f.pass(&ev.head.part)
}

// pass sends events to the caller.
func (f *flight) pass(p *part) (outcome.Outcome, bool) {
	if len(p.bytes) == 0 {
		return outcome.Outcome{}, false
	}
	now := clock.Now()
	if !f.last.IsZero() {
		gap := now.Sub(f.last)
		f.x.r.m.BetweenTokens.Update(gap.Seconds())
		f.x.rec.LongestGap = max(f.x.rec.LongestGap, gap)
	}
	f.last = now
	f.x.rec.Output++
	if p.lastID != "" {
		f.lastID = p.lastID
	}
	f.made += p.events
	_, err := callerWriter{f.x}.Write(p.bytes)
	f.x.r.memory.give(p.counted)
	if err == nil && len(f.events) == 0 {
		err = http.NewResponseController(f.x.w).Flush()
	}
	if err != nil {
		return unread(err), true
	}
	return outcome.Outcome{}, false
}

// passFailure sends an engine's own failure to the caller.
func (f *flight) passFailure(p *finalPart) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointDied, Detail: "the engine answered " + p.resp.Status}
	}
	f.x.takeHead(p.resp.Header)
	f.x.writeStatus(p.resp.StatusCode)
	_, _ = f.x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}

// free gives back what the flight still holds. It outlives the request and is waited
// for by a drain; beyond that the engines' own expiry frees the memory.
func (f *flight) free() {
	f.dropHold()
	f.dropMoving()
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Engine, f.source.Address, f.x.r.wire.DropHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop makes a call that frees memory, without waiting for it. A call without an answer may not have freed
// it and is made again; an engine whose port refuses has ended, and holds nothing.
func (r *Relay) drop(engine, address string, c Call) {
	r.m.Aborts.Inc()
	r.frees.Go(func() {
		for range dropTries {
			_, _, err := r.side.Call(context.Background(), sideLimit, sideRequest(engine, address, c), sideAnswer)
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			time.Sleep(dropAgain)
		}
		r.m.AbortsLost.Inc()
	})
}
