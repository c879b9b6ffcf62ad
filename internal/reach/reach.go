// Package reach decides by which path a box connects to an endpoint: directly, or through another box of its region.
//
// A connect that fails has two possible causes: the endpoint is gone, or this box's own path to it is lost. Only another
// path can tell them apart. So no conclusion about an endpoint is drawn from the direct path alone. Table records the
// results of connects by address. It does no I/O and reads no clock.
//
//	          direct connect failed,              direct connect
//	          another box connected               succeeded
//	Direct ─────────────────────────► Lost ─────────────────────► Direct
//	  │                                ▲ │
//	  │ all paths failed               │ │ other boxes fail too
//	  ▼                                │ ▼
//	Unreachable ───────────────────────┘
//
// An address without an entry is in the state Direct. So addresses cost nothing while they are reached.
package reach

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// State is how a box reaches an address.
type State uint8

// The states. Lost: the direct path fails, and other boxes reach the address. Unreachable: neither this box nor any box
// that it asked reaches the address.
const (
	Direct State = iota
	Lost
	Unreachable
)

func (s State) String() string {
	switch s {
	case Lost:
		return "lost"
	case Unreachable:
		return "unreachable"
	}
	return "direct"
}

// Failure is why a connect failed.
type Failure uint8

// The failures. Refused: the connection was refused or reset. Unanswered: there was no answer in time.
const (
	NoFailure Failure = iota
	Refused
	Unanswered
)

func (f Failure) String() string {
	switch f {
	case Refused:
		return "refused"
	case Unanswered:
		return "unanswered"
	}
	return "none"
}

const (
	// headStart is how long a direct connect is waited for before other boxes are tried too. A connect within a region
	// takes some milliseconds.
	headStart = 120 * time.Millisecond
	// evidenceLife is how long the result of a connect counts.
	evidenceLife = 2 * time.Second
	// roundsToGiveUp is the number of rounds of attempts, with up to maxTried boxes each, after which an address counts as
	// unreachable although no box could judge it.
	roundsToGiveUp = 3
	// credibleLife is how long an answer of another address shows that this box's own path works.
	credibleLife = 300 * time.Millisecond
	// manyLost is the number of addresses of a group that were lost, or whose open connections were reset, from which on
	// the paths to the others of the group are suspected too.
	manyLost = 2
	// probeInterval is the time between two probes of a lost or unreachable address. For an unreachable one it doubles
	// with each probe in vain, up to maxProbeInterval. At most maxProbes begin at each call of DueProbes.
	probeInterval    = 400 * time.Millisecond
	maxProbeInterval = 8 * probeInterval
	maxProbes        = 4
	// unusedLife is how long an address is probed after its last use.
	unusedLife = 15 * time.Second
	// maxEntries bounds the entries. Without an entry, an address is dialed directly first.
	maxEntries = 4096
	// slowCheckInterval is the minimum time between two checks of an address because it is slow to answer.
	// slowCheckSpacing is that between two checks of any addresses.
	slowCheckInterval = time.Second
	slowCheckSpacing  = 250 * time.Millisecond
)

// entry is what is known of an address that is not, or may not be, reached directly.
type entry struct {
	state State
	since time.Time // When the state began.
	// failure and failedAt are the last failure of a direct connect. via and viaAt are the last box that connected.
	failure  Failure
	failedAt time.Time
	via      string
	viaAt    time.Time
	// denied is the number of boxes that tried in vain since the last connect on any path.
	denied int
	// rounds is the number of rounds of attempts that failed on all paths since the last connect on any path.
	rounds int
	// connLostAt is when an open direct connection was last reset.
	connLostAt time.Time
	// slowSince is when a direct connect first took longer than headStart; zero if none does.
	slowSince time.Time
	group     *group // Set while the entry is in the table.
	usedAt    time.Time
	probeAt   time.Time // When the next probe is due.
	probes    int       // The probes since the state began.
}

