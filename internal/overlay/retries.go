package overlay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/retry"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// A box that has few calls left in a retry budget borrows some of other boxes. This file makes and serves these requests.
// Package retry decides which boxes are asked and how much is lent.

const (
	// borrowTimeout bounds a request for calls. A call between halls takes 4 ms, and that includes connecting.
	borrowTimeout = 40 * time.Millisecond
	// maxServiceName bounds the name of the service in a request for calls, in bytes.
	maxServiceName = 256
)

// RetryLender lends calls of this box's retry budgets. It is called from several goroutines, and must not block.
type RetryLender interface {
	// LendRetries takes back the calls of a loan that were not made, if there are any. Then it lends up to a number of calls
	// to a service.
	LendRetries(service string, calls int, returned retry.Loan) retry.Loan
}

// BorrowRetries asks other boxes of the region to lend calls to a service, and returns the loans. It also returns the
// unused calls of earlier loans to their lenders. It waits until the boxes have answered, at most borrowTimeout.
func (n *Node) BorrowRetries(ctx context.Context, service string, calls int, unused []retry.Loan) (loans []retry.Loan) {
	key := n.members.sharedKey()
	if key == "" || !n.Connected() {
		return nil
	}
	addresses := map[string]string{}
	var names []string
	for _, m := range n.members.list(n.o.Self.Region) {
		if m.Name != n.o.Self.Name {
			addresses[m.Name] = m.Address
			names = append(names, m.Name)
		}
	}
	asks := n.retryLenders.Plan(clock.Now(), service, calls, unused, names)
	loans = make([]retry.Loan, len(asks))
	var wg sync.WaitGroup
	for i, a := range asks {
		wg.Go(func() { loans[i] = n.borrowFrom(ctx, addresses[a.Box], key, service, a) })
	}
	wg.Wait()
	return slices.DeleteFunc(loans, func(l retry.Loan) bool { return l.Calls == 0 })
}

var errInvalidLoan = errors.New("the box lent more calls than it was asked for")

// borrowFrom sends one request to another box.
func (n *Node) borrowFrom(ctx context.Context, address, key, service string, a retry.Ask) (loan retry.Loan) {
	call, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.BorrowRetriesRequest{
		Service: service, Calls: int32(a.Calls), ReturnedLoan: a.Returned.ID, ReturnedCalls: int32(a.Returned.Calls),
	})
	authorize(req.Header(), key)
	// The boxes are many and change, and the other connections are kept for a minute.
	resp, err := n.slotClient(address).BorrowRetries(call, req)
	if err == nil && (resp.Msg.Calls < 0 || int(resp.Msg.Calls) > a.Calls) {
		err = errInvalidLoan
	}
	n.retryLenders.Done(clock.Now(), a.Box, err == nil || ctx.Err() != nil)
	switch {
	case err != nil:
		n.count.retriesUnanswered.Inc()
		return retry.Loan{}
	case resp.Msg.Calls > 0:
		n.count.retriesLent.Inc()
	case a.Calls > 0:
		n.count.retriesNotLent.Inc()
	}
	return retry.Loan{Lender: a.Box, ID: resp.Msg.Loan, Calls: int(resp.Msg.Calls)}
}

// BorrowRetries lends calls to another box.
func (s *server) BorrowRetries(_ context.Context, r *connect.Request[v1.BorrowRetriesRequest]) (*connect.Response[v1.BorrowRetriesResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	m := r.Msg
	if len(m.Service) > maxServiceName || !validLoan(m.Calls) || !validLoan(m.ReturnedCalls) || m.Calls+m.ReturnedCalls == 0 {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the numbers of calls or the service are out of bounds"))
	}
	if s.n.o.Retries == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errors.New("this box lends no calls"))
	}
	loan := s.n.o.Retries.LendRetries(m.Service, int(m.Calls), retry.Loan{ID: m.ReturnedLoan, Calls: int(m.ReturnedCalls)})
	return connect.NewResponse(&v1.BorrowRetriesResponse{Calls: int32(loan.Calls), Loan: loan.ID}), nil
}

func validLoan(calls int32) bool { return calls >= 0 && calls <= retry.MaxLoan }
