package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// This file gets slots for plain calls. While a service is contended, a call is sent only with a granted slot. The owner
// of the endpoints' cell is asked first. If no owner answers, this box decides by its own part of the slots.

const (
	// maxSlotRequests bounds how often one call asks for a slot. A second request follows if the granted endpoint may
	// not be used, or if the cell has no endpoint for the call.
	maxSlotRequests = 2
	// usableConnections is the part of the connections that an endpoint accepts that all boxes together open. The other
	// connections are for boxes that are not listed yet.
	usableConnections = 0.9
	// minUnsharedConns is the smallest bound on this box's connections to an endpoint if it asks for no slots, so that no
	// owner can permit more.
	minUnsharedConns = 2
	// maxUnsentGrant is how long a call with a granted slot may wait for its connection. The owner gives the slot to
	// another call once it is overdue, so the call must be sent and answered before.
	maxUnsentGrant = slots.MinOverdue / 2
)

// slotGrant is a granted slot. A nil slotGrant stands for a call without one.
type slotGrant struct {
	r        *Relay
	end      func(slots.Result)
	released bool
	// byOwner means that an owner of the cell granted the slot, not this box by its own part.
	byOwner bool
	// sendBy is until when the call may be sent; see maxUnsentGrant.
	sendBy time.Time
}

// isExpired reports whether it is too late to send the call.
func (g *slotGrant) isExpired(now time.Time) bool { return g != nil && !now.Before(g.sendBy) }

// release ends the grant. Only the first call has an effect.
func (g *slotGrant) release(res slots.Result) {
	if g == nil || g.released {
		return
	}
	g.released = true
	g.r.m.SlotsInUse.Dec()
	g.end(res)
}

// place identifies the endpoints that may serve the request.
func (x *exchange) place() serviceRegion { return serviceRegion{x.service.Name, x.region} }

// part returns this box's part of the slots and connections in a region: one divided by the number of boxes. known is
// false if the number is not known, because there is no list of boxes yet.
func (r *Relay) part(region string) (part float64, known bool) {
	boxes, _ := r.boxes(region)
	return 1 / float64(max(1, len(boxes))), len(boxes) > 0
}

// slotPart returns this box's part of the slots of a cell. While the list of boxes may lack others, a list with only
// this box does not count. A box with most of the calls keeps half of the slots that an owner has granted it within
// peakMemory: an even part would serve hardly any of its calls. Together the boxes use about half of the slots.
func (r *Relay) slotPart(c slots.Cell) float64 {
	part, known := r.part(c.Region)
	if !known || part == 1 && r.ownerPart(c) == 0 {
		part = unknownPart
	}
	return max(part, keptShare*r.grantedShare(c))
}

// keptShare is the share of its granted slots that a box keeps while no owner answers.
const keptShare = 0.5

// grantedShare returns the share of a cell's slots that owners have granted this box at once within peakMemory, of the
// endpoints where it had any.
func (r *Relay) grantedShare(c slots.Cell) float64 {
	calls, most := 0, 0
	cells := r.fleet.cellCount(serviceRegion{c.Service, c.Region})
	r.ownerGrants.recent(clock.Now(), func(endpoint string, n int) {
		e, listed := r.fleet.endpoint(endpoint)
		if listed && cells > 0 && e.Service == c.Service && slots.CellIndex(endpoint, cells) == c.Index {
			calls, most = calls+n, most+slots.MaxGrants(e.Slots)
		}
	})
	if most == 0 {
		return 0
	}
	return min(1, float64(calls)/float64(most))
}

// ownerPart returns the part of a cell's slots that this box may grant as their owner; 0 if it must not act as owner.
func (r *Relay) ownerPart(c slots.Cell) float64 {
	if r.o.Peers == nil {
		return 1
	}
	return r.o.Peers.SlotOwnerPart(c)
}

// unknownPart is the part of a box that does not know how many boxes there are. It gives one call per endpoint. With the
// whole, each of several boxes that start during an outage of the store could use all slots.
const unknownPart = 0.01

// connLimits bound this box's connections to an endpoint. The zero value has no bound.
type connLimits struct {
	// fixed is the bound without granted slots. It needs no message. The sum over all boxes and the slots that an owner may
	// grant are within what the endpoint accepts, unless there are more boxes than connections.
	fixed int
	// kept is how many connections may stay open between calls.
	kept int
}

