package slots

import (
	"fmt"
	"testing"
	"time"
)

// The cost of a request that waits and of its release, with the most endpoints of a cell, many accounts and a long queue.
func BenchmarkAcquireRelease(b *testing.B) {
	var list []Endpoint
	for i := range 32 {
		list = append(list, Endpoint{ID: fmt.Sprint("e", i), Slots: 6, Usable: true})
	}
	d := newTestDispatcher(list...)
	now := epoch
	var granted []string
	n := 0
	acquire := func() {
		r := Request{ID: fmt.Sprint(n), Account: fmt.Sprint("account", n%200), OnTime: time.Hour, Left: time.Hour}
		n++
		if d.Acquire(now, r).State == Granted {
			granted = append(granted, r.ID)
		}
	}
	for range 1200 {
		acquire()
	}
	for b.Loop() {
		now = now.Add(150 * time.Microsecond)
		acquire()
		d.Release(now, granted[0], Result{Answered, simService})
		granted = granted[1:]
		for _, c := range d.Step(now) {
			if c.State == Granted {
				granted = append(granted, c.ID)
			}
		}
		d.Next(now)
		d.Busy(now)
	}
}
