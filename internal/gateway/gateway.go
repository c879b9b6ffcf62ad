// Package gateway is the path of a request through a box (a machine that runs the router). Its stages run one after
// another as plain function calls with typed results:
//
//	identify ► parse ► limit ► claim ► place ► prefill ► transfer ► decode ► answer
//
// A stage either passes on its result or ends the request with an outcome.Outcome. To "claim" is to reserve the
// idempotency key of a request that may run only once. No box then runs a second request with that key. To "place" is
// to choose two engines: one for the prefill (processing the prompt) and one for the decode (generating the answer).
// The prefill engine's KV cache of the prompt is then transferred to the decode engine.
//
// The decision core (package decide) chooses the engines. This package carries the choices out.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/claim"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/gate"
	"github.com/stoatramp/stoatramp/internal/limit"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Paths that the router answers itself. The paths of plain services are configured.
const (
	modelsPath = "/v1/models"
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// Headers that the router defines or reads.
const (
	// HeaderRequestID carries the request id on every response.
	HeaderRequestID = "X-Request-Id"
	// HeaderRepeatable set to "no" makes a request run at most once.
	HeaderRepeatable = "Stoatramp-Repeatable"
	// HeaderIdempotencyKey carries a key that the caller chooses and keeps when it sends the same request again.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// PolicySource holds the compiled policies of one configuration. A policy is an operator's program. It can refuse
// requests or change their routing.
type PolicySource interface {
	// Policy returns the compiled policy with this name, or nil if there is no such policy.
	Policy(name string) decide.Policy
}

// configSnapshot is one accepted configuration with its compiled policies. It is never modified after it is stored. So
// requests read it without a lock.
type configSnapshot struct {
	cfg      *config.Shared
	policies PolicySource
}

// Gateway serves the requests of callers on one box.
type Gateway struct {
	box      *config.Box
	snapshot atomic.Pointer[configSnapshot]
	engines  *engine.Client
	disp     *dispatch.Dispatcher
	plain    *plainPool
	limits   *limit.Table
	claims   *claim.Claims
	recorder *account.Recorder
	m        *telemetry.Metrics
	log      *zap.Logger
	ids      *idSource
	// Incarnation is the time at which this process started, in milliseconds. It is part of each request id. So
	// request ids stay unique after a restart.
	Incarnation int64

	gate gate.Gate
}

// Options are what New needs to build a Gateway.
type Options struct {
	Box     *config.Box
	Core    *decide.Core
	Engines *engine.Client
	Claims  *claim.Claims
	Limits  *limit.Table
	// Recorder opens the trace of each request, which collects the request's record, log lines and metrics.
	Recorder *account.Recorder
	Log      *zap.Logger
}

// New returns a gateway that refuses all requests until it has a configuration.
func New(o Options) *Gateway {
	started := time.Now()
	return &Gateway{
		box:         o.Box,
		engines:     o.Engines,
		disp:        dispatch.New(o.Core, o.Engines.Abort, o.Recorder.Metrics),
		plain:       newPlainPool(func(address string, err error) { o.Recorder.MalformedAnswer(telemetry.OfEndpoint, address, err) }),
		limits:      o.Limits,
		claims:      o.Claims,
		recorder:    o.Recorder,
		m:           o.Recorder.Metrics,
		log:         o.Log,
		ids:         newIDSource(o.Box.Name, started),
		Incarnation: started.UnixMilli(),
	}
}

// SetConfig applies a configuration to every request that starts from now on. It stores the snapshot last, because the
// snapshot makes the box ready. A request that finds its route in the snapshot must also find the route's engines in
// the decision core.
func (g *Gateway) SetConfig(c *config.Shared, p PolicySource) {
	g.disp.SetFleet(fleetOf(c), addressesOf(c))
	g.plain.setConfig(c)
	g.snapshot.Store(&configSnapshot{cfg: c, policies: p})
}

// Config returns the configuration that the box uses. It returns nil before the box has received a configuration.
func (g *Gateway) Config() *config.Shared {
	if v := g.snapshot.Load(); v != nil {
		return v.cfg
	}
	return nil
}

// Version returns the version of the configuration that the box uses. It returns 0 before the box has received a
// configuration.
func (g *Gateway) Version() int64 {
	if c := g.Config(); c != nil {
		return c.Version
	}
	return 0
}

// HandleLoadReport passes an engine's load report to the decision core.
func (g *Gateway) HandleLoadReport(r decide.LoadReport) { g.disp.Step(r) }

// Evicted tells the decision core that an engine evicted blocks of prompts from its prefix cache.
func (g *Gateway) Evicted(ev decide.Evicted) { g.disp.Step(ev) }

// ProbeFailed tells the decision core that an engine did not answer a probe. A probe is a query of the engine's load.
func (g *Gateway) ProbeFailed(engine string) { g.disp.Step(decide.ProbeFailed{Engine: engine}) }

// NotifyBusy returns a channel that receives a value whenever a request starts while no other request runs.
func (g *Gateway) NotifyBusy() <-chan struct{} { return g.gate.NotifyBusy() }

// Tick lets the decision core handle the time limits that have passed. It must be called regularly.
func (g *Gateway) Tick(time.Duration) { g.disp.Step(decide.Tick{}) }

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.gate.Running() }

// Drain refuses new requests. It waits until all running requests have ended. It also waits for the calls that abort
// work of these requests on engines.
func (g *Gateway) Drain(ctx context.Context) error { return g.gate.Drain(ctx, g.disp.WaitAborts) }

// Ready reports whether the box accepts requests: it has a configuration and is not draining.
func (g *Gateway) Ready() bool { return g.gate.Open() && g.snapshot.Load() != nil }

func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case healthPath:
		writeStatus(w, true)
		return
	case readyPath:
		writeStatus(w, g.Ready())
		return
	}
	x := g.newExchange(w, r)
	w.Header().Set(HeaderRequestID, x.rec.ID)
	if !g.gate.Enter() {
		w.Header().Set("Connection", "close")
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: time.Second})
		return
	}
	defer g.gate.Leave()
	// Clear the write deadline at the end, because the next request on this connection would inherit it.
	defer func() { _ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) }()
	x.serve()
}

