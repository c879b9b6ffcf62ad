package relay

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// expectRoom has a box own an engine with memory for 20,000 tokens. The box grants room there, which is free engine
// memory, to a stream of 6,000 tokens. It then receives the message that a stream of that size was placed on the
// engine. placedBy is the box that granted the room for the placed stream; empty if no box did. want is whether the box
// must still have room for a second stream, whose prompt has 11,000 tokens.
func expectRoom(t *testing.T, placedBy string, want bool) {
	t.Helper()
	r := New(Options{Box: "home", Region: "r", Protocol: fakeProtocol{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}})
	now := time.Now()
	r.disp.SetFleet(decide.Fleet{
		Pools:   []decide.Pool{{Name: "p", ForecastsMemory: true}},
		Engines: []decide.Engine{{Name: "w", Pool: "p", Region: "r", Role: decide.Decode, KVTokens: 20000, Step: time.Millisecond}},
	}, nil)
	r.disp.Step(decide.LoadReport{Engine: "w", At: now.Add(-time.Second), FreeKV: 20000})
	room := overlay.Room{Engine: "w", PromptTokens: 5000, ExpectedTokens: 1000, MaxTokens: 1000, OutputReserve: 500}
	if !r.HasRoom(room).Granted {
		t.Fatal("expected an empty engine to have room")
	}
	r.Receive(overlay.Message{At: now, Placed: &overlay.StreamPlaced{DecodeEngine: "w", KVTokens: 6000, PromptTokens: 5000, OutputReserve: 500, Owner: placedBy}})
	second := room
	second.PromptTokens = 11000
	if got := r.HasRoom(second).Granted; got != want {
		t.Errorf("placed by %q: expected room %t, got %t", placedBy, want, got)
	}
}

// A stream that this box granted room to is counted once, whichever box publishes its placement. A stream that was
// placed without this box is counted in addition when the message is received, so no room is left.
func TestRoomBookedOnce(t *testing.T)  { expectRoom(t, "home", true) }
func TestRoomOfAnother(t *testing.T)   { expectRoom(t, "elsewhere", false) }
func TestRoomPlacedAlone(t *testing.T) { expectRoom(t, "", false) }
