package box

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
)

// ageCheckInterval is the time between two checks of the tables' ages.
const ageCheckInterval = time.Second

// watchTableAges logs when the information in a table becomes older than the table's read interval allows. It also
// logs when the information is fresh again. The table itself logs that the store is unreachable. The log line written
// here also appears if the box fails to ask the store.
func (b *RelayBox) watchTableAges() {
	overdue := map[string]bool{}
	for b.ctx.Err() == nil {
		for name, t := range b.tables {
			if now := t.Overdue(); now != overdue[name] {
				overdue[name] = now
				b.logTableAge(name, t, now)
			}
		}
		select {
		case <-time.After(ageCheckInterval):
		case <-b.ctx.Done():
		}
	}
}

func (b *RelayBox) logTableAge(name string, t *follow.Table, overdue bool) {
	change := "table fresh again"
	if overdue {
		change = "table overdue"
	}
	s := b.storeLink.State(clock.Now())
	b.recorder.Log.StateChange(change, zap.String("table", name), zap.Duration("age", t.Fresh.Age()), zap.Duration("overdue_after", t.OverdueAfter()),
		zap.Bool("store_down", s.Down), zap.Duration("looking", s.Probing), zap.Bool("follows", b.node.HasUpstream()))
}
