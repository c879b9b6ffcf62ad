package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeResults records the results of connects.
type fakeResults struct {
	mu     sync.Mutex
	noPath bool
	doubt  bool // Failures are not credible.
	failed int
}

func (f *fakeResults) NoPath(string) bool { return f.noPath }
func (f *fakeResults) Connected(string)   {}
func (f *fakeResults) ConnectFailed(string, time.Time, error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
	return !f.doubt
}

var dialer net.Dialer

// newServer returns a server with the key "k" that lists all addresses, and its address.
func newServer(t testing.TB) (*Server, string) {
	t.Helper()
	s := &Server{Dial: dialer.DialContext, Key: func() string { return "k" }, Listed: func(string) bool { return true }, Results: &fakeResults{}}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.Listener.Addr().String()
}

// echo answers with what it receives.
func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	c.Close()
}

// newEndpoint serves each connection with a function and returns its address.
func newEndpoint(t testing.TB, serve func(c net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return lis.Addr().String()
}

// closedAddress returns an address that refuses connections: that of a client, whose port nobody else can listen on.
func closedAddress(t *testing.T) string {
	t.Helper()
	c, err := net.Dial("tcp", newEndpoint(t, echo))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.LocalAddr().String()
}

func expectOpen(t *testing.T, server, target string) net.Conn {
	t.Helper()
	return openNamed(t, server, target, "")
}

func expectCause(t *testing.T, server, target, key string, want Cause) {
	t.Helper()
	c, err := Open(context.Background(), dialer.DialContext, server, target, key, "")
	if err == nil {
		c.Close()
		t.Fatalf("expected no tunnel because of %q", want)
	}
	if got := CauseOf(err); got != want {
		t.Errorf("expected the cause %q, got %q (%v)", want, got, err)
	}
}

func TestBytesPassBothWays(t *testing.T) {
	target := newEndpoint(t, echo)
	_, server := newServer(t)
	c := expectOpen(t, server, target)
	text := strings.Repeat("0123456789", 10_000)
	go func() { _, _ = io.WriteString(c, text) }()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Errorf("expected the bytes unchanged, got %d bytes, %v", len(got), err)
	}
}

func TestServerStatesCause(t *testing.T) {
	target := newEndpoint(t, func(c net.Conn) { c.Close() })
	s, server := newServer(t)
	results := &fakeResults{}
	s.Results = results
	expectCause(t, server, target, "other", Unauthorized)
	expectCause(t, server, target, "", Unauthorized)
	expectCause(t, server, closedAddress(t), "k", Refused)
	if results.failed != 1 {
		t.Errorf("expected one connect that failed, got %d", results.failed)
	}
	results.doubt = true
	expectCause(t, server, closedAddress(t), "k", NoPath)
	results.noPath = true
	expectCause(t, server, target, "k", NoPath)
	s.Listed = func(string) bool { return false }
	expectCause(t, server, target, "k", Unlisted)
}

// Guards against a box without the shared key that lets everybody in.
func TestEmptyKeyAdmitsNobody(t *testing.T) {
	s, server := newServer(t)
	s.Key = func() string { return "" }
	expectCause(t, server, closedAddress(t), "", Unauthorized)
}

func TestStoppingServerFinishesTunnels(t *testing.T) {
	target := newEndpoint(t, echo)
	s, server := newServer(t)
	c := expectOpen(t, server, target)
	s.Stop()
	expectCause(t, server, target, "k", Stopping)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Errorf("expected the open tunnel to go on, got %v", err)
	}
	c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if n := s.Drain(ctx); n != 0 {
		t.Errorf("expected all tunnels to end, %d were cut off", n)
	}
}

func TestDrainResetsWhatIsLeft(t *testing.T) {
	target := newEndpoint(t, echo)
	s, server := newServer(t)
	c := expectOpen(t, server, target)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := s.Drain(ctx); n != 1 {
		t.Errorf("expected one tunnel to be cut off, got %d", n)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("expected a reset, got %v", err)
	}
}

