// Package h1 sends HTTP/1.1 requests to endpoints (back ends) so that each request is sent at most once.
//
// It has its own connection pool, because net/http's Transport does three things that must not happen here. First,
// Transport resends a request when a reused connection turns out to be closed. Second, an endpoint may send one
// response too many. Transport takes that response as the answer to the next request on the connection. Third,
// Transport does not report whether bytes were sent. Messages are still parsed and formatted by net/http.
package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/tcpopt"
)

const (
	// dialTimeout bounds establishing a connection, unless the pool's user dials itself (Pool.Dial).
	dialTimeout = 700 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint announces no keep-alive time.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is a fraction of the keep-alive time that the endpoint announced. After that fraction an idle
	// connection is no longer used. So no request is sent while the endpoint closes the connection.
	idleTimeoutFraction = 0.6
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 16
	// maxSurplusResponses bounds how many responses are read until one belongs to the request.
	maxSurplusResponses = 3
	bufferBytes         = 4 << 10
	// maxSurplusBytes bounds the body of a response that is thrown away.
	maxSurplusBytes = 256 << 10
)

// ErrHeadTooLong means that an endpoint sent too much without the end of a response's head, or maxSurplusBytes without the end
// of a surplus response.
var ErrHeadTooLong = httphead.ErrTooLong

// ErrSurplus means that an endpoint sent maxSurplusResponses responses and none belonged to the request.
var ErrSurplus = errors.New("the endpoint sent answers to other requests")

// Request is one request to an endpoint.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // The path and query in the request line, byte for byte.
	Host    string
	Header  http.Header
	// Body is sent whole, with a Content-Length. If Body is nil, no body is sent.
	Body []byte
	// Endpoint is the ID of the endpoint at Address, for use in OnResponse. It may be empty.
	Endpoint string
	// MaxConns bounds the connections of the pool to Address; 0 means no bound. If there are as many, the request waits
	// until a connection comes free.
	MaxConns int
	// ExtraConns of the MaxConns connections are not kept for later requests. Each of them is closed when it comes free,
	// unless a request waits for it.
	ExtraConns int
	// ConfirmOpen delays the first byte on a new connection, by the time that connecting took plus confirmMargin. An
	// endpoint that has too many connections accepts a new one and resets it immediately. If the connection was reset
	// or closed by the end of the delay, Do returns an Error that wraps ErrUnconfirmed, with Sent = false. A reset that
	// arrives after the request was written is reported with Sent = true. The number of acknowledged bytes can't show that
	// the endpoint has not read the request: the endpoint's operating system acknowledges bytes before the process accepts
	// the connection, and an acknowledgement of bytes that the process has read can be lost.
	ConfirmOpen bool
	// Probe sends an OPTIONS * request first on a new connection, in place of the delay of ConfirmOpen, and sends the
	// request only once the endpoint's process has answered. A connection that the endpoint resets before, however late,
	// is reported as with ConfirmOpen. Probe has no effect without ConfirmOpen.
	Probe bool
	// StillAllowed is called before the first byte is sent if the request waited for a connection or opened one. If it
	// returns false, Do returns ErrNotAllowed with Sent = false. It may change Header. If StillAllowed is nil, the request
	// is sent.
	StillAllowed func() bool
	// Begin is called just before the first byte is sent, after StillAllowed. If it returns false, Do returns ErrNotAllowed
	// with Sent = false. It may be nil.
	Begin func() bool
	// Matches receives the headers of a response, and reports whether the response belongs to this request. If Matches
	// is nil, the first response counts as the request's own.
	Matches func(http.Header) bool
	// Direct means that no other box may carry the request's connection.
	Direct bool
	// EndIfSilent reports whether the request should be ended now if the direct path to the endpoint is lost, so that it
	// can be sent again. It is called by Pool.EndSilent. If it is nil, the request goes on.
	EndIfSilent func() bool
	// KeepBody is called if the rest of Body is still to be sent when the whole response has been read and closed. If it
	// returns false, the connection is closed instead. release is called once Body is not used any more. If KeepBody is nil,
	// the rest is sent.
	KeepBody func() (release func(), ok bool)
	// Via is set by Do: the box that carried the request's connection. It is empty for a direct connection.
	Via string
	// ConnWait is set by Do: how long the request waited because Address had MaxConns connections.
	ConnWait time.Duration
	// ConnAnswered is set by Do: when the endpoint first answered a request on the connection. The process that answered then
	// still answers, because a connection ends with its process.
	ConnAnswered time.Time
}

