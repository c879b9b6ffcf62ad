package decide

import (
	"cmp"
	"slices"
	"time"
)

// EngineState is what the core believes of one engine, for operators.
type EngineState struct {
	Engine
	State   string // ready, leaving, closed, set_aside or silent
	Queue   time.Duration
	FreeKV  int
	HeldKV  int // Held by this box's own requests.
	Streams int
	Jobs    int
}

// Snapshot lists all engines by name, and counts the requests that wait.
func (c *Core) Snapshot(now time.Time) ([]EngineState, int) {
	var out []EngineState
	for _, e := range c.engines {
		out = append(out, EngineState{
			Engine: e.Engine, State: e.state(now), Queue: e.queueTime(now),
			FreeKV: e.freeKV(), HeldKV: e.heldKV, Streams: int(e.running()), Jobs: e.jobs,
		})
	}
	slices.SortFunc(out, func(a, b EngineState) int { return cmp.Compare(a.Name, b.Name) })
	n := 0
	for _, p := range c.pools {
		n += len(p.queue.items)
	}
	return out, n
}

func (e *engine) state(now time.Time) string {
	switch {
	case e.Closed && !e.Leaving:
		return "closed"
	case e.leaving():
		return "leaving"
	case e.health.setAside(now):
		return "set_aside"
	case e.silent():
		return "silent"
	}
	return "ready"
}

// Flights is the number of requests in the core's care.
func (c *Core) Flights() int { return len(c.flights) }

// busyShare is the share of its time target after which a role counts as short.
const busyShare = 0.8

// Imbalance says in plain terms which role of a pool limits it; empty if neither does.
func (c *Core) Imbalance(now time.Time) []string {
	var out []string
	for _, name := range c.names {
		if text := c.pools[name].imbalance(now); text != "" {
			out = append(out, text)
		}
	}
	return out
}

func (p *pool) imbalance(now time.Time) string {
	busy, full := 0, 0
	for _, e := range p.prefill {
		if e.queueTime(now) > prefillWindow {
			busy++
		}
	}
	for _, e := range p.decode {
		if float64(e.freeKV()) < (1-busyShare)*float64(e.KVTokens) {
			full++
		}
	}
	prefillShort := len(p.prefill) > 0 && float64(busy) >= busyShare*float64(len(p.prefill))
	decodeShort := len(p.decode) > 0 && float64(full) >= busyShare*float64(len(p.decode))
	switch {
	case prefillShort && !decodeShort:
		return "pool " + p.Name + " is short of prefill: its decode engines have room while prompts wait"
	case decodeShort && !prefillShort:
		return "pool " + p.Name + " is short of decode: its prefill engines are free while answers lack memory"
	case decodeShort && prefillShort:
		return "pool " + p.Name + " is full in both roles"
	}
	return ""
}
