package overlay

import (
	"maps"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/peak"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// This file decides which box is asked for the slots of a cell, and whether this box may act as owner of a cell. It
// avoids that several boxes act as owners of the same cell.

const (
	// An owner that did not answer in time is asked again after firstSlotRetryInterval. The interval doubles up to
	// slotRetryInterval. With 2 s, a single late answer made the asking box use another owner for 2 s, and the endpoints
	// got the calls of both. With 250 ms from the start, they got the calls of the owner and of the own part for as long.
	firstSlotRetryInterval = 50 * time.Millisecond
	slotRetryInterval      = 250 * time.Millisecond
	// slotStallSlack is by how much a time-out must be late for the time to count as one in which this box stood still.
	slotStallSlack = 10 * time.Millisecond
	// slotAnswerHalfLife is the half-life of the longest recent time to an owner's first answer.
	slotAnswerHalfLife = 5 * time.Second
	// slotLostTimeout is how long an owner must not have answered before the next box in rendezvous order is asked.
	// Until then the asking box uses its own part.
	slotLostTimeout = 500 * time.Millisecond
	// slotGrantMemory is how long after a grant a box counts as an owner of the cell.
	slotGrantMemory = time.Second
	// slotSettleTime is how long after the start of a box other boxes that started at the same time may be missing in
	// the list of boxes. A box registers itself within 0.4 s, and reads the list again 1 s after its last change.
	slotSettleTime = time.Second
	// slotUpstreamAge is how much older than this box an upstream must be for its list of boxes to count as complete.
	// The clocks of boxes agree only roughly.
	slotUpstreamAge = 5 * time.Second
	// notFirstPart is the part of the slots that an owner grants that is not the first box in its own rendezvous order, or
	// has had a complete list for less than slotRetryInterval. Another owner may still serve others.
	notFirstPart = 0.5
)

// slotOwnerStates holds what this box knows of the boxes that it asks for slots.
type slotOwnerStates struct {
	mu     sync.Mutex
	byName map[string]slotOwnerState
}

// slotOwnerState is what a box knows of another box that it asks for slots.
type slotOwnerState struct {
	incarnation int64 // A state of another incarnation does not count.
	// skipUntil is the time until which the next box is asked instead: the box stops, refuses connections or serves no
	// slots.
	skipUntil time.Time
	// silentSince is when the box first did not answer in time; zero if it has answered since. retryAt is the time from
	// which it is asked again.
	silentSince, retryAt time.Time
	retryInterval        time.Duration
	// answeredAt is when the box answered last. longestAnswer is the longest recent time to its first answer to a request.
	answeredAt    time.Time
	longestAnswer peak.Duration
}

// slotChoice says what to do with a possible owner.
type slotChoice uint8

const (
	askOwner   slotChoice = iota
	awaitOwner            // The box did not answer recently. This box decides by its own part meanwhile.
	skipOwner             // The next box is asked.
)

// choose says whether a box is asked now. With claim, only one caller per retry interval is told to ask a box that
// did not answer, so that only one request waits for it.
func (s *slotOwnerStates) choose(m Member, now time.Time, claim bool) slotChoice {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, known := s.byName[m.Name]
	switch {
	case !known || st.incarnation != m.Incarnation:
		return askOwner
	case now.Before(st.skipUntil):
		return skipOwner
	case st.silentSince.IsZero():
		return askOwner
	case !now.Before(st.retryAt):
		if claim {
			st.delayRetry(now)
			s.byName[m.Name] = st
		}
		return askOwner
	case now.Sub(st.silentSince) < slotLostTimeout:
		return awaitOwner
	}
	return skipOwner
}

// update changes the state of a box.
func (s *slotOwnerStates) update(m Member, change func(*slotOwnerState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]slotOwnerState{}
	}
	st := s.byName[m.Name]
	if st.incarnation != m.Incarnation {
		st = slotOwnerState{incarnation: m.Incarnation}
	}
	change(&st)
	s.byName[m.Name] = st
}

// answered records an answer of a box.
func (s *slotOwnerStates) answered(m Member, now time.Time) {
	s.update(m, func(st *slotOwnerState) { st.silentSince, st.answeredAt = time.Time{}, now })
}

// silent records that a box did not answer a request in time. It has no effect if the box answered another request
// since that one was sent.
func (s *slotOwnerStates) silent(m Member, sent, now time.Time) {
	s.update(m, func(st *slotOwnerState) {
		if st.answeredAt.After(sent) {
			return
		}
		st.longestAnswer.Record(now.Sub(sent), now, slotAnswerHalfLife)
		if st.silentSince.IsZero() {
			st.silentSince, st.retryInterval = now, firstSlotRetryInterval/2
			st.delayRetry(now)
		}
	})
}

