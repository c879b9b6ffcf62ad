package relay

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// This file grants the slots of cells. A cell is a group of a service's endpoints in a region. The box that owns a cell
// grants its slots to the calls of all boxes. A box whose call gets no answer from an owner grants itself its own part
// of the slots.

const (
	// maxCells bounds the cells for which a box grants slots, and cellTTL the time that an unused one is kept.
	maxCells = 256
	cellTTL  = 30 * time.Second
	// cellRefreshInterval is the interval at which a cell's endpoints are checked, beside each change of the list. An
	// endpoint that is no longer cold becomes usable without such a change.
	cellRefreshInterval = time.Second
	// partTolerance is the relative change of a box's part of the slots from which on a cell's limits follow it.
	partTolerance = 0.1
)

// cellCount returns the number of cells of a service and region.
func (f *fleet) cellCount(k serviceRegion) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cellCounts[k]
}

// countCells counts the cells of each service and region. Leaving endpoints count, so that all boxes with the same list
// get the same cells. f.mu is held.
func (f *fleet) countCells() {
	n := map[serviceRegion]int{}
	for i := range f.endpoints {
		e := &f.endpoints[i]
		n[serviceRegion{e.Service, f.regionOf(e.Hall)}]++
	}
	for k := range n {
		n[k] = slots.CellCount(n[k])
	}
	f.cellCounts = n
}

// cellEndpoints returns the endpoints of the wanted cells, from the whole list.
func (f *fleet) cellEndpoints(now time.Time, wanted map[slots.Cell]bool) map[slots.Cell][]slots.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[slots.Cell][]slots.Endpoint, len(wanted))
	services := map[serviceRegion]bool{}
	for c := range wanted {
		services[serviceRegion{c.Service, c.Region}] = true
	}
	for i := range f.endpoints {
		e := &f.endpoints[i]
		k := serviceRegion{e.Service, f.regionOf(e.Hall)}
		if !services[k] {
			continue
		}
		c := slots.Cell{Service: k.service, Region: k.region, Index: slots.CellIndex(e.ID, f.cellCounts[k])}
		if wanted[c] {
			known := f.describe(i)
			out[c] = append(out[c], slots.Endpoint{ID: e.ID, Hall: e.Hall, Slots: e.Slots, Usable: known.open() && !f.isCold(now, e)})
		}
	}
	return out
}

// isCold reports whether an endpoint is cold. f.mu is held.
func (f *fleet) isCold(now time.Time, e *Endpoint) bool {
	c := f.cold[e.ID]
	return c != nil && f.service(e.Service).ColdRate > 0 && now.Before(c.endsAt)
}

// grantable returns an endpoint of the whole list that may get a call with a granted slot. ok is false if it may not.
func (f *fleet) grantable(now time.Time, id string) (e knownEndpoint, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed := f.index[id]
	if !listed {
		return e, false
	}
	e = f.describe(i)
	return e, e.open() && !f.isCold(now, &e.Endpoint)
}

// endpointCalls counts calls of this box by endpoint.
type endpointCalls struct {
	mu         sync.Mutex
	byEndpoint map[string]int
	// peaks has the most calls at once that an endpoint had in the last peakMemory or a little longer.
	peaks map[string]peakCalls
}

type peakCalls struct {
	calls int
	at    time.Time
}

// peakMemory is how long the most calls at once are remembered.
const peakMemory = time.Second

func (g *endpointCalls) add(endpoint string, n int) {
	now := clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byEndpoint == nil {
		g.byEndpoint, g.peaks = map[string]int{}, map[string]peakCalls{}
	}
	g.byEndpoint[endpoint] += n
	calls := g.byEndpoint[endpoint]
	if p, known := g.peaks[endpoint]; !known || calls >= p.calls || now.Sub(p.at) >= peakMemory {
		g.peaks[endpoint] = peakCalls{max(calls, calls-n), now}
	}
	if calls == 0 {
		delete(g.byEndpoint, endpoint)
	}
}

// recent calls f with the most calls at once that each endpoint had within peakMemory.
func (g *endpointCalls) recent(now time.Time, f func(endpoint string, calls int)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for endpoint, p := range g.peaks {
		if calls := g.byEndpoint[endpoint]; now.Sub(p.at) >= peakMemory && calls == 0 {
			delete(g.peaks, endpoint)
		} else {
			f(endpoint, max(calls, p.calls))
		}
	}
}

func (g *endpointCalls) count(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.byEndpoint[endpoint]
}

// isOpen reports whether an endpoint is listed and may get new requests.
func (f *fleet) isOpen(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed := f.index[id]
	if !listed {
		return false
	}
	e := f.describe(i)
	return e.open()
}

// slotCells grants the slots of cells.
type slotCells struct {
	r *Relay
	// part returns the part of a cell's slots that this box may grant.
	part func(slots.Cell) float64
	// outside is Options.Outside of the servers of the cells.
	outside func(endpoint string) int

	// updating is held while refresh updates the endpoints, so that an older list does not replace a newer one. It is
	// locked before mu.
	updating sync.Mutex

	mu    sync.Mutex
	cells map[slots.Cell]*slotCell
	// stopped is set by a planned stop. From then on all requests are refused with slots.Stopping.
	stopped     bool
	nextRefresh time.Time
}

// slotCell is a cell whose slots are granted.
type slotCell struct {
	server *slots.Server
	part   float64
	// active is the number of requests in progress. lastUsed is when a request or a release arrived last.
	active   int
	lastUsed time.Time
}

