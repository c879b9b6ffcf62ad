package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// This file returns the state of plain services for operators.

// ContendedCell is a cell of a service that is contended for this box. The box asks the cell's owner for slots.
type ContendedCell struct {
	slots.Cell
	// SignAge is the time since the latest sign of contention.
	SignAge time.Duration
}

// ContendedCells returns the cells of the contended services, ordered by cell.
func (r *Relay) ContendedCells() (out []ContendedCell) {
	now := clock.Now()
	for k, age := range r.contentions.ages(now) {
		for i := range r.fleet.cellCount(k) {
			out = append(out, ContendedCell{slots.Cell{Service: k.service, Region: k.region, Index: i}, age})
		}
	}
	slices.SortFunc(out, func(a, b ContendedCell) int { return compareCells(a.Cell, b.Cell) })
	return out
}

func compareCells(a, b slots.Cell) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region), cmp.Compare(a.Index, b.Index))
}

// ages returns the contended services, each with the time since the latest sign of contention.
func (c *contentions) ages(now time.Time) map[serviceRegion]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[serviceRegion]time.Duration{}
	for k, s := range c.state {
		if age, contended := c.age(s, now); contended {
			out[k] = age
		}
	}
	return out
}

// PlainEndpoint is the state of an endpoint of a plain service, as this box's own calls show it.
type PlainEndpoint struct {
	Service, Region, ID string
	// Calls is the number of this box's calls in progress, and Mean the moving average of the times of its answers.
	Calls int
	Mean  time.Duration
	// Open is false while the endpoint is leaving or its hall is evacuated. SetAside is set while this box avoids the
	// endpoint after failures.
	Open, SetAside bool
	// Conns are this box's connections, and MaxConns how many it may open without granted slots; 0 if unbounded.
	Conns    h1.ConnCounts
	MaxConns int
	// Slots is how many requests the endpoint runs at once; 0 if unknown.
	Slots int
}

// PlainEndpoints returns the endpoints of plain services that have calls or connections of this box, ordered by service
// and ID.
func (r *Relay) PlainEndpoints() []PlainEndpoint {
	conns, cfg := r.callerPool.Conns(), r.cfg.Load()
	out := r.plain.inUse(clock.Now(), conns)
	for i := range out {
		if cfg != nil && cfg.Services[out[i].Service] != nil {
			out[i].MaxConns = r.connLimits(cfg.Services[out[i].Service], out[i].Region, out[i].Slots).fixed
		}
	}
	slices.SortFunc(out, func(a, b PlainEndpoint) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// inUse returns the endpoints that have calls in progress or connections. conns has the connections by address.
func (t *plainTable) inUse(now time.Time, conns map[string]h1.ConnCounts) (out []PlainEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.services {
		for _, byID := range []map[string]*plainEndpoint{s.byID, s.outside} {
			for _, e := range byID {
				c := conns[e.Address]
				if e.inFlight == 0 && c == (h1.ConnCounts{}) {
					continue
				}
				out = append(out, PlainEndpoint{
					Service: e.Service, Region: e.Region, ID: e.ID, Calls: e.inFlight, Mean: time.Duration(e.meanLatency * float64(time.Second)),
					Open: e.open(), SetAside: now.Before(e.setAsideUntil), Conns: c, Slots: e.Slots,
				})
			}
		}
	}
	return out
}

// LostPath is an endpoint that this box does not reach directly. Lasts is how long the state has lasted.
type LostPath struct {
	reach.Entry
	Service, Hall string
	Lasts         time.Duration
}

// LostPaths returns the endpoints that this box does not reach directly, ordered by address.
func (r *Relay) LostPaths() (out []LostPath) {
	for _, e := range r.paths.Table.Entries() {
		at, _ := r.fleet.at(e.Address)
		out = append(out, LostPath{e, at.service, at.hall, clock.Since(e.Since)})
	}
	return out
}

// Tunnels returns the number of this box's connections through each other box.
func (r *Relay) Tunnels() map[string]int { return r.paths.Tunnels() }
