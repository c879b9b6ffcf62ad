package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file has a flight's calls to engines. Each call runs in a goroutine of its own, changes no state of the flight,
// and reports events to the flight's loop.

// send reports an event to the loop. If the request has ended, send frees what the event names and returns false.
func (f *flight) send(ev flightEvent) bool {
	select {
	case f.events <- ev:
		return true
	case <-f.ctx.Done():
		f.freeEvent(ev)
		return false
	}
}

// callPrefill reserves memory at the decode engine, and then has the prefill engine prefill the prompt.
func (f *flight) callPrefill(ctx context.Context, a decide.StartPrefill) {
	x := f.x
	reserved, ok := f.reserveKV(ctx, a.Attempt, a.Decode)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, reserved: &reserved}) {
		return
	}
	address := x.r.disp.Address(a.Prefill)
	ctx, cancel := withGracePeriod(ctx, prefillGracePeriod)
	defer cancel()
	sent := clock.Now()
	resp, err := x.r.callerPool.Do(ctx, x.request(address, Run{Instance: a.Prefill, PrefillOnly: true}))
	if err != nil {
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err), connLoss: connLossFrom(err, sent), detail: err.Error()}})
		return
	}
	body, err := h1.ReadLimited(resp, maxControlAnswer)
	switch {
	case err != nil:
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: outcome.Truncated, connLoss: connLoss{sent: sent}, detail: err.Error()}})
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

// prefillGracePeriod is how much longer a prefill may take that is no longer needed. An engine that has just finished
// the prefill has stored its result, and only the engine's answer has the name with which the result can be freed. A
// prefill that takes longer is stopped by closing its connection.
const prefillGracePeriod = 50 * time.Millisecond

// withGracePeriod returns a context that ends a time d after the end of ctx.
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

// callCombined reserves memory at a decode engine, and then has that engine both prefill the prompt and generate the
// answer.
func (f *flight) callCombined(ctx context.Context, a decide.StartDecode, lastEvent string) {
	reserved, ok := f.reserveKV(ctx, a.Attempt, a.Decode)
	if !ok || !f.send(flightEvent{attempt: a.Attempt, reserved: &reserved}) {
		return
	}
	f.callDecode(ctx, a, Run{Instance: a.Decode, Reservation: reserved.id, LastEvent: lastEvent})
}

