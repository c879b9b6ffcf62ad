package gateway

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Guards against a box that reports ready before its decision core knows the engines of its configuration. A request
// that arrived in between was refused with unknown_model.
func TestReadyKnowsEngines(t *testing.T) {
	shared := &config.Shared{
		Pools:     []*config.Pool{{Name: "p", Model: "m"}},
		Endpoints: []*config.Endpoint{{Name: "e", Pool: "p", Role: config.RolePrefill, PrefillRate: 1, LinkRate: 1}},
	}
	for range 300 {
		g := New(Options{
			Box:      &config.Box{Name: "b"},
			Core:     decide.New(rand.New(rand.NewPCG(1, 1)), 1),
			Engines:  engine.NewClient(),
			Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()},
		})
		go g.SetConfig(shared, nil)
		for !g.Ready() {
			runtime.Gosched()
		}
		if engines, _, _ := g.Engines(); len(engines) == 0 {
			t.Fatal("expected a ready box to know its engines, got none")
		}
	}
}
