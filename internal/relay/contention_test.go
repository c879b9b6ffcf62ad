package relay

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// observeCalls records n calls of a latency, 20 ms apart, and returns the number of them that were signs of contention.
func observeCalls(c *contentions, now *time.Time, n int, latency time.Duration) (signs int) {
	for range n {
		*now = now.Add(20 * time.Millisecond)
		if c.observe(serviceRegion{"s", "r"}, *now, latency) {
			signs++
		}
	}
	return signs
}

// Guards against missing a full endpoint that answers late without rejecting, and against taking a single late answer,
// or the normal latency of a slow service, for contention.
func TestLatencySignsContention(t *testing.T) {
	c, now := contentions{enabled: true}, time.Now()
	if n := observeCalls(&c, &now, 200, 28*time.Millisecond); n > 0 {
		t.Errorf("expected no contention at the normal latency, got %d signs", n)
	}
	if n := observeCalls(&c, &now, 1, 200*time.Millisecond); n > 0 {
		t.Error("expected one late answer to be no sign of contention")
	}
	observeCalls(&c, &now, 100, 28*time.Millisecond)
	if n := observeCalls(&c, &now, 20, 60*time.Millisecond); n == 0 {
		t.Error("expected contention at twice the latency")
	}
	// After a lasting change of the service, the higher latency is normal.
	observeCalls(&c, &now, 15_000, 60*time.Millisecond) // 300 s.
	if n := observeCalls(&c, &now, 100, 60*time.Millisecond); n > 0 {
		t.Errorf("expected the new latency to be normal after five minutes, got %d signs", n)
	}
	if n := observeCalls(&contentions{enabled: true}, &now, 200, 500*time.Millisecond); n > 0 {
		t.Errorf("expected a slow service without contention, got %d signs", n)
	}
}

// Guards against a calm service whose latencies vary that looks contended. Past fault: the minimum of a mean that varies by
// 16% was 0.6 of the usual mean, and 83 boxes asked for slots of idle endpoints all the time.
func TestVaryingLatencyIsNoContention(t *testing.T) {
	for seed := range uint64(5) {
		r := rand.New(rand.NewPCG(seed, 0))
		c, now, signs, calls := contentions{enabled: true}, time.Now(), 0, 20_000
		for range calls {
			latency := 0.028 * math.Exp(0.5*r.NormFloat64()-0.125)
			if r.Float64() < 0.01 {
				latency *= 5
			}
			signs += observeCalls(&c, &now, 1, time.Duration(latency*float64(time.Second)))
		}
		if signs > calls/50 {
			t.Errorf("seed %d: %d of %d calls were signs of contention", seed, signs, calls)
		}
	}
}

// A latency below a millisecond that doubles costs less than a request for a slot.
func TestSmallLatencyIsNoContention(t *testing.T) {
	c, now := contentions{enabled: true}, time.Now()
	observeCalls(&c, &now, 100, 300*time.Microsecond)
	if n := observeCalls(&c, &now, 100, time.Millisecond); n > 0 {
		t.Errorf("expected no contention, got %d signs", n)
	}
}

// Guards against contention that never ends, and against a message to the other boxes with each sign.
func TestContentionEnds(t *testing.T) {
	c, now, k := contentions{enabled: true}, time.Now(), serviceRegion{"s", "r"}
	published := 0
	for range 25 { // 2.5 s.
		if publish, _ := c.sign(k, now, true); publish {
			published++
		}
		now = now.Add(100 * time.Millisecond)
	}
	if published != 3 {
		t.Errorf("expected a message per second, got %d in 2.5 s", published)
	}
	if publish, _ := c.sign(k, now.Add(time.Second), false); publish {
		t.Error("expected no message for what another box has reported")
	}
	now = now.Add(time.Second)
	if yes, age := c.contended(k, now.Add(2900*time.Millisecond)); !yes || age != 2900*time.Millisecond {
		t.Errorf("expected contention 2.9 s after the last sign, got %t, %s", yes, age)
	}
	if yes, _ := c.contended(k, now.Add(3*time.Second)); yes {
		t.Error("expected no contention 3 s after the last sign")
	}
	if yes, _ := c.contended(serviceRegion{"s", "other"}, now); yes {
		t.Error("expected no contention in another region")
	}
	if removed := c.keep(map[string]*Service{"t": {}}); len(removed) != 1 || len(c.state) != 0 {
		t.Errorf("expected a removed service to be forgotten, got %v", removed)
	}
}

// boxesPeers stands for a number of boxes that do not answer.
type boxesPeers struct {
	fakePeers
	n int
}

func (p boxesPeers) Boxes(string) ([]string, int64) { return make([]string, p.n), 1 }

