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

// rowStore is a store with one row and its own clock. Writes may fail, take effect without a reply, or take effect late
// if the row's version has not changed until then.
type rowStore struct {
	mu                                        sync.Mutex
	rng                                       *rand.Rand
	row                                       Row
	start                                     time.Time
	lostReplyRate, lateWriteRate, failureRate float64
	// history has all rows that were written. restore returns to one of them.
	history []writtenRow
}

type writtenRow struct {
	Row
	writtenAt time.Time
}

// restore resets the store to its row of a time ago. If rewindClock is set, it also sets the store's clock back by that
// time.
func (s *rowStore) restore(age time.Duration, rewindClock bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era, at := s.row.Era+1, time.Now().Add(-age)
	s.row = s.history[0].Row
	for _, w := range s.history {
		if w.writtenAt.Before(at) {
			s.row = w.Row
		}
	}
	s.row.Era = era
	s.history = []writtenRow{{s.row, at}}
	if rewindClock {
		s.start = s.start.Add(age)
	}
}

var errNoAnswer = errors.New("no answer")

func (s *rowStore) Get(context.Context, string) (Row, time.Duration, error) {
	time.Sleep(s.delay())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rng.Float64() < s.failureRate {
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
	s.history = append(s.history, writtenRow{s.row, time.Now()})
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
	case p < s.lostReplyRate:
		_, _ = s.put(old, value)
		return Row{}, errNoAnswer
	case p < s.lostReplyRate+s.lateWriteRate:
		time.AfterFunc(time.Duration(s.rng.IntN(3000))*time.Millisecond, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.put(old, value)
		})
		return Row{}, errNoAnswer
	case p < s.lostReplyRate+s.lateWriteRate+s.failureRate:
		return Row{}, errNoAnswer
	}
	return s.put(old, value)
}

// orderOp is one order that arrives at an engine.
type orderOp struct {
	holder string
	fence  int64
}

// orderState is what the engine has seen: the fence of the last order, and the box that sent it.
type orderState struct {
	fence  int64
	holder string
}

// fenceModel is the rule that a history of orders must keep. Fences never decrease. No two boxes have the same fence.
var fenceModel = porcupine.Model{
	Init: func() any { return orderState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(orderState), input.(orderOp)
		ok := o.fence > s.fence || o.fence == s.fence && o.holder == s.holder
		return ok, orderState{o.fence, o.holder}
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// acquireFunc acquires a lease, either correctly or with a deliberate bug.
type acquireFunc func(*Acquirer) (Lease, error)

// badHistories runs four boxes that compete for the lease, once for each seed. Some boxes are paused between acquiring
// the lease and sending the order. It counts the runs in which the orders break a rule, and the orders sent.
func badHistories(t *testing.T, seeds uint64, acquire acquireFunc) (bad, sent int) {
	t.Helper()
	return badHistoriesWith(t, seeds, false, acquire)
}

// eraObserver records which eras of the store one process of a box has observed.
type eraObserver struct {
	*rowStore
	era     int64
	at      time.Time
	eraRose bool
}

func (e *eraObserver) Get(ctx context.Context, key string) (Row, time.Duration, error) {
	row, now, err := e.rowStore.Get(ctx, key)
	if err == nil && row.Era > e.era {
		e.era, e.at, e.eraRose = row.Era, time.Now(), e.era > 0
	}
	return row, now, err
}

func (e *eraObserver) observed(int64) (time.Time, bool) { return e.at, e.eraRose }

// badHistoriesWith is badHistories with one more choice: if restores is set, the store is restored from older copies
// and boxes restart.
func badHistoriesWith(t *testing.T, seeds uint64, restores bool, acquire acquireFunc) (bad, sent int) {
	t.Helper()
	const length, use = 2 * time.Second, 300 * time.Millisecond
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := &rowStore{rng: rand.New(rand.NewPCG(seed, 7)), start: time.Now(), lostReplyRate: 0.2, lateWriteRate: 0.2, failureRate: 0.1}
			if restores {
				// A lease was acquired before the test begins. A box that starts sees no row in two cases: a restore
				// lost the row, or the row was never written. The box cannot tell which case it is in.
				s.row = Row{Value: []byte(`{"era":1}`), Version: 10, Era: 1}
				s.history = []writtenRow{{s.row, time.Now().Add(-time.Minute)}}
				rng := rand.New(rand.NewPCG(seed, 8))
				for range 2 {
					age, clockToo := time.Duration(200+rng.IntN(4000))*time.Millisecond, rng.IntN(2) == 0
					time.AfterFunc(time.Duration(500+rng.IntN(9000))*time.Millisecond, func() { s.restore(age, clockToo) })
				}
			}
			start := time.Now()
			var mu sync.Mutex
			var ops []porcupine.Operation
			var wg sync.WaitGroup
			for n := range 4 {
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(seed, uint64(n)))
					var e *eraObserver
					var k *Acquirer
					startBox := func() {
						e = &eraObserver{rowStore: s}
						k = &Acquirer{Rows: e, Key: "k", Holder: fmt.Sprint("box", n), Length: length, UsableFor: use, Observed: e.observed}
					}
					startBox()
					for range 6 {
						if restores && rng.IntN(8) == 0 {
							startBox()
						}
						time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
						l, err := acquire(k)
						if err != nil {
							continue
						}
						if rng.IntN(3) == 0 { // The box is paused.
							time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond)
						}
						if !l.Valid(time.Now()) {
							continue
						}
						at := time.Since(start).Nanoseconds()
						mu.Lock()
						ops = append(ops, porcupine.Operation{ClientId: n, Input: orderOp{k.Holder, l.Fence}, Call: at, Return: at + 1})
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(5 * time.Second) // By then late writes have taken effect.
			sent += len(ops)
			if !porcupine.CheckOperations(fenceModel, ops) || tooClose(ops, length-use) {
				bad++
			}
		})
	}
	return bad, sent
}

