package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file replicates tables between boxes: a box that is sent a table by another one need
// not read the store itself.

// Part is what one box sends another of a table: the changes since a version, or all rows.
type Part struct {
	// Version is that of the state that the rows lead to.
	Version Version
	// Since is the version that the rows are changes from; zero if they are the whole table.
	Since Version
	// OmitsReverted means that rows may be missing which changed and changed back between the two.
	OmitsReverted bool
	Rows          []Row
	// Age is how long ago the store last answered.
	Age time.Duration
	// Lost means that the store does not answer the sender.
	Lost bool
}

// changeLog records at which version each row last changed, removed rows included.
type changeLog struct {
	// changedAt is the version at which a row last changed, if that was after from.
	changedAt map[string]Version
	from      Version
	gaps      []gap // Oldest first.
	// notify is closed and reset at each change of the version; nil while nobody waits.
	notify chan struct{}
}

// maxTrackedChanges bounds the rows that are tracked; a longer table may track half of its rows. A box
// that is further behind is sent the table whole.
const maxTrackedChanges = 2048

func (c *changeLog) restart(ver Version) { c.changedAt, c.from = map[string]Version{}, ver }

// gap is a step from one state to another whose changes are not fully known: rows that changed and
// changed back between are missing.
type gap struct{ from, to Version }

// maxGaps bounds the gaps that are tracked. A box that is further behind is sent the table whole.
const maxGaps = 16

// addGap records a gap.
func (c *changeLog) addGap(g gap) {
	if len(c.gaps) >= maxGaps {
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

// covers reports whether the recorded changes lead from a version to the present one. From within a gap they do not.
func (c *changeLog) covers(since Version) bool {
	return !since.IsZero() && !since.Before(c.from) && !slices.ContainsFunc(c.gaps, func(g gap) bool {
		return g.from.Before(since) && since.Before(g.to)
	})
}

// hasGapAfter reports whether there is a gap between a version and the present one.
func (c *changeLog) hasGapAfter(since Version) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return since.Before(g.to) })
}

// record records that a row changed; rows is the size of the table.
func (c *changeLog) record(key string, ver Version, rows int) {
	if _, known := c.changedAt[key]; !known && len(c.changedAt) >= max(maxTrackedChanges, rows/2) {
		c.dropOlderHalf()
	}
	c.changedAt[key] = ver
}

// dropOlderHalf drops the older half. If all were dropped at once, every follower would be behind what is left
// and be sent the table whole: 2.3 MB of 10,000 endpoints each time that 2,048 more of them had changed, to
// 986 boxes.
func (c *changeLog) dropOlderHalf() {
	vers := slices.SortedFunc(maps.Values(c.changedAt), Version.Compare)
	c.from = vers[len(vers)/2]
	maps.DeleteFunc(c.changedAt, func(_ string, ver Version) bool { return !c.from.Before(ver) })
}

func (c *changeLog) notifyAll() {
	if c.notify != nil {
		close(c.notify)
		c.notify = nil
	}
}

// Changed returns a channel that is closed when the table's version grows.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changes.notify == nil {
		t.changes.notify = make(chan struct{})
	}
	return t.changes.notify
}

// Unavailable reports that the store did not answer this box last and no other box provides the
// table, or that the table is overdue. The age counts beside the answers, so that a box that fails to
// call the store does not keep its followers, and follows a box that works.
func (t *Table) Unavailable() bool { return t.storeLost.Load() || t.Overdue() }

// markRecovered records that the store is available, directly or by way of another box.
func (t *Table) markRecovered() {
	if t.storeLost.Swap(false) {
		now := clock.Now()
		t.recoveredAt.Store(&now)
	}
}

