package relay

import (
	"math"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file decides when a plain service is contended: when the calls of all boxes compete for the slots of its
// endpoints. While a service is contended, a box asks for a slot before each call.

const (
	// contendedFor is how long a service stays contended after the last sign of contention.
	contendedFor = 3 * time.Second
	// maxTickGap is the longest time between two calls of tick, which come each second, that does not count as a
	// standstill of this box.
	maxTickGap = 1500 * time.Millisecond
	// contendedPublishInterval is the minimum time between two messages that a service is contended.
	contendedPublishInterval = time.Second
	// A service is contended if the mean latency of this box's calls is over contendedLatencyFactor times its slow
	// minimum, and over it by minLatencyExcess. Asking for a slot takes up to 4 ms between halls, so a smaller excess is
	// not worth it.
	contendedLatencyFactor = 1.9
	minLatencyExcess       = 0.005
	// serviceLatencyWeight is the weight of a call in the mean latency of a service, and smoothLatencyWeight its weight in
	// the mean that the slow minimum follows. Latencies vary by 0.7 of their mean, and the two means by 16% and 7%. The
	// minimum of the first would be so low that a calm service looks contended most of the time. minLatencyCalls is the
	// number of calls before the means are used.
	serviceLatencyWeight = 0.1
	smoothLatencyWeight  = 0.02
	minLatencyCalls      = 20
	// minimumRiseTime is the time constant with which the slow minimum approaches the mean. After a lasting change of
	// the service, the latency is normal again some minutes later.
	minimumRiseTime = time.Minute
)

// serviceRegion identifies the endpoints of a service in a region.
type serviceRegion struct{ service, region string }

// contentions has the state of contention of each service and region.
type contentions struct {
	// enabled is false if this box does not ask for slots. Then no service is contended.
	enabled bool

	mu    sync.Mutex
	state map[serviceRegion]*contention
	// tickedAt is the time of the latest call of tick; zero before the first one.
	tickedAt time.Time
}

// contention is the state of contention of a service in a region.
type contention struct {
	// signAt is the time of the latest sign of contention, and publishedAt the time of the latest message about it.
	signAt, publishedAt time.Time
	// mean and smooth are moving averages of the latency of this box's calls, in seconds. slowMin is the slow minimum of
	// smooth at slowMinAt: it follows smooth down at once, and up with the time constant minimumRiseTime. calls is the
	// number of calls observed, up to minLatencyCalls.
	mean, smooth, slowMin float64
	slowMinAt             time.Time
	calls                 int
	shown                 bool // The metric of the service exists.
}

// tick records, each second, that this box runs. Time in which it stood still does not end the contention of a service: the
// box received no messages about it, and the calls that waited meanwhile would all be sent at once.
func (c *contentions) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stood := now.Sub(c.running(now)); stood > 0 {
		for _, s := range c.state {
			if s.signAt.IsZero() {
				continue
			}
			if s.signAt = s.signAt.Add(stood); s.signAt.After(now) {
				s.signAt = now
			}
		}
	}
	c.tickedAt = now
}

// running returns the time until which this box has run: now, or if it stood still, the time at which that began. c.mu is
// held.
func (c *contentions) running(now time.Time) time.Time {
	if last := c.tickedAt.Add(maxTickGap); !c.tickedAt.IsZero() && now.After(last) {
		return last
	}
	return now
}

// age returns how long this box has run since the latest sign of contention of a service, and whether the service is
// contended. c.mu is held.
func (c *contentions) age(s *contention, now time.Time) (age time.Duration, contended bool) {
	age = max(c.running(now).Sub(s.signAt), 0)
	return age, !s.signAt.IsZero() && age < contendedFor
}

// get returns the state of a service and region. c.mu is held.
func (c *contentions) get(k serviceRegion) *contention {
	s := c.state[k]
	if s == nil {
		if c.state == nil {
			c.state = map[serviceRegion]*contention{}
		}
		s = &contention{}
		c.state[k] = s
	}
	return s
}

// sign records a sign of contention. If publish is set, due reports whether a message to the other boxes is due. first is
// set for the first sign of a service and region.
func (c *contentions) sign(k serviceRegion, now time.Time, publish bool) (due, first bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(k)
	s.signAt = now
	first, s.shown = !s.shown, true
	due = publish && (s.publishedAt.IsZero() || now.Sub(s.publishedAt) >= contendedPublishInterval)
	if due {
		s.publishedAt = now
	}
	return due, first
}

// observe records the latency of a call, and reports whether it is a sign of contention.
func (c *contentions) observe(k serviceRegion, now time.Time, took time.Duration) bool {
	if !c.enabled {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.get(k)
	s.calls = min(minLatencyCalls, s.calls+1)
	s.mean += max(serviceLatencyWeight, 1/float64(s.calls)) * (took.Seconds() - s.mean)
	s.smooth += max(smoothLatencyWeight, 1/float64(s.calls)) * (took.Seconds() - s.smooth)
	if s.calls < minLatencyCalls || s.smooth <= s.slowMin || s.slowMinAt.IsZero() {
		s.slowMin, s.slowMinAt = s.smooth, now
	}
	if s.calls < minLatencyCalls {
		return false
	}
	s.slowMin += (s.smooth - s.slowMin) * (1 - math.Exp(-now.Sub(s.slowMinAt).Seconds()/minimumRiseTime.Seconds()))
	s.slowMinAt = now
	return s.mean > contendedLatencyFactor*s.slowMin && s.mean > s.slowMin+minLatencyExcess
}

// contended reports whether a service is contended. age is the time since the latest sign of contention.
func (c *contentions) contended(k serviceRegion, now time.Time) (yes bool, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state[k]
	if s == nil {
		return false, 0
	}
	if age, yes = c.age(s, now); !yes {
		return false, 0
	}
	return true, age
}

// isContended reports whether a service is contended in any region.
func (c *contentions) isContended(service string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k, s := range c.state {
		if k.service != service {
			continue
		}
		if _, contended := c.age(s, now); contended {
			return true
		}
	}
	return false
}

// keep forgets the services that are no longer configured, and returns their names.
func (c *contentions) keep(services map[string]*Service) (removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.state {
		if services[k.service] == nil {
			delete(c.state, k)
			removed = append(removed, k.service)
		}
	}
	return removed
}

// signContention records a sign of contention. If publish is set, the other boxes of the region are told.
func (r *Relay) signContention(k serviceRegion, publish bool) {
	if !r.contentions.enabled {
		return
	}
	due, first := r.contentions.sign(k, clock.Now(), publish)
	if due {
		r.publish(overlay.Message{Contended: &overlay.ServiceContended{Service: k.service, Region: k.region}})
	}
	if first {
		r.m.ShowContended(k.service, func() bool { return r.contentions.isContended(k.service, clock.Now()) })
	}
}

// receiveContended handles the message that calls of another box compete for a service's endpoints. Services that are
// not configured are ignored. Memory use is then bounded by the configuration, whatever other boxes send.
func (r *Relay) receiveContended(m *overlay.ServiceContended) {
	c := r.cfg.Load()
	if c == nil || c.Services[m.Service] == nil || c.Services[m.Service].Engines != nil {
		return
	}
	if r.fleet.cellCount(serviceRegion{m.Service, m.Region}) > 0 {
		r.signContention(serviceRegion{m.Service, m.Region}, false)
	}
}

// forgetContention forgets the services that are no longer configured.
func (r *Relay) forgetContention(c *Config) {
	for _, service := range r.contentions.keep(c.Services) {
		r.m.HideContended(service)
	}
}
