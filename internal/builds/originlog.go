package builds

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file keeps the origins of streams that the plans don't tell. There are two kinds: a stream for which a plan that was
// replaced lately names another build; and all streams of several builds while some may have begun without a plan. The store has such an origin before the caller has a byte of the
// stream. No box follows these rows: a box reads one when it is asked to go on with a stream that no box knows.
//
// So if all streams began as planned, a stream that is not in the log began at the build that the oldest plan names under
// which it may have begun: each later plan that names another build would have had it logged.

// Log is the table of the platform's store that has the logged origins.
type Log interface {
	// Write sets the rows in put and removes the rows with the keys in remove, in one transaction.
	Write(ctx context.Context, put map[string][]byte, remove []string) error
	// Read returns a row; nil if there is none.
	Read(ctx context.Context, key string) ([]byte, error)
	// ReadSome returns some rows.
	ReadSome(ctx context.Context) (map[string][]byte, error)
}

const (
	// maxRowsPerWrite bounds the rows in a write.
	maxRowsPerWrite = 100
	// All boxes together make at most logRate writes a second. Each may make logBurst at once.
	logRate  = 150.0
	logBurst = 8.0
	// logWait bounds the wait of a caller for the store.
	logWait = 250 * time.Millisecond
	// logRetryDelay is the pause after a failed write.
	logRetryDelay = 500 * time.Millisecond
	// clockSlack is by how much the clocks of two boxes may differ.
	clockSlack = 10 * time.Second
	// removeInterval is how often a box removes its own expired rows. orphanInterval is how often one box removes the expired
	// rows of boxes that have ended.
	removeInterval = 10 * time.Second
	orphanInterval = 5 * time.Minute
)

// loggedOrigin is the value of a row. Its key is the stream's key.
type loggedOrigin struct {
	Service string `json:"service"`
	Build   string `json:"build"`
	Expires int64  `json:"expires_ms"` // Unix milliseconds.
}

func (o *loggedOrigin) expired(now time.Time) bool {
	return o.Expires+clockSlack.Milliseconds() < now.UnixMilli()
}

func logKey(k origins.Key) string { return strconv.FormatUint(uint64(k), 36) }

// originLog is this box's part of the log. Planner.mu protects it.
type originLog struct {
	// own has the rows that this box has written and not removed.
	own map[string]loggedOrigin
	// pending are the rows that the next write sets, and waiting the callers that wait for it.
	pending map[string]loggedOrigin
	waiting []chan error
	// tokens are the writes that this box may make now, as of refilled.
	tokens   float64
	refilled time.Time
	write    chan struct{}
}

func (l *originLog) init() {
	l.own, l.pending, l.write, l.tokens = map[string]loggedOrigin{}, map[string]loggedOrigin{}, make(chan struct{}, 1), logBurst
}

var (
	errLogBusy   = errors.New("too many origins wait to be logged")
	errNotLogged = errors.New("the store did not take the origin in time")
)

// logOrigin has the store keep the origin of a stream that is about to begin. After an error the store may have it or not.
func (p *Planner) logOrigin(ctx context.Context, g Group, k origins.Key, build string, until time.Time) error {
	logged := make(chan error, 1)
	if !p.addToLog(g, k, build, until, logged) {
		return errLogBusy
	}
	ctx, cancel := context.WithTimeout(ctx, logWait)
	defer cancel()
	select {
	case err := <-logged:
		return err
	case <-ctx.Done():
		return errNotLogged
	}
}

// LogForOthers logs the origin of a stream that another box has begun, while boxes of an earlier release may begin some. It
// does not wait.
func (p *Planner) LogForOthers(g Group, k origins.Key, build string, until time.Time) {
	p.mu.Lock()
	plan := p.plans[g]
	p.mu.Unlock()
	if plan != nil && p.mayBeUnplanned(plan) {
		p.addToLog(g, k, build, until, nil)
	}
}

// addToLog has the next write set a row. logged, if it is not nil, then receives the write's error. addToLog returns false if
// too many rows wait for a write.
func (p *Planner) addToLog(g Group, k origins.Key, build string, until time.Time, logged chan error) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := &p.log
	if len(l.pending) >= maxRowsPerWrite {
		return false
	}
	l.pending[logKey(k)] = loggedOrigin{g.Service, build, until.UnixMilli()}
	if logged != nil {
		l.waiting = append(l.waiting, logged)
	}
	select {
	case l.write <- struct{}{}:
	default:
	}
	return true
}

