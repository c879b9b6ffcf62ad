package relay

import (
	"slices"
	"time"
)

// This file says at which service of a split route a stream began that its caller takes up. The weights of the route may have
// changed since. The origin of the stream names the service. If no box knows the origin, the stream may have begun at any service that
// the former weights pick.

// splitTime is for how long callers may come back with streams that began under earlier weights.
const splitTime = 5 * time.Minute

// maxFormerSplits bounds the former targets that are remembered for a route. The oldest give way.
const maxFormerSplits = 32

// formerTargets are the targets that a route had, in effect until a time at which no caller comes back any more.
type formerTargets struct {
	targets []Target
	until   time.Time
}

// splitHistory has the former targets of routes by the routes' names. It is immutable once stored.
type splitHistory map[string][]formerTargets

// updated returns the history once the configuration next has replaced old, which may be nil.
func (h splitHistory) updated(old, next *Config, now time.Time) splitHistory {
	out := splitHistory{}
	for name, list := range h {
		list = slices.DeleteFunc(slices.Clone(list), func(f formerTargets) bool { return !f.until.After(now) })
		if len(list) > 0 {
			out[name] = list
		}
	}
	if old == nil {
		return out
	}
	for _, r := range next.Routes {
		i := slices.IndexFunc(old.Routes, func(o *Route) bool { return o.Name == r.Name })
		if i < 0 || slices.Equal(old.Routes[i].Targets, r.Targets) {
			continue
		}
		list := append(slices.Clone(out[r.Name]), formerTargets{old.Routes[i].Targets, now.Add(splitTime)})
		out[r.Name] = list[max(0, len(list)-maxFormerSplits):]
	}
	return out
}

// servicesOf returns the services at which a stream of a route may have begun, that of the present weights first.
func (h splitHistory) servicesOf(r *Route, id string, now time.Time) []string {
	out := []string{r.pick(id)}
	for _, f := range h[r.Name] {
		former := Route{Targets: f.targets}
		if s := former.pick(id); f.until.After(now) && !slices.Contains(out, s) {
			out = append(out, s)
		}
	}
	return out
}

// takeService has the request served by another service of its route, at which the stream began that it takes up. It returns false if
// the route or the configuration no longer has the service, or no region may serve it.
func (x *exchange) takeService(name string) bool {
	s := x.cfg.Services[name]
	if s == nil || s.Engines == nil || !slices.ContainsFunc(x.route.Targets, func(t Target) bool { return t.Service == name }) {
		return false
	}
	x.service = s
	_, ok := x.findRegion()
	return ok
}
