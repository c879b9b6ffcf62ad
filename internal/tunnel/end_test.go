package tunnel

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
)

// openNamed opens a tunnel with a name.
func openNamed(t *testing.T, server, target, id string) net.Conn {
	t.Helper()
	c, err := Open(context.Background(), dialer.DialContext, server, target, "k", id)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func expectEnded(t *testing.T, server, id, key string, want bool) {
	t.Helper()
	if err := Ended(context.Background(), dialer.DialContext, server, id, key); (err == nil) != want {
		t.Errorf("tunnel %q: expected closed by the endpoint %t, got %v", id, want, err)
	}
}

func TestEndOfTunnelThatTheEndpointClosed(t *testing.T) {
	_, server := newServer(t)
	target := newEndpoint(t, func(c net.Conn) { c.Close() })
	_, _ = io.ReadAll(openNamed(t, server, target, "a"))
	expectEnded(t, server, "a", "k", true)
	expectEnded(t, server, "a", "other key", false)
	expectEnded(t, server, "b", "k", false)
	expectEnded(t, server, "", "k", false)
}

func TestEndOfTunnelThatTheEndpointReset(t *testing.T) {
	_, server := newServer(t)
	target := newEndpoint(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		reset(c)
	})
	c := openNamed(t, server, target, "a")
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err == nil {
		t.Error("expected a reset, got the regular end of the data")
	}
	expectEnded(t, server, "a", "k", false)
}

func TestEndOfTunnelThatTheCallerClosed(t *testing.T) {
	_, server := newServer(t)
	gone := make(chan struct{})
	target := newEndpoint(t, func(c net.Conn) {
		_, _ = io.ReadAll(c)
		c.Close()
		close(gone)
	})
	openNamed(t, server, target, "a").Close()
	<-gone
	expectEnded(t, server, "a", "k", false)
}

func TestEndOfTunnelAtDeadServer(t *testing.T) {
	expectEnded(t, closedAddress(t), "a", "k", false)
}

// The memory for ends is bounded; the oldest are forgotten.
func TestEndsAreBounded(t *testing.T) {
	var l endLog
	for i := range maxEnds + 10 {
		l.add(fmt.Sprint(i))
	}
	if len(l.closed) != maxEnds || len(l.ring) != maxEnds || l.has("9") || !l.has("10") || !l.has(fmt.Sprint(maxEnds+9)) {
		t.Errorf("expected the last %d names, got %d", maxEnds, len(l.closed))
	}
	if l.add(""); l.has("") {
		t.Error("expected a tunnel without a name not to be remembered")
	}
}
