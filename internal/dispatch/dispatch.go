// Package dispatch drives the decision core for the requests of a box: it serialises
// the events, hands each action to the request it is for, and carries out aborts.
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

// Aborter tells an engine to free what it holds for a call.
type Aborter func(ctx context.Context, address, call string) error

// Dispatcher drives one core for many concurrent requests.
type Dispatcher struct {
	abortCall Aborter // Nil where ending a call's connection is all that there is.
	// OnBelief is called when the core changes its mind about an engine. It must not block;
	// nil if nobody listens.
	OnBelief func(decide.Believed)
	// OnLearnt is the same for what it learned of a pool.
	OnLearnt func(decide.Learned)
	m        *telemetry.Metrics
	aborts   sync.WaitGroup

	mu    sync.Mutex
	core  *decide.Core
	calls map[decide.ID]*Call
	next  decide.ID
	// addr is kept for engines that have left too: what they hold must be freed.
	addr map[string]string
}

// Call is the dispatcher's side of one request.
type Call struct {
	name string // The request id.
	// Wake has an entry while Take has something to return.
	Wake chan struct{}

	mu      sync.Mutex
	actions []decide.Action
	cancels map[decide.Attempt]context.CancelFunc
}

// New returns a dispatcher that drives core.
func New(core *decide.Core, abort Aborter, m *telemetry.Metrics) *Dispatcher {
	return &Dispatcher{
		abortCall: abort,
		m:         m,
		core:      core,
		calls:     map[decide.ID]*Call{},
		addr:      map[string]string{},
	}
}

// SetFleet replaces what is known of pools and engines; addresses are by engine name.
func (d *Dispatcher) SetFleet(f decide.Fleet, addresses map[string]string) {
	d.mu.Lock()
	maps.Copy(d.addr, addresses)
	d.mu.Unlock()
	d.Step(f)
}

// Address is where an engine is, also after it has left the fleet.
func (d *Dispatcher) Address(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr[name]
}

// Arrive gives a request to the core.
func (d *Dispatcher) Arrive(name string, r decide.Request) (decide.ID, *Call) {
	c := &Call{name: name, Wake: make(chan struct{}, 1), cancels: map[decide.Attempt]context.CancelFunc{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	r.ID = d.next
	d.calls[r.ID] = c
	d.stepLocked(decide.Arrive{Request: r})
	return r.ID, c
}

// MayResume says whether a stream that breaks off could go on at another engine.
func (d *Dispatcher) MayResume(id decide.ID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.MayResume(clock.Now(), id)
}

// TakeRetries takes n retries, all or none, and returns whether there were as many.
func (d *Dispatcher) TakeRetries(n int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.TakeRetries(clock.Now(), n)
}

// Leave takes a request out of the core, whatever became of it. What it still
// holds anywhere is aborted; for an answered request that is nothing.
func (d *Dispatcher) Leave(id decide.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(decide.Cancel{ID: id})
	delete(d.calls, id)
}

// Admit asks a policy about a request that the core has no part in. Programs are not safe
// for concurrent use, and the core may be asking the same one.
func (d *Dispatcher) Admit(p decide.Policy, r *decide.Request, v decide.View) decide.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.Admit(r, v)
}

// SetQueue changes how many requests may wait.
func (d *Dispatcher) SetQueue(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.SetQueue(n)
}

// Connected says whether other boxes are heard of.
func (d *Dispatcher) Connected(yes bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Connected(yes)
}

// BoundRetries has the core keep to its part of the retries of so many boxes.
func (d *Dispatcher) BoundRetries(l retry.Limits, boxes int, started time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.BoundRetries(l, boxes, started)
}

// Step gives an event to the core.
func (d *Dispatcher) Step(ev decide.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// Begin tells the core that a decode call began to answer, and returns whether the caller is to be
// answered from it. The core may have given the call up as stalled a moment before: whatever else
// came of such a call must not reach the caller, who gets the answer of the next one.
func (d *Dispatcher) Begin(ev decide.FirstToken) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
	return d.core.Writes(ev.ID, ev.Attempt)
}

// stepLocked gives an event to the core and hands out its actions. A panic in
// here means a broken invariant: net/http would swallow it and leave requests and
// ledgers half changed, so it is raised again where nothing can recover it.
func (d *Dispatcher) stepLocked(ev decide.Event) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			go panic(fmt.Sprintf("broken invariant at %T: %v\n%s", ev, v, stack))
			select {} // The lock stays held until the process has ended.
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
			d.m.Retried(a.Reason)
			d.calls[a.ID].push(a)
		case decide.Waiting:
			d.calls[a.ID].push(a)
		case decide.Waste:
			d.m.Wasted(a.Reason, a.Tokens)
			d.calls[a.ID].push(a)
		case decide.Ruled:
			d.calls[a.ID].push(a)
		case decide.End:
			d.calls[a.ID].push(a)
		case decide.Took:
			d.calls[a.ID].push(a)
		case decide.Abort:
			d.abort(a)
		case decide.Learnt:
			if d.OnLearnt != nil {
				d.OnLearnt(a.Learned)
			}
		case decide.Believed:
			if d.OnBelief != nil {
				d.OnBelief(a)
			}
		}
	}
}

const (
	abortTries = 4
	abortPause = 250 * time.Millisecond
)

// abort first ends the call's own connection, then tells the engine. It outlives
// the request, is tried again while the engine does not answer, and is waited for
// by a drain; beyond that the engine's expiry frees the memory.
func (d *Dispatcher) abort(a decide.Abort) {
	c := d.calls[a.ID]
	c.cancel(a.Attempt)
	c.push(a)
	d.m.Aborts.Inc()
	if d.abortCall == nil {
		return
	}
	address, id := d.addr[a.Engine], CallID(c.name, a.Attempt)
	d.aborts.Go(func() {
		for range abortTries {
			if err := d.abortCall(context.Background(), address, id); err == nil {
				return
			}
			time.Sleep(abortPause)
		}
		d.m.AbortsLost.Inc()
	})
}

// CallID names one attempt of a request to an engine.
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

// Take returns the actions that came since the last call.
func (c *Call) Take() []decide.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.actions
	c.actions = nil
	return out
}

// Bind makes the context of an attempt, to be cancelled when the core aborts it.
// An abort may come before the attempt even started: then it is cancelled at once.
func (c *Call) Bind(ctx context.Context, a decide.Attempt) context.Context {
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

// WaitAborts waits until every abort that was begun is done or given up.
func (d *Dispatcher) WaitAborts() { d.aborts.Wait() }

// Engines lists the engines as the decisions see them, the requests that wait,
// and in plain terms which role is short.
func (d *Dispatcher) Engines() ([]decide.EngineState, int, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	engines, waiting := d.core.Snapshot(now)
	return engines, waiting, d.core.Imbalance(now)
}

// Waiting is how many requests wait.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Waiting()
}

// Advise says which engine should change its role, if any should.
func (d *Dispatcher) Advise() (decide.Advice, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Advise()
}

// Grant says whether an engine has room for a request of another box, and books it if so.
func (d *Dispatcher) Grant(engine string, r decide.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Grant(clock.Now(), engine, r)
}

// StreamTime is how long a pool's engines are expected to write so many tokens.
func (d *Dispatcher) StreamTime(pool string, tokens int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.StreamTime(pool, tokens)
}

// Learned is what is known of the engines and requests of each pool.
func (d *Dispatcher) Learned() []decide.Learned {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.Learned()
}

// Running lists the ids of the requests in the core's care.
func (d *Dispatcher) Running() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, c := range d.calls {
		out = append(out, c.name)
	}
	return out
}
