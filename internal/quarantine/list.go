package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// crashTTL is how long a crash counts: a quarantine ends this long after the last crash. Operators
	// replace engines and callers give up within minutes; a request that still crashes endpoints then
	// crashes three more.
	crashTTL = 10 * time.Minute
	// maxCrashesPerCaller and maxCrashes bound the recorded crashes of one caller and of all. A caller
	// above its bound loses its own oldest crash, and above the total bound the caller with the most
	// crashes does, so that a caller that fills the table cannot displace others. A crash takes 590 bytes
	// of memory (4,096 crashes of 64 callers) and 118 bytes in the table.
	maxCrashesPerCaller = 128
	maxCrashes          = 4096
)

// Crash records that an endpoint crashed under a request.
type Crash struct {
	Request  Fingerprint
	Endpoint string // Names one start of the endpoint.
	Caller   string // The caller whose bound it counts towards; see Tag.
	RunTime  time.Duration
	// SentAt is when the request was sent there, by this box's clock; zero for a crash that another box observed.
	SentAt time.Time
	// Doubtful says that the endpoint may have crashed before the request reached it: the connection was
	// lost at once and without a response, which happens when several endpoints crash together and a
	// request moves from one to the next.
	Doubtful bool
	// Try tells the tries of a request apart; see Tag.
	Try string
}

// Verdict is the evidence against a request.
type Verdict struct {
	// Quarantined says that the request is quarantined: it must not be sent to an endpoint any more.
	Quarantined bool
	Bits        float64
	Crashes     []Crash // The shortest run first.
}