// Guards against boxes that together open more connections than an endpoint accepts, and against a box that may open too
// few to serve anything. An endpoint of 6 slots may get 7 calls with granted slots beside.
func TestPartOfConnections(t *testing.T) {
	for _, c := range []struct{ connections, boxes, fixed, kept int }{
		{410, 23, 16, 16}, {410, 1, 369, 369}, {60, 24, 2, 2}, {60, 40, 1, 1}, {24, 20, 1, 0}, {0, 23, 0, 0}, {410, 0, 369, 369},
	} {
		r := &Relay{o: Options{Peers: boxesPeers{n: c.boxes}}}
		r.contentions.enabled = true
		got := r.connLimits(&Service{MaxConnections: c.connections}, "r", 6)
		if got != (connLimits{c.fixed, c.kept}) {
			t.Errorf("%d connections, %d boxes: expected %d and %d kept, got %+v", c.connections, c.boxes, c.fixed, c.kept, got)
		}
		if c.boxes > 1 && c.connections >= 2*c.boxes && c.boxes*got.fixed+slots.MaxGrants(6) > c.connections {
			t.Errorf("%d connections, %d boxes: expected no more connections with all slots, got %d each", c.connections, c.boxes, got.fixed)
		}
	}
}

// Guards against a box that asks for no slots, and so has no owner to permit it a second connection.
func TestPartOfConnectionsWithoutSlots(t *testing.T) {
	r := &Relay{o: Options{Peers: boxesPeers{n: 20}}}
	if got := r.connLimits(&Service{MaxConnections: 24}, "r", 6); got != (connLimits{2, 2}) {
		t.Errorf("expected 2 connections, got %+v", got)
	}
}

// Guards against boxes that use all slots each, because they started during an outage and no box is listed.
func TestPartOfSlotsWithoutAList(t *testing.T) {
	for boxes, want := range map[int]float64{0: unknownPart, 1: 1, 20: 0.05} {
		r := &Relay{o: Options{Peers: boxesPeers{n: boxes}}}
		if got := r.slotPart(slots.Cell{Service: "s", Region: "r"}); got != want {
			t.Errorf("%d boxes: expected a part of %g, got %g", boxes, want, got)
		}
	}
}

// The metric of a contended service exists from the first sign of contention until the service is no longer configured.
func TestContendedMetric(t *testing.T) {
	var elapsed time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return elapsed })()
	r := cellRelay(1)
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h"}})
	expect := func(want string) {
		t.Helper()
		var b strings.Builder
		r.m.Write(&b)
		if has := strings.Contains(b.String(), "stoatramp_slots_contended"); want == "" && has || !strings.Contains(b.String(), want) {
			t.Errorf("expected %q in the metrics, found a gauge: %t", want, has)
		}
	}
	for _, service := range []string{"unknown", "llm"} {
		r.Receive(overlay.Message{Contended: &overlay.ServiceContended{Service: service, Region: "r"}})
	}
	expect("")
	r.Receive(overlay.Message{Contended: &overlay.ServiceContended{Service: "s-0", Region: "r"}})
	expect(`stoatramp_slots_contended{service="s-0"} 1`)
	elapsed = contendedFor
	expect(`stoatramp_slots_contended{service="s-0"} 0`)
	r.SetConfig(&Config{Services: map[string]*Service{}})
	expect("")
}

// Guards against a box that was frozen and then sends all calls that have waited at once, since no message of the other
// boxes reached it meanwhile.
func TestContentionOutlastsStandstill(t *testing.T) {
	c, k, start := contentions{enabled: true}, serviceRegion{"s", "r"}, time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	expect := func(s float64, want bool) {
		t.Helper()
		if got, _ := c.contended(k, at(s)); got != want {
			t.Errorf("after %v s: expected contended %t, got %t", s, want, got)
		}
	}
	c.tick(at(0))
	c.sign(k, at(0.5), false)
	c.tick(at(1))
	expect(1.9, true)
	expect(11, true) // The box stood still from 1.9 s on.
	c.tick(at(11))
	expect(11, true)
	expect(11.9, true)
	c.tick(at(12))
	expect(12.1, false)
	c.tick(at(13))
	c.sign(k, at(13.4), false)
	expect(16, true)
	c.tick(at(14))
	c.tick(at(15))
	c.tick(at(16))
	expect(16.3, true)
	expect(16.5, false)
	c.tick(at(17))
	c.sign(k, at(30), false) // The first event after a standstill.
	c.tick(at(30))
	expect(30, true)
	if _, age := c.contended(k, at(30)); age < 0 || age > time.Second {
		t.Errorf("expected a sign that has just been seen, got %s", age)
	}
}

// unheardPeers stands for the node of a box that has not heard the list of boxes since its start.
type unheardPeers struct{ boxesPeers }

func (unheardPeers) SlotOwnerPart(slots.Cell) float64 { return 0 }

// Guards against a box that uses all slots because its list has only itself, and against grants of a box that must not act
// as owner.
func TestPartOfSlotsWithoutAHeardList(t *testing.T) {
	cell := slots.Cell{Service: "s-0", Region: "r"}
	for boxes, want := range map[int]float64{0: unknownPart, 1: unknownPart, 20: 0.05} {
		r := cellRelay(1)
		r.o.Peers = unheardPeers{boxesPeers{n: boxes}}
		if got := r.slotPart(cell); got != want {
			t.Errorf("%d boxes: expected a part of %g, got %g", boxes, want, got)
		}
		r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 6}})
		if d := acquireNow(r, cell, "1"); d.State != slots.Refused || d.Reason != slots.Stopping {
			t.Errorf("%d boxes: expected the box not to act as owner, got %+v", boxes, d)
		}
	}
}

