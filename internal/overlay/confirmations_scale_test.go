package overlay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// BenchmarkConfirmations has boxes that do not reach the store ask others about streams, of which those that reach it know all.
// It reports for each stream the bytes on the connections between boxes, the boxes that are asked, and how many are confirmed.
func BenchmarkConfirmations(b *testing.B) {
	for _, boxes := range []int{8, 60, 400} {
		for _, reaching := range []float64{1, 0.5, 0} {
			b.Run(fmt.Sprintf("boxes=%d/reaching=%.0f%%", boxes, 100*reaching), func(b *testing.B) {
				s := newOriginSite(b, boxes)
				var bytes, calls atomic.Int64
				s.countBytes(&bytes)
				rng := rand.New(rand.NewPCG(1, uint64(boxes)))
				for i, j := range rng.Perm(boxes) {
					knows := float64(i) < reaching*float64(boxes)
					s.boxes[j].o.ConfirmOrigin = func(context.Context, string, string, origins.Stream) (string, bool) {
						calls.Add(1)
						return "v1.1", knows
					}
				}
				confirmed := 0
				ask := func(n int) {
					for range n {
						if _, _, ok := s.boxes[rng.IntN(min(boxes, maxBeginners))].ConfirmOrigin(context.Background(), "verdict-lm", "perth", origins.Stream{Key: origins.Key(rng.Uint64())}); ok {
							confirmed++
						}
					}
				}
				ask(min(4*boxes, maxWarmUp)) // Opens connections.
				bytes.Store(0)
				calls.Store(0)
				confirmed = 0
				b.ResetTimer()
				ask(b.N)
				b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/stream")
				b.ReportMetric(float64(calls.Load())/float64(b.N), "boxes-asked/stream")
				b.ReportMetric(100*float64(confirmed)/float64(b.N), "%confirmed")
			})
		}
	}
}

// Of boxes of which a share does not reach the store, those ask about their streams. A stream stays unconfirmed if none of the six
// boxes that are asked reaches it: the share to the power of six, and a little more by chance.
func TestConfirmationsWithPartOfTheBoxes(t *testing.T) {
	const streams = 1000
	for _, boxes := range []int{8, 60, 400} {
		for _, cut := range []float64{0.1, 0.5, 0.9} {
			s := newSimulated(boxes)
			rng := rand.New(rand.NewPCG(uint64(boxes), uint64(100*cut)))
			order := rng.Perm(boxes)
			n := max(1, int(cut*float64(boxes)))
			away := map[int]bool{}
			for _, i := range order[:n] {
				away[i] = true
			}
			s.list(order)
			missed, served := 0, make([]int, boxes)
			for i := range streams {
				reached := false
				asked := s.nodes[order[i%n]].originOrder(origins.Key(rng.Uint64()), originAsked*originRounds)
				for j, m := range asked {
					if j%originAsked == 0 && reached {
						break
					}
					served[s.index(m)]++
					reached = reached || !away[s.index(m)]
				}
				if !reached {
					missed++
				}
			}
			p := 1.0
			for range originAsked * originRounds {
				p *= float64(n) / float64(boxes)
			}
			if limit := streams * (p + 0.05); float64(missed) > limit {
				t.Errorf("%d boxes, %d cut off: expected at most %.0f of %d streams unconfirmed, got %d", boxes, n, limit, streams, missed)
			}
			most, all := 0, 0
			for _, k := range served {
				most, all = max(most, k), all+k
			}
			t.Logf("%d boxes, %d cut off: %.1f%% of their streams are not confirmed, %.1f boxes asked for each, %.1f%% of the calls to one box at most", boxes, n, 100*float64(missed)/streams, float64(all)/streams, 100*float64(most)/float64(all))
		}
	}
}
