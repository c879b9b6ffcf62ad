// Package lease lets one box at a time send orders. A lease is a row of the platform's table that is
// replaced only on condition that no other box has replaced it. The store's era and the row's version
// within that era form an ever-growing fence, which is sent with each order.
//
// Expiry is judged by two clocks. Whether another box's lease has expired is judged by the store's clock
// alone. Whether a box's own lease may still be used is judged by that box's steady clock, counted from
// before the write was sent, and for a much shorter time: a holder that was paused finds its lease
// unusable long before another box can acquire the next one.
//
// When the store is restored from an older copy, leases acquired since that copy are missing. No box
// acquires a lease then until the longest lease that may have been lost has expired, by the box's own clock
// from when it observed the new era. A lease of the old era stays usable meanwhile.
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
	// Era is the store's era when the row was read or written. Versions of different eras are not comparable.
	Era int64
}

// versionBits is the width of the version in a fence, below the era: at 400 writes per second it lasts 87 years.
const versionBits = 40

func (r Row) fence() int64 { return r.Era<<versionBits | r.Version }

// Rows is the part of the platform's table that leases need.
type Rows interface {
	// Get reads a row, and the store's clock at that moment.
	Get(ctx context.Context, key string) (Row, time.Duration, error)
	// Put replaces a row if it is still the old one, and returns the new one. After any error but
	// ErrConflict the write may have taken effect, or may still do so.
	Put(ctx context.Context, key string, old Row, value []byte) (Row, error)
}

// ErrConflict means that a write did not take effect: the row has another version.
var ErrConflict = errors.New("lease: the row has another version")

// ErrRestored means that the store was restored from an older copy between the read and the write of a row: the
// version that was to be replaced may denote another row.
var ErrRestored = errors.New("lease: the store was restored from an older copy since the row was read")

// ErrHeld means that another lease has not expired yet.
var ErrHeld = errors.New("lease: held by another box")

// Lease is the right to send orders until a time.
type Lease struct {
	// Fence is greater than that of every earlier lease.
	Fence int64
	// Until is when the right expires, by this box's steady clock.
	Until time.Time
}

// Valid reports whether an order may still be sent.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// Acquirer acquires the leases of one key for one box.
type Acquirer struct {
	Rows   Rows
	Key    string
	Holder string
	// Length is how long no other box can acquire the lease, and UsableFor the part of that time, from the
	// start, in which orders may be sent. Use is well below Length.
	Length    time.Duration
	UsableFor time.Duration
	// Observed returns when this box first observed the store's era, and whether it knew an earlier one. It
	// may be nil if the store has no eras.
	Observed func(era int64) (at time.Time, rose bool)
}

type leaseDoc struct {
	Holder  string `json:"holder"`
	Token   string `json:"token"`
	UntilMS int64  `json:"until_ms"` // By the store's clock.
	// Era is the store's era in which the lease was acquired; 0 from a box without support for eras.
	Era int64 `json:"era"`
}

// Acquire takes the lease if none is in force, not even one of this box: a lease also enforces a minimum
// time between orders.
func (k *Acquirer) Acquire(ctx context.Context) (Lease, error) {
	start := clock.Now()
	row, now, err := k.Rows.Get(ctx, k.Key)
	if err != nil {
		return Lease{}, fmt.Errorf("read the lease: %w", err)
	}
	if taken, err := k.inForce(row, now); err != nil || taken {
		return Lease{}, cmp.Or(err, ErrHeld)
	}
	doc := leaseDoc{Holder: k.Holder, Token: rand.Text(), UntilMS: (now + k.Length).Milliseconds(), Era: row.Era}
	value, err := json.Marshal(doc)
	if err != nil {
		return Lease{}, err
	}
	written, err := k.Rows.Put(ctx, k.Key, row, value)
	if errors.Is(err, ErrConflict) {
		return Lease{}, ErrHeld
	}
	if err != nil {
		written, err = k.readBack(ctx, doc, err)
	}
	return Lease{Fence: written.fence(), Until: start.Add(k.UsableFor)}, err
}

// inForce reports whether the row holds an unexpired lease, or a restored store may lack one.
func (k *Acquirer) inForce(row Row, now time.Duration) (bool, error) {
	doc := leaseDoc{Era: row.Era}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &doc); err != nil {
			return false, fmt.Errorf("decode the row of the lease: %w", err)
		}
		doc.Era = cmp.Or(doc.Era, row.Era)
	}
	if k.Observed != nil {
		at, eraRose := k.Observed(row.Era)
		if (eraRose || doc.Era < row.Era) && clock.Since(at) < k.Length {
			return true, nil
		}
	}
	return doc.Era == row.Era && now < time.Duration(doc.UntilMS)*time.Millisecond, nil
}

// readBack finds out whether a write without a reply took effect. If it takes effect only later, this box
// holds a lease that it does not use.
func (k *Acquirer) readBack(ctx context.Context, own leaseDoc, cause error) (Row, error) {
	row, _, err := k.Rows.Get(ctx, k.Key)
	var doc leaseDoc
	if err != nil || row.Version == 0 || row.Era != own.Era || json.Unmarshal(row.Value, &doc) != nil || doc.Token != own.Token {
		return Row{}, fmt.Errorf("unknown whether the lease was acquired: %w", cause)
	}
	return row, nil
}
