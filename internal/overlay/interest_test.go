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

// publishUntilReceived has one box publish messages about an engine until the box named to has received one of them.
func (b *box) publishUntilReceived(t *testing.T, to *box, engine string) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s receives a message about %s", to.o.Self.Name, engine), func() bool {
		b.Publish(Message{At: time.Now(), Refused: &PrefillRefused{Engine: engine}})
		time.Sleep(100 * time.Millisecond)
		return to.receivedCount(engine) > 0
	})
}

// interestOfFollower returns the interest that a box has recorded for its follower of a name.
func (b *box) interestOfFollower(name string) (in interest, follows bool) {
	b.Node.mu.Lock()
	defer b.Node.mu.Unlock()
	for f := range b.followers {
		if f.name == name {
			return f.interest, true
		}
	}
	return in, false
}

// A box that uses few of many engines is sent the gossip messages about these engines. Of all other engines it is sent
// only the number of streams placed there. A box with followers is sent all messages, since it forwards them. When
// every box was sent every message, that was some 220 messages a second at 36 streams a second. A box had a use for two
// of these 220 messages.
func TestInterest(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	a, c := all[0], all[2]
	c.SetInterest([]string{"mine"})
	eventually(t, "the interest of c is known", func() bool {
		in, ok := c.upstreamOf(all).interestOfFollower("c")
		return ok && in.engines != nil
	})
	for range 20 {
		a.Publish(Message{At: time.Now(), Refused: &PrefillRefused{Engine: "other"}})
		a.Publish(Message{At: time.Now(), Placed: &StreamPlaced{DecodeEngine: "other", Service: "llm"}})
	}
	a.publishUntilReceived(t, c, "mine")
	if n := c.receivedCount("other"); n > 0 {
		t.Errorf("expected nothing of an engine that the box does not deal with, got %d messages", n)
	}
	eventually(t, "the streams are counted", func() bool { return c.omittedStreams("llm") == 20 })
	c.SetInterest(nil)
	a.publishUntilReceived(t, c, "other")
}

// upstreamOf returns the box that a box follows.
func (b *box) upstreamOf(all []*box) *box {
	for _, up := range all {
		if b.follows(up.o.Self.Name) {
			return up
		}
	}
	return all[0]
}

func (b *box) omittedStreams(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.omitted[service]
}

// A box without followers asks its upstream for the messages about the engines that the box uses. Once the box has a
// follower, it asks for all messages. The follower may need the messages about other engines.
func TestInterestWithFollowers(t *testing.T) {
	var i interestState
	i.set(newInterest([]string{"mine"}))
	if m := i.takeChange(false); m == nil || m.All || len(m.Engines) != 1 {
		t.Errorf("expected the one engine to be sent, got %v", m)
	}
	if m := i.takeChange(false); m != nil {
		t.Errorf("expected nothing new, got %v", m)
	}
	i.markUnconfirmed()
	if m := i.takeChange(false); m == nil {
		t.Error("expected what was lost to be sent again")
	}
	if m := i.takeChange(true); m == nil || !m.All {
		t.Errorf("expected a box with followers to want all messages, got %v", m)
	}
	i.reset()
	if m := i.takeChange(true); m != nil {
		t.Errorf("expected nothing to be sent to a new upstream, which assumes all engines, got %v", m)
	}
}

// A follower that names more engines than allowed is sent the messages about all engines. A number of omitted
// streams that is out of bounds is ignored.
func TestInterestBounds(t *testing.T) {
	m := &v1.Interest{Engines: make([]uint32, maxInterestEngines+1)}
	if in := decodeInterest(m); in.engines != nil {
		t.Errorf("expected all, got %d engines", len(in.engines))
	}
	b := newStore().start(t, "a", "h", 1)
	for _, n := range []int32{-1, 0, maxPlacedStreams} {
		b.receivePlaced(&v1.StreamsPlaced{Service: "llm", N: n})
	}
	if n := b.omittedStreams("llm"); n != 0 {
		t.Errorf("expected no streams, got %d", n)
	}
}

// BenchmarkInterest measures how many bytes a second a box of a large fleet sends to one follower. The fleet has 8,650
// engines and starts 36 streams a second. Each stream causes one message when it is placed, one message when it ends,
// and 4 messages about the load of engines. A follower that is sent all messages is sent 8.9 KB/s. With an interest of
// 96 engines it is sent 0.23 KB/s (one run each).
func BenchmarkInterest(b *testing.B) {
	const engines, known, streams = 8650, 96, 36
	for _, all := range []bool{true, false} {
		b.Run(fmt.Sprintf("all=%t", all), func(b *testing.B) {
			n := New(Options{Metrics: metrics.NewSet(), OnStateChange: func(string, ...zap.Field) {}, OnMessage: func(Message) {}})
			f := &follower{name: "f", queue: newMessageQueue()}
			n.admit(f)
			if !all {
				var names []string
				for i := range known {
					names = append(names, engineName(i*engines/known))
				}
				f.interest = newInterest(names)
			}
			sent, second := 0, 0
			for b.Loop() {
				second++
				for i := range streams {
					e := engineName((second*7919 + i*104729) % engines)
					n.Publish(Message{At: time.Now(), Placed: &StreamPlaced{DecodeEngine: e, PrefillEngine: engineName(i), Service: "llm", KVTokens: 6000, PromptTokens: 5200, Owner: "box-of-some-hall-17"}})
					n.Publish(Message{At: time.Now(), Ended: &StreamEnded{Engine: e, Tokens: 5300}})
					for l := range 4 {
						n.Publish(Message{At: time.Now(), Load: &Load{Engine: engineName((second*31 + i*l*17) % engines), Decodes: true, KVUsed: 40000, KVTotal: 63346, Running: 1, Runs: []StreamLoad{{5300, 40}}}})
					}
					if i%6 != 5 {
						continue
					}
					text, err := proto.Marshal(n.nextUpdate(f))
					if err != nil {
						b.Fatal(err)
					}
					sent += len(text)
				}
			}
			b.ReportMetric(float64(sent)/float64(second), "B/s")
		})
	}
}

func engineName(i int) string { return fmt.Sprintf("i-%010x", i) }
