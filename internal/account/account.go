// Package account tracks each request: what was decided about it, on which inputs and how
// old these were. A Trace becomes a decision record, which `stoatramp why` explains, and
// lines of the decision log. Both gateway and relay use it. It has nothing to do with client accounts.
package account

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Sink receives finished records. Add must not block.
type Sink interface{ Add(r *record.Record) }

// Recorder creates and collects the Traces of a box.
type Recorder struct {
	// Records keeps the newest records in memory; Archive also receives each record.
	Records *record.Ring
	Archive Sink
	Metrics *telemetry.Metrics
	Log     *Log
	// Conditions describes the state of the box, for the log lines of requests that were not answered whole; may
	// be nil.
	Conditions func() Conditions
}

// Conditions describes the state of a box at one moment.
type Conditions struct {
	// ConfigAge is how long its configuration has been in force.
	ConfigAge time.Duration
	// Stall is how long the last stall of the process was, in which it got no CPU time, and StallAge how long ago
	// that ended; Stall is 0 if there was none.
	Stall, StallAge time.Duration
}

// Trace tracks one request. It is not safe for concurrent use.
type Trace struct {
	recorder *Recorder
	Rec      *record.Record
	// arrived has a monotonic clock reading, which Rec.At loses in the archive.
	arrived time.Time
	// logged means that each decision is logged as it is made. Otherwise the lines are written
	// when the request ends, and only if something went wrong.
	logged bool
	// closed means that the request has ended.
	closed bool
}

// Open starts tracking a request; the record's At is when it arrived.
func (b *Recorder) Open(rec *record.Record) *Trace {
	return &Trace{recorder: b, Rec: rec, arrived: rec.At, logged: b.Log.Sample(time.Now())}
}

// Step adds a decision.
func (a *Trace) Step(s record.Step) {
	s.After = time.Since(a.arrived)
	a.Rec.Steps = append(a.Rec.Steps, s)
	if a.logged {
		a.recorder.Log.step(a.Rec, &a.Rec.Steps[len(a.Rec.Steps)-1])
	}
}

// Close records the outcome of the request. Only the first call has an effect.
func (a *Trace) Close(o outcome.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	a.Rec.Kind, a.Rec.Reason, a.Rec.Detail = o.Kind, o.Reason, o.Detail
	a.Rec.Duration = time.Since(a.arrived)
	a.recorder.Records.Add(a.Rec)
	a.recorder.Archive.Add(a.Rec)
	a.recorder.Metrics.CountEnd(o)
	a.recorder.Metrics.ObserveTimes(a.Rec)
	a.writeLog()
}

// writeLog writes the lines that have not been logged yet.
func (a *Trace) writeLog() {
	switch {
	case a.logged:
	case alwaysLogged(a.Rec):
		for i := range a.Rec.Steps {
			a.recorder.Log.step(a.Rec, &a.Rec.Steps[i])
		}
	default:
		a.recorder.Log.countLeftOut()
		return
	}
	a.recorder.Log.end(a.Rec, a.recorder.conditions())
}

func (b *Recorder) conditions() Conditions {
	if b.Conditions == nil {
		return Conditions{}
	}
	return b.Conditions()
}

// Undelivered records that the end of an answer could not be written, and how long after Close that was.
func (b *Recorder) Undelivered(id string, after time.Duration, err error) {
	b.Metrics.CountIncomplete(outcome.Undelivered)
	b.Log.undelivered(id, after, err, b.conditions())
}

// alwaysLogged reports whether someone may ask about this request later. Its lines are
// written whatever the log rate.
func alwaysLogged(r *record.Record) bool {
	if r.Kind != outcome.Answered {
		return true
	}
	for i := range r.Steps {
		switch r.Steps[i].Kind {
		case record.StepRetry, record.StepResume, record.StepWastedPrefill, record.StepFailed, record.StepNoRoom, record.StepPolicy:
			return true
		}
	}
	return false
}
