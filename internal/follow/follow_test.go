package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// faultyStore is a table with one row, a number that grows with time, and with injected faults.
type faultyStore struct {
	rng   *rand.Rand
	value int
	ver   int64
	start time.Time
	// Each field is the fraction of calls with a fault. Down: the call fails. Hang: the call is never answered. Old:
	// the call is answered with an earlier state. Forgotten: the history is lost for the call.
	Down, Hang, Old, Forgotten float64
}

// advance advances the table with time: one change every 100 ms.
func (s *faultyStore) advance() {
	s.value = int(time.Since(s.start) / (100 * time.Millisecond))
	s.ver = int64(1000 + 3*s.value)
}

var errDown = errors.New("down")

func (s *faultyStore) fault(ctx context.Context) error {
	s.advance()
	switch {
	case s.rng.Float64() < s.Down:
		return errDown
	case s.rng.Float64() < s.Hang:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *faultyStore) rows() ([]Row, Version) {
	value, ver := s.value, plainVersion(s.ver)
	if s.value > 5 && s.rng.Float64() < s.Old {
		value, ver = s.value-5, plainVersion(s.ver-15)
	}
	return []Row{{Key: "n", Value: fmt.Append(nil, value)}}, ver
}

func (s *faultyStore) All(ctx context.Context) ([]Row, Version, error) {
	if err := s.fault(ctx); err != nil {
		return nil, Version{}, err
	}
	rows, ver := s.rows()
	return rows, ver, nil
}

func (s *faultyStore) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	if err := s.fault(ctx); err != nil {
		return nil, Version{}, err
	}
	if s.rng.Float64() < s.Forgotten {
		return nil, Version{}, ErrHistoryLost
	}
	if plainVersion(s.ver) == since {
		time.Sleep(min(wait, 100*time.Millisecond))
		s.advance()
	}
	rows, ver := s.rows()
	return rows, ver, nil
}

// expectFollowed follows a store for a virtual minute and checks the longest time between two changes of the copy. It
// fails if the copy ever goes back to an older state.
func expectFollowed(t *testing.T, s faultyStore, within time.Duration) {
	t.Helper()
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			src := s
			src.rng, src.start = rand.New(rand.NewPCG(seed, 1)), time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			last, changedAt, worst := -1, time.Now(), time.Duration(0)
			o := Options{Wait: time.Second, Pause: 100 * time.Millisecond, CallTimeout: 500 * time.Millisecond}
			New(&src, o, func(rows map[string][]byte) {
				n := 0
				_, _ = fmt.Sscan(string(rows["n"]), &n)
				if n < last {
					t.Errorf("seed %d: the copy stepped back from %d to %d", seed, last, n)
				}
				worst = max(worst, time.Since(changedAt))
				last, changedAt = n, time.Now()
			}).Run(ctx)
			if worst > within {
				t.Errorf("seed %d: expected a change within %s, got one after %s", seed, within, worst)
			}
		})
	}
}

func TestFollows(t *testing.T) { expectFollowed(t, faultyStore{}, 250*time.Millisecond) }
func TestForgotten(t *testing.T) {
	expectFollowed(t, faultyStore{Forgotten: 0.3}, 500*time.Millisecond)
}
func TestStoreDown(t *testing.T)  { expectFollowed(t, faultyStore{Down: 0.5}, 10*time.Second) }
func TestStoreHangs(t *testing.T) { expectFollowed(t, faultyStore{Hang: 0.3}, 20*time.Second) }
func TestStoreOld(t *testing.T) {
	expectFollowed(t, faultyStore{Old: 0.3, Forgotten: 0.2}, 10*time.Second)
}

// removingStore first returns the rows a and b, and then reports that row a was removed.
type removingStore struct{ calls int }

func (r *removingStore) All(context.Context) ([]Row, Version, error) {
	return []Row{{Key: "a"}, {Key: "b"}}, plainVersion(1), nil
}

