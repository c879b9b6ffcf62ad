package slots

import (
	"fmt"
	"testing"
	"time"
)

// Guards against late requests that take more than 1 in 8 grants from on-time requests, and against late requests that
// get none.
func TestLateShare(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 1, Usable: true})
	now := warm(d, 50)
	ids := occupy(t, d, now)
	for i := range 60 {
		r := request(fmt.Sprint("ontime", i))
		r.OnTime, r.Left = time.Minute, time.Minute
		late := request(fmt.Sprint("late", i))
		late.OnTime, late.Left, late.Returning = 0, time.Minute, true
		for _, r := range []Request{r, late} {
			if got := d.Acquire(now, r); got.State != Queued {
				t.Fatalf("%s: %+v", r.ID, got)
			}
		}
	}
	var order []bool
	for len(order) < 48 {
		d.Release(now, ids[0], Result{Answered, simService})
		ids = ids[1:]
		for _, c := range d.Step(now) {
			if c.State != Granted {
				t.Fatalf("%+v", c)
			}
			order = append(order, c.ID[:4] == "late")
			ids = append(ids, c.ID)
		}
		now = now.Add(simService / 2)
	}
	n := 0
	for i, late := range order {
		if late {
			n++
		}
		if i >= 7 {
			in := 0
			for _, l := range order[i-7 : i+1] {
				if l {
					in++
				}
			}
			if in > 1 {
				t.Errorf("%d late requests among grants %d to %d, want at most 1", in, i-7, i)
			}
		}
	}
	if n != 6 {
		t.Errorf("%d late requests in 48 grants, want 6", n)
	}
}

// Guards against callers that are told to return together, at once, or in an hour.
func TestRetryAfter(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 6, Usable: true})
	now := warm(d, 100)
	occupy(t, d, now)
	refuse := func(i int) time.Duration {
		r := request(fmt.Sprint("refused", i))
		r.OnTime, r.Left = time.Millisecond, time.Millisecond
		got := d.Acquire(now, r)
		if got.State != Refused {
			t.Fatalf("%+v", got)
		}
		return got.RetryAfter
	}
	// The first callers find a slot soon, later ones find those before them.
	first, different := refuse(0), map[time.Duration]bool{}
	var last time.Duration
	for i := range 100 {
		last = refuse(1 + i)
		different[last] = true
	}
	if first < 50*time.Millisecond || first > 100*time.Millisecond {
		t.Errorf("the first caller is told to return after %v, want 50 to 100ms", first)
	}
	if last < 300*time.Millisecond || last > time.Second {
		t.Errorf("the last of 101 callers is told to return after %v, want about 100 requests at 200 per second", last)
	}
	if len(different) < 90 {
		t.Errorf("%d different times for 100 callers", len(different))
	}
	// An overload doubles the time each second.
	for s := range 6 {
		for i := range 300 {
			now = now.Add(time.Second / 300)
			r := request(fmt.Sprint("load", s, "-", i))
			r.OnTime, r.Left = 70*time.Millisecond, 70*time.Millisecond
			d.Acquire(now, r)
		}
		got := refuse(1000 + s)
		t.Logf("after %d s of overload: %v", s+1, got)
		if got > 8*time.Second || got < 50*time.Millisecond {
			t.Errorf("%v is not between 50ms and 8s", got)
		}
		if s >= 4 && got < 4*time.Second {
			t.Errorf("%v after %d s of overload, want at least 4s", got, s+1)
		}
	}
	// The requests that still wait are refused first.
	d.Step(now.Add(time.Second))
	if n := d.Snapshot(now.Add(20 * time.Second)).ToldToRetry; n != 0 {
		t.Errorf("%d callers are expected to return after 20s, want 0", n)
	}
}
