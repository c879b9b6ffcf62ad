package relay

import (
	"maps"
	"slices"

	"go.uber.org/zap"
)

// This file is what a box knows of data halls. The operator may have a hall evacuated: its endpoints
// get nothing new until that is taken back, and finish what they have.

// knownEndpoint is an endpoint with what is known of it beside its entry in the list.
type knownEndpoint struct {
	Endpoint
	// Closed says that its hall is evacuated.
	Closed bool
}

// open says that the endpoint may get new requests.
func (e *knownEndpoint) open() bool { return !e.Leaving && !e.Closed }

// known lists the endpoints with what is known of them. The lock is held.
func (f *fleet) known() []knownEndpoint {
	out := make([]knownEndpoint, len(f.endpoints))
	for i, e := range f.endpoints {
		out[i] = knownEndpoint{Endpoint: e, Closed: f.evacuated[e.Hall]}
	}
	return out
}

// SetEvacuated says which data halls are evacuated. From then on no request is sent there, and no
// memory is set aside, read or moved there; streams that run there go on to their end.
func (r *Relay) SetEvacuated(halls []string) {
	next := make(map[string]bool, len(halls))
	for _, h := range halls {
		next[h] = true
	}
	r.fleet.mu.Lock()
	before := r.fleet.evacuated
	r.fleet.evacuated = next
	r.fleet.mu.Unlock()
	if maps.Equal(before, next) {
		return
	}
	r.logHalls(before, next)
	r.applyFleet()
}

// logHalls logs which halls were evacuated and which are taken back.
func (r *Relay) logHalls(before, next map[string]bool) {
	for _, h := range slices.Sorted(maps.Keys(next)) {
		if !before[h] {
			r.o.Book.Log.Belief("hall evacuated", zap.String("hall", h))
		}
	}
	for _, h := range slices.Sorted(maps.Keys(before)) {
		if !next[h] {
			r.o.Book.Log.Belief("hall taken back", zap.String("hall", h))
		}
	}
}
