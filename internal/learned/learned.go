// Package learned keeps what boxes learn of engines and requests in the platform's store, as
// one small row, so that boxes that start, even all at once, begin where others were. It is
// never needed for a promise: a row that is old, lost or wrong costs goodput, until the box
// has seen enough for itself.
package learned

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// Key is that of the row.
const Key = "pools"

// Pools is the box's own knowledge.
type Pools interface {
	Learned() []decide.Learned
	Remember(decide.Learned)
}

// Keeper reads the row when its box starts, and afterwards sees to it that it is not far
// from what its box knows.
type Keeper struct {
	Rows  lease.Rows
	Pools Pools
	// Boxes is how many boxes there are: they take turns, by chance.
	Boxes func() int
	// Failed is told of what did not work.
	Failed func(what string, err error)
}

const (
	// callLimit bounds one call to the store.
	callLimit = 600 * time.Millisecond
	// firstPause is between two tries to read the row at the start; it doubles up to
	// longestPause.
	firstPause   = time.Second
	longestPause = 16 * time.Second
	// lookEvery is how far apart all boxes together look at the row: a fifth of the time in
	// which a burst comes and goes, and one call in it.
	lookEvery = 4 * time.Second
	// clearly is by how much a figure must differ from the row's to be written, as a part:
	// more than two boxes that see the same engines differ by.
	clearly = 0.15
)

// row is the text of the row.
type row struct {
	Pools []poolRow `json:"pools"`
}

// poolRow is one pool's part. Times are in microseconds, lengths in tokens.
type poolRow struct {
	Pool          string  `json:"pool"`
	ReadPerSecond float64 `json:"read_tokens_per_s"`
	ReadDelay     int64   `json:"read_delay_us"`
	Begin         int64   `json:"begin_us"`
	Step          int64   `json:"step_us"`
	StepPerStream int64   `json:"step_per_stream_us"`
	Prompt        float64 `json:"prompt_tokens"`
	Read          float64 `json:"read_tokens"`
	Output        float64 `json:"output_tokens"`
	Gap           int64   `json:"gap_us"` // The target between tokens.
	Requests      int     `json:"requests"`
}

// Run keeps the row until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if !k.begin(ctx) {
		return
	}
	for sleep(ctx, k.turn()) {
		if err := k.look(ctx); err != nil && ctx.Err() == nil && !errors.Is(err, lease.ErrConflict) {
			k.Failed("what was learned is not kept", err)
		}
	}
}

// turn is the time until this box looks again.
func (k *Keeper) turn() time.Duration {
	mean := time.Duration(max(1, k.Boxes())) * lookEvery
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

// begin takes what other boxes learned; it returns false if ctx ended before.
func (k *Keeper) begin(ctx context.Context) bool {
	for pause := firstPause; ; pause = min(longestPause, 2*pause) {
		kept, _, err := k.read(ctx)
		if err == nil {
			for _, l := range kept {
				k.Pools.Remember(l)
			}
			return true
		}
		if ctx.Err() == nil {
			k.Failed("what was learned before is not known", err)
		}
		if !sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause)))) {
			return false
		}
	}
}

// look writes the row if this box knows clearly better.
func (k *Keeper) look(ctx context.Context) error {
	mine := k.Pools.Learned()
	if len(mine) == 0 {
		return nil
	}
	kept, row, err := k.read(ctx)
	if err != nil {
		return err
	}
	next, differ := merge(kept, mine)
	if !differ {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err = k.Rows.Put(ctx, Key, row, encode(next))
	return err
}

// merge replaces what is kept by what this box knows where that differs clearly.
func merge(kept, mine []decide.Learned) (next []decide.Learned, differ bool) {
	next = kept
	for _, m := range mine {
		known := false
		for i, o := range next {
			if o.Pool != m.Pool {
				continue
			}
			known = true
			if m.Differs(o, clearly) {
				next[i], differ = m, true
			}
		}
		if !known {
			next, differ = append(next, m), true
		}
	}
	return next, differ
}

func (k *Keeper) read(ctx context.Context) ([]decide.Learned, lease.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	r, _, err := k.Rows.Get(ctx, Key)
	if err != nil {
		return nil, r, fmt.Errorf("read the row of what was learned: %w", err)
	}
	if r.Version == 0 {
		return nil, r, nil
	}
	list, err := decode(r.Value)
	if err != nil {
		k.Failed("the row of what was learned is written anew", err)
	}
	return list, r, nil
}

func encode(list []decide.Learned) []byte {
	var out row
	for _, l := range list {
		out.Pools = append(out.Pools, poolRow{
			Pool: l.Pool, ReadPerSecond: l.PrefillRate, ReadDelay: l.ReadDelay.Microseconds(), Begin: l.Begin.Microseconds(),
			Step: l.Step.Microseconds(), StepPerStream: l.StepPerStream.Microseconds(), Prompt: l.Prompt, Read: l.Read, Output: l.Output,
			Gap: l.Gap.Microseconds(), Requests: l.Requests,
		})
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(fmt.Sprintf("learned: %v", err)) // Only numbers that are none cannot be written, and none is learned.
	}
	return text
}

// decode reads the row. What cannot be true is left out and reported.
func decode(text []byte) (out []decide.Learned, err error) {
	var r row
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, fmt.Errorf("the row of what was learned: %w", err)
	}
	for _, p := range r.Pools {
		if !p.sound() {
			err = fmt.Errorf("the row of what was learned has impossible figures of %q", p.Pool)
			continue
		}
		out = append(out, decide.Learned{
			Pool: p.Pool, Prompt: p.Prompt, Read: p.Read, Output: p.Output, Gap: micros(p.Gap), Requests: p.Requests,
			Speed: decide.Speed{
				PrefillRate: p.ReadPerSecond, ReadDelay: micros(p.ReadDelay), Begin: micros(p.Begin),
				Step: micros(p.Step), StepPerStream: micros(p.StepPerStream),
			},
		})
	}
	return out, err
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

const (
	mostTime   = int64(time.Minute / time.Microsecond)
	mostTokens = 1e9
)

func (p *poolRow) sound() bool {
	times := [...]int64{p.ReadDelay, p.Begin, p.Step, p.StepPerStream, p.Gap}
	for _, us := range times {
		if us < 0 || us > mostTime {
			return false
		}
	}
	for _, n := range [...]float64{p.ReadPerSecond, p.Prompt, p.Read, p.Output} {
		if !(n > 0 && n < mostTokens) {
			return false
		}
	}
	return p.Pool != "" && p.Step > 0 && p.Requests >= 0
}

// sleep returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
