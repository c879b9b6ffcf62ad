// Package follow keeps a copy of a table of the platform's store up to date, through
// outages, lost history and answers that never come.
package follow

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Gone marks a row that was removed.
	Gone bool
}

// ErrForgotten means that the store no longer knows what changed since the asked
// version; the table has to be read whole.
var ErrForgotten = errors.New("the store has forgotten its history")

// Source reads one table. Versions grow with every change of the store.
type Source interface {
	// All returns every row as of one version.
	All(ctx context.Context) ([]Row, int64, error)
	// Changed returns the rows changed since a version, as soon as there is one or
	// after the wait.
	Changed(ctx context.Context, since int64, wait time.Duration) ([]Row, int64, error)
}

// Options pace a follower.
type Options struct {
	// Wait is how long the store may hold a call until something changes.
	Wait time.Duration
	// Pause is the least time between two calls that bring changes: a busy table is
	// read in batches.
	Pause time.Duration
	// Link is the way to the store, shared with other tables; nil for one of its own.
	Link *Link
	// Limit bounds a call beyond Wait.
	Limit time.Duration
}

// Freshness tells how long ago the store was heard of. The zero value has not heard of it.
type Freshness struct{ at atomic.Pointer[time.Time] }

func (f *Freshness) heard() {
	now := time.Now() // With the steady clock: the time of day may jump.
	f.at.Store(&now)
}

// Age is the time since the store last answered; 0 if it never did.
func (f *Freshness) Age() time.Duration {
	at := f.at.Load()
	if at == nil {
		return 0
	}
	return time.Since(*at)
}

// Table is the copy.
type Table struct {
	src Source
	o   Options
	// rows is the table as of ver; nil before it was read whole.
	rows map[string][]byte
	ver  int64
	// Apply is called with the whole table after each change and must neither keep the map
	// nor change it.
	Apply func(rows map[string][]byte)
	// Fresh is kept up to date; it may be nil.
	Fresh *Freshness
	// Lost is called when the store stops answering, and Back when it answers again after
	// so long; they may be nil.
	Lost func(error)
	Back func(away time.Duration)
	// era is the one in which the table was last heard of.
	era context.Context
	// lostAt is when the store stopped answering; zero while it answers.
	lostAt time.Time
}

// New returns a follower of src.
func New(src Source, o Options, apply func(map[string][]byte)) *Table {
	if o.Link == nil {
		o.Link = &Link{}
	}
	return &Table{src: src, o: o, Apply: apply}
}

// Run follows until ctx ends.
func (t *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		probe, era := t.o.Link.enter(ctx)
		start := time.Now()
		// The first call of an era is answered at once too: what was missed is read now.
		changed, err := t.stepIn(ctx, era, probe || era != t.era)
		if err == nil {
			t.era = era
		}
		if err != nil && era.Err() != nil && ctx.Err() == nil {
			continue // The store is back, and this call had waited since before it was lost.
		}
		t.o.Link.ended(time.Now(), err == nil || errors.Is(err, ErrForgotten) || errors.Is(err, errOld), probe)
		if ctx.Err() != nil {
			return // The end is no loss.
		}
		t.note(err)
		pause := time.Duration(0)
		switch {
		case errors.Is(err, ErrForgotten):
			t.rows = nil
		case errors.Is(err, errOld):
			pause = linkFirst // The store answers, but does not know yet what it said.
		case err != nil: // The link paces what comes after a failure.
		case changed:
			pause = t.o.Pause - time.Since(start)
		}
		if pause <= 0 {
			continue
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// note keeps account of whether the store answers.
func (t *Table) note(err error) {
	if err == nil || errors.Is(err, ErrForgotten) {
		if t.Fresh != nil {
			t.Fresh.heard()
		}
		if !t.lostAt.IsZero() && t.Back != nil {
			t.Back(time.Since(t.lostAt))
		}
		t.lostAt = time.Time{}
		return
	}
	if t.lostAt.IsZero() {
		t.lostAt = time.Now()
		if t.Lost != nil {
			t.Lost(err)
		}
	}
}

// stepIn makes one call, which ends with its era.
func (t *Table) stepIn(ctx, era context.Context, probe bool) (changed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(era, cancel)()
	return t.step(ctx, probe)
}

// step makes one call and applies what it brought. A probe is answered at once.
func (t *Table) step(ctx context.Context, probe bool) (changed bool, err error) {
	wait := t.o.Wait
	if probe {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+t.o.Limit)
	defer cancel()
	if t.rows == nil {
		return true, t.readAll(ctx)
	}
	rows, ver, err := t.src.Changed(ctx, t.ver, wait)
	if err != nil {
		return false, err
	}
	// An answer from before what is known must not take anything back.
	if ver < t.ver {
		return false, nil
	}
	t.ver = ver
	for _, r := range rows {
		if r.Gone {
			delete(t.rows, r.Key)
			continue
		}
		t.rows[r.Key] = r.Value
	}
	if len(rows) > 0 {
		t.Apply(t.rows)
	}
	return len(rows) > 0, nil
}

// readAll reads the table whole. A copy older than what is known is not taken.
func (t *Table) readAll(ctx context.Context) error {
	rows, ver, err := t.src.All(ctx)
	if err != nil {
		return err
	}
	if ver < t.ver {
		return errOld
	}
	all := make(map[string][]byte, len(rows))
	for _, r := range rows {
		all[r.Key] = r.Value
	}
	t.rows, t.ver = all, ver
	t.Apply(all)
	return nil
}

var errOld = errors.New("the store answered with an older state than before")
