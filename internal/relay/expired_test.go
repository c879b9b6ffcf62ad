package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// choiceTries is how often a test repeats a case in which two events are ready at the same time. select takes one of
// them at random, so a fault might show only in some runs.
const choiceTries = 64

// expiredFlight returns the flight of a stream whose answer has begun and whose deadline has passed.
func expiredFlight(t *testing.T) (*Relay, *flight) {
	t.Helper()
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	t.Cleanup(cancel)
	r, f, _ := arrivedFlight(t, ctx, decide.Request{Resumable: true}, "writer")
	f.x.route, f.x.begun = &Route{Resumable: true}, true
	r.disp.Step(decide.PrefillDone{ID: f.id, Attempt: 1, Expires: time.Now().Add(time.Minute)})
	for _, a := range f.call.TakeActions() {
		if a, ok := a.(decide.StartDecode); ok {
			f.decodeAttempt, f.decodeEngine = a.Attempt, a.Decode
		}
	}
	r.disp.Step(decide.FirstToken{ID: f.id, Attempt: f.decodeAttempt, Tokens: 1})
	f.call.TakeActions()
	return r, f
}

// At a request's deadline the box cancels its calls. The calls then report errors. These errors must not count as
// failures of the engine.
func TestEndOfARequestsTimeIsNoFailureOfItsEngine(t *testing.T) {
	for range choiceTries {
		r, f := expiredFlight(t)
		f.events <- flightEvent{attempt: f.decodeAttempt, err: &callError{reason: outcome.Truncated, ran: true, detail: "use of closed network connection"}}
		if o := f.loop(); o.Kind != outcome.CutOff || o.Reason != outcome.DecodeSilent {
			t.Fatalf("expected the request's deadline to have passed, got %+v", o)
		}
		if len(f.x.rec.Steps) > 0 || r.m.RetryCount(outcome.Truncated) > 0 {
			t.Fatalf("expected no failure of the engine, got %+v", f.x.rec.Steps)
		}
	}
}

// The answer has been received completely, but its last events were not yet passed on. Then the deadline passes. The
// caller must still get the last events.
func TestAnswerThatCameWholeIsDeliveredThoughItsTimeIsOver(t *testing.T) {
	for range choiceTries {
		_, f := expiredFlight(t)
		f.events <- flightEvent{attempt: f.decodeAttempt, part: &part{bytes: []byte("id: 2\n\n"), lastID: "2", events: 1}}
		f.events <- flightEvent{attempt: f.decodeAttempt, ended: true}
		if o := f.loop(); o.Kind != outcome.Answered {
			t.Fatalf("expected the whole answer to be passed on, got %+v", o)
		}
	}
}

// The deadline passes when only the beginning of an answer has been received. Nothing must be written to the caller.
func TestAnswerIsNotBegunWhenItsTimeIsOver(t *testing.T) {
	for range choiceTries {
		_, f := expiredFlight(t)
		f.x.begun = false
		w := httptest.NewRecorder()
		f.x.w = w
		f.events <- flightEvent{attempt: f.decodeAttempt, head: &headPart{header: http.Header{}, part: part{bytes: []byte("id: 1\n\n"), lastID: "1", events: 1}}}
		if o := f.loop(); o.Kind != outcome.MayHaveRun || o.Reason != outcome.DecodeSilent || w.Body.Len() > 0 {
			t.Fatalf("expected nothing to be written, got %+v, %q", o, w.Body)
		}
	}
}
