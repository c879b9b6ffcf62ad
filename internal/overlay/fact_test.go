package overlay

import (
	"testing"
	"time"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// What a stream took reaches the other boxes as it was, to the microsecond.
func TestTookIsTold(t *testing.T) {
	now := time.Now()
	sent := Took{Pool: "p", ReadTokens: 3200, Read: 150 * time.Millisecond, Begin: 19 * time.Millisecond, Step: 5100 * time.Microsecond, Streams: 8}
	f := Fact{At: now, Took: &sent}
	got, ok := decode(f.encode(now), now)
	if !ok || got.Took == nil || *got.Took != sent {
		t.Errorf("expected %+v, got %+v", sent, got.Took)
	}
}

func expectTookDropped(t *testing.T, m *v1.StreamTook) {
	t.Helper()
	if _, ok := decode(&v1.Fact{Kind: &v1.Fact_Took{Took: m}}, time.Now()); ok {
		t.Errorf("expected %v to be dropped", m)
	}
}

func TestTookBounds(t *testing.T) {
	expectTookDropped(t, &v1.StreamTook{})
	expectTookDropped(t, &v1.StreamTook{Pool: "p", ReadUs: -1})
	expectTookDropped(t, &v1.StreamTook{Pool: "p", StepUs: mostTook + 1})
	expectTookDropped(t, &v1.StreamTook{Pool: "p", ReadTokens: -1})
	expectTookDropped(t, &v1.StreamTook{Pool: "p", Streams: mostRuns + 1})
}
