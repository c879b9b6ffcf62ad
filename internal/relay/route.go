package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/retry"
)

// Sort orders the routes as RouteFor needs them: routes with longer prefixes come first. It must be called once after a
// Config is made.
func (c *Config) Sort() {
	slices.SortStableFunc(c.Routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// has reports whether a route with a name is configured.
func (c *Config) has(route string) bool {
	return slices.ContainsFunc(c.Routes, func(r *Route) bool { return r.Name == route })
}

// RouteFor returns the route of a host whose path prefix is the longest that matches; nil if no route matches.
func (c *Config) RouteFor(host, path string) *Route {
	host = hostOnly(host)
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostOnly returns a host without its port, if it has a port.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// repeats reports whether a request of the route may run more than once.
func (r *Route) repeats() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// observeCaller learns from the time that the caller will wait, and sets how much it spent on refused attempts before.
// The range of first attempts is not learned from calls that may be of callers who come back: to a contended service, or
// to resume a stream.
func (x *exchange) observeCaller() {
	if all := x.r.callerTimes.Load(); all != nil {
		x.callers = (*all)[x.route.Name]
	}
	x.callers.Observe(x.arrived, x.meta.Timeout, x.meta.LastEvent == "" && !x.contended())
	x.spentBefore = x.callers.SpentBefore(x.meta.Timeout)
}

// isReturning reports whether the caller was probably refused before.
func (x *exchange) isReturning() bool { return x.spentBefore > 0 }

// keepCallerTimes returns what was learned of the callers of each route of a new configuration. A route with the name of
// an old one has the same callers.
func keepCallerTimes(old *map[string]*retry.CallerTimes, c *Config) map[string]*retry.CallerTimes {
	next := make(map[string]*retry.CallerTimes, len(c.Routes))
	for _, r := range c.Routes {
		if old != nil {
			next[r.Name] = (*old)[r.Name]
		}
		if next[r.Name] == nil {
			next[r.Name] = &retry.CallerTimes{}
		}
	}
	return next
}

// splitID returns the id by which a route that is split selects the service of the request. A stream that its caller takes up
// goes on at the service that began it, and there the choice was made by the id of the attempt that began it.
func (x *exchange) splitID() string {
	if x.continues() && x.meta.Resumes != "" {
		return x.meta.Resumes
	}
	return x.meta.ID
}

// pick selects the service for a request. The choice depends only on the id, so that it is the same whichever box receives
// the request.
func (r *Route) pick(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	const scale = 1 << 53
	at := float64(xxhash.Sum64String(id)%scale) / scale * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}
