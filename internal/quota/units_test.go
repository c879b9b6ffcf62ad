package quota

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// accountsOfGroup returns the names of n accounts of one group.
func accountsOfGroup(group, n int) (out []string) {
	for i := 0; len(out) < n; i++ {
		if name := fmt.Sprint("account", i); GroupOf(name) == group {
			out = append(out, name)
		}
	}
	return out
}

func limitsOf(l Limit, names ...string) map[string]Limit {
	out := map[string]Limit{}
	for _, name := range names {
		out[name] = l
	}
	return out
}

func (p *Pool) levelOf(account string) float64 { return p.accounts[account].level }

// The units of a share move from the old owner to the next one, and their sum stays the same. They were lost, and the
// next owner began with empty buckets.
func TestUnitsTravelWithShares(t *testing.T) {
	now := time.Now()
	names := accountsOfGroup(0, 2)
	used, unused := names[0], names[1]
	limits := limitsOf(Limit{Rate: 1e-9, Burst: 100}, names...)
	before, after := poolWithShares(now, 4, 4, limits), poolWithShares(now, 4, 0, limits)
	before.Grant(now, "", used, 60, 0)
	for i := range 4 {
		box := fmt.Sprint(i)
		u := before.Lend(now, box, []int{0}, true, 0)
		if !u.OthersFull || len(u.Levels) != 1 || u.Levels[0].Account != used || math.Abs(u.Levels[0].Units-10) > 1e-6 {
			t.Fatalf("expected 10 units of the used account, and that the other is full, got %+v", u)
		}
		after.Lend(now, box, []int{0}, false, time.Second)
		after.AddUnits(now, []int{0}, u)
		if sum := before.levelOf(used) + after.levelOf(used); math.Abs(sum-40) > 1e-6 {
			t.Errorf("expected 40 units at both owners, got %g", sum)
		}
		if sum := before.levelOf(unused) + after.levelOf(unused); math.Abs(sum-100) > 1e-6 {
			t.Errorf("expected 100 units of the full bucket at both owners, got %g", sum)
		}
	}
	if got := after.levelOf(used); math.Abs(got-40) > 1e-6 {
		t.Errorf("expected all units at the next owner, got %g", got)
	}
}

// Guards against a lent part of the overage that is lost at a planned stop, or that both owners have: with shares, a full
// bucket moves as a whole, and so does what is left of one that isn't full.
func TestLentOverageTravelsWithShares(t *testing.T) {
	now := time.Now()
	names := accountsOfGroup(0, 2)
	used, unused := names[0], names[1]
	bounds := Bounds{Slack: 1000} // Without a window nothing is refilled.
	limits := limitsOf(Limit{Rate: 1e-9, Burst: 100}, names...)
	var owners [2]*Pool
	for i, lenders := range []int{4, 0} {
		p := poolWithShares(now, 4, lenders, nil)
		p.SetBounds(now, bounds)
		for g := range Groups {
			p.SetPlace(now, g, Place{Boxes: 4, Rank: 3, Stopping: i == 0})
		}
		p.overage.isolated = 0 // Leaves the lent part alone.
		p.SetLimits(now, limits)
		owners[i] = p
	}
	const full = 100 + lentOverageShare*1000
	owners[0].Grant(now, "", used, 250, 0)
	for i := range 4 {
		box := fmt.Sprint(i)
		u := owners[0].Lend(now, box, []int{0}, true, 0)
		owners[1].Lend(now, box, []int{0}, false, time.Second)
		owners[1].AddUnits(now, []int{0}, u)
		for name, want := range map[string]float64{used: full - 250, unused: full} {
			if sum := owners[0].levelOf(name) + owners[1].levelOf(name); math.Abs(sum-want) > 1e-6 {
				t.Errorf("%d shares moved: expected %g units of %s at both owners, got %g", i+1, want, name, sum)
			}
		}
	}
	if got := owners[1].levelOf(used); math.Abs(got-(full-250)) > 1e-6 {
		t.Errorf("expected all units at the next owner, got %g", got)
	}
}

// A share that was not lent to this box has no units, and so has a share that was returned before: the answer to the
// first call for return may be lost, and its units must not be granted twice.
func TestReturnHasUnitsOnce(t *testing.T) {
	now := time.Now()
	p := poolWithShares(now, 2, 2, limitsOf(Limit{Rate: 1, Burst: 100}, accountsOfGroup(0, 1)...))
	if u := p.Lend(now, "0", []int{0}, true, 0); u.empty() {
		t.Error("expected the units of a returned share, got none")
	}
	for _, box := range []string{"0", "stranger"} {
		if u := p.Lend(now, box, []int{0}, true, 0); !u.empty() {
			t.Errorf("expected no units for the box %s, got %+v", box, u)
		}
	}
	if u := NewPool().Lend(now, "0", []int{0}, true, 0); !u.empty() {
		t.Errorf("expected no units from a box without limits, got %+v", u)
	}
}

