package decide

import (
	"cmp"
	"slices"
	"time"
)

// This file estimates the speed of a pool's engines from the timings of its requests. Engines do not
// report their speed, and it can differ by a factor of ten and more between deployments.

// Speed holds the speed of a pool's engines. Values that are not known yet are 0.
type Speed struct {
	PrefillRate float64 // Prompt tokens that a prefill engine prefills per second.
	// PrefillDelay is the fixed part of a prefill's duration, without queueing and without the time per token.
	PrefillDelay time.Duration
	// FirstEventDelay is the time from sending a request to a decode engine until the first event of
	// the answer arrives, without the transfer of the KV cache.
	FirstEventDelay time.Duration
	// Step is the part of the time per token that does not depend on the number of streams. StepPerStream
	// is what each stream adds to the time per token.
	Step          time.Duration
	StepPerStream time.Duration
}

// Timing holds how long engines took for one request. Values that were not observed are 0.
type Timing struct {
	// PrefillTokens is the number of tokens that the prefill engine prefilled in PrefillTime. These are the tokens
	// of the prompt, and the tokens known to be queued before the prompt.
	PrefillTokens int
	PrefillTime   time.Duration
	// FirstEventDelay is the time from sending the request to a decode engine until the first event of
	// the answer arrives, without the transfer of the KV cache.
	FirstEventDelay time.Duration
	// Step is the stream's mean time per token. Streams is the number of streams that the engine ran when the
	// answer was complete.
	Step    time.Duration
	Streams float64
}

// RequestTiming reports the timing of a request of this box once the answer is complete.
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
	// maxTimings is how many of the newest timings of each kind are used. At the rate at which boxes publish
	// timings, these cover about half a minute. So a single burst is not mistaken for slow engines.
	maxTimings = 128
	// minTimings is how many timings an estimate needs. refitInterval is the number of new timings
	// after which the estimates are computed again.
	minTimings    = 8
	refitInterval = 4
	// maxAheadShare bounds the tokens known to be queued before a prompt, as a fraction of the prompt's uncached
	// tokens. If more tokens are queued, the timing of the prompt is not used. The reason is that the number of
	// queued tokens is itself computed from the estimated rate.
	maxAheadShare = 0.25
	// undelayedQuantile is the fraction of prefills that count as undelayed. Other prefills may have been queued
	// behind prompts of other boxes that this box does not know of, or an engine may have been faulty.
	undelayedQuantile = 0.25
	// fitRounds is how often the delay is computed from the time per token, and the time per token from the delay.
	// Each round multiplies the error by the size ratio of short to long prompts, which is about a half.
	fitRounds = 8
	// minStreamSpread is a condition for estimating the step time per stream. Timings are divided into two halves
	// by their number of streams. The medians of the two halves must differ by at least this number of streams.
	minStreamSpread = 2
)

// speed estimates a pool's Speed.
type speed struct {
	Speed
	// prefillTimings, beginTimings and stepTimings are the newest timings that contain a prefill time, a
	// first-event delay and a step time, oldest first.
	prefillTimings, beginTimings, stepTimings []Timing
	// prefillCount counts all timings so far with a prefill time, and stepCount all with a step time. Both include
	// the requests that the prior estimates are based on.
	prefillCount, stepCount int
	sinceFit                int // Timings since the estimates were last computed.
	// prior holds the estimates of boxes that ran earlier, as given by SetEstimates.
	prior Speed
	// firstEvents follows the first-event delays of this box and of the others, also if the speed is configured.
	firstEvents delayStats
}

// delayStats follows a delay like the round-trip time of a retransmission time-out (RFC 6298).
type delayStats struct {
	n               int
	mean, deviation time.Duration // Smoothed mean, and smoothed mean deviation from it.
}

func (d *delayStats) observe(t time.Duration) {
	if t <= 0 {
		return
	}
	if d.n++; d.n == 1 {
		d.mean, d.deviation = t, t/2
		return
	}
	d.deviation += (max(t-d.mean, d.mean-t) - d.deviation) / 4
	d.mean += (t - d.mean) / 8
}

