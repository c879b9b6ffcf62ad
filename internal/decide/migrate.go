package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file migrates running streams from decode engines that will run out of memory, or that leave, to other
// decode engines. An engine that runs out of memory preempts its newest stream: the stream's prompt is
// prefilled again while the caller waits. Migrating the stream's KV cache takes only milliseconds.

// Migrate moves a running stream to another decode engine.
type Migrate struct {
	ID ID
	// Attempt is the number of the call that continues the stream on the engine To.
	Attempt Attempt
	From    string
	To      string
	// Leaving reports that the engine From leaves. Otherwise it is about to run out of memory.
	Leaving bool
}

// Migrated reports the end of a migration. From now on the stream has the attempt number of the Migrate.
type Migrated struct {
	ID      ID
	Attempt Attempt
	// Aborted reports that the migration was aborted and the stream continues on its old engine.
	Aborted bool
}

// MigrateFailed reports that the stream was not migrated. Its call continues with the old attempt number.
type MigrateFailed struct {
	ID      ID
	Attempt Attempt
}

func (Migrate) action()      {}
func (Migrated) event()      {}
func (MigrateFailed) event() {}

const (
	// migrateInterval is the time between two searches for streams to migrate.
	migrateInterval = 60 * time.Millisecond
	// migrateHorizonIndex is the index in forecastHorizons of the time up to which an engine must have enough
	// memory. Its memory must suffice for migrateSigma standard deviations more than the expected use then.
	migrateHorizonIndex = 1
	migrateSigma        = 0.5
	// migrationCooldown is how long a stream is not migrated again after a migration ended or failed.
	migrationCooldown = 1500 * time.Millisecond
	// minRemainingShare is how many tokens a stream must still be expected to generate to be migrated, as a
	// fraction of a mean answer.
	minRemainingShare = 0.12
	// crossHallReserve is how much more free memory a decode engine in another data hall must have to be
	// preferred to one in the same hall, as a fraction of its memory. Migrations between halls take twice as long.
	crossHallReserve = 0.1
	// maxTargetReportAge is how old the last report of an engine may be that a stream is migrated to.
	maxTargetReportAge = 2 * time.Second
	// sameStartTolerance is the largest difference between two observed start times that may belong to the same
	// stream.
	sameStartTolerance = 120 * time.Millisecond
)

// migrateStreams starts migrations of those streams of this box that shouldMigrate selects.
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

// shouldMigrate reports whether a stream should be migrated. Either its engine leaves, or its engine will
// run out of memory and would then preempt this stream, its newest. Streams on an evacuated engine that
// keeps running are not migrated: if the migration were aborted, they would have to continue in the hall that
// is being evacuated.
func (c *Core) shouldMigrate(p *pool, f *flight) bool {
	if f.decode.Evacuated && !f.decode.Leaving {
		return false
	}
	if float64(f.outputLeft(c.now)) < minRemainingShare*p.meanOutput {
		return false
	}
	return f.decode.Leaving || f.decode.willOverflow(p, c.now) && f.decode.isNewest(f)
}

// willOverflow reports whether the engine is expected to be out of memory at the horizon migrateHorizonIndex.
func (e *engine) willOverflow(p *pool, now time.Time) bool {
	if e.lacksForecast(now) || len(e.report.Runs) < 2 || p.meanOutput <= 0 {
		return false
	}
	forecast := e.forecastMemory(p, now)
	return forecast.mean[migrateHorizonIndex]+migrateSigma*math.Sqrt(forecast.variance[migrateHorizonIndex]) > float64(e.KVTokens)
}

// isNewest reports whether no stream is known that began on the engine after this one.
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
	return n / 4 // The answer is longer than expected, and so is likely to go on for long.
}

// startMigration migrates a stream to the engine that is forecast to have the largest free share of memory. If
// no engine can take the stream or no retry is left, it does nothing.
func (c *Core) startMigration(p *pool, f *flight) {
	remaining := &flight{Request: f.Request, pool: p}
	remaining.PromptTokens += f.outputSoFar(c.now)
	remaining.MaxTokens = min(f.MaxTokens, f.outputLeft(c.now))
	remaining.ExpectedTokens, remaining.MaxEngines, remaining.Policy = remaining.MaxTokens, 0, nil
	var excluded Exclusions
	c.findDecodeOptions(p, remaining, c.now, &excluded)
	var destination *engine
	mostFree := 0.0
	for _, option := range c.decodeOptions {
		// An engine that does not answer its load probes would look better with time: its last reported streams
		// are forecast to end.
		if option.e == f.decode || option.e.statsUnreliable() || option.e.report.Queued > 0 || option.e.lacksForecast(c.now) || option.e.reportAge(c.now) > maxTargetReportAge {
			continue
		}
		free := 1 - option.e.forecastMemory(p, c.now).mean[migrateHorizonIndex]/float64(option.e.KVTokens)
		if option.e.Hall != f.decode.Hall {
			free -= crossHallReserve
		}
		if destination == nil || free > mostFree {
			destination, mostFree = option.e, free
		}
	}
	if destination == nil || !c.budget.Take(c.now, 1) {
		f.noMigrateBefore = c.now.Add(migrateInterval)
		return
	}
	f.migrateTarget, f.targetReservedKV, f.retryTakenAt = destination, remaining.kvNeed(), c.now
	f.migrateAttempt = f.newAttempt()
	c.noteSent(destination)
	destination.reserveDecode(c.now, f.ID, reservation{f.targetReservedKV, remaining.PromptTokens, 0, remaining.expectedOutput()}, f.streamWeight())
	c.emit(Migrate{f.ID, f.migrateAttempt, f.decode.Name, destination.Name, f.decode.Leaving})
}

// newAttempt returns an attempt number that no call or migration of the request has had.
func (f *flight) newAttempt() Attempt { return max(f.attempt, f.migrateAttempt) + 1 }

// releaseTarget releases the memory reserved on the engine that the stream was to be migrated to.
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
	// No call was made, so the retry is given back: the stream may need it if its connection is lost.
	c.budget.Return(f.retryTakenAt, 1)
}
