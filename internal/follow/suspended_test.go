package follow

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// After a suspension a table is as old as it is, and a box that was told of it by another one reads
// for itself again.
func TestSuspendedTable(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	table := New(nil, Options{Wait: time.Second, Limit: time.Second, Stale: 2 * time.Second}, func(map[string][]byte) {})
	table.Hear(Part{Version: Version{Number: 5}, Rows: []Row{{Key: "a"}}}, 2*time.Second)
	if table.Overdue() || !table.relieved() {
		t.Fatal("expected a fresh table that another box reads")
	}
	asleep = 7 * time.Second
	if age := table.Fresh.Age(); age < asleep || !table.Overdue() || !table.Unavailable() || table.relieved() {
		t.Errorf("expected an old table that this box reads, got the age %s, overdue %t, relieved %t", age, table.Overdue(), table.relieved())
	}
}
