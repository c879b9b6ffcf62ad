package slots

import (
	"fmt"
	"testing"
	"time"
)

func accountRequest(id, account string) Request {
	r := request(id)
	r.Account = account
	return r
}

func accountsOf(s Snapshot) map[string]AccountSnapshot {
	out := map[string]AccountSnapshot{}
	for _, a := range s.Accounts {
		out[a.Account] = a
	}
	return out
}

// Guards against a status that attributes slots, refusals or retries to the wrong account, or that counts a call twice.
func TestAccountCounts(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 1, Usable: true})
	if g := d.Acquire(epoch, accountRequest("1", "small")); g.State != Granted {
		t.Fatalf("expected a grant, got %+v", g)
	}
	d.Acquire(epoch, accountRequest("1", "small")) // Sent a second time.
	if q := d.Acquire(epoch, accountRequest("2", "large")); q.State != Queued {
		t.Fatalf("expected the request to wait, got %+v", q)
	}
	d.Acquire(epoch, accountRequest("3", "large"))
	d.Release(epoch, "3", Result{Outcome: Unused})
	r := accountRequest("4", "large")
	r.OnTime, r.Left, r.Returning = time.Millisecond, time.Millisecond, true
	if got := d.Acquire(epoch, r); got.State != Refused {
		t.Fatalf("expected a refusal, got %+v", got)
	}
	got := accountsOf(d.Snapshot(epoch))
	if a := got["small"]; len(got) != 2 || a.Granted != 1 || a.InUse != 1 || a.Waiting != 0 || a.Returning != 0 {
		t.Errorf("unexpected counts of the small account: %+v", a)
	}
	a := got["large"]
	if a.Granted != 0 || a.InUse != 0 || a.Waiting != 1 || a.Withdrawn != 1 || a.Refused[TooLate] != 1 || a.Returning != 1 || a.ReturningRefused != 1 {
		t.Errorf("unexpected counts of the large account: %+v", a)
	}
	d.Stop(epoch)
	if a := accountsOf(d.Snapshot(epoch))["large"]; a.Waiting != 0 || a.Refused[Stopping] != 1 {
		t.Errorf("expected the request that waited to be refused with Stopping, got %+v", a)
	}
}

// Guards against a slot that a call no longer holds in the counts of its account, and against losing sight of such a call.
func TestOverdueCallInSnapshot(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 1, Usable: true})
	r := accountRequest("1", "a")
	r.Left = 10 * time.Second
	if g := d.Acquire(epoch, r); g.State != Granted {
		t.Fatalf("expected a grant, got %+v", g)
	}
	s := d.Snapshot(epoch.Add(5 * time.Second))
	if e, a := s.Endpoints[0], accountsOf(s)["a"]; e.Overdue != 1 || e.InUse != 0 || a.InUse != 0 || a.Granted != 1 {
		t.Errorf("expected an overdue call without a slot, got %+v and %+v", e, a)
	}
}

// The names of accounts come from other boxes. Guards against memory use without a bound.
func TestAccountCountsAreBounded(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 1, Usable: true})
	const accounts = maxCountedAccounts + 50
	for i := range accounts {
		id := fmt.Sprint(i)
		d.Acquire(epoch, accountRequest(id, "account-"+id))
		d.Release(epoch, id, Result{Outcome: Unused})
	}
	got := accountsOf(d.Snapshot(epoch))
	if n := got[otherAccounts].Granted; len(got) != maxCountedAccounts+1 || n != accounts-maxCountedAccounts {
		t.Errorf("expected %d accounts and the others together, got %d with %d grants of others", maxCountedAccounts, len(got), n)
	}
}

// Guards against requests that are refused while they wait and appear in no count.
func TestRefusalWhileWaitingIsCounted(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e", Slots: 1, Usable: true})
	long := accountRequest("1", "a")
	long.Left = 10 * time.Second
	d.Acquire(epoch, long)
	r := accountRequest("2", "b")
	r.Returning = true
	if q := d.Acquire(epoch, r); q.State != Queued {
		t.Fatalf("expected the request to wait, got %+v", q)
	}
	if a := accountsOf(d.Snapshot(epoch.Add(r.Left)))["b"]; a.Waiting != 0 || a.Refused[TooLate] != 1 || a.Returning != 1 || a.ReturningRefused != 1 {
		t.Errorf("expected one refusal of a caller that returned, got %+v", a)
	}
}
