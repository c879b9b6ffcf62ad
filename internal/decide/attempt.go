package decide

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file starts attempts and takes their good ends.

// tryPlace starts the request if a pair is free for it. Decode memory is held
// before the prefill starts, so a prefill never lacks a place to go.
func (c *Core) tryPlace(f *flight) bool {
	q, ch, ok := c.choose(f.pool, f, c.now)
	f.lastCh = ch
	if !ok {
		return false
	}
	first, target := c.now.Add(q.First), f.arrived.Add(f.FirstToken)
	if !f.patient && first.Add(f.pool.urgency.lateness(f)).After(target) {
		if !first.After(target) {
			f.pool.urgency.doubted(f)
		}
		f.late = true
		return false
	}
	if c.tooBusy(f, &q) {
		ch.Passed.Busy++
		return false
	}
	f.pool.pace.started(f)
	c.others.started(c.now)
	f.tries++
	f.attempt = f.newAttempt()
	if q.prefill == nil {
		c.startWhole(f, q, ch)
		return true
	}
	f.prefill, f.prefillAttempt, f.reading, f.kvTaken = q.prefill, f.attempt, true, false
	f.readTokens = f.PromptTokens - q.Cached
	delay := f.pool.speed.ReadDelay
	c.setStage(f, prefilling, q.Queue+q.Read+delay)
	c.holdDecode(f, q.decode)
	f.explained = c.now.Add(q.prefill.ownQueue(c.now) + q.Read + delay)
	f.readAhead = int(q.prefill.ownQueue(c.now).Seconds() * q.prefill.PrefillRate)
	q.prefill.addPrefill(c.now, f.ID, f.readTokens)
	q.prefill.cache.add(f.Blocks)
	q.prefill.health.chosen(c.now)
	c.sentTo(q.prefill)
	f.predictedRead = c.now.Add(q.Queue + q.Read + delay)
	f.plan(f.predictedRead)
	c.emit(StartPrefill{f.ID, f.attempt, q.prefill.Name, q.decode.Name, f.enginePriority(), ch})
	return true
}

// tooBusy says that even the best pair has so much to do that the request waits better
// on this box.
func (c *Core) tooBusy(f *flight, q *chosen) bool {
	if q.prefill == nil {
		return q.Queue > prefillWindow
	}
	linkWait := q.Transfer - transferTime(f.pool, f, q.prefill, q.decode)
	return q.ahead > prefillWindow || linkWait > linkWindow
}

// startWhole gives the request to a decode engine that reads the prompt itself.
func (c *Core) startWhole(f *flight, q chosen, ch *Choice) {
	f.prefill, f.prefillAttempt, f.expires = nil, 0, time.Time{}
	f.decodeAttempt, f.readTokens = f.attempt, f.PromptTokens
	c.holdDecode(f, q.decode)
	q.decode.addPrefill(c.now, f.ID, int(float64(f.PromptTokens)/f.pool.SelfRead))
	f.selfReading = true
	c.setStage(f, transferring, q.First)
	c.emit(StartDecode{ID: f.ID, Attempt: f.attempt, Decode: q.decode.Name, Priority: f.enginePriority(), Choice: ch})
}

// engineEpoch keeps engine priorities small; any fixed instant would do.
var engineEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// setStage begins a stage that is predicted to take so long.
func (c *Core) setStage(f *flight, s stage, predicted time.Duration) {
	f.stage = s
	f.stageStart = c.now
	f.stageDeadline = c.now.Add(stallFactor*predicted + f.stallMargin())
}

func (f *flight) stallMargin() time.Duration {
	return max(shortestMargin, min(longestMargin, f.FirstToken/2))
}

// enginePriority is the order in milliseconds: engines run the lowest
// first, so the prompts of all boxes are read earliest deadline first.
func (f *flight) enginePriority() int { return int(f.order.Sub(engineEpoch).Milliseconds()) }

func (c *Core) holdDecode(f *flight, e *engine) {
	f.decode = e
	f.held = f.need()
	c.sentTo(e)
	e.addDecode(c.now, f.ID, booking{f.held, f.PromptTokens, f.needNow() - f.PromptTokens, f.expected()}, f.weight())
	e.health.chosen(c.now)
}

func (c *Core) releaseDecode(f *flight) {
	f.unplan()
	c.endSelfRead(f)
	c.releaseTarget(f)
	if f.decode != nil {
		f.decode.dropDecode(f.ID, f.held, f.weight())
		f.decode, f.held = nil, 0
	}
}

// endSelfRead takes a prompt that a decode engine reads itself off its queue.
func (c *Core) endSelfRead(f *flight) {
	if f.selfReading {
		f.decode.dropPrefill(c.now)
		f.selfReading = false
	}
}

func (c *Core) releasePrefill(f *flight) {
	if f.reading {
		f.prefill.dropPrefill(c.now)
		f.reading = false
	}
}

