package learned

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// fakeStore is a table of the store with one row. The store can be made unavailable.
type fakeStore struct {
	mu          sync.Mutex
	row         lease.Row
	unavailable bool
	reads       int
	writes      int
}

var errUnavailable = errors.New("the store is unavailable")

func (r *fakeStore) Get(context.Context, string) (lease.Row, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.unavailable {
		return lease.Row{}, 0, errUnavailable
	}
	return r.row, 0, nil
}

func (r *fakeStore) Put(_ context.Context, _ string, old lease.Row, value []byte) (lease.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old.Version != r.row.Version {
		return lease.Row{}, lease.ErrConflict
	}
	r.writes++
	r.row = lease.Row{Value: value, Version: old.Version + 1}
	return r.row, nil
}

// fakePools holds two kinds of estimates: those that a box has learned itself, and those that it received from the row.
type fakePools struct {
	mu         sync.Mutex
	own        []decide.Estimates
	remembered []decide.Estimates
}

func (p *fakePools) Estimates() []decide.Estimates {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.own
}

func (p *fakePools) SetEstimates(l decide.Estimates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remembered = append(p.remembered, l)
}

func estimatesWithStep(step time.Duration) decide.Estimates {
	return decide.Estimates{
		Pool: "verdicts", Prompt: 3200, UncachedPrompt: 3100, Output: 640, TokenTarget: 33 * time.Millisecond, Requests: 100,
		Speed: decide.Speed{PrefillRate: 33_000, PrefillDelay: 55 * time.Millisecond, FirstEventDelay: 19 * time.Millisecond, Step: step, StepPerStream: 30 * time.Microsecond},
	}
}

// runSyncers runs the syncers of several boxes for the duration d.
func runSyncers(t *testing.T, r *fakeStore, d time.Duration, boxes ...*fakePools) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, p := range boxes {
		k := &Syncer{Rows: r, Pools: p, Boxes: func() int { return len(boxes) }, Failed: func(string, error) {}}
		wg.Go(func() { k.Run(ctx) })
	}
	time.Sleep(d)
	cancel()
	wg.Wait()
}

// A box that starts receives the estimates that earlier boxes learned.
func TestLoadsWhatOtherBoxesLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeStore{}
		runSyncers(t, r, time.Minute, &fakePools{own: []decide.Estimates{estimatesWithStep(5 * time.Millisecond)}}, &fakePools{})
		next := &fakePools{}
		runSyncers(t, r, time.Second, next)
		if len(next.remembered) != 1 || next.remembered[0] != estimatesWithStep(5*time.Millisecond) {
			t.Errorf("expected what the first boxes learned, got %+v", next.remembered)
		}
	})
}

// Boxes whose estimates differ little write the row only once. If the estimates change clearly, the row is written
// again.
func TestWritesOnlyClearChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeStore{}
		a, b := &fakePools{own: []decide.Estimates{estimatesWithStep(5 * time.Millisecond)}}, &fakePools{own: []decide.Estimates{estimatesWithStep(5400 * time.Microsecond)}}
		runSyncers(t, r, 10*time.Minute, a, b)
		if r.writes != 1 {
			t.Errorf("expected one write by boxes that agree, got %d", r.writes)
		}
		a.own, b.own = []decide.Estimates{estimatesWithStep(time.Millisecond)}, []decide.Estimates{estimatesWithStep(time.Millisecond)}
		runSyncers(t, r, 10*time.Minute, a, b)
		if r.writes != 2 {
			t.Errorf("expected one more write after engines became faster, got %d writes", r.writes)
		}
	})
}

// The number of checks of the row by all boxes together does not grow with the number of boxes.
func TestCheckRateIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeStore{}
		var boxes []*fakePools
		for range 60 {
			boxes = append(boxes, &fakePools{own: []decide.Estimates{estimatesWithStep(5 * time.Millisecond)}})
		}
		runSyncers(t, r, 10*time.Minute, boxes...)
		if checks := r.reads - len(boxes); checks < 75 || checks > 300 {
			t.Errorf("expected a check about every 4 s, 150 in ten minutes, got %d", checks)
		}
	})
}

// A box starts during an outage of the store. It loads the row once the store is back. Until then it makes few calls.
func TestStartsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &fakeStore{unavailable: true, row: lease.Row{Value: encode([]decide.Estimates{estimatesWithStep(5 * time.Millisecond)}), Version: 1}}
		p := &fakePools{}
		go func() {
			time.Sleep(time.Minute)
			r.mu.Lock()
			r.unavailable = false
			r.mu.Unlock()
		}()
		runSyncers(t, r, 90*time.Second, p)
		if len(p.remembered) != 1 || r.reads > 12 {
			t.Errorf("expected the row after %d reads, got %+v", r.reads, p.remembered)
		}
	})
}

func expectDecoded(t *testing.T, text string, want int, fails bool) {
	t.Helper()
	got, err := decode([]byte(text))
	if len(got) != want || (err != nil) != fails {
		t.Errorf("%s: expected %d pools, failure %t; got %+v, %v", text, want, fails, got, err)
	}
}

// The row may have been written by another version of the program, or be corrupt. It must not lead to implausible
// estimates.
func TestDecodeRow(t *testing.T) {
	valid := string(encode([]decide.Estimates{estimatesWithStep(5 * time.Millisecond)}))
	expectDecoded(t, valid, 1, false)
	expectDecoded(t, `{"pools":[]}`, 0, false)
	expectDecoded(t, `{`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p"}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p","read_tokens_per_s":-1,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p","read_tokens_per_s":1e300,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"","read_tokens_per_s":1,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
}
