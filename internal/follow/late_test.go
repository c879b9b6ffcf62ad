package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// oneRow counts the readings of a table that has one row.
type oneRow struct{ all atomic.Int64 }

func (c *oneRow) All(context.Context) ([]Row, Version, error) {
	c.all.Add(1)
	return []Row{{Key: "a"}}, at(5), nil
}

func (c *oneRow) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	select {
	case <-time.After(wait):
		return nil, since, nil
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
}

// expectLate has a table put its first reading off for two seconds, and expects how often it was read
// whole after one second and after three.
func expectLate(t *testing.T, first bool, told bool, afterOne, afterThree int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		src := &oneRow{}
		table := New(src, Options{
			Wait: time.Second, Limit: time.Second, Stale: 10 * time.Second,
			Late: 2 * time.Second, First: func() bool { return first },
		}, func(map[string][]byte) {})
		ctx, cancel := context.WithCancel(t.Context())
		go table.Run(ctx)
		if told {
			table.Hear(Part{Version: Version{Number: 5}, Rows: []Row{{Key: "a"}}}, 5*time.Second)
		}
		time.Sleep(time.Second)
		if n := src.all.Load(); n != afterOne {
			t.Errorf("expected %d readings after one second, got %d", afterOne, n)
		}
		time.Sleep(2 * time.Second)
		if n := src.all.Load(); n != afterThree {
			t.Errorf("expected %d readings after three seconds, got %d", afterThree, n)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// A first reading is put off for others to tell, and not made at all where they do.
func TestLateFirst(t *testing.T)    { expectLate(t, true, false, 1, 1) }
func TestLateUntold(t *testing.T)   { expectLate(t, false, false, 0, 1) }
func TestLateRelieved(t *testing.T) { expectLate(t, false, true, 0, 0) }
