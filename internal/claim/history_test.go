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

// tryOp is one try to run a request with a key through one box. The box acquires the claim. If it gets the claim, it
// runs the request and closes the claim.
type tryOp struct{ box int }

// tryResult is the result of one try to run a request.
type tryResult struct {
	// granted says that the claim was acquired, so the request ran. kind is how the request ended.
	granted bool
	kind    outcome.Kind
	// reason is why the request was refused, if the claim was not acquired.
	reason outcome.Reason
}

// keyState says whether a key can no longer be claimed. A request that ended as not run frees its key.
type keyState struct{ taken bool }

// keyModel accepts the histories that package claim may produce. At most one request with the key runs, not counting
// requests that ended as not run. A request is refused with KeyDone only if another request ran.
var keyModel = porcupine.Model{
	Init: func() any { return keyState{} },
	Step: func(state, _, output any) (bool, any) {
		s, r := state.(keyState), output.(tryResult)
		switch {
		case r.granted && s.taken:
			return false, s
		case r.granted:
			return true, keyState{taken: r.kind != outcome.NotRun}
		case r.reason == outcome.KeyDone:
			return s.taken, s
		}
		return true, s
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v %+v", input, output) },
}

// countBadHistories runs concurrent requests with the same key through several boxes, while the table has faults. It
// returns how many of the resulting histories keyModel rejects.
func countBadHistories(t *testing.T, seeds uint64, acquire func(*Claims, string) (*Claim, outcome.Outcome)) (bad int) {
	t.Helper()
	const boxes = 6
	for seed := range seeds {
		table := standin.NewMemTable(seed)
		table.LostRate, table.FailRate, table.LateRate = 0.25, 0.1, 0.5
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
	return tryResult{granted: true, kind: kind}
}

func acquire(c *Claims, request string) (*Claim, outcome.Outcome) {
	return c.Acquire(context.Background(), "client", "key", request)
}

func TestKeyHistories(t *testing.T) {
	if bad := countBadHistories(t, 400, acquire); bad > 0 {
		t.Errorf("in %d of 400 histories a key ran more than once", bad)
	}
}

// keyModel must reject histories of a faulty claim that runs the request although the write of its row was not
// confirmed.
func TestKeyModelDetectsBug(t *testing.T) {
	ignoresStoreDown := func(c *Claims, request string) (*Claim, outcome.Outcome) {
		cl, o := acquire(c, request)
		if o.Reason == outcome.StoreDown {
			return &Claim{request: request}, o
		}
		return cl, o
	}
	if bad := countBadHistories(t, 400, ignoresStoreDown); bad == 0 {
		t.Error("expected the model to reject claims that ignore an unconfirmed write")
	}
}
