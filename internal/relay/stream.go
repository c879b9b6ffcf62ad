package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

const (
	// eventBuffer lets a few events wait for a caller that reads slowly.
	eventBuffer = 32
	// sideLimit bounds a call that sets memory aside or frees it.
	sideLimit = 700 * time.Millisecond
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

	read   decide.Attempt // The current prefill.
	write  decide.Attempt // The current decode call.
	writer string         // The current decode engine.
	// hold and source are what engines keep for the flight: memory set aside, and the
	// last prefill's result. Both are freed with the flight, unless an engine that has
	// begun the answer has taken them.
	hold   held
	source Source

	first  time.Time // When the first event was written; zero before.
	last   time.Time
	lastID string // The id of the last event that the caller was sent.
}

// held is memory set aside for the flight; ID is empty if there is none.
type held struct {
	engine string
	id     string
}

// flightEvent is what the calls to engines report. Exactly one of the fields after
// attempt is set.
type flightEvent struct {
	attempt decide.Attempt
	held    *held     // Memory was set aside.
	noRoom  bool      // It was refused.
	read    *Source   // The prompt was read.
	head    *headPart // The answer began.
	part    *part     // The answer went on.
	ended   bool      // The answer is whole.
	final   *finalPart
	err     *callError
}

// headPart is an answer's head together with what came first of its body.
type headPart struct {
	header http.Header
	part   part
}

// part is some whole events of a stream.
type part struct {
	bytes []byte
	// lastID is the id of the last event in it; empty if none had one.
	lastID string
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
}

// serveStream gives the request to the core and does what the core says until the
// request ends.
func (x *exchange) serveStream(ctx context.Context) {
	if x.r.outlives(time.Now(), x.ask.GuessedOutput) {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: drainRetry})
		return
	}
	o := x.runStream(ctx)
	switch {
	case o.Kind == outcome.Answered:
		x.finish(o)
	case x.begun || o.Kind == outcome.Cancelled:
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
		x.r.disp.Leave(f.id)
		f.drainSteps()
		cancel()
		f.free()
	}()
	return f.loop()
}

func (f *flight) request() decide.Request {
	x := f.x
	return decide.Request{
		Pool:          x.service.Name,
		Region:        x.r.o.Region,
		Route:         x.route.Name,
		PromptTokens:  x.ask.PromptTokens,
		MaxTokens:     x.reserve(),
		ExpectTokens:  x.ask.GuessedOutput,
		Blocks:        x.ask.Shared,
		FirstToken:    x.route.Objective,
		BetweenTokens: x.route.Gap / time.Duration(x.service.Engines.Stride),
		Repeatable:    x.route.repeats(),
		Resumable:     x.route.Resumable,
		ReadNotRun:    true,
		CameBack:      x.route.cameBack(x.ask.Patience),
		DecideWithin:  x.route.Objective * 9 / 40,
		MaxWait:       maxWait,
	}
}

func (f *flight) loop() outcome.Outcome {
	for {
		select {
		case <-f.ctx.Done():
			return f.over()
		case <-f.call.Wake:
			for _, a := range f.call.Take() {
				if o, end := f.act(a); end {
					return o
				}
			}
		case ev := <-f.events:
			if o, end := f.event(ev); end {
				return o
			}
		}
	}
}

// over says why the request's context ended.
func (f *flight) over() outcome.Outcome {
	if f.x.req.Context().Err() != nil {
		return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone}
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
	}
}

func (f *flight) note(a decide.Action) {
	if s, ok := record.StepOf(a); ok {
		f.x.step(s)
	}
}

