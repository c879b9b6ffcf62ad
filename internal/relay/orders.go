package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/reach"
)

// RecommendRoleChange returns the engine that should change its role. If no engine should, it returns false.
// A box without a direct path to the engine recommends nothing, because it could not send the order.
func (r *Relay) RecommendRoleChange() (decide.RoleChange, bool) {
	c, ok := r.disp.RecommendRoleChange()
	for _, engine := range c.Engines {
		ok = ok && r.paths.Table.State(r.disp.Address(engine)) == reach.Direct
	}
	return c, ok
}

var (
	errBusy         = errors.New("the engine is carrying out another order")
	errRestarted    = errors.New("the engine has restarted")
	errPaused       = errors.New("the engine asked for a pause in requests")
	errLeaseExpired = errors.New("the lease expired before the order was sent")
)

// orderTries is how often an engine that closes its connection after the query for its load is asked again.
const orderTries = 2

// SetRole orders an engine to change its role. It first asks the engine for its load. The order names the engine's ID, and the
// number of orders that the engine has accepted since its start. An order that arrives after another order therefore has no
// effect. The next start of the engine has the same ID and may have accepted as many orders. So the order is sent only on a
// connection that is open already: a connection ends with its process.
func (r *Relay) SetRole(ctx context.Context, engine string, role decide.EngineRole, l lease.Lease) (err error) {
	for range orderTries {
		if err = r.sendRole(ctx, engine, role, l); !errors.Is(err, h1.ErrNotAllowed) {
			break
		}
	}
	return err
}

// sendRole asks an engine for its load and sends the order once.
func (r *Relay) sendRole(ctx context.Context, engine string, role decide.EngineRole, l lease.Lease) error {
	e, listed := r.fleet.endpoint(engine)
	if !listed {
		return errRestarted
	}
	if r.notices.IsPaused(engine, clock.Now()) {
		return errPaused
	}
	address := e.Address
	query := controlRequest(engine, address, r.protocol.LoadCall())
	query.Direct = true
	resp, body, err := r.controlPool.DoShort(ctx, loadTimeout, query, maxControlAnswer)
	if err != nil {
		return fmt.Errorf("query engine load: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("query engine load: %s", resp.Status)
	}
	load, err := r.protocol.ParseLoad(body)
	switch {
	case err != nil:
		return fmt.Errorf("query engine load: %w", err)
	case !load.matchesStart(&e):
		return errRestarted
	case load.ExecutingOrder || load.Leaving || load.Role == role:
		return errBusy
	}
	c, h := r.protocol.SetRole(engine, role, r.o.Box, l.Fence, load.Orders)
	q := controlRequest(engine, address, c)
	q.Direct = true // An engine takes the box that an order comes from for the order's holder.
	// StillAllowed is called for a new connection only.
	q.StillAllowed = func() bool { return false }
	for k, v := range h {
		q.Header[k] = v
	}
	if !l.Valid(clock.Now()) {
		return errLeaseExpired
	}
	resp, _, err = r.controlPool.DoShort(ctx, loadTimeout, q, maxControlAnswer)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the engine answered the order with %s", resp.Status)
	}
	if resp.StatusCode == http.StatusAccepted {
		r.applyAcceptedOrder(engine, load)
	}
	return nil
}

// applyAcceptedOrder records and publishes that an engine carries out an order. The engine refuses requests until the order
// is done.
func (r *Relay) applyAcceptedOrder(engine string, load Load) {
	now := clock.Now()
	load.ExecutingOrder = true
	load.Orders++
	r.applyLoad(engine, now, &load)
	r.publishLoad(engine, now, &load)
}
