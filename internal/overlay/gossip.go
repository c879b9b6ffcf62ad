package overlay

import (
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file sends gossip messages to all boxes of the tree. A box forwards each message to its upstream and its
// followers, except to the box that sent it. It accepts a message only once.

// messageQueue holds the messages that wait to be sent to one box. When the queue is full, the oldest messages
// are dropped: newer messages are worth more.
type messageQueue struct {
	// wake has an element while there is something to send.
	wake chan struct{}

	mu       *sync.Mutex
	messages []queuedMessage
}

// queuedMessage is a message with the time at which its observation was made.
type queuedMessage struct {
	f  *v1.Fact
	at time.Time
}

func newMessageQueue() messageQueue {
	return messageQueue{wake: make(chan struct{}, 1), mu: &sync.Mutex{}}
}

func (q *messageQueue) add(f queuedMessage) (dropped int) {
	q.mu.Lock()
	q.messages = append(q.messages, f)
	if dropped = len(q.messages) - maxQueuedMessages; dropped > 0 {
		q.messages = append([]queuedMessage(nil), q.messages[dropped:]...)
	}
	q.mu.Unlock()
	q.signal()
	return max(0, dropped)
}

func (q *messageQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// drain empties the queue and returns its messages. Their ages are as of now.
func (q *messageQueue) drain(now time.Time) []*v1.Fact {
	q.mu.Lock()
	list := q.messages
	q.messages = nil
	q.mu.Unlock()
	out := make([]*v1.Fact, len(list))
	for i, f := range list {
		// Copied, because the same message is queued for other boxes too.
		out[i] = &v1.Fact{Box: f.f.Box, Incarnation: f.f.Incarnation, Seq: f.f.Seq, Kind: f.f.Kind, AgeMs: max(0, now.Sub(f.at).Milliseconds())}
	}
	return out
}

// Publish sends an observation of this box to the others.
func (n *Node) Publish(msg Message) {
	m := msg.encode(msg.At)
	m.Box, m.Incarnation = n.o.Self.Name, n.o.Self.Incarnation
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seq++
	m.Seq = n.seq
	n.count.published.Inc()
	n.forward(queuedMessage{m, msg.At}, nil, nil)
}

// receive processes a message from the upstream, by its link, or from a follower; the other one of both is nil.
func (n *Node) receive(m *v1.Fact, by *link, from *follower) {
	now := clock.Now()
	f, ok := decode(m, now)
	if !ok || m.Box == "" || m.Box == n.o.Self.Name {
		return
	}
	n.mu.Lock()
	last := n.lastReceived[m.Box]
	if m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Seq <= last.seq {
		n.mu.Unlock()
		return
	}
	if _, listed := n.members.get(m.Box); !listed {
		n.mu.Unlock()
		return // So lastReceived stays as small as the list of members.
	}
	n.lastReceived[m.Box] = messagePosition{m.Incarnation, m.Seq}
	n.forward(queuedMessage{m, f.At}, by, from)
	n.mu.Unlock()
	n.count.received.Inc()
	n.o.OnMessage(f)
}

// forward queues a message for the upstream and all followers but the box that sent it. The lock is held.
func (n *Node) forward(f queuedMessage, by *link, from *follower) {
	if n.upstream != nil && n.upstream != by {
		n.count.dropped.Add(n.upstream.queue.add(f))
	}
	for to := range n.followers {
		if to == from || to.name == f.f.Box {
			continue
		}
		if !to.interest.wants(f.f) {
			to.countOmitted(f.f)
			continue
		}
		n.count.dropped.Add(to.queue.add(f))
	}
}