// keepConns returns how many connections to the address are kept for later requests, or a negative number if there is no
// bound.
func (r *Request) keepConns() int {
	if r.MaxConns == 0 {
		return -1
	}
	return max(0, r.MaxConns-r.ExtraConns)
}

// Error is the failure of a request that received no response.
type Error struct {
	// Sent is false only if no byte of the request was sent to the endpoint.
	Sent bool
	// Reset is set if the endpoint reset a new connection before it had sent the header of a response. An endpoint that
	// has too many connections does so, and also one that crashes.
	Reset bool
	// SentAt is when the request was sent, after connecting and the delay of ConfirmOpen. It is zero if nothing was sent.
	SentAt time.Time
	Err    error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Pool is a pool of connections to endpoints. Its exported fields must be set before its first request.
type Pool struct {
	// Dial opens a connection. via is the box that carries the connection, or empty for a direct one.
	Dial func(ctx context.Context, addr string) (c net.Conn, via string, err error)
	// DialDirect opens a direct connection, for requests with Direct. If it is nil, Dial opens only direct connections.
	DialDirect func(ctx context.Context, addr string) (net.Conn, error)
	// Usable reports whether an idle connection may be used for another request; nil if all may.
	Usable func(addr, via string) bool
	// EndCheck is called when the head of a response without a length has arrived. When the connection was closed, the
	// returned function reports whether this was the end of the response, and not that of the endpoint. EndCheck may be nil.
	EndCheck func(addr string) func(ctx context.Context) bool
	// OnEndRejected is called when the end of the connection of a response without a length was not the end of the
	// response. It must not block. It may be nil.
	OnEndRejected func(cause EndCause)
	// OnConnLost is called when a direct connection that had carried a request was reset before the next request got an
	// answer. It must not block. It may be nil.
	OnConnLost func(addr string)
	// OnSlow is called when an endpoint has left a request unanswered for SlowAfter on a direct connection, or until the
	// request's deadline, and by EndSilent. It must not block. It may be nil.
	OnSlow    func(addr string)
	SlowAfter time.Duration
	// OnDial is called for each new connection; it may be nil.
	OnDial func()
	// OnConnected is called when a direct connection is established, with the time that this took. It may be nil.
	OnConnected func(addr string, took time.Duration)
	// OnDialFailed is called for each connection that could not be established, unless its request was cancelled. It may
	// be nil.
	OnDialFailed func(addr string, err error)
	// OnSurplus is called for each surplus response. Such a response does not belong to the request that was sent on
	// its connection. OnSurplus may be nil.
	OnSurplus func()
	// OnMalformed is called for each response that was malformed or too long to be one (httphead.IsMalformed). It must not block. It may
	// be nil.
	OnMalformed func(r *Request, err error)
	// OnResponse is called when the headers of a request's own response have arrived, before the body is read. sent is
	// the time at which the request was sent. OnResponse must not block. It may be nil.
	OnResponse func(r *Request, resp *http.Response, sent time.Time)

	// OnUnconfirmed is called for each connection that failed the check of ConfirmOpen; it may be nil.
	OnUnconfirmed func()

	rests sync.WaitGroup // The requests whose rest is still sent after their answer.

	mu    sync.Mutex
	hosts map[string]*host // By address. A host without connections and waiting requests has no entry.
}

// host has the connections to one address.
type host struct {
	idle []*conn // The most recently used connection is last.
	// open counts the connections, including idle ones and those that are being established.
	open int
	// waiting are the requests that wait for a connection, the oldest first.
	waiting []*waiter
	// endable are the direct connections in use by requests that EndSilent may end.
	endable map[*conn]func() bool
}

// waiter is a request that waits because its host has MaxConns connections.
type waiter struct {
	max int
	// ready receives one value: an idle connection, or nil. nil means that the request may open a connection, which is
	// counted in open already.
	ready chan *conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	dialer := tcpopt.Dialer(dialTimeout)
	return &Pool{hosts: map[string]*host{}, Dial: func(ctx context.Context, addr string) (net.Conn, string, error) {
		c, err := dialer.DialContext(ctx, "tcp", addr)
		return c, "", err
	}}
}

// conn is one connection to an endpoint, used by a single request at a time.
type conn struct {
	net.Conn
	addr string
	via  string // The box that carries the connection; empty for a direct one.
	r    *bufio.Reader
	// reuseDeadline is the time after which the connection must not be reused.
	reuseDeadline time.Time
	// dialTime is how long connecting took. fresh is set until the connection has carried a request.
	dialTime time.Duration
	fresh    bool
	awaited  bool // The request that uses the connection waited for it.
	// keep is how many connections to the address are kept for later requests; negative if there is no bound.
	keep int
	// answeredAt is when the first answer arrived; zero before that.
	answeredAt time.Time
	// heardAt is when bytes last arrived or a request was sent, in nanoseconds since 1970.
	heardAt atomic.Int64
	// ended is set once EndSilent has closed the connection.
	ended atomic.Bool
	heads httphead.Reader // What r reads through.
	// sentBytes is the number of bytes of all requests on the connection, and ackedBefore that of the bytes that were
	// acknowledged before the first of them.
	sentBytes, ackedBefore uint64
	// peekedReset is set once isQuiet was told that the connection was reset.
	peekedReset atomic.Bool
}

// Write writes to the connection.
func (c *conn) Write(b []byte) (int, error) {
	c.sentBytes += uint64(len(b))
	return c.Conn.Write(b)
}

// Read reads from the connection.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heardAt.Store(clock.Now().UnixNano())
	}
	if (errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)) && c.lost() {
		err = fmt.Errorf("%w: %w", ErrRequestLost, syscall.ECONNRESET)
	}
	if err != nil && c.ended.Load() {
		err = ErrSilent
	}
	return n, err
}

