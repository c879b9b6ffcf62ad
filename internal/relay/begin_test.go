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
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// headEvent returns the flight event of a call whose answer begins with the given text, one event of a stream.
func headEvent(a decide.Attempt, text string) flightEvent {
	return flightEvent{attempt: a, head: &headPart{header: http.Header{}, part: part{bytes: []byte(text), events: 1}}}
}

// arrivedFlight returns the flight of a stream that was submitted to a box. The box knows one prefill engine, and a
// decode engine for each name in decoders. arrivedFlight completes the fields of request.
func arrivedFlight(t *testing.T, ctx context.Context, request decide.Request, decoders ...string) (*Relay, *flight, *httptest.ResponseRecorder) {
	t.Helper()
	recorder := &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}
	r := New(Options{Protocol: fakeProtocol{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: recorder})
	fleet := decide.Fleet{Pools: []decide.Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: time.Minute}}}
	add := func(name string, role decide.EngineRole) {
		fleet.Engines = append(fleet.Engines, decide.Engine{
			Name: name, Pool: "p", Region: "r", Role: role, PrefillRate: 1000, LinkRate: 1e9, KVTokens: 10000, Step: time.Millisecond,
		})
	}
	add("reader", decide.Prefill)
	for _, name := range decoders {
		add(name, decide.Decode)
	}
	r.disp.SetFleet(fleet, nil)
	w := httptest.NewRecorder()
	rec := &record.Record{ID: "q", At: time.Now()}
	x := &exchange{
		r: r, w: w, req: httptest.NewRequest(http.MethodPost, "/", nil), rec: rec, trace: recorder.Open(rec),
		route: &Route{}, service: &Service{Name: "p", Engines: &EngineConfig{TokensPerEvent: 1}},
	}
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	request.Pool, request.Region, request.PromptTokens, request.MaxTokens = "p", "r", 10, 10
	request.FirstToken, request.BetweenTokens, request.Repeatable = time.Minute, time.Second, true
	f.id, f.call = r.disp.Submit("q", request)
	t.Cleanup(func() { r.disp.Remove(f.id) })
	return r, f, w
}

// TestStalledCallWritesNothing guards against an answer whose beginning is sent twice. A decode call stalls. The
// decision core gives the call up and calls another engine. Then the first event of the stalled call is handled. The
// caller must get only the answer of the second call.
func TestStalledCallWritesNothing(t *testing.T) {
	r, f, w := arrivedFlight(t, context.Background(), decide.Request{}, "writer-1", "writer-2")
	var takeDecode func() decide.Attempt
	takeDecode = func() decide.Attempt {
		for _, a := range f.call.TakeActions() {
			switch a := a.(type) {
			case decide.StartPrefill:
				r.disp.Step(decide.PrefillDone{ID: f.id, Attempt: a.Attempt, Expires: time.Now().Add(time.Minute)})
				return takeDecode()
			case decide.Retry:
				f.apply(a)
			case decide.StartDecode:
				f.decodeAttempt, f.decodeEngine = a.Attempt, a.Decode
			}
		}
		return f.decodeAttempt
	}
	stalled := takeDecode()
	r.disp.Step(decide.Failed{ID: f.id, Attempt: stalled, Reason: outcome.TransferStalled, Ran: true})

	f.handleEvent(headEvent(stalled, "late "))
	f.handleEvent(flightEvent{attempt: stalled, part: &part{bytes: []byte("late ")}})
	if f.x.begun || w.Body.Len() > 0 {
		t.Errorf("expected nothing from the abandoned call, got %q", w.Body)
	}
	again := takeDecode()
	if again == stalled {
		t.Fatal("expected another decode call")
	}
	if !f.x.ran {
		t.Error("expected the request to count as one that may have run")
	}
	f.handleEvent(headEvent(again, "w0 "))
	f.handleEvent(flightEvent{attempt: stalled, part: &part{bytes: []byte("late ")}})
	if got := w.Body.String(); got != "w0 " {
		t.Errorf("expected the second call's answer alone, got %q", got)
	}
}

// The record of a stream states the tokens of its answer. A piece of a stream holds any number of events, so the number
// of pieces depends on how the connection splits the stream.
func TestOutputCountsTokens(t *testing.T) {
	_, f, _ := arrivedFlight(t, context.Background(), decide.Request{}, "writer")
	f.x.service.Engines.TokensPerEvent = 4
	for _, p := range []part{
		{bytes: []byte("first "), events: 1}, {bytes: []byte("three more "), events: 3}, {bytes: []byte("an event without an id ")}, {},
	} {
		if o, ended := f.passEvents(&p); ended {
			t.Fatalf("expected the events to be sent, got %+v", o)
		}
	}
	if f.x.rec.Output != 16 {
		t.Errorf("expected 16 tokens of four events, got %d", f.x.rec.Output)
	}
}

// endedPeers records the published ends of streams.
type endedPeers struct {
	fakePeers
	ended *[]overlay.StreamEnded
}

func (p endedPeers) Publish(msg overlay.Message) {
	if msg.Ended != nil {
		*p.ended = append(*p.ended, *msg.Ended)
	}
}

// A stream loses its engine and is resumed on another one. Past fault: the end of the lost run was not published, so that
// the owner and the other boxes counted it until the engine's next report.
func TestEndOfLostRunIsPublished(t *testing.T) {
	r, f, _ := arrivedFlight(t, context.Background(), decide.Request{Resumable: true}, "writer-1", "writer-2")
	var ended []overlay.StreamEnded
	r.o.Peers = endedPeers{ended: &ended}
	f.x.meta.PromptTokens = 10
	startDecode := func() {
		for {
			for _, a := range f.call.TakeActions() {
				switch a := a.(type) {
				case decide.StartPrefill:
					r.disp.Step(decide.PrefillDone{ID: f.id, Attempt: a.Attempt, Expires: time.Now().Add(time.Minute)})
				case decide.StartDecode:
					f.decodeAttempt, f.decodeEngine = a.Attempt, a.Decode
					return
				}
			}
		}
	}
	startDecode()
	f.handleEvent(headEvent(f.decodeAttempt, "w0 "))
	lost := f.decodeEngine
	f.handleFailure(f.decodeAttempt, callError{reason: outcome.Truncated, ran: true})
	want := overlay.StreamEnded{Engine: lost, Tokens: 11}
	if len(ended) != 1 || ended[0] != want {
		t.Fatalf("expected the end of the lost run to be published, got %+v", ended)
	}
	startDecode()
	if f.publishStreamEnded(false); len(ended) != 1 {
		t.Errorf("expected no end of a run that has not begun, got %+v", ended[1:])
	}
	f.handleEvent(headEvent(f.decodeAttempt, "w1 "))
	if f.publishStreamEnded(false); len(ended) != 2 || ended[1].Engine != f.decodeEngine || ended[1].Engine == lost || ended[1].Tokens != 12 {
		t.Errorf("expected the end of the second run to be published, got %+v", ended)
	}
}
