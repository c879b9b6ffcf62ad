// Package lease lets one box at a time send orders to an engine. An order is a command. A lease is the right to send
// orders for some time. It is a row of a table of the platform's store. A box replaces the row only if no other box has
// replaced it in the meantime. The store's era is a number that grows with each restore of the store. The row's version
// and the era form the fence: a number that is greater for each later lease. The fence is sent with each order.
//
// Expiry is judged by two clocks. The store's clock alone decides whether another box's lease has expired. The box's
// own steady clock decides whether its own lease may still be used. The time of use is counted from before the write
// was sent, and is much shorter than the lease. So a box that was paused finds its lease unusable long before another
// box can acquire the next lease.
//
// When the store is restored from an older copy, the leases acquired since that copy are missing. Then no box acquires
// a lease until the longest lease that may be missing has expired. Each box measures that time by its own clock, from
// when the box first observed the new era. A lease of the old era stays usable meanwhile.
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

// Row is the row of the store's table that holds a lease.
type Row struct {
	Value   []byte
	Version int64 // 0 means that there is no row.
	// Era is the store's era when the row was read or written. It grows by one when the store is restored from an older
	// copy. Versions of different eras cannot be compared.
	Era int64
}

// versionBits is the number of bits of a fence that hold the row's version. The era is in the bits above. At 400 writes
// per second these bits last for 87 years.
const versionBits = 40

func (r Row) fence() int64 { return r.Era<<versionBits | r.Version }

// Rows reads and writes the rows of the store's table that hold leases.
type Rows interface {
	// Get reads a row, and the time of the store's clock at that moment.
	Get(ctx context.Context, key string) (Row, time.Duration, error)
	// Put replaces the row old by a row with a new value, if the row in the store still has old's version. It returns
	// the new row. After ErrConflict the write has not taken effect. After any other error it possibly has, or still
	// can.
	Put(ctx context.Context, key string, old Row, value []byte) (Row, error)
}

// ErrConflict means that a write did not take effect, because the row has another version than expected.
var ErrConflict = errors.New("lease: the row has another version")

// ErrRestored means that the store was restored from an older copy between the read and the write of a row. The
// expected version may now belong to another row than the row that was to be replaced.
var ErrRestored = errors.New("lease: the store was restored from an older copy since the row was read")

// ErrHeld means that a lease that was acquired before is possibly still in force.
var ErrHeld = errors.New("lease: held by another box")

// Lease is the right to send orders for some time.
type Lease struct {
	// Fence is greater than the fence of every earlier lease. An engine that has seen this fence refuses orders of
	// earlier leases.
	Fence int64
	// Until is when the right to send orders ends, by this box's steady clock.
	Until time.Time
}

// Valid reports whether an order may still be sent at the time now.
func (l Lease) Valid(now time.Time) bool { return now.Before(l.Until) }

// maxLength is longer than the leases of any release. A row that says that its lease ends later was not written by a box.
const maxLength = time.Hour

var errDamaged = errors.New("the row of the lease is not one that a box writes; it is replaced once a lease that it may have replaced is over")

// Acquirer acquires leases of the row with one key, for one box. It must not be used by several goroutines at once.
type Acquirer struct {
	Rows   Rows
	Key    string
	Holder string
	// Length is how long no other lease can be acquired. UsableFor is how long orders may be sent. It is counted from
	// before the lease was written, and is well below Length.
	Length    time.Duration
	UsableFor time.Duration
	// Observed returns when this box first observed an era of the store. It also returns whether the box had observed
	// an earlier era before. Observed may be nil if the store has no eras.
	Observed func(era int64) (at time.Time, rose bool)

	// damaged is the last row that no box can have written, since damagedSince.
	damaged      Row
	damagedSince time.Time
}

type leaseDoc struct {
	Holder  string `json:"holder"`
	Token   string `json:"token"`
	UntilMS int64  `json:"until_ms"` // By the store's clock.
	// Era is the store's era in which the lease was acquired. A box of a version that knows no eras leaves it 0.
	Era int64 `json:"era"`
}

// Acquire acquires a lease unless an earlier lease is still in force. This box's own earlier lease counts too, so that
// there is a minimum time between orders.
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

// inForce reports whether the row holds a lease that has not expired. It also returns true if a restored store may lack
// such a lease. Now is a time of the store's clock.
func (k *Acquirer) inForce(row Row, now time.Duration) (bool, error) {
	doc := leaseDoc{Era: row.Era}
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &doc); err != nil || !doc.valid(row, now) {
			return k.damagedInForce(row)
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

// valid reports whether a box can have written the row, by the time now of the store's clock.
func (d *leaseDoc) valid(row Row, now time.Duration) bool {
	return d.Token != "" && d.UntilMS >= 0 && d.UntilMS <= (now+maxLength).Milliseconds() && d.Era >= 0 && d.Era <= row.Era
}

// damagedInForce reports whether a row that no box can have written may stand in the place of a lease that is in force. That
// lease is over when the row has been there for the length of a lease. The error is returned for the first time that this box
// sees the row.
func (k *Acquirer) damagedInForce(row Row) (bool, error) {
	if k.damagedSince.IsZero() || k.damaged.Version != row.Version || k.damaged.Era != row.Era {
		k.damaged, k.damagedSince = Row{Version: row.Version, Era: row.Era}, clock.Now()
		return true, errDamaged
	}
	return clock.Since(k.damagedSince) < k.Length, nil
}

// readBack finds out whether a write without a reply took effect. If the write takes effect only after readBack, the
// box has a lease in the store that it does not use.
func (k *Acquirer) readBack(ctx context.Context, own leaseDoc, cause error) (Row, error) {
	row, _, err := k.Rows.Get(ctx, k.Key)
	var doc leaseDoc
	if err != nil || row.Version == 0 || row.Era != own.Era || json.Unmarshal(row.Value, &doc) != nil || doc.Token != own.Token {
		return Row{}, fmt.Errorf("unknown whether the lease was acquired: %w", cause)
	}
	return row, nil
}
