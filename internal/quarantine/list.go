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
	// keptFor is for how long an end counts: a verdict is over so long after the last end. Operators
	// replace engines or callers give up within minutes, and a request that still ends endpoints then
	// ends three more.
	keptFor = 10 * time.Minute
	// mostOfCaller and mostEnds bound the ends that are kept of one caller, and of all. A caller that
	// has more loses its own oldest, and where all are too many the caller with the most does, so that
	// who fills the table takes nothing from others. An end takes 590 bytes of memory (4,096 ends of 64
	// callers) and 118 in the table.
	mostOfCaller = 128
	mostEnds     = 4096
)

// End is that an endpoint ended under a request.
type End struct {
	Request  Fingerprint
	Endpoint string // Names one start of it.
	Caller   string // Whose bound it counts to; see Tag.
	Ran      time.Duration
	// Sent is when the request was sent there, by this box's clock; zero for an end that another box saw.
	Sent time.Time
	// Doubt says that the endpoint may have ended before the request reached it: the call broke off at
	// once and without an answer, as it does where several endpoints end together and a request goes on
	// from one to the next.
	Doubt bool
	// Try tells the request's tries apart; see Tag.
	Try string
}

// Verdict says what is known of a request.
type Verdict struct {
	// Held says that the request must not be sent to an endpoint any more.
	Held bool
	Bits float64
	Ends []End // The shortest run first.
}

// String says the verdict to operators.
func (v Verdict) String() string {
	parts := make([]string, len(v.Ends))
	for i, e := range v.Ends {
		parts[i] = fmt.Sprintf("%s after %s", e.Endpoint, e.Ran.Round(time.Millisecond))
	}
	return fmt.Sprintf("%d endpoints ended under it: %s", len(v.Ends), strings.Join(parts, ", "))
}

// known is an end and where it stands.
type known struct {
	End
	since time.Time
	// sent says that it was sent to the table, written that the table has taken it, and stored that
	// it was seen there.
	sent, written, stored bool
	// due is when it may be written; zero for at once.
	due time.Time
}

// List is what one box knows of ends: its own, and those that the table has. It is safe for
// concurrent use; the zero value is not ready.
type List struct {
	// Held is told once when a request is held from now on; it must not block, and may be nil.
	Held func(Fingerprint, Verdict)

	// n is how many ends there are, so that most requests need no fingerprint.
	n atomic.Int64

	mu   sync.Mutex
	ends map[string]*known // By key.
	by   map[Fingerprint]map[string]*known
	// of counts the ends of each caller.
	of map[string]int
	// removing are keys that are being taken out of the table; true once it has done so.
	removing map[string]bool
	held     map[Fingerprint]bool
	served   served
	// restored says that the rows that are set next are of an older copy of the table, and spread over what
	// time boxes write again what it lacks.
	restored bool
	spread   time.Duration
	// work wakes who writes the table.
	work chan struct{}
}

// NewList returns an empty list.
func NewList() *List {
	return &List{
		ends: map[string]*known{}, by: map[Fingerprint]map[string]*known{}, of: map[string]int{},
		removing: map[string]bool{}, held: map[Fingerprint]bool{}, work: make(chan struct{}, 1),
	}
}

// key is the row of an end: the same from whichever box, and different for each start of an endpoint.
func (e *End) key() string {
	h := sha256.Sum256([]byte(e.Endpoint))
	return e.Request.String() + "." + hex.EncodeToString(h[:8])
}

// rowDoc is the text of a row.
type rowDoc struct {
	Endpoint string `json:"endpoint"`
	Caller   string `json:"caller"`
	RanMS    int64  `json:"ran_ms"`
	Doubt    bool   `json:"doubt,omitempty"`
	Try      string `json:"try,omitempty"`
}

// mostRan bounds what a row may claim.
const mostRan = time.Hour

// parse reads a row; ok is false for one that nobody here can have written.
func parse(key string, text []byte) (e End, ok bool) {
	print, _, found := strings.Cut(key, ".")
	raw, err := hex.DecodeString(print)
	var d rowDoc
	if !found || err != nil || len(raw) != len(e.Request) || json.Unmarshal(text, &d) != nil {
		return e, false
	}
	copy(e.Request[:], raw)
	e.Endpoint, e.Caller, e.Ran, e.Doubt, e.Try = d.Endpoint, d.Caller, time.Duration(d.RanMS)*time.Millisecond, d.Doubt, d.Try
	return e, e.Endpoint != "" && e.Ran >= 0 && e.Ran <= mostRan && e.key() == key
}

func (e *End) row() []byte {
	b, _ := json.Marshal(rowDoc{e.Endpoint, e.Caller, e.Ran.Milliseconds(), e.Doubt, e.Try}) // Strings and numbers always encode.
	return b
}

// Empty says that nothing is known of any request.
func (l *List) Empty() bool { return l.n.Load() == 0 }

// Check says what is known of a request.
func (l *List) Check(f Fingerprint) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict(f)
}

