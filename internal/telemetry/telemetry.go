// Package telemetry holds the counters, histograms and logger of a box.
package telemetry

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// Metrics are the figures of one box. Each box has a set of its own, so that
// several can run in one test process.
type Metrics struct {
	Set *metrics.Set

	outcomes map[outcome.Kind]*metrics.Counter
	refusals map[outcome.Reason]*metrics.Counter
	retries  map[outcome.Reason]*metrics.Counter
	wasted   map[outcome.Reason]*metrics.Counter
	// broken counts answers that callers did not get whole, by cause.
	broken map[outcome.Reason]*metrics.Counter

	Moves       *metrics.Counter
	Migrated    *metrics.Counter
	MigratedNot *metrics.Counter
	Resumes     *metrics.Counter
	// CallsAgain counts the calls sent beyond the first of their request. The first that only
	// has a prompt read is none of them.
	CallsAgain *metrics.Counter
	// EndedUnder counts the requests under which an endpoint ended, one for each call.
	EndedUnder *metrics.Counter
	Aborts     *metrics.Counter
	// LimitsNamed and LimitsLifted count the changes of limits that endpoints name in their answers,
	// LeavingSeen and RestsAsked what else they ask for there, and NoticesUnread what cannot be read.
	LimitsNamed, LimitsLifted, LeavingSeen, RestsAsked, NoticesUnread *metrics.Counter
	// Widened counts the times that a box took more endpoints of a service into account.
	Widened       *metrics.Counter
	AbortsLost    *metrics.Counter
	Crossed       *metrics.Counter
	Repeated      *metrics.Counter
	PrefillTokens *metrics.Counter
	OutputTokens  *metrics.Counter
	PolicyFaults  *metrics.Counter
	Goodput       *metrics.Counter
	OnTime        *metrics.Counter
	LogLeftOut    *metrics.Counter
	// Stalls counts the times that the process was found to have had no processor for a while.
	Stalls        *metrics.Counter
	ControlBytes  *metrics.Counter
	RecordsLost   *metrics.Counter
	FirstToken    *metrics.Histogram
	BetweenTokens *metrics.Histogram
	// LimitAsked is what finding out whether requests are within their clients' limits took.
	LimitAsked *metrics.Histogram

	routes routes
}

