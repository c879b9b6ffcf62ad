package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file migrates running streams off decode engines that will run out of memory or
// leave. An engine that runs out of memory preempts its newest stream, whose prompt is
// prefilled again while the caller waits. Migrating its KV cache instead takes milliseconds.

// Migrate moves a running stream to another decode engine.
type Migrate struct {
	ID ID
	// Attempt is the call that continues the stream.
	Attempt Attempt
	From    string
	To      string
	// Leaving reports that the engine leaves; otherwise it will run out of memory.
	Leaving bool
}

// Migrated reports that the stream continues under the attempt of a Migrate.
type Migrated struct {
	ID      ID
	Attempt Attempt
	// Aborted reports that the migration was aborted and the stream resumed on its engine.
	Aborted bool
}

// MigrateFailed reports that the stream was not migrated and its call continues.
type MigrateFailed struct {
	ID      ID
	Attempt Attempt
}

func (Migrate) action()      {}
func (Migrated) event()      {}
func (MigrateFailed) event() {}

const (
	// migrateInterval is the time between checks of the engines' memory forecasts.
	migrateInterval = 60 * time.Millisecond
	// migrateHorizonIndex is the forecast horizon until which an engine must not be full, and
	// migrateSigma how many standard deviations above the expected use must fit until then.
	migrateHorizonIndex = 1
	migrateSigma        = 0.5
	// migrationCooldown is how long a stream is not migrated again after a migration or a failed attempt.
	migrationCooldown = 1500 * time.Millisecond
	// minRemainingShare is how much a stream must be expected to generate yet to be worth
	// migrating, as a fraction of a mean answer.
	minRemainingShare = 0.12
	// crossHallReserve is what a decode engine in another hall must have free beyond one in the
	// same hall, as a fraction of its memory: migrations between halls take twice as long.
	crossHallReserve = 0.1
	// maxTargetReportAge is how old the report of the target engine may be.
	maxTargetReportAge = 2 * time.Second
	// sameStartTolerance is how far apart the observed starts of two streams may be if they are the same.
	sameStartTolerance = 120 * time.Millisecond
)

// migrateStreams starts migrations of this box's streams.
func (c *Core) migrateStreams(p *pool) {
	if !p.Migrates || c.now.Sub(p.lastMigrateCheck) < migrateInterval {
		return
	}
	p.lastMigrateCheck = c.now
	var list []*flight
	for _, f := range c.flights {
		if f.pool == p && f.stage == streaming && f.migrateTarget == nil && !c.now.Before(f.noMigrateBefore) && c.shouldMigrate(p, f) {
			list = append(list, f)
		}
	}
	slices.SortFunc(list, func(a, b *flight) int { return cmp.Compare(a.ID, b.ID) })
	for _, f := range list {
		c.startMigration(p, f)
	}
}

// shouldMigrate reports whether a stream is better off elsewhere: its engine leaves, or will
// run out of memory and preempt this stream, its newest. Streams in an evacuated hall are not
// migrated while their engine keeps running: an aborted migration might have to send them back there.
func (c *Core) shouldMigrate(p *pool, f *flight) bool {
	if f.decode.Evacuated && !f.decode.Leaving {
		return false
	}
	if float64(f.outputLeft(c.now)) < minRemainingShare*p.meanOutput {
		return false
	}
	return f.decode.Leaving || f.decode.willOverflow(p, c.now) && f.decode.isNewest(f)
}

// willOverflow reports whether the engine is expected to run out of memory soon.
func (e *engine) willOverflow(p *pool, now time.Time) bool {
	if e.lacksForecast(now) || len(e.report.Runs) < 2 || p.meanOutput <= 0 {
		return false
	}
	o := e.forecastMemory(p, now)
	return o.mean[migrateHorizonIndex]+migrateSigma*math.Sqrt(o.variance[migrateHorizonIndex]) > float64(e.KVTokens)
}

// isNewest reports whether no stream on the engine is known to be newer.
func (e *engine) isNewest(f *flight) bool {
	step := e.stepTime()
	for _, r := range e.report.Runs {
		if e.report.At.Add(-time.Duration(r.Output) * step).After(f.streamStart.Add(sameStartTolerance)) {
			return false
		}
	}
	for _, w := range e.placements {
		if w.id != f.ID && w.kv > 0 && w.at.After(f.streamStart) {
			return false
		}
	}
	return true
}

