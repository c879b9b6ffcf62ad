package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newGrantCore returns the owner of one engine of 63,000 tokens that has just reported to be empty.
func newGrantCore(now time.Time) *Core {
	c := New(rand.New(rand.NewPCG(1, 1)), 10)
	c.Step(now, Fleet{
		Pools:   []Pool{{Name: "p", ForecastsMemory: true}},
		Engines: []Engine{{Name: "w", Pool: "p", Region: "r", Role: Decode, KVTokens: 63000, Slots: 24, Step: time.Millisecond}},
	})
	c.pools["p"].meanOutput = 4400
	c.Step(now, LoadReport{Engine: "w", At: now.Add(-time.Millisecond), FreeKV: 63000, Runs: []StreamLoad{}})
	return c
}

// streamRequest is a stream with a prompt of the given length that an engine is asked to take.
func streamRequest(prompt int) Request {
	return Request{PromptTokens: prompt, MaxTokens: 4000, ExpectedTokens: 4400, OutputReserve: 512}
}

// countGrants counts how many of the given number of boxes that ask at the same time are granted room.
func countGrants(c *Core, now time.Time, boxes int) (n int) {
	for range boxes {
		if c.Grant(now, "w", streamRequest(5000)) {
			n++
		}
	}
	return n
}

// Fifty boxes ask at the same time for room on an engine that reported to be empty. Only as many
// streams are granted as are expected to fit while they grow to 9,400 of 63,000 tokens. If grants
// were not booked at once, all fifty would be.
func TestGrantOnce(t *testing.T) {
	now := time.Now()
	if n := countGrants(newGrantCore(now), now, 50); n < 6 || n > 8 {
		t.Errorf("expected six to eight streams to be granted room, got %d", n)
	}
}

// A grant counts until a report of the engine includes the stream or shows that it never came.
func TestGrantEndsWithReport(t *testing.T) {
	now := time.Now()
	c := newGrantCore(now)
	first := countGrants(c, now, 50)
	if n := countGrants(c, now.Add(100*time.Millisecond), 50); n != 0 {
		t.Errorf("expected no room to be left, got room for %d", n)
	}
	later := now.Add(time.Second)
	c.Step(later, LoadReport{Engine: "w", At: later.Add(-time.Millisecond), FreeKV: 63000, Runs: []StreamLoad{}})
	if n := countGrants(c, later, 50); n != first {
		t.Errorf("expected room for %d after a report of an empty engine, got %d", first, n)
	}
}

// A box that does not know the engine grants the request.
func TestGrantForUnknownEngine(t *testing.T) {
	now := time.Now()
	if !newGrantCore(now).Grant(now, "elsewhere", streamRequest(5000)) {
		t.Error("expected a grant for an unknown engine")
	}
}

// While an engine refuses to reserve memory, no other request is granted room on it.
func TestNoGrantAfterRefusal(t *testing.T) {
	now := time.Now()
	c := newGrantCore(now)
	c.engines["w"].refusedKV, c.engines["w"].refusedKVUntil = 6000, now.Add(refusedKVPause)
	if c.Grant(now, "w", streamRequest(5000)) {
		t.Error("expected no grant while the engine refuses reservations")
	}
}
