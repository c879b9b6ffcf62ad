package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// Assumed rates of engines, which the platform does not publish. Reports and answers correct them.
const (
	assumedSelfPrefillShare = 0.4      // Share of assumedPrefillRate at which a decode engine processes a prompt between tokens.
	assumedPrefillRate      = 50_000.0 // Prompt tokens a second.
	assumedStep             = 600 * time.Microsecond
	assumedStepPerStream    = 20 * time.Microsecond
)

// fleet is the box's view of the endpoints: the services of the configuration together with the platform's list.
type fleet struct {
	// box, hall, region and halls are settings of the box: its name and location, and the region of each hall.
	box    string
	hall   string
	region string
	halls  map[string]string
	// hasAnnouncedLeaving reports whether an endpoint has announced in an answer that it leaves.
	hasAnnouncedLeaving func(id string) bool

	mu        sync.Mutex
	cfg       *Config
	endpoints []Endpoint
	// index is the position of each endpoint in endpoints, by ID.
	index map[string]int
	// removed are endpoints that were recently removed from the list, by ID.
	removed map[string]removedEndpoint
	// roles are the listed and reported roles of engines, by ID.
	roles map[string]knownRole
	// refusalPolledAt is when an engine was last polled because it refused a request.
	refusalPolledAt map[string]time.Time
	// selected are the endpoints that the last selection chose, by ID. retainedAt is when an endpoint was last in the
	// selection before, or when this box was last asked for room there as its owner. omitted counts the endpoints that
	// accept requests and are not in the box's subset, and subsetScales has the services whose subset is enlarged.
	selected     map[string]bool
	retainedAt   map[string]time.Time
	omitted      map[group]int
	subsetScales map[string]subsetScale
	// engineList are the engines that this box may send requests to, as of applyFleet. It is immutable once made.
	engineList []Endpoint
	// engineCounts is the number of engines in engineList for each service.
	engineCounts map[string]int
	// servingRegions are the regions in which a service has an endpoint that accepts requests.
	servingRegions map[string]map[string]bool
	// cold are the endpoints that have just started, by ID.
	cold map[string]*coldEndpoint
	// evacuated are the data halls whose endpoints get no new requests.
	evacuated map[string]bool
	// lastReports has the time of the last poll or load of each engine, from this box or another.
	lastReports map[string]lastReport
	// rounds counts the polling rounds of each service.
	rounds map[string]roundCount
}

// knownRole is an engine's role as listed and as reported by the engine.
type knownRole struct {
	// listed is the role that the list shows since a time.
	listed   decide.EngineRole
	listedAt time.Time
	// reported is the role that the engine reported later; valid only with hasReport.
	reported  decide.EngineRole
	hasReport bool
}

// SetMaxWaiting changes how many streams may wait on this box.
func (r *Relay) SetMaxWaiting(n int) { r.disp.SetMaxWaiting(n) }

func (f *fleet) setConfig(c *Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cfg = c
}

// SetEndpoints replaces the list of endpoints.
func (r *Relay) SetEndpoints(list []Endpoint) {
	r.fleet.mu.Lock()
	old, index := r.fleet.endpoints, r.fleet.index
	r.fleet.replaceEndpoints(list)
	r.fleet.applyListedRoles(clock.Now())
	next := r.fleet.index
	r.fleet.mu.Unlock()
	r.notices.Expire(clock.Now(), func(id string) bool { _, listed := next[id]; return listed })
	r.logList(old, index, list, next)
	r.applyFleet()
	r.listed.Store(true)
}

// replaceEndpoints replaces the endpoints. f.mu is held.
func (f *fleet) replaceEndpoints(list []Endpoint) {
	before := f.endpoints
	f.endpoints = list
	f.index = make(map[string]int, len(list))
	for i, e := range list {
		f.index[e.ID] = i
	}
	now := clock.Now()
	maps.DeleteFunc(f.removed, func(_ string, g removedEndpoint) bool { return now.Sub(g.removedAt) > removedTTL })
	for _, e := range before {
		if _, stays := f.index[e.ID]; !stays {
			if f.removed == nil {
				f.removed = map[string]removedEndpoint{}
			}
			f.removed[e.ID] = removedEndpoint{e, now}
		}
	}
	f.updateCold(now)
}

// removedEndpoint is an endpoint with the time at which it was removed from the list.
type removedEndpoint struct {
	Endpoint
	removedAt time.Time
}

// removedTTL is how long a removed endpoint is remembered: longer than a request runs.
const removedTTL = 30 * time.Second

// findCalled finds an endpoint that a request was sent to, even if it has been removed from the list since.
func (f *fleet) findCalled(id string) (e Endpoint, known bool) {
	if e, listed := f.endpoint(id); listed {
		return e, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g, known := f.removed[id]
	return g.Endpoint, known
}

// endpoint finds an endpoint by its ID.
func (f *fleet) endpoint(id string) (e Endpoint, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed := f.index[id]
	if listed {
		e = f.endpoints[i]
	}
	return e, listed
}

// hasAddress reports whether an endpoint is listed at an address.
func (f *fleet) hasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.endpoints, func(e Endpoint) bool { return e.Address == address })
}

