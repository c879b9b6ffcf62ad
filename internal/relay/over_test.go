package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// overTries is how often a choice between two events that are ready at once is made: each is made at random.
const overTries = 64

// overFlight is a stream that has begun, and whose time is over.
func overFlight(t *testing.T) (*Relay, *flight) {
	t.Helper()
	book := &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}
	r := New(Options{Wire: dropWire{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: book})
	fleet := decide.Fleet{Pools: []decide.Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: time.Minute}}}
	for name, role := range map[string]decide.EngineRole{"reader": decide.Prefill, "writer": decide.Decode} {
		fleet.Engines = append(fleet.Engines, decide.Engine{
			Name: name, Pool: "p", Region: "r", Role: role, PrefillRate: 1000, LinkRate: 1e9, KVTokens: 10000, Step: time.Millisecond,
		})
	}
	r.disp.SetFleet(fleet, nil)
	rec := &record.Record{ID: "q", At: time.Now()}
	x := &exchange{
		r: r, w: httptest.NewRecorder(), req: httptest.NewRequest(http.MethodPost, "/", nil), rec: rec, acc: book.Open(rec),
		service: &Service{Name: "p", Engines: &Engines{Stride: 1}}, route: &Route{Resumable: true}, begun: true,
	}
	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	t.Cleanup(cancel)
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = r.disp.Arrive("q", decide.Request{
		Pool: "p", Region: "r", PromptTokens: 10, MaxTokens: 10, FirstToken: time.Minute, BetweenTokens: time.Second, Repeatable: true, Resumable: true,
	})
	t.Cleanup(func() { r.disp.Leave(f.id) })
	r.disp.Step(decide.PrefillDone{ID: f.id, Attempt: 1, Expires: time.Now().Add(time.Minute)})
	for _, a := range f.call.Take() {
		if a, ok := a.(decide.StartDecode); ok {
			f.write, f.writer = a.Attempt, a.Decode
		}
	}
	r.disp.Step(decide.FirstToken{ID: f.id, Attempt: f.write, Tokens: 1})
	f.call.Take()
	return r, f
}

// The box ends its calls with the request's time, and an engine is not to blame for that.
func TestEndOfARequestsTimeIsNoFailureOfItsEngine(t *testing.T) {
	for range overTries {
		r, f := overFlight(t)
		f.events <- flightEvent{attempt: f.write, err: &callError{reason: outcome.Truncated, ran: true, detail: "use of closed network connection"}}
		if o := f.loop(); o.Kind != outcome.CutOff || o.Reason != outcome.DecodeSilent {
			t.Fatalf("expected the request's time to be over, got %+v", o)
		}
		if len(f.x.rec.Steps) > 0 || r.m.RetryCount(outcome.Truncated) > 0 {
			t.Fatalf("expected no failure of the engine, got %+v", f.x.rec.Steps)
		}
	}
}

func TestAnswerThatCameWholeIsDeliveredThoughItsTimeIsOver(t *testing.T) {
	for range overTries {
		_, f := overFlight(t)
		f.events <- flightEvent{attempt: f.write, part: &part{bytes: []byte("id: 2\n\n"), lastID: "2", events: 1}}
		f.events <- flightEvent{attempt: f.write, ended: true}
		if o := f.loop(); o.Kind != outcome.Answered {
			t.Fatalf("expected the whole answer to be passed on, got %+v", o)
		}
	}
}

func TestAnswerIsNotBegunWhenItsTimeIsOver(t *testing.T) {
	for range overTries {
		_, f := overFlight(t)
		f.x.begun = false
		w := httptest.NewRecorder()
		f.x.w = w
		f.events <- flightEvent{attempt: f.write, head: &headPart{header: http.Header{}, part: part{bytes: []byte("id: 1\n\n"), lastID: "1", events: 1}}}
		if o := f.loop(); o.Kind != outcome.MayHaveRun || o.Reason != outcome.DecodeSilent || w.Body.Len() > 0 {
			t.Fatalf("expected nothing to be written, got %+v, %q", o, w.Body)
		}
	}
}
