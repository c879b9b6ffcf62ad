package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

const (
	// maxResumes bounds how often one call to a decode engine is resumed after its connection was lost.
	maxResumes = 2
	// A stream is silent too long if no chunk arrives for a certain time. That time is silenceTimeoutBase plus
	// silenceTimeoutGaps times the route's target for the time between tokens. The engine of a stream that is silent
	// too long is treated as crashed.
	silenceTimeoutBase = 2 * time.Second
	silenceTimeoutGaps = 20
	// eventBuffer is the number of events that may wait while a caller reads its response slowly.
	eventBuffer = 32
)

// serveCompletion serves a completion request, from parsing its body to the end of its response.
func (x *exchange) serveCompletion() {
	req, o := x.parse()
	if req == nil {
		x.refuse(o)
		return
	}
	x.rec.Model, x.rec.PromptTokens = req.Model, req.PromptTokens
	route, known := x.snapshot.cfg.RouteFor(req.Model, x.client)
	if route == nil {
		o := outcome.Refuse(outcome.UnknownModel, "")
		if known {
			o = outcome.Refuse(outcome.NotAllowed, "")
		}
		x.refuse(o)
		return
	}
	x.applyRoute(route, req)
	if o, ok := x.checkLimits(); !ok {
		x.refuse(o)
		return
	}
	if o, ok := x.acquireClaim(); !ok {
		x.refuse(o)
		return
	}
	o = x.run(route, req)
	if o.Kind == outcome.Answered {
		x.finish(o)
		return
	}
	if o.Kind == outcome.Cancelled {
		x.finish(o)
		panic(http.ErrAbortHandler) // A plain return would end the response as if it were complete.
	}
	if x.responseStarted {
		x.abortStream(o)
		return
	}
	x.refuse(o)
}

// applyRoute sets the properties of the request that depend on its route.
func (x *exchange) applyRoute(route *config.Route, req *completionRequest) {
	if req.MaxTokens == 0 {
		req.MaxTokens = route.MaxTokens
	}
	x.repeatable = route.Repeatable && x.r.Header.Get(HeaderRepeatable) != "no"
	x.rec.Route = route.Name
	x.rec.MaxTokens = req.MaxTokens
	x.rec.Repeatable = x.repeatable
	x.rec.FirstTarget, x.rec.GapTarget = route.FirstToken, route.BetweenTokens
}

// flight is one completion request while engines work on it. An attempt is one call to an engine. A request makes
// several attempts: at least one for the prefill and one for the decode.
type flight struct {
	x      *exchange
	req    *completionRequest
	route  *config.Route
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context // Cancelled when the caller disconnects or the request ends.
	events chan flightEvent
	out    completionWriter

	prefillAttempt decide.Attempt // The current prefill attempt; 0 if there was none.
	decodeAttempt  decide.Attempt // The current decode attempt; 0 if there was none.
	kv             engine.KVParams
	decodeEngine   string

	firstTokenAt    time.Time // When the first token was written to the caller; zero before.
	lastTokenAt     time.Time // When the latest token was written to the caller.
	finishedChoices int       // The number of choices whose last chunk has been written.
	usage           *engine.Usage
}

// flightEvent is what a call to an engine reports to the loop of its request (flight.loop). The call sets attempt,
// which is its own number, and one other field.
type flightEvent struct {
	attempt decide.Attempt
	prefill *engine.PrefillResponse
	chunk   *engine.Chunk
	resumed *engine.CallError // The failure after which the same engine resumed the stream.
	done    bool              // The stream's end marker arrived.
	err     error
}

// run submits the request to the decision core and carries out the core's actions until the request ends. However run
// returns, it frees the engine memory that is still reserved for the request.
func (x *exchange) run(route *config.Route, req *completionRequest) (o outcome.Outcome) {
	ctx, cancel := context.WithCancel(x.r.Context())
	f := &flight{x: x, req: req, route: route, ctx: ctx, events: make(chan flightEvent, eventBuffer), out: newCompletionWriter(x, req)}
	f.id, f.call = x.g.disp.Submit(x.rec.ID, f.request())
	// This is deferred, so that even a panic in the loop frees the engine memory.
	defer func() {
		x.g.disp.Remove(f.id)
		f.recordRemaining()
		cancel()
		f.chargeTokens(o)
	}()
	return f.loop()
}

