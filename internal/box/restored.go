package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file is what a box makes of a list of endpoints that the store brought back from an older copy. What
// was known for sure of the life of an endpoint stays: it does not become ready again once it leaves, nor come
// back once it is gone, nor is an earlier start of it alive. A row that its writer has written again since
// counts as it stands.

const (
	// goneKept is for how long it is remembered that an endpoint is gone: longer than a copy of the store is old.
	goneKept = 30 * time.Second
	// goneGrace is for how long an endpoint that is gone and listed again by an older copy is not used. The
	// platform takes the entry out within that time if nobody renews it.
	goneGrace = 4 * time.Second
)

// goneEndpoint is one that was taken out of the list.
type goneEndpoint struct {
	id string
	at time.Time
}

// restoredRow is a row of the older copy, read in the light of what was known; known is false where the list
// had no row of that key.
func (b *RelayBox) restoredRow(key string, read, old listedEndpoint, known bool) listedEndpoint {
	if read.foreign {
		return read
	}
	known = known && !old.foreign
	gone, wasGone := b.gone[key]
	switch {
	case known && old.endpoint.ID == read.endpoint.ID:
		read.endpoint.Leaving = read.endpoint.Leaving || old.endpoint.Leaving
	case known && old.endpoint.Started > read.endpoint.Started:
		ended := read
		ended.foreign = true
		read.endpoint, read.later = old.endpoint, b.later(ended, lapseGrace)
	case !known && wasGone && gone.id == read.endpoint.ID:
		back := read
		read.foreign, read.later = true, b.later(back, goneGrace)
		b.book.Log.Belief("endpoint listed again by an older copy", zap.String("endpoint", gone.id), zap.Duration("not_used_for", goneGrace))
	}
	return read
}

// later is what a row is to be after a time.
func (b *RelayBox) later(row listedEndpoint, after time.Duration) *laterEndpoint {
	b.listLaterRows = true
	time.AfterFunc(after+time.Millisecond, func() { b.tables[tableEndpoints].Again(func() {}) })
	return &laterEndpoint{row, clock.Now().Add(after)}
}

// applyLater replaces rows by what they are to be by now, and says whether there were any.
func (b *RelayBox) applyLater(rows map[string]listedEndpoint, now time.Time) (news bool) {
	b.listLaterRows = false
	for key, row := range rows {
		switch {
		case row.later == nil:
		case now.Before(row.later.at):
			b.listLaterRows = true
		default:
			rows[key], news = row.later.listedEndpoint, true
		}
	}
	return news
}

// noteGone remembers the endpoints that were listed and are not any more.
func (b *RelayBox) noteGone(before, next map[string]listedEndpoint, now time.Time) {
	for key, old := range before {
		if _, there := next[key]; !there && !old.foreign {
			if b.gone == nil {
				b.gone = map[string]goneEndpoint{}
			}
			b.gone[key] = goneEndpoint{old.endpoint.ID, now}
		}
	}
	for key, g := range b.gone {
		if now.Sub(g.at) > goneKept {
			delete(b.gone, key)
		}
	}
}
