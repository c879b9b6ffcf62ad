package gateway

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// Engines lists the engines as the decisions see them, the requests that wait,
// and in plain terms which role is short.
func (g *Gateway) Engines() ([]decide.EngineState, int, []string) {
	g.disp.mu.Lock()
	defer g.disp.mu.Unlock()
	now := time.Now()
	engines, waiting := g.disp.core.Snapshot(now)
	return engines, waiting, g.disp.core.Imbalance(now)
}

// RunningIDs lists the requests that engines work on, for a forced stop.
func (g *Gateway) RunningIDs() []string {
	g.disp.mu.Lock()
	defer g.disp.mu.Unlock()
	var out []string
	for _, c := range g.disp.calls {
		out = append(out, c.name)
	}
	return out
}
