package decide

import (
	"math"
	"time"
)

// This file foresees how full a decode engine's memory will be. A stream takes more with
// every token, so an engine that has room now may have none in a second; it then displaces
// a stream, whose prompt is read again while its caller waits.

// Run is one stream that an engine reports to be running.
type Run struct {
	Tokens int // Of memory.
	Made   int // Tokens of its answer so far.
}

const (
	// lengthSpread is the spread of the logarithm of answers' lengths around that of their
	// median, and guessSpread around what the caller guessed.
	lengthSpread = 0.7
	guessSpread  = 0.5
	// overflowSigma is how many standard deviations above the expected use must fit.
	overflowSigma = 1.4
	// foreseeFor is how old a report may be to foresee anything by it.
	foreseeFor = 3 * time.Second
)

// unforeseenCost is what speaks against an engine of which nothing is foreseen, in seconds:
// more than engines that are alike differ by, and less than a queue.
const unforeseenCost = 0.03

// unforeseen says that the engine has no fresh report.
func (e *engine) unforeseen(now time.Time) bool {
	return !e.reported || e.reportAge(now) > foreseeFor
}

// foreseen are the points in time at which the use is looked at, as parts of the time
// that a mean answer takes.
var foreseen = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1, 1.5}

// above is the probability that an answer is longer than n tokens.
func above(n, median, spread float64) float64 {
	if n <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(n/median)/(spread*math.Sqrt2))
}

// overflows says whether the engine is likely to run out of memory if the request joins
// what it runs. Without a fresh report of its streams that is not known.
//
// Example: answers have 4,400 tokens on average, and a prompt of 4,000 is to join an engine
// of 63,000. Five streams of 9,000 that have made 8,000 leave room for it: most will have
// ended when it has grown. Ten of 5,000 that have just begun do not, though as much is free.
func (e *engine) overflows(p *pool, f *flight, now time.Time) bool {
	if e.unforeseen(now) || len(e.report.Runs) == 0 || p.meanOutput <= 0 {
		return false
	}
	unseen := float64(e.KVTokens - e.report.FreeKV) // Of it, what is set aside for others.
	for _, r := range e.report.Runs {
		unseen -= float64(r.Tokens)
	}
	unseen = max(0, unseen)
	for i := range e.sent {
		unseen += float64(e.sent[i].kv)
	}
	median := p.meanOutput * math.Exp(-lengthSpread*lengthSpread/2)
	guess := max(1, float64(f.expectedTokens()))
	for _, part := range foreseen {
		t := part * p.meanOutput
		mean, variance := unseen, 0.0
		add := func(tokens, chance float64) {
			mean += tokens * chance
			variance += tokens * tokens * chance * (1 - chance)
		}
		for _, r := range e.report.Runs {
			made := float64(r.Made)
			add(float64(r.Tokens)+t, above(made+t, median, lengthSpread)/max(1e-9, above(made, median, lengthSpread)))
		}
		add(float64(f.PromptTokens)+t, above(t, guess, guessSpread))
		if mean+overflowSigma*math.Sqrt(variance) > float64(e.KVTokens) {
			return true
		}
	}
	return false
}

// expectedTokens is how long the answer is expected to be.
func (f *flight) expectedTokens() int {
	if f.ExpectTokens > 0 {
		return f.ExpectTokens
	}
	return f.MaxTokens
}

// outputBlend is the weight of one arrival in the mean length of answers.
const outputBlend = 0.02

// sawLength learns how long answers are expected to be.
func (p *pool) sawLength(f *flight) {
	n := float64(f.expectedTokens())
	if p.meanOutput == 0 {
		p.meanOutput = max(n, float64(p.ExpectOutput))
	}
	p.meanOutput += outputBlend * (n - p.meanOutput)
}
