package relay

import (
	"math"
	"sync"
	"time"
)

// streamRates are the streams placed a second by all boxes, by service. Other boxes publish theirs.
type streamRates struct {
	mu        sync.Mutex
	byService map[string]streamRate
}

// streamRate is an exponentially decaying average, as of a time.
type streamRate struct {
	perSecond float64
	at        time.Time
}

// rateTimeConstant is the time in which a stream's weight falls to 1/e. It outlasts the gaps between streams.
const rateTimeConstant = 5 * time.Second

func (s streamRate) value(now time.Time) float64 {
	return s.perSecond * math.Exp(-float64(now.Sub(s.at))/float64(rateTimeConstant))
}

// add counts n streams placed now.
func (s *streamRates) add(now time.Time, service string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byService == nil {
		s.byService = map[string]streamRate{}
	}
	s.byService[service] = streamRate{s.byService[service].value(now) + float64(n)/rateTimeConstant.Seconds(), now}
}

// rate returns the streams of a service placed a second.
func (s *streamRates) rate(now time.Time, service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byService[service].value(now)
}
