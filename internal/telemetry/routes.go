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

// Stage is a part of a request's time.
type Stage string

// The stages. A plain request has StageWhole only.
const (
	// StageDecide ends when a pair of engines was chosen for the first time.
	StageDecide Stage = "decide"
	// StageRead ends when a decode engine was told to take the prompt.
	StageRead Stage = "read"
	// StageBegin ends with the first event or token.
	StageBegin Stage = "begin"
	StageWhole Stage = "whole"
)

// routes are the histograms of the routes that were asked for something. Routes come and
// go with the configuration, so theirs do too.
type routes struct {
	set *metrics.Set

	mu sync.Mutex
	// names are those of a route's histograms, by route.
	names map[string][]string
}

// maxRoutes bounds the routes with histograms of their own; others share one name.
const maxRoutes = 64

const otherRoutes = "(other)"

// Took takes the times of a finished request.
func (m *Metrics) Took(r *record.Record) {
	if r.Route == "" {
		return
	}
	route := m.routes.name(r.Route)
	m.routes.update(route, StageWhole, r.Took)
	var last time.Duration
	took := func(s Stage, at time.Duration) {
		m.routes.update(route, s, at-last)
		last = at
	}
	seen := map[record.StepKind]bool{}
	for i := range r.Steps {
		s := &r.Steps[i]
		if seen[s.Kind] {
			continue // Only the first try is timed; retries have counters.
		}
		seen[s.Kind] = true
		switch s.Kind {
		case record.StepPrefill:
			took(StageDecide, s.After)
		case record.StepDecode:
			took(StageRead, s.After)
		case record.StepFirst:
			took(StageBegin, s.After)
		}
	}
	if r.Kind != outcome.Answered {
		return
	}
	onTime := r.FirstTarget <= 0 || r.FirstToken <= r.FirstTarget && (r.GapTarget <= 0 || r.LongestGap <= r.GapTarget)
	if r.FirstToken == 0 {
		onTime = r.FirstTarget <= 0 || r.Took <= r.FirstTarget
	}
	if onTime {
		m.OnTime.Inc()
	}
}

// name is the name under which a route's times are kept.
func (t *routes) name(route string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.names[route]; ok {
		return route
	}
	if len(t.names) >= maxRoutes {
		return otherRoutes
	}
	t.names[route] = nil
	return route
}

func (t *routes) update(route string, s Stage, took time.Duration) {
	name := fmt.Sprintf("stoatramp_stage_seconds{route=%q,stage=%q}", route, s)
	t.set.GetOrCreateHistogram(name).Update(took.Seconds())
	t.mu.Lock()
	defer t.mu.Unlock()
	if list, ok := t.names[route]; ok && len(list) < len(stages) && !slices.Contains(list, name) {
		t.names[route] = append(list, name)
	}
}

var stages = [...]Stage{StageDecide, StageRead, StageBegin, StageWhole}

// KeepRoutes drops the histograms of routes that are no longer configured.
func (m *Metrics) KeepRoutes(configured func(route string) bool) {
	m.routes.mu.Lock()
	defer m.routes.mu.Unlock()
	for route, list := range m.routes.names {
		if configured(route) {
			continue
		}
		for _, name := range list {
			m.Set.UnregisterMetric(name)
		}
		delete(m.routes.names, route)
	}
}
