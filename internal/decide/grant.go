package decide

import "time"

// Grant reports whether a decode engine has room for a request of another box. If it has, the
// request is added to the load of the engine until a report of the engine includes it.
//
// Each engine belongs to one box, its owner, and all other boxes ask that box before they send
// a request. The owner knows at once what it granted. News of placements that boxes make on their
// own takes some hundred milliseconds to reach the other boxes, so in a burst several boxes would
// use the same free memory.
//
// A grant guarantees nothing, since only the engine itself can reserve its memory. If this box
// does not know the engine, the request is granted, since the asking box knows more about it.
func (c *Core) Grant(now time.Time, engine string, r Request) bool {
	e := c.engines[engine]
	if e == nil {
		return true
	}
	p := c.pools[e.Pool]
	f := &flight{Request: r, pool: p, mayBeLate: r.ServeLate}
	if !e.hasRoom(p, f, now) || f.kvNeed() >= e.refusedKV && now.Before(e.refusedKVUntil) {
		return false
	}
	e.addRemotePlacement(RemotePlacement{Engine: engine, At: now, KV: f.PromptTokens + f.expectedOutput(), PromptTokens: f.PromptTokens, OutputReserve: f.OutputReserve})
	return true
}
