package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file is how a box learns that the store came back from an older copy, and what it has done then about
// tables that boxes write.

// storeEra is an era of the store, and when this box first observed it.
type storeEra struct {
	era int64
	at  time.Time
	// rose says that the box knew an earlier one.
	rose bool
}

// observeEra takes the store's era, from the store or received from another box.
func (b *RelayBox) observeEra(era int64) {
	last := b.storeEra.Load()
	if last != nil && era <= last.era {
		return
	}
	next := &storeEra{era, clock.Now(), last != nil}
	if !b.storeEra.CompareAndSwap(last, next) {
		b.observeEra(era) // Another goroutine has observed one meanwhile.
		return
	}
	before := int64(0)
	if next.rose {
		before = last.era
		b.archive.Restored()
	}
	b.book.Log.Belief("store era", zap.Int64("era", era), zap.Int64("before", before))
}

// eraObserved says when this box first observed an era, and whether it knew an earlier one.
func (b *RelayBox) eraObserved(era int64) (at time.Time, rose bool) {
	if known := b.storeEra.Load(); known != nil && known.era == era {
		return known.at, known.rose
	}
	return b.began, false
}

// watchEras subscribes to the store's eras.
func (b *RelayBox) watchEras() {
	if b.site.WatchEras != nil {
		b.site.WatchEras(b.observeEra, func(err error) { b.book.Log.Belief("store era not read", zap.Error(err)) })
	}
}

// writeAgainEach is how much longer each box makes the time over which boxes write again what the store lost.
// One box's write reaches the others within a second, and spares theirs.
const writeAgainEach = 25 * time.Millisecond

// endsRestored has the boxes write again the ends that an older copy lacks.
func (b *RelayBox) endsRestored() {
	b.ends.Restored(time.Duration(b.node.Members()) * writeAgainEach)
}

// membersRestored keeps the boxes that an older copy lacks for some time.
func (b *RelayBox) membersRestored() {
	b.node.MembersRestored()
	time.AfterFunc(overlay.MissingKept+time.Second, func() { b.tables[tableMembers].Again(func() {}) })
}