// Do sends the request and returns its response as soon as the headers have arrived. The caller must close the response
// body. Cancelling ctx closes the connection, even while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*http.Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		reset := ctx.Err() == nil && errors.Is(err, syscall.ECONNRESET)
		if reset && r.ConfirmOpen {
			p.reportUnconfirmed()
		}
		return nil, &Error{Reset: reset, Err: err}
	}
	return p.exchange(ctx, r, c)
}

// exchange sends the request on a connection and returns its response.
func (p *Pool) exchange(ctx context.Context, r *Request, c *conn) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	r.Via = c.via
	fresh := c.fresh
	if fresh && r.ConfirmOpen {
		if err := c.checkOpen(r); err != nil {
			stop()
			p.discard(c)
			if ctx.Err() != nil {
				return nil, &Error{Err: ctx.Err()}
			}
			p.reportUnconfirmed()
			reset := !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errProbeClosed)
			return nil, &Error{Reset: reset, Err: fmt.Errorf("%w: %w", ErrUnconfirmed, err)}
		}
	}
	waited := fresh || c.awaited
	c.fresh, c.awaited = false, false
	if !r.mayBegin(waited) {
		stop()
		p.discard(c)
		return nil, &Error{Err: ErrNotAllowed}
	}
	sending, sentAt := newSending(), clock.Now()
	c.heardAt.Store(sentAt.UnixNano())
	p.setEndable(c, r.EndIfSilent)
	c.send(r, sending)
	answered := p.watchSlow(ctx, c)
	resp, err := c.readResponse(r, p.reportSurplus)
	answered()
	if err != nil {
		stop()
		p.discard(c)
		sendErr := sending.wait() // The write has ended, because the connection is closed.
		reset := fresh && (errors.Is(err, syscall.ECONNRESET) || isReset(sendErr))
		if !fresh && c.via == "" && ctx.Err() == nil && p.OnConnLost != nil && (errors.Is(err, syscall.ECONNRESET) || isReset(sendErr)) {
			p.OnConnLost(c.addr)
		}
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		sent := !errors.Is(sendErr, errNothingSent)
		if !sent && reset && r.ConfirmOpen {
			p.reportUnconfirmed()
		}
		if p.OnMalformed != nil && httphead.IsMalformed(err) {
			p.OnMalformed(r, err)
		}
		failed := &Error{Sent: sent, Reset: reset, Err: fmt.Errorf("no answer: %w", err)}
		if sent {
			failed.SentAt = sentAt
		}
		return nil, failed
	}
	if c.answeredAt.IsZero() {
		c.answeredAt = clock.Now()
	}
	r.ConnAnswered = c.answeredAt
	if p.OnResponse != nil {
		p.OnResponse(r, resp, sentAt)
	}
	if FramingOf(resp) == CloseDelimited {
		resp.Body = &closeDelimited{ReadCloser: resp.Body, checkEnd: p.endCheck(ctx, c, sending), rejected: p.reportRejectedEnd}
	}
	resp.Body = &body{ReadCloser: resp.Body, p: p, c: c, resp: resp, cancelClose: stop, sending: sending, keepBody: r.KeepBody}
	return resp, nil
}

