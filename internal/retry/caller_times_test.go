package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// callers calls a route, and counts the calls that are taken for returning ones.
type callers struct {
	CallerTimes
	rng *rand.Rand
	now time.Time
}

func newCallers() *callers {
	return &callers{rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_800_000_000, 0)}
}

// call makes n calls, 100 ms apart, with times between low and high.
func (c *callers) call(n int, low, high time.Duration) (returning int) {
	for range n {
		d := low + time.Duration(c.rng.Int64N(int64(high-low)+1))
		c.Observe(c.now, d, true)
		if c.SpentBefore(d) > 0 {
			returning++
		}
		c.now = c.now.Add(100 * time.Millisecond)
	}
	return returning
}

func expectCount(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: expected %d, got %d", what, want, got)
	}
}

// Guards against first attempts that are taken for returning callers where their times are spread by 15%: with a fixed
// share of 0.97 of the longest time it was four of five.
func TestSpreadFirstAttemptsAreNotReturning(t *testing.T) {
	c := newCallers()
	expectCount(t, "first attempts", c.call(1000, 1275*time.Millisecond, 1500*time.Millisecond), 0)
	if spent := c.SpentBefore(1200 * time.Millisecond); spent < 70*time.Millisecond || spent > 110*time.Millisecond {
		t.Errorf("expected a caller to have spent the time below 1,300 ms at most, got %s", spent)
	}
	expectCount(t, "callers with 0.8 of the longest time", c.call(20, 1200*time.Millisecond, 1200*time.Millisecond), 20)
}

// Guards against callers that lost a tenth of their time before and are taken for first attempts, where all first attempts
// have the same time and one in ten callers retries after an error.
func TestReturningCallersAreFoundBesideEqualTimes(t *testing.T) {
	c := newCallers()
	for range 40 {
		expectCount(t, "first attempts", c.call(9, 13960*time.Millisecond, 14*time.Second), 0)
		c.call(1, 12*time.Second, 13500*time.Millisecond)
	}
	expectCount(t, "callers with 0.9 of the longest time", c.call(5, 12600*time.Millisecond, 12600*time.Millisecond), 5)
}

// Guards against first attempts that are taken for returning callers before enough calls were seen, and against callers
// that were told to return after 3 of 14 s and are not recognised.
func TestReturningCallersWithFewSamples(t *testing.T) {
	c := newCallers()
	expectCount(t, "first attempts", c.call(20, 11900*time.Millisecond, 14*time.Second), 0)
	expectCount(t, "callers that return after 3 s", c.call(5, 10900*time.Millisecond, 11*time.Second), 5)
	if spent := new(CallerTimes).SpentBefore(time.Second); spent != 0 {
		t.Errorf("expected nothing to be known before the first call, got %s", spent)
	}
}

// Guards against times of returning callers that lower the range of first attempts: for as long as the box refuses calls,
// and for the longest time of a caller afterwards, nothing is learned.
func TestNothingIsLearnedWhileCallsAreRefused(t *testing.T) {
	c := newCallers()
	c.call(100, 14*time.Second, 14*time.Second)
	for range 60 {
		c.Refused(c.now)
		expectCount(t, "callers that return during refusals", c.call(10, 10*time.Second, 13*time.Second), 10)
	}
	expectCount(t, "callers that return after the refusals", c.call(130, 10*time.Second, 13*time.Second), 130)
	for range 300 {
		c.Observe(c.now, 10*time.Second, false)
	}
	expectCount(t, "callers of a contended service", c.call(1, 10*time.Second, 10*time.Second), 1)
}

// Guards against a range that does not follow a change of the callers: to shorter times, and to longer ones.
func TestChangedCallersAreFollowed(t *testing.T) {
	for _, next := range []time.Duration{7 * time.Second, 28 * time.Second} {
		c := newCallers()
		c.call(1000, 14*time.Second, 14*time.Second)
		c.call(400, next, next)
		expectCount(t, "first attempts after the change", c.call(20, next, next), 0)
		expectCount(t, "returning callers after the change", c.call(20, next*9/10, next*9/10), 20)
	}
	// A rare route is followed after some minutes, also if it never has enough samples.
	c := newCallers()
	c.call(5, 14*time.Second, 14*time.Second)
	c.now = c.now.Add(5 * time.Minute)
	expectCount(t, "first attempts some minutes later", c.call(5, 7*time.Second, 7*time.Second), 0)
}

// Guards against a single caller whose false time changes how others are seen.
func TestFalseTimeHarmsOnlyItsCaller(t *testing.T) {
	for _, before := range []int{20, 300} {
		c := newCallers()
		c.call(before, 14*time.Second, 14*time.Second)
		c.call(1, 24*time.Hour, 24*time.Hour)
		c.call(1, time.Nanosecond, time.Nanosecond)
		expectCount(t, "first attempts beside a caller with a false time", c.call(20, 14*time.Second, 14*time.Second), 0)
		expectCount(t, "returning callers beside it", c.call(1, 11*time.Second, 11*time.Second), 1)
	}
}

// Guards against samples whose two orders differ, or whose number grows without bound.
func TestSamplesAreBounded(t *testing.T) {
	c := newCallers()
	for range 2000 {
		c.call(1, time.Millisecond, time.Second)
		c.now = c.now.Add(time.Duration(c.rng.IntN(3000)) * time.Millisecond)
		if len(c.samples) != len(c.sorted) || len(c.samples) > maxSamples {
			t.Fatalf("%d samples, of which %d are sorted", len(c.samples), len(c.sorted))
		}
	}
}

// BenchmarkCallerTimes measures a call with all samples.
func BenchmarkCallerTimes(b *testing.B) {
	c := newCallers()
	c.call(maxSamples, 12*time.Second, 14*time.Second)
	for b.Loop() {
		c.call(1, 12*time.Second, 14*time.Second)
	}
}
