package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/tcpopt"
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
	if err := Ended(context.Background(), dialer.DialContext, server, id, key, 0, time.Second); (err == nil) != want {
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

// expectEndedAfter is like expectEnded, for a caller that has sent a number of bytes.
func expectEndedAfter(t *testing.T, server, id string, sent uint64, want error) {
	t.Helper()
	if err := Ended(context.Background(), dialer.DialContext, server, id, "k", sent, 10*time.Second); !errors.Is(err, want) {
		t.Errorf("tunnel %q, %d bytes sent: expected %v, got %v", id, sent, want, err)
	}
}

// restBytes is more than the buffers between a caller and an endpoint, and so more than a tunnel takes from its caller while the
// endpoint reads nothing.
const restBytes = 32 << 20

// Guards against a reset that looks like a regular end, because the write to the endpoint was told of it: the endpoint resets the
// connection while the caller still sends.
func TestEndOfTunnelThatTheEndpointResetWhileTheCallerSends(t *testing.T) {
	for range 20 {
		_, server := newServer(t)
		target := newEndpoint(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			_, _ = io.WriteString(c, "part")
			time.Sleep(30 * time.Millisecond)
			reset(c)
		})
		c := openNamed(t, server, target, "a")
		go func() { _, _ = c.Write(make([]byte, restBytes)) }()
		b, err := io.ReadAll(c)
		if string(b) != "part" {
			t.Errorf("expected the part, got %q", b)
		}
		if st, stErr := tcpopt.StatusOf(c); err == nil && (stErr != nil || !st.Closed) { // The write may have been told of the reset.
			t.Error("expected a reset, got the regular end of the data")
		}
		expectEndedAfter(t, server, "a", 0, errNotClosed)
	}
}

// Guards against an end that is confirmed although the endpoint never takes what the caller sent, or resets the connection when
// it arrives.
func TestEndOfTunnelWhoseEndpointDoesNotTakeTheRest(t *testing.T) {
	for name, end := range map[string]func(c net.Conn){"reset": reset, "unread": func(net.Conn) { time.Sleep(time.Minute) }} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, server := newServer(t)
			target := newEndpoint(t, func(c net.Conn) {
				_ = c.(*net.TCPConn).CloseWrite()
				time.Sleep(100 * time.Millisecond)
				end(c)
			})
			c := openNamed(t, server, target, "a")
			go func() { _, _ = c.Write(make([]byte, restBytes)) }()
			_, _ = io.ReadAll(c)
			if err := Ended(context.Background(), dialer.DialContext, server, "a", "k", restBytes, 10*time.Second); err == nil {
				t.Error("expected no confirmation")
			}
		})
	}
}

// Guards against a rest of a request that is cut off, or an end that is not confirmed, because the endpoint reads on after it has
// closed its side.
func TestEndOfTunnelWhoseEndpointReadsOn(t *testing.T) {
	_, server := newServer(t)
	got := make(chan int64, 1)
	target := newEndpoint(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(500 * time.Millisecond)
		n, _ := io.CopyN(io.Discard, c, restBytes)
		got <- n
		c.Close()
	})
	c := openNamed(t, server, target, "a")
	go func() { _, _ = c.Write(make([]byte, restBytes)) }()
	_, _ = io.ReadAll(c)
	expectEndedAfter(t, server, "a", restBytes, nil)
	if n := <-got; n != restBytes {
		t.Errorf("expected %d bytes at the endpoint, got %d", restBytes, n)
	}
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
		l.add(fmt.Sprint(i), &carried{})
	}
	if len(l.closed) != maxEnds || len(l.ring) != maxEnds || l.get("9") != nil || l.get("10") == nil || l.get(fmt.Sprint(maxEnds+9)) == nil {
		t.Errorf("expected the last %d names, got %d", maxEnds, len(l.closed))
	}
	if l.add("", &carried{}); l.get("") != nil {
		t.Error("expected a tunnel without a name not to be remembered")
	}
}
