package overlay

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file filters out messages that a follower has no use for. Where a service has thousands of
// engines each box deals with some of them, and a message about any other is of no use to it. A box
// without followers sends its upstream the engines that it deals with; one with followers is sent
// all messages, since it forwards them. So what most boxes receive does not grow with the streams of
// the fleet.
//
// The alternative was to publish messages to an engine's owner alone, which forwards them to the
// boxes that subscribed: that also spares the boxes between, and costs each box a subscription at
// each owner.

// interest is the set of engines whose messages a box has a use for. The zero value is all engines.
type interest struct {
	// engines holds hashes of engine names; nil for all engines.
	engines map[uint32]bool
}

// engineHash identifies an engine in an interest.
func engineHash(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

func newInterest(engines []string) interest {
	in := interest{engines: make(map[uint32]bool, len(engines))}
	for _, e := range engines {
		in.engines[engineHash(e)] = true
	}
	return in
}

func (in interest) equal(other interest) bool {
	return (in.engines == nil) == (other.engines == nil) && maps.Equal(in.engines, other.engines)
}

func (in interest) encode() *v1.Interest {
	return &v1.Interest{All: in.engines == nil, Engines: slices.Sorted(maps.Keys(in.engines))}
}

// maxInterestEngines bounds the engines that a follower may name; with more it is sent all messages.
const maxInterestEngines = 4096

func decodeInterest(m *v1.Interest) (in interest) {
	if m.All || len(m.Engines) > maxInterestEngines {
		return in
	}
	in.engines = make(map[uint32]bool, len(m.Engines))
	for _, e := range m.Engines {
		in.engines[e] = true
	}
	return in
}

// wants reports whether a message is of use. One that is not about engines always is.
func (in interest) wants(f *v1.Fact) bool {
	if in.engines == nil {
		return true
	}
	switch k := f.Kind.(type) {
	case *v1.Fact_Load:
		return in.engines[engineHash(k.Load.GetEngine())]
	case *v1.Fact_Refused:
		return in.engines[engineHash(k.Refused.GetEngine())]
	case *v1.Fact_Ended:
		return in.engines[engineHash(k.Ended.GetEngine())]
	case *v1.Fact_Placed:
		p := k.Placed
		return in.engines[engineHash(p.GetWriter())] || p.GetReader() != "" && in.engines[engineHash(p.GetReader())]
	}
	return true
}

// interestState is a box's interest and what its upstream was sent of it. The zero value is all engines.
type interestState struct {
	mu      sync.Mutex
	current interest
	// sent is the interest as the upstream knows it: all engines until it is sent one. unconfirmed
	// means that the last one sent may not have arrived.
	sent        interest
	unconfirmed bool
}

// set replaces the interest.
func (i *interestState) set(in interest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = in
}

// reset discards what a previous upstream was sent.
func (i *interestState) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sent, i.unconfirmed = interest{}, false
}

// takeChange returns the interest to send to the upstream, and marks it as sent; nil if the upstream
// has it. A box with followers has a use for all messages.
func (i *interestState) takeChange(followed bool) *v1.Interest {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.current
	if followed {
		now = interest{}
	}
	if i.sent.equal(now) && !i.unconfirmed {
		return nil
	}
	i.sent, i.unconfirmed = now, false
	return now.encode()
}

// markUnconfirmed has the interest sent again, as it may not have arrived.
func (i *interestState) markUnconfirmed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unconfirmed = true
}

// SetInterest sets the engines whose messages this box has a use for; nil for all.
func (n *Node) SetInterest(engines []string) {
	in := interest{}
	if engines != nil {
		in = newInterest(engines)
	}
	n.interests.set(in)
	n.signalInterest()
}

// signalInterest wakes the sender to the upstream, which sends the interest if it has changed.
func (n *Node) signalInterest() {
	n.mu.Lock()
	up := n.upstream
	n.mu.Unlock()
	if up != nil {
		up.queue.signal()
	}
}

// setInterest sets the engines whose messages a follower is sent.
func (n *Node) setInterest(f *follower, in interest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.interest = in
}

// countOmitted counts a message that the follower is not sent. The node's lock is held.
func (f *follower) countOmitted(m *v1.Fact) {
	p := m.GetPlaced()
	if p == nil {
		return
	}
	if f.omittedPlaced == nil {
		f.omittedPlaced = map[string]int32{}
	}
	f.omittedPlaced[p.Service]++
}

// receivePlaced processes the count of streams whose messages this box was not sent.
func (n *Node) receivePlaced(m *v1.StreamsPlaced) {
	if m.N > 0 && m.N < maxPlacedStreams {
		n.o.OnMessage(Message{At: clock.Now(), Omitted: &OmittedStreams{Service: m.Service, Placed: int(m.N)}})
	}
}

// maxPlacedStreams bounds the streams placed between two updates.
const maxPlacedStreams = 1 << 16
