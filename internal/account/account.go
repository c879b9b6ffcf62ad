// Package account tracks each request. It records which decisions the box made about the request, on which inputs, and
// how old the inputs were. A Trace becomes a decision record and lines of the decision log. The command `stoatramp why`
// explains a decision record. Both gateway and relay use this package. It has nothing to do with client accounts.
package account

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Sink receives the decision records of finished requests. Add must not block.
type Sink interface{ Add(r *record.Record) }

// Recorder creates and collects the Traces of a box.
type Recorder struct {
	// Records keeps the newest records in memory. Archive also receives each record.
	Records *record.Ring
	Archive Sink
	Metrics *telemetry.Metrics
	Log     *Log
	// Conditions describes the state of the box. It is called for the log lines of requests that were not answered
	// whole. Conditions may be nil.
	Conditions func() Conditions

	lines LineLimit
}

// Conditions describes the state of a box at one moment.
type Conditions struct {
	// ConfigAge is how long the box's configuration has been in force.
	ConfigAge time.Duration
	// A stall is a time in which the process got no CPU time. Stall is the length of the last stall, or 0 if there
	// was none. StallAge is how long ago the last stall ended.
	Stall, StallAge time.Duration
}

// Trace tracks one request. It is not safe for concurrent use.
type Trace struct {
	recorder *Recorder
	Rec      *record.Record
	// arrived is when the request arrived. Unlike Rec.At, it keeps its monotonic clock reading.
	arrived time.Time
	// logged means that each decision is logged when it is made. If logged is false, the decisions are logged when
	// the request ends, and only if something went wrong.
	logged bool
	// closed means that the request has ended.
	closed bool
}

// Open starts tracking a request. The At field of the record must be the time when the request arrived.
func (b *Recorder) Open(rec *record.Record) *Trace {
	return &Trace{recorder: b, Rec: rec, arrived: rec.At, logged: b.Log.Sample(time.Now())}
}

// Step adds a decision about the request, and logs it if the request is logged.
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

// writeLog writes the log lines of a request that has ended. Some requests are neither in the sample of logged requests
// nor always logged. writeLog only counts these requests.
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

// Undelivered counts and logs that the end of an answer could not be written to the caller. after is the time
// between the end of the answer and the failure.
func (b *Recorder) Undelivered(id string, after time.Duration, err error) {
	b.Metrics.CountIncomplete(outcome.Undelivered)
	b.Log.undelivered(id, after, err, b.conditions())
}

// alwaysLogged reports whether someone may ask about this request later. The lines of such a request are written even
// if the log rate is exceeded.
func alwaysLogged(r *record.Record) bool {
	if r.Kind != outcome.Answered {
		return true
	}
	for i := range r.Steps {
		switch r.Steps[i].Kind {
		case record.StepRetry, record.StepRerun, record.StepResume, record.StepWastedPrefill, record.StepFailed, record.StepNoRoom, record.StepYielded, record.StepPolicy, record.StepSuspected, record.StepTrial:
			return true
		}
	}
	return false
}
