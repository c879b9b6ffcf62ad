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

// rows is a store's table that may be away.
type rows struct {
	mu     sync.Mutex
	row    lease.Row
	away   bool
	reads  int
	writes int
}

var errAway = errors.New("the store is away")

func (r *rows) Get(context.Context, string) (lease.Row, time.Duration, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	if r.away {
		return lease.Row{}, 0, errAway
	}
	return r.row, 0, nil
}

func (r *rows) Put(_ context.Context, _ string, old lease.Row, value []byte) (lease.Row, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old.Version != r.row.Version {
		return lease.Row{}, lease.ErrConflict
	}
	r.writes++
	r.row = lease.Row{Value: value, Version: old.Version + 1}
	return r.row, nil
}

// pools is a box's own knowledge.
type pools struct {
	mu         sync.Mutex
	known      []decide.Learned
	remembered []decide.Learned
}

func (p *pools) Learned() []decide.Learned {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known
}

func (p *pools) Remember(l decide.Learned) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remembered = append(p.remembered, l)
}

func engine(step time.Duration) decide.Learned {
	return decide.Learned{
		Pool: "verdicts", Prompt: 3200, Read: 3100, Output: 640, Gap: 33 * time.Millisecond, Requests: 100,
		Speed: decide.Speed{PrefillRate: 33_000, ReadDelay: 55 * time.Millisecond, Begin: 19 * time.Millisecond, Step: step, StepPerStream: 30 * time.Microsecond},
	}
}

// keep runs the keepers of so many boxes for a while.
func keep(t *testing.T, r *rows, d time.Duration, boxes ...*pools) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	for _, p := range boxes {
		k := &Keeper{Rows: r, Pools: p, Boxes: func() int { return len(boxes) }, Failed: func(string, error) {}}
		done.Go(func() { k.Run(ctx) })
	}
	time.Sleep(d)
	cancel()
	done.Wait()
}

// Boxes that start where others ran begin with what those learned.
func TestBeginsWhereOthersWere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rows{}
		keep(t, r, time.Minute, &pools{known: []decide.Learned{engine(5 * time.Millisecond)}}, &pools{})
		next := &pools{}
		keep(t, r, time.Second, next)
		if len(next.remembered) != 1 || next.remembered[0] != engine(5*time.Millisecond) {
			t.Errorf("expected what the first boxes learned, got %+v", next.remembered)
		}
	})
}

// As long as boxes agree nothing is written, and what clearly changes is.
func TestWritesWhatChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rows{}
		a, b := &pools{known: []decide.Learned{engine(5 * time.Millisecond)}}, &pools{known: []decide.Learned{engine(5400 * time.Microsecond)}}
		keep(t, r, 10*time.Minute, a, b)
		if r.writes != 1 {
			t.Errorf("expected one write by boxes that agree, got %d", r.writes)
		}
		a.known, b.known = []decide.Learned{engine(time.Millisecond)}, []decide.Learned{engine(time.Millisecond)}
		keep(t, r, 10*time.Minute, a, b)
		if r.writes != 2 {
			t.Errorf("expected one write more once engines are faster, got %d", r.writes)
		}
	})
}

// However many boxes there are, they look at the row some times a minute together.
func TestLooksSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rows{}
		var boxes []*pools
		for range 60 {
			boxes = append(boxes, &pools{known: []decide.Learned{engine(5 * time.Millisecond)}})
		}
		keep(t, r, 10*time.Minute, boxes...)
		if looks := r.reads - len(boxes); looks < 75 || looks > 300 {
			t.Errorf("expected a look every 4 s or so, 150 in ten minutes, got %d", looks)
		}
	})
}

// A box that starts in an outage has it when the store is back, and does not press it.
func TestStartsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &rows{away: true, row: lease.Row{Value: encode([]decide.Learned{engine(5 * time.Millisecond)}), Version: 1}}
		p := &pools{}
		go func() {
			time.Sleep(time.Minute)
			r.mu.Lock()
			r.away = false
			r.mu.Unlock()
		}()
		keep(t, r, 90*time.Second, p)
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

// A row that another version wrote, or that is broken, is no reason to believe nonsense.
func TestDecodeRow(t *testing.T) {
	sound := string(encode([]decide.Learned{engine(5 * time.Millisecond)}))
	expectDecoded(t, sound, 1, false)
	expectDecoded(t, `{"pools":[]}`, 0, false)
	expectDecoded(t, `{`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p"}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p","read_tokens_per_s":-1,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"p","read_tokens_per_s":1e300,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
	expectDecoded(t, `{"pools":[{"pool":"","read_tokens_per_s":1,"step_us":5,"prompt_tokens":1,"read_tokens":1,"output_tokens":1}]}`, 0, true)
}
