package telemetry

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// Stage is a phase of a request whose duration is measured.
type Stage string

// The stages of a request. A request that runs on no engine has StageTotal only.
const (
	// StageDecide ends when the box has selected a pair of a prefill and a decode engine for the first time.
	StageDecide Stage = "decide"
	// StagePrefill ends when the prefill is done and the request is sent to a decode engine.
	StagePrefill Stage = "read"
	// StageFirstToken ends with the first event or token of the answer.
	StageFirstToken Stage = "begin"
	StageTotal      Stage = "whole"
)

// routeHistograms are the duration histograms of the routes that received requests. A change of the configuration adds
// and removes routes, and with each route its histograms.
type routeHistograms struct {
	set *metrics.Set

	mu sync.Mutex
	// histograms are the names of the histograms of each route.
	histograms map[string][]string
}

// maxRoutes bounds the routes that have their own histograms. All other routes share the histograms of otherRoutes.
const maxRoutes = 64

const otherRoutes = "(other)"

// ObserveTimes records the durations of a finished request, and counts the request if it was answered on time.
func (m *Metrics) ObserveTimes(r *record.Record) {
	if r.Route == "" {
		return
	}
	route := m.routes.label(r.Route)
	m.routes.update(route, StageTotal, r.Duration)
	var last time.Duration
	observe := func(s Stage, at time.Duration) {
		m.routes.update(route, s, at-last)
		last = at
	}
	seen := map[record.StepKind]bool{}
	for i := range r.Steps {
		s := &r.Steps[i]
		if seen[s.Kind] {
			continue // Only the first step of each kind is timed. Retries are counted elsewhere.
		}
		seen[s.Kind] = true
		switch s.Kind {
		case record.StepPrefill:
			observe(StageDecide, s.After)
		case record.StepDecode:
			observe(StagePrefill, s.After)
		case record.StepFirstToken:
			observe(StageFirstToken, s.After)
		}
	}
	if r.Kind != outcome.Answered {
		return
	}
	onTime := r.FirstTarget <= 0 || r.FirstToken <= r.FirstTarget && (r.GapTarget <= 0 || r.LongestGap <= r.GapTarget)
	if r.FirstToken == 0 {
		onTime = r.FirstTarget <= 0 || r.Duration <= r.FirstTarget
	}
	if onTime {
		m.OnTime.Inc()
	}
}

// label returns the route label under which the durations of a route are recorded.
func (t *routeHistograms) label(route string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.histograms[route]; ok {
		return route
	}
	if len(t.histograms) >= maxRoutes {
		return otherRoutes
	}
	t.histograms[route] = nil
	return route
}

func (t *routeHistograms) update(route string, s Stage, took time.Duration) {
	name := fmt.Sprintf("stoatramp_stage_seconds{route=%q,stage=%q}", route, s)
	t.set.GetOrCreateHistogram(name).Update(took.Seconds())
	t.mu.Lock()
	defer t.mu.Unlock()
	if list, ok := t.histograms[route]; ok && len(list) < len(stages) && !slices.Contains(list, name) {
		t.histograms[route] = append(list, name)
	}
}

var stages = [...]Stage{StageDecide, StagePrefill, StageFirstToken, StageTotal}

// KeepRoutes removes the histograms of routes that are no longer configured.
func (m *Metrics) KeepRoutes(configured func(route string) bool) {
	m.routes.mu.Lock()
	defer m.routes.mu.Unlock()
	for route, list := range m.routes.histograms {
		if configured(route) {
			continue
		}
		for _, name := range list {
			m.Set.UnregisterMetric(name)
		}
		delete(m.routes.histograms, route)
	}
}
