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

// expectRoom has the owner of an engine with 20,000 tokens grant room to a stream, receive the message that the
// stream was placed, and answer for a second stream of the given size.
func expectRoom(t *testing.T, placedBy string, want bool) {
	t.Helper()
	r := New(Options{Box: "home", Region: "r", Wire: fakeWire{}, Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}})
	now := time.Now()
	r.disp.SetFleet(decide.Fleet{
		Pools:   []decide.Pool{{Name: "p", Foresee: true}},
		Engines: []decide.Engine{{Name: "w", Pool: "p", Region: "r", Role: decide.Decode, KVTokens: 20000, Step: time.Millisecond}},
	}, nil)
	r.disp.Step(decide.Report{Engine: "w", At: now.Add(-time.Second), FreeKV: 20000})
	room := overlay.Room{Engine: "w", Prompt: 5000, Expected: 1000, Most: 1000, Ahead: 500}
	if !r.HasRoom(room) {
		t.Fatal("expected an empty engine to have room")
	}
	r.Hear(overlay.Fact{At: now, Placed: &overlay.Placed{Writer: "w", KVTokens: 6000, Prompt: 5000, Ahead: 500, Home: placedBy}})
	second := room
	second.Prompt = 11000
	if got := r.HasRoom(second); got != want {
		t.Errorf("placed by %q: expected room %t, got %t", placedBy, want, got)
	}
}

// A stream that this box granted room to is counted once, whichever box publishes its placement; a stream that
// another box placed by itself is counted when the message is received.
func TestRoomBookedOnce(t *testing.T)  { expectRoom(t, "home", true) }
func TestRoomOfAnother(t *testing.T)   { expectRoom(t, "elsewhere", false) }
func TestRoomPlacedAlone(t *testing.T) { expectRoom(t, "", false) }
