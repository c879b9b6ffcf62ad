package overlay

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// BenchmarkFact measures what a gossip message costs a box that forwards it. The box receives the message, queues it
// for each follower, and encodes the updates to the followers. Each update has ten messages. The benchmark reports the
// bytes sent per message.
func BenchmarkFact(b *testing.B) {
	for _, followers := range []int{0, 8, 64} {
		b.Run(fmt.Sprint(followers, "followers"), func(b *testing.B) {
			n := New(Options{Metrics: metrics.NewSet(), OnStateChange: func(string, ...zap.Field) {}, OnMessage: func(Message) {}, Register: nil})
			n.SetMembers(map[string][]byte{"box": []byte(`{"address":"10.0.0.1:1"}`)})
			for i := range followers {
				n.admit(&follower{name: fmt.Sprint(i), queue: newMessageQueue()})
			}
			load := &Load{Engine: "i-0123456789", Decodes: true, KVUsed: 40000, KVTotal: 63346, Running: 6}
			for range 6 {
				load.Runs = append(load.Runs, StreamLoad{7000, 40})
			}
			f := Message{At: time.Now(), Load: load}
			m := f.encode(time.Now())
			m.Box, m.Incarnation = "box", time.Now().UnixNano()
			sent, messages := 0, 0
			b.ReportAllocs()
			for i := range b.N {
				m := &v1.Fact{Box: m.Box, Incarnation: m.Incarnation, Seq: uint64(i + 1), AgeMs: m.AgeMs, Kind: m.Kind}
				n.receive(m, nil, nil)
				if i%10 != 9 {
					continue
				}
				for f := range n.followers {
					text, err := proto.Marshal(n.nextUpdate(f))
					if err != nil {
						b.Fatal(err)
					}
					sent, messages = sent+len(text), messages+10
				}
			}
			if messages > 0 {
				b.ReportMetric(float64(sent)/float64(messages), "B/fact")
			}
		})
	}
}
