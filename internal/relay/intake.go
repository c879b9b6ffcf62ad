package relay

import (
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/intake"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file decides, with package intake, which new connections of callers this box reads.

const (
	// distortingDelay is the delay of this box from which on its own measurements say more about itself than about endpoints.
	distortingDelay = 20 * time.Millisecond
	// fullMemoryShare is the share of the memory for requests from which on the box reads no more than it must.
	fullMemoryShare = 0.85
)

// Delays returns the estimates of how much this box itself delays what it sends and receives.
func (r *Relay) Delays() *intake.Delays { return &r.delays }

// recentOwnDelay returns the own delay of this box at the last check, which is at most intakeInterval ago while it has
// requests. Computing it for each call would cost some microseconds.
func (r *Relay) recentOwnDelay() time.Duration { return time.Duration(r.ownDelay.Load()) }

// delaysOthers reports whether this box's link or processor delays what it measures of endpoints.
func (r *Relay) delaysOthers() bool { return r.recentOwnDelay() > distortingDelay }

// admitCaller reports whether a new connection of a caller is read.
func (r *Relay) admitCaller() bool {
	now := clock.Now()
	ok := r.callerGate.Admit(now)
	if ok {
		r.m.ReadConns.Inc()
	} else {
		r.m.UnreadConns.Inc()
		r.stepIntake(now)
	}
	return ok
}

// isMemoryFull reports whether little memory is left for requests.
func (r *Relay) isMemoryFull() bool {
	limit := r.memory.limit
	return limit > 0 && float64(r.ReservedBytes()) > fullMemoryShare*float64(limit)
}

// compareIntake compares the connections offered to this box with those of the other boxes of its region.
func (r *Relay) compareIntake(now time.Time, own float64) intake.Comparison {
	boxes, _ := r.boxes(r.o.Region)
	return r.callerShares.Compare(now, r.o.Box, own, boxes)
}

// stepIntake adapts the bound on new connections, and publishes how many this box gets. A box that stops has no bound: it
// takes no part in the comparison any more.
func (r *Relay) stepIntake(now time.Time) {
	last := r.intakeSteppedAt.Load()
	if now.UnixNano()-last < int64(intakeInterval) || !r.intakeSteppedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	offered := r.callerGate.State(now).Offered
	if r.callerShares.Due(now, offered) {
		r.publish(overlay.Message{At: now, CallerLoad: &overlay.CallerLoad{PerSecond: offered}})
	}
	c := r.compareIntake(now, offered)
	link, processor := r.delays.Link(now), r.delays.Processor(now)
	r.ownDelay.Store(int64(max(link, processor)))
	if !r.callerGate.Step(now, max(link, processor), r.isMemoryFull(), c.Hot && !r.stop.planned()) {
		return
	}
	s := r.callerGate.State(now)
	what := "new connections are read without a bound again"
	if s.Limit > 0 {
		what = "new connections beyond a bound are closed unread"
	}
	r.o.Recorder.Log.StateChange(what, zap.Float64("offered_per_s", s.Offered), zap.Float64("read_per_s", s.Read), zap.Float64("limit_per_s", s.Limit),
		zap.Float64("mean_per_s", c.Mean), zap.Duration("link_delay", link), zap.Duration("processor_delay", processor), zap.Bool("memory_full", r.isMemoryFull()))
}

// intakeInterval is the time between two checks of what this box gets.
const intakeInterval = 100 * time.Millisecond

// Intake is what this box gets from callers beside the other boxes, for display.
type Intake struct {
	intake.State
	intake.Comparison
	Link, Processor time.Duration
	Unread          uint64
}

// Intake returns what this box gets from callers.
func (r *Relay) Intake() Intake {
	now := clock.Now()
	s := r.callerGate.State(now)
	return Intake{
		State: s, Comparison: r.compareIntake(now, s.Offered), Link: r.delays.Link(now), Processor: r.delays.Processor(now), Unread: r.m.UnreadConns.Get(),
	}
}

// forgetCallerShares removes what boxes published that are not listed any more.
func (r *Relay) forgetCallerShares() {
	boxes, _ := r.boxes(r.o.Region)
	r.callerShares.Forget(boxes)
}
