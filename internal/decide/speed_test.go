package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// timingsOf generates n timings of engines of the given speed. Every second prefill is delayed, as if it was queued
// behind prompts of other boxes. Every tenth stream is three times as slow, as if it was preempted.
func timingsOf(s Speed, n int) []Timing {
	rng := rand.New(rand.NewPCG(1, 2))
	var out []Timing
	for range n {
		tokens := 1000 + rng.IntN(6000)
		streams := 1 + rng.IntN(16)
		t := Timing{
			PrefillTokens: tokens, PrefillTime: s.PrefillDelay + seconds(float64(tokens)/s.PrefillRate), FirstEventDelay: s.FirstEventDelay,
			Step: s.Step + time.Duration(streams)*s.StepPerStream, Streams: float64(streams),
		}
		if rng.IntN(2) == 0 {
			t.PrefillTime += time.Duration(rng.IntN(500)) * time.Millisecond
		}
		if rng.IntN(10) == 0 {
			t.Step *= 3
		}
		out = append(out, t)
	}
	return out
}

func within(got, want, tolerance float64) bool {
	return got >= want*(1-tolerance) && got <= want*(1+tolerance)
}

func expectSpeed(t *testing.T, got, want Speed) {
	t.Helper()
	const full = 10 // Number of streams at which the step times are compared.
	stepAtFull := func(s Speed) float64 { return (s.Step + full*s.StepPerStream).Seconds() }
	prefillTime := func(s Speed) float64 { return s.PrefillDelay.Seconds() + 3000/s.PrefillRate }
	if !within(got.PrefillRate, want.PrefillRate, 0.15) || !within(prefillTime(got), prefillTime(want), 0.15) || !within(stepAtFull(got), stepAtFull(want), 0.1) || got.FirstEventDelay != want.FirstEventDelay {
		t.Errorf("expected about %+v, got %+v", want, got)
	}
}

func learnSpeed(p *pool, list []Timing) Speed {
	c := New(rand.New(rand.NewPCG(1, 1)), 1)
	for _, t := range list {
		c.learn(p, t)
	}
	return p.speed.Speed
}

var (
	fastEngine = Speed{PrefillRate: 55_000, PrefillDelay: 12 * time.Millisecond, FirstEventDelay: 7 * time.Millisecond, Step: 580 * time.Microsecond, StepPerStream: 19 * time.Microsecond}
	slowEngine = Speed{PrefillRate: 33_000, PrefillDelay: 55 * time.Millisecond, FirstEventDelay: 19 * time.Millisecond, Step: 5 * time.Millisecond, StepPerStream: 30 * time.Microsecond}
)

func TestLearnsSpeed(t *testing.T) {
	for _, s := range []Speed{fastEngine, slowEngine} {
		expectSpeed(t, learnSpeed(&pool{Pool: Pool{EstimatesSpeed: true}}, timingsOf(s, 100)), s)
	}
}

// After engines were replaced by slower ones, the newest timings determine the estimates.
func TestLearnsChange(t *testing.T) {
	p := &pool{Pool: Pool{EstimatesSpeed: true}}
	learnSpeed(p, timingsOf(fastEngine, 3*maxTimings))
	expectSpeed(t, learnSpeed(p, timingsOf(slowEngine, maxTimings)), slowEngine)
}

// The estimates that other boxes made earlier apply until this box has enough timings of its own. From then on, the
// timings count more than those estimates.
func TestPriorEstimates(t *testing.T) {
	p := &pool{Pool: Pool{EstimatesSpeed: true}}
	p.speed.setPrior(slowEngine, 100)
	if p.speed.Speed != slowEngine || !p.speedKnown() {
		t.Errorf("expected the prior estimates, got %+v", p.speed.Speed)
	}
	learnSpeed(p, timingsOf(fastEngine, minTimings-1))
	if p.speed.PrefillRate != slowEngine.PrefillRate {
		t.Errorf("expected a few timings not to change the estimate, got %+v", p.speed.Speed)
	}
	expectSpeed(t, learnSpeed(p, timingsOf(fastEngine, maxTimings)), Speed{
		PrefillRate: 53_700, PrefillDelay: 14500 * time.Microsecond, FirstEventDelay: p.speed.FirstEventDelay, Step: 840 * time.Microsecond, StepPerStream: 20 * time.Microsecond})
}

// The predicted duration of an answer follows from the estimated speed. Slow engines take eight times as long as fast
// engines. So a box that is about to stop must not accept the same streams for slow engines as for fast engines.
func TestStreamTime(t *testing.T) {
	for _, s := range []Speed{fastEngine, slowEngine} {
		c := newPoolCore(1, 2, 0)
		c.pools["p"].EstimatesSpeed = true
		c.Step(c.now, SetEstimates{Estimates{Pool: "p", Speed: s}})
		if got, want := c.EstimateStreamTime("p", 640), 640*(s.Step+s.StepPerStream); got != want {
			t.Errorf("expected %v, got %v", want, got)
		}
	}
	if got := newPoolCore(0, 0, 0).EstimateStreamTime("p", 640); got != 0 {
		t.Errorf("expected 0 without engines, got %v", got)
	}
}

// If the configured speed is to be used, timings do not change it.
func TestConfiguredSpeedStands(t *testing.T) {
	p := &pool{}
	if got := learnSpeed(p, timingsOf(slowEngine, 100)); got != (Speed{}) {
		t.Errorf("expected no estimates, got %+v", got)
	}
}
