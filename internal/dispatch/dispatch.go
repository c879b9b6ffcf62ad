// Package dispatch runs the decision core (package decide) for the requests of one box. The core processes one event at
// a time and returns actions. This package passes the events to the core one after another. It hands each action to the
// request that the action concerns. It also carries out aborts: orders to an engine to stop a call.
package dispatch

import (
	"context"
	"fmt"
	"maps"
	"runtime/debug"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/retry"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Aborter tells an engine to free the resources that it reserves for a call.
type Aborter func(ctx context.Context, address, call string) error

// Dispatcher runs one decision core for many concurrent requests.
type Dispatcher struct {
	sendAbort Aborter // Nil if a call can only be aborted by closing its connection.
	// OnStateChange is called when the core changes its view of an engine's state. It must not block. It may be nil.
	OnStateChange func(decide.StateChange)
	// OnEstimatesChanged is called when the core updates its statistics of a pool. It must not block. It may be nil.
	OnEstimatesChanged func(decide.Estimates)
	m                  *telemetry.Metrics
	aborts             sync.WaitGroup

	mu     sync.Mutex
	core   *decide.Core
	calls  map[decide.ID]*Call
	lastID decide.ID
	// addresses maps engine names to addresses. It keeps engines that have left the fleet, because aborts must still
	// reach these engines.
	addresses map[string]string
}

// Call is the state of one request in the dispatcher. It holds the core's actions for the request, and the request's
// calls to engines.
type Call struct {
	requestID string
	// Wake receives a value when there are actions for TakeActions to return.
	Wake chan struct{}

	mu      sync.Mutex
	actions []decide.Action
	cancels map[decide.Attempt]context.CancelFunc
}

// New returns a dispatcher that runs the given core.
func New(core *decide.Core, abort Aborter, m *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{
		sendAbort: abort,
		m:         m,
		core:      core,
		calls:     map[decide.ID]*Call{},
		addresses: map[string]string{},
	}
}

// SetFleet replaces the pools and engines that the core knows. addresses maps engine names to addresses.
func (d *Dispatcher) SetFleet(f decide.Fleet, addresses map[string]string) {
	d.mu.Lock()
	maps.Copy(d.addresses, addresses)
	d.mu.Unlock()
	d.Step(f)
}

// Address returns the address of an engine, also after it has left the fleet.
func (d *Dispatcher) Address(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addresses[name]
}

// Submit submits a request to the core. It returns the id under which the core knows the request.
func (d *Dispatcher) Submit(requestID string, r decide.Request) (decide.ID, *Call) {
	c := &Call{requestID: requestID, Wake: make(chan struct{}, 1), cancels: map[decide.Attempt]context.CancelFunc{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastID++
	r.ID = d.lastID
	d.calls[r.ID] = c
	d.stepLocked(decide.Submit{Request: r})
	return r.ID, c
}

// CanResume reports whether the request would be tried again on another engine if its stream were interrupted now.
func (d *Dispatcher) CanResume(id decide.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.CanResume(clock.Now(), id)
}

// CanRepeatPrefill reports whether the request's prompt would be prefilled again if its prefill call were lost now.
func (d *Dispatcher) CanRepeatPrefill(id decide.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.CanRepeatPrefill(clock.Now(), id)
}

// TakeRetries takes n retries from the retry budget, which limits the retries of this box. If fewer than n are left,
// TakeRetries takes none and returns false.
func (d *Dispatcher) TakeRetries(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.TakeRetries(clock.Now(), n)
}

// RetryBudget returns the retry budget of the streams.
func (d *Dispatcher) RetryBudget() *retry.Budget { return d.core.RetryBudget() }

// HasRepeatable reports whether a request that runs on engines may run again if its call is lost.
func (d *Dispatcher) HasRepeatable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.HasRepeatable()
}

// Remove removes a request from the core, however the request ended. If engines still work on the request, Remove
// aborts that work.
func (d *Dispatcher) Remove(id decide.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(decide.Cancel{ID: id})
	delete(d.calls, id)
}

// Admit evaluates a policy for a request that is not submitted to the core. A policy program is not safe for concurrent
// use, and the core may be running the same program. So Admit holds the lock.
func (d *Dispatcher) Admit(p decide.Policy, r *decide.Request, v decide.View) decide.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.Admit(r, v)
}

// SetMaxWaiting sets how many requests may wait for an engine at the same time.
func (d *Dispatcher) SetMaxWaiting(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetMaxWaiting(n)
}

// SetGossipConnected tells the core whether this box receives the messages (gossip) of other boxes.
func (d *Dispatcher) SetGossipConnected(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetGossipConnected(yes)
}

// SetRetryLimits limits the retries of this box to a share of a budget. All boxes have that budget in common.
func (d *Dispatcher) SetRetryLimits(l retry.Limits, boxes int, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetRetryLimits(l, boxes, started)
}

// Step passes an event to the core.
func (d *Dispatcher) Step(ev decide.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// AcceptFirstToken reports the first token of a decode call to the core. It returns whether the chunks of this call may
// be written to the caller. The core may have given up the call because it lasted too long. Its chunks may then not be
// written, and the caller receives the chunks of the next call.
func (d *Dispatcher) AcceptFirstToken(ev decide.FirstToken) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
	return d.core.IsAnswering(ev.ID, ev.Attempt)
}

// stepLocked passes an event to the core and dispatches the resulting actions. A panic in the core means that the core
// broke one of its invariants. net/http would recover from the panic and leave requests and reservations half updated.
// Therefore stepLocked raises the panic again on a goroutine where nothing recovers from it.
func (d *Dispatcher) stepLocked(ev decide.Event) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			go panic(fmt.Sprintf("broken invariant at %T: %v\n%s", ev, v, stack))
			select {} // Keeps the lock until the panic has ended the process.
		}
	}()
	for _, a := range d.core.Step(clock.Now(), ev) {
		switch a := a.(type) {
		case decide.StartPrefill:
			d.calls[a.ID].push(a)
		case decide.StartDecode:
			d.calls[a.ID].push(a)
		case decide.Migrate:
			d.calls[a.ID].push(a)
		case decide.Retry:
			d.m.CountRetry(a.Reason)
			d.calls[a.ID].push(a)
		case decide.RerunEnded:
			d.m.CountRerun(a.Result)
			d.calls[a.ID].push(a)
		case decide.Waiting:
			d.calls[a.ID].push(a)
		case decide.WastedPrefill:
			d.m.CountWasted(a.Reason, a.Tokens)
			d.calls[a.ID].push(a)
		case decide.PolicyVerdict:
			d.calls[a.ID].push(a)
		case decide.End:
			d.calls[a.ID].push(a)
		case decide.RequestTiming:
			d.calls[a.ID].push(a)
		case decide.Abort:
			d.abort(a)
		case decide.EstimatesChanged:
			if d.OnEstimatesChanged != nil {
				d.OnEstimatesChanged(a.Estimates)
			}
		case decide.StateChange:
			if d.OnStateChange != nil {
				d.OnStateChange(a)
			}
		}
	}
}

