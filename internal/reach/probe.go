package reach

import (
	"cmp"
	"slices"
	"time"
)

// Probe is a due probe of an address.
type Probe struct {
	Address string
	// Others means that other boxes are tried too, since none is known to reach the address.
	Others bool
}

// DueProbes returns the addresses whose direct path must be probed now, the longest overdue first, and claims the probes.
// It forgets addresses that were not used lately.
func (t *Table) DueProbes(now time.Time) (out []Probe) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for addr, e := range t.entries {
		switch {
		case now.Sub(e.usedAt) >= unusedLife, e.state == Direct && now.Sub(e.since) >= unusedLife:
			t.change(e, Change{Address: addr, From: e.state, Failure: e.failure, Via: e.via, Lasted: now.Sub(e.since), Forgotten: true}, now)
			delete(t.entries, addr)
		case e.state != Direct && !now.Before(e.probeAt):
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(t.entries[a].probeAt.Compare(t.entries[b].probeAt), cmp.Compare(a, b))
	})
	for _, addr := range due[:min(len(due), maxProbes)] {
		e := t.entries[addr]
		e.probeAt = now.Add(e.probeInterval())
		e.probes++
		out = append(out, Probe{addr, e.state == Unreachable})
	}
	return out
}

// probeInterval returns the time until the next probe of an entry.
func (e *entry) probeInterval() time.Duration {
	if e.state == Lost {
		return probeInterval
	}
	return min(probeInterval<<min(e.probes, 8), maxProbeInterval)
}
