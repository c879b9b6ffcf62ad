package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file corrects the list of endpoints after the store was restored from an older snapshot. What the box knew for
// certain about an endpoint stays in force. A leaving endpoint does not become ready again. A removed endpoint does
// not return. An earlier start of an endpoint does not replace a later start. If an endpoint has written its row again
// since the restore, the box uses that row.

const (
	// goneRetention is how long the box remembers that an endpoint was removed. It is longer than the age of any
	// snapshot from which the store is restored.
	goneRetention = 30 * time.Second
	// goneGrace applies to an endpoint that was removed and that an older snapshot lists again. For this time the box
	// does not use the endpoint. Within this time the platform removes the row, unless the endpoint renews the row.
	goneGrace = 4 * time.Second
)

// goneEndpoint is an endpoint that was removed from the list, with the time of the removal.
type goneEndpoint struct {
	id string
	at time.Time
}

// restoredRow corrects a row of the older snapshot by what the box knew. old is the row that the box's list had
// under that key. known is false if the list had no such row. restoredRow may set a timer that replaces the corrected
// row later.
func (b *RelayBox) restoredRow(key string, row, old listedEndpoint, known bool) listedEndpoint {
	if row.foreign {
		return row
	}
	known = known && !old.foreign
	gone, wasGone := b.gone[key]
	switch {
	case known && old.endpoint.ID == row.endpoint.ID:
		row.endpoint.Leaving = row.endpoint.Leaving || old.endpoint.Leaving
	case known && old.endpoint.Started > row.endpoint.Started:
		foreignRow := row
		foreignRow.foreign = true
		row.endpoint, row.replacement = old.endpoint, b.scheduleReplacement(foreignRow, expiredEntryGrace)
	case !known && wasGone && gone.id == row.endpoint.ID:
		relisted := row
		row.foreign, row.replacement = true, b.scheduleReplacement(relisted, goneGrace)
		b.recorder.Log.StateChange("removed endpoint listed again by an older snapshot", zap.String("endpoint", gone.id), zap.Duration("not_used_for", goneGrace))
	}
	return row
}

// scheduleReplacement returns a replacement that becomes due after the given time, and sets a timer that applies it.
func (b *RelayBox) scheduleReplacement(row listedEndpoint, after time.Duration) *rowReplacement {
	b.hasReplacements = true
	time.AfterFunc(after+time.Millisecond, func() { b.tables[tableEndpoints].Reapply(func() {}) })
	return &rowReplacement{row, clock.Now().Add(after)}
}

// applyReplacements replaces the rows whose replacement is due, and reports whether there were any.
func (b *RelayBox) applyReplacements(rows map[string]listedEndpoint, now time.Time) (changed bool) {
	b.hasReplacements = false
	for key, row := range rows {
		switch {
		case row.replacement == nil:
		case now.Before(row.replacement.at):
			b.hasReplacements = true
		default:
			rows[key], changed = row.replacement.listedEndpoint, true
		}
	}
	return changed
}

// recordGone remembers the endpoints that are in the list before and missing from the list next.
func (b *RelayBox) recordGone(before, next map[string]listedEndpoint, now time.Time) {
	for key, old := range before {
		if _, there := next[key]; !there && !old.foreign {
			if b.gone == nil {
				b.gone = map[string]goneEndpoint{}
			}
			b.gone[key] = goneEndpoint{old.endpoint.ID, now}
		}
	}
	for key, g := range b.gone {
		if now.Sub(g.at) > goneRetention {
			delete(b.gone, key)
		}
	}
}
