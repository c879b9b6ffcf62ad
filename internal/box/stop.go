package box

import (
	"context"
	"sync/atomic"
	"time"
)

// stopPlan divides the time of a graceful stop among its phases, since the platform kills the process when the total is over.
type stopPlan struct {
	// deadline is when the stop must have ended; nil before it begins.
	deadline atomic.Pointer[time.Time]
}

const (
	// finalFlushTimeout bounds writing the last records: the platform is about to kill the process.
	finalFlushTimeout = 400 * time.Millisecond
	// minClosing is the least time for closing the listeners and for sending the ends of the last answers.
	// maxClosing is the longest: a connection that never sent a request delays closing.
	minClosing = 300 * time.Millisecond
	maxClosing = 2 * time.Second
	// finalPhasesShare bounds the share of a short stop that is kept for these two phases.
	finalPhasesShare = 0.25
)

// begin starts a stop with a total duration, and returns the deadline of its requests.
func (p *stopPlan) begin(now time.Time, total time.Duration) (requests time.Time) {
	deadline := now.Add(total)
	p.deadline.Store(&deadline)
	return deadline.Add(-min(finalFlushTimeout+minClosing, time.Duration(finalPhasesShare*float64(total))))
}

// closeDeadline is when listeners that start closing now must be closed.
func (p *stopPlan) closeDeadline(now time.Time) time.Time {
	left := maxClosing
	if deadline := p.deadline.Load(); deadline != nil {
		left = max(minClosing, min(left, deadline.Sub(now)))
	}
	return now.Add(left)
}

// plannedServer closes its listener by the plan's deadline.
type plannedServer struct {
	kratosServer
	plan *stopPlan
}

func (s plannedServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.plan.closeDeadline(time.Now()))
	defer cancel()
	return s.kratosServer.Stop(ctx)
}
