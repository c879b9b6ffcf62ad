package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/standin"
)

// tryOp is one request with a key. It claims, and if it may, runs and ends.
type tryOp struct{ box int }

// tryResult is what it saw.
type tryResult struct {
	// ran says that the request ran; kind is how it ended.
	ran  bool
	kind outcome.Kind
	// reason is why it was refused.
	reason outcome.Reason
}

// keyState is the truth about one key: free, or taken for good by a run that
// ended as said. A request that ended as not run gives the key back.
type keyState struct{ taken bool }

// keyModel says that a key runs at most once unless the run ended as not run, and
// that nobody is told a first request was done when there was none.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, r := state.(keyState), output.(tryResult)
		switch {
		case r.ran && s.taken:
			return false, s
		case r.ran:
			return true, keyState{taken: r.kind != outcome.NotRun}
		case r.reason == outcome.KeyDone:
			return s.taken, s
		}
		return true, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
}

// expectHistories runs many concurrent tries of one key through several boxes
// with faults of the table, and checks each history.
func expectHistories(t *testing.T, seeds uint64, acquire func(*Claims, string) (*Claim, outcome.Outcome)) (bad int) {
	t.Helper()
	const boxes = 6
	for seed := range seeds {
		table := standin.NewMemTable(seed)
		table.Lost, table.Down, table.Late = 0.25, 0.1, 0.5
		var mu sync.Mutex
		var ops []porcupine.Operation
		var wg sync.WaitGroup
		for box := range boxes {
			wg.Go(func() {
				for try := range 3 {
					start := time.Now().UnixNano()
					r := runTry(New(table), acquire, fmt.Sprintf("box%d-%d", box, try), int(seed)+box+try)
					mu.Lock()
					ops = append(ops, porcupine.Operation{ClientId: box, Input: tryOp{box}, Output: r, Call: start, Return: time.Now().UnixNano()})
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(keyModel, ops) {
			bad++
		}
	}
	return bad
}

func runTry(c *Claims, acquire func(*Claims, string) (*Claim, outcome.Outcome), request string, roll int) tryResult {
	cl, o := acquire(c, request)
	if cl == nil {
		return tryResult{reason: o.Reason}
	}
	kind := []outcome.Kind{outcome.Answered, outcome.NotRun, outcome.MayHaveRun}[roll%3]
	_ = c.Close(context.Background(), cl, kind)
	return tryResult{ran: true, kind: kind}
}

func honest(c *Claims, request string) (*Claim, outcome.Outcome) {
	return c.Acquire(context.Background(), "client", "key", request)
}

func TestKeyHistories(t *testing.T) {
	if bad := expectHistories(t, 400, honest); bad > 0 {
		t.Errorf("%d of 400 histories break the promise that a key runs once", bad)
	}
}

// The checker itself must catch a claim that runs when its write was not
// confirmed.
func TestKeyHistoriesCatchABug(t *testing.T) {
	careless := func(c *Claims, request string) (*Claim, outcome.Outcome) {
		cl, o := honest(c, request)
		if o.Reason == outcome.StoreDown {
			return &Claim{request: request}, o
		}
		return cl, o
	}
	if bad := expectHistories(t, 400, careless); bad == 0 {
		t.Error("the checker let a careless claim pass")
	}
}
