// Package archive keeps decision records in the platform's object store, so that
// they outlive their box. A request id names its box, incarnation and minute, and
// the objects are named after those, so that finding a record needs no index:
//
//	records/BOX-INCARNATION/MINUTE/0, then 1, 2, … as records of that minute end
package archive

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/platform"
	"github.com/stoatramp/stoatramp/internal/record"
)

// Objects is the part of the platform's object store that the archive needs.
type Objects interface {
	PutObject(ctx context.Context, key string, b []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

const (
	// flushEvery is how often records are written.
	flushEvery = 10 * time.Second
	// maxWaiting bounds the records kept through an outage of the store; older ones
	// are dropped and counted.
	maxWaiting = 4096
	// maxParts bounds the objects of one minute that a search reads.
	maxParts = 64
)

// Archive writes the records of one box and reads those of all.
type Archive struct {
	store Objects
	lost  *metrics.Counter

	mu      sync.Mutex
	waiting []*record.Record
	parts   map[string]partState // The next part of each minute of this box.
}

type partState struct {
	next int
	at   time.Time // When the last part was written.
}

// partsKept is how long a minute's next part is remembered.
const partsKept = 10 * time.Minute

// New returns an archive; lost counts the records dropped.
func New(store Objects, lost *metrics.Counter) *Archive {
	return &Archive{store: store, lost: lost, parts: map[string]partState{}}
}

// Add takes a finished record; it never blocks on the store.
func (a *Archive) Add(r *record.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting = keep(a.waiting, r, a.lost)
}

// keep adds a record to those that wait for the store, within bounds.
func keep(waiting []*record.Record, r *record.Record, lost *metrics.Counter) []*record.Record {
	if len(waiting) == maxWaiting {
		waiting = append(waiting[:0], waiting[1:]...)
		lost.Inc()
	}
	return append(waiting, r)
}

// Run writes records until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	t := time.NewTicker(flushEvery)
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

// Flush writes what waits, one object for each minute. What cannot be written
// stays for the next time.
func (a *Archive) Flush(ctx context.Context) {
	a.mu.Lock()
	byMinute := map[string][]*record.Record{}
	for _, r := range a.waiting {
		dir := directory(r.ID)
		byMinute[dir] = append(byMinute[dir], r)
	}
	a.waiting = nil
	a.mu.Unlock()
	for dir, list := range byMinute {
		if err := a.write(ctx, dir, list); err != nil {
			for _, r := range list {
				a.Add(r)
			}
		}
	}
}

// write stores one part. A write whose answer is lost is written again under the
// same name, with more records perhaps, which replaces the first.
func (a *Archive) write(ctx context.Context, dir string, list []*record.Record) error {
	b, err := pack(list)
	if err != nil {
		return err
	}
	part, err := a.nextPart(ctx, dir)
	if err != nil {
		return err
	}
	if err := a.store.PutObject(ctx, fmt.Sprintf("%s/%d", dir, part), b); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parts[dir] = partState{part + 1, time.Now()}
	for d, p := range a.parts {
		if time.Since(p.at) > partsKept {
			delete(a.parts, d)
		}
	}
	return nil
}

// nextPart is the first part of a minute not written yet. What is not remembered
// is looked up, so that no part is ever replaced by other records.
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

func pack(list []*record.Record) ([]byte, error) {
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

// directory turns an id, BOX-INCARNATION-MINUTE-NUMBER, into its objects' prefix.
func directory(id string) string {
	parts := strings.Split(id, "-")
	if len(parts) < 4 {
		return "records/other"
	}
	n := len(parts)
	return "records/" + strings.Join(parts[:n-2], "-") + "/" + parts[n-2]
}

// ErrNotFound means that no part holds the record.
var ErrNotFound = errors.New("archive: no such record")

// Find reads a record of any box.
func (a *Archive) Find(ctx context.Context, id string) (*record.Record, error) {
	dir := directory(id)
	for part := range maxParts {
		b, err := a.store.GetObject(ctx, fmt.Sprintf("%s/%d", dir, part))
		if errors.Is(err, platform.ErrNotFound) {
			return nil, ErrNotFound
		}
		if err != nil {
			return nil, err
		}
		if r, err := search(b, id); r != nil || err != nil {
			return r, err
		}
	}
	return nil, ErrNotFound
}

func search(b []byte, id string) (*record.Record, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bufio.NewReader(z))
	for dec.More() {
		r := &record.Record{}
		if err := dec.Decode(r); err != nil {
			return nil, err
		}
		if r.ID == id {
			return r, nil
		}
	}
	return nil, nil
}
