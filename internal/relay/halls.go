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

// This file is what a box knows of data halls. Halls stand in regions, and a request is served in its
// own: the region of the box that takes it, or those that its route and its account name. The operator
// may have a hall evacuated: its endpoints get nothing new until that is taken back, and finish what
// they have.

// knownEndpoint is an endpoint with what is known of it beside its entry in the list.
type knownEndpoint struct {
	Endpoint
	Region string
	// Closed says that its hall is evacuated.
	Closed bool
	Cold   pacing.Cold
}

// open says that the endpoint may get new requests.
func (e *knownEndpoint) open() bool { return !e.Leaving && !e.Closed }

// describe describes an endpoint of the list. The lock is held.
func (f *fleet) describe(i int) knownEndpoint {
	e := knownEndpoint{Endpoint: f.endpoints[i]}
	e.Role = f.roles[e.ID].role()
	e.Leaving = e.Leaving || f.left != nil && f.left(e.ID) // The list may be older than the answer.
	e.Region, e.Closed = f.regionOf(e.Hall), f.evacuated[e.Hall]
	return e
}

// SetEvacuated says which data halls are evacuated. From then on no request is sent there, and no
// memory is set aside, read or moved there; streams that run there go on to their end.
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

// logHalls logs which halls were evacuated and which are taken back.
func (r *Relay) logHalls(before, next map[string]bool) {
	for _, h := range slices.Sorted(maps.Keys(next)) {
		if !before[h] {
			r.o.Book.Log.Belief("hall evacuated", zap.String("hall", h))
		}
	}
	for _, h := range slices.Sorted(maps.Keys(before)) {
		if !next[h] {
			r.o.Book.Log.Belief("hall taken back", zap.String("hall", h))
		}
	}
}

// regionOf is the region of a hall.
func (f *fleet) regionOf(hall string) string {
	if region, named := f.halls[hall]; named {
		return region
	}
	return f.region
}

// inServedRegion says that this box may send requests to an endpoint: its region is the box's own, or named by
// a route or an account. Boxes tell each other of endpoints only within their region, so that all which
// send to one know what is there. With the engines of three regions before boxes that thought them near, two thirds of what an engine had was known to nobody
// else: 15% of the streams on a day without a fault at engines were displaced, and 1,012 thousand
// prompt tokens read twice. The lock is held.
func (f *fleet) inServedRegion(e *knownEndpoint, named map[string]bool) bool {
	return e.Region == f.region || named[e.Region]
}

// regions are those that routes and accounts name.
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

// servingRegions lists the regions in which each service has an endpoint that takes requests.
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

// regionFor picks the region for a request of a service among those allowed: the box's own if it has an
// endpoint that takes requests, and otherwise one that has. Boxes choose differently among several.
// It is the box's own too where none has, and ok is false if that is not allowed.
func (f *fleet) regionFor(service string, allowed []string) (region string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	own := slices.Contains(allowed, f.region)
	if own && f.servingRegions[service][f.region] {
		return f.region, true
	}
	most := uint64(0)
	for _, name := range allowed {
		if rank := xxhash.Sum64String(f.box + " " + name); f.servingRegions[service][name] && (!ok || rank > most) {
			region, most, ok = name, rank, true
		}
	}
	if !ok && own {
		return f.region, true
	}
	return region, ok
}

// allowedRegions are those in which the request may be served: where its route and its account both
// name regions, those that both name.
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

// findRegion picks the request's region. Where only other regions may serve it and none does, it is
// refused at once: to wait would not help it.
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
