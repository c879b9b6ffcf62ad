package box

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/gate"
)

// tickCounter counts the ticks of a gate that requests pass through.
type tickCounter struct {
	gate.Gate
	n atomic.Int64
}

func (c *tickCounter) Tick() { c.n.Add(1) }

// stuckTicker blocks in its first tick, as if the process had stalled.
type stuckTicker struct{ tickCounter }

func (c *stuckTicker) Tick() {
	c.tickCounter.Tick()
	if c.n.Load() == 1 {
		time.Sleep(minLoggedStall + 100*time.Millisecond)
	}
}

// A stall of the process is reported, because a box that got no CPU time takes its callers and engines for
// silent, and the log could not tell the two apart.
func TestStallIsReported(t *testing.T) {
	c := &stuckTicker{}
	ctx, cancel := context.WithCancel(context.Background())
	c.Enter()
	stalls := make(chan time.Duration, 100)
	go runTicker(ctx, c, func(d time.Duration) { stalls <- d })
	if d := <-stalls; d < minLoggedStall {
		t.Errorf("expected a stall of %s or more, got %s", minLoggedStall, d)
	}
	cancel()
}

// An idle box must not be woken by ticks: being woken every 20 ms, and twice more every 100 ms, cost 540 system
// calls a second, against 190 without (counted over 8 s each, with 10,000 endpoints). It ticks while requests
// run, and starts again with the next one.
func TestTicksWhileBusy(t *testing.T) {
	c := &tickCounter{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		runTicker(ctx, c, func(time.Duration) {})
		close(ended)
	}()
	for range 3 {
		c.Enter()
		before := c.n.Load()
		for c.n.Load() < before+3 {
			time.Sleep(time.Millisecond)
		}
		c.Leave()
		for quiet := c.n.Load(); ; quiet = c.n.Load() { // A tick that was under way may still come.
			time.Sleep(100 * time.Millisecond)
			if c.n.Load() == quiet {
				break
			}
		}
	}
	cancel()
	<-ended
}
