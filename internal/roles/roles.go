// Package roles switches engines between the prefill role and the decode role as the traffic requires. Only the box
// that holds the lease gives such orders. A lease is an exclusive right for a limited time. After its orders, the box
// waits before it gives more, because an engine that switches its role serves nothing for some seconds.
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

// Fleet is the manager's access to the engines.
type Fleet interface {
	// RecommendRoleChange returns which engines should switch to which role. It returns false if none should.
	RecommendRoleChange() (decide.RoleChange, bool)
	// SetRole orders one engine to switch to a role. After an error, the engine may or may not carry the order out.
	SetRole(ctx context.Context, engine string, role decide.EngineRole, l lease.Lease) error
}

// Leases grants the lease. A box without the lease must not send orders.
type Leases interface {
	Acquire(ctx context.Context) (lease.Lease, error)
}

// Manager carries out the role changes that the fleet recommends.
type Manager struct {
	Fleet  Fleet
	Leases Leases
	// CheckInterval is the mean time between two checks of the recommendation. StableChecks is how many checks in a
	// row must give the same recommendation before this box carries it out.
	CheckInterval time.Duration
	StableChecks  int
	// Cooldown is how long this box waits after it sent orders. It waits as long after it found that another box
	// holds the lease.
	Cooldown time.Duration
	// ExtraChecks returns a number of checks that is added to StableChecks. The extra checks let another box act
	// first, so that this box sees the result. nil means no extra checks.
	ExtraChecks func() int
	// OnLease is called after each attempt to acquire the lease, except when another box holds the lease. It can be
	// nil.
	OnLease func(l lease.Lease, err error)
	// OnOrder is called after each order to an engine. It can be nil.
	OnOrder func(engine string, role decide.EngineRole, l lease.Lease, err error)
}

// attemptTimeout bounds the time for acquiring the lease and sending the orders.
const attemptTimeout = 2 * time.Second

// Run checks the recommendation regularly until ctx is done. Once the recommendation is stable, Run carries it out.
func (m *Manager) Run(ctx context.Context) {
	var last decide.RoleChange
	stableCount, extraChecks := 0, 0
	for {
		// The random part of the wait keeps boxes from requesting the lease at the same time.
		wait := m.CheckInterval/2 + time.Duration(rand.Int64N(int64(m.CheckInterval)))
		a, ok := m.Fleet.RecommendRoleChange()
		switch {
		case !ok:
			stableCount = 0
		case a.Role == last.Role && a.Pool == last.Pool:
			stableCount++
		default:
			stableCount, extraChecks = 1, m.newExtraChecks()
		}
		last = a
		if ok && stableCount >= m.StableChecks+extraChecks {
			if m.applyRoleChange(ctx, a) {
				wait, stableCount = m.Cooldown, 0
			}
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

func (m *Manager) newExtraChecks() int {
	if m.ExtraChecks == nil {
		return 0
	}
	return m.ExtraChecks()
}

// applyRoleChange sends the orders if this box gets the lease. The result is true if this box got the lease. It is also
// true if another box holds the lease, since that box is about to send the orders.
func (m *Manager) applyRoleChange(ctx context.Context, a decide.RoleChange) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	l, err := m.Leases.Acquire(ctx)
	if m.OnLease != nil && !errors.Is(err, lease.ErrHeld) {
		m.OnLease(l, err)
	}
	if err != nil {
		return errors.Is(err, lease.ErrHeld)
	}
	for _, engine := range a.Engines {
		if !l.Valid(clock.Now()) {
			break
		}
		err = m.Fleet.SetRole(ctx, engine, a.Role, l)
		if m.OnOrder != nil {
			m.OnOrder(engine, a.Role, l, err)
		}
	}
	return true
}
