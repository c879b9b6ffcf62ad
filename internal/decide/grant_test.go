package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newGrantCore returns the core of the box that owns engine w. The owner of an engine grants the engine's memory to
// other boxes. The engine has 63,000 tokens of memory and has just reported that no stream runs.
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

// streamRequest is a request for a stream with a prompt of the given length and an expected answer of
// 4,400 tokens.
func streamRequest(prompt int) Request {
	return Request{PromptTokens: prompt, MaxTokens: 4000, ExpectedTokens: 4400, OutputReserve: 512}
}

// countGrants lets boxes ask for engine w at the same time, each for one stream, and counts the grants.
func countGrants(c *Core, now time.Time, boxes int) (n int) {
	for range boxes {
		if granted, _ := c.Grant(now, "w", streamRequest(5000), Precedence{}); granted {
			n++
		}
	}
	return n
}

// Fifty boxes ask at the same time to place a stream on an engine. The engine reported that no stream runs. Each stream
// is expected to grow to 9,400 tokens, and the engine has 63,000, so six to eight streams are granted. If a grant
// counted only after a delay, all fifty would be granted.
func TestGrantOnce(t *testing.T) {
	now := time.Now()
	if n := countGrants(newGrantCore(now), now, 50); n < 6 || n > 8 {
		t.Errorf("expected six to eight streams to be granted room, got %d", n)
	}
}

// A granted stream counts until the next report of the engine. That report either includes the stream or shows that the
// stream was never started.
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

// A box grants a request for an engine that it does not know.
func TestGrantForUnknownEngine(t *testing.T) {
	now := time.Now()
	if granted, _ := newGrantCore(now).Grant(now, "elsewhere", streamRequest(5000), Precedence{}); !granted {
		t.Error("expected a grant for an unknown engine")
	}
}

// After an engine refused to reserve memory, requests that need as much or more are not granted for a while.
func TestNoGrantAfterRefusal(t *testing.T) {
	now := time.Now()
	c := newGrantCore(now)
	c.engines["w"].denial = denial{kv: 6000, until: now.Add(minDenialPause)}
	if granted, _ := c.Grant(now, "w", streamRequest(5000), Precedence{}); granted {
		t.Error("expected no grant while the engine refuses reservations")
	}
}

// fullGrantCore returns the core of the owner of engine w, which reports streams that use all of its memory. One of them
// uses lost tokens. If listed is not set, that stream has not begun and is missing in the list of streams.
func fullGrantCore(now time.Time, lost int, listed bool) *Core {
	c := newGrantCore(now)
	runs := []StreamLoad{{Tokens: 63000 - lost, Output: 6000}}
	if listed {
		runs = append(runs, StreamLoad{Tokens: lost, Output: lost - 5000})
	}
	c.Step(now, LoadReport{Engine: "w", At: now, FreeKV: 0, Streams: len(runs), Runs: runs})
	return c
}

// A rerun asks for room before the owner knows that the lost run has ended. Past fault: the owner counted the lost run
// beside its rerun, and denied room.
func TestRerunIsGrantedTheRoomOfItsLostRun(t *testing.T) {
	now := time.Now()
	later := now.Add(10 * time.Millisecond)
	for lost, listed := range map[int]bool{6000: true, 5600: false} {
		c := fullGrantCore(now, lost, listed)
		if granted, _ := c.Grant(later, "w", streamRequest(5000), Precedence{}); granted {
			t.Errorf("listed %t: expected no room for another stream", listed)
		}
		if !c.GrantRerun(later, "w", streamRequest(5000), lost) {
			t.Errorf("listed %t: expected the room of the lost run to be granted to its rerun", listed)
		}
	}

	c := newGrantCore(now)
	n := countGrants(c, later, 50)
	if !c.GrantRerun(later, "w", streamRequest(5000), 5000) || len(c.engines["w"].placements) != n {
		t.Errorf("expected the rerun to replace one of %d granted streams, got %d", n, len(c.engines["w"].placements))
	}
	if granted, _ := c.Grant(later, "w", streamRequest(5000), Precedence{}); granted {
		t.Error("expected no room for another stream beside the rerun")
	}
}

// Guards against granting a rerun memory that its lost run did not use.
func TestRerunIsDeniedRoomOfOthers(t *testing.T) {
	now := time.Now()
	c := newGrantCore(now)
	c.Step(now, LoadReport{Engine: "w", At: now, FreeKV: 0, Streams: 1, Runs: []StreamLoad{{Tokens: 63000, Output: 6000}}})
	if c.GrantRerun(now.Add(10*time.Millisecond), "w", streamRequest(5000), 5000) {
		t.Error("expected no room, since no stream on the engine is the lost one")
	}
}