func (f *flight) request() decide.Request {
	pool := f.x.snapshot.cfg.PoolByModel(f.req.Model)
	return decide.Request{
		Pool:          pool.Name,
		Region:        f.x.g.box.Region,
		Route:         f.route.Name,
		Client:        f.x.client.Name,
		Weight:        f.x.client.Weight,
		PromptTokens:  f.req.PromptTokens,
		MaxTokens:     f.req.MaxTokens * f.req.Choices,
		Blocks:        f.req.Blocks,
		FirstToken:    f.route.FirstToken,
		BetweenTokens: f.route.BetweenTokens,
		Repeatable:    f.x.repeatable,
		ServeLate:     f.route.ServeLate,
		Priority:      f.route.Priority,
		Policy:        f.x.snapshot.policies.Policy(f.route.Policy),
	}
}

func (f *flight) loop() outcome.Outcome {
	for {
		select {
		case <-f.ctx.Done():
			return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone}
		case <-f.call.Wake:
			for _, a := range f.call.TakeActions() {
				if o, end := f.handleAction(a); end {
					return o
				}
			}
		case ev := <-f.events:
			if o, end := f.handleEvent(ev); end {
				return o
			}
		}
	}
}

// recordRemaining records the core's actions that the loop had not yet handled when the request ended.
func (f *flight) recordRemaining() {
	for _, a := range f.call.TakeActions() {
		f.recordAction(a)
	}
}

