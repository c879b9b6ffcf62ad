package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// newRawEndpoint reads the head of each request and passes the connection on, with the bytes that were read too far. It returns
// its address.
func newRawEndpoint(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if line == "\r\n" {
						serve(c.(*net.TCPConn), r)
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

const unframedHead = "HTTP/1.1 200 OK\r\n\r\n"

// Guards against a reset that a peek was told of, so that the read sees a regular end.
func TestResetThatAPeekWasToldOfIsNoEnd(t *testing.T) {
	reset := make(chan struct{})
	addr := newRawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		fmt.Fprint(c, unframedHead)
		<-reset
		_ = c.SetLinger(0)
	})
	resp, err := NewPool().Do(context.Background(), &Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "e", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	close(reset)
	for end := time.Now().Add(10 * time.Second); !resp.Body.(*body).c.peekedReset.Load() && time.Now().Before(end); time.Sleep(time.Millisecond) {
		IsQuiet(resp)
	}
	if _, err := io.ReadAll(resp.Body); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("expected a reset, got %v", err)
	}
}

// Guards against a sound answer that is broken off because its endpoint reset the connection after its regular close: it keeps a
// closed connection for some time only.
func TestResetAfterARegularCloseBreaksOffNoAnswer(t *testing.T) {
	closed := make(chan struct{})
	addr := newRawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		fmt.Fprint(c, unframedHead, "whole")
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
		close(closed)
	})
	resp, err := NewPool().Do(context.Background(), &Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "e", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-closed
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" {
		t.Errorf("expected the whole answer, got %q, %v", b, err)
	}
}

// Guards against an answer that ends as complete although its endpoint never takes the rest of the request.
func TestEndOfAnswerToAnUnreadRequestIsRejected(t *testing.T) {
	release := make(chan struct{})
	addr := newRawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		fmt.Fprint(c, unframedHead, "part")
		_ = c.CloseWrite()
		<-release
	})
	defer close(release)
	p := NewPool()
	var cause EndCause
	p.OnEndRejected = func(c EndCause) { cause = c }
	resp, err := p.Do(context.Background(), &Request{Address: addr, Method: http.MethodPost, Target: "/", Host: "e", Header: http.Header{}, Body: make([]byte, 16<<20)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	// The operating system may end the connection before the check does.
	if _, err := io.ReadAll(resp.Body); !errors.Is(err, ErrRequestUnread) && !errors.Is(err, ErrRequestLost) || cause != EndCauseOf(err) {
		t.Errorf("expected an end that is rejected, got %v, cause %q", err, cause)
	}
}

// Guards against a connection that is used again before its endpoint has read the rest of the request before.
func TestConnectionIsReusedOnceTheRestIsRead(t *testing.T) {
	readOn := make(chan struct{})
	sent := bytes.Repeat([]byte("0123456789abcdef"), 1<<20)
	addr := newRawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		<-readOn
		got := make([]byte, len(sent))
		if _, err := io.ReadFull(r, got); err != nil || !bytes.Equal(got, sent) {
			t.Errorf("expected the rest of the request, got %v", err)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil || req.URL.Path != "/second" {
			t.Errorf("expected the second request, got %v, %v", req, err)
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
	})
	p := NewPool()
	do := func(path string, body []byte) {
		resp, err := p.Do(context.Background(), &Request{Address: addr, Method: http.MethodPost, Target: path, Host: "e", Header: http.Header{}, Body: body, MaxConns: 1})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadLimited(resp, 100); err != nil {
			t.Fatal(err)
		}
	}
	do("/first", sent)
	time.AfterFunc(300*time.Millisecond, func() { close(readOn) })
	do("/second", nil)
}

// Guards against an error that does not say that the connection was reset, whoever was told of it first.
func TestLostRequestIsReportedAsAReset(t *testing.T) {
	addr := newRawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		fmt.Fprint(c, unframedHead, "part")
		time.Sleep(20 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for range 20 {
		p := NewPool()
		rejected := 0
		p.OnEndRejected = func(c EndCause) {
			if c == EndReset {
				rejected++
			}
		}
		resp, err := p.Do(context.Background(), &Request{Address: addr, Method: http.MethodPost, Target: "/", Host: "e", Header: http.Header{}, Body: make([]byte, 16<<20)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := ReadLimited(resp, 100); !errors.Is(err, ErrRequestLost) || !errors.Is(err, syscall.ECONNRESET) || rejected != 1 {
			t.Errorf("expected a lost request, got %v, counted %d times", err, rejected)
		}
	}
}

// BenchmarkUnframedAnswer measures calls on connections of their own, whose answers have no length.
func BenchmarkUnframedAnswer(b *testing.B) {
	addr := newRawEndpoint(b, func(c *net.TCPConn, r *bufio.Reader) {
		fmt.Fprint(c, unframedHead, "whole")
		_, _ = r.Discard(r.Buffered())
	})
	p := NewPool()
	for b.Loop() {
		resp, err := p.Do(context.Background(), &Request{Address: addr, Method: http.MethodGet, Target: "/", Host: "e", Header: http.Header{}})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := ReadLimited(resp, 100); err != nil {
			b.Fatal(err)
		}
	}
}
