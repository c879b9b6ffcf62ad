package decide

import (
	"testing"
	"time"
)

// ask is a request of another box for engine w. All requests need 9,400 tokens and have a prompt of 5,000.
func ask(stream uint64, rank int, account string, streams int, order time.Duration) Precedence {
	return Precedence{Stream: stream, Rank: rank, Account: account, Streams: streams, Order: start.Add(order), Deadline: start.Add(time.Minute)}
}

// fullOwner returns the core of the owner of engine w, which has no room left.
func fullOwner(t *testing.T) *Core {
	t.Helper()
	c := newGrantCore(start)
	if n := countGrants(c, start, 50); n < 6 {
		t.Fatalf("expected at least six grants, got %d", n)
	}
	return c
}

// freeOne frees the memory of one granted stream.
func freeOne(c *Core) {
	e := c.engines["w"]
	e.placements, e.forecast = e.placements[1:], memoryForecast{}
}

func expectGrant(t *testing.T, c *Core, after time.Duration, o Precedence, wantGranted, wantYields bool) {
	t.Helper()
	if granted, yields := c.Grant(start.Add(after), "w", streamRequest(5000), o); granted != wantGranted || yields != wantYields {
		t.Errorf("after %s: expected granted %t and yields %t, got %t and %t", after, wantGranted, wantYields, granted, yields)
	}
}

// The memory that comes free goes to the request that goes first of those that asked within the last 150 ms. Past fault: it
// went to whichever request came first.
func TestFreeMemoryGoesToRequestThatGoesFirst(t *testing.T) {
	for _, tt := range []struct {
		name          string
		first, second Precedence
	}{
		{"rank", ask(1, 0, "a", 9, time.Minute), ask(2, 1, "b", 1, 0)},
		{"load", ask(1, 0, "a", 2, time.Minute), ask(2, 0, "b", 4, 0)},
		{"weight", Precedence{Stream: 1, Account: "a", Weight: 4, Streams: 8, Deadline: start.Add(time.Minute)}, ask(2, 0, "b", 4, 0)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := fullOwner(t)
			expectGrant(t, c, 0, tt.first, false, false)
			freeOne(c)
			expectGrant(t, c, 10*time.Millisecond, tt.second, false, true)
			expectGrant(t, c, 20*time.Millisecond, tt.first, true, false)
		})
	}
}

// Guards against engines whose free memory is kept for deadlines or small differences in load: while it was, 152 to 168
// streams ran in bursts in place of 170 to 191.
func TestMemoryIsNotKeptForSmallAdvantages(t *testing.T) {
	for name, pair := range map[string][2]Precedence{
		"deadline":       {ask(1, 0, "a", 3, time.Second), ask(2, 0, "a", 2, time.Minute)},
		"other accounts": {ask(1, 0, "a", 3, time.Second), ask(2, 0, "b", 3, time.Minute)},
		"load":           {ask(1, 0, "a", 2, time.Second), ask(2, 0, "b", 3, time.Minute)},
		"less weight":    {ask(1, 0, "a", 2, time.Second), {Stream: 2, Account: "b", Weight: 4, Streams: 8, Deadline: start.Add(time.Minute)}},
	} {
		t.Run(name, func(t *testing.T) {
			c := fullOwner(t)
			expectGrant(t, c, 0, pair[0], false, false)
			freeOne(c)
			expectGrant(t, c, 10*time.Millisecond, pair[1], true, false)
		})
	}
}

// A request that goes first does not hold back others in vain: if it does not come, if it is too old, if there is room for
// both, or if the engine has no room for it anyway.
func TestMemoryIsNotKeptInVain(t *testing.T) {
	first, second := ask(1, 0, "a", 1, 0), ask(2, 1, "b", 1, 0)
	t.Run("it does not come", func(t *testing.T) {
		c := fullOwner(t)
		expectGrant(t, c, 0, first, false, false)
		freeOne(c)
		expectGrant(t, c, 10*time.Millisecond, second, false, true)
		expectGrant(t, c, 10*time.Millisecond+maxKeptFree, second, true, false)
	})
	t.Run("others come all the time", func(t *testing.T) {
		c := fullOwner(t)
		freeOne(c)
		for i := range 100 {
			after := time.Duration(i) * time.Millisecond
			c.engines["w"].denied.add(start.Add(after), &flight{Request: streamRequest(5000)}, ask(uint64(100+i), 0, "a", 1, 0))
			granted, _ := c.Grant(start.Add(after), "w", streamRequest(5000), second)
			if granted && after > deniedMemory {
				t.Errorf("expected the memory to be kept free for at most %s, got %s", deniedMemory, after)
			}
			if granted {
				return
			}
		}
		t.Error("expected a grant")
	})
	t.Run("it is too old", func(t *testing.T) {
		c := fullOwner(t)
		expectGrant(t, c, 0, first, false, false)
		freeOne(c)
		expectGrant(t, c, deniedMemory, second, true, false)
	})
	t.Run("its deadline has passed", func(t *testing.T) {
		c := fullOwner(t)
		o := first
		o.Deadline = start.Add(10 * time.Millisecond)
		expectGrant(t, c, 0, o, false, false)
		freeOne(c)
		expectGrant(t, c, 10*time.Millisecond, second, true, false)
	})
	t.Run("room for both", func(t *testing.T) {
		c := fullOwner(t)
		expectGrant(t, c, 0, first, false, false)
		freeOne(c)
		freeOne(c)
		expectGrant(t, c, 10*time.Millisecond, second, true, false)
	})
	t.Run("no room for it", func(t *testing.T) {
		c := fullOwner(t)
		if granted, _ := c.Grant(start, "w", streamRequest(40000), first); granted {
			t.Fatal("expected no room for a large request")
		}
		freeOne(c)
		expectGrant(t, c, 10*time.Millisecond, second, true, false)
	})
}

