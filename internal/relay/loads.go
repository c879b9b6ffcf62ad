package relay

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/decide"
)

const (
	// loadEvery is how often each engine is asked for its load, and loadLimit how long
	// it may take to answer. Two questions are at least loadPause apart, so that what a
	// box spends on them does not grow with the fleet: streams are placed by what some
	// engines say at that moment (askFresh), and engines that refuse to set memory aside
	// correct what is old.
	loadEvery = 3 * time.Second
	loadPause = 400 * time.Millisecond
	loadLimit = 700 * time.Millisecond
)

// AskLoads asks the engines for their load, one after another, until ctx ends.
func (r *Relay) AskLoads(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		list := r.fleet.allEngines()
		pause := loadEvery
		if len(list) > 0 {
			pause = max(loadPause, pause/time.Duration(len(list)))
			go r.askLoad(ctx, list[n%len(list)])
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// allEngines lists the engines of all services.
func (f *fleet) allEngines() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Endpoint
	for _, e := range f.endpoints {
		if f.cfg != nil && f.cfg.Services[e.Service] != nil && f.cfg.Services[e.Service].Engines != nil {
			e.Role = f.roles[e.ID].role()
			out = append(out, e)
		}
	}
	return out
}

func (r *Relay) askLoad(ctx context.Context, e Endpoint) {
	now := time.Now()
	resp, body, err := r.side.Call(ctx, loadLimit, sideRequest(e.Address, r.wire.AskLoad()), sideAnswer)
	if err != nil || resp.StatusCode != 200 {
		r.disp.Step(decide.Silent{Engine: e.ID})
		return
	}
	l, err := r.wire.Load(body)
	if err != nil {
		r.disp.Step(decide.Silent{Engine: e.ID})
		return
	}
	at := now.Add(-l.Age)
	if !l.Busy && r.fleet.reportedRole(e.ID, l.Role, at) {
		r.o.Book.Log.Belief("endpoint says it is now "+l.Role.String(), zap.String("endpoint", e.ID), zap.Duration("report_age", l.Age), zap.Duration("list_age", r.listAge()))
		r.applyFleet()
	}
	r.disp.Step(decide.Report{
		Engine: e.ID, At: at, FreeKV: l.KVTotal - l.KVUsed, Streams: l.Running, Leaving: l.Leaving || l.Busy,
		Runs: l.runs(r.fleet.stride(e.Service)),
	})
}

// askWhy asks an engine that has just turned a request away for its load: it may have
// another role by now, carry out an order or leave.
func (r *Relay) askWhy(id string) {
	r.fleet.mu.Lock()
	i := slices.IndexFunc(r.fleet.endpoints, func(e Endpoint) bool { return e.ID == id })
	if i < 0 || time.Since(r.fleet.askedWhy[id]) < askWhyPause {
		r.fleet.mu.Unlock()
		return
	}
	if r.fleet.askedWhy == nil {
		r.fleet.askedWhy = map[string]time.Time{}
	}
	r.fleet.askedWhy[id] = time.Now()
	e := r.fleet.endpoints[i]
	r.fleet.mu.Unlock()
	go r.askLoad(context.Background(), e)
}

// askWhyPause is the least time between two such questions to one engine: its figures are
// as of some hundred ms before.
const askWhyPause = time.Second

// runs says the streams in tokens.
func (l *Load) runs(stride int) []decide.Run {
	out := make([]decide.Run, len(l.Runs))
	for i, r := range l.Runs {
		out[i] = decide.Run{Tokens: r.Tokens, Made: r.Events * stride}
	}
	return out
}

// stride is how many tokens one event of a service may hold.
func (f *fleet) stride(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg == nil || f.cfg.Services[service] == nil || f.cfg.Services[service].Engines == nil {
		return 1
	}
	return f.cfg.Services[service].Engines.Stride
}

const (
	// One decode engine in freshPart, and freshLeast at least, is asked for its load before
	// a stream is placed; freshLimit is how long that may take.
	freshPart  = 6
	freshLeast = 2
	freshLimit = 40 * time.Millisecond
)

// askFresh asks some decode engines of a service for their load, so that a stream is placed
// by what they say now.
func (r *Relay) askFresh(ctx context.Context, service string) {
	var list []Endpoint
	for _, e := range r.fleet.allEngines() {
		if e.Service == service && e.Role == decide.Decode && !e.Leaving {
			list = append(list, e)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(max(freshLeast, len(list)/freshPart), len(list))]
	done := make(chan struct{}, len(list))
	for _, e := range list {
		go func() {
			r.askLoad(context.WithoutCancel(ctx), e)
			done <- struct{}{}
		}()
	}
	limit := time.NewTimer(freshLimit)
	defer limit.Stop()
	for range list {
		select {
		case <-done:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
