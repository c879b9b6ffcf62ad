package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file has the calls of a flight to engines. Each call runs in its own goroutine. It reports events to the
// flight's loop, and changes no state of the flight.

// send reports an event to the loop. If the request has ended, send may instead free the memory that the event
// reports. send then returns false.
func (f *flight) send(ev flightEvent) bool {
	select {
	case f.events <- ev:
		return true
	case <-f.ctx.Done():
		f.freeEvent(ev)
		return false
	}
}

// callPrefill reserves memory at the decode engine. It then has the prefill engine prefill the prompt.
func (f *flight) callPrefill(ctx context.Context, a decide.StartPrefill) {
	x := f.x
	reserved, ok := f.reserveKV(ctx, a.Attempt, a.Decode, 0)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, reserved: &reserved}) {
		return
	}
	address := x.r.disp.Address(a.Prefill)
	ctx, cancel := withGracePeriod(ctx, prefillGracePeriod)
	defer cancel()
	sent := clock.Now()
	q := x.request(address, Run{Instance: a.Prefill, PrefillOnly: true})
	q.EndIfSilent = func() bool { return x.r.disp.CanRepeatPrefill(f.id) }
	q.Begin = f.guard.begin
	resp, err := x.r.callerPool.Do(ctx, q)
	f.sendVia(a.Attempt, a.Prefill, q)
	if err != nil {
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err), connLoss: connLossFrom(err), pathBroke: x.r.pathBroke(address, q.Via, err), detail: err.Error()}})
		return
	}
	body, err := h1.ReadLimited(resp, maxControlAnswer)
	switch {
	case err != nil:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.Truncated, connLoss: lossInAnswer(sent, err), pathBroke: errors.Is(err, h1.ErrSilent), detail: err.Error()}})
	case resp.StatusCode != http.StatusOK:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.EndpointRefused}})
	default:
		handle, err := x.r.protocol.ParsePrefill(body)
		if err != nil {
			f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.WrongAnswer}})
			return
		}
		f.send(flightEvent{attempt: a.Attempt, prefillResult: &Source{Engine: a.Prefill, Address: address, Handle: handle}})
	}
}

// prefillGracePeriod is how much longer a prefill call may run once its result is no longer needed. An engine that has
// just finished the prefill stores the result. Only the engine's answer has the handle with which the result can be
// freed. When the grace period ends, the connection is closed, and the engine stops the prefill.
const prefillGracePeriod = 50 * time.Millisecond

// withGracePeriod returns a context that ends a duration d after the end of ctx, or when the returned function is
// called.
func withGracePeriod(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
			cancel()
		case <-out.Done():
		}
	})
	return out, func() {
		stop()
		cancel()
	}
}

// callCombined reserves memory at a decode engine. It then has that engine prefill the prompt and generate the answer.
// lost is the memory, in tokens, that a lost run used, if the engine runs the request again; otherwise it is 0.
func (f *flight) callCombined(ctx context.Context, a decide.StartDecode, lastEvent string, lost int) {
	reserved, ok := f.reserveKV(ctx, a.Attempt, a.Decode, lost)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, reserved: &reserved}) {
		return
	}
	f.callDecode(ctx, a, Run{Instance: a.Decode, Reservation: reserved.id, LastEvent: lastEvent})
}

// reserveKV reserves memory at a decode engine, so that no prompt is prefilled without memory for its result. The owner
// of the engine, a box, is asked for the memory first. ok is false if the owner denies the memory, or if the engine
// reserves none in time. reserveKV then reports noRoom to the loop, unless the attempt has ended.
func (f *flight) reserveKV(ctx context.Context, a decide.Attempt, engine string, lost int) (res reservation, ok bool) {
	x := f.x
	answer, owner := f.askRoom(ctx, engine, lost)
	if !answer.Granted {
		f.send(flightEvent{attempt: a, noRoom: &noRoom{owner: owner, yields: answer.Yields}})
		return res, false
	}
	timeout := time.AfterFunc(controlCallTimeout, func() {
		if ctx.Err() == nil {
			f.send(flightEvent{attempt: a, noRoom: &noRoom{}})
		}
	})
	id := x.r.requestReservation(ctx, engine, x)
	inTime := timeout.Stop()
	switch {
	case inTime && ctx.Err() == nil && id != "":
		return reservation{engine: engine, id: id, owner: owner}, true
	case id != "":
		x.r.drop(engine, x.r.disp.Address(engine), x.r.protocol.ReleaseReservation(id))
	case inTime && ctx.Err() == nil:
		f.send(flightEvent{attempt: a, noRoom: &noRoom{}})
	}
	return res, false
}

