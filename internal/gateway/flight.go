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
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 2
	// silentBase and silentGaps bound the pause between two tokens: that long
	// plus that many times the target. After it the engine is taken for dead.
	silentBase = 2 * time.Second
	silentGaps = 20
	// eventBuffer lets a few chunks wait for a caller that reads slowly.
	eventBuffer = 32
)

// serveCompletion runs a completion through the stages.
func (x *exchange) serveCompletion() {
	a, o := x.parse()
	if a == nil {
		x.refuse(o)
		return
	}
	x.rec.Model, x.rec.PromptTokens = a.Model, a.PromptTokens
	route, known := x.v.cfg.RouteFor(a.Model, x.client)
	if route == nil {
		o := outcome.Refuse(outcome.UnknownModel, "")
		if known {
			o = outcome.Refuse(outcome.NotAllowed, "")
		}
		x.refuse(o)
		return
	}
	x.adopt(route, a)
	if o, ok := x.limit(); !ok {
		x.refuse(o)
		return
	}
	if o, ok := x.acquire(); !ok {
		x.refuse(o)
		return
	}
	o = x.run(route, a)
	if o.Kind == outcome.Answered {
		x.finish(o)
		return
	}
	if o.Kind == outcome.Cancelled {
		x.finish(o)
		panic(http.ErrAbortHandler) // A plain return would close the stream as if it were whole.
	}
	if x.begun {
		x.cutOff(o)
		return
	}
	x.refuse(o)
}

// adopt fills in what the route decides.
func (x *exchange) adopt(route *config.Route, a *ask) {
	if a.MaxTokens == 0 {
		a.MaxTokens = route.MaxTokens
	}
	x.repeatable = route.Repeatable && x.r.Header.Get(HeaderRepeatable) != "no"
	x.rec.Route = route.Name
	x.rec.MaxTokens = a.MaxTokens
	x.rec.Repeatable = x.repeatable
	x.rec.FirstTarget, x.rec.GapTarget = route.FirstToken, route.BetweenTokens
}

// flight is one completion while engines work on it.
type flight struct {
	x      *exchange
	a      *ask
	route  *config.Route
	id     decide.ID
	call   *dispatch.Call
	ctx    context.Context // Ends with the caller or the request.
	events chan flightEvent
	answer answer

	prefill decide.Attempt // The current prefill call.
	decode  decide.Attempt // The current decode call.
	kv      engine.KVParams
	engine  string // The current decode engine.

	first    time.Time // When the first token was written; zero before.
	last     time.Time // When the latest token was written.
	finished int       // Choices that ended.
	usage    *engine.Usage
}

// flightEvent is what the calls to engines report.
type flightEvent struct {
	attempt decide.Attempt
	prefill *engine.PrefillAnswer
	chunk   *engine.Chunk
	resumed *engine.CallError // The loss after which the stream was resumed.
	ended   bool              // The end mark came.
	err     error
}

// run gives the request to the core and does what the core says until the
// request ends. Every return frees whatever is still held.
func (x *exchange) run(route *config.Route, a *ask) (o outcome.Outcome) {
	ctx, cancel := context.WithCancel(x.r.Context())
	f := &flight{x: x, a: a, route: route, ctx: ctx, events: make(chan flightEvent, eventBuffer), answer: newAnswer(x, a)}
	f.id, f.call = x.g.disp.Arrive(x.rec.ID, f.request())
	// Deferred, so that even a panic in the loop leaves no engine memory held.
	defer func() {
		x.g.disp.Leave(f.id)
		f.drainSteps()
		cancel()
		f.account(o)
	}()
	return f.loop()
}

func (f *flight) request() decide.Request {
	pool := f.x.v.cfg.PoolByModel(f.a.Model)
	return decide.Request{
		Pool:          pool.Name,
		Region:        f.x.g.box.Region,
		Route:         f.route.Name,
		Client:        f.x.client.Name,
		PromptTokens:  f.a.PromptTokens,
		MaxTokens:     f.a.MaxTokens * f.a.Choices,
		Blocks:        f.a.Blocks,
		FirstToken:    f.route.FirstToken,
		BetweenTokens: f.route.BetweenTokens,
		Repeatable:    f.x.repeatable,
		ServeLate:     f.route.ServeLate,
		Priority:      f.route.Priority,
		Policy:        f.x.v.policies.Policy(f.route.Policy),
	}
}

