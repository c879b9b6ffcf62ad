package overlay

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// The slots of a cell of endpoints are granted by one box, the owner of the cell. Every box determines the owner by
// itself, by rendezvous hashing over the boxes of the region. This file selects the owners and calls them. Package
// slots decides what is granted.
//
// Two boxes that both act as the owner of a cell grant at most twice the slots. Then the endpoints reject calls, and
// both owners lower their limits.

const (
	// slotFirstTimeout is the shortest time-out for an owner's first answer. A call between halls takes 4 ms, and that
	// includes connecting. A box that is short of processor time answers some tens of milliseconds late; see firstTimeout
	// and silenceTimer.
	slotFirstTimeout = 40 * time.Millisecond
	// An owner repeats its answer to a queued request every slotQueuedInterval. A box that hears nothing for
	// slotQueuedTimeout takes the owner for gone. The expected wait is no bound: requests that can still be on time go
	// before those that cannot.
	slotQueuedInterval = 50 * time.Millisecond
	slotQueuedTimeout  = 150 * time.Millisecond
	// releaseTimeout bounds one call that releases slots. releaseAttempts is how often the call is tried. A release that
	// is lost costs a slot until the grant expires.
	releaseTimeout  = 200 * time.Millisecond
	releaseAttempts = 2
	// maxReleases bounds the releases of one call, and maxPendingReleases those that wait for the next call.
	maxReleases        = 512
	maxPendingReleases = 4096
	// rankedSlotOwners is how many boxes are kept per cell in the order in which they are asked. If none of them is
	// usable, the asking box decides alone.
	rankedSlotOwners = 16
	// maxRankedCells bounds the cells whose owners are cached.
	maxRankedCells = 4096
	// maxSlotCalls bounds the requests for slots of other boxes that this box serves at the same time. Each one takes
	// a connection of about 30 KB.
	maxSlotCalls = 1024
	// slotCallsRetryAfter is the RetryAfter of requests beyond maxSlotCalls.
	slotCallsRetryAfter = time.Second
	// withdrawnRetention is how long the ID of a slot that was released unused is kept. After a box was frozen, it may
	// process a release before the request that the release belongs to. maxWithdrawn bounds the IDs.
	withdrawnRetention = 2 * time.Second
	maxWithdrawn       = 4096
	// slotPeerRetention is how long the address of an owner that has left the members table is kept for releases.
	slotPeerRetention = 2 * time.Minute
	// slotIdleConns and slotIdleTimeout bound the idle connections to each owner. 83 boxes with 4 connections each cost
	// an owner about 10 MB.
	slotIdleConns   = 4
	slotIdleTimeout = 10 * time.Second
)

// These constants bound the values in requests for slots and in the answers.
const (
	maxSlotTime   = time.Hour
	maxSlotWeight = 1e9
	maxPriority   = 1 << 16
	maxExcluded   = 64
	maxCellIndex  = 1 << 12
	maxSlots      = 1 << 20
)

// SlotServer grants the slots of the cells that this box owns. Its methods are called from several goroutines.
type SlotServer interface {
	// Acquire blocks until the request is granted or refused. It calls queued once if the request has to wait. It
	// withdraws the request when ctx ends. Busy means that boxes should go on asking this owner.
	Acquire(ctx context.Context, cell slots.Cell, r slots.Request, queued func(slots.Decision)) (d slots.Decision, busy bool)
	// Release returns a granted slot, or withdraws a request. It does nothing if the ID is unknown.
	Release(cell slots.Cell, id string, res slots.Result) (busy bool)
}

// slotState is what a Node keeps to ask owners of cells and to serve as one.
type slotState struct {
	httpClient *http.Client
	rankings   slotRankings
	// owners is kept apart from Node.unresponsive: a box that stops still serves other calls, and one late answer to
	// another kind of call must not change the owner of slots.
	owners slotOwnerStates
	// granted has the boxes that granted slots to this box, reported those that granted slots to boxes that ask this box.
	granted, reported slotGrantors
	// listKnownAt is when this box first had a list of boxes that counts as complete; nil before. See mayOwnSlots.
	listKnownAt atomic.Pointer[time.Time]
	releases    releaseQueues
	peers       slotPeers
	withdrawn   withdrawnSlots
	// serving limits the requests of other boxes that are served at the same time to maxSlotCalls.
	serving chan struct{}
}

