package tunnel

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a rest of a request that a tunnel drops although the endpoint reads it steadily: all of it waits in the buffer of
// the endpoint's connection, so that the caller sends nothing more for endpointCloseGrace.
func TestRestInTheBufferOfATunnelIsNotDropped(t *testing.T) {
	const rest = 3 << 20
	_, server := newServer(t)
	got := make(chan int, 1)
	target := newEndpoint(t, func(c net.Conn) {
		_ = c.(*net.TCPConn).CloseWrite()
		n := 0
		buf := make([]byte, 64<<10)
		for n < rest {
			k, err := c.Read(buf)
			if n += k; err != nil {
				t.Logf("the endpoint read %d bytes: %v", n, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		got <- n
		c.Close()
	})
	c := openNamed(t, server, target, "a")
	go func() { _, _ = c.Write(make([]byte, rest)) }()
	_, _ = io.ReadAll(c)
	began := time.Now()
	if err := Ended(context.Background(), dialer.DialContext, server, "a", "k", rest, 10*time.Second); err != nil {
		t.Errorf("expected a confirmed end, got %v after %v", err, time.Since(began))
	}
	if n := <-got; n != rest {
		t.Errorf("expected %d bytes at the endpoint, got %d", rest, n)
	}
}
