package overlay

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// withdrawnSlots holds the IDs of requests that other boxes withdrew recently.
type withdrawnSlots struct {
	mu  sync.Mutex
	ids map[string]time.Time // When each ID is removed.
}

func (s *withdrawnSlots) add(id string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = map[string]time.Time{}
	}
	if len(s.ids) >= maxWithdrawn {
		maps.DeleteFunc(s.ids, func(_ string, until time.Time) bool { return !now.Before(until) })
	}
	if len(s.ids) < maxWithdrawn { // Without the ID a grant is at worst in use until it expires.
		s.ids[id] = now.Add(withdrawnRetention)
	}
}

func (s *withdrawnSlots) has(id string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.ids[id]
	return ok && now.Before(until)
}

var (
	errNoSlots      = connect.NewError(connect.CodeUnimplemented, errors.New("this box grants no slots"))
	errSlotsInvalid = connect.NewError(connect.CodeInvalidArgument, errors.New("the request for a slot is invalid, or a value is out of bounds"))
)

// checkSlotCall returns an error unless a call about slots has the shared key and this box serves slots.
func (n *Node) checkSlotCall(h http.Header) error {
	if err := n.authenticate(h); err != nil {
		return err
	}
	if n.o.Slots == nil {
		return errNoSlots
	}
	return nil
}

// AcquireSlot serves another box's request for a slot of a cell that this box owns.
func (s *server) AcquireSlot(ctx context.Context, r *connect.Request[v1.AcquireSlotRequest], stream *connect.ServerStream[v1.AcquireSlotResponse]) error {
	n := s.n
	if err := n.checkSlotCall(r.Header()); err != nil {
		return err
	}
	cell, request, ok := decodeSlotRequest(r.Msg)
	if !ok || cell.Region != n.o.Self.Region {
		n.count.refused.Inc()
		return errSlotsInvalid
	}
	now := clock.Now()
	reported, ok := decodeGrantor(r.Msg, now)
	if !ok {
		n.count.refused.Inc()
		return errSlotsInvalid
	}
	before, yields := n.ownerBefore(cell, reported, now)
	stopping := encodeDecision(slots.Decision{State: slots.Refused, Reason: slots.Stopping}, false)
	switch {
	case n.stopped.Err() != nil:
		return stream.Send(stopping)
	case !n.mayOwnSlots():
		stopping.Starting = true
		return stream.Send(stopping)
	case yields:
		stopping.YieldsTo = before
		return stream.Send(stopping)
	}
	select {
	case n.slots.serving <- struct{}{}:
		defer func() { <-n.slots.serving }()
	default:
		return stream.Send(encodeDecision(slots.Decision{State: slots.Refused, Reason: slots.QueueFull, RetryAfter: slotCallsRetryAfter}, true))
	}
	return n.serveSlot(ctx, cell, request, stream.Send)
}

// serveSlot decides on a request for a slot and sends the answers. A slot that the asking box does not learn of is
// released.
func (n *Node) serveSlot(ctx context.Context, cell slots.Cell, r slots.Request, send func(*v1.AcquireSlotResponse) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var repeats sync.WaitGroup
	decided := make(chan struct{})
	d, busy := n.o.Slots.Acquire(ctx, cell, r, func(d slots.Decision) {
		if send(encodeDecision(d, true)) != nil { // An owner with a queue is busy.
			cancel()
			return
		}
		repeats.Go(func() { repeatQueued(decided, d, send, cancel) })
	})
	close(decided)
	repeats.Wait() // The answers of a stream must not be sent at the same time.
	err := ctx.Err()
	if err == nil {
		answer := encodeDecision(d, busy)
		answer.Owner, answer.Incarnation = n.o.Self.Name, n.o.Self.Incarnation
		err = send(answer)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil || n.slots.withdrawn.has(r.ID, clock.Now()) {
		n.o.Slots.Release(cell, r.ID, slots.Result{Outcome: slots.Unused})
	}
	return err
}

// repeatQueued repeats the answer to a queued request until the request is decided. If the answer cannot be sent, it calls
// cancel.
func repeatQueued(decided <-chan struct{}, d slots.Decision, send func(*v1.AcquireSlotResponse) error, cancel func()) {
	t := time.NewTicker(slotQueuedInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if send(encodeDecision(d, true)) != nil {
				cancel()
				return
			}
		case <-decided:
			return
		}
	}
}

// ReleaseSlot serves another box's call that returns slots. A box that stops still accepts it.
func (s *server) ReleaseSlot(_ context.Context, r *connect.Request[v1.ReleaseSlotRequest]) (*connect.Response[v1.ReleaseSlotResponse], error) {
	n := s.n
	if err := n.checkSlotCall(r.Header()); err != nil {
		return nil, err
	}
	cell, list, ok := decodeReleases(r.Msg)
	if !ok || cell.Region != n.o.Self.Region {
		n.count.refused.Inc()
		return nil, errSlotsInvalid
	}
	busy := false
	for _, e := range list {
		if e.result.Outcome == slots.Unused {
			n.slots.withdrawn.add(e.id, clock.Now())
		}
		busy = n.o.Slots.Release(cell, e.id, e.result)
	}
	return connect.NewResponse(&v1.ReleaseSlotResponse{Busy: busy}), nil
}
