package follow

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// patient is a store that answers a call when its wait is over, and ends it with its caller.
type patient struct{ calls, cut atomic.Int64 }

func (p *patient) All(context.Context) ([]Row, Version, error) { return nil, at(1), nil }

func (p *patient) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	p.calls.Add(1)
	select {
	case <-time.After(wait):
		return nil, since, nil
	case <-ctx.Done():
		p.cut.Add(1)
		return nil, Version{}, ctx.Err()
	}
}

// expectQuickened has other boxes begin to follow one that pauses after its first reading, or waits in a
// call, and expects what it tells them to be never older than they may be told.
func expectQuickened(t *testing.T, pause time.Duration, after time.Duration, cut int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		src := &patient{}
		table := New(src, Options{Wait: 6 * time.Second, Pause: pause, FollowedWait: time.Second, FollowedPause: time.Second, Limit: time.Second, Stale: 5 * time.Second}, func(map[string][]byte) {})
		lost := 0
		table.Lost = func(error) { lost++ }
		ctx, cancel := context.WithCancel(context.Background())
		go table.Run(ctx)
		time.Sleep(after)
		table.SetFollowed(true)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := table.PartSince(at(1)).Age; age > 2500*time.Millisecond {
				t.Fatalf("expected followers to be told what is at most 2.5 s old, got %s", age)
			}
		}
		if lost > 0 {
			t.Errorf("expected a call that was cut short not to count as a loss of the store, got %d", lost)
		}
		if n := src.cut.Load(); n != cut {
			t.Errorf("expected %d calls to be cut short, got %d", cut, n)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// 20 boxes that started together asked the store three times each in their first six seconds, though one
// of them read for all: it had gone to sleep for five seconds, or waited as long for a change, before
// the others began to follow it, and what it told them became too old for all at the same moment.
func TestQuickenedPause(t *testing.T) { expectQuickened(t, 5*time.Second, 500*time.Millisecond, 0) }
func TestQuickenedCall(t *testing.T)  { expectQuickened(t, 0, 500*time.Millisecond, 1) }
