package decide

import (
	"math"
	"time"
)

// This file forecasts the memory use of decode engines. A stream takes more memory with every
// token, so an engine that has room now may have none in a second. It then preempts a stream,
// whose prompt is prefilled again while its caller waits.

// StreamLoad is one running stream in an engine's report.
type StreamLoad struct {
	Tokens int // Memory in use.
	Output int // Tokens of the answer generated so far.
}

const (
	// lengthSigma is the standard deviation of the logarithm of answer lengths. guessSigma is
	// the same for their ratio to the length that the caller expects.
	lengthSigma = 0.7
	guessSigma  = 0.5
	// overflowSigma is how many standard deviations above the expected use must fit.
	overflowSigma = 2.0
	// unknownShare is the fraction of an engine's memory that is kept free for streams of other
	// boxes whose messages arrive late or never.
	unknownShare = 0.06
	// maxForecastReportAge is how old a report may be for a forecast.
	maxForecastReportAge = 3 * time.Second
)

// noForecastCost is the extra cost, in seconds, of an engine without a forecast: more than the
// difference between similar engines, and less than a queue.
const noForecastCost = 0.03

// lacksForecast reports that the engine has no recent report.
func (e *engine) lacksForecast(now time.Time) bool {
	return !e.reported || e.reportAge(now) > maxForecastReportAge
}

// forecastHorizons are the times from now at which the memory use is forecast, as multiples
// of the time that a mean answer takes.
var forecastHorizons = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1, 1.5}

// longerThan is the probability that an answer is longer than n tokens.
func longerThan(n, median, spread float64) float64 {
	if n <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(n/median)/(spread*math.Sqrt2))
}

// memoryForecast is the expected memory use of a decode engine, without the request that is
// to be placed. It is cached for a short time while no new information arrives, because a
// waiting request is tried many times a second.
type memoryForecast struct {
	at time.Time
	// mean and variance are those of the tokens in use at each horizon, max is the use if no
	// stream ends until then, and running is the expected number of streams now.
	mean, variance, max [len(forecastHorizons)]float64
	running             float64
}

const (
	// forecastLifetime is how long a forecast stays valid.
	forecastLifetime = 25 * time.Millisecond
	// defaultStartTime is the time from the placement of a stream to its first token while no
	// estimate exists. Until then all memory reserved for the stream counts as used.
	defaultStartTime = 200 * time.Millisecond
)

// forecastMemory computes the forecast of an engine that has a recent report. Streams of the
// report have grown or ended since it was taken.
//
// Example: a report from 1 s ago contains a stream that had generated 3,000 tokens, at 0.7 ms
// each, and half of all answers end before 3,500. By now it has generated 4,400 tokens or,
// more likely, has ended and freed its memory.
func (e *engine) forecastMemory(p *pool, now time.Time) *memoryForecast {
	if o := &e.forecast; !o.at.IsZero() && now.Sub(o.at) < forecastLifetime {
		return o
	}
	o := memoryForecast{at: now}
	start := p.startTime()
	step := max(1e-6, (e.Step + time.Duration(e.report.Streams)*e.StepPerStream).Seconds())
	since := e.reportAge(now).Seconds() / step
	median := p.meanOutput * math.Exp(-lengthSigma*lengthSigma/2)
	// Memory in use beyond the reported streams is reserved for streams that have not begun.
	notBegun := float64(e.KVTokens - e.report.FreeKV)
	// If the ends of streams are received, the remaining ones still run.
	alive := func(r StreamLoad) float64 {
		if p.endsKnown {
			return 1
		}
		return continueChance(float64(r.Output), since, median)
	}
	for _, r := range e.report.Runs {
		notBegun -= float64(r.Tokens)
		o.running += alive(r)
	}
	o.running += float64(e.report.Queued)
	queuedKV := float64(e.report.Queued) * (p.meanPrompt + p.meanOutput/2)
	for i, part := range forecastHorizons {
		t := part * p.meanOutput
		o.mean[i] = max(0, notBegun) + queuedKV
		o.max[i] = o.mean[i]
		for _, r := range e.report.Runs {
			o.addStream(i, float64(r.Tokens)+since+t, alive(r)*continueChance(float64(r.Output)+since, t, median))
		}
		for _, w := range e.placements {
			if age := now.Sub(w.at); w.kv > 0 && i == 0 && age < start {
				o.mean[0] += float64(w.prompt + w.outputReserve)
				o.max[0] += float64(w.prompt + w.outputReserve)
			} else if w.kv > 0 {
				made := t + max(0, (age-start).Seconds()/step)
				o.addStream(i, float64(w.prompt)+made, longerThan(made, max(1, float64(w.answer)), guessSigma))
			}
		}
	}
	for _, w := range e.placements {
		o.running += w.streams
	}
	e.forecast = o
	return &e.forecast
}

