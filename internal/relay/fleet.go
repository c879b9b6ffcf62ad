package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// What the platform does not say of its engines. Reports and answers correct them.
const (
	assumedSelfRead      = 0.4      // Of that, where a decode engine reads between tokens.
	assumedReadRate      = 50_000.0 // Prompt tokens a second.
	assumedStep          = 600 * time.Microsecond
	assumedStepPerStream = 20 * time.Microsecond
)

// fleet is what the box knows of the endpoints: the configuration's view of their
// services together with the platform's list.
type fleet struct {
	mu        sync.Mutex
	cfg       *Config
	endpoints []Endpoint
	expect    Expect
}

// SetExpect changes what is expected of streams until some were seen.
func (r *Relay) SetExpect(e Expect) {
	r.fleet.mu.Lock()
	r.fleet.expect = e
	r.fleet.mu.Unlock()
	r.applyFleet()
}

// SetQueue changes how many streams may wait on this box.
func (r *Relay) SetQueue(n int) { r.disp.SetQueue(n) }

func (f *fleet) setConfig(c *Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg = c
}

// SetEndpoints replaces the list of endpoints.
func (r *Relay) SetEndpoints(list []Endpoint) {
	r.fleet.mu.Lock()
	old := r.fleet.endpoints
	r.fleet.endpoints = list
	r.fleet.mu.Unlock()
	r.logList(old, list)
	r.applyFleet()
}

// applyFleet hands what is known to the decisions.
func (r *Relay) applyFleet() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.cfg == nil {
		return
	}
	out, addresses := r.fleet.engines(r.o.Region)
	r.disp.SetFleet(out, addresses)
	r.plain.set(r.fleet.endpoints)
	keep := map[string]bool{}
	for _, e := range r.fleet.endpoints {
		keep[e.Address] = true
	}
	now := time.Now()
	r.pool.Prune(now, keep)
	r.side.Prune(now, keep)
}

// engines describes the engines and where they are.
func (f *fleet) engines(region string) (decide.Fleet, map[string]string) {
	var out decide.Fleet
	expect := f.expect
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.cfg.Services)) {
		if s := f.cfg.Services[name]; s.Engines != nil {
			out.Pools = append(out.Pools, decide.Pool{Name: name, KVBytesPerToken: s.Engines.TokenBytes, PrefillExpiry: s.Engines.HandleFor,
				SelfRead: assumedSelfRead, Foresee: true,
				ExpectPrompt: expect.Prompt, ExpectOutput: expect.Output, ExpectReserve: int(reservePart * float64(expect.Output)), ExpectGap: expect.Gap / time.Duration(s.Engines.Stride)})
		}
	}
	for _, e := range f.endpoints {
		s := f.cfg.Services[e.Service]
		if s == nil || s.Engines == nil {
			continue
		}
		addresses[e.ID] = e.Address
		out.Engines = append(out.Engines, decide.Engine{
			Name: e.ID, Pool: e.Service, Region: region, Hall: e.Hall, Role: e.Role, Leaving: e.Leaving,
			PrefillRate: assumedReadRate, KVTokens: s.Engines.KVTokens,
			Step: assumedStep, StepPerStream: assumedStepPerStream, LinkRate: s.Engines.LinkRate,
		})
	}
	return out, addresses
}
