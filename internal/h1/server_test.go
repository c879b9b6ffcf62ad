package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// endCase is an answer of a handler, and what becomes of its connection.
type endCase struct {
	name, proto string
	handler     func(w http.ResponseWriter, r *http.Request, c *ServerConn)
	// whole is set if the caller can take the answer for complete.
	whole bool
	body  string
}

func unframed(w http.ResponseWriter, r *http.Request, text string) {
	CloseDelimit(w, r)
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
}

// kill closes the socket as the end of the process does.
func kill(c *ServerConn) { _ = c.TCPConn.Close() }

var endCases = []endCase{
	{"handler returns", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, _ *ServerConn) { unframed(w, r, "text") }, true, "text"},
	{"handler returns", "HTTP/1.0", func(w http.ResponseWriter, r *http.Request, _ *ServerConn) { unframed(w, r, "text") }, true, "text"},
	{"short answer", "HTTP/1.0", func(w http.ResponseWriter, _ *http.Request, _ *ServerConn) { _, _ = io.WriteString(w, "text") }, true, "text"},
	{"no body", "HTTP/1.0", func(w http.ResponseWriter, _ *http.Request, _ *ServerConn) { w.WriteHeader(http.StatusNoContent) }, true, ""},
	{"handler panics", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, _ *ServerConn) {
		unframed(w, r, "text")
		panic(http.ErrAbortHandler)
	}, false, "text"},
	{"handler aborts", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, _ *ServerConn) {
		unframed(w, r, "text")
		Abort(w, r)
	}, false, "text"},
	{"process ends", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, c *ServerConn) {
		unframed(w, r, "text")
		kill(c)
	}, false, "text"},
	{"process ends", "HTTP/1.0", func(w http.ResponseWriter, r *http.Request, c *ServerConn) {
		_, _ = io.WriteString(w, "text")
		_ = http.NewResponseController(w).Flush()
		kill(c)
	}, false, "text"},
	{"process ends, chunks", "HTTP/1.1", func(w http.ResponseWriter, _ *http.Request, c *ServerConn) {
		_, _ = io.WriteString(w, "text")
		_ = http.NewResponseController(w).Flush()
		kill(c)
	}, false, "text"},
	{"server closes", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, c *ServerConn) {
		unframed(w, r, "text")
		_ = c.Close()
	}, false, "text"},
	{"end is not written", "HTTP/1.1", func(w http.ResponseWriter, r *http.Request, c *ServerConn) {
		unframed(w, r, "text")
		_, _ = io.WriteString(w, "rest") // Stays in the server's buffer until the handler has returned.
		_ = c.SetWriteDeadline(time.Now().Add(-time.Second))
	}, false, "text"},
}

// Guards against a close that nobody vouched for and that completes an answer.
func TestOnlyAReturnedHandlerCompletesAnAnswer(t *testing.T) {
	for _, c := range endCases {
		t.Run(c.name+" "+strings.ReplaceAll(c.proto, "/", " "), func(t *testing.T) {
			addr := serveGuarded(t, c.handler)
			body, err := request(t, addr, c.proto)
			if body != c.body || (err == nil) != c.whole {
				t.Errorf("expected %q, complete %t, got %q, %v", c.body, c.whole, body, err)
			}
		})
	}
}

// serveGuarded serves a handler on a listener of Listen.
func serveGuarded(t *testing.T, h func(w http.ResponseWriter, r *http.Request, c *ServerConn)) (addr string) {
	t.Helper()
	lis, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{ConnContext: ConnContext, Handler: GuardEnds(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h(w, r, serverConnOf(r))
	}))}
	t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(lis) }()
	return lis.Addr().String()
}

func request(t *testing.T, addr, proto string) (body string, err error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET / %s\r\nHost: h.example\r\n\r\n", proto)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	b, err := io.ReadAll(resp.Body)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("expected the connection to end")
	}
	return string(b), err
}

// Guards against a reset of what a slow caller has not read yet of a complete answer.
func TestCompleteAnswerIsDeliveredAfterTheServerClosed(t *testing.T) {
	const size = 1 << 20
	closed := make(chan *ServerConn, 1)
	addr := serveGuarded(t, func(w http.ResponseWriter, r *http.Request, c *ServerConn) {
		CloseDelimit(w, r)
		_ = c.SetWriteBuffer(4 * size)
		_, _ = w.Write(make([]byte, size))
		closed <- c
	})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
	server := <-closed
	time.Sleep(200 * time.Millisecond)
	kill(server)
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(resp.Body); err != nil || len(b) != size {
		t.Errorf("expected %d bytes, got %d, %v", size, len(b), err)
	}
}

// Guards against a reset of a complete answer by requests that its caller sent ahead.
func TestPipelinedRequestsDoNotResetACompleteAnswer(t *testing.T) {
	const size = 100 << 10
	addr := serveGuarded(t, func(w http.ResponseWriter, r *http.Request, _ *ServerConn) {
		CloseDelimit(w, r)
		_, _ = w.Write(make([]byte, size))
	})
	for range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		for range 100 { // More than the server's buffer of its connection holds.
			fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h.example\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", 200))
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
		if b, err := io.ReadAll(resp.Body); err != nil || len(b) != size {
			t.Errorf("expected %d bytes, got %d, %v", size, len(b), err)
		}
		c.Close()
	}
}

// BenchmarkGuardedAnswer is what an answer that ends with its connection costs for not being completed by the end of the
// process.
func BenchmarkGuardedAnswer(b *testing.B) {
	lis, err := Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer lis.Close()
	caller, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer caller.Close()
	accepted, err := lis.Accept()
	if err != nil {
		b.Fatal(err)
	}
	c := accepted.(*ServerConn)
	defer c.Close()
	for b.Loop() {
		c.guard()
		c.handlerReturned()
		c.allowClose()
	}
}
