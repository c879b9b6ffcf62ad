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
	// leastClosing is the least time for closing the listeners and for sending the ends of the last answers.
	// maxClosing is the longest: a connection that never sent a request delays closing.
	leastClosing = 300 * time.Millisecond
	maxClosing   = 2 * time.Second
	// finalPhasesShare bounds the share of a short stop that is kept for these two phases.
	finalPhasesShare = 0.25
)

// begin starts a stop with a total duration, and returns the deadline of its requests.
func (p *stopPlan) begin(now time.Time, total time.Duration) (requests time.Time) {
	by := now.Add(total)
	p.deadline.Store(&by)
	return by.Add(-min(finalFlushTimeout+leastClosing, time.Duration(finalPhasesShare*float64(total))))
}

// closeDeadline is when listeners that start closing now must be closed.
func (p *stopPlan) closeDeadline(now time.Time) time.Time {
	left := maxClosing
	if by := p.deadline.Load(); by != nil {
		left = max(leastClosing, min(left, by.Sub(now)))
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
