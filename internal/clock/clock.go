// Package clock says what time it is, for whatever may run out: leases, ages, budgets, verdicts.
//
// The process may be suspended with its machine for seconds. The steady clock of package time stands
// still meanwhile, so that all of these would look younger than they are when the machine wakes; the
// time of day goes on, and may jump. So the time here is that of package time plus all the time that
// the machine was suspended, by CLOCK_BOOTTIME. Times of this package are compared with each other
// only: after a suspension time.Now is behind them, and so are its timers and deadlines, which are set
// by what is left (Until). What is shown to people is time.Now.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// spread is how far apart the two readings of the steady clock may be between which the other one
	// is read: beyond it the process was scheduled away, and the reading says nothing.
	spread = time.Millisecond
	// noise is the least that counts as a suspension.
	noise = 5 * time.Millisecond
	// freshFor is for how long a reading is used again. It bounds the calls to the system to some
	// hundred a second, and what may be taken for valid too long after the machine wakes.
	freshFor = 2 * time.Millisecond
)

// reading is what was found of the machine's suspensions.
type reading struct {
	at     time.Time
	asleep time.Duration
}

var (
	// before is what the machine was suspended before this process began.
	before = asleepSinceBoot(0)
	last   atomic.Pointer[reading]
	// set stands in for the system's clocks in tests.
	set atomic.Pointer[func() time.Duration]
)

// asleepSinceBoot is for how long the machine was suspended since it was started: what CLOCK_BOOTTIME
// has gone beyond CLOCK_MONOTONIC. Where that cannot be read it is as was known.
func asleepSinceBoot(known time.Duration) time.Duration {
	var steady, boot, again unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &again) != nil || again.Nano()-steady.Nano() > int64(spread) {
		return known
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// asleep is for how long the machine was suspended since the process began. It never shrinks.
func asleep(now time.Time) time.Duration {
	if f := set.Load(); f != nil {
		return (*f)()
	}
	old := last.Load()
	if old != nil && now.Sub(old.at) < freshFor && !now.Before(old.at) {
		return old.asleep
	}
	next := &reading{at: now}
	if old != nil {
		next.asleep = old.asleep
	}
	if d := asleepSinceBoot(before+next.asleep) - before; d > next.asleep+noise {
		next.asleep = d
	}
	last.CompareAndSwap(old, next)
	return next.asleep
}

// Set replaces what tells for how long the machine was suspended, and returns what puts it back.
func Set(f func() time.Duration) (restore func()) {
	old := set.Swap(&f)
	return func() { set.Store(old) }
}

// Now is the time, with all that the machine was suspended since the process began.
func Now() time.Time {
	now := time.Now()
	return now.Add(asleep(now))
}

// Since is the time since t, which is one of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until t, which is one of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
