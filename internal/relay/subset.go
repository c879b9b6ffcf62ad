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
	// nearKept and farKept are how many endpoints of a service and role a box keeps of its own hall
	// and of others. A decision looks at 8 engines of a role, and a third of a hall may be gone.
	nearKept = 32
	farKept  = 16
	// keptFor is for how long an endpoint stays that is not drawn any more: longer than a stream
	// runs, which would otherwise be moved as if its engine left.
	keptFor = time.Minute
	// widenPause is the least time between two widenings of a circle, and narrowAfter how long after
	// the last one it is halved.
	widenPause  = 500 * time.Millisecond
	narrowAfter = 30 * time.Second
)

// group is what the endpoints that stand for each other have alike.
type group struct {
	service, region string
	role            decide.EngineRole // Of engines.
}

// circle is how many times the usual number of a service's endpoints a box keeps.
type circle struct {
	width   int // At least 1.
	widened time.Time
}

// subset describes the endpoints that this box deals with, and counts the others that take requests. It
// looks at every endpoint of the list but keeps something of few: a description of each of 10,000 was
// 1.7 MB of garbage at each change. The lock is held.
func (f *fleet) subset(now time.Time) []knownEndpoint {
	named := f.cfg.regions()
	groups := f.groups(named)
	for id := range f.drawn {
		f.keep(id, now) // Also where it is not drawn any more.
	}
	f.drawn, f.beyond = map[string]bool{}, map[group]int{}
	var kept []int
	for g, members := range groups {
		drawn := f.draw(members, f.circles[g.service])
		kept = append(kept, drawn...)
		for _, i := range drawn {
			f.drawn[f.endpoints[i].ID] = true
		}
		if n := len(members) - len(drawn); n > 0 {
			f.beyond[g] = n
		}
	}
	for id, at := range f.keptAt {
		i, listed := f.index[id]
		if !listed || f.drawn[id] || now.Sub(at) >= keptFor {
			continue
		}
		if e := f.known(i); f.reached(&e, named) {
			kept = append(kept, i)
			if e.open() {
				f.beyond[e.group()]--
			}
		}
	}
	slices.Sort(kept)
	out := make([]knownEndpoint, len(kept))
	for n, i := range kept {
		out[n] = f.known(i)
	}
	return out
}

// groups sorts the endpoints that take requests, and to which this box may send some, by what they stand
// for each other in. The lock is held.
func (f *fleet) groups(named map[string]bool) map[group][]int {
	out := map[group][]int{}
	for i := range f.endpoints {
		if e := f.known(i); e.open() && f.reached(&e, named) {
			g := e.group()
			out[g] = append(out[g], i)
		}
	}
	return out
}

func (e *knownEndpoint) group() group { return group{e.Service, e.Region, e.Role} }

// keep notes that an endpoint is dealt with now.
func (f *fleet) keep(id string, now time.Time) {
	if f.keptAt == nil {
		f.keptAt = map[string]time.Time{}
	}
	f.keptAt[id] = now
}

// draw picks the endpoints of a group that this box keeps.
func (f *fleet) draw(members []int, c circle) []int {
	near, far := nearKept*max(1, c.width), farKept*max(1, c.width)
	if len(members) <= near+far {
		return members
	}
	own, others := highest{most: near + far}, highest{most: near + far}
	var name []byte
	for _, i := range members {
		e := &f.endpoints[i]
		name = append(append(append(name[:0], f.box...), ' '), e.ID...)
		if r := (ranked{i, xxhash.Sum64(name)}); e.Hall == f.hall {
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
		out = append(out, r.i)
	}
	return out
}

// ranked is an endpoint, by its place in the list, with its rank for this box.
type ranked struct {
	i    int
	rank uint64
}

// highest keeps the endpoints of the highest ranks, the highest first.
type highest struct {
	most int
	list []ranked
}

func (h *highest) add(r ranked) {
	if len(h.list) == h.most {
		if h.list[h.most-1].rank >= r.rank {
			return
		}
		h.list = h.list[:h.most-1]
	}
	at, _ := slices.BinarySearchFunc(h.list, r, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
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
		all += f.beyond[group{service, f.region, role}]
	}
	return all, float64(kept) / float64(max(1, all))
}

// inPart says that there are endpoints of a service which take requests and that the box does not deal with.
// The lock is held.
func (f *fleet) inPart(service string) bool {
	for g, n := range f.beyond {
		if g.service == service && n > 0 {
			return true
		}
	}
	return false
}

// widen has the box deal with twice as many endpoints of a service, unless it knows all.
func (r *Relay) widen(now time.Time, service string) {
	f := &r.fleet
	f.mu.Lock()
	c := f.circles[service]
	if !f.inPart(service) || now.Sub(c.widened) < widenPause {
		f.mu.Unlock()
		return
	}
	if f.circles == nil {
		f.circles = map[string]circle{}
	}
	f.circles[service] = circle{2 * max(1, c.width), now}
	f.mu.Unlock()
	r.m.Widened.Inc()
	r.applyFleet()
}

// dealsWith says whether the box keeps an endpoint.
func (f *fleet) dealsWith(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, kept := f.keptAt[id]
	return f.drawn[id] || kept
}

// narrow halves the circles that were not widened for a while. The lock is held.
func (f *fleet) narrow(now time.Time) {
	for service, c := range f.circles {
		if c.width > 1 && now.Sub(c.widened) > narrowAfter {
			f.circles[service] = circle{c.width / 2, now}
		}
	}
	for id, at := range f.keptAt {
		if now.Sub(at) > keptFor {
			delete(f.keptAt, id)
		}
	}
}

// adopt has the box deal with an engine because others ask it, as the engine's home, for room there.
func (r *Relay) adopt(now time.Time, id string) {
	f := &r.fleet
	f.mu.Lock()
	_, listed := f.index[id]
	at, kept := f.keptAt[id]
	if !listed || kept && now.Sub(at) < keptFor/2 {
		f.mu.Unlock()
		return
	}
	f.keep(id, now)
	f.mu.Unlock()
	if !kept {
		r.applyFleet()
	}
}

// lacksRoom are the refusals that a wider circle might have served.
func lacksRoom(r outcome.Reason) bool {
	switch r {
	case outcome.NoPrefill, outcome.NoDecode, outcome.TooLate, outcome.WaitExpired, outcome.QueueFull, outcome.ConnectFailed, outcome.EndpointsThrottled, outcome.EndpointRefused:
		return true
	}
	return false
}