func (f *flight) loop() outcome.Outcome {
	for {
		select {
		case <-f.ctx.Done():
			return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone}
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

// drainSteps records the actions that came with the end of the request.
func (f *flight) drainSteps() {
	for _, a := range f.call.Take() {
		f.note(a)
	}
}

// act does what the core decided.
func (f *flight) act(a decide.Action) (outcome.Outcome, bool) {
	f.note(a)
	switch a := a.(type) {
	case decide.StartPrefill:
		f.prefill = a.Attempt
		go f.callPrefill(f.call.Bind(f.ctx, a.Attempt), a)
	case decide.StartDecode:
		f.decode, f.engine = a.Attempt, a.Decode
		go f.callDecode(f.call.Bind(f.ctx, a.Attempt), a, f.kv)
	case decide.End:
		return a.Outcome, true
	}
	return outcome.Outcome{}, false
}

// note writes an action into the record.
func (f *flight) note(a decide.Action) {
	switch a := a.(type) {
	case decide.StartDecode:
		if a.Moved != outcome.OK {
			f.x.g.m.Moves.Inc()
		}
	case decide.Ruled:
		if a.Verdict.Fault != "" {
			f.x.g.m.PolicyFaults.Inc()
		}
	}
	if s, ok := record.StepOf(a); ok {
		f.x.acc.Step(s)
	}
}

// event takes what a call reported. Anything that does not belong to the
// current attempt is late and is dropped.
func (f *flight) event(ev flightEvent) (outcome.Outcome, bool) {
	if ev.attempt != f.prefill && ev.attempt != f.decode {
		return outcome.Outcome{}, false
	}
	switch {
	case ev.err != nil:
		f.failed(ev)
	case ev.prefill != nil:
		f.prefilled(ev)
	case ev.resumed != nil:
		f.x.g.m.Resumes.Inc()
		f.x.g.m.Retried(ev.resumed.Reason)
		f.x.acc.Step(record.Step{Kind: record.StepResume, Decode: f.engine, Reason: ev.resumed.Reason})
	case ev.chunk != nil:
		return f.chunk(ev)
	case ev.ended:
		return f.end(ev)
	}
	return outcome.Outcome{}, false
}

func (f *flight) failed(ev flightEvent) {
	var ce *engine.CallError
	if !errors.As(ev.err, &ce) {
		ce = &engine.CallError{Reason: outcome.Internal, Ran: true, Err: ev.err}
	}
	f.x.g.disp.Step(decide.Failed{ID: f.id, Attempt: ev.attempt, Reason: ce.Reason, Ran: ce.Ran, KVGone: ce.KVGone})
}

func (f *flight) prefilled(ev flightEvent) {
	u := ev.prefill.Usage
	cached := 0
	if u.Details != nil {
		cached = u.Details.CachedTokens
	}
	f.kv = ev.prefill.KV
	f.x.g.m.PrefillTokens.Add(u.PromptTokens - cached)
	f.x.acc.Step(record.Step{Kind: record.StepRead, Prefill: f.lastPrefill(), Tokens: cached})
	f.x.g.disp.Step(decide.PrefillDone{
		ID: f.id, Attempt: ev.attempt, Cached: cached,
		Expires: clock.Now().Add(time.Duration(ev.prefill.KV.ExpiresMS) * time.Millisecond),
	})
}

func (f *flight) lastPrefill() string {
	for i := len(f.x.rec.Steps) - 1; i >= 0; i-- {
		if s := f.x.rec.Steps[i]; s.Kind == record.StepPrefill {
			return s.Prefill
		}
	}
	return ""
}

// chunk passes one chunk to the caller, unless it is of a call that was given up before its first.
func (f *flight) chunk(ev flightEvent) (outcome.Outcome, bool) {
	if f.first.IsZero() && !f.x.g.disp.Begin(decide.FirstToken{ID: f.id, Attempt: ev.attempt}) {
		return outcome.Outcome{}, false
	}
	// The caller's token goes first, the accounts after it. With more chunks
	// waiting the flush is left to the last of them.
	if err := f.answer.chunk(ev.chunk, len(f.events) == 0); err != nil {
		return callerLeft(err), true
	}
	f.countChunk(ev)
	return outcome.Outcome{}, false
}

// countChunk takes a chunk into the accounts.
func (f *flight) countChunk(ev flightEvent) {
	now := clock.Now()
	if f.first.IsZero() {
		f.first = now
		f.x.rec.FirstToken = now.Sub(f.x.arrived)
		f.x.g.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
		f.x.acc.Step(record.Step{Kind: record.StepFirst, Decode: f.engine})
	} else if ev.chunk.HasChoices {
		gap := now.Sub(f.last)
		f.x.g.m.BetweenTokens.Update(gap.Seconds())
		f.x.rec.LongestGap = max(f.x.rec.LongestGap, gap)
	}
	f.last = now
	if ev.chunk.Finished {
		f.finished++
	}
	if ev.chunk.Usage != nil {
		f.usage = ev.chunk.Usage
	}
	if ev.chunk.HasChoices {
		f.x.rec.Output++
	}
}

// end checks that the answer is whole before the caller is told so.
func (f *flight) end(ev flightEvent) (outcome.Outcome, bool) {
	if f.finished < f.a.Choices {
		f.failed(flightEvent{attempt: ev.attempt, err: &engine.CallError{Reason: outcome.Truncated, Ran: true, Err: errors.New("the end mark came before the finish reason")}})
		return outcome.Outcome{}, false
	}
	if f.usage != nil {
		f.x.rec.Output = f.usage.CompletionTokens
	}
	f.x.g.disp.Step(decide.Done{ID: f.id, Attempt: ev.attempt, Output: f.x.rec.Output})
	if err := f.answer.end(f.usage); err != nil {
		return callerLeft(err), true
	}
	return outcome.Outcome{Kind: outcome.Answered}, true
}

// account counts the tokens used against the client's limit.
func (f *flight) account(o outcome.Outcome) {
	f.x.g.m.OutputTokens.Add(f.x.rec.Output)
	if o.Kind == outcome.NotRun {
		return
	}
	prompt := f.a.PromptTokens
	if f.usage != nil {
		prompt = f.usage.PromptTokens
		f.x.rec.PromptTokens = prompt
	}
	f.x.g.limits.Spend(clock.Now(), f.x.client.Name, limitsOf(f.x.client), prompt+f.x.rec.Output)
	inTime := f.x.rec.FirstToken <= f.route.FirstToken && f.meanGap() <= f.route.BetweenTokens
	if o.Kind == outcome.Answered && inTime {
		f.x.g.m.Goodput.Inc()
	}
}

// meanGap is the mean time between tokens of the answer.
func (f *flight) meanGap() time.Duration {
	if f.x.rec.Output < 2 {
		return 0
	}
	return f.last.Sub(f.first) / time.Duration(f.x.rec.Output-1)
}

// send reports to the loop, or gives up when the request is over.
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
		Address:   f.x.g.disp.Address(name),
		Path:      f.x.r.URL.Path,
		RequestID: dispatch.CallID(f.x.rec.ID, a),
		MaxTokens: f.a.MaxTokens,
		Priority:  priority,
		Rest:      f.a.Rest,
	}
}

