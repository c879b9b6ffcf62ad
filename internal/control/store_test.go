package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// scriptedTable is a table whose reads return the given versions, one per read. After the last version, reads fail.
type scriptedTable struct {
	Table
	versions []int64
}

func (s *scriptedTable) Get(_ context.Context, _ string, known int64) (platform.Row, error) {
	if len(s.versions) == 0 {
		return platform.Row{}, errors.New("down")
	}
	v := s.versions[0]
	s.versions = s.versions[1:]
	if v == known {
		return platform.Row{}, platform.ErrUnchanged
	}
	return platform.Row{Version: v, Value: `{"text":"x"}`}, nil
}

func expectFollows(t *testing.T, reads, want []int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		var got []int64
		NewStore(&scriptedTable{versions: reads}).Follow(ctx, nil, func(v *Version) error {
			got = append(got, v.Number)
			return nil
		}, func(error) {})
		if !slices.Equal(got, want) {
			t.Errorf("reads %v: expected %v in force, got %v", reads, want, got)
		}
	})
}

// Guards against a box that goes back to an older version of the configuration. This happened when a replica of the
// table that lags behind answered a read.
func TestFollow(t *testing.T) {
	expectFollows(t, []int64{1, 1, 2}, []int64{1, 2})
	expectFollows(t, []int64{5, 3, 5, 4, 6}, []int64{5, 6})
	expectFollows(t, nil, nil)
}

// configOp is an operation of an operator: a read, or a change based on version base.
type configOp struct {
	read bool
	base int64
	text string
}

type configResult struct {
	version int64
	text    string // The text that a read returned.
	refused bool   // The change was rejected, because its base version had been replaced.
	unknown bool
}

// configState is the accepted configuration in the model.
type configState struct {
	version int64
	text    string
}

// configModel is the model for the linearizability check. It has one value that operators read and replace. A change
// succeeds only if its base version is the current version. A change with an unknown result may or may not have taken
// effect. The check tries both resulting states.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{configState{}} },
	Step: func(state, input, output any) []any {
		s, op, r := state.(configState), input.(configOp), output.(configResult)
		next := configState{s.version + 1, op.text}
		switch {
		case op.read && r.unknown:
			return []any{s}
		case op.read && r.version == s.version && r.text == s.text:
			return []any{s}
		case op.read:
			return nil
		case r.unknown && op.base == s.version:
			return []any{s, next}
		case r.unknown:
			return []any{s}
		case r.refused && op.base != s.version:
			return []any{s}
		case !r.refused && op.base == s.version && r.version == next.version:
			return []any{next}
		}
		return nil
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
}).ToModel()

type applyFunc func(*Store, configOp) (int64, error)

// countBadHistories lets five operators change a configuration at the same time. It does so once for each seed. It
// returns how many of these histories are not linearizable.
func countBadHistories(seeds uint64, apply applyFunc) (bad int) {
	for seed := range seeds {
		table := standin.NewMemTable(seed)
		table.LostRate, table.FailRate, table.LateRate = 0.2, 0.1, 0.3
		var mu sync.Mutex
		var ops []porcupine.Operation
		var wg sync.WaitGroup
		for operator := range 5 {
			wg.Go(func() {
				store := NewStore(table)
				record := func(op configOp, run func() configResult) configResult {
					start := time.Now().UnixNano()
					r := run()
					end := time.Now().UnixNano()
					if r.unknown {
						// The change may still take effect later, so the check is told that it has not ended.
						end = int64(1) << 62
					}
					mu.Lock()
					defer mu.Unlock()
					ops = append(ops, porcupine.Operation{ClientId: operator, Input: op, Output: r, Call: start, Return: end})
					return r
				}
				for n := range 4 {
					seen := record(configOp{read: true}, func() configResult { return readResult(store) })
					if seen.unknown {
						continue
					}
					op := configOp{base: seen.version, text: fmt.Sprintf("%d-%d", operator, n)}
					if r := record(op, func() configResult { return applyResult(store, op, apply) }); r.unknown {
						// A change with an unknown result counts as not ended in the linearizability check. The
						// check allows each operator only one operation at a time. So this operator makes no other.
						return
					}
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(configModel, ops) {
			bad++
		}
	}
	return bad
}

func readResult(s *Store) configResult {
	v, err := s.Load(context.Background(), 0)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return configResult{}
	case err != nil:
		return configResult{unknown: true}
	}
	return configResult{version: v.Number, text: v.Text}
}

func applyResult(s *Store, op configOp, apply applyFunc) configResult {
	n, err := apply(s, op)
	var conflict *ConflictError
	switch {
	case err == nil:
		return configResult{version: n}
	case errors.As(err, &conflict):
		return configResult{refused: true}
	}
	return configResult{unknown: true}
}

func applyCorrectly(s *Store, op configOp) (int64, error) {
	return s.Apply(context.Background(), op.base, Version{Text: op.text})
}

func TestConfigHistories(t *testing.T) {
	if bad := countBadHistories(300, applyCorrectly); bad > 0 {
		t.Errorf("%d of 300 histories cannot be explained", bad)
	}
}

// The linearizability check must find the fault in this store. The store reports a conflict when the response to a
// write is lost. But the write may have taken effect.
func TestConfigHistoriesCatchABug(t *testing.T) {
	applyCarelessly := func(s *Store, op configOp) (int64, error) {
		n, err := applyCorrectly(s, op)
		var unknown *UnknownError
		if errors.As(err, &unknown) {
			return 0, &ConflictError{}
		}
		return n, err
	}
	if bad := countBadHistories(300, applyCarelessly); bad == 0 {
		t.Error("the checker let a careless store pass")
	}
}

// A version that could not be applied must be read and tried again, at intervals. Its text may have come from another
// box, and the table's may be whole. A version that is in force must not be applied again.
func TestFollowRetriesFailedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		var tries []time.Duration
		start := time.Now()
		NewStore(&scriptedTable{versions: slices.Repeat([]int64{7}, 1000)}).Follow(ctx, nil, func(*Version) error {
			if tries = append(tries, time.Since(start)); len(tries) < 3 {
				return errors.New("could not be applied")
			}
			return nil
		}, func(error) {})
		if len(tries) != 3 {
			t.Fatalf("expected two more tries, got them at %v", tries)
		}
		for i := 1; i < len(tries); i++ {
			if d := tries[i] - tries[i-1]; d < retryInterval || d > retryInterval+2*followInterval {
				t.Errorf("expected a try each %s, got them at %v", retryInterval, tries)
			}
		}
	})
}

// After a version that could not be applied, a newer one is applied at once, and an older one never.
func TestFollowAfterFailedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		var tried []int64
		reads := slices.Concat([]int64{5, 7, 8}, slices.Repeat([]int64{5}, 1000))
		NewStore(&scriptedTable{versions: reads}).Follow(ctx, nil, func(v *Version) error {
			if tried = append(tried, v.Number); v.Number > 5 {
				return errors.New("could not be applied")
			}
			return nil
		}, func(error) {})
		if want := []int64{5, 7, 8}; !slices.Equal(tried, want) {
			t.Errorf("expected %v to be tried, got %v", want, tried)
		}
	})
}