// requestReservation has an engine reserve memory for the request, and returns the id of the reservation. The id is
// empty if there is no reservation. Only the engine's answer contains the id. The call therefore goes on after the
// caller has left, for as long as the reservation may last.
func (r *Relay) requestReservation(ctx context.Context, engine string, x *exchange) string {
	ttl := min(x.service.Engines.ReservationTTL, reservationTTL)
	c := r.protocol.Reserve(x.meta.PromptTokens+min(x.outputReserve(), x.reservedOutput()), ttl)
	resp, body, err := r.controlPool.DoShort(context.WithoutCancel(ctx), controlCallTimeout+ttl, controlRequest(engine, r.disp.Address(engine), c), maxControlAnswer)
	if err != nil {
		if mayHaveArrived(err) {
			r.m.ReservationsLost.Inc()
		}
		return ""
	}
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	id, err := r.protocol.ParseReservation(body)
	if err != nil {
		r.rejectAnswer("memory reservation answer could not be parsed", engine, err)
	}
	return id
}

// controlRequest builds the HTTP request for a control call. The box itself sends a control call to an endpoint; the
// call does not carry a caller's request.
func controlRequest(endpoint, address string, c Call) *h1.Request {
	h := http.Header{}
	if c.Body != nil {
		h.Set("Content-Type", "application/json")
	}
	return &h1.Request{Address: address, Endpoint: endpoint, Method: c.Method, Target: c.Target, Host: address, Header: h, Body: c.Body}
}

// mayHaveArrived reports whether a call that failed may have reached the endpoint.
func mayHaveArrived(err error) bool {
	var e *h1.Error
	return !errors.As(err, &e) || e.Sent
}

// reasonOf returns the reason why a call got no answer, derived from the error of the call.
func reasonOf(err error) outcome.Reason {
	switch {
	case !mayHaveArrived(err):
		return outcome.ConnectFailed
	case errors.Is(err, h1.ErrSurplus), httphead.IsMalformed(err):
		return outcome.WrongAnswer
	}
	return outcome.EndpointLost
}

// isConnDropped reports whether the endpoint reset or closed the connection before its answer was complete. Time-outs and
// invalid answers do not count, and neither does the regular end of an answer, which is io.EOF.
func isConnDropped(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrUnexpectedEOF)
}

// maxStreamWait limits how long a stream may wait on the box if it would begin late. Callers abandon a stream that does
// not begin.
const maxStreamWait = 2500 * time.Millisecond

// reservedOutputShare is the share of an answer's expected tokens for which memory is reserved. At any time an engine's
// streams are at different points of their answers. Memory reserved for all the complete answers would therefore leave
// half of the engine empty.
//
// docs/design/relay.md has the figures for this value together with reservationTTL.
const reservedOutputShare = 0.9

// headroomTokens is the number of tokens reserved in addition to reservedOutputShare of an answer. The reason is that
// running streams grow while a new stream is prefilled. A larger reservedOutputShare could replace this fixed number,
// but it would exclude the longest answers.
const headroomTokens = 1500

// reservationTTL is how long memory is reserved. Until the reservation expires, an engine counts it in addition to the
// memory in use. The reservation must last from before the prefill to the first event, and not much longer. With 2 s,
// 40 of the 90 thousand tokens of each engine were reserved for streams that had long begun.
const reservationTTL = time.Second

// connectedReserveTokens is the number of tokens reserved in addition to the prompt if the boxes know of each other's
// streams. All boxes then predict the growth of streams, so a small reservation is enough. A larger reservation would
// withhold memory from other streams until it expires, however early it is released.
const connectedReserveTokens = 512

// outputReserve returns the number of tokens that an engine must have free in addition to the prompt.
func (x *exchange) outputReserve() int {
	if x.r.connected() {
		return connectedReserveTokens
	}
	return x.reservedOutput()
}

// expected returns the expected length of the answer, in tokens.
func (x *exchange) expected() int {
	if x.meta.ExpectedOutput > 0 {
		return x.meta.ExpectedOutput
	}
	return x.meta.MaxOutput
}

// reservedOutput returns the number of tokens to reserve for the answer. It is at most what an empty engine can hold in
// addition to the prompt.
func (x *exchange) reservedOutput() int {
	n := x.meta.MaxOutput
	if x.meta.ExpectedOutput > 0 {
		n = headroomTokens + int(reservedOutputShare*float64(min(x.meta.ExpectedOutput, n)))
	}
	return max(0, min(n, x.service.Engines.KVTokens-x.meta.PromptTokens))
}

