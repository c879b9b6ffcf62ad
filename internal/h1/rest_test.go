package h1

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a sound answer that is refused because informational responses precede it.
func TestThreeInformationalResponsesPrecedeAnAnswer(t *testing.T) {
	addr := newRawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
	})
	resp, err := NewPool().Do(context.Background(), &Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "e", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	if b, err := ReadLimited(resp, 100); err != nil || string(b) != "whole" {
		t.Errorf("expected the whole answer, got %q, %v", b, err)
	}
}

// readSteadily reads n bytes each interval for a time, and then all that is left of total.
func readSteadily(r io.Reader, n int, interval, lasts time.Duration, total int) ([]byte, error) {
	got := make([]byte, total)
	at := 0
	for end := time.Now().Add(lasts); time.Now().Before(end) && at < total; time.Sleep(interval) {
		k, err := io.ReadFull(r, got[at:min(total, at+n)])
		if at += k; err != nil {
			return got[:at], err
		}
	}
	k, err := io.ReadFull(r, got[at:])
	return got[:at+k], err
}

// Guards against a rest of an upload that is cut off although its endpoint reads on without a pause, slowly: the operating system
// acknowledges the bytes in large steps.
func TestEndpointThatReadsSteadilyGetsTheRest(t *testing.T) {
	for _, framed := range []bool{true, false} {
		for _, buffer := range []int{0, 4 << 20} {
			t.Run(fmt.Sprint("framed ", framed, ", buffer ", buffer), func(t *testing.T) {
				t.Parallel()
				sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
				got := make(chan error, 1)
				addr := newRawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					rate := 4 << 10 // 20 KB/s
					if buffer > 0 {
						_ = c.SetReadBuffer(buffer)
						rate = 16 << 10 // 80 KB/s
					}
					if framed {
						fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
					} else {
						fmt.Fprint(c, unframedHead, "whole")
						_ = c.CloseWrite()
					}
					b, err := readSteadily(r, rate, 200*time.Millisecond, 8*time.Second, len(sent))
					if err == nil && !bytes.Equal(b, sent) {
						err = fmt.Errorf("other bytes")
					}
					if err != nil {
						err = fmt.Errorf("after %d of %d bytes: %w", len(b), len(sent), err)
					}
					got <- err
				})
				began := time.Now()
				resp, err := NewPool().Do(context.Background(), &Request{Address: addr, Method: http.MethodPost, Target: "/", Host: "e", Header: http.Header{}, Body: sent})
				if err != nil {
					t.Fatal(err)
				}
				if b, err := ReadLimited(resp, 100); err != nil || string(b) != "whole" {
					t.Errorf("expected the whole answer, got %q, %v after %v", b, err, time.Since(began))
				}
				if err := <-got; err != nil {
					t.Errorf("the rest of the request: %v", err)
				}
			})
		}
	}
}

// Guards against a rest of an upload that is cut off after restTimeout although its endpoint reads it steadily.
func TestRestThatTakesLongerThanRestTimeoutArrives(t *testing.T) {
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	got := make(chan error, 1)
	addr := newRawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		// 400 KB/s: with what the buffers hold, the last byte is sent after more than 30 s.
		b, err := readSteadily(r, 16<<10, 40*time.Millisecond, restTimeout+5*time.Second, len(sent))
		if err != nil {
			err = fmt.Errorf("after %d of %d bytes: %w", len(b), len(sent), err)
		}
		got <- err
	})
	resp, err := NewPool().Do(context.Background(), &Request{Address: addr, Method: http.MethodPost, Target: "/", Host: "e", Header: http.Header{}, Body: sent})
	if err != nil {
		t.Fatal(err)
	}
	if b, err := ReadLimited(resp, 100); err != nil || string(b) != "whole" {
		t.Errorf("expected the whole answer, got %q, %v", b, err)
	}
	if err := <-got; err != nil {
		t.Errorf("the rest of the request: %v", err)
	}
}
