package follow

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file lets boxes send tables to each other. A box that is sent a table by another box need not read that table
// from the store.

// Part is a part of a table that one box sends another. The part has either the changes since a version or all rows.
type Part struct {
	// Version is the version of the table once the rows are applied.
	Version Version
	// Since is the version of the table that the rows are changes from. It is zero if the rows are the whole table.
	Since Version
	// OmitsReverted means that some rows may be missing. These rows changed after Since and had changed back by
	// Version.
	OmitsReverted bool
	Rows          []Row
	// Age is how long ago the store last answered the sender, directly or through other boxes.
	Age time.Duration
	// Lost means that the table is unavailable to the sender; see Unavailable.
	Lost bool
	// Transferring means that the table is on its way to the sender. To read the store beside would not be faster.
	Transferring bool
}

// changeLog records at which version each row of a table last changed. Removed rows are included.
type changeLog struct {
	// changedAt is the version at which each row last changed. A row whose last change was at from or before is left
	// out.
	changedAt map[string]Version
	from      Version
	gaps      []gap // Oldest first.
	// bases has the last values of long rows, oldest first.
	bases map[string][]base
	// notify is closed and set to nil when the version changes or the store is lost. It is nil while no caller waits.
	notify chan struct{}
}

// maxTrackedChanges bounds the number of rows whose changes are recorded. For a table of more than twice as many rows,
// the bound is half of the table's rows. A follower that lacks older changes is sent the whole table.
const maxTrackedChanges = 2048

func (c *changeLog) restart(ver Version) { c.changedAt, c.from = map[string]Version{}, ver }

// base is a value that a row had from one version until right before another.
type base struct {
	from, until Version
	value       []byte
}

const (
	// minBaseBytes is the size of rows whose earlier values are kept, and maxBases how many of each row. maxBaseBytes
	// bounds them together; one value is kept whatever its size.
	minBaseBytes = 8 << 10
	maxBases     = 3
	maxBaseBytes = 4 << 20
)

// recordBase records the value that a row had until it changes at a version. It must be called before record.
func (c *changeLog) recordBase(key string, value []byte, ver Version) {
	if len(value) < minBaseBytes {
		return
	}
	if c.bases == nil {
		c.bases = map[string][]base{}
	}
	list := append(c.bases[key], base{later(c.from, c.changedAt[key]), ver, value})
	size := 0
	for i := len(list) - 1; i >= 0; i-- {
		size += len(list[i].value)
		if kept := len(list) - i; kept > maxBases || kept > 1 && size > maxBaseBytes {
			list = slices.Delete(list, 0, i+1)
			break
		}
	}
	c.bases[key] = list
}

// baseAt returns the value that a row had at a version; nil if that is not known.
func (c *changeLog) baseAt(key string, since Version) []byte {
	for _, b := range c.bases[key] {
		if !since.Before(b.from) && since.Before(b.until) {
			return b.value
		}
	}
	return nil
}

// gap is a step between two versions. Rows that changed during the step and changed back are not recorded. So the
// changes of the step are only partly known.
type gap struct{ from, to Version }

// maxGaps bounds the gaps that are recorded. A gap is dropped beyond this bound. A follower at a version before the end
// of a dropped gap is sent the whole table.
const maxGaps = 16

// addGap records a gap. If maxGaps gaps are recorded already, it drops the oldest gap.
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

// covers reports whether the recorded changes lead from a version to the present version. They do not lead from a
// version inside a gap.
func (c *changeLog) covers(since Version) bool {
	return !since.IsZero() && !since.Before(c.from) && !slices.ContainsFunc(c.gaps, func(g gap) bool {
		return g.from.Before(since) && since.Before(g.to)
	})
}

// hasGapAfter reports whether a gap ends after a version.
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

// dropOlderHalf drops the older half of the recorded changes. If all changes were dropped together, every follower
// would lack some and be sent the whole table. With 10,000 endpoints that was 2.3 MB to each of 986 boxes, each time
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

// Unavailable reports one of two cases. Either the table is overdue, or the last call of
// this box to the store failed and no other box provides the table. Being overdue is enough. So a box that fails to
// call the store loses its followers to a box that works.
func (t *Table) Unavailable() bool { return t.storeLost.Load() || t.Overdue() }

// markRecovered records that the table is available again: the store answered this box, or another box sent the table.
// It does nothing unless the store was lost.
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

// Value returns the value of a row; nil if there is none.
func (t *Table) Value(key string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key]
}

