package decide

import (
	"cmp"
	"slices"
	"time"
)

// This file learns how fast the engines of a pool work, from what its requests took. Nothing
// says so beforehand, and engines of two deployments differ by ten times and more.

// Speed is how fast the engines of a pool work. What is not known yet is 0.
type Speed struct {
	PrefillRate float64 // Prompt tokens that an engine reads in a second.
	// ReadDelay is what a prompt takes beside being read and waiting for others.
	ReadDelay time.Duration
	// Begin is what passes from when a decode engine is sent a KV cache until the first event
	// comes, without the transfer.
	Begin time.Duration
	// Step is the time of a token of a stream alone, and StepPerStream what each stream adds.
	Step          time.Duration
	StepPerStream time.Duration
}

// Timing is what one request took of engines. What was not seen is 0.
type Timing struct {
	// ReadTokens were read by a prefill engine in Read: those of the prompt, and those that
	// were known to be in front of it.
	ReadTokens int
	Read       time.Duration
	Begin      time.Duration // As in Speed.
	// Step is the mean time of a token, among so many Streams.
	Step    time.Duration
	Streams float64
}

// Took says what a request took of engines, once it is answered.
type Took struct {
	ID ID
	Timing
}

// OtherTook says what a request of another box took of a pool's engines.
type OtherTook struct {
	Pool string
	Timing
}

func (Took) action()     {}
func (OtherTook) event() {}

const (
	// speedKept is how many of the newest timings of each kind count: half a minute of what
	// boxes tell each other, so that one burst does not pass for slow engines.
	speedKept = 128
	// speedLeast is how many there must be at least, and speedEvery after how many the figures
	// are worked out anew.
	speedLeast = 8
	speedEvery = 4
	// idleAhead is what may be known to be in front of a prompt, as a part of it, for the
	// time that it takes to say how fast the engine reads. What is in front is itself only
	// worked out by that.
	idleAhead = 0.25
	// unhindered is the part of the reads that nothing unknown hindered. The others stood
	// behind prompts of other boxes that were not heard of, or an engine was at fault.
	unhindered = 0.25
	// fitRounds is how often delay and rate are corrected by each other. Each round leaves the
	// quotient of short and long prompts' sizes, about a half, of the error.
	fitRounds = 8
	// leastSpread is the difference in streams, between the emptier and the fuller half of the
	// timings, from which their difference in steps tells what a stream adds.
	leastSpread = 2
)

// speed learns a pool's Speed.
type speed struct {
	Speed
	// reads, begins and steps are the timings that show each, oldest first.
	reads, begins, steps []Timing
	// readsSeen and stepsSeen count all that came.
	readsSeen, stepsSeen int
	fresh                int // How many came since the figures were worked out.
	// before is what was known at the start, kept in the store by boxes that ran earlier.
	before Speed
}

// took takes one timing, and returns whether the figures may have changed.
func (s *speed) took(t Timing) bool {
	if t.Read > 0 && t.ReadTokens > 0 {
		s.reads = keep(s.reads, t)
		s.readsSeen++
	}
	if t.Begin > 0 {
		s.begins = keep(s.begins, t)
	}
	if t.Step > 0 {
		s.steps = keep(s.steps, t)
		s.stepsSeen++
	}
	s.fresh++
	if s.fresh < speedEvery {
		return false
	}
	s.fresh = 0
	s.fitReads()
	s.fitBegin()
	s.fitSteps()
	return true
}

func keep(list []Timing, t Timing) []Timing {
	if len(list) == speedKept {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, t)
}

// remember takes what was known of the engines before this box saw any, by n requests.
func (s *speed) remember(before Speed, n int) {
	s.before = before
	s.readsSeen, s.stepsSeen = s.readsSeen+n, s.stepsSeen+n
	if len(s.reads) < speedLeast {
		s.PrefillRate, s.ReadDelay = before.PrefillRate, before.ReadDelay
	}
	if len(s.begins) < speedLeast {
		s.Begin = before.Begin
	}
	if len(s.steps) < speedLeast {
		s.Step, s.StepPerStream = before.Step, before.StepPerStream
	}
}

