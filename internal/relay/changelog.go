package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// This file logs changes in the box's view of the endpoints.

// maxChangeLines limits the log lines for one change of the list of endpoints. Further changes are only counted.
const maxChangeLines = 24

// logStateChange logs that an endpoint gets no requests for a while, does not answer, or is usable again.
func (r *Relay) logStateChange(b decide.StateChange) {
	fields := []zap.Field{zap.String("endpoint", b.Engine)}
	switch b.State {
	case decide.SetAside:
		fields = append(fields, zap.Duration("for", clock.Until(b.Until)))
	case decide.Unresponsive:
		fields = append(fields, zap.String("observed_by", b.Box))
	case decide.Usable:
	}
	r.o.Recorder.Log.StateChange("endpoint "+b.State.String(), fields...)
}

// logEstimates logs the learned speed of a pool's engines, and the learned lengths of its prompts and answers.
func (r *Relay) logEstimates(l decide.Estimates) {
	r.o.Recorder.Log.StateChange("learned engine rates", zap.String("service", l.Pool),
		zap.Float64("read_tokens_per_s", l.PrefillRate), zap.Duration("read_delay", l.PrefillDelay), zap.Duration("begin", l.FirstEventDelay),
		zap.Duration("step", l.Step), zap.Duration("step_per_stream", l.StepPerStream),
		zap.Float64("prompt_tokens", l.Prompt), zap.Float64("answer_tokens", l.Output))
}

// logList logs the differences between two lists of endpoints. The indexes map the IDs of endpoints to their positions
// in the lists. old is nil for the first list.
func (r *Relay) logList(old []Endpoint, oldIndex map[string]int, list []Endpoint, index map[string]int) {
	lines := 0
	logLine := func(what string, e Endpoint) {
		if lines++; lines <= maxChangeLines {
			r.o.Recorder.Log.StateChange("endpoint "+what, zap.String("endpoint", e.ID), zap.String("service", e.Service),
				zap.String("address", e.Address), zap.String("hall", e.Hall), zap.String("build", e.Build), zap.Duration("list_age", r.listAge()))
		}
	}
	for _, e := range list {
		at, known := oldIndex[e.ID]
		var was Endpoint
		if known {
			was = old[at]
		}
		switch {
		case !known && old != nil:
			logLine("seen", e)
		case known && e.Leaving && !was.Leaving:
			logLine("leaving", e)
		case known && e.Role != was.Role:
			logLine("now "+e.Role.String(), e)
		}
	}
	for _, e := range old {
		if _, stays := index[e.ID]; !stays {
			logLine("gone", e)
		}
	}
	if old == nil || lines > maxChangeLines {
		r.o.Recorder.Log.StateChange("endpoint list changed", zap.Int("endpoints", len(list)), zap.Int("not_logged", max(0, lines-maxChangeLines)))
	}
}

// listAge returns the age of the list of endpoints.
func (r *Relay) listAge() time.Duration {
	if r.o.ListFreshness == nil {
		return 0
	}
	return r.o.ListFreshness.Age()
}
