package overlay

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
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
	// slotFirstTimeout bounds the time until an owner's first answer. A call between halls takes 4 ms, and that includes
	// connecting. A box that is short of processor time answers some tens of milliseconds late.
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
	// unavailable holds the boxes that stop, or that don't support slots. They are kept apart from the boxes that did
	// not answer, because a box that stops still serves other calls.
	unavailable unresponsiveOwners
	releases    releaseQueues
	peers       slotPeers
	withdrawn   withdrawnSlots
	// serving limits the requests of other boxes that are served at the same time to maxSlotCalls.
	serving chan struct{}
}

func newSlotState(dial func(ctx context.Context, network, address string) (net.Conn, error)) slotState {
	return slotState{
		httpClient: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: slotIdleConns, IdleConnTimeout: slotIdleTimeout, DisableCompression: true}},
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

// slotOwners returns the boxes that may own a cell, in the order in which they are asked.
func (n *Node) slotOwners(cell slots.Cell) []Member {
	version := n.members.changes.Load()
	s := &n.slots.rankings
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCell == nil || s.version != version || len(s.byCell) >= maxRankedCells {
		s.byCell, s.version = map[slots.Cell][]Member{}, version
	}
	ranked, ok := s.byCell[cell]
	if !ok {
		ranked = rankMembers(n.members.list(n.o.Self.Region), "slots "+cell.Service+" "+strconv.Itoa(cell.Index))
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
		if n.slotOwnerUsable(m, now) {
			return m.Name
		}
	}
	return ""
}

// askOutcome says how a request to one possible owner ended.
type askOutcome uint8

const (
	slotDecided  askOutcome = iota // The owner granted or refused.
	slotStopping                   // The box stops, or does not serve slots.
	slotFailed                     // The connection failed.
	slotGivenUp                    // The owner did not answer in time, or the request was invalid, or ctx ended.
)

// AcquireSlot asks the owner of a cell for a slot. It blocks while the request is queued. Owner is the name of the box
// that decided. It is empty if no owner did; then d has no meaning, and the caller decides by its own part of the slots
// or finds that ctx has ended. Busy means that the owner said that boxes should go on asking. A granted slot must be
// returned with ReleaseSlot.
//
// If the connection to an owner fails or the owner stops, the next box in rendezvous order is asked, but not more than
// maxOwnersAsked boxes. An owner that accepts the call and does not answer in time costs one request slotFirstTimeout.
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
		if !n.slotOwnerUsable(m, now) {
			continue
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
		case slotGivenUp:
			return slots.Decision{}, "", false
		}
	}
	return slots.Decision{}, "", false
}

// slotOwnerUsable reports whether a box may be asked as owner of a cell now.
func (n *Node) slotOwnerUsable(m Member, now time.Time) bool {
	if m.Name == n.o.Self.Name {
		return n.stopped.Err() == nil
	}
	return n.members.sharedKey() != "" && n.unresponsive.usable(m.Name, now) && n.slots.unavailable.usable(m.Name, now)
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
	d, busy = n.o.Slots.Acquire(ctx, cell, r, func(slots.Decision) {})
	switch {
	case ctx.Err() != nil:
		n.o.Slots.Release(cell, r.ID, slots.Result{Outcome: slots.Unused})
		return d, busy, slotGivenUp
	case d.State == slots.Refused && d.Reason == slots.Stopping:
		return d, busy, slotStopping
	}
	return d, busy, slotDecided
}

var errOwnerSilent = errors.New("the owner did not answer in time")

// askSlotOwner asks another box for a slot. If the box may have granted a slot that this box did not learn of, the slot
// is released.
func (n *Node) askSlotOwner(ctx context.Context, m Member, cell slots.Cell, r slots.Request) (slots.Decision, bool, askOutcome) {
	d, busy, err := n.exchangeSlot(ctx, m, cell, r)
	if err == nil && d.State == slots.Refused && d.Reason == slots.Stopping {
		n.count.slotStopping.Inc()
		n.slots.unavailable.failed(m.Name, clock.Now())
		return d, busy, slotStopping
	}
	if err == nil {
		if d.State == slots.Granted {
			n.count.slotGranted.Inc()
		} else {
			n.count.slotRefused.Inc()
		}
		return d, busy, slotDecided
	}
	n.count.slotUnanswered.Inc()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !refused {
		n.ReleaseSlot(m.Name, cell, r.ID, slots.Result{Outcome: slots.Unused})
	}
	if ctx.Err() != nil {
		return d, busy, slotGivenUp // The caller has left, which says nothing about the owner.
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnimplemented: // A box of an older release.
		n.slots.unavailable.failed(m.Name, clock.Now())
		return d, busy, slotStopping
	case connect.CodeInvalidArgument, connect.CodeUnauthenticated:
		return d, busy, slotGivenUp // Another box would answer the same.
	}
	n.unresponsive.failed(m.Name, clock.Now())
	if errors.Is(err, errOwnerSilent) {
		return d, busy, slotGivenUp
	}
	return d, busy, slotFailed
}

