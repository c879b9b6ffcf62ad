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
	overflowSigma = 2.0
	// unknownPart is the part of an engine's memory that is left for streams that are not known
	// of: some of other boxes are heard of late or never.
	unknownPart = 0.06
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

// horizons are the points in time at which the use is looked at, as parts of the time that
// a mean answer takes from now.
var horizons = [...]float64{0, 0.15, 0.3, 0.5, 0.75, 1, 1.5}

// above is the probability that an answer is longer than n tokens.
func above(n, median, spread float64) float64 {
	if n <= 0 {
		return 1
	}
	return 0.5 * math.Erfc(math.Log(n/median)/(spread*math.Sqrt2))
}

// outlook is what is expected of a decode engine's memory, without the request that is to
// be placed. It is kept for as long as nothing more is known of the engine and no time to
// speak of has passed: a request that waits is tried many times a second.
type outlook struct {
	at time.Time
	// mean and variance are of the tokens in use at each horizon, most is what they are if no
	// stream ends until then, and running is of the streams now.
	mean, variance, most [len(horizons)]float64
	running              float64
}

const (
	// outlookFor is for how long an outlook stands.
	outlookFor = 25 * time.Millisecond
	// usualStart is what passes from when a stream is placed until it writes where that was
	// not learned. Until then all that was set aside for it is taken.
	usualStart = 200 * time.Millisecond
)

// foresee works out the outlook of an engine that has a fresh report. The report is as of
// some time ago: the streams in it have gone on since, or ended.
//
// Example: a report of 1 s ago names a stream that had made 3,000 tokens, at 0.7 ms each,
// where half of all answers end before 3,500. By now it has made 4,400 or, more likely than
// not, is gone, and so is its memory.
func (e *engine) foresee(p *pool, now time.Time) *outlook {
	if o := &e.outlook; !o.at.IsZero() && now.Sub(o.at) < outlookFor {
		return o
	}
	o := outlook{at: now}
	start := p.startTime()
	step := max(1e-6, (e.Step + time.Duration(e.report.Streams)*e.StepPerStream).Seconds())
	since := e.reportAge(now).Seconds() / step
	median := p.meanOutput * math.Exp(-lengthSpread*lengthSpread/2)
	// What is in use beside the streams was set aside for some that had not begun.
	unseen := float64(e.KVTokens - e.report.FreeKV)
	// Where the ends of streams are heard of, those that are left still run.
	alive := func(r Run) float64 {
		if p.endsHeard {
			return 1
		}
		return lasts(float64(r.Made), since, median)
	}
	for _, r := range e.report.Runs {
		unseen -= float64(r.Tokens)
		o.running += alive(r)
	}
	o.running += float64(e.report.Queued)
	waits := float64(e.report.Queued) * (p.meanPrompt + p.meanOutput/2)
	for i, part := range horizons {
		t := part * p.meanOutput
		o.mean[i] = max(0, unseen) + waits
		o.most[i] = o.mean[i]
		for _, r := range e.report.Runs {
			o.add(i, float64(r.Tokens)+since+t, alive(r)*lasts(float64(r.Made)+since, t, median))
		}
		for _, w := range e.sent {
			if age := now.Sub(w.at); w.kv > 0 && i == 0 && age < start {
				o.mean[0] += float64(w.prompt + w.ahead)
				o.most[0] += float64(w.prompt + w.ahead)
			} else if w.kv > 0 {
				made := t + max(0, (age-start).Seconds()/step)
				o.add(i, float64(w.prompt)+made, above(made, max(1, float64(w.answer)), guessSpread))
			}
		}
	}
	for _, w := range e.sent {
		o.running += w.streams
	}
	e.outlook = o
	return &e.outlook
}

// startTime is what passes from when a stream is placed until it writes.
func (p *pool) startTime() time.Duration {
	if p.speed.Begin == 0 || p.speed.PrefillRate == 0 {
		return usualStart
	}
	return p.speed.ReadDelay + seconds(p.meanRead/p.speed.PrefillRate) + p.speed.Begin
}

// lasts is the probability that a stream that has made so many tokens makes that many more.
func lasts(made, more, median float64) float64 {
	return above(made+more, median, lengthSpread) / max(1e-9, above(made, median, lengthSpread))
}

func (o *outlook) add(i int, tokens, chance float64) {
	o.most[i] += tokens
	o.mean[i] += tokens * chance
	o.variance[i] += tokens * tokens * chance * (1 - chance)
}

// hasRoom says whether the engine is expected to take the request now, and not to run out of
// memory if it does. Without a fresh report the ledger and the last report tell.
//
// Example: answers have 4,400 tokens on average, and a prompt of 4,000 is to join an engine
// of 63,000. Five streams of 9,000 that have made 8,000 leave room for it: most will have
// ended when it has grown. Ten of 5,000 that have just begun do not, though as much is free.
func (e *engine) hasRoom(p *pool, f *flight, now time.Time) bool {
	if e.KVTokens-e.heldKV < f.need() {
		return false
	}
	if e.unforeseen(now) || e.report.Runs == nil || p.meanOutput <= 0 {
		return e.freeKV() >= f.needNow()
	}
	o := e.foresee(p, now)
	if o.mean[0]+float64(f.needNow()) > float64(e.KVTokens) || e.Slots > 0 && o.running+1 > float64(e.Slots) {
		return false
	}
	if f.patient {
		return true
	}
	guess := max(1, float64(f.expected()))
	for i, part := range horizons {
		t := part * p.meanOutput
		chance := above(t, guess, guessSpread)
		tokens := float64(f.PromptTokens) + t
		mean, variance := o.mean[i]+tokens*chance, o.variance[i]+tokens*tokens*chance*(1-chance)
		// Streams that end make room; that none does is the worst there can be of those known.
		worst := o.most[i] + tokens + unknownPart*float64(e.KVTokens)
		if min(worst, mean+overflowSigma*math.Sqrt(variance)) > float64(e.KVTokens) {
			return false
		}
	}
	return true
}

// lengths are those of requests on the mean, in tokens. They are 0 before the first.
type lengths struct {
	meanPrompt float64
	meanOutput float64 // As it is expected to be.
	// meanRead is the part of a prompt that is not cached.
	meanRead float64
	// gap is the target between tokens of the last request.
	gap    time.Duration
	seen   int
	seenAt time.Time
}

// lengthBlend is the weight of one request, at the least.
const lengthBlend = 0.02

// saw takes the lengths of one request.
func (l *lengths) saw(now time.Time, prompt, read, output int, gap time.Duration) {
	l.seen++
	l.seenAt = now
	blend := max(lengthBlend, 1/float64(l.seen))
	l.meanPrompt += blend * (float64(prompt) - l.meanPrompt)
	l.meanRead += blend * (float64(read) - l.meanRead)
	l.meanOutput += blend * (float64(output) - l.meanOutput)
	l.gap = gap
}

// sawElsewhere takes the lengths of a request that another box sent to an engine.
func (l *lengths) sawElsewhere(ev Sent) { l.saw(ev.At, ev.Prompt, ev.Prompt, ev.KV-ev.Prompt, l.gap) }
