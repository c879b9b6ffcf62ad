package relay

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// This file keeps track of cold endpoints. An endpoint is cold when it has just started and can handle only a few
// requests a second yet. The platform's list of endpoints says how much longer the endpoint is cold. When the
// evacuation of a hall ends, its endpoints are treated as cold for as long as after a start.

// coldEndpoint is an endpoint that is or was cold.
type coldEndpoint struct {
	endsAt time.Time // When the cold period ends.
	// pace is the shortest interval between requests of this box to the endpoint; 0 if this box may send none. It is
	// valid once paced is set, and was computed from the list of boxes with that version.
	pace    pacing.ColdPace
	version int64
	paced   bool
	logged  bool // The log has a line about the endpoint.
}

// updateCold applies the cold periods of a new list of endpoints, and forgets those that have ended. f.mu is held.
func (f *fleet) updateCold(now time.Time) {
	for _, e := range f.endpoints {
		f.markCold(e.ID, now, e.ColdLeft)
	}
	maps.DeleteFunc(f.cold, func(id string, c *coldEndpoint) bool {
		_, listed := f.index[id]
		return !listed || now.After(c.endsAt)
	})
}

// endEvacuation records that a hall is no longer evacuated: its endpoints may be cold from now on. f.mu is held.
func (f *fleet) endEvacuation(now time.Time, hall string) {
	for _, e := range f.endpoints {
		if e.Hall == hall {
			f.markCold(e.ID, now, f.service(e.Service).ColdDuration)
		}
	}
}

// markCold records that an endpoint may be cold for a duration from now. f.mu is held.
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

// setCold sets, for each cold endpoint, when it stops being cold and how often this box may send to it until then.
// r.fleet.mu is held.
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

// boxes lists the boxes that may send requests to endpoints of a region, with a version that changes with the list. A
// box without peers lists itself alone.
func (r *Relay) boxes(region string) (names []string, version int64) {
	if r.o.Peers == nil {
		return []string{r.o.Box}, 0
	}
	return r.o.Peers.Boxes(region)
}

// refreshColdPaces recomputes the paces of cold endpoints, if there are any: the list of boxes may have changed.
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
