package archive

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/record"
)

// ListableStore is an object store that can list names by prefix, in ascending order.
type ListableStore interface {
	Put(ctx context.Context, name string, b []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

const (
	// byTimeInterval is how often a box writes its records, as one object.
	byTimeInterval = time.Minute
	// retention is how long objects are kept. Each box removes older objects, at most maxRemovals in one round. It
	// also removes objects of other boxes, because some of those boxes may no longer exist.
	retention   = 30 * time.Minute
	maxRemovals = 32
	// maxSearched bounds how many objects one search reads. It reads the newest objects first.
	maxSearched = 256
	// byTimePrefix starts the names of all objects. The time in timestampLayout follows, so the order of the names
	// is the order of the times.
	byTimePrefix    = "records-"
	timestampLayout = "20060102150405"
)

// TimeArchive stores the decision records of requests whose ids are chosen by callers. Such an id does not tell where
// or when the request was served. Objects are named after the time and the box. A search reads the objects from the
// newest to the oldest:
//
//	records-20261202115600-front-malaga-hall-1
type TimeArchive struct {
	store ListableStore
	box   string
	lost  *metrics.Counter

	mu         sync.Mutex
	pending    []*record.Record
	lastObject writtenObject
	// failedName is the name of the object whose write failed last, and failedAt the time in that name. Pending has
	// the records of that object, apart from dropped ones. The name is empty if the last write succeeded.
	failedName string
	failedAt   time.Time
	// lastNamedAt is the time in the newest name of an object of this box.
	lastNamedAt time.Time
	// storeRestored wakes Run after the store was restored from an older snapshot.
	storeRestored chan struct{}
}

// writtenObject is the object that the box wrote last.
type writtenObject struct {
	name  string
	bytes []byte
}

const (
	// lastObjectRetention is how long the object written last is kept in memory. The store may be restored from an
	// older snapshot that lacks the object. The box then writes the object again. maxLastObjectBytes bounds the
	// size of a kept object.
	lastObjectRetention = 20 * time.Second
	maxLastObjectBytes  = 512 << 10
	// rewriteSpread is the longest random delay before a box writes its object again. The delay keeps boxes from all
	// writing at the same time.
	rewriteSpread = 5 * time.Second
)

// NewTimeArchive returns an archive for a box. lost counts the records that are dropped.
func NewTimeArchive(store ListableStore, box string, lost *metrics.Counter) *TimeArchive {
	return &TimeArchive{store: store, box: box, lost: lost, storeRestored: make(chan struct{}, 1)}
}

// Add queues a finished record. It never waits for the store.
func (a *TimeArchive) Add(r *record.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pending = appendBounded(a.pending, r, a.lost)
}

// Run writes the pending records and removes old objects regularly until ctx ends.
func (a *TimeArchive) Run(ctx context.Context) {
	t := time.NewTicker(byTimeInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Flush(ctx)
			a.removeOld(ctx, time.Now())
		case <-a.storeRestored:
			a.rewriteLast(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// maxRetryAge is how long the records of a failed write are written again under the same name, with those that arrived
// since. If only the answer of the store was lost, the new object replaces the first one. Objects are removed by the
// time in their names, so after a longer outage the records get a new name.
const maxRetryAge = 5 * time.Minute

// Flush writes the pending records as one object. If that fails, the records stay pending.
func (a *TimeArchive) Flush(ctx context.Context) {
	name, at, list := a.takePending(time.Now())
	if len(list) == 0 {
		return
	}
	b, err := encodeRecords(list)
	if err == nil {
		err = a.store.Put(ctx, name, b)
	}
	if err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pending = requeue(list, a.pending, a.lost)
		a.failedName, a.failedAt = name, at
		return
	}
	a.rememberLast(writtenObject{name, b})
}

// takePending removes the pending records. It returns them with the name of their object and the time in that name.
func (a *TimeArchive) takePending(now time.Time) (name string, at time.Time, list []*record.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list, a.pending = a.pending, nil
	name, at = a.failedName, a.failedAt
	a.failedName = ""
	if len(list) > 0 && (name == "" || now.Sub(at) > maxRetryAge) {
		// A name has whole seconds. Two objects within a second need different names.
		at = now.Truncate(time.Second)
		if !at.After(a.lastNamedAt) {
			at = a.lastNamedAt.Add(time.Second)
		}
		name, a.lastNamedAt = byTimePrefix+at.UTC().Format(timestampLayout)+"-"+a.box, at
	}
	return name, at, list
}

// rememberLast keeps an object in memory for lastObjectRetention, unless it is larger than maxLastObjectBytes. The
// store may be restored in that time from a snapshot that lacks the object. the object until then.
func (a *TimeArchive) rememberLast(o writtenObject) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastObject = o; len(o.bytes) > maxLastObjectBytes {
		a.lastObject = writtenObject{}
		return
	}
	time.AfterFunc(lastObjectRetention, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.lastObject.name == o.name {
			a.lastObject = writtenObject{}
		}
	})
}

// StoreRestored tells the archive that the store was restored from an older snapshot.
func (a *TimeArchive) StoreRestored() {
	select {
	case a.storeRestored <- struct{}{}:
	default:
	}
}

// rewriteLast writes the last object again after a restore of the store, because the snapshot may lack the object.
func (a *TimeArchive) rewriteLast(ctx context.Context) {
	select {
	case <-time.After(rand.N(rewriteSpread)):
	case <-ctx.Done():
		return
	}
	a.mu.Lock()
	o := a.lastObject
	a.mu.Unlock()
	if o.name != "" && a.store.Put(ctx, o.name, o.bytes) != nil {
		a.StoreRestored() // Run tries again until the object is no longer kept in memory.
	}
}

// removeOld removes objects of any box that are older than retention.
func (a *TimeArchive) removeOld(ctx context.Context, now time.Time) {
	names, err := a.store.List(ctx, byTimePrefix)
	if err != nil {
		return
	}
	oldest := byTimePrefix + now.Add(-retention).UTC().Format(timestampLayout)
	for i, name := range names {
		if i == maxRemovals || name >= oldest || a.store.Delete(ctx, name) != nil {
			return
		}
	}
}

// Find reads the record of a request that any box served, searching from the newest object back.
func (a *TimeArchive) Find(ctx context.Context, id string) (*record.Record, error) {
	names, err := a.store.List(ctx, byTimePrefix)
	if err != nil {
		return nil, err
	}
	slices.Reverse(names)
	var damaged error
	for _, name := range names[:min(len(names), maxSearched)] {
		b, err := a.store.Get(ctx, name)
		if errors.Is(err, ErrNotFound) {
			continue // Another box has just removed this object.
		}
		if err != nil && !errors.Is(err, ErrDamaged) {
			return nil, err
		}
		var r *record.Record
		if err == nil {
			r, err = findRecord(b, id)
		}
		if r != nil {
			return r, nil
		}
		damaged = cmp.Or(damaged, err)
	}
	if damaged != nil {
		return nil, fmt.Errorf("%w, but not all objects could be read: %w", ErrNotFound, damaged)
	}
	if len(names) > maxSearched {
		return nil, fmt.Errorf("%w among the newest %d objects; the oldest of them is %s", ErrNotFound, maxSearched, strings.TrimPrefix(names[maxSearched-1], byTimePrefix))
	}
	return nil, ErrNotFound
}