// A box of an older release sends no precedence. It is granted what the engine has room for, and holds back nobody.
func TestGrantWithoutPrecedence(t *testing.T) {
	c := fullOwner(t)
	expectGrant(t, c, 0, Precedence{}, false, false)
	expectGrant(t, c, 0, ask(1, 0, "a", 1, 0), false, false)
	freeOne(c)
	expectGrant(t, c, 10*time.Millisecond, Precedence{}, true, false)
	freeOne(c)
	expectGrant(t, c, 20*time.Millisecond, ask(1, 0, "a", 1, 0), true, false)
	if n := len(c.engines["w"].denied.list); n != 0 {
		t.Errorf("expected a granted request to be forgotten, got %d", n)
	}
}

// The list of denied requests is bounded.
func TestDeniedRequestsAreBounded(t *testing.T) {
	c := fullOwner(t)
	for i := range 10 * maxDenied {
		expectGrant(t, c, 0, ask(uint64(i+1), 0, "a", 1, 0), false, false)
	}
	if n := len(c.engines["w"].denied.list); n != maxDenied {
		t.Errorf("expected %d, got %d", maxDenied, n)
	}
}

// Many requests of a higher rank wait on other boxes and did not ask this owner lately. The owner leaves free memory to them
// for a moment. Past fault: one in twelve of the higher rank was lost at 1.3 times the capacity.
func TestHigherRankOnOtherBoxesGoesFirst(t *testing.T) {
	c := fullOwner(t)
	freeOne(c)
	c.Step(start, RemoteQueue{Waiting: 5, Accounts: []AccountQueue{{Pool: "p", Waiting: 5}}})
	lost := ask(3, 1, "b", 0, 0) // A stream that lost its connection has no load.
	expectGrant(t, c, 0, ask(2, 1, "b", 1, 0), false, true)
	expectGrant(t, c, 0, lost, true, false)
	freeOne(c)
	expectGrant(t, c, time.Millisecond, ask(4, 0, "b", 1, 0), true, false)
	freeOne(c)
	expectGrant(t, c, 2*time.Millisecond, ask(2, 1, "b", 1, 0), false, true)
	expectGrant(t, c, 2*time.Millisecond+maxKeptFree, ask(2, 1, "b", 1, 0), true, false)
}

// After an owner left its room to another request, the box still tries the engine for requests that go before the denied one.
func TestYieldingHoldsBackOnlyRequestsThatGoAfter(t *testing.T) {
	p := &pool{}
	low := &flight{Request: Request{ID: 1, Rank: 1, PromptTokens: 10}, pool: p}
	high := &flight{Request: Request{ID: 2, Rank: 0, PromptTokens: 10}, pool: p}
	var d denial
	d.addYield(start, low)
	if !d.holds(start, low) || d.holds(start, high) || d.holds(start.Add(maxKeptFree), low) {
		t.Error("expected only the request of the lower rank to be held back, for a moment")
	}
}

// BenchmarkGrantAmongDenied measures a request for room while the owner remembers as many denied requests as it can.
func BenchmarkGrantAmongDenied(b *testing.B) {
	c := newGrantCore(start)
	countGrants(c, start, 50)
	freeOne(c)
	e := c.engines["w"]
	for i := range maxDenied {
		e.denied.add(start, &flight{Request: streamRequest(5000)}, ask(uint64(i+1), 0, "a", 1, 0))
	}
	for b.Loop() {
		e.denied.keptSince = time.Time{}
		if _, yields := c.Grant(start, "w", streamRequest(5000), ask(1000, 1, "b", 1, 0)); !yields {
			b.Fatal("expected the request to yield")
		}
	}
}