// At most MaxLevels accounts are listed. If more accounts aren't full, nothing is said of those that are not listed.
func TestListedAccountsAreBounded(t *testing.T) {
	now := time.Now()
	names := accountsOfGroup(0, MaxLevels+10)
	for _, notFull := range []int{MaxLevels, MaxLevels + 1} {
		p := poolWithShares(now, 2, 2, limitsOf(Limit{Rate: 1e-9, Burst: 100}, names...))
		for i, name := range names[:notFull] {
			p.Grant(now, "", name, 1+float64(i)/10, 0)
		}
		u := p.Lend(now, "0", []int{0}, true, 0)
		if len(u.Levels) != MaxLevels || u.OthersFull != (notFull <= MaxLevels) {
			t.Errorf("expected %d of %d accounts that aren't full, got %d, others full %t", MaxLevels, notFull, len(u.Levels), u.OthersFull)
		}
		next := poolWithShares(now, 2, 0, limitsOf(Limit{Rate: 1e-9, Burst: 100}, names...))
		next.Lend(now, "0", []int{0}, false, time.Second)
		next.AddUnits(now, []int{0}, u)
		listed := slices.ContainsFunc(u.Levels, func(l Level) bool { return l.Account == names[notFull-1] })
		if got := next.levelOf(names[notFull-1]); !listed && got != 0 {
			t.Errorf("expected no units of an account that is not covered, got %g", got)
		}
		if got := next.levelOf(names[len(names)-1]); u.OthersFull && got != 50 {
			t.Errorf("expected 50 units of a full account for a half of the shares, got %g", got)
		}
	}
}

// Units never raise a bucket above its capacity, whatever a message says.
func TestAddedUnitsAreCapped(t *testing.T) {
	now := time.Now()
	name := accountsOfGroup(0, 1)[0]
	p := poolWithShares(now, 4, 1, limitsOf(Limit{Rate: 1, Burst: 100}, name))
	p.AddUnits(now, []int{0, -1, 99}, Units{Levels: []Level{{name, 1e12}, {"unknown", 1}}})
	if got := p.levelOf(name); got != 25 {
		t.Errorf("expected the capacity of a quarter of the shares, got %g", got)
	}
}

// The lender passes units on with the next loan of the share, once. A second call with the same units would add them
// twice if the first call was carried out and its answer lost.
func TestLenderPassesUnitsOnOnce(t *testing.T) {
	now := time.Now()
	l, account := &Lender{}, accountsOfGroup(1, 1)[0]
	want := func(owner string) (out [Groups]string) {
		for g := range out {
			out[g] = owner
		}
		return out
	}
	for _, c := range l.Plan(now, want("old"), time.Second) {
		l.CallDone(now, c, Delivered)
	}
	for _, c := range l.Plan(now, want("new"), time.Second) {
		if !c.Return || len(c.Groups) != 1 {
			t.Fatalf("expected a call for return for each group, got %+v", c)
		}
		if c.Groups[0] == 1 {
			c.Units = Units{Levels: []Level{{account, 7}, {accountsOfGroup(2, 1)[0], 8}}}
		}
		l.CallDone(now, c, Delivered)
	}
	withUnits := 0
	for _, c := range l.Plan(now, want("new"), time.Second) {
		if !c.Units.empty() {
			withUnits++
			if !slices.Equal(c.Groups, []int{1}) || !slices.Equal(c.Units.Levels, []Level{{account, 7}}) {
				t.Errorf("expected 7 units of one account in a call for its group, got %+v", c)
			}
		}
		l.CallDone(now, c, Lost)
	}
	if withUnits != 1 {
		t.Errorf("expected one call with units, got %d", withUnits)
	}
	for _, c := range l.Plan(now, want("new"), time.Second) {
		if !c.Units.empty() {
			t.Errorf("expected no units in the call after a lost one, got %+v", c)
		}
	}
	if got := l.PreviousBorrower(now, 1); got != "old" {
		t.Errorf("expected the old owner to be remembered, got %q", got)
	}
	if got := l.PreviousBorrower(now.Add(2*time.Second), 1); got != "" {
		t.Errorf("expected the old owner to be forgotten when its loan would have expired, got %q", got)
	}
}

// While shares move, each owner has too few units for a large request, and refuses it without knowing that the limit is
// exceeded. Both together grant it. If they can't, the refusal is the limit's.
func TestAskOwnersDuringMove(t *testing.T) {
	now := time.Now()
	name := accountsOfGroup(0, 1)[0]
	limits := limitsOf(Limit{Rate: 0.001, Burst: 100}, name)
	owners := []*Pool{poolWithShares(now, 2, 1, limits), poolWithShares(now, 2, 0, limits)}
	owners[1].Lend(now, "1", []int{0}, false, time.Second)
	owners[1].AddUnits(now, []int{0}, Units{OthersFull: true})
	ask := func(i int, units, ahead float64) (Answer, bool) { return owners[i].Grant(now, "", name, units, ahead) }
	if a, known := AskOwners(2, 80, 0, ask); !known || a.Granted != 80 {
		t.Errorf("expected 80 units from two owners with 50 each, got %+v", a)
	}
	a, known := AskOwners(2, 30, 0, ask)
	if !known || a.Granted >= 30 || a.Uncertain(30) {
		t.Errorf("expected a refusal that is certain, got %+v", a)
	}
	if a, _ := AskOwners(1, 30, 0, ask); !a.Uncertain(30) {
		t.Errorf("expected an uncertain refusal of an owner with half of the shares, got %+v", a)
	}
}
