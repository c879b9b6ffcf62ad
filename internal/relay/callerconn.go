package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// stalledWriteTimeout is how long a write may take whose deadline is over, for each piece that the caller takes: time
// enough for what lies ready to leave, and short beside readerLimit.
const stalledWriteTimeout = 250 * time.Millisecond

// mostStalls bounds how often one write is tried again whose deadline had passed before it was tried.
const mostStalls = 8

// callerListener accepts callers' connections.
type callerListener struct{ *net.TCPListener }

// ListenCallers is net.Listen for callers on a TCP network: what is written to them is written on as long
// as they read.
func ListenCallers(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return callerListener{l.(*net.TCPListener)}, nil
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &callerConn{TCPConn: c}, nil
}

// callerConn is a caller's connection.
type callerConn struct {
	*net.TCPConn
	// undelivered is called when a write fails after the handler of the request has returned: the server
	// writes the end of an answer then, and says nothing of its failure. Nil while a handler runs.
	undelivered atomic.Pointer[func(error)]
}

// Write gives up only a caller that takes nothing. Deadlines are set before a write, and this process may
// have had no processor until after them: the write then fails at once, though the caller reads.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := writeRetryingStalls(c.TCPConn, b)
	if err != nil {
		if f := c.undelivered.Swap(nil); f != nil {
			(*f)(err)
		}
	}
	return n, err
}

// deadlineWriter is a connection that can be written to for a time.
type deadlineWriter interface {
	io.Writer
	SetWriteDeadline(t time.Time) error
}

func writeRetryingStalls(c deadlineWriter, b []byte) (int, error) {
	n, err := c.Write(b)
	for stalls := 0; errors.Is(err, os.ErrDeadlineExceeded); {
		if err := c.SetWriteDeadline(time.Now().Add(stalledWriteTimeout)); err != nil {
			return n, err
		}
		began := time.Now()
		var more int
		more, err = c.Write(b[n:])
		n += more
		if more > 0 {
			continue
		}
		// A write that fails at once was not tried: its deadline passed before it began.
		if stalls++; time.Since(began) > stalledWriteTimeout/2 || stalls > mostStalls {
			return n, err
		}
	}
	return n, err
}

type callerConnKey struct{}

// WithCaller is the ConnContext of a server of callers: requests find their connection by it.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// watchUndelivered reports if the end of the answer cannot be written. It is called as the handler returns.
func (x *exchange) watchUndelivered() {
	c, ok := x.req.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	// The connection may rest for long: it must not keep the whole request.
	book, id, began := x.r.o.Book, x.meta.ID, time.Now()
	report := func(err error) { book.Undelivered(id, time.Since(began), err) }
	c.undelivered.Store(&report)
}

// unwatchUndelivered ends the watch of the request before on the same connection.
func (x *exchange) unwatchUndelivered() {
	if c, ok := x.req.Context().Value(callerConnKey{}).(*callerConn); ok {
		c.undelivered.Store(nil)
	}
}
