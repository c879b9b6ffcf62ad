package quarantine

import (
	"cmp"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file counts crashes against parts of prompts, and clears parts whose runs lasted. The table has two kinds of rows for
// it (partrows.go, clears.go). Both only add to what is known, so that their order does not matter. The verdicts are found
// in verdicts.go and cover.go.

const (
	// verifyTime is how long the evidence against a part must stand before the part is quarantined, after the table has
	// what this box observed. In this time a box whose runs cleared the part says so. Until then requests with the part wait.
	// maxVerifyTime applies while the table can't be written.
	verifyTime    = time.Second
	maxVerifyTime = 5 * time.Second
	// maxClearDelay bounds the random delay after which a box says that its runs cleared a part. Only few boxes then do.
	maxClearDelay = 500 * time.Millisecond
	// maxPartCrashes bounds the recorded crashes. The oldest one that no suspected part explains is dropped when the bound
	// is reached. maxRowParts bounds the parts in a row; the parts of the shortest runs are kept.
	maxPartCrashes = 256
	maxRowParts    = 16
	// smallUpdate is the number of crashes up to which each change is judged at once. With more, as when a rack of engines is
	// lost, the changes of updateInterval are judged together.
	smallUpdate    = 32
	updateInterval = 200 * time.Millisecond
	// maxPosition bounds the position of a part in a row of another box.
	maxPosition = 1 << 10
	// maxRowRuns bounds the runs of a part in a row of another box.
	maxRowRuns = 1 << 16
)

// PartState says what happens to requests with a part.
type PartState uint8

// The states.
const (
	// Released means that requests with the part are sent to endpoints like any others.
	Released PartState = iota
	// Suspected means that requests with the part wait until the part is quarantined or released.
	Suspected
	// Quarantined means that requests with the part must not be sent to an endpoint any more.
	Quarantined
)

var partStateNames = [...]string{"released", "suspected", "quarantined"}

func (s PartState) String() string { return partStateNames[s] }

// PartVerdict is the evidence against a part of prompts.
type PartVerdict struct {
	Part  Part
	State PartState
	// Account is the Tag of the client account whose requests crashed the endpoints. The verdict concerns its requests
	// only. If the requests were of several accounts, or of none, Account is empty, and the verdict concerns all requests.
	Account string
	Bits    float64
	// Shared means that several requests with the part ran in some crash. The first trial then comes sooner.
	Shared   bool
	Requests int      // The number of different requests under which endpoints crashed.
	Crashes  []string // The endpoints that crashed.
	// Since is when the evidence became sufficient.
	Since time.Time
	// askedAt is when the table had all that this box observed of the crashes; zero before that.
	askedAt time.Time
}

// String describes the verdict for operators.
func (v *PartVerdict) String() string {
	return fmt.Sprintf("%d endpoints ended under %d requests with this part: %s", len(v.Crashes), v.Requests, strings.Join(v.Crashes, ", "))
}

// partCrash is a crash of an endpoint with the parts that ran there.
type partCrash struct {
	endpoint   string
	hash       string // The endpointHash of endpoint.
	observedAt time.Time
	// rows has the parts in each row about the crash, by the row's key.
	rows map[string]suspects
	// cleared are the parts that runs have cleared of this crash. clearedInTable are those that the table says so of.
	cleared, clearedInTable map[Part]bool
	// suspected are the parts that may have caused the crash; nil if they must be computed again after a change of rows or
	// cleared.
	suspected suspects
}

// clear clears a part of the crash.
func (c *partCrash) clear(p Part) { c.cleared[p], c.suspected = true, nil }

// uncleared returns the parts that may have caused the crash.
func (c *partCrash) uncleared() suspects {
	if c.suspected != nil {
		return c.suspected
	}
	out := suspects{}
	for _, row := range c.rows {
		for p, e := range row {
			if c.cleared[p] {
				continue
			}
			if known, ok := out[p]; ok {
				e = known.join(e)
			}
			out[p] = e
		}
	}
	c.suspected = out
	return out
}

func (c *partCrash) names(p Part) bool {
	for _, row := range c.rows {
		if _, ok := row[p]; ok {
			return true
		}
	}
	return false
}

// partLedger is what a box knows of parts of prompts.
type partLedger struct {
	instance string                // Tells the rows of this process from those of all others.
	crashes  map[string]*partCrash // By endpoint.
	// ignored has the keys of rows of other boxes about crashes that were evicted, with the times of that.
	ignored map[string]time.Time
	// named has all parts that the crashes name, and perhaps some that they named earlier.
	named map[Part]bool
	// updatedAt is when the verdicts were found last. updatePlanned is set while the next search waits; see updateParts.
	updatedAt     time.Time
	updatePlanned bool
	survived      recentSet[Part]
	// clears has the parts that this box has cleared and the table has not, with the times at which to say so.
	clears map[Part]time.Time
	// verdicts has the parts that are suspected or quarantined. current is the same for reading without the lock; nil if
	// there are none.
	verdicts map[Part]*PartVerdict
	current  atomic.Pointer[map[Part]*PartVerdict]
	// trials has the parts that had a trial since they were quarantined.
	trials map[Part]trialState
	// explained are the endpoints whose crashes the parts in verdicts explain.
	explained map[string]bool
	// changed is closed when verdicts changes.
	changed chan struct{}
	// tableRead is set once the table has been read. verified is set during the first read: what the table says then has
	// stood for some time.
	tableRead, verified bool
}

func newPartLedger() partLedger {
	var instance [8]byte
	_, _ = rand.Read(instance[:]) // Does not fail.
	return partLedger{
		instance: hex.EncodeToString(instance[:]), crashes: map[string]*partCrash{}, ignored: map[string]time.Time{}, named: map[Part]bool{}, survived: recentSet[Part]{max: maxSurvived},
		clears: map[Part]time.Time{}, verdicts: map[Part]*PartVerdict{}, trials: map[Part]trialState{}, explained: map[string]bool{}, changed: make(chan struct{}),
	}
}

// CheckParts returns the verdict on a request with parts in its prompt. It returns nil if none of the parts is suspected.
// account returns the Tag of the request's account.
func (l *List) CheckParts(parts []Part, account func() string) (found *PartVerdict) {
	verdicts := l.parts.current.Load()
	if verdicts == nil {
		return nil
	}
	for _, p := range parts {
		v := (*verdicts)[p]
		if v != nil && (v.Account == "" || v.Account == account()) && (found == nil || v.State > found.State) {
			found = v
		}
	}
	return found
}

// PartsChanged returns a channel that is closed when the verdict on any part changes.
func (l *List) PartsChanged() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.parts.changed
}

