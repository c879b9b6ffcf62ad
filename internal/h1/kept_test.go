package h1

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// A call that breaks off says whether its connection was kept from before: then the endpoint may have
// ended before it was called.
func TestBrokenOnKeptConnection(t *testing.T) {
	var broken atomic.Bool
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	p := NewPool()
	call := func() error {
		r := &Request{Address: srv.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
		_, _, err := p.Call(context.Background(), 5*time.Second, r, 100)
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	broken.Store(true)
	for _, kept := range []bool{true, false} { // The second one is new: the first one is closed.
		var e *Error
		if err := call(); !errors.As(err, &e) || !e.Sent || e.Kept != kept {
			t.Errorf("expected a sent request that broke off, kept %t, got %+v", kept, e)
		}
	}
}
