package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file is how boxes pass tables on to one another: a box that is told of a table by
// another one need not read the store itself.

// Part is what one box tells another of a table.
type Part struct {
	// Version is that of the state that the rows lead to.
	Version Version
	// Since is the version that the rows are changes from; zero if they are the whole table.
	Since Version
	// OmitsReverted says that rows are missing which changed and changed back between the two.
	OmitsReverted bool
	Rows          []Row
	// Age is how long ago the store was heard of.
	Age time.Duration
	// Lost says that the store does not answer the box that tells this.
	Lost bool
}

// changes remembers which rows changed when, also those that are gone.
type changes struct {
	// at is the version at which a row changed last, if that was after from.
	at   map[string]Version
	from Version
	gaps []gap // Oldest first.
	// told is closed and replaced at each change of the version; nil while nobody waits.
	told chan struct{}
}

// mostChanges bounds what is remembered, and rows of half of a longer table. A box that is further behind
// gets the table whole.
const mostChanges = 2048

func (c *changes) restart(ver Version) { c.at, c.from = map[string]Version{}, ver }

// gap is a step from one state to another that did not name all rows: one that changed and changed back
// meanwhile is missing.
type gap struct{ from, to Version }

// mostGaps bounds the gaps that are remembered. A box that is further behind gets the table whole.
const mostGaps = 16

// skip remembers a gap.
func (c *changes) skip(g gap) {
	if len(c.gaps) >= mostGaps {
		c.from = later(c.from, c.gaps[0].to)
		c.gaps = slices.Delete(c.gaps, 0, 1)
	}
	c.gaps = append(c.gaps, g)
}

func later(v, w Version) Version {
	if v.Before(w) {
		return w
	}
	return v
}

// leadFrom says whether what is remembered leads from a version to the present one. Within a gap it does not.
func (c *changes) leadFrom(since Version) bool {
	return !since.IsZero() && !since.Before(c.from) && !slices.ContainsFunc(c.gaps, func(g gap) bool {
		return g.from.Before(since) && since.Before(g.to)
	})
}

// skipsAfter says whether there is a gap on the way from a version to the present one.
func (c *changes) skipsAfter(since Version) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return since.Before(g.to) })
}

// note remembers that a row of so many changed.
func (c *changes) note(key string, ver Version, rows int) {
	if _, known := c.at[key]; !known && len(c.at) >= max(mostChanges, rows/2) {
		c.forget()
	}
	c.at[key] = ver
}

// forget drops the older half. With all dropped at once, every follower is behind what is left and gets the
// table whole: 2.3 MB of 10,000 endpoints each time that 2,048 more of them had changed, to 986 boxes.
func (c *changes) forget() {
	vers := slices.SortedFunc(maps.Values(c.at), Version.Compare)
	c.from = vers[len(vers)/2]
	maps.DeleteFunc(c.at, func(_ string, ver Version) bool { return !c.from.Before(ver) })
}

func (c *changes) tell() {
	if c.told != nil {
		close(c.told)
		c.told = nil
	}
}

// Changed is closed when the table's version grows.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changes.told == nil {
		t.changes.told = make(chan struct{})
	}
	return t.changes.told
}

// Away says that the store did not answer this box last, nor does another one tell of it; or
// that the table is overdue. The age counts beside the answers, so that a box that fails to ask
// is not followed by others for good, and follows one that does better.
func (t *Table) Unavailable() bool { return t.lost.Load() || t.Overdue() }

// isBack notes that the store is heard of, from itself or by way of another box.
func (t *Table) isBack() {
	if t.lost.Swap(false) {
		now := clock.Now()
		t.back.Store(&now)
	}
}

// BackSince is how long ago the store was heard of again after it did not answer; very long
// if it always has.
func (t *Table) BackSince() time.Duration {
	if at := t.back.Load(); at != nil {
		return clock.Since(*at)
	}
	return 1<<63 - 1
}

// Version is that of the copy; zero before the table was read.
func (t *Table) Version() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ver
}

