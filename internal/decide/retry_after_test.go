package decide

import (
	"testing"
	"time"
)

// retryDelays returns the delays that n callers are told at the same moment. On other boxes, waiting requests wait, and
// perSecond requests started in the last second.
func retryDelays(waiting, perSecond, n int) (out []time.Duration) {
	c := newPoolCore(1, 1, 0)
	c.Step(c.now, RemoteQueue{Waiting: waiting})
	for i := range perSecond {
		c.remote.addStart(c.now, c.now.Add(-time.Duration(i)*time.Second/time.Duration(perSecond)))
	}
	for range n {
		out = append(out, c.retryAfter())
	}
	return out
}

// The delay is the time until the waiting requests have started. Past fault: it was one second at least, whatever waited,
// and did not depend on the starts of other boxes.
func TestRetryAfterIsTimeUntilOthersStart(t *testing.T) {
	for _, d := range retryDelays(40, 20, 1) {
		if d < 1500*time.Millisecond || d > 2500*time.Millisecond {
			t.Errorf("expected 2 s, up to a quarter more or less, got %s", d)
		}
	}
	for _, d := range retryDelays(1000, 0, 1) {
		if d > 10*time.Second {
			t.Errorf("expected 8 s, up to a quarter more, got %s", d)
		}
	}
}

// Callers that are refused at the same moment are told different times, even if nothing waits. All are told at least
// 300 ms.
func TestShortRetryAfterIsSpread(t *testing.T) {
	list := retryDelays(0, 1000, 50)
	shortest, longest := list[0], list[0]
	for _, d := range list {
		shortest, longest = min(shortest, d), max(longest, d)
	}
	if shortest < 300*time.Millisecond || longest-shortest < 100*time.Millisecond {
		t.Errorf("expected delays from 300 to 500 ms, got %s to %s", shortest, longest)
	}
}

// Callers that were told to retry count as waiting until a second after they are due. Otherwise, all of many callers that
// are refused one after another would be told the same time.
func TestRetryAfterCountsToldCallers(t *testing.T) {
	list := retryDelays(0, 20, 100)
	if last := list[99]; last < 3700*time.Millisecond || last > 6300*time.Millisecond {
		t.Errorf("expected about 5 s for the hundredth caller at 20 starts per second, got %s", last)
	}
	c := newPoolCore(1, 1, 0)
	for range 100 {
		c.retryAfter()
	}
	c.now = c.now.Add(12 * time.Second)
	if d := c.retryAfter(); d > time.Second {
		t.Errorf("expected callers that did not return to be forgotten, got a delay of %s", d)
	}
}
