package gate

import (
	"context"
	"testing"
	"time"
)

// If a request enters while no other runs, every channel that NotifyBusy returned must receive one value. If it enters
// while others run, none may.
func TestBusy(t *testing.T) {
	var g Gate
	a, b := g.NotifyBusy(), g.NotifyBusy()
	g.Enter()
	g.Enter()
	for _, c := range []<-chan struct{}{a, b} {
		if len(c) != 1 {
			t.Errorf("expected one signal, got %d", len(c))
		}
		<-c
	}
	g.Leave()
	g.Enter()
	if len(a) != 0 {
		t.Error("expected no signal while a request runs")
	}
	g.Leave()
	g.Leave()
	g.Enter()
	if len(a) != 1 {
		t.Error("expected a signal with the next request")
	}
}

// A planned stop may end while calls that free memory on engines are still running, since engines also free it by
// themselves. Such a stop must not report an error. It used to be reported as a stop that interrupts requests.
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
		t.Error("expected a stop with a running request to be reported")
	}
}
