package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// oneRowStore counts the reads of a table that has one row.
type oneRowStore struct{ all atomic.Int64 }

func (c *oneRowStore) All(context.Context) ([]Row, Version, error) {
	c.all.Add(1)
	return []Row{{Key: "a"}}, plainVersion(5), nil
}

func (c *oneRowStore) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	select {
	case <-time.After(wait):
		return nil, since, nil
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
}

// expectFirstRead has a table delay its first read for two seconds, and expects how often it was read
// whole after one second and after three.
func expectFirstRead(t *testing.T, first bool, updated bool, afterOne, afterThree int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		src := &oneRowStore{}
		table := New(src, Options{
			Wait: time.Second, CallTimeout: time.Second, StaleAfter: 10 * time.Second,
			FirstReadDelay: 2 * time.Second, NoUpstreamExpected: func() bool { return first },
		}, func(map[string][]byte) {})
		ctx, cancel := context.WithCancel(t.Context())
		go table.Run(ctx)
		if updated {
			table.Receive(Part{Version: Version{Number: 5}, Rows: []Row{{Key: "a"}}}, 5*time.Second)
		}
		time.Sleep(time.Second)
		if n := src.all.Load(); n != afterOne {
			t.Errorf("expected %d reads after one second, got %d", afterOne, n)
		}
		time.Sleep(2 * time.Second)
		if n := src.all.Load(); n != afterThree {
			t.Errorf("expected %d reads after three seconds, got %d", afterThree, n)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// The first read is delayed so that another box can send the table, and is not made if one does.
func TestFirstReadAtOnce(t *testing.T)    { expectFirstRead(t, true, false, 1, 1) }
func TestFirstReadDelayed(t *testing.T)   { expectFirstRead(t, false, false, 0, 1) }
func TestFirstReadNotNeeded(t *testing.T) { expectFirstRead(t, false, true, 0, 0) }
