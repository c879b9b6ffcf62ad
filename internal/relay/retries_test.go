package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/retry"
)

// fakeLenders lends the calls that it is asked for, and records the requests.
type fakeLenders struct {
	asked    []string
	calls    int
	returned int
}

func (l *fakeLenders) BorrowRetries(_ context.Context, service string, calls int, unused []retry.Loan) []retry.Loan {
	l.asked = append(l.asked, service)
	l.calls += calls
	for _, loan := range unused {
		l.returned += loan.Calls
	}
	return []retry.Loan{{Lender: "b", ID: 1, Calls: calls}}
}

var retryLimits = retry.Limits{Share: 0, FreeCalls: 2, Window: 10 * time.Second}

// In calm no box is asked, however few calls a box has. After a denied retry calls are borrowed, and returned unused.
func TestCallsAreBorrowedAfterDenial(t *testing.T) {
	for _, name := range []string{"s-0", StreamsBudget} {
		r := cellRelay(1)
		lenders := &fakeLenders{}
		r.o.RetryLenders = lenders
		r.UpdatePeers(retryLimits, 100, time.Now().Add(-time.Hour))
		r.plain.addRepeatable("s-0", 1)
		b := r.retryBudgets()[name]
		r.borrowOnce(context.Background())
		if len(lenders.asked) > 0 {
			t.Errorf("%s: expected no request in calm, got %v", name, lenders.asked)
		}
		if b.Take(clock.Now(), 2) {
			t.Fatal("expected no calls of the box's own")
		}
		r.borrowOnce(context.Background())
		if !b.Take(clock.Now(), 1) || lenders.calls != 2 || len(lenders.asked) != 1 || lenders.asked[0] != name {
			t.Errorf("%s: expected two calls to be borrowed, got %+v", name, lenders)
		}
		time.Sleep(retry.LoanTime)
		r.borrowOnce(context.Background())
		if lenders.returned != 1 {
			t.Errorf("%s: expected the unused call to be returned, got %+v", name, lenders)
		}
		var out strings.Builder
		r.m.Write(&out)
		for _, want := range []string{`kind="denied"} 2`, `kind="returned"} 1`} {
			if line := fmt.Sprintf("stoatramp_retry_calls_total{service=%q,%s\n", name, want); !strings.Contains(out.String(), line) {
				t.Errorf("expected the metric %s", line)
			}
		}
	}
}

// A plain call whose repetition the budget denies makes the box borrow calls. While the loop checked the budget before
// whether another endpoint was left, denials without an alternative would count too.
func TestDeniedPlainRetryCounts(t *testing.T) {
	r := cellRelay(1)
	r.UpdatePeers(retryLimits, 100, time.Now().Add(-time.Hour))
	x := &exchange{r: r, req: httptest.NewRequest(http.MethodGet, "/", nil), service: &Service{Name: "s-0"}, region: "r", route: &Route{Kind: Repeatable, MaxEndpoints: 2}, deadline: clock.Now().Add(time.Second)}
	budget := r.plain.budgetOf("s-0")
	denied := func() uint64 { _, _, c := budget.State(clock.Now()); return c.Denied }
	if x.mayCallAgain(&plainRuns{tried: map[string]bool{}}, budget) || denied() != 0 {
		t.Errorf("expected no denial without an endpoint, got %d", denied())
	}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h"}})
	if x.mayCallAgain(&plainRuns{tried: map[string]bool{}}, budget) || denied() != 1 {
		t.Errorf("expected one denial, got %d", denied())
	}
}

// Calls are lent for known services only: names that other boxes send must not use memory.
func TestLendRetriesOfUnknownService(t *testing.T) {
	r := cellRelay(1)
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h"}})
	r.UpdatePeers(retry.Limits{FreeCalls: 20, Window: 10 * time.Second}, 1, time.Now().Add(-time.Hour))
	n := len(r.RetryBudgets())
	if l := r.LendRetries("unknown", 4, retry.Loan{}); l.Calls != 0 || len(r.RetryBudgets()) != n {
		t.Errorf("expected no loan and no new budget, got %+v", l)
	}
	for _, name := range []string{"s-0", StreamsBudget} {
		l := r.LendRetries(name, 4, retry.Loan{})
		if l.Calls != 4 {
			t.Errorf("%s: expected a loan of 4 calls, got %+v", name, l)
		}
		r.LendRetries(name, 0, l)
		if _, _, c := r.retryBudgets()[name].State(clock.Now()); c.TakenBack != 4 {
			t.Errorf("%s: expected the loan to be taken back, got %+v", name, c)
		}
	}
}
