// Package lease lets one box at a time give orders. A lease is a row of the platform's
// table, replaced only under the condition that nobody else has replaced it; the store's
// era and the row's version in it, which together only grow, are the fence that goes with
// each order.
//
// Three clocks are kept apart. Whether an old lease is over is judged by the store's
// clock alone. Whether one's own may still be used is judged by this box's steady clock,
// counted from before the write was sent, and for a much shorter time: a holder that was
// paused finds its lease unusable long before another box can have the next.
//
// When the store comes back from an older copy, a lease that was taken since is not in it. Then no
// box takes one until the longest that may have been lost is over, by its own clock from when it
// observed the new era. A lease of the old era stays usable meanwhile.
package lease

import (
	"cmp"
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
	// Era is the store's when it was read or written. Versions of another era say nothing of this one.
	Era int64
}

// versionBits are the bits of a fence below those of the era: at 400 writes a second, 87 years of versions.
const versionBits = 40

func (r Row) fence() int64 { return r.Era<<versionBits | r.Version }

// Rows is the part of the platform's table that leases need.
type Rows interface {
	// Get reads a row, and the store's clock at that moment.
	Get(ctx context.Context, key string) (Row, time.Duration, error)
	// Put replaces a row if it is still the old one, and returns the new one. Any
	// error but ErrConflict leaves open whether the write takes effect, now or later.
	Put(ctx context.Context, key string, old Row, value []byte) (Row, error)
}

// ErrConflict means that a write did not take effect: the row has another version.
var ErrConflict = errors.New("lease: the row has another version")

// ErrRestored means that the store came back from an older copy between the reading of a row and its writing:
// the version that was to be replaced may be that of another row.
var ErrRestored = errors.New("lease: the store came back from an older copy meanwhile")

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
	// Observed says when this box first observed the store's era, and whether it knew an earlier one. It may be
	// nil where the store has no eras.
	Observed func(era int64) (at time.Time, rose bool)
}

type document struct {
	Holder  string `json:"holder"`
	Token   string `json:"token"`
	UntilMS int64  `json:"until_ms"` // By the store's clock.
	// Era is the store's in which the lease was taken; 0 from a box that knows no eras.
	Era int64 `json:"era"`
}

// Acquire takes the lease if none is in force, not even one of this box's own: a lease
// also spaces orders out.
func (k *Keeper) Acquire(ctx context.Context) (Lease, error) {
	start := clock.Now()
	row, now, err := k.Rows.Get(ctx, k.Key)
	if err != nil {
		return Lease{}, fmt.Errorf("read the lease: %w", err)
	}
	if held, err := k.held(row, now); err != nil || held {
		return Lease{}, cmp.Or(err, ErrHeld)
	}
	d := document{Holder: k.Holder, Token: rand.Text(), UntilMS: (now + k.Length).Milliseconds(), Era: row.Era}
	value, err := json.Marshal(d)
	if err != nil {
		return Lease{}, err
	}
	written, err := k.Rows.Put(ctx, k.Key, row, value)
	if errors.Is(err, ErrConflict) {
		return Lease{}, ErrHeld
	}
	if err != nil {
		written, err = k.readBack(ctx, d, err)
	}
	return Lease{Fence: written.fence(), Until: start.Add(k.Use)}, err
}

// held says whether a lease is in force by its row, or may be that an older copy of the store lacks.
func (k *Keeper) held(row Row, now time.Duration) (bool, error) {
	d := document{Era: row.Era}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &d); err != nil {
			return false, fmt.Errorf("the lease's row: %w", err)
		}
		d.Era = cmp.Or(d.Era, row.Era)
	}
	if k.Observed != nil {
		at, rose := k.Observed(row.Era)
		if (rose || d.Era < row.Era) && clock.Since(at) < k.Length {
			return true, nil
		}
	}
	return d.Era == row.Era && now < time.Duration(d.UntilMS)*time.Millisecond, nil
}

// readBack tells whether a write without an answer took effect. If it did not yet, it
// may still: then this box holds a lease that it does not use.
func (k *Keeper) readBack(ctx context.Context, mine document, cause error) (Row, error) {
	row, _, err := k.Rows.Get(ctx, k.Key)
	var d document
	if err != nil || row.Version == 0 || row.Era != mine.Era || json.Unmarshal(row.Value, &d) != nil || d.Token != mine.Token {
		return Row{}, fmt.Errorf("whether the lease was taken is not known: %w", cause)
	}
	return row, nil
}