// act does what the core decided.
func (f *flight) act(a decide.Action) (outcome.Outcome, bool) {
	f.note(a)
	switch a := a.(type) {
	case decide.StartPrefill:
		f.free() // What an earlier try left.
		f.read = a.Attempt
		go f.callRead(f.call.Bind(f.ctx, a.Attempt), a)
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.r.m.Moves.Inc()
		}
		f.write, f.writer = a.Attempt, a.Decode
		if a.Prefill == "" {
			f.free() // What an earlier try left.
			go f.callWhole(f.call.Bind(f.ctx, a.Attempt), a)
			break
		}
		f.leaveHold(a.Decode)
		run := Run{Instance: a.Decode, Source: f.source, Hold: f.hold.id, LastEvent: f.lastID}
		go f.callWrite(f.call.Bind(f.ctx, a.Attempt), a, run)
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// leaveHold frees memory that was set aside at another engine than the one that will
// write the answer.
func (f *flight) leaveHold(engine string) {
	if f.hold.id != "" && f.hold.engine != engine {
		f.x.r.drop(f.x.r.disp.Address(f.hold.engine), f.x.r.wire.DropHold(f.hold.id))
		f.hold = held{}
	}
}

// event takes what a call reported. What does not belong to the current attempt is
// late: it is dropped, and freed where it holds memory.
func (f *flight) event(ev flightEvent) (outcome.Outcome, bool) {
	if ev.attempt != f.read && ev.attempt != f.write {
		f.late(ev)
		return outcome.Outcome{}, false
	}
	switch {
	case ev.err != nil:
		f.failed(ev.attempt, *ev.err)
	case ev.held != nil:
		f.hold = *ev.held
	case ev.noRoom:
		f.x.r.disp.Step(decide.NoRoom{ID: f.id, Attempt: ev.attempt})
	case ev.read != nil:
		f.source = *ev.read
		f.x.r.m.PrefillTokens.Add(f.x.ask.PromptTokens)
		f.x.r.disp.Step(decide.PrefillDone{
			ID: f.id, Attempt: ev.attempt, Expires: time.Now().Add(f.x.service.Engines.HandleFor),
		})
	case ev.head != nil:
		return f.begin(ev)
	case ev.part != nil:
		return f.pass(ev.part)
	case ev.final != nil:
		return f.passFailure(ev.final), true
	case ev.ended:
		f.x.r.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt})
		return outcome.Outcome{Kind: outcome.Answered}, true
	}
	return outcome.Outcome{}, false
}

// late frees what a call of an earlier attempt brought.
func (f *flight) late(ev flightEvent) {
	if ev.held != nil {
		f.x.r.drop(f.x.r.disp.Address(ev.held.engine), f.x.r.wire.DropHold(ev.held.id))
	}
	if ev.read != nil {
		f.x.r.drop(ev.read.Address, f.x.r.wire.DropHandle(ev.read.Handle))
	}
}

func (f *flight) failed(a decide.Attempt, e callError) {
	f.x.r.disp.Step(decide.Failed{ID: f.id, Attempt: a, Reason: e.reason, Ran: e.ran})
}

// begin passes the head of the answer on, unless an earlier engine's head was: a stream
// that goes on at another engine keeps the first one's.
func (f *flight) begin(ev flightEvent) (outcome.Outcome, bool) {
	if f.first.IsZero() {
		f.first = time.Now()
		f.x.rec.FirstToken = f.first.Sub(f.x.arrived)
		f.x.r.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
	}
	f.hold, f.source = held{}, Source{} // The engine has taken them.
	f.x.r.disp.Step(decide.FirstToken{ID: f.id, Attempt: ev.attempt})
	f.x.step(record.Step{Kind: record.StepFirst, Decode: f.writer})
	if !f.x.begun {
		h := f.x.w.Header()
		closing := h.Get("Connection")
		h1.CopyHeaders(h, ev.head.header)
		if closing != "" {
			h.Set("Connection", closing)
		}
		h.Del("Content-Length")
		f.x.begun = true
		f.x.w.WriteHeader(http.StatusOK)
	}
	return f.pass(&ev.head.part)
}

// pass sends events to the caller.
func (f *flight) pass(p *part) (outcome.Outcome, bool) {
	now := time.Now()
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
	if _, err := f.x.w.Write(p.bytes); err != nil {
		return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone}, true
	}
	if len(f.events) == 0 {
		if err := http.NewResponseController(f.x.w).Flush(); err != nil {
			return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone}, true
		}
	}
	return outcome.Outcome{}, false
}

