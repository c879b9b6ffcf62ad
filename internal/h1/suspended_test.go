package h1

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Guards against reusing a connection that was idle while the machine was suspended. The endpoint has closed the
// connection by then. A request sent during the close may or may not have run.
func TestSuspendedConnection(t *testing.T) {
	var elapsed time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return elapsed })()
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer srv.Close()
	p, dials := NewPool(), 0
	p.OnDial = func() { dials++ }
	call := func(want int) {
		t.Helper()
		r := &Request{Address: srv.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		if _, _, err := p.DoShort(context.Background(), 5*time.Second, r, 100); err != nil || dials != want {
			t.Errorf("expected %d connections, got %d, %v", want, dials, err)
		}
	}
	call(1)
	call(1)
	elapsed = 10 * time.Second
	call(2)
}
