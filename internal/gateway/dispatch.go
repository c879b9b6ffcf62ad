package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// dispatcher drives the decision core: it serialises events, and hands each
// action to the request it is for.
type dispatcher struct {
	engines *engine.Client
	m       *telemetry.Metrics
	aborts  sync.WaitGroup

	mu    sync.Mutex
	core  *decide.Core
	calls map[decide.ID]*call
	next  decide.ID
	// addr is kept for engines that have left too: what they hold must be freed.
	addr map[string]string
}

// call is the dispatcher's side of one request.
type call struct {
	name string // The request id.
	wake chan struct{}

	mu      sync.Mutex
	actions []decide.Action
	cancels map[decide.Attempt]context.CancelFunc
}

func newDispatcher(core *decide.Core, engines *engine.Client, m *telemetry.Metrics) *dispatcher {
	return &dispatcher{
		engines: engines,
		m:       m,
		core:    core,
		calls:   map[decide.ID]*call{},
		addr:    map[string]string{},
	}
}

func (d *dispatcher) setFleet(c *config.Shared) {
	d.mu.Lock()
	for _, e := range c.Endpoints {
		d.addr[e.Name] = e.Address
	}
	d.mu.Unlock()
	d.step(fleetOf(c))
}

func fleetOf(c *config.Shared) decide.Fleet {
	var f decide.Fleet
	for _, p := range c.Pools {
		f.Pools = append(f.Pools, decide.Pool{Name: p.Name, KVBytesPerToken: p.KVBytesPerToken, PrefillExpiry: p.PrefillExpiry})
	}
	for _, e := range c.Endpoints {
		if e.Role == config.RoleService {
			continue
		}
		role := decide.Prefill
		if e.Role == config.RoleDecode {
			role = decide.Decode
		}
		f.Engines = append(f.Engines, decide.Engine{
			Name: e.Name, Pool: e.Pool, Region: e.Region, Hall: e.Hall, Role: role, Leaving: e.Leaving,
			PrefillRate: e.PrefillRate, KVTokens: e.KVTokens, Step: e.Step, StepPerStream: e.StepPerStream, LinkRate: e.LinkRate,
		})
	}
	return f
}

func (d *dispatcher) address(name string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addr[name]
}

// arrive gives a request to the core.
func (d *dispatcher) arrive(name string, r decide.Request) (decide.ID, *call) {
	c := &call{name: name, wake: make(chan struct{}, 1), cancels: map[decide.Attempt]context.CancelFunc{}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	r.ID = d.next
	d.calls[r.ID] = c
	d.stepLocked(decide.Arrive{Request: r})
	return r.ID, c
}

// leave takes a request out of the core, whatever became of it. What it still
// holds anywhere is aborted; for an answered request that is nothing.
func (d *dispatcher) leave(id decide.ID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(decide.Cancel{ID: id})
	delete(d.calls, id)
}

func (d *dispatcher) step(ev decide.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// stepLocked gives an event to the core and hands out its actions. A panic in
// here means a broken invariant: net/http would swallow it and leave requests and
// ledgers half changed, so it is raised again where nothing can recover it.
func (d *dispatcher) stepLocked(ev decide.Event) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			go panic(fmt.Sprintf("broken invariant at %T: %v\n%s", ev, v, stack))
			select {} // The lock stays held until the process has ended.
		}
	}()
	for _, a := range d.core.Step(time.Now(), ev) {
		switch a := a.(type) {
		case decide.StartPrefill:
			d.calls[a.ID].push(a)
		case decide.StartDecode:
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
		case decide.Abort:
			d.abort(a)
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
func (d *dispatcher) abort(a decide.Abort) {
	c := d.calls[a.ID]
	c.cancel(a.Attempt)
	c.push(a)
	address, id := d.addr[a.Engine], callID(c.name, a.Attempt)
	d.m.Aborts.Inc()
	d.aborts.Go(func() {
		for range abortTries {
			if err := d.engines.Abort(context.Background(), address, id); err == nil {
				return
			}
			time.Sleep(abortPause)
		}
		d.m.AbortsLost.Inc()
	})
}

// callID names one attempt of a request to an engine.
func callID(request string, a decide.Attempt) string { return fmt.Sprintf("%s-%d", request, a) }

func (c *call) push(a decide.Action) {
	c.mu.Lock()
	c.actions = append(c.actions, a)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// take returns the actions that came since the last call.
func (c *call) take() []decide.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.actions
	c.actions = nil
	return out
}

// bind makes the context of an attempt, to be cancelled when the core aborts it.
// An abort may come before the attempt even started: then it is cancelled at once.
func (c *call) bind(ctx context.Context, a decide.Attempt) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, aborted := c.cancels[a]; aborted {
		cancel()
	}
	c.cancels[a] = cancel
	return ctx
}

func (c *call) cancel(a decide.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.cancels[a]; cancel != nil {
		cancel()
		return
	}
	c.cancels[a] = func() {}
}