// passFailure sends an engine's own failure to the caller. The engine ran the request,
// so a status that promises otherwise is not passed on.
func (f *flight) passFailure(p *finalPart) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointDied}
	}
	x := f.x
	h := x.w.Header()
	closing := h.Get("Connection")
	h1.CopyHeaders(h, p.resp.Header)
	if closing != "" {
		h.Set("Connection", closing)
	}
	h.Del("Content-Length")
	status := p.resp.StatusCode
	if promises(status) {
		status = http.StatusBadGateway
		x.r.wire.Vouch(h)
	}
	x.begun = true
	x.w.WriteHeader(status)
	_, _ = x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}

// send reports to the loop. Where the request is over by then, what the call brought
// is freed here.
func (f *flight) send(ev flightEvent) bool {
	select {
	case f.events <- ev:
		return true
	case <-f.ctx.Done():
		f.late(ev)
		return false
	}
}

// callRead sets memory aside at the decode engine and then has the prompt read.
func (f *flight) callRead(ctx context.Context, a decide.StartPrefill) {
	x := f.x
	hold, ok := f.setAside(ctx, a.Attempt, a.Decode)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, held: &hold}) {
		return
	}
	address := x.r.disp.Address(a.Prefill)
	resp, err := x.r.pool.Do(ctx, x.request(address, Run{Instance: a.Prefill, ReadOnly: true}))
	if err != nil {
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err)}})
		return
	}
	body, err := h1.Drain(resp, sideAnswer)
	switch {
	case err != nil:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.Truncated}})
	case resp.StatusCode != http.StatusOK:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.EndpointRefused}})
	default:
		handle, err := x.r.wire.Read(body)
		if err != nil {
			f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.Crossed}})
			return
		}
		f.send(flightEvent{attempt: a.Attempt, read: &Source{Address: address, Handle: handle}})
	}
}

// callWhole sets memory aside at a decode engine and then has it read the prompt and
// make the answer.
func (f *flight) callWhole(ctx context.Context, a decide.StartDecode) {
	hold, ok := f.setAside(ctx, a.Attempt, a.Decode)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, held: &hold}) {
		return
	}
	f.callWrite(ctx, a, Run{Instance: a.Decode, Hold: hold.id, LastEvent: f.lastID})
}

// setAside has a decode engine hold memory, so that no prompt is read without a place
// to go. Where it has none the core is told, and ok is false.
func (f *flight) setAside(ctx context.Context, a decide.Attempt, engine string) (h held, ok bool) {
	x := f.x
	address := x.r.disp.Address(engine)
	c := x.r.wire.TakeHold(x.ask.PromptTokens+x.reserve(), min(x.service.Engines.HoldFor, holdFor))
	resp, body, err := x.r.side.Call(ctx, sideLimit, sideRequest(address, c), sideAnswer)
	if ctx.Err() != nil {
		return h, false
	}
	id := ""
	if err == nil && resp.StatusCode == http.StatusOK {
		id, err = x.r.wire.Held(body)
	}
	if err != nil || id == "" {
		f.send(flightEvent{attempt: a, noRoom: true})
		return h, false
	}
	return held{engine: engine, id: id}, true
}

func sideRequest(address string, c Call) *h1.Request {
	h := http.Header{}
	if c.Body != nil {
		h.Set("Content-Type", "application/json")
	}
	return &h1.Request{Address: address, Method: c.Method, Target: c.Target, Host: address, Header: h, Body: c.Body}
}

// reasonOf says why a call that failed without an answer did.
func reasonOf(err error) outcome.Reason {
	var e *h1.Error
	switch {
	case errors.As(err, &e) && !e.Sent:
		return outcome.ConnectFailed
	case errors.Is(err, h1.ErrSurplus):
		return outcome.Crossed
	}
	return outcome.EndpointDied
}

// maxWait is how long a stream waits that may be late: callers give a stream up that
// does not begin.
const maxWait = 2500 * time.Millisecond

