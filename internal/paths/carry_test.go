package paths

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// carrySite is a box without a path to an HTTP endpoint, which it reaches through other boxes.
type carrySite struct {
	pool     *h1.Pool
	d        *Dialer
	boxes    []*httptest.Server
	peers    *fakePeers
	endpoint string
	runs     atomic.Int64
	// proceed lets the endpoint go on after the first half of an answer.
	proceed chan struct{}
}

// newCarrySite starts an endpoint that answers "whole" in two halves: to /length with a length, to /close without one.
func newCarrySite(t *testing.T, boxes int) *carrySite {
	t.Helper()
	s := &carrySite{proceed: make(chan struct{}), peers: &fakePeers{}}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.runs.Add(1)
		switch r.URL.Path {
		case "/quick":
			_, _ = io.WriteString(w, "whole")
		case "/silent":
			<-s.proceed
		default:
			c, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			length := ""
			if r.URL.Path == "/length" {
				length = "Content-Length: 5\r\n"
			}
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\n" + length + "\r\nwh")
			_ = rw.Flush()
			<-s.proceed
			_, _ = rw.WriteString("ole")
			_ = rw.Flush()
		}
	}))
	t.Cleanup(endpoint.Close)
	t.Cleanup(func() { close(s.proceed) })
	s.endpoint = endpoint.Listener.Addr().String()
	here := func(string) string { return "h" }
	for i := range boxes {
		var n network
		other := New(Options{Hall: "h", HallOf: here})
		other.direct = n.dial
		srv := httptest.NewServer(&tunnel.Server{Dial: n.dial, Key: s.peers.Key, Listed: func(string) bool { return true }, Results: other})
		t.Cleanup(srv.Close)
		s.boxes = append(s.boxes, srv)
		s.peers.boxes = append(s.peers.boxes, reach.Box{Name: string(rune('a' + i)), Hall: "h", Address: srv.Listener.Addr().String()})
	}
	s.d = New(Options{Hall: "h", Peers: s.peers, HallOf: here})
	var own network
	own.set(refuse)
	s.d.direct = own.dial
	s.pool = h1.NewPool()
	s.pool.Dial, s.pool.Usable = s.d.Dial, s.d.Usable
	return s
}

func (s *carrySite) do(path string) (*http.Response, *h1.Request, error) {
	q := &h1.Request{Address: s.endpoint, Method: http.MethodGet, Target: path, Host: "e", Header: http.Header{}}
	resp, err := s.pool.Do(context.Background(), q)
	return resp, q, err
}

func (s *carrySite) expectServed(t *testing.T) {
	t.Helper()
	resp, q, err := s.do("/quick")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" || q.Via == "" {
		t.Errorf("expected the whole answer through another box, got %q, %v, via %q", b, err, q.Via)
	}
}

// killCarrier ends the box that carries a request's connection, as a kill of its process does.
func (s *carrySite) killCarrier(q *h1.Request) {
	for i, b := range s.peers.Others() {
		if b.Name == q.Via {
			s.boxes[i].Listener.Close()
			s.boxes[i].CloseClientConnections()
		}
	}
}

func expectCutAnswer(t *testing.T, path string) {
	t.Helper()
	s := newCarrySite(t, 1)
	carriers := s.interceptTunnels()
	resp, _, err := s.do(path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadFull(resp.Body, make([]byte, 2)); err != nil {
		t.Fatal(err)
	}
	// The operating system closes the connections of a process that was killed, without a reset.
	(<-carriers).Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Errorf("%s: expected an answer that is plainly not whole", path)
	}
	if n := s.runs.Load(); n != 1 {
		t.Errorf("expected one run, got %d", n)
	}
}

// interceptTunnels returns the far ends of the connections to other boxes that are opened from now on.
func (s *carrySite) interceptTunnels() <-chan net.Conn {
	carriers := make(chan net.Conn, 4)
	dial := s.d.toBox
	s.d.toBox = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		near, far := relayConn(c)
		carriers <- far
		return near, nil
	}
	return carriers
}