func newSlotState(o *Options, dial func(ctx context.Context, network, address string) (net.Conn, error)) slotState {
	return slotState{
		httpClient: &http.Client{Transport: o.strict(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: slotIdleConns, IdleConnTimeout: slotIdleTimeout, DisableCompression: true})},
		serving:    make(chan struct{}, maxSlotCalls),
	}
}

func (n *Node) slotClient(address string) stoatrampv1connect.OverlayClient {
	return stoatrampv1connect.NewOverlayClient(n.slots.httpClient, "http://"+address, connect.WithReadMaxBytes(maxRequestBytes))
}

// slotRankings caches, for each cell, the order in which the boxes of the region are asked as owner.
type slotRankings struct {
	mu      sync.Mutex
	version int64
	byCell  map[slots.Cell][]Member
}

// slotKey is the key by which rendezvous hashing selects the owner of a cell.
func slotKey(cell slots.Cell) string { return "slots " + cell.Service + " " + strconv.Itoa(cell.Index) }

// slotOwners returns the boxes that may own a cell, in the order in which they are asked.
func (n *Node) slotOwners(cell slots.Cell) []Member {
	version := n.members.changes.Load()
	s := &n.slots.rankings
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCell == nil || s.version != version || len(s.byCell) >= maxRankedCells {
		s.byCell, s.version = map[slots.Cell][]Member{}, version
		n.slots.owners.retain(n.members.size(), func(name string) bool { _, listed := n.members.get(name); return listed })
	}
	ranked, ok := s.byCell[cell]
	if !ok {
		ranked = rankMembers(n.members.list(n.o.Self.Region), slotKey(cell))
		ranked = slices.Clone(ranked[:min(len(ranked), rankedSlotOwners)])
		s.byCell[cell] = ranked
	}
	return ranked
}

// SlotOwner returns the name of the box that this box would ask first for a slot of a cell. It is empty if there is none.
func (n *Node) SlotOwner(cell slots.Cell) string {
	if n.o.Slots == nil || cell.Region != n.o.Self.Region {
		return ""
	}
	now := clock.Now()
	for _, m := range n.slotOwners(cell) {
		switch n.chooseSlotOwner(m, now, false) {
		case askOwner:
			return m.Name
		case awaitOwner:
			return ""
		}
	}
	return ""
}

// askOutcome says how a request to one possible owner ended.
type askOutcome uint8

const (
	slotDecided  askOutcome = iota // The owner granted or refused.
	slotStopping                   // The box stops, or does not serve slots, or not yet.
	slotYielded                    // The box grants no slots because another one goes before it.
	slotFailed                     // The connection failed.
	slotGivenUp                    // The owner did not answer in time, or the request was invalid, or ctx ended.
)

// AcquireSlot asks the owner of a cell for a slot. It blocks while the request is queued. Owner is the name of the box
// that decided. It is empty if no owner did; then d has no meaning, and the caller decides by its own part of the slots
// or finds that ctx has ended. Busy means that the owner said that boxes should go on asking. A granted slot must be
// returned with ReleaseSlot.
//
// If the connection to an owner fails or the owner stops, the next box in rendezvous order is asked, but not more than
// maxOwnersAsked boxes. An owner that accepts the call and does not answer in time costs one request firstTimeout
// per slotRetryInterval. No box is asked by the others until the owner has not answered for slotLostTimeout.
// A request whose values are out of bounds is not sent.
func (n *Node) AcquireSlot(ctx context.Context, cell slots.Cell, r slots.Request) (d slots.Decision, owner string, busy bool) {
	if n.o.Slots == nil || cell.Region != n.o.Self.Region {
		return slots.Decision{}, "", false
	}
	r.Box, r.Hall = cmp.Or(r.Box, n.o.Self.Name), cmp.Or(r.Hall, n.o.Self.Hall)
	if _, _, ok := decodeSlotRequest(encodeSlotRequest(cell, r)); !ok {
		return slots.Decision{}, "", false // Sending it would fail, and that would count as a failure of the owner.
	}
	began := clock.Now()
	asked := 0
	for _, m := range n.slotOwners(cell) {
		if asked == maxOwnersAsked || ctx.Err() != nil {
			break
		}
		now := clock.Now()
		choice := n.chooseSlotOwner(m, now, true)
		if choice == skipOwner {
			continue
		}
		if choice == awaitOwner {
			break
		}
		elapsed := now.Sub(began)
		if asked > 0 && elapsed >= r.Left {
			break
		}
		asked++
		request := r
		request.OnTime, request.Left = r.OnTime-elapsed, r.Left-elapsed
		var outcome askOutcome
		if m.Name == n.o.Self.Name {
			d, busy, outcome = n.acquireLocally(ctx, cell, request)
		} else {
			d, busy, outcome = n.askSlotOwner(ctx, m, cell, request)
		}
		switch outcome {
		case slotDecided:
			return n.dropLateGrant(d, m.Name, cell, r, clock.Since(began)), m.Name, busy
		case slotGivenUp, slotYielded:
			return slots.Decision{}, "", false
		}
	}
	return slots.Decision{}, "", false
}

