package clock

import (
	"testing"
	"time"
)

// After a suspension, the age of a time taken before it includes the whole suspension.
func TestSuspended(t *testing.T) {
	var d time.Duration
	defer SetSuspendedForTest(func() time.Duration { return d })()
	at := Now()
	d = 5 * time.Second
	if age := Since(at); age < d || age > d+time.Second {
		t.Errorf("expected an age of 5 s and a little, got %s", age)
	}
	if left := Until(at.Add(7 * time.Second)); left > 2*time.Second {
		t.Errorf("expected 2 s left at the most, got %s", left)
	}
}

// Without a suspension, Now equals the time of package time and never decreases.
func TestAwake(t *testing.T) {
	last := Now()
	for range 100_000 {
		now := Now()
		if now.Before(last) {
			t.Fatalf("expected no step back, got %s", now.Sub(last))
		}
		last = now
	}
	if d := time.Until(last); d > time.Millisecond || d < -time.Second {
		t.Errorf("expected the time of package time, got %s beside it", d)
	}
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
