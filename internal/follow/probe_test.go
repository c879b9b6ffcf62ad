package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// These tests guard against a probe whose permit is never released. A probe is the call by which a box checks whether
// the store is back. Users saw one box of several send requests to endpoints that had left, and answer by
// configurations long replaced, until the box was restarted. First a connection to the store ended, and one table
// of the box probed the store. During the probe an older call of another table was answered. So the store was back,
// and the probe was cancelled, without releasing its permit. At the next outage every table waited, for good, for the
// end of a probe that nobody made.
//
// The fault was reproduced on eight of eight simulated days on which connections end while the store is slow, with two
// outages each. The log of such a box ends with one table back and another one lost. At the next outage it reports a
// probe that has been in progress for 6, 10 and 22 s; a probe takes 0.6 s at most.

// scriptedCall is a call that a table has made to a scriptedStore.
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
		<-probe.ctx.Done() // The store has answered the other table, and so the probe is cancelled.
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

// flakyStore is a store with faults at random. It ends a call, never answers it, answers it slowly, or reports that its
// history is lost.
type flakyStore struct {
	mu  sync.Mutex
	rng *rand.Rand
	// lastCall is when the store was last called.
	lastCall time.Time
}

// nextOutcome records a call, and selects at random how long it takes and how it ends.
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

// sinceLastCall is the time since the store was last called.
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

// expectCalled has four tables share a link to a flaky store, while another box sends one of the tables updates at
// times. It expects the time between two calls to the store never to be longer than within.
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
			for range 600 { // One minute in steps of 100 ms.
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

// A call takes up to 8.6 s, its longest wait and its timeout together. The pause before the next probe is at most
// 2.4 s.
func TestStoreCalledInAnyOrder(t *testing.T) { expectCalled(t, 200, 12*time.Second) }

// A box reports that its table is overdue when the table has not been confirmed for too long. Before, a box sent such
// a table on without reporting that. Two such boxes followed each other for the rest of a day, each by the other's
// data: one of them followed the other from 5.5 s to the end, and still served by the version of 4.5 s.
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

// A part that is overdue at its sender does not count as recovery of the store, and a fresh part does. Before, an
// overdue part counted as recovery, in addition to keeping the box from leaving its sender.
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

// probeLostLink returns a link whose store did not answer, and the permit of a probe that lasts for one second.
func probeLostLink(t *testing.T) (l *Link, probe *permit) {
	t.Helper()
	l = &Link{}
	l.acquire(t.Context(), time.Second).finish(clock.Now(), false)
	time.Sleep(maxRetryPause)
	probe = l.acquire(t.Context(), time.Second)
	if !probe.probe || !l.State(clock.Now()).Down {
		t.Fatal("expected the call after an outage to be a probe")
	}
	return l, probe
}

// Guards against tables that wait for the end of another table's long response although the store has answered.
func TestOtherTablesCallOnceAProbeIsAnswering(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, probe := probeLostLink(t)
		called := false
		go func() {
			l.acquire(t.Context(), time.Second)
			called = true
		}()
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		if called {
			t.Error("expected the other tables to wait before the store answers")
		}
		probe.markAnswering(clock.Now(), time.Second)
		synctest.Wait()
		if !called || l.State(clock.Now()).Down {
			t.Error("expected the other tables to call the store when the probe's response begins")
		}
		if probe.era.Err() == nil || !probe.answering() {
			t.Error("expected an answering probe in a new link era")
		}
	})
}

// Guards against a second probe beside one whose long response makes progress, and against one that is never replaced.
func TestProbeLastsForAsLongAsItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, probe := probeLostLink(t)
		for range 5 {
			time.Sleep(800 * time.Millisecond)
			probe.markAnswering(clock.Now(), time.Second)
		}
		if left := probe.until.Sub(clock.Now()); left != time.Second {
			t.Errorf("expected the probe to have another second, got %s", left)
		}
		l.acquire(t.Context(), time.Second).finish(clock.Now(), false) // The store is lost again meanwhile.
		time.Sleep(1200 * time.Millisecond)
		if p, _, _ := l.tryAcquire(clock.Now(), time.Second); p == nil || !p.probe {
			t.Error("expected another probe after the first has made no progress for its time")
		}
	})
}
