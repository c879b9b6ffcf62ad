package quarantine

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

const (
	// crashTTL is how long a crash counts. A quarantine ends this long after the last crash. Operators replace engines
	// and callers give up within minutes. A request that still crashes endpoints after that time crashes three more
	// endpoints before it is quarantined again.
	crashTTL = 10 * time.Minute
	// maxCrashesPerCaller bounds the recorded crashes of one caller. maxCrashes bounds those of all callers. A caller
	// at its bound loses its own oldest crash. At the total bound the caller with the most crashes loses its oldest
	// crash. So a caller that fills the table cannot displace the crashes of others. A crash takes up 590 bytes of
	// memory (measured with 4,096 crashes of 64 callers) and 118 bytes in the table.
	maxCrashesPerCaller = 128
	maxCrashes          = 4096
)

// Crash is a crash of an endpoint while it ran a request.
type Crash struct {
	Request  Fingerprint
	Endpoint string        // Names one start of an endpoint: a restarted endpoint has another name.
	Caller   string        // The Tag of the caller, whose bound maxCrashesPerCaller the crash counts towards.
	RunTime  time.Duration // How long the request had run at the crash.
	// SentAt is when this box sent the request to the endpoint; zero for a crash that another box observed.
	SentAt time.Time
	// Doubtful means that the endpoint possibly crashed before the request reached it. The connection was lost
	// immediately and without a response. This happens when several endpoints crash together and a request moves from
	// one crashed endpoint to the next.
	Doubtful bool
	// Try is the Tag of the try of the request, which tells its tries apart.
	Try string
	// Parts are the parts of the prompt that may have crashed the endpoint; none if the run has shown that they do not.
	Parts []Part
	// Account is the Tag of the client account; empty for a request without an account.
	Account string
	// RunEnded means that the run had ended shortly before the crash. Then only its parts are suspected.
	RunEnded bool
}

// Verdict is the evidence against a request, and whether it suffices to quarantine the request.
type Verdict struct {
	// Quarantined means that the request must not be sent to an endpoint any more.
	Quarantined bool
	Bits        float64 // The evidence; see ThresholdBits.
	Crashes     []Crash // The crashes that the evidence comes from, the shortest run first.
}

// String describes the verdict for operators.
func (v Verdict) String() string {
	parts := make([]string, len(v.Crashes))
	for i, e := range v.Crashes {
		parts[i] = fmt.Sprintf("%s after %s", e.Endpoint, e.RunTime.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d endpoints ended under it: %s", len(v.Crashes), strings.Join(parts, ", "))
}

// crashRecord is a crash that this box knows.
type crashRecord struct {
	Crash
	observedAt time.Time
}

// List holds the crashes that one box knows: the crashes that the box observed and the crashes in the shared table. It
// counts them against whole requests and against parts of prompts. It is safe for concurrent use. NewList must be used
// to create it.
type List struct {
	// OnQuarantine is called once when a request becomes quarantined. It must not block, and may be nil.
	OnQuarantine func(Fingerprint, Verdict)
	// OnPart is called when the state of a part changes. It must not block, and may be nil.
	OnPart func(PartVerdict)
	// OnRejected is called with the key of each new row about a crash that no box can have written. It must not block, and
	// may be nil.
	OnRejected func(key string)

	// count is the number of crashes. It can be read without the lock. While it is 0, no fingerprint of a request needs
	// to be computed.
	count atomic.Int64
	// boxes is the number of boxes that share the table; 0 if it is not known.
	boxes atomic.Int64

	mu        sync.Mutex
	crashes   map[string]*crashRecord // By the keys of their rows.
	byRequest map[Fingerprint]map[string]*crashRecord
	// perCaller is the number of crashes of each caller.
	perCaller map[string]int
	// removing has the keys of the rows that are to be removed from the table. The value is true once the store has
	// accepted the removal.
	removing map[string]bool
	// removedAt has the keys of the rows that have gone from the table since, with the times of that.
	removedAt      map[string]time.Time
	quarantined    map[Fingerprint]bool
	recentlyServed recentSet[Fingerprint]
	parts          partLedger
	// rows has the state of the rows of the table by their keys.
	rows map[string]*sharedRow
	// rejected are the rows of the table that say nothing, by their keys: those that no box can have written, and those of
	// other packages and of later releases. They are read again when they change.
	rejected map[string][]byte
	// restorePending means that the next call of SetRows brings a table that was restored from an older copy. The boxes
	// then write the rows that this table lacks to it again. They spread these writes over rewriteSpread.
	restorePending bool
	rewriteSpread  time.Duration
	// pendingWrites wakes the TableWriter. It has an element when there are new changes to write.
	pendingWrites chan struct{}
}

// NewList returns an empty list.
func NewList() *List {
	return &List{
		crashes: map[string]*crashRecord{}, byRequest: map[Fingerprint]map[string]*crashRecord{}, perCaller: map[string]int{},
		removing: map[string]bool{}, removedAt: map[string]time.Time{}, quarantined: map[Fingerprint]bool{}, pendingWrites: make(chan struct{}, 1),
		rows: map[string]*sharedRow{}, rejected: map[string][]byte{}, recentlyServed: recentSet[Fingerprint]{max: maxServed}, parts: newPartLedger(),
	}
}

// key returns the key of the crash's row: the same on every box, and different for each start of an endpoint.
func (e *Crash) key() string {
	return e.Request.String() + "." + endpointHash(e.Endpoint)
}

// rowDoc is the JSON value of a crash's row.
type rowDoc struct {
	Endpoint string `json:"endpoint"`
	Caller   string `json:"caller"`
	RanMS    int64  `json:"ran_ms"`
	Doubtful bool   `json:"doubt,omitempty"`
	Try      string `json:"try,omitempty"`
}

const (
	// maxRunTime bounds the run time in a row.
	maxRunTime = time.Hour
	// maxRowNameBytes is longer than the names and tags in rows. Without a bound, the rows of maxCrashes crashes could fill
	// the memory of all boxes.
	maxRowNameBytes = 512
)

// fitsRow reports whether names and tags of a row have lengths that boxes write.
func fitsRow(names ...string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return len(name) > maxRowNameBytes })
}

