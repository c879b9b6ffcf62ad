// Package roles changes engines between prefill and decode as the traffic asks for. One
// box at a time does so, under a lease, and slowly: an engine that changes its role does
// nothing for some seconds.
package roles

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// Fleet is what the manager sees of the engines and does with them.
type Fleet interface {
	// Advise says which engine should change.
	Advise() (decide.Advice, bool)
	// SetRole orders one change. Any error leaves open whether it is carried out.
	SetRole(ctx context.Context, engine string, role decide.EngineRole, l lease.Lease) error
}

// Leases are the right to give orders.
type Leases interface {
	Acquire(ctx context.Context) (lease.Lease, error)
}

// Manager follows the advice.
type Manager struct {
	Fleet  Fleet
	Leases Leases
	// Every paces the looks at the advice, and Steady is how many looks in a row must
	// give the same before it is followed.
	Every  time.Duration
	Steady int
	// Spacing is how long after an order, or the sight of another box's lease, this box
	// does not try again.
	Spacing time.Duration
	// Patience is how many looks more an advice stands before this box follows it; nil for
	// none. Of many boxes one is to be first, and the others see that engines have changed.
	Patience func() int
	// Leased is called after each try to take the lease that did not find it held; it may
	// be nil.
	Leased func(l lease.Lease, err error)
	// Ordered is called after each order; it may be nil.
	Ordered func(engine string, role decide.EngineRole, l lease.Lease, err error)
}

// limit bounds one look, its lease and its order.
const limit = 2 * time.Second

// Run follows the advice until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var last decide.Advice
	same, patience := 0, 0
	for {
		// Boxes that see the same do not ask for the lease at the same moment.
		wait := m.Every/2 + time.Duration(rand.Int64N(int64(m.Every)))
		a, ok := m.Fleet.Advise()
		switch {
		case !ok:
			same = 0
		case a.Role == last.Role && a.Pool == last.Pool:
			same++
		default:
			same, patience = 1, m.patience()
		}
		last = a
		if ok && same >= m.Steady+patience {
			if m.follow(ctx, a) {
				wait, same = m.Spacing, 0
			}
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) patience() int {
	if m.Patience == nil {
		return 0
	}
	return m.Patience()
}

// follow gives the order if this box gets the lease. It returns whether an order was
// given or another box is about to.
func (m *Manager) follow(ctx context.Context, a decide.Advice) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	l, err := m.Leases.Acquire(ctx)
	if m.Leased != nil && !errors.Is(err, lease.ErrHeld) {
		m.Leased(l, err)
	}
	if err != nil {
		return errors.Is(err, lease.ErrHeld)
	}
	for _, engine := range a.Engines {
		if !l.Valid(clock.Now()) {
			break
		}
		err = m.Fleet.SetRole(ctx, engine, a.Role, l)
		if m.Ordered != nil {
			m.Ordered(engine, a.Role, l, err)
		}
	}
	return true
}
