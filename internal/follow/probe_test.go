package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a probe whose permit is never released. Users saw requests reach endpoints that had left,
// and answers by configurations long replaced, from one box of several, until it was restarted. A connection
// to the store ended, and one table of the box probed the store; during the probe another table's older call
// was answered, so the store was back and the probe was cancelled, without releasing its permit. At the next
// outage every table waited for the end of a probe that nobody made, for good.
//
// It was reproduced on eight simulated days out of eight with connections that end in a slow store and two
// outages: a box's log ends with one table back and another lost, and at the next outage reports a probe
// in progress for 6, 10 and 22 s, where a probe takes 0.6 s at most.

// scriptedCall is a call that a table made to a scriptedStore.
type scriptedCall struct {
	ctx    context.Context
	answer chan error
}

// scriptedStore is a store whose calls a test answers one by one.
type scriptedStore struct{ calls chan scriptedCall }

func newScriptedStore() *scriptedStore { return &scriptedStore{make(chan scriptedCall)} }

func (s *scriptedStore) All(context.Context) ([]Row, Version, error) {
	return nil, plainVersion(1), nil
}

func (s *scriptedStore) Changed(ctx context.Context, _ Version, _ time.Duration) ([]Row, Version, error) {
	call := scriptedCall{ctx, make(chan error, 1)}
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
	select {
	case err := <-call.answer:
		return nil, plainVersion(1), err
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
}

func TestProbeCancelledByAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a, b, link := newScriptedStore(), newScriptedStore(), &Link{}
		o := Options{Wait: 8 * time.Second, CallTimeout: 600 * time.Millisecond, Link: link}
		go New(a, o, func(map[string][]byte) {}).Run(ctx)
		go New(b, o, func(map[string][]byte) {}).Run(ctx)
		first, pending := <-a.calls, <-b.calls
		first.answer <- errDown
		probe := <-a.calls
		pending.answer <- nil
		<-probe.ctx.Done() // The store is back: the probe is cancelled.
		again, other := <-a.calls, <-b.calls
		again.answer <- errDown
		other.answer <- errDown
		select {
		case <-a.calls:
		case <-b.calls:
		case <-time.After(10 * time.Second):
			t.Errorf("expected a table to probe the store, link state %+v", link.State(time.Now()))
		}
		cancel()
		synctest.Wait()
	})
}

// flakyStore is a store that randomly ends calls, leaves them unanswered, answers slowly, or loses
// its history.
type flakyStore struct {
	mu  sync.Mutex
	rng *rand.Rand
	// lastCall is when it was last called.
	lastCall time.Time
}

// nextOutcome records a call, and selects its duration and result.
func (s *flakyStore) nextOutcome(wait time.Duration) (takes time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall = time.Now()
	takes = time.Duration(s.rng.Float64() * float64(wait+400*time.Millisecond))
	switch s.rng.IntN(5) {
	case 0:
		return takes / 20, errDown
	case 1:
		return time.Hour, nil
	case 2:
		return takes, errDown
	case 3:
		return takes, ErrHistoryLost
	}
	return takes, nil
}

// sinceLastCall is the time since it was last called.
func (s *flakyStore) sinceLastCall() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastCall)
}

func (s *flakyStore) All(ctx context.Context) ([]Row, Version, error) {
	_, _, err := s.Changed(ctx, Version{}, 0)
	return nil, plainVersion(1), err
}

func (s *flakyStore) Changed(ctx context.Context, _ Version, wait time.Duration) ([]Row, Version, error) {
	takes, err := s.nextOutcome(wait)
	if ended := sleep(ctx, takes); ended != nil {
		return nil, Version{}, ended
	}
	return nil, plainVersion(1), err
}

// expectCalled has four tables share a link to a store, while another box sends one of them
// updates at times, and expects the store to be called at least so often, in any order of call ends.
func expectCalled(t *testing.T, seeds uint64, within time.Duration) {
	t.Helper()
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &flakyStore{rng: rand.New(rand.NewPCG(seed, 5)), lastCall: time.Now()}
			updates, link := rand.New(rand.NewPCG(seed, 6)), &Link{}
			var tables []*Table
			for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
				table := New(s, Options{Wait: wait, CallTimeout: 600 * time.Millisecond, StaleAfter: time.Second, Link: link}, func(map[string][]byte) {})
				tables = append(tables, table)
				go table.Run(ctx)
			}
			for range 600 { // A minute.
				time.Sleep(100 * time.Millisecond)
				if updates.IntN(20) == 0 {
					tables[0].Receive(Part{Version: Version{Number: 1}, Since: Version{Number: 1}, Lost: updates.IntN(2) == 0}, 300*time.Millisecond)
				}
				if idle := s.sinceLastCall(); idle > within {
					t.Errorf("seed %d: expected the store to be called within %s, not for %s; link state %+v", seed, within, idle, link.State(time.Now()))
					break
				}
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// The longest wait of a call and its limit are 8.6 s, and the longest pause before the next probe 2.4 s.
func TestStoreCalledInAnyOrder(t *testing.T) { expectCalled(t, 200, 12*time.Second) }

// A box with an overdue table sent it on without reporting that: two such boxes followed each other for
// the rest of a day, each by the other's data. One followed the other from 5.5 s to the end, and served by
// the version of 4.5 s.
func TestOverdueIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(newScriptedStore(), Options{Wait: time.Second, CallTimeout: time.Second, StaleAfter: time.Second}, func(map[string][]byte) {})
		table.Receive(Part{Version: Version{Number: 1}}, time.Second)
		if table.Unavailable() || table.PartSince(Version{}).Lost {
			t.Error("expected a table that was just updated to count as fresh")
		}
		time.Sleep(table.OverdueAfter() + time.Millisecond)
		if !table.Unavailable() || !table.PartSince(Version{}).Lost {
			t.Errorf("expected a table of age %s to be reported as overdue, got %+v", table.Fresh.Age(), table.PartSince(Version{}))
		}
	})
}

// An overdue part did not only keep a box from leaving the other one: it also counted as the recovery
// of the store.
func TestOverduePartIsNoRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(newScriptedStore(), Options{Wait: time.Second, CallTimeout: time.Second, StaleAfter: time.Second}, func(map[string][]byte) {})
		table.Receive(Part{Version: Version{Number: 1}}, time.Second)
		table.recordResult(errDown)
		table.Receive(Part{Version: Version{Number: 1}, Since: Version{Number: 1}, Age: table.OverdueAfter() + time.Millisecond}, time.Second)
		if !table.Unavailable() {
			t.Error("expected an overdue part not to count as recovery of the store")
		}
		table.Receive(Part{Version: Version{Number: 1}, Since: Version{Number: 1}}, time.Second)
		if table.Unavailable() {
			t.Error("expected a fresh part to count as recovery of the store")
		}
	})
}
