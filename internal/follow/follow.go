// Package follow keeps a copy of a table of the platform's store up to date, through
// outages, lost history and answers that never come.
package follow

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
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

// ErrOld means that an answer shows an older state of the store than one that is known.
var ErrOld = errors.New("the store answered with an older state than before")

// Source reads one table. Versions grow with every change of the store.
type Source interface {
	// All returns every row as of one version.
	All(ctx context.Context) ([]Row, Version, error)
	// Changed returns the rows changed since a version, as soon as there is one or
	// after the wait. The changes of one era do not lead to the next: they end with ErrForgotten.
	Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error)
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
	// FollowedWait and FollowedPause stand in for Wait and Pause, where they are less, while
	// other boxes follow this one.
	FollowedWait  time.Duration
	FollowedPause time.Duration
	// Stale is the age of what another box tells at which this one reads for itself.
	Stale time.Duration
	// Settle is how long after the first reading the changes are first asked for: most boxes
	// are told by another one by then.
	Settle time.Duration
	// Late is for how long the first reading is put off, so that another box tells of the table, and
	// First says that none will.
	Late  time.Duration
	First func() bool
}

// Freshness tells how long ago the store was heard of. The zero value has not heard of it.
type Freshness struct{ at atomic.Pointer[time.Time] }

func (f *Freshness) heard() {
	now := clock.Now() // With the steady clock: the time of day may jump.
	f.at.Store(&now)
}

// Age is the time since the store last answered; 0 if it never did.
func (f *Freshness) Age() time.Duration {
	at := f.at.Load()
	if at == nil {
		return 0
	}
	return clock.Since(*at)
}

// heardAgo notes that the store was heard of so long ago, by way of another box.
func (f *Freshness) heardAgo(d time.Duration) {
	at := clock.Now().Add(-d)
	if old := f.at.Load(); old == nil || old.Before(at) {
		f.at.Store(&at)
	}
}

// overdueSlack is what a table may be late beyond its own pace, for a slow answer and a pause of
// the link.
const overdueSlack = time.Second + linkShared

// OverdueAfter is the age beyond which a table is not as fresh as its pace has it: either the
// store is away, or this box fails to ask it.
func (t *Table) OverdueAfter() time.Duration {
	return max(t.o.Wait, t.o.Stale) + t.o.Pause + t.o.Limit + overdueSlack
}

// Overdue says that the table was read, and that nothing has been heard of the store for it in
// OverdueAfter, neither from the store nor from another box.
func (t *Table) Overdue() bool { return t.Fresh.Age() > t.OverdueAfter() }

// Table is the copy.
type Table struct {
	src Source
	o   Options

	// mu guards what follows it, and is held while Apply is called.
	mu sync.Mutex
	// rows is the table as of ver; nil before it was read whole.
	rows map[string][]byte
	ver  Version
	// reread says that the store has forgotten what changed since ver.
	reread  bool
	changes changes
	relief  relief

	// Apply is called with the whole table after each change and must neither keep the map
	// nor change it. Calls do not overlap.
	Apply func(rows map[string][]byte)
	// Fresh is kept up to date; New sets it, and it may be replaced before Run.
	Fresh *Freshness
	// Restored is called when the store has come back from an older copy, right before Apply is called with its
	// rows: some that were known may be missing or older until their writers have written them again. It may be
	// nil.
	Restored func(era int64)
	// Lost is called when the store stops answering, and Back when it answers again after
	// so long; they may be nil.
	Lost func(error)
	Back func(away time.Duration)
	// era is the one in which the table was last heard of.
	era context.Context
	// lostAt is when the store stopped answering; zero while it answers. lost says the same
	// to other goroutines.
	lostAt time.Time
	lost   atomic.Bool
	// back is when the store was last heard of again after it did not answer.
	back atomic.Pointer[time.Time]
	// followed says that other boxes are told of the table by this one, and quicken has an entry when
	// it has just begun to be so.
	followed atomic.Bool
	quicken  chan struct{}
	// cut says that the call under way was ended to be made again at another pace. cutShort ends it;
	// nil while none is, or none that waits longer than a followed box's. mu guards cutShort.
	cut      atomic.Bool
	cutShort context.CancelFunc
}