// answerTook records the time to the first answer to a request.
func (s *slotOwnerStates) answerTook(m Member, took time.Duration, now time.Time) {
	s.update(m, func(st *slotOwnerState) { st.longestAnswer.Record(took, now, slotAnswerHalfLife) })
}

// firstTimeout returns how long to wait for the first answer of a box: twice its longest recent one, within bounds. An
// owner that is short of processor time is waited for, since calls by the own part come on top of those that it grants.
func (s *slotOwnerStates) firstTimeout(m Member, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byName[m.Name]
	if st.incarnation != m.Incarnation {
		return slotFirstTimeout
	}
	return min(max(2*st.longestAnswer.At(now, slotAnswerHalfLife), slotFirstTimeout), slotQueuedTimeout)
}

// delayRetry sets the time from which the box is asked again.
func (st *slotOwnerState) delayRetry(now time.Time) {
	st.retryInterval = min(2*st.retryInterval, slotRetryInterval)
	st.retryAt = now.Add(st.retryInterval)
}

// silenceTimer calls a function when an owner was silent for a time. Time in which this box itself stood still does not
// count: a box that is short of processor time would take its owner for gone. While the owner answers other requests,
// the time is extended up to slotQueuedTimeout: with one late answer in a hundred, calls by the own part were added to
// those of an owner that used all slots.
type silenceTimer struct {
	// answered reports whether the owner has answered another request since a time.
	answered func(since time.Time) bool
	fire     func()

	mu       sync.Mutex
	timer    *time.Timer
	timeout  time.Duration
	due      time.Time
	began    time.Time
	extended bool // The timer was set once more because this box stood still.
	ended    bool
}

func newSilenceTimer(timeout time.Duration, answered func(since time.Time) bool, fire func()) *silenceTimer {
	now := time.Now()
	t := &silenceTimer{answered: answered, fire: fire, timeout: timeout, began: now, due: now.Add(timeout)}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.onTimer)
	return t
}

func (t *silenceTimer) onTimer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	late := now.Sub(t.due)
	stalled := late > slotStallSlack && !t.extended
	switch {
	case t.ended || late < 0: // The timer was stopped or reset meanwhile.
	case stalled, now.Sub(t.began) < slotQueuedTimeout && t.answered(t.due.Add(-t.timeout)):
		t.extended = t.extended || stalled
		t.due = now.Add(t.timeout)
		t.timer.Reset(t.timeout)
	default:
		t.ended = true
		t.fire()
	}
}

// reset starts the time again, unless it is over.
func (t *silenceTimer) reset(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.timeout, t.began, t.extended = timeout, time.Now(), false
		t.due = t.began.Add(timeout)
		t.timer.Reset(timeout)
	}
}

// stop ends the timer. It returns false if the time was over before.
func (t *silenceTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := !t.ended
	t.ended = true
	t.timer.Stop()
	return running
}

// answeredSince reports whether a box has answered a request since a time.
func (s *slotOwnerStates) answeredSince(m Member, since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.byName[m.Name]
	return st.incarnation == m.Incarnation && st.answeredAt.After(since)
}

// alive records that a silent box grants slots to others: it is asked again before the next box is.
func (s *slotOwnerStates) alive(m Member, now time.Time) {
	s.update(m, func(st *slotOwnerState) {
		if !st.silentSince.IsZero() {
			st.silentSince = now
		}
	})
}

// skip records that the next box is asked instead of this one for some time.
func (s *slotOwnerStates) skip(m Member, until time.Time) {
	s.update(m, func(st *slotOwnerState) { st.skipUntil = until })
}

// retain removes the states of boxes that are not in the list, if there are more states than listed boxes.
func (s *slotOwnerStates) retain(listed int, isListed func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byName) > listed {
		maps.DeleteFunc(s.byName, func(name string, _ slotOwnerState) bool { return !isListed(name) })
	}
}

// slotGrantor is a box that granted a slot of a cell.
type slotGrantor struct {
	name        string
	incarnation int64
	at          time.Time
}

func (g slotGrantor) recent(now time.Time) bool {
	return g.name != "" && now.Sub(g.at) < slotGrantMemory
}

// slotGrantors holds the latest grantor of each cell.
type slotGrantors struct {
	mu     sync.Mutex
	byCell map[slots.Cell]slotGrantor
}

