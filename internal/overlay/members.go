package overlay

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Member is a box as it registers itself in the members table of the platform's store. A box registers with each start.
type Member struct {
	Name string `json:"-"` // The key of the box's row in the table.
	// Region and Hall are where the box is. Boxes follow only boxes of their region.
	Region string `json:"region"`
	Hall   string `json:"hall"`
	// Address is where the box serves other boxes, as ip:port.
	Address string `json:"address"`
	// Incarnation identifies a start of a box. It is the time of the start in nanoseconds, so a later start has a
	// higher incarnation. Only the order of incarnations matters. So the clocks of the boxes need to agree only
	// roughly.
	Incarnation int64 `json:"incarnation"`
	// LinkMbps is the bandwidth of the box's link in Mbit/s; 0 if it is not known, as in rows of earlier releases.
	LinkMbps float64 `json:"linkMbps,omitempty"`
	// Plans is set if the box begins streams at the builds that plans name. Boxes of earlier releases don't.
	Plans bool `json:"plans,omitempty"`
	// PlanRules is the version of the rules by which the box begins streams; 0 in rows of earlier releases.
	PlanRules int `json:"plan_rules,omitempty"`
}

// PlanRulesTraceable is the first version of the rules by which a box begins no stream whose build neither the log nor the plans
// tell. Later versions must keep to that.
const PlanRulesTraceable = 1

// PlanRulesByID is the first version of the rules by which a box knows plans that divide streams by ID (package builds).
const PlanRulesByID = 2

// keyRow is the name of the row of the members table that holds the shared key. The shared key authenticates the
// connections between all boxes. No box has the name keyRow, since no name of a box contains a slash.
const keyRow = "/key"

func (m *Member) encode() []byte {
	b, _ := json.Marshal(m) // Strings and numbers always encode.
	return b
}

const (
	// A member that could not be followed is not tried again for minFollowBackoff. The time doubles with each
	// further failure, up to maxFollowBackoff.
	minFollowBackoff = 700 * time.Millisecond
	maxFollowBackoff = 20 * time.Second
)

// members is this box's copy of the members table, the list of all boxes.
type members struct {
	// changes counts how often the list was set.
	changes atomic.Int64

	mu  sync.Mutex
	key string
	// keyListed means that the table has the shared key. A table that was restored from an older copy may lack the key.
	// keyDamaged means that it has a row in its place that can't be the key.
	keyListed, keyDamaged bool
	all                   map[string]Member
	// rows are the rows of the table with what they say, by name, so that a change of one row does not cost the parsing of all.
	rows map[string]memberRow
	// rejectedKey is the last row that can't be the key.
	rejectedKey []byte
	// onRejected is called with each new row that no box can have written; it may be nil.
	onRejected func(key string, err error)
	// missing names members in all that the table lacks because it was restored from an older copy. They are kept until
	// retainUntil. By then they have registered again. They are kept because the number of members determines how much
	// of an account's limit each box may grant.
	missing     map[string]bool
	restored    bool // The next table that is set was restored from an older copy.
	retainUntil time.Time
	// failures has the members that could not be followed, with the time until which each is not tried again.
	failures map[string]memberFailure
}

// memberRow is a row of the table. Valid is not set for a row that no box can have written.
type memberRow struct {
	text   []byte
	member Member
	valid  bool
}

type memberFailure struct {
	incarnation int64
	tries       int
	until       time.Time
}

// MissingRetention is for how long a box keeps members that a restored table lacks.
const MissingRetention = 3 * registerInterval

// setRestored announces that the next table that is set was restored from an older copy.
func (s *members) setRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

const (
	// maxKeyBytes is longer than the key that boxes create.
	maxKeyBytes = 256
	// maxLinkMbps is the largest bandwidth that a box can be configured with. Larger numbers would rank first.
	maxLinkMbps = 1e6
)

var (
	errInvalidMember = errors.New("no box can have written this row")
	errInvalidKey    = errors.New("this row can't be the key of the boxes")
)

// parseMember decodes a row of the table of members.
func parseMember(name string, text []byte) (Member, error) {
	m := Member{Name: name}
	if err := json.Unmarshal(text, &m); err != nil {
		return Member{}, fmt.Errorf("%w: %w", errInvalidMember, err)
	}
	address, err := netip.ParseAddrPort(m.Address)
	if err != nil || address.Port() == 0 || address.Addr().Zone() != "" {
		return Member{}, fmt.Errorf("%w: its address is not ip:port", errInvalidMember)
	}
	for _, text := range []string{name, m.Region, m.Hall} {
		if len(text) > maxNameBytes || strings.ContainsFunc(text, unicode.IsControl) {
			return Member{}, fmt.Errorf("%w: a name has more than %d bytes or a control character", errInvalidMember, maxNameBytes)
		}
	}
	if name == "" || m.Region == "" || m.Incarnation < 0 || !(m.LinkMbps >= 0 && m.LinkMbps <= maxLinkMbps) {
		return Member{}, fmt.Errorf("%w: a name is missing or a number is out of range", errInvalidMember)
	}
	return m, nil
}

