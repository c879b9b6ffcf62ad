package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Table is the table of the platform's store that all boxes share.
type Table interface {
	// Write sets rows, replacing existing ones, and removes others, atomically. A call may change at
	// most MaxRowsPerWrite rows.
	Write(ctx context.Context, put map[string][]byte, remove []string) error
}

// MaxRowsPerWrite is the most rows that the platform's store accepts in one call.
const MaxRowsPerWrite = 100

const (
	// batchDelay is how long crashes are collected before they are written, so that all streams of a
	// crashed engine need one call to the store. A request is retried after 100 ms at the earliest.
	batchDelay = 50 * time.Millisecond
	// writeTimeout bounds one call. minRetryDelay is the delay after the first failed call; it doubles
	// up to maxRetryDelay.
	writeTimeout  = 700 * time.Millisecond
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// expireInterval is how often expired crashes are removed, and expireJitter keeps boxes from
	// removing the same row at the same time.
	expireInterval = 15 * time.Second
	expireJitter   = time.Minute
)

// TableWriter writes the crashes that its box observed to the table.
type TableWriter struct {
	List  *List
	Table Table
	// Failed is called with the error of each failed write; the write is retried.
	Failed func(error)
}

// Run writes until ctx is done.
func (k *TableWriter) Run(ctx context.Context) {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-k.List.pendingWrites:
			k.flush(ctx)
		case <-expire.C:
			k.List.expire(crashTTL + rand.N(expireJitter))
		case <-ctx.Done():
			return
		}
	}
}

// flush writes all pending changes, retrying until the store has accepted them.
func (k *TableWriter) flush(ctx context.Context) {
	delay := batchDelay
	for failures := 0; ; {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		put, remove := k.List.nextBatch()
		if len(put)+len(remove) == 0 {
			return
		}
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := k.Table.Write(writeCtx, put, remove)
		cancel()
		if err == nil {
			k.List.markWritten(put, remove)
			delay, failures = 0, 0
			continue
		}
		if ctx.Err() == nil {
			k.Failed(err)
		}
		delay = min(maxRetryDelay, minRetryDelay<<min(failures, 10))
		delay = delay/2 + rand.N(delay)
		failures++
	}
}

// nextBatch returns the rows that the next call writes and removes.
func (l *List) nextBatch() (put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	put = map[string][]byte{}
	now := clock.Now()
	for key, k := range l.crashes {
		if !k.writeAcked && !now.Before(k.writeAfter) && len(put) < MaxRowsPerWrite {
			k.writeAttempted = true
			put[key] = k.row()
		}
	}
	for key, removed := range l.removing {
		if !removed && len(put)+len(remove) < MaxRowsPerWrite {
			remove = append(remove, key)
		}
	}
	return put, remove
}

// markWritten records that the table has accepted a batch.
func (l *List) markWritten(put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range put {
		if k := l.crashes[key]; k != nil {
			k.writeAcked = true
		}
	}
	for _, key := range remove {
		if _, pending := l.removing[key]; pending {
			l.removing[key] = true
		}
	}
}
