// Package telemetry contains the metrics and the logger of a box.
package telemetry

import (
	"cmp"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/stoatramp/stoatramp/internal/builds"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// Metrics are the metrics of one box. Each box has its own set, so that several boxes can
// run in one test process.
type Metrics struct {
	Set *metrics.Set

	outcomes map[outcome.Kind]*metrics.Counter
	refusals map[outcome.Reason]*metrics.Counter
	retries  map[outcome.Reason]*metrics.Counter
	wasted   map[outcome.Reason]*metrics.Counter
	reruns   map[decide.RerunResult]*metrics.Counter
	// incomplete counts the answers that callers did not receive whole, by reason.
	incomplete map[outcome.Reason]*metrics.Counter
	// framings counts the endpoints' answers that were passed on, by how they were delimited.
	framings map[h1.Framing]*metrics.Counter

	// plannedOrigins counts the streams whose origin no box knew, by what the store says of them.
	plannedOrigins map[builds.Verdict]*metrics.Counter
	// beginnings counts new streams by how other boxes can tell at which build they begin.
	beginnings          map[builds.How]*metrics.Counter
	Moves               *metrics.Counter
	CompletedMigrations *metrics.Counter
	AbortedMigrations   *metrics.Counter
	// MigrationAnswers counts migration requests by their answers.
	MigrationAnswers map[MigrationAnswer]*metrics.Counter
	Resumes          *metrics.Counter
	// RepeatedCalls counts calls to endpoints. It leaves out the first call of each request, and the call that only
	// runs the prefill.
	RepeatedCalls *metrics.Counter
	// SuspectedCrashes counts calls during which an endpoint is suspected to have crashed.
	SuspectedCrashes *metrics.Counter
	// StopRefusals counts requests that were refused because this box stops, by whether they had come before the stop's
	// grace period was over. StopCuts counts requests that still ran at the end of a planned stop.
	StopRefusals map[StopRefusal]*metrics.Counter
	StopCuts     *metrics.Counter
	// SuspectedParts counts waits of requests with a part that is suspected to crash endpoints.
	SuspectedParts *metrics.Counter
	// PartTrials counts requests that were sent on although a part of their prompt is quarantined.
	PartTrials *metrics.Counter
	Aborts     *metrics.Counter
	// LimitNotices counts new or changed limits that endpoints announced. LimitLiftedNotices counts limits that no
	// longer apply. LeavingNotices counts notices that an endpoint is leaving. PauseNotices counts notices in which
	// an endpoint asks for a pause. MalformedNotices counts notices that cannot be parsed.
	LimitNotices, LimitLiftedNotices, LeavingNotices, PauseNotices, MalformedNotices *metrics.Counter
	// The box selects from a subset of a service's endpoints. WidenedSubsets counts how often it doubled a subset.
	WidenedSubsets *metrics.Counter
	AbortsLost     *metrics.Counter
	ForeignChunks  *metrics.Counter
	Repeated       *metrics.Counter
	PrefillTokens  *metrics.Counter
	OutputTokens   *metrics.Counter
	PolicyFaults   *metrics.Counter
	Goodput        *metrics.Counter
	OnTime         *metrics.Counter
	LogLeftOut     *metrics.Counter
	// Stalls counts how often the process was found to have had no CPU time for a while.
	Stalls        *metrics.Counter
	ControlBytes  *metrics.Counter
	RecordsLost   *metrics.Counter
	FirstToken    *metrics.Histogram
	BetweenTokens *metrics.Histogram
	// SlotsGranted counts the granted slots of plain endpoints by who granted them: "owner" is another box, "self" this
	// box as the owner, and "part" this box by its own part of the slots. SlotsRefused counts the refusals by reason.
	// SlotsWaiting is the number of this box's calls that wait for a slot, and SlotsInUse the number of slots that its
	// calls hold.
	SlotsGranted map[string]*metrics.Counter
	SlotsRefused map[slots.Reason]*metrics.Counter
	// SlotsReturning counts the requests for slots of callers that were refused before, by whether a slot was granted.
	SlotsReturning map[bool]*metrics.Counter
	SlotsWaiting   *metrics.Gauge
	SlotsInUse     *metrics.Gauge
	// UnconfirmedConns counts new connections that an endpoint closed before a request was sent.
	UnconfirmedConns *metrics.Counter
	// ReservationsLost counts calls to reserve memory at an endpoint whose answer did not arrive. The endpoint may then
	// keep memory that nobody uses until the reservation expires.
	ReservationsLost *metrics.Counter
	// UnconfirmedEnds counts answers without a length whose endpoint did not confirm, after the close of the connection,
	// that it still runs.
	UnconfirmedEnds *metrics.Counter
	// EndsRejected counts answers without a length whose connection ended, by why that was not the end of the answer.
	EndsRejected map[h1.EndCause]*metrics.Counter
	// DoubtfulEnds counts streams without a length whose run a migration request may have stopped when they ended.
	DoubtfulEnds *metrics.Counter
	// UnprovenStarts counts streams that an engine had begun to answer, and that were ended because the engine did not
	// confirm that it is the start that the list of endpoints names.
	UnprovenStarts *metrics.Counter
	// AnswersRejected counts answers of endpoints to calls of the box itself that could not be parsed.
	AnswersRejected *metrics.Counter
	// MalformedAnswers counts the answers whose head was malformed or without end, by who sent them: OfEndpoint and so on.
	MalformedAnswers map[string]*metrics.Counter
	// SilentCalls counts calls that were ended because the box has lost its direct path to their endpoint.
	SilentCalls *metrics.Counter
	// ConnectsFailed counts the connections to endpoints that could not be established: "refused", "unanswered" (no
	// answer in time), or "other".
	ConnectsFailed map[string]*metrics.Counter
	// TunneledCalls counts the calls of requests whose connection another box carried.
	TunneledCalls *metrics.Counter
	// ConnectionWait is the time that calls waited because this box had all the connections to their endpoint that it may
	// open. Calls that did not wait are not counted.
	ConnectionWait *metrics.Histogram
	// ReadConns counts the new connections of callers whose requests this box reads, and UnreadConns those that it closed
	// before that.
	ReadConns, UnreadConns *metrics.Counter
	// LimitCheckTime is the time that a check of a client account's limits took.
	LimitCheckTime *metrics.Histogram

	routes routeHistograms
}

// CountTunnel counts an attempt of this box to open a tunnel through another box. The cause is empty if it was opened.
func (m *Metrics) CountTunnel(cause string) {
	m.Set.GetOrCreateCounter(fmt.Sprintf("stoatramp_tunnels_total{result=%q}", cmp.Or(cause, "opened"))).Inc()
}

// CountCarried counts a tunnel that this box carried for another box, or refused. The cause is empty if it was carried.
func (m *Metrics) CountCarried(cause string, bytes int64) {
	m.Set.GetOrCreateCounter(fmt.Sprintf("stoatramp_tunnels_carried_total{result=%q}", cmp.Or(cause, "carried"))).Inc()
	m.Set.GetOrCreateCounter("stoatramp_tunnels_carried_bytes_total").Add(int(bytes))
}

// Who sends answers to a box. The platform includes its store.
const (
	OfEndpoint = "endpoint"
	OfBox      = "box"
	OfPlatform = "platform"
)

// The keys of Metrics.ConnectsFailed.
const (
	ConnectRefused    = "refused"
	ConnectUnanswered = "unanswered"
	ConnectOther      = "other"
)

// The keys of Metrics.SlotsGranted.
const (
	SlotByOwner = "owner"
	SlotBySelf  = "self"
	SlotByPart  = "part"
)

// ShowContended adds a gauge that is 1 while a service is contended: while calls compete for its endpoints.
func (m *Metrics) ShowContended(service string, contended func() bool) {
	m.Set.GetOrCreateGauge(contendedGauge(service), func() float64 {
		if contended() {
			return 1
		}
		return 0
	})
}

// HideContended removes the gauge of ShowContended.
func (m *Metrics) HideContended(service string) { m.Set.UnregisterMetric(contendedGauge(service)) }

func contendedGauge(service string) string {
	return fmt.Sprintf("stoatramp_slots_contended{service=%q}", service)
}

// StopRefusal says why a box that stops refused a request.
type StopRefusal string

const (
	StopOutlasted StopRefusal = "outlasts" // The request was not expected to end by the deadline.
	StopClosed    StopRefusal = "closed"   // The request came after the grace period.
)

// NewMetrics registers all counters immediately, so that the counter of a reason that never occurred reads 0.
func NewMetrics() *Metrics {
	s := metrics.NewSet()
	m := &Metrics{
		Set:                 s,
		outcomes:            map[outcome.Kind]*metrics.Counter{},
		refusals:            map[outcome.Reason]*metrics.Counter{},
		retries:             map[outcome.Reason]*metrics.Counter{},
		wasted:              map[outcome.Reason]*metrics.Counter{},
		reruns:              map[decide.RerunResult]*metrics.Counter{},
		incomplete:          map[outcome.Reason]*metrics.Counter{},
		framings:            map[h1.Framing]*metrics.Counter{},
		plannedOrigins:      map[builds.Verdict]*metrics.Counter{},
		beginnings:          map[builds.How]*metrics.Counter{},
		Moves:               s.NewCounter("stoatramp_moves_total"),
		CompletedMigrations: s.NewCounter(`stoatramp_migrations_total{outcome="moved"}`),
		AbortedMigrations:   s.NewCounter(`stoatramp_migrations_total{outcome="stayed"}`),
		EndsRejected:        map[h1.EndCause]*metrics.Counter{},
		MigrationAnswers:    map[MigrationAnswer]*metrics.Counter{},
		Resumes:             s.NewCounter("stoatramp_resumes_total"),
		RepeatedCalls:       s.NewCounter("stoatramp_calls_again_total"),
		SuspectedCrashes:    s.NewCounter("stoatramp_ended_under_total"),
		PartTrials:          s.NewCounter("stoatramp_part_trials_total"),
		SuspectedParts:      s.NewCounter("stoatramp_suspected_part_waits_total"),
		Aborts:              s.NewCounter("stoatramp_aborts_total"),
		LimitNotices:        s.NewCounter(`stoatramp_endpoint_notices_total{notice="limit"}`),
		LimitLiftedNotices:  s.NewCounter(`stoatramp_endpoint_notices_total{notice="limit_lifted"}`),
		LeavingNotices:      s.NewCounter(`stoatramp_endpoint_notices_total{notice="leaving"}`),
		PauseNotices:        s.NewCounter(`stoatramp_endpoint_notices_total{notice="rest"}`),
		MalformedNotices:    s.NewCounter(`stoatramp_endpoint_notices_total{notice="unread"}`),
		WidenedSubsets:      s.NewCounter("stoatramp_circles_widened_total"),
		AbortsLost:          s.NewCounter("stoatramp_aborts_lost_total"),
		ForeignChunks:       s.NewCounter(`stoatramp_dropped_chunks_total{cause="crossed"}`),
		Repeated:            s.NewCounter(`stoatramp_dropped_chunks_total{cause="repeated"}`),
		PrefillTokens:       s.NewCounter("stoatramp_prefill_tokens_total"),
		OutputTokens:        s.NewCounter("stoatramp_output_tokens_total"),
		PolicyFaults:        s.NewCounter("stoatramp_policy_faults_total"),
		Goodput:             s.NewCounter("stoatramp_goodput_total"),
		OnTime:              s.NewCounter("stoatramp_on_time_total"),
		Stalls:              s.NewCounter("stoatramp_stalls_total"),
		LogLeftOut:          s.NewCounter("stoatramp_log_requests_left_out_total"),
		routes:              routeHistograms{set: s, histograms: map[string][]string{}},
		ControlBytes:        s.NewCounter("stoatramp_control_bytes_total"),
		RecordsLost:         s.NewCounter("stoatramp_records_lost_total"),
		FirstToken:          s.NewHistogram("stoatramp_first_token_seconds"),
		BetweenTokens:       s.NewHistogram("stoatramp_between_tokens_seconds"),
		LimitCheckTime:      s.NewHistogram("stoatramp_limit_seconds"),
		ConnectionWait:      s.NewHistogram("stoatramp_connection_wait_seconds"),
		ReadConns:           s.NewCounter(`stoatramp_caller_connections_total{result="read"}`),
		UnreadConns:         s.NewCounter(`stoatramp_caller_connections_total{result="unread"}`),
		SlotsGranted:        map[string]*metrics.Counter{},
		SlotsRefused:        map[slots.Reason]*metrics.Counter{},
		SlotsReturning: map[bool]*metrics.Counter{
			true:  s.NewCounter(`stoatramp_slots_returning_total{answer="granted"}`),
			false: s.NewCounter(`stoatramp_slots_returning_total{answer="refused"}`),
		},
		StopRefusals: map[StopRefusal]*metrics.Counter{
			StopOutlasted: s.NewCounter(`stoatramp_stop_refusals_total{cause="outlasts"}`),
			StopClosed:    s.NewCounter(`stoatramp_stop_refusals_total{cause="closed"}`),
		},
		StopCuts:         s.NewCounter("stoatramp_stop_cut_total"),
		SlotsWaiting:     s.NewGauge("stoatramp_slots_waiting", nil),
		SlotsInUse:       s.NewGauge("stoatramp_slots_in_use", nil),
		UnconfirmedConns: s.NewCounter("stoatramp_connections_unconfirmed_total"),
		ReservationsLost: s.NewCounter("stoatramp_unanswered_reservations_total"),
		UnconfirmedEnds:  s.NewCounter("stoatramp_answer_ends_unconfirmed_total"),
		DoubtfulEnds:     s.NewCounter("stoatramp_stream_ends_in_doubt_total"),
		UnprovenStarts:   s.NewCounter("stoatramp_engine_starts_unconfirmed_total"),
		MalformedAnswers: map[string]*metrics.Counter{},
		AnswersRejected:  s.NewCounter("stoatramp_endpoint_answers_rejected_total"),
		SilentCalls:      s.NewCounter("stoatramp_silent_calls_total"),
		TunneledCalls:    s.NewCounter("stoatramp_tunneled_calls_total"),
		ConnectsFailed: map[string]*metrics.Counter{
			ConnectRefused:    s.NewCounter(`stoatramp_connects_failed_total{cause="refused"}`),
			ConnectUnanswered: s.NewCounter(`stoatramp_connects_failed_total{cause="unanswered"}`),
			ConnectOther:      s.NewCounter(`stoatramp_connects_failed_total{cause="other"}`),
		},
	}
	for _, of := range []string{OfEndpoint, OfBox, OfPlatform} {
		m.MalformedAnswers[of] = s.NewCounter(fmt.Sprintf("stoatramp_malformed_answers_total{of=%q}", of))
	}
	h1.EndCauses(func(c h1.EndCause) {
		m.EndsRejected[c] = s.NewCounter(fmt.Sprintf("stoatramp_answer_ends_rejected_total{cause=%q}", c))
	})
	for _, by := range []string{SlotByOwner, SlotBySelf, SlotByPart} {
		m.SlotsGranted[by] = s.NewCounter(fmt.Sprintf("stoatramp_slots_granted_total{by=%q}", by))
	}
	for r := slots.NoEndpoint; r <= slots.Stopping; r++ {
		m.SlotsRefused[r] = s.NewCounter(fmt.Sprintf("stoatramp_slots_refused_total{reason=%q}", r))
	}
	for _, a := range []MigrationAnswer{MigrationStopped, MigrationUnnamed, MigrationInProgress, MigrationLost, MigrationUnsent} {
		m.MigrationAnswers[a] = s.NewCounter(fmt.Sprintf("stoatramp_migration_requests_total{answer=%q}", a))
	}
	decide.RerunResults(func(r decide.RerunResult) {
		m.reruns[r] = s.NewCounter(fmt.Sprintf("stoatramp_reruns_total{result=%q}", r))
	})
	h1.Framings(func(f h1.Framing) {
		m.framings[f] = s.NewCounter(fmt.Sprintf("stoatramp_endpoint_answers_total{framing=%q}", f))
	})
	builds.Verdicts(func(v builds.Verdict) {
		m.plannedOrigins[v] = s.NewCounter(fmt.Sprintf("stoatramp_planned_origins_total{verdict=%q}", v.String()))
	})
	builds.Hows(func(h builds.How) {
		m.beginnings[h] = s.NewCounter(fmt.Sprintf("stoatramp_stream_beginnings_total{origin=%q}", h.String()))
	})
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
		m.incomplete[r] = s.NewCounter(fmt.Sprintf("stoatramp_answers_broken_off_total{cause=%q}", r))
	})
	return m
}