var errInvalidDecision = errors.New("the owner's answer is invalid")

// exchangeSlot sends a request for a slot and receives the answers until the request is granted or refused.
func (n *Node) exchangeSlot(ctx context.Context, m Member, cell slots.Cell, r slots.Request) (d slots.Decision, busy bool, err error) {
	// Once the request is decided, the end of ctx must not end the stream: the owner would take it as withdrawn.
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	keep := context.AfterFunc(ctx, func() { cancel(ctx.Err()) })
	timer := time.AfterFunc(slotFirstTimeout, func() { cancel(errOwnerSilent) })
	fail := func(err error) (slots.Decision, bool, error) {
		keep()
		timer.Stop()
		if cause := context.Cause(streamCtx); cause != nil {
			err = cause
		}
		cancel(nil)
		return slots.Decision{}, false, err
	}
	req := connect.NewRequest(encodeSlotRequest(cell, r))
	authorize(req.Header(), n.members.sharedKey())
	stream, err := n.slotPeer(m, clock.Now()).AcquireSlot(streamCtx, req)
	if err != nil {
		return fail(err)
	}
	for stream.Receive() {
		d, ok := decodeDecision(stream.Msg())
		if !ok {
			_ = stream.Close()
			return fail(errInvalidDecision)
		}
		if d.State == slots.Queued {
			timer.Reset(slotQueuedTimeout)
			continue
		}
		busy = stream.Msg().Busy
		if !keep() || !timer.Stop() {
			_ = stream.Close()
			// The stream is cancelled while the answer comes, and the owner may notice. The cause may not be set yet.
			return fail(cmp.Or(ctx.Err(), errOwnerSilent))
		}
		go func() { // Reads the end of the stream, so that the connection can be used again.
			timer.Reset(callTimeout)
			stream.Receive()
			_ = stream.Close()
			timer.Stop()
			cancel(nil)
		}()
		return d, busy, nil
	}
	err = cmp.Or(stream.Err(), errStreamEnded)
	_ = stream.Close()
	return fail(err)
}

// ReleaseSlot tells the owner of a cell how a call with a slot ended. It does not wait for the owner. Releases of the
// same owner and cell that come while a call is under way go together in the next call.
func (n *Node) ReleaseSlot(owner string, cell slots.Cell, id string, res slots.Result) {
	switch {
	case owner == "" || n.o.Slots == nil || !validName(id):
		return
	case owner == n.o.Self.Name:
		n.o.Slots.Release(cell, id, res)
		return
	}
	key := releaseKey{owner, cell}
	dropped, start := n.slots.releases.add(key, encodeRelease(id, res))
	n.count.slotReleasesLost.Add(dropped)
	if start {
		go n.sendReleases(key)
	}
}

type releaseKey struct {
	owner string
	cell  slots.Cell
}

// releaseQueues holds the releases that wait to be sent to owners. An element of pending exists for as long as a
// goroutine sends the releases of this owner and cell.
type releaseQueues struct {
	mu      sync.Mutex
	pending map[releaseKey][]*v1.SlotRelease
}

// add queues a release. Dropped is how many of the oldest releases were dropped for it. Start means that the caller must
// start sendReleases.
func (q *releaseQueues) add(key releaseKey, r *v1.SlotRelease) (dropped int, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = map[releaseKey][]*v1.SlotRelease{}
	}
	list, sending := q.pending[key]
	if len(list) >= maxPendingReleases {
		list, dropped = list[1:], 1
	}
	q.pending[key] = append(list, r)
	return dropped, !sending
}

// take removes the releases of the next call. If there are none, it removes the element of the key.
func (q *releaseQueues) take(key releaseKey) []*v1.SlotRelease {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.pending[key]
	if len(list) == 0 {
		delete(q.pending, key)
		return nil
	}
	k := min(len(list), maxReleases)
	q.pending[key] = list[k:]
	return list[:k]
}

