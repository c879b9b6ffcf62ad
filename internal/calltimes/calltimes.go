// Package calltimes learns how long calls take, and says how long the next one may take. A box that stops uses it to refuse
// the calls that it could not finish.
package calltimes

import (
	"slices"
	"sync"
	"time"
)

const (
	// samples is the number of calls of a kind that are remembered. A call that takes longer than all others once in a
	// hundred is among them most of the time.
	samples = 128
	// quantile is the share of the remembered calls that take no longer than the estimate without its margin. With fewer
	// than 50 calls it is the longest one.
	quantile = 0.98
	// margin is the factor by which the estimate exceeds the quantile. The next call may take longer than all before it.
	margin = 1.25
	// A few calls say little about the longest ones: the margin is larger by fewCalls divided by their number.
	fewCalls = 1.0
)

// Key identifies calls that take similar times.
type Key struct{ Service, Route string }

// Table has the times of calls. It is safe for concurrent use. The zero value is empty.
type Table struct {
	mu    sync.Mutex
	times map[Key]*ring
}

// ring has the times of the latest calls.
type ring struct {
	times []time.Duration
	next  int
}

// Record records how long a call has taken.
func (t *Table) Record(k Key, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.times[k]
	if r == nil {
		if t.times == nil {
			t.times = map[Key]*ring{}
		}
		r = &ring{}
		t.times[k] = r
	}
	if len(r.times) < samples {
		r.times = append(r.times, took)
		return
	}
	r.times[r.next] = took
	r.next = (r.next + 1) % samples
}

// Estimate returns a time that a call is unlikely to exceed. If no call of the route is known, calls of other routes to the
// service decide. known is false if there are none either.
func (t *Table) Estimate(k Key) (d time.Duration, known bool) {
	t.mu.Lock()
	var list []time.Duration
	if r := t.times[k]; r != nil {
		list = slices.Clone(r.times)
	} else {
		for other, r := range t.times {
			if other.Service == k.Service {
				list = append(list, r.times...)
			}
		}
	}
	t.mu.Unlock()
	return upper(list), len(list) > 0
}

// upper returns the upper quantile of a list with its margin; 0 for an empty list.
func upper(list []time.Duration) time.Duration {
	n := len(list)
	if n == 0 {
		return 0
	}
	slices.Sort(list)
	i := min(n-1, int(quantile*float64(n)))
	return time.Duration(float64(list[i]) * (margin + fewCalls/float64(n)))
}

// Keep forgets the calls for which keep returns false.
func (t *Table) Keep(keep func(Key) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k := range t.times {
		if !keep(k) {
			delete(t.times, k)
		}
	}
}
