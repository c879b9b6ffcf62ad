package relay

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// This file keeps track of cold endpoints. A cold endpoint has just started, and can handle only a few requests a
// second. The platform's list of endpoints says how much longer each endpoint is cold. Endpoints also count as cold
// when the evacuation of their data hall ends. They are then cold for as long as after a start.

// coldEndpoint is an endpoint that is or was cold.
type coldEndpoint struct {
	endsAt time.Time // When the cold period ends.
	// pace is the shortest interval between two requests of this box to the endpoint. It is 0 if this box may send
	// the endpoint no requests. version is the version of the list of boxes from which pace was computed. Both are
	// valid only if paced is set.
	pace    pacing.ColdPace
	version int64
	paced   bool
	logged  bool // The log has a line about the endpoint.
}

// updateCold marks the endpoints that a new list shows as cold. It forgets endpoints that have left the list, and
// endpoints whose cold period has ended. old is the list before, and oldIndex the positions in it by endpoint ID. An
// endpoint with the same ColdLeft as before is not marked again: ColdLeft counts from when the platform wrote the
// entry, and the entry has not been written since. f.mu is held.
func (f *fleet) updateCold(now time.Time, old []Endpoint, oldIndex map[string]int) {
	for _, e := range f.endpoints {
		if e.ColdLeft <= 0 {
			continue
		}
		if i, listed := oldIndex[e.ID]; !listed || old[i].ColdLeft != e.ColdLeft {
			f.markCold(e.ID, now, e.ColdLeft)
		}
	}
	maps.DeleteFunc(f.cold, func(id string, c *coldEndpoint) bool {
		_, listed := f.index[id]
		return !listed || now.After(c.endsAt)
	})
}

// endEvacuation marks the endpoints of a hall as cold, for the cold duration of their service. It is called when the
// evacuation of the hall ends. f.mu is held.
func (f *fleet) endEvacuation(now time.Time, hall string) {
	for _, e := range f.endpoints {
		if e.Hall == hall {
			f.markCold(e.ID, now, f.service(e.Service).ColdDuration)
		}
	}
}

// markCold records that an endpoint is cold for a duration from now. A cold period that ends later stays as it is. f.mu
// is held.
func (f *fleet) markCold(id string, now time.Time, d time.Duration) {
	if d <= 0 {
		return
	}
	if f.cold == nil {
		f.cold = map[string]*coldEndpoint{}
	}
	if f.cold[id] == nil {
		f.cold[id] = &coldEndpoint{}
	}
	if until := now.Add(d); until.After(f.cold[id].endsAt) {
		f.cold[id].endsAt = until
	}
}

// service returns a service of the configuration, or an empty one if the service is not configured. f.mu is held.
func (f *fleet) service(name string) *Service {
	if f.cfg != nil && f.cfg.Services[name] != nil {
		return f.cfg.Services[name]
	}
	return &Service{}
}

// setCold sets the cold period of each cold endpoint in known: its end, and the pace of this box's requests until then.
// It also logs endpoints that have become cold, at most maxChangeLines in one call. r.fleet.mu is held.
func (r *Relay) setCold(now time.Time, known []knownEndpoint) {
	lines := 0
	for i := range known {
		e := &known[i]
		c := r.fleet.cold[e.ID]
		rate := r.fleet.service(e.Service).ColdRate
		if c == nil || rate <= 0 || !now.Before(c.endsAt) {
			continue
		}
		boxes, version := r.boxes(e.Region)
		if !c.paced || c.version != version {
			c.pace, c.version, c.paced = pacing.NewColdPace(r.o.Box, boxes, e.ID, rate, r.o.ColdLimits), version, true
		}
		e.Cold = pacing.Cold{Until: c.endsAt, Pace: c.pace}
		if !c.logged && lines < maxChangeLines {
			lines++
			r.o.Recorder.Log.StateChange("endpoint is cold", zap.String("endpoint", e.ID), zap.Duration("for", c.endsAt.Sub(now)), zap.Duration("pace", time.Duration(c.pace)))
		}
		c.logged = true
	}
}

// boxes lists the boxes that may send requests to endpoints of a region. version changes when the list changes. If this
// box has no peers, the list has only this box.
func (r *Relay) boxes(region string) (names []string, version int64) {
	if r.o.Peers == nil {
		return []string{r.o.Box}, 0
	}
	return r.o.Peers.Boxes(region)
}

// refreshColdPaces recomputes the paces of cold endpoints, because the list of boxes may have changed. If no endpoint
// is cold, it does nothing.
func (r *Relay) refreshColdPaces() {
	now := clock.Now()
	r.fleet.mu.Lock()
	anyCold := false
	for _, c := range r.fleet.cold {
		anyCold = anyCold || now.Before(c.endsAt)
	}
	r.fleet.mu.Unlock()
	if anyCold {
		r.applyFleet()
	}
}

// cold reports whether the endpoint is cold and must not get another request from this box now.
func (e *plainEndpoint) cold(now time.Time) bool {
	return e.Cold.Blocks(now, e.lastChosen)
}
