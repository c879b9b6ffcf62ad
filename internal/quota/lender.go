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
}

// loan records which box this box's share of a group is lent to. No other box may get the share before until.
type loan struct {
	to    string
	until time.Time
}

// Call is a call that this box should make to another box. The call lends shares or asks for the return of shares.
type Call struct {
	To     string
	Groups []int
	// Return means that the call asks for the return of the shares.
	Return bool
	// Duration is how long the loan lasts from the call on.
	Duration time.Duration
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
// lent to it until the loan expires.
func (l *Lender) Plan(now time.Time, want [Groups]string, lentFor time.Duration) []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	lend, back := map[string][]int{}, map[string][]int{}
	for g, owner := range want {
		current := &l.lent[g]
		switch {
		case owner == "":
		case current.to == owner || current.to == "" || !now.Before(current.until):
			*current = loan{owner, now.Add(maxCallDelay + lentFor)}
			lend[owner] = append(lend[owner], g)
		default:
			back[current.to] = append(back[current.to], g)
		}
	}
	return append(buildCalls(back, true, lentFor), buildCalls(lend, false, lentFor)...)
}

func buildCalls(groupsByBox map[string][]int, takeBack bool, lentFor time.Duration) (out []Call) {
	for _, to := range slices.Sorted(maps.Keys(groupsByBox)) {
		out = append(out, Call{to, groupsByBox[to], takeBack, lentFor})
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

// CallDone records the result of a call. It reports whether shares became free that can be lent again immediately.
func (l *Lender) CallDone(now time.Time, c Call, r Result) (canLendAgain bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range c.Groups {
		current := &l.lent[g]
		if current.to != c.To {
			continue
		}
		switch {
		case r == Gone || c.Return && r == Delivered:
			*current = loan{}
			canLendAgain = true
		case r == Delivered:
			current.until = now.Add(c.Duration)
		}
	}
	return canLendAgain
}
