package relay

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/retry"
)

// This file borrows calls of the retry budgets of other boxes, and lends them calls. Package retry decides how many.

// StreamsBudget names the retry budget of the streams of all pools. Names of services have no parentheses.
const StreamsBudget = "(streams)"

// borrowCheckInterval is the pause between two checks whether calls should be borrowed.
const borrowCheckInterval = 50 * time.Millisecond

// RetryLenders are the other boxes, which lend calls of their retry budgets.
type RetryLenders interface {
	// BorrowRetries asks other boxes for calls to a service, and returns unused calls of earlier loans. It waits for the
	// answers for a short time.
	BorrowRetries(ctx context.Context, service string, calls int, unused []retry.Loan) []retry.Loan
}

// BorrowRetries borrows calls of other boxes while this box has few left during a fault, until ctx ends. Requests do not
// wait for it. It pauses while this box has no requests.
func (r *Relay) BorrowRetries(ctx context.Context) {
	if r.o.RetryLenders == nil {
		return
	}
	r.runWhileBusy(ctx, borrowCheckInterval, func() (pending bool) {
		r.borrowOnce(ctx)
		return r.hasLoans()
	})
}

// borrowOnce borrows the calls that are wanted now, and returns those that were not made.
func (r *Relay) borrowOnce(ctx context.Context) {
	for name, b := range r.retryBudgets() {
		now := clock.Now()
		unused, wanted := b.TakeUnused(now), b.Wanted(now, true)
		if wanted > 0 {
			wanted = b.Wanted(now, r.hasRepeatable(name))
		}
		if wanted == 0 && len(unused) == 0 {
			continue
		}
		loans := r.o.RetryLenders.BorrowRetries(ctx, name, wanted, unused)
		if wanted > 0 {
			b.Borrow(clock.Now(), now, loans...)
		}
	}
}

func (r *Relay) hasLoans() bool {
	now := clock.Now()
	for _, b := range r.retryBudgets() {
		if _, borrowed, _ := b.State(now); borrowed > 0 {
			return true
		}
	}
	return false
}

// hasRepeatable reports whether a request that may run again is in progress.
func (r *Relay) hasRepeatable(budget string) bool {
	if budget == StreamsBudget {
		return r.disp.HasRepeatable()
	}
	return r.plain.hasRepeatable(budget)
}

// retryBudgets returns the retry budgets of this box by name. The name is a plain service or StreamsBudget.
func (r *Relay) retryBudgets() map[string]*retry.Budget {
	out := r.plain.budgets()
	out[StreamsBudget] = r.disp.RetryBudget()
	return out
}

// LendRetries serves a request of another box. It takes back the calls of a loan that were not made, and lends up to a
// number of calls.
func (r *Relay) LendRetries(budget string, calls int, returned retry.Loan) (loan retry.Loan) {
	b := r.retryBudgets()[budget]
	if b == nil {
		return loan
	}
	now := clock.Now()
	b.TakeBack(now, returned.ID, returned.Calls)
	loan.Calls, loan.ID = b.Lend(now, calls)
	return loan
}

// RetryBudget is the state of a retry budget of this box.
type RetryBudget struct {
	// Name is a plain service or StreamsBudget.
	Name string
	// Left is the number of extra calls that are allowed now, and BorrowedNow how many of them were lent by other boxes.
	Left, BorrowedNow int
	retry.Counts
}

// RetryBudgets returns the retry budgets of this box, ordered by name.
func (r *Relay) RetryBudgets() (out []RetryBudget) {
	now := clock.Now()
	for name, b := range r.retryBudgets() {
		s := RetryBudget{Name: name}
		s.Left, s.BorrowedNow, s.Counts = b.State(now)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b RetryBudget) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// writeRetryMetrics writes the counts of borrowed, lent and denied calls in the Prometheus text format.
func (r *Relay) writeRetryMetrics(w io.Writer) {
	for _, b := range r.RetryBudgets() {
		counts := map[string]uint64{
			"borrowed": b.Borrowed, "returned": b.Returned, "lent": b.Lent, "taken_back": b.TakenBack, "denied": b.Denied,
		}
		for _, kind := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(w, "stoatramp_retry_calls_total{service=%q,kind=%q} %d\n", b.Name, kind, counts[kind])
		}
	}
}
