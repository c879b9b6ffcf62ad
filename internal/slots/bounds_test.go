package slots

import (
	"fmt"
	"testing"
	"time"
)

// Guards against memory that grows with each grant that is never released. A box may ask with a time of an hour.
func TestOverdueGrantsAreBounded(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 100, Usable: true})
	now := epoch
	for i := range 4 * maxOverdue {
		r := request(fmt.Sprint(i))
		r.Left = time.Hour
		if a := d.Acquire(now, r); a.State != Granted {
			now = now.Add(time.Second)
		}
	}
	now = now.Add(time.Second)
	d.Release(now, "", Result{})
	if n := len(d.grants); n > maxOverdue+d.endpoints["e"].maxLimit {
		t.Errorf("expected at most %d grants that were not released, got %d", maxOverdue, n)
	}
	if used := d.endpoints["e"].inUse; used != 0 || d.overdue > maxOverdue || len(d.expiring) != len(d.grants) {
		t.Errorf("expected no slots in use, got %d, %d overdue, %d of %d expire", used, d.overdue, len(d.expiring), len(d.grants))
	}
	now = now.Add(2 * time.Hour)
	d.Release(now, "", Result{})
	if len(d.grants) != 0 || d.overdue != 0 {
		t.Errorf("expected all grants to be forgotten, got %d, %d overdue", len(d.grants), d.overdue)
	}
}

// Guards against memory and work that grow with each account name that was ever used while requests wait. Requests with
// a weight near 0 leave the finish tag of their account far ahead.
func TestAccountsAreBounded(t *testing.T) {
	for name, leave := range map[string]func(*queue, *waiter){
		"served": (*queue).serve, "withdrawn": (*queue).remove,
	} {
		var q queue
		q.push(&waiter{Request: Request{ID: "first"}}) // Keeps the class.
		for i := range 4 * maxFlows {
			w := &waiter{Request: Request{Account: fmt.Sprint(i), Weight: 1e-300}, seq: uint64(i)}
			q.push(w)
			if leave(&q, w); len(q.classes[0].flows) > maxFlows {
				t.Fatalf("%s: expected at most %d accounts, got %d", name, maxFlows, len(q.classes[0].flows))
			}
		}
	}
}

// Guards against a weight near 0 that moves the virtual time so far that later requests of all accounts get the same tag
// and fair order ends.
func TestTinyWeightKeepsFairOrder(t *testing.T) {
	var q queue
	push := func(account string, seq uint64, weight float64) *waiter {
		w := &waiter{Request: Request{Account: account, Weight: weight}, seq: seq}
		q.push(w)
		return w
	}
	for i := range uint64(3) {
		push("tiny", i, 5e-324)
	}
	for range 2 { // The third keeps the class.
		q.serve(q.first(func(*waiter) bool { return true }))
	}
	for i := range uint64(10) {
		push("large", 10+i, 1)
	}
	small := push("small", 20, 1)
	if n := q.aheadOf(small); n > 6 {
		t.Errorf("expected the only request of a small account behind few others, got %d ahead", n)
	}
}

// Guards against an owner that loses the count of its grants when its part of the slots changes.
func TestPartChangesKeepGrants(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 6, Usable: true})
	now := warm(d, 60)
	grant := func(prefix string) (n int) {
		for i := range 20 {
			if d.Acquire(now, request(fmt.Sprint(prefix, i))).State == Granted {
				n++
			}
		}
		return n
	}
	if n := grant("whole"); n != 7 {
		t.Fatalf("expected 6 slots and a spare one, got %d", n)
	}
	d.SetPart(now, 0.5)
	if used := d.endpoints["e"].inUse; used != 7 {
		t.Errorf("expected the grants to go on, got %d", used)
	}
	for i := range 7 {
		d.Release(now, fmt.Sprint("whole", i), Result{Answered, simService})
	}
	if used := d.endpoints["e"].inUse; used > 3 || used == 0 {
		t.Errorf("expected at most half of the slots in use, got %d", used)
	}
	d.SetPart(now, 1)
	if e := d.endpoints["e"]; e.maxLimit != 7 || e.limit > 3 {
		t.Errorf("expected the limit to rise from half with each answer, got %d of %d", e.limit, e.maxLimit)
	}
}

// Guards against a box's own part that comes on top of the calls that the box already has at an endpoint.
func TestCallsOutsideCountAgainstLimit(t *testing.T) {
	outside := 2
	d := NewDispatcher(Options{Part: 0.5, Outside: func(string) int { return outside }})
	d.SetEndpoints(epoch, []Endpoint{{ID: "e", Slots: 12, Usable: true}})
	grant := func(id string) State { return d.Acquire(epoch, request(id)).State }
	if grant("1") != Granted || grant("2") == Granted {
		t.Error("expected one slot beside the two calls outside, of a limit that begins at 3")
	}
	outside = 0
	d.Release(epoch, "", Result{})
	if got := grant("2"); got != Granted {
		t.Errorf("expected the request that waits to get the slot once the calls outside have ended, got %v", got)
	}
}

// Guards against a decision that reads the calls outside twice: other goroutines change their number meanwhile. A box found
// a free slot for a request that waited, found none when it granted the slot, and panicked.
func TestCallsOutsideChangeDuringDecision(t *testing.T) {
	for reads := range 12 {
		left := 1 << 20 // How often no calls outside are reported.
		d := NewDispatcher(Options{Outside: func(string) int {
			left--
			return max(0, -left) * 100
		}})
		d.SetEndpoints(epoch, []Endpoint{{ID: "e", Slots: 2, Usable: true}})
		for _, id := range []string{"1", "2", "3", "4"} {
			d.Acquire(epoch, request(id))
		}
		left = reads
		d.Release(epoch.Add(30*time.Millisecond), "1", Result{Outcome: Answered})
	}
}