// applyListedRoles applies the roles of a new list. A role that the list has changed takes precedence over an
// earlier report of the engine. f.mu is held.
func (f *fleet) applyListedRoles(now time.Time) {
	if f.roles == nil {
		f.roles = make(map[string]knownRole, len(f.endpoints))
	}
	for _, e := range f.endpoints {
		if k, known := f.roles[e.ID]; !known || k.listed != e.Role {
			f.roles[e.ID] = knownRole{listed: e.Role, listedAt: now}
		}
	}
	if len(f.roles) == len(f.endpoints) {
		return // No engine was removed.
	}
	isRemoved := func(id string) bool { _, stays := f.index[id]; return !stays }
	maps.DeleteFunc(f.roles, func(id string, _ knownRole) bool { return isRemoved(id) })
	maps.DeleteFunc(f.refusalPolledAt, func(id string, _ time.Time) bool { return isRemoved(id) })
	maps.DeleteFunc(f.lastReports, func(id string, _ lastReport) bool { return isRemoved(id) })
}

// applyReportedRole applies the role that an engine reported, as of a time, and reports whether that changes the
// role in use. A box that cannot reach the store has an old list, and would otherwise send an engine requests that
// it refuses for many seconds.
//
// Example: the list showed the decode role at 10.0 s, and the engine was ordered to prefill at 12.0. A report of
// 13.1 with the prefill role is used until the list shows a change; a report of 9.5 with the prefill role is older
// than the list and is ignored.
func (f *fleet) applyReportedRole(id string, role decide.EngineRole, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, known := f.roles[id]
	if !known || at.Before(k.listedAt) {
		return false
	}
	before := k.role()
	k.reported, k.hasReport = role, true
	f.roles[id] = k
	return before != role
}

func (k knownRole) role() decide.EngineRole {
	if k.hasReport {
		return k.reported
	}
	return k.listed
}

// applyFleet passes the box's view of the fleet to the decision core.
func (r *Relay) applyFleet() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.cfg == nil {
		return
	}
	now := clock.Now()
	r.fleet.shrinkSubsets(now)
	known := r.fleet.subset(now)
	r.setCold(now, known)
	r.fleet.servingRegions = servingRegions(known)
	out, addresses := r.fleet.describeEngines(known)
	r.disp.SetFleet(out, addresses)
	r.subscribeEngines(out.Engines)
	r.plain.set(known)
	keep := map[string]bool{}
	for _, e := range known {
		keep[e.Address] = true
	}
	r.callerPool.Prune(now, keep)
	r.controlPool.Prune(now, keep)
}

// subscribeEngines asks the other boxes for messages about the engines in this box's subset, or about all engines
// if no engine that accepts requests is omitted from it. The lock is held.
func (r *Relay) subscribeEngines(engines []decide.Engine) {
	if r.o.Peers == nil {
		return
	}
	partial := false
	for name, s := range r.fleet.cfg.Services {
		partial = partial || s.Engines != nil && r.fleet.isPartial(name)
	}
	if !partial {
		r.o.Peers.SetInterest(nil)
		return
	}
	names := make([]string, len(engines))
	for i := range engines {
		names[i] = engines[i].Name
	}
	r.o.Peers.SetInterest(names)
}

// describeEngines returns the decision core's view of the engines and their addresses, and updates engineList.
func (f *fleet) describeEngines(known []knownEndpoint) (decide.Fleet, map[string]string) {
	f.engineList, f.engineCounts = nil, map[string]int{}
	var out decide.Fleet
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.cfg.Services)) {
		if s := f.cfg.Services[name]; s.Engines != nil {
			out.Pools = append(out.Pools, decide.Pool{Name: name, KVBytesPerToken: s.Engines.KVBytesPerToken, PrefillExpiry: s.Engines.HandleTTL,
				SelfPrefillRatio: assumedSelfPrefillShare, ForecastsMemory: true, Migrates: s.Engines.Migratable, EstimatesSpeed: true,
				UnlistedEngines: [2]int{f.omitted[group{name, f.region, decide.Prefill}], f.omitted[group{name, f.region, decide.Decode}]}})
		}
	}
	for _, e := range known {
		s := f.cfg.Services[e.Service]
		if s == nil || s.Engines == nil {
			continue
		}
		addresses[e.ID] = e.Address
		if !e.Evacuated {
			f.engineList = append(f.engineList, e.Endpoint)
			f.engineCounts[e.Service]++
		}
		out.Engines = append(out.Engines, decide.Engine{
			Name: e.ID, Pool: e.Service, Region: e.Region, Hall: e.Hall, Role: e.Role, Leaving: e.Leaving, Evacuated: e.Evacuated, Cold: e.Cold,
			PrefillRate: assumedPrefillRate, KVTokens: s.Engines.KVTokens, Slots: s.Engines.Slots,
			Step: assumedStep, StepPerStream: assumedStepPerStream, LinkRate: s.Engines.LinkRate,
		})
	}
	return out, addresses
}
