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

// Member is one start of a box, as it registers itself in the platform's store.
type Member struct {
	Name string `json:"-"` // The row's key.
	// Region and Hall are its location. Boxes follow only others of their region.
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Address is where it serves other boxes, ip:port.
	Address string `json:"address"`
	// Incarnation identifies a start of a box and grows with each. It is the time of the start in
	// nanoseconds; clocks need to agree only roughly, since it is used only as an order.
	Incarnation int64 `json:"incarnation"`
}

// keyRow is the row of the members table with the key that authenticates all boxes' connections. No
// box's name contains a slash.
const keyRow = "/key"

func (m *Member) encode() []byte {
	b, _ := json.Marshal(m) // Strings and numbers always encode.
	return b
}

const (
	// A member that could not be followed is skipped for minFollowBackoff, and for twice as long
	// after each further failure, up to maxFollowBackoff.
	minFollowBackoff = 700 * time.Millisecond
	maxFollowBackoff = 20 * time.Second
)

// members is a box's copy of the list of members.
type members struct {
	// changes counts how often the list was set.
	changes atomic.Int64

	mu  sync.Mutex
	key string
	// keyListed means that the table has the key. A table of an older copy may lack it.
	keyListed bool
	all       map[string]Member
	// missing are members among all that the table lacks since it was restored from an older copy. They are kept
	// until retainUntil, by when they have registered again: the number of members determines how much each may spend.
	missing     map[string]bool
	restored    bool // The next table that is set is of an older copy.
	retainUntil time.Time
	// failures are the members that recently could not be followed.
	failures map[string]memberFailure
}

type memberFailure struct {
	incarnation int64
	tries       int
	until       time.Time
}

// MissingRetention is for how long members are kept that a restored table lacks.
const MissingRetention = 3 * registerInterval

// setRestored announces that the next table is of an older copy.
func (s *members) setRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// set replaces the table of members. Rows that cannot be decoded or have no address are skipped.
func (s *members) set(rows map[string][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.changes.Add(1)
	now := clock.Now()
	if s.restored {
		s.restored, s.retainUntil = false, now.Add(MissingRetention)
	}
	before := s.all
	s.all, s.missing = make(map[string]Member, len(rows)), map[string]bool{}
	defer s.retainMissing(before, now)
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

// retainMissing keeps members that the table lacks, for some time after it was restored from an older copy. The
// lock is held.
func (s *members) retainMissing(before map[string]Member, now time.Time) {
	if !now.Before(s.retainUntil) {
		return
	}
	for name, m := range before {
		if _, listed := s.all[name]; !listed {
			s.all[name], s.missing[name] = m, true
		}
	}
}

func (s *members) sharedKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key
}

// keyMissing reports whether the table has no key, and the one to restore; empty if any will do.
func (s *members) keyMissing() (key string, missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key, !s.keyListed
}

// get returns a member, and whether the table has it.
func (s *members) get(name string) (m Member, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.all[name]
	return m, ok && !s.missing[name]
}

// compareAge orders members by age, oldest first: the oldest has proved stable, and while it runs
// the tree keeps its root.
func compareAge(a, b Member) int {
	if n := cmp.Compare(a.Incarnation, b.Incarnation); n != 0 {
		return n
	}
	return cmp.Compare(a.Name, b.Name)
}

// followable lists the members of a region that may be followed now, oldest first.
func (s *members) followable(region string, now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Member
	for _, m := range s.all {
		b := s.failures[m.Name]
		if m.Region == region && (b.incarnation != m.Incarnation || !now.Before(b.until)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareAge)
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

// recordFailure records that a member could not be followed.
func (s *members) recordFailure(m Member, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failures == nil {
		s.failures = map[string]memberFailure{}
	}
	b := s.failures[m.Name]
	if b.incarnation != m.Incarnation {
		b = memberFailure{incarnation: m.Incarnation}
	}
	b.until = now.Add(min(maxFollowBackoff, minFollowBackoff<<min(b.tries, 6)))
	b.tries++
	s.failures[m.Name] = b
}

// recordSuccess clears the failures of a member that was followed.
func (s *members) recordSuccess(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failures, m.Name)
}

// size returns how many members are listed.
func (s *members) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// loaded reports whether the table of members has been read.
func (s *members) loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all != nil
}
