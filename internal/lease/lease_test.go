package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
)

// rowStore is a table of one row with a clock of its own. Writes may be lost, done
// without an answer, or done late if their condition still holds.
type rowStore struct {
	mu              sync.Mutex
	rng             *rand.Rand
	row             Row
	start           time.Time
	Lost, Late, Bad float64
	// written are the rows with when they were written; the store may come back with one of them.
	written []writtenRow
}

type writtenRow struct {
	Row
	at time.Time
}

// restore has the store come back with the row as it was some time ago. Its clock may go back, too.
func (s *rowStore) restore(age time.Duration, clockToo bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, at := s.row.Era+1, time.Now().Add(-age)
	s.row = s.written[0].Row
	for _, w := range s.written {
		if w.at.Before(at) {
			s.row = w.Row
		}
	}
	s.row.Era = era
	s.written = []writtenRow{{s.row, at}}
	if clockToo {
		s.start = s.start.Add(age)
	}
}

var errNoAnswer = errors.New("no answer")

func (s *rowStore) Get(context.Context, string) (Row, time.Duration, error) {
	time.Sleep(s.delay())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.Bad {
		return Row{}, 0, errNoAnswer
	}
	return s.row, time.Since(s.start), nil
}

func (s *rowStore) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.IntN(20)) * time.Millisecond
}

func (s *rowStore) put(old Row, value []byte) (Row, error) {
	if s.row.Version != old.Version {
		return Row{}, ErrConflict
	}
	s.row = Row{Value: value, Version: old.Version + 1 + int64(s.rng.IntN(3)), Era: s.row.Era}
	s.written = append(s.written, writtenRow{s.row, time.Now()})
	if s.row.Era != old.Era {
		return s.row, ErrRestored
	}
	return s.row, nil
}

func (s *rowStore) Put(_ context.Context, _ string, old Row, value []byte) (Row, error) {
	time.Sleep(s.delay())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch p := s.rng.Float64(); {
	case p < s.Lost:
		_, _ = s.put(old, value)
		return Row{}, errNoAnswer
	case p < s.Lost+s.Late:
		time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.put(old, value)
		})
		return Row{}, errNoAnswer
	case p < s.Lost+s.Late+s.Bad:
		return Row{}, errNoAnswer
	}
	return s.put(old, value)
}

// order is one order sent to an engine, by the time it arrived there.
type order struct {
	holder string
	fence  int64
}

// orderState is what the engine has seen: the newest fence, its holder, and when the
// last order came.
type orderState struct {
	fence  int64
	holder string
}

// fenceModel accepts orders whose fences never fall, and never belong to two holders.
var fenceModel = porcupine.Model{
	Init: func() any { return orderState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(orderState), input.(order)
		ok := o.fence > s.fence || o.fence == s.fence && o.holder == s.holder
		return ok, orderState{o.fence, o.holder}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// acquirer is how a holder comes by a lease: as the package does, or with a planted bug.
type acquirer func(*Keeper) (Lease, error)

// badHistories counts runs of racing holders, some of them paused between taking the
// lease and sending the order, in which the orders break a rule.
func badHistories(t *testing.T, seeds uint64, acquire acquirer) (bad, sent int) {
	t.Helper()
	return badHistoriesOf(t, seeds, false, acquire)
}

// observer are what one start of a box observed of the store's eras.
type observer struct {
	*rowStore
	era  int64
	at   time.Time
	rose bool
}

func (e *observer) Get(ctx context.Context, key string) (Row, time.Duration, error) {
	row, now, err := e.rowStore.Get(ctx, key)
	if err == nil && row.Era > e.era {
		e.era, e.at, e.rose = row.Era, time.Now(), e.era > 0
	}
	return row, now, err
}

func (e *observer) observed(int64) (time.Time, bool) { return e.at, e.rose }

// badHistoriesOf is badHistories, with a store that comes back from older copies and boxes that start anew
// where restored is true.
func badHistoriesOf(t *testing.T, seeds uint64, restored bool, acquire acquirer) (bad, sent int) {
	t.Helper()
	const length, use = 2 * time.Second, 300 * time.Millisecond
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := &rowStore{rng: rand.New(rand.NewPCG(seed, 7)), start: time.Now(), Lost: 0.2, Late: 0.2, Bad: 0.1}
			if restored {
				// Some lease was taken before: a box that starts cannot tell a row that was lost from none.
				s.row = Row{Value: []byte(`{"era":1}`), Version: 10, Era: 1}
				s.written = []writtenRow{{s.row, time.Now().Add(-time.Minute)}}
				rng := rand.New(rand.NewPCG(seed, 8))
				for range 2 {
					age, clockToo := time.Duration(200+rng.IntN(4000))*time.Millisecond, rng.IntN(2) == 0
					time.AfterFunc(time.Duration(500+rng.IntN(9000))*time.Millisecond, func() { s.restore(age, clockToo) })
				}
			}
			began := time.Now()
			var mu sync.Mutex
			var ops []porcupine.Operation
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					var e *observer
					var k *Keeper
					begin := func() {
						e = &observer{rowStore: s}
						k = &Keeper{Rows: e, Key: "k", Holder: fmt.Sprint("box", n), Length: length, Use: use, Observed: e.observed}
					}
					begin()
					for range 6 {
						if restored && rng.IntN(8) == 0 {
							begin()
						}
						time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
						l, err := acquire(k)
						if err != nil {
							continue
						}
						if rng.IntN(3) == 0 { // Paused.
							time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
						}
						if !l.Valid(time.Now()) {
							continue
						}
						at := time.Since(began).Nanoseconds()
						mu.Lock()
						ops = append(ops, porcupine.Operation{ClientId: n, Input: order{k.Holder, l.Fence}, Call: at, Return: at + 1})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(5 * time.Second) // Late writes end.
			sent += len(ops)
			if !porcupine.CheckOperations(fenceModel, ops) || tooClose(ops, length-use) {
				bad++
			}
		})
	}
	return bad, sent
}

