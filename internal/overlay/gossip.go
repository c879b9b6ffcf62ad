package overlay

import (
	"maps"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file sends gossip messages to all boxes of the tree. A box forwards each message to its upstream and its
// followers, but not back to the box that it received the message from. A box accepts each message only once. In
// the protocol a message has the type Fact.

// messageQueue holds the messages that wait to be sent to one box. When the queue is full, the oldest messages
// are dropped, because newer messages are worth more.
type messageQueue struct {
	// wake has an element while there are messages to send.
	wake chan struct{}

	mu       *sync.Mutex
	messages []queuedMessage
}

// queuedMessage is a gossip message. At is the time of the observation that the message reports.
type queuedMessage struct {
	fact *v1.Fact
	at   time.Time
}

func newMessageQueue() messageQueue {
	return messageQueue{wake: make(chan struct{}, 1), mu: &sync.Mutex{}}
}

func (q *messageQueue) add(message queuedMessage) (dropped int) {
	q.mu.Lock()
	q.messages = append(q.messages, message)
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

// drain empties the queue and returns its messages. The age of each message is its age at the time now.
func (q *messageQueue) drain(now time.Time) []*v1.Fact {
	q.mu.Lock()
	list := q.messages
	q.messages = nil
	q.mu.Unlock()
	out := make([]*v1.Fact, len(list))
	for i, message := range list {
		// The message is copied, because it is queued for other boxes too.
		out[i] = &v1.Fact{Box: message.fact.Box, Incarnation: message.fact.Incarnation, Seq: message.fact.Seq, Kind: message.fact.Kind, AgeMs: max(0, now.Sub(message.at).Milliseconds())}
	}
	return out
}

// Publish sends a gossip message of this box to the upstream and the followers. The message reports an observation
// that this box made.
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

// receive processes a message that the upstream or a follower sent. If the upstream sent it, fromUpstream is the link
// to the upstream and fromFollower is nil. If a follower sent it, fromUpstream is nil. A valid message that is new
// is forwarded and passed to OnMessage.
func (n *Node) receive(m *v1.Fact, fromUpstream *link, fromFollower *follower) {
	now := clock.Now()
	msg, ok := decode(m, now)
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
		return // So a box that is not listed gets no element in lastReceived.
	}
	n.lastReceived[m.Box] = messagePosition{m.Incarnation, m.Seq, now}
	n.forward(queuedMessage{m, msg.At}, fromUpstream, fromFollower)
	n.mu.Unlock()
	n.count.received.Inc()
	n.o.OnMessage(msg)
}

// forgetLastReceived forgets the last messages of boxes that have left. It keeps those received less than maxMessageAge
// ago, because late copies of the box's messages may still arrive, and the box may be listed again by then.
func (n *Node) forgetLastReceived(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	maps.DeleteFunc(n.lastReceived, func(box string, last messagePosition) bool {
		_, listed := n.members.get(box)
		return !listed && now.Sub(last.receivedAt) > maxMessageAge
	})
}

// forward queues a message for the upstream and the followers, except the box that sent the message. A follower
// that has no use for the message does not get it. n.mu must be held.
func (n *Node) forward(message queuedMessage, fromUpstream *link, fromFollower *follower) {
	if n.upstream != nil && n.upstream != fromUpstream {
		n.count.dropped.Add(n.upstream.queue.add(message))
	}
	for to := range n.followers {
		if to == fromFollower || to.name == message.fact.Box {
			continue
		}
		if !to.interest.wants(message.fact) {
			to.countOmitted(message.fact)
			continue
		}
		n.count.dropped.Add(to.queue.add(message))
	}
}
