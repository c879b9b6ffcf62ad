// Package dispatch runs the decision core for the requests of a box: it serialises
// events, routes each action to the request it concerns, and carries out aborts.
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

// Aborter tells an engine to free the resources it keeps for a call.
type Aborter func(ctx context.Context, address, call string) error

// Dispatcher drives one core for many concurrent requests.
type Dispatcher struct {
	sendAbort Aborter // Nil where closing a call's connection is the only way to abort it.
	// OnStateChange is called when the core changes the observed state of an engine. It must not
	// block; nil if nobody listens.
	OnStateChange func(decide.StateChange)
	// OnEstimatesChanged is called when the core updates its statistics of a pool. It must not block;
	// nil if nobody listens.
	OnEstimatesChanged func(decide.Estimates)
	m                  *telemetry.Metrics
	aborts             sync.WaitGroup

	mu     sync.Mutex
	core   *decide.Core
	calls  map[decide.ID]*Call
	lastID decide.ID
	// addresses also keeps engines that have left the fleet: aborts must still reach them.
	addresses map[string]string
}

// Call is the dispatcher's state of one request.
type Call struct {
	requestID string
	// Wake has an entry while TakeActions has something to return.
	Wake chan struct{}

	mu      sync.Mutex
	actions []decide.Action
	cancels map[decide.Attempt]context.CancelFunc
}

// New returns a dispatcher that drives core.
func New(core *decide.Core, abort Aborter, m *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{
		sendAbort: abort,
		m:         m,
		core:      core,
		calls:     map[decide.ID]*Call{},
		addresses: map[string]string{},
	}
}

// SetFleet replaces the known pools and engines; addresses maps engine names to addresses.
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

// Submit submits a request to the core.
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

// CanResume reports whether an interrupted stream could be resumed on another engine.
func (d *Dispatcher) CanResume(id decide.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.CanResume(clock.Now(), id)
}

// TakeRetries takes n retries from the retry budget, all or none, and reports whether it succeeded.
func (d *Dispatcher) TakeRetries(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.TakeRetries(clock.Now(), n)
}

// Remove removes a request from the core, whatever its outcome. Work that engines still do
// for it is aborted; for an answered request there is none.
func (d *Dispatcher) Remove(id decide.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(decide.Cancel{ID: id})
	delete(d.calls, id)
}

// Admit evaluates a policy for a request that does not pass through the core. It takes the
// lock because policy programs are not safe for concurrent use and the core may be running
// the same one.
func (d *Dispatcher) Admit(p decide.Policy, r *decide.Request, v decide.View) decide.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.Admit(r, v)
}

// SetMaxWaiting sets the maximum number of waiting requests.
func (d *Dispatcher) SetMaxWaiting(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetMaxWaiting(n)
}

// SetGossipConnected sets whether messages from other boxes are being received.
func (d *Dispatcher) SetGossipConnected(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetGossipConnected(yes)
}

// SetRetryLimits limits retries to this box's share of a budget that all boxes have in common.
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

// AcceptFirstToken reports the first token of a decode call to the core and returns whether its response
// may be written to the caller. The core may have just given the call up as stalled: then its
// chunks must not reach the caller, who receives the response of the next call.
func (d *Dispatcher) AcceptFirstToken(ev decide.FirstToken) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
	return d.core.IsAnswering(ev.ID, ev.Attempt)
}

// stepLocked passes an event to the core and dispatches the resulting actions. A panic in the
// core means a broken invariant. net/http would recover it and leave requests and ledgers
// half updated, so it is raised again on a goroutine where nothing recovers it.
func (d *Dispatcher) stepLocked(ev decide.Event) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			go panic(fmt.Sprintf("broken invariant at %T: %v\n%s", ev, v, stack))
			select {} // Keeps the lock until the process has exited.
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

// abort closes the call's own connection, then tells the engine to free its resources. It
// continues after the request has ended, retries while the engine does not answer, and a
// drain waits for it. If all tries fail, the engine's own expiry frees the memory.
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

// CallID returns the id of one attempt of a request, as sent to an engine.
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

// TakeActions returns the actions received since the last call.
func (c *Call) TakeActions() []decide.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.actions
	c.actions = nil
	return out
}

// AttemptContext returns the context of an attempt, which is cancelled when the core aborts the attempt.
// If the abort came before the attempt started, the context is cancelled already.
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

// WaitAborts waits until every abort has succeeded or been given up.
func (d *Dispatcher) WaitAborts() { d.aborts.Wait() }

// Engines returns the engines as the core sees them, the number of waiting requests, and
// a plain-text description of each role that is short of capacity.
func (d *Dispatcher) Engines() ([]decide.EngineState, int, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	engines, waiting := d.core.Snapshot(now)
	return engines, waiting, d.core.Imbalance(now)
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}

// RecommendRoleChange returns a recommended role change of an engine, if there is one.
func (d *Dispatcher) RecommendRoleChange() (decide.RoleChange, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.RecommendRoleChange()
}

// Grant reserves capacity on an engine for a request of another box and reports whether there was enough.
func (d *Dispatcher) Grant(engine string, r decide.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Grant(clock.Now(), engine, r)
}

// EstimateStreamTime predicts how long a pool's engines take to generate a number of tokens.
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
