package account

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

type noArchive struct{}

func (noArchive) Add(*record.Record) {}

// newRecorder returns a recorder and the buffer that the recorder logs to. The recorder logs at most the given number
// of successful requests per second.
func newRecorder(rate float64) (*Recorder, *bytes.Buffer) {
	var out bytes.Buffer
	m := telemetry.NewMetrics()
	return &Recorder{
		Records: record.NewRing(4096), Archive: noArchive{}, Metrics: m,
		Log: NewLog(telemetry.NewLogger(&out), rate, nil, m.LogLeftOut),
	}, &out
}

// runRequest records a request with one choice of engines, the given further decisions and the outcome.
func (b *Recorder) runRequest(id string, o outcome.Outcome, steps ...record.Step) {
	a := b.Open(&record.Record{ID: id, Route: "r", ConfigVersion: 7, At: time.Now()})
	choice := &decide.Choice{Compared: 5, Candidates: []decide.Candidate{{Prefill: "p", Decode: "d", ReportAge: 900 * time.Millisecond}, {Decode: "d2"}, {Decode: "d3"}}}
	a.Step(record.Step{Kind: record.StepPrefill, Attempt: 1, Prefill: "p", Decode: "d", Choice: choice})
	for _, s := range steps {
		a.Step(s)
	}
	a.Close(o)
}

// parseLines decodes the lines of the log, and fails the test if a line is not JSON.
func parseLines(t *testing.T, out *bytes.Buffer) (got []map[string]any) {
	t.Helper()
	for line := range strings.Lines(out.String()) {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		got = append(got, m)
	}
	return got
}

// The log line of a decision contains the id of the request. It also contains the inputs of the decision and the age of
// each input.
func TestLines(t *testing.T) {
	b, out := newRecorder(10)
	b.runRequest("id-1", outcome.Outcome{Kind: outcome.Answered}, record.Step{Kind: record.StepFirstToken, Decode: "d"})
	got := parseLines(t, out)
	if len(got) != 3 {
		t.Fatalf("expected two decisions and an end, got %v", got)
	}
	for _, m := range got {
		if m["id"] != "id-1" {
			t.Errorf("expected the request's id in each line, got %v", m)
		}
	}
	inputs := got[0]["inputs"].(map[string]any)
	if chosen := inputs["chosen"].(map[string]any); chosen["report_age_ms"] != 900.0 || inputs["compared"] != 5.0 || inputs["next_best"] == nil {
		t.Errorf("expected the inputs of the choice with their age, got %v", inputs)
	}
	if end := got[2]; end["outcome"] != "answered" || end["config_version"] != 7.0 {
		t.Errorf("expected the end to tell the outcome and the version, got %v", end)
	}
}

// Successful requests are logged up to the rate. Successful requests beyond the rate are only counted. All other
// requests are logged with every decision, whatever the rate.
func TestSampling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, out := newRecorder(10)
		const requestsPerSecond, seconds = 200, 10 // 200 requests per second are 20 times the rate.
		refused, retried := 0, 0
		for n := range requestsPerSecond * seconds {
			switch {
			case n%100 == 0:
				refused++
				b.runRequest("refused", outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.TooLate})
			case n%100 == 1:
				retried++
				b.runRequest("retried", outcome.Outcome{Kind: outcome.Answered}, record.Step{Kind: record.StepRetry, Reason: outcome.EndpointLost})
			default:
				b.runRequest("well", outcome.Outcome{Kind: outcome.Answered})
			}
			time.Sleep(time.Second / requestsPerSecond)
		}
		ends := map[any]int{}
		steps := map[any]int{}
		for _, m := range parseLines(t, out) {
			if m["msg"] == "request" {
				ends[m["id"]]++
			} else {
				steps[m["id"]]++
			}
		}
		if ends["refused"] != refused || steps["refused"] != refused {
			t.Errorf("expected all %d refusals with their decisions, got %d and %d", refused, ends["refused"], steps["refused"])
		}
		if ends["retried"] != retried || steps["retried"] != 2*retried {
			t.Errorf("expected all %d retried with their decisions, got %d and %d", retried, ends["retried"], steps["retried"])
		}
		most := 10*seconds + 2*10
		if ends["well"] < 10*seconds/2 || ends["well"] > most {
			t.Errorf("expected up to %d requests that went well, got %d", most, ends["well"])
		}
		left := requestsPerSecond*seconds - refused - retried - ends["well"]
		if got := b.Metrics.LogLeftOut.Get(); got != uint64(left) {
			t.Errorf("expected %d requests left out to be counted, got %d", left, got)
		}
	})
}

