package quarantine

import "time"

const (
	// servedTTL applies to a request that was answered completely. For this long no crash is recorded against it. A
	// harmless request that clients send continually runs on every endpoint that crashes. The other endpoints answer
	// it. maxServed bounds how many answered requests are remembered.
	servedTTL = 10 * time.Second
	maxServed = 1024
)

// servedSet holds the requests that were answered recently. The zero value is empty.
type servedSet struct {
	// current has the newest requests, up to half of maxServed. previous has the requests before them.
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
