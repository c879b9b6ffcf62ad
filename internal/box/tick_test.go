package box

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/gate"
)

// tickCounter counts calls of Tick. Its gate counts the running requests.
type tickCounter struct {
	gate.Gate
	n atomic.Int64
}

func (c *tickCounter) Tick(time.Duration) { c.n.Add(1) }

// stuckTicker blocks in its first tick for longer than minLoggedStall, as if the process had stalled.
type stuckTicker struct{ tickCounter }

func (c *stuckTicker) Tick(late time.Duration) {
	c.tickCounter.Tick(late)
	if c.n.Load() == 1 {
		time.Sleep(minLoggedStall + 100*time.Millisecond)
	}
}

// A stall of the process is reported. A box that got no CPU time believes that its callers and engines were silent.
// Without the report, the log would not show that the box itself had stalled.
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

// The box must not be woken by ticks while no request runs. Waking every 20 ms, and twice more every 100 ms, cost 540
// system calls a second. Without it there were 190 (counted over 8 s each, with 10,000 endpoints). The box ticks while
// requests run, and starts to tick again with the next request.
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
		for quiet := c.n.Load(); ; quiet = c.n.Load() { // A tick that was under way when the request ended may still be counted.
			time.Sleep(100 * time.Millisecond)
			if c.n.Load() == quiet {
				break
			}
		}
	}
	cancel()
	<-ended
}
