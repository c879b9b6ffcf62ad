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

// This file handles data halls and regions. Each hall is in a region. A request is served in the region of the box that
// receives it, unless its route or its client account names regions. The operator may evacuate a hall. Until the
// evacuation ends, the hall's endpoints get no new requests, but finish the requests that they have.

// knownEndpoint is an entry of the list of endpoints, with what the box knows beyond the list.
type knownEndpoint struct {
	Endpoint
	Region string
	// Evacuated is set if the endpoint's hall is evacuated.
	Evacuated bool
	Cold      pacing.Cold // The end of the cold period, and the pace of this box's requests until then.
}

// open reports whether the endpoint may get new requests. It may not if it is leaving, or if its hall is evacuated.
func (e *knownEndpoint) open() bool { return !e.Leaving && !e.Evacuated }

// describe returns endpoint i of the list, with what the box knows beyond the list. f.mu is held.
func (f *fleet) describe(i int) knownEndpoint {
	e := knownEndpoint{Endpoint: f.endpoints[i]}
	e.Role = f.roles[e.ID].role()
	// The list may be older than the endpoint's announcement that it is leaving, or than its restart.
	noStreams, restarted := f.superseded[e.ID]
	if restarted && e.Build != "" {
		e.Build = unlistedBuild + e.ID
	}
	e.Leaving = e.Leaving || noStreams || f.hasAnnouncedLeaving != nil && f.hasAnnouncedLeaving(e.ID)
	e.Region, e.Evacuated = f.regionOf(e.Hall), f.evacuated[e.Hall]
	return e
}

// SetEvacuated sets the data halls that are evacuated. From then on no request is sent to an endpoint there. No memory
// is reserved, no prompt is prefilled, and no stream is migrated to such an endpoint. Streams that run there are
// finished. The endpoints of a hall whose evacuation ends are marked as cold.
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

// inServedRegion reports whether this box may send requests to an endpoint. The endpoint's region must be the box's own
// region, or be in named: the regions that routes or accounts name. f.mu is held.
//
// Boxes exchange messages about endpoints only within their region, so that all boxes which send requests to an
// endpoint know its load. Earlier, boxes also used the engines of three regions as if these were near. Two thirds of an
// engine's load were then unknown to the other boxes. On a day without engine failures, 15% of the streams were
// displaced, and 1,012 thousand prompt tokens were prefilled twice.
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

// regionFor selects the region that serves a request of a service, among the allowed regions. The box's own region
// comes first, if it has an endpoint that accepts requests. Otherwise another region with such an endpoint is selected,
// and different boxes select different regions. If no allowed region has such an endpoint, the box's own region is
// selected. If the own region is not allowed either, ok is false.
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

// allowedRegions returns the regions that may serve the request. If the route and the client account both name regions,
// only regions that both of them name are allowed.
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

// findRegion selects the region that serves the request. If the box's own region is not allowed, another allowed region
// must have an endpoint that accepts requests. Otherwise the request is refused immediately, because waiting would not
// help.
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
