package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/platform"
)

// ErrNoAnswer is the error that a caller of a MemTable gets when the answer is lost.
var ErrNoAnswer = errors.New("the table did not answer")

// MemTable is an in-memory table without a network, for history checks. Calls take a random
// time and, with faults on, fail before or after they took effect.
type MemTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	rng  *rand.Rand
	// LostRate is the probability that an answer is lost after the call took effect; FailRate is the
	// probability that a call fails without an effect.
	LostRate, FailRate float64
	// LateRate is the probability that a write with a lost answer takes effect only after its
	// caller got the error.
	LateRate float64
}

// NewMemTable returns an empty table that selects faults by the seed.
func NewMemTable(seed uint64) *MemTable {
	return &MemTable{rows: map[string]platform.Row{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// selectFaults selects the faults of one call and its duration.
func (t *MemTable) selectFaults() (lost, down, late bool, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64() < t.LostRate, t.rng.Float64() < t.FailRate, t.rng.Float64() < t.LateRate,
		time.Duration(t.rng.IntN(200)) * time.Microsecond
}

// Get reads a row.
func (t *MemTable) Get(_ context.Context, key string, known int64) (platform.Row, error) {
	lost, down, _, pause := t.selectFaults()
	time.Sleep(pause)
	if lost || down {
		return platform.Row{}, ErrNoAnswer
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	switch {
	case !ok:
		return platform.Row{}, platform.ErrNotFound
	case row.Version == known:
		return platform.Row{}, platform.ErrUnchanged
	}
	return row, nil
}

// Put writes a row if its version is still the expected one.
func (t *MemTable) Put(_ context.Context, key string, w platform.Write) (int64, error) {
	lost, down, late, pause := t.selectFaults()
	time.Sleep(pause)
	if down {
		return 0, ErrNoAnswer
	}
	if lost && late {
		time.AfterFunc(2*pause, func() { _, _ = t.put(key, w) })
		return 0, ErrNoAnswer
	}
	n, err := t.put(key, w)
	if lost {
		return 0, ErrNoAnswer
	}
	return n, err
}

func (t *MemTable) put(key string, w platform.Write) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rows[key]
	if row.Version != w.IfVersion {
		return 0, platform.ErrConflict
	}
	t.rows[key] = platform.Row{Key: key, Version: row.Version + 1, Token: w.Token, Value: w.Value}
	return row.Version + 1, nil
}
