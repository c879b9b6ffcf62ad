package roles

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// fakeFleet recommends the same role change from recommendFrom to recommendUntil.
type fakeFleet struct {
	start                         time.Time
	recommendFrom, recommendUntil time.Duration
	orders                        []string
}

func (f *fakeFleet) RecommendRoleChange() (decide.RoleChange, bool) {
	at := time.Since(f.start)
	return decide.RoleChange{Pool: "p", Engines: []string{"a", "b"}, Role: decide.Decode}, at >= f.recommendFrom && at < f.recommendUntil
}

func (f *fakeFleet) SetRole(_ context.Context, engine string, _ decide.EngineRole, _ lease.Lease) error {
	f.orders = append(f.orders, engine)
	return nil
}

// fakeLeases grants the lease after a delay, or fails with err, for example because another box holds it.
type fakeLeases struct {
	err   error
	delay time.Duration
}

func (l fakeLeases) Acquire(context.Context) (lease.Lease, error) {
	until := time.Now().Add(time.Second)
	time.Sleep(l.delay)
	return lease.Lease{Fence: 1, Until: until}, l.err
}

func expectOrders(t *testing.T, f fakeFleet, l fakeLeases, want int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.start = time.Now()
		// Orders are sent in pairs as long as the recommendation lasts. Three pairs are sent before the timeout
		// of 25 s: the third after 18.9 to 20.7 s. The fourth pair would come after 28.2 s.
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		m := &Manager{Fleet: &f, Leases: l, CheckInterval: 300 * time.Millisecond, StableChecks: 3, Cooldown: 9 * time.Second}
		m.Run(ctx)
		if len(f.orders) != want {
			t.Errorf("expected %d orders, got %v", want, f.orders)
		}
	})
}

// A box that makes extra checks sends no order if the recommendation ends during these checks.
func TestPatienceDelaysOrders(t *testing.T) {
	for extraChecks, want := range map[int]int{0: 2, 20: 0} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakeFleet{start: time.Now(), recommendUntil: 3 * time.Second}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			m := &Manager{Fleet: f, Leases: fakeLeases{}, CheckInterval: 300 * time.Millisecond, StableChecks: 3, Cooldown: 9 * time.Second, ExtraChecks: func() int { return extraChecks }}
			m.Run(ctx)
			if len(f.orders) != want {
				t.Errorf("%d extra checks: expected %d orders, got %v", extraChecks, want, f.orders)
			}
		})
	}
}

func TestFollowsSteadyAdvice(t *testing.T) {
	expectOrders(t, fakeFleet{recommendUntil: 5 * time.Second}, fakeLeases{}, 2)
}
func TestIgnoresShortLivedAdvice(t *testing.T) {
	expectOrders(t, fakeFleet{recommendFrom: time.Second, recommendUntil: 1300 * time.Millisecond}, fakeLeases{}, 0)
}
func TestSpacesOrders(t *testing.T) {
	expectOrders(t, fakeFleet{recommendUntil: time.Hour}, fakeLeases{}, 6)
}
func TestNoOrdersWhileOtherBoxHoldsLease(t *testing.T) {
	expectOrders(t, fakeFleet{recommendUntil: time.Hour}, fakeLeases{err: lease.ErrHeld}, 0)
}
func TestPausedHolder(t *testing.T) {
	expectOrders(t, fakeFleet{recommendUntil: 5 * time.Second}, fakeLeases{delay: 2 * time.Second}, 0)
}
