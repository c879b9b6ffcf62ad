package box

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/clock"
)

// rejectedRows counts and logs the rows of a table that nobody who writes to the table can have written.
type rejectedRows struct {
	table string
	log   *account.Log
	count *metrics.Counter

	mu sync.Mutex
	// logged has the rows that were logged, by key. At most maxLoggedRows of them are kept, so that many odd rows, or rows
	// with ever new keys, fill neither the log nor the memory.
	logged map[string]loggedRow
	// omittedAt is when the last line said that further rows are not logged.
	omittedAt time.Time
}

// loggedRow is what was last logged about a row.
type loggedRow struct {
	cause string
	at    time.Time
}

const (
	// A row that is rejected for the same cause again is logged again after relogInterval, and for another cause after
	// changedRelogInterval. Without the two, a row that changes each 50 ms fills the log.
	relogInterval        = 10 * time.Minute
	changedRelogInterval = 5 * time.Second
	// maxLoggedRows bounds the rows of one table that are logged one by one within relogInterval.
	maxLoggedRows = 100
)

// newRejectedRows returns the rejected rows of a table, and registers their counter.
func newRejectedRows(table string, set *metrics.Set, log *account.Log) *rejectedRows {
	return &rejectedRows{
		table: table, log: log, logged: map[string]loggedRow{},
		count: set.NewCounter(fmt.Sprintf("stoatramp_rows_rejected_total{table=%q}", table)),
	}
}

// reject records that a row was read and rejected. It logs what happened, unless the row was logged a short time ago.
func (r *rejectedRows) reject(what, key string, err error) {
	r.count.Inc()
	logged, omitted := r.shouldLog(key, err.Error(), clock.Now())
	if logged {
		r.log.StateChange(what, zap.String("table", r.table), zap.String("row", key), zap.Error(err))
	}
	if omitted {
		r.log.StateChange("further rejected rows are not logged", zap.String("table", r.table), zap.Int("rows_logged", maxLoggedRows), zap.Duration("within", relogInterval))
	}
}

// shouldLog returns whether a row is to be logged. omitted means that it is not, because too many others were, and that this is
// to be logged.
func (r *rejectedRows) shouldLog(key, cause string, now time.Time) (logged, omitted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.logged[key]
	if age := now.Sub(last.at); known && age < relogInterval && (last.cause == cause || age < changedRelogInterval) {
		return false, false
	}
	if !known && len(r.logged) >= maxLoggedRows {
		maps.DeleteFunc(r.logged, func(_ string, l loggedRow) bool { return now.Sub(l.at) >= relogInterval })
	}
	if known || len(r.logged) < maxLoggedRows {
		r.logged[key] = loggedRow{cause, now}
		return true, false
	}
	if !r.omittedAt.IsZero() && now.Sub(r.omittedAt) < relogInterval {
		return false, false
	}
	r.omittedAt = now
	return false, true
}
