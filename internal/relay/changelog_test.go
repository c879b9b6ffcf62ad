package relay

import (
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// loggedRelay is a relay with one engine, "e", whose log lines are recorded.
func loggedRelay(t *testing.T, o Options) (*Relay, *observer.ObservedLogs) {
	t.Helper()
	core, logs := observer.New(zapcore.InfoLevel)
	m := telemetry.NewMetrics()
	o.Box, o.Hall, o.Region, o.Halls, o.Protocol = "a", "h", "r", map[string]string{"h": "r"}, fakeProtocol{}
	o.Core = decide.New(rand.New(rand.NewPCG(1, 1)), 1)
	o.Recorder = &account.Recorder{Metrics: m, Log: account.NewLog(zap.New(core), 1000, nil, m.LogLeftOut)}
	r := New(o)
	r.SetConfig(&Config{Services: map[string]*Service{"s": {Engines: &EngineConfig{}}}})
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s", Hall: "h", Role: decide.Decode}})
	return r, logs
}

// Guards against a log that shows an engine as silent and hides that only another box finds it so.
func TestLogNamesObserverOfSilence(t *testing.T) {
	r, logs := loggedRelay(t, Options{})
	r.Receive(overlay.Message{Box: "far", Load: &overlay.Load{Engine: "e", Unresponsive: true}})
	for _, l := range logs.All() {
		fields := l.ContextMap()
		if fields["change"] == "endpoint silent" {
			if fields["observed_by"] != "far" {
				t.Errorf("expected the box that probed the engine, got %v", fields)
			}
			return
		}
	}
	t.Error("expected a line for the silent engine")
}