// margin is a time that the delay exceeds rarely. ok is false while too few delays are known.
func (d *delayStats) margin() (t time.Duration, ok bool) {
	return d.mean + 4*d.deviation, d.n >= minTimings
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

// setPrior sets the estimates that other boxes made of n requests before this box started.
func (s *speed) setPrior(prior Speed, n int) {
	s.prior = prior
	s.prefillCount, s.stepCount = s.prefillCount+n, s.stepCount+n
	if len(s.prefillTimings) < minTimings {
		s.PrefillRate, s.PrefillDelay = prior.PrefillRate, prior.PrefillDelay
	}
	if len(s.beginTimings) < minTimings {
		s.FirstEventDelay = prior.FirstEventDelay
	}
	if len(s.stepTimings) < minTimings {
		s.Step, s.StepPerStream = prior.Step, prior.StepPerStream
	}
}

// blendPrior is the weighted mean of an estimate from n timings and the prior estimate. The prior estimate counts as
// much as minTimings timings. A prior of 0 means that there is none.
func blendPrior(n int, estimate, prior float64) float64 {
	if prior <= 0 {
		return estimate
	}
	return (float64(n)*estimate + minTimings*prior) / float64(n+minTimings)
}

// blendPriorTime is blendPrior for times, with the estimate in seconds.
func blendPriorTime(n int, estimate float64, prior time.Duration) time.Duration {
	return seconds(blendPrior(n, estimate, prior.Seconds()))
}

// fitPrefill estimates the fixed delay and the time per token of undelayed prefills. Both are chosen to explain two
// observed values: the undelayed quantile of the prefill times of short prompts, and that of long prompts.
//
// Example: the fastest quarter of prompts of 2,000 tokens took up to 110 ms, and the fastest quarter of
// prompts of 6,000 tokens up to 230 ms. So 4,000 tokens take 120 ms, the rate is 33,333 tokens per second
// and the delay is 50 ms.
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

// fitSteps estimates the step time. It divides the timings into two halves, with few streams and with many. The step
// time per stream follows from the difference between the medians of the two halves.
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
	if extraStreams := median(fuller, streams) - median(emptier, streams); extraStreams >= minStreamSpread {
		perStream = max(0, (median(fuller, step)-median(emptier, step))/extraStreams)
	}
	stepTime := median(list, step)
	baseStep := stepTime - perStream*median(list, streams)
	if baseStep <= 0 { // Due to noise, the streams together seem to take longer than the whole step.
		baseStep, perStream = stepTime, 0
	}
	s.Step, s.StepPerStream = blendPriorTime(n, baseStep, s.prior.Step), blendPriorTime(n, perStream, s.prior.StepPerStream)
}

func sorted(list []Timing, by func(Timing) float64) []Timing {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b Timing) int { return cmp.Compare(by(a), by(b)) })
	return out
}

// lowQuantile is the value below which the undelayed fraction of the timings lies.
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

// quantile sorts the list, which must not be empty, and returns the value at fraction q of it.
func quantile(list []float64, q float64) float64 {
	slices.Sort(list)
	return list[int(q*float64(len(list)-1))]
}

// applySpeed replaces the configured speed of the pool's engines by the estimated speed, if there is one.
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

// beginTime is the time from sending a request to a decode engine until the first event of the answer arrives. The
// transfer of the KV cache does not count. While there is no estimate, the result is the given step time.
func (p *pool) beginTime(step time.Duration) time.Duration {
	if p.speed.FirstEventDelay > 0 {
		return p.speed.FirstEventDelay
	}
	return step
}

// EstimateStreamTime predicts how long a pool's decode engines take to generate the given number of tokens. It assumes
// that each engine gets one more stream than it has now. The result is 0 for a pool without decode engines.
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

// meanStep is the mean time per token of a stream that is done; 0 if it cannot be determined. A resumed stream began its
// answer more than once.
func (f *flight) meanStep(now time.Time, output int) time.Duration {
	if f.firstTokens <= 0 || output <= 2*f.firstTokens || f.decode == nil || f.wasMigrated || !f.connectionLostAt.IsZero() {
		return 0
	}
	return now.Sub(f.streamStart) / time.Duration(output-f.firstTokens)
}
