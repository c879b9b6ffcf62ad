package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Table is the table of the platform's store that boxes share.
type Table interface {
	// Write puts rows, whatever was there, and takes others out, all or nothing. At most MostWritten
	// in a call.
	Write(ctx context.Context, put map[string][]byte, remove []string) error
}

// MostWritten is how many rows one call may write: what the platform's store takes.
const MostWritten = 100

const (
	// gather is for how long ends are gathered before they are written: all streams of an engine
	// that ends are one call to the store. A request is back after 100 ms at the soonest.
	gather = 50 * time.Millisecond
	// writeLimit bounds a call, and writePause is between a failed one and the next; it doubles up
	// to longestPause.
	writeLimit   = 700 * time.Millisecond
	writePause   = 200 * time.Millisecond
	longestPause = 5 * time.Second
	// expireEvery paces the looks for ends that count no more, and expireSpread keeps boxes from
	// taking the same row out together.
	expireEvery  = 15 * time.Second
	expireSpread = time.Minute
)

// Keeper writes what its box learns to the table.
type Keeper struct {
	List  *List
	Table Table
	// Failed is told of writes that failed; they are tried again.
	Failed func(error)
}

// Run writes until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	expire := time.NewTicker(expireEvery)
	defer expire.Stop()
	for {
		select {
		case <-k.List.work:
			k.write(ctx)
		case <-expire.C:
			k.List.expire(keptFor + rand.N(expireSpread))
		case <-ctx.Done():
			return
		}
	}
}

// write writes what is to be written, until the store has taken it.
func (k *Keeper) write(ctx context.Context) {
	pause := gather
	for failures := 0; ; {
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		put, remove := k.List.batch()
		if len(put)+len(remove) == 0 {
			return
		}
		limited, cancel := context.WithTimeout(ctx, writeLimit)
		err := k.Table.Write(limited, put, remove)
		cancel()
		if err == nil {
			k.List.wrote(put, remove)
			pause, failures = 0, 0
			continue
		}
		if ctx.Err() == nil {
			k.Failed(err)
		}
		pause = min(longestPause, writePause<<min(failures, 10))
		pause = pause/2 + rand.N(pause)
		failures++
	}
}

// batch is what one call is to write.
func (l *List) batch() (put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	put = map[string][]byte{}
	now := clock.Now()
	for key, k := range l.ends {
		if !k.written && !now.Before(k.due) && len(put) < MostWritten {
			k.sent = true
			put[key] = k.row()
		}
	}
	for key, done := range l.removing {
		if !done && len(put)+len(remove) < MostWritten {
			remove = append(remove, key)
		}
	}
	return put, remove
}

// wrote notes that the table has taken a batch.
func (l *List) wrote(put map[string][]byte, remove []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key := range put {
		if k := l.ends[key]; k != nil {
			k.written = true
		}
	}
	for _, key := range remove {
		if _, still := l.removing[key]; still {
			l.removing[key] = true
		}
	}
}
