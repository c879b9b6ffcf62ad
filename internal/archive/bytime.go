package archive

import (
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

// Listed is an object store that can be listed by prefix. Names come back in order.
type Listed interface {
	Put(ctx context.Context, name string, b []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, name string) error
}

const (
	// byTimeEvery is how often a box writes its records: one object each time.
	byTimeEvery = time.Minute
	// keptFor is how long objects are kept; any box removes older ones, so that those of
	// boxes that are gone go too, at most removedAtOnce each time.
	keptFor       = 30 * time.Minute
	removedAtOnce = 32
	// searched bounds the objects that one search reads, the newest first.
	searched = 256
	// byTimePrefix begins the names of all objects, and stampForm comes next: names are in
	// the order of time.
	byTimePrefix = "records-"
	stampForm    = "20060102150405"
)

// ByTime keeps the records of requests that are named by their callers, so that nothing
// in an id tells where or when the request was served. Objects are named after the time
// and the box, and a search goes back through them:
//
//	records-20261202115600-front-malaga-hall-1
type ByTime struct {
	store Listed
	box   string
	lost  *metrics.Counter

	mu      sync.Mutex
	waiting []*record.Record
	last    writtenObject
	// restored wakes Run when the store came back from an older copy.
	restored chan struct{}
}

// writtenObject is the newest object that a box wrote.
type writtenObject struct {
	name  string
	bytes []byte
}

const (
	// lastKept is for how long an object is kept that an older copy of the store may lack, and mostLast bounds
	// one that is kept, in bytes.
	lastKept = 20 * time.Second
	mostLast = 512 << 10
	// restoredSpread keeps boxes from writing their objects again together.
	restoredSpread = 5 * time.Second
)

// NewByTime returns an archive for a box; lost counts the records dropped.
func NewByTime(store Listed, box string, lost *metrics.Counter) *ByTime {
	return &ByTime{store: store, box: box, lost: lost, restored: make(chan struct{}, 1)}
}

// Add takes a finished record; it never blocks on the store.
func (a *ByTime) Add(r *record.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = keep(a.waiting, r, a.lost)
}

// Run writes records until ctx ends.
func (a *ByTime) Run(ctx context.Context) {
	t := time.NewTicker(byTimeEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			a.Flush(ctx)
			a.removeOld(ctx, time.Now())
		case <-a.restored:
			a.writeAgain(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Flush writes what waits. What cannot be written stays for the next time.
func (a *ByTime) Flush(ctx context.Context) {
	a.mu.Lock()
	list := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	if len(list) == 0 {
		return
	}
	b, err := pack(list)
	name := byTimePrefix + time.Now().UTC().Format(stampForm) + "-" + a.box
	if err == nil {
		err = a.store.Put(ctx, name, b)
	}
	if err != nil {
		for _, r := range list {
			a.Add(r)
		}
		return
	}
	a.keepLast(writtenObject{name, b})
}

// keepLast remembers an object for as long as an older copy of the store may lack it.
func (a *ByTime) keepLast(o writtenObject) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last = o; len(o.bytes) > mostLast {
		a.last = writtenObject{}
		return
	}
	time.AfterFunc(lastKept, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.last.name == o.name {
			a.last = writtenObject{}
		}
	})
}

// Restored says that the store has come back from an older copy.
func (a *ByTime) Restored() {
	select {
	case a.restored <- struct{}{}:
	default:
	}
}

// writeAgain writes the newest object again, which an older copy may lack.
func (a *ByTime) writeAgain(ctx context.Context) {
	select {
	case <-time.After(rand.N(restoredSpread)):
	case <-ctx.Done():
		return
	}
	a.mu.Lock()
	o := a.last
	a.mu.Unlock()
	if o.name != "" && a.store.Put(ctx, o.name, o.bytes) != nil {
		a.Restored() // Tried again until the object is too old.
	}
}

// removeOld removes what is too old, whoever wrote it.
func (a *ByTime) removeOld(ctx context.Context, now time.Time) {
	names, err := a.store.List(ctx, byTimePrefix)
	if err != nil {
		return
	}
	oldest := byTimePrefix + now.Add(-keptFor).UTC().Format(stampForm)
	for i, name := range names {
		if i == removedAtOnce || name >= oldest || a.store.Delete(ctx, name) != nil {
			return
		}
	}
}

// Find reads a record of any box, from the newest objects on.
func (a *ByTime) Find(ctx context.Context, id string) (*record.Record, error) {
	names, err := a.store.List(ctx, byTimePrefix)
	if err != nil {
		return nil, err
	}
	slices.Reverse(names)
	for _, name := range names[:min(len(names), searched)] {
		b, err := a.store.Get(ctx, name)
		if errors.Is(err, ErrNotFound) {
			continue // Another box has just removed it.
		}
		if err != nil {
			return nil, err
		}
		if r, err := search(b, id); r != nil || err != nil {
			return r, err
		}
	}
	if len(names) > searched {
		return nil, fmt.Errorf("%w among the newest %d objects; the oldest of them is %s", ErrNotFound, searched, strings.TrimPrefix(names[searched-1], byTimePrefix))
	}
	return nil, ErrNotFound
}
