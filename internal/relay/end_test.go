package relay

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// dropWire spells the calls that free memory.
type dropWire struct{ Wire }

func (dropWire) DropHold(hold string) Call {
	return Call{Method: http.MethodDelete, Target: "/hold/" + hold}
}

func (dropWire) DropHandle(handle string) Call {
	return Call{Method: http.MethodDelete, Target: "/handle/" + handle}
}

// What a call has reported and the loop has not taken when the flight ends is freed too.
func TestEndFreesReports(t *testing.T) {
	var freed atomic.Int32
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { freed.Add(1) }))
	defer engine.Close()
	address := engine.Listener.Addr().String()
	r := New(Options{Wire: dropWire{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}})
	r.disp.SetFleet(decide.Fleet{}, map[string]string{"w": address})
	f := &flight{x: &exchange{r: r}, events: make(chan flightEvent, eventBuffer)}
	f.events <- flightEvent{attempt: 1, held: &held{engine: "w", id: "h"}}
	f.events <- flightEvent{attempt: 1, read: &Source{Address: address, Handle: "k"}}
	f.end(func() {})
	r.frees.Wait()
	if n := freed.Load(); n != 2 {
		t.Errorf("expected the hold and the handle to be freed, got %d calls", n)
	}
}