func (r *removingStore) Changed(ctx context.Context, _ Version, _ time.Duration) ([]Row, Version, error) {
	r.calls++
	if r.calls == 1 {
		return []Row{{Key: "a", Gone: true}}, plainVersion(2), nil
	}
	<-ctx.Done()
	return nil, Version{}, ctx.Err()
}

func TestRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var sizes []int
		New(&removingStore{}, Options{Wait: time.Second}, func(rows map[string][]byte) { sizes = append(sizes, len(rows)) }).Run(ctx)
		if !slices.Equal(sizes, []int{2, 1}) {
			t.Errorf("expected 2 rows and then 1, got %v", sizes)
		}
	})
}

// outage is a store that does not answer from one time to another, and counts the calls in that period. It fails these
// calls. If unresponsive is set, it leaves them unanswered instead.
type outage struct {
	from, to     time.Time
	unresponsive bool

	mu     sync.Mutex
	during int
}

func (o *outage) call(ctx context.Context, wait time.Duration) error {
	now := time.Now()
	if now.After(o.from) && now.Before(o.to) {
		o.mu.Lock()
		o.during++
		o.mu.Unlock()
		if !o.unresponsive {
			return errDown
		}
		<-ctx.Done()
		return ctx.Err()
	}
	if end := now.Add(wait); o.unresponsive && end.After(o.from) && now.Before(o.from) {
		<-ctx.Done() // Calls that were in progress when the outage began are never answered.
		return ctx.Err()
	}
	return sleep(ctx, wait)
}

// sleep waits for a time or until ctx ends. It creates no timer that is due immediately. With such a timer in a select,
// these tests crashed in about one of a hundred runs. That was with Go 1.26.8 and the race detector. The crash was a
// segmentation violation in the runtime's maybeRunChan.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *outage) All(ctx context.Context) ([]Row, Version, error) {
	return []Row{}, plainVersion(1), o.call(ctx, 0)
}

func (o *outage) Changed(ctx context.Context, _ Version, wait time.Duration) ([]Row, Version, error) {
	return nil, plainVersion(1), o.call(ctx, wait)
}

// expectOutage has three tables share a link during an outage of the store. A call of two of the tables waits up to 2 s
// for a change. A call of the third table waits up to 8 s. It expects at most a number of calls during the outage.
// After the outage it expects each table to be answered again within a given time.
func expectOutage(t *testing.T, unresponsive bool, duration time.Duration, calls int, within time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		o := &outage{from: start.Add(10 * time.Second), to: start.Add(10*time.Second + duration), unresponsive: unresponsive}
		ctx, cancel := context.WithTimeout(context.Background(), duration+20*time.Second)
		defer cancel()
		link := &Link{}
		var fresh [3]Freshness
		for i := range fresh {
			wait := 2 * time.Second
			if i == 2 {
				wait = 8 * time.Second
			}
			table := New(o, Options{Wait: wait, CallTimeout: 600 * time.Millisecond, Link: link}, func(map[string][]byte) {})
			table.Fresh = &fresh[i]
			go table.Run(ctx)
		}
		time.Sleep(10*time.Second + duration + within)
		for i := range fresh {
			if fresh[i].Age() > within {
				t.Errorf("table %d: expected the table to recover within %s of the outage, last answer %s ago", i, within, fresh[i].Age())
			}
		}
		if o.during > calls {
			t.Errorf("expected at most %d calls to a store that is down, got %d", calls, o.during)
		}
		<-ctx.Done()
		time.Sleep(time.Minute) // By then the tables have stopped.
	})
}

func TestOutageBusy(t *testing.T) {
	expectOutage(t, false, 20*time.Second, 40, 2700*time.Millisecond)
}

func TestOutageSilent(t *testing.T) {
	expectOutage(t, true, 20*time.Second, 20, 2700*time.Millisecond)
}

// A call that began before the store stopped answering may hang. It does not hold up its table once a call of another
// table finds that the store is back.
func TestOutageHalfway(t *testing.T) {
	expectOutage(t, true, 3*time.Second, 6, 2700*time.Millisecond)
}
