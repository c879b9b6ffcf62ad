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
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// dialTimeout bounds establishing a connection.
	dialTimeout = 700 * time.Millisecond
	// tcpUserTimeout is how long sent bytes may remain unacknowledged.
	tcpUserTimeout = 2500 * time.Millisecond
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
)

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
	// Matches receives the headers of a response, and reports whether the response belongs to this request. If Matches
	// is nil, the first response counts as the request's own.
	Matches func(http.Header) bool
}

// Error is the failure of a request that received no response.
type Error struct {
	// Sent is false only if no byte of the request was sent to the endpoint.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Pool is a pool of connections to endpoints.
type Pool struct {
	dialer net.Dialer
	// OnDial is called for each new connection; it may be nil.
	OnDial func()
	// OnSurplus is called for each surplus response. Such a response does not belong to the request that was sent on
	// its connection. OnSurplus may be nil.
	OnSurplus func()
	// OnResponse is called when the headers of a request's own response have arrived, before the body is read. sent is
	// the time at which the request was sent. OnResponse must not block. It may be nil.
	OnResponse func(r *Request, resp *http.Response, sent time.Time)

	mu   sync.Mutex
	idle map[string][]*conn // By address. The most recently used connection is last.
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: map[string][]*conn{}}
	p.dialer = net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: time.Second, Interval: time.Second, Count: 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// If the option cannot be set, the timeouts of each request still apply.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// conn is one connection to an endpoint, used by a single request at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// reuseDeadline is the time after which the connection must not be reused.
	reuseDeadline time.Time
}

// Do sends the request and returns its response as soon as the headers have arrived. The caller must close the response
// body. Cancelling ctx closes the connection, even while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*http.Response, error) {
	c, err := p.acquire(ctx, r.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sendResult, sentAt := make(chan error, 1), clock.Now()
	p.write(c, r, sendResult)
	resp, err := c.readResponse(r, p.reportSurplus)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: fmt.Errorf("no answer: %w", err)}
	}
	if p.OnResponse != nil {
		p.OnResponse(r, resp, sentAt)
	}
	resp.Body = &body{ReadCloser: resp.Body, p: p, c: c, resp: resp, cancelClose: stop, sendResult: sendResult}
	return resp, nil
}

// write sends the request. An endpoint may respond before it has read the whole body. So write sends a request longer
// than bufferBytes in the background.
func (p *Pool) write(c *conn, r *Request, sendResult chan<- error) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if r.Body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = r.Header.Write(&head) // Writes to a strings.Builder never fail.
	head.WriteString("\r\n")
	if head.Len()+len(r.Body) <= bufferBytes {
		head.Write(r.Body)
		_, err := c.Write([]byte(head.String()))
		sendResult <- err
		return
	}
	go func() {
		bufs := net.Buffers{[]byte(head.String()), r.Body}
		_, err := bufs.WriteTo(c.Conn)
		sendResult <- err
	}()
}

// readResponse reads responses until one response belongs to the request. It skips informational (1xx) responses.
func (c *conn) readResponse(r *Request, surplus func()) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxSurplusResponses {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(resp.Header) {
			return resp, nil
		}
		surplus()
		if err := resp.Body.Close(); err != nil { // Discards the rest of the body.
			return nil, err
		}
	}
	return nil, ErrSurplus
}

func (p *Pool) reportSurplus() {
	if p.OnSurplus != nil {
		p.OnSurplus()
	}
}

// acquire returns an idle connection that can still be used, or opens a new one.
func (p *Pool) acquire(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if clock.Now().Before(c.reuseDeadline) && c.isQuiet() {
			return c, nil
		}
		_ = c.Close()
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, bufferBytes)}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
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
		return true
	})
	return err == nil && quiet
}

// release puts a connection back into the pool after its response was read to its end. If the connection cannot be used
// again, release closes it.
func (p *Pool) release(c *conn, resp *http.Response) {
	idle := idleTimeout(resp.Header)
	if resp.Close || idle <= 0 || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.reuseDeadline = clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.addr] = append(list, c)
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

// Prune closes idle connections that are too old to be used. It also closes idle connections to addresses that are not
// in keep.
func (p *Pool) Prune(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if keep[addr] && now.Before(c.reuseDeadline) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = remaining
	}
}
