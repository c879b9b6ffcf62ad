package quarantine

import (
	"context"
	"math/rand/v2"
	"time"
)

// Table is the table of crashes in the platform's store, which all boxes share.
type Table interface {
	// Write sets the rows in put and removes the rows with the keys in remove. It replaces existing rows. It makes all
	// of these changes or none. A call may change at most MaxRowsPerWrite rows.
	Write(ctx context.Context, put map[string][]byte, remove []string) error
}

// MaxRowsPerWrite is the maximum number of rows that the platform's store accepts in one call.
const MaxRowsPerWrite = 100

const (
	// batchDelay is how long crashes are collected before they are written to the table. So one call to the store
	// writes the crashes of all streams of an engine. A request is retried after 100 ms at the earliest.
	batchDelay = 50 * time.Millisecond
	// writeTimeout bounds one call to the store. minRetryDelay is the mean delay after the first failed call. The delay
	// doubles with each further failure, up to maxRetryDelay.
	writeTimeout  = 700 * time.Millisecond
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// expireInterval is how often this box looks for expired crashes. A crash counts for crashTTL and a random part of
	// expireJitter, so that boxes do not remove the same row at the same time.
	expireInterval = 15 * time.Second
	expireJitter   = time.Minute
)

// TableWriter writes the changes of a box's List to the shared table of crashes.
type TableWriter struct {
	List  *List
	Table Table
	// Failed is called with the error of each failed write. The write is then retried.
	Failed func(error)
}

// Run writes changes to the table until ctx is done.
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

// flush writes all pending changes to the table. It retries until the store has accepted all of them.
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
