package relay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/paths"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/telemetry"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// This file connects the relay to package paths, which opens the connections to endpoints.

// makePaths creates the dialer of this box's connections to endpoints.
func (r *Relay) makePaths() {
	r.paths = paths.New(paths.Options{
		Hall: r.o.Hall, Peers: r.o.TunnelPeers, Proxy: r.o.EndpointProxy, HallOf: r.fleet.hallOf, ServiceOf: r.fleet.serviceAt,
		OnChange: r.logPathChange, OnTunnel: func(cause tunnel.Cause) { r.m.CountTunnel(string(cause)) },
		OnMalformed: func(box string, err error) { r.o.Recorder.MalformedAnswer(telemetry.OfBox, box, err) },
	})
	for _, p := range []*h1.Pool{r.callerPool, r.controlPool} {
		p.Dial, p.DialDirect, p.Usable = r.paths.Dial, r.paths.DialDirect, r.paths.Usable
		p.OnConnLost = r.paths.ConnLost
		p.OnSlow, p.SlowAfter = r.paths.CheckSlow, r.paths.SlowAfter()
		p.OnDialFailed = r.countConnectFailure
		p.OnConnected = func(addr string, took time.Duration) { r.delays.Connected(clock.Now(), addr, took) }
	}
	// The answers to the box's own calls are documents that cannot be parsed unless they are complete.
	r.callerPool.EndCheck = r.endCheck
}

// Paths returns the dialer of this box's connections to endpoints.
func (r *Relay) Paths() *paths.Dialer { return r.paths }

// RunPaths probes paths that are lost, and closes idle connections that must not be used any more, until ctx ends.
func (r *Relay) RunPaths(ctx context.Context) {
	go r.paths.Run(ctx, r.HasEndpointAt)
	tick := time.NewTicker(connCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.callerPool.CloseUnusable()
			r.controlPool.CloseUnusable()
			r.m.SilentCalls.Add(r.callerPool.EndSilent(r.paths.SlowAfter(), maxEndedAtOnce, r.paths.OpenLost))
		case <-ctx.Done():
			return
		}
	}
}

const (
	// connCheckInterval is how soon an idle connection through a box that stops is closed.
	connCheckInterval = 200 * time.Millisecond
	// maxEndedAtOnce is the number of requests on connections without an answer that are ended each connCheckInterval.
	maxEndedAtOnce = 8
)

// logPathChange logs that this box has lost its path to an endpoint, or has it back.
func (r *Relay) logPathChange(c reach.Change) {
	e, _ := r.fleet.at(c.Address)
	fields := append([]zap.Field{zap.String("endpoint", e.id), zap.String("service", e.service)}, pathFields(c)...)
	what := "path to endpoint " + c.To.String()
	if c.Forgotten {
		what = "path to endpoint not used any more"
	}
	r.o.Recorder.Log.StateChange(what, fields...)
}

// pathFields describes a change of an address's state for the log.
func pathFields(c reach.Change) []zap.Field {
	f := []zap.Field{zap.String("address", c.Address), zap.Stringer("direct", c.Failure)}
	switch c.To {
	case reach.Lost:
		f = append(f, zap.String("reached_through", c.Via))
	case reach.Unreachable:
		f = append(f, zap.Int("boxes_that_denied", c.Denied))
	case reach.Direct:
		f = append(f, zap.Stringer("was", c.From), zap.Duration("after", c.Lasted))
	}
	return f
}

// recordVia adds to the request's trace that another box carried the connection of a call.
func (x *exchange) recordVia(endpoint string, q *h1.Request) {
	if q.Via != "" {
		x.trace.Step(record.Step{Kind: record.StepTunnel, Decode: endpoint, Text: q.Via})
		x.r.m.TunneledCalls.Inc()
	}
}

// sendVia is recordVia for a call of a stream. It reports to the loop.
func (f *flight) sendVia(a decide.Attempt, endpoint string, q *h1.Request) {
	if q.Via != "" {
		f.x.r.m.TunneledCalls.Inc()
		f.send(flightEvent{attempt: a, carried: &carried{endpoint, q.Via}})
	}
}

// carried is a call whose connection another box carried.
type carried struct{ endpoint, box string }

// pathBroke reports whether a call that got no answer says nothing about its endpoint: this box has lost its path to the
// endpoint, no path was tried, or the box via carried the connection; via is empty for a direct connection.
func (r *Relay) pathBroke(address, via string, err error) bool {
	var dial *paths.Error
	if errors.As(err, &dial) {
		return !paths.Confirmed(err)
	}
	return err != nil && (via != "" || errors.Is(err, h1.ErrSilent) || r.paths.PathLost(address))
}

// HasEndpointAt reports whether an endpoint is listed at an address.
func (r *Relay) HasEndpointAt(address string) bool {
	_, listed := r.fleet.at(address)
	return listed
}

// listedAt is the part of a listed endpoint that is needed by its address.
type listedAt struct {
	id, hall, service string
	started           int64
}

// at returns the endpoint that is listed at an address. It needs no lock, because the connection pools call it while the
// fleet is locked.
func (f *fleet) at(address string) (e listedAt, listed bool) {
	if m := f.byAddress.Load(); m != nil {
		e, listed = (*m)[address]
	}
	return e, listed
}

func (f *fleet) hallOf(address string) string {
	e, _ := f.at(address)
	return e.hall
}

func (f *fleet) serviceAt(address string) string {
	e, _ := f.at(address)
	return e.service
}

// countConnectFailure counts a connection to an endpoint that could not be established.
func (r *Relay) countConnectFailure(_ string, err error) {
	cause := telemetry.ConnectOther
	switch tunnel.ConnectCause(err) {
	case tunnel.Refused:
		cause = telemetry.ConnectRefused
	case tunnel.Unanswered:
		cause = telemetry.ConnectUnanswered
	}
	r.m.ConnectsFailed[cause].Inc()
}
