// Package h1 sends HTTP/1.1 requests to endpoints so that each is sent at most once.
//
// It keeps its own connections instead of using net/http's Transport, which sends a
// request again by itself when a kept connection turns out closed, hands a surplus
// answer to the next request on its connection, and does not tell whether bytes left.
// Reading and writing the protocol itself is net/http's.
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
	// dialTimeout bounds making a connection.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent bytes may stay without an acknowledgement.
	userTimeout = 2500 * time.Millisecond
	// idleDefault is how long a connection is kept where the endpoint does not say
	// how long it keeps it.
	idleDefault = 4 * time.Second
	// idlePart is the part of the time an endpoint names for which its connection is
	// kept, so that the request does not cross the endpoint's close.
	idlePart = 0.6
	// maxIdle bounds the connections kept to one address.
	maxIdle = 16
	// maxSurplus bounds the answers to other requests skipped before one's own.
	maxSurplus = 3
	bufferSize = 4 << 10
)

// ErrSurplus means that an endpoint kept sending answers to other requests.
var ErrSurplus = errors.New("the endpoint sent answers to other requests")

// Request is one request to an endpoint.
type Request struct {
	Address string // ip:port
	Method  string
	Target  string // The request target, byte for byte.
	Host    string
	Header  http.Header
	// Body is sent whole with its length; nil sends none.
	Body []byte
	// Endpoint is the ID of the endpoint at Address, for OnAnswer; empty if nobody has to know.
	Endpoint string
	// Mine tells from an answer's head whether it belongs to this request. Nil takes
	// the first answer.
	Mine func(http.Header) bool
}

// Error is a request that got no answer.
type Error struct {
	// Sent is false only if no byte of the request left for the endpoint.
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections to endpoints.
type Pool struct {
	dialer net.Dialer
	// OnDial is called for each new connection; it may be nil.
	OnDial func()
	// OnSurplus is called for each answer that belonged to no request of its
	// connection; it may be nil.
	OnSurplus func()
	// OnAnswer is called with the head of each answer that belongs to its request, whatever becomes of
	// the answer, and when the request was sent; it may be nil and must not block.
	OnAnswer func(r *Request, resp *http.Response, sent time.Time)

	mu   sync.Mutex
	idle map[string][]*conn // The one used last stands last.
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
				// Where it cannot be set, the time-outs of each call still hold.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
		},
	}
	return p
}

// conn is one connection to an endpoint; a single request uses it at a time.
type conn struct {
	net.Conn
	addr string
	r    *bufio.Reader
	// until is when the connection is no longer used, as far as the endpoint said.
	until time.Time
}

// Do sends the request and returns the head of its answer. The caller closes the
// answer's body. Ending ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, r *Request) (*http.Response, error) {
	c, err := p.take(ctx, r.Address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	sent, began := make(chan error, 1), clock.Now()
	p.write(c, r, sent)
	resp, err := c.answer(r, p.surplus)
	if err != nil {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Err: fmt.Errorf("no answer: %w", err)}
	}
	if p.OnAnswer != nil {
		p.OnAnswer(r, resp, began)
	}
	resp.Body = &body{ReadCloser: resp.Body, p: p, c: c, resp: resp, stop: stop, sent: sent}
	return resp, nil
}

// write sends the request without waiting for its end where it is long: an endpoint
// may answer before it has read a long body.
func (p *Pool) write(c *conn, r *Request, sent chan<- error) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if r.Body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = r.Header.Write(&head) // A strings.Builder takes every write.
	head.WriteString("\r\n")
	if head.Len()+len(r.Body) <= bufferSize {
		head.Write(r.Body)
		_, err := c.Write([]byte(head.String()))
		sent <- err
		return
	}
	go func() {
		bufs := net.Buffers{[]byte(head.String()), r.Body}
		_, err := bufs.WriteTo(c.Conn)
		sent <- err
	}()
}

// answer reads heads until one belongs to the request.
func (c *conn) answer(r *Request, surplus func()) (*http.Response, error) {
	of := &http.Request{Method: r.Method}
	for range maxSurplus {
		resp, err := http.ReadResponse(c.r, of)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		surplus()
		if err := resp.Body.Close(); err != nil { // Reads the rest of it.
			return nil, err
		}
	}
	return nil, ErrSurplus
}

func (p *Pool) surplus() {
	if p.OnSurplus != nil {
		p.OnSurplus()
	}
}

// take returns a kept connection that is still whole, or a new one.
func (p *Pool) take(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if clock.Now().Before(c.until) && c.quiet() {
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
	return &conn{Conn: nc, addr: addr, r: bufio.NewReaderSize(nc, bufferSize)}, nil
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

// quiet says that the endpoint has neither closed the idle connection nor sent
// anything on it; bytes that nobody asked for belong to no request.
func (c *conn) quiet() bool {
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

// give keeps a connection whose answer was read to its end.
func (p *Pool) give(c *conn, resp *http.Response) {
	idle := keptFor(resp.Header)
	if resp.Close || idle <= 0 || c.r.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.until = clock.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= maxIdle {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[c.addr] = append(list, c)
}

// keptFor reads how long the endpoint keeps the connection.
func keptFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(v); err == nil {
			return time.Duration(idlePart * float64(n) * float64(time.Second))
		}
	}
	return idleDefault
}

// Prune closes connections whose time is over, and those to addresses not in keep.
func (p *Pool) Prune(now time.Time, keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		left := list[:0]
		for _, c := range list {
			if keep[addr] && now.Before(c.until) {
				left = append(left, c)
				continue
			}
			_ = c.Close()
		}
		if len(left) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = left
	}
}
