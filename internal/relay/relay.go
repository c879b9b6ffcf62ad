package relay

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/calltimes"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/dispatch"
	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/gate"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/intake"
	"github.com/stoatramp/stoatramp/internal/notice"
	"github.com/stoatramp/stoatramp/internal/origins"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/pacing"
	"github.com/stoatramp/stoatramp/internal/paths"
	"github.com/stoatramp/stoatramp/internal/quarantine"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/retry"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Options configure a Relay. Box is the name of this box. Hall is its data hall, and Region its region.
type Options struct {
	Box    string
	Hall   string
	Region string
	// Halls maps data halls to regions. A hall that is not listed is in this box's region.
	Halls    map[string]string
	Protocol Protocol
	Core     *decide.Core
	// Recorder records what happens to each request.
	Recorder *account.Recorder
	// Peers exchanges messages with the other boxes; nil if there are no others.
	Peers Peers
	// RetryLenders lend calls of the retry budgets of other boxes; nil if there are no others.
	RetryLenders RetryLenders
	// ListFreshness has the age of the list of endpoints; nil if it is not known.
	ListFreshness *follow.Freshness
	// Limits enforces the rate limits of client accounts; nil if there are no limits.
	Limits Quota
	// Crashes lists the requests during which endpoints crashed, as reported by all boxes. If Crashes is nil, New makes
	// a list that has only this box's own reports.
	Crashes *quarantine.List
	Keys    KeyPolicy
	// Memory limits the bytes of this box's memory that are reserved for requests; 0 means no limit.
	Memory int64
	// ColdLimits limits the requests of all boxes together to a cold endpoint. A cold endpoint has just started.
	ColdLimits pacing.ColdLimits
	// SharedSlots lets the box ask for a slot before each plain call, while calls compete for the endpoints' slots.
	SharedSlots bool
	// TunnelPeers are the boxes through which this box reaches endpoints when its own path is lost; nil if there are none.
	TunnelPeers paths.Peers
	// Origins is the directory of the builds at which streams began. If it is nil, New makes one for this box alone.
	Origins Origins
	// Builds plans at which build each new stream begins; nil if streams begin at any.
	Builds BuildPlanner
	// EndpointProxy is the address of an HTTP proxy for this box's connections to endpoints; empty if there is none.
	EndpointProxy string
}

// Peers is the connection to the other boxes.
type Peers interface {
	Publish(msg overlay.Message)
	// Connected reports whether this box receives messages from other boxes.
	Connected() bool
	// RegionSize returns the number of boxes in the region that exchange messages, including this one.
	RegionSize() int
	// Boxes lists all boxes of a region. version changes when the list changes.
	Boxes(region string) (names []string, version int64)
	// AskRoom asks the owner of an engine in a hall whether the engine has room for a stream. Room is free engine
	// memory. The owner is the box that grants the engine's room. by is the other box that granted or denied the room.
	// by is empty if this box owns the engine, or if the owner did not answer. The room then counts as granted.
	AskRoom(ctx context.Context, hall string, r overlay.Room) (answer overlay.RoomAnswer, by string)
	// AcquireSlot asks the owner of a cell for a slot, and waits for the decision. owner is the box that decided. It is
	// empty if no owner answered; then this box decides by its own part of the slots. busy means that the owner said
	// that boxes should go on asking.
	AcquireSlot(ctx context.Context, cell slots.Cell, r slots.Request) (d slots.Decision, owner string, busy bool)
	// SlotOwnerPart returns the part of a cell's slots that this box may grant as owner; 0 if it must not act as owner.
	SlotOwnerPart(cell slots.Cell) float64
	// ReleaseSlot ends a grant of an owner. It does not wait for the owner.
	ReleaseSlot(owner string, cell slots.Cell, id string, res slots.Result)
	// SetInterest selects the engines that this box needs messages about. nil selects all engines.
	SetInterest(engines []string)
}

