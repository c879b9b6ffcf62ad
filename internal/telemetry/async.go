package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxPendingBytes bounds the lines that wait to be written. 256 KB are several seconds of a busy box's log.
	maxPendingBytes = 256 << 10
	// flushDelay is how long lines are collected before they are written together. If the process is killed, at
	// most the lines of this time are lost.
	flushDelay = 200 * time.Millisecond
	// hurriedFlushDelay replaces flushDelay after a call of Hurry. A warning that is logged just before the process
	// is killed must still reach the log.
	hurriedFlushDelay = 5 * time.Millisecond
)

// Async passes log lines to a writer from its own goroutine. So logging never blocks, neither on a slow disk nor on a
// pipe that nobody reads. Lines that do not fit into the buffer are dropped and counted. Once there is space again, a
// line reports how many were dropped.
//
// Example: the reader of standard output hangs for a minute. The first 256 KB of lines are buffered, and the lines
// after that are dropped. When the reader reads again, it receives the buffered lines, then
// {"level":"warn","msg":"log lines dropped","lines":812}, and then new lines.
type Async struct {
	w io.Writer
	// wake contains a value while there are lines to write.
	wake chan struct{}
	// hurry contains a value while the pending lines are to be written soon.
	hurry chan struct{}

	mu      sync.Mutex
	pending []byte
	// writing means that lines were taken from pending and are not written yet.
	writing bool
	// unreportedDrops counts the lines dropped since a line was last accepted.
	unreportedDrops uint64
	written         uint64 // Bytes written to w.
	dropped         uint64 // Lines dropped since the start.
}

// NewAsync returns a writer of lines to w. Its goroutine runs as long as the process.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
	go a.run()
	return a
}

// Write accepts one line and never blocks on the underlying writer.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.pending)+len(line) > maxPendingBytes {
		a.unreportedDrops++
		a.dropped++
		return len(line), nil
	}
	if a.unreportedDrops > 0 {
		a.pending = append(a.pending, droppedNotice(time.Now(), a.unreportedDrops)...)
		a.unreportedDrops = 0
	}
	a.pending = append(a.pending, line...)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Hurry has the pending lines written soon.
func (a *Async) Hurry() {
	select {
	case a.hurry <- struct{}{}:
	default:
	}
}

// awaitBatch waits until the pending lines are to be written. It waits for flushDelay, or for a shorter time after a
// call of Hurry.
func (a *Async) awaitBatch() {
	select {
	case <-time.After(flushDelay):
	case <-a.hurry:
		time.Sleep(hurriedFlushDelay)
	}
}

// droppedNotice returns a log line that reports how many lines were dropped at this place of the log.
func droppedNotice(now time.Time, lines uint64) string {
	return fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"msg\":\"log lines dropped\",\"lines\":%d}\n", now.Format(time.RFC3339Nano), lines)
}

// Sync waits until all lines are written, but only for a bounded time. A reader that hangs must not delay the end of
// the process.
func (a *Async) Sync() error {
	const pause = 10 * time.Millisecond
	for range 2 * flushDelay / pause {
		if a.idle() {
			return nil
		}
		time.Sleep(pause)
	}
	return nil
}

func (a *Async) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) == 0 && !a.writing
}

// Busy reports whether the writer falls behind: more than half of the buffer is used.
func (a *Async) Busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.pending) > maxPendingBytes/2
}

// Register adds metrics about the writer to a set: the dropped lines and the written bytes.
func (a *Async) Register(s *metrics.Set) {
	read := func(n *uint64) func() float64 {
		return func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return float64(*n)
		}
	}
	s.NewGauge("stoatramp_log_lines_dropped_total", read(&a.dropped))
	s.NewGauge("stoatramp_log_bytes_total", read(&a.written))
}

// run writes the pending lines in batches, as long as the process runs.
func (a *Async) run() {
	var spare []byte
	for range a.wake {
		a.awaitBatch()
		a.mu.Lock()
		lines := a.pending
		a.pending = spare[:0]
		a.writing = true
		a.mu.Unlock()
		_, _ = a.w.Write(lines) // An error cannot be reported, since the log itself fails.
		a.mu.Lock()
		a.writing = false
		a.written += uint64(len(lines))
		a.mu.Unlock()
		spare = lines
	}
}
