package gate

import "testing"

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
