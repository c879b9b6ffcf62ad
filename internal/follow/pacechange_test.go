package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// longPollStore is a store that answers a request for changes after its wait, without any change. It counts these
// requests, and separately the requests that the caller cancelled.
type longPollStore struct{ calls, cancelled atomic.Int64 }

func (p *longPollStore) All(context.Context) ([]Row, Version, error) {
	return nil, plainVersion(1), nil
}

func (p *longPollStore) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	p.calls.Add(1)
	select {
	case <-time.After(wait):
		return nil, since, nil
	case <-ctx.Done():
		p.cancelled.Add(1)
		return nil, Version{}, ctx.Err()
	}
}

// expectPaceChange has other boxes begin to follow a box while it pauses after its first read, or while it waits in a
// call. It expects the box never to send them data that is more than 2.5 s old.
func expectPaceChange(t *testing.T, pause time.Duration, after time.Duration, cancelled int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		src := &longPollStore{}
		table := New(src, Options{Wait: 6 * time.Second, Pause: pause, FollowedWait: time.Second, FollowedPause: time.Second, CallTimeout: time.Second, StaleAfter: 5 * time.Second}, func(map[string][]byte) {})
		lost := 0
		table.OnLost = func(error) { lost++ }
		ctx, cancel := context.WithCancel(context.Background())
		go table.Run(ctx)
		time.Sleep(after)
		table.SetFollowed(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := table.PartSince(plainVersion(1)).Age; age > 2500*time.Millisecond {
				t.Fatalf("expected followers to be sent data at most 2.5 s old, got %s", age)
			}
		}
		if lost > 0 {
			t.Errorf("expected a cancelled call not to count as a loss of the store, got %d", lost)
		}
		if n := src.cancelled.Load(); n != cancelled {
			t.Errorf("expected %d calls to be cancelled, got %d", cancelled, n)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Before, 20 boxes that started together each called the store three times in their first six seconds, although one
// of them read it for all. That box had begun a pause or a call of five seconds before the others followed it. So
// what it sent became stale for all of them at the same moment.
func TestFollowedDuringPause(t *testing.T) {
	expectPaceChange(t, 5*time.Second, 500*time.Millisecond, 0)
}
func TestFollowedDuringCall(t *testing.T) { expectPaceChange(t, 0, 500*time.Millisecond, 1) }

// Guards against a list that a box that has just started hears again only after the long wait of a store without changes.
func TestFirstWaitConfirmsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		src := &longPollStore{}
		table := New(src, Options{Wait: 8 * time.Second, FollowedWait: 8 * time.Second, FirstWait: 500 * time.Millisecond, SettleDelay: 450 * time.Millisecond, Pause: time.Second, CallTimeout: time.Second}, func(map[string][]byte) {})
		ctx, cancel := context.WithCancel(context.Background())
		go table.Run(ctx)
		time.Sleep(2500 * time.Millisecond)
		if age := table.Fresh.Age(); age > 1500*time.Millisecond {
			t.Errorf("expected the store to confirm the table later than 1 s after the start, got an age of %s", age)
		}
		time.Sleep(10 * time.Second)
		if n := src.calls.Load(); n > 6 {
			t.Errorf("expected long waits after the start, got %d calls", n)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
