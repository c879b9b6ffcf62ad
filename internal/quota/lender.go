package quota

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Lender keeps track of to whom a box has lent its parts. It is safe for concurrent use. The zero
// value has lent nothing.
type Lender struct {
	mu   sync.Mutex
	lent [Groups]lending
}

// lending says who has a part: nobody else may have it until then.
type lending struct {
	to    string
	until time.Time
}

// Call is what a box should tell a home.
type Call struct {
	To     string
	Groups []int
	// Back takes the parts back.
	Back bool
	// For is how long they are lent.
	For time.Duration
}

// Result is what a call came to.
type Result uint8

const (
	// Delivered calls were answered.
	Delivered Result = iota
	// Lost calls may have been carried out or may be yet.
	Lost
	// Gone means that the process that was called is not there any more, and so has nothing.
	Gone
)

// callTime bounds the time that a call which was lost may still be under way.
const callTime = 300 * time.Millisecond

// Plan says what to tell whom, so that the homes that are wanted have the parts for a time. A part that
// another box has is first taken back from there; while that does not answer, it is left until its
// time is over.
func (l *Lender) Plan(now time.Time, want [Groups]string, lent time.Duration) []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	lend, back := map[string][]int{}, map[string][]int{}
	for g, home := range want {
		had := &l.lent[g]
		switch {
		case home == "":
		case had.to == home || had.to == "" || !now.Before(had.until):
			*had = lending{home, now.Add(callTime + lent)}
			lend[home] = append(lend[home], g)
		default:
			back[had.to] = append(back[had.to], g)
		}
	}
	return append(calls(back, true, lent), calls(lend, false, lent)...)
}

func calls(by map[string][]int, back bool, lent time.Duration) (out []Call) {
	for _, to := range slices.Sorted(maps.Keys(by)) {
		out = append(out, Call{to, by[to], back, lent})
	}
	return out
}

// To is the box that has the part of a group; empty if none has.
func (l *Lender) To(now time.Time, group int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if had := l.lent[group]; now.Before(had.until) {
		return had.to
	}
	return ""
}

// Ended notes what a call came to. Again says that parts are free to be lent elsewhere at once.
func (l *Lender) Ended(now time.Time, c Call, r Result) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, g := range c.Groups {
		had := &l.lent[g]
		if had.to != c.To {
			continue
		}
		switch {
		case r == Gone || c.Back && r == Delivered:
			*had = lending{}
			again = true
		case r == Delivered:
			had.until = now.Add(c.For)
		}
	}
	return again
}
