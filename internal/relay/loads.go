package relay

import (
	"context"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

const (
	// loadEvery is how often each engine is asked for its load, and loadLimit how long
	// it may take to answer. Two questions are at least loadPause apart, so that what a
	// box spends on them does not grow with the fleet: decisions look at a sample, and
	// engines that refuse to set memory aside correct what is old.
	loadEvery = 2 * time.Second
	loadPause = 150 * time.Millisecond
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
	r.disp.Step(decide.Report{
		Engine: e.ID, At: now.Add(-l.Age), FreeKV: l.KVTotal - l.KVUsed, Streams: l.Running, Leaving: l.Leaving || l.Busy,
	})
}