const (
	abortTries      = 4
	abortRetryDelay = 250 * time.Millisecond
)

// abort closes the connection of a call. In the background it then tells the engine to free the call's resources. While
// the engine does not answer, abort tries again, also after the request has ended. A planned stop of the box waits for
// these tries. If all tries fail, the engine frees the memory when its own time limit expires.
func (d *Dispatcher) abort(a decide.Abort) {
	c := d.calls[a.ID]
	c.cancel(a.Attempt)
	c.push(a)
	d.m.Aborts.Inc()
	if d.sendAbort == nil {
		return
	}
	address, id := d.addresses[a.Engine], CallID(c.requestID, a.Attempt)
	d.aborts.Go(func() {
		for range abortTries {
			if err := d.sendAbort(context.Background(), address, id); err == nil {
				return
			}
			time.Sleep(abortRetryDelay)
		}
		d.m.AbortsLost.Inc()
	})
}

// CallID returns the id that an engine receives for one attempt (one call to an engine) of a request.
func CallID(request string, a decide.Attempt) string { return fmt.Sprintf("%s-%d", request, a) }

func (c *Call) push(a decide.Action) {
	c.mu.Lock()
	c.actions = append(c.actions, a)
	c.mu.Unlock()
	select {
	case c.Wake <- struct{}{}:
	default:
	}
}

