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
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// silentPeer is another box that says nothing.
type silentPeer struct{}

func (silentPeer) Tell(overlay.Fact)  {}
func (silentPeer) Connected() bool    { return true }
func (silentPeer) Neighbours() int    { return 1 }
func (silentPeer) WantFacts([]string) {}
func (silentPeer) Boxes(string) ([]string, int64) {
	return []string{"a"}, 1
}
func (silentPeer) AskRoom(context.Context, string, overlay.Room) (bool, string) {
	return true, ""
}

// expectPollRate has one box before so many engines that write ask them for ten seconds, and
// expects a number of questions a second.
func expectPollRate(t *testing.T, engines int, least, most float64) {
	t.Helper()
	r := New(Options{Box: "a", Region: "r", Wire: fakeWire{}, Others: silentPeer{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}})
	r.SetConfig(&Config{Services: map[string]*Service{"s": {Engines: &Engines{}}}})
	var list []Endpoint
	for i := range engines {
		list = append(list, Endpoint{ID: fmt.Sprint("e-", i), Service: "s", Role: decide.Decode})
	}
	start := time.Now()
	r.SetEndpoints(list)
	asked := 0
	const seconds = 10
	for at := time.Second; at < (seconds+2)*time.Second; at += pollTick {
		for range 100 { // A thousand streams a second.
			r.streams.add(start.Add(at), "s", 1)
		}
		if n := len(duePollsAt(r, start.Add(at))); at >= 2*time.Second { // All are new at first.
			asked += n
		}
	}
	if rate := float64(asked) / seconds; rate < least || rate > most {
		t.Errorf("%d engines: expected %g to %g questions a second, got %g", engines, least, most, rate)
	}
}

// What is asked grows with the engines up to a bound. A box that knows 48 of 2,250 engines has its part
// of the 300 questions that all boxes may ask: 6.4 a second.
func TestPollRateOfSmallFleet(t *testing.T) { expectPollRate(t, 9, 13, 25) }
func TestPollRateOfLargeFleet(t *testing.T) { expectPollRate(t, 2250, 4, 8) }

// What is asked is bounded by the streams that there are, and goes on at a low rate without them.
func TestPollRateFollowsStreams(t *testing.T) {
	for _, c := range []struct {
		streams float64 // A second.
		most    float64 // Questions a second of a box that knows 96 of 300 engines.
	}{{0, 20. * 96 / 300}, {2, 20. * 96 / 300}, {20, 80. * 96 / 300}, {200, 300. * 96 / 300}} {
		r := subsetRelay("a", "h-0", fleetOf(300, 0))
		start, asked, due := time.Now(), 0, 0.0
		// 45 s are whole periods of the slowest rate, 15 s for each engine: whatever the phase, the mean counts.
		const from, until = 15 * time.Second, 60 * time.Second
		for at := time.Duration(0); at < until; at += pollTick {
			for due += c.streams * pollTick.Seconds(); due >= 1; due-- {
				r.streams.add(start.Add(at), "llm", 1)
			}
			if n := len(duePollsAt(r, start.Add(at))); at >= from { // The rate is known by then.
				asked += n
			}
		}
		if rate := float64(asked) / (until - from).Seconds(); rate > c.most || rate < c.most/3 {
			t.Errorf("%g streams a second: expected %g to %g questions, got %g", c.streams, c.most/3, c.most, rate)
		}
	}
}

// What was heard before a suspension is old after it: engines are asked again, and streams that waited
// on other boxes count no more.
func TestSuspendedBox(t *testing.T) {
	var asleep time.Duration
	defer clock.Set(func() time.Duration { return asleep })()
	f := fleet{}
	if !f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) || f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) {
		t.Error("expected one question")
	}
	w := remoteWaiting{}
	w.receive("b", 3, clock.Now())
	if n := w.total(clock.Now()); n != 3 {
		t.Errorf("expected three to wait, got %d", n)
	}
	asleep = 5 * time.Second
	if !f.claimStalePoll("e", clock.Now(), ownerLoadMaxAge) {
		t.Error("expected a question after the suspension")
	}
	if n := w.total(clock.Now()); n != 0 {
		t.Errorf("expected none to wait after the suspension, got %d", n)
	}
}

// duePollsAt lists the engines that a box is to ask at a time.
func duePollsAt(r *Relay, now time.Time) []Endpoint {
	list, _ := r.duePolls(now)
	return list
}

// Engines that start together are not all asked at once: without streams 20 questions a second are to do,
// of all boxes together, and 8,650 engines that 986 boxes heard of at one moment were asked within 2 s.
func TestNewEnginesArePolledInTurn(t *testing.T) {
	r := subsetRelay("a", "h-0", fleetOf(8650, 0))
	start, asked := time.Now(), 0
	for at := time.Duration(0); at < 10*time.Second; at += pollTick {
		asked += len(duePollsAt(r, start.Add(at)))
	}
	// The box asks each of its 96 engines once in the 432 s in which all are asked.
	if most := 8; asked > most {
		t.Errorf("expected at most %d questions in the first ten seconds, got %d", most, asked)
	}
	// Nor are they at any time once streams come, 40 a second and then twice as many: these allow 160 and
	// 300 questions of all boxes, 9 and 17 in five seconds of one that hears no answer of another. Twice
	// that is for draws that fall together; by time alone 38 and more came.
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
			t.Fatalf("after %s: expected at most %d questions in five seconds, got %d", at, most, sum)
		}
	}
	few := subsetRelay("a", "h-0", fleetOf(9, 0))
	asked = 0
	for at := time.Duration(0); at <= 9*time.Second/minPollRate+pollTick; at += pollTick {
		asked += len(duePollsAt(few, start.Add(at)))
	}
	if asked < 9 {
		t.Errorf("expected the nine engines of a small deployment to be asked within 0.45 s and a tick, got %d", asked)
	}
}
