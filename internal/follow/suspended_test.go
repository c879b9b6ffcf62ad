package follow

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// When the process was suspended, the age of a table includes that time. A box that another box had sent the table to
// reads the store itself again after it.
func TestSuspendedTable(t *testing.T) {
	var suspended time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return suspended })()
	table := New(nil, Options{Wait: time.Second, CallTimeout: time.Second, StaleAfter: 2 * time.Second}, func(map[string][]byte) {})
	table.Receive(Part{Version: Version{Number: 5}, Rows: []Row{{Key: "a"}}}, 2*time.Second)
	if table.Overdue() || !table.delegated() {
		t.Fatal("expected a fresh table that another box reads")
	}
	suspended = 7 * time.Second
	if age := table.Fresh.Age(); age < suspended || !table.Overdue() || !table.Unavailable() || table.delegated() {
		t.Errorf("expected an old table that this box reads, got the age %s, overdue %t, delegated %t", age, table.Overdue(), table.delegated())
	}
}
