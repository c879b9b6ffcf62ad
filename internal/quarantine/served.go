package quarantine

import "time"

const (
	// servedFor is for how long a request that was answered whole is not suspected, and mostServed
	// bounds how many of these are remembered. A request that is sent all the time runs on each
	// endpoint that ends, and is answered by the others.
	servedFor  = 10 * time.Second
	mostServed = 1024
)

// served are requests that were answered whole lately. The zero value has none.
type served struct {
	// young are the newest, up to half of the bound, and old those before them.
	young, old map[Fingerprint]time.Time
}

func (s *served) add(f Fingerprint, now time.Time) {
	if s.young == nil || len(s.young) >= mostServed/2 {
		s.old, s.young = s.young, make(map[Fingerprint]time.Time, mostServed/2)
	}
	s.young[f] = now
}

func (s *served) lately(f Fingerprint, now time.Time) bool {
	at, ok := s.young[f]
	if !ok {
		at, ok = s.old[f]
	}
	return ok && now.Sub(at) <= servedFor
}