// tooClose reports whether two different boxes sent orders within minGap of each other.
func tooClose(ops []porcupine.Operation, minGap time.Duration) bool {
	for _, a := range ops {
		for _, b := range ops {
			near := a.Call <= b.Call && time.Duration(b.Call-a.Call) < minGap
			if near && a.Input.(orderOp).holder != b.Input.(orderOp).holder {
				return true
			}
		}
	}
	return false
}

func TestLeaseHistoriesWithAStoreThatComesBackOlder(t *testing.T) {
	bad, sent := badHistoriesWith(t, 3000, true, func(k *Acquirer) (Lease, error) { return k.Acquire(context.Background()) })
	if bad > 0 || sent < 1500 {
		t.Errorf("expected no bad history and many orders, got %d bad and %d orders", bad, sent)
	}
}

func TestLeaseHistories(t *testing.T) {
	bad, sent := badHistories(t, 1500, func(k *Acquirer) (Lease, error) { return k.Acquire(context.Background()) })
	if bad > 0 || sent < 1500 {
		t.Errorf("expected no bad history and many orders, got %d bad and %d orders", bad, sent)
	}
}

// The checks of a history detect two bugs. One box assumes that a write without a reply took effect. Another box sends
// the order without checking whether its lease is still valid.
func TestLeaseModelDetectsBugs(t *testing.T) {
	trustsLostReply := func(k *Acquirer) (Lease, error) {
		l, err := k.Acquire(context.Background())
		if err != nil && !errors.Is(err, ErrHeld) {
			row, _, _ := k.Rows.Get(context.Background(), k.Key)
			return Lease{Fence: row.Version, Until: time.Now().Add(k.UsableFor)}, nil
		}
		return l, err
	}
	ignoresExpiry := func(k *Acquirer) (Lease, error) {
		l, err := k.Acquire(context.Background())
		l.Until = time.Now().Add(time.Hour)
		return l, err
	}
	for name, acquire := range map[string]acquireFunc{"trusts a lost reply": trustsLostReply, "ignores expiry": ignoresExpiry} {
		if bad, _ := badHistories(t, 200, acquire); bad == 0 {
			t.Errorf("%s: expected the deliberate bug to be detected", name)
		}
	}
}

// The checks of a history detect two bugs with restored stores: a box that ignores eras, and fences that do not contain
// the era.
func TestLeaseModelDetectsEraBugs(t *testing.T) {
	ignoresEras := func(k *Acquirer) (Lease, error) {
		k.Observed = nil
		return k.Acquire(context.Background())
	}
	fenceWithoutEra := func(k *Acquirer) (Lease, error) {
		l, err := k.Acquire(context.Background())
		l.Fence &= 1<<versionBits - 1
		return l, err
	}
	for name, acquire := range map[string]acquireFunc{"ignores eras": ignoresEras, "fence without era": fenceWithoutEra} {
		if bad, _ := badHistoriesWith(t, 400, true, acquire); bad == 0 {
			t.Errorf("%s: expected the deliberate bug to be detected", name)
		}
	}
}
