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

// headOf is the first event of an answer, as a call reports it.
func headOf(a decide.Attempt, text string) flightEvent {
	return flightEvent{attempt: a, head: &headPart{header: http.Header{}, part: part{bytes: []byte(text), events: 1}}}
}

// An answer's first event can lie in the box's queue when the core gives the call up as stalled and
// calls another engine. The caller must get the second call's answer and nothing of the first's:
// its text had the beginning twice.
func TestStalledCallWritesNothing(t *testing.T) {
	book := &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}
	r := New(Options{Wire: dropWire{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: book})
	fleet := decide.Fleet{Pools: []decide.Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: time.Minute}}}
	for name, role := range map[string]decide.EngineRole{"reader": decide.Prefill, "writer-1": decide.Decode, "writer-2": decide.Decode} {
		fleet.Engines = append(fleet.Engines, decide.Engine{
			Name: name, Pool: "p", Region: "r", Role: role, PrefillRate: 1000, LinkRate: 1e9, KVTokens: 10000, Step: time.Millisecond,
		})
	}
	r.disp.SetFleet(fleet, nil)
	w := httptest.NewRecorder()
	rec := &record.Record{ID: "q", At: time.Now()}
	x := &exchange{
		r: r, w: w, req: httptest.NewRequest(http.MethodPost, "/", nil), rec: rec, acc: book.Open(rec),
		service: &Service{Name: "p", Engines: &Engines{Stride: 1}},
	}
	f := &flight{x: x, ctx: context.Background(), events: make(chan flightEvent, eventBuffer)}
	f.id, f.call = r.disp.Arrive("q", decide.Request{
		Pool: "p", Region: "r", PromptTokens: 10, MaxTokens: 10, FirstToken: time.Minute, BetweenTokens: time.Second, Repeatable: true,
	})
	defer r.disp.Leave(f.id)
	takeWrite := func() decide.Attempt {
		for _, a := range f.call.Take() {
			switch a := a.(type) {
			case decide.Retry:
				f.act(a)
			case decide.StartDecode:
				f.write, f.writer = a.Attempt, a.Decode
			}
		}
		return f.write
	}
	r.disp.Step(decide.PrefillDone{ID: f.id, Attempt: 1, Expires: time.Now().Add(time.Minute)})
	stalled := takeWrite()
	r.disp.Step(decide.Failed{ID: f.id, Attempt: stalled, Reason: outcome.TransferStalled, Ran: true})

	f.event(headOf(stalled, "late "))
	f.event(flightEvent{attempt: stalled, part: &part{bytes: []byte("late ")}})
	if x.begun || w.Body.Len() > 0 {
		t.Errorf("expected nothing from the call that was given up, got %q", w.Body)
	}
	again := takeWrite()
	if again == stalled {
		t.Fatal("expected another decode call")
	}
	if !x.ran {
		t.Error("expected the request to count as one that may have run")
	}
	f.event(headOf(again, "w0 "))
	f.event(flightEvent{attempt: stalled, part: &part{bytes: []byte("late ")}})
	if got := w.Body.String(); got != "w0 " {
		t.Errorf("expected the second call's answer alone, got %q", got)
	}
}
