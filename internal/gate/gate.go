// Package gate counts requests in and out, so that a planned stop waits for exactly those
// that started.
package gate

import (
	"context"
	"sync"
	"sync/atomic"
)

// Gate lets requests in until it is shut. The zero value is open.
type Gate struct {
	// mu orders the start of requests against the start of a drain.
	mu      sync.RWMutex
	shut    bool
	active  sync.WaitGroup
	running atomic.Int64
}

// Enter counts a request in, unless the gate is shut.
func (g *Gate) Enter() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if g.shut {
		return false
	}
	g.active.Add(1)
	g.running.Add(1)
	return true
}

// Leave counts a request out.
func (g *Gate) Leave() {
	g.running.Add(-1)
	g.active.Done()
}

// Running is the number of requests inside.
func (g *Gate) Running() int64 { return g.running.Load() }

// Open says whether requests are let in.
func (g *Gate) Open() bool {
	g.mu.RLock()
	defer g.mu.RUnlock()
	return !g.shut
}

// Drain shuts the gate and waits until the last request is out and rest, which waits for
// what requests leave behind, is done.
func (g *Gate) Drain(ctx context.Context, rest func()) error {
	g.mu.Lock()
	g.shut = true
	g.mu.Unlock()
	done := make(chan struct{})
	go func() {
		g.active.Wait()
		rest()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
