package peak

import (
	"testing"
	"time"
)

func TestDuration(t *testing.T) {
	const halfLife = time.Second
	var d Duration
	start := time.Now()
	expect := func(after, want time.Duration) {
		t.Helper()
		if got := d.At(start.Add(after), halfLife); got != want {
			t.Errorf("after %s: expected %s, got %s", after, want, got)
		}
	}
	expect(0, 0)
	d.Record(80*time.Millisecond, start, halfLife)
	d.Record(30*time.Millisecond, start.Add(time.Second), halfLife)
	expect(time.Second, 40*time.Millisecond)
	d.Record(50*time.Millisecond, start.Add(time.Second), halfLife)
	expect(time.Second, 50*time.Millisecond)
	expect(0, 50*time.Millisecond) // The clock may go back.
	expect(3*time.Second, 12500*time.Microsecond)
}
