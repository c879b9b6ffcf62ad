package decide

import "time"

// Grant reports whether a decode engine has room for a request of another box, and if so books
// the request there until a report of the engine includes it. Each engine has one box, its
// owner, that all others ask. The owner knows at once what it granted, while placements that
// boxes make by themselves take some hundred milliseconds to reach the others: in a burst, each
// box would assign the same room again.
//
// A grant guarantees nothing: the engine itself reserves the memory. A request for an engine
// that is unknown here is granted, since the asking box knows more about it.
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
