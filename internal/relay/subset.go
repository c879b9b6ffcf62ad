package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file bounds the endpoints that a box deals with. Where a service has thousands, each box knows
// some of each role, drawn by rendezvous hashing, more of its own hall than of others: what it keeps,
// works out, asks and connects to does not grow with the fleet, and all but one endpoint in a hundred are
// known to some box. A service with few endpoints is known whole. A box that finds no room widens its
// circle.
//
// Weighed against knowing all (10 million pairs at 1,000 boxes before 10,000 endpoints: each change of
// the list had every box sort 138,000 points of the prefix ring) and against sums by hall, with a call
// to a home for each placement, which serve nobody while the home is away.

const (
	// subsetNear and farKept are how many endpoints of a service and role a box keeps of its own hall
	// and of others. A decision looks at 8 engines of a role, and a third of a hall may be gone.
	subsetNear = 32
	subsetFar  = 16
	// retainFor is for how long an endpoint stays that is not drawn any more: longer than a stream
	// runs, which would otherwise be moved as if its engine left.
	retainFor = time.Minute
	// subsetGrowInterval is the least time between two widenings of a circle, and narrowAfter how long after
	// the last one it is halved.
	subsetGrowInterval = 500 * time.Millisecond
	subsetShrinkAfter  = 30 * time.Second
)

// group is what the endpoints that stand for each other have alike.
type group struct {
	service, region string
	role            decide.EngineRole // Of engines.
}

// subsetScale is how many times the usual number of a service's endpoints a box keeps.
type subsetScale struct {
	factor  int // At least 1.
	grownAt time.Time
}

// subset describes the endpoints that this box deals with, and counts the others that take requests. It
// looks at every endpoint of the list but keeps something of few: a description of each of 10,000 was
// 1.7 MB of garbage at each change. The lock is held.
func (f *fleet) subset(now time.Time) []knownEndpoint {
	named := f.cfg.regions()
	groups := f.groups(named)
	for id := range f.selected {
		f.retain(id, now) // Also where it is not drawn any more.
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

// groups sorts the endpoints that take requests, and to which this box may send some, by what they stand
// for each other in. The lock is held.
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

func (e *knownEndpoint) group() group { return group{e.Service, e.Region, e.Role} }

// retain notes that an endpoint is dealt with now.
func (f *fleet) retain(id string, now time.Time) {
	if f.retainedAt == nil {
		f.retainedAt = map[string]time.Time{}
	}
	f.retainedAt[id] = now
}

// selectMembers picks the endpoints of a group that this box keeps.
func (f *fleet) selectMembers(members []int, c subsetScale) []int {
	near, far := subsetNear*max(1, c.factor), subsetFar*max(1, c.factor)
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
	// What one side lacks the other makes up for.
	nOwn := min(len(own.list), max(near, near+far-len(others.list)))
	nOthers := min(len(others.list), near+far-nOwn)
	var out []int
	for _, r := range append(own.list[:nOwn:nOwn], others.list[:nOthers]...) {
		out = append(out, r.index)
	}
	return out
}

// rankedEndpoint is an endpoint, by its place in the list, with its rank for this box.
type rankedEndpoint struct {
	index int
	rank  uint64
}

// topRanked keeps the endpoints of the topRanked ranks, the topRanked first.
type topRanked struct {
	limit int
	list  []rankedEndpoint
}

func (h *topRanked) add(r rankedEndpoint) {
	if len(h.list) == h.limit {
		if h.list[h.limit-1].rank >= r.rank {
			return
		}
		h.list = h.list[:h.limit-1]
	}
	at, _ := slices.BinarySearchFunc(h.list, r, func(a, b rankedEndpoint) int { return cmp.Compare(b.rank, a.rank) })
	h.list = slices.Insert(h.list, at, r)
}

// engineCount is how many engines a service has in this box's region that take requests, and the part
// of them that the box deals with.
func (f *fleet) engineCount(service string) (all int, part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.engineCounts[service]
	all = kept
	for _, role := range []decide.EngineRole{decide.Prefill, decide.Decode} {
		all += f.omitted[group{service, f.region, role}]
	}
	return all, float64(kept) / float64(max(1, all))
}

// isPartial says that there are endpoints of a service which take requests and that the box does not deal with.
// The lock is held.
func (f *fleet) isPartial(service string) bool {
	for g, n := range f.omitted {
		if g.service == service && n > 0 {
			return true
		}
	}
	return false
}

// growSubset has the box deal with twice as many endpoints of a service, unless it knows all.
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
	r.m.Widened.Inc()
	r.applyFleet()
}

// inSubset says whether the box keeps an endpoint.
func (f *fleet) inSubset(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, kept := f.retainedAt[id]
	return f.selected[id] || kept
}

// shrinkSubsets halves the circles that were not widened for a while. The lock is held.
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

// adopt has the box deal with an engine because others ask it, as the engine's home, for room there.
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

// isCapacityRefusal are the refusals that a wider circle might have served.
func isCapacityRefusal(r outcome.Reason) bool {
	switch r {
	case outcome.NoPrefill, outcome.NoDecode, outcome.TooLate, outcome.WaitExpired, outcome.QueueFull, outcome.ConnectFailed, outcome.EndpointsThrottled, outcome.EndpointRefused:
		return true
	}
	return false
}
