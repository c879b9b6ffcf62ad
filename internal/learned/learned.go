// Package learned shares the estimates of boxes through one small row of the platform's store. Estimates are what a box
// learned about engines and requests, such as the speed of an engine. A box that starts continues from what other boxes
// learned, even if all boxes restart at the same time. No guarantee depends on the row. If the row is outdated, lost or
// wrong, this only costs goodput (requests served in time), until the box has observed enough itself.
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

// Key is the key of the row in the store.
const Key = "pools"

// Pools gives access to what this box has learned. There are estimates for each pool, a group of engines that serve one
// model.
type Pools interface {
	Estimates() []decide.Estimates
	SetEstimates(decide.Estimates)
}

// Syncer reads the row when its box starts. After that it checks the row regularly, and updates it if the row differs
// clearly from what the box has learned.
type Syncer struct {
	Rows  lease.Rows
	Pools Pools
	// Boxes returns the number of boxes. The more boxes there are, the less often each of them checks the row.
	Boxes func() int
	// Failed is called after each failure. what says which action failed.
	Failed func(what string, err error)
}

const (
	// callTimeout bounds one call to the store.
	callTimeout = 600 * time.Millisecond
	// minRetryDelay is the delay between the first two attempts to read the row at the start of the box. The delay
	// doubles with each attempt, up to maxRetryDelay.
	minRetryDelay = time.Second
	maxRetryDelay = 16 * time.Second
	// checkInterval is the mean time between two checks of the row, if the checks of all boxes are counted
	// together. It is a fifth of the duration of a traffic burst. Each check costs one call to the store.
	checkInterval = 4 * time.Second
	// minDifference decides when the box replaces an estimate in the row by its own. The two must differ by more
	// than this fraction. Boxes that observe the same engines differ by less.
	minDifference = 0.15
)

// rowDoc is the JSON value of the row.
type rowDoc struct {
	Pools []poolDoc `json:"pools"`
}

// poolDoc contains the estimates for one pool. Times are in microseconds, and lengths of prompts and answers in tokens.
type poolDoc struct {
	Pool            string  `json:"pool"`
	PrefillRate     float64 `json:"read_tokens_per_s"`
	PrefillDelay    int64   `json:"read_delay_us"`
	FirstEventDelay int64   `json:"begin_us"`
	Step            int64   `json:"step_us"`
	StepPerStream   int64   `json:"step_per_stream_us"`
	Prompt          float64 `json:"prompt_tokens"`
	UncachedPrompt  float64 `json:"read_tokens"`
	Output          float64 `json:"output_tokens"`
	TokenTarget     int64   `json:"gap_us"` // The target time between tokens.
	Requests        int     `json:"requests"`
}

// Run loads the row at the start of the box, and then keeps the row up to date until ctx is done.
func (k *Syncer) Run(ctx context.Context) {
	if !k.load(ctx) {
		return
	}
	for sleep(ctx, k.nextCheck()) {
		if err := k.update(ctx); err != nil && ctx.Err() == nil && !errors.Is(err, lease.ErrConflict) {
			k.Failed("updating the learned figures failed", err)
		}
	}
}

// nextCheck returns the random time until this box checks the row again.
func (k *Syncer) nextCheck() time.Duration {
	mean := time.Duration(max(1, k.Boxes())) * checkInterval
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}

// load gives the estimates in the row to this box. It repeats failed attempts to read the row. It returns false if ctx
// is done before the row could be read.
func (k *Syncer) load(ctx context.Context) bool {
	for delay := minRetryDelay; ; delay = min(maxRetryDelay, 2*delay) {
		stored, _, err := k.read(ctx)
		if err == nil {
			for _, l := range stored {
				k.Pools.SetEstimates(l)
			}
			return true
		}
		if ctx.Err() == nil {
			k.Failed("loading the learned figures failed", err)
		}
		if !sleep(ctx, delay/2+time.Duration(rand.Int64N(int64(delay)))) {
			return false
		}
	}
}

