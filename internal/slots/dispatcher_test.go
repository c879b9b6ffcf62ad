package slots

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// occupy has all slots of a dispatcher granted, and returns the IDs of the grants.
func occupy(t *testing.T, d *Dispatcher, now time.Time) []string {
	t.Helper()
	var ids []string
	for {
		id := fmt.Sprint("occupies", len(ids))
		r := request(id)
		r.Left = time.Minute
		if d.Acquire(now, r).State != Granted {
			d.Release(now, id, Result{Outcome: Unused})
			return ids
		}
		ids = append(ids, id)
	}
}

// Guards against two slots for one request that was sent twice, and against two different answers.
func TestSameIDGetsSameAnswer(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 1, Usable: true})
	now := warm(d, 50)
	first := d.Acquire(now, request("a"))
	if again := d.Acquire(now.Add(time.Millisecond), request("a")); first.State != Granted || !reflect.DeepEqual(again, first) {
		t.Errorf("granted: %+v, then %+v", first, again)
	}
	occupy(t, d, now)
	first = d.Acquire(now, request("b"))
	if again := d.Acquire(now, request("b")); first.State != Queued || !reflect.DeepEqual(again, first) {
		t.Errorf("queued: %+v, then %+v", first, again)
	}
	r := request("c")
	r.OnTime, r.Left = time.Millisecond, time.Millisecond
	first = d.Acquire(now, r)
	if again := d.Acquire(now.Add(time.Millisecond), r); first.State != Refused || !reflect.DeepEqual(again, first) {
		t.Errorf("refused: %+v, then %+v", first, again)
	}
	if s := d.Snapshot(now); s.Waiting != 1 {
		t.Errorf("%d requests wait, want 1", s.Waiting)
	}
}

// Guards against grants beyond a box's own part of the slots, and against a part that rounds down to nothing.
func TestPartOfSlots(t *testing.T) {
	for _, c := range []struct {
		part float64
		want int
	}{{1, 9}, {0, 9}, {0.5, 4}, {0.05, 1}} {
		d := NewDispatcher(Options{Part: c.part})
		d.SetEndpoints(epoch, []Endpoint{{ID: "e1", Slots: 8, Usable: true}})
		now := warm(d, 100)
		if got := len(occupy(t, d, now)); got != c.want {
			t.Errorf("part %v of 8 slots: %d grants, want %d", c.part, got, c.want)
		}
	}
}

// Guards against a limit that rejections don't lower, that each rejection of one overload lowers again, or that doesn't
// rise again.
func TestRejectionsCutLimit(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 6, Usable: true})
	now := warm(d, 100)
	ids := occupy(t, d, now)
	if len(ids) != 7 {
		t.Fatalf("%d grants, want 7", len(ids))
	}
	for i, want := range []int{4, 4, 4} {
		d.Release(now, ids[i], Result{Outcome: []Outcome{Rejected, Reset}[i%2]})
		if s := d.Snapshot(now).Endpoints[0]; s.Limit != want || s.FailureRate != 0 || s.SetAside {
			t.Errorf("after %d rejections: %+v, want limit %d and no failures", i+1, s, want)
		}
	}
	// After a service time a rejection cuts again, to 0.7 of the four grants in use.
	now = now.Add(simService + time.Millisecond)
	d.Release(now, ids[3], Result{Outcome: Rejected})
	if s := d.Snapshot(now).Endpoints[0]; s.Limit != 2 {
		t.Errorf("limit %d after a later rejection, want 2", s.Limit)
	}
	// The limit rises by one after as many answers as it is: 2+3+4+5+6 answers from 2 to 7.
	for _, id := range ids[4:] {
		d.Release(now, id, Result{Outcome: Unused})
	}
	for i := range 20 {
		if s := d.Snapshot(now).Endpoints[0]; s.Limit >= 7 {
			t.Errorf("limit %d after %d answers, want 7 only after 20", s.Limit, i)
		}
		id := fmt.Sprint("again", i)
		d.Acquire(now, request(id))
		now = now.Add(simService)
		d.Release(now, id, Result{Answered, simService})
	}
	if s := d.Snapshot(now).Endpoints[0]; s.Limit != 7 {
		t.Errorf("limit %d after 20 answers, want 7", s.Limit)
	}
}

