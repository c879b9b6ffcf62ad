package h1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// cappedListener accepts connections on loopback and resets those beyond a cap. It answers each request after a delay.
type cappedListener struct {
	t     *testing.T
	ln    net.Listener
	cap   int
	delay time.Duration
	hold  time.Duration // How long the first connection waits before it is handled, and with it all others.

	mu                               sync.Mutex
	open, mostOpen, resets, requests int
	accepts                          []accepted // In the order of the connections.
}

// accepted is when a connection was accepted or reset.
type accepted struct {
	at    time.Time
	reset bool
}

func newCappedListener(t *testing.T, limit int, delay time.Duration) *cappedListener {
	t.Helper()
	return newSlowListener(t, limit, delay, 0)
}

func newSlowListener(t *testing.T, limit int, delay, hold time.Duration) *cappedListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &cappedListener{t: t, ln: ln, cap: limit, delay: delay, hold: hold}
	go l.accept()
	t.Cleanup(func() { _ = ln.Close() })
	return l
}

func (l *cappedListener) accept() {
	for first := true; ; first = false {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		if first {
			time.Sleep(l.hold)
		}
		l.mu.Lock()
		full := l.open >= l.cap
		if full {
			l.resets++
		} else {
			l.open++
			l.mostOpen = max(l.mostOpen, l.open)
		}
		l.mu.Unlock()
		if full {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		} else {
			go l.serve(c)
		}
		l.mu.Lock()
		l.accepts = append(l.accepts, accepted{time.Now(), full})
		l.mu.Unlock()
	}
}

func (l *cappedListener) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		l.mu.Lock()
		l.open--
		l.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		l.mu.Lock()
		l.requests++
		l.mu.Unlock()
		time.Sleep(l.delay)
		if _, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}

func (l *cappedListener) counts() (requests, resets, mostOpen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests, l.resets, l.mostOpen
}

func (l *cappedListener) request(maxConns int, confirm bool) *Request {
	return &Request{Address: l.ln.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxConns: maxConns, ConfirmOpen: confirm}
}

// callAll makes n calls at the same time and returns their errors.
func callAll(p *Pool, n int, request func() *Request) (failed []error) {
	var wg sync.WaitGroup
	errs := make([]error, n)
	for i := range n {
		wg.Go(func() {
			_, _, errs[i] = p.DoShort(context.Background(), 20*time.Second, request(), 100)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			failed = append(failed, err)
		}
	}
	return failed
}

// Guards against opening more connections to an endpoint than MaxConns. The calls beyond it must wait, not fail.
func TestMaxConns(t *testing.T) {
	l, p := newCappedListener(t, 2, 5*time.Millisecond), NewPool()
	if failed := callAll(p, 24, func() *Request { return l.request(2, false) }); len(failed) > 0 {
		t.Errorf("expected all calls to be answered, got %d errors: %v", len(failed), failed[0])
	}
	if requests, resets, open := l.counts(); requests != 24 || resets > 0 || open > 2 {
		t.Errorf("expected 24 requests on at most 2 connections, got %d on %d, and %d resets", requests, open, resets)
	}
}

// Guards against connections that are never given to a waiting call because the call before closed its connection, or
// could not connect.
func TestMaxConnsAfterFailures(t *testing.T) {
	l, p := newCappedListener(t, 100, 5*time.Millisecond), NewPool()
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Go(func() {
			timeout := time.Minute
			if i%3 == 0 {
				timeout = time.Millisecond // Ends while the call waits, or while the endpoint works.
			}
			if _, _, err := p.DoShort(context.Background(), timeout, l.request(3, false), 100); err != nil && i%3 != 0 {
				t.Errorf("expected a call with time to be answered, got %v", err)
			}
		})
	}
	wg.Wait()
	closed := httptest.NewServer(http.NotFoundHandler())
	address := closed.Listener.Addr().String()
	closed.Close()
	if failed := callAll(p, 10, func() *Request { r := l.request(1, false); r.Address = address; return r }); len(failed) != 10 {
		t.Errorf("expected 10 calls to a closed port to fail, got %d", len(failed))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		t.Errorf("expected no connections to be counted to a closed port, got %+v", h)
	}
	if h := p.hosts[l.ln.Addr().String()]; h != nil && (h.open != len(h.idle) || len(h.waiting) > 0) {
		t.Errorf("expected only idle connections to be counted, got %d of %d, %d waiting", len(h.idle), h.open, len(h.waiting))
	}
}

