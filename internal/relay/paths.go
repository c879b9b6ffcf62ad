package relay

import (
	"errors"
	"os"
	"syscall"

	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/paths"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// This file connects the relay to package paths, which opens the connections to endpoints.

// Paths returns the dialer of this box's connections to endpoints.
func (r *Relay) Paths() *paths.Dialer { return r.paths }

// usePaths lets a pool open its connections by r.paths.
func (r *Relay) usePaths(p *h1.Pool) {
	p.Dial, p.Usable = r.paths.Dial, r.paths.Usable
	p.OnSlow, p.SlowAfter = r.paths.CheckSlow, r.paths.SlowAfter()
	p.OnDialFailed = r.countConnectFailure
}

// HasEndpointAt reports whether an endpoint is listed at an address.
func (r *Relay) HasEndpointAt(address string) bool { return r.fleet.hasAddress(address) }

// hallOf returns the hall of the endpoint at an address; empty if none is listed there.
func (f *fleet) hallOf(address string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i, listed := f.byAddress[address]; listed {
		return f.endpoints[i].Hall
	}
	return ""
}

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
