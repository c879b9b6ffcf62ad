// Package notice keeps what endpoints say of themselves in the heads of their answers. Whoever is to
// send something new to an endpoint asks the Table first.
//
// A notice is known by the endpoint's ID, which names one start: it outlives each change of the list and
// of the configuration, and ends with the start.
package notice

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/pacing"
)

// Notice is what the head of one answer says of the endpoint that sent it.
type Notice struct {
	// Limit is how many requests a second the endpoint takes from all boxes together; 0 if it names no
	// limit.
	Limit float64
	// Leaving says that the endpoint will end and takes nothing new.
	Leaving bool
	// Rest is for how long it wants nothing of the box that it has turned away; 0 if it does not ask for
	// any.
	Rest time.Duration
	// Unread describes what the head says and could not be read; empty if there is nothing of the kind.
	// What the endpoint said before still counts.
	Unread string
}

// Answer is one answer of an endpoint.
type Answer struct {
	Endpoint string
	// Region is where the endpoint is: the boxes listed for it share what the endpoint takes.
	Region string
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
	_ Change = iota
	// LimitNamed is a first limit or another one, LimitRepeated the same one after a while, and
	// LimitLifted the end of it.
	LimitNamed
	LimitRepeated
	LimitLifted
	// Leaves is the first word that the endpoint leaves, and RestAsked a rest that ends later than the last.
	Leaves
	RestAsked
	// Misread is a notice that could not be read, the first of its kind.
	Misread
)

// endpoint is what one endpoint said. The zero value has said nothing.
type endpoint struct {
	region string
	limit  float64 // Requests a second; 0 for none.
	// limitAt is when the request was sent whose answer named the limit last, and passedOn when that was
	// last published to the other boxes.
	limitAt, passedOn time.Time
	pacer             pacing.Pacer
	// version is that of the list of boxes by which pacer was settled, and renewAt when the list is looked
	// at again; zero where the limit has changed.
	version int64
	renewAt time.Time
	leaving bool
	restBy  time.Time // When the rest of this box is over; zero if none was asked for.
	// unread is what was last not read, as of unreadAt: an endpoint may say another thing each time.
	unread   string
	unreadAt time.Time
	saidAt   time.Time // When it said anything last.
}

// Boxes lists the boxes that may send to endpoints of a region, with a number that changes with the list.
type Boxes func(region string) (names []string, version int64)

// Table keeps what endpoints said. It is safe for concurrent use.
type Table struct {
	box   string
	boxes Boxes
	epoch time.Time
	// known counts the endpoints in byID, so that nobody waits for the lock while there are none, and
	// limits those with a limit.
	known, limits atomic.Int64

	mu   sync.Mutex
	byID map[string]*endpoint
}

// NewTable returns a table, for one box, of endpoints that have said nothing.
func NewTable(box string, boxes Boxes) *Table {
	return &Table{box: box, boxes: boxes, epoch: clock.Now(), byID: map[string]*endpoint{}}
}

// repeatAfter is how often a limit that still counts is published again, since messages are lost and boxes
// start meanwhile, and how often a notice that cannot be read is logged.
const repeatAfter = 5 * time.Second

// Observe takes the head of an answer, and returns what it changes.
func (t *Table) Observe(now time.Time, a Answer) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[a.Endpoint]
	if e == nil {
		if a.Notice == (Notice{}) {
			return nil
		}
		e = &endpoint{}
		t.byID[a.Endpoint] = e
		t.known.Add(1)
	}
	e.region = a.Region
	if a.Notice != (Notice{}) {
		e.saidAt = now
	}
	changes := t.takeLimit(now, e, a)
	if a.Notice.Leaving && !e.leaving {
		e.leaving = true
		changes = append(changes, Leaves)
	}
	if by := now.Add(a.Notice.Rest); a.Notice.Rest > 0 && by.After(e.restBy) {
		e.restBy = by
		changes = append(changes, RestAsked)
	}
	if other := e.unread != a.Notice.Unread; a.Notice.Unread != "" && other && now.Sub(e.unreadAt) >= repeatAfter {
		e.unread, e.unreadAt = a.Notice.Unread, now
		changes = append(changes, Misread)
	}
	return changes
}

