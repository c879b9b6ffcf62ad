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
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/slots"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// fakePeers stands for peers of which this box receives no messages. It grants every request for room.
type fakePeers struct{}

func (fakePeers) Publish(overlay.Message) {}
func (fakePeers) Connected() bool         { return true }
func (fakePeers) RegionSize() int         { return 1 }
func (fakePeers) SetInterest([]string)    {}
func (fakePeers) Boxes(string) ([]string, int64) {
	return []string{"a"}, 1
}
func (fakePeers) AcquireSlot(context.Context, slots.Cell, slots.Request) (slots.Decision, string, bool) {
	return slots.Decision{}, "", false
}
func (fakePeers) SlotOwnerPart(slots.Cell) float64                     { return 1 }
func (fakePeers) ReleaseSlot(string, slots.Cell, string, slots.Result) {}
func (fakePeers) AskRoom(context.Context, string, overlay.Room) (overlay.RoomAnswer, string) {
	return overlay.RoomAnswer{Granted: true}, ""
}

// expectPollRate checks the polls a second of one box with a number of decode engines, over ten seconds at a thousand
// streams a second.
func expectPollRate(t *testing.T, engines int, minRate, maxRate float64) {
	t.Helper()
	r := New(Options{Box: "a", Region: "r", Protocol: fakeProtocol{}, Peers: fakePeers{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}})
	r.SetConfig(&Config{Services: map[string]*Service{"s": {Engines: &EngineConfig{}}}})
	var list []Endpoint
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: "s", Role: decide.Decode})
	}
	start := time.Now()
	r.SetEndpoints(list)
	polls := 0
	const seconds = 10
	for at := time.Second; at < (seconds+2)*time.Second; at += pollTick {
		for range 100 { // Ten times in a second, so a thousand streams a second.
			r.streams.add(start.Add(at), "s", 1)
		}
		if n := len(duePollsAt(r, start.Add(at))); at >= 2*time.Second { // Until then all engines are new to the box.
			polls += n
		}
	}
	if rate := float64(polls) / seconds; rate < minRate || rate > maxRate {
		t.Errorf("%d engines: expected %g to %g polls a second, got %g", engines, minRate, maxRate, rate)
	}
}

// The polls grow with the number of engines, up to a bound. A box has 48 of 2,250 engines in its subset. All boxes
// together are allowed 300 polls a second. The box's part is 48/2,250 of them: 6.4 a second.
func TestPollRateOfSmallFleet(t *testing.T) { expectPollRate(t, 9, 13, 25) }
func TestPollRateOfLargeFleet(t *testing.T) { expectPollRate(t, 2250, 4, 8) }

// TestPollRateFollowsStreams checks that the polls are bounded by the rate of streams, and that some polls continue
// without streams.
func TestPollRateFollowsStreams(t *testing.T) {
	for _, c := range []struct {
		streams float64 // Streams a second.
		most    float64 // The polls a second allowed to a box with 96 of 300 engines in its subset.
	}{{0, 20. * 96 / 300}, {2, 20. * 96 / 300}, {20, 80. * 96 / 300}, {200, 300. * 96 / 300}} {
		r := subsetRelay("a", "h-0", fleetOf(300, 0))
		start, polls, due := time.Now(), 0, 0.0
		// The last 45 s are measured. At the lowest rate each engine is polled every 15 s. So 45 s are three whole
		// periods, and it does not matter when the polls of an engine fall.
		const from, until = 15 * time.Second, 60 * time.Second
		for at := time.Duration(0); at < until; at += pollTick {
			for due += c.streams * pollTick.Seconds(); due >= 1; due-- {
				r.streams.add(start.Add(at), "llm", 1)
			}
			if n := len(duePollsAt(r, start.Add(at))); at >= from { // The stream rate has settled by then.
				polls += n
			}
		}
		if rate := float64(polls) / (until - from).Seconds(); rate > c.most || rate < c.most/3 {
			t.Errorf("%g streams a second: expected %g to %g polls a second, got %g", c.streams, c.most/3, c.most, rate)
		}
	}
}

// TestSuspendedBox checks that what a box received before its machine was suspended is stale afterwards. The box polls
// engines again. It no longer counts the streams that waited on other boxes.
func TestSuspendedBox(t *testing.T) {
	var suspended time.Duration
	defer clock.SetSuspendedForTest(func() time.Duration { return suspended })()
	f := fleet{}
	if !f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) || f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) {
		t.Error("expected one poll")
	}
	w := remoteQueues{}
	w.receive("b", overlay.StreamsWaiting{Streams: 3}, clock.Now())
	if got, _ := w.totals(clock.Now()); got.waiting != 3 {
		t.Errorf("expected three waiting streams, got %d", got.waiting)
	}
	suspended = 5 * time.Second
	if !f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) {
		t.Error("expected a poll after the suspension")
	}
	if got, _ := w.totals(clock.Now()); got.waiting != 0 {
		t.Errorf("expected no waiting streams after the suspension, got %d", got.waiting)
	}
}

// duePollsAt lists the engines that a box must poll at the time now.
func duePollsAt(r *Relay, now time.Time) []Endpoint {
	list, _ := r.duePolls(now)
	return list
}

// TestNewEnginesArePolledInTurn guards against polling all engines at the same time after they start together. Without
// streams, all boxes together may poll 20 engines a second. Yet 986 boxes that saw 8,650 engines listed at one moment
// polled all of them within 2 s.
func TestNewEnginesArePolledInTurn(t *testing.T) {
	r := subsetRelay("a", "h-0", fleetOf(8650, 0))
	start, polls := time.Now(), 0
	for at := time.Duration(0); at < 10*time.Second; at += pollTick {
		polls += len(duePollsAt(r, start.Add(at)))
	}
	// At 20 polls a second, a round of polls of all 8,650 engines takes 432 s. In a round the box polls each of the 96
	// engines in its subset once.
	if most := 8; polls > most {
		t.Errorf("expected at most %d polls in the first ten seconds, got %d", most, polls)
	}
	// Then streams begin, at 40 a second and later 80. They allow 160 and later 300 polls a second of all boxes. Of
	// these, 9 and later 17 in five seconds are due on this box, if it receives no loads from others. The bound is
	// twice 17, because jitters may coincide. A schedule by time alone polled 38 engines and more.
	var recent []int
	for at := 10 * time.Second; at < 150*time.Second; at += pollTick {
		streams := 4
		if at > 80*time.Second {
			streams = 8
		}
		for range streams {
			r.streams.add(start.Add(at), "llm", 1)
		}
		recent = append(recent, len(duePollsAt(r, start.Add(at))))
		if len(recent) > int(5*time.Second/pollTick) {
			recent = recent[1:]
		}
		sum := 0
		for _, n := range recent {
			sum += n
		}
		if most := 34; sum > most {
			t.Fatalf("after %s: expected at most %d polls in five seconds, got %d", at, most, sum)
		}
	}
	small := subsetRelay("a", "h-0", fleetOf(9, 0))
	polls = 0
	for at := time.Duration(0); at <= 9*time.Second/minPollRate+pollTick; at += pollTick {
		polls += len(duePollsAt(small, start.Add(at)))
	}
	if polls < 9 {
		t.Errorf("expected the nine engines of a small deployment to be polled within 0.45 s and a tick, got %d", polls)
	}
}
