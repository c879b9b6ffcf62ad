package box

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/gate"
)

// tickCount counts the ticks of what has requests behind a gate.
type tickCount struct {
	gate.Gate
	n atomic.Int64
}

func (c *tickCount) Tick() { c.n.Add(1) }

// stuckCount has the process stand still in its first tick.
type stuckCount struct{ tickCount }

func (c *stuckCount) Tick() {
	c.tickCount.Tick()
	if c.n.Load() == 1 {
		time.Sleep(stallLogged + 100*time.Millisecond)
	}
}

// A box that had no processor for a while took its callers and engines for silent, and nothing in its log
// told the two apart.
func TestStallIsReported(t *testing.T) {
	c := &stuckCount{}
	ctx, cancel := context.WithCancel(context.Background())
	c.Enter()
	stalls := make(chan time.Duration, 100)
	go tick(ctx, c, func(d time.Duration) { stalls <- d })
	if d := <-stalls; d < stallLogged {
		t.Errorf("expected a stall of %s or more, got %s", stallLogged, d)
	}
	cancel()
}

// An idle box was woken each 20 ms to find that no request runs, and each 100 ms twice more: it made 540
// system calls a second, and 190 without (counted over 8 s each, before 10,000 endpoints). It ticks while
// requests run, and again with the next one.
func TestTicksWhileBusy(t *testing.T) {
	c := &tickCount{}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		tick(ctx, c, func(time.Duration) {})
		close(ended)
	}()
	for range 3 {
		c.Enter()
		before := c.n.Load()
		for c.n.Load() < before+3 {
			time.Sleep(time.Millisecond)
		}
		c.Leave()
		for quiet := c.n.Load(); ; quiet = c.n.Load() { // One that was under way may still come.
			time.Sleep(100 * time.Millisecond)
			if c.n.Load() == quiet {
				break
			}
		}
	}
	cancel()
	<-ended
}