// handleAction carries out an action of the decision core. The bool reports whether the request has ended.
func (f *flight) handleAction(a decide.Action) (outcome.Outcome, bool) {
	f.recordAction(a)
	switch a := a.(type) {
	case decide.StartPrefill:
		f.prefillAttempt = a.Attempt
		go f.callPrefill(f.call.AttemptContext(f.ctx, a.Attempt), a)
	case decide.StartDecode:
		f.decodeAttempt, f.decodeEngine = a.Attempt, a.Decode
		go f.callDecode(f.call.AttemptContext(f.ctx, a.Attempt), a, f.kv)
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// recordAction counts an action in the metrics and adds it to the record, which lists the steps of the request.
func (f *flight) recordAction(a decide.Action) {
	switch a := a.(type) {
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.g.m.Moves.Inc()
		}
	case decide.PolicyVerdict:
		if a.Verdict.Fault != "" {
			f.x.g.m.PolicyFaults.Inc()
		}
	}
	if s, ok := record.NewStep(a); ok {
		f.x.trace.Step(s)
	}
}

// handleEvent processes an event of a call to an engine. It drops the events of attempts that are no longer current.
// The bool reports whether the request has ended.
func (f *flight) handleEvent(ev flightEvent) (outcome.Outcome, bool) {
	if ev.attempt != f.prefillAttempt && ev.attempt != f.decodeAttempt {
		return outcome.Outcome{}, false
	}
	switch {
	case ev.err != nil:
		f.handleFailure(ev)
	case ev.prefill != nil:
		f.handlePrefill(ev)
	case ev.resumed != nil:
		f.x.g.m.Resumes.Inc()
		f.x.g.m.CountRetry(ev.resumed.Reason)
		f.x.trace.Step(record.Step{Kind: record.StepResume, Decode: f.decodeEngine, Reason: ev.resumed.Reason})
	case ev.chunk != nil:
		return f.handleChunk(ev)
	case ev.done:
		return f.handleDone(ev)
	}
	return outcome.Outcome{}, false
}

func (f *flight) handleFailure(ev flightEvent) {
	var ce *engine.CallError
	if !errors.As(ev.err, &ce) {
		ce = &engine.CallError{Reason: outcome.Internal, MayHaveRun: true, Err: ev.err}
	}
	f.x.g.disp.Step(decide.Failed{ID: f.id, Attempt: ev.attempt, Reason: ce.Reason, Ran: ce.MayHaveRun, KVGone: ce.KVExpired})
}

func (f *flight) handlePrefill(ev flightEvent) {
	u := ev.prefill.Usage
	cached := 0
	if u.Details != nil {
		cached = u.Details.CachedTokens
	}
	f.kv = ev.prefill.KV
	f.x.g.m.PrefillTokens.Add(u.PromptTokens - cached)
	f.x.trace.Step(record.Step{Kind: record.StepPrefillDone, Prefill: f.lastPrefillEngine(), Tokens: cached})
	f.x.g.disp.Step(decide.PrefillDone{
		ID: f.id, Attempt: ev.attempt, Cached: cached,
		Expires: clock.Now().Add(time.Duration(ev.prefill.KV.ExpiresMS) * time.Millisecond),
	})
}

func (f *flight) lastPrefillEngine() string {
	for i := len(f.x.rec.Steps) - 1; i >= 0; i-- {
		if s := f.x.rec.Steps[i]; s.Kind == record.StepPrefill {
			return s.Prefill
		}
	}
	return ""
}

// handleChunk writes one chunk to the caller. The decision core may have given up the call before the call's first
// chunk was handled. handleChunk then writes nothing. The bool reports whether the request has ended.
func (f *flight) handleChunk(ev flightEvent) (outcome.Outcome, bool) {
	if f.firstTokenAt.IsZero() && !f.x.g.disp.AcceptFirstToken(decide.FirstToken{ID: f.id, Attempt: ev.attempt}) {
		return outcome.Outcome{}, false
	}
	// Write the token to the caller before updating the statistics, so that the caller does not wait for the update.
	// If more chunks are queued, the last of them flushes the connection.
	if err := f.out.chunk(ev.chunk, len(f.events) == 0); err != nil {
		return writeErrorOutcome(err), true
	}
	f.countChunk(ev)
	return outcome.Outcome{}, false
}

// countChunk updates the request's record and the metrics with a chunk that was written.
func (f *flight) countChunk(ev flightEvent) {
	now := clock.Now()
	if f.firstTokenAt.IsZero() {
		f.firstTokenAt = now
		f.x.rec.FirstToken = now.Sub(f.x.arrived)
		f.x.g.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
		f.x.trace.Step(record.Step{Kind: record.StepFirstToken, Decode: f.decodeEngine})
	} else if ev.chunk.HasChoices {
		gap := now.Sub(f.lastTokenAt)
		f.x.g.m.BetweenTokens.Update(gap.Seconds())
		f.x.rec.LongestGap = max(f.x.rec.LongestGap, gap)
	}
	f.lastTokenAt = now
	if ev.chunk.Finished {
		f.finishedChoices++
	}
	if ev.chunk.Usage != nil {
		f.usage = ev.chunk.Usage
	}
	if ev.chunk.HasChoices {
		f.x.rec.Output++
	}
}

// handleDone ends the response, if the engine has finished every choice. Otherwise the call counts as failed.
func (f *flight) handleDone(ev flightEvent) (outcome.Outcome, bool) {
	if f.finishedChoices < f.req.Choices {
		f.handleFailure(flightEvent{attempt: ev.attempt, err: &engine.CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: errors.New("the end marker came before the finish reason")}})
		return outcome.Outcome{}, false
	}
	if f.usage != nil {
		f.x.rec.Output = f.usage.CompletionTokens
	}
	f.x.g.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.x.rec.Output})
	if err := f.out.end(f.usage); err != nil {
		return writeErrorOutcome(err), true
	}
	return outcome.Outcome{Kind: outcome.Answered}, true
}

// chargeTokens counts the tokens that the request used against the client's token limit. It also counts goodput:
// requests that were answered within both latency targets. If no engine ran the request, it counts neither.
func (f *flight) chargeTokens(o outcome.Outcome) {
	f.x.g.m.OutputTokens.Add(f.x.rec.Output)
	if o.Kind == outcome.NotRun {
		return
	}
	prompt := f.req.PromptTokens
	if f.usage != nil {
		prompt = f.usage.PromptTokens
		f.x.rec.PromptTokens = prompt
	}
	f.x.g.limits.Spend(clock.Now(), f.x.client.Name, limitsOf(f.x.client), prompt+f.x.rec.Output)
	onTime := f.x.rec.FirstToken <= f.route.FirstToken && f.meanTokenGap() <= f.route.BetweenTokens
	if o.Kind == outcome.Answered && onTime {
		f.x.g.m.Goodput.Inc()
	}
}

