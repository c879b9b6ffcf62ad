package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file tracks the store's era, a counter that rises each time the store is restored from an older
// snapshot, and starts the recovery of the tables that boxes write.

// storeEra is an era of the store and when this box first observed it.
type storeEra struct {
	era        int64
	observedAt time.Time
	// restored is true if the box knew an earlier era, so the store was restored while it ran.
	restored bool
}

// observeEra records an era that the store or another box reported.
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

// eraObserved returns when this box first observed an era, and whether it knew an earlier one.
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

// rewriteSpreadPerBox is what each box adds to the period over which boxes spread rewriting lost rows. One
// box's write reaches the others within a second, and then they need not write the row again.
const rewriteSpreadPerBox = 25 * time.Millisecond

// crashesRestored has the boxes rewrite the suspected crashes that the restored table lacks.
func (b *RelayBox) crashesRestored() {
	b.crashes.ExpectRestoredRows(time.Duration(b.node.MemberCount()) * rewriteSpreadPerBox)
}

// membersRestored keeps the boxes that the restored table lacks for a grace period.
func (b *RelayBox) membersRestored() {
	b.node.MembersRestored()
	time.AfterFunc(overlay.MissingRetention+time.Second, func() { b.tables[tableMembers].Reapply(func() {}) })
}