// chooseSlotOwner says whether a box is asked as owner of a cell now. See slotOwnerStates.choose.
func (n *Node) chooseSlotOwner(m Member, now time.Time, claim bool) slotChoice {
	switch {
	case m.Name == n.o.Self.Name && n.stopped.Err() != nil:
		return skipOwner
	case m.Name == n.o.Self.Name && !n.mayOwnSlots():
		return awaitOwner
	case m.Name == n.o.Self.Name:
		return askOwner
	case n.members.sharedKey() == "":
		return skipOwner
	}
	return n.slots.owners.choose(m, now, claim)
}

// dropLateGrant returns the decision, or a refusal if a slot was granted after the caller gave up. That happens to a box
// that was frozen. The owner already counts the slot as free, or will do so soon.
func (n *Node) dropLateGrant(d slots.Decision, owner string, cell slots.Cell, r slots.Request, elapsed time.Duration) slots.Decision {
	if d.State != slots.Granted || elapsed < r.Left {
		return d
	}
	n.ReleaseSlot(owner, cell, r.ID, slots.Result{Outcome: slots.Unused})
	return slots.Decision{State: slots.Refused, Reason: slots.TooLate, Wait: d.Wait, Waiting: d.Waiting, InUse: d.InUse, Limit: d.Limit}
}

// acquireLocally asks this box itself, as the owner of a cell.
func (n *Node) acquireLocally(ctx context.Context, cell slots.Cell, r slots.Request) (d slots.Decision, busy bool, o askOutcome) {
	now := clock.Now()
	if _, before := n.ownerBefore(cell, n.lastGrantor(cell, now), now); before {
		return d, false, slotYielded
	}
	d, busy = n.o.Slots.Acquire(ctx, cell, r, func(slots.Decision) {})
	switch {
	case ctx.Err() != nil:
		n.o.Slots.Release(cell, r.ID, slots.Result{Outcome: slots.Unused})
		return d, busy, slotGivenUp
	case d.State == slots.Refused && d.Reason == slots.Stopping:
		return d, busy, slotStopping
	case d.State == slots.Granted:
		n.slots.granted.set(cell, slotGrantor{n.o.Self.Name, n.o.Self.Incarnation, clock.Now()})
	}
	return d, busy, slotDecided
}

var errOwnerSilent = errors.New("the owner did not answer in time")

