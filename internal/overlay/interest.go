package overlay

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file leaves facts out that a follower has no use for. Where a service has thousands of engines
// each box deals with some of them, and a fact about any other is of no use to it. A box that nobody
// follows tells the one that it follows which engines it deals with; one that is followed is told all,
// since it passes facts on. So what most boxes hear does not grow with the streams of the fleet.
//
// Weighed against telling an engine's home alone, which passes facts on to those that asked it: that
// spares the boxes between too, and costs each box a subscription at each home.

// interest is of which engines a box has a use for facts. The zero value is of all.
type interest struct {
	// engines are hashes of their names; nil for all engines.
	engines map[uint32]bool
}

// hashOf is how an engine is named in an interest.
func hashOf(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

func interestIn(engines []string) interest {
	in := interest{engines: make(map[uint32]bool, len(engines))}
	for _, e := range engines {
		in.engines[hashOf(e)] = true
	}
	return in
}

func (in interest) equal(other interest) bool {
	return (in.engines == nil) == (other.engines == nil) && maps.Equal(in.engines, other.engines)
}

func (in interest) encode() *v1.Interest {
	return &v1.Interest{All: in.engines == nil, Engines: slices.Sorted(maps.Keys(in.engines))}
}

// mostInterest bounds the engines that a follower may name; beyond it is told all.
const mostInterest = 4096

func decodeInterest(m *v1.Interest) (in interest) {
	if m.All || len(m.Engines) > mostInterest {
		return in
	}
	in.engines = make(map[uint32]bool, len(m.Engines))
	for _, e := range m.Engines {
		in.engines[e] = true
	}
	return in
}

// wants says whether a fact is of use. One that is not about engines always is.
func (in interest) wants(f *v1.Fact) bool {
	if in.engines == nil {
		return true
	}
	switch k := f.Kind.(type) {
	case *v1.Fact_Load:
		return in.engines[hashOf(k.Load.GetEngine())]
	case *v1.Fact_Refused:
		return in.engines[hashOf(k.Refused.GetEngine())]
	case *v1.Fact_Ended:
		return in.engines[hashOf(k.Ended.GetEngine())]
	case *v1.Fact_Placed:
		p := k.Placed
		return in.engines[hashOf(p.GetWriter())] || p.GetReader() != "" && in.engines[hashOf(p.GetReader())]
	}
	return true
}

// interests is what a box has a use for and what it has said of it. The zero value has a use for all.
type interests struct {
	mu  sync.Mutex
	own interest
	// told is what the box followed takes it for: all until it is told. lost says that it may not have heard.
	told interest
	lost bool
}

// set changes the interest.
func (i *interests) set(in interest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own = in
}

// begin forgets what another box that was followed before had been told.
func (i *interests) begin() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.told, i.lost = interest{}, false
}

// news is what the box followed is to be told; nil if it knows. A box that others follow has a use for
// all.
func (i *interests) news(followed bool) *v1.Interest {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.own
	if followed {
		now = interest{}
	}
	if i.told.equal(now) && !i.lost {
		return nil
	}
	i.told, i.lost = now, false
	return now.encode()
}

// unsaid has the interest told again: it may not have arrived.
func (i *interests) unsaid() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lost = true
}

// WantFacts says of which engines this box has a use for facts; nil for all.
func (n *Node) WantFacts(engines []string) {
	in := interest{}
	if engines != nil {
		in = interestIn(engines)
	}
	n.interests.set(in)
	n.sayInterest()
}

// sayInterest has the box that is followed told of the interest, if it has changed.
func (n *Node) sayInterest() {
	n.mu.Lock()
	up := n.up
	n.mu.Unlock()
	if up != nil {
		up.queue.poke()
	}
}

// setInterest takes of which engines a follower wants to hear.
func (n *Node) setInterest(f *follower, in interest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.interest = in
}

// leaveOut counts a fact that the follower is not sent. The node's lock is held.
func (f *follower) leaveOut(m *v1.Fact) {
	p := m.GetPlaced()
	if p == nil {
		return
	}
	if f.placed == nil {
		f.placed = map[string]int32{}
	}
	f.placed[p.Service]++
}

// heardPlaced takes how many streams were placed of which this box was sent no facts.
func (n *Node) heardPlaced(m *v1.StreamsPlaced) {
	if m.N > 0 && m.N < mostPlaced {
		n.o.Heard(Fact{At: clock.Now(), Streams: &Streams{Service: m.Service, Placed: int(m.N)}})
	}
}

// mostPlaced bounds the streams that are placed between two messages.
const mostPlaced = 1 << 16
