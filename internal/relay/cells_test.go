package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// cellRelay returns a relay with plain services "s-0", "s-1" and so on, and an engine service "llm".
func cellRelay(services int) *Relay {
	r := New(Options{
		Box: "a", Hall: "h", Region: "r", Protocol: fakeProtocol{}, SharedSlots: true, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1),
		Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()},
	})
	c := &Config{Services: map[string]*Service{"llm": {Name: "llm", Engines: &EngineConfig{}}}}
	for i := range services {
		name := fmt.Sprint("s-", i)
		c.Services[name] = &Service{Name: name, ColdDuration: time.Second, ColdRate: 1}
	}
	r.SetConfig(c)
	return r
}

func acquireNow(r *Relay, cell slots.Cell, id string, exclude ...string) slots.Decision {
	d, _ := r.SlotServer().Acquire(context.Background(), cell, slots.Request{ID: id, Box: "b", OnTime: time.Second, Left: time.Second, Exclude: exclude}, nil)
	return d
}

// The owner must grant only endpoints that accept requests. It must follow the list, evacuations and the end of a cold
// period, also for endpoints that are not in its own subset.
func TestOwnedCellFollowsList(t *testing.T) {
	var elapsed time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return elapsed })()
	r := cellRelay(1)
	cell := slots.Cell{Service: "s-0", Region: "r"}
	list := []Endpoint{
		{ID: "ready", Service: "s-0", Hall: "h", Slots: 4}, {ID: "leaving", Service: "s-0", Hall: "h", Slots: 4, Leaving: true},
		{ID: "cold", Service: "s-0", Hall: "h", Slots: 4, ColdLeft: 5 * time.Second}, {ID: "far", Service: "s-0", Hall: "evacuated", Slots: 4},
	}
	r.SetEvacuated([]string{"evacuated"})
	r.SetEndpoints(list)
	if d := acquireNow(r, cell, "1"); d.State != slots.Granted || d.Endpoint != "ready" {
		t.Errorf("expected the endpoint that is ready, got %+v", d)
	}
	if d := acquireNow(r, cell, "2", "ready"); d.State != slots.Refused || d.Reason != slots.NoEndpoint {
		t.Errorf("expected no other endpoint, got %+v", d)
	}
	elapsed = 6 * time.Second
	if d := acquireNow(r, cell, "3", "ready"); d.State != slots.Granted || d.Endpoint != "cold" {
		t.Errorf("expected the endpoint whose cold period has ended, got %+v", d)
	}
	list[1].Leaving = false
	r.SetEndpoints(list[:2])
	if d := acquireNow(r, cell, "4", "ready"); d.State != slots.Granted || d.Endpoint != "leaving" {
		t.Errorf("expected the endpoint that no longer leaves, got %+v", d)
	}
}

// Guards against grants for cells that do not exist. Any box can ask, so their number must be bounded too.
func TestCellsAreBounded(t *testing.T) {
	var elapsed time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return elapsed })()
	r := cellRelay(maxCells + 1)
	var list []Endpoint
	for i := range maxCells + 1 {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: fmt.Sprint("s-", i), Hall: "h"})
	}
	r.SetEndpoints(append(list, Endpoint{ID: "engine", Service: "llm", Hall: "h"}))
	for _, c := range []slots.Cell{{Service: "none", Region: "r"}, {Service: "llm", Region: "r"}, {Service: "s-0", Region: "elsewhere"}, {Service: "s-0", Region: "r", Index: 1}, {Service: "s-0", Region: "r", Index: -1}} {
		if d := acquireNow(r, c, "x"); d.State != slots.Refused || d.Reason != slots.NoEndpoint {
			t.Errorf("%+v: expected no endpoint, got %+v", c, d)
		}
	}
	for i := range maxCells {
		if d := acquireNow(r, slots.Cell{Service: fmt.Sprint("s-", i), Region: "r"}, "x"); d.State != slots.Granted {
			t.Fatalf("cell %d: expected a grant, got %+v", i, d)
		}
	}
	last := slots.Cell{Service: fmt.Sprint("s-", maxCells), Region: "r"}
	if d := acquireNow(r, last, "x"); d.State != slots.Refused || d.Reason != slots.Stopping || len(r.OwnedCells()) != maxCells {
		t.Errorf("expected a refusal beyond %d cells, got %+v", maxCells, d)
	}
	elapsed = cellTTL + time.Second
	r.refreshCells(false)
	if n := len(r.OwnedCells()); n != 0 {
		t.Errorf("expected unused cells to be dropped, got %d", n)
	}
	if d := acquireNow(r, last, "y"); d.State != slots.Granted {
		t.Errorf("expected a grant, got %+v", d)
	}
}

// A planned stop refuses requests that wait and later ones, so that boxes ask the next owner. Grants are still released.
func TestStopOfOwner(t *testing.T) {
	r := cellRelay(1)
	cell := slots.Cell{Service: "s-0", Region: "r"}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 2}})
	if d := acquireNow(r, cell, "1"); d.State != slots.Granted {
		t.Fatalf("expected a grant, got %+v", d)
	}
	queued, decided := make(chan slots.Decision, 1), make(chan slots.Decision, 1)
	go func() {
		d, _ := r.SlotServer().Acquire(context.Background(), cell, slots.Request{ID: "2", OnTime: time.Second, Left: time.Second}, func(d slots.Decision) { queued <- d })
		decided <- d
	}()
	<-queued
	r.BeginStop(time.Now().Add(time.Minute))
	if d := <-decided; d.State != slots.Refused || d.Reason != slots.Stopping {
		t.Errorf("expected the request that waits to be refused with Stopping, got %+v", d)
	}
	if d := acquireNow(r, cell, "3"); d.State != slots.Refused || d.Reason != slots.Stopping {
		t.Errorf("expected Stopping, got %+v", d)
	}
	r.SlotServer().Release(cell, "1", slots.Result{Outcome: slots.Answered, Took: 30 * time.Millisecond})
	if c := r.OwnedCells(); len(c) != 1 || c[0].Endpoints[0].InUse != 0 {
		t.Errorf("expected the grant to be released, got %+v", c)
	}
}