// New returns a follower of src.
func New(src Source, o Options, apply func(map[string][]byte)) *Table {
	if o.Link == nil {
		o.Link = &Link{}
	}
	t := &Table{src: src, o: o, Apply: apply, Fresh: &Freshness{}}
	t.relief.ended, t.quicken = make(chan struct{}, 1), make(chan struct{}, 1)
	return t
}

// Run follows until ctx ends.
func (t *Table) Run(ctx context.Context) {
	if !t.sleepLate(ctx) {
		return
	}
	settles := t.o.Settle > 0 && !t.relieved()
	for ctx.Err() == nil {
		relieved := t.rest(ctx)
		p := t.o.Link.enter(ctx, t.o.Limit+lookSlack)
		pause, err := t.visit(ctx, p, relieved)
		if settles && err == nil {
			pause = t.o.Settle
		}
		settles = settles && errors.Is(err, errNotMade)
		if pause <= 0 {
			continue
		}
		select {
		case <-time.After(pause):
		case <-t.quicken: // Followers must not find what they are told too old before the pause is over.
		case <-ctx.Done():
		}
	}
}

// lateLook paces the looks at whether the first reading need not be put off any more.
const lateLook = 50 * time.Millisecond

// sleepLate puts the first reading off, and returns false if ctx ended meanwhile.
func (t *Table) sleepLate(ctx context.Context) bool {
	for end := clock.Now().Add(t.o.Late); clock.Now().Before(end) && !t.relieved() && !t.o.First(); {
		select {
		case <-time.After(lateLook):
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// errNotMade means that a call was not made, or says nothing of the store.
var errNotMade = errors.New("no call was made")

// visit makes one call by a pass, which it gives back however it returns, and says for how long to
// pause after it.
func (t *Table) visit(ctx context.Context, p *pass, relieved bool) (pause time.Duration, err error) {
	defer p.giveBack()
	if ctx.Err() != nil || t.relieved() {
		return 0, errNotMade // Another box has told of the table while this one waited for the store.
	}
	start := clock.Now()
	// The first call of an era is answered at once too: what was missed is read now. So
	// is the first one after another box fell silent.
	changed, err := t.stepIn(ctx, p.era, p.look || relieved || p.era != t.era)
	if err == nil {
		t.era = p.era
	}
	if t.cut.Swap(false) && err != nil && ctx.Err() == nil {
		return 0, errNotMade // Made again at once, at the pace of a box that others follow.
	}
	if err != nil && p.era.Err() != nil && ctx.Err() == nil {
		return 0, errNotMade // The store is back, and this call had waited since before it was lost.
	}
	p.ended(clock.Now(), err == nil || errors.Is(err, ErrForgotten) || errors.Is(err, ErrOld))
	if ctx.Err() != nil {
		return 0, err // The end is no loss.
	}
	t.note(err)
	switch {
	case errors.Is(err, ErrForgotten):
		t.forgotten()
	case errors.Is(err, ErrOld):
		pause = linkFirst // The store answers, but does not know yet what it said.
	case err != nil: // The link paces what comes after a failure.
	case changed:
		_, pause = t.pace()
		pause -= clock.Since(start)
	}
	return pause, err
}

// note keeps account of whether the store answers.
func (t *Table) note(err error) {
	if err == nil || errors.Is(err, ErrForgotten) {
		t.Fresh.heard()
		if !t.lostAt.IsZero() && t.Back != nil {
			t.Back(clock.Since(t.lostAt))
		}
		t.lostAt = time.Time{}
		t.isBack()
		return
	}
	if t.lostAt.IsZero() {
		t.lostAt = clock.Now()
		t.lost.Store(true)
		t.mu.Lock()
		t.changes.tell() // Those that follow this box must hear of it.
		t.mu.Unlock()
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
	wait, _ := t.pace()
	if probe {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+t.o.Limit)
	defer cancel()
	if wait > t.o.FollowedWait {
		defer t.mayCut(cancel)()
	}
	since, known := t.known()
	if !known {
		return true, t.readAll(ctx)
	}
	rows, ver, err := t.src.Changed(ctx, since, wait)
	if err != nil {
		return false, err
	}
	t.isBack()
	return t.merge(rows, since, ver, false), nil
}

// mayCut lets Followed end a call, until what it returns is called.
func (t *Table) mayCut(cancel context.CancelFunc) (over func()) {
	t.setCutShort(cancel)
	return func() { t.setCutShort(nil) }
}

func (t *Table) setCutShort(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cutShort = cancel
}

// known is the version to read changes from; ok is false where the table must be read whole.
func (t *Table) known() (ver Version, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ver, t.rows != nil && !t.reread
}

func (t *Table) forgotten() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reread = true
}

// merge takes the rows that changed after one version up to another, and returns whether
// there was one. An answer from before what is known must not take anything back, and one
// that leaves a gap is of no use. Skips says that the rows do not name all that changed between: such changes
// fit the state that they lead from alone.
func (t *Table) merge(rows []Row, since, ver Version, skips bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows == nil || ver.Before(t.ver) || t.ver.Before(since) || skips && since != t.ver {
		return false
	}
	if skips {
		t.changes.skip(gap{t.ver, ver})
	}
	restored := t.advance(ver)
	for _, r := range rows {
		t.changes.note(r.Key, ver, len(t.rows))
		if r.Gone {
			delete(t.rows, r.Key)
			continue
		}
		t.rows[r.Key] = r.Value
	}
	if len(rows) > 0 || restored {
		t.Apply(t.rows)
	}
	t.changes.tell()
	return len(rows) > 0
}

// advance takes the version of the state that is about to be applied, and says whether the store has come back
// from an older copy since the last one. The lock is held.
func (t *Table) advance(ver Version) (restored bool) {
	restored = t.rows != nil && ver.Era > t.ver.Era
	t.ver = ver
	if !restored {
		return false
	}
	now := clock.Now()
	t.back.Store(&now)
	if t.Restored != nil {
		t.Restored(ver.Era)
	}
	return true
}

// readAll reads the table whole. A copy older than what is known is not taken.
func (t *Table) readAll(ctx context.Context) error {
	rows, ver, err := t.src.All(ctx)
	if err != nil {
		return err
	}
	t.isBack()
	if !t.replace(rows, ver) {
		return fmt.Errorf("%w: version %s, and %s is known", ErrOld, ver, t.Version())
	}
	return nil
}

// replace takes the whole table as of a version, unless a newer one is known.
func (t *Table) replace(rows []Row, ver Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ver.Before(t.ver) {
		return false
	}
	all := make(map[string][]byte, len(rows))
	for _, r := range rows {
		all[r.Key] = r.Value
	}
	t.noteReplaced(all, ver)
	t.advance(ver)
	t.rows, t.reread = all, false
	t.Apply(all)
	t.changes.tell()
	return true
}

// noteReplaced remembers which rows differ in a table that was read anew, so that followers need not be told
// all of it. The lock is held.
func (t *Table) noteReplaced(all map[string][]byte, ver Version) {
	if t.rows == nil {
		t.changes.restart(ver)
		return
	}
	t.changes.skip(gap{t.ver, ver})
	for key, value := range all {
		if old, there := t.rows[key]; !there || !bytes.Equal(old, value) {
			t.changes.note(key, ver, len(all))
		}
	}
	for key := range t.rows {
		if _, there := all[key]; !there {
			t.changes.note(key, ver, len(all))
		}
	}
}