// outputSoFar estimates how many tokens of its answer the stream has generated.
func (f *flight) outputSoFar(now time.Time) int {
	return int(now.Sub(f.streamStart) / max(time.Microsecond, f.decode.stepTime()))
}

// outputLeft estimates how many tokens the stream will still generate.
func (f *flight) outputLeft(now time.Time) int {
	made, n := f.outputSoFar(now), f.expectedOutput()
	if made < n {
		return n - made
	}
	return n / 4 // Longer than expected, and so perhaps much longer.
}

// startMigration migrates a stream to the engine with the most free memory, if there is one.
func (c *Core) startMigration(p *pool, f *flight) {
	remaining := &flight{Request: f.Request, pool: p}
	remaining.PromptTokens += f.outputSoFar(c.now)
	remaining.MaxTokens = min(f.MaxTokens, f.outputLeft(c.now))
	remaining.ExpectedTokens, remaining.MaxEngines, remaining.Policy = remaining.MaxTokens, 0, nil
	var excluded Exclusions
	c.findDecodeOptions(p, remaining, c.now, &excluded)
	var to *engine
	mostFree := 0.0
	for _, option := range c.decodeOptions {
		// The forecast of an unresponsive engine shows its streams ending and its memory becoming free.
		if option.e == f.decode || option.e.statsUnreliable() || option.e.report.Queued > 0 || option.e.lacksForecast(c.now) || option.e.reportAge(c.now) > maxTargetReportAge {
			continue
		}
		free := 1 - option.e.forecastMemory(p, c.now).mean[migrateHorizonIndex]/float64(option.e.KVTokens)
		if option.e.Hall != f.decode.Hall {
			free -= crossHallReserve
		}
		if to == nil || free > mostFree {
			to, mostFree = option.e, free
		}
	}
	if to == nil || !c.budget.Take(c.now, 1) {
		f.noMigrateBefore = c.now.Add(migrateInterval)
		return
	}
	f.migrateTarget, f.targetReservedKV, f.retryTakenAt = to, remaining.kvNeed(), c.now
	f.migrateAttempt = f.newAttempt()
	c.noteSent(to)
	to.reserveDecode(c.now, f.ID, reservation{f.targetReservedKV, remaining.PromptTokens, 0, remaining.expectedOutput()}, f.streamWeight())
	c.emit(Migrate{f.ID, f.migrateAttempt, f.decode.Name, to.Name, f.decode.Leaving})
}

// newAttempt returns an attempt number that no earlier call of the request had.
func (f *flight) newAttempt() Attempt { return max(f.attempt, f.migrateAttempt) + 1 }

// releaseTarget releases the memory reserved for a migration.
func (c *Core) releaseTarget(f *flight) {
	if f.migrateTarget != nil {
		f.migrateTarget.releaseDecode(f.ID, f.targetReservedKV, f.streamWeight())
		f.migrateTarget, f.targetReservedKV = nil, 0
	}
}

func (c *Core) handleMigrated(ev Migrated) {
	f := c.flights[ev.ID]
	if f == nil || f.migrateTarget == nil || ev.Attempt != f.migrateAttempt {
		return
	}
	f.noMigrateBefore = c.now.Add(migrationCooldown)
	f.attempt, f.decodeAttempt = ev.Attempt, ev.Attempt
	if ev.Aborted {
		c.releaseTarget(f)
		return
	}
	f.decode.releaseDecode(f.ID, f.reservedKV, f.streamWeight())
	f.wasMigrated = true
	f.decode, f.reservedKV = f.migrateTarget, f.targetReservedKV
	f.migrateTarget, f.targetReservedKV = nil, 0
	c.noteSuccess(f.decode)
	c.drainQueue(f.pool)
}

func (c *Core) handleMigrateFailed(ev MigrateFailed) {
	f := c.flights[ev.ID]
	if f == nil || f.migrateTarget == nil || ev.Attempt != f.migrateAttempt {
		return
	}
	f.noMigrateBefore = c.now.Add(migrationCooldown)
	c.releaseTarget(f)
	// No call was made, and the stream may need the retry if its connection is lost.
	c.budget.Return(f.retryTakenAt, 1)
}
