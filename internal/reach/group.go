package reach

import "time"

// group is what is known of the direct paths to a group of addresses.
type group struct {
	// latest and earlier are the last answers of two different addresses.
	latest, earlier answer
	// lost is the number of addresses in the state Lost. lastLost is when one last became lost.
	lost     int
	lastLost time.Time
	// reset are the addresses with an open connection that was reset since the latest answer.
	reset map[string]bool
}

// answer is an answer of an address on a direct connection.
type answer struct {
	addr string
	at   time.Time
}

// group returns the group of an address. t.mu is held.
func (t *Table) group(addr string) *group {
	name := ""
	if t.GroupOf != nil {
		name = t.GroupOf(addr)
	}
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	return g
}

// headStart returns the head start of a direct connect. There is none while the path to the address is suspected to be
// lost. t.mu is held.
func (t *Table) headStart(addr string) time.Duration {
	if t.suspected(t.group(addr)) {
		return 0
	}
	return headStart
}

// suspected reports whether this box seems to have lost the paths to a whole group: several addresses are lost, or their
// open connections were reset, and none has answered directly since. t.mu is held.
func (t *Table) suspected(g *group) bool {
	if len(g.reset) >= manyLost {
		return true
	}
	return g.lost >= manyLost && !g.latest.at.After(g.lastLost)
}

// Usable reports whether an open direct connection may be used for another request. While new connections are refused,
// open ones may live on. If the address does not answer, or resets open connections, requests would be lost on them.
func (t *Table) Usable(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g, e := t.group(addr), t.entries[addr]
	if e == nil || e.state == Direct {
		return !t.suspected(g)
	}
	return e.failure == Refused && len(g.reset) == 0 && !e.connLostAt.After(t.answeredAt[addr])
}

// OpenLost reports whether requests in progress on direct connections to an address get no answer any more: connects to the
// address, or to several of its group, stay unanswered while other boxes reach them, and the address has not answered for
// the given time.
func (t *Table) OpenLost(addr string, now time.Time, silentFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.answeredAt[addr]) < silentFor {
		return false
	}
	if e := t.entries[addr]; e != nil && e.state != Direct {
		return e.isUnanswered()
	}
	g, n := t.group(addr), 0
	if !t.suspected(g) {
		return false
	}
	for _, e := range t.entries {
		if e.group == g && e.isUnanswered() {
			n++
		}
	}
	return n >= manyLost
}

// isUnanswered reports whether the direct path is lost, and connects on it get no answer.
func (e *entry) isUnanswered() bool { return e.state == Lost && e.failure == Unanswered }

// ConnLost records that an open direct connection was reset when a request was sent on it.
func (t *Table) ConnLost(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(addr, now).connLostAt = now
	g := t.group(addr)
	if g.reset == nil {
		g.reset = map[string]bool{}
	}
	g.reset[addr] = true
}

// noteAnswer records an answer. t.mu is held.
func (t *Table) noteAnswer(addr string, now time.Time) {
	t.answeredAt[addr] = now
	g := t.group(addr)
	if g.latest.addr != addr {
		g.earlier = g.latest
	}
	g.latest = answer{addr, now}
	clear(g.reset)
}

// Credible reports whether a failed connect to an address, begun at a time, says something about the endpoint: another
// address of its group has answered this box directly since then, or just before.
func (t *Table) Credible(addr string, f Failure, began, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(addr)
	last := g.latestExcept(addr)
	if f == Unanswered {
		return last.at.After(began)
	}
	return now.Sub(last.at) < credibleLife
}

// Control returns an address whose direct connect shows whether this box's own path works, when a connect to addr has
// failed: the last one of its group that answered, else the last one of any group. It is empty if none has answered.
func (t *Table) Control(addr string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := t.group(addr)
	if c := own.latestExcept(addr); c.addr != "" {
		return c.addr
	}
	var last answer
	for _, g := range t.groups {
		if c := g.latestExcept(addr); c.at.After(last.at) {
			last = c
		}
	}
	return last.addr
}

// latestExcept returns the latest answer of another address than addr.
func (g *group) latestExcept(addr string) answer {
	if g.latest.addr == addr {
		return g.earlier
	}
	return g.latest
}
