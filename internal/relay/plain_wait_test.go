package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// A box that is alone uses usedConns of the acceptedConns connections of an endpoint.
const usedConns, acceptedConns = 2, 3

// Guards against calls to an endpoint that began to leave, or whose hall was evacuated, while the call waited for one of
// the box's connections. Such a call must be reported as not sent, and must not count as a failure.
func TestNoCallToEndpointThatLeftDuringWait(t *testing.T) {
	list := []Endpoint{{ID: "e", Service: "s-0", Hall: "h"}}
	for name, leave := range map[string]func(*Relay){
		"leaving": func(r *Relay) {
			r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Leaving: true}})
		},
		"evacuated": func(r *Relay) { r.SetEvacuated([]string{"h"}) },
		"removed":   func(r *Relay) { r.SetEndpoints(nil) },
	} {
		var arrived atomic.Int32
		answer := make(chan struct{})
		srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			arrived.Add(1)
			<-answer
		}))
		list[0].Address = srv.Listener.Addr().String()
		r := cellRelay(1)
		r.SetEndpoints(list)
		service := &Service{Name: "s-0", MaxConnections: acceptedConns}
		call := func() (plainAnswer, slots.Outcome) {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: service, region: "r", route: &Route{}, deadline: clock.Now().Add(20 * time.Second)}
			e, _ := r.plain.choose("s-0", "r", clock.Now(), nil)
			a := x.callPlain(ctx, e, nil, nil)
			return a, x.slotOutcome(ctx, &a)
		}
		var wg sync.WaitGroup
		for range usedConns {
			wg.Go(func() { _, _ = call() })
		}
		for arrived.Load() < usedConns {
			time.Sleep(time.Millisecond)
		}
		wg.Go(func() {
			if a, o := call(); a.sent || a.ran || o != slots.Unused {
				t.Errorf("%s: expected an unused slot, got %+v, outcome %d", name, a, o)
			}
		})
		for r.plain.running("s-0") <= usedConns {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond) // The call waits for a connection.
		leave(r)
		close(answer)
		wg.Wait()
		srv.Close()
		if n := arrived.Load(); n != usedConns {
			t.Errorf("%s: expected %d calls at the endpoint, got %d", name, usedConns, n)
		}
	}
}

// timeProtocol tells endpoints how long the caller will still wait.
type timeProtocol struct{ fakeProtocol }

func (timeProtocol) SetHeaders(h http.Header, run Run) { h.Set("Time-Left", run.TimeLeft.String()) }

func (timeProtocol) ParseReply(*http.Response) Reply { return Reply{Signed: true} }

// Guards against telling an endpoint the time that was left before the call waited for a connection. The endpoint would
// work on after the caller has left.
func TestTimeLeftAfterWaitForConnection(t *testing.T) {
	const wait = 100 * time.Millisecond
	var mu sync.Mutex
	var arrived int
	var last time.Duration
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		mu.Lock()
		arrived++
		last, _ = time.ParseDuration(q.Header.Get("Time-Left"))
		mu.Unlock()
		time.Sleep(wait)
	}))
	defer srv.Close()
	r := cellRelay(1)
	r.protocol = timeProtocol{}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Address: srv.Listener.Addr().String()}})
	deadline := clock.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	for range usedConns + 1 {
		wg.Go(func() {
			x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: &Service{Name: "s-0", MaxConnections: acceptedConns}, region: "r", route: &Route{}, deadline: deadline}
			e, _ := r.plain.choose("s-0", "r", clock.Now(), nil)
			if a := x.callPlain(context.Background(), e, nil, nil); !a.good {
				t.Errorf("expected an answer, got %+v", a)
			}
		})
	}
	wg.Wait()
	if arrived != usedConns+1 || last > 20*time.Second-wait || last <= 0 {
		t.Errorf("expected %d calls, the last one with at most %v left, got %d and %v", usedConns+1, 20*time.Second-wait, arrived, last)
	}
}

// Guards against a call that is sent so long after its slot was granted that the owner has given the slot to another one:
// connecting took 250 ms, since the box's own path to the endpoint was lost. It must not count as a failure.
func TestNoCallWithExpiredSlot(t *testing.T) {
	var arrived atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer srv.Close()
	r := cellRelay(1)
	r.protocol = timeProtocol{}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Address: srv.Listener.Addr().String()}})
	call := func(g *slotGrant) (plainAnswer, slots.Outcome) {
		x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: &Service{Name: "s-0"}, region: "r", route: &Route{}, deadline: clock.Now().Add(20 * time.Second)}
		e, _ := r.plain.choose("s-0", "r", clock.Now(), nil)
		a := x.callPlain(context.Background(), e, g, nil)
		return a, x.slotOutcome(context.Background(), &a)
	}
	if a, o := call(&slotGrant{r: r, sendBy: clock.Now()}); !a.slotExpired || a.sent || a.ran || o != slots.Unused || arrived.Load() != 0 {
		t.Errorf("expected a call that was not sent and an unused slot, got %+v, outcome %d, %d calls", a, o, arrived.Load())
	}
	if a, o := call(&slotGrant{r: r, sendBy: clock.Now().Add(20 * time.Second)}); !a.good || o != slots.Answered || arrived.Load() != 1 {
		t.Errorf("expected an answer, got %+v, outcome %d, %d calls", a, o, arrived.Load())
	}
	if failures := r.plain.service("s-0").byID["e"].failures; failures != 0 {
		t.Errorf("expected no failure, got %v", failures)
	}
}