func (c *Core) prefillDone(ev PrefillDone) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != prefilling || ev.Attempt != f.prefillAttempt {
		return
	}
	f.ran = f.ran || !f.ReadNotRun
	f.expires = ev.Expires
	f.pool.urgency.wasLate(f, c.now.Sub(f.predictedRead))
	f.prefill.waited(c.now, c.now.Sub(f.explained), true)
	if len(f.Blocks) > 0 {
		f.pool.surprise.cached(f.PromptTokens-f.readTokens, ev.Cached)
	}
	f.prefill.cache.learn(f.PromptTokens-f.readTokens, ev.Cached, len(f.Blocks))
	f.readTokens = max(0, f.PromptTokens-ev.Cached)
	if float64(f.readAhead) <= idleAhead*float64(f.readTokens) {
		f.timing.ReadTokens, f.timing.Read = f.readTokens+f.readAhead, c.now.Sub(f.stageStart)
	}
	c.releasePrefill(f)
	c.succeeded(f.prefill)
	moved := outcome.OK
	if f.decode.leaving() || c.rests(f.decode) {
		moved = outcome.NoDecode
		if !c.anotherDecode(f) {
			c.giveUpTry(f, outcome.NoDecode, true)
			c.drainQueue(f.pool)
			return
		}
	}
	f.unplan()
	c.betterDecode(f)
	c.startDecode(f, moved)
	c.drainQueue(f.pool)
}

// startDecode is called with the transfer taken off its links, so that its own plan
// does not count against it.
func (c *Core) startDecode(f *flight, moved outcome.Reason) {
	f.attempt = f.newAttempt()
	f.decodeAttempt = f.attempt
	takes := predictTransfer(f.pool, f, f.prefill, f.decode, c.now)
	f.plan(c.now)
	c.setStage(f, transferring, takes+f.pool.beginTime(f.decode.stepTime()))
	c.emit(StartDecode{
		ID: f.ID, Attempt: f.attempt, Prefill: f.prefill.Name, PrefillAttempt: f.prefillAttempt,
		Decode: f.decode.Name, Priority: f.enginePriority(), Moved: moved,
	})
}

// betterDecode changes the decode engine before the transfer starts, when
// another one would have the answer begin clearly sooner: links and batches have
// changed since the engine was chosen, before the prompt was read. A place is held
// on one or the other at all times.
func (c *Core) betterDecode(f *flight) {
	var passed PassedOver
	c.findWriters(f.pool, f, c.now, &passed)
	begin := func(e *engine, step time.Duration) time.Duration {
		return predictTransfer(f.pool, f, f.prefill, e, c.now) + step
	}
	best, least := f.decode, begin(f.decode, f.decode.stepTime())-rebindGain
	for _, w := range c.writers {
		if t := begin(w.e, w.step); w.e != f.decode && t < least {
			best, least = w.e, t
		}
	}
	if best != f.decode {
		c.releaseDecode(f)
		c.holdDecode(f, best)
	}
}

// anotherDecode holds memory on a decode engine other than the present one.
func (c *Core) anotherDecode(f *flight) bool {
	f.avoid = f.decode
	c.releaseDecode(f)
	var passed PassedOver
	var best *engine
	c.findWriters(f.pool, f, c.now, &passed)
	for _, w := range c.writers {
		if w.e != f.avoid && (best == nil || w.e.stepTime() < best.stepTime()) {
			best = w.e
		}
	}
	if best == nil {
		return false
	}
	c.holdDecode(f, best)
	return true
}

func (c *Core) firstToken(ev FirstToken) {
	f := c.flights[ev.ID]
	if f == nil || f.stage != transferring || ev.Attempt != f.decodeAttempt {
		return
	}
	f.stage, f.began = streaming, c.now
	f.unplan()
	c.endSelfRead(f)
	if f.prefill != nil {
		alone := transferTime(f.pool, f, f.prefill, f.decode)
		took := c.now.Sub(f.stageStart)
		f.pool.surprise.sent(took-f.pool.beginTime(f.decode.stepTime()), alone)
		f.timing.Begin = max(0, took-alone)
	}
	f.firstTokens = ev.Tokens
	f.prefillAttempt = 0 // The decode engine has taken the KV cache.
	f.stageDeadline = time.Time{}
	c.succeeded(f.decode)
}

func (c *Core) done(ev Done) {
	f := c.flights[ev.ID]
	if f == nil || ev.Attempt != f.decodeAttempt || f.decodeAttempt == 0 {
		return
	}
	c.succeeded(f.decode)
	f.timing.Step, f.timing.Streams = f.stepOf(c.now, ev.Output), f.decode.running()
	c.learn(f.pool, f.timing)
	c.emit(Took{f.ID, f.timing})
	f.decodeAttempt, f.prefillAttempt = 0, 0
	c.forget(f)
	c.drainQueue(f.pool)
}