func writeStatus(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("not ready\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// exchange is one request of a caller, with its response and what is known about it.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	snapshot *configSnapshot
	client   *config.Client
	// trace collects what happens to the request. rec is the record in the trace. Operators can read it later.
	trace   *account.Trace
	rec     *record.Record
	arrived time.Time
	// responseStarted is set once any byte of a response was written. A later failure can no longer be answered with
	// an HTTP error status.
	responseStarted bool
	// repeatable is false if the request may be run at most once.
	repeatable bool
	claim      *claim.Claim
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := time.Now()
	rec := &record.Record{ID: g.ids.next(now), Box: g.box.Name, Path: r.URL.Path, At: now, Repeatable: true}
	return &exchange{
		g: g, w: w, r: r,
		snapshot:   g.snapshot.Load(),
		arrived:    clock.Now(),
		repeatable: true,
		trace:      g.recorder.Open(rec),
		rec:        rec,
	}
}

// serve identifies the client, then serves the request according to its path.
func (x *exchange) serve() {
	if x.snapshot == nil {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.NoConfig, RetryAfter: time.Second})
		return
	}
	x.rec.ConfigVersion = x.snapshot.cfg.Version
	client, o := identify(x.r, x.snapshot.cfg)
	if client == nil {
		x.refuse(o)
		return
	}
	x.client, x.rec.Client = client, client.Name
	switch x.r.URL.Path {
	case engine.ChatPath, engine.CompletionPath:
		x.serveMethod(http.MethodPost, x.serveCompletion)
	case modelsPath:
		x.serveMethod(http.MethodGet, x.serveModels)
	default:
		x.servePlain()
	}
}

func (x *exchange) serveMethod(method string, serve func()) {
	if x.r.Method != method {
		x.w.Header().Set("Allow", method)
		x.refuse(outcome.Refuse(outcome.WrongMethod, x.r.URL.Path+" takes "+method))
		return
	}
	serve()
}

// identify finds the client by its API key.
func identify(r *http.Request, cfg *config.Shared) (*config.Client, outcome.Outcome) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, outcome.Refuse(outcome.UnknownKey, "expected an Authorization header with a bearer key")
	}
	client := cfg.ClientByKey(config.KeyDigest(key))
	if client == nil || !config.KeyMatches(key, client.KeySHA256) {
		return nil, outcome.Refuse(outcome.UnknownKey, "")
	}
	return client, outcome.Outcome{}
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (x *exchange) serveModels() {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, p := range x.snapshot.cfg.Pools {
		if route, _ := x.snapshot.cfg.RouteFor(p.Model, x.client); route != nil {
			list.Data = append(list.Data, modelEntry{ID: p.Model, Object: "model", OwnedBy: "stoatramp"})
		}
	}
	x.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.w).Encode(list)
	x.finish(outcome.Outcome{Kind: outcome.Answered})
}

// checkLimits counts the request against the client's limits, and reports whether the limits allow it.
func (x *exchange) checkLimits() (outcome.Outcome, bool) {
	refusal, ok := x.g.limits.Take(x.arrived, x.client.Name, limitsOf(x.client))
	if ok {
		return outcome.Outcome{}, true
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.RequestRate, RetryAfter: refusal.RetryAfter}
	if refusal.Tokens {
		o.Reason = outcome.TokenRate
	}
	return o, false
}

func limitsOf(c *config.Client) limit.Set {
	return limit.Set{
		Requests: limit.Rule{Rate: c.Requests, Burst: float64(c.Burst)},
		Tokens:   limit.Rule{Rate: c.Tokens, Burst: float64(c.TokenBurst)},
	}
}

// acquireClaim reserves the idempotency key of a request that may run only once. The bool is false if the key is
// already in use or could not be reserved.
func (x *exchange) acquireClaim() (outcome.Outcome, bool) {
	key := x.r.Header.Get(HeaderIdempotencyKey)
	if key == "" || x.repeatable {
		return outcome.Outcome{}, true
	}
	cl, o := x.g.claims.Acquire(x.r.Context(), x.client.Name, key, x.rec.ID)
	x.claim = cl
	return o, cl != nil
}

// refuse ends the request. It responds with an error unless a response has been started.
func (x *exchange) refuse(o outcome.Outcome) {
	if !x.responseStarted {
		writeRefusal(x.w, o, x.rec.ID)
	}
	x.finish(o)
}

// claimCloseTimeout bounds closing a claim on an idempotency key. To close a claim is to store in the platform's table
// how the request ended.
const claimCloseTimeout = 2 * time.Second

// finish ends the request's trace. The request may have a claim on its idempotency key. In that case finish first
// stores in the claim how the request ended.
func (x *exchange) finish(o outcome.Outcome) {
	if x.claim != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimCloseTimeout)
		if err := x.g.claims.Close(ctx, x.claim, o.Kind); err != nil {
			x.g.log.Warn("could not close the claim; its key stays in the running state", zap.String("request", x.rec.ID), zap.Error(err))
		}
		cancel()
	}
	x.trace.Close(o)
}

// writeErrorOutcome returns the outcome of a request whose response could not be written to the caller.
func writeErrorOutcome(err error) outcome.Outcome {
	reason := outcome.CallerGone
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		reason = outcome.CallerSlow
	}
	return outcome.Outcome{Kind: outcome.Cancelled, Reason: reason}
}