// Guards against a tunnel that the caller may use already, or soon, and that Drain does not see.
func TestDrainCountsTunnelsBeingOpened(t *testing.T) {
	target := newEndpoint(t, echo)
	s, server := newServer(t)
	dialing, proceed := make(chan struct{}), make(chan struct{})
	s.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		close(dialing)
		<-proceed
		return dialer.DialContext(ctx, network, address)
	}
	opened := make(chan net.Conn, 1)
	go func() {
		c, _ := Open(context.Background(), dialer.DialContext, server, target, "k", "")
		opened <- c
	}()
	<-dialing
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if n := s.Drain(ctx); n != 1 {
		t.Errorf("expected one tunnel to be cut off, got %d", n)
	}
	close(proceed)
	c := <-opened
	if c == nil {
		return // The reset came before the answer was read.
	}
	defer c.Close()
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("expected a reset, got %v", err)
	}
}

// Guards against an answer without a length that is cut by a reset and looks complete.
func TestEndpointResetReachesCaller(t *testing.T) {
	target := newEndpoint(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "ha")
		time.Sleep(20 * time.Millisecond)
		reset(c)
	})
	_, server := newServer(t)
	c := expectOpen(t, server, target)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); err == nil {
		t.Error("expected a reset, got the regular end of the data")
	}
}

func TestEndpointCloseReachesCaller(t *testing.T) {
	target := newEndpoint(t, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = io.WriteString(c, "all")
		c.Close()
	})
	_, server := newServer(t)
	c := expectOpen(t, server, target)
	if _, err := io.WriteString(c, "x"); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(c); err != nil || string(got) != "all" {
		t.Errorf("expected all bytes and the end, got %q, %v", got, err)
	}
}

// Guards against a caller that is gone while its endpoint works on.
func TestCallerGoneReachesEndpoint(t *testing.T) {
	gone := make(chan struct{})
	target := newEndpoint(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		close(gone)
	})
	_, server := newServer(t)
	expectOpen(t, server, target).Close()
	select {
	case <-gone:
	case <-time.After(10 * time.Second):
		t.Error("expected the endpoint's connection to end")
	}
}

func TestBoundOfOneCaller(t *testing.T) {
	target := newEndpoint(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	_, server := newServer(t)
	for range maxPerCaller {
		expectOpen(t, server, target)
	}
	expectCause(t, server, target, "k", Busy)
}

// Guards against a box of an earlier build, which answers with 404, and against other answers that are no tunnel.
func TestOtherAnswersAreNoTunnel(t *testing.T) {
	target := closedAddress(t)
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	expectCause(t, old.Listener.Addr().String(), target, "k", Failed)
	expectCause(t, closedAddress(t), target, "k", Failed)
	for _, answer := range []string{"", "\r\n", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n\r\nearly", strings.Repeat("x", 10_000), "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 10_000)} {
		server := newEndpoint(t, func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, answer)
			c.Close()
		})
		expectCause(t, server, target, "k", Failed)
	}
}

func FuzzConnectAnswer(f *testing.F) {
	for _, s := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 502 Bad\r\nX-Tunnel-Cause: refused\r\nContent-Length: 3\r\n\r\nabc", "HTTP/1.1 100 C\r\n\r\n", "\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, answer string) {
		near, far := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = io.WriteString(far, answer)
			far.Close()
		}()
		defer near.Close()
		defer far.Close()
		if err := connect(near, "127.0.0.1:1", "k", ""); err == nil && !strings.HasPrefix(answer, "HTTP/1.") {
			t.Errorf("expected %q to be no tunnel", answer)
		}
	})
}

// Guards against a server that leaves a CONNECT unanswered and counts as one that refuses it, because the caller's time was
// over first.
func TestOpenWithoutAnswerInTimeIsUnanswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = Open(ctx, (&net.Dialer{}).DialContext, ln.Addr().String(), "127.0.0.1:1", "", "")
	if got := ConnectCause(err); got != Unanswered {
		t.Errorf("expected the cause %s, got %s: %v", Unanswered, got, err)
	}
}
