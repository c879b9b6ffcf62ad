package decide

import (
	"cmp"
	"slices"
	"time"
)

// This file estimates the speed of a pool's engines from the timings of its requests. Nothing
// else tells it, and engines of two deployments can differ by a factor of ten and more.

// Speed is the speed of the engines of a pool. Values that are not known yet are 0.
type Speed struct {
	PrefillRate float64 // Prompt tokens that an engine prefills per second.
	// PrefillDelay is the part of a prefill's duration besides the prefill itself and queueing.
	PrefillDelay time.Duration
	// FirstEventDelay is the time from sending a KV cache to a decode engine until the first event
	// arrives, without the transfer.
	FirstEventDelay time.Duration
	// Step is the time per token of a single stream, and StepPerStream what each stream adds.
	Step          time.Duration
	StepPerStream time.Duration
}

// Timing is the time that one request took on engines. Values that were not observed are 0.
type Timing struct {
	// PrefillTokens were prefilled by a prefill engine in PrefillTime: those of the prompt, and those
	// that were known to be queued ahead of it.
	PrefillTokens   int
	PrefillTime     time.Duration
	FirstEventDelay time.Duration // As in Speed.
	// Step is the mean time per token, with Streams running on the engine.
	Step    time.Duration
	Streams float64
}

// RequestTiming reports the timing of a request of this box once it is answered.
type RequestTiming struct {
	ID ID
	Timing
}

// RemoteTiming reports the timing of a request of another box.
type RemoteTiming struct {
	Pool string
	Timing
}

func (RequestTiming) action() {}
func (RemoteTiming) event()   {}

const (
	// maxTimings is how many of the newest timings of each kind are used: about half a minute
	// of those that boxes publish, so that one burst is not mistaken for slow engines.
	maxTimings = 128
	// minTimings is how many timings an estimate needs, and refitInterval after how many new
	// ones the estimates are recomputed.
	minTimings    = 8
	refitInterval = 4
	// maxAheadShare bounds the tokens known to be queued ahead of a prompt, as a fraction of
	// its own, for its timing to count. The number of tokens ahead is itself derived from the
	// estimated rate.
	maxAheadShare = 0.25
	// undelayedQuantile is the fraction of prefills that nothing unknown delayed. The others
	// were queued behind unreported prompts of other boxes, or an engine was faulty.
	undelayedQuantile = 0.25
	// fitRounds is how often delay and rate are corrected by each other. Each round reduces the
	// error to the ratio of the sizes of short and long prompts, about a half.
	fitRounds = 8
	// minStreamSpread is the least difference in streams between the emptier and the fuller half
	// of the timings from which the step time per stream is estimated.
	minStreamSpread = 2
)

// speed estimates a pool's Speed.
type speed struct {
	Speed
	// prefillTimings, beginTimings and stepTimings are the timings with each value, oldest first.
	prefillTimings, beginTimings, stepTimings []Timing
	// prefillCount and stepCount count all timings ever received.
	prefillCount, stepCount int
	sinceFit                int // Timings since the estimates were last computed.
	// prior is the estimate at the start, stored by boxes that ran earlier.
	prior Speed
}

// add records one timing, and reports whether the estimates may have changed.
func (s *speed) add(t Timing) bool {
	if t.PrefillTime > 0 && t.PrefillTokens > 0 {
		s.prefillTimings = appendTiming(s.prefillTimings, t)
		s.prefillCount++
	}
	if t.FirstEventDelay > 0 {
		s.beginTimings = appendTiming(s.beginTimings, t)
	}
	if t.Step > 0 {
		s.stepTimings = appendTiming(s.stepTimings, t)
		s.stepCount++
	}
	s.sinceFit++
	if s.sinceFit < refitInterval {
		return false
	}
	s.sinceFit = 0
	s.fitPrefill()
	s.fitFirstEventDelay()
	s.fitSteps()
	return true
}

func appendTiming(list []Timing, t Timing) []Timing {
	if len(list) == maxTimings {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, t)
}

// setPrior sets the estimates from before this box observed any, based on n requests.
func (s *speed) setPrior(before Speed, n int) {
	s.prior = before
	s.prefillCount, s.stepCount = s.prefillCount+n, s.stepCount+n
	if len(s.prefillTimings) < minTimings {
		s.PrefillRate, s.PrefillDelay = before.PrefillRate, before.PrefillDelay
	}
	if len(s.beginTimings) < minTimings {
		s.FirstEventDelay = before.FirstEventDelay
	}
	if len(s.stepTimings) < minTimings {
		s.Step, s.StepPerStream = before.Step, before.StepPerStream
	}
}

// blendPrior combines an estimate from n timings with the prior one, which counts as much as
// minTimings of them. A prior of 0 is unknown.
func blendPrior(n int, seen, before float64) float64 {
	if before <= 0 {
		return seen
	}
	return (float64(n)*seen + minTimings*before) / float64(n+minTimings)
}

func blendPriorTime(n int, seen float64, before time.Duration) time.Duration {
	return seconds(blendPrior(n, seen, before.Seconds()))
}

