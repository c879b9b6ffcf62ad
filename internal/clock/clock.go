// Package clock provides the time for everything that expires: leases, ages, budgets, verdicts.
//
// The process may be suspended with its machine for seconds. The monotonic clock of package time stops
// meanwhile, so that after the suspension all of these would appear younger than they are; the wall clock
// goes on, but may jump. So the time here is that of package time plus the total time that the machine was
// suspended, by CLOCK_BOOTTIME. Times of this package may be compared only with each other: after a
// suspension time.Now is behind them, and so are its timers and deadlines, which are set to a remaining
// duration (Until). Times shown to people are those of time.Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxReadSpread is how far apart the two readings of the monotonic clock may be between which the boot time
	// is read: beyond it the process was preempted, and the reading is unusable.
	maxReadSpread = time.Millisecond
	// minSuspension is the smallest difference that counts as a suspension.
	minSuspension = 5 * time.Millisecond
	// readingLifetime is how long a reading is reused. It bounds the system calls to a few hundred per second,
	// and how long something that has expired may count as valid after the machine wakes.
	readingLifetime = 2 * time.Millisecond
)

// reading is a measurement of the machine's suspensions.
type reading struct {
	at        time.Time
	suspended time.Duration
}

var (
	// suspendedBeforeStart is how long the machine was suspended before this process began.
	suspendedBeforeStart = suspendedSinceBoot(0)
	lastReading          atomic.Pointer[reading]
	// override replaces the system's clocks in tests.
	override atomic.Pointer[func() time.Duration]
)

// suspendedSinceBoot is how long the machine was suspended since it booted: the difference between
// CLOCK_BOOTTIME and CLOCK_MONOTONIC. It returns known if that cannot be read.
func suspendedSinceBoot(known time.Duration) time.Duration {
	var steady, boot, again unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &again) != nil || again.Nano()-steady.Nano() > int64(maxReadSpread) {
		return known
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// asleep is how long the machine was suspended since the process began. It never decreases.
func asleep(now time.Time) time.Duration {
	if f := override.Load(); f != nil {
		return (*f)()
	}
	old := lastReading.Load()
	if old != nil && now.Sub(old.at) < readingLifetime && !now.Before(old.at) {
		return old.suspended
	}
	next := &reading{at: now}
	if old != nil {
		next.suspended = old.suspended
	}
	if d := suspendedSinceBoot(suspendedBeforeStart+next.suspended) - suspendedBeforeStart; d > next.suspended+minSuspension {
		next.suspended = d
	}
	lastReading.CompareAndSwap(old, next)
	return next.suspended
}

// SetSuspendedForTest replaces the source of the suspended time in tests, and returns a function that restores it.
func SetSuspendedForTest(f func() time.Duration) (restore func()) {
	old := override.Swap(&f)
	return func() { override.Store(old) }
}

// Now is the time, including all time that the machine was suspended since the process began.
func Now() time.Time {
	now := time.Now()
	return now.Add(asleep(now))
}

// Since is the time since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until t, which must come from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
