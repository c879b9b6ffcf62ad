// Package paths connects a box to endpoints, directly or through other boxes. Package reach decides which path is tried
// when, and package tunnel carries the connections.
//
// Requests, limits, retries and records stay with the box that the caller asked. A connection through another box is
// opened before any byte of a request is sent. So whichever path it takes, a request is sent at most once on it.
package paths

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tcpopt"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

const (
	// dialTimeout bounds a direct connect.
	dialTimeout = 700 * time.Millisecond
	// tunnelTimeout bounds opening a tunnel through one box, with the box's own connect to the endpoint.
	tunnelTimeout = 650 * time.Millisecond
	// stallSlack is by how much a connect may exceed its timeout. A longer one means that this process got no processor
	// time. Its result then says nothing about the path.
	stallSlack = 150 * time.Millisecond
	// maxTunnelDials bounds the attempts to open tunnels that are under way.
	maxTunnelDials = 48
	// controlTimeout bounds the connect that shows whether this box's own path works. At most maxControls are under way.
	controlTimeout = 150 * time.Millisecond
	maxControls    = 4
	// probeTick is the pause between two looks for due probes.
	probeTick = 100 * time.Millisecond
	// slowAnswer is how long an endpoint may leave a request unanswered until the path to it is checked.
	slowAnswer = 500 * time.Millisecond
)

// Peers is the connection to the other boxes of this box's region.
type Peers interface {
	// Others lists the other boxes.
	Others() []reach.Box
	// Key is the key that the boxes share.
	Key() string
}

// Options configure a Dialer.
type Options struct {
	// Hall is the data hall of this box.
	Hall string
	// Peers is nil for a box that runs alone.
	Peers Peers
	// Proxy is the address of an HTTP proxy for all direct connections to endpoints; empty if there is none.
	Proxy string
	// HallOf returns the hall of the endpoint at an address.
	HallOf func(addr string) string
	// ServiceOf returns the service of the endpoint at an address.
	ServiceOf func(addr string) string
	// OnChange is called when an address becomes lost, unreachable or direct. It must not block. It may be nil.
	OnChange func(reach.Change)
	// OnTunnel is called when an attempt to open a tunnel has ended; the cause is empty if it was opened. It may be nil.
	OnTunnel func(cause tunnel.Cause)
	// OnMalformed is called for each malformed answer of another box to a request for a tunnel or its end. It must not block. It
	// may be nil.
	OnMalformed func(box string, err error)
}

// Dialer connects this box to endpoints.
type Dialer struct {
	o      Options
	Table  *reach.Table
	boxes  reach.Boxes
	direct tunnel.DialFunc
	// toBox connects to another box.
	toBox       tunnel.DialFunc
	tunnelDials chan struct{} // Has an element for each attempt that is under way.
	controls    chan struct{} // The same for the connects of ownPathWorks.
}

// New returns a dialer that knows no endpoint yet.
func New(o Options) *Dialer {
	toEndpoint, toBox := tcpopt.Dialer(dialTimeout), tcpopt.Dialer(tunnelTimeout)
	d := &Dialer{
		o: o, Table: reach.NewTable(), boxes: reach.Boxes{Hall: o.Hall}, toBox: toBox.DialContext,
		tunnelDials: make(chan struct{}, maxTunnelDials), controls: make(chan struct{}, maxControls),
	}
	d.Table.OnChange, d.Table.GroupOf = o.OnChange, o.ServiceOf
	d.direct = toEndpoint.DialContext
	if o.Proxy != "" {
		d.direct = throughProxy(toEndpoint.DialContext, o.Proxy)
	}
	return d
}

