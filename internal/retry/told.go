package retry

import (
	"slices"
	"time"
)

const (
	// toldMemory is how long after its due time a caller that has not retried still counts.
	toldMemory = time.Second
	// maxTold bounds the callers that are remembered. At 2,000 retries per second it covers delays of 8 s, the longest
	// that callers are told.
	maxTold = 1 << 14
)

// ToldCallers are callers that were told to retry and have not retried yet. Which of them retries is not known, so each
// retry counts as that of the caller who is due first. The zero value is empty.
type ToldCallers struct{ due []time.Time } // When the callers will retry, earliest first.

// Add records that a caller was told to retry at a time.
func (t *ToldCallers) Add(due time.Time) {
	if len(t.due) < maxTold {
		t.due = slices.Insert(t.due, t.countUntil(due), due)
	}
}

// Prune forgets callers that should have retried toldMemory ago.
func (t *ToldCallers) Prune(now time.Time) { t.due = t.due[t.countUntil(now.Add(-toldMemory)):] }

// RemoveFirst removes the caller whose retry is due first. It is called when a caller retries.
func (t *ToldCallers) RemoveFirst() {
	if len(t.due) > 0 {
		t.due = t.due[1:]
	}
}

// Len returns how many callers are remembered.
func (t *ToldCallers) Len() int { return len(t.due) }

// DueAfter returns how many callers are due after a time.
func (t *ToldCallers) DueAfter(now time.Time) int { return len(t.due) - t.countUntil(now) }

// countUntil returns how many callers are due at a time or before it.
func (t *ToldCallers) countUntil(at time.Time) int {
	n, _ := slices.BinarySearchFunc(t.due, at, func(due, at time.Time) int {
		if due.After(at) {
			return 1
		}
		return -1
	})
	return n
}
