package box

import (
	"context"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/gateway"
)

const (
	// probeInterval is the time between two probes of a box. It does not depend on the number of engines. So the
	// bytes per second that a box spends on probes do not grow with the fleet.
	probeInterval = 250 * time.Millisecond
	// minProbeAge is the least age of a report that leads to a probe. An engine with a younger load report is not
	// probed.
	minProbeAge = time.Second
)

// prober keeps the load reports of engines fresh. Most reports arrive with answers. A probe is a request for a new
// report. It goes to the engine with the oldest report.
type prober struct {
	engines *engine.Client
	gw      *gateway.Gateway

	mu     sync.Mutex
	byAddr map[string]*probeTarget
}

type probeTarget struct {
	name       string
	addr       string
	role       config.Role
	lastReport time.Time // When the last report arrived or the last probe was sent.
	// A cache event says which prompt prefixes the engine evicted from its cache. nextEvent is the number of the
	// next cache event to request. eventsPolledAt is when cache events were last requested.
	nextEvent      int64
	eventsPolledAt time.Time
}

func newProber(c *engine.Client, gw *gateway.Gateway) *prober {
	return &prober{engines: c, gw: gw, byAddr: map[string]*probeTarget{}}
}

func (p *prober) setConfig(c *config.Shared) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byAddr
	p.byAddr = map[string]*probeTarget{}
	for _, e := range c.Endpoints {
		if e.Role == config.RoleService {
			continue
		}
		n := &probeTarget{name: e.Name, addr: e.Address, role: e.Role}
		if o := old[e.Address]; o != nil && o.name == e.Name {
			o.role = e.Role
			n = o
		}
		p.byAddr[e.Address] = n
	}
}

// receiveReport records a load report that came with an answer or a probe.
func (p *prober) receiveReport(addr string, l engine.Load) {
	now := clock.Now()
	p.mu.Lock()
	e := p.byAddr[addr]
	if e != nil {
		e.lastReport = now
	}
	p.mu.Unlock()
	if e == nil {
		return
	}
	p.gw.HandleLoadReport(decide.LoadReport{
		Engine:       e.name,
		At:           now.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		QueuedTokens: l.QueuedTokens,
		FreeKV:       l.FreeKV,
		Streams:      l.Streams,
		Leaving:      l.Leaving,
	})
}

// nextProbe returns the engine with the oldest load report, or nil if that report is younger than minProbeAge.
func (p *prober) nextProbe(now time.Time) *probeTarget {
	return p.takeOldest(now, minProbeAge, func(e *probeTarget) *time.Time { return &e.lastReport })
}

// takeOldest returns the engine with the earliest time. timeOf gives the time of each engine, or nil to leave the
// engine out. takeOldest sets the time of the returned engine to now. If the earliest time is less than minAge ago,
// takeOldest returns nil.
func (p *prober) takeOldest(now time.Time, minAge time.Duration, timeOf func(*probeTarget) *time.Time) *probeTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *probeTarget
	for _, e := range p.byAddr {
		at := timeOf(e)
		if at != nil && now.Sub(*at) >= minAge && (best == nil || at.Before(*timeOf(best))) {
			best = e
		}
	}
	if best != nil {
		*timeOf(best) = now
	}
	return best
}

func (p *prober) run(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now := clock.Now()
			if e := p.nextProbe(now); e != nil {
				go p.probe(ctx, e)
			} else if e := p.nextEventRead(now); e != nil {
				go p.readEvents(ctx, e)
			}
		case <-ctx.Done():
			return
		}
	}
}

// eventsInterval is the least time between two requests for the cache events of an engine. Events are requested only
// when no engine needs a probe. No engine needs a probe when answers bring load reports often enough.
const eventsInterval = 2 * time.Second

// nextEventRead returns the prefill engine whose cache events were requested longest ago. It returns nil if that
// request was less than eventsInterval ago.
func (p *prober) nextEventRead(now time.Time) *probeTarget {
	return p.takeOldest(now, eventsInterval, func(e *probeTarget) *time.Time {
		if e.role != config.RolePrefill {
			return nil
		}
		return &e.eventsPolledAt
	})
}

// readEvents fetches the cache evictions of an engine. Late events do no harm. If the box wrongly assumes that a
// prefix was evicted, the prefix is only computed again. If the box wrongly assumes that a prefix is cached, the
// engine's answer corrects the box.
func (p *prober) readEvents(ctx context.Context, e *probeTarget) {
	p.mu.Lock()
	after := e.nextEvent
	p.mu.Unlock()
	ev, err := p.engines.CacheEvents(ctx, e.addr, after)
	if err != nil {
		return
	}
	p.mu.Lock()
	e.nextEvent = ev.Next
	p.mu.Unlock()
	if len(ev.Removed) > 0 || ev.Gap {
		p.gw.Evicted(decide.Evicted{Engine: e.name, Blocks: ev.Removed, All: ev.Gap})
	}
}

func (p *prober) probe(ctx context.Context, e *probeTarget) {
	l, err := p.engines.Load(ctx, e.addr)
	if err == nil {
		p.receiveReport(e.addr, l)
		return
	}
	if ctx.Err() == nil {
		p.gw.ProbeFailed(e.name)
	}
}