func (s *slotGrantors) set(cell slots.Cell, g slotGrantor) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byCell == nil {
		s.byCell = map[slots.Cell]slotGrantor{}
	}
	if len(s.byCell) >= maxRankedCells {
		maps.DeleteFunc(s.byCell, func(_ slots.Cell, old slotGrantor) bool { return !old.recent(g.at) })
	}
	if old := s.byCell[cell]; len(s.byCell) < maxRankedCells && !old.at.After(g.at) {
		s.byCell[cell] = g
	}
}

func (s *slotGrantors) get(cell slots.Cell) slotGrantor {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byCell[cell]
}

// lastGrantor returns the box that last granted this box a slot of a cell, for the box that is asked next. The name is
// empty if that is too long ago, or if that box is known to have stopped or restarted since.
func (n *Node) lastGrantor(cell slots.Cell, now time.Time) slotGrantor {
	g := n.slots.granted.get(cell)
	if !g.recent(now) {
		return slotGrantor{}
	}
	m, listed := n.members.get(g.name)
	if !listed || m.Incarnation != g.incarnation || n.slots.owners.isSkipped(m, now) {
		return slotGrantor{}
	}
	return g
}

// isSkipped reports whether a box stops, refuses connections or serves no slots, as far as this box knows.
func (s *slotOwnerStates) isSkipped(m Member, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byName[m.Name].skipUntil)
}

// ownerBefore returns a box that goes before this box as owner of a cell and has granted slots of it within
// slotGrantMemory, according to the boxes that asked this box. reported is what the present request says.
func (n *Node) ownerBefore(cell slots.Cell, reported slotGrantor, now time.Time) (name string, ok bool) {
	if n.goesBefore(reported, cell) {
		n.slots.reported.set(cell, reported)
	}
	g := n.slots.reported.get(cell)
	return g.name, g.recent(now) && n.goesBefore(g, cell)
}

// goesBefore reports whether a box that granted a slot goes before this box in the rendezvous order of a cell. A box
// that was started again since does not count: its grants ended with it.
func (n *Node) goesBefore(g slotGrantor, cell slots.Cell) bool {
	if g.name == "" || g.name == n.o.Self.Name {
		return false
	}
	if m, listed := n.members.get(g.name); listed && m.Incarnation != g.incarnation {
		return false
	}
	return compareRank(Member{Name: g.name}, n.o.Self, slotKey(cell)) < 0
}

// mayOwnSlots reports whether this box may act as owner of cells. It may not until it has heard the list of boxes since
// its start, as the list may lack boxes that started at the same time. A list with only this box does not count either
// while others are known to exist.
func (n *Node) mayOwnSlots() bool {
	if n.o.MembersAge == nil {
		return true
	}
	if names, _ := n.Boxes(n.o.Self.Region); len(names) <= 1 && n.knowsOthers() {
		return false
	}
	if n.slots.listKnownAt.Load() != nil {
		return true
	}
	m, listed := n.members.get(n.o.Self.Name)
	if !listed || m != n.o.Self {
		return false
	}
	n.mu.Lock()
	upstream := n.upstream
	n.mu.Unlock()
	now := clock.Now()
	settled := n.startedAt.Add(slotSettleTime)
	heard := now.Add(-n.o.MembersAge()).After(settled) || upstream != nil && n.o.Self.Incarnation-upstream.member.Incarnation > int64(slotUpstreamAge)
	if heard {
		n.slots.listKnownAt.CompareAndSwap(nil, &now)
	}
	return heard
}

// knowsOthers reports whether this box knows of other boxes than those in its list: its configuration names one while
// the store does not answer. While the store answers, its list is right, and the configuration may be out of date.
func (n *Node) knowsOthers() bool {
	for _, address := range n.o.Seeds {
		if address != n.o.Self.Address {
			return n.storeLost()
		}
	}
	return false
}

// SlotOwnerPart returns the part of a cell's slots that this box may grant as owner; 0 if it must not act as owner.
func (n *Node) SlotOwnerPart(cell slots.Cell) float64 {
	if !n.mayOwnSlots() {
		return 0
	}
	if ranked := n.slotOwners(cell); len(ranked) > 0 && ranked[0].Name != n.o.Self.Name {
		return notFirstPart
	}
	if at := n.slots.listKnownAt.Load(); at != nil && clock.Since(*at) < slotRetryInterval {
		return notFirstPart
	}
	return 1
}