// Parts returns the verdicts on all parts that are suspected or quarantined, those with the most evidence first.
func (l *List) Parts() []PartVerdict {
	verdicts := l.parts.current.Load()
	if verdicts == nil {
		return nil
	}
	out := make([]PartVerdict, 0, len(*verdicts))
	for _, v := range *verdicts {
		out = append(out, *v)
	}
	slices.SortFunc(out, func(a, b PartVerdict) int {
		return cmp.Or(cmp.Compare(b.Bits, a.Bits), cmp.Compare(a.Part.String(), b.Part.String()))
	})
	return out
}

// RecordLasted records that a run with these parts lasted: it was answered completely, or had written for so long that a
// part that crashes endpoints would have crashed this one. The parts are cleared of all crashes until now.
func (l *List) RecordLasted(parts []Part) {
	if len(parts) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	changed := false
	for _, p := range parts {
		l.parts.survived.add(p, now)
		if l.parts.named[p] {
			changed = len(l.clearPart(p)) > 0 || changed
		}
	}
	if changed {
		l.updateParts(now)
	}
}

// clearPart clears a part of all crashes until now. It returns the crashes that it was not cleared of before. l.mu must be
// held.
func (l *List) clearPart(p Part) (changed []*partCrash) {
	for _, c := range l.parts.crashes {
		if c.names(p) && !c.cleared[p] {
			c.clear(p)
			changed = append(changed, c)
		}
	}
	delete(l.parts.trials, p)
	return changed
}

