package transfer

import (
	"context"
	"errors"
	"sync"
	"time"
)

// MinBytes is the number of bytes that must arrive in each idle timeout. A peer that sends fewer counts as silent.
const MinBytes = 1 << 10

// minBytesPerSecond is the slowest rate at which a peer must take what is written to it.
const minBytesPerSecond = 4 << 10

// WriteTimeout returns how long it may take to write a message of a number of bytes. Base is for a message without any.
func WriteTimeout(base time.Duration, bytes int) time.Duration {
	return base + time.Duration(bytes)*time.Second/minBytesPerSecond
}

// ErrStalled means that fewer than MinBytes arrived within an idle timeout.
var ErrStalled = errors.New("the transfer makes no progress")

// stallSlack is how late a timer fires at most in a process that has processor time.
const stallSlack = 150 * time.Millisecond

// Watch ends a transfer that makes no progress. While MinBytes arrive in each idle timeout, it never ends. If its timer
// fires late, the process was suspended or had no processor time. What arrived meanwhile has not been read then, so the
// watch waits for another idle timeout, once for each renewal.
type Watch struct {
	stalled func()
	idle    time.Duration

	mu    sync.Mutex
	timer *time.Timer
	due   time.Time
	// extended is set if the timer has fired late since the last renewal. ended is set when the watch has ended the
	// transfer or was stopped.
	extended, ended bool
	// bytes counts the bytes since the last renewal.
	bytes int
}

// NewWatch returns a watch that calls stalled if nothing renews it for the first timeout, or for idle after that.
func NewWatch(first, idle time.Duration, stalled func()) *Watch {
	w := &Watch{stalled: stalled, idle: idle, due: time.Now().Add(first)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, w.expire)
	return w
}

// expire ends the transfer if the watch is due.
func (w *Watch) expire() {
	if w.expired(time.Now()) {
		w.stalled()
	}
}

// expired reports whether the transfer ends now. If not, it starts the timer again.
func (w *Watch) expired(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	late := now.Sub(w.due)
	switch {
	case w.ended:
		return false
	case late < 0: // It was renewed when the timer had just fired.
		w.timer.Reset(-late)
		return false
	case late > stallSlack && !w.extended:
		w.extended = true
		w.start(now)
		return false
	}
	w.ended = true
	return true
}

// start starts the idle timeout. w.mu must be held.
func (w *Watch) start(now time.Time) {
	w.due = now.Add(w.idle)
	w.timer.Reset(w.idle)
}

// Add counts bytes that have arrived. It returns true if they renew the watch.
func (w *Watch) Add(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes += n; w.bytes < MinBytes {
		return false
	}
	w.renew()
	return true
}

// Renew starts the idle timeout again, because a message is complete.
func (w *Watch) Renew() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renew()
}

func (w *Watch) renew() {
	w.bytes, w.extended = 0, false
	if !w.ended {
		w.start(time.Now())
	}
}

// Stop ends the watch.
func (w *Watch) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}

// WithIdleTimeout returns a context that ends when its transfer has not begun within the first timeout, or makes no
// progress for idle after that. The transfer's bytes must be counted by the context's Progress; a complete message (Done)
// is progress too. The context's cause names how far the transfer came. OnProgress is called with each renewal; it may be nil.
func WithIdleTimeout(ctx context.Context, first, idle time.Duration, onBytes func(n int), onProgress func()) (context.Context, *Progress, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	var watch *Watch
	progress := NewProgress(func(n int) {
		if onBytes != nil {
			onBytes(n)
		}
		if watch.Add(n) && onProgress != nil {
			onProgress()
		}
	})
	watch = NewWatch(first, idle, func() { cancel(stalledError{progress}) })
	progress.onDone = watch.Renew
	return WithProgress(ctx, progress), progress, func() {
		watch.Stop()
		cancel(context.Canceled)
	}
}

// stalledError is an ErrStalled that names how far the transfer came.
type stalledError struct{ progress *Progress }

func (e stalledError) Error() string { return ErrStalled.Error() + ": " + e.progress.String() }
func (e stalledError) Unwrap() error { return ErrStalled }
