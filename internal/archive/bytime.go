package archive

import (
	"context"
	"errors"
	"fmt"
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
}

// NewByTime returns an archive for a box; lost counts the records dropped.
func NewByTime(store Listed, box string, lost *metrics.Counter) *ByTime {
	return &ByTime{store: store, box: box, lost: lost}
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
	if err == nil {
		err = a.store.Put(ctx, byTimePrefix+time.Now().UTC().Format(stampForm)+"-"+a.box, b)
	}
	if err != nil {
		for _, r := range list {
			a.Add(r)
		}
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
