package relay

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// This file handles data halls and regions. Each hall is in a region, and a request is served in its own region:
// that of the box that receives it, or those that its route and its account name. The operator may evacuate a
// hall: until the evacuation ends its endpoints get no new requests, and finish the ones they have.

// knownEndpoint is an endpoint with what the box knows beside its entry in the list.
type knownEndpoint struct {
	Endpoint
	Region string
	// Evacuated is set if its hall is evacuated.
	Evacuated bool
	Cold      pacing.Cold
}

// open reports whether the endpoint may get new requests.
func (e *knownEndpoint) open() bool { return !e.Leaving && !e.Evacuated }

// describe returns an endpoint of the list with what the box knows of it. The lock is held.
func (f *fleet) describe(i int) knownEndpoint {
	e := knownEndpoint{Endpoint: f.endpoints[i]}
	e.Role = f.roles[e.ID].role()
	// The list may be older than the answer.
	e.Leaving = e.Leaving || f.hasAnnouncedLeaving != nil && f.hasAnnouncedLeaving(e.ID)
	e.Region, e.Evacuated = f.regionOf(e.Hall), f.evacuated[e.Hall]
	return e
}

// SetEvacuated sets the data halls that are evacuated. From then on no request is sent there, and no memory is
// reserved, prefilled or migrated there; streams that run there are finished.
func (r *Relay) SetEvacuated(halls []string) {
	next := make(map[string]bool, len(halls))
	for _, h := range halls {
		next[h] = true
	}
	r.fleet.mu.Lock()
	before := r.fleet.evacuated
	r.fleet.evacuated = next
	for hall := range before {
		if !next[hall] {
			r.fleet.endEvacuation(clock.Now(), hall)
		}
	}
	r.fleet.mu.Unlock()
	if maps.Equal(before, next) {
		return
	}
	r.logHalls(before, next)
	r.applyFleet()
}

// logHalls logs the halls whose evacuation begins or ends.
func (r *Relay) logHalls(before, next map[string]bool) {
	for _, h := range slices.Sorted(maps.Keys(next)) {
		if !before[h] {
			r.o.Recorder.Log.StateChange("hall evacuated", zap.String("hall", h))
		}
	}
	for _, h := range slices.Sorted(maps.Keys(before)) {
		if !next[h] {
			r.o.Recorder.Log.StateChange("hall evacuation ended", zap.String("hall", h))
		}
	}
}

// regionOf returns the region of a hall.
func (f *fleet) regionOf(hall string) string {
	if region, named := f.halls[hall]; named {
		return region
	}
	return f.region
}

// inServedRegion reports whether this box may send requests to an endpoint: its region is the box's own, or named
// by a route or an account. Boxes exchange messages on endpoints only within their region, so that all boxes which
// send requests to an endpoint know its load. When boxes also used the engines of three regions as if these were
// near, two thirds of an engine's load were unknown to the other boxes: on a day without engine failures 15% of the
// streams were displaced, and 1,012 thousand prompt tokens were prefilled twice. The lock is held.
func (f *fleet) inServedRegion(e *knownEndpoint, named map[string]bool) bool {
	return e.Region == f.region || named[e.Region]
}

// regions returns the regions that routes and accounts name.
func (c *Config) regions() map[string]bool {
	out := map[string]bool{}
	for _, r := range c.Routes {
		for _, name := range r.Regions {
			out[name] = true
		}
	}
	for _, a := range c.Accounts {
		for _, name := range a.Regions {
			out[name] = true
		}
	}
	return out
}

// servingRegions returns the regions in which each service has an endpoint that accepts requests.
func servingRegions(known []knownEndpoint) map[string]map[string]bool {
	out := map[string]map[string]bool{}
	for _, e := range known {
		if !e.open() {
			continue
		}
		if out[e.Service] == nil {
			out[e.Service] = map[string]bool{}
		}
		out[e.Service][e.Region] = true
	}
	return out
}

// regionFor selects the region for a request of a service among those allowed: the box's own if it has an endpoint
// that accepts requests, and otherwise another that has. Boxes choose differently among several. If no region has
// one, it is the box's own if that is allowed; otherwise ok is false.
func (f *fleet) regionFor(service string, allowed []string) (region string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := slices.Contains(allowed, f.region)
	if own && f.servingRegions[service][f.region] {
		return f.region, true
	}
	highest := uint64(0)
	for _, name := range allowed {
		if rank := xxhash.Sum64String(f.box + " " + name); f.servingRegions[service][name] && (!ok || rank > highest) {
			region, highest, ok = name, rank, true
		}
	}
	if !ok && own {
		return f.region, true
	}
	return region, ok
}

// allowedRegions returns the regions that may serve the request. If its route and its account both name regions,
// these are the regions that both name.
func (x *exchange) allowedRegions() []string {
	allowed := x.route.Regions
	if x.account != nil && len(x.account.Regions) > 0 {
		if len(allowed) == 0 {
			return x.account.Regions
		}
		return slices.DeleteFunc(slices.Clone(allowed), func(name string) bool { return !slices.Contains(x.account.Regions, name) })
	}
	if len(allowed) == 0 {
		return []string{x.r.o.Region}
	}
	return allowed
}

// findRegion selects the request's region. If only other regions may serve it and none can, it is refused at once,
// because waiting would not help.
func (x *exchange) findRegion() (outcome.Outcome, bool) {
	allowed := x.allowedRegions()
	region, ok := x.r.fleet.regionFor(x.service.Name, allowed)
	if !ok {
		return outcome.Outcome{
			Kind: outcome.NotRun, Reason: outcome.NoRegion, Detail: "it may be served in: " + strings.Join(allowed, ", "), RetryAfter: jitter(streamRetryAfter),
		}, false
	}
	x.region = region
	return outcome.Outcome{}, true
}