func (p *Pool) reportUnconfirmed() {
	if p.OnUnconfirmed != nil {
		p.OnUnconfirmed()
	}
}

// readHead reads the head of a response, informational ones too.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	return c.heads.ReadHead(c.r, req, httphead.MaxBytes)
}

// readFinalHead reads the head of a response. It skips informational (1xx) responses before it.
func (c *conn) readFinalHead(req *http.Request) (*http.Response, error) {
	for range httphead.MaxInterim + 1 {
		resp, err := c.readHead(req)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d informational responses", ErrHeadTooLong, httphead.MaxInterim)
}

// readResponse reads responses until one response belongs to the request.
func (c *conn) readResponse(r *Request, surplus func()) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSurplusResponses {
		resp, err := c.readFinalHead(req)
		if err != nil {
			return nil, err
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, nil
		}
		surplus()
		c.heads.Bound(maxSurplusBytes)
		if err := resp.Body.Close(); err != nil { // Discards the rest of the body.
			return nil, c.heads.BoundError(err)
		}
	}
	return nil, ErrSurplus
}

func (p *Pool) reportSurplus() {
	if p.OnSurplus != nil {
		p.OnSurplus()
	}
}

// acquire returns an idle connection that can still be used, or opens a new one. If the address has MaxConns
// connections, it first waits until one comes free.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, w := p.take(r)
		if w != nil {
			var err error
			began := clock.Now()
			c, err = p.await(ctx, r.Address, w)
			r.ConnWait += clock.Since(began)
			if err != nil {
				return nil, err
			}
			if c != nil {
				c.awaited = true
			}
		}
		if c == nil {
			return p.open(ctx, r)
		}
		if clock.Now().Before(c.reuseDeadline) && p.usable(c) && c.isQuiet() {
			c.keep = r.keepConns()
			return c, nil
		}
		p.discard(c)
	}
}

func (p *Pool) usable(c *conn) bool { return p.Usable == nil || p.Usable(c.addr, c.via) }

// take returns an idle connection, or a waiter if the address has MaxConns connections. If it returns neither, the
// request may open a connection, which is counted already.
func (p *Pool) take(r *Request) (*conn, *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[r.Address]
	if h == nil {
		h = &host{}
		p.hosts[r.Address] = h
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; c.via == "" || !r.Direct {
			h.idle = slices.Delete(h.idle, i, i+1)
			return c, nil
		}
	}
	if r.MaxConns > 0 && h.open >= r.MaxConns {
		w := &waiter{max: r.MaxConns, ready: make(chan *conn, 1)}
		h.waiting = append(h.waiting, w)
		return nil, w
	}
	h.open++
	return nil, nil
}

// await waits for the value of a waiter.
func (p *Pool) await(ctx context.Context, addr string, w *waiter) (*conn, error) {
	select {
	case c := <-w.ready:
		return c, nil
	case <-ctx.Done():
	}
	err := fmt.Errorf("%w: %w", ErrConnsBusy, ctx.Err())
	p.mu.Lock()
	h := p.hosts[addr]
	if i := slices.Index(h.waiting, w); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
		p.mu.Unlock()
		return nil, err
	}
	p.mu.Unlock()
	// The value was sent meanwhile. It belongs to the next request.
	if c := <-w.ready; c != nil {
		p.discard(c)
	} else {
		p.closed(addr)
	}
	return nil, err
}

// open establishes a connection that is counted already.
func (p *Pool) open(ctx context.Context, r *Request) (*conn, error) {
	addr := r.Address
	if p.OnDial != nil {
		p.OnDial()
	}
	began := time.Now()
	nc, via, err := p.dial(ctx, r)
	if err != nil {
		p.closed(addr)
		if p.OnDialFailed != nil && !errors.Is(ctx.Err(), context.Canceled) {
			p.OnDialFailed(addr, err)
		}
		return nil, err
	}
	c := &conn{Conn: nc, addr: addr, via: via, dialTime: time.Since(began), fresh: true, keep: r.keepConns()}
	if st, err := tcpopt.StatusOf(nc); err == nil {
		c.ackedBefore = st.Acked
	}
	if via == "" && p.OnConnected != nil {
		p.OnConnected(addr, c.dialTime)
	}
	c.heads.Src = c
	c.r = bufio.NewReaderSize(&c.heads, bufferBytes)
	return c, nil
}