// PartSince returns the changes since a version that another box has. It returns the whole table if that version is
// zero or the changes since then are not recorded. While this box has no copy of the table, the part's Version is zero.
func (t *Table) PartSince(since Version) Part {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := Part{Version: t.ver, Age: t.Fresh.Age(), Lost: t.Unavailable(), Transferring: t.transferring()}
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
			p.Rows = append(p.Rows, Row{Key: key, Value: value, Gone: !exists, Base: t.changes.baseAt(key, since)})
		}
		return p
	}
	for key, value := range t.rows {
		p.Rows = append(p.Rows, Row{Key: key, Value: value})
	}
	return p
}

// delegation is the time in which this box does not read the store, because another box sends it the table.
type delegation struct {
	until time.Time
	// ended has an element when the delegation has ended before until.
	ended chan struct{}
}

// Receive applies a part that another box sent. If the part is fresh, this box does not read the store for a duration,
// or until EndDelegation is called. The duration is shortened so that the table does not get older than StaleAfter,
// unless the table is being transferred.
// Receive returns false if the part could not be applied. Then versions are missing in between, or the sender is in an
// older era, and this box continues to read the store. If the part is lost, Receive tells the link.
func (t *Table) Receive(p Part, duration time.Duration) bool {
	if p.Version.IsZero() {
		return true
	}
	if !p.Lost && p.Age <= t.OverdueAfter() {
		t.markRecovered() // Before the rows are applied: some rows may be gone only because they expired during the loss.
	}
	if p.Since.IsZero() {
		t.replace(p.Rows, p.Version)
	} else {
		t.merge(p.Rows, p.Since, p.Version, p.OmitsReverted)
	}
	// A sender that is behind in the same era will catch up. A sender in an older era sends state that a restore has
	// undone; this box knows of that restore.
	known := t.Version()
	fits := known.Era == p.Version.Era && !known.Before(p.Version)
	if p.Lost {
		t.o.Link.markShared(clock.Now())
	}
	if p.Transferring {
		t.markProgress()
	}
	switch {
	case p.Lost || !fits:
		return fits
	case p.Age <= t.o.StaleAfter:
		t.Fresh.markAnsweredAgo(p.Age)
	case !p.Transferring:
		return true
	}
	if !p.Transferring {
		duration = min(duration, t.o.StaleAfter-p.Age)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delegation.until = clock.Now().Add(duration)
	if t.awaitsLongRow() {
		t.cancelWaiting() // Otherwise each box that has just begun to follow is sent the next change twice.
	}
	return true
}

// longRowBytes is the size from which it costs less to repeat a call to the store than to read a row in vain.
const longRowBytes = 64 << 10

// awaitsLongRow reports whether a call waits and its response may have a long row. t.mu must be held.
func (t *Table) awaitsLongRow() bool {
	if t.waiting == nil {
		return false
	}
	for _, value := range t.rows {
		if len(value) >= longRowBytes {
			return true
		}
	}
	return false
}

// SetFollowed sets whether other boxes follow this box. If they do, this box calls the store more often, so that the
// table that it sends them is fresh. The change takes effect immediately: a call that waits long is cancelled. Before,
// when 20 boxes started together, the box that the others followed called the store rarely for 5 s more. Meanwhile the
// other 19 boxes called the store themselves. That made 234 calls in the first ten seconds instead of 181, one run
// each.
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
	if t.waiting != nil && t.waiting.wait > t.o.FollowedWait {
		t.cancelWaiting()
	}
}

// pace returns how long the store may delay its answer to a call, and the pause after a call. Both apply now.
func (t *Table) pace() (wait, pause time.Duration) {
	if t.followed.Load() {
		return min(t.o.Wait, t.o.FollowedWait), min(t.o.Pause, t.o.FollowedPause)
	}
	return t.o.Wait, t.o.Pause
}

// Reapply calls first, and then OnChange with the unchanged table. It is for an OnChange whose result also depends on
// something other than the rows, such as the time.
func (t *Table) Reapply(first func()) {
	t.applyMu.Lock()
	defer t.applyMu.Unlock()
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

// ExtendDelegation extends the present delegation by a duration, because bytes of the other box arrive. It does not
// delegate the reads again once the delegation has ended. Transferring means that these bytes are this table's. Otherwise
// the delegation ends when the table is older than StaleAfter.
func (t *Table) ExtendDelegation(duration time.Duration, transferring bool) {
	if transferring {
		t.markProgress()
	} else {
		duration = min(duration, t.o.StaleAfter-t.Fresh.Age())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if clock.Until(t.delegation.until) <= 0 {
		return
	}
	if until := clock.Now().Add(duration); t.delegation.until.Before(until) {
		t.delegation.until = until
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
