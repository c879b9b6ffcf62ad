// Package paths connects a box to endpoints, directly or through other boxes. Package reach decides which path is tried
// when, and package tunnel carries the connections.
//
// Requests, limits, retries and records stay with the box that the caller asked. A connection through another box is
// opened before any byte of a request is sent. So whichever path it takes, a request is sent at most once on it.
package paths

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
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
	OnTunnel func(box string, cause tunnel.Cause)
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
}

// New returns a dialer that knows no endpoint yet.
func New(o Options) *Dialer {
	toEndpoint, toBox := tcpopt.Dialer(dialTimeout), tcpopt.Dialer(tunnelTimeout)
	d := &Dialer{
		o: o, Table: reach.NewTable(), boxes: reach.Boxes{Hall: o.Hall}, toBox: toBox.DialContext,
		tunnelDials: make(chan struct{}, maxTunnelDials),
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
		c, err := tunnel.Open(ctx, dial, proxy, address, "")
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

// DialDirect opens a direct connection to an endpoint.
func (d *Dialer) DialDirect(ctx context.Context, addr string) (net.Conn, error) {
	return d.dialDirect(ctx, addr)
}

// Direct opens a direct connection, like net.Dialer.DialContext. It records nothing.
func (d *Dialer) Direct(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.direct(ctx, network, addr)
}

// Error means that no path reached an endpoint. No byte was sent.
type Error struct {
	Address string
	// Direct is the error of the direct path; nil if that path is known to be lost and was not tried.
	Direct error
	// Asked is the number of other boxes that were tried, and Denied how many of them connected in vain themselves.
	Asked, Denied int
	// Known means that nothing was tried, because the endpoint was found to be unreachable a moment ago.
	Known bool
	// confirmed means that Direct is the state of the endpoint, and not only of this box's path.
	confirmed bool
}

func (e *Error) Error() string {
	if e.Known {
		return fmt.Sprintf("%s is unreachable on all paths", e.Address)
	}
	return fmt.Sprintf("%s is unreachable: direct: %v; %d of %d other boxes connected in vain", e.Address, e.Direct, e.Denied, e.Asked)
}

// Unwrap returns the error of the direct path if it says something about the endpoint: another box found the same, or
// there is no other box.
func (e *Error) Unwrap() error {
	if e.confirmed {
		return e.Direct
	}
	return nil
}

// Confirmed reports whether an error of Dial says something about the endpoint, and not only about this box's path.
func Confirmed(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.confirmed
}

// attempt is the result of one attempt to connect.
type attempt struct {
	conn net.Conn
	box  string // Empty for the direct path.
	err  error
}

// Dial opens a connection to an endpoint. via is the box that carries it; it is empty for a direct connection.
func (d *Dialer) Dial(ctx context.Context, addr string) (c net.Conn, via string, err error) {
	plan := d.Table.Plan(addr, clock.Now())
	if plan.FailFast {
		return nil, "", &Error{Address: addr, Known: true, confirmed: d.Table.Denied(addr)}
	}
	return d.race(ctx, addr, plan)
}

// race tries the paths of a plan until one of them connects.
func (d *Dialer) race(ctx context.Context, addr string, plan reach.Plan) (net.Conn, string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := race{d: d, ctx: ctx, addr: addr}
	if plan.Others && d.o.Peers != nil {
		r.others = d.boxes.Rank(d.o.Peers.Others(), d.o.HallOf(addr), clock.Now())
	}
	r.results = make(chan attempt, 1+len(r.others))
	if plan.Direct {
		r.startDirect()
	}
	return r.run(plan)
}

// race is the state of one race. Only its own goroutine uses it, but for results.
type race struct {
	d       *Dialer
	ctx     context.Context
	addr    string
	results chan attempt
	others  []reach.Box // Not tried yet.
	// running counts the attempts that are under way; directRunning is set if the direct one is.
	running       int
	directRunning bool
	failure       Error
}

func (r *race) run(plan reach.Plan) (net.Conn, string, error) {
	wait := plan.HeadStart
	if !plan.Direct {
		wait = 0
	}
	next := time.NewTimer(wait)
	defer next.Stop()
	for {
		select {
		case a := <-r.results:
			r.running--
			if a.err == nil {
				r.settle()
				return a.conn, a.box, nil
			}
			r.record(a)
			next.Reset(0)
		case <-next.C:
			if r.directRunning {
				r.d.Table.DirectSlow(r.addr, clock.Now())
			}
			r.startNext()
			next.Reset(reach.Stagger)
		case <-r.ctx.Done():
			r.settle()
			return nil, "", r.ctx.Err()
		}
		if r.running == 0 && len(r.others) == 0 {
			return nil, "", r.fail()
		}
	}
}

// startDirect starts the direct attempt. It goes on when a tunnel was opened first, because its result shows whether the
// direct path is lost or only slow.
func (r *race) startDirect() {
	r.running++
	r.directRunning = true
	go func() {
		c, err := r.d.dialDirect(r.ctx, r.addr)
		r.results <- attempt{conn: c, err: err}
	}()
}

// startNext starts an attempt through the next box, if there is one.
func (r *race) startNext() {
	if len(r.others) == 0 {
		return
	}
	box := r.others[0]
	r.others = r.others[1:]
	r.running++
	go func() {
		c, err := r.d.openTunnel(r.ctx, box, r.addr)
		r.results <- attempt{c, box.Name, err}
	}()
}

// record takes note of an attempt that failed.
func (r *race) record(a attempt) {
	if a.box == "" {
		r.directRunning, r.failure.Direct = false, a.err
		return
	}
	r.failure.Asked++
	if tunnel.CauseOf(a.err).AboutEndpoint() {
		r.failure.Denied++
	}
}

// settle closes the connections of attempts that succeed after the first one.
func (r *race) settle() {
	n, results := r.running, r.results
	go func() {
		for range n {
			if a := <-results; a.conn != nil {
				_ = a.conn.Close()
			}
		}
	}()
}

// fail returns the error of a race that no path won.
func (r *race) fail() error {
	e := r.failure
	e.Address = r.addr
	e.confirmed = r.d.o.Peers == nil || e.Denied > 0 || r.d.Table.Denied(r.addr)
	if e.Asked > 0 {
		r.d.Table.AllFailed(r.addr, clock.Now())
	}
	return &e
}

// dialDirect opens a direct connection and records the result. It takes up to dialTimeout even if ctx ends before,
// unless that is because the caller is gone.
func (d *Dialer) dialDirect(ctx context.Context, addr string) (net.Conn, error) {
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
	var t interface{ Timeout() bool }
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) || errors.As(err, &t) && t.Timeout() {
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
	c, err := tunnel.Open(ctx, d.toBox, box.Address, addr, d.o.Peers.Key())
	now := clock.Now()
	if err == nil {
		d.Table.OtherConnected(addr, box.Name, now)
		d.boxes.Opened(box.Name, now)
		d.report(box.Name, "")
		return &carriedConn{c: c, d: d, box: box.Name}, nil
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, err // Another attempt was faster, or the caller is gone.
	}
	cause := tunnel.CauseOf(err)
	if cause.AboutEndpoint() {
		d.Table.OtherFailed(addr, now)
	} else {
		d.boxes.Failed(box.Name, cause == tunnel.Unauthorized, now)
	}
	d.report(box.Name, cause)
	return nil, err
}

func (d *Dialer) report(box string, cause tunnel.Cause) {
	if d.o.OnTunnel != nil {
		d.o.OnTunnel(box, cause)
	}
}

// carriedConn is a connection through another box. It is counted until it is closed.
type carriedConn struct {
	c    net.Conn
	d    *Dialer
	box  string
	once sync.Once
}

var errNoDescriptor = errors.New("the connection has no descriptor")

func (c *carriedConn) Read(b []byte) (int, error)         { return c.c.Read(b) }
func (c *carriedConn) Write(b []byte) (int, error)        { return c.c.Write(b) }
func (c *carriedConn) LocalAddr() net.Addr                { return c.c.LocalAddr() }
func (c *carriedConn) RemoteAddr() net.Addr               { return c.c.RemoteAddr() }
func (c *carriedConn) SetDeadline(t time.Time) error      { return c.c.SetDeadline(t) }
func (c *carriedConn) SetReadDeadline(t time.Time) error  { return c.c.SetReadDeadline(t) }
func (c *carriedConn) SetWriteDeadline(t time.Time) error { return c.c.SetWriteDeadline(t) }

// SyscallConn gives access to the descriptor of the connection to the other box.
func (c *carriedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.c.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

func (c *carriedConn) Close() error {
	c.once.Do(func() { c.d.boxes.Closed(c.box) })
	return c.c.Close()
}

// Usable reports whether an idle connection may be used for another request. One through another box may not once that
// box leaves, or the direct path works again.
func (d *Dialer) Usable(addr, via string) bool {
	if via == "" {
		return d.Table.Usable(addr)
	}
	return d.Table.State(addr) != reach.Direct && d.listed(via)
}

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
	if c, err := d.dialDirect(ctx, p.Address); err == nil {
		_ = c.Close()
	}
}

// Tunnels returns the number of this box's open tunnels through each other box.
func (d *Dialer) Tunnels() map[string]int { return d.boxes.Open() }

// NoPath, Connected and ConnectFailed let a tunnel.Server share what this box knows of its own paths.
func (d *Dialer) NoPath(addr string) bool {
	return d.Table.State(addr) == reach.Lost || d.Table.State(addr) == reach.Unreachable && d.Table.Failure(addr) == reach.Unanswered
}

// Connected records a direct connect for another box.
func (d *Dialer) Connected(addr string) { d.Table.DirectConnected(addr, clock.Now()) }

// ConnectFailed records a direct connect for another box that failed.
func (d *Dialer) ConnectFailed(addr string, began time.Time, err error) (credible bool) {
	now, f := clock.Now(), failureOf(err)
	d.Table.DirectFailed(addr, f, now)
	return d.Table.Credible(addr, f, began, now)
}

// LogFields describes a change of an address's state for the log.
func LogFields(c reach.Change) []zap.Field {
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
