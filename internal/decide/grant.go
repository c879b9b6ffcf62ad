package decide

import "time"

// Grant says whether a decode engine has room for a request of another box, and books the
// request there if so, until a report of the engine includes it. Each engine has one box that
// is asked so by all others: what that box has granted it knows at once, while word of what
// boxes placed by themselves takes some hundred milliseconds to go round, and in a burst each
// would meanwhile give the same room away.
//
// A grant is no promise: the engine itself sets the memory aside. An engine that is not known
// here is granted, as the box that asks knows more of it.
func (c *Core) Grant(now time.Time, engine string, r Request) bool {
	e := c.engines[engine]
	if e == nil {
		return true
	}
	p := c.pools[e.Pool]
	f := &flight{Request: r, pool: p, patient: r.ServeLate}
	if !e.hasRoom(p, f, now) || f.need() >= e.noRoomFor && now.Before(e.noRoomUntil) {
		return false
	}
	e.heardSent(Sent{Engine: engine, At: now, KV: f.PromptTokens + f.expected(), Prompt: f.PromptTokens, Ahead: f.Ahead})
	return true
}