// String describes the verdict for operators.
func (v Verdict) String() string {
	parts := make([]string, len(v.Crashes))
	for i, e := range v.Crashes {
		parts[i] = fmt.Sprintf("%s after %s", e.Endpoint, e.RunTime.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d endpoints ended under it: %s", len(v.Crashes), strings.Join(parts, ", "))
}

// crashRecord is a crash and its state in the table.
type crashRecord struct {
	Crash
	observedAt time.Time
	// writeAttempted says that a write to the table was attempted, writeAcked that the table has
	// accepted it, and seenInTable that the row was read from the table.
	writeAttempted, writeAcked, seenInTable bool
	// writeAfter is the earliest time to write it; zero for at once.
	writeAfter time.Time
}

// List holds the crashes that one box knows of: its own and those in the table. It is safe for
// concurrent use; the zero value is not usable.
type List struct {
	// OnQuarantine is called once when a request becomes quarantined; it must not block, and may be nil.
	OnQuarantine func(Fingerprint, Verdict)

	// count is the number of crashes, readable without the lock, so that most requests need no fingerprint.
	count atomic.Int64

	mu        sync.Mutex
	crashes   map[string]*crashRecord // By key.
	byRequest map[Fingerprint]map[string]*crashRecord
	// perCaller counts the crashes of each caller.
	perCaller map[string]int
	// removing has the keys that are being removed from the table; true once the table has done so.
	removing       map[string]bool
	quarantined    map[Fingerprint]bool
	recentlyServed servedSet
	// restorePending says that the next SetRows comes from a restored older copy of the table, and
	// rewriteSpread is the time over which boxes write again the crashes that the copy lacks.
	restorePending bool
	rewriteSpread  time.Duration
	// pendingWrites wakes the TableWriter.
	pendingWrites chan struct{}
}

// NewList returns an empty list.
func NewList() *List {
	return &List{
		crashes: map[string]*crashRecord{}, byRequest: map[Fingerprint]map[string]*crashRecord{}, perCaller: map[string]int{},
		removing: map[string]bool{}, quarantined: map[Fingerprint]bool{}, pendingWrites: make(chan struct{}, 1),
	}
}

// key is the row key of a crash: the same on every box, and different for each start of an endpoint.
func (e *Crash) key() string {
	h := sha256.Sum256([]byte(e.Endpoint))
	return e.Request.String() + "." + hex.EncodeToString(h[:8])
}

// rowDoc is the JSON value of a row.
type rowDoc struct {
	Endpoint string `json:"endpoint"`
	Caller   string `json:"caller"`
	RanMS    int64  `json:"ran_ms"`
	Doubtful bool   `json:"doubt,omitempty"`
	Try      string `json:"try,omitempty"`
}

// maxRan bounds the run time that a row may claim.
const maxRan = time.Hour

// parseRow decodes a row; ok is false for one that no box can have written.
func parseRow(key string, text []byte) (e Crash, ok bool) {
	fingerprint, _, found := strings.Cut(key, ".")
	raw, err := hex.DecodeString(fingerprint)
	var doc rowDoc
	if !found || err != nil || len(raw) != len(e.Request) || json.Unmarshal(text, &doc) != nil {
		return e, false
	}
	copy(e.Request[:], raw)
	e.Endpoint, e.Caller, e.RunTime, e.Doubtful, e.Try = doc.Endpoint, doc.Caller, time.Duration(doc.RanMS)*time.Millisecond, doc.Doubtful, doc.Try
	return e, e.Endpoint != "" && e.RunTime >= 0 && e.RunTime <= maxRan && e.key() == key
}

func (e *Crash) row() []byte {
	b, _ := json.Marshal(rowDoc{e.Endpoint, e.Caller, e.RunTime.Milliseconds(), e.Doubtful, e.Try}) // Strings and numbers always encode.
	return b
}

// Empty reports whether no crash is recorded for any request.
func (l *List) Empty() bool { return l.count.Load() == 0 }

// Check returns the evidence against a request.
func (l *List) Check(f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict(f)
}

// verdict adds up the crashes of a request. l.mu must be held.
func (l *List) verdict(f Fingerprint) (v Verdict) {
	for _, k := range l.byRequest[f] {
		v.Crashes = append(v.Crashes, k.Crash)
	}
	v.Bits = totalBits(v.Crashes)
	slices.SortFunc(v.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.RunTime, b.RunTime), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	v.Quarantined = v.Bits >= ThresholdBits
	return v
}

// RecordCrash records that an endpoint crashed under a request of this box.
func (l *List) RecordCrash(e Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if crashBits(&e) < minCrashBits || l.recentlyServed.contains(e.Request, now) || !l.isNew(&e) {
		return
	}
	l.add(&crashRecord{Crash: e, observedAt: now})
	l.wakeWriter()
}

// isNew reports whether a crash differs from the recorded ones, and renames its endpoint if so. Each
// start crashes once; but a worker may be back under its id before the endpoint list shows that, and a
// crash of the new start is then attributed to the old one. A request that was sent after the old start
// crashed has run on another start.
//
// Example: the start i-5@a crashed under a request, which is retried a second later at a box whose list
// still shows i-5@a. The engine runs it and crashes: that is recorded as a crash of i-5@a+2.
// l.mu must be held.
func (l *List) isNew(e *Crash) bool {
	start := e.Endpoint
	for n := 2; ; n++ {
		k := l.crashes[e.key()]
		switch {
		case k == nil:
			return true
		case e.Doubtful || !k.observedAt.Before(e.SentAt):
			return false
		}
		e.Endpoint = fmt.Sprintf("%s+%d", start, n)
	}
}

// RecordServed records that a request was answered completely, which clears all evidence against it.
func (l *List) RecordServed(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentlyServed.add(f, clock.Now())
	for key, k := range l.byRequest[f] {
		l.drop(key, k.writeAttempted)
	}
}

// SetRows takes the content of the whole table. A row that is gone from the table is forgotten here,
// unless it is still to be written.
func (l *List) SetRows(rows map[string][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	restored := l.restorePending
	if l.restorePending = false; restored {
		l.scheduleRewrites(rows, now)
	}
	for key, k := range l.crashes {
		if _, there := rows[key]; !there && k.seenInTable {
			l.drop(key, false)
		}
	}
	for key, removed := range l.removing {
		if _, there := rows[key]; !there && removed {
			delete(l.removing, key)
		}
	}
	for key, text := range rows {
		if k := l.crashes[key]; k != nil {
			k.writeAttempted, k.writeAcked, k.seenInTable = true, true, true
			continue
		}
		if e, ok := parseRow(key, text); ok && !l.isRemoving(key) {
			l.add(&crashRecord{Crash: e, observedAt: now, writeAttempted: true, writeAcked: true, seenInTable: true})
			if restored && l.recentlyServed.contains(e.Request, now) {
				l.drop(key, true)
			}
		}
	}
}

// observerHeadStart is how long other boxes wait before they write a crash that a restored older copy of
// the table lacks: the box that observed it writes it at once.
const observerHeadStart = 2 * time.Second

// ExpectRestoredRows announces that the next SetRows comes from a restored older copy of the table. Crashes that it
// lacks still count and are written again; boxes that did not observe a crash themselves do so at a
// random time within spread.
func (l *List) ExpectRestoredRows(spread time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restorePending, l.rewriteSpread = true, spread
}

// scheduleRewrites schedules the writes of crashes that a restored table lacks, and the removals of rows
// that it should not have. l.mu must be held.
func (l *List) scheduleRewrites(rows map[string][]byte, now time.Time) {
	rewriteDelay := observerHeadStart + rand.N(l.rewriteSpread+1)
	for key, k := range l.crashes {
		if _, there := rows[key]; there || !k.writeAcked {
			continue
		}
		k.writeAcked, k.seenInTable = false, false
		if k.SentAt.IsZero() { // Another box observed it.
			k.writeAfter = now.Add(rewriteDelay)
		}
	}
	time.AfterFunc(rewriteDelay, l.wakeWriter)
	for key := range l.removing {
		l.removing[key] = false
	}
	l.wakeWriter()
}

func (l *List) isRemoving(key string) bool {
	_, ok := l.removing[key]
	return ok
}

// add records a crash, within the bounds. l.mu must be held.
func (l *List) add(k *crashRecord) {
	l.evictIfFull(k.Caller)
	key := k.key()
	l.crashes[key] = k
	if l.byRequest[k.Request] == nil {
		l.byRequest[k.Request] = map[string]*crashRecord{}
	}
	l.byRequest[k.Request][key] = k
	l.perCaller[k.Caller]++
	l.count.Store(int64(len(l.crashes)))
	if v := l.verdict(k.Request); v.Quarantined && !l.quarantined[k.Request] {
		l.quarantined[k.Request] = true
		if l.OnQuarantine != nil {
			l.OnQuarantine(k.Request, v)
		}
	}
}

// evictIfFull drops the oldest crash of the caller if that is at its bound, or of the caller with the most
// crashes if the total bound is reached. l.mu must be held.
func (l *List) evictIfFull(caller string) {
	switch {
	case l.perCaller[caller] >= maxCrashesPerCaller:
	case len(l.crashes) >= maxCrashes:
		for other, n := range l.perCaller {
			if n > l.perCaller[caller] || n == l.perCaller[caller] && other < caller {
				caller = other
			}
		}
	default:
		return
	}
	var oldest *crashRecord
	for _, k := range l.crashes {
		if k.Caller == caller && (oldest == nil || k.observedAt.Before(oldest.observedAt)) {
			oldest = k
		}
	}
	if oldest != nil {
		l.drop(oldest.key(), oldest.writeAttempted)
	}
}

// drop forgets a crash, and removes it from the table if removeFromTable is set. l.mu must be held.
func (l *List) drop(key string, removeFromTable bool) {
	k := l.crashes[key]
	delete(l.crashes, key)
	delete(l.byRequest[k.Request], key)
	if l.perCaller[k.Caller]--; l.perCaller[k.Caller] == 0 {
		delete(l.perCaller, k.Caller)
	}
	if len(l.byRequest[k.Request]) == 0 {
		delete(l.byRequest, k.Request)
	}
	l.count.Store(int64(len(l.crashes)))
	if !l.verdict(k.Request).Quarantined {
		delete(l.quarantined, k.Request)
	}
	if removeFromTable {
		l.removing[key] = false
		l.wakeWriter()
	}
}

// expire drops the crashes that are older than ttl.
func (l *List) expire(ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for key, k := range l.crashes {
		if now.Sub(k.observedAt) > ttl {
			l.drop(key, k.writeAttempted)
		}
	}
}

// Sizes returns the number of recorded crashes and of quarantined requests.
func (l *List) Sizes() (crashes, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes), len(l.quarantined)
}

func (l *List) wakeWriter() {
	select {
	case l.pendingWrites <- struct{}{}:
	default:
	}
}
