package h1

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// This file keeps the end of the process from completing an answer that ends with its connection. The operating system
// closes the connections of a process that exits, crashes or is killed. For such an answer a regular close means that it is
// complete. So while the answer is sent, its connection is set to be reset by any close. Only the server's own close, after
// the handler has returned, is a regular one.

// ServerConn is a caller's connection at the server.
type ServerConn struct {
	*net.TCPConn
	state atomic.Int32
}

// The states of a ServerConn.
const (
	// connOpen connections are closed regularly by whatever closes them.
	connOpen int32 = iota
	// connGuarded connections are reset by whatever closes them. Their answer is not complete.
	connGuarded
	// connAnswered connections are reset by the end of the process, and closed regularly by the server. All of their answer
	// has been handed to the server.
	connAnswered
)

// Listen is net.Listen for a server whose handler is wrapped by GuardEnds and whose ConnContext is ConnContext.
func Listen(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return serverListener{l.(*net.TCPListener)}, nil
}

type serverListener struct{ *net.TCPListener }

func (l serverListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &ServerConn{TCPConn: c}, nil
}

// guard has any close reset the connection.
func (c *ServerConn) guard() {
	if c.SetLinger(0) == nil {
		c.state.Store(connGuarded)
	}
}

// handlerReturned allows the server to close a guarded connection regularly.
func (c *ServerConn) handlerReturned() { c.state.CompareAndSwap(connGuarded, connAnswered) }

// WriteFailed must be called after a failed write, which may have left out a part of the answer.
func (c *ServerConn) WriteFailed() { c.state.CompareAndSwap(connAnswered, connGuarded) }

// allowClose has the next close be a regular one if the answer is complete, and reports whether it is. The operating system
// then delivers what the caller has not read yet, also after the end of the process.
func (c *ServerConn) allowClose() bool {
	if !c.state.CompareAndSwap(connAnswered, connOpen) {
		return false
	}
	_ = c.SetLinger(-1) // If it fails, the caller takes a complete answer for a broken one.
	return true
}

const (
	// closeLinger bounds the wait for the caller to close a connection whose answer is complete.
	closeLinger = 500 * time.Millisecond
	// maxPipelinedBytes bounds what is read meanwhile.
	maxPipelinedBytes = 256 << 10
)

// closeAnswered ends a complete answer. It reads what the caller still sends, such as pipelined requests: the operating
// system resets a connection that is closed with unread bytes, and the end of the answer would be lost.
func (c *ServerConn) closeAnswered() {
	if c.TCPConn.CloseWrite() == nil && c.SetReadDeadline(time.Now().Add(closeLinger)) == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxPipelinedBytes)
	}
}

// Write marks the answer as incomplete if it fails.
func (c *ServerConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.WriteFailed()
	}
	return n, err
}

// CloseWrite ends the answer before the connection is closed.
func (c *ServerConn) CloseWrite() error {
	c.allowClose()
	return c.TCPConn.CloseWrite()
}

// Close resets the connection if its answer is not complete.
func (c *ServerConn) Close() error {
	if c.allowClose() {
		c.closeAnswered()
	}
	return c.TCPConn.Close()
}

// Unwrap returns c. It lets types that embed a ServerConn be found by ConnContext.
func (c *ServerConn) Unwrap() *ServerConn { return c }

type serverConnKey struct{}

// ConnContext is the ConnContext function of a server on a listener of Listen.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok { // A TLS connection.
		c = t.NetConn()
	}
	if s, ok := c.(interface{ Unwrap() *ServerConn }); ok {
		return context.WithValue(ctx, serverConnKey{}, s.Unwrap())
	}
	return ctx
}

func serverConnOf(r *http.Request) *ServerConn {
	c, _ := r.Context().Value(serverConnKey{}).(*ServerConn)
	return c
}

// GuardEnds lets only a handler that returns complete an answer that ends with its connection. After a panic the
// connection is reset, as it is by the end of the process.
func GuardEnds(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := serverConnOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		c.allowClose() // The previous request on this connection has its answer.
		if !r.ProtoAtLeast(1, 1) {
			c.guard() // The server adds no chunks for such a caller.
		}
		next.ServeHTTP(w, r)
		c.handlerReturned()
	})
}
