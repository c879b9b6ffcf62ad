// Package archive stores the decision records of requests in the platform's object store. So the records outlive the
// box that wrote them. In Archive, a request id contains the name of the box, its incarnation and the minute. The
// incarnation differs at each start of the box. Objects are named after these three parts, so a record is found
// without an index:
//
//	records/BOX-INCARNATION/MINUTE/0, then 1, 2, … as records of that minute end
package archive

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/record"
)

// ObjectStore is the part of the platform's object store that the archive needs.
type ObjectStore interface {
	PutObject(ctx context.Context, key string, b []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

const (
	// flushInterval is the time between two writes to the store.
	flushInterval = 10 * time.Second
	// maxPending bounds the records kept in memory during an outage of the store. When more records arrive, the
	// oldest records are dropped and counted.
	maxPending = 4096
	// A part is one object with records of one minute. maxParts bounds the parts that a box writes for one minute,
	// and the parts that a search reads.
	maxParts = 64
)

// Archive writes the records of one box and reads those of all boxes.
type Archive struct {
	store ObjectStore
	lost  *metrics.Counter

	mu      sync.Mutex
	pending []*record.Record
	parts   map[string]partState // By object prefix: the next part to write for each minute of this box.
}

type partState struct {
	next int
	at   time.Time // When a write of a part was last tried.
}

// partsRetention is how long the box remembers which part of a minute to write next.
const partsRetention = 10 * time.Minute

// New returns an archive. lost counts the records that are dropped.
func New(store ObjectStore, lost *metrics.Counter) *Archive {
	return &Archive{store: store, lost: lost, parts: map[string]partState{}}
}

// Add queues a finished record. It never waits for the store.
func (a *Archive) Add(r *record.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = appendBounded(a.pending, r, a.lost)
}

// appendBounded adds a record to the pending records. If there are maxPending already, it drops and counts the oldest.
func appendBounded(pending []*record.Record, r *record.Record, lost *metrics.Counter) []*record.Record {
	if len(pending) == maxPending {
		pending = append(pending[:0], pending[1:]...)
		lost.Inc()
	}
	return append(pending, r)
}

// Run writes the pending records regularly until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// requeue puts the records of a failed write back in front of those that arrived during the write. If there are more
// than maxPending, it drops and counts the oldest.
func requeue(failed, pending []*record.Record, lost *metrics.Counter) []*record.Record {
	all := slices.Concat(failed, pending)
	if excess := len(all) - maxPending; excess > 0 {
		lost.Add(excess)
		all = all[excess:]
	}
	return all
}

// Flush writes the pending records, grouped into one object for each minute. Records that cannot be written stay
// pending.
func (a *Archive) Flush(ctx context.Context) {
	a.mu.Lock()
	list := a.pending
	a.pending = nil
	a.mu.Unlock()
	byMinute := map[string][]*record.Record{}
	for _, r := range list {
		dir := keyPrefix(r.ID)
		byMinute[dir] = append(byMinute[dir], r)
	}
	failed := map[string]bool{}
	for dir, list := range byMinute {
		failed[dir] = a.write(ctx, dir, list) != nil
	}
	list = slices.DeleteFunc(list, func(r *record.Record) bool { return !failed[keyPrefix(r.ID)] })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = requeue(list, a.pending, a.lost)
}

// write stores records of one minute as the next part of that minute. The answer of the store may be lost. A later
// write then repeats the part under the same name, possibly with more records. It replaces the first object. So the
// number of the part is remembered before the write: once the object exists, nextPart would return the next number.
func (a *Archive) write(ctx context.Context, dir string, list []*record.Record) error {
	b, err := encodeRecords(list)
	if err != nil {
		return err
	}
	part, err := a.nextPart(ctx, dir)
	if err != nil {
		return err
	}
	a.rememberPart(dir, part)
	if err := a.store.PutObject(ctx, fmt.Sprintf("%s/%d", dir, part), b); err != nil {
		return err
	}
	a.rememberPart(dir, part+1)
	return nil
}

// rememberPart sets the next part of a minute, and forgets the minutes that were not written for partsRetention.
func (a *Archive) rememberPart(dir string, next int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts[dir] = partState{next, time.Now()}
	for d, p := range a.parts {
		if time.Since(p.at) > partsRetention {
			delete(a.parts, d)
		}
	}
}

// nextPart returns the number of the first part of a minute that is not written yet. If the box does not remember the
// number, nextPart reads the store. So the box replaces no part by other records.
func (a *Archive) nextPart(ctx context.Context, dir string) (int, error) {
	a.mu.Lock()
	p, ok := a.parts[dir]
	a.mu.Unlock()
	if ok {
		return p.next, nil
	}
	for part := range maxParts {
		_, err := a.store.GetObject(ctx, fmt.Sprintf("%s/%d", dir, part))
		if errors.Is(err, platform.ErrNotFound) {
			return part, nil
		}
		if err != nil {
			return 0, err
		}
	}
	return 0, fmt.Errorf("archive: %s has %d parts already", dir, maxParts)
}

func encodeRecords(list []*record.Record) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	enc := json.NewEncoder(w)
	for _, r := range list {
		if err := enc.Encode(r); err != nil {
			return nil, err
		}
	}
	err := w.Close()
	return buf.Bytes(), err
}

// keyPrefix returns the prefix of the object names for a request id of the form BOX-INCARNATION-MINUTE-NUMBER.
func keyPrefix(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) < 4 {
		return "records/other"
	}
	n := len(parts)
	return "records/" + strings.Join(parts[:n-2], "-") + "/" + parts[n-2]
}

// ErrNotFound means that no object contains the record.
var ErrNotFound = errors.New("archive: no such record")

// Find reads the record of a request that any box served.
func (a *Archive) Find(ctx context.Context, id string) (*record.Record, error) {
	dir := keyPrefix(id)
	var damaged error
	for part := range maxParts {
		b, err := a.store.GetObject(ctx, fmt.Sprintf("%s/%d", dir, part))
		if errors.Is(err, platform.ErrNotFound) {
			break
		}
		if err != nil {
			return nil, err
		}
		r, err := findRecord(b, id)
		if r != nil {
			return r, nil
		}
		damaged = cmp.Or(damaged, err)
	}
	if damaged != nil {
		return nil, fmt.Errorf("%w, but not all objects could be read: %w", ErrNotFound, damaged)
	}
	return nil, ErrNotFound
}

const (
	// maxObjectText bounds the text of an object, which compression may have made shorter by a factor of a thousand.
	maxObjectText = 256 << 20
	// maxRecordBytes is longer than the record of a request. A single text of maxObjectText would take up all memory of a box.
	maxRecordBytes = 4 << 20
)

// ErrDamaged means that an object is not one that a box writes.
var ErrDamaged = errors.New("archive: an object is not one that a box writes")

// findRecord finds a record in the text of an object, which has one record in each line. It returns nil if the object is sound
// and lacks the record.
func findRecord(b []byte, id string) (*record.Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	lines := bufio.NewScanner(io.LimitReader(z, maxObjectText))
	lines.Buffer(nil, maxRecordBytes)
	for lines.Scan() {
		r := &record.Record{}
		if err := json.Unmarshal(lines.Bytes(), r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
		}
		if r.ID == id {
			return r, nil
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return nil, nil
}
