package h1

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// A connection that was kept over a suspension is not used again: its endpoint has closed it, and a
// request that crosses the close may have run or not.
func TestSuspendedConnection(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	p, dials := NewPool(), 0
	p.OnDial = func() { dials++ }
	call := func(want int) {
		t.Helper()
		r := &Request{Address: srv.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		if _, _, err := p.Call(context.Background(), 5*time.Second, r, 100); err != nil || dials != want {
			t.Errorf("expected %d connections, got %d, %v", want, dials, err)
		}
	}
	call(1)
	call(1)
	asleep = 10 * time.Second
	call(2)
}