// Guards against calls to a failing endpoint while another one is there, and against refusals if there is no other one.
func TestFailingEndpointIsLastResort(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 4, Usable: true}, Endpoint{ID: "e2", Slots: 4, Usable: true})
	now := epoch
	for i := range setAsideFailures {
		r := request(fmt.Sprint("fails", i))
		r.Exclude = []string{"e2"}
		if g := d.Acquire(now, r); g.Endpoint != "e1" {
			t.Fatalf("%+v", g)
		}
		d.Release(now, r.ID, Result{Outcome: Failed, Took: time.Millisecond})
	}
	now = now.Add(time.Second)
	for i := range 2 {
		if g := d.Acquire(now, request(fmt.Sprint("other", i))); g.Endpoint != "e2" {
			t.Errorf("while e1 is set aside: %+v, want e2", g)
		}
	}
	r := request("only")
	r.Exclude = []string{"e2"}
	if g := d.Acquire(now, r); g.Endpoint != "e1" {
		t.Errorf("a request that excludes e2: %+v, want e1", g)
	}
	d.Release(now, "only", Result{Answered, simService})
	if d.Snapshot(now).Endpoints[0].SetAside {
		t.Error("e1 is set aside after an answer")
	}
}

// Guards against an endpoint that rejects every call and gets most calls, because its slot is free again at once. Past
// fault: it got 891 of 1,539 calls while another endpoint answered.
func TestEndpointThatRejectsEverything(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 4, Usable: true}, Endpoint{ID: "e2", Slots: 4, Usable: true})
	now, rejected := epoch, 0
	for i := range 500 {
		now = now.Add(6 * time.Millisecond) // 3 s in total.
		id := fmt.Sprint(i)
		switch g := d.Acquire(now, request(id)); g.Endpoint {
		case "e1":
			rejected++
			d.Release(now.Add(time.Millisecond), id, Result{Outcome: Rejected, Took: time.Millisecond})
		default:
			d.Release(now.Add(4*time.Millisecond), id, Result{Answered, 4 * time.Millisecond})
		}
	}
	if rejected > 50 {
		t.Errorf("%d of 500 calls went to the endpoint that rejects all, want a tenth at most", rejected)
	}
}

// Guards against calls to a broken endpoint that could wait for a working one, and against refusals of calls that an
// endpoint which recovered could run.
func TestSetAsideEndpointGetsOneCallInsteadOfRefusal(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 4, Usable: true}, Endpoint{ID: "e2", Slots: 1, Usable: true})
	for i := range setAsideFailures {
		r := request(fmt.Sprint("fails", i))
		r.Exclude = []string{"e2"}
		d.Acquire(epoch, r)
		d.Release(epoch, r.ID, Result{Outcome: Failed})
	}
	now := epoch.Add(time.Millisecond)
	if got := d.Acquire(now, request("first")); got.Endpoint != "e2" {
		t.Fatalf("%+v", got)
	}
	soon := request("soon")
	soon.OnTime = time.Second
	if got := d.Acquire(now, soon); got.State != Queued {
		t.Errorf("a request that can wait for e2: %+v, want queued", got)
	}
	for i, want := range []State{Granted, Refused} {
		r := request(fmt.Sprint("urgent", i))
		r.OnTime, r.Left = 10*time.Millisecond, 20*time.Millisecond
		if got := d.Acquire(now, r); got.State != want {
			t.Errorf("urgent request %d: %+v, want state %d", i, got, want)
		}
	}
}

// Guards against grants of endpoints that leave or that are excluded, and against waiting for them.
func TestUnusableEndpoints(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 2, Usable: true}, Endpoint{ID: "e2", Slots: 2})
	r := request("a")
	r.Exclude = []string{"e1"}
	if got := d.Acquire(epoch, r); got.State != Refused || got.Reason != NoEndpoint {
		t.Errorf("without a usable endpoint: %+v", got)
	}
	if got := d.Acquire(epoch, request("b")); got.Endpoint != "e1" {
		t.Errorf("%+v, want e1", got)
	}
	if got := d.Acquire(epoch, request("c")); got.State != Queued {
		t.Fatalf("%+v, want queued", got)
	}
	d.SetEndpoints(epoch, nil)
	got := d.Step(epoch)
	if len(got) != 1 || got[0].ID != "c" || got[0].State != Refused || got[0].Reason != NoEndpoint {
		t.Errorf("after the endpoints left: %+v", got)
	}
	d.Release(epoch, "b", Result{Answered, simService})
	if s := d.Snapshot(epoch); len(s.Endpoints) != 0 {
		t.Errorf("endpoints that left: %+v", s.Endpoints)
	}
}