// mix is what n timings say together with what was known before, which counts as much as
// speedLeast of them; 0 if nothing was.
func mix(n int, seen, before float64) float64 {
	if before <= 0 {
		return seen
	}
	return (float64(n)*seen + speedLeast*before) / float64(n+speedLeast)
}

func mixTime(n int, seen float64, before time.Duration) time.Duration {
	return seconds(mix(n, seen, before.Seconds()))
}

// fitReads finds the delay and the rate that a part of the short reads, and as large a part
// of the long ones, did not fall short of.
//
// Example: of prompts of 2,000 tokens the fastest quarter took up to 110 ms, of those of
// 6,000 up to 230 ms. 4,000 tokens take 120 ms, so the rate is 33,333 a second and the delay
// 50 ms.
func (s *speed) fitReads() {
	n := len(s.reads)
	if n < speedLeast {
		return
	}
	list := sorted(s.reads, func(t Timing) float64 { return float64(t.ReadTokens) })
	short, long := list[:n/2], list[n/2:]
	delay, perToken := s.ReadDelay.Seconds(), 0.0
	for range fitRounds {
		perToken = lowest(long, func(t Timing) float64 { return (t.Read.Seconds() - delay) / float64(t.ReadTokens) })
		delay = max(0, lowest(short, func(t Timing) float64 { return t.Read.Seconds() - perToken*float64(t.ReadTokens) }))
	}
	if perToken > 0 {
		s.PrefillRate, s.ReadDelay = mix(n, 1/perToken, s.before.PrefillRate), mixTime(n, delay, s.before.ReadDelay)
	}
}

// fitBegin takes the median.
func (s *speed) fitBegin() {
	if n := len(s.begins); n >= speedLeast {
		s.Begin = mixTime(n, median(s.begins, func(t Timing) float64 { return t.Begin.Seconds() }), s.before.Begin)
	}
}

// fitSteps compares the medians of the emptier and the fuller half.
func (s *speed) fitSteps() {
	n := len(s.steps)
	if n < speedLeast {
		return
	}
	step := func(t Timing) float64 { return t.Step.Seconds() }
	streams := func(t Timing) float64 { return t.Streams }
	list := sorted(s.steps, streams)
	emptier, fuller := list[:n/2], list[n/2:]
	perStream := s.StepPerStream.Seconds()
	if more := median(fuller, streams) - median(emptier, streams); more >= leastSpread {
		perStream = max(0, (median(fuller, step)-median(emptier, step))/more)
	}
	all := median(list, step)
	alone := all - perStream*median(list, streams)
	if alone <= 0 { // Noise: the streams cannot take more than the whole.
		alone, perStream = all, 0
	}
	s.Step, s.StepPerStream = mixTime(n, alone, s.before.Step), mixTime(n, perStream, s.before.StepPerStream)
}

func sorted(list []Timing, by func(Timing) float64) []Timing {
	out := slices.Clone(list)
	slices.SortStableFunc(out, func(a, b Timing) int { return cmp.Compare(by(a), by(b)) })
	return out
}

func lowest(list []Timing, of func(Timing) float64) float64 { return quantileOf(list, of, unhindered) }

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

// apply has the engines of the pool go by what was learned.
func (p *pool) apply() {
	if !p.Learns {
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

// known says that the engines' speed is.
func (p *pool) known() bool {
	return !p.Learns || p.speed.PrefillRate > 0 && p.speed.Step > 0
}

// beginTime is what passes from when a decode engine is sent a KV cache until the first
// event, without the transfer.
func (p *pool) beginTime(step time.Duration) time.Duration {
	if p.speed.Begin > 0 {
		return p.speed.Begin
	}
	return step
}

// StreamTime is how long a pool's engines are expected to write so many tokens, with the
// streams that they have now; 0 for a pool without any.
func (c *Core) StreamTime(name string, tokens int) time.Duration {
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

// stepOf is a stream's mean time of a token.
func (f *flight) stepOf(now time.Time, output int) time.Duration {
	if f.firstTokens <= 0 || output <= 2*f.firstTokens || f.decode == nil || f.wasMoved {
		return 0
	}
	return now.Sub(f.began) / time.Duration(output-f.firstTokens)
}
