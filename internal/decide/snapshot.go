package decide

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// EngineState is the observed state of one engine, as shown to operators.
type EngineState struct {
	Engine
	State      string // One of ready, leaving, closed (evacuated), set_aside and silent.
	Queue      time.Duration
	FreeKV     int
	ReservedKV int // Reserved for this box's own requests.
	Streams    int
	Prefills   int
}

// Snapshot returns all engines, sorted by name, and the number of waiting requests.
func (c *Core) Snapshot(now time.Time) ([]EngineState, int) {
	var out []EngineState
	for _, e := range c.engines {
		out = append(out, EngineState{
			Engine: e.Engine, State: e.state(now), Queue: e.queueTime(now),
			FreeKV: e.freeKV(), ReservedKV: e.reservedKV, Streams: int(e.running()), Prefills: e.prefills,
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
	case e.Evacuated && !e.Leaving:
		return "closed"
	case e.leaving():
		return "leaving"
	case e.health.setAside(now):
		return "set_aside"
	case e.statsUnreliable():
		return "silent"
	}
	return "ready"
}

// InFlight is the number of requests that have arrived and not ended.
func (c *Core) InFlight() int { return len(c.flights) }

// shortageShare has two uses. A decode engine is full if more than this fraction of its memory is used. A role is short
// of engines if at least this fraction of its engines is busy or full.
const shortageShare = 0.8

// Imbalance returns a sentence for each pool in which a role is short of engines.
func (c *Core) Imbalance(now time.Time) []string {
	var out []string
	for _, name := range c.poolNames {
		if text := c.pools[name].imbalance(now); text != "" {
			out = append(out, text)
		}
	}
	return out
}

func (p *pool) imbalance(now time.Time) string {
	busy, full := 0, 0
	for _, e := range p.prefill {
		if e.queueTime(now) > maxPrefillBacklog {
			busy++
		}
	}
	for _, e := range p.decode {
		if float64(e.freeKV()) < (1-shortageShare)*float64(e.KVTokens) {
			full++
		}
	}
	prefillShort := len(p.prefill) > 0 && float64(busy) >= shortageShare*float64(len(p.prefill))
	decodeShort := len(p.decode) > 0 && float64(full) >= shortageShare*float64(len(p.decode))
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

// maxAccountNotes is how many accounts of a pool AccountNotes names.
const maxAccountNotes = 10

// AccountNotes returns a sentence for each client account whose streams wait on this box, those with most waiting first.
// Streams in a pool without an account are named as such. If other boxes reported streams of the account, the sentence has
// their numbers too. While no stream waits, there are no sentences.
func (c *Core) AccountNotes() (out []string) {
	for _, name := range c.poolNames {
		p := c.pools[name]
		waiting := map[string]int{}
		for _, a := range p.queue.accounts {
			waiting[a.client] += a.n
		}
		clients := slices.SortedFunc(maps.Keys(waiting), func(a, b string) int {
			return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
		})
		for _, client := range clients[:min(len(clients), maxAccountNotes)] {
			who := "client account " + client + " has"
			if client == "" {
				who = "callers without an account have"
			}
			note := fmt.Sprintf("pool %s: %s %d streams waiting and %d starting or running on this box", name, who, waiting[client], p.active[client])
			remote := 0
			for _, a := range p.remoteQueues {
				if a.Client == client {
					remote += a.Waiting
				}
			}
			if remote+p.remoteActive[client] > 0 {
				note += fmt.Sprintf(", %d and %d on the others", remote, p.remoteActive[client])
			}
			out = append(out, note)
		}
	}
	return out
}
