// Package clock provides the time for everything that expires, such as leases, ages and retry budgets.
//
// The process may be suspended with its machine for seconds. The monotonic clock of package time stops meanwhile. By
// that clock, everything that expires would appear too young afterwards. The wall clock goes on, but may jump. So the
// time of this package is a sum. It adds the total time for which the machine was suspended to the time of package
// time. The total is measured with CLOCK_BOOTTIME.
//
// Times of this package may be compared only with each other. After a suspension, time.Now is behind them. Timers and
// deadlines of package time are therefore set to a remaining duration (Until). Times shown to people come from
// time.Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// The boot time is read between two readings of the monotonic clock. maxReadSpread is the most time between
	// these two readings. If more time passed, the process was preempted and the measurement is not used.
	maxReadSpread = time.Millisecond
	// minSuspension is the smallest difference that counts as a suspension.
	minSuspension = 5 * time.Millisecond
	// readingLifetime is how long a measurement is reused. It bounds the system calls to a few hundred per second.
	// After the machine wakes, something that has expired may still count as valid for this time.
	readingLifetime = 2 * time.Millisecond
)

// reading is a measurement of how long the machine was suspended since the process began.
type reading struct {
	at        time.Time
	suspended time.Duration
}

var (
	// suspendedBeforeStart is how long the machine was suspended before this process began.
	suspendedBeforeStart = suspendedSinceBoot(0)
	lastReading          atomic.Pointer[reading]
	// override replaces the measurement of the suspended time in tests, and nowOverride the result of Now.
	override    atomic.Pointer[func() time.Duration]
	nowOverride atomic.Pointer[func() time.Time]
)

// suspendedSinceBoot returns how long the machine was suspended since it booted. That is the difference between
// CLOCK_BOOTTIME and CLOCK_MONOTONIC. If that cannot be measured, it returns known, the last known value.
func suspendedSinceBoot(known time.Duration) time.Duration {
	var monotonic, boot, monotonicAfter unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonicAfter) != nil || monotonicAfter.Nano()-monotonic.Nano() > int64(maxReadSpread) {
		return known
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}

// suspendedSinceStart returns how long the machine was suspended since the process began. The result never decreases.
func suspendedSinceStart(now time.Time) time.Duration {
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

// SetSuspendedForTest replaces the measurement of the suspended time by f, and returns a function that undoes this.
func SetSuspendedForTest(f func() time.Duration) (restore func()) {
	old := override.Swap(&f)
	return func() { override.Store(old) }
}

// SetNowForTest replaces Now by f, and returns a function that undoes this.
func SetNowForTest(f func() time.Time) (restore func()) {
	old := nowOverride.Swap(&f)
	return func() { nowOverride.Store(old) }
}

// Now returns the time of package time plus the time for which the machine was suspended since the process began.
func Now() time.Time {
	if f := nowOverride.Load(); f != nil {
		return (*f)()
	}
	now := time.Now()
	return now.Add(suspendedSinceStart(now))
}

// Since returns the time since t, which must come from Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t, which must come from Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
