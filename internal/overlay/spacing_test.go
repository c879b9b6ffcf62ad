package overlay

import (
	"testing"
	"time"
)

// After a short update, such as a heartbeat, the next update follows after the minimum interval. After a long update
// the next update is delayed, so that changes are batched. The delay is never so long that the follower assumes the box
// to be dead.
func TestSpacing(t *testing.T) {
	for _, c := range []struct {
		bytes int
		want  time.Duration
	}{
		{0, minSendInterval},
		{3e3, minSendInterval},
		{10e3, 200 * time.Millisecond},
		{2.3e6, maxSendInterval},
	} {
		if got := sendIntervalAfter(c.bytes); got != c.want {
			t.Errorf("after %d bytes: expected %s, got %s", c.bytes, c.want, got)
		}
	}
	if maxSendInterval+heartbeatInterval > silenceTimeout {
		t.Errorf("expected an update within %s, the longest pause is %s", silenceTimeout, maxSendInterval)
	}
}
