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

func (s *rowStore) put(version int64, value []byte) (int64, error) {
	if s.row.Version != version {
		return 0, ErrConflict
	}
	s.row = Row{Value: value, Version: version + 1 + int64(s.rng.IntN(3))}
	return s.row.Version, nil
}

func (s *rowStore) Put(_ context.Context, _ string, version int64, value []byte) (int64, error) {
	time.Sleep(s.delay())
	s.mu.Lock()
	defer s.mu.Unlock()
	switch p := s.rng.Float64(); {
	case p < s.Lost:
		_, _ = s.put(version, value)
		return 0, errNoAnswer
	case p < s.Lost+s.Late:
		time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.put(version, value)
		})
		return 0, errNoAnswer
	case p < s.Lost+s.Late+s.Bad:
		return 0, errNoAnswer
	}
	return s.put(version, value)
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
	const length, use = 2 * time.Second, 300 * time.Millisecond
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := &rowStore{rng: rand.New(rand.NewPCG(seed, 7)), start: time.Now(), Lost: 0.2, Late: 0.2, Bad: 0.1}
			var mu sync.Mutex
			var ops []porcupine.Operation
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					k := &Keeper{Rows: s, Key: "k", Holder: fmt.Sprint("box", n), Length: length, Use: use}
					for range 6 {
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
						at := time.Since(s.start).Nanoseconds()
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
