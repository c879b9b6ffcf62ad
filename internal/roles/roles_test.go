package roles

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// fleet gives an advice from a time on, for so long.
type fleet struct {
	start      time.Time
	from, till time.Duration
	orders     []string
}

func (f *fleet) Advise() (decide.Advice, bool) {
	at := time.Since(f.start)
	return decide.Advice{Pool: "p", Engines: []string{"a", "b"}, Role: decide.Decode}, at >= f.from && at < f.till
}

func (f *fleet) SetRole(_ context.Context, engine string, _ decide.EngineRole, _ lease.Lease) error {
	f.orders = append(f.orders, engine)
	return nil
}

// leases gives one, or says that another box holds it, after a delay.
type leases struct {
	err   error
	delay time.Duration
}

func (l leases) Acquire(context.Context) (lease.Lease, error) {
	until := time.Now().Add(time.Second)
	time.Sleep(l.delay)
	return lease.Lease{Fence: 1, Until: until}, l.err
}

func expectOrders(t *testing.T, f fleet, l leases, want int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f.start = time.Now()
		// The third order of a steady advice comes after 18.9 to 20.7 s, the fourth after 28.2.
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
		defer cancel()
		m := &Manager{Fleet: &f, Leases: l, Every: 300 * time.Millisecond, Steady: 3, Spacing: 9 * time.Second}
		m.Run(ctx)
		if len(f.orders) != want {
			t.Errorf("expected %d orders, got %v", want, f.orders)
		}
	})
}

// A box that lets others be first gives no order where the advice passes meanwhile.
func TestLetsOthersBeFirst(t *testing.T) {
	for patience, want := range map[int]int{0: 2, 20: 0} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{start: time.Now(), till: 3 * time.Second}
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			m := &Manager{Fleet: f, Leases: leases{}, Every: 300 * time.Millisecond, Steady: 3, Spacing: 9 * time.Second, Patience: func() int { return patience }}
			m.Run(ctx)
			if len(f.orders) != want {
				t.Errorf("patience of %d: expected %d orders, got %v", patience, want, f.orders)
			}
		})
	}
}

func TestFollowsSteadyAdvice(t *testing.T) {
	expectOrders(t, fleet{till: 5 * time.Second}, leases{}, 2)
}
func TestIgnoresPassingAdvice(t *testing.T) {
	expectOrders(t, fleet{from: time.Second, till: 1300 * time.Millisecond}, leases{}, 0)
}
func TestSpacesOrders(t *testing.T) { expectOrders(t, fleet{till: time.Hour}, leases{}, 6) }
func TestOtherBoxOrders(t *testing.T) {
	expectOrders(t, fleet{till: time.Hour}, leases{err: lease.ErrHeld}, 0)
}
func TestPausedHolder(t *testing.T) {
	expectOrders(t, fleet{till: 5 * time.Second}, leases{delay: 2 * time.Second}, 0)
}
