package quarantine

import (
	"cmp"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file counts crashes against parts of prompts. The table has two kinds of rows for it. A box writes one row for each
// crash with the parts of its own calls on that endpoint; it leaves out the parts that its own runs have cleared. A box
// whose runs cleared a part that the rows of other boxes name writes one row that says so. Both kinds only add to what is
// known, so that their order does not matter.

const (
	// verifyTime is how long the evidence against a part must stand before the part is quarantined. In this time a box
	// whose runs cleared the part says so. Until then requests with the part wait.
	verifyTime = time.Second
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
}

// String describes the verdict for operators.
func (v *PartVerdict) String() string {
	return fmt.Sprintf("%d endpoints ended under %d requests with this part: %s", len(v.Crashes), v.Requests, strings.Join(v.Crashes, ", "))
}

// partCrash is a crash of an endpoint with the parts that ran there.
type partCrash struct {
	endpoint   string
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
		instance: hex.EncodeToString(instance[:]), crashes: map[string]*partCrash{}, named: map[Part]bool{}, survived: recentSet[Part]{max: maxSurvived},
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
	key := partRowPrefix + endpointHash(endpoint) + "." + l.parts.instance
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
		l.dropPartCrash(slices.MinFunc(slices.Collect(maps.Values(l.parts.crashes)), func(a, b *partCrash) int {
			if aKept, bKept := l.parts.explained[a.endpoint], l.parts.explained[b.endpoint]; aKept != bKept {
				return map[bool]int{true: 1, false: -1}[aKept]
			}
			return a.observedAt.Compare(b.observedAt)
		}))
	}
	c = &partCrash{endpoint: endpoint, observedAt: now, rows: map[string]suspects{}, cleared: map[Part]bool{}, clearedInTable: map[Part]bool{}}
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

// expireParts drops the crashes that are older than ttl, and the rows that clear parts of no known crash. l.mu must be
// held.
func (l *List) expireParts(ttl time.Duration, now time.Time) {
	for _, c := range l.parts.crashes {
		if now.Sub(c.observedAt) > ttl {
			l.dropPartCrash(c)
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
	for endpoint := range l.parts.crashes {
		if endpointHash(endpoint) == hash {
			return true
		}
	}
	return false
}

// updateParts finds the parts that the crashes speak against, after a change of the crashes or of what is cleared. It
// plans the rows that clear parts. l.mu must be held.
func (l *List) updateParts(now time.Time) {
	if len(l.parts.crashes) > smallUpdate && now.Sub(l.parts.updatedAt) < updateInterval {
		if !l.parts.updatePlanned {
			l.parts.updatePlanned = true
			time.AfterFunc(updateInterval, l.verifyParts)
		}
		return
	}
	l.parts.updatedAt, l.parts.updatePlanned = now, false
	if len(l.parts.crashes) == 0 {
		clear(l.parts.named)
		clear(l.parts.trials)
		if len(l.parts.verdicts) == 0 {
			return
		}
	}
	crashes := make(map[string]suspects, len(l.parts.crashes))
	for endpoint, c := range l.parts.crashes {
		if s := c.uncleared(); len(s) > 0 {
			crashes[endpoint] = s
		}
	}
	l.planClears(now)
	found := findParts(crashes)
	changes := []PartVerdict{}
	for p, old := range l.parts.verdicts {
		if _, still := found[p]; !still {
			v := *old
			v.State = Released
			changes = append(changes, v)
			delete(l.parts.verdicts, p)
		}
	}
	clear(l.parts.explained)
	for p, t := range found {
		v := &PartVerdict{Part: p, State: Suspected, Account: t.account, Bits: t.bits, Requests: t.requests, Crashes: t.crashes, Since: now, Shared: t.shared > 0}
		old := l.parts.verdicts[p]
		if old != nil {
			v.Since = old.Since
		} else {
			time.AfterFunc(verifyTime, l.verifyParts)
		}
		if now.Sub(v.Since) >= verifyTime || l.parts.verified || old != nil && old.State == Quarantined {
			v.State = Quarantined
		}
		if old != nil && old.State == Quarantined && len(v.Crashes) > len(old.Crashes) && now.Sub(v.Since) > verifyTime+l.firstTrialDelay(p) {
			l.delayTrial(p, now)
		}
		if old == nil || old.State != v.State {
			changes = append(changes, *v)
		}
		l.parts.verdicts[p] = v
		for _, c := range t.crashes {
			l.parts.explained[c] = true
		}
	}
	l.publishVerdicts(changes)
}

// verifyParts quarantines the parts against which the evidence has stood for long enough.
func (l *List) verifyParts() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parts.updatedAt = time.Time{}
	l.updateParts(clock.Now())
}

// publishVerdicts makes the verdicts visible to requests, and reports their changes. l.mu must be held.
func (l *List) publishVerdicts(changes []PartVerdict) {
	if len(l.parts.verdicts) == 0 {
		l.parts.current.Store(nil)
	} else {
		verdicts := maps.Clone(l.parts.verdicts)
		l.parts.current.Store(&verdicts)
	}
	if len(changes) == 0 {
		return
	}
	close(l.parts.changed)
	l.parts.changed = make(chan struct{})
	for f := range l.quarantined {
		if !l.verdict(f).Quarantined {
			delete(l.quarantined, f)
		}
	}
	if l.OnPart != nil {
		for _, v := range changes {
			l.OnPart(v)
		}
	}
}

// planClears plans a row for each part that this box has cleared, if the table speaks against the part with half of the
// evidence that is needed, or more. A box that does not run the part itself would otherwise quarantine it. l.mu must be
// held.
func (l *List) planClears(now time.Time) {
	open := map[string]suspects{}
	for endpoint, c := range l.parts.crashes {
		if len(c.cleared) == 0 {
			continue
		}
		for _, row := range c.rows {
			for p, e := range row {
				if c.cleared[p] && !c.clearedInTable[p] {
					if open[endpoint] == nil {
						open[endpoint] = suspects{}
					}
					open[endpoint][p] = e
				}
			}
		}
	}
	for p, endpoints := range indexParts(open) {
		if _, planned := l.parts.clears[p]; planned || !l.parts.survived.contains(p, now) || tallyPart(p, open, endpoints).bits < ThresholdBits/2 {
			continue
		}
		delay := clearDelay(int(l.boxes.Load()))
		l.parts.clears[p] = now.Add(delay)
		time.AfterFunc(delay, l.wakeWriter)
	}
}

// clearDelay returns a random delay whose density grows exponentially, so that of any number of boxes only few have
// decided before they learn of the first.
func clearDelay(boxes int) time.Duration {
	if boxes <= 1 {
		return 0
	}
	return time.Duration(max(0, 1+math.Log(1-mathrand.Float64())/math.Log(float64(boxes))) * float64(maxClearDelay))
}

// prepareClears has the planned rows written that are due and that the table still lacks. l.mu must be held.
func (l *List) prepareClears(now time.Time) {
	for p, due := range l.parts.clears {
		if now.Before(due) {
			continue
		}
		delete(l.parts.clears, p)
		l.writeClear(p)
	}
}

// writeClear has a row written that clears a part of the crashes that this box has cleared it of. It does nothing if the
// table says so already. l.mu must be held.
func (l *List) writeClear(p Part) {
	var list []*partCrash
	missing := false
	for _, c := range l.parts.crashes {
		if c.cleared[p] {
			list = append(list, c)
			missing = missing || !c.clearedInTable[p]
		}
	}
	if !missing {
		return
	}
	slices.SortFunc(list, func(a, b *partCrash) int { return b.observedAt.Compare(a.observedAt) })
	var hashes []string
	for _, c := range list[:min(len(list), maxPartCrashes)] {
		c.clearedInTable[p] = true
		hashes = append(hashes, endpointHash(c.endpoint))
	}
	l.setOwn(clearRowPrefix+p.String(), encodeClearRow(hashes))
}

// keepClears keeps what is known to be cleared when a restored table lacks it. l.mu must be held.
func (l *List) keepClears(restored map[string][]byte) {
	for _, c := range l.parts.crashes {
		clear(c.clearedInTable)
	}
	for key, value := range restored {
		if strings.HasPrefix(key, clearRowPrefix) {
			l.applyClearRow(key, value)
		}
	}
}

// endpointHash identifies a crashed endpoint in rows.
func endpointHash(endpoint string) string {
	h := sha256.Sum256([]byte(endpoint))
	return hex.EncodeToString(h[:8])
}

// partRowDoc is the JSON value of a row about the parts of one crash.
type partRowDoc struct {
	Endpoint string        `json:"endpoint"`
	Parts    []exposureDoc `json:"parts"`
}

type exposureDoc struct {
	Part     string  `json:"part"`
	Request  string  `json:"request"`
	Account  string  `json:"account,omitempty"`
	Bits     float64 `json:"bits"`
	Position int     `json:"position,omitempty"`
	Runs     int     `json:"runs"`
}

func encodePartRow(endpoint string, s suspects) []byte {
	doc := partRowDoc{Endpoint: endpoint}
	for p, e := range s {
		doc.Parts = append(doc.Parts, exposureDoc{p.String(), e.request, e.account, math.Round(e.bits*100) / 100, e.position, e.runs})
	}
	slices.SortFunc(doc.Parts, func(a, b exposureDoc) int {
		return cmp.Or(cmp.Compare(b.Bits, a.Bits), cmp.Compare(b.Position, a.Position), cmp.Compare(a.Part, b.Part))
	})
	doc.Parts = doc.Parts[:min(len(doc.Parts), maxRowParts)]
	b, _ := json.Marshal(doc) // Strings and finite numbers always encode.
	return b
}

// parsePartRow decodes a row; ok is false for a row that no box can have written.
func parsePartRow(key string, value []byte) (endpoint string, s suspects, ok bool) {
	var doc partRowDoc
	if json.Unmarshal(value, &doc) != nil || doc.Endpoint == "" || len(doc.Parts) == 0 || len(doc.Parts) > maxRowParts {
		return "", nil, false
	}
	if !strings.HasPrefix(key, partRowPrefix+endpointHash(doc.Endpoint)+".") {
		return "", nil, false
	}
	s = suspects{}
	for _, d := range doc.Parts {
		p, valid := ParsePart(d.Part)
		if !valid || d.Bits < minCrashBits || d.Bits > maxCrashBits || d.Position < 0 || d.Position > maxPosition || d.Runs < 1 || d.Runs > maxRowRuns {
			return "", nil, false
		}
		s[p] = exposure{request: d.Request, account: d.Account, bits: d.Bits, position: d.Position, runs: d.Runs}
	}
	return doc.Endpoint, s, true
}

// readPartRow reads a row of another box about the parts of a crash. l.mu must be held.
func (l *List) readPartRow(key string, value []byte, now time.Time) {
	endpoint, s, ok := parsePartRow(key, value)
	if !ok {
		return
	}
	c := l.crashOf(endpoint, now)
	c.rows[key], c.suspected = s, nil
	for p := range s {
		l.parts.named[p] = true
		if l.parts.survived.contains(p, now) {
			c.clear(p)
		}
	}
	l.rows[key] = readRow(value)
	for _, row := range l.rowsWith(clearRowPrefix) {
		l.applyClearRow(row, l.rows[row].value)
	}
}

// rowsWith returns the keys of the known rows with a prefix. l.mu must be held.
func (l *List) rowsWith(prefix string) (keys []string) {
	for key := range l.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// forgetPartRow forgets a row about parts that has gone from the table. What a row cleared stays cleared. l.mu must be
// held.
func (l *List) forgetPartRow(key string) {
	l.dropRow(key, false)
	for endpoint, c := range l.parts.crashes {
		if _, ok := c.rows[key]; !ok {
			continue
		}
		c.suspected = nil
		if delete(c.rows, key); len(c.rows) == 0 {
			delete(l.parts.crashes, endpoint)
		}
	}
}

type clearRowDoc struct {
	Crashes []string `json:"crashes"`
}

func encodeClearRow(hashes []string) []byte {
	b, _ := json.Marshal(clearRowDoc{hashes}) // Strings always encode.
	return b
}

// decodeClearRow returns the hashes of the crashed endpoints in a row; none for a row that no box can have written.
func decodeClearRow(value []byte) []string {
	var doc clearRowDoc
	if json.Unmarshal(value, &doc) != nil || len(doc.Crashes) > maxPartCrashes {
		return nil
	}
	return doc.Crashes
}

// readClearRow reads a row that clears a part. Any box may have replaced it, also by one that clears the part of fewer
// crashes. What the table lacks then is written again. l.mu must be held.
func (l *List) readClearRow(key string, value []byte) {
	p, ok := ParsePart(strings.TrimPrefix(key, clearRowPrefix))
	if !ok {
		return
	}
	for _, c := range l.parts.crashes {
		delete(c.clearedInTable, p)
	}
	if !l.applyClearRow(key, value) {
		return
	}
	if row := l.rows[key]; row != nil && !row.writeAcked {
		row.seenInTable = true // This box is about to replace the row.
		return
	}
	l.rows[key] = readRow(value)
}

// applyClearRow clears a part of the crashes that a row names. ok is false for a row that no box can have written. l.mu
// must be held.
func (l *List) applyClearRow(key string, value []byte) (ok bool) {
	p, ok := ParsePart(strings.TrimPrefix(key, clearRowPrefix))
	hashes := decodeClearRow(value)
	if !ok || len(hashes) == 0 {
		return false
	}
	for endpoint, c := range l.parts.crashes {
		if slices.Contains(hashes, endpointHash(endpoint)) {
			c.clear(p)
			c.clearedInTable[p] = true
		}
	}
	return true
}
