package decide

import "time"

// Grant reports whether a decode engine has room (enough free memory and a free slot) for a request of
// another box. If it has, Grant adds the request to the load of the engine. The request counts until a
// report of the engine includes it.
//
// Each engine belongs to one box, the owner of the engine. All other boxes ask the owner before they send
// a request. The owner knows immediately what it granted. Without owners, boxes would learn of each other's
// placements some hundred milliseconds later. In a burst, several boxes would then use the same free memory.
//
// A grant guarantees nothing, since only the engine itself can reserve its memory. If this box does not know
// the engine, it grants the request, since the asking box knows more about the engine.
func (c *Core) Grant(now time.Time, engine string, r Request) bool {
	e := c.engines[engine]
	if e == nil {
		return true
	}
	p := c.pools[e.Pool]
	f := &flight{Request: r, pool: p, mayBeLate: r.ServeLate}
	if !e.hasRoom(p, f, now) || e.denial.holds(now, f) {
		return false
	}
	e.addGrant(now, f)
	return true
}

// addGrant adds a request of another box to the load of the engine.
func (e *engine) addGrant(now time.Time, f *flight) {
	if !e.hasReport || now.After(e.report.At) {
		// Without an OutputReserve, the longest answer must fit when decoding begins, even if a shorter one is
		// expected.
		kv := max(f.PromptTokens+f.expectedOutput(), f.kvNeedAtStart())
		e.addPlacement(placement{at: now, streams: 1, reservation: reservation{kv, f.PromptTokens, f.kvNeedAtStart() - f.PromptTokens, f.expectedOutput()}})
	}
}
