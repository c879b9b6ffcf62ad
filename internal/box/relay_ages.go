package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
)

// agesEvery paces the looks at how old the tables are.
const agesEvery = time.Second

// watchAges logs when a table becomes older than its pace allows, and when it is fresh again.
// A loss of the store is logged by the table that meets it; this line is also there when the box
// fails to ask.
func (b *RelayBox) watchAges() {
	overdue := map[string]bool{}
	for b.ctx.Err() == nil {
		for name, t := range b.tables {
			if now := t.Overdue(); now != overdue[name] {
				overdue[name] = now
				b.logAge(name, t, now)
			}
		}
		select {
		case <-time.After(agesEvery):
		case <-b.ctx.Done():
		}
	}
}

func (b *RelayBox) logAge(name string, t *follow.Table, overdue bool) {
	change := "table fresh again"
	if overdue {
		change = "table overdue"
	}
	s := b.storeLink.State(clock.Now())
	b.book.Log.Belief(change, zap.String("table", name), zap.Duration("age", t.Fresh.Age()), zap.Duration("overdue_after", t.OverdueAfter()),
		zap.Bool("store_down", s.Down), zap.Duration("looking", s.Looking), zap.Bool("follows", b.node.Follows()))
}
