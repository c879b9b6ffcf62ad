package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file limits the endpoints that a box uses to a subset. If a service has thousands of endpoints, each box selects
// some endpoints of each role by rendezvous hashing. It selects more in its own hall than in other halls. Memory,
// processor time, polls and connections then do not grow with the fleet. All but one endpoint in a hundred are in the
// subset of some box. All endpoints of a small service are selected. A box that finds no capacity enlarges its subset.
//
// There are two alternatives. First, every box could use all endpoints. With 1,000 boxes and 10,000 endpoints that
// makes 10 million pairs of a box and an endpoint. The prefix ring is the hash ring that maps prompt prefixes to
// engines. At each change of the list, every box would also sort 138,000 points of that ring. Second, boxes could know
// only totals for each hall, and ask an owner for each placement. Then no stream could be placed while the owner is
// unavailable.

const (
	// subsetNear is the number of endpoints of a service and role that a box selects in its own hall. subsetFar is the
	// number in all other halls together. A decision compares 8 engines of a role. The numbers are large enough for
	// that even if a third of a hall is down.
	subsetNear = 32
	subsetFar  = 16
	// retainFor is how long an endpoint stays in the subset after it was last selected. That is longer than a stream
	// runs. If the engine of a stream left the subset earlier, the stream would be migrated as if the engine were
	// leaving.
	retainFor = time.Minute
	// subsetGrowInterval is the minimum time between two enlargements of a subset. An enlarged subset is halved when
	// its size has not changed for subsetShrinkAfter.
	subsetGrowInterval = 500 * time.Millisecond
	subsetShrinkAfter  = 30 * time.Second
)

// group identifies endpoints that can take each other's place. A stream that has begun can go on only at an endpoint of its
// build, so each build is a group of its own.
type group struct {
	service, region string
	role            decide.EngineRole // The role of engines.
	build           string
}

// subsetScale is the size of a service's subset, as a multiple of the normal size.
type subsetScale struct {
	factor  int       // At least 1.
	grownAt time.Time // When the size last changed.
}

// subset computes the endpoints that this box uses. It also counts the other endpoints that accept requests (omitted).
// It visits every endpoint of the list but keeps descriptions of few. Keeping a description of each of 10,000 endpoints
// made 1.7 MB of garbage at each change of the list. f.mu is held.
func (f *fleet) subset(now time.Time) []knownEndpoint {
	named := f.cfg.regions()
	groups := f.groups(named)
	for id := range f.selected {
		f.retain(id, now) // Also if it will not be selected again.
	}
	f.selected, f.omitted = map[string]bool{}, map[group]int{}
	var kept []int
	for g, members := range groups {
		selected := f.selectMembers(members, f.subsetScales[g.service])
		kept = append(kept, selected...)
		for _, i := range selected {
			f.selected[f.endpoints[i].ID] = true
		}
		if n := len(members) - len(selected); n > 0 {
			f.omitted[g] = n
		}
	}
	for id, at := range f.retainedAt {
		i, listed := f.index[id]
		if !listed || f.selected[id] || now.Sub(at) >= retainFor {
			continue
		}
		if e := f.describe(i); f.inServedRegion(&e, named) {
			kept = append(kept, i)
			if e.open() {
				f.omitted[e.group()]--
			}
		}
	}
	slices.Sort(kept)
	out := make([]knownEndpoint, len(kept))
	for n, i := range kept {
		out[n] = f.describe(i)
	}
	return out
}

// groups returns the endpoints that accept requests and that this box may use. They are given by group, as positions in
// the list. f.mu is held.
func (f *fleet) groups(named map[string]bool) map[group][]int {
	out := map[group][]int{}
	for i := range f.endpoints {
		if e := f.describe(i); e.open() && f.inServedRegion(&e, named) {
			g := e.group()
			out[g] = append(out[g], i)
		}
	}
	return out
}

func (e *knownEndpoint) group() group { return group{e.Service, e.Region, e.Role, e.Build} }

// retain records that an endpoint is in use now, so that it stays in the subset. f.mu is held.
func (f *fleet) retain(id string, now time.Time) {
	if f.retainedAt == nil {
		f.retainedAt = map[string]time.Time{}
	}
	f.retainedAt[id] = now
}

// selectMembers selects the endpoints of a group that are in this box's subset. Endpoints are given as positions in the
// list. f.mu is held.
func (f *fleet) selectMembers(members []int, scale subsetScale) []int {
	near, far := subsetNear*max(1, scale.factor), subsetFar*max(1, scale.factor)
	if len(members) <= near+far {
		return members
	}
	own, others := topRanked{limit: near + far}, topRanked{limit: near + far}
	var name []byte
	for _, i := range members {
		e := &f.endpoints[i]
		name = append(append(append(name[:0], f.box...), ' '), e.ID...)
		if r := (rankedEndpoint{i, xxhash.Sum64(name)}); e.Hall == f.hall {
			own.add(r)
		} else {
			others.add(r)
		}
	}
	// There are two sides: the own hall, and all other halls. If one side has too few endpoints, more endpoints of the
	// other side are selected.
	nOwn := min(len(own.list), max(near, near+far-len(others.list)))
	nOthers := min(len(others.list), near+far-nOwn)
	var out []int
	for _, r := range append(own.list[:nOwn:nOwn], others.list[:nOthers]...) {
		out = append(out, r.index)
	}
	return out
}

