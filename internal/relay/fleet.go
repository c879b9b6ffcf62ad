package relay

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// Assumed speeds of engines. The platform does not publish the speeds. Load reports and answers correct the
// assumptions.
const (
	// assumedSelfPrefillShare is the speed at which a decode engine prefills a prompt while it generates other answers,
	// as a share of assumedPrefillRate.
	assumedSelfPrefillShare = 0.4
	assumedPrefillRate      = 50_000.0 // Prompt tokens a second.
	assumedStep             = 600 * time.Microsecond
	assumedStepPerStream    = 20 * time.Microsecond
)

// fleet is what the box knows of the endpoints, from its configuration, the platform's list and the engines' reports.
type fleet struct {
	// box, hall, region and halls are settings of the box: its name and location, and the region of each hall.
	box    string
	hall   string
	region string
	halls  map[string]string
	// hasAnnouncedLeaving reports whether an endpoint has announced, in an answer to this box, that it will stop soon.
	hasAnnouncedLeaving func(id string) bool

	// byAddress has the endpoints of the list by address. It is replaced with each list, and never changed.
	byAddress atomic.Pointer[map[string]listedAt]

	mu        sync.Mutex
	cfg       *Config
	endpoints []Endpoint
	// index maps the ID of each endpoint to its position in endpoints.
	index map[string]int
	// cellCounts is the number of cells of each service and region. A cell is a group of endpoints whose slots one box
	// grants.
	cellCounts map[serviceRegion]int
	// removed are the endpoints that were recently removed from the list, by ID.
	removed map[string]removedEndpoint
	// roles are the engines' roles in the list and in their own reports, by ID.
	roles map[string]knownRole
	// refusalPolledAt is when an engine was last polled because it had refused a request, by ID.
	refusalPolledAt map[string]time.Time
	// selected are the IDs of the endpoints that the last computation of the subset selected.
	selected map[string]bool
	// retainedAt is when an endpoint was last in use, by ID. An endpoint that a new computation of the subset does not
	// select again was in use until then. An engine that this box owns is in use whenever another box asks this box for
	// room, which is free engine memory. The owner of an engine is the box that grants the engine's room to the streams
	// of all boxes.
	retainedAt map[string]time.Time
	// omitted counts, for each group, the endpoints that accept requests but are not in the box's subset.
	omitted map[group]int
	// subsetScales has the services whose subset is enlarged.
	subsetScales map[string]subsetScale
	// engineList are the engines that this box may send requests to. applyFleet computes a new list each time, and
	// never changes an old one.
	engineList []Endpoint
	// engineCounts is the number of engines in engineList for each service.
	engineCounts map[string]int
	// servingRegions has, for each service, the regions with an endpoint of the service that accepts requests.
	servingRegions map[string]map[string]bool
	// superseded are the engines of the list that have restarted, as their own reports say. The list does not show the new
	// start yet, nor its build. The value is set for those that get no streams, because several builds serve.
	superseded map[string]bool
	// cold are the endpoints that have a cold period, after a start or after an evacuation, by ID.
	cold map[string]*coldEndpoint
	// evacuated are the data halls that are evacuated. The endpoints of these halls get no new requests.
	evacuated map[string]bool
	// lastReports has, by engine ID, when this box last polled the engine's load or last got it from another box. An
	// engine whose load is not known yet has an entry with listedOnly.
	lastReports map[string]lastReport
	// buildSeenAt has when the builds of each service and region were last on a list, and listSetAt when the present list
	// was set.
	buildSeenAt map[buildKey]time.Time
	listSetAt   time.Time
	// rounds counts, for each service, the rounds of load polls (pollSchedule).
	rounds map[string]roundCount
}

// knownRole is an engine's role in the list and in its own reports.
type knownRole struct {
	// listed is the role that the list has shown since listedAt.
	listed   decide.EngineRole
	listedAt time.Time
	// reported is the role that the engine reported after listedAt; valid only if hasReport is set.
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
	isListed := func(id string) bool { _, listed := next[id]; return listed }
	r.notices.Expire(clock.Now(), isListed)
	r.starts.keep(isListed)
	r.logList(old, index, list, next)
	r.applyFleet()
	r.listed.Store(true)
}