// Guards against losing a connection when a waiting call is cancelled, and against reporting that such a call was sent.
func TestCancelledWhileWaitingForConnection(t *testing.T) {
	l, p := newCappedListener(t, 1, 50*time.Millisecond), NewPool()
	var wg sync.WaitGroup
	wg.Go(func() { _ = callAll(p, 1, func() *Request { return l.request(1, false) }) })
	time.Sleep(10 * time.Millisecond)
	for range 8 {
		wg.Go(func() {
			_, _, err := p.DoShort(context.Background(), 5*time.Millisecond, l.request(1, false), 100)
			var e *Error
			if !errors.As(err, &e) || e.Sent || !errors.Is(err, ErrConnsBusy) {
				t.Errorf("expected an error for a call that was not sent, got %v", err)
			}
		})
	}
	wg.Wait()
	if failed := callAll(p, 4, func() *Request { return l.request(1, false) }); len(failed) > 0 {
		t.Errorf("expected calls after the cancelled ones to be answered, got %v", failed[0])
	}
}

// expectResets makes calls at the same time to an endpoint that resets connections beyond a cap. It returns how many
// calls were reported as sent although they failed, and as not sent. late is how many connections the endpoint reset more
// than confirmMargin after the client began to connect. Connections are accepted in the order in which they were
// established, so the nth one accepted can't have been established before the nth dial began.
func expectResets(t *testing.T, p *Pool, confirm bool, hold time.Duration) (sent, notSent, late int) {
	t.Helper()
	l := newSlowListener(t, 4, 200*time.Millisecond, hold)
	var mu sync.Mutex
	var dials []time.Time
	p.OnDial = func() {
		mu.Lock()
		defer mu.Unlock()
		dials = append(dials, time.Now())
	}
	for _, err := range callAll(p, 16, func() *Request { return l.request(0, confirm) }) {
		var e *Error
		if !errors.As(err, &e) {
			t.Fatalf("expected an Error, got %v", err)
		}
		if !e.Reset {
			t.Errorf("expected the error to say that the connection was reset, got %v", err)
		}
		if e.Sent {
			sent++
		} else {
			notSent++
		}
	}
	if requests, resets, _ := l.counts(); requests+resets != 16 || resets == 0 {
		t.Errorf("expected 16 connections with some resets, got %d requests and %d resets", requests, resets)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range l.accepts {
		if a.reset && a.at.Sub(dials[i]) > confirmMargin {
			late++
		}
	}
	return sent, notSent, late
}

// An endpoint resets connections beyond its cap. With ConfirmOpen, each of these calls must be reported as not sent, so
// that a call that may run only once can be retried. Without it, the calls are reported as sent, if the endpoint resets the
// connections only after the requests were written. On a busy machine, the endpoint can accept a connection after the time
// for which ConfirmOpen waits. Only as many calls may be reported as sent as there were such connections.
func TestConfirmOpen(t *testing.T) {
	p := NewPool()
	var unconfirmed atomic.Int32
	p.OnUnconfirmed = func() { unconfirmed.Add(1) }
	sent, notSent, late := expectResets(t, p, true, confirmMargin/2)
	if sent > late || int(unconfirmed.Load()) != notSent {
		t.Errorf("expected only unsent calls, got %d sent, %d not sent, %d counted, %d reset late", sent, notSent, unconfirmed.Load(), late)
	}
	if sent, _, _ := expectResets(t, NewPool(), false, 50*time.Millisecond); sent == 0 {
		t.Error("expected calls without ConfirmOpen to be reported as sent; otherwise the test shows nothing")
	}
}

// Guards against a reset that comes later than ConfirmOpen waits, so that a call that may run only once can't be retried.
func TestProbeFindsLateResets(t *testing.T) {
	l, p := newSlowListener(t, 4, 20*time.Millisecond, 10*confirmMargin), NewPool()
	var unconfirmed atomic.Int32
	p.OnUnconfirmed = func() { unconfirmed.Add(1) }
	request := func() *Request {
		r := l.request(0, true)
		r.Probe = true
		return r
	}
	failed := callAll(p, 16, request)
	for _, err := range failed {
		if e, ok := errors.AsType[*Error](err); !ok || e.Sent || !e.Reset {
			t.Errorf("expected a reset of a call that was not sent, got %v", err)
		}
	}
	requests, resets, _ := l.counts()
	if len(failed) == 0 || len(failed) != resets || requests != 2*(16-resets) || int(unconfirmed.Load()) != resets {
		t.Errorf("expected one probe for each call on a new connection, got %d requests, %d resets, %d calls failed", requests, resets, len(failed))
	}
	if failed := callAll(p, 1, request); len(failed) != 0 {
		t.Errorf("expected a call on an open connection, got %v", failed)
	}
	if again, _, _ := l.counts(); again != requests+1 {
		t.Errorf("expected no probe on a connection that has carried a call, got %d requests", again-requests)
	}
}

// A connection that answers the probe and is closed, or does not answer it, carries no call.
func TestProbeWithoutUsableAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"closes": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		"long":   "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 100_000),
		"broken": "nothing\r\n\r\n",
		"silent": "",
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		methods := make(chan string, 2)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			r := bufio.NewReader(c)
			for range 2 {
				req, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				methods <- req.Method
				_, _ = io.WriteString(c, answer)
			}
			close(methods)
		}()
		_, _, err = NewPool().DoShort(context.Background(), 5*time.Second, &Request{
			Address: ln.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, ConfirmOpen: true, Probe: true,
		}, 100)
		if e, ok := errors.AsType[*Error](err); !ok || e.Sent {
			t.Errorf("%s: expected a call that was not sent, got %v", name, err)
		}
		for method := range methods {
			if method != http.MethodOptions {
				t.Errorf("%s: expected only the probe to be sent, got %s", name, method)
			}
		}
	}
}

