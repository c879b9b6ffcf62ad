package standin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/platform"
)

// ErrNoAnswer is the error of a call on a MemTable that failed, or whose response was lost.
var ErrNoAnswer = errors.New("the table did not answer")

// MemTable is a table in memory, for tests that check histories of concurrent calls. Each call takes a random time. If
// the rates of faults are above 0, calls fail at random before or after they take effect.
type MemTable struct {
	mu   sync.Mutex
	rows map[string]platform.Row
	rng  *rand.Rand
	// LostRate is the probability that a response is lost after the call took effect. FailRate is the probability that
	// a call fails without an effect.
	LostRate, FailRate float64
	// LateRate is the probability that a write whose response is lost takes effect only after the caller got the error.
	LateRate float64
}

// NewMemTable returns an empty table. The seed determines the faults.
func NewMemTable(seed uint64) *MemTable {
	return &MemTable{rows: map[string]platform.Row{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// selectFaults selects at random which faults one call has and how long it takes.
func (t *MemTable) selectFaults() (lost, down, late bool, pause time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64() < t.LostRate, t.rng.Float64() < t.FailRate, t.rng.Float64() < t.LateRate,
		time.Duration(t.rng.IntN(200)) * time.Microsecond
}

// Get reads a row. It returns platform.ErrUnchanged if the row has the version known.
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

// Put writes a row if the row still has the version w.IfVersion.
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
