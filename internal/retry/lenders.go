package retry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// maxAskedAtOnce is how many boxes this box asks for calls at the same time.
	maxAskedAtOnce = 2
	// lenderInterval is the shortest time between two requests to one box for calls to one service.
	lenderInterval = 50 * time.Millisecond
	// lenderRetryDelay is how long a box that did not answer is left out.
	lenderRetryDelay = 2 * time.Second
)

// Ask is a request to another box for calls to a service. It also returns the unused calls of an earlier loan.
type Ask struct {
	Box string
	// Calls is the number of calls to borrow; 0 if calls are only returned.
	Calls int
	// Returned is the loan to return; its zero value if there is none.
	Returned Loan
}

// Lenders selects the boxes that are asked for calls. It is safe for concurrent use, and the zero value is ready.
type Lenders struct {
	// Perm returns a random permutation of the numbers below n; nil stands for rand.Perm.
	Perm func(n int) []int

	mu     sync.Mutex
	asking int // The requests that were sent and not answered yet.
	// notBefore is from when a box may be asked for calls to a service again, and unanswered until when a box is left out
	// because it did not answer.
	notBefore  map[lender]time.Time
	unanswered map[string]time.Time
}

// lender is a box that was asked for calls to a service.
type lender struct{ box, service string }

// Plan returns the requests to send now, to borrow a number of calls to a service and to return unused ones. Boxes whose
// calls are returned are asked first, the others in random order. At most maxAskedAtOnce boxes are asked at a time. Unused
// calls of boxes that may not be asked now are lost. Each request must be reported with Done.
func (l *Lenders) Plan(now time.Time, service string, calls int, unused []Loan, boxes []string) (out []Ask) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notBefore == nil {
		l.notBefore, l.unanswered = map[lender]time.Time{}, map[string]time.Time{}
	}
	maps.DeleteFunc(l.unanswered, func(_ string, at time.Time) bool { return !now.Before(at) })
	maps.DeleteFunc(l.notBefore, func(_ lender, at time.Time) bool { return !now.Before(at) })
	free := maxAskedAtOnce - l.asking
	for _, loan := range unused {
		if len(out) < free && slices.Contains(boxes, loan.Lender) && l.mayAsk(loan.Lender, service) {
			n := min(calls, loan.Calls)
			calls -= n
			out = append(out, l.ask(now, service, Ask{loan.Lender, n, loan}))
		}
	}
	var others []string
	for _, box := range boxes {
		if l.mayAsk(box, service) {
			others = append(others, box)
		}
	}
	most := min(calls, free-len(out), len(others))
	perm := rand.Perm
	if l.Perm != nil {
		perm = l.Perm
	}
	for i, at := range perm(len(others))[:max(0, most)] {
		left := most - i
		n := min((calls+left-1)/left, MaxLoan)
		calls -= n
		out = append(out, l.ask(now, service, Ask{Box: others[at], Calls: n}))
	}
	return out
}

func (l *Lenders) mayAsk(box, service string) bool {
	_, unanswered := l.unanswered[box]
	_, recent := l.notBefore[lender{box, service}]
	return !unanswered && !recent
}

func (l *Lenders) ask(now time.Time, service string, a Ask) Ask {
	l.notBefore[lender{a.Box, service}] = now.Add(lenderInterval)
	l.asking++
	return a
}

// Done records that a request to a box has ended.
func (l *Lenders) Done(now time.Time, box string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asking--
	if !answered {
		l.unanswered[box] = now.Add(lenderRetryDelay)
	}
}
