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
	// probeEvery paces the probes: one engine at a time, whatever their number,
	// so that the bytes a second a box spends on them do not grow with the fleet.
	probeEvery = 250 * time.Millisecond
	// staleAfter is how old an engine's last report must be to be worth a probe.
	staleAfter = time.Second
)

// prober learns the engines' load, mostly from the reports that come with
// answers, and asks the engine that was silent longest now and then.
type prober struct {
	engines *engine.Client
	gw      *gateway.Gateway

	mu     sync.Mutex
	byAddr map[string]*probed
}

type probed struct {
	name  string
	addr  string
	role  config.Role
	heard time.Time // When the last report or probe was.
	// events is the next cache event to ask for, and when it was last asked for.
	events  int64
	eventAt time.Time
}

func newProber(c *engine.Client, gw *gateway.Gateway) *prober {
	return &prober{engines: c, gw: gw, byAddr: map[string]*probed{}}
}

func (p *prober) setConfig(c *config.Shared) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.byAddr
	p.byAddr = map[string]*probed{}
	for _, e := range c.Endpoints {
		if e.Role == config.RoleService {
			continue
		}
		n := &probed{name: e.Name, addr: e.Address, role: e.Role}
		if o := old[e.Address]; o != nil && o.name == e.Name {
			n = o
		}
		p.byAddr[e.Address] = n
	}
}

// heard takes a report that came with an answer.
func (p *prober) heard(addr string, l engine.Load) {
	now := clock.Now()
	p.mu.Lock()
	e := p.byAddr[addr]
	if e != nil {
		e.heard = now
	}
	p.mu.Unlock()
	if e == nil {
		return
	}
	p.gw.Report(decide.Report{
		Engine:       e.name,
		At:           now.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		QueuedTokens: l.QueuedTokens,
		FreeKV:       l.FreeKV,
		Streams:      l.Streams,
		Leaving:      l.Leaving,
	})
}

// stalest returns the engine not heard of for longest, if that is long enough.
func (p *prober) stalest(now time.Time) *probed {
	return p.oldest(now, staleAfter, func(e *probed) *time.Time { return &e.heard })
}

// oldest returns the engine with the earliest time, if that is at least age ago, and
// sets its time to now. An engine for which when returns nil is left out.
func (p *prober) oldest(now time.Time, age time.Duration, when func(*probed) *time.Time) *probed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *probed
	for _, e := range p.byAddr {
		at := when(e)
		if at != nil && now.Sub(*at) >= age && (best == nil || at.Before(*when(best))) {
			best = e
		}
	}
	if best != nil {
		*when(best) = now
	}
	return best
}

func (p *prober) run(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			now := clock.Now()
			if e := p.stalest(now); e != nil {
				go p.probe(ctx, e)
			} else if e := p.nextEvents(now); e != nil {
				go p.readEvents(ctx, e)
			}
		case <-ctx.Done():
			return
		}
	}
}

// eventsEvery is how often an engine is asked for cache events, while nothing else
// needs a probe: then answers bring the load, and the paced probes are free for this.
const eventsEvery = 2 * time.Second

// nextEvents returns the prefill engine not asked for events for longest.
func (p *prober) nextEvents(now time.Time) *probed {
	return p.oldest(now, eventsEvery, func(e *probed) *time.Time {
		if e.role != config.RolePrefill {
			return nil
		}
		return &e.eventAt
	})
}

// readEvents takes the engine's evictions. Late ones do no harm: a prefix believed
// gone is only read again, and one believed there is corrected by the answer.
func (p *prober) readEvents(ctx context.Context, e *probed) {
	p.mu.Lock()
	after := e.events
	p.mu.Unlock()
	ev, err := p.engines.CacheEvents(ctx, e.addr, after)
	if err != nil {
		return
	}
	p.mu.Lock()
	e.events = ev.Next
	p.mu.Unlock()
	if len(ev.Removed) > 0 || ev.Gap {
		p.gw.Evicted(decide.Evicted{Engine: e.name, Blocks: ev.Removed, All: ev.Gap})
	}
}

func (p *prober) probe(ctx context.Context, e *probed) {
	l, err := p.engines.Load(ctx, e.addr)
	if err == nil {
		p.heard(e.addr, l)
		return
	}
	if ctx.Err() == nil {
		p.gw.Silent(e.name)
	}
}
