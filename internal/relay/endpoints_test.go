package relay

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestFailingEndpoint checks that an endpoint that fails 40 of 100 calls gets few calls. It may never have the two
// failures in a row for which an endpoint is set aside. It must still get some calls, since it may have recovered.
func TestFailingEndpoint(t *testing.T) {
	table := newPlainTable("h")
	table.set([]knownEndpoint{{Endpoint: Endpoint{ID: "sound", Service: "s", Hall: "h"}}, {Endpoint: Endpoint{ID: "failing", Service: "s", Hall: "h"}}})
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	calls := map[string]int{}
	for n := range 400 {
		now = now.Add(100 * time.Millisecond)
		c, _ := table.choose("s", "", now, nil)
		ok := c.ID == "sound" || rng.Float64() > 0.4
		table.done(c, now, 50*time.Millisecond, ok)
		if n >= 100 { // The failure rate has settled by then.
			calls[c.ID]++
		}
	}
	if calls["failing"] > 30 {
		t.Errorf("expected few of 300 calls at an endpoint that fails 40 in 100, got %d", calls["failing"])
	}
	if calls["failing"] == 0 {
		t.Error("expected it to be tried occasionally, since it may have recovered")
	}
}
