// Package gateway is the path of a request through a box. Its stages follow one
// another as plain function calls with typed results:
//
//	identify ► parse ► limit ► claim ► place ► prefill ► transfer ► decode ► answer
//
// A stage either hands on its result or ends the request with an outcome.Outcome.
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

// Paths callers use beside the configured services.
const (
	modelsPath = "/v1/models"
	healthPath = "/healthz"
	readyPath  = "/readyz"
)

// Headers of the router itself.
const (
	// HeaderRequestID carries the request id on every answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderRepeatable set to "no" makes a request run at most once.
	HeaderRepeatable = "Stoatramp-Repeatable"
	// HeaderKey names a request across tries.
	HeaderKey = "Idempotency-Key"
)

// PolicySource compiles the policies of a configuration.
type PolicySource interface {
	// Policy returns the compiled program of that name; nil if there is none.
	Policy(name string) decide.Policy
}

// view is one accepted configuration with its compiled policies. It is replaced
// as a whole and never changed, so requests read it without a lock.
type view struct {
	cfg      *config.Shared
	policies PolicySource
}

// Gateway serves callers. All fields are set by New.
type Gateway struct {
	box     *config.Box
	view    atomic.Pointer[view]
	engines *engine.Client
	disp    *dispatch.Dispatcher
	plain   *plainPool
	limits  *limit.Table
	claims  *claim.Claims
	book    *account.Book
	m       *telemetry.Metrics
	log     *zap.Logger
	ids     *idSource
	// Incarnation is when this box started, in milliseconds; ids carry it.
	Incarnation int64

	gate gate.Gate
}

// Options are what a Gateway is made from.
type Options struct {
	Box     *config.Box
	Core    *decide.Core
	Engines *engine.Client
	Claims  *claim.Claims
	Limits  *limit.Table
	// Book takes the accounts of all requests.
	Book *account.Book
	Log  *zap.Logger
}

// New returns a gateway that refuses everything until it has a configuration.
func New(o Options) *Gateway {
	started := time.Now()
	return &Gateway{
		box:         o.Box,
		engines:     o.Engines,
		disp:        dispatch.New(o.Core, o.Engines.Abort, o.Book.Metrics),
		plain:       newPlainPool(),
		limits:      o.Limits,
		claims:      o.Claims,
		book:        o.Book,
		m:           o.Book.Metrics,
		log:         o.Log,
		ids:         newIDSource(o.Box.Name, started),
		Incarnation: started.UnixMilli(),
	}
}

// SetConfig puts a configuration in force for every request that starts from now on.
// The view comes last: it makes the box ready, and a request that finds its route
// there must find the route's engines in the core as well.
func (g *Gateway) SetConfig(c *config.Shared, p PolicySource) {
	g.disp.SetFleet(fleetOf(c), addressesOf(c))
	g.plain.setConfig(c)
	g.view.Store(&view{cfg: c, policies: p})
}

// Config is the configuration in force; nil before the first.
func (g *Gateway) Config() *config.Shared {
	if v := g.view.Load(); v != nil {
		return v.cfg
	}
	return nil
}

// Version is the configuration in force; 0 before the first.
func (g *Gateway) Version() int64 {
	if c := g.Config(); c != nil {
		return c.Version
	}
	return 0
}

// Report hands an engine's load report to the decisions.
func (g *Gateway) Report(r decide.Report) { g.disp.Step(r) }

// Evicted hands on that an engine dropped prefixes.
func (g *Gateway) Evicted(ev decide.Evicted) { g.disp.Step(ev) }

// Silent says that an engine did not answer a probe.
func (g *Gateway) Silent(engine string) { g.disp.Step(decide.Silent{Engine: engine}) }

// Busy returns a channel that has an entry once a request runs and none did.
func (g *Gateway) Busy() <-chan struct{} { return g.gate.Busy() }

// Tick lets the decisions' time-outs fire.
func (g *Gateway) Tick() { g.disp.Step(decide.Tick{}) }

// Running is the number of requests in progress.
func (g *Gateway) Running() int64 { return g.gate.Running() }

