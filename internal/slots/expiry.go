package slots

import "time"

// grant is a slot that was granted to a request and not released yet.
type grant struct {
	id       string
	account  string
	endpoint *endpoint
	at       time.Time
	// expires is when the grant no longer counts as in use although it was not released.
	expires time.Time
	// ends is when the grant is forgotten. Between expires and ends it is overdue: it takes no slot, and its result still
	// counts in the endpoint's statistics.
	ends    time.Time
	overdue bool
	// extra is the additional latency between the halls of the box and of the endpoint.
	extra    time.Duration
	decision Decision
	heapEntry
}

func (g *grant) heapTime() time.Time { return g.expires }

// refusals remembers the decisions on refused requests for a short time, so that a request that is sent twice gets the
// same answer twice.
type refusals struct {
	byID  map[string]Decision
	order []refusal // In order of time.
}

type refusal struct {
	id string
	at time.Time
}

const (
	// refusalMemory covers a request that is sent again after its connection failed.
	refusalMemory = time.Second
	maxRefusals   = 4096
)

func (f *refusals) add(now time.Time, id string, d Decision) {
	if len(f.order) >= maxRefusals {
		delete(f.byID, f.order[0].id)
		f.order = f.order[1:]
	}
	f.byID[id] = d
	f.order = append(f.order, refusal{id, now})
}

func (f *refusals) advance(now time.Time) {
	for len(f.order) > 0 && now.Sub(f.order[0].at) >= refusalMemory {
		delete(f.byID, f.order[0].id)
		f.order = f.order[1:]
	}
}