// startTime is the expected time from the placement of a stream to its first token.
func (p *pool) startTime() time.Duration {
	if p.speed.FirstEventDelay == 0 || p.speed.PrefillRate == 0 {
		return defaultStartTime
	}
	return p.speed.PrefillDelay + seconds(p.meanUncached/p.speed.PrefillRate) + p.speed.FirstEventDelay
}

// continueChance is the probability that a stream that has generated some tokens (made)
// generates at least as many further ones as given (more).
func continueChance(made, more, median float64) float64 {
	return longerThan(made+more, median, lengthSigma) / max(1e-9, longerThan(made, median, lengthSigma))
}

func (o *memoryForecast) addStream(i int, tokens, chance float64) {
	o.max[i] += tokens
	o.mean[i] += tokens * chance
	o.variance[i] += tokens * tokens * chance * (1 - chance)
}

// hasRoom reports whether the engine is expected to accept the request now, and not to run
// out of memory if it does. Without a recent report, the ledger and the last report decide.
//
// Example: answers have 4,400 tokens on average, and a prompt of 4,000 is to join an engine
// of 63,000. Five streams of 9,000 that have generated 8,000 leave room for it: most will
// have ended before it has grown. Ten new ones of 5,000 do not, though as much memory is free.
func (e *engine) hasRoom(p *pool, f *flight, now time.Time) bool {
	if e.KVTokens-e.reservedKV < f.kvNeed() {
		return false
	}
	if e.lacksForecast(now) || e.report.Runs == nil || p.meanOutput <= 0 {
		return e.freeKV() >= f.kvNeedAtStart()
	}
	o := e.forecastMemory(p, now)
	if o.mean[0]+float64(f.kvNeedAtStart()) > float64(e.KVTokens) || e.Slots > 0 && o.running+1 > float64(e.Slots) {
		return false
	}
	if f.mayBeLate {
		return true
	}
	guess := max(1, float64(f.expectedOutput()))
	for i, part := range forecastHorizons {
		t := part * p.meanOutput
		chance := longerThan(t, guess, guessSigma)
		tokens := float64(f.PromptTokens) + t
		mean, variance := o.mean[i]+tokens*chance, o.variance[i]+tokens*tokens*chance*(1-chance)
		// Streams that end make room; the worst case is that none of the known ones does.
		worst := o.max[i] + tokens + unknownShare*float64(e.KVTokens)
		if min(worst, mean+overflowSigma*math.Sqrt(variance)) > float64(e.KVTokens) {
			return false
		}
	}
	return true
}

// requestLengths are the mean lengths of requests, in tokens; 0 before the first request.
type requestLengths struct {
	meanPrompt float64
	meanOutput float64 // Of the expected lengths, not the actual ones.
	// meanUncached is the mean length of the uncached part of a prompt.
	meanUncached float64
	// tokenTarget is the between-tokens target of the last request.
	tokenTarget   time.Duration
	requestCount  int
	lastRequestAt time.Time
}

// minLengthBlend is the least weight of one request.
const minLengthBlend = 0.02

// observe records the lengths of one request.
func (l *requestLengths) observe(now time.Time, prompt, read, output int, gap time.Duration) {
	l.requestCount++
	l.lastRequestAt = now
	blend := max(minLengthBlend, 1/float64(l.requestCount))
	l.meanPrompt += blend * (float64(prompt) - l.meanPrompt)
	l.meanUncached += blend * (float64(read) - l.meanUncached)
	l.meanOutput += blend * (float64(output) - l.meanOutput)
	l.tokenTarget = gap
}

// observeRemote records the lengths of a request that another box sent to an engine.
func (l *requestLengths) observeRemote(ev RemotePlacement) {
	l.observe(ev.At, ev.PromptTokens, ev.PromptTokens, ev.KV-ev.PromptTokens, l.tokenTarget)
}
