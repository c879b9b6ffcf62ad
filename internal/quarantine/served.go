package quarantine

import "time"

const (
	// servedTTL is how long a completely answered request is not suspected, and maxServed bounds how many
	// such requests are remembered. A request that is sent continually runs on every endpoint that
	// crashes, and is answered by the others.
	servedTTL = 10 * time.Second
	maxServed = 1024
)

// servedSet remembers the requests that were answered recently. The zero value is empty.
type servedSet struct {
	// current has the newest requests, up to half of the bound, and previous those before them.
	current, previous map[Fingerprint]time.Time
}

func (s *servedSet) add(f Fingerprint, now time.Time) {
	if s.current == nil || len(s.current) >= maxServed/2 {
		s.previous, s.current = s.current, make(map[Fingerprint]time.Time, maxServed/2)
	}
	s.current[f] = now
}

func (s *servedSet) contains(f Fingerprint, now time.Time) bool {
	servedAt, ok := s.current[f]
	if !ok {
		servedAt, ok = s.previous[f]
	}
	return ok && now.Sub(servedAt) <= servedTTL
}
