package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Users saw requests reach endpoints that had left, and answers by configurations long replaced,
// from one box of several, until it was restarted. In the order of events: a connection to the
// store ended, and the box let one table look whether the store was back; while that call was
// under way, another table's call from before was answered; the store was back, so the look was
// ended; it ended without giving back the right to look. At the next outage every table waited for
// the end of a look that nobody made, for good.
//
// The evidence: on eight days out of eight with connections that end in a slow store and two outages,
// a box's log ends with one table back and another lost; at the next outage it says of the look that
// it has been under way for 6, 10 and 22 s, where a look takes 0.6 s at the most.

// asked is a call that a table made of a script's store.
type asked struct {
	ctx    context.Context
	answer chan error
}

// script is a store whose calls are answered one by one, as a test says.
type script struct{ calls chan asked }

func newScript() *script { return &script{make(chan asked)} }

func (s *script) All(context.Context) ([]Row, Version, error) { return nil, at(1), nil }

func (s *script) Changed(ctx context.Context, _ Version, _ time.Duration) ([]Row, Version, error) {
	call := asked{ctx, make(chan error, 1)}
	select {
	case s.calls <- call:
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
	select {
	case err := <-call.answer:
		return nil, at(1), err
	case <-ctx.Done():
		return nil, Version{}, ctx.Err()
	}
}

func TestLookEndedByAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a, b, link := newScript(), newScript(), &Link{}
		o := Options{Wait: 8 * time.Second, Limit: 600 * time.Millisecond, Link: link}
		go New(a, o, func(map[string][]byte) {}).Run(ctx)
		go New(b, o, func(map[string][]byte) {}).Run(ctx)
		first, before := <-a.calls, <-b.calls
		first.answer <- errDown
		look := <-a.calls
		before.answer <- nil
		<-look.ctx.Done() // The store is back: the look is ended.
		again, other := <-a.calls, <-b.calls
		again.answer <- errDown
		other.answer <- errDown
		select {
		case <-a.calls:
		case <-b.calls:
		case <-time.After(10 * time.Second):
			t.Errorf("expected a table to look whether the store is back, the link says %+v", link.State(time.Now()))
		}
		cancel()
		synctest.Wait()
	})
}

// flaky is a store that at random moments ends calls, leaves them without an answer, answers
// slowly, or forgets its history.
type flaky struct {
	mu  sync.Mutex
	rng *rand.Rand
	// asked is when it was asked last.
	asked time.Time
}

// ask notes a call, and draws how long it takes and what comes of it.
func (s *flaky) ask(wait time.Duration) (takes time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = time.Now()
	takes = time.Duration(s.rng.Float64() * float64(wait+400*time.Millisecond))
	switch s.rng.IntN(5) {
	case 0:
		return takes / 20, errDown
	case 1:
		return time.Hour, nil
	case 2:
		return takes, errDown
	case 3:
		return takes, ErrForgotten
	}
	return takes, nil
}

// silent is for how long it was not asked.
func (s *flaky) silent() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.asked)
}

func (s *flaky) All(ctx context.Context) ([]Row, Version, error) {
	_, _, err := s.Changed(ctx, Version{}, 0)
	return nil, at(1), err
}

func (s *flaky) Changed(ctx context.Context, _ Version, wait time.Duration) ([]Row, Version, error) {
	takes, err := s.ask(wait)
	if gone := passes(ctx, takes); gone != nil {
		return nil, Version{}, gone
	}
	return nil, at(1), err
}

// expectAsked has four tables share the way to a store, with others that tell one of them of it
// at times, and expects the store to be asked at least so often, in all orders of ends of calls.
func expectAsked(t *testing.T, seeds uint64, within time.Duration) {
	t.Helper()
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			s := &flaky{rng: rand.New(rand.NewPCG(seed, 5)), asked: time.Now()}
			told, link := rand.New(rand.NewPCG(seed, 6)), &Link{}
			var tables []*Table
			for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
				table := New(s, Options{Wait: wait, Limit: 600 * time.Millisecond, Stale: time.Second, Link: link}, func(map[string][]byte) {})
				tables = append(tables, table)
				go table.Run(ctx)
			}
			for range 600 { // A minute.
				time.Sleep(100 * time.Millisecond)
				if told.IntN(20) == 0 {
					tables[0].Hear(Part{Version: Version{Number: 1}, Since: Version{Number: 1}, Lost: told.IntN(2) == 0}, 300*time.Millisecond)
				}
				if silent := s.silent(); silent > within {
					t.Errorf("seed %d: expected the store to be asked within %s, not for %s; the link says %+v", seed, within, silent, link.State(time.Now()))
					break
				}
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

// The longest a call may wait and its limit are 8.6 s, and the pause before the next look 2.4 s.
func TestStoreAskedInAnyOrder(t *testing.T) { expectAsked(t, 200, 12*time.Second) }

// A box whose table had not been heard of for long told it on without a word of that: two such
// boxes followed each other for the rest of a day, each by what the other had. Its log says so:
// it followed one box from 5.5 s to the end, and served by the version of 4.5 s.
func TestOverdueIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(newScript(), Options{Wait: time.Second, Limit: time.Second, Stale: time.Second}, func(map[string][]byte) {})
		table.Hear(Part{Version: Version{Number: 1}}, time.Second)
		if table.Unavailable() || table.PartSince(Version{}).Lost {
			t.Error("expected a table that was just heard of to count as fresh")
		}
		time.Sleep(table.OverdueAfter() + time.Millisecond)
		if !table.Unavailable() || !table.PartSince(Version{}).Lost {
			t.Errorf("expected one of %s to be told as such, got %+v", table.Fresh.Age(), table.PartSince(Version{}))
		}
	})
}

// Such a word did not only keep a box from leaving the other one: it also counted as the store's
// return.
func TestOldWordIsNoReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(newScript(), Options{Wait: time.Second, Limit: time.Second, Stale: time.Second}, func(map[string][]byte) {})
		table.Hear(Part{Version: Version{Number: 1}}, time.Second)
		table.note(errDown)
		table.Hear(Part{Version: Version{Number: 1}, Since: Version{Number: 1}, Age: table.OverdueAfter() + time.Millisecond}, time.Second)
		if !table.Unavailable() {
			t.Error("expected word that is overdue not to count as the store's return")
		}
		table.Hear(Part{Version: Version{Number: 1}, Since: Version{Number: 1}}, time.Second)
		if table.Unavailable() {
			t.Error("expected fresh word to count as the store's return")
		}
	})
}
