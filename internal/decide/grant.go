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
// If the engine has no room, the owner remembers the request for deniedMemory. A request that goes after a remembered one is
// denied the room that the remembered one needs (see mustYield); yields is then set. A request without precedence neither
// yields nor is remembered.
//
// A grant guarantees nothing, since only the engine itself can reserve its memory. If this box does not know
// the engine, it grants the request, since the asking box knows more about the engine.
func (c *Core) Grant(now time.Time, engine string, r Request, o Precedence) (granted, yields bool) {
	e := c.engines[engine]
	if e == nil {
		return true, false
	}
	p := c.pools[e.Pool]
	e.denied.askedAt = now
	f := &flight{Request: r, pool: p, mayBeLate: r.ServeLate}
	if !e.hasRoom(p, f, now) || e.denial.holds(now, f) {
		e.denied.add(now, f, o)
		return false, false
	}
	if o.Stream != 0 && c.mustYield(e, f, &o, now) {
		e.denied.add(now, f, o)
		return false, true
	}
	e.denied.granted(o.Stream)
	e.addGrant(now, f)
	return true, false
}

// addGrant adds a request of another box to the load of the engine.
func (e *engine) addGrant(now time.Time, f *flight) {
	if !e.hasReport || now.After(e.report.At) {
		e.addPlacement(placement{at: now, streams: 1, reservation: f.expectedReservation()})
	}
}

// expectedReservation is the memory that the request is expected to use. Without an OutputReserve, the longest answer must
// fit when decoding begins, even if a shorter one is expected.
func (f *flight) expectedReservation() reservation {
	kv := max(f.PromptTokens+f.expectedOutput(), f.kvNeedAtStart())
	return reservation{kv, f.PromptTokens, f.kvNeedAtStart() - f.PromptTokens, f.expectedOutput()}
}