// Acquire grants a slot of a cell, or refuses the request. It calls queued if the request has to wait. busy means that
// boxes should go on asking.
func (c *slotCells) Acquire(ctx context.Context, cell slots.Cell, q slots.Request, queued func(slots.Decision)) (d slots.Decision, busy bool) {
	c.refresh(clock.Now(), false)
	s, reason := c.use(cell)
	if s == nil {
		return slots.Decision{State: slots.Refused, Reason: reason}, false
	}
	defer c.leave(s)
	return s.server.Acquire(ctx, q, queued)
}

// Release ends a grant, or withdraws a request that waits.
func (c *slotCells) Release(cell slots.Cell, id string, res slots.Result) (busy bool) {
	c.mu.Lock()
	s := c.cells[cell]
	if s != nil {
		s.lastUsed = clock.Now()
	}
	c.mu.Unlock()
	return s != nil && s.server.Release(id, res)
}

// use returns the state of a cell for one request, and makes it if needed. If it returns nil, reason says why.
func (c *slotCells) use(cell slots.Cell) (_ *slotCell, reason slots.Reason) {
	k := serviceRegion{cell.Service, cell.Region}
	cfg := c.r.cfg.Load()
	if cfg == nil || cfg.Services[cell.Service] == nil || cfg.Services[cell.Service].Engines != nil || cell.Index < 0 || cell.Index >= c.r.fleet.cellCount(k) {
		return nil, slots.NoEndpoint
	}
	part, now := c.part(cell), clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.cells[cell]
	switch {
	case c.stopped, part == 0:
		return nil, slots.Stopping
	case s == nil && len(c.cells) >= maxCells:
		return nil, slots.Stopping
	case s != nil && math.Abs(s.part-part) > partTolerance*part:
		s.server.SetPart(part)
		s.part = part
	}
	if s == nil {
		s = &slotCell{server: slots.NewServer(slots.Options{Part: part, Outside: c.outside}), part: part}
		s.server.SetEndpoints(c.r.fleet.cellEndpoints(now, map[slots.Cell]bool{cell: true})[cell])
		c.cells[cell] = s
	}
	s.active++
	s.lastUsed = now
	return s, 0
}

// leave ends a request's use of a cell.
func (c *slotCells) leave(s *slotCell) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.active--
	s.lastUsed = clock.Now()
}

// refresh updates the endpoints of all cells, and drops unused cells. Unless listChanged is set, it does so at most once
// per cellRefreshInterval.
func (c *slotCells) refresh(now time.Time, listChanged bool) {
	c.mu.Lock()
	due := listChanged || !now.Before(c.nextRefresh)
	if due {
		c.nextRefresh = now.Add(cellRefreshInterval)
	}
	c.mu.Unlock()
	if due {
		c.update(now)
	}
}

// update updates the endpoints of all cells, and drops unused cells.
func (c *slotCells) update(now time.Time) {
	c.updating.Lock()
	defer c.updating.Unlock()
	c.mu.Lock()
	wanted := make(map[slots.Cell]bool, len(c.cells))
	for cell, s := range c.cells {
		if s.active == 0 && now.Sub(s.lastUsed) >= cellTTL {
			s.server.Stop()
			delete(c.cells, cell)
			continue
		}
		wanted[cell] = true
	}
	c.mu.Unlock()
	if len(wanted) == 0 {
		return
	}
	lists := c.r.fleet.cellEndpoints(now, wanted)
	c.mu.Lock()
	defer c.mu.Unlock()
	for cell := range wanted {
		if s := c.cells[cell]; s != nil {
			s.server.SetEndpoints(lists[cell])
		}
	}
}

// stop refuses the requests that wait, and all later ones, with slots.Stopping. Grants can still be released.
func (c *slotCells) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	for _, s := range c.cells {
		s.server.Stop()
	}
}

// snapshots returns the state of all cells, ordered by cell.
func (c *slotCells) snapshots() (out []slots.CellSnapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for cell, s := range c.cells {
		out = append(out, slots.CellSnapshot{Cell: cell, Snapshot: s.server.Snapshot()})
	}
	slices.SortFunc(out, func(a, b slots.CellSnapshot) int {
		return compareCells(a.Cell, b.Cell)
	})
	return out
}

// SlotServer grants the slots of the cells that a box owns to the calls of all boxes of its region.
type SlotServer struct{ r *Relay }

// SlotServer returns the server of the cells that this box owns.
func (r *Relay) SlotServer() SlotServer { return SlotServer{r} }

// Acquire blocks until the request for a slot is granted or refused. It calls queued once if the request has to wait,
// and withdraws the request when ctx ends. busy means that boxes should go on asking.
func (s SlotServer) Acquire(ctx context.Context, cell slots.Cell, q slots.Request, queued func(slots.Decision)) (d slots.Decision, busy bool) {
	return s.r.ownedCells.Acquire(ctx, cell, q, queued)
}

// Release returns a granted slot, or withdraws a request. It does nothing if the ID is unknown.
func (s SlotServer) Release(cell slots.Cell, id string, res slots.Result) (busy bool) {
	return s.r.ownedCells.Release(cell, id, res)
}

// OwnedCells returns the state of the cells for which this box has granted slots recently.
func (r *Relay) OwnedCells() []slots.CellSnapshot { return r.ownedCells.snapshots() }
