package account

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// Log is the decision log. It logs successful requests up to a rate. It logs all other requests, and all changes of
// what the box believes about its surroundings.
type Log struct {
	z *zap.Logger
	// busy reports whether the writer of the log is about to drop lines. It may be nil.
	busy func() bool
	// leftOut counts the requests whose lines were not written.
	leftOut *metrics.Counter

	mu         sync.Mutex
	rate       float64 // Requests per second.
	tokens     float64
	refilledAt time.Time
}

// burstSeconds bounds how many requests are logged in a burst after an idle time: the rate times this many seconds.
const burstSeconds = 2

// NewLog returns a decision log that writes up to rate successful requests per second to z. leftOut counts the
// requests that are not logged. busy and leftOut may be nil.
func NewLog(z *zap.Logger, rate float64, busy func() bool, leftOut *metrics.Counter) *Log {
	return &Log{z: z, rate: rate, tokens: rate * burstSeconds, busy: busy, leftOut: leftOut}
}

// NewNopLog returns a log that writes nothing.
func NewNopLog() *Log { return NewLog(zap.NewNop(), 0, nil, nil) }

// SetRate changes how many successful requests are logged per second.
func (l *Log) SetRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate = rate
}

// Sample reports whether a request that begins now is logged even if it succeeds.
func (l *Log) Sample(now time.Time) bool {
	if l.busy != nil && l.busy() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refilledAt.IsZero() {
		l.tokens = min(l.rate*burstSeconds, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func (l *Log) countLeftOut() {
	if l.leftOut != nil {
		l.leftOut.Inc()
	}
}

// StateChange logs a change of what the box believes about its surroundings.
func (l *Log) StateChange(what string, fields ...zap.Field) {
	l.z.Info("belief", append([]zap.Field{zap.String("change", what)}, fields...)...)
}

// ms is a field with a duration in milliseconds, rounded to 10 µs.
func ms(key string, d time.Duration) zap.Field {
	return zap.Float64(key, milliseconds(d))
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond)) / float64(time.Millisecond)
}

// step logs one decision about a request.
func (l *Log) step(r *record.Record, s *record.Step) {
	fields := []zap.Field{
		zap.String("id", r.ID), zap.String("decision", string(s.Kind)), ms("after_ms", s.After),
	}
	add := func(ok bool, f zap.Field) {
		if ok {
			fields = append(fields, f)
		}
	}
	add(s.Attempt > 0, zap.Int("attempt", s.Attempt))
	add(s.Prefill != "", zap.String("prefill", s.Prefill))
	add(s.Decode != "", zap.String("endpoint", s.Decode))
	add(s.Reason != outcome.OK, zap.Stringer("reason", s.Reason))
	add(s.Text != "", zap.String("text", s.Text))
	add(s.Build != "", zap.String("build", s.Build))
	add(s.Plan != 0, zap.Int64("plan", s.Plan))
	add(s.Tokens > 0, zap.Int("tokens", s.Tokens))
	add(s.Choice != nil, zap.Object("inputs", (*choiceLine)(s.Choice)))
	add(s.EndpointState != nil, zap.Object("inputs", (*seenLine)(s.EndpointState)))
	add(s.Slot != nil, zap.Object("inputs", (*slotLine)(s.Slot)))
	l.z.Info("decision", fields...)
}

// Failed logs an internal error of the box during a request.
func (l *Log) Failed(id, what string, fields ...zap.Field) {
	l.z.Error(what, append([]zap.Field{zap.String("id", id)}, fields...)...)
}

func (l *Log) undelivered(id string, after time.Duration, err error, c Conditions) {
	l.z.Warn("answer not delivered", append([]zap.Field{zap.String("id", id), ms("after_ms", after), zap.Error(err)}, c.fields()...)...)
}

func (c Conditions) fields() []zap.Field {
	out := []zap.Field{ms("config_age_ms", c.ConfigAge)}
	if c.Stall > 0 {
		out = append(out, ms("stalled_for_ms", c.Stall), ms("stalled_ago_ms", c.StallAge))
	}
	return out
}

// endLevel returns the level of the last line of a request. The level is warn if the box cut the answer off or failed
// to give it, because operators search for warnings.
func endLevel(r *record.Record) zapcore.Level {
	if r.Kind == outcome.CutOff || r.Reason == outcome.CallerSlow || r.Reason == outcome.Internal {
		return zapcore.WarnLevel
	}
	return zapcore.InfoLevel
}

// end logs the end of a request.
func (l *Log) end(r *record.Record, c Conditions) {
	fields := []zap.Field{
		zap.String("id", r.ID), zap.String("route", r.Route), zap.Int64("config_version", r.ConfigVersion),
		zap.Stringer("outcome", r.Kind), zap.Stringer("reason", r.Reason), ms("took_ms", r.Duration),
		zap.Int("decisions", len(r.Steps)),
	}
	if r.Rule != "" {
		fields = append(fields, zap.String("rule", r.Rule), zap.Int64("policy_version", r.PolicyVersion))
	}
	if r.Client != "" {
		fields = append(fields, zap.String("client", r.Client))
	}
	if r.Detail != "" {
		fields = append(fields, zap.String("detail", r.Detail))
	}
	if r.Resumes != "" {
		fields = append(fields, zap.String("resumes", r.Resumes))
	}
	if r.Framing == h1.CloseDelimited {
		fields = append(fields, zap.String("framing", string(r.Framing)))
	}
	if r.Kind != outcome.Answered {
		fields = append(fields, zap.Bool("begun", r.HeaderSent), zap.String("endpoint", r.LastEndpoint()))
	}
	if r.Kind == outcome.CutOff || r.Kind == outcome.Cancelled {
		fields = append(fields, c.fields()...)
	}
	if r.PromptTokens > 0 {
		fields = append(fields, zap.Int("prompt_tokens", r.PromptTokens), zap.Int("output", r.Output), ms("first_token_ms", r.FirstToken), ms("longest_gap_ms", r.LongestGap))
	}
	l.z.Log(endLevel(r), "request", fields...)
}

// choiceLine logs a choice of engines. It shows the best of the compared pairs of a prefill and a decode engine. It
// also shows how many engines were excluded for which reason.
type choiceLine decide.Choice

// maxLoggedPairs bounds the pairs of engines in a log line. The decision record contains more.
const maxLoggedPairs = 2

func (c *choiceLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("compared", c.Compared)
	for i := range c.Candidates[:min(maxLoggedPairs, len(c.Candidates))] {
		name := "chosen"
		if i > 0 {
			name = "next_best"
		}
		if err := e.AddObject(name, (*pairLine)(&c.Candidates[i])); err != nil {
			return err
		}
	}
	addCount := func(name string, n int) {
		if n > 0 {
			e.AddInt(name, n)
		}
	}
	addCount("leaving", c.Excluded.Leaving)
	addCount("set_aside", c.Excluded.SetAside)
	addCount("no_room", c.Excluded.NoRoom)
	addCount("too_slow", c.Excluded.TooSlow)
	addCount("busy", c.Excluded.Busy)
	return nil
}

// pairLine logs one pair of a prefill and a decode engine with the figures on which the choice was based.
type pairLine decide.Candidate

func (p *pairLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("prefill", p.Prefill)
	e.AddString("decode", p.Decode)
	e.AddFloat64("queue_ms", milliseconds(p.Queue))
	e.AddFloat64("first_ms", milliseconds(p.FirstToken))
	e.AddInt("free_tokens", p.FreeKV)
	e.AddFloat64("cost_ms", milliseconds(time.Duration(p.Cost*float64(time.Second))))
	e.AddFloat64("report_age_ms", milliseconds(p.ReportAge))
	return nil
}

// seenLine logs what the box knew of an endpoint when it selected the endpoint.
type seenLine record.EndpointState

func (s *seenLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddInt("compared", s.Compared)
	e.AddInt("calls", s.Calls)
	e.AddFloat64("mean_ms", milliseconds(s.Mean))
	e.AddInt("failures", s.Failures)
	e.AddFloat64("list_age_ms", milliseconds(s.ListAge))
	return nil
}

// slotLine logs on what a slot was granted or refused.
type slotLine record.SlotState

func (s *slotLine) MarshalLogObject(e zapcore.ObjectEncoder) error {
	e.AddString("owner", s.Owner)
	e.AddInt64("waited_ms", s.WaitedMS)
	e.AddInt("ahead", s.Ahead)
	e.AddInt("in_use", s.InUse)
	e.AddInt("limit", s.Limit)
	e.AddInt64("age_ms", s.AgeMS)
	e.AddInt("cell", s.Cell)
	if s.Account != "" {
		e.AddString("account", s.Account)
	}
	if s.Returning {
		e.AddBool("returning", true)
	}
	if s.RetryMS > 0 {
		e.AddInt64("retry_ms", s.RetryMS)
	}
	return nil
}