// throughProxy returns a function that connects through an HTTP proxy. Its errors are those of a direct connect.
func throughProxy(dial tunnel.DialFunc, proxy string) tunnel.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := tunnel.Open(ctx, dial, proxy, address, "", "")
		switch {
		case err == nil:
			return c, nil
		case tunnel.CauseOf(err) == tunnel.Refused:
			return nil, fmt.Errorf("%w: %w", syscall.ECONNREFUSED, err)
		case tunnel.CauseOf(err) == tunnel.Unanswered:
			return nil, fmt.Errorf("%w: %w", os.ErrDeadlineExceeded, err)
		}
		return nil, err
	}
}

// Direct opens a direct connection, like net.Dialer.DialContext. It records nothing.
func (d *Dialer) Direct(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.direct(ctx, network, addr)
}

// Dial opens a connection to an endpoint. via is the box that carries it; it is empty for a direct connection.
func (d *Dialer) Dial(ctx context.Context, addr string) (c net.Conn, via string, err error) {
	plan := d.Table.Plan(addr, clock.Now())
	if plan.FailFast {
		return nil, "", &Error{Address: addr, Known: true, confirmed: d.Table.Denied(addr)}
	}
	return d.race(ctx, addr, plan)
}

// DialDirect opens a direct connection to an endpoint and records the result. It goes on when ctx ends, for up to
// dialTimeout, because its result shows whether the path is lost.
func (d *Dialer) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	defer cancel()
	began := clock.Now()
	c, err := d.direct(ctx, "tcp", addr)
	now := clock.Now()
	switch {
	case err == nil:
		d.Table.DirectConnected(addr, now)
	case now.Sub(began) < dialTimeout+stallSlack:
		d.Table.DirectFailed(addr, failureOf(err), now)
	}
	return c, err
}

func failureOf(err error) reach.Failure {
	if tunnel.ConnectCause(err) == tunnel.Unanswered {
		return reach.Unanswered
	}
	return reach.Refused
}

// openTunnel opens a connection through a box and records the result.
func (d *Dialer) openTunnel(ctx context.Context, box reach.Box, addr string) (net.Conn, error) {
	select {
	case d.tunnelDials <- struct{}{}:
		defer func() { <-d.tunnelDials }()
	default:
		return nil, &tunnel.Error{Cause: tunnel.Busy, Err: errors.New("too many tunnels are being opened")}
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	id := rand.Text()
	c, err := tunnel.Open(ctx, d.toBox, box.Address, addr, d.o.Peers.Key(), id)
	now := clock.Now()
	if err == nil {
		d.Table.OtherConnected(addr, box.Name, now)
		d.boxes.Opened(box.Name, now)
		d.report("")
		return &carriedConn{c: c, d: d, box: box, id: id}, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, err // Another attempt was faster, or the caller is gone.
	}
	d.reportMalformed(box.Name, err)
	cause := tunnel.CauseOf(err)
	if cause.AboutEndpoint() {
		d.Table.OtherFailed(addr, now)
	} else {
		d.boxes.Failed(box.Name, cause == tunnel.Unauthorized, now)
	}
	d.report(cause)
	return nil, err
}

func (d *Dialer) reportMalformed(box string, err error) {
	if d.o.OnMalformed != nil && httphead.IsMalformed(err) {
		d.o.OnMalformed(box, err)
	}
}

func (d *Dialer) report(cause tunnel.Cause) {
	if d.o.OnTunnel != nil {
		d.o.OnTunnel(cause)
	}
}

// Usable reports whether an idle connection may be used for another request. One through another box may not once that
// box leaves, or the direct path works again.
func (d *Dialer) Usable(addr, via string) bool {
	if via == "" {
		return d.Table.Usable(addr)
	}
	d.Table.Use(addr, clock.Now())
	return d.Table.State(addr) != reach.Direct && d.listed(via)
}

// OpenLost reports whether requests in progress on direct connections to an endpoint get no answer any more. What the
// endpoint sends in answer to other requests shows that they do.
func (d *Dialer) OpenLost(addr string) bool { return d.Table.OpenLost(addr, clock.Now(), slowAnswer) }

// ConnLost records that an endpoint reset an open direct connection when a request was sent on it.
func (d *Dialer) ConnLost(addr string) { d.Table.ConnLost(addr, clock.Now()) }

func (d *Dialer) listed(box string) bool {
	for _, b := range d.o.Peers.Others() {
		if b.Name == box {
			return true
		}
	}
	return false
}

// PathLost reports whether this box has lost its own path to an endpoint that other boxes reach. What happens to
// connections of this box then says nothing about the endpoint.
func (d *Dialer) PathLost(addr string) bool { return d.Table.State(addr) == reach.Lost }

// Verify finds out whether an endpoint can be reached on any path. It opens a connection and closes it. A nil error means
// that it was reached, through the box via if that is not empty.
func (d *Dialer) Verify(ctx context.Context, addr string) (via string, err error) {
	c, via, err := d.race(ctx, addr, reach.Plan{Direct: true, Others: true, HeadStart: verifyHeadStart})
	if err == nil {
		_ = c.Close()
	}
	return via, err
}

// verifyHeadStart is the head start of the direct path in Verify. A caller does not wait for the result.
const verifyHeadStart = 50 * time.Millisecond

// CheckSlow checks the path to an endpoint that has left a request unanswered on an open direct connection. It does so in
// the background, and not more often than package reach allows.
func (d *Dialer) CheckSlow(addr string) {
	if d.o.Peers == nil || !d.Table.ClaimCheck(addr, clock.Now(), slowAnswer/2) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout+tunnelTimeout)
		defer cancel()
		_, _ = d.Verify(ctx, addr) // The table has the result.
	}()
}

