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
	Tokens int // Memory in use, in tokens.
	Output int // Tokens of the answer generated so far.
}

const (
	// lengthSigma is the standard deviation of the natural logarithm of answer lengths.
	// guessSigma is the standard deviation of the natural logarithm of an answer's length divided by
	// the length that the caller expects.
	lengthSigma = 0.7
	guessSigma  = 0.5
	// overflowSigma is how many standard deviations above its expected use the memory of an engine
	// must suffice for.
	overflowSigma = 2.0
	// unknownShare is the fraction of an engine's memory that is kept free for streams of other
	// boxes that this box learns of late or never.
	unknownShare = 0.06
	// maxForecastReportAge is how old a report of an engine may be for a forecast of its memory.
	maxForecastReportAge = 3 * time.Second
)

// noForecastCost, in seconds, is added to the cost of an engine whose memory cannot be forecast. It
// is more than the cost difference between similar engines, and less than the cost of a queue.
const noForecastCost = 0.03

// lacksForecast reports that the memory use cannot be forecast, for lack of a recent report.
func (e *engine) lacksForecast(now time.Time) bool {
	return !e.hasReport || e.reportAge(now) > maxForecastReportAge
}

// forecastHorizons are the times for which the memory use is forecast, counted from now. The unit is
// the time that an answer of mean length takes.
var forecastHorizons = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1, 1.5}

// longerThan is the probability that an answer is longer than n tokens. Its length is log-normally
// distributed with the given median and standard deviation of the logarithm.
func longerThan(n, median, spread float64) float64 {
	if n <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(n/median)/(spread*math.Sqrt2))
}

// memoryForecast is the expected memory use of a decode engine, without the request that is to be
// placed. It is kept for forecastLifetime unless the engine's load changes, since the core tries
// to place a waiting request many times per second.
type memoryForecast struct {
	at time.Time
	// mean and variance describe the distribution of the memory use in tokens at each horizon.
	// max is the use at that time if no stream has ended by then. running is the expected number
	// of streams that run now.
	mean, variance, max [len(forecastHorizons)]float64
	running             float64
}

const (
	// forecastLifetime is how long a forecast is used before it is computed again.
	forecastLifetime = 25 * time.Millisecond
	// defaultStartTime stands for the time from the placement of a stream to its first token until
	// that time can be estimated. Until then, prompt and OutputReserve of the stream count as used.
	defaultStartTime = 200 * time.Millisecond
)

// forecastMemory returns the memory forecast of an engine with a recent report. It takes into
// account that reported streams have grown or ended since the report.
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
	// Memory that the reported streams do not use is reserved for streams without a first token.
	notBegun := float64(e.KVTokens - e.report.FreeKV)
	// If this box receives the ends of streams, it has removed ended streams from the report, so all
	// streams that are left still run.
	alive := func(r StreamLoad) float64 {
		if p.receivesStreamEnds {
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
	for i, horizon := range forecastHorizons {
		t := horizon * p.meanOutput
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

// continueChance is the probability that a stream goes on for further tokens after it has generated
// the given number of tokens.
func continueChance(generated, further, median float64) float64 {
	return longerThan(generated+further, median, lengthSigma) / max(1e-9, longerThan(generated, median, lengthSigma))
}

// addStream adds a stream that uses so many tokens at horizon i, and still runs then with the given
// chance.
func (o *memoryForecast) addStream(i int, tokens, chance float64) {
	o.max[i] += tokens
	o.mean[i] += tokens * chance
	o.variance[i] += tokens * tokens * chance * (1 - chance)
}

// hasRoom reports whether the engine is expected to have enough free memory for the request now, and
// not to run out of memory later if it takes the request. Without a recent report with a list of
// streams, only the memory that is free now counts.
//
// Example: the engine has memory for 63,000 tokens, and answers have 4,400 tokens on average. A
// request with a prompt of 4,000 tokens fits beside five streams of 9,000 tokens that have
// generated 8,000 each, since most of these will have ended before the new one has grown. It does
// not fit beside ten new streams of 5,000 tokens: 13,000 tokens are free now, but all of the
// streams will grow.
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
	expected := max(1, float64(f.expectedOutput()))
	for i, horizon := range forecastHorizons {
		t := horizon * p.meanOutput
		chance := longerThan(t, expected, guessSigma)
		tokens := float64(f.PromptTokens) + t
		mean, variance := o.mean[i]+tokens*chance, o.variance[i]+tokens*tokens*chance*(1-chance)
		// The use is not higher than if none of the known streams ends.
		worst := o.max[i] + tokens + unknownShare*float64(e.KVTokens)
		if min(worst, mean+overflowSigma*math.Sqrt(variance)) > float64(e.KVTokens) {
			return false
		}
	}
	return true
}

// requestLengths are the mean lengths, in tokens, of the prompts and answers of a pool's requests. They
// are 0 before the first request.
type requestLengths struct {
	meanPrompt float64
	meanOutput float64 // Mean of the lengths that were expected of answers on arrival, not of their real lengths.
	// meanUncached is the mean length of the uncached part of a prompt.
	meanUncached float64
	// tokenTarget is the between-tokens target of the last request.
	tokenTarget   time.Duration
	requestCount  int
	lastRequestAt time.Time
}

// minLengthBlend is the smallest weight that one request has in the mean lengths.
const minLengthBlend = 0.02

// observe adds the lengths of one request to the means.
func (l *requestLengths) observe(now time.Time, prompt, uncached, output int, betweenTokens time.Duration) {
	l.requestCount++
	l.lastRequestAt = now
	blend := max(minLengthBlend, 1/float64(l.requestCount))
	l.meanPrompt += blend * (float64(prompt) - l.meanPrompt)
	l.meanUncached += blend * (float64(uncached) - l.meanUncached)
	l.meanOutput += blend * (float64(output) - l.meanOutput)
	l.tokenTarget = betweenTokens
}

// observeRemote adds the lengths of a request of another box, of which the cached part is not known.
func (l *requestLengths) observeRemote(ev RemotePlacement) {
	l.observe(ev.At, ev.PromptTokens, ev.PromptTokens, ev.KV-ev.PromptTokens, l.tokenTarget)
}
