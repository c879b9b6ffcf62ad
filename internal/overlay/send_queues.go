package overlay

import "sync"

// sendQueues holds messages that wait to be sent, by destination. An element of pending exists for as long as a goroutine
// sends the messages of that destination. The zero value is empty and ready for use.
type sendQueues[K comparable, M any] struct {
	mu      sync.Mutex
	pending map[K][]M
}

// add queues a message, of which at most most wait for a destination. Dropped is how many of the oldest were dropped for
// it. Start means that the caller must start to send the messages of the destination.
func (q *sendQueues[K, M]) add(key K, m M, most int) (dropped int, start bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending == nil {
		q.pending = map[K][]M{}
	}
	list, sending := q.pending[key]
	if len(list) >= most {
		list, dropped = list[1:], 1
	}
	q.pending[key] = append(list, m)
	return dropped, !sending
}

// take removes the messages of the next call, at most most. If there are none, it removes the destination's element.
func (q *sendQueues[K, M]) take(key K, most int) []M {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.pending[key]
	if len(list) == 0 {
		delete(q.pending, key)
		return nil
	}
	k := min(len(list), most)
	q.pending[key] = list[k:]
	return list[:k]
}