// CountEnd counts the outcome of a request.
func (m *Metrics) CountEnd(o outcome.Outcome) {
	m.outcomes[o.Kind].Inc()
	if c := m.refusals[o.Reason]; c != nil {
		c.Inc()
	}
	if o.Kind == outcome.CutOff || o.Kind == outcome.Cancelled {
		m.CountIncomplete(o.Reason)
	}
}

// CountIncomplete counts an answer that its caller did not receive whole, by reason.
func (m *Metrics) CountIncomplete(r outcome.Reason) {
	if c := m.incomplete[r]; c != nil {
		c.Inc()
	}
}

// MigrationAnswer is how an engine answered a request to migrate a run.
type MigrationAnswer string

// The answers.
const (
	MigrationStopped    MigrationAnswer = "stopped"     // The run is stopped, and the answer has the handle of its memory.
	MigrationUnnamed    MigrationAnswer = "no_handle"   // Any other complete answer: the run may have been stopped or not.
	MigrationInProgress MigrationAnswer = "in_progress" // The engine works on an earlier request.
	MigrationLost       MigrationAnswer = "lost"        // No readable answer arrived.
	MigrationUnsent     MigrationAnswer = "not_sent"    // Nothing of the request was sent.
)

// CountFraming counts an endpoint's answer that is passed on, by how it is delimited.
func (m *Metrics) CountFraming(f h1.Framing) {
	if c := m.framings[f]; c != nil {
		c.Inc()
	}
}