// meanTokenGap returns the mean time between two tokens of the answer. It returns 0 for an answer of fewer than two
// tokens.
func (f *flight) meanTokenGap() time.Duration {
	if f.x.rec.Output < 2 {
		return 0
	}
	return f.lastTokenAt.Sub(f.firstTokenAt) / time.Duration(f.x.rec.Output-1)
}

// send passes an event to the request's loop. It returns an error if ctx ends first.
func (f *flight) send(ctx context.Context, ev flightEvent) error {
	select {
	case f.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *flight) engineCall(name string, a decide.Attempt, priority int) engine.Call {
	return engine.Call{
		Address:      f.x.g.disp.Address(name),
		Path:         f.x.r.URL.Path,
		RequestID:    dispatch.CallID(f.x.rec.ID, a),
		MaxTokens:    f.req.MaxTokens,
		Priority:     priority,
		CallerFields: f.req.CallerFields,
	}
}

func (f *flight) callPrefill(ctx context.Context, a decide.StartPrefill) {
	ans, err := f.x.g.engines.Prefill(ctx, f.engineCall(a.Prefill, a.Attempt, a.Priority))
	if ctx.Err() != nil {
		return
	}
	_ = f.send(ctx, flightEvent{attempt: a.Attempt, prefill: ans, err: err})
}

// callDecode streams the answer from a decode engine. If the connection is lost, callDecode resumes the stream on the
// same engine.
func (f *flight) callDecode(ctx context.Context, a decide.StartDecode, kv engine.KVParams) {
	call := f.engineCall(a.Decode, a.Attempt, a.Priority)
	s, err := f.x.g.engines.Decode(ctx, call, kv)
	next := 0
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = f.readStream(ctx, s, a.Attempt)
			next = s.Next()
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			_ = f.send(ctx, flightEvent{attempt: a.Attempt, done: true})
			return
		}
		loss := resumable(err)
		if loss == nil || resumes == maxResumes {
			break
		}
		resumed, resumeErr := f.x.g.engines.Resume(ctx, call.Address, call.RequestID, next)
		if resumeErr != nil {
			break
		}
		s, err = resumed, nil
		_ = f.send(ctx, flightEvent{attempt: a.Attempt, resumed: loss})
	}
	_ = f.send(ctx, flightEvent{attempt: a.Attempt, err: err})
}

// resumable returns the failure of a stream if the stream may be resumed, otherwise nil. A stream may be resumed if its
// connection or a chunk was lost after the request was sent. The engine may then still be running the request.
func resumable(err error) *engine.CallError {
	var ce *engine.CallError
	if !errors.As(err, &ce) || !ce.MayHaveRun {
		return nil
	}
	if ce.Reason == outcome.EndpointLost || ce.Reason == outcome.Truncated {
		return ce
	}
	return nil
}

// readStream reads a stream until its connection ends. A connection can stay open after the engine is gone. So
// readStream closes the connection if the engine sends nothing for too long.
func (f *flight) readStream(ctx context.Context, s *engine.Stream, a decide.Attempt) error {
	var timedOut atomic.Bool
	limit := silenceTimeoutBase + silenceTimeoutGaps*f.route.BetweenTokens
	timer := time.AfterFunc(limit, func() {
		timedOut.Store(true)
		_ = s.Close()
	})
	defer timer.Stop()
	defer s.Close()
	err := s.Read(func(c engine.Chunk) error {
		timer.Reset(limit)
		return f.send(ctx, flightEvent{attempt: a, chunk: &c})
	})
	f.x.g.m.ForeignChunks.Add(s.Foreign)
	f.x.g.m.Repeated.Add(s.Repeated)
	if err != nil && timedOut.Load() {
		return &engine.CallError{Reason: outcome.DecodeSilent, MayHaveRun: true, Err: err}
	}
	return err
}