// Guards against a waiting request that is refused only when its caller has given up, and against one that is refused
// while it can still be served.
func TestRefusedWhenItCannotBeServed(t *testing.T) {
	// Each time is shorter than the time after which the call that occupies the slot is overdue.
	for onTime, left := range map[time.Duration]time.Duration{simTarget: simTarget, 100 * time.Millisecond: 170 * time.Millisecond} {
		d := newTestDispatcher(Endpoint{ID: "e1", Slots: 1, Usable: true})
		now := warm(d, 50).Add(2 * time.Second)
		occupy(t, d, now)
		r := request("a")
		r.OnTime, r.Left = onTime, left
		if got := d.Acquire(now, r); got.State != Queued {
			t.Fatalf("%+v", got)
		}
		at := now
		var got []Change
		for len(got) == 0 {
			next, ok := d.Next(at)
			if !ok || !next.After(at) {
				t.Fatalf("Next at %v is %v, %v", at.Sub(now), next.Sub(now), ok)
			}
			at = next
			got = d.Step(at)
		}
		if got[0].State != Refused || got[0].Reason != TooLate || got[0].RetryAfter < minRetryAfter {
			t.Errorf("%+v", got[0])
		}
		// With a mean of 30 ms, it must get a slot 45 ms before its time is over. A request that can no longer be on time
		// waits in the late queue, which has room.
		if refused, want := at.Sub(now), left-45*time.Millisecond; refused != want {
			t.Errorf("with %v left: refused after %v, want %v", left, refused, want)
		}
	}
}

// Guards against boxes that stop asking while slots are scarce, or never stop.
func TestBusy(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 6, Usable: true})
	now := warm(d, 100)
	now = now.Add(busyMemory)
	for i := range 3 {
		d.Acquire(now, request(fmt.Sprint("a", i)))
	}
	if d.Busy(now) {
		t.Error("busy with half of the slots in use")
	}
	d.Acquire(now, request("b"))
	if !d.Busy(now) {
		t.Error("not busy with more than half of the slots in use")
	}
	now = now.Add(500 * time.Millisecond)
	d.Release(now, "b", Result{Answered, simService})
	if !d.Busy(now.Add(1900 * time.Millisecond)) {
		t.Error("not busy 1.9s after the slots were in use")
	}
	if d.Busy(now.Add(2100 * time.Millisecond)) {
		t.Error("busy 2.1s after the slots were in use")
	}
}

// Guards against requests that wait at an owner that stops, and against an owner that forgets its grants.
func TestStop(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 2, Usable: true})
	d.Acquire(epoch, request("granted"))
	d.Acquire(epoch, request("waits"))
	got := d.Stop(epoch)
	if len(got) != 1 || got[0].ID != "waits" || got[0].Reason != Stopping || got[0].State != Refused {
		t.Errorf("%+v", got)
	}
	if got := d.Acquire(epoch, request("new")); got.State != Refused || got.Reason != Stopping {
		t.Errorf("%+v", got)
	}
	if used, _ := inUse(d, epoch); used != 1 {
		t.Errorf("%d grants in use, want 1", used)
	}
	d.Release(epoch, "granted", Result{Answered, simService})
	if used, _ := inUse(d, epoch); used != 0 {
		t.Errorf("%d grants in use, want 0", used)
	}
}

// Guards against a queue without bound.
func TestQueueFull(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 1, Usable: true})
	occupy(t, d, epoch)
	for i := range maxWaiting + 1 {
		r := request(fmt.Sprint("a", i))
		r.OnTime, r.Left = time.Hour, time.Hour
		got := d.Acquire(epoch, r)
		if i < maxWaiting && got.State != Queued || i == maxWaiting && got.Reason != QueueFull {
			t.Fatalf("request %d: %+v", i, got)
		}
	}
}

// Guards against a slot for a request whose caller has given up: after a pause of the process, which lets grants expire,
// and if the answer would be on time only after the caller has given up.
func TestNoGrantAfterCallerGaveUp(t *testing.T) {
	for _, onTime := range []time.Duration{simTarget, time.Second} {
		d := newTestDispatcher(Endpoint{ID: "e1", Slots: 1, Usable: true})
		now := warm(d, 50)
		for i := range 2 {
			r := request(fmt.Sprint("killed", i))
			r.Left = simTarget
			if got := d.Acquire(now, r); got.State != Granted {
				t.Fatalf("%+v", got)
			}
		}
		r := request("a")
		r.OnTime, r.Left = onTime, simTarget
		if got := d.Acquire(now, r); got.State != Queued {
			t.Fatalf("%+v", got)
		}
		got := d.Step(now.Add(10 * time.Second))
		if len(got) != 1 || got[0].State != Refused {
			t.Errorf("on time within %v: %+v, want a refusal", onTime, got)
		}
	}
}
