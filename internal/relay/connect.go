package relay

import (
	"errors"
	"os"
	"syscall"

	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// countConnectFailure counts a connection to an endpoint that could not be established.
func (r *Relay) countConnectFailure(_ string, err error) {
	cause := telemetry.ConnectOther
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = telemetry.ConnectRefused
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		cause = telemetry.ConnectUnanswered
	}
	r.m.ConnectsFailed[cause].Inc()
}

// isTimeout reports whether an error of package net is a timeout.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
