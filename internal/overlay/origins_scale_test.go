package overlay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// countedListener counts the bytes that a box receives and sends on the connections that it accepts.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countBytes counts the bytes on the connections between the boxes from now on.
func (s *originSite) countBytes(bytes *atomic.Int64) {
	s.t.Helper()
	for _, x := range s.boxes {
		x.srv.Listener.Close()
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		go func() { _ = x.srv.Config.Serve(countedListener{lis, bytes}) }()
		s.t.Cleanup(func() { lis.Close() })
		x.SetAddress(lis.Addr().String())
	}
	s.list(s.boxes)
}

// In a benchmark, streams begin at maxBeginners boxes, so that the connections stay within the descriptors of one process.
const (
	maxBeginners = 20
	maxWarmUp    = 1000
)

// BenchmarkOrigins has boxes begin streams, and boxes that did not begin them find their origins. It reports the bytes on the
// connections between boxes for each stream that begins and for each one that is looked up, and the origins that the fullest
// box keeps.
func BenchmarkOrigins(b *testing.B) {
	for _, boxes := range []int{8, 80, 400, 986} {
		b.Run(fmt.Sprintf("boxes=%d", boxes), func(b *testing.B) {
			s := newOriginSite(b, boxes)
			var bytes atomic.Int64
			s.countBytes(&bytes)
			rng := rand.New(rand.NewPCG(1, uint64(boxes)))
			begin := func(n int) []origins.Key {
				keys := make([]origins.Key, n)
				for i := range keys {
					keys[i] = origins.Key(rng.Uint64())
					s.boxes[rng.IntN(min(boxes, maxBeginners))].PublishOrigin(origins.Origin{Key: keys[i], Service: "verdict-lm", Build: "v1.1", Revision: 1, Expires: clock.Now().Add(time.Minute)})
					time.Sleep(100 * time.Microsecond) // Streams begin one after the other, each with a call of its own.
				}
				s.awaitSent()
				return keys
			}
			begin(min(4*boxes, maxWarmUp)) // Opens connections.
			bytes.Store(0)
			b.ResetTimer()
			keys := begin(b.N)
			b.ReportMetric(float64(bytes.Swap(0))/float64(b.N), "bytes/stream")
			found := 0
			for _, k := range keys[:min(len(keys), 200)] {
				if _, _, ok := s.boxes[rng.IntN(min(boxes, maxBeginners))].FindOrigin(context.Background(), origins.Stream{Key: k}); ok {
					found++
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(min(len(keys), 200)), "bytes/lookup")
			b.ReportMetric(100*float64(found)/float64(min(len(keys), 200)), "%found")
			most := 0
			for _, x := range s.boxes {
				most = max(most, x.OriginCount())
			}
			b.ReportMetric(float64(most), "most-origins")
		})
	}
}

// awaitSent waits until no origin waits to be sent.
func (s *originSite) awaitSent() {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		left := 0
		for _, b := range s.boxes {
			b.origins.mu.Lock()
			left += len(b.origins.pending)
			b.origins.mu.Unlock()
		}
		if left == 0 {
			return
		}
		if time.Now().After(end) {
			s.t.Fatal("origins still wait to be sent")
		}
	}
}

// simulated is which boxes know the origins of streams, without calls.
type simulated struct {
	nodes []*Node
	know  []map[origins.Key]bool
}

func newSimulated(boxes int) *simulated {
	s := &simulated{know: make([]map[origins.Key]bool, boxes)}
	for i := range boxes {
		s.nodes = append(s.nodes, &Node{o: Options{Self: Member{Name: fmt.Sprintf("box-%d", i), Region: "r", Address: "10.0.0.1:1"}}})
		s.know[i] = map[origins.Key]bool{}
	}
	return s
}

func (s *simulated) list(alive []int) {
	rows := map[string][]byte{}
	for _, i := range alive {
		rows[s.nodes[i].o.Self.Name] = s.nodes[i].o.Self.encode()
	}
	for _, n := range s.nodes {
		n.members.set(rows)
	}
}

func (s *simulated) index(m Member) (i int) {
	_, _ = fmt.Sscanf(m.Name, "box-%d", &i)
	return i
}

// known reports whether a box finds an origin. Boxes that are not alive do not answer.
func (s *simulated) known(box int, k origins.Key, alive []int) bool {
	return s.know[box][k] || slices.ContainsFunc(s.nodes[box].originOrder(k, originAsked*originRounds), func(m Member) bool {
		i := s.index(m)
		return slices.Contains(alive, i) && s.know[i][k]
	})
}

// Of the streams whose box dies with a share p of all boxes, at most p squared are not known, and a little more by chance. Boxes
// that are left ask while their list still has the dead ones.
func TestOriginsOutliveManyBoxes(t *testing.T) {
	const streams = 600
	for _, boxes := range []int{8, 80, 400} {
		for _, share := range []float64{0.1, 0.3, 0.6} {
			s := newSimulated(boxes)
			rng := rand.New(rand.NewPCG(uint64(boxes), uint64(100*share)))
			order := rng.Perm(boxes)
			dead, alive := order[:int(share*float64(boxes))], order[int(share*float64(boxes)):]
			s.list(order)
			lost := 0
			for i := range streams {
				k := origins.Key(rng.Uint64())
				from := i % boxes
				if len(dead) > 0 {
					from = dead[i%len(dead)] // Only streams whose box dies.
				}
				s.know[from][k] = true
				for _, m := range s.nodes[from].originOrder(k, originHolders) {
					s.know[s.index(m)][k] = true
				}
				if !s.known(alive[i%len(alive)], k, alive) {
					lost++
				}
			}
			p := float64(len(dead)) / float64(boxes)
			if limit := streams * (p*p + 0.05); float64(lost) > limit {
				t.Errorf("%d boxes, %.0f%% dead: expected at most %.0f of %d streams not to be known, got %d", boxes, 100*p, limit, streams, lost)
			}
			t.Logf("%d boxes, %.0f%% dead: %.1f%% of the streams of dead boxes are not known", boxes, 100*p, 100*float64(lost)/streams)
		}
	}
}
