package quota

import (
	"testing"
	"time"
)

// shareLentTo plans and makes calls as package overlay does, two times, and returns the box that has the share of group 0.
// Calls to the boxes in results end as it says, and all others are answered.
func shareLentTo(l *Lender, now time.Time, owner string, results map[string]Result) string {
	lendOnce := func() (again bool) {
		for _, c := range l.Plan(now, [Groups]string{owner}, 1500*time.Millisecond) {
			again = l.CallDone(now, c, results[c.To]) || again
		}
		return again
	}
	for range 2 {
		if lendOnce() {
			lendOnce()
		}
	}
	return l.Borrower(now, 0)
}

// Guards against a share that is returned by the second candidate and lost for the length of a loan, each time a box tries
// again to reach an owner that is frozen or killed.
func TestShareStaysWhileOwnerIsSilent(t *testing.T) {
	for _, failure := range []Result{Lost, Gone} {
		l, now := &Lender{}, time.Unix(1_800_000_000, 0)
		expect := func(owner, want string, results map[string]Result) {
			t.Helper()
			if got := shareLentTo(l, now, owner, results); got != want {
				t.Errorf("result %d, %s should own the group: expected the share at %q, got %q", failure, owner, want, got)
			}
		}
		expect("first", "first", nil)
		now = now.Add(2 * time.Second)
		silent := map[string]Result{"first": failure}
		shareLentTo(l, now, "first", silent)
		now = now.Add(2 * time.Second)
		expect("second", "second", silent)
		for range 10 {
			now = now.Add(time.Second)
			expect("first", "second", silent)
		}
		expect("first", "first", nil)
	}
}

// Guards against a share that never returns to a box after the box that has the share fell silent as well.
func TestShareMovesBetweenSilentBoxes(t *testing.T) {
	l, now := &Lender{}, time.Unix(1_800_000_000, 0)
	for _, owner := range []string{"first", "second", "first", "second"} {
		if got := shareLentTo(l, now, owner, nil); got != owner {
			t.Errorf("expected the share at %q, got %q", owner, got)
		}
		now = now.Add(time.Second)
		shareLentTo(l, now, owner, map[string]Result{owner: Lost})
		now = now.Add(3 * time.Second)
	}
}