func (f *flight) callPrefill(ctx context.Context, a decide.StartPrefill) {
	ans, err := f.x.g.engines.Prefill(ctx, f.engineCall(a.Prefill, a.Attempt, a.Priority))
	if ctx.Err() != nil {
		return
	}
	_ = f.send(ctx, flightEvent{attempt: a.Attempt, prefill: ans, err: err})
}

// callDecode streams the answer, and resumes it where the connection is lost.
func (f *flight) callDecode(ctx context.Context, a decide.StartDecode, kv engine.KVParams) {
	call := f.engineCall(a.Decode, a.Attempt, a.Priority)
	s, err := f.x.g.engines.Decode(ctx, call, kv)
	next := 0
	for resumes := 0; ; resumes++ {
		if err == nil {
			err = f.pump(ctx, s, a.Attempt)
			next = s.Next()
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			_ = f.send(ctx, flightEvent{attempt: a.Attempt, ended: true})
			return
		}
		lost := resumable(err)
		if lost == nil || resumes == maxResumes {
			break
		}
		again, failed := f.x.g.engines.Resume(ctx, call.Address, call.RequestID, next)
		if failed != nil {
			break
		}
		s, err = again, nil
		_ = f.send(ctx, flightEvent{attempt: a.Attempt, resumed: lost})
	}
	_ = f.send(ctx, flightEvent{attempt: a.Attempt, err: err})
}

// resumable returns the failure if the engine may still run the stream: the
// connection or a chunk was lost after the request left.
func resumable(err error) *engine.CallError {
	var ce *engine.CallError
	if !errors.As(err, &ce) || !ce.Ran {
		return nil
	}
	if ce.Reason == outcome.EndpointDied || ce.Reason == outcome.Truncated {
		return ce
	}
	return nil
}

// pump reads one connection of a stream to its end. An engine that says nothing
// for too long is cut, since a connection can stay open with nobody behind it.
func (f *flight) pump(ctx context.Context, s *engine.Stream, a decide.Attempt) error {
	var silent atomic.Bool
	limit := silentBase + silentGaps*f.route.BetweenTokens
	timer := time.AfterFunc(limit, func() {
		silent.Store(true)
		_ = s.Close()
	})
	defer timer.Stop()
	defer s.Close()
	err := s.Read(func(c engine.Chunk) error {
		timer.Reset(limit)
		return f.send(ctx, flightEvent{attempt: a, chunk: &c})
	})
	f.x.g.m.Crossed.Add(s.Crossed)
	f.x.g.m.Repeated.Add(s.Repeated)
	if err != nil && silent.Load() {
		return &engine.CallError{Reason: outcome.DecodeSilent, Ran: true, Err: err}
	}
	return err
}
