package box

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// stopPlan divides the time of a graceful stop among three phases. They are finishing requests, writing the last
// records and closing the listeners. The platform kills the process when the total time is over.
type stopPlan struct {
	// deadline is when the stop must have ended. It is nil until the stop begins.
	deadline atomic.Pointer[time.Time]
}

const (
	// finalFlushTimeout bounds writing the last decision records. It is short because the platform is about to
	// kill the process.
	finalFlushTimeout = 400 * time.Millisecond
	// minClosing is the least time that is left for closing the listeners and sending the ends of the last answers.
	// maxClosing is the most time for this. A connection that never sent a request would otherwise delay closing.
	minClosing = 300 * time.Millisecond
	maxClosing = 2 * time.Second
	// minAnswering is the time that is left for telling the callers of requests that still run that these may have run.
	minAnswering = 150 * time.Millisecond
	// finalPhasesShare is a share of a stop's total time. At most this share is kept for the last two phases.
	finalPhasesShare = 0.25
)

// begin starts a planned stop, for which the settings allow the duration total. It returns the time by which running
// requests must have ended.
func (p *stopPlan) begin(now time.Time, total time.Duration) (requests time.Time) {
	deadline := now.Add(total)
	p.deadline.Store(&deadline)
	return deadline.Add(-min(finalFlushTimeout+minClosing, time.Duration(finalPhasesShare*float64(total))))
}

// answerDeadline returns when the answers of the requests that still run must begin to be sent.
func (p *stopPlan) answerDeadline() time.Time { return p.deadline.Load().Add(-minAnswering) }

// closeDeadline returns a deadline for listeners that start to close now.
func (p *stopPlan) closeDeadline(now time.Time) time.Time {
	closing := maxClosing
	if deadline := p.deadline.Load(); deadline != nil {
		closing = max(minClosing, min(closing, deadline.Sub(now)))
	}
	return now.Add(closing)
}

// plannedServer is a server that closes its listener by the deadline of the stop plan.
type plannedServer struct {
	kratosServer
	plan *stopPlan
}

// Stop ends the connections that are still in use at the deadline. An answer on them is then visibly broken off.
func (s plannedServer) Stop(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, s.plan.closeDeadline(time.Now()))
	defer cancel()
	err := s.kratosServer.Stop(ctx)
	if c, ok := s.kratosServer.(io.Closer); ok && err != nil {
		return errors.Join(err, c.Close())
	}
	return err
}
