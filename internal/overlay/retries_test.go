package overlay

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/retry"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// loanBook lends all calls that it is asked for, and keeps what was returned.
type loanBook struct {
	mu       sync.Mutex
	lent     map[uint64]int
	returned map[uint64]int
}

func (l *loanBook) LendRetries(service string, calls int, returned retry.Loan) retry.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	if returned.Calls > 0 {
		l.returned[returned.ID] += returned.Calls
	}
	if service != "s" || calls == 0 {
		return retry.Loan{}
	}
	id := uint64(len(l.lent) + 1)
	l.lent[id] = calls
	return retry.Loan{ID: id, Calls: calls}
}

// A box borrows calls of boxes that answer, returns them to their lenders, and leaves out a box of an older release, which
// does not know the call.
func TestBorrowRetries(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	book := &loanBook{lent: map[uint64]int{}, returned: map[uint64]int{}}
	for _, b := range all[1:4] { // The last one is of an older release.
		b.o.Retries = book
	}
	ctx := context.Background()
	var loans []retry.Loan
	eventually(t, "the box has borrowed calls", func() bool {
		loans = append(loans, all[0].BorrowRetries(ctx, "s", 2, nil)...)
		return len(loans) >= 2 && all[0].count.retriesUnanswered.Get() > 0
	})
	for _, l := range loans {
		if l.Lender == "a" || l.Lender == "e" || book.lent[l.ID] != l.Calls {
			t.Errorf("expected a loan that another box made, got %+v", l)
		}
	}
	eventually(t, "the loan is returned", func() bool {
		all[0].BorrowRetries(ctx, "s", 0, loans[:1])
		book.mu.Lock()
		defer book.mu.Unlock()
		return book.returned[loans[0].ID] >= loans[0].Calls
	})
	if got := all[0].BorrowRetries(ctx, "unknown", 1, nil); len(got) != 0 {
		t.Errorf("expected no loan for an unknown service, got %+v", got)
	}
}

// A box that does not answer within borrowTimeout must not delay the asking box further, and is not asked again soon.
func TestBorrowRetriesOfSilentBox(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	for _, b := range all[1:] {
		b.o.Retries = silentLender{}
	}
	began := time.Now()
	for range 20 {
		if got := all[0].BorrowRetries(context.Background(), "s", 4, nil); len(got) != 0 {
			t.Errorf("expected no loans, got %+v", got)
		}
	}
	if n := all[0].count.retriesUnanswered.Get(); n == 0 || n > 4 || time.Since(began) > 2*time.Second {
		t.Errorf("expected at most one request to each of four boxes, got %d in %s", n, time.Since(began))
	}
}

// silentLender answers after the asking box has given up.
type silentLender struct{}

func (silentLender) LendRetries(string, int, retry.Loan) retry.Loan {
	time.Sleep(10 * borrowTimeout)
	return retry.Loan{ID: 1, Calls: 1}
}

// A box refuses requests for calls without the shared key or with numbers out of bounds.
func TestBorrowRetriesInvalidCalls(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	all[1].o.Retries = &loanBook{lent: map[uint64]int{}, returned: map[uint64]int{}}
	client, key := all[0].client(all[1].o.Self.Address), all[0].members.sharedKey()
	for what, c := range map[string]struct {
		key  string
		req  *v1.BorrowRetriesRequest
		want connect.Code
	}{
		"no key":          {"guess", &v1.BorrowRetriesRequest{Service: "s", Calls: 1}, connect.CodeUnauthenticated},
		"nothing":         {key, &v1.BorrowRetriesRequest{Service: "s"}, connect.CodeInvalidArgument},
		"negative calls":  {key, &v1.BorrowRetriesRequest{Service: "s", Calls: -1, ReturnedCalls: 2}, connect.CodeInvalidArgument},
		"too many calls":  {key, &v1.BorrowRetriesRequest{Service: "s", Calls: 5}, connect.CodeInvalidArgument},
		"too many back":   {key, &v1.BorrowRetriesRequest{Service: "s", ReturnedLoan: 1, ReturnedCalls: 5}, connect.CodeInvalidArgument},
		"an endless name": {key, &v1.BorrowRetriesRequest{Service: strings.Repeat("s", 300), Calls: 1}, connect.CodeInvalidArgument},
	} {
		req := connect.NewRequest(c.req)
		authorize(req.Header(), c.key)
		if _, err := client.BorrowRetries(context.Background(), req); connect.CodeOf(err) != c.want {
			t.Errorf("%s: expected %s, got %v", what, c.want, err)
		}
	}
}
