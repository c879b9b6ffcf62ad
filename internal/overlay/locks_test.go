package overlay

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// reentrantTable is a table that calls the node when it is told whether it has followers. It stands for a real table. A
// real table then waits for its own lock. The code that holds this lock may be calling the node with changed rows.
type reentrantTable struct {
	Table
	ask func()
}

func (t *reentrantTable) SetFollowed(bool) { t.ask() }

// A box that admits a follower tells its tables that they are followed. A table may call the node meanwhile. Before,
// the box deadlocked when one of its tables was just applying rows.
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
