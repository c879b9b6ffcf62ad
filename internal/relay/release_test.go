package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// fakeProtocol encodes the control calls that reserve and free memory, so that an HTTP test server can tell them apart.
type fakeProtocol struct{ Protocol }

func (fakeProtocol) ParseReply(*http.Response) Reply { return Reply{} }

func (fakeProtocol) ReleaseReservation(hold string) Call {
	return Call{Method: http.MethodDelete, Target: "/hold/" + hold}
}

func (fakeProtocol) Reserve(int, time.Duration) Call {
	return Call{Method: http.MethodPost, Target: "/take"}
}

func (fakeProtocol) ParseReservation(body []byte) (string, error) { return string(body), nil }

func (fakeProtocol) Migrate(request, address string) Call {
	return Call{Method: http.MethodPost, Target: "/migrate/" + request + "/" + address}
}

func (fakeProtocol) ReleaseHandle(handle string) Call {
	return Call{Method: http.MethodDelete, Target: "/handle/" + handle}
}

// TestEndFreesReports checks that a flight which ends frees memory reported in events. Its loop has not received these
// events yet.
func TestEndFreesReports(t *testing.T) {
	var freed atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { freed.Add(1) }))
	defer engine.Close()
	address := engine.Listener.Addr().String()
	r := New(Options{Protocol: fakeProtocol{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}})
	r.disp.SetFleet(decide.Fleet{}, map[string]string{"w": address})
	f := &flight{x: &exchange{r: r}, events: make(chan flightEvent, eventBuffer)}
	f.events <- flightEvent{attempt: 1, reserved: &reservation{engine: "w", id: "h"}}
	f.events <- flightEvent{attempt: 1, prefillResult: &Source{Address: address, Handle: "k"}}
	f.shutdown(func() {})
	r.cleanups.Wait()
	if n := freed.Load(); n != 2 {
		t.Errorf("expected the reservation and the handle to be freed, got %d calls", n)
	}
}

// TestLeaveWhileSettingAside checks that no reservation remains at an engine if the caller leaves while the reservation
// is being made. Only the engine's answer shows whether the reservation was made. It comes after the caller has left.
func TestLeaveWhileSettingAside(t *testing.T) {
	reserving, dropped := make(chan struct{}), make(chan string, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/take" {
			dropped <- r.URL.Path
			return
		}
		close(reserving)
		time.Sleep(50 * time.Millisecond)
		_, _ = w.Write([]byte("h"))
	}))
	defer engine.Close()
	r := New(Options{Protocol: fakeProtocol{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}})
	r.disp.SetFleet(decide.Fleet{}, map[string]string{"w": engine.Listener.Addr().String()})
	x := &exchange{r: r, service: &Service{Engines: &EngineConfig{ReservationTTL: time.Second, KVTokens: 1000}}}
	f := &flight{x: x, events: make(chan flightEvent, eventBuffer)}
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		<-reserving
		leave()
	}()
	if _, ok := f.reserveKV(ctx, 1, "w", 0); ok {
		t.Error("expected no reservation for a caller that has left")
	}
	select {
	case path := <-dropped:
		if path != "/hold/h" {
			t.Errorf("expected the reservation to be dropped, got %s", path)
		}
	case <-time.After(10 * time.Second):
		t.Error("expected the reservation to be dropped within 10 s")
	}
}

func (fakeProtocol) SetHeaders(http.Header, Run) {}

func (fakeProtocol) IsAnswerTo(http.Header, string) bool { return true }

func (fakeProtocol) ParsePrefill(body []byte) (string, error) { return string(body), nil }

// TestLeaveAsPromptIsRead checks that an engine stores nothing for a caller that leaves just as its prefill is done. At
// that moment the engine is sending its answer, which has the handle of the memory to free.
func TestLeaveAsPromptIsRead(t *testing.T) {
	reading, dropped := make(chan struct{}), make(chan string, 2)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/take":
			_, _ = w.Write([]byte("h"))
		case "/prompt":
			close(reading)
			time.Sleep(10 * time.Millisecond) // The engine is done, and its answer is being sent.
			_, _ = w.Write([]byte("k"))
		default:
			dropped <- r.URL.Path
		}
	}))
	defer engine.Close()
	r := New(Options{Protocol: fakeProtocol{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}})
	r.disp.SetFleet(decide.Fleet{}, map[string]string{"w": engine.Listener.Addr().String()})
	ctx, leave := context.WithCancel(context.Background())
	x := &exchange{
		r: r, req: httptest.NewRequest(http.MethodPost, "/prompt", nil), route: &Route{},
		service: &Service{Engines: &EngineConfig{ReservationTTL: time.Second, KVTokens: 1000}},
	}
	f := &flight{x: x, ctx: ctx, events: make(chan flightEvent, eventBuffer)}
	go func() {
		<-reading
		leave()
	}()
	f.calls.Go(func() { f.callPrefill(ctx, decide.StartPrefill{Attempt: 1, Prefill: "w", Decode: "w"}) })
	f.calls.Wait()
	f.shutdown(leave)
	for range 2 {
		select {
		case <-dropped:
		case <-time.After(10 * time.Second):
			t.Fatal("expected the reservation and the handle to be dropped")
		}
	}
}