func (p *Pool) dial(ctx context.Context, r *Request) (c net.Conn, via string, err error) {
	if r.Direct && p.DialDirect != nil {
		c, err = p.DialDirect(ctx, r.Address)
		return c, "", err
	}
	return p.Dial(ctx, r.Address)
}

// discard closes a connection. It is called once for each connection.
func (p *Pool) discard(c *conn) {
	_ = c.Close()
	p.setEndable(c, nil)
	p.closed(c.addr)
}

// closed records that a connection to an address was closed or could not be established. If a request waits, that
// request may now open a connection.
func (p *Pool) closed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	h.open--
	if len(h.waiting) > 0 && h.open < h.waiting[0].max {
		w := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.open++
		w.ready <- nil
	}
	p.forgetUnused(addr, h)
}

// forgetUnused removes the entry of an address without connections and waiting requests. p.mu is held.
func (p *Pool) forgetUnused(addr string, h *host) {
	if h.open == 0 && len(h.waiting) == 0 {
		delete(p.hosts, addr)
	}
}

// isQuiet reports whether the endpoint has left the idle connection open and has sent nothing on it. Bytes on an idle
// connection belong to no request.
func (c *conn) isQuiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		if errors.Is(err, syscall.ECONNRESET) {
			c.peekedReset.Store(true)
		}
		return true
	})
	return err == nil && quiet
}

// release puts a connection back into the pool after its response was read to its end, or passes it to a request that
// waits. If the connection cannot be used again, release closes it.
func (p *Pool) release(c *conn, resp *http.Response) {
	idle := idleTimeout(resp.Header)
	if resp.Close || idle <= 0 || c.r.Buffered() > 0 || !p.usable(c) {
		p.discard(c)
		return
	}
	c.reuseDeadline = clock.Now().Add(idle)
	p.setEndable(c, nil)
	if surplus := p.putIdle(c); surplus != nil {
		p.discard(surplus)
	}
}

// putIdle passes a connection to a request that waits, or adds it to the idle connections. It returns a connection that
// must be closed because there are too many connections, if any.
func (p *Pool) putIdle(c *conn) (surplus *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.addr]
	if len(h.waiting) > 0 {
		h.waiting[0].ready <- c
		h.waiting = h.waiting[1:]
		return nil
	}
	if c.keep >= 0 && h.open > c.keep {
		return c
	}
	if len(h.idle) >= maxIdlePerAddress {
		surplus = h.idle[0]
		h.idle = h.idle[1:]
	}
	h.idle = append(h.idle, c)
	return surplus
}

// idleTimeout returns how long the connection may be kept idle after a response with these headers.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(idleTimeoutFraction * float64(n) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// ConnCounts counts the connections of a pool to one address. Open includes idle connections and those that are being
// established. Waiting is the number of requests that wait for a connection.
type ConnCounts struct{ Open, Idle, Waiting int }

// MustWait reports whether a request with so many MaxConns would have to wait for a connection now.
func (p *Pool) MustWait(addr string, maxConns int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	return maxConns > 0 && h != nil && len(h.idle) == 0 && h.open >= maxConns
}

// Conns returns the connections by address. Addresses without connections and waiting requests are left out.
func (p *Pool) Conns() map[string]ConnCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]ConnCounts, len(p.hosts))
	for addr, h := range p.hosts {
		out[addr] = ConnCounts{Open: h.open, Idle: len(h.idle), Waiting: len(h.waiting)}
	}
	return out
}

// HasAnsweredBefore reports whether the process that answered a request before the time t still runs, as an idle connection
// shows that the endpoint has left open since. If it returns false, nothing is known.
func (p *Pool) HasAnsweredBefore(addr string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	return h != nil && slices.ContainsFunc(h.idle, func(c *conn) bool { return c.answeredAt.Before(t) && c.isQuiet() })
}

// CloseUnusable closes the idle connections that Usable rejects, or that are too old to be used.
func (p *Pool) CloseUnusable() { p.closeIdle(clock.Now(), func(string) bool { return true }) }

// Prune closes the idle connections of CloseUnusable, and those to addresses that are not in keep.
func (p *Pool) Prune(now time.Time, keep map[string]bool) {
	p.closeIdle(now, func(addr string) bool { return keep[addr] })
}

func (p *Pool) closeIdle(now time.Time, keep func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
			if keep(addr) && now.Before(c.reuseDeadline) && p.usable(c) {
				return false
			}
			_ = c.Close()
			h.open-- // No request waits while a connection is idle.
			return true
		})
		p.forgetUnused(addr, h)
	}
}