// isSharedKey reports whether a text can be the shared key, which calls between boxes have in a header.
func isSharedKey(text string) bool {
	return text != "" && len(text) <= maxKeyBytes && strings.TrimSpace(text) == text && !strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
}

// set replaces the list by the rows of the table. Rows that no box can have written are skipped.
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
	s.setKey(rows)
	read := make(map[string]memberRow, len(rows))
	for name, text := range rows {
		if name == keyRow {
			continue
		}
		row, known := s.rows[name]
		if !known || !bytes.Equal(row.text, text) {
			row = s.readRow(name, text)
		}
		if read[name] = row; row.valid {
			s.all[name] = row.member
		}
	}
	s.rows = read
}

// setKey reads the row of the shared key. A row that can't be the key does not replace the key that this box knows. s.mu must
// be held.
func (s *members) setKey(rows map[string][]byte) {
	text, listed := rows[keyRow]
	s.keyListed = listed && isSharedKey(string(text))
	if s.keyDamaged = listed && !s.keyListed; !s.keyDamaged {
		s.rejectedKey = nil
	}
	switch {
	case s.keyListed:
		s.key = string(text)
	case s.keyDamaged && (s.rejectedKey == nil || !bytes.Equal(s.rejectedKey, text)):
		s.rejectedKey = append([]byte{}, text...)
		s.reject(keyRow, errInvalidKey)
	}
}

// readRow parses a row. s.mu must be held.
func (s *members) readRow(name string, text []byte) memberRow {
	m, err := parseMember(name, text)
	if err != nil {
		s.reject(name, err)
	}
	return memberRow{text, m, err == nil}
}

func (s *members) reject(key string, err error) {
	if s.onRejected != nil {
		s.onRejected(key, err)
	}
}

// retainMissing keeps members that the table lacks. Before is the list before the table was set. After retainUntil, no
// such members are kept. s.mu must be held.
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

// keyMissing reports whether the table lacks the shared key. Key is the key that this box knows. If the table lacks the
// key, that key should be written to the table again. If key is empty, any new key will do.
func (s *members) keyMissing() (key string, missing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.key, !s.keyListed
}

// hasDamagedKey reports whether the table has a row in the place of the shared key that can't be the key.
func (s *members) hasDamagedKey() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keyDamaged
}

// get returns a member. Listed is false if the table lacks the member, even if this box still keeps the member.
func (s *members) get(name string) (m Member, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.all[name]
	return m, ok && !s.missing[name]
}

// linkClass is the class of a member's link: links of two classes differ by about linkClassFactor.
func (m Member) linkClass() int {
	if m.LinkMbps <= 0 {
		return math.MinInt
	}
	return int(math.Round(math.Log(m.LinkMbps) / math.Log(linkClassFactor)))
}

// linkClassFactor is large enough that a small difference of links does not outweigh age.
const linkClassFactor = 8

// compareUpstreams orders members by the class of their links, fastest first, and within a class by age. Boxes follow members
// that rank higher. So the box that reads the store has a fast link if there is one: it reads the whole configuration
// for each change. Members of earlier releases rank by age alone. A box of this release ranks them last and does not
// follow them, so that no cycle forms beside them.
func compareUpstreams(a, b Member) int {
	if n := cmp.Compare(b.linkClass(), a.linkClass()); n != 0 {
		return n
	}
	return compareAge(a, b)
}

// compareAge orders members by the time of their start, oldest first. The oldest member has proved to be stable. The
// tree keeps its root as long as that member runs.
func compareAge(a, b Member) int {
	if n := cmp.Compare(a.Incarnation, b.Incarnation); n != 0 {
		return n
	}
	return cmp.Compare(a.Name, b.Name)
}

// followable lists the members of a region that may be followed now, highest rank first. Members that failed recently are
// left out.
func (s *members) followable(region string, now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Member
	for _, m := range s.all {
		failure := s.failures[m.Name]
		if m.Region == region && (failure.incarnation != m.Incarnation || !now.Before(failure.until)) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareUpstreams)
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
	failure := s.failures[m.Name]
	if failure.incarnation != m.Incarnation {
		failure = memberFailure{incarnation: m.Incarnation}
	}
	failure.until = now.Add(min(maxFollowBackoff, minFollowBackoff<<min(failure.tries, 6)))
	failure.tries++
	s.failures[m.Name] = failure
}

// recordSuccess clears the recorded failures of a member that could be followed.
func (s *members) recordSuccess(m Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failures, m.Name)
}

// size returns how many members are in the list. Members that the table lacks but this box keeps are counted too.
func (s *members) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.all)
}

// loaded reports whether a table of members was set.
func (s *members) loaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all != nil
}
