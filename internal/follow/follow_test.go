package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// store is a table whose one row counts up, behind a script of troubles.
type store struct {
	rng   *rand.Rand
	value int
	ver   int64
	start time.Time
	// Down is the part of calls that fail, Hang that never answer, Old that answer with
	// an earlier state, Forgotten that have lost the history.
	Down, Hang, Old, Forgotten float64
}

// now advances the table with time: one change every 100 ms.
func (s *store) now() {
	s.value = int(time.Since(s.start) / (100 * time.Millisecond))
	s.ver = int64(1000 + 3*s.value)
}

var errDown = errors.New("down")

func (s *store) trouble(ctx context.Context) error {
	s.now()
	switch {
	case s.rng.Float64() < s.Down:
		return errDown
	case s.rng.Float64() < s.Hang:
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *store) rows() ([]Row, int64) {
	value, ver := s.value, s.ver
	if s.value > 5 && s.rng.Float64() < s.Old {
		value, ver = s.value-5, s.ver-15
	}
	return []Row{{Key: "n", Value: fmt.Append(nil, value)}}, ver
}

func (s *store) All(ctx context.Context) ([]Row, int64, error) {
	if err := s.trouble(ctx); err != nil {
		return nil, 0, err
	}
	rows, ver := s.rows()
	return rows, ver, nil
}

func (s *store) Changed(ctx context.Context, since int64, wait time.Duration) ([]Row, int64, error) {
	if err := s.trouble(ctx); err != nil {
		return nil, 0, err
	}
	if s.rng.Float64() < s.Forgotten {
		return nil, 0, ErrForgotten
	}
	if s.ver == since {
		time.Sleep(min(wait, 100*time.Millisecond))
		s.now()
	}
	rows, ver := s.rows()
	return rows, ver, nil
}

// expectFollowed follows a store for a virtual minute and returns the longest time that
// the copy was behind. It fails if the copy ever steps back.
func expectFollowed(t *testing.T, s store, within time.Duration) {
	t.Helper()
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			src := s
			src.rng, src.start = rand.New(rand.NewPCG(seed, 1)), time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			last, at, worst := -1, time.Now(), time.Duration(0)
			o := Options{Wait: time.Second, Pause: 100 * time.Millisecond, Retry: 200 * time.Millisecond, Limit: 500 * time.Millisecond}
			New(&src, o, func(rows map[string][]byte) {
				n := 0
				_, _ = fmt.Sscan(string(rows["n"]), &n)
				if n < last {
					t.Errorf("seed %d: the copy stepped back from %d to %d", seed, last, n)
				}
				worst = max(worst, time.Since(at))
				last, at = n, time.Now()
			}).Run(ctx)
			if worst > within {
				t.Errorf("seed %d: expected a change within %s, got one after %s", seed, within, worst)
			}
		})
	}
}

func TestFollows(t *testing.T)    { expectFollowed(t, store{}, 250*time.Millisecond) }
func TestForgotten(t *testing.T)  { expectFollowed(t, store{Forgotten: 0.3}, 500*time.Millisecond) }
func TestStoreDown(t *testing.T)  { expectFollowed(t, store{Down: 0.5}, 10*time.Second) }
func TestStoreHangs(t *testing.T) { expectFollowed(t, store{Hang: 0.3}, 20*time.Second) }
func TestStoreOld(t *testing.T) {
	expectFollowed(t, store{Old: 0.3, Forgotten: 0.2}, 10*time.Second)
}

// removed tells a follower first of two rows and then that one is gone.
type removed struct{ calls int }

func (r *removed) All(context.Context) ([]Row, int64, error) {
	return []Row{{Key: "a"}, {Key: "b"}}, 1, nil
}

func (r *removed) Changed(ctx context.Context, _ int64, _ time.Duration) ([]Row, int64, error) {
	r.calls++
	if r.calls == 1 {
		return []Row{{Key: "a", Gone: true}}, 2, nil
	}
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func TestRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		var sizes []int
		New(&removed{}, Options{Wait: time.Second}, func(rows map[string][]byte) { sizes = append(sizes, len(rows)) }).Run(ctx)
		if !slices.Equal(sizes, []int{2, 1}) {
			t.Errorf("expected 2 rows and then 1, got %v", sizes)
		}
	})
}
