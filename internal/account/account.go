// Package account keeps the account of each request: what was decided about it, by which
// inputs and how old these were. An account becomes a record, which `stoatramp why`
// explains, and lines of the decision log. Both fronts keep their accounts here.
package account

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Sink takes finished records and must not block.
type Sink interface{ Add(r *record.Record) }

// Book is where all accounts of a box go.
type Book struct {
	// Records keeps the newest records in memory, and Archive takes each beside it.
	Records *record.Ring
	Archive Sink
	Metrics *telemetry.Metrics
	Log     *Log
	// Conditions says how the box fares, for the lines of requests that were not answered whole; nil if that
	// is not known.
	Conditions func() Conditions
}

// Conditions are how a box fares at a moment.
type Conditions struct {
	// ConfigAge is for how long its configuration has been in force.
	ConfigAge time.Duration
	// Stall is for how long its process had no processor when that was last the case, and StallAge how long
	// ago that ended; Stall is 0 if it never was.
	Stall, StallAge time.Duration
}

// Account is the account of one request. One goroutine at a time uses it.
type Account struct {
	book *Book
	Rec  *record.Record
	// arrived has the steady clock, which Rec.At loses in the archive.
	arrived time.Time
	// told says that each decision is logged as it is made. Otherwise its lines are
	// written at its end, and only if something went wrong by then.
	told bool
	// closed says that the account has ended.
	closed bool
}

// Open begins an account; the record's At is when the request arrived.
func (b *Book) Open(rec *record.Record) *Account {
	return &Account{book: b, Rec: rec, arrived: rec.At, told: b.Log.Admit(time.Now())}
}

// Step adds a decision.
func (a *Account) Step(s record.Step) {
	s.After = time.Since(a.arrived)
	a.Rec.Steps = append(a.Rec.Steps, s)
	if a.told {
		a.book.Log.step(a.Rec, &a.Rec.Steps[len(a.Rec.Steps)-1])
	}
}

// Close ends the account. What is said of its end later does not count.
func (a *Account) Close(o outcome.Outcome) {
	if a.closed {
		return
	}
	a.closed = true
	a.Rec.Kind, a.Rec.Reason, a.Rec.Detail = o.Kind, o.Reason, o.Detail
	a.Rec.Took = time.Since(a.arrived)
	a.book.Records.Add(a.Rec)
	a.book.Archive.Add(a.Rec)
	a.book.Metrics.Ended(o)
	a.book.Metrics.Took(a.Rec)
	a.tell()
}

// tell writes what the log does not have of the account yet.
func (a *Account) tell() {
	switch {
	case a.told:
	case eventful(a.Rec):
		for i := range a.Rec.Steps {
			a.book.Log.step(a.Rec, &a.Rec.Steps[i])
		}
	default:
		a.book.Log.skipped()
		return
	}
	a.book.Log.end(a.Rec, a.book.conditions())
}

func (b *Book) conditions() Conditions {
	if b.Conditions == nil {
		return Conditions{}
	}
	return b.Conditions()
}

// Undelivered says that the end of an answer could not be written, so long after its account was closed.
func (b *Book) Undelivered(id string, after time.Duration, err error) {
	b.Metrics.BrokenOff(outcome.Undelivered)
	b.Log.undelivered(id, after, err, b.conditions())
}

// eventful says that something about the request may be asked about. Its lines are never
// left out.
func eventful(r *record.Record) bool {
	if r.Kind != outcome.Answered {
		return true
	}
	for i := range r.Steps {
		switch r.Steps[i].Kind {
		case record.StepRetry, record.StepResume, record.StepWaste, record.StepFailed, record.StepNoRoom, record.StepPolicy:
			return true
		}
	}
	return false
}