// relayConn puts a TCP connection before c. Closing far closes the connection regularly.
func relayConn(c net.Conn) (near, far net.Conn) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer lis.Close()
	accepted := make(chan net.Conn, 1)
	go func() {
		a, _ := lis.Accept()
		accepted <- a
	}()
	if near, err = net.Dial("tcp", lis.Addr().String()); err != nil {
		panic(err)
	}
	far = <-accepted
	go func() { _, _ = io.Copy(far, c) }()
	go func() {
		_, _ = io.Copy(c, far)
		c.Close()
	}()
	return near, far
}

// Guards against an answer that looks whole although the box that carried it was killed in its middle.
func TestAnswerCutByTheCarrierIsNotWhole(t *testing.T) {
	for _, path := range []string{"/length", "/close"} {
		expectCutAnswer(t, path)
	}
}

// Guards against "not run" for a request whose connection ended in the box between.
func TestRequestLostWithTheCarrierMayHaveRun(t *testing.T) {
	s := newCarrySite(t, 2)
	carriers := s.interceptTunnels()
	go func() {
		for s.runs.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		(<-carriers).Close()
	}()
	_, _, err := s.do("/silent")
	var failed *h1.Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("expected a request that may have run, got %v", err)
	}
	if n := s.runs.Load(); n != 1 {
		t.Errorf("expected no second run by itself, got %d", n)
	}
}

func TestIdleTunnelThroughDeadBoxIsNotUsed(t *testing.T) {
	s := newCarrySite(t, 2)
	s.expectServed(t)
	resp, q, err := s.do("/quick")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	s.killCarrier(q)
	for range 5 {
		s.expectServed(t)
	}
}

// A box whose process stands still accepts connections and answers nothing.
func TestFrozenBoxIsPassedOver(t *testing.T) {
	s := newCarrySite(t, 1)
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	s.peers.boxes = append(s.peers.boxes, reach.Box{Name: "frozen", Hall: "h", Address: frozen.Addr().String()})
	for range 10 {
		s.expectServed(t)
	}
}

// Guards against a box of an earlier build, which knows no tunnels, that keeps others from being tried.
func TestBoxOfEarlierBuildIsPassedOver(t *testing.T) {
	s := newCarrySite(t, 1)
	old := httptest.NewServer(http.NotFoundHandler())
	defer old.Close()
	s.peers.boxes = append(s.peers.boxes, reach.Box{Name: "old", Hall: "h", Address: strings.TrimPrefix(old.URL, "http://")})
	for range 10 {
		s.expectServed(t)
	}
}

// Guards against sound answers without a length that are lost because another box carries them: the box between tells that
// the endpoint closed the connection.
func TestCloseDelimitedAnswerThroughOtherBoxIsWhole(t *testing.T) {
	s := newCarrySite(t, 1)
	resp, q, err := s.do("/close")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.proceed <- struct{}{}
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != "whole" || q.Via == "" {
		t.Errorf("expected the whole answer through another box, got %q, %v, via %q", b, err, q.Via)
	}
}

// Guards against an answer without a length that counts as whole although the box between can't tell.
func TestCloseDelimitedAnswerThroughBoxOfEarlierBuildIsNotWhole(t *testing.T) {
	s := newCarrySite(t, 1)
	s.boxes[0].Config.Handler = connectOnly{s.boxes[0].Config.Handler}
	resp, _, err := s.do("/close")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.proceed <- struct{}{}
	if b, err := io.ReadAll(resp.Body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("expected an answer that is not known to be whole, got %q, %v", b, err)
	}
}

// connectOnly serves tunnels and nothing else, as earlier builds do.
type connectOnly struct{ http.Handler }

func (h connectOnly) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		http.NotFound(w, r)
		return
	}
	h.Handler.ServeHTTP(w, r)
}