// A large service is divided into cells, so that no owner has to serve much more than slots.MaxCellEndpoints endpoints. Each
// endpoint must be in exactly one cell. Endpoints outside of this box's subset must be callable with a granted slot.
func TestCellsOfLargeService(t *testing.T) {
	r := cellRelay(1)
	var list []Endpoint
	for i := range 300 {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: "s-0", Hall: "h"})
	}
	r.SetEndpoints(list)
	k := serviceRegion{"s-0", "r"}
	n := r.fleet.cellCount(k)
	if n != 10 {
		t.Errorf("expected 10 cells, got %d", n)
	}
	wanted := map[slots.Cell]bool{}
	for i := range n {
		wanted[slots.Cell{Service: "s-0", Region: "r", Index: i}] = true
	}
	seen := map[string]bool{}
	for _, members := range r.fleet.cellEndpoints(clock.Now(), wanted) {
		for _, e := range members {
			seen[e.ID] = true
		}
		if len(members) > 2*slots.MaxCellEndpoints {
			t.Errorf("expected about %d endpoints in a cell, got %d", slots.MaxCellEndpoints, len(members))
		}
	}
	if len(seen) != 300 {
		t.Errorf("expected all endpoints in the cells, got %d", len(seen))
	}
	outside := 0
	for _, e := range list {
		if r.fleet.inSubset(e.ID) {
			continue
		}
		outside++
		if c := r.takeGranted(k, e.ID, nil); c == nil || c.ID != e.ID {
			t.Fatalf("expected to call %s, got %+v", e.ID, c)
		}
		if c := r.takeGranted(k, e.ID, map[string]bool{e.ID: true}); c != nil {
			t.Errorf("expected no second call to %s", e.ID)
		}
	}
	if outside == 0 || r.plain.running("s-0") != outside {
		t.Errorf("expected %d calls in progress, got %d", outside, r.plain.running("s-0"))
	}
	r.plain.mu.Lock()
	kept := len(r.plain.service("s-0").outside)
	r.plain.mu.Unlock()
	r.SetEndpoints(list[:200])
	r.plain.mu.Lock()
	defer r.plain.mu.Unlock()
	if left := len(r.plain.service("s-0").outside); kept != outside || left != 0 {
		t.Errorf("expected %d entries of endpoints outside of the subset until the list changes, got %d and %d", outside, kept, left)
	}
}

// Guards against refusing calls to another region for lack of a slot, because no owner there answers this box.
func TestNoSlotsForAnotherRegion(t *testing.T) {
	r := cellRelay(1)
	r.fleet.halls = map[string]string{"h": "r", "far": "q"}
	r.SetEndpoints([]Endpoint{{ID: "e-far", Service: "s-0", Hall: "far"}})
	r.plain.set([]knownEndpoint{{Endpoint: Endpoint{ID: "e-far", Service: "s-0", Hall: "far"}, Region: "q"}})
	r.signContention(serviceRegion{"s-0", "q"}, false)
	x := &exchange{r: r, service: r.cfg.Load().Services["s-0"], route: &Route{Timeout: time.Second, MaxEndpoints: 1}, region: "q", deadline: clock.Now().Add(time.Second), arrived: clock.Now()}
	for i := range 10 {
		if e, g, o, _ := x.chooseEndpoint(context.Background(), nil); e == nil || g != nil || o != nil {
			t.Fatalf("call %d: expected an endpoint without a slot, got %v, %v, %v", i, e, g, o)
		}
	}
}

// Guards against counting a rejection as a failure. Two failures in a row set an endpoint aside.
func TestRejectedCallsDoNotSetAside(t *testing.T) {
	table := newPlainTable("h")
	table.onStateChange = func(c decide.StateChange) { t.Errorf("expected no change of state, got %+v", c) }
	table.set([]knownEndpoint{{Endpoint: Endpoint{ID: "e", Service: "s", Hall: "h"}}})
	for range 20 {
		c, _ := table.choose("s", "", time.Now(), nil)
		table.release(c)
	}
	if c, _ := table.choose("s", "", time.Now(), nil); c.snapshot.Failures != 0 || c.entry.failureRate != 0 || c.snapshot.Calls != 0 {
		t.Errorf("expected no failures, got %+v", c.snapshot)
	}
}

// Guards against a box with all the callers that falls back to one part in many, when the owner of the slots is silent.
func TestHotBoxKeepsHalfOfItsSlotsWithoutOwner(t *testing.T) {
	r := cellRelay(1)
	r.o.Peers = newListedBoxes(60)
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 6}})
	cell := slots.Cell{Service: "s-0", Region: "r"}
	if got := r.slotPart(cell); got != 1.0/60 {
		t.Errorf("expected an even part before, got %g", got)
	}
	for range 7 {
		r.ownerGrants.add("e", 1)
	}
	for range 7 {
		r.ownerGrants.add("e", -1)
	}
	if got := r.slotPart(cell); got != keptShare {
		t.Errorf("expected half of the slots, got %g", got)
	}
	if got := r.slotPart(slots.Cell{Service: "s-0", Region: "elsewhere"}); got > 1.0/60 {
		t.Errorf("expected an even part in another region, got %g", got)
	}
	time.Sleep(peakMemory + 50*time.Millisecond)
	if got := r.slotPart(cell); got != 1.0/60 {
		t.Errorf("expected an even part after %s, got %g", peakMemory, got)
	}
}
