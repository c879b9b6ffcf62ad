package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file lets boxes send tables to each other: a box that is sent a table by another box need not read the
// store itself.

// Part is a part of a table that one box sends another: the changes since a version, or all rows.
type Part struct {
	// Version is the version of the table once the rows are applied.
	Version Version
	// Since is the version of the table that the rows are changes from; zero if they are the whole table.
	Since Version
	// OmitsReverted means that the rows may lack some that changed after Since and had changed back by Version.
	OmitsReverted bool
	Rows          []Row
	// Age is how long ago the store last answered the sender, directly or through other boxes.
	Age time.Duration
	// Lost means that the table is unavailable to the sender; see Unavailable.
	Lost bool
}

// changeLog records at which version each row of a table last changed. Removed rows are included.
type changeLog struct {
	// changedAt is the version at which a row last changed. Rows that last changed at from or before are left out.
	changedAt map[string]Version
	from      Version
	gaps      []gap // Oldest first.
	// notify is closed and set to nil at each change of the version or loss of the store; nil while nobody waits.
	notify chan struct{}
}

// maxTrackedChanges bounds the number of rows whose changes are recorded; for a table of more than twice as many
// rows, half of its rows are recorded. A follower that lacks older changes is sent the whole table.
const maxTrackedChanges = 2048

func (c *changeLog) restart(ver Version) { c.changedAt, c.from = map[string]Version{}, ver }

// gap is a step between two versions whose changes are only partly known: rows that changed in between and changed
// back are not recorded.
type gap struct{ from, to Version }

// maxGaps bounds the gaps that are recorded. A follower at a version before the oldest of them is sent the whole table.
const maxGaps = 16

// addGap records a gap, and drops the oldest one if there are maxGaps.
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

// covers reports whether the recorded changes lead from a version to the present one. They do not lead from a
// version inside a gap.
func (c *changeLog) covers(since Version) bool {
	return !since.IsZero() && !since.Before(c.from) && !slices.ContainsFunc(c.gaps, func(g gap) bool {
		return g.from.Before(since) && since.Before(g.to)
	})
}

// hasGapAfter reports whether there is a gap between a version and the present version.
func (c *changeLog) hasGapAfter(since Version) bool {
	return slices.ContainsFunc(c.gaps, func(g gap) bool { return since.Before(g.to) })
}

// record records that a row changed at a version; rows is the number of rows of the table.
func (c *changeLog) record(key string, ver Version, rows int) {
	if _, known := c.changedAt[key]; !known && len(c.changedAt) >= max(maxTrackedChanges, rows/2) {
		c.dropOlderHalf()
	}
	c.changedAt[key] = ver
}

// dropOlderHalf drops the older half of the recorded changes. If all were dropped at once, every follower would lack
// dropped changes and be sent the whole table. That was 2.3 MB of 10,000 endpoints to each of 986 boxes, each time
// that 2,048 more endpoints had changed.
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

// Changed returns a channel that is closed when the table's version grows or the store is lost.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changes.notify == nil {
		t.changes.notify = make(chan struct{})
	}
	return t.changes.notify
}

// Unavailable reports that the table is overdue, or that the last call of this box to the store failed and no other
// box provides the table. A table also counts as unavailable when it is only overdue: so a box that fails to call
// the store loses its followers to a box that works.
func (t *Table) Unavailable() bool { return t.storeLost.Load() || t.Overdue() }

// markRecovered records that the store is available, to this box or to another box that sends the table.
func (t *Table) markRecovered() {
	if t.storeLost.Swap(false) {
		now := clock.Now()
		t.recoveredAt.Store(&now)
	}
}

// SinceRecovery is the time since the store became available again or was restored from an older copy. It is the
// maximum duration if neither ever happened.
func (t *Table) SinceRecovery() time.Duration {
	if at := t.recoveredAt.Load(); at != nil {
		return clock.Since(*at)
	}
	return 1<<63 - 1
}

// Version is the version of this box's copy; zero before the table was read.
func (t *Table) Version() Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ver
}

// PartSince returns the changes since a version that another box has, or the whole table if that version is zero or
// its changes are not recorded. While this box has no copy itself, the part's Version is zero.
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
			value, exists := t.rows[key]
			p.Rows = append(p.Rows, Row{Key: key, Value: value, Gone: !exists})
		}
		return p
	}
	for key, value := range t.rows {
		p.Rows = append(p.Rows, Row{Key: key, Value: value})
	}
	return p
}

// delegation says until when this box does not read the store, because another box sends it the table.
type delegation struct {
	until time.Time
	// ended has an element when the delegation has ended early.
	ended chan struct{}
}

// Receive applies a part that another box sent. If the part is fresh, this box does not read the store for a
// duration, or until EndDelegation is called. Receive returns false if the part could not be applied, because
// versions are missing in between or the sender is in an older era. Then this box continues to read the store.
func (t *Table) Receive(p Part, duration time.Duration) bool {
	if p.Version.IsZero() {
		return true
	}
	if !p.Lost && p.Age <= t.OverdueAfter() {
		t.markRecovered() // This comes before the rows are applied: some rows may be gone only because they expired meanwhile.
	}
	if p.Since.IsZero() {
		t.replace(p.Rows, p.Version)
	} else {
		t.merge(p.Rows, p.Since, p.Version, p.OmitsReverted)
	}
	// A sender that is behind in the same era will catch up. A sender in an older era sends state that a restore of
	// the store known undone.
	known := t.Version()
	fits := known.Era == p.Version.Era && !known.Before(p.Version)
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

// SetFollowed sets whether other boxes follow this one. If they do, this box calls the store often enough for the
// table that it sends them to be fresh. The change takes effect at once. Before, when 20 boxes started together, the
// box that all others followed called the store rarely for 5 s more, and the other 19 called it themselves
// meanwhile: 234 calls in the first ten seconds instead of 181, one run each.
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

// pace returns the wait of a call and the pause after a call that apply now.
func (t *Table) pace() (wait, pause time.Duration) {
	if t.followed.Load() {
		return min(t.o.Wait, t.o.FollowedWait), min(t.o.Pause, t.o.FollowedPause)
	}
	return t.o.Wait, t.o.Pause
}

// Reapply calls first, and then OnChange with the unchanged table. It serves an OnChange whose result depends on more
// than the rows, such as the time.
func (t *Table) Reapply(first func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first()
	if t.rows != nil {
		t.OnChange(t.rows)
	}
}

// EndDelegation resumes the reads of the store, because the other box no longer sends the table.
func (t *Table) EndDelegation() {
	t.mu.Lock()
	t.delegation.until = time.Time{}
	t.mu.Unlock()
	select {
	case t.delegation.ended <- struct{}{}:
	default:
	}
}

// delegated reports whether another box sends the table, so that this box does not read the store.
func (t *Table) delegated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return clock.Until(t.delegation.until) > 0
}

// awaitDelegationEnd waits while another box sends the table, and reports whether it had to wait.
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
