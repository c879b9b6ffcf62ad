package box

import (
	"context"
	"sync/atomic"
	"time"
)

// stopPlan divides the time of a planned stop: whoever ends the process after its grace does not know of parts.
type stopPlan struct {
	// by is when the stop is to have ended; nil before it begins.
	by atomic.Pointer[time.Time]
}

const (
	// lastWrite bounds writing the last records: the platform is about to end the process.
	lastWrite = 400 * time.Millisecond
	// leastClosing is the least time for closing the listeners, and for the ends of the last answers to leave.
	// mostClosing is the longest: a connection that never sent a request holds it up.
	leastClosing = 300 * time.Millisecond
	mostClosing  = 2 * time.Second
	// lastParts bounds the part of a stop that is kept for these two, where the whole is short.
	lastParts = 0.25
)

// begin starts a stop that may take a time, and returns when its requests must have ended.
func (p *stopPlan) begin(now time.Time, total time.Duration) (requests time.Time) {
	by := now.Add(total)
	p.by.Store(&by)
	return by.Add(-min(lastWrite+leastClosing, time.Duration(lastParts*float64(total))))
}

// closeBy is when listeners that are closed from now on must be closed.
func (p *stopPlan) closeBy(now time.Time) time.Time {
	left := mostClosing
	if by := p.by.Load(); by != nil {
		left = max(leastClosing, min(left, by.Sub(now)))
	}
	return now.Add(left)
}

// plannedServer closes its listener within the time of a plan.
type plannedServer struct {
	kratosServer
	plan *stopPlan
}

func (s plannedServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.plan.closeBy(time.Now()))
	defer cancel()
	return s.kratosServer.Stop(ctx)
}