// fitPrefill fits the fixed delay and the time per token so that both match the fast quantile
// of the short prefills and that of the long ones.
//
// Example: of prompts of 2,000 tokens the fastest quarter took up to 110 ms, of those of
// 6,000 up to 230 ms. 4,000 tokens take 120 ms, so the rate is 33,333 tokens per second and
// the delay 50 ms.
func (s *speed) fitPrefill() {
	n := len(s.prefillTimings)
	if n < minTimings {
		return
	}
	list := sorted(s.prefillTimings, func(t Timing) float64 { return float64(t.PrefillTokens) })
	short, long := list[:n/2], list[n/2:]
	delay, perToken := s.PrefillDelay.Seconds(), 0.0
	for range fitRounds {
		perToken = lowQuantile(long, func(t Timing) float64 { return (t.PrefillTime.Seconds() - delay) / float64(t.PrefillTokens) })
		delay = max(0, lowQuantile(short, func(t Timing) float64 { return t.PrefillTime.Seconds() - perToken*float64(t.PrefillTokens) }))
	}
	if perToken > 0 {
		s.PrefillRate, s.PrefillDelay = blendPrior(n, 1/perToken, s.prior.PrefillRate), blendPriorTime(n, delay, s.prior.PrefillDelay)
	}
}

func (s *speed) fitFirstEventDelay() {
	if n := len(s.beginTimings); n >= minTimings {
		s.FirstEventDelay = blendPriorTime(n, median(s.beginTimings, func(t Timing) float64 { return t.FirstEventDelay.Seconds() }), s.prior.FirstEventDelay)
	}
}

// fitSteps compares the medians of the emptier and the fuller half of the timings.
func (s *speed) fitSteps() {
	n := len(s.stepTimings)
	if n < minTimings {
		return
	}
	step := func(t Timing) float64 { return t.Step.Seconds() }
	streams := func(t Timing) float64 { return t.Streams }
	list := sorted(s.stepTimings, streams)
	emptier, fuller := list[:n/2], list[n/2:]
	perStream := s.StepPerStream.Seconds()
	if more := median(fuller, streams) - median(emptier, streams); more >= minStreamSpread {
		perStream = max(0, (median(fuller, step)-median(emptier, step))/more)
	}
	all := median(list, step)
	alone := all - perStream*median(list, streams)
	if alone <= 0 { // Noise: the streams cannot take more than the whole step.
		alone, perStream = all, 0
	}
	s.Step, s.StepPerStream = blendPriorTime(n, alone, s.prior.Step), blendPriorTime(n, perStream, s.prior.StepPerStream)
}

func sorted(list []Timing, by func(Timing) float64) []Timing {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b Timing) int { return cmp.Compare(by(a), by(b)) })
	return out
}

func lowQuantile(list []Timing, of func(Timing) float64) float64 {
	return quantileOf(list, of, undelayedQuantile)
}

func median(list []Timing, of func(Timing) float64) float64 { return quantileOf(list, of, 0.5) }

func quantileOf(list []Timing, of func(Timing) float64, q float64) float64 {
	values := make([]float64, len(list))
	for i, t := range list {
		values[i] = of(t)
	}
	return quantile(values, q)
}

// quantile sorts the list, which must not be empty.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// applySpeed sets the estimated speed on the engines of the pool.
func (p *pool) applySpeed() {
	if !p.EstimatesSpeed {
		return
	}
	for _, list := range [][]*engine{p.prefill, p.decode} {
		for _, e := range list {
			if p.speed.PrefillRate > 0 {
				e.PrefillRate = p.speed.PrefillRate
			}
			if p.speed.Step > 0 {
				e.Step, e.StepPerStream = p.speed.Step, p.speed.StepPerStream
			}
		}
	}
}

// speedKnown reports whether the engines' speed is configured or has been estimated.
func (p *pool) speedKnown() bool {
	return !p.EstimatesSpeed || p.speed.PrefillRate > 0 && p.speed.Step > 0
}

// beginTime is the time from sending a KV cache to a decode engine until the first event,
// without the transfer.
func (p *pool) beginTime(step time.Duration) time.Duration {
	if p.speed.FirstEventDelay > 0 {
		return p.speed.FirstEventDelay
	}
	return step
}

// EstimateStreamTime predicts how long a pool's engines take to generate the given number of tokens,
// with one more stream each than now; 0 for a pool without decode engines.
func (c *Core) EstimateStreamTime(name string, tokens int) time.Duration {
	p := c.pools[name]
	if p == nil || len(p.decode) == 0 {
		return 0
	}
	var sum time.Duration
	for _, e := range p.decode {
		sum += e.stepTime()
	}
	return time.Duration(tokens) * sum / time.Duration(len(p.decode))
}

// meanStep is a stream's mean time per token; 0 if unknown.
func (f *flight) meanStep(now time.Time, output int) time.Duration {
	if f.firstTokens <= 0 || output <= 2*f.firstTokens || f.decode == nil || f.wasMigrated {
		return 0
	}
	return now.Sub(f.streamStart) / time.Duration(output-f.firstTokens)
}
