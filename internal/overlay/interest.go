package overlay

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file keeps messages away from followers that have no use for them. Where a service has thousands of engines,
// each box sends streams to only some of the engines. The box has no use for messages about the other engines. A box
// without followers tells its upstream which engines it uses, and is sent the messages about those engines. A box with
// followers is sent all messages, since it forwards them. So the number of messages that most boxes receive does not
// grow with the streams of the fleet.
//
// The alternative was to send messages about an engine only to the engine's owner. The owner is the box that all other
// boxes ask before they place a stream there. The owner would forward the messages to the boxes that subscribed. That
// also relieves the boxes along the way, but costs each box a subscription at each owner.

// interest is the set of engines that a box has a use for messages about. The zero value stands for all engines.
type interest struct {
	// engines holds the hashes of engine names; nil stands for all engines.
	engines map[uint32]bool
}

// engineHash returns the hash by which an interest identifies an engine.
func engineHash(engine string) uint32 { return uint32(xxhash.Sum64String(engine)) }

func newInterest(engines []string) interest {
	wanted := interest{engines: make(map[uint32]bool, len(engines))}
	for _, e := range engines {
		wanted.engines[engineHash(e)] = true
	}
	return wanted
}

func (in interest) equal(other interest) bool {
	return (in.engines == nil) == (other.engines == nil) && maps.Equal(in.engines, other.engines)
}

func (in interest) encode() *v1.Interest {
	return &v1.Interest{All: in.engines == nil, Engines: slices.Sorted(maps.Keys(in.engines))}
}

// maxInterestEngines bounds the engines that a follower may name. A follower that names more is sent all messages.
const maxInterestEngines = 4096

func decodeInterest(m *v1.Interest) (wanted interest) {
	if m.All || len(m.Engines) > maxInterestEngines {
		return wanted
	}
	wanted.engines = make(map[uint32]bool, len(m.Engines))
	for _, e := range m.Engines {
		wanted.engines[e] = true
	}
	return wanted
}

// wants reports whether a box with this interest has a use for a message. A message that is not about an engine
// is always of use.
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

// interestState holds the interest of this box, and the interest that this box's upstream knows. The zero value of
// either interest stands for all engines.
type interestState struct {
	mu      sync.Mutex
	current interest
	// sent is the interest that was last sent to the upstream. An upstream that was sent no interest assumes all
	// engines. unconfirmed means that the last call that sent the interest failed. Then the upstream possibly does
	// not have the interest.
	sent        interest
	unconfirmed bool
}

// set replaces the interest of this box.
func (i *interestState) set(next interest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.current = next
}

// reset forgets the interest that was sent to a previous upstream. The new upstream does not know that interest.
func (i *interestState) reset() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.sent, i.unconfirmed = interest{}, false
}

// takeChange returns the interest to send to the upstream and marks it as sent. It returns nil if the upstream already
// knows the interest. Followed means that this box has followers. A box with followers has a use for all messages.
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

// markUnconfirmed records that the upstream possibly did not get the interest. Then the interest is sent again.
func (i *interestState) markUnconfirmed() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unconfirmed = true
}

// SetInterest sets the engines that this box has a use for messages about; nil stands for all engines. It also wakes
// the goroutine that sends the interest to the upstream.
func (n *Node) SetInterest(engines []string) {
	next := interest{}
	if engines != nil {
		next = newInterest(engines)
	}
	n.interests.set(next)
	n.signalInterest()
}

// signalInterest wakes the goroutine that sends to the upstream. That goroutine sends the interest if it has changed.
func (n *Node) signalInterest() {
	n.mu.Lock()
	up := n.upstream
	n.mu.Unlock()
	if up != nil {
		up.queue.signal()
	}
}

// setInterest sets the engines that a follower is sent messages about.
func (n *Node) setInterest(f *follower, next interest) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.interest = next
}

// countOmitted counts the stream of a StreamPlaced message that the follower is not sent. Messages of other kinds are
// not counted. The lock of the node must be held.
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

// receivePlaced processes a count of placed streams. The messages about these streams were not sent to this box.
func (n *Node) receivePlaced(m *v1.StreamsPlaced) {
	if m.N > 0 && m.N < maxPlacedStreams {
		n.o.OnMessage(Message{At: clock.Now(), Omitted: &OmittedStreams{Service: m.Service, Placed: int(m.N)}})
	}
}

// maxPlacedStreams bounds the number of omitted streams in one update of the upstream. A count that reaches this bound
// is invalid and ignored.
const maxPlacedStreams = 1 << 16