// verdict adds up the ends of a request. The lock is held.
func (l *List) verdict(f Fingerprint) (v Verdict) {
	for _, k := range l.by[f] {
		v.Ends = append(v.Ends, k.End)
	}
	v.Bits = sum(v.Ends)
	slices.SortFunc(v.Ends, func(a, b End) int {
		return cmp.Or(cmp.Compare(a.Ran, b.Ran), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	v.Held = v.Bits >= Enough
	return v
}

// Ended takes that an endpoint ended under a request of this box.
func (l *List) Ended(e End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	if bits(&e) < leastBits || l.served.lately(e.Request, now) || !l.isNew(&e) {
		return
	}
	l.add(&known{End: e, since: now})
	l.wake()
}

// isNew says whether an end is another one than those known, and names it so. A start ends once; but
// a worker may be back under its id before the list tells, and then what runs there is taken for the
// start before. A request that was sent after that one had ended has met another.
//
// Example: the start i-5@a ended under a request, which comes again a second later, to a box whose list
// still shows i-5@a. The engine runs it and ends: that is the end of i-5@a+2. The lock is held.
func (l *List) isNew(e *End) bool {
	start := e.Endpoint
	for n := 2; ; n++ {
		k := l.ends[e.key()]
		switch {
		case k == nil:
			return true
		case e.Doubt || !k.since.Before(e.Sent):
			return false
		}
		e.Endpoint = fmt.Sprintf("%s+%d", start, n)
	}
}

// Served takes that a request was answered whole: it ends nothing, whatever was seen before.
func (l *List) Served(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served.add(f, clock.Now())
	for key, k := range l.by[f] {
		l.drop(key, k.sent)
	}
}

// SetRows takes the whole table. A row that is gone there is gone here, but for one that is still to
// be written.
func (l *List) SetRows(rows map[string][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	older := l.restored
	if l.restored = false; older {
		l.writeAgain(rows, now)
	}
	for key, k := range l.ends {
		if _, there := rows[key]; !there && k.stored {
			l.drop(key, false)
		}
	}
	for key, done := range l.removing {
		if _, there := rows[key]; !there && done {
			delete(l.removing, key)
		}
	}
	for key, text := range rows {
		if k := l.ends[key]; k != nil {
			k.sent, k.written, k.stored = true, true, true
			continue
		}
		if e, ok := parse(key, text); ok && !l.isRemoving(key) {
			l.add(&known{End: e, since: now, sent: true, written: true, stored: true})
			if older && l.served.lately(e.Request, now) {
				l.drop(key, true)
			}
		}
	}
}

// ownerFirst is how long other boxes wait before they write an end again that an older copy of the table lacks:
// the box that saw it does so at once.
const ownerFirst = 2 * time.Second

// Restored says that the table has come back from an older copy, whose rows are set next. What it lacks still
// counts and is written again; boxes that did not see an end themselves share that out over the spread.
func (l *List) Restored(spread time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.restored, l.spread = true, spread
}

// writeAgain has written again what the rows of an older copy lack, and taken out again what they have in
// excess. The lock is held.
func (l *List) writeAgain(rows map[string][]byte, now time.Time) {
	wait := ownerFirst + rand.N(l.spread+1)
	for key, k := range l.ends {
		if _, there := rows[key]; there || !k.written {
			continue
		}
		k.written, k.stored = false, false
		if k.Sent.IsZero() { // Another box saw it.
			k.due = now.Add(wait)
		}
	}
	time.AfterFunc(wait, l.wake)
	for key := range l.removing {
		l.removing[key] = false
	}
	l.wake()
}

func (l *List) isRemoving(key string) bool {
	_, yes := l.removing[key]
	return yes
}

// add keeps an end, within the bounds. The lock is held.
func (l *List) add(k *known) {
	l.makeRoom(k.Caller)
	key := k.key()
	l.ends[key] = k
	if l.by[k.Request] == nil {
		l.by[k.Request] = map[string]*known{}
	}
	l.by[k.Request][key] = k
	l.of[k.Caller]++
	l.n.Store(int64(len(l.ends)))
	if v := l.verdict(k.Request); v.Held && !l.held[k.Request] {
		l.held[k.Request] = true
		if l.Held != nil {
			l.Held(k.Request, v)
		}
	}
}

// makeRoom drops the oldest end of the caller, or of the one with the most, where there are too many.
// The lock is held.
func (l *List) makeRoom(caller string) {
	switch {
	case l.of[caller] >= mostOfCaller:
	case len(l.ends) >= mostEnds:
		for other, n := range l.of {
			if n > l.of[caller] || n == l.of[caller] && other < caller {
				caller = other
			}
		}
	default:
		return
	}
	var oldest *known
	for _, k := range l.ends {
		if k.Caller == caller && (oldest == nil || k.since.Before(oldest.since)) {
			oldest = k
		}
	}
	if oldest != nil {
		l.drop(oldest.key(), oldest.sent)
	}
}

// drop forgets an end, and has it taken out of the table. The lock is held.
func (l *List) drop(key string, remove bool) {
	k := l.ends[key]
	delete(l.ends, key)
	delete(l.by[k.Request], key)
	if l.of[k.Caller]--; l.of[k.Caller] == 0 {
		delete(l.of, k.Caller)
	}
	if len(l.by[k.Request]) == 0 {
		delete(l.by, k.Request)
	}
	l.n.Store(int64(len(l.ends)))
	if !l.verdict(k.Request).Held {
		delete(l.held, k.Request)
	}
	if remove {
		l.removing[key] = false
		l.wake()
	}
}

// expire drops what has counted for longer than a time.
func (l *List) expire(after time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock.Now()
	for key, k := range l.ends {
		if now.Sub(k.since) > after {
			l.drop(key, k.sent)
		}
	}
}

// Sizes are how many ends are known, and how many requests are held.
func (l *List) Sizes() (ends, held int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends), len(l.held)
}

func (l *List) wake() {
	select {
	case l.work <- struct{}{}:
	default:
	}
}