// Relay serves callers' requests. Use New to create one.
type Relay struct {
	o        Options
	protocol Protocol
	disp     *dispatch.Dispatcher
	// callerPool has the connections for callers' requests. controlPool has the connections for the box's own calls. On
	// a shared connection, a late answer to a caller's request could be taken for the answer to one of the box's own
	// calls.
	callerPool  *h1.Pool
	controlPool *h1.Pool
	paths       *paths.Dialer
	endChecks   endChecks
	starts      confirmedStarts
	oddAnswers  account.LineLimit
	plain       *plainTable
	// contentions says for which plain services the box asks for slots.
	contentions contentions
	// ownedCells grants the slots of the cells that this box owns. partCells grants this box its own part of the slots of
	// a cell whose owner does not answer.
	ownedCells, partCells *slotCells
	// ownerGrants counts the calls of this box with slots that owners of cells granted, partGrants those by its own part.
	// The first count against its own part: without that, a box whose owner was late sent as many calls again as it had in
	// progress. The second count against what it grants as owner.
	ownerGrants, partGrants endpointCalls
	// slotIDs is the prefix of the IDs of this box's requests for slots, and lastSlotID the number in the latest ID.
	slotIDs    string
	lastSlotID atomic.Uint64
	// notices has the request rate limits, pauses and departures that endpoints announce in their answers.
	notices *notice.Table
	m       *telemetry.Metrics
	cfg     atomic.Pointer[Config]
	// callerTimes has what was learned of the callers of each route, by the route's name.
	callerTimes atomic.Pointer[map[string]*retry.CallerTimes]
	// cfgAppliedAt is when cfg was applied; nil before the first configuration. lastStall is the last period during
	// which the process got no processor time; nil if there was no such period.
	cfgAppliedAt atomic.Pointer[time.Time]
	lastStall    atomic.Pointer[stall]
	// policies are the operators' programs that decide on requests; nil before any were loaded.
	policies atomic.Pointer[policies]
	// weights are the shares of client accounts by name; nil before any were set.
	weights atomic.Pointer[map[string]float64]
	// splits has the former targets of routes; never nil.
	splits atomic.Pointer[splitHistory]
	// accountHistory has the former names of accounts; never nil.
	accountHistory atomic.Pointer[accountHistory]
	// revoked are the keys that were removed from the configuration; never nil.
	revoked atomic.Pointer[revoked]
	fleet   fleet
	// listed is set once the first list of endpoints was applied.
	listed       atomic.Bool
	remoteQueues remoteQueues
	streams      streamRates
	crashWatch   crashWatch

	memory memory
	// delays has by how much this box itself delays what it sends and receives. callerGate decides which new connections of
	// callers are read, and callerShares how many this box gets beside the others.
	delays       intake.Delays
	callerGate   intake.Gate
	callerShares intake.Shares
	// intakeSteppedAt is when callerGate was last adapted, in Unix nanoseconds, and ownDelay the delay of this box then, in
	// nanoseconds.
	intakeSteppedAt, ownDelay atomic.Int64

	gate gate.Gate
	// inFlight has the ids of the requests in progress, by their exchange.
	inFlight sync.Map
	stop     plannedStop
	// callTimes has how long plain calls took, by service and route.
	callTimes calltimes.Table
	// lastTimingPublish is when this box last published the timing of a stream, in Unix nanoseconds.
	lastTimingPublish atomic.Int64
	// cleanups are the calls that free engine memory after their requests have ended.
	cleanups sync.WaitGroup
}

// New returns a relay that refuses all requests until it has a configuration.
func New(o Options) *Relay {
	if o.Crashes == nil {
		o.Crashes = quarantine.NewList()
	}
	if o.Origins == nil {
		o.Origins = &origins.Directory{}
	}
	r := &Relay{
		o:           o,
		protocol:    o.Protocol,
		disp:        dispatch.New(o.Core, nil, o.Recorder.Metrics),
		callerPool:  h1.NewPool(),
		controlPool: h1.NewPool(),
		endChecks:   endChecks{endpoints: map[string]*endpointCheck{}},
		plain:       newPlainTable(o.Hall),
		m:           o.Recorder.Metrics,
	}
	r.stop.init()
	r.contentions.enabled = o.SharedSlots
	r.slotIDs = o.Box + "-" + strconv.FormatInt(time.Now().UnixNano(), 36) + "-"
	r.ownedCells = &slotCells{r: r, part: r.ownerPart, outside: r.partGrants.count, cells: map[slots.Cell]*slotCell{}}
	r.partCells = &slotCells{r: r, part: r.slotPart, outside: r.ownerGrants.count, cells: map[slots.Cell]*slotCell{}}
	r.notices = notice.NewTable(o.Box, r.boxes)
	r.plain.notices = r.notices
	r.fleet.hasAnnouncedLeaving = r.notices.Leaving
	o.Core.SetNotices(r.notices)
	r.fleet.box, r.fleet.hall, r.fleet.region, r.fleet.halls = o.Box, o.Hall, o.Region, o.Halls
	r.memory.limit = o.Memory
	r.revoked.Store(&revoked{})
	r.splits.Store(&splitHistory{})
	r.accountHistory.Store(&accountHistory{})
	r.callerPool.OnSurplus = r.m.ForeignChunks.Inc
	r.callerPool.OnUnconfirmed = r.m.UnconfirmedConns.Inc
	r.callerPool.OnMalformed, r.controlPool.OnMalformed = r.rejectHead, r.rejectHead
	r.callerPool.OnEndRejected = func(cause h1.EndCause) { r.m.EndsRejected[cause].Inc() }
	r.makePaths()
	r.callerPool.OnResponse, r.controlPool.OnResponse = r.observeRun, r.observeControl
	r.disp.OnStateChange = r.logStateChange
	r.disp.OnEstimatesChanged = r.logEstimates
	r.plain.onStateChange = r.logStateChange
	r.m.Set.RegisterMetricsWriter(r.writeRetryMetrics)
	return r
}

