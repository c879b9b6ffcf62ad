package overlay

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// reentrantTable calls the node, as a user of its rows does while the table's lock is held.
type reentrantTable struct {
	Table
	ask func()
}

func (t *reentrantTable) SetFollowed(bool) { t.ask() }

// A box deadlocked when it admitted a follower while one of its tables was applying its rows.
func TestTableMayAskTheNodeWhileItIsToldOfFollowers(t *testing.T) {
	table := &reentrantTable{}
	n := New(Options{Tables: map[string]Table{"t": table}, Metrics: metrics.NewSet()})
	table.ask = func() {
		n.Connected()
		n.SetInterest([]string{"e"})
	}
	f := &follower{queue: newMessageQueue()}
	done := make(chan bool)
	go func() {
		done <- n.admit(f)
		n.removeFollower(f)
		close(done)
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("expected the follower to be admitted and removed, the node is deadlocked")
		}
	}
}