// takeLimit takes what an answer says of a limit. The lock is held.
func (t *Table) takeLimit(now time.Time, e *endpoint, a Answer) []Change {
	switch {
	case a.Notice.Limit > 0:
		changed := math.Abs(a.Notice.Limit-e.limit) > otherLimit*e.limit
		if e.limit == 0 {
			t.limits.Add(1)
		}
		e.limit, e.limitAt = a.Notice.Limit, latest(e.limitAt, a.Sent)
		if changed {
			e.passedOn, e.renewAt = now, time.Time{}
			return []Change{LimitNamed}
		}
		if now.Sub(e.passedOn) >= repeatAfter {
			e.passedOn = now
			return []Change{LimitRepeated}
		}
	case a.Notice.Unread == "" && e.limit > 0 && a.Ran && a.Sent.After(e.limitAt):
		t.lift(e)
		return []Change{LimitLifted}
	}
	return nil
}

// Knows says whether an endpoint has said anything: an answer without a notice changes nothing otherwise.
func (t *Table) Knows(id string) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byID[id] != nil
}

// lift ends the limit of an endpoint. The lock is held.
func (t *Table) lift(e *endpoint) {
	if e.limit > 0 {
		t.limits.Add(-1)
	}
	e.limit, e.pacer, e.renewAt = 0, pacing.Pacer{}, time.Time{}
}

// Leaving says that an endpoint has said that it leaves. Nothing takes that back: it is said of one start.
func (t *Table) Leaving(id string) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	return e != nil && e.leaving
}

// Rests says that an endpoint has asked this box for rest that is not over.
func (t *Table) Rests(id string, now time.Time) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	return e != nil && now.Before(e.restBy)
}

// Wait is how long an endpoint takes nothing new of this box; 0 if it takes some now.
func (t *Table) Wait(id string, now time.Time) time.Duration {
	if t.known.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.byID[id]
	if e == nil {
		return 0
	}
	rest := max(0, e.restBy.Sub(now))
	if e.limit == 0 {
		return rest
	}
	t.renew(e, id, now)
	return max(rest, e.pacer.Wait(now, t.epoch))
}

// Sent notes that something new is sent to an endpoint that took it.
func (t *Table) Sent(id string, now time.Time) {
	if t.known.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[id]; e != nil && e.limit > 0 {
		t.renew(e, id, now)
		e.pacer.Sent(now, t.epoch)
	}
}

// renewAfter is how often the list of boxes is looked at for a limit.
const renewAfter = 250 * time.Millisecond

// renew works this box's share of a limit out anew where the limit or the list of boxes has changed. The
// lock is held.
func (t *Table) renew(e *endpoint, id string, now time.Time) {
	if now.Before(e.renewAt) {
		return
	}
	names, version := t.boxes(e.region)
	if e.renewAt.IsZero() || e.version != version {
		e.pacer.Settle(now, pacing.ShareOf(t.box, names, id, e.limit))
	}
	e.version, e.renewAt = version, now.Add(renewAfter)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// keptFor is for how long an endpoint is remembered that asks for nothing, or is not listed: longer than a
// list is without entries that lapsed while the store was away.
const keptFor = 10 * time.Minute

// Keep forgets endpoints that said nothing for long and ask for nothing any more or are not listed.
func (t *Table) Keep(now time.Time, listed func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.byID {
		asks := e.limit > 0 || e.leaving || now.Before(e.restBy)
		if now.Sub(e.saidAt) > keptFor && !(asks && listed(id)) {
			t.lift(e)
			delete(t.byID, id)
			t.known.Add(-1)
		}
	}
}

// Limited counts the endpoints that have a limit now.
func (t *Table) Limited() int { return int(t.limits.Load()) }
