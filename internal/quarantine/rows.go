package quarantine

import (
	"bytes"
	"maps"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file has the state of the rows of the shared table, whatever they say. The keys of the rows tell their kinds
// apart. A box ignores rows whose kind it does not know, and neither changes nor removes them.

// Prefixes of the keys of rows. The key of a row about a whole request begins with the request's fingerprint instead.
const (
	partRowPrefix  = "part."
	clearRowPrefix = "clear."
)

// sharedRow is a row of the shared table as this box knows it.
type sharedRow struct {
	value []byte
	// own means that this box observed what the row says.
	own bool
	// writeAttempted means that this box has tried to write the row. writeAcked means that the store has accepted the
	// value. seenInTable means that this box has read the row from the table. All three are set when the row is read.
	writeAttempted, writeAcked, seenInTable bool
	// writeAfter is the earliest time at which this box may write the row. If it is zero, the box may write
	// immediately.
	writeAfter time.Time
	// replacedAt is since when the table has had another value than the one that the store has accepted; zero if it has the
	// same, as far as is known.
	replacedAt time.Time
}

// replacedRowDelay is how long the table must have had another value before this box writes its row again. A read may be older
// than the last write.
const replacedRowDelay = 2 * time.Second

// mustWrite reports whether the row must be written now.
func (r *sharedRow) mustWrite(now time.Time) bool {
	if !r.writeAcked {
		return !now.Before(r.writeAfter)
	}
	return !r.replacedAt.IsZero() && now.Sub(r.replacedAt) >= replacedRowDelay
}

// readRow returns the state of a row that was read from the table.
func readRow(value []byte) *sharedRow {
	return &sharedRow{value: value, writeAttempted: true, writeAcked: true, seenInTable: true}
}

// setOwn sets the value of a row that this box observed, and has the row written. l.mu must be held.
func (l *List) setOwn(key string, value []byte) {
	row := l.rows[key]
	if row == nil {
		row = &sharedRow{own: true}
		l.rows[key] = row
	}
	row.value, row.writeAcked = value, false
	delete(l.removing, key)
	delete(l.removedAt, key)
	l.wakeWriter()
}

// dropRow forgets a row. If remove is set, it also has the row removed from the table. l.mu must be held.
func (l *List) dropRow(key string, remove bool) {
	delete(l.rows, key)
	if remove {
		l.removing[key] = false
		l.wakeWriter()
	}
}

// nextBatch returns the rows that the next call to the store writes, and the keys of the rows that it removes. Rows about
// parts come first, because one of them stands for all streams of an endpoint.
func (l *List) nextBatch() (put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	put = map[string][]byte{}
	now := clock.Now()
	l.prepareClears(now)
	for _, aboutParts := range []bool{true, false} {
		for key, row := range l.rows {
			if isPartRow(key) == aboutParts && row.mustWrite(now) && len(put) < MaxRowsPerWrite {
				row.writeAttempted = true
				put[key] = row.value
			}
		}
	}
	for key, removed := range l.removing {
		if !removed && len(put)+len(remove) < MaxRowsPerWrite {
			remove = append(remove, key)
		}
	}
	return put, remove
}

func isPartRow(key string) bool {
	return strings.HasPrefix(key, partRowPrefix) || strings.HasPrefix(key, clearRowPrefix)
}

// markWritten records that the store has accepted a batch of changes.
func (l *List) markWritten(put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	partsWritten := false
	for key, value := range put {
		if row := l.rows[key]; row != nil {
			row.writeAcked = string(row.value) == string(value) // It may have changed during the call.
			row.replacedAt = time.Time{}
			if row.writeAcked && isPartRow(key) {
				partsWritten = true
			}
		}
	}
	for _, key := range remove {
		if _, pending := l.removing[key]; pending {
			l.removing[key] = true
		}
	}
	if partsWritten && len(l.parts.verdicts) > 0 {
		l.updateParts(clock.Now())
	}
}

// SetRows reads all rows of the shared table into the list. What a row says is forgotten when the row has gone from the
// table. It is kept if the row has not been seen in the table yet, or if a restored table lacks the row.
func (l *List) SetRows(rows map[string][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	restored := l.restorePending
	if l.restorePending = false; restored {
		l.scheduleRewrites(rows, now)
	}
	for key, row := range l.rows {
		if _, exists := rows[key]; !exists && row.seenInTable {
			l.forget(key)
		}
	}
	for key, removed := range l.removing {
		if _, exists := rows[key]; !exists && removed {
			delete(l.removing, key)
			if !strings.HasPrefix(key, clearRowPrefix) { // Other boxes write rows with such a key anew.
				l.removedAt[key] = now
			}
		}
	}
	maps.DeleteFunc(l.parts.ignored, func(key string, _ time.Time) bool {
		_, exists := rows[key]
		return !exists
	})
	rejected, listed := len(l.rejected), 0
	for key, value := range rows {
		old, wasRejected := l.rejected[key]
		if wasRejected {
			listed++
		}
		if !wasRejected || !bytes.Equal(old, value) || l.rows[key] != nil {
			l.readKey(key, value, now, restored)
		}
	}
	if listed < rejected {
		maps.DeleteFunc(l.rejected, func(key string, _ []byte) bool {
			_, exists := rows[key]
			return !exists
		})
	}
	l.parts.verified = !l.parts.tableRead
	l.updateParts(now)
	l.parts.verified, l.parts.tableRead = false, true
}

// readKey reads a row of the table. l.mu must be held.
func (l *List) readKey(key string, value []byte, now time.Time, restored bool) {
	row := l.rows[key]
	delete(l.rejected, key)
	if row == nil {
		l.removeAgain(key, now)
	}
	switch {
	case row != nil && string(row.value) == string(value):
		row.writeAttempted, row.writeAcked, row.seenInTable = true, true, true
		row.replacedAt = time.Time{}
	case row == nil && (l.isRemoving(key) || l.isIgnored(key)):
	case strings.HasPrefix(key, clearRowPrefix):
		l.readClearRow(key, value)
	case row != nil && !isPartRow(key):
		row.writeAttempted, row.writeAcked, row.seenInTable = true, true, true // All boxes write the same.
	case row != nil && row.own:
		row.writeAttempted, row.seenInTable = true, true // The table still has an earlier value.
		if row.writeAcked && row.replacedAt.IsZero() {   // A write that got no answer may have been applied after a later one.
			row.replacedAt = now
			time.AfterFunc(replacedRowDelay, l.wakeWriter)
		}
	case strings.HasPrefix(key, partRowPrefix):
		l.readPartRow(key, value, now)
	default:
		e, ok := parseRow(key, value)
		if !ok {
			l.reject(key, value)
			return
		}
		l.add(&crashRecord{Crash: e, observedAt: now}, readRow(value))
		if restored && l.recentlyServed.contains(e.Request, now) {
			l.drop(key, true)
		}
	}
}

// reject remembers a row that says nothing. Rows with keys that are not of this package may be of other packages or of later
// releases. l.mu must be held.
func (l *List) reject(key string, value []byte) {
	l.rejected[key] = value
	if _, about := isCrashKey(key); l.OnRejected != nil && (about || isPartRow(key)) {
		l.OnRejected(key)
	}
}

// lateWriteTime is how long after its removal a row that is back in the table was put there by a write from before.
const lateWriteTime = 15 * time.Second

// removeAgain has a row removed again that was removed lately. l.mu must be held.
func (l *List) removeAgain(key string, now time.Time) {
	at, removed := l.removedAt[key]
	if !removed {
		return
	}
	delete(l.removedAt, key)
	if now.Sub(at) <= lateWriteTime {
		l.removing[key] = false
		l.wakeWriter()
	}
}

// forget forgets what a row of the table said that has gone. l.mu must be held.
func (l *List) forget(key string) {
	if isPartRow(key) {
		l.forgetPartRow(key)
		return
	}
	l.drop(key, false)
}

// observerHeadStart applies after the table was restored from an older copy that lacks a row. For this long, only the
// box that observed what the row says writes it to the table again. The other boxes wait for at least this long.
const observerHeadStart = 2 * time.Second

// ExpectRestoredRows announces that the next call of SetRows brings a table that was restored from an older copy. What
// this table lacks still counts. Its rows are written to the table again. The box that observed a crash writes first.
// Another box writes the row only if it is still missing after observerHeadStart and a random part of spread.
func (l *List) ExpectRestoredRows(spread time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restorePending, l.rewriteSpread = true, spread
}

// scheduleRewrites has two kinds of changes written to a restored table. Rows that the table lacks, or has with an
// earlier value, are written again. Rows that are to be removed are removed again. l.mu must be held.
func (l *List) scheduleRewrites(rows map[string][]byte, now time.Time) {
	rewriteDelay := observerHeadStart + rand.N(l.rewriteSpread+1)
	for key, row := range l.rows {
		value, exists := rows[key]
		if exists && (!isPartRow(key) || string(value) == string(row.value)) || !row.writeAcked {
			continue
		}
		if exists && !row.own {
			continue // Another box has the newer value.
		}
		row.writeAcked, row.seenInTable = false, false
		if !row.own {
			row.writeAfter = now.Add(rewriteDelay)
		}
	}
	l.keepClears(rows)
	time.AfterFunc(rewriteDelay, l.wakeWriter)
	for key := range l.removing {
		l.removing[key] = false
	}
	l.wakeWriter()
}

func (l *List) isIgnored(key string) bool {
	_, ok := l.parts.ignored[key]
	return ok
}

func (l *List) isRemoving(key string) bool {
	_, ok := l.removing[key]
	return ok
}

func (l *List) wakeWriter() {
	select {
	case l.pendingWrites <- struct{}{}:
	default:
	}
}