// Guards against reporting a request as sent although the connection was reset before its first byte was written, in the
// moment after the connection was found to be open.
func TestResetBeforeWrite(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, size := range map[string]int{"short": 10, "long": 2 * bufferBytes} {
		p := NewPool()
		r := &Request{Address: ln.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)}
		c, err := p.acquire(context.Background(), r)
		if err != nil {
			t.Fatal(err)
		}
		other, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = other.(*net.TCPConn).SetLinger(0)
		_ = other.Close()
		waitForReset(t, c)
		_, err = p.exchange(context.Background(), r, c)
		var e *Error
		if !errors.As(err, &e) || e.Sent || !e.Reset {
			t.Errorf("%s: expected a reset of a call that was not sent, got %+v", name, e)
		}
	}
}

// waitForReset waits until the operating system has closed a connection. It does not take the error that the next use of
// the connection returns.
func waitForReset(t *testing.T, c *conn) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	const stateClose = 7 // TCP_CLOSE of Linux.
	for state, end := uint8(0), time.Now().Add(5*time.Second); state != stateClose; time.Sleep(time.Millisecond) {
		_ = raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				state = info.State
			}
		})
		if time.Now().After(end) {
			t.Fatalf("expected the connection to be closed, its state is %d", state)
		}
	}
}

// Guards against a connection that stays limited by the deadline of the confirmation, and against delaying calls on
// reused connections.
func TestConfirmedConnectionIsReused(t *testing.T) {
	l, p, dials := newCappedListener(t, 1, 10*time.Millisecond), NewPool(), 0
	p.OnDial = func() { dials++ }
	for range 3 {
		if _, _, err := p.DoShort(context.Background(), 5*time.Second, l.request(1, true), 100); err != nil {
			t.Fatal(err)
		}
	}
	if dials != 1 {
		t.Errorf("expected one connection, got %d", dials)
	}
}

// Guards against a status that shows no calls waiting at an endpoint whose connections are all in use.
func TestConns(t *testing.T) {
	l, p := newCappedListener(t, 2, 50*time.Millisecond), NewPool()
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			if _, _, err := p.DoShort(context.Background(), 20*time.Second, l.request(1, false), 100); err != nil {
				t.Error(err)
			}
		})
	}
	want := ConnCounts{Open: 1, Waiting: 2}
	for end := time.Now().Add(10 * time.Second); p.Conns()[l.ln.Addr().String()] != want; time.Sleep(time.Millisecond) {
		if requests, _, _ := l.counts(); requests > 1 || time.Now().After(end) {
			t.Fatalf("expected %+v, got %+v", want, p.Conns())
		}
	}
	wg.Wait()
	if got, want := p.Conns()[l.ln.Addr().String()], (ConnCounts{Open: 1, Idle: 1}); got != want {
		t.Errorf("expected %+v, got %+v", want, got)
	}
}