// SetConfig applies a configuration to all requests that start from now on.
func (r *Relay) SetConfig(c *Config) {
	r.fleet.setConfig(c)
	r.applyFleet()
	r.forgetContention(c)
	r.callTimes.Keep(func(k calltimes.Key) bool { return c.Services[k.Service] != nil && c.has(k.Route) })
	next := r.revoked.Load().updated(r.cfg.Load(), c)
	r.revoked.Store(&next)
	splits := r.splits.Load().updated(r.cfg.Load(), c, clock.Now())
	r.splits.Store(&splits)
	r.accountHistory.Store(r.accountHistory.Load().updated(r.cfg.Load(), c, clock.Now()))
	callers := keepCallerTimes(r.callerTimes.Load(), c)
	r.callerTimes.Store(&callers)
	r.cfg.Store(c)
	now := clock.Now()
	r.cfgAppliedAt.Store(&now)
	r.m.KeepRoutes(c.has)
}

// stall is a period during which the process got no processor time.
type stall struct {
	duration time.Duration
	endedAt  time.Time
}

// RecordStall records that the process got no processor time for a duration d that has just ended.
func (r *Relay) RecordStall(d time.Duration) { r.lastStall.Store(&stall{d, clock.Now()}) }

// Conditions returns the conditions of the box for the records of requests. They are the age of the box's
// configuration, and the length and age of the last period during which the process got no processor time.
func (r *Relay) Conditions() account.Conditions {
	var c account.Conditions
	if since := r.cfgAppliedAt.Load(); since != nil {
		c.ConfigAge = clock.Since(*since)
	}
	if s := r.lastStall.Load(); s != nil {
		c.Stall, c.StallAge = s.duration, clock.Since(s.endedAt)
	}
	return c
}

// Policies finds policies. A policy is an operator's program that decides on requests. For returns the policy for a
// request, given the kind of its route, its service and its priority. It also returns the name of the rule that
// selected the policy. The policy is nil if none applies.
type Policies interface {
	For(kind, service string, priority int) (decide.Policy, string)
}

// policies are the policies of the operators, with the version that was loaded.
type policies struct {
	Policies
	version int64
}

// SetPolicies applies policies to all requests that start from now on.
func (r *Relay) SetPolicies(version int64, p Policies) { r.policies.Store(&policies{p, version}) }

// PolicyVersion returns the version of the policies in force; 0 before the first.
func (r *Relay) PolicyVersion() int64 {
	if p := r.policies.Load(); p != nil {
		return p.version
	}
	return 0
}

// policy returns the policy for the request; nil if none applies. It records the policy's rule and version.
func (x *exchange) policy() decide.Policy {
	all := x.r.policies.Load()
	if all == nil {
		return nil
	}
	p, rule := all.For(x.route.Kind.String(), x.service.Name, x.priority())
	if p != nil {
		x.rec.Rule, x.rec.PolicyVersion = rule, all.version
	}
	return p
}

// Version returns the version of the configuration in force; 0 before the first.
func (r *Relay) Version() int64 {
	if c := r.cfg.Load(); c != nil {
		return c.Version
	}
	return 0
}

// NotifyBusy returns a channel. The channel receives a value when a request starts while no other request runs.
func (r *Relay) NotifyBusy() <-chan struct{} { return r.gate.NotifyBusy() }

// Tick lets the decision core's timeouts fire. late is by how much the tick came too late.
func (r *Relay) Tick(late time.Duration) {
	r.delays.Ticked(clock.Now(), late)
	r.stepIntake(clock.Now())
	r.disp.Step(decide.Tick{})
	r.refreshCells(false)
}