// Change is a change of an address's state.
type Change struct {
	Address  string
	From, To State
	// Failure is that of the direct path. Via is the box that reaches a lost address. Denied is the number of boxes that
	// do not reach an unreachable one. Lasted is how long the former state lasted.
	Failure Failure
	Via     string
	Denied  int
	Lasted  time.Duration
	// Forgotten means that the address was not used lately, so its path is not known any more. To is then Direct.
	Forgotten bool
}

// Table records which addresses are reached by which path.
type Table struct {
	// OnChange is called with each change of a state, with the table locked; it must not block. It may be nil.
	OnChange func(Change)
	// GroupOf returns the group of an address, such as its service. Evidence about some addresses of a group counts for
	// the others. It must not call the table. If it is nil, all addresses are in one group.
	GroupOf func(addr string) string

	mu      sync.Mutex
	entries map[string]*entry
	groups  map[string]*group
	// answeredAt is when a direct connection to an address last worked, by address.
	answeredAt map[string]time.Time
	checkedAt  map[string]time.Time
	lastCheck  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[string]*entry{}, groups: map[string]*group{}, answeredAt: map[string]time.Time{}, checkedAt: map[string]time.Time{}}
}

// Plan says how to connect to an address.
type Plan struct {
	// FailFast means that the address is known to be unreachable: no attempt is made.
	FailFast bool
	// Direct means that the direct path is tried. Others means that other boxes are tried: at once if the direct path
	// is not tried or has failed, else after HeadStart.
	Direct    bool
	Others    bool
	HeadStart time.Duration
}

// Plan returns how to connect to an address now.
func (t *Table) Plan(addr string, now time.Time) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[addr]
	if e == nil {
		return Plan{Direct: true, Others: true, HeadStart: t.headStart(addr)}
	}
	e.usedAt = now
	switch {
	case e.state == Lost:
		return Plan{Others: true}
	case e.state == Unreachable && e.failure == Refused:
		// A refused connect costs a round trip. The probes find out when other boxes reach the address.
		return Plan{Direct: true}
	case e.state == Unreachable:
		return Plan{FailFast: true}
	case !e.slowSince.IsZero() && now.Sub(e.slowSince) < evidenceLife:
		return Plan{Direct: true, Others: true}
	}
	return Plan{Direct: true, Others: true, HeadStart: t.headStart(addr)}
}

// get returns the entry of an address, and adds one if there is none. t.mu is held.
func (t *Table) get(addr string, now time.Time) *entry {
	e := t.entries[addr]
	if e == nil {
		e = &entry{since: now, usedAt: now, group: &group{}}
		if len(t.entries) < maxEntries {
			e.group = t.group(addr)
			t.entries[addr] = e
		}
	}
	return e
}

// setState changes the state of an entry. t.mu is held.
func (t *Table) setState(addr string, e *entry, s State, now time.Time) {
	t.change(e, Change{Address: addr, From: e.state, To: s, Failure: e.failure, Via: e.via, Denied: e.denied, Lasted: now.Sub(e.since)}, now)
}

// change applies a change of an entry's state. t.mu is held.
func (t *Table) change(e *entry, c Change, now time.Time) {
	s := c.To
	if e.state == s {
		return
	}
	switch {
	case s == Lost:
		e.group.lost++
		e.group.lastLost = now
	case e.state == Lost:
		e.group.lost--
	}
	e.state, e.since, e.probeAt, e.probes = s, now, now.Add(probeInterval), 0
	if t.OnChange != nil {
		t.OnChange(c)
	}
}

// Use records that an open connection to an address is kept for requests.
func (t *Table) Use(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[addr]; e != nil {
		e.usedAt = now
	}
}