// tooClose says that two holders gave orders within a time of each other.
func tooClose(ops []porcupine.Operation, apart time.Duration) bool {
	for _, a := range ops {
		for _, b := range ops {
			near := a.Call <= b.Call && time.Duration(b.Call-a.Call) < apart
			if near && a.Input.(order).holder != b.Input.(order).holder {
				return true
			}
		}
	}
	return false
}

func TestLeaseHistoriesWithAStoreThatComesBackOlder(t *testing.T) {
	bad, sent := badHistoriesOf(t, 3000, true, func(k *Keeper) (Lease, error) { return k.Acquire(context.Background()) })
	if bad > 0 || sent < 1500 {
		t.Errorf("expected no bad history and many orders, got %d bad and %d orders", bad, sent)
	}
}

func TestLeaseHistories(t *testing.T) {
	bad, sent := badHistories(t, 1500, func(k *Keeper) (Lease, error) { return k.Acquire(context.Background()) })
	if bad > 0 || sent < 1500 {
		t.Errorf("expected no bad history and many orders, got %d bad and %d orders", bad, sent)
	}
}

// The checks catch a holder that trusts a write without an answer, and one that does not
// look at the clock again before the order.
func TestLeaseCheckers(t *testing.T) {
	trusting := func(k *Keeper) (Lease, error) {
		l, err := k.Acquire(context.Background())
		if err != nil && !errors.Is(err, ErrHeld) {
			row, _, _ := k.Rows.Get(context.Background(), k.Key)
			return Lease{Fence: row.Version, Until: time.Now().Add(k.Use)}, nil
		}
		return l, err
	}
	careless := func(k *Keeper) (Lease, error) {
		l, err := k.Acquire(context.Background())
		l.Until = time.Now().Add(time.Hour)
		return l, err
	}
	for name, acquire := range map[string]acquirer{"trusting": trusting, "careless": careless} {
		if bad, _ := badHistories(t, 200, acquire); bad == 0 {
			t.Errorf("%s: expected the planted bug to be caught", name)
		}
	}
}

// The checks catch a holder that takes no notice of eras, and one whose fences have none.
func TestLeaseCheckersOfEras(t *testing.T) {
	blind := func(k *Keeper) (Lease, error) {
		k.Observed = nil
		return k.Acquire(context.Background())
	}
	plain := func(k *Keeper) (Lease, error) {
		l, err := k.Acquire(context.Background())
		l.Fence &= 1<<versionBits - 1
		return l, err
	}
	for name, acquire := range map[string]acquirer{"blind": blind, "plain": plain} {
		if bad, _ := badHistoriesOf(t, 400, true, acquire); bad == 0 {
			t.Errorf("%s: expected the planted bug to be caught", name)
		}
	}
}
