// Package clock says what time it is, for whatever may run out: leases, ages, budgets, verdicts.
//
// The process may be suspended with its machine for seconds. The steady clock of package time stands
// still meanwhile, so that all of these would look younger than they are when the machine wakes; the
// time of day goes on, and may jump. So the time here is that of package time plus all the time that
// the machine was suspended, by CLOCK_BOOTTIME. Times of this package are compared with each other
// only: after a suspension, time.Now is behind them.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Suspended tells for how long the machine was suspended since it started. Tests replace it.
type Suspended func() time.Duration

var (
	suspended atomic.Pointer[Suspended]
	// before is what the machine was suspended before this process began.
	before = bootMinusSteady()
)

// noise is what two readings of clocks, one after the other, may be apart: a process that is
// scheduled away between them. Suspensions shorter than this count as none.
const noise = 20 * time.Millisecond

// bootMinusSteady is what CLOCK_BOOTTIME has gone beyond CLOCK_MONOTONIC, which are equal but for
// the time suspended; 0 where they cannot be read.
func bootMinusSteady() time.Duration {
	var steady, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano())
}

// sinceStart is for how long the machine was suspended since the process began.
func sinceStart() time.Duration {
	if d := bootMinusSteady() - before; d > noise {
		return d
	}
	return 0
}

// Set replaces what tells how long the machine was suspended, and returns what puts it back.
func Set(s Suspended) (restore func()) {
	old := suspended.Swap(&s)
	return func() { suspended.Store(old) }
}

// Now is the time, with the steady clock's reading and all that the machine was suspended.
func Now() time.Time {
	if s := suspended.Load(); s != nil {
		return time.Now().Add((*s)())
	}
	return time.Now().Add(sinceStart())
}

// Since is the time since t, which is one of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time until t, which is one of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }
