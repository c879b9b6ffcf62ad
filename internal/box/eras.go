package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file tracks the store's era, a counter that rises each time the store is restored from an older snapshot.
// Boxes write two tables themselves: the suspected crashes and the members. The members are the boxes that are
// registered with the platform. After a restore, the boxes recover these two tables.

// storeEra is an era of the store, with the time when this box first learned of it.
type storeEra struct {
	era        int64
	observedAt time.Time
	// restored is true if the box knew an earlier era. The store was then restored while the box ran.
	restored bool
}

// observeEra records an era that the store or another box reported. It ignores an era that is not later than the
// known era.
func (b *RelayBox) observeEra(era int64) {
	last := b.storeEra.Load()
	if last != nil && era <= last.era {
		return
	}
	next := &storeEra{era, clock.Now(), last != nil}
	if !b.storeEra.CompareAndSwap(last, next) {
		b.observeEra(era) // Another goroutine stored an era in the meantime.
		return
	}
	previous := int64(0)
	if next.restored {
		previous = last.era
		b.archive.StoreRestored()
	}
	b.recorder.Log.StateChange("store era", zap.Int64("era", era), zap.Int64("before", previous))
}

// eraObserved returns when this box first learned of an era, and whether the box had known an earlier era. Only the
// newest known era is remembered. For any other era eraObserved returns the start of the box, and false.
func (b *RelayBox) eraObserved(era int64) (observedAt time.Time, restored bool) {
	if known := b.storeEra.Load(); known != nil && known.era == era {
		return known.observedAt, known.restored
	}
	return b.startedAt, false
}

// watchEras subscribes to changes of the store's era.
func (b *RelayBox) watchEras() {
	if b.site.WatchEras != nil {
		b.site.WatchEras(b.observeEra, func(err error) { b.recorder.Log.StateChange("store era not read", zap.Error(err)) })
	}
}

// rewriteSpreadPerBox is a part of the period over which boxes spread the rewriting of rows that a restore lost. Each
// box lengthens the period by this duration. When a box writes a row, the other boxes see the row within a second and
// need not write it again.
const rewriteSpreadPerBox = 25 * time.Millisecond

// crashesRestored is called when the table of suspected crashes was restored from an older snapshot. The boxes
// then rewrite the rows that the restored table lacks.
func (b *RelayBox) crashesRestored() {
	b.crashes.ExpectRestoredRows(time.Duration(b.node.MemberCount()) * rewriteSpreadPerBox)
}

// membersRestored is called when the table of members was restored from an older snapshot. The restored table may
// lack some boxes. These boxes stay members for a grace period, in which they can register again.
func (b *RelayBox) membersRestored() {
	b.node.MembersRestored()
	time.AfterFunc(overlay.MissingRetention+time.Second, func() { b.tables[tableMembers].Reapply(func() {}) })
}
