package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/h1"
)

// stalledWriteTimeout is the time that a caller has to take data after the deadline of a write has passed. The time
// begins again whenever the caller takes data. It is enough to send data that is ready. It is short compared to
// callerWriteTimeout.
const stalledWriteTimeout = 250 * time.Millisecond

// maxStallRetries limits how often one write is retried because its deadline had passed before the write was tried.
const maxStallRetries = 8

// callerListener accepts callers' connections and makes them callerConns. It resets connections for which admit returns
// false, before anything is read on them, so that their callers can try another box at once.
type callerListener struct {
	*net.TCPListener
	admit func() bool
}

// ListenCallers is net.Listen for the connections of callers. A write to such a connection succeeds as long as the
// caller reads. This holds even if the process got no processor time until after the write's deadline. Connections beyond
// what this box can carry are reset unread.
func (r *Relay) ListenCallers(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return callerListener{l.(*net.TCPListener), r.admitCaller}, nil
}

func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &callerConn{ServerConn: &h1.ServerConn{TCPConn: c}}, nil
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// callerConn is a caller's connection. Its writes do not fail because the process got no processor time for a while.
type callerConn struct {
	*h1.ServerConn
	// undelivered is called when a write fails after the request's handler has returned. Only then does the server
	// write the end of an answer, and it reports no error. undelivered is nil while a handler runs.
	undelivered atomic.Pointer[func(error)]
}

// Write fails only if the caller takes no data or closes the connection. The deadline of a write is set before the
// write. The process may get no processor time between the two. If the deadline passes meanwhile, the operating
// system's write fails immediately, although the caller reads. Write then retries it.
func (c *callerConn) Write(b []byte) (int, error) {
	n, err := writeRetryingStalls(c.TCPConn, b)
	if err != nil {
		c.WriteFailed()
		if f := c.undelivered.Swap(nil); f != nil {
			(*f)(err)
		}
	}
	return n, err
}

// deadlineWriter is a writer with a write deadline.
type deadlineWriter interface {
	io.Writer
	SetWriteDeadline(t time.Time) error
}

// writeRetryingStalls writes b. It retries a write whose deadline has passed, as long as the caller takes data. It also
// retries a write, up to maxStallRetries times, if the deadline had passed before the write was tried.
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
		// A write that failed immediately was not tried, because its deadline had passed before.
		if stalls++; time.Since(began) > stalledWriteTimeout/2 || stalls > maxStallRetries {
			return n, err
		}
	}
	return n, err
}

type callerConnKey struct{}

// WithCaller is the ConnContext function of the HTTP server for callers. With it a request can find its connection.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	ctx = h1.ConnContext(ctx, c)
	if c, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, c)
	}
	return ctx
}

// watchUndelivered is called as the request's handler returns. If the end of the answer cannot be written afterwards,
// that failure is recorded.
func (x *exchange) watchUndelivered() {
	c, ok := x.req.Context().Value(callerConnKey{}).(*callerConn)
	if !ok {
		return
	}
	// The callback does not refer to x. The connection may stay idle for long, and must not keep x in memory.
	recorder, id, began := x.r.o.Recorder, x.meta.ID, time.Now()
	report := func(err error) { recorder.Undelivered(id, time.Since(began), err) }
	c.undelivered.Store(&report)
}

// unwatchUndelivered removes the callback that the previous request on the same connection has set.
func (x *exchange) unwatchUndelivered() {
	if c, ok := x.req.Context().Value(callerConnKey{}).(*callerConn); ok {
		c.undelivered.Store(nil)
	}
}