// DirectConnected records that a direct connect succeeded.
func (t *Table) DirectConnected(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteAnswer(addr, now)
	e := t.entries[addr]
	if e == nil {
		return
	}
	restored := e.state == Lost
	t.setState(addr, e, Direct, now)
	delete(t.entries, addr)
	if restored {
		for _, other := range t.entries {
			other.probeAt = now // The other paths have probably healed at the same time.
		}
	}
}

// DirectFailed records that a direct connect failed.
func (t *Table) DirectFailed(addr string, f Failure, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(addr, now)
	e.failure, e.failedAt = f, now
	t.judge(addr, e, now)
}

// DirectSlow records that a direct connect takes longer than its head start.
func (t *Table) DirectSlow(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(addr, now)
	if e.slowSince.IsZero() || now.Sub(e.slowSince) >= evidenceLife {
		e.slowSince = now
	}
}

// OtherConnected records that a box reached the address.
func (t *Table) OtherConnected(addr, box string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(addr, now)
	e.via, e.viaAt, e.denied, e.rounds = box, now, 0, 0
	t.judge(addr, e, now)
}

// OtherFailed records that a box tried to reach the address in vain.
func (t *Table) OtherFailed(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.get(addr, now).denied++
}

// AllFailed records that a round of attempts on all paths failed. If the boxes that were tried could not judge the
// address, the next round tries others.
func (t *Table) AllFailed(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(addr, now)
	e.rounds++
	if e.denied > 0 || e.rounds >= roundsToGiveUp {
		t.setState(addr, e, Unreachable, now)
	}
}

// judge sets the state Lost if the direct path has failed while another box reached the address. t.mu is held.
func (t *Table) judge(addr string, e *entry, now time.Time) {
	if !e.failedAt.IsZero() && now.Sub(e.failedAt) < evidenceLife && now.Sub(e.viaAt) < evidenceLife && e.denied == 0 {
		t.setState(addr, e, Lost, now)
	}
}

// Answered records that bytes arrived on a direct connection.
func (t *Table) Answered(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteAnswer(addr, now)
}

// ClaimCheck reports whether the path to an address should be checked, because the address is slow to answer on an open
// connection. It claims the check.
func (t *Table) ClaimCheck(addr string, now time.Time, silentFor time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[addr]
	switch {
	case e != nil && e.state != Direct,
		now.Sub(t.answeredAt[addr]) < silentFor,
		now.Sub(t.checkedAt[addr]) < slowCheckInterval,
		now.Sub(t.lastCheck) < slowCheckSpacing:
		return false
	}
	t.checkedAt[addr], t.lastCheck = now, now
	return true
}

// State returns the state of an address.
func (t *Table) State(addr string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[addr]; e != nil {
		return e.state
	}
	return Direct
}

// Failure returns the last failure of the direct path to an address that is not reached directly.
func (t *Table) Failure(addr string) Failure {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[addr]; e != nil {
		return e.failure
	}
	return NoFailure
}

// Denied reports whether other boxes have tried in vain to reach an address, and none has reached it since.
func (t *Table) Denied(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[addr]
	return e != nil && e.denied > 0
}

// Keep forgets addresses that are not in keep.
func (t *Table) Keep(keep func(addr string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, e := range t.entries {
		if keep(addr) {
			continue
		}
		if e.state == Lost {
			e.group.lost--
		}
		delete(t.entries, addr)
	}
	for _, m := range []map[string]time.Time{t.answeredAt, t.checkedAt} {
		for addr := range m {
			if !keep(addr) {
				delete(m, addr)
			}
		}
	}
}

// Entry is the state of an address that is not reached directly.
type Entry struct {
	Address string
	State   State
	Since   time.Time
	Failure Failure
	Via     string // The box that last reached it; empty if none did.
}

// Entries lists the addresses that are lost or unreachable, sorted.
func (t *Table) Entries() (out []Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for addr, e := range t.entries {
		if e.state != Direct {
			out = append(out, Entry{addr, e.state, e.since, e.failure, e.via})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Address, b.Address) })
	return out
}