// connLimits returns the bounds of this box's connections to an endpoint with a number of slots.
func (r *Relay) connLimits(s *Service, region string, slotCount int) connLimits {
	if s.MaxConnections == 0 {
		return connLimits{}
	}
	part, _ := r.part(region)
	usable := usableConnections * float64(s.MaxConnections)
	if r.contentions.enabled && part < 1 {
		usable = min(usable, float64(s.MaxConnections-slots.MaxGrants(slotCount)))
	}
	share := max(0, int(usable*part))
	if !r.contentions.enabled {
		return connLimits{fixed: max(minUnsharedConns, share), kept: max(minUnsharedConns, share)}
	}
	return connLimits{fixed: max(1, share), kept: share}
}

// limitConns sets the bounds of a call's connections. A slot that an owner granted permits one connection beyond the fixed
// bound. The owner grants no more slots than the endpoint has, to all boxes together, so a box with most of the calls gets the
// connections for them, and the sum stays bounded whoever fails.
func (x *exchange) limitConns(q *h1.Request, e *chosenEndpoint, g *slotGrant) {
	l := x.r.connLimits(x.service, x.region, e.Slots)
	if l.fixed == 0 {
		return
	}
	q.MaxConns = l.fixed
	if g != nil && g.byOwner {
		q.MaxConns += x.r.ownerGrants.count(e.ID)
	}
	q.ExtraConns = q.MaxConns - l.kept
}

// needsOwnersSlot reports whether a call to an endpoint would wait for a connection of this box, although other boxes may
// leave connections unused. Only the owner of the slots knows.
func (x *exchange) needsOwnersSlot(e *chosenEndpoint) bool {
	return x.r.contentions.enabled && x.asksForSlots() && x.r.callerPool.MustWait(e.Address, x.r.connLimits(x.service, x.region, e.Slots).fixed)
}

// recordConnWait records that a call waited for one of this box's connections to the endpoint.
func (x *exchange) recordConnWait(endpoint string, a *plainAnswer) {
	if a.connWait == 0 {
		return
	}
	x.r.m.ConnectionWait.Update(a.connWait.Seconds())
	x.trace.Step(record.Step{
		Kind: record.StepConnWait, Decode: endpoint, Text: fmt.Sprintf("%d ms for one of %d connections", a.connWait.Milliseconds(), a.maxConns),
	})
}

// newSlotID returns an ID for a request for a slot. It differs from the IDs of other boxes, and from those before a
// restart of this box.
func (r *Relay) newSlotID() string {
	return r.slotIDs + strconv.FormatUint(r.lastSlotID.Add(1), 36)
}

// chooseEndpoint selects the endpoint for the next call. While the service is contended, the endpoint comes with a
// granted slot. If e is nil, the call must not be made. o is then the reason if there is a special one, and wait is the
// time until the first endpoint that asked for fewer requests accepts one.
func (x *exchange) chooseEndpoint(ctx context.Context, exclude map[string]bool) (e *chosenEndpoint, g *slotGrant, o *outcome.Outcome, wait time.Duration) {
	for contended := x.contended() && x.asksForSlots(); ; contended = true {
		if contended {
			if e, g, o = x.chooseWithSlot(ctx, exclude); e != nil || o != nil {
				return e, g, o, 0
			}
		}
		e, wait = x.r.plain.choose(x.service.Name, x.region, clock.Now(), exclude)
		if e == nil || contended || !x.needsOwnersSlot(e) {
			return e, nil, nil, wait
		}
		x.r.plain.release(e)
		x.r.signContention(x.place(), false)
	}
}

