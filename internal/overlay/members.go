package overlay

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Member is one start of a box, as it lists itself in the platform's store.
type Member struct {
	Name string `json:"-"` // The row's key.
	// Region and Hall say where it stands. Boxes follow only others of their region.
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Address is where it serves other boxes, ip:port.
	Address string `json:"address"`
	// Incarnation tells the starts of a box apart and grows with each. It is the time of its
	// start in nanoseconds; clocks need only agree roughly, since it is but an order.
	Incarnation int64 `json:"incarnation"`
}

// keyRow is the row beside the members that holds the key of all boxes' connections. A box's
// name has no slash.
const keyRow = "/key"

func (m *Member) row() []byte {
	b, _ := json.Marshal(m) // Strings and numbers always encode.
	return b
}

const (
	// A member that could not be followed is left alone for firstPause, and for twice as
	// long after each further try, up to longestPause.
	firstPause   = 700 * time.Millisecond
	longestPause = 20 * time.Second
)

// members is what a box knows of the others.
type members struct {
	// changes counts how often the list was set.
	changes atomic.Int64

	mu  sync.Mutex
	key string
	// keyListed says that the table has the key. A table of an older copy may not.
	keyListed bool
	all       map[string]Member
	// missing are members among all that the table lacks since it came back from an older copy. They are kept
	// until keptUntil, by when they have listed themselves again: how many there are bounds what each may spend.
	missing   map[string]bool
	restored  bool // The table that is set next is of an older copy.
	keptUntil time.Time
	// bad are those that could not be followed lately.
	bad map[string]badMember
}

type badMember struct {
	incarnation int64
	tries       int
	until       time.Time
}

// MissingKept is for how long members are kept that an older copy of the table lacks.
const MissingKept = 3 * registerPause

// setRestored says that the table that is set next is of an older copy.
func (s *members) setRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// set takes the rows of the table of members. A row that says nothing of use is passed over.
func (s *members) set(rows map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changes.Add(1)
	now := clock.Now()
	if s.restored {
		s.restored, s.keptUntil = false, now.Add(MissingKept)
	}
	before := s.all
	s.all, s.missing = make(map[string]Member, len(rows)), map[string]bool{}
	defer s.keepMissing(before, now)
	_, s.keyListed = rows[keyRow]
	for name, text := range rows {
		if name == keyRow {
			s.key = string(text)
			continue
		}
		m := Member{Name: name}
		if json.Unmarshal(text, &m) == nil && m.Address != "" {
			s.all[name] = m
		}
	}
}

// keepMissing keeps members that the table lacks, for some time after it came back from an older copy. The lock
// is held.
func (s *members) keepMissing(before map[string]Member, now time.Time) {
	if !now.Before(s.keptUntil) {
		return
	}
	for name, m := range before {
		if _, listed := s.all[name]; !listed {
			s.all[name], s.missing[name] = m, true
		}
	}
}

func (s *members) secret() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// keyMissing says whether the table has no key, and the one that it is to have; empty if any will do.
func (s *members) keyMissing() (key string, missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key, !s.keyListed
}

// get finds a member, and says whether the table has it.
func (s *members) get(name string) (m Member, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.all[name]
	return m, ok && !s.missing[name]
}

// older orders members by age: the oldest has shown that it lasts, and while it lives
// nothing changes.
func older(a, b Member) int {
	if n := cmp.Compare(a.Incarnation, b.Incarnation); n != 0 {
		return n
	}
	return cmp.Compare(a.Name, b.Name)
}

// usable lists the members of a region that may be followed now, oldest first.
func (s *members) usable(region string, now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Member
	for _, m := range s.all {
		b := s.bad[m.Name]
		if m.Region == region && (b.incarnation != m.Incarnation || !now.Before(b.until)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, older)
	return out
}

// list lists all members of a region, in no order.
func (s *members) list(region string) (out []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.all {
		if m.Region == region {
			out = append(out, m)
		}
	}
	return out
}

// failed notes that a member could not be followed.
func (s *members) failed(m Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bad == nil {
		s.bad = map[string]badMember{}
	}
	b := s.bad[m.Name]
	if b.incarnation != m.Incarnation {
		b = badMember{incarnation: m.Incarnation}
	}
	b.until = now.Add(min(longestPause, firstPause<<min(b.tries, 6)))
	b.tries++
	s.bad[m.Name] = b
}

// worked notes that a member was followed well.
func (s *members) worked(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.bad, m.Name)
}

// size is how many members are listed.
func (s *members) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// known says whether the table of members was read at all.
func (s *members) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all != nil
}
