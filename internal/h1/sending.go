package h1

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/tcpopt"
)

// This file finds out whether an endpoint has taken a whole request. An endpoint may answer before it has read the request, so
// the end of an answer can come while the request is still being written. The operating system reports a reset only once. If
// the write gets that report, the read sees the regular end of the data.

var (
	// ErrRequestLost means that the connection was reset, or timed out, before the endpoint had taken the whole request.
	ErrRequestLost = errors.New("the connection was lost before the endpoint had taken the whole request")
	// ErrRequestUnread means that an endpoint ended its answer, and then took no byte of the rest of the request for
	// takeTimeout.
	ErrRequestUnread = errors.New("the endpoint ended its answer and does not read the rest of the request")
	// ErrEndUnconfirmed means that a connection was closed, and that the endpoint, or the box between, did not confirm that
	// this was the end of the answer.
	ErrEndUnconfirmed = errors.New("the connection was closed, and the endpoint did not confirm that it still runs")
)

const (
	// takeTimeout is how long an endpoint may take no byte of the rest of a request after the end of its answer. The
	// operating system ends the connection of an endpoint that reads nothing after tcpopt.UserTimeout.
	takeTimeout = 2 * time.Second
	// restTimeout bounds sending the rest of a request after the end of its answer.
	restTimeout = 30 * time.Second
	// takePollMin and takePollMax bound the pause between two looks at how much the endpoint has taken.
	takePollMin = time.Millisecond
	takePollMax = 20 * time.Millisecond
)

// sending is the sending of one request.
type sending struct {
	done chan struct{} // Closed once the operating system has accepted the whole request, or has failed to.
	err  error         // Valid once done is closed.
}

func newSending() *sending { return &sending{done: make(chan struct{})} }

func (s *sending) finish(err error) {
	s.err = err
	close(s.done)
}

// wait waits for the result.
func (s *sending) wait() error {
	<-s.done
	return s.err
}

func (s *sending) isDone() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// lost reports whether the connection is gone and some sent bytes were never acknowledged, or whether a peek was told of its
// reset. A reset that follows the regular close of a connection whose requests were taken changes nothing.
func (c *conn) lost() bool {
	if c.peekedReset.Load() {
		return true
	}
	st, err := tcpopt.StatusOf(c.Conn)
	return err == nil && st.Closed && !c.hasTaken(st)
}

// hasTaken reports whether the endpoint's operating system has acknowledged all bytes that were sent on the connection.
func (c *conn) hasTaken(st tcpopt.Status) bool { return st.Acked-c.ackedBefore >= c.sentBytes }

// awaitTaken waits until the endpoint has taken the whole request, for as long as it takes some of it each takeTimeout.
func (c *conn) awaitTaken(ctx context.Context, s *sending) error {
	var acked uint64
	progressAt := time.Now()
	for pause := takePollMin; ; pause = min(2*pause, takePollMax) {
		done := s.isDone()
		st, err := tcpopt.StatusOf(c.Conn)
		switch {
		case done && s.err != nil:
			return fmt.Errorf("%w: %w", ErrRequestLost, s.err)
		case done && (err != nil || c.hasTaken(st)): // Without a status, the result of the write is all that is known.
			return nil
		case err == nil && st.Closed:
			return fmt.Errorf("%w: %w", ErrRequestLost, syscall.ECONNRESET)
		case st.Acked > acked:
			acked, progressAt = st.Acked, time.Now()
		case time.Since(progressAt) > takeTimeout:
			return ErrRequestUnread
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// errNothingSent means that the operating system accepted no byte of a request, because the connection was reset or closed
// before.
var errNothingSent = errors.New("no byte of the request was sent")

// isReset reports whether a write failed because the endpoint reset the connection. The read then sees the end of the data,
// because the operating system reports a reset only once.
func isReset(sendErr error) bool {
	return errors.Is(sendErr, syscall.ECONNRESET) || errors.Is(sendErr, syscall.EPIPE)
}

// send sends the request. An endpoint may respond before it has read the whole body. So send sends a request longer than
// bufferBytes in the background.
func (c *conn) send(r *Request, s *sending) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if r.Body != nil {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	_ = r.Header.Write(&head) // Writes to a strings.Builder never fail.
	head.WriteString("\r\n")
	if head.Len()+len(r.Body) <= bufferBytes {
		head.Write(r.Body)
		n, err := c.Write([]byte(head.String()))
		s.finish(sendError(int64(n), err))
		return
	}
	c.sentBytes += uint64(head.Len()) + uint64(len(r.Body))
	go func() {
		bufs := net.Buffers{[]byte(head.String()), r.Body}
		n, err := bufs.WriteTo(c.Conn)
		s.finish(sendError(n, err))
	}()
}

// sendError returns the error of a write of n bytes. It wraps errNothingSent if the write failed before the first byte.
func sendError(n int64, err error) error {
	if err != nil && n == 0 {
		return fmt.Errorf("%w: %w", errNothingSent, err)
	}
	return err
}

// WaitSent waits until no request is being sent whose answer has ended.
func (p *Pool) WaitSent() { p.rests.Wait() }
