package reach

import (
	"fmt"
	"testing"
)

var boxCounts = []int{8, 80, 400, 986}

func BenchmarkRank(b *testing.B) {
	for _, n := range boxCounts {
		var all []Box
		for i := range n {
			all = append(all, Box{Name: fmt.Sprint("box-", i), Hall: fmt.Sprint("h", i%5)})
		}
		boxes := &Boxes{Hall: "h0"}
		b.Run(fmt.Sprint("boxes=", n), func(b *testing.B) {
			for range b.N {
				boxes.Rank(all, "h1", start)
			}
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, lost := range []int{0, 12, 600, 4096} {
		tab := NewTable()
		for i := range lost {
			addr := fmt.Sprint("a", i)
			tab.DirectFailed(addr, Refused, after(0))
			tab.OtherConnected(addr, "box", after(0))
		}
		b.Run(fmt.Sprint("lost=", lost, "/sound"), func(b *testing.B) {
			for range b.N {
				tab.Plan("sound", after(1))
			}
		})
		b.Run(fmt.Sprint("lost=", lost, "/usable"), func(b *testing.B) {
			for range b.N {
				tab.Usable("sound")
			}
		})
		b.Run(fmt.Sprint("lost=", lost, "/probes"), func(b *testing.B) {
			for i := range b.N {
				tab.DueProbes(after(1000 + i%2))
			}
		})
	}
}