// update writes the row if the estimates of this box differ clearly from the estimates in the row.
func (k *Syncer) update(ctx context.Context) error {
	own := k.Pools.Estimates()
	if len(own) == 0 {
		return nil
	}
	stored, row, err := k.read(ctx)
	if err != nil {
		return err
	}
	merged, changed := merge(stored, own)
	if !changed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = k.Rows.Put(ctx, Key, row, encode(merged))
	return err
}

// merge replaces estimates in the row by the box's own if they differ clearly. It also adds pools that the row lacks.
func merge(stored, own []decide.Estimates) (merged []decide.Estimates, changed bool) {
	merged = stored
	for _, m := range own {
		found := false
		for i, o := range merged {
			if o.Pool != m.Pool {
				continue
			}
			found = true
			if m.Differs(o, minDifference) {
				merged[i], changed = m, true
			}
		}
		if !found {
			merged, changed = append(merged, m), true
		}
	}
	return merged, changed
}

func (k *Syncer) read(ctx context.Context) ([]decide.Estimates, lease.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, _, err := k.Rows.Get(ctx, Key)
	if err != nil {
		return nil, r, fmt.Errorf("read the row of learned figures: %w", err)
	}
	if r.Version == 0 {
		return nil, r, nil
	}
	list, err := decode(r.Value)
	if err != nil {
		k.Failed("the row of learned figures is invalid and will be overwritten", err)
	}
	return list, r, nil
}

func encode(list []decide.Estimates) []byte {
	var out rowDoc
	for _, l := range list {
		out.Pools = append(out.Pools, poolDoc{
			Pool: l.Pool, PrefillRate: l.PrefillRate, PrefillDelay: l.PrefillDelay.Microseconds(), FirstEventDelay: l.FirstEventDelay.Microseconds(),
			Step: l.Step.Microseconds(), StepPerStream: l.StepPerStream.Microseconds(), Prompt: l.Prompt, UncachedPrompt: l.UncachedPrompt, Output: l.Output,
			TokenTarget: l.TokenTarget.Microseconds(), Requests: l.Requests,
		})
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(fmt.Sprintf("learned: %v", err)) // Only NaN and infinities cannot be encoded, and boxes never learn such values.
	}
	return text
}

// decode decodes the text of the row. If a pool has implausible values, decode leaves it out and returns an error.
func decode(text []byte) (out []decide.Estimates, err error) {
	var doc rowDoc
	if err := json.Unmarshal(text, &doc); err != nil {
		return nil, fmt.Errorf("decode the row of learned figures: %w", err)
	}
	for _, p := range doc.Pools {
		if !p.valid() {
			err = fmt.Errorf("the row of learned figures has implausible figures for pool %q", p.Pool)
			continue
		}
		out = append(out, decide.Estimates{
			Pool: p.Pool, Prompt: p.Prompt, UncachedPrompt: p.UncachedPrompt, Output: p.Output, TokenTarget: micros(p.TokenTarget), Requests: p.Requests,
			Speed: decide.Speed{
				PrefillRate: p.PrefillRate, PrefillDelay: micros(p.PrefillDelay), FirstEventDelay: micros(p.FirstEventDelay),
				Step: micros(p.Step), StepPerStream: micros(p.StepPerStream),
			},
		})
	}
	return out, err
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

const (
	maxMicros = int64(time.Minute / time.Microsecond)
	maxTokens = 1e9
)

func (p *poolDoc) valid() bool {
	times := [...]int64{p.PrefillDelay, p.FirstEventDelay, p.Step, p.StepPerStream, p.TokenTarget}
	for _, us := range times {
		if us < 0 || us > maxMicros {
			return false
		}
	}
	for _, n := range [...]float64{p.PrefillRate, p.Prompt, p.UncachedPrompt, p.Output} {
		if !(n > 0 && n < maxTokens) {
			return false
		}
	}
	return p.Pool != "" && p.Step > 0 && p.Requests >= 0
}

// sleep waits for the duration d. It returns false if ctx is done earlier.
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
