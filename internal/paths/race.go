package paths

import (
	"context"
	"net"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// attempt is the result of one attempt to connect.
type attempt struct {
	conn net.Conn
	box  string // Empty for the direct path.
	err  error
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
	next := time.NewTimer(plan.HeadStart)
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
		c, err := r.d.DialDirect(r.ctx, r.addr)
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