// NewMetrics makes every counter at zero, so that a reason never seen reads 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	m := &Metrics{
		Set:           s,
		outcomes:      map[outcome.Kind]*metrics.Counter{},
		refusals:      map[outcome.Reason]*metrics.Counter{},
		retries:       map[outcome.Reason]*metrics.Counter{},
		wasted:        map[outcome.Reason]*metrics.Counter{},
		broken:        map[outcome.Reason]*metrics.Counter{},
		Moves:         s.NewCounter("stoatramp_moves_total"),
		Migrated:      s.NewCounter(`stoatramp_migrations_total{outcome="moved"}`),
		MigratedNot:   s.NewCounter(`stoatramp_migrations_total{outcome="stayed"}`),
		Resumes:       s.NewCounter("stoatramp_resumes_total"),
		CallsAgain:    s.NewCounter("stoatramp_calls_again_total"),
		EndedUnder:    s.NewCounter("stoatramp_ended_under_total"),
		Aborts:        s.NewCounter("stoatramp_aborts_total"),
		LimitsNamed:   s.NewCounter(`stoatramp_endpoint_notices_total{notice="limit"}`),
		LimitsLifted:  s.NewCounter(`stoatramp_endpoint_notices_total{notice="limit_lifted"}`),
		LeavingSeen:   s.NewCounter(`stoatramp_endpoint_notices_total{notice="leaving"}`),
		RestsAsked:    s.NewCounter(`stoatramp_endpoint_notices_total{notice="rest"}`),
		NoticesUnread: s.NewCounter(`stoatramp_endpoint_notices_total{notice="unread"}`),
		Widened:       s.NewCounter("stoatramp_circles_widened_total"),
		AbortsLost:    s.NewCounter("stoatramp_aborts_lost_total"),
		Crossed:       s.NewCounter(`stoatramp_dropped_chunks_total{cause="crossed"}`),
		Repeated:      s.NewCounter(`stoatramp_dropped_chunks_total{cause="repeated"}`),
		PrefillTokens: s.NewCounter("stoatramp_prefill_tokens_total"),
		OutputTokens:  s.NewCounter("stoatramp_output_tokens_total"),
		PolicyFaults:  s.NewCounter("stoatramp_policy_faults_total"),
		Goodput:       s.NewCounter("stoatramp_goodput_total"),
		OnTime:        s.NewCounter("stoatramp_on_time_total"),
		Stalls:        s.NewCounter("stoatramp_stalls_total"),
		LogLeftOut:    s.NewCounter("stoatramp_log_requests_left_out_total"),
		routes:        routes{set: s, names: map[string][]string{}},
		ControlBytes:  s.NewCounter("stoatramp_control_bytes_total"),
		RecordsLost:   s.NewCounter("stoatramp_records_lost_total"),
		FirstToken:    s.NewHistogram("stoatramp_first_token_seconds"),
		BetweenTokens: s.NewHistogram("stoatramp_between_tokens_seconds"),
		LimitAsked:    s.NewHistogram("stoatramp_limit_seconds"),
	}
	outcome.Kinds(func(k outcome.Kind) {
		m.outcomes[k] = s.NewCounter(fmt.Sprintf("stoatramp_requests_total{outcome=%q}", k))
	})
	outcome.All(func(r outcome.Reason) {
		if r == outcome.OK {
			return
		}
		m.refusals[r] = s.NewCounter(fmt.Sprintf("stoatramp_refusals_total{reason=%q}", r))
		m.retries[r] = s.NewCounter(fmt.Sprintf("stoatramp_retries_total{reason=%q}", r))
		m.wasted[r] = s.NewCounter(fmt.Sprintf("stoatramp_wasted_prefill_tokens_total{reason=%q}", r))
		m.broken[r] = s.NewCounter(fmt.Sprintf("stoatramp_answers_broken_off_total{cause=%q}", r))
	})
	return m
}

// Ended counts the end of a request.
func (m *Metrics) Ended(o outcome.Outcome) {
	m.outcomes[o.Kind].Inc()
	if c := m.refusals[o.Reason]; c != nil {
		c.Inc()
	}
	if o.Kind == outcome.CutOff || o.Kind == outcome.Cancelled {
		m.BrokenOff(o.Reason)
	}
}

// BrokenOff counts an answer that its caller did not get whole.
func (m *Metrics) BrokenOff(r outcome.Reason) {
	if c := m.broken[r]; c != nil {
		c.Inc()
	}
}

// Retried counts a retry or move for its reason.
func (m *Metrics) Retried(r outcome.Reason) {
	if c := m.retries[r]; c != nil {
		c.Inc()
	}
}

// Wasted counts prompt tokens read and thrown away.
func (m *Metrics) Wasted(r outcome.Reason, tokens int) {
	if c := m.wasted[r]; c != nil {
		c.Add(tokens)
	}
}

// RefusalCount reads one counter.
func (m *Metrics) RefusalCount(r outcome.Reason) uint64 { return m.refusals[r].Get() }

// RetryCount reads one counter.
func (m *Metrics) RetryCount(r outcome.Reason) uint64 { return m.retries[r].Get() }

// WastedCount reads one counter.
func (m *Metrics) WastedCount(r outcome.Reason) uint64 { return m.wasted[r].Get() }

// Write prints all figures in the Prometheus text form.
func (m *Metrics) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// hurrier is a writer that gathers lines, and that can be asked to write them soon.
type hurrier interface{ Hurry() }

// NewLogger writes JSON lines to w.
func NewLogger(w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "time"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), zapcore.AddSync(w), zapcore.InfoLevel)
	h, ok := w.(hurrier)
	if !ok {
		return zap.New(core)
	}
	return zap.New(zapcore.RegisterHooks(core, func(e zapcore.Entry) error {
		if e.Level >= zapcore.WarnLevel {
			h.Hurry()
		}
		return nil
	}))
}
