package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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

// returningTimeoutShare is a share of the longest timeout seen on a route. A caller whose timeout is below that share
// is assumed to have been refused before. It has then spent the missing time on its earlier attempt.
const returningTimeoutShare = 0.97

// isReturning reports whether a caller with this timeout was probably refused before. Callers of one route start with
// the same timeout, and each refused attempt takes time from it.
func (r *Route) isReturning(callerTimeout time.Duration) bool {
	if callerTimeout <= 0 {
		return false
	}
	for {
		longest := r.callerTimeout.Load()
		if int64(callerTimeout) <= longest {
			return float64(callerTimeout) < returningTimeoutShare*float64(longest)
		}
		if r.callerTimeout.CompareAndSwap(longest, int64(callerTimeout)) {
			return false
		}
	}
}

// earlierAttempts returns how much time a returning caller with this timeout has spent on earlier attempts. It is 0 for
// other callers.
func (r *Route) earlierAttempts(callerTimeout time.Duration) time.Duration {
	if !r.isReturning(callerTimeout) {
		return 0
	}
	return time.Duration(r.callerTimeout.Load()) - callerTimeout
}

// pick selects the service for a request. The choice depends only on the request's id, so that each attempt goes to the
// same service, whichever box receives it.
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
