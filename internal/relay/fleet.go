package relay

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
)

// What the platform does not say of its engines. Reports and answers correct them.
const (
	assumedSelfPrefillShare = 0.4      // Of that, where a decode engine reads between tokens.
	assumedPrefillRate      = 50_000.0 // Prompt tokens a second.
	assumedStep             = 600 * time.Microsecond
	assumedStepPerStream    = 20 * time.Microsecond
)

// fleet is what the box knows of the endpoints: the configuration's view of their
// services together with the platform's list.
type fleet struct {
	// box, hall, region and halls are the settings': this box, where it is, and the regions of halls.
	box    string
	hall   string
	region string
	halls  map[string]string
	// left says that an endpoint has said in an answer that it leaves.
	left func(id string) bool

	mu        sync.Mutex
	cfg       *Config
	endpoints []Endpoint
	// index is where an endpoint stands in endpoints, by its ID.
	index map[string]int
	// removed are endpoints that were on the list lately, by their IDs.
	removed map[string]removedEndpoint
	// roles is what is known of engines' roles beside the list, by their IDs.
	roles map[string]knownRole
	// refusalPolledAt is when an engine was last asked why it turned a request away.
	refusalPolledAt map[string]time.Time
	// selected are the endpoints that this box drew last, by ID, and keptAt is when it last dealt with
	// one that it drew before or was asked for. beyond counts the endpoints that
	// take requests and that it does not deal with, and circles are the services of which it keeps
	// more than usual.
	selected     map[string]bool
	retainedAt   map[string]time.Time
	omitted      map[group]int
	subsetScales map[string]subsetScale
	// engineList are the engines that this box may send something to, as of applyFleet. Nothing
	// changes it once it is made.
	engineList []Endpoint
	// engineCounts are how many of them each service has.
	engineCounts map[string]int
	// servingRegions are the regions in which a service has an endpoint that takes requests.
	servingRegions map[string]map[string]bool
	// cold are the endpoints that have just started, by their IDs.
	cold map[string]*coldEndpoint
	// evacuated are the data halls whose endpoints get nothing new.
	evacuated map[string]bool
	// lastReports is when an engine was last asked for its load, or others were lastReports to have.
	lastReports map[string]lastReport
	// rounds count, for each service, how often all of its engines might have been asked.
	rounds map[string]roundCount
}

// knownRole is what an engine itself said of its role.
type knownRole struct {
	// listed is the role that the list shows, since a time.
	listed decide.EngineRole
	since  time.Time
	// reported is the role that the engine reported later; only with said.
	reported  decide.EngineRole
	hasReport bool
}

// SetQueue changes how many streams may wait on this box.
func (r *Relay) SetQueue(n int) { r.disp.SetQueue(n) }

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
	r.notices.Keep(clock.Now(), func(id string) bool { _, listed := next[id]; return listed })
	r.logList(old, index, list, next)
	r.applyFleet()
	r.listed.Store(true)
}

// replaceEndpoints replaces the endpoints. The lock is held.
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

// removedEndpoint is an endpoint that was taken off the list at a time.
type removedEndpoint struct {
	Endpoint
	removedAt time.Time
}

// removedTTL is for how long an endpoint is remembered that was taken off the list: longer than a request runs.
const removedTTL = 30 * time.Second

// findCalled finds an endpoint that a request was sent to, also one that has left the list since.
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

// hasAddress says whether an endpoint is listed hasAddress an address.
func (f *fleet) hasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.endpoints, func(e Endpoint) bool { return e.Address == address })
}

// applyListedRoles takes the roles of a new list. One that the list has changed counts, whatever
// the engine said before. The lock is held.
func (f *fleet) applyListedRoles(now time.Time) {
	if f.roles == nil {
		f.roles = make(map[string]knownRole, len(f.endpoints))
	}
	for _, e := range f.endpoints {
		if k, known := f.roles[e.ID]; !known || k.listed != e.Role {
			f.roles[e.ID] = knownRole{listed: e.Role, since: now}
		}
	}
	if len(f.roles) == len(f.endpoints) {
		return // None is gone.
	}
	isGone := func(id string) bool { _, stays := f.index[id]; return !stays }
	maps.DeleteFunc(f.roles, func(id string, _ knownRole) bool { return isGone(id) })
	maps.DeleteFunc(f.refusalPolledAt, func(id string, _ time.Time) bool { return isGone(id) })
	maps.DeleteFunc(f.lastReports, func(id string, _ lastReport) bool { return isGone(id) })
}

// applyReportedRole takes the role that an engine reported, as of a time, and returns whether
// that changes what is known. A box that the store does not reach has an old list, and would
// send an engine for many seconds what it turns away.
//
// Example: the list said at 10.0 s that an engine writes, and the engine was ordered at 12.0
// to read. A report of 13.1 that says so counts until the list shows a change; one of 9.5
// that still says that it reads is older than the list and does not.
func (f *fleet) applyReportedRole(id string, role decide.EngineRole, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k, known := f.roles[id]
	if !known || at.Before(k.since) {
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

// applyFleet hands what is known to the decisions.
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
	r.sidePool.Prune(now, keep)
}

// subscribeEngines has the other boxes tell this one of the engines that it deals with; of all where it deals
// with every engine that takes requests. The lock is held.
func (r *Relay) subscribeEngines(engines []decide.Engine) {
	if r.o.Others == nil {
		return
	}
	partial := false
	for name, s := range r.fleet.cfg.Services {
		partial = partial || s.Engines != nil && r.fleet.isPartial(name)
	}
	if !partial {
		r.o.Others.WantFacts(nil)
		return
	}
	names := make([]string, len(engines))
	for i := range engines {
		names[i] = engines[i].Name
	}
	r.o.Others.WantFacts(names)
}

// describeEngines describes the describeEngines and where they are, and keeps the list of those that may be asked.
func (f *fleet) describeEngines(known []knownEndpoint) (decide.Fleet, map[string]string) {
	f.engineList, f.engineCounts = nil, map[string]int{}
	var out decide.Fleet
	addresses := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(f.cfg.Services)) {
		if s := f.cfg.Services[name]; s.Engines != nil {
			out.Pools = append(out.Pools, decide.Pool{Name: name, KVBytesPerToken: s.Engines.TokenBytes, PrefillExpiry: s.Engines.HandleFor,
				SelfRead: assumedSelfPrefillShare, Foresee: true, Migrates: s.Engines.Moves, Learns: true,
				Beyond: [2]int{f.omitted[group{name, f.region, decide.Prefill}], f.omitted[group{name, f.region, decide.Decode}]}})
		}
	}
	for _, e := range known {
		s := f.cfg.Services[e.Service]
		if s == nil || s.Engines == nil {
			continue
		}
		addresses[e.ID] = e.Address
		if !e.Closed {
			f.engineList = append(f.engineList, e.Endpoint)
			f.engineCounts[e.Service]++
		}
		out.Engines = append(out.Engines, decide.Engine{
			Name: e.ID, Pool: e.Service, Region: e.Region, Hall: e.Hall, Role: e.Role, Leaving: e.Leaving, Closed: e.Closed, Cold: e.Cold,
			PrefillRate: assumedPrefillRate, KVTokens: s.Engines.KVTokens, Slots: s.Engines.Slots,
			Step: assumedStep, StepPerStream: assumedStepPerStream, LinkRate: s.Engines.LinkRate,
		})
	}
	return out, addresses
}
