package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file migrates running streams to other decode engines. A stream is migrated if its decode engine will run out of
// memory, or if the engine leaves. An engine that runs out of memory preempts its newest stream: the stream's prompt is
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

// Migrated reports that a migration is over. From now on the stream has the attempt number of the Migrate action.
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
	// migrateHorizonIndex is an index in forecastHorizons. At that horizon, the memory of an engine must still be
	// enough for the expected use plus migrateSigma standard deviations. Otherwise streams are migrated.
	migrateHorizonIndex = 1
	migrateSigma        = 0.5
	// migrationCooldown is for how long a stream is not migrated again after a migration succeeded, was aborted or
	// failed.
	migrationCooldown = 1500 * time.Millisecond
	// minRemainingShare is the least part of an answer for which a migration is worthwhile. The stream must be
	// expected to generate at least this fraction of a mean answer from now on.
	minRemainingShare = 0.12
	// crossHallReserve is how much more free memory a decode engine in another data hall must have than an engine
	// in the same hall to be preferred. It is a fraction of the engine's memory. Migrations between halls take
	// twice as long.
	crossHallReserve = 0.1
	// maxTargetReportAge is the greatest age of the last report of an engine to which a stream is migrated.
	maxTargetReportAge = 2 * time.Second
	// sameStartTolerance allows for errors when the times at which two streams started are compared. Two observed
	// times that differ by no more than this can belong to the same stream.
	sameStartTolerance = 120 * time.Millisecond
)

// migrateStreams looks for streams of this box that should be migrated (see shouldMigrate), and starts their
// migrations. It does so at most once per migrateInterval.
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

// shouldMigrate reports whether a stream should be migrated. There are two reasons: the stream's engine leaves, or the
// engine will run out of memory and would then preempt this stream, its newest. A stream that is nearly done is not
// migrated. Streams on an evacuated engine that keeps running are not migrated either. If such a migration were
// aborted, the stream would have to continue in the hall that is being evacuated. A stream stays while its engine asks for
// a pause: if the migration were aborted, the engine could turn away the call by which the stream goes on there.
func (c *Core) shouldMigrate(p *pool, f *flight) bool {
	if c.isPaused(f.decode) {
		return false
	}
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

// isNewest reports whether the stream is the newest on its engine, as far as this box knows.
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
	return n / 4 // The answer is already longer than expected, so it will probably go on for long.
}

// startMigration starts to migrate a stream to the engine that is forecast to have the largest free fraction of its
// memory. It takes a retry from the budget. If no engine can take the stream or no retry is left, the stream stays, and
// is not considered again for migrateInterval.
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
		// Streams are not migrated to an engine that does not answer its load probes. Its last reported streams
		// are forecast to end, so the engine would seem to become emptier.
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
	if destination == nil || !c.budget.TakeSpare(c.now, 1) {
		f.noMigrateBefore = c.now.Add(migrateInterval)
		return
	}
	f.migrateTarget, f.targetReservedKV, f.retryTakenAt = destination, remaining.kvNeed(), c.now
	f.migrateAttempt = f.newAttempt()
	c.noteSent(destination)
	destination.reserveDecode(c.now, f.ID, reservation{f.targetReservedKV, remaining.PromptTokens, 0, remaining.expectedOutput()}, f.streamWeight())
	c.emit(Migrate{f.ID, f.migrateAttempt, f.decode.Name, destination.Name, f.decode.Leaving})
}

// newAttempt returns an attempt number that no call and no migration of the request has had.
func (f *flight) newAttempt() Attempt { return max(f.attempt, f.migrateAttempt) + 1 }

// releaseTarget releases the memory that is reserved on the target engine of a migration.
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
	// No call was made, so the retry is given back. The stream may need that retry if its connection is lost.
	c.budget.Return(f.retryTakenAt, 1)
}