// While the log writer falls behind, successful requests are not logged.
func TestBusyLog(t *testing.T) {
	b, out := newRecorder(1000)
	b.Log.busy = func() bool { return true }
	b.runRequest("well", outcome.Outcome{Kind: outcome.Answered})
	b.runRequest("cut", outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.Truncated})
	for _, m := range parseLines(t, out) {
		if m["id"] != "cut" {
			t.Errorf("expected only the request that was cut off, got %v", m)
		}
	}
	if out.Len() == 0 {
		t.Error("expected the request that was cut off to be logged")
	}
}

// BenchmarkAccount measures the cost of tracking requests at 20 times the logged rate while the writer of the log
// hangs. Nothing blocks, and lines that do not fit into the writer's buffer are counted.
func BenchmarkAccount(b *testing.B) {
	hang := make(chan struct{})
	out := telemetry.NewAsync(hangingWriter{hang})
	m := telemetry.NewMetrics()
	recorder := &Recorder{
		Records: record.NewRing(4096), Archive: noArchive{}, Metrics: m,
		Log: NewLog(telemetry.NewLogger(out), 40, out.Busy, m.LogLeftOut),
	}
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if n++; n%10 == 0 {
			recorder.runRequest("refused", outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.TooLate})
			continue
		}
		recorder.runRequest("well", outcome.Outcome{Kind: outcome.Answered})
	}
	out.Register(m.Set)
	b.ReportMetric(float64(m.LogLeftOut.Get())/float64(n), "left_out/req")
	b.ReportMetric(m.Set.GetOrCreateGauge("stoatramp_log_lines_dropped_total", nil).Get()/float64(n), "dropped/req")
}

type hangingWriter struct{ never chan struct{} }

func (h hangingWriter) Write(b []byte) (int, error) {
	<-h.never
	return len(b), nil
}

// An answer that was cut off is logged as a warning, together with the state of the box. This does not depend on the
// log rate.
func TestAnswerThatWasCutOffIsAWarningWithTheBoxsConditions(t *testing.T) {
	b, out := newRecorder(0)
	b.Conditions = func() Conditions {
		return Conditions{ConfigAge: 120 * time.Millisecond, Stall: time.Second, StallAge: 30 * time.Millisecond}
	}
	b.runRequest("id-1", outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.Truncated})
	b.runRequest("id-2", outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone})
	b.Undelivered("id-3", time.Millisecond, io.ErrShortWrite)
	ends := map[any]map[string]any{}
	for _, m := range parseLines(t, out) {
		ends[m["id"]] = m // The last line of a request reports how it ended.
	}
	for id, level := range map[string]string{"id-1": "warn", "id-2": "info", "id-3": "warn"} {
		m := ends[id]
		if m["level"] != level || m["config_age_ms"] != 120.0 || m["stalled_for_ms"] != 1000.0 || m["stalled_ago_ms"] != 30.0 {
			t.Errorf("%s: expected the level %s and the box's conditions, got %v", id, level, m)
		}
	}
	var text bytes.Buffer
	b.Metrics.Write(&text)
	for _, cause := range []string{"truncated", "caller_gone", "undelivered"} {
		if want := fmt.Sprintf("stoatramp_answers_broken_off_total{cause=%q} 1\n", cause); !strings.Contains(text.String(), want) {
			t.Errorf("expected %q among the figures", want)
		}
	}
}
