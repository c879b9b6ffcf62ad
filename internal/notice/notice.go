// Package notice keeps what endpoints say of themselves in the heads of their answers. Whoever is to
// send something new to an endpoint asks the Table first.
//
// A notice is known by the endpoint's ID, which names one start: it outlives each change of the list and
// of the configuration, and ends with the start.
package notice

import (
	"math"
	"sync"
	"time"
)

// Notice is what the head of one answer says of the endpoint that sent it.
type Notice struct {
	// Limit is how many requests a second the endpoint takes from all boxes together; 0 if it names no
	// limit.
	Limit float64
	// Unread describes what the head says and could not be read; empty if there is nothing of the kind.
	// What the endpoint said before still counts.
	Unread string
}

// Answer is one answer of an endpoint.
type Answer struct {
	Endpoint string
	// Sent is when its request was sent, by the box's steady clock.
	Sent time.Time
	// Ran says that the endpoint ran a caller's request to a good end. Only such an answer can take a
	// notice back: whether others repeat what still counts is not known.
	Ran    bool
	Notice Notice
}

// otherLimit is the part of a limit by which the next must differ to be another one. An endpoint may name
// a slightly different number in each answer.
const otherLimit = 0.1

// Change is what an answer changed of what is known of an endpoint.
type Change uint8

// The changes.
const (
	None Change = iota
	// LimitNamed is a first limit or another one, and LimitLifted the end of it.
	LimitNamed
	LimitLifted
	// Misread is a notice that could not be read, the first of its kind.
	Misread
)

// endpoint is what one endpoint said. The zero value has said nothing.
type endpoint struct {
	limit float64 // Requests a second; 0 for none.
	// limitAt is when the request was sent whose answer named the limit last.
	limitAt time.Time
	unread  string // What was last not read.
	heardAt time.Time
}

// Table keeps what endpoints said. It is safe for concurrent use.
type Table struct {
	mu   sync.Mutex
	byID map[string]*endpoint
}

// NewTable returns a table of endpoints that have said nothing.
func NewTable() *Table { return &Table{byID: map[string]*endpoint{}} }

// Heard takes the head of an answer.
func (t *Table) Heard(now time.Time, a Answer) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[a.Endpoint]
	if e == nil {
		if a.Notice == (Notice{}) {
			return None
		}
		e = &endpoint{}
		t.byID[a.Endpoint] = e
	}
	e.heardAt = now
	switch {
	case a.Notice.Unread != "":
		fresh := e.unread != a.Notice.Unread
		e.unread = a.Notice.Unread
		if fresh {
			return Misread
		}
	case a.Notice.Limit > 0:
		changed := math.Abs(a.Notice.Limit-e.limit) > otherLimit*e.limit
		e.limit, e.limitAt = a.Notice.Limit, latest(e.limitAt, a.Sent)
		if changed {
			return LimitNamed
		}
	case e.limit > 0 && a.Ran && a.Sent.After(e.limitAt):
		e.limit = 0
		return LimitLifted
	}
	return None
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keptFor is for how long an endpoint is remembered that is not listed and says nothing: longer than a
// list is without entries that lapsed while the store was away.
const keptFor = 10 * time.Minute

// Keep forgets endpoints that are not listed and were not heard of for long.
func (t *Table) Keep(now time.Time, listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		if !listed(id) && now.Sub(e.heardAt) > keptFor {
			delete(t.byID, id)
		}
	}
}

// Limited counts the endpoints that have a limit now.
func (t *Table) Limited() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.byID {
		if e.limit > 0 {
			n++
		}
	}
	return n
}