// isCrashKey reports whether a key is that of a row about a crash under a request, and returns the request.
func isCrashKey(key string) (request Fingerprint, ok bool) {
	fingerprint, _, found := strings.Cut(key, ".")
	request, valid := ParseFingerprint(fingerprint)
	return request, found && valid
}

// parseRow decodes a row of the table; ok is false for a row that no box can have written.
func parseRow(key string, text []byte) (e Crash, ok bool) {
	request, ok := isCrashKey(key)
	var doc rowDoc
	if !ok || json.Unmarshal(text, &doc) != nil || doc.RanMS < 0 || doc.RanMS > maxRunTime.Milliseconds() {
		return e, false
	}
	e.Request = request
	e.Endpoint, e.Caller, e.RunTime, e.Doubtful, e.Try = doc.Endpoint, doc.Caller, time.Duration(doc.RanMS)*time.Millisecond, doc.Doubtful, doc.Try
	return e, e.Endpoint != "" && fitsRow(e.Endpoint, e.Caller, e.Try) && e.key() == key
}

func (e *Crash) row() []byte {
	b, _ := json.Marshal(rowDoc{e.Endpoint, e.Caller, e.RunTime.Milliseconds(), e.Doubtful, e.Try}) // Strings and numbers always encode.
	return b
}

// SetBoxes sets the number of boxes that share the table.
func (l *List) SetBoxes(n int) { l.boxes.Store(int64(n)) }

// Empty reports whether no crash is recorded for any request.
func (l *List) Empty() bool { return l.count.Load() == 0 }

// Check returns the evidence against a request.
func (l *List) Check(fingerprints ...Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict(fingerprints...)
}

// verdict adds up the evidence of the crashes of a request, which may have several fingerprints. A crash that a quarantined part explains is no evidence
// against the requests beside it. l.mu must be held.
func (l *List) verdict(fingerprints ...Fingerprint) (v Verdict) {
	for _, f := range fingerprints {
		for _, record := range l.byRequest[f] {
			if !l.parts.explained[record.Endpoint] {
				v.Crashes = append(v.Crashes, record.Crash)
			}
		}
	}
	v.Bits = totalBits(v.Crashes)
	slices.SortFunc(v.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.RunTime, b.RunTime), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	v.Quarantined = v.Bits >= ThresholdBits
	return v
}

