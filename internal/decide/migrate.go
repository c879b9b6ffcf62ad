package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file moves streams that are being written off decode engines that will run out of
// memory or leave. An engine that runs out displaces its newest stream: the prompt is read
// again while the caller waits. Moving what that stream has in memory takes milliseconds.

// Migrate moves a stream that is being written to another decode engine.
type Migrate struct {
	ID ID
	// Attempt is the call that is to go on with it.
	Attempt Attempt
	From    string
	To      string
	// Leaving says that the engine leaves; otherwise it will run out of memory.
	Leaving bool
}

// Migrated says that the stream goes on under the attempt of a Migrate.
type Migrated struct {
	ID      ID
	Attempt Attempt
	// Stayed says that it goes on where it was.
	Stayed bool
}

// MigrateFailed says that the stream was not moved.
type MigrateFailed struct {
	ID      ID
	Attempt Attempt
}

func (Migrate) action()      {}
func (Migrated) event()      {}
func (MigrateFailed) event() {}

const (
	// migrateEvery paces the looks at engines' outlooks.
	migrateEvery = 60 * time.Millisecond
	// migrateHorizon is the horizon by which an engine must not be full, and migrateSigma how
	// many standard deviations above the expected use must fit until then.
	migrateHorizon = 1
	migrateSigma   = 0.5
	// migratePause keeps a stream where it is after it was moved, or could not be.
	migratePause = 1500 * time.Millisecond
	// leastLeft is what a stream must be expected to make yet to be worth moving, as a part of
	// a mean answer.
	leastLeft = 0.12
	// otherHall is what a decode engine in another hall must have free beyond one in the same,
	// as a part of its memory: moves between halls take twice as long.
	otherHall = 0.1
	// sureFor is how old the report of the engine that a stream is moved to may be.
	sureFor = 2 * time.Second
	// sameBegin is how far apart the beginnings of two streams may seem for one to be the other.
	sameBegin = 120 * time.Millisecond
)

// migrate looks for streams of this box to move.
func (c *Core) migrate(p *pool) {
	if !p.Migrates || c.now.Sub(p.migrateAt) < migrateEvery {
		return
	}
	p.migrateAt = c.now
	var list []*flight
	for _, f := range c.flights {
		if f.pool == p && f.stage == streaming && f.target == nil && !c.now.Before(f.stayUntil) && c.shouldMove(p, f) {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b *flight) int { return cmp.Compare(a.ID, b.ID) })
	for _, f := range list {
		c.move(p, f)
	}
}

// shouldMove says whether a stream is better off elsewhere: its engine leaves, or will run
// out of memory and displace this stream, the newest. One that stays in an evacuated hall does
// not move: it might have to be sent back there.
func (c *Core) shouldMove(p *pool, f *flight) bool {
	if f.decode.Closed && !f.decode.Leaving {
		return false
	}
	if float64(f.left(c.now)) < leastLeft*p.meanOutput {
		return false
	}
	return f.decode.Leaving || f.decode.crowded(p, c.now) && f.decode.newest(f)
}

// crowded says that the engine is expected to run out of memory soon.
func (e *engine) crowded(p *pool, now time.Time) bool {
	if e.unforeseen(now) || len(e.report.Runs) < 2 || p.meanOutput <= 0 {
		return false
	}
	o := e.foresee(p, now)
	return o.mean[migrateHorizon]+migrateSigma*math.Sqrt(o.variance[migrateHorizon]) > float64(e.KVTokens)
}

// newest says whether no stream at the engine is known to be newer.
func (e *engine) newest(f *flight) bool {
	step := e.stepTime()
	for _, r := range e.report.Runs {
		if e.report.At.Add(-time.Duration(r.Made) * step).After(f.began.Add(sameBegin)) {
			return false
		}
	}
	for _, w := range e.sent {
		if w.id != f.ID && w.kv > 0 && w.at.After(f.began) {
			return false
		}
	}
	return true
}

// made is how many tokens of its answer the stream has, by its time.
func (f *flight) made(now time.Time) int {
	return int(now.Sub(f.began) / max(time.Microsecond, f.decode.stepTime()))
}

// left is how many tokens it is expected to make yet.
func (f *flight) left(now time.Time) int {
	made, n := f.made(now), f.expected()
	if made < n {
		return n - made
	}
	return n / 4 // Longer than was guessed, and so perhaps much longer.
}

// move sends a stream to the engine that has most room for it, if there is one.
func (c *Core) move(p *pool, f *flight) {
	rest := &flight{Request: f.Request, pool: p}
	rest.PromptTokens += f.made(c.now)
	rest.MaxTokens = min(f.MaxTokens, f.left(c.now))
	rest.ExpectTokens, rest.MaxEngines, rest.Policy = rest.MaxTokens, 0, nil
	var passed PassedOver
	c.findWriters(p, rest, c.now, &passed)
	var to *engine
	most := 0.0
	for _, w := range c.writers {
		// One that fell silent seems to become empty.
		if w.e == f.decode || w.e.silent() || w.e.report.Queued > 0 || w.e.unforeseen(c.now) || w.e.reportAge(c.now) > sureFor {
			continue
		}
		free := 1 - w.e.foresee(p, c.now).mean[migrateHorizon]/float64(w.e.KVTokens)
		if w.e.Hall != f.decode.Hall {
			free -= otherHall
		}
		if to == nil || free > most {
			to, most = w.e, free
		}
	}
	if to == nil || !c.budget.Take(c.now, 1) {
		f.stayUntil = c.now.Add(migrateEvery)
		return
	}
	f.target, f.targetHeld, f.moveAt = to, rest.need(), c.now
	f.moveAttempt = f.newAttempt()
	c.sentTo(to)
	to.addDecode(c.now, f.ID, booking{f.targetHeld, rest.PromptTokens, 0, rest.expected()}, f.weight())
	c.emit(Migrate{f.ID, f.moveAttempt, f.decode.Name, to.Name, f.decode.Leaving})
}

// newAttempt is the number of the next call; no call had it before.
func (f *flight) newAttempt() Attempt { return max(f.attempt, f.moveAttempt) + 1 }

// releaseTarget gives the memory back that was booked for a move.
func (c *Core) releaseTarget(f *flight) {
	if f.target != nil {
		f.target.dropDecode(f.ID, f.targetHeld, f.weight())
		f.target, f.targetHeld = nil, 0
	}
}

func (c *Core) migrated(ev Migrated) {
	f := c.flights[ev.ID]
	if f == nil || f.target == nil || ev.Attempt != f.moveAttempt {
		return
	}
	f.stayUntil = c.now.Add(migratePause)
	f.attempt, f.decodeAttempt = ev.Attempt, ev.Attempt
	if ev.Stayed {
		c.releaseTarget(f)
		return
	}
	f.decode.dropDecode(f.ID, f.held, f.weight())
	f.wasMoved = true
	f.decode, f.held = f.target, f.targetHeld
	f.target, f.targetHeld = nil, 0
	c.succeeded(f.decode)
	c.drainQueue(f.pool)
}

func (c *Core) migrateFailed(ev MigrateFailed) {
	f := c.flights[ev.ID]
	if f == nil || f.target == nil || ev.Attempt != f.moveAttempt {
		return
	}
	f.stayUntil = c.now.Add(migratePause)
	c.releaseTarget(f)
	// No call was made. A stream that breaks may need it to go on elsewhere.
	c.budget.Return(f.moveAt, 1)
}
