package overlay

import (
	"testing"
	"time"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// The timings of a stream reach other boxes unchanged, to the microsecond.
func TestTookRoundTrip(t *testing.T) {
	now := time.Now()
	sent := StreamTiming{Pool: "p", PrefillTokens: 3200, PrefillTime: 150 * time.Millisecond, FirstEventDelay: 19 * time.Millisecond, Step: 5100 * time.Microsecond, Streams: 8}
	f := Message{At: now, Timing: &sent}
	got, ok := decode(f.encode(now), now)
	if !ok || got.Timing == nil || *got.Timing != sent {
		t.Errorf("expected %+v, got %+v", sent, got.Timing)
	}
}

func expectTimingRejected(t *testing.T, m *v1.StreamTook) {
	t.Helper()
	if _, ok := decode(&v1.Fact{Kind: &v1.Fact_Took{Took: m}}, time.Now()); ok {
		t.Errorf("expected %v to be rejected", m)
	}
}

func TestTookBounds(t *testing.T) {
	expectTimingRejected(t, &v1.StreamTook{})
	expectTimingRejected(t, &v1.StreamTook{Pool: "p", ReadUs: -1})
	expectTimingRejected(t, &v1.StreamTook{Pool: "p", StepUs: maxDurationUs + 1})
	expectTimingRejected(t, &v1.StreamTook{Pool: "p", ReadTokens: -1})
	expectTimingRejected(t, &v1.StreamTook{Pool: "p", Streams: maxRuns + 1})
}

// The counts of an engine's load are bounded, as are all numbers in messages. A wrong count would make every box keep
// streams from the engine, or send it all of them.
func TestLoadBounds(t *testing.T) {
	for _, tt := range []struct {
		name string
		load *v1.EngineLoad
		want bool
	}{
		{"largest counts", &v1.EngineLoad{Engine: "e", Queued: maxStreams, Running: maxStreams}, true},
		{"negative queue", &v1.EngineLoad{Engine: "e", Queued: -1}, false},
		{"long queue", &v1.EngineLoad{Engine: "e", Queued: maxStreams + 1}, false},
		{"negative running", &v1.EngineLoad{Engine: "e", Running: -1}, false},
		{"many running", &v1.EngineLoad{Engine: "e", Running: maxStreams + 1}, false},
	} {
		if _, ok := decode(&v1.Fact{Kind: &v1.Fact_Load{Load: tt.load}}, time.Now()); ok != tt.want {
			t.Errorf("%s: expected accepted %t, got %t", tt.name, tt.want, ok)
		}
	}
}