// recordParts records a crash against the parts of a run. l.mu must be held.
func (l *List) recordParts(e *Crash, now time.Time) {
	own := suspects{}
	for i, p := range e.Parts {
		if !l.parts.survived.contains(p, now) {
			own[p] = exposure{request: e.Request.String()[:8], account: e.Account, bits: partBits(e), position: i, runs: 1}
		}
	}
	if len(own) == 0 {
		return
	}
	endpoint := l.startName(e)
	c := l.crashOf(endpoint, now)
	key := partRowPrefix + c.hash + "." + l.parts.instance
	row := c.rows[key]
	if row == nil {
		row = suspects{}
		c.rows[key] = row
	}
	for p, x := range own {
		if known, ok := row[p]; ok {
			x = known.join(x)
		}
		row[p] = x
		l.parts.named[p] = true
	}
	c.suspected = nil
	l.setOwn(key, encodePartRow(endpoint, row))
	l.updateParts(now)
}

// partBits returns the evidence of a crash against a part of a run.
func partBits(e *Crash) float64 { return max(minPartBits, crashBits(e)) }

// startName returns the name of the start of the endpoint that crashed. An endpoint may be back before the list of
// endpoints shows its new start: see isNew. l.mu must be held.
func (l *List) startName(e *Crash) string {
	name := e.Endpoint
	for n := 2; ; n++ {
		c := l.parts.crashes[name]
		if c == nil || e.Doubtful || !c.observedAt.Before(e.SentAt) {
			return name
		}
		name = fmt.Sprintf("%s+%d", e.Endpoint, n)
	}
}

// crashOf returns the record of an endpoint's crash, and adds it if there is none. l.mu must be held.
func (l *List) crashOf(endpoint string, now time.Time) *partCrash {
	c := l.parts.crashes[endpoint]
	if c != nil {
		return c
	}
	if len(l.parts.crashes) >= maxPartCrashes {
		l.evictPartCrash(now, slices.MinFunc(slices.Collect(maps.Values(l.parts.crashes)), func(a, b *partCrash) int {
			switch aKept, bKept := l.parts.explained[a.endpoint], l.parts.explained[b.endpoint]; {
			case aKept && !bKept:
				return 1
			case bKept && !aKept:
				return -1
			}
			return a.observedAt.Compare(b.observedAt)
		}))
	}
	c = &partCrash{endpoint: endpoint, hash: endpointHash(endpoint), observedAt: now, rows: map[string]suspects{}, cleared: map[Part]bool{}, clearedInTable: map[Part]bool{}}
	l.parts.crashes[endpoint] = c
	return c
}

// dropPartCrash forgets a crash, and has its rows removed from the table. l.mu must be held.
func (l *List) dropPartCrash(c *partCrash) {
	delete(l.parts.crashes, c.endpoint)
	for key := range c.rows {
		l.dropRow(key, l.rows[key].writeAttempted)
	}
}

// evictPartCrash forgets a crash for want of room. It leaves the rows of other boxes in the table, because all boxes would
// otherwise remove the same rows at once, and ignores them from now on. l.mu must be held.
func (l *List) evictPartCrash(now time.Time, c *partCrash) {
	delete(l.parts.crashes, c.endpoint)
	for key := range c.rows {
		own := l.rows[key].own
		l.dropRow(key, own && l.rows[key].writeAttempted)
		if !own {
			l.parts.ignored[key] = now
		}
	}
}

// expireParts drops the crashes that are older than ttl, and the rows that clear parts of no known crash. l.mu must be
// held.
func (l *List) expireParts(ttl time.Duration, now time.Time) {
	for _, c := range l.parts.crashes {
		if now.Sub(c.observedAt) > ttl {
			l.dropPartCrash(c)
		}
	}
	for key, since := range l.parts.ignored {
		if now.Sub(since) > ttl {
			delete(l.parts.ignored, key)
			l.dropRow(key, true)
		}
	}
	for key, row := range l.rows {
		if strings.HasPrefix(key, clearRowPrefix) && !slices.ContainsFunc(decodeClearRow(row.value), l.knowsCrash) {
			l.dropRow(key, true)
		}
	}
	l.updateParts(now)
}

// knowsCrash reports whether a crash of the endpoint with a hash is recorded. l.mu must be held.
func (l *List) knowsCrash(hash string) bool {
	for _, c := range l.parts.crashes {
		if c.hash == hash {
			return true
		}
	}
	return false
}