// askSlotOwner asks another box for a slot. If the box may have granted a slot that this box did not learn of, the slot
// is released.
func (n *Node) askSlotOwner(ctx context.Context, m Member, cell slots.Cell, r slots.Request) (slots.Decision, bool, askOutcome) {
	sent := clock.Now()
	d, answer, err := n.exchangeSlot(ctx, m, cell, r)
	now := clock.Now()
	if err == nil {
		n.slots.owners.answered(m, now)
		return d, answer.Busy, n.slotAnswered(m, cell, d, answer, now)
	}
	n.count.slotUnanswered.Inc()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused {
		n.ReleaseSlot(m.Name, cell, r.ID, slots.Result{Outcome: slots.Unused})
	}
	if ctx.Err() != nil {
		return d, false, slotGivenUp // The caller has left, which says nothing about the owner.
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented: // A box of an older release.
		n.slots.owners.skip(m, now.Add(ownerRetryDelay))
		return d, false, slotStopping
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return d, false, slotGivenUp // Another box would answer the same.
	}
	n.unresponsive.failed(m.Name, now)
	if errors.Is(err, errOwnerSilent) {
		n.slots.owners.silent(m, sent, now)
		return d, false, slotGivenUp
	}
	n.slots.owners.skip(m, now.Add(slotRetryInterval))
	return d, false, slotFailed
}

// slotAnswered records the answer of another box.
func (n *Node) slotAnswered(m Member, cell slots.Cell, d slots.Decision, answer *v1.AcquireSlotResponse, now time.Time) askOutcome {
	switch {
	case d.State == slots.Granted:
		n.count.slotGranted.Inc()
		// A box of an older release does not name itself.
		n.slots.granted.set(cell, slotGrantor{cmp.Or(answer.Owner, m.Name), cmp.Or(answer.Incarnation, m.Incarnation), now})
	case d.Reason != slots.Stopping:
		n.count.slotRefused.Inc()
	default:
		n.count.slotStopping.Inc()
		if answer.YieldsTo != "" {
			if first, listed := n.members.get(answer.YieldsTo); listed {
				n.slots.owners.alive(first, now)
			}
			n.slots.owners.skip(m, now.Add(slotRetryInterval))
			return slotYielded
		}
		delay := ownerRetryDelay
		if answer.Starting {
			delay = slotRetryInterval
		}
		n.slots.owners.skip(m, now.Add(delay))
		return slotStopping
	}
	return slotDecided
}

var errInvalidDecision = errors.New("the owner's answer is invalid")

// exchangeSlot sends a request for a slot and receives the answers until the request is granted or refused.
func (n *Node) exchangeSlot(ctx context.Context, m Member, cell slots.Cell, r slots.Request) (slots.Decision, *v1.AcquireSlotResponse, error) {
	// Once the request is decided, the end of ctx must not end the stream: the owner would take it as withdrawn.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	keep := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	now := clock.Now()
	timer := newSilenceTimer(n.slots.owners.firstTimeout(m, now), func(since time.Time) bool { return n.slots.owners.answeredSince(m, since) }, func() { cancel(errOwnerSilent) })
	defer timer.stop()
	fail := func(err error) (slots.Decision, *v1.AcquireSlotResponse, error) {
		keep()
		if cause := context.Cause(streamCtx); cause != nil {
			err = cause
		}
		cancel(nil)
		return slots.Decision{}, nil, err
	}
	req := connect.NewRequest(encodeSlotRequest(cell, r))
	encodeGrantor(req.Msg, n.lastGrantor(cell, now), now)
	authorize(req.Header(), n.members.sharedKey())
	stream, err := n.slotPeer(m, now).AcquireSlot(streamCtx, req)
	if err != nil {
		return fail(err)
	}
	first := true
	for stream.Receive() {
		if first {
			answered := clock.Now()
			n.slots.owners.answerTook(m, answered.Sub(now), answered)
			first = false
		}
		d, ok := decodeDecision(stream.Msg())
		if !ok {
			_ = stream.Close()
			return fail(errInvalidDecision)
		}
		if d.State == slots.Queued {
			timer.reset(slotQueuedTimeout)
			continue
		}
		answer := stream.Msg()
		if !keep() || !timer.stop() {
			_ = stream.Close()
			// The stream is cancelled while the answer comes, and the owner may notice. The cause may not be set yet.
			return fail(cmp.Or(ctx.Err(), errOwnerSilent))
		}
		go func() { // Reads the end of the stream, so that the connection can be used again.
			end := time.AfterFunc(callTimeout, func() { cancel(nil) })
			stream.Receive()
			_ = stream.Close()
			end.Stop()
			cancel(nil)
		}()
		return d, answer, nil
	}
	err = cmp.Or(stream.Err(), errStreamEnded)
	_ = stream.Close()
	return fail(err)
}