// rankedEndpoint is the position of an endpoint in the list, with the endpoint's rank for this box.
type rankedEndpoint struct {
	index int
	rank  uint64
}

// topRanked keeps the endpoints with the highest ranks, in descending order. It keeps no more than the number in limit.
type topRanked struct {
	limit int
	list  []rankedEndpoint
}

func (t *topRanked) add(r rankedEndpoint) {
	if len(t.list) == t.limit {
		if t.list[t.limit-1].rank >= r.rank {
			return
		}
		t.list = t.list[:t.limit-1]
	}
	at, _ := slices.BinarySearchFunc(t.list, r, func(a, b rankedEndpoint) int { return cmp.Compare(b.rank, a.rank) })
	t.list = slices.Insert(t.list, at, r)
}

// engineCount returns the number of a service's engines that accept requests in this box's region. share is the share
// of these engines that are in the box's subset.
func (f *fleet) engineCount(service string) (all int, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.engineCounts[service]
	all = kept
	for _, role := range []decide.EngineRole{decide.Prefill, decide.Decode} {
		all += f.omittedEngines(service, role)
	}
	return all, float64(kept) / float64(max(1, all))
}

// omittedEngines returns the number of a service's engines of a role that accept requests in this box's region and are not in
// its subset. f.mu is held.
func (f *fleet) omittedEngines(service string, role decide.EngineRole) (n int) {
	for g, k := range f.omitted {
		if g.service == service && g.region == f.region && g.role == role {
			n += k
		}
	}
	return n
}

// isPartial reports whether some endpoints of a service accept requests but are not in the box's subset. f.mu is held.
func (f *fleet) isPartial(service string) bool {
	for g, n := range f.omitted {
		if g.service == service && n > 0 {
			return true
		}
	}
	return false
}

// growSubset doubles the box's subset of a service. It does nothing if the subset already has all endpoints that accept
// requests, or if the size changed within subsetGrowInterval.
func (r *Relay) growSubset(now time.Time, service string) {
	f := &r.fleet
	f.mu.Lock()
	c := f.subsetScales[service]
	if !f.isPartial(service) || now.Sub(c.grownAt) < subsetGrowInterval {
		f.mu.Unlock()
		return
	}
	if f.subsetScales == nil {
		f.subsetScales = map[string]subsetScale{}
	}
	f.subsetScales[service] = subsetScale{2 * max(1, c.factor), now}
	f.mu.Unlock()
	r.m.WidenedSubsets.Inc()
	r.applyFleet()
}

// inSubset reports whether an endpoint is in the box's subset: selected by the last computation, or kept since then.
func (f *fleet) inSubset(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, kept := f.retainedAt[id]
	return f.selected[id] || kept
}

// shrinkSubsets halves each enlarged subset whose size has not changed for subsetShrinkAfter. It also forgets endpoints
// that have not been in use for retainFor. f.mu is held.
func (f *fleet) shrinkSubsets(now time.Time) {
	for service, c := range f.subsetScales {
		if c.factor > 1 && now.Sub(c.grownAt) > subsetShrinkAfter {
			f.subsetScales[service] = subsetScale{c.factor / 2, now}
		}
	}
	for id, at := range f.retainedAt {
		if now.Sub(at) > retainFor {
			delete(f.retainedAt, id)
		}
	}
}

// adopt adds an engine to this box's subset. Another box has asked this box, as the owner of the engine, for room: free
// engine memory, which the owner grants.
func (r *Relay) adopt(now time.Time, id string) {
	f := &r.fleet
	f.mu.Lock()
	_, listed := f.index[id]
	at, kept := f.retainedAt[id]
	if !listed || kept && now.Sub(at) < retainFor/2 {
		f.mu.Unlock()
		return
	}
	f.retain(id, now)
	f.mu.Unlock()
	if !kept {
		r.applyFleet()
	}
}

// isCapacityRefusal reports whether a larger subset might have avoided a refusal with this reason.
func isCapacityRefusal(r outcome.Reason) bool {
	switch r {
	case outcome.NoPrefill, outcome.NoDecode, outcome.BuildGone, outcome.TooLate, outcome.WaitExpired, outcome.QueueFull, outcome.ConnectFailed, outcome.EndpointsThrottled, outcome.EndpointRefused:
		return true
	}
	return false
}
