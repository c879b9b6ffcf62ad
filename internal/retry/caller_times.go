package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// returnMargin is how far below the lower end of first attempts the time of a returning caller is, as a share of the
	// longest time. A caller that is refused at once loses its retry delay, which is longer.
	returnMargin = 0.03
	// unknownRangeShare is the lower end, as a share of the longest time, while there are fewer than minSamples samples. A
	// caller that was told to return after 3 of 14 s is below it. Where callers' times are spread by 15%, first attempts
	// are above it.
	unknownRangeShare = 0.8
	minSamples        = 32
	// maxSamples and sampleAge bound the samples, so that a change of the callers is followed within some hundred calls or
	// some minutes. Samples that are older than sampleAge are kept while there are no more than minSamples.
	maxSamples = 256
	sampleAge  = 3 * time.Minute
	// One in lowerEndShare callers may retry after an error without moving the lower end, and one in upperEndShare may
	// send a longer time than all others without moving the upper end.
	lowerEndShare = 10
	upperEndShare = minSamples
	// enoughForSecond is the number of calls from which on, without minSamples samples, the second longest time counts as
	// the longest. The longest one may be a single caller's mistake.
	enoughForSecond = 8
	// period is the time after which the longest times that were seen are forgotten, between one and two periods.
	period = 2 * time.Minute
)

// CallerTimes learns how long the callers of a route will wait at their first attempt, and tells from that which callers
// were refused before. Callers of a route begin with times of one range, and each refused attempt takes time from it. It
// is safe for concurrent use. The zero value and nil have learned nothing; nil stays so.
type CallerTimes struct {
	mu sync.Mutex
	// samples are times of first attempts in order of arrival, and sorted the same times in order.
	samples []timeSample
	sorted  []time.Duration
	// current and previous have the longest times of all calls of the present period and the one before it.
	current, previous longestTwo
	periodBegan       time.Time
	learnsFrom        time.Time     // Calls that arrive earlier may be of callers that this box refused.
	low, longest      time.Duration // The range of the times of first attempts.
}

type timeSample struct {
	at   time.Time
	time time.Duration
}

// longestTwo has the two longest times of a number of calls.
type longestTwo struct {
	first, second time.Duration
	calls         int
}

func (l *longestTwo) add(d time.Duration) {
	l.calls++
	switch {
	case d > l.first:
		l.first, l.second = d, l.first
	case d > l.second:
		l.second = d
	}
}

// Observe records a call that arrived with a time. The time counts as that of a first attempt if calm is set, which means
// that callers of the service are not refused elsewhere either, and if this box refused no call within the longest time.
func (c *CallerTimes) Observe(now time.Time, callerTime time.Duration, calm bool) {
	if c == nil || callerTime <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.periodBegan) >= period {
		c.previous = c.current
		if now.Sub(c.periodBegan) >= 2*period {
			c.previous = longestTwo{}
		}
		c.current, c.periodBegan = longestTwo{}, now
	}
	c.current.add(callerTime)
	if calm && !now.Before(c.learnsFrom) {
		c.learn(now, callerTime)
	}
	c.updateRange()
}

// Refused records that this box refused a call, whose caller may return.
func (c *CallerTimes) Refused(now time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learnsFrom = now.Add(c.longest)
}

// SpentBefore returns how much time a caller has spent at least on attempts that were refused. It is 0 for a first
// attempt.
func (c *CallerTimes) SpentBefore(callerTime time.Duration) time.Duration {
	if c == nil || callerTime <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	threshold := c.low
	if len(c.sorted) >= minSamples {
		threshold -= time.Duration(returnMargin * float64(c.longest))
	}
	if callerTime >= threshold {
		return 0
	}
	return c.low - callerTime
}

func (c *CallerTimes) learn(now time.Time, callerTime time.Duration) {
	c.samples = append(c.samples, timeSample{now, callerTime})
	i, _ := slices.BinarySearch(c.sorted, callerTime)
	c.sorted = slices.Insert(c.sorted, i, callerTime)
	drop := 0
	for n := len(c.samples); n > maxSamples || n > minSamples && now.Sub(c.samples[drop].at) > sampleAge; n-- {
		i, _ := slices.BinarySearch(c.sorted, c.samples[drop].time)
		c.sorted = slices.Delete(c.sorted, i, i+1)
		drop++
	}
	c.samples = c.samples[drop:]
}

// updateRange computes the longest time and the lower end of the times of first attempts.
func (c *CallerTimes) updateRange() {
	if n := len(c.sorted); n >= minSamples {
		c.longest = c.sorted[n-1-n/upperEndShare]
		c.low = c.sorted[n/lowerEndShare]
		return
	}
	seen := c.previous
	seen.add(c.current.first)
	seen.add(c.current.second)
	c.longest = seen.first
	if c.previous.calls+c.current.calls >= enoughForSecond {
		c.longest = seen.second
	}
	c.low = time.Duration(unknownRangeShare * float64(c.longest))
}
