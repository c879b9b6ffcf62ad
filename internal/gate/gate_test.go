package gate

import (
	"context"
	"testing"
	"time"
)

// A request that enters while others are inside wakes nobody, and one that enters an empty gate all that
// wait for it.
func TestBusy(t *testing.T) {
	var g Gate
	a, b := g.Busy(), g.Busy()
	g.Enter()
	g.Enter()
	for _, c := range []<-chan struct{}{a, b} {
		if len(c) != 1 {
			t.Errorf("expected one entry, got %d", len(c))
		}
		<-c
	}
	g.Leave()
	g.Enter()
	if len(a) != 0 {
		t.Error("expected nothing while a request is inside")
	}
	g.Leave()
	g.Leave()
	g.Enter()
	if len(a) != 1 {
		t.Error("expected an entry with the next request")
	}
}

// A planned stop that waited for calls which free memory was reported as one that cuts requests off. Only
// requests count: what they leave behind at engines ends by itself.
func TestDrainTimesOut(t *testing.T) {
	never := make(chan struct{})
	defer close(never)
	drain := func(g *Gate) error {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		return g.Drain(ctx, func() { <-never })
	}
	var g Gate
	if err := drain(&g); err != nil {
		t.Errorf("expected a stop without a request to be clean, got %v", err)
	}
	var busy Gate
	busy.Enter()
	if err := drain(&busy); err == nil {
		t.Error("expected a stop with a request inside to be reported")
	}
}