// Drain stops new requests and waits until the last one and its aborts are done.
func (g *Gateway) Drain(ctx context.Context) error { return g.gate.Drain(ctx, g.disp.WaitAborts) }

// Ready says whether the box should be sent requests.
func (g *Gateway) Ready() bool { return g.gate.Open() && g.view.Load() != nil }

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
	// A deadline set while answering must not outlive this request on its connection.
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

// exchange is one request with its answer on the way through the stages.
type exchange struct {
	g      *Gateway
	w      http.ResponseWriter
	r      *http.Request
	v      *view
	client *config.Client
	// acc is the account of the request, and rec the record in it.
	acc     *account.Account
	rec     *record.Record
	arrived time.Time
	// begun is set once any byte of an answer was written; from then on a
	// failure can no longer be a refusal.
	begun bool
	// repeatable false means at most one call may run any of the request.
	repeatable bool
	claim      *claim.Claim
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := time.Now()
	rec := &record.Record{ID: g.ids.next(now), Box: g.box.Name, Path: r.URL.Path, At: now, Repeatable: true}
	return &exchange{
		g: g, w: w, r: r,
		v:          g.view.Load(),
		arrived:    clock.Now(),
		repeatable: true,
		acc:        g.book.Open(rec),
		rec:        rec,
	}
}

// serve runs the stages that all requests share, then those of its kind.
func (x *exchange) serve() {
	if x.v == nil {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.NoConfig, RetryAfter: time.Second})
		return
	}
	x.rec.ConfigVersion = x.v.cfg.Version
	client, o := identify(x.r, x.v.cfg)
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

// identify finds the client by its key.
func identify(r *http.Request, cfg *config.Shared) (*config.Client, outcome.Outcome) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, outcome.Refuse(outcome.UnknownKey, "expected an Authorization header with a bearer key")
	}
	client := cfg.ClientByKey(config.Digest(key))
	if client == nil || !config.KeyMatches(key, client.KeySHA256) {
		return nil, outcome.Refuse(outcome.UnknownKey, "")
	}
	return client, outcome.Outcome{}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (x *exchange) serveModels() {
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, p := range x.v.cfg.Pools {
		if route, _ := x.v.cfg.RouteFor(p.Model, x.client); route != nil {
			list.Data = append(list.Data, modelItem{ID: p.Model, Object: "model", OwnedBy: "stoatramp"})
		}
	}
	x.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(x.w).Encode(list)
	x.finish(outcome.Outcome{Kind: outcome.Answered})
}

// limit asks the client's buckets.
func (x *exchange) limit() (outcome.Outcome, bool) {
	refusal, ok := x.g.limits.Take(x.arrived, x.client.Name, limitsOf(x.client))
	if ok {
		return outcome.Outcome{}, true
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.RequestRate, RetryAfter: refusal.After}
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

// acquire claims the key of a request that may run only once.
func (x *exchange) acquire() (outcome.Outcome, bool) {
	key := x.r.Header.Get(HeaderKey)
	if key == "" || x.repeatable {
		return outcome.Outcome{}, true
	}
	cl, o := x.g.claims.Acquire(x.r.Context(), x.client.Name, key, x.rec.ID)
	x.claim = cl
	return o, cl != nil
}

// refuse answers with an error and ends the request.
func (x *exchange) refuse(o outcome.Outcome) {
	if !x.begun {
		writeRefusal(x.w, o, x.rec.ID)
	}
	x.finish(o)
}

// claimLimit bounds writing the end of a claim.
const claimLimit = 2 * time.Second

// finish closes the claim and the account.
func (x *exchange) finish(o outcome.Outcome) {
	if x.claim != nil {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(x.r.Context()), claimLimit)
		if err := x.g.claims.Close(ctx, x.claim, o.Kind); err != nil {
			x.g.log.Warn("claim stays running", zap.String("request", x.rec.ID), zap.Error(err))
		}
		cancel()
	}
	x.acc.Close(o)
}

// callerLeft says what a broken connection to the caller means.
func callerLeft(err error) outcome.Outcome {
	reason := outcome.CallerGone
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		reason = outcome.CallerSlow
	}
	return outcome.Outcome{Kind: outcome.Cancelled, Reason: reason}
}