// partPeers stands for the node of a box whose part as owner changes.
type partPeers struct {
	fakePeers
	part float64
}

func (p *partPeers) SlotOwnerPart(slots.Cell) float64 { return p.part }

// Guards against an owner that grants more than its limit because it forgets its grants when its part changes.
func TestGrantsCountWhenPartChanges(t *testing.T) {
	peers := &partPeers{part: 1}
	r := cellRelay(1)
	r.o.Peers = peers
	cell := slots.Cell{Service: "s-0", Region: "r"}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 6}})
	granted := 0
	for i := range 6 {
		peers.part = []float64{1, 0.5}[i%2]
		if d := acquireNow(r, cell, fmt.Sprint(i)); d.State == slots.Granted {
			granted++
		}
		if e := r.OwnedCells()[0].Endpoints[0]; e.InUse+e.Overdue != granted || e.InUse > 3 {
			t.Errorf("expected %d grants to count and at most half of 6 slots in use, got %d and %d overdue", granted, e.InUse, e.Overdue)
		}
	}
	if granted == 0 {
		t.Error("expected a grant")
	}
}

// ownerOf stands for the node of a box that another box grants slots of an endpoint until it is silent.
type ownerOf struct {
	fakePeers
	silent bool
}

func (p *ownerOf) AcquireSlot(context.Context, slots.Cell, slots.Request) (slots.Decision, string, bool) {
	if p.silent {
		return slots.Decision{}, "", false
	}
	return slots.Decision{State: slots.Granted, Endpoint: "e"}, "b", false
}
func (*ownerOf) Boxes(string) ([]string, int64) { return []string{"a", "b"}, 1 }

// Guards against a box that has as many calls again at an endpoint when its owner is late.
func TestOwnPartCountsOwnersGrants(t *testing.T) {
	peers := &ownerOf{}
	r := cellRelay(1)
	r.o.Peers = peers
	cell := slots.Cell{Service: "s-0", Region: "r"}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 6}})
	id := 0
	request := func() slots.Request {
		id++
		return slots.Request{ID: fmt.Sprint(id), Box: "a", OnTime: 20 * time.Millisecond, Left: 20 * time.Millisecond}
	}
	var ends []func(slots.Result)
	for range 3 {
		_, _, _, end := r.requestSlot(context.Background(), cell, request)
		ends = append(ends, end)
	}
	peers.silent = true
	if d, _, _, _ := r.requestSlot(context.Background(), cell, request); d.State == slots.Granted {
		t.Errorf("expected no slot beside three calls of a part of three, got %+v", d)
	}
	for _, end := range ends {
		end(slots.Result{Outcome: slots.Unused})
	}
	if d, owner, _, _ := r.requestSlot(context.Background(), cell, request); d.State != slots.Granted || owner != "" {
		t.Errorf("expected a slot of this box's part, got %+v of %q", d, owner)
	}
	if len(r.ownerGrants.byEndpoint) != 0 {
		t.Errorf("expected no calls with slots of an owner, got %v", r.ownerGrants.byEndpoint)
	}
}

// Guards against a box that becomes the owner of a cell and grants all slots while calls of its own part are in progress.
func TestOwnerCountsItsOwnPart(t *testing.T) {
	peers := &ownerOf{silent: true}
	r := cellRelay(1)
	r.o.Peers = peers
	cell := slots.Cell{Service: "s-0", Region: "r"}
	r.SetEndpoints([]Endpoint{{ID: "e", Service: "s-0", Hall: "h", Slots: 6}})
	request := func(id string) slots.Request {
		return slots.Request{ID: id, Box: "a", OnTime: time.Second, Left: time.Second}
	}
	var ends []func(slots.Result)
	for i := range 3 {
		d, owner, _, end := r.requestSlot(context.Background(), cell, func() slots.Request { return request(fmt.Sprint("part-", i)) })
		if d.State != slots.Granted || owner != "" {
			t.Fatalf("expected a slot of the own part, got %+v of %q", d, owner)
		}
		ends = append(ends, end)
	}
	granted := make(chan slots.Decision, 1)
	go func() {
		d, _ := r.SlotServer().Acquire(context.Background(), cell, request("owned"), nil)
		granted <- d
	}()
	select {
	case d := <-granted:
		t.Fatalf("expected no slot beside three calls, of a limit that begins at three, got %+v", d)
	case <-time.After(50 * time.Millisecond):
	}
	for _, end := range ends {
		end(slots.Result{Outcome: slots.Unused})
	}
	if d := <-granted; d.State != slots.Granted {
		t.Errorf("expected a slot once the calls have ended, got %+v", d)
	}
	if len(r.partGrants.byEndpoint) != 0 {
		t.Errorf("expected no calls of the own part, got %v", r.partGrants.byEndpoint)
	}
}