// reserveKV reserves memory at a decode engine, so that no prompt is prefilled without memory for its result. If the
// engine or its owner refuses, reserveKV reports that to the loop, and ok is false.
func (f *flight) reserveKV(ctx context.Context, a decide.Attempt, engine string) (res reservation, ok bool) {
	x := f.x
	granted, owner := x.r.askRoom(ctx, engine, x)
	if !granted {
		f.send(flightEvent{attempt: a, noRoom: &noRoom{owner}})
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

// requestReservation has an engine reserve memory for the request, and returns the name of the reservation; the name is
// empty if there is none. Only the engine's answer contains the name. If the caller leaves, the call therefore
// continues for as long as the reservation may last.
func (r *Relay) requestReservation(ctx context.Context, engine string, x *exchange) string {
	ttl := min(x.service.Engines.ReservationTTL, reservationTTL)
	c := r.protocol.Reserve(x.meta.PromptTokens+min(x.outputReserve(), x.reservedOutput()), ttl)
	resp, body, err := r.controlPool.DoShort(context.WithoutCancel(ctx), controlCallTimeout+ttl, controlRequest(engine, r.disp.Address(engine), c), maxControlAnswer)
	if err != nil || resp.StatusCode != http.StatusOK {
		return ""
	}
	id, err := r.protocol.ParseReservation(body)
	if err != nil {
		r.o.Recorder.Log.StateChange("memory reservation answer could not be parsed", zap.String("endpoint", engine), zap.Error(err))
	}
	return id
}

// controlRequest builds the HTTP request for a control call, a call to an endpoint that is not a caller's request.
func controlRequest(endpoint, address string, c Call) *h1.Request {
	h := http.Header{}
	if c.Body != nil {
		h.Set("Content-Type", "application/json")
	}
	return &h1.Request{Address: address, Endpoint: endpoint, Method: c.Method, Target: c.Target, Host: address, Header: h, Body: c.Body}
}

// reasonOf returns why a call got no answer, as shown by the error of the call.
func reasonOf(err error) outcome.Reason {
	var e *h1.Error
	switch {
	case errors.As(err, &e) && !e.Sent:
		return outcome.ConnectFailed
	case errors.Is(err, h1.ErrSurplus):
		return outcome.WrongAnswer
	}
	return outcome.EndpointLost
}

// maxStreamWait limits how long a stream may wait on the box if it would begin late, because callers abandon a stream
// that does not begin.
const maxStreamWait = 2500 * time.Millisecond

// reservedOutputShare is the share of an answer's expected tokens for which memory is reserved. At any time the streams
// of an engine are at all points of their answers. An engine whose memory is reserved for complete answers would
// therefore be half empty.
//
// docs/design/relay.md has the figures for this value together with reservationTTL.
const reservedOutputShare = 0.9

// headroomTokens are reserved in addition to reservedOutputShare of an answer, because running streams grow while a new
// stream is prefilled. A larger reservedOutputShare in place of the fixed number would exclude the longest answers.
const headroomTokens = 1500

// reservationTTL is how long memory is reserved. An engine counts a reservation beside the memory in use until the
// reservation expires. So it must last from before the prefill to the first event, and not much longer: with 2 s, 40 of
// the 90 thousand tokens of each engine were reserved for streams that had long begun.
const reservationTTL = time.Second

// connectedReserveTokens are the tokens reserved beside the prompt if the boxes know of each other's streams. All boxes
// then predict the growth of streams, so a small reservation is enough. A larger one would withhold memory from other
// streams until it expires, however early it is released.
const connectedReserveTokens = 512

// outputReserve returns the number of tokens that an engine must have free beside the prompt.
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

// reservedOutput returns the number of tokens to reserve for the answer, and at most what an empty engine has beside
// the prompt.
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
	sent := clock.Now()
	resp, err := x.r.callerPool.Do(ctx, x.request(x.r.disp.Address(a.Decode), run))
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		var e *h1.Error
		ran := !errors.As(err, &e) || e.Sent
		f.send(flightEvent{attempt: a.Attempt, err: &callError{reason: reasonOf(err), ran: ran, connLoss: connLossFrom(err, sent), detail: err.Error()}})
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
	default:
		f.reportStream(a.Attempt, resp, sent, run.LastEvent != "" || x.meta.LastEvent != "")
	}
}

// reportFailure reports an engine's own error answer to a request that was sent at a time. The loop passes the answer
// to the caller, unless the stream can be resumed at another engine.
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

// reportStream reads a stream to its end, and reports only complete events: an engine may stop in the middle of an
// event, and the stream is then resumed at another engine after the last complete event. If the stream was resumed
// after an event, an empty answer is a complete one, since the caller may have received the last event before.
func (f *flight) reportStream(a decide.Attempt, resp *http.Response, sent time.Time, resumed bool) {
	var s splitter
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	buf := make([]byte, 4<<10)
	begun := false
	for {
		n, err := resp.Body.Read(buf)
		p := s.add(buf[:n])
		if errors.Is(err, io.EOF) {
			p.bytes = append(p.bytes, s.rest...)
		}
		if len(p.bytes) > 0 || !begun && resumed && !unframed && errors.Is(err, io.EOF) {
			if p.reservedBytes = int64(len(p.bytes)); !f.x.r.memory.waitReserve(f.ctx, p.reservedBytes) {
				return
			}
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
			_ = resp.Body.Close() // So that the connection can be used for other requests.
			f.send(flightEvent{attempt: a, ended: true, unframed: unframed})
			return
		case err != nil:
			f.send(flightEvent{attempt: a, err: &callError{reason: outcome.Truncated, ran: true, connLoss: connLoss{sent: sent}, detail: err.Error()}})
			return
		}
	}
}
