package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Lender records to which boxes this box has lent its shares. This box has one share for each group of accounts. Lender
// is safe for concurrent use. The zero value has lent nothing.
type Lender struct {
	mu   sync.Mutex
	lent [Groups]loan
	// silent is the last box that did not answer a call for the group, until it answers one.
	silent [Groups]string
}

// loan records which box this box's share of a group is lent to. No other box may get the share before until.
type loan struct {
	to    string
	until time.Time
	// units belong to the share while it is not lent. They go with the next loan, once.
	units Units
	// previous returned the share before it was lent to to. While that loan would have lasted, previous may still have
	// shares of other boxes.
	previous      string
	previousUntil time.Time
}

// Call is a call that this box should make to another box. The call lends shares or asks for the return of shares.
type Call struct {
	To     string
	Groups []int
	// Return means that the call asks for the return of the shares.
	Return bool
	// Duration is how long the loan lasts from the call on.
	Duration time.Duration
	// Units are the units that go with the shares. For a call that lends, Plan sets them. For a call for return, the
	// caller sets them from the answer before CallDone.
	Units Units
}

// Result is the result of a Call.
type Result uint8

const (
	// Delivered means that the call was answered.
	Delivered Result = iota
	// Lost means that the call was not answered. Either the call was carried out, or it was not and still can be.
	Lost
	// Gone means that the process that was called no longer exists, and so holds no shares.
	Gone
)

// maxCallDelay bounds how long after its start a lost call may still be carried out.
const maxCallDelay = 300 * time.Millisecond

// Plan returns the calls that are needed to lend the share of each group to the box that want names for the group. If
// the share is lent to another box, Plan first asks that box to return it. If that box does not answer, the share stays
// lent to it until the loan expires. A box that did not answer the last call for a group must answer a call for return
// before it gets the share: the share would be lost for the length of a loan if it still does not answer.
//
// Units that came back with a share go with the next loan of the share. They are not sent again, even if that call is
// lost: it may have been carried out.
func (l *Lender) Plan(now time.Time, want [Groups]string, lentFor time.Duration) []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Calls that carry units are made for one group each: OthersFull holds for all groups of a call, and each answer
	// lists at most MaxLevels accounts.
	var back, withUnits []Call
	lend := map[string][]int{}
	for g, owner := range want {
		current := &l.lent[g]
		if owner != "" && owner == l.silent[g] && owner != current.to {
			back = append(back, Call{To: owner, Groups: []int{g}, Return: true, Duration: lentFor})
			owner = ""
			if now.Before(current.until) {
				owner = current.to
			}
		}
		switch {
		case owner == "":
		case current.to == owner || current.to == "" || !now.Before(current.until):
			units := current.units
			current.to, current.until, current.units = owner, now.Add(maxCallDelay+lentFor), Units{}
			if !units.empty() {
				withUnits = append(withUnits, Call{To: owner, Groups: []int{g}, Duration: lentFor, Units: units})
				continue
			}
			lend[owner] = append(lend[owner], g)
		default:
			back = append(back, Call{To: current.to, Groups: []int{g}, Return: true, Duration: lentFor})
		}
	}
	return slices.Concat(back, withUnits, buildLendCalls(lend, lentFor))
}

func buildLendCalls(groupsByBox map[string][]int, lentFor time.Duration) (out []Call) {
	for _, to := range slices.Sorted(maps.Keys(groupsByBox)) {
		out = append(out, Call{To: to, Groups: groupsByBox[to], Duration: lentFor})
	}
	return out
}

// Borrower returns the box that this box's share of a group is lent to; empty if the share is not lent.
func (l *Lender) Borrower(now time.Time, group int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loan := l.lent[group]; now.Before(loan.until) {
		return loan.to
	}
	return ""
}

// PreviousBorrower returns the box that this box's share of a group was lent to before; empty if that loan would have
// expired by now.
func (l *Lender) PreviousBorrower(now time.Time, group int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if loan := l.lent[group]; now.Before(loan.previousUntil) {
		return loan.previous
	}
	return ""
}

// CallDone records the result of a call. It reports whether shares became free that can be lent again immediately.
func (l *Lender) CallDone(now time.Time, c Call, r Result) (canLendAgain bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range c.Groups {
		current := &l.lent[g]
		if r != Delivered {
			l.silent[g] = c.To
		} else if l.silent[g] == c.To {
			l.silent[g] = ""
		}
		if current.to != c.To {
			continue
		}
		switch {
		case c.Return && r == Delivered:
			*current = loan{units: c.Units.ofGroup(g), previous: c.To, previousUntil: current.until}
			canLendAgain = true
		case r == Gone:
			current.to, current.until = "", time.Time{}
			canLendAgain = true
		case r == Delivered:
			current.until = now.Add(c.Duration)
		}
	}
	return canLendAgain
}
