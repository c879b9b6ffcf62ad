// Package tunnel carries a TCP connection through another process, by the CONNECT method of HTTP/1.1. A box uses it to
// reach an endpoint through another box, or through the HTTP proxy of its site.
//
// A tunnel carries bytes and decides nothing: the box that opens it sends the request, and all limits, retries and
// records stay with that box. A tunnel ends at the endpoint. It never goes through a second box.
package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// causeHeader says why the server did not open a tunnel.
const causeHeader = "X-Tunnel-Cause"

// Cause is why a server did not open a tunnel.
type Cause string

// The causes. Refused and Unanswered are results of the server's own connect: the endpoint's machine refused the
// connection, or did not answer in time. They are evidence about the endpoint. The other causes concern only the server.
const (
	Refused    Cause = "refused"
	Unanswered Cause = "unanswered"
	// NoPath means that the server has no path to the endpoint either, and did not try to connect.
	NoPath Cause = "no_path"
	// Busy means that the server carries as many tunnels as it may, and Stopping that it stops.
	Busy     Cause = "busy"
	Stopping Cause = "stopping"
	// Unlisted means that the server's list of endpoints lacks the address.
	Unlisted Cause = "unlisted"
	// Unauthorized means that the caller's key is not that of the server.
	Unauthorized Cause = "unauthorized"
	// Failed stands for all other errors, such as a server that does not know tunnels or can't be reached.
	Failed Cause = "failed"
)

// statuses are the HTTP statuses of the causes that a server states.
var statuses = map[Cause]int{
	Refused: http.StatusBadGateway, Unanswered: http.StatusGatewayTimeout, NoPath: http.StatusBadGateway,
	Busy: http.StatusServiceUnavailable, Stopping: http.StatusServiceUnavailable,
	Unlisted: http.StatusForbidden, Unauthorized: http.StatusProxyAuthRequired,
}

// AboutEndpoint reports whether the cause is the result of a connect to the endpoint.
func (c Cause) AboutEndpoint() bool { return c == Refused || c == Unanswered }

// Error means that no tunnel was opened. No byte was sent to the endpoint.
type Error struct {
	Cause Cause
	Err   error
}

func (e *Error) Error() string { return fmt.Sprintf("tunnel not opened (%s): %v", e.Cause, e.Err) }
func (e *Error) Unwrap() error { return e.Err }

// CauseOf returns the cause of an error of Open.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}
	return Failed
}

// ConnectCause returns the cause that the error of a TCP connect stands for: Refused, Unanswered or Failed.
func ConnectCause(err error) Cause {
	var t interface{ Timeout() bool }
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded), errors.As(err, &t) && t.Timeout():
		return Unanswered
	}
	return Failed
}

// answerTimeout bounds reading the answer to a CONNECT. It is longer than serverDialTimeout.
const answerTimeout = 600 * time.Millisecond
