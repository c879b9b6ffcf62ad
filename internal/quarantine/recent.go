package quarantine

import "time"

const (
	// servedTTL applies to a request that was answered completely, and to a part with a run that lasted. For this long no
	// crash is recorded against it. A harmless request that clients send continually runs on every endpoint that crashes.
	// The other endpoints answer it. maxServed bounds how many answered requests are remembered, and maxSurvived how many
	// parts.
	servedTTL   = 10 * time.Second
	maxServed   = 1024
	maxSurvived = 4096
)

// recentSet holds requests or parts that ran well a short time ago. The zero value holds nothing and has no room: max
// must be set.
type recentSet[K comparable] struct {
	max int
	// current has the newest elements, up to half of max. previous has the elements before them.
	current, previous map[K]time.Time
}

func (s *recentSet[K]) add(k K, now time.Time) {
	if _, exists := s.current[k]; !exists && len(s.current) >= s.max/2 || s.current == nil {
		s.previous, s.current = s.current, make(map[K]time.Time)
	}
	s.current[k] = now
}

func (s *recentSet[K]) contains(k K, now time.Time) bool {
	at, ok := s.current[k]
	if !ok {
		at, ok = s.previous[k]
	}
	return ok && now.Sub(at) <= servedTTL
}