// TakeActions returns the actions that have arrived since the previous call of TakeActions.
func (c *Call) TakeActions() []decide.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.actions
	c.actions = nil
	return out
}

// AttemptContext returns the context for one attempt. An attempt is one call to an engine. The context is cancelled
// when the core aborts the attempt. If the abort came first, the returned context is already cancelled.
func (c *Call) AttemptContext(ctx context.Context, a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, aborted := c.cancels[a]; aborted {
		cancel()
	}
	c.cancels[a] = cancel
	return ctx
}

func (c *Call) cancel(a decide.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[a]; cancel != nil {
		cancel()
		return
	}
	c.cancels[a] = func() {}
}

// WaitAborts waits until every abort has reached its engine or has used up its tries.
func (d *Dispatcher) WaitAborts() { d.aborts.Wait() }

// Engines returns the engines as the core sees them, and the number of requests that wait for an engine. It also
// returns a sentence for each role (prefill or decode) that is short of capacity, and for each client account whose
// requests wait.
func (d *Dispatcher) Engines() ([]decide.EngineState, int, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	engines, waiting := d.core.Snapshot(now)
	return engines, waiting, append(d.core.Imbalance(now), d.core.AccountNotes()...)
}

// Waiting returns the number of requests that wait for an engine.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}

// Queues returns what the other boxes need to know of this box's queues: the number of requests that wait for an engine,
// the number of callers that were told to retry, and at most n client accounts.
func (d *Dispatcher) Queues(n int) (waiting, told int, accounts []decide.AccountQueue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting(), d.core.Told(clock.Now()), d.core.AccountQueues(n)
}

// RecommendRoleChange returns engines that should change their role (prefill or decode). The bool is false if no engine
// should.
func (d *Dispatcher) RecommendRoleChange() (decide.RoleChange, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.RecommendRoleChange()
}

// Grant answers another box that wants to send a request to a decode engine. Each engine has one box as its owner. The
// owner adds up the requests of all boxes to the engine. So all boxes together do not send more than fits on the
// engine. If the engine has free capacity, Grant counts the request on that engine and returns true. yields means that
// there is capacity, but that a request with a higher precedence needs it.
func (d *Dispatcher) Grant(engine string, r decide.Request, o decide.Precedence) (granted, yields bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Grant(clock.Now(), engine, r, o)
}

// Precedence returns the precedence of a request that is being placed. ok is false if the request has ended.
func (d *Dispatcher) Precedence(id decide.ID) (o decide.Precedence, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Precedence(id)
}

// GrantRerun is Grant for a request that the engine runs again. Its lost run used the given memory, in tokens, and has
// ended.
func (d *Dispatcher) GrantRerun(engine string, r decide.Request, lost int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.GrantRerun(clock.Now(), engine, r, lost)
}

// EstimateStreamTime predicts how long the decode engines of a pool need to generate a number of tokens for one
// request.
func (d *Dispatcher) EstimateStreamTime(pool string, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.EstimateStreamTime(pool, tokens)
}

// Estimates returns the statistics of the engines and requests of each pool.
func (d *Dispatcher) Estimates() []decide.Estimates {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Estimates()
}

// Running returns the ids of the requests that the core is processing.
func (d *Dispatcher) Running() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, c := range d.calls {
		out = append(out, c.requestID)
	}
	return out
}