// refreshCells updates the endpoints of the cells for which this box grants slots.
func (r *Relay) refreshCells(listChanged bool) {
	now := clock.Now()
	r.ownedCells.refresh(now, listChanged)
	r.partCells.refresh(now, listChanged)
}

// Running returns the number of requests in progress.
func (r *Relay) Running() int64 { return r.gate.Running() }

// RunningIDs lists the ids of the requests in progress.
func (r *Relay) RunningIDs() (ids []string) {
	r.inFlight.Range(func(_, id any) bool {
		ids = append(ids, id.(string))
		return true
	})
	slices.Sort(ids)
	return ids
}

// Engines returns what the decision core knows of the engines.
func (r *Relay) Engines() ([]decide.EngineState, int, []string) { return r.disp.Engines() }

// Ready reports whether the box may get requests: it has a configuration and a list of endpoints, and is not stopping.
func (r *Relay) Ready() bool {
	return !r.stop.planned() && r.gate.Open() && r.cfg.Load() != nil && r.listed.Load()
}

func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(w, req)
	defer x.recoverPanic()
	x.unwatchUndelivered()
	if r.stop.planned() || r.callerGate.Limited() {
		w.Header().Set("Connection", "close")
	}
	if !r.gate.Enter() {
		r.m.StopRefusals[telemetry.StopClosed].Inc()
		x.refuse(stopOutcome())
		return
	}
	defer r.gate.Leave()
	r.inFlight.Store(x, x.meta.ID)
	defer r.inFlight.Delete(x)
	x.serve()
	x.watchUndelivered()
}

// recoverPanic completes the record of a request whose handler panicked. Without recoverPanic, the server would close
// the connection and log no request id. The panic http.ErrAbortHandler only closes the connection, and is passed on.
func (x *exchange) recoverPanic() {
	v := recover()
	switch {
	case v == nil:
		return
	case v != http.ErrAbortHandler:
		x.r.o.Recorder.Log.Failed(x.meta.ID, "request handler panicked", zap.Any("panic", v), zap.ByteString("stack", debug.Stack()))
		o := outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.Internal}
		if !x.begun {
			x.refuse(o)
			return
		}
		o.Kind = outcome.CutOff
		x.trace.Close(o)
	}
	h1.Abort(x.w, x.req)
}

// exchange is a caller's request with its answer. It exists while the request is processed.
type exchange struct {
	r       *Relay
	w       http.ResponseWriter
	req     *http.Request
	cfg     *Config
	route   *Route
	service *Service
	// region is the region that serves the request.
	region string
	// account is the client account of the request; nil if the request has none. units is the number of requests or
	// tokens that the request was charged on the account's limit, and refundUntil until when they can be given back.
	account     *Account
	units       float64
	refundUntil time.Time
	// callers has what was learned of the route's callers; nil if the route is not configured any more. spentBefore is the
	// time that the caller has spent at least on attempts that were refused; 0 for a first attempt.
	callers     *retry.CallerTimes
	spentBefore time.Duration
	// dispatched is set once a request was built for an endpoint. ran is set once a call has failed at an endpoint that
	// may have run the request.
	dispatched atomic.Bool
	ran        bool
	meta       RequestMeta
	body       []byte
	// reservedBytes is the memory of this box that is reserved for the request.
	reservedBytes int64
	// writeDeadline is the time by which the caller must have taken the data that is being written.
	writeDeadline time.Time
	// trace collects what happens to the request, and writes it to rec, the record of the request.
	trace   *account.Trace
	rec     *record.Record
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's deadline.
	deadline time.Time
	// waits is the context of all waits before the request is sent to an endpoint; see beforeStop.
	waits context.Context
	// cachedFingerprints are the request's fingerprints; nil until they are needed.
	cachedFingerprints []quarantine.Fingerprint
	// origin says at which build the stream began that the caller takes up; its Build is empty if that is not known, and for
	// other requests.
	origin origins.Origin
	// resumed identifies that stream.
	resumed origins.Stream
	// planned is set once the planner has decided where a new stream begins. plannedBuild is its build; empty if the endpoints
	// name none.
	planned      bool
	plannedBuild string
	// begun is set once any byte of an answer was written. From then on the request can no longer be refused.
	begun bool
	// trialPart is a quarantined part of the prompt with which the request runs all the same, until a call is lost.
	trialPart quarantine.Part
	// runLasted is set once the current run has shown that no part of the prompt crashes endpoints.
	runLasted bool
}

