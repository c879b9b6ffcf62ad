package retry

import (
	"testing"
	"time"
)

func expectTold(t *testing.T, what string, c *ToldCallers, now time.Time, all, dueLater int) {
	t.Helper()
	if c.Len() != all || c.DueAfter(now) != dueLater {
		t.Errorf("%s: expected %d callers, %d of them due later, got %d and %d", what, all, dueLater, c.Len(), c.DueAfter(now))
	}
}

// Guards against a retry that removes a caller who is due later than another, and against callers that stay forever.
func TestToldCallersLeaveInOrderOfTheirDueTimes(t *testing.T) {
	var c ToldCallers
	now := time.Unix(1_800_000_000, 0)
	for _, s := range []int{4, 1, 3, 1, 2} {
		c.Add(now.Add(time.Duration(s) * time.Second))
	}
	expectTold(t, "at first", &c, now, 5, 5)
	now = now.Add(time.Second)
	c.Prune(now)
	expectTold(t, "when two are due", &c, now, 5, 3)
	c.RemoveFirst()
	expectTold(t, "after a retry", &c, now, 4, 3)
	now = now.Add(time.Second)
	c.Prune(now)
	expectTold(t, "one second after the other was due", &c, now, 3, 2)
	for range 5 {
		c.RemoveFirst()
	}
	expectTold(t, "after more retries than were expected", &c, now, 0, 0)
}

// Guards against a list that grows with the refusals of a long overload.
func TestToldCallersAreBounded(t *testing.T) {
	var c ToldCallers
	now := time.Unix(1_800_000_000, 0)
	for i := range 2 * maxTold {
		c.Add(now.Add(time.Duration(i%997) * time.Millisecond))
	}
	expectTold(t, "after many refusals", &c, now.Add(-time.Second), maxTold, maxTold)
	c.Prune(now.Add(time.Hour))
	expectTold(t, "an hour later", &c, now, 0, 0)
}
