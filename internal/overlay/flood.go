package overlay

import (
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file sends facts through the tree: each goes on to every neighbour but the one it
// came from, and is taken once.

// queue holds the facts that wait to be sent to one box. When it is full the oldest go: what
// comes later says more.
type queue struct {
	// wake has an entry while there is something to send.
	wake chan struct{}

	mu    *sync.Mutex
	facts []queued
}

// queued is a fact with when it was so.
type queued struct {
	f  *v1.Fact
	at time.Time
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1), mu: &sync.Mutex{}} }

func (q *queue) add(f queued) (dropped int) {
	q.mu.Lock()
	q.facts = append(q.facts, f)
	if dropped = len(q.facts) - mostQueued; dropped > 0 {
		q.facts = append([]queued(nil), q.facts[dropped:]...)
	}
	q.mu.Unlock()
	q.poke()
	return max(0, dropped)
}

func (q *queue) poke() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// take empties the queue; the facts' ages are as of now.
func (q *queue) take(now time.Time) []*v1.Fact {
	q.mu.Lock()
	list := q.facts
	q.facts = nil
	q.mu.Unlock()
	out := make([]*v1.Fact, len(list))
	for i, f := range list {
		// A copy: the same fact waits for other boxes too.
		out[i] = &v1.Fact{Box: f.f.Box, Incarnation: f.f.Incarnation, Seq: f.f.Seq, Kind: f.f.Kind, AgeMs: max(0, now.Sub(f.at).Milliseconds())}
	}
	return out
}

// Tell passes on what this box learned.
func (n *Node) Tell(f Fact) {
	m := f.encode(f.At)
	m.Box, m.Incarnation = n.o.Self.Name, n.o.Self.Incarnation
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seq++
	m.Seq = n.seq
	n.count.told.Inc()
	n.spread(queued{m, f.At}, nil, nil)
}

// heard takes a fact that came by a link or from a follower.
func (n *Node) heard(m *v1.Fact, by *link, from *follower) {
	now := clock.Now()
	f, ok := decode(m, now)
	if !ok || m.Box == "" || m.Box == n.o.Self.Name {
		return
	}
	n.mu.Lock()
	last := n.seen[m.Box]
	if m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Seq <= last.seq {
		n.mu.Unlock()
		return
	}
	if _, listed := n.members.get(m.Box); !listed {
		n.mu.Unlock()
		return // The map of boxes stays as small as the list.
	}
	n.seen[m.Box] = seenFact{m.Incarnation, m.Seq}
	n.spread(queued{m, f.At}, by, from)
	n.mu.Unlock()
	n.count.heard.Inc()
	n.o.Heard(f)
}

// spread queues a fact for all neighbours but the one it came from. The lock is held.
func (n *Node) spread(f queued, by *link, from *follower) {
	if n.up != nil && n.up != by {
		n.count.dropped.Add(n.up.queue.add(f))
	}
	for to := range n.followers {
		if to == from || to.name == f.f.Box {
			continue
		}
		if !to.interest.wants(f.f) {
			to.leaveOut(f.f)
			continue
		}
		n.count.dropped.Add(to.queue.add(f))
	}
}