// chooseWithSlot gets a slot, and returns its endpoint. o is set if the request must be refused. If neither is returned,
// no cell has an endpoint for the call, and the box decides as without contention.
func (x *exchange) chooseWithSlot(ctx context.Context, exclude map[string]bool) (*chosenEndpoint, *slotGrant, *outcome.Outcome) {
	excluded := slices.Sorted(maps.Keys(exclude))
	cell := slots.Cell{Service: x.service.Name, Region: x.region, Index: -1}
	for range maxSlotRequests {
		n := x.r.fleet.cellCount(x.place())
		if n == 0 {
			return nil, nil, nil
		}
		if cell.Index < 0 || cell.Index >= n {
			cell.Index = rand.IntN(n)
		}
		d, g := x.acquireSlot(ctx, cell, excluded)
		if ctx.Err() != nil || clock.Until(x.deadline) <= 0 {
			g.release(slots.Result{Outcome: slots.Unused})
			o := x.endedWithoutSlot()
			return nil, nil, &o
		}
		if d.State == slots.Granted {
			if e := x.r.takeGranted(x.place(), d.Endpoint, exclude); e != nil {
				return e, g, nil
			}
			g.release(slots.Result{Outcome: slots.Unused})
			excluded = append(excluded, d.Endpoint)
			continue
		}
		switch d.Reason {
		case slots.NoEndpoint:
			cell.Index = (cell.Index + 1) % n
		case slots.Stopping: // This box stops, or grants slots of too many cells.
		default:
			delay := d.RetryAfter
			if delay <= 0 {
				delay = retryAfter
			}
			return nil, nil, &outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.SlotsFull, RetryAfter: delay}
		}
	}
	return nil, nil, nil
}

// endedWithoutSlot is the outcome of a request that ended while it waited for a slot.
func (x *exchange) endedWithoutSlot() outcome.Outcome {
	if x.req.Context().Err() != nil {
		return callerGoneOutcome()
	}
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.SlotsFull, RetryAfter: retryAfter}
}

// acquireSlot asks for a slot of a cell and waits for the decision. The grant is nil if the request was refused.
func (x *exchange) acquireSlot(ctx context.Context, cell slots.Cell, exclude []string) (slots.Decision, *slotGrant) {
	r, began := x.r, clock.Now()
	_, age := r.contentions.contended(x.place(), began)
	r.m.SlotsWaiting.Inc()
	returning := false
	d, owner, by, end := r.requestSlot(ctx, cell, func() slots.Request {
		q := x.slotRequest(exclude)
		returning = q.Returning
		return q
	})
	r.m.SlotsWaiting.Dec()
	if returning {
		r.m.SlotsReturning[d.State == slots.Granted].Inc()
	}
	s := record.Step{Kind: record.StepSlot, Slot: &record.SlotState{
		Owner: owner, WaitedMS: clock.Since(began).Milliseconds(), Ahead: d.Waiting, InUse: d.InUse, Limit: d.Limit, AgeMS: age.Milliseconds(),
		Cell: cell.Index, Returning: returning, RetryMS: d.RetryAfter.Milliseconds(),
	}}
	if x.account != nil {
		s.Slot.Account = x.account.Name
	}
	if d.State != slots.Granted {
		r.m.SlotsRefused[d.Reason].Inc()
		s.Reason, s.Text = outcome.SlotsFull, d.Reason.String()
		x.trace.Step(s)
		return d, nil
	}
	s.Decode = d.Endpoint
	x.trace.Step(s)
	r.m.SlotsGranted[by].Inc()
	r.m.SlotsInUse.Inc()
	return d, &slotGrant{r: r, end: end, byOwner: owner != "", sendBy: clock.Now().Add(maxUnsentGrant)}
}

// slotRequest describes the request to the owner of a cell.
func (x *exchange) slotRequest(exclude []string) slots.Request {
	q := slots.Request{
		ID: x.r.newSlotID(), Box: x.r.o.Box, Hall: x.r.o.Hall, Priority: x.priority(), Left: clock.Until(x.deadline),
		Returning: x.isReturning(), Exclude: exclude,
	}
	q.OnTime = q.Left
	if x.route.LatencyTarget > 0 {
		elapsed := clock.Since(x.arrived) + x.spentBefore
		q.OnTime = min(q.Left, x.route.LatencyTarget-elapsed)
	}
	if x.account != nil {
		q.Account, q.Weight = x.account.Name, x.weight()
	}
	return q
}