// takeToken returns how long this box must wait before its next write; 0 if it may make one now.
func (l *originLog) takeToken(now time.Time, boxes int) time.Duration {
	rate := logRate / float64(max(1, boxes))
	if !l.refilled.IsZero() {
		l.tokens = min(logBurst, l.tokens+now.Sub(l.refilled).Seconds()*rate)
	}
	l.refilled = now
	if l.tokens < 1 {
		return time.Duration((1 - l.tokens) / rate * float64(time.Second))
	}
	l.tokens--
	return 0
}

// awaitToken waits until this box may make another write. It returns false if ctx is done before.
func (p *Planner) awaitToken(ctx context.Context) bool {
	for {
		p.mu.Lock()
		wait := p.log.takeToken(clock.Now(), p.o.Boxes.Count(p.o.Region))
		p.mu.Unlock()
		if wait == 0 {
			return true
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return false
		}
	}
}

// runLog writes to the log until ctx is done. Streams that begin meanwhile share the next write.
func (p *Planner) runLog(ctx context.Context) {
	remove, orphans := time.NewTicker(removeInterval), time.NewTicker(orphanInterval)
	defer remove.Stop()
	defer orphans.Stop()
	for {
		select {
		case <-p.log.write:
			if p.awaitToken(ctx) {
				p.writeLog(ctx)
			}
		case <-remove.C:
			p.removeExpired(ctx)
		case <-orphans.C:
			if p.o.Boxes.Rank(p.o.Region, "origin log") == 0 {
				p.removeOrphans(ctx)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (p *Planner) writeLog(ctx context.Context) {
	p.mu.Lock()
	rows, waiting := p.log.pending, p.log.waiting
	p.log.pending, p.log.waiting = map[string]loggedOrigin{}, nil
	put := make(map[string][]byte, len(rows))
	for key, o := range rows {
		put[key], _ = json.Marshal(o) // Strings and numbers always encode.
		p.log.own[key] = o
	}
	p.mu.Unlock()
	if len(put) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := p.o.Log.Write(ctx, put, nil)
	if err != nil {
		p.o.Failed("origins of streams not logged", err)
		p.logAgain(rows)
	}
	for _, logged := range waiting {
		logged <- err
	}
}

// logAgain has rows written again after a failed write. Their streams may have begun.
func (p *Planner) logAgain(rows map[string]loggedOrigin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Now()
	for key, o := range rows {
		if _, newer := p.log.pending[key]; !newer && !o.expired(now) && len(p.log.pending) < maxRowsPerWrite {
			p.log.pending[key] = o
		}
	}
	time.AfterFunc(logRetryDelay, func() {
		select {
		case p.log.write <- struct{}{}:
		default:
		}
	})
}

// removeExpired removes rows of this box whose streams can't be taken up any more.
func (p *Planner) removeExpired(ctx context.Context) {
	p.mu.Lock()
	keys := expiredKeys(p.log.own, p.o.Now())
	p.mu.Unlock()
	if len(keys) == 0 || !p.removeRows(ctx, keys) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range keys {
		delete(p.log.own, key)
	}
}

// removeOrphans removes expired rows, whichever box wrote them.
func (p *Planner) removeOrphans(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rows, err := p.o.Log.ReadSome(readCtx)
	if err != nil {
		p.o.Failed("origin log not read", err)
		return
	}
	list := make(map[string]loggedOrigin, len(rows))
	for key, value := range rows {
		var o loggedOrigin // A row that no box can have written has expired.
		_ = json.Unmarshal(value, &o)
		list[key] = o
	}
	if keys := expiredKeys(list, p.o.Now()); len(keys) > 0 {
		p.removeRows(ctx, keys)
	}
}

func expiredKeys(rows map[string]loggedOrigin, now time.Time) (keys []string) {
	for key, o := range rows {
		if len(keys) < maxRowsPerWrite && o.expired(now) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (p *Planner) removeRows(ctx context.Context, keys []string) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := p.o.Log.Write(ctx, nil, keys)
	if err != nil {
		p.o.Failed("expired origins not removed", err)
	}
	return err == nil
}

// loggedBuild reads the logged origin of a stream. logged is false if the log has none.
func (p *Planner) loggedBuild(ctx context.Context, g Group, k origins.Key) (build string, logged bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := p.o.Log.Read(ctx, logKey(k))
	if err != nil {
		p.o.Failed("origin log not read", err)
		return "", false, err
	}
	var o loggedOrigin
	if value == nil || json.Unmarshal(value, &o) != nil || o.Service != g.Service || o.expired(p.o.Now()) {
		return "", false, nil
	}
	return o.Build, true, nil
}