// replaceEndpoints replaces the list of endpoints. f.mu is held.
func (f *fleet) replaceEndpoints(list []Endpoint) {
	before, beforeIndex := f.endpoints, f.index
	f.endpoints = list
	f.index = make(map[string]int, len(list))
	byAddress := make(map[string]listedAt, len(list))
	for i, e := range list {
		f.index[e.ID] = i
		byAddress[e.Address] = listedAt{e.ID, e.Hall, e.Service, e.Started}
	}
	f.byAddress.Store(&byAddress)
	f.countCells()
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
	maps.DeleteFunc(f.superseded, func(id string, _ bool) bool { _, stays := f.index[id]; return !stays })
	f.updateCold(now, before, beforeIndex)
	f.noteBuilds(now)
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

// buildOf returns the build of an endpoint that a request was sent to; empty if it is not known.
func (f *fleet) buildOf(id string) string {
	e, _ := f.findCalled(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, restarted := f.superseded[id]; restarted {
		return ""
	}
	return e.Build
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

// applyListedRoles applies the roles of a new list. If the list shows another role of an engine than before, that role
// replaces what the engine has reported. f.mu is held.
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

// applyReportedRole applies the role that an engine reported at a time, and returns whether the role in use changes. A
// box that cannot reach the platform's store has an old list. Without the report it would, for many seconds, send an
// engine requests that the engine refuses.
//
// Example: the list has shown the decode role since 10.0 s, and the engine was ordered to prefill at 12.0 s. If the
// engine reports the prefill role at 13.1 s, the report is used until the list shows a change. If it reported the
// prefill role at 9.5 s, the report is older than what the list shows and is ignored.
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

// role returns the role in use.
func (k knownRole) role() decide.EngineRole {
	if k.hasReport {
		return k.reported
	}
	return k.listed
}

// applyFleet recomputes the box's subset of the endpoints, and passes it to the decision core and the plain table. It
// also updates the endpoints of the cells for which this box grants slots.
func (r *Relay) applyFleet() {
	r.applySubset()
	r.publishServing()
	r.refreshCells(true)
}

func (r *Relay) applySubset() {
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

// subscribeEngines asks the other boxes for messages about the engines in this box's subset. If the subset has all
// engines that accept requests, it asks for messages about all engines. r.fleet.mu is held.
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

// describeEngines converts the engines in the subset for the decision core, returns them with their addresses, and
// updates engineList. f.mu is held.
func (f *fleet) describeEngines(known []knownEndpoint) (decide.Fleet, map[string]string) {
	f.engineList, f.engineCounts = nil, map[string]int{}
	var out decide.Fleet
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.cfg.Services)) {
		if s := f.cfg.Services[name]; s.Engines != nil {
			out.Pools = append(out.Pools, decide.Pool{Name: name, KVBytesPerToken: s.Engines.KVBytesPerToken, PrefillExpiry: s.Engines.HandleTTL,
				SelfPrefillRatio: assumedSelfPrefillShare, ForecastsMemory: true, Migrates: s.Engines.Migratable, EstimatesSpeed: true,
				UnlistedEngines: [2]int{f.omittedEngines(name, decide.Prefill), f.omittedEngines(name, decide.Decode)}})
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
			Name: e.ID, Pool: e.Service, Region: e.Region, Hall: e.Hall, Role: e.Role, Build: e.Build, Leaving: e.Leaving, Evacuated: e.Evacuated, Cold: e.Cold,
			PrefillRate: assumedPrefillRate, KVTokens: s.Engines.KVTokens, Slots: s.Engines.Slots,
			Step: assumedStep, StepPerStream: assumedStepPerStream, LinkRate: s.Engines.LinkRate,
		})
	}
	return out, addresses
}