// requestSlot asks the owner of a cell for a slot. If no owner answers, this box decides by its own part of the slots;
// owner is then empty. end releases the slot if it was granted. by is the key of Metrics.SlotsGranted.
func (r *Relay) requestSlot(ctx context.Context, cell slots.Cell, request func() slots.Request) (d slots.Decision, owner, by string, end func(slots.Result)) {
	if d, owner, end = r.requestOwnersSlot(ctx, cell, request()); owner != "" || ctx.Err() != nil {
		by = telemetry.SlotByOwner
		if owner == r.o.Box {
			by = telemetry.SlotBySelf
		}
		return d, owner, by, end
	}
	q := request()
	d, _ = r.partCells.Acquire(ctx, cell, q, nil)
	if d.State != slots.Granted {
		return d, "", telemetry.SlotByPart, nil
	}
	r.partGrants.add(d.Endpoint, 1)
	return d, "", telemetry.SlotByPart, func(res slots.Result) {
		r.partGrants.add(d.Endpoint, -1)
		r.partCells.Release(cell, q.ID, res)
		r.ownedCells.Release(cell, "", slots.Result{}) // A request may wait for a slot that this box grants as owner.
	}
}

// requestOwnersSlot asks the owner of a cell for a slot. owner is empty if no owner answered. Without other boxes this
// box is the owner.
func (r *Relay) requestOwnersSlot(ctx context.Context, cell slots.Cell, q slots.Request) (d slots.Decision, owner string, end func(slots.Result)) {
	busy := false
	if r.o.Peers == nil {
		d, busy = r.ownedCells.Acquire(ctx, cell, q, nil)
		end = func(res slots.Result) { r.ownedCells.Release(cell, q.ID, res) }
		if d.State != slots.Refused || d.Reason != slots.Stopping {
			owner = r.o.Box
		}
	} else {
		d, owner, busy = r.o.Peers.AcquireSlot(ctx, cell, q)
		end = func(res slots.Result) { r.o.Peers.ReleaseSlot(owner, cell, q.ID, res) }
	}
	if owner == "" {
		return slots.Decision{State: slots.Refused, Reason: slots.TooLate}, "", nil
	}
	if d.State == slots.Granted {
		r.ownerGrants.add(d.Endpoint, 1)
		release := end
		end = func(res slots.Result) {
			r.ownerGrants.add(d.Endpoint, -1)
			release(res)
			r.partCells.Release(cell, "", slots.Result{}) // A request may wait for this box's own part.
		}
	}
	if busy {
		r.signContention(serviceRegion{cell.Service, cell.Region}, true)
	}
	return d, owner, end
}

// takeGranted counts a call to the endpoint of a granted slot as in progress. It returns nil if this box must not call
// the endpoint now.
func (r *Relay) takeGranted(k serviceRegion, id string, exclude map[string]bool) *chosenEndpoint {
	now := clock.Now()
	if e, known := r.plain.take(k, id, now, exclude); known {
		return e
	}
	e, ok := r.fleet.grantable(now, id)
	if !ok || e.Service != k.service {
		return nil
	}
	return r.plain.takeOutside(e, k.region, now, exclude)
}

// slotOutcome returns how a call ended, for the box that granted the slot.
func (x *exchange) slotOutcome(ctx context.Context, a *plainAnswer) slots.Outcome {
	switch {
	case a.full:
		return slots.Rejected
	case a.reset && (!a.sent || a.lostAfter < immediateLossLimit):
		// A connection that is lost later was probably lost while the request ran.
		return slots.Reset
	case errors.Is(ctx.Err(), context.Canceled), a.connsBusy, a.notAllowed, a.pathBroke:
		return slots.Unused
	case a.good:
		return slots.Answered
	}
	return slots.Failed
}

// observeContention records what a call says about contention.
func (x *exchange) observeContention(a *plainAnswer) {
	switch {
	case a.full, a.reset:
		x.r.signContention(x.place(), true)
	case a.good && !x.r.delaysOthers() && x.r.contentions.observe(x.place(), clock.Now(), a.took-a.connWait):
		// A long latency is a weak sign: this box asks for slots, and the owner's answer shows whether others must too.
		x.r.signContention(x.place(), false)
	}
}

// asksForSlots reports whether the request's calls need slots. The owners of cells serve only the boxes of their own
// region. A box of another region would have only its own part of the slots, and would refuse most calls.
func (x *exchange) asksForSlots() bool { return x.region == x.r.o.Region }

// contended reports whether the request's service is contended.
func (x *exchange) contended() bool {
	contended, _ := x.r.contentions.contended(x.place(), clock.Now())
	return contended
}

// wasReset reports whether an endpoint reset a new connection before it sent the header of an answer.
func wasReset(err error) bool {
	var e *h1.Error
	return errors.As(err, &e) && e.Reset
}