// SinceRecovery is the time since the store became available again or was restored; the maximum
// duration if neither ever happened.
func (t *Table) SinceRecovery() time.Duration {
	if at := t.recoveredAt.Load(); at != nil {
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

// PartSince returns the changes since a version that another box has; zero if it has none. While
// this box has no copy itself, the part's Version is zero.
func (t *Table) PartSince(since Version) Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Part{Version: t.ver, Age: t.Fresh.Age(), Lost: t.Unavailable()}
	if t.rows == nil {
		return Part{Lost: true}
	}
	if t.changes.covers(since) {
		p.Since, p.OmitsReverted = since, t.changes.hasGapAfter(since)
		for key, ver := range t.changes.changedAt {
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

// delegation suspends reads of the store while another box sends the table.
type delegation struct {
	until time.Time
	// ended has an entry when the delegation ends early.
	ended chan struct{}
}

// Receive applies a part that another box sent. If that is fresh, this box does not read the store
// for a duration; it resumes as soon as that is over, or EndDelegation is called. Receive returns false
// if the part was of no use because versions between are missing, or because the other box is in an older
// era: then this box continues to read the store.
func (t *Table) Receive(p Part, duration time.Duration) bool {
	if p.Version.IsZero() {
		return true
	}
	if !p.Lost && p.Age <= t.OverdueAfter() {
		t.markRecovered() // Before the rows are applied, which may lack some that expired meanwhile.
	}
	if p.Since.IsZero() {
		t.replace(p.Rows, p.Version)
	} else {
		t.merge(p.Rows, p.Since, p.Version, p.OmitsReverted)
	}
	// A box that is behind in the same era will catch up; one in an older era sends state that was undone.
	has := t.Version()
	fits := has.Era == p.Version.Era && !has.Before(p.Version)
	if p.Lost {
		t.o.Link.markShared(clock.Now())
	}
	if p.Lost || p.Age > t.o.StaleAfter || !fits {
		return fits
	}
	t.Fresh.markAnsweredAgo(p.Age)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delegation.until = clock.Now().Add(min(duration, t.o.StaleAfter-p.Age))
	return true
}

// SetFollowed sets whether other boxes follow this one: then it calls the store often enough for
// what it sends them to be fresh. The pace changes at once: when 20 boxes started together, the one
// that all followed kept its slow pace for 5 s more, and the other 19 called the store meanwhile:
// 234 calls in the first ten seconds instead of 181, one run each.
func (t *Table) SetFollowed(yes bool) {
	if t.followed.Swap(yes) || !yes || t.delegated() {
		return
	}
	select {
	case t.paceChanged <- struct{}{}:
	default:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancelCall != nil {
		t.callCancelled.Store(true)
		t.cancelCall()
	}
}

// pace returns the current wait and pause.
func (t *Table) pace() (wait, pause time.Duration) {
	if t.followed.Load() {
		return min(t.o.Wait, t.o.FollowedWait), min(t.o.Pause, t.o.FollowedPause)
	}
	return t.o.Wait, t.o.Pause
}

// Reapply runs first and then calls OnChange with the unchanged table, for an OnChange whose result depends
// on more than the rows, such as the time.
func (t *Table) Reapply(first func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first()
	if t.rows != nil {
		t.OnChange(t.rows)
	}
}

// EndDelegation ends the delegation: the other box no longer sends the table.
func (t *Table) EndDelegation() {
	t.mu.Lock()
	t.delegation.until = time.Time{}
	t.mu.Unlock()
	select {
	case t.delegation.ended <- struct{}{}:
	default:
	}
}

// delegated reports whether another box reads the table for this one now.
func (t *Table) delegated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Until(t.delegation.until) > 0
}

// awaitDelegationEnd waits while another box reads the table, and reports whether it had to wait.
func (t *Table) awaitDelegationEnd(ctx context.Context) (waited bool) {
	for {
		t.mu.Lock()
		remaining := clock.Until(t.delegation.until)
		t.mu.Unlock()
		if remaining <= 0 || ctx.Err() != nil {
			return waited
		}
		waited = true
		timer := time.NewTimer(remaining)
		select {
		case <-timer.C:
		case <-t.delegation.ended:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}