// Guards against a request that waits on a connection of a lost path although it can be sent again, and against the end of one
// that can't.
func TestEndSilent(t *testing.T) {
	l, p := newCappedListener(t, 8, time.Minute), NewPool()
	slow := 0
	p.OnSlow, p.SlowAfter = func(string) { slow++ }, time.Minute
	errs := make(chan error, 4)
	send := func(mayEnd func() bool) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		t.Cleanup(cancel)
		r := l.request(0, false)
		r.EndIfSilent = mayEnd
		go func() {
			_, err := p.Do(ctx, r)
			errs <- err
		}()
	}
	yes := func() bool { return true }
	send(yes)
	send(yes)
	send(yes)
	send(func() bool { return false })
	send(nil)
	for requests := 0; requests < 5; requests, _, _ = l.counts() {
		time.Sleep(time.Millisecond)
	}
	end := func(silentFor time.Duration, lost bool, want int) {
		t.Helper()
		if n := p.EndSilent(silentFor, 2, func(string) bool { return lost }); n != want {
			t.Errorf("expected %d requests to be ended, got %d", want, n)
		}
		for range want {
			if err := <-errs; !errors.Is(err, ErrSilent) {
				t.Errorf("expected %v, got %v", ErrSilent, err)
			}
		}
	}
	end(time.Minute, true, 0)
	end(0, false, 0)
	if slow != 4 {
		t.Errorf("expected the path to be checked for four requests, got %d", slow)
	}
	end(0, true, 2) // The most at once.
	end(0, true, 1)
	end(0, true, 0)
}

// Guards against connections that a box opened for calls with granted slots and keeps after them, so that other boxes find
// the endpoint's connections in use.
func TestExtraConnsAreNotKept(t *testing.T) {
	l, p := newCappedListener(t, 100, 5*time.Millisecond), NewPool()
	request := func() *Request {
		r := l.request(8, false)
		r.ExtraConns = 6
		return r
	}
	if failed := callAll(p, 24, request); len(failed) > 0 {
		t.Errorf("expected all calls to be answered, got %v", failed[0])
	}
	if n := p.Conns()[l.ln.Addr().String()].Open; n > 2 {
		t.Errorf("expected at most 2 connections after the calls, got %d", n)
	}
	if p.MustWait(l.ln.Addr().String(), 2) {
		t.Error("expected an idle connection to be free")
	}
}

// Guards against a call that takes a box for free although it would wait for a connection.
func TestMustWait(t *testing.T) {
	l, p := newCappedListener(t, 100, 50*time.Millisecond), NewPool()
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _ = callAll(p, 1, func() *Request { return l.request(2, false) }) })
	}
	address := l.ln.Addr().String()
	for p.Conns()[address].Open < 2 {
		time.Sleep(time.Millisecond)
	}
	if !p.MustWait(address, 2) || p.MustWait(address, 3) || p.MustWait(address, 0) {
		t.Errorf("expected a wait with 2 connections at most only, got %+v", p.Conns()[address])
	}
	wg.Wait()
}

// Guards against an endpoint that fills the memory of a box with its answer to the probe of a new connection, which has
// 200 ms.
func TestProbeAnswerWithoutEndIsBounded(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	written := make(chan int, 1)
	go func() {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		chunk, n := bytes.Repeat([]byte("A: b\r\n"), 10_000), 0
		_, err = c.Write([]byte("HTTP/1.1 200 OK\r\n"))
		for err == nil && n < 64<<20 {
			var m int
			m, err = c.Write(chunk)
			n += m
		}
		written <- n
	}()
	r := &Request{Address: lis.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ConfirmOpen: true, Probe: true}
	_, err = NewPool().Do(context.Background(), r)
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent || !errors.Is(err, ErrHeadTooLong) {
		t.Errorf("expected the head to be too long and nothing to be sent, got %v", err)
	}
	if n := <-written; n >= 32<<20 {
		t.Errorf("expected the connection to be closed, but %d bytes were read", n)
	}
}