func (r *Relay) newExchange(w http.ResponseWriter, req *http.Request) *exchange {
	x := &exchange{r: r, w: w, req: req, cfg: r.cfg.Load(), arrived: clock.Now(), meta: r.protocol.ParseRequest(req)}
	x.rec = &record.Record{
		ID: x.meta.ID, Box: r.o.Box, Path: req.URL.Path, At: time.Now(),
		PromptTokens: x.meta.PromptTokens, MaxTokens: x.meta.MaxOutput, Model: x.meta.Model, Resumes: x.meta.Resumes,
	}
	x.trace = r.o.Recorder.Open(x.rec)
	return x
}

// serve runs the stages that all requests have in common. It then serves the request as a stream or as a plain call.
func (x *exchange) serve() {
	if !x.reserveMemory(requestOverheadBytes) {
		x.refuse(boxFullOutcome())
		return
	}
	defer x.releaseMemory()
	if x.cfg == nil {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.NoConfig, RetryAfter: drainRetryAfter})
		return
	}
	if !x.r.listed.Load() {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.NoEndpointsKnown, RetryAfter: drainRetryAfter})
		return
	}
	x.rec.ConfigVersion = x.cfg.Version
	x.route = x.cfg.RouteFor(x.req.Host, x.req.URL.Path)
	if x.route == nil {
		x.refuse(outcome.Refuse(outcome.UnknownPath, ""))
		return
	}
	x.rec.Route, x.rec.FirstTarget, x.rec.GapTarget = x.route.Name, x.route.LatencyTarget, x.route.EventGapTarget
	x.rec.Repeatable = x.route.repeats()
	if o, ok := x.authenticate(); !ok {
		x.refuse(o)
		return
	}
	x.service = x.cfg.Services[x.route.pick(x.splitID())]
	if x.service == nil {
		x.refuse(outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.ConnectFailed, Detail: "the route's service is not configured", RetryAfter: retryAfter})
		return
	}
	if o, ok := x.findRegion(); !ok {
		x.refuse(o)
		return
	}
	x.setDeadline()
	x.observeCaller()
	ctx, cancel := context.WithTimeout(x.req.Context(), clock.Until(x.deadline))
	defer cancel()
	var endWaits context.CancelFunc
	x.waits, endWaits = x.beforeStop(ctx)
	defer endWaits()
	if x.outlastsStop() {
		x.refuseForStop()
		return
	}
	if o, ok := x.bufferBody(); !ok {
		x.refuse(o)
		return
	}
	if o, quarantined := x.awaitVerdict(x.waits); quarantined {
		x.refuse(o)
		return
	}
	if o, ok := x.chargeLimit(x.waits); !ok {
		x.refuse(o)
		return
	}
	defer x.refundLimit()
	if x.outlastsStop() {
		x.refuseForStop()
		return
	}
	if x.service.Engines != nil {
		x.serveStream(ctx)
		return
	}
	x.servePlain(ctx)
}

// setDeadline sets the deadline of the request to the earlier of the caller's deadline and the route's deadline.
func (x *exchange) setDeadline() {
	x.deadline = x.arrived.Add(x.route.Timeout)
	if x.meta.Timeout > 0 && x.meta.Timeout < x.route.Timeout {
		x.deadline = x.arrived.Add(x.meta.Timeout)
	}
}

// bufferBody reads the whole body. The reason is that the body is sent again if another endpoint is tried. It returns
// false if the request must be refused with the returned outcome.
func (x *exchange) bufferBody() (outcome.Outcome, bool) {
	if x.req.ContentLength == 0 {
		return outcome.Outcome{}, true
	}
	rc := http.NewResponseController(x.w)
	_ = rc.SetReadDeadline(time.Now().Add(clock.Until(x.deadline)))
	stop := context.AfterFunc(x.waits, func() {
		if x.waitsEndedByStop() {
			_ = rc.SetReadDeadline(time.Unix(1, 0))
		}
	})
	b, err := x.readBody()
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case x.waitsEndedByStop():
		x.r.m.StopRefusals[telemetry.StopOutlasted].Inc()
		return stopOutcome(), false
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.TooLarge, ""), false
	case errors.Is(err, errBoxFull):
		return boxFullOutcome(), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return outcome.Refuse(outcome.SlowBody, ""), false
	case err != nil:
		return outcome.Refuse(outcome.BadRequest, "the body ended early"), false
	}
	// The read deadline is removed. With it, the server could not detect later that the caller closes its connection.
	_ = rc.SetReadDeadline(time.Time{})
	x.body = b
	return outcome.Outcome{}, true
}