// callDecode has a decode engine generate the answer, and reports the parts of the answer.
func (f *flight) callDecode(ctx context.Context, a decide.StartDecode, run Run) {
	x := f.x
	if !f.hasItsBuild(a.Decode) {
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.ConnectFailed, detail: "the list names another build for the engine now"}})
		return
	}
	sent := clock.Now()
	q := x.request(x.r.disp.Address(a.Decode), run)
	q.EndIfSilent = func() bool { return x.r.disp.CanResume(f.id) }
	q.Begin = f.guard.begin
	resp, err := x.r.callerPool.Do(ctx, q)
	f.sendVia(a.Attempt, a.Decode, q)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err), ran: mayHaveArrived(err), connLoss: connLossFrom(err), dropped: isConnDropped(err), pathBroke: x.r.pathBroke(q.Address, q.Via, err), detail: err.Error()}})
		return
	}
	defer resp.Body.Close()
	reply := x.r.protocol.ParseReply(resp)
	switch {
	case reply.NotRun:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.EndpointRefused}})
	case !reply.Signed:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.WrongAnswer, ran: true}})
	case resp.StatusCode != http.StatusOK:
		f.reportFailure(a.Attempt, resp, sent)
	case !f.isCalledStart(ctx, a.Decode, q):
		_ = resp.Body.Close() // So that the run has ended before another call is made.
		if ctx.Err() != nil {
			return
		}
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.EndpointLost, ran: true, detail: "the engine did not confirm that it is the start that the list names"}})
	default:
		f.reportStream(a, resp, sent, run.LastEvent != "" || x.meta.LastEvent != "")
	}
}

// reportFailure reports an engine's own error answer. sent is when the request was sent. The loop passes the answer to
// the caller. If the stream can be resumed at another engine, a failed call is reported in place of the answer.
func (f *flight) reportFailure(a decide.Attempt, resp *http.Response, sent time.Time) {
	body, err := h1.ReadLimited(resp, bufferedAnswerBytes)
	switch {
	case err != nil:
		f.send(flightEvent{attempt: a, err: &callError{reason: outcome.EndpointLost, ran: true, connLoss: connLoss{sent: sent}, detail: err.Error()}})
		return
	case f.x.route.Resumable:
		f.send(flightEvent{attempt: a, err: &callError{reason: outcome.EndpointLost, ran: true, detail: "the engine answered " + resp.Status}})
		return
	}
	f.send(flightEvent{attempt: a, errorAnswer: &errorAnswer{resp: resp, body: body}})
}

// maxEventBytes bounds an event of a stream, of which the box keeps what it has received.
const maxEventBytes = 256 << 10

// errEventTooLong means that an engine sent maxEventBytes without the end of an event.
var errEventTooLong = errors.New("the stream has an event that is too long")

// errInsideEvent means that an engine ended a stream in the middle of an event.
var errInsideEvent = errors.New("the stream ended inside an event")

// reportStream reads a stream to its end, and reports only complete events. An engine may stop in the middle of an
// event. The stream is then resumed at another engine after the last complete event. If the stream was resumed, the
// caller may have received the last event before. An empty answer is then complete, unless only the close of the
// connection ended it.
func (f *flight) reportStream(d decide.StartDecode, resp *http.Response, sent time.Time, resumed bool) {
	var s splitter
	a, framing := d.Attempt, h1.FramingOf(resp)
	unframed := framing == h1.CloseDelimited
	body := io.Reader(resp.Body)
	if unframed {
		body = &lifeReader{&f.stopRequests, d.Decode, func() bool { return h1.IsQuiet(resp) }, resp.Body.Read}
	}
	buf := make([]byte, 4<<10)
	begun := false
	for {
		n, err := body.Read(buf)
		p := s.add(buf[:n])
		ended := errors.Is(err, io.EOF)
		if ended {
			f.endedAttempt.Store(int64(a))
			last, inside := s.finish()
			p.join(last)
			if inside {
				err, ended = errInsideEvent, false
			}
		}
		if s.pending() > maxEventBytes {
			err, ended = errEventTooLong, false
		}
		if len(p.bytes) > 0 || !begun && resumed && !unframed && ended {
			if p.reservedBytes = int64(len(p.bytes)); !f.x.r.memory.waitReserve(f.ctx, p.reservedBytes) {
				return
			}
			ev := flightEvent{attempt: a, part: &p}
			if !begun {
				ev = flightEvent{attempt: a, head: &headPart{header: resp.Header, framing: framing, part: p}}
			}
			begun = true
			if !f.send(ev) {
				return
			}
		}
		switch {
		case ended && begun:
			_ = resp.Body.Close() // So that the connection can be used for other requests.
			f.send(flightEvent{attempt: a, ended: true, unframed: unframed})
			return
		case err != nil:
			_ = resp.Body.Close() // So that the run has ended before another call is made.
			f.send(flightEvent{attempt: a, err: &callError{
				reason: outcome.Truncated, ran: true, connLoss: lossInAnswer(sent, err), pathBroke: errors.Is(err, h1.ErrSilent), dropped: isConnDropped(err) || unframed && (ended || errors.Is(err, errInsideEvent)), detail: err.Error(),
			}})
			return
		}
	}
}

// join appends a later part of the same stream.
func (p *part) join(last part) {
	p.bytes = append(p.bytes, last.bytes...)
	p.events += last.events
	if last.lastID != "" {
		p.lastID = last.lastID
	}
}