// sendReleases sends the releases of one owner and cell until none are left.
func (n *Node) sendReleases(key releaseKey) {
	for list := n.slots.releases.take(key); list != nil; list = n.slots.releases.take(key) {
		if n.sendReleaseBatch(key, list) {
			n.count.slotReleaseCalls.Inc()
		} else {
			n.count.slotReleasesLost.Add(len(list))
		}
	}
}

func (n *Node) sendReleaseBatch(key releaseKey, list []*v1.SlotRelease) bool {
	client := n.slotClientFor(key.owner)
	if client == nil {
		return false
	}
	for range releaseAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		req := connect.NewRequest(&v1.ReleaseSlotRequest{Cell: encodeCell(key.cell), Box: n.o.Self.Name, Releases: list})
		authorize(req.Header(), n.members.sharedKey())
		_, err := client.ReleaseSlot(ctx, req)
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

// slotPeers holds the boxes that were asked for slots. An owner that stops as planned leaves the members table at once,
// but still accepts releases.
type slotPeers struct {
	mu     sync.Mutex
	byName map[string]slotPeer
}

// slotPeer is a box that was asked for slots. The client is kept: with a new client for each call, a slot took 0.32 ms of
// processor time at both boxes together, instead of 0.17 ms (BenchmarkSlot on one processor).
type slotPeer struct {
	address string
	client  stoatrampv1connect.OverlayClient
	askedAt time.Time
}

// slotPeer returns the client for a box that is asked. When more boxes are kept than are listed, it removes those that
// were not asked for slotPeerRetention.
func (n *Node) slotPeer(m Member, now time.Time) stoatrampv1connect.OverlayClient {
	s := &n.slots.peers
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]slotPeer{}
	}
	p, known := s.byName[m.Name]
	if !known && len(s.byName) >= n.members.size() {
		maps.DeleteFunc(s.byName, func(_ string, other slotPeer) bool { return now.Sub(other.askedAt) > slotPeerRetention })
	}
	if p.address != m.Address {
		p = slotPeer{address: m.Address, client: n.slotClient(m.Address)}
	}
	p.askedAt = now
	s.byName[m.Name] = p
	return p.client
}

