package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/tcpopt"
)

// dialFunc opens a connection, like net.Dialer.DialContext.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// CheckedDial wraps the dial function of an http.Transport. A connection then ends regularly only if the endpoint has taken the
// requests that were sent on it. The requests need the context of TraceSending.
func CheckedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c, closed: make(chan struct{})}, nil
	}
}

// TraceSending returns a context for a request on a connection of CheckedDial. The end of the connection then waits until the
// request was sent.
func TraceSending(ctx context.Context) context.Context {
	var mu sync.Mutex
	var s *sending // The sending on the latest connection of the request.
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			mu.Lock()
			defer mu.Unlock()
			if c := checkedConnOf(info.Conn); c != nil {
				s = newSending()
				c.current.Store(s)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			mu.Lock()
			defer mu.Unlock()
			if s != nil && !s.isDone() {
				s.finish(info.Err)
			}
		},
	})
}

// checkedConn is a connection of CheckedDial.
type checkedConn struct {
	net.Conn
	sent    atomic.Uint64 // The bytes of all writes that were begun.
	current atomic.Pointer[sending]
	closed  chan struct{}
	once    sync.Once
}

// checkedConnOf returns the checkedConn that a connection wraps, or nil.
func checkedConnOf(c net.Conn) *checkedConn {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	checked, _ := c.(*checkedConn)
	return checked
}

func (c *checkedConn) Write(b []byte) (int, error) {
	c.sent.Add(uint64(len(b)))
	return c.Conn.Write(b)
}

func (c *checkedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func (c *checkedConn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	// A Transport closes the connection as soon as its write has failed.
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		if lost := c.awaitTaken(); lost != nil {
			err = lost
		}
	}
	return n, err
}

// awaitTaken waits until the endpoint has taken the request that is being sent. A caller may send it slowly, so only bytes that
// the endpoint does not take for takeTimeout end the wait, or the close of the connection.
func (c *checkedConn) awaitTaken() error {
	var acked uint64
	progressAt := time.Now()
	for pause := takePollMin; ; pause = min(2*pause, takePollMax) {
		closed := c.isClosed() // Read first: a failed sending has its result before the Transport closes the connection.
		s := c.current.Load()
		done, sent := s == nil || s.isDone(), c.sent.Load()
		st, err := tcpopt.StatusOf(c.Conn)
		switch {
		case done && s != nil && s.err != nil:
			return fmt.Errorf("%w: %w", ErrRequestLost, s.err)
		case closed:
			return net.ErrClosed
		case err != nil && c.isClosed():
			continue // It was closed meanwhile.
		case err != nil:
			return nil // It is no connection of TCP.
		case st.Closed && (!done || st.Acked < sent):
			return fmt.Errorf("%w: %w", ErrRequestLost, syscall.ECONNRESET)
		case done && st.Acked >= sent, st.Closed:
			return nil
		case st.Acked > acked || st.Acked >= sent:
			acked, progressAt = st.Acked, time.Now()
		case time.Since(progressAt) > takeTimeout:
			return ErrRequestUnread
		}
		select {
		case <-time.After(pause):
		case <-c.closed:
		}
	}
}