// Tell says what changed since a version that another box has; zero if it has nothing. A box
// that has read nothing itself has nothing to tell: then Version is zero.
func (t *Table) PartSince(since Version) Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Part{Version: t.ver, Age: t.Fresh.Age(), Lost: t.Unavailable()}
	if t.rows == nil {
		return Part{Lost: true}
	}
	if t.changes.leadFrom(since) {
		p.Since, p.OmitsReverted = since, t.changes.skipsAfter(since)
		for key, ver := range t.changes.at {
			if !since.Before(ver) {
				continue
			}
			value, there := t.rows[key]
			p.Rows = append(p.Rows, Row{Key: key, Value: value, Gone: !there})
		}
		return p
	}
	for key, value := range t.rows {
		p.Rows = append(p.Rows, Row{Key: key, Value: value})
	}
	return p
}

// relief says until when another box reads the table for this one.
type relief struct {
	until time.Time
	// ended has an entry when the relief ends before its time.
	ended chan struct{}
}

// Hear takes what another box tells. If that is fresh, this box does not read the store for
// some time; it begins again as soon as that is over, or Alone says so. Hear returns false
// if the part was of no use because versions between are missing, or because the other box knows an older
// era: then this box goes on reading the store.
func (t *Table) Hear(p Part, relief time.Duration) bool {
	if p.Version.IsZero() {
		return true
	}
	if !p.Lost && p.Age <= t.OverdueAfter() {
		t.isBack() // Before the rows are applied, which may lack some that lapsed meanwhile.
	}
	if p.Since.IsZero() {
		t.replace(p.Rows, p.Version)
	} else {
		t.merge(p.Rows, p.Since, p.Version, p.OmitsReverted)
	}
	// A box that is behind in the same era will catch up; one in another era tells of what is undone.
	has := t.Version()
	fits := has.Era == p.Version.Era && !has.Before(p.Version)
	if p.Lost {
		t.o.Link.shared(clock.Now())
	}
	if p.Lost || p.Age > t.o.Stale || !fits {
		return fits
	}
	t.Fresh.heardAgo(p.Age)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relief.until = clock.Now().Add(min(relief, t.o.Stale-p.Age))
	return true
}

// Followed says whether other boxes follow this one: then it hears of the store often enough
// for what it tells them to be fresh. The pace changes at once: where 20 boxes started together, the
// one that all followed kept its slow pace for 5 s more, and the other 19 asked the store meanwhile:
// 234 calls in the first ten seconds in place of 181, one run each.
func (t *Table) SetFollowed(yes bool) {
	if t.followed.Swap(yes) || !yes || t.relieved() {
		return
	}
	select {
	case t.quicken <- struct{}{}:
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cutShort != nil {
		t.cut.Store(true)
		t.cutShort()
	}
}

// pace is the wait and the pause at present.
func (t *Table) pace() (wait, pause time.Duration) {
	if t.followed.Load() {
		return min(t.o.Wait, t.o.FollowedWait), min(t.o.Pause, t.o.FollowedPause)
	}
	return t.o.Wait, t.o.Pause
}

// Again has Apply called with the table as it is, after first; what it did before may have
// depended on the time.
func (t *Table) Again(first func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first()
	if t.rows != nil {
		t.Apply(t.rows)
	}
}

// Alone ends the relief: the box that told of the table does so no more.
func (t *Table) EndDelegation() {
	t.mu.Lock()
	t.relief.until = time.Time{}
	t.mu.Unlock()
	select {
	case t.relief.ended <- struct{}{}:
	default:
	}
}

// relieved says that another box reads the table now.
func (t *Table) relieved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Until(t.relief.until) > 0
}

// rest waits while another box reads the table, and returns whether it did.
func (t *Table) rest(ctx context.Context) (rested bool) {
	for {
		t.mu.Lock()
		left := clock.Until(t.relief.until)
		t.mu.Unlock()
		if left <= 0 || ctx.Err() != nil {
			return rested
		}
		rested = true
		timer := time.NewTimer(left)
		select {
		case <-timer.C:
		case <-t.relief.ended:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