// slotClientFor returns the client for a box that is sent releases; nil if the box's address is not known.
func (n *Node) slotClientFor(name string) stoatrampv1connect.OverlayClient {
	s := &n.slots.peers
	s.mu.Lock()
	p := s.byName[name]
	s.mu.Unlock()
	if p.client != nil {
		return p.client
	}
	if m, _ := n.members.get(name); m.Address != "" {
		return n.slotClient(m.Address)
	}
	return nil
}

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
	if n.stopped.Err() != nil {
		return stream.Send(encodeDecision(slots.Decision{State: slots.Refused, Reason: slots.Stopping}, false))
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
		err = send(encodeDecision(d, busy))
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

func encodeCell(c slots.Cell) *v1.SlotCell {
	return &v1.SlotCell{Service: c.Service, Region: c.Region, Index: int32(c.Index)}
}

func decodeCell(m *v1.SlotCell) (c slots.Cell, ok bool) {
	c = slots.Cell{Service: m.GetService(), Region: m.GetRegion(), Index: int(m.GetIndex())}
	return c, validName(c.Service) && validText(c.Region) && c.Index >= 0 && c.Index < maxCellIndex
}

// encodeSlotTime encodes a duration in microseconds. Durations beyond the bounds of the protocol are changed to the
// nearest bound.
func encodeSlotTime(d time.Duration) int64 { return max(0, min(d, maxSlotTime)).Microseconds() }

func decodeSlotTime(us int64) (d time.Duration, ok bool) {
	return time.Duration(us) * time.Microsecond, us >= 0 && us <= maxSlotTime.Microseconds()
}

func encodeSlotRequest(c slots.Cell, r slots.Request) *v1.AcquireSlotRequest {
	return &v1.AcquireSlotRequest{
		Cell: encodeCell(c), Id: r.ID, Box: r.Box, Hall: r.Hall, Account: r.Account, Weight: r.Weight, Priority: int32(min(r.Priority, maxPriority)),
		OnTimeUs: encodeSlotTime(r.OnTime), LeftUs: encodeSlotTime(r.Left), Returning: r.Returning, Exclude: r.Exclude[:min(len(r.Exclude), maxExcluded)],
	}
}

func decodeSlotRequest(m *v1.AcquireSlotRequest) (c slots.Cell, r slots.Request, ok bool) {
	c, cellOK := decodeCell(m.Cell)
	onTime, onTimeOK := decodeSlotTime(m.OnTimeUs)
	left, leftOK := decodeSlotTime(m.LeftUs)
	ok = cellOK && onTimeOK && leftOK && validName(m.Id) && validName(m.Box) && validText(m.Hall) && validText(m.Account) &&
		m.Weight >= 0 && m.Weight <= maxSlotWeight && // NaN fails both comparisons.
		m.Priority >= 0 && m.Priority <= maxPriority && len(m.Exclude) <= maxExcluded
	for _, e := range m.Exclude {
		ok = ok && validName(e)
	}
	r = slots.Request{
		ID: m.Id, Box: m.Box, Hall: m.Hall, Account: m.Account, Weight: m.Weight, Priority: int(m.Priority), OnTime: onTime, Left: left,
		Returning: m.Returning, Exclude: m.Exclude,
	}
	return c, r, ok
}

// The protocol's values of slots.State, slots.Reason and slots.Outcome are one higher, since 0 stands for a value that
// was not sent.

func encodeDecision(d slots.Decision, busy bool) *v1.AcquireSlotResponse {
	out := &v1.AcquireSlotResponse{
		State: v1.SlotState(d.State) + 1, WaitUs: encodeSlotTime(d.Wait), Waiting: encodeSlotCount(d.Waiting), InUse: encodeSlotCount(d.InUse),
		Limit: encodeSlotCount(d.Limit), Busy: busy,
	}
	switch d.State {
	case slots.Granted:
		out.Endpoint = d.Endpoint
	case slots.Refused:
		out.Reason, out.RetryAfterUs = v1.SlotReason(d.Reason)+1, encodeSlotTime(d.RetryAfter)
	}
	return out
}

func encodeSlotCount(n int) int32 { return int32(max(0, min(n, maxSlots))) }

func decodeDecision(m *v1.AcquireSlotResponse) (d slots.Decision, ok bool) {
	wait, waitOK := decodeSlotTime(m.WaitUs)
	retryAfter, retryOK := decodeSlotTime(m.RetryAfterUs)
	ok = waitOK && retryOK
	for _, n := range []int32{m.Waiting, m.InUse, m.Limit} {
		ok = ok && n >= 0 && n <= maxSlots
	}
	d = slots.Decision{Wait: wait, Waiting: int(m.Waiting), InUse: int(m.InUse), Limit: int(m.Limit)}
	switch m.State {
	case v1.SlotState_SLOT_STATE_QUEUED:
		d.State = slots.Queued
	case v1.SlotState_SLOT_STATE_GRANTED:
		d.State, d.Endpoint = slots.Granted, m.Endpoint
		ok = ok && validName(m.Endpoint)
	case v1.SlotState_SLOT_STATE_REFUSED:
		ok = ok && m.Reason > v1.SlotReason_SLOT_REASON_UNSPECIFIED && m.Reason <= v1.SlotReason_SLOT_REASON_STOPPING
		d.State, d.Reason, d.RetryAfter = slots.Refused, slots.Reason(m.Reason-1), retryAfter
	default:
		ok = false
	}
	return d, ok
}

func encodeRelease(id string, res slots.Result) *v1.SlotRelease {
	return &v1.SlotRelease{Id: id, Outcome: v1.SlotOutcome(res.Outcome) + 1, TookUs: encodeSlotTime(res.Took)}
}

type release struct {
	id     string
	result slots.Result
}

func decodeReleases(m *v1.ReleaseSlotRequest) (c slots.Cell, list []release, ok bool) {
	c, ok = decodeCell(m.Cell)
	if !ok || !validName(m.Box) || len(m.Releases) > maxReleases {
		return c, nil, false
	}
	for _, r := range m.Releases {
		took, tookOK := decodeSlotTime(r.GetTookUs())
		if !tookOK || !validName(r.GetId()) || r.GetOutcome() <= v1.SlotOutcome_SLOT_OUTCOME_UNSPECIFIED || r.GetOutcome() > v1.SlotOutcome_SLOT_OUTCOME_UNUSED {
			return c, nil, false
		}
		list = append(list, release{r.Id, slots.Result{Outcome: slots.Outcome(r.Outcome - 1), Took: took}})
	}
	return c, list, true
}
