package overlay

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// askingTable asks the node, as what has a use for its rows does while the table's lock is held.
type askingTable struct {
	Table
	ask func()
}

func (t *askingTable) Followed(bool) { t.ask() }

// A box stood still for good that took a follower in while a table of its handed on its rows.
func TestTableMayAskTheNodeWhileItIsToldOfFollowers(t *testing.T) {
	table := &askingTable{}
	n := New(Options{Tables: map[string]Table{"t": table}, Metrics: metrics.NewSet()})
	table.ask = func() {
		n.Connected()
		n.WantFacts([]string{"e"})
	}
	f := &follower{queue: newQueue()}
	done := make(chan bool)
	go func() {
		done <- n.admit(f)
		n.drop(f)
		close(done)
	}()
	for range 2 {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("expected the follower to be taken in and dropped, the node stands still")
		}
	}
}
