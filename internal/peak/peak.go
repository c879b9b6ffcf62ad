// Package peak tracks the highest of recent durations, from which time-outs are derived that adapt to what a peer does.
package peak

import (
	"math"
	"time"
)

// Duration is the highest of recent durations. An earlier one counts half as much after each half-life. Its zero value
// has none.
type Duration struct {
	value time.Duration
	at    time.Time
}

// Record adds a duration.
func (d *Duration) Record(v time.Duration, now time.Time, halfLife time.Duration) {
	if v >= d.At(now, halfLife) {
		d.value, d.at = v, now
	}
}

// At returns the highest duration at a time.
func (d *Duration) At(now time.Time, halfLife time.Duration) time.Duration {
	if d.value == 0 {
		return 0
	}
	age := max(now.Sub(d.at), 0)
	return time.Duration(float64(d.value) * math.Exp2(-float64(age)/float64(halfLife)))
}
