package intake

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkAdmit(b *testing.B) {
	var g Gate
	now := time.Now()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		g.Admit(now)
	}
}

func BenchmarkConnected(b *testing.B) {
	var d Delays
	now := time.Now()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		d.Connected(now, "10.0.0.1", 2*time.Millisecond)
	}
}

// BenchmarkStep is what a box does each intakeInterval while it has requests.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 60, 400, 986} {
		b.Run(fmt.Sprint(n, " boxes"), func(b *testing.B) {
			var g Gate
			var s Shares
			var d Delays
			names := make([]string, n)
			now := time.Now()
			for i := range n {
				names[i] = fmt.Sprint("box-", i)
				s.Receive(now, names[i], 20)
				d.Connected(now, names[i], time.Millisecond)
			}
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				g.Step(now, max(d.Link(now), d.Processor(now)), false, s.Compare(now, "box-0", 30, names).Hot)
			}
		})
	}
}