// readBody reads the body. The memory for it is reserved before it is allocated.
func (x *exchange) readBody() ([]byte, error) {
	n, limit := x.req.ContentLength, x.cfg.Limits.MaxBody
	src := http.MaxBytesReader(x.w, x.req.Body, limit)
	if n < 0 || n > limit {
		return io.ReadAll(&countedBody{Reader: src, x: x})
	}
	if !x.reserveMemory(n) {
		return nil, errBoxFull
	}
	b := make([]byte, n)
	_, err := io.ReadFull(src, b)
	return b, err
}

// timeLeft returns the time until the deadline, and at least a millisecond.
func (x *exchange) timeLeft() time.Duration { return max(time.Millisecond, clock.Until(x.deadline)) }

// request builds the request that is sent to one endpoint from the caller's request.
func (x *exchange) request(address string, run Run) *h1.Request {
	h := make(http.Header, len(x.req.Header)+4)
	h1.CopyHeaders(h, x.req.Header)
	h.Del("Content-Length") // Set again from the body.
	h.Del("Expect")
	run.TimeLeft = x.timeLeft()
	run.Account = x.account
	x.dispatched.Store(true)
	if run.LastEvent == "" {
		run.LastEvent = x.meta.LastEvent
	}
	x.r.protocol.SetHeaders(h, run)
	q := &h1.Request{
		Address: address, Endpoint: run.Instance, Method: x.req.Method, Target: x.req.RequestURI, Host: x.req.Host, Header: h, Body: x.body,
		Matches:  func(h http.Header) bool { return x.r.protocol.IsAnswerTo(h, x.meta.ID) },
		KeepBody: x.r.keepBody(int64(len(x.body))),
	}
	if q.Body == nil && x.req.Method != http.MethodGet && x.req.Method != http.MethodHead {
		q.Body = []byte{}
	}
	return q
}

// refusal is the body of an error answer that the relay itself makes.
type refusal struct {
	Reason  outcome.Reason `json:"reason"`
	Run     outcome.Kind   `json:"run"`
	Message string         `json:"message"`
}

// statusOf returns the HTTP status of an error answer. Callers take some statuses to mean that the request did not run.
// statusOf returns these statuses only for requests that did not run.
func statusOf(o outcome.Outcome) int {
	s := o.Reason.Status()
	switch {
	case o.Kind != outcome.NotRun && s != http.StatusGatewayTimeout:
		return http.StatusBadGateway
	case o.Reason == outcome.CrashesEndpoints:
		return s // The request did not run, as the body says, but must not be retried.
	case o.Kind == outcome.NotRun && (s >= http.StatusInternalServerError || o.Reason == outcome.PromptTooLong):
		// An engine that is too small for a prompt refuses it in the same way as an engine that is full.
		return http.StatusServiceUnavailable
	}
	return s
}

// refuse ends the request. If no answer has begun, refuse writes an error answer. If the reason is a lack of capacity,
// refuse also enlarges the box's subset of the service.
func (x *exchange) refuse(o outcome.Outcome) {
	if o.Kind == outcome.NotRun && x.service != nil && isCapacityRefusal(o.Reason) {
		x.r.growSubset(clock.Now(), x.service.Name)
	}
	if o.Kind == outcome.NotRun && o.RetryAfter > 0 {
		x.callers.Refused(clock.Now())
	}
	if !x.begun {
		h := x.w.Header()
		h.Set("Content-Type", "application/json")
		if o.RetryAfter > 0 && o.Kind == outcome.NotRun {
			h.Set("Retry-After", strconv.FormatFloat(o.RetryAfter.Seconds(), 'f', 2, 64))
		}
		x.extendWriteDeadline()
		x.w.WriteHeader(statusOf(o))
		_ = json.NewEncoder(x.w).Encode(refusal{o.Reason, o.Kind, o.Message()})
	}
	x.trace.Close(o)
}

// cutOff ends a request whose answer cannot be completed. It closes the caller's connection, because the caller would
// otherwise take the answer for complete.
func (x *exchange) cutOff(o outcome.Outcome) {
	if x.begun {
		_ = http.NewResponseController(x.w).Flush() // The caller gets the bytes received so far.
	}
	x.trace.Close(o)
	h1.Abort(x.w, x.req)
}
