// Package lease lets one box at a time give orders. A lease is a row of the platform's
// table, replaced only under the condition that nobody else has replaced it; the row's
// version, which only grows, is the fence that goes with each order.
//
// Three clocks are kept apart. Whether an old lease is over is judged by the store's
// clock alone. Whether one's own may still be used is judged by this box's steady clock,
// counted from before the write was sent, and for a much shorter time: a holder that was
// paused finds its lease unusable long before another box can have the next.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Row is a row of the table.
type Row struct {
	Value   []byte
	Version int64 // 0 means that there is no row.
}

// Rows is the part of the platform's table that leases need.
type Rows interface {
	// Get reads a row, and the store's clock at that moment.
	Get(ctx context.Context, key string) (Row, time.Duration, error)
	// Put replaces a row if it still has the version, and returns the new one. Any
	// error but ErrConflict leaves open whether the write takes effect, now or later.
	Put(ctx context.Context, key string, version int64, value []byte) (int64, error)
}

// ErrConflict means that a write did not take effect: the row has another version.
var ErrConflict = errors.New("lease: the row has another version")

// ErrHeld means that another lease is not over yet.
var ErrHeld = errors.New("lease: held by another box")

// Lease is the right to give orders until a time.
type Lease struct {
	// Fence is greater than that of every earlier lease.
	Fence int64
	// Until is when the right ends, by this box's steady clock.
	Until time.Time
}

// Valid says whether an order may still be sent.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// Keeper acquires the leases of one key for one box.
type Keeper struct {
	Rows   Rows
	Key    string
	Holder string
	// Length is for how long nobody else gets the lease, and Use the part of it, from
	// its start, in which orders are sent. Use is well below Length.
	Length time.Duration
	Use    time.Duration
}

type document struct {
	Holder  string `json:"holder"`
	Token   string `json:"token"`
	UntilMS int64  `json:"until_ms"` // By the store's clock.
}

// Acquire takes the lease if none is in force, not even one of this box's own: a lease
// also spaces orders out.
func (k *Keeper) Acquire(ctx context.Context) (Lease, error) {
	start := clock.Now()
	row, now, err := k.Rows.Get(ctx, k.Key)
	if err != nil {
		return Lease{}, fmt.Errorf("read the lease: %w", err)
	}
	if row.Version != 0 {
		var d document
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return Lease{}, fmt.Errorf("the lease's row: %w", err)
		}
		if now < time.Duration(d.UntilMS)*time.Millisecond {
			return Lease{}, ErrHeld
		}
	}
	d := document{Holder: k.Holder, Token: rand.Text(), UntilMS: (now + k.Length).Milliseconds()}
	value, err := json.Marshal(d)
	if err != nil {
		return Lease{}, err
	}
	fence, err := k.Rows.Put(ctx, k.Key, row.Version, value)
	if errors.Is(err, ErrConflict) {
		return Lease{}, ErrHeld
	}
	if err != nil {
		fence, err = k.readBack(ctx, d.Token, err)
	}
	return Lease{Fence: fence, Until: start.Add(k.Use)}, err
}

// readBack tells whether a write without an answer took effect. If it did not yet, it
// may still: then this box holds a lease that it does not use.
func (k *Keeper) readBack(ctx context.Context, token string, cause error) (int64, error) {
	row, _, err := k.Rows.Get(ctx, k.Key)
	if err != nil {
		return 0, fmt.Errorf("whether the lease was taken is not known: %w", cause)
	}
	var d document
	if row.Version == 0 || json.Unmarshal(row.Value, &d) != nil || d.Token != token {
		return 0, fmt.Errorf("whether the lease was taken is not known: %w", cause)
	}
	return row.Version, nil
}