// RecordCrash records that an endpoint crashed under a request that this box had sent to it. It ignores the crash if
// the evidence is too small, if the request was answered completely within servedTTL, or if the crash is already
// recorded. It wakes the TableWriter.
func (l *List) RecordCrash(e Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	l.recordParts(&e, now)
	if e.RunEnded || crashBits(&e) < minCrashBits || l.recentlyServed.contains(e.Request, now) || !l.isNew(&e) {
		return
	}
	l.add(&crashRecord{Crash: e, observedAt: now}, &sharedRow{value: e.row(), own: true})
	l.wakeWriter()
}

// isNew reports whether a crash is not recorded yet. Each start of an endpoint crashes once. But a worker may be back
// under its id before the list of endpoints shows the worker's new start. Then a crash of the new start is reported
// with the name of the old start, whose crash is already recorded. If the request was sent after the old start's crash,
// the request must have run on another start. Then the crash is new, and isNew gives the endpoint of e another name.
//
// Example: the start i-5@a crashed under a request. The request is retried a second later at a box whose list still
// shows i-5@a. The engine runs the request and crashes. That is recorded as a crash of i-5@a+2. l.mu must be held.
func (l *List) isNew(e *Crash) bool {
	start := e.Endpoint
	for n := 2; ; n++ {
		record := l.crashes[e.key()]
		switch {
		case record == nil:
			return true
		case e.Doubtful || !record.observedAt.Before(e.SentAt):
			return false
		}
		e.Endpoint = fmt.Sprintf("%s+%d", start, n)
	}
}

// RecordServed records that a request was answered completely. It drops all crashes of the request, and has their rows
// removed from the table.
func (l *List) RecordServed(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentlyServed.add(f, clock.Now())
	l.dropRequest(f)
}

// dropRequest drops all crashes of a request, also from the table. l.mu must be held.
func (l *List) dropRequest(f Fingerprint) {
	for key := range l.byRequest[f] {
		l.drop(key, l.rows[key].writeAttempted)
	}
}

// add records a crash. If a bound is reached, it first drops another crash. It calls OnQuarantine if the request
// becomes quarantined. l.mu must be held.
func (l *List) add(record *crashRecord, row *sharedRow) {
	l.evictIfFull(record.Caller)
	key := record.key()
	l.crashes[key], l.rows[key] = record, row
	if l.byRequest[record.Request] == nil {
		l.byRequest[record.Request] = map[string]*crashRecord{}
	}
	l.byRequest[record.Request][key] = record
	l.perCaller[record.Caller]++
	l.count.Store(int64(len(l.crashes)))
	if v := l.verdict(record.Request); v.Quarantined && !l.quarantined[record.Request] {
		l.quarantined[record.Request] = true
		if l.OnQuarantine != nil {
			l.OnQuarantine(record.Request, v)
		}
	}
}

// evictIfFull drops one crash if a bound is reached. If the caller is at its bound, it drops the caller's oldest crash.
// If only the total bound is reached, it drops the oldest crash of the caller with the most crashes. l.mu must be held.
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
	for _, record := range l.crashes {
		if record.Caller == caller && (oldest == nil || record.observedAt.Before(oldest.observedAt)) {
			oldest = record
		}
	}
	if oldest != nil {
		l.drop(oldest.key(), l.rows[oldest.key()].writeAttempted)
	}
}

// drop forgets a crash. If removeFromTable is set, it also has the row removed from the table. l.mu must be held.
func (l *List) drop(key string, removeFromTable bool) {
	record := l.crashes[key]
	delete(l.crashes, key)
	delete(l.byRequest[record.Request], key)
	if l.perCaller[record.Caller]--; l.perCaller[record.Caller] == 0 {
		delete(l.perCaller, record.Caller)
	}
	if len(l.byRequest[record.Request]) == 0 {
		delete(l.byRequest, record.Request)
	}
	l.count.Store(int64(len(l.crashes)))
	if !l.verdict(record.Request).Quarantined {
		delete(l.quarantined, record.Request)
	}
	l.dropRow(key, removeFromTable)
}

// expire drops the crashes that are older than ttl, also from the table.
func (l *List) expire(ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for key, record := range l.crashes {
		if now.Sub(record.observedAt) > ttl {
			l.drop(key, l.rows[key].writeAttempted)
		}
	}
	maps.DeleteFunc(l.removedAt, func(_ string, at time.Time) bool { return now.Sub(at) > lateWriteTime })
	l.expireParts(ttl, now)
}

// Sizes returns the number of recorded crashes and the number of quarantined requests.
func (l *List) Sizes() (crashes, quarantined int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.crashes), len(l.quarantined)
}