// CountPlannedOrigin counts a stream whose origin no box knew, by what the store says of it.
func (m *Metrics) CountPlannedOrigin(v builds.Verdict) { m.plannedOrigins[v].Inc() }

// CountBeginning counts a new stream by how other boxes can tell at which build it begins.
func (m *Metrics) CountBeginning(h builds.How) { m.beginnings[h].Inc() }

// CountRetry counts a retry or a migration (moving a running request to another engine) by its reason.
func (m *Metrics) CountRetry(r outcome.Reason) {
	if c := m.retries[r]; c != nil {
		c.Inc()
	}
}

// CountRerun counts a second call to an engine that lost the connection of a request, by its result.
func (m *Metrics) CountRerun(r decide.RerunResult) { m.reruns[r].Inc() }

func (m *Metrics) RerunCount(r decide.RerunResult) uint64 { return m.reruns[r].Get() }

// CountWasted counts prompt tokens that an engine computed and whose results were thrown away.
func (m *Metrics) CountWasted(r outcome.Reason, tokens int) {
	if c := m.wasted[r]; c != nil {
		c.Add(tokens)
	}
}

func (m *Metrics) RefusalCount(r outcome.Reason) uint64 { return m.refusals[r].Get() }

func (m *Metrics) RetryCount(r outcome.Reason) uint64 { return m.retries[r].Get() }

func (m *Metrics) WastedCount(r outcome.Reason) uint64 { return m.wasted[r].Get() }

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) {
	m.Set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// hurrier is a writer that collects lines and can be asked to write them soon.
type hurrier interface{ Hurry() }

// NewLogger returns a logger that writes JSON lines to w. If w collects lines, NewLogger has warnings written soon.
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
