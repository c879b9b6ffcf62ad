package decide

import (
	"math"
	"time"
)

// This file forecasts the memory use of decode engines. A stream uses more memory with every token. So an
// engine that has enough free memory now can run out of memory within a second. The engine then preempts a
// stream. The prompt of that stream is prefilled again while the caller waits.

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
	// overflowSigma is a safety margin, in standard deviations of an engine's memory use. The engine must
	// have enough memory for the expected use plus this margin.
	overflowSigma = 2.0
	// unknownShare is the fraction of an engine's memory that is kept free for streams of other boxes. News
	// of such streams reaches this box late or never.
	unknownShare = 0.06
	// maxForecastReportAge is the greatest age of an engine's report from which its memory use is forecast.
	maxForecastReportAge = 3 * time.Second
)

// noForecastCost, in seconds, is added to the cost of an engine whose memory use cannot be forecast. It is more
// than the usual cost difference between two engines of the same kind, and less than the cost of a queue.
const noForecastCost = 0.03

// lacksForecast reports that the memory use cannot be forecast, for lack of a recent report.
func (e *engine) lacksForecast(now time.Time) bool {
	return !e.hasReport || e.reportAge(now) > maxForecastReportAge
}

// forecastHorizons are the points in time for which the memory use is forecast, counted from now. The unit is
// the time in which an answer of mean length is generated.
var forecastHorizons = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1, 1.5}

// longerThan is the probability that an answer has more than n tokens. Answer lengths are log-normally
// distributed. median is their median, and spread the standard deviation of the logarithm of the length.
func longerThan(n, median, spread float64) float64 {
	if n <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(n/median)/(spread*math.Sqrt2))
}

// memoryForecast is the expected memory use of a decode engine, without the request that is to be placed. The
// core tries to place a waiting request many times per second. So a forecast is used again for
// forecastLifetime, unless the engine's load changes.
type memoryForecast struct {
	at time.Time
	// mean and variance describe the distribution of the memory use, in tokens, at each horizon. max is
	// the memory use at the horizon if no stream has ended by then. running is the expected number of
	// streams that run now.
	mean, variance, max [len(forecastHorizons)]float64
	running             float64
}

const (
	// forecastLifetime is how long a forecast is used before it is computed again.
	forecastLifetime = 25 * time.Millisecond
	// defaultStartTime is the assumed time from the placement of a stream to its first token, as long as there
	// is no estimate. In this time, the prompt and the OutputReserve of the stream count as used memory.
	defaultStartTime = 200 * time.Millisecond
)

// forecastMemory returns the memory forecast of an engine that has a recent report. Since the report, streams
// have grown or ended, and the forecast takes this into account.
//
// Example: a report from 1 s ago contains a stream that had generated 3,000 tokens, at 0.7 ms each. Half of
// all answers have fewer than 3,500 tokens. If the stream still runs, it has generated 4,400 tokens by now.
// More likely, the stream has ended and freed its memory.
func (e *engine) forecastMemory(p *pool, now time.Time) *memoryForecast {
	if o := &e.forecast; !o.at.IsZero() && now.Sub(o.at) < forecastLifetime {
		return o
	}
	o := memoryForecast{at: now}
	start := p.startTime()
	step := max(1e-6, (e.Step + time.Duration(e.report.Streams)*e.StepPerStream).Seconds())
	since := e.reportAge(now).Seconds() / step
	median := p.meanOutput * math.Exp(-lengthSigma*lengthSigma/2)
	// Some reported memory is in use but belongs to no reported stream. It is reserved for streams that have no
	// first token yet.
	notBegun := float64(e.KVTokens - e.report.FreeKV)
	// If this box receives the ends of streams, it has already removed ended streams from the report. So all
	// streams in the report still run.
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

// continueChance is the probability that a stream generates at least so many further tokens, given that it
// has already generated the given number.
func continueChance(generated, further, median float64) float64 {
	return longerThan(generated+further, median, lengthSigma) / max(1e-9, longerThan(generated, median, lengthSigma))
}

// addStream adds a stream to the forecast for horizon i. chance is the probability that the stream still runs
// then, and tokens the memory that it uses in that case.
func (o *memoryForecast) addStream(i int, tokens, chance float64) {
	o.max[i] += tokens
	o.mean[i] += tokens * chance
	o.variance[i] += tokens * tokens * chance * (1 - chance)
}

// hasRoom reports whether the request fits into the engine's memory. The engine must have enough free memory
// now. If the request may not be late, the engine must also not be expected to run out of memory later.
// Without a recent report that lists the streams, only the memory that is free now counts.
//
// Example: the engine has memory for 63,000 tokens. Answers have 4,400 tokens on average, and the request has
// a prompt of 4,000 tokens. On the engine run five streams of 9,000 tokens, 8,000 of them generated. Then the
// request fits, since most of the five streams will have ended before the new stream has grown. With ten new
// streams of 5,000 tokens instead, the request does not fit. 13,000 tokens are free now, but all of the
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
		// worst is the memory use if no known stream ends. The use cannot be higher than that.
		worst := o.max[i] + tokens + unknownShare*float64(e.KVTokens)
		if min(worst, mean+overflowSigma*math.Sqrt(variance)) > float64(e.KVTokens) {
			return false
		}
	}
	return true
}

// hasRoomAfter reports whether the engine is expected to have room for the start of the request after the given time, when
// the prompt has been read and the KV cache transferred. hasRoom checks the room at the present time. Without a forecast, the
// result is true.
func (e *engine) hasRoomAfter(p *pool, f *flight, now time.Time, delay time.Duration) bool {
	if e.lacksForecast(now) || e.report.Runs == nil || p.meanOutput <= 0 {
		return true
	}
	step := max(1e-6, (e.Step + time.Duration(e.report.Streams)*e.StepPerStream).Seconds())
	used := e.forecastMemory(p, now).meanAt(delay.Seconds() / step / p.meanOutput)
	return used+float64(f.kvNeedAtStart()) <= float64(e.KVTokens)
}

// meanAt is the expected memory use at a time between two horizons, by linear interpolation. After the last horizon, it is
// the use at the last one.
func (o *memoryForecast) meanAt(horizon float64) float64 {
	for i := 1; i < len(forecastHorizons); i++ {
		if from, to := forecastHorizons[i-1], forecastHorizons[i]; horizon < to {
			return o.mean[i-1] + (horizon-from)/(to-from)*(o.mean[i]-o.mean[i-1])
		}
	}
	return o.mean[len(o.mean)-1]
}

// requestLengths are the mean lengths, in tokens, of the prompts and answers of a pool's requests. Before the
// first request, all values are 0.
type requestLengths struct {
	meanPrompt float64
	meanOutput float64 // Mean of the answer lengths that were expected on arrival. Real lengths play no part.
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

// observeRemote adds the lengths of a request of another box. The cached part of its prompt is not known, so the
// whole prompt counts as uncached.
func (l *requestLengths) observeRemote(ev RemotePlacement) {
	l.observe(ev.At, ev.PromptTokens, ev.PromptTokens, ev.KV-ev.PromptTokens, l.tokenTarget)
}
