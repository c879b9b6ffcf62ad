package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// asyncBuffer bounds the lines that wait to be written, in bytes: some seconds of a
	// busy box.
	asyncBuffer = 256 << 10
	// asyncEvery is how long lines are gathered before they are written together. It
	// bounds what a killed process has not written yet.
	asyncEvery = 200 * time.Millisecond
	// hurriedEvery is the same once Hurry was called: what went wrong just before a process is killed must
	// be in its log.
	hurriedEvery = 5 * time.Millisecond
)

// Async hands lines to a writer from a goroutine of its own, so that nobody who logs ever
// waits for it: not for a slow disk, nor for a pipe that nobody reads. Lines that do not
// fit into its buffer are dropped and counted, and a line says how many once there is
// room again.
//
// Example: the reader of standard output hangs for a minute. The first 256 KB of lines
// wait, those after them are dropped, and when it reads again it finds the first ones,
// then {"level":"warn","msg":"log lines dropped","lines":812}, then new ones.
type Async struct {
	w io.Writer
	// wake has an entry while there is something to write.
	wake chan struct{}
	// hurry has an entry while what waits is to be written soon.
	hurry chan struct{}

	mu      sync.Mutex
	waiting []byte
	// writing says that lines were taken from waiting and are not written yet.
	writing bool
	// gap counts the lines dropped since the last one that was taken.
	gap     uint64
	written uint64 // Bytes.
	dropped uint64 // Lines.
}

// NewAsync returns a writer of lines to w. Its goroutine lives as long as the process.
func NewAsync(w io.Writer) *Async {
	a := &Async{w: w, wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1)}
	go a.run()
	return a
}

// Write takes one line and never blocks on the writer behind it.
func (a *Async) Write(line []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting)+len(line) > asyncBuffer {
		a.gap++
		a.dropped++
		return len(line), nil
	}
	if a.gap > 0 {
		a.waiting = append(a.waiting, droppedLine(time.Now(), a.gap)...)
		a.gap = 0
	}
	a.waiting = append(a.waiting, line...)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Hurry has the lines that wait written soon.
func (a *Async) Hurry() {
	select {
	case a.hurry <- struct{}{}:
	default:
	}
}

// gather returns once the lines that wait are to be written.
func (a *Async) gather() {
	select {
	case <-time.After(asyncEvery):
	case <-a.hurry:
		time.Sleep(hurriedEvery)
	}
}

// droppedLine says how many lines are missing at its place.
func droppedLine(now time.Time, lines uint64) string {
	return fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"msg\":\"log lines dropped\",\"lines\":%d}\n", now.Format(time.RFC3339Nano), lines)
}

// Sync waits until everything is written, but not for long: a reader that hangs must not
// hold up the end of the process.
func (a *Async) Sync() error {
	const pause = 10 * time.Millisecond
	for range 2 * asyncEvery / pause {
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
	return len(a.waiting) == 0 && !a.writing
}

// Busy says that the writer does not keep up: half of the room for lines is taken.
func (a *Async) Busy() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.waiting) > asyncBuffer/2
}

// Register adds the writer's own figures to a set.
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

// run writes what waits, some lines at a time.
func (a *Async) run() {
	var spare []byte
	for range a.wake {
		a.gather()
		a.mu.Lock()
		lines := a.waiting
		a.waiting = spare[:0]
		a.writing = true
		a.mu.Unlock()
		_, _ = a.w.Write(lines) // There is nowhere to say that the log is broken.
		a.mu.Lock()
		a.writing = false
		a.written += uint64(len(lines))
		a.mu.Unlock()
		spare = lines
	}
}