// SlowAfter is how long an endpoint may leave a request unanswered until CheckSlow is called.
func (d *Dialer) SlowAfter() time.Duration { return slowAnswer }

// Run probes lost and unreachable addresses until ctx ends. listed reports whether an endpoint has the address.
func (d *Dialer) Run(ctx context.Context, listed func(addr string) bool) {
	tick := time.NewTicker(probeTick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		d.Table.Keep(listed)
		d.boxes.Forget(clock.Now())
		for _, p := range d.Table.DueProbes(clock.Now()) {
			go d.probe(ctx, p)
		}
	}
}

func (d *Dialer) probe(ctx context.Context, p reach.Probe) {
	if p.Others {
		_, _ = d.Verify(ctx, p.Address) // The table has the result.
		return
	}
	if c, err := d.DialDirect(ctx, p.Address); err == nil {
		_ = c.Close()
	}
}

// Tunnels returns the number of this box's open tunnels through each other box.
func (d *Dialer) Tunnels() map[string]int { return d.boxes.Open() }

// NoPath, Connected and ConnectFailed let a tunnel.Server share what this box knows of its own paths.
func (d *Dialer) NoPath(addr string) bool {
	state := d.Table.State(addr)
	return state == reach.Lost || state == reach.Unreachable && d.Table.Failure(addr) == reach.Unanswered
}

// Connected records a direct connect for another box.
func (d *Dialer) Connected(addr string) { d.Table.DirectConnected(addr, clock.Now()) }

// ConnectFailed records a direct connect for another box that failed.
func (d *Dialer) ConnectFailed(addr string, began time.Time, err error) (credible bool) {
	now, f := clock.Now(), failureOf(err)
	d.Table.DirectFailed(addr, f, now)
	return d.Table.Credible(addr, f, began, now) || d.ownPathWorks(addr)
}

// ownPathWorks finds out whether this box reaches another endpoint directly, after a connect to addr has failed and no
// other endpoint has answered meanwhile.
func (d *Dialer) ownPathWorks(addr string) bool {
	control := d.Table.Control(addr)
	if control == "" {
		return false
	}
	select {
	case d.controls <- struct{}{}:
		defer func() { <-d.controls }()
	default:
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	c, err := d.direct(ctx, "tcp", control)
	if err != nil {
		return false
	}
	_ = c.Close()
	d.Table.DirectConnected(control, clock.Now())
	return true
}
