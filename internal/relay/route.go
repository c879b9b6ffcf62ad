package relay

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Sort puts the routes in the order in which RouteFor looks at them: longer prefixes
// come first. Whoever makes a Config calls it once.
func (c *Config) Sort() {
	slices.SortStableFunc(c.Routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
}

// has tells whether a route of that name is configured.
func (c *Config) has(route string) bool {
	return slices.ContainsFunc(c.Routes, func(r *Route) bool { return r.Name == route })
}

// RouteFor finds the route of a host whose prefix begins the path and is longest.
func (c *Config) RouteFor(host, path string) *Route {
	host = hostOnly(host)
	for _, r := range c.Routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostOnly is a host without its port, if it has one.
func hostOnly(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// repeats says whether a request of the route may run more than once.
func (r *Route) repeats() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// returningPatienceShare is the part of the longest patience seen below which a caller is taken for
// one that was refused before: it has spent the rest on its earlier try.
const returningPatienceShare = 0.97

// isReturning tells whether a caller that will wait so long has tried before. Callers of
// one route have the same patience, and the time of a refused try is gone from it.
func (r *Route) isReturning(patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	for {
		longest := r.patience.Load()
		if int64(patience) <= longest {
			return float64(patience) < returningPatienceShare*float64(longest)
		}
		if r.patience.CompareAndSwap(longest, int64(patience)) {
			return false
		}
	}
}

// pick chooses the service for a request. It depends on the request's id alone, so
// that every try of the request in every box comes to the same service.
func (r *Route) pick(id string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	const whole = 1 << 53
	at := float64(xxhash.Sum64String(id)%whole) / whole * total
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return ""
}