// reservePart is the part of an answer's expected tokens for which memory is set aside.
// Streams are at all points of their answers at once, so an engine that is full of
// whole answers on paper is half empty in fact.
//
// docs/design/relay.md has the figures that chose it together with holdFor.
const reservePart = 0.9

// holdFor is how long memory is set aside. An engine counts it beside what the run uses
// until then, so it must reach from before the prompt is read to the first event and not
// much further: with 2 s, 40 of 90 thousand tokens of each engine were set aside for
// streams that had long begun.
const holdFor = time.Second

// reserve is the memory to set aside for the answer, in tokens: never more than makes a
// request fit into an empty engine.
func (x *exchange) reserve() int {
	n := x.ask.MaxOutput
	if x.ask.GuessedOutput > 0 {
		n = int(reservePart * float64(min(x.ask.GuessedOutput, n)))
	}
	return max(0, min(n, x.service.Engines.KVTokens-x.ask.PromptTokens))
}

// callWrite has the answer made and reports its parts.
func (f *flight) callWrite(ctx context.Context, a decide.StartDecode, run Run) {
	x := f.x
	resp, err := x.r.pool.Do(ctx, x.request(x.r.disp.Address(a.Decode), run))
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		var e *h1.Error
		sent := !errors.As(err, &e) || e.Sent
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err), ran: sent}})
		return
	}
	defer resp.Body.Close()
	reply := x.r.wire.Reply(resp)
	switch {
	case reply.NotRun:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.EndpointRefused}})
	case !reply.Signed:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.Crossed, ran: true}})
	case resp.StatusCode != http.StatusOK:
		f.failure(a.Attempt, resp)
	default:
		f.pump(a.Attempt, resp)
	}
}

// failure reports an engine's own failure.
func (f *flight) failure(a decide.Attempt, resp *http.Response) {
	body, err := h1.Drain(resp, heldAnswer)
	if err != nil || f.x.route.Resumable {
		f.send(flightEvent{attempt: a, err: &callError{reason: outcome.EndpointDied, ran: true}})
		return
	}
	f.send(flightEvent{attempt: a, final: &finalPart{resp: resp, body: body}})
}

// pump reads a stream to its end and reports whole events only: an engine may stop in
// the middle of one, and the stream then goes on elsewhere after the last whole one.
func (f *flight) pump(a decide.Attempt, resp *http.Response) {
	var s splitter
	buf := make([]byte, 4<<10)
	begun := false
	for {
		n, err := resp.Body.Read(buf)
		p := s.add(buf[:n])
		if errors.Is(err, io.EOF) {
			p.bytes = append(p.bytes, s.rest...)
		}
		if len(p.bytes) > 0 {
			ev := flightEvent{attempt: a, part: &p}
			if !begun {
				ev = flightEvent{attempt: a, head: &headPart{header: resp.Header, part: p}}
			}
			begun = true
			if !f.send(ev) {
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF) && begun:
			_ = resp.Body.Close() // The connection may be used again.
			f.send(flightEvent{attempt: a, ended: true})
			return
		case err != nil:
			f.send(flightEvent{attempt: a, err: &callError{reason: outcome.Truncated, ran: true}})
			return
		}
	}
}

// free gives back what the flight still holds. It outlives the request and is waited
// for by a drain; beyond that the engines' own expiry frees the memory.
func (f *flight) free() {
	if f.hold.id != "" {
		f.x.r.drop(f.x.r.disp.Address(f.hold.engine), f.x.r.wire.DropHold(f.hold.id))
		f.hold = held{}
	}
	if f.source.Handle != "" {
		f.x.r.drop(f.source.Address, f.x.r.wire.DropHandle(f.source.Handle))
		f.source = Source{}
	}
}

// drop makes a call that frees memory, without waiting for it.
func (r *Relay) drop(address string, c Call) {
	r.m.Aborts.Inc()
	r.frees.Go(func() {
		if _, _, err := r.side.Call(context.Background(), sideLimit, sideRequest(address, c), sideAnswer); err != nil {
			r.m.AbortsLost.Inc()
		}
	})
}
