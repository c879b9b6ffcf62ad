package relay

import (
	"math"
	"sync"
	"time"
)

// streamRates are the streams that all boxes place per second, by service. Other boxes publish their placements.
type streamRates struct {
	mu        sync.Mutex
	byService map[string]streamRate
}

// streamRate is an average of streams per second at a time. Earlier streams count exponentially less.
type streamRate struct {
	perSecond float64
	at        time.Time
}

// rateTimeConstant is the time in which a stream's weight in the average falls to 1/e. It is longer than the usual gaps
// between streams.
const rateTimeConstant = 5 * time.Second

// value returns the average at the time now.
func (s streamRate) value(now time.Time) float64 {
	return s.perSecond * math.Exp(-float64(now.Sub(s.at))/float64(rateTimeConstant))
}

// add counts n streams of a service that were placed now.
func (s *streamRates) add(now time.Time, service string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]streamRate{}
	}
	s.byService[service] = streamRate{s.byService[service].value(now) + float64(n)/rateTimeConstant.Seconds(), now}
}

// rate returns the average number of a service's streams that are placed per second.
func (s *streamRates) rate(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service].value(now)
}
