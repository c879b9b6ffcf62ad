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

// toldUntil has a box tell of streams at an engine until another one has heard of one.
func (b *box) toldUntil(t *testing.T, to *box, engine string) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s hears of %s", to.o.Self.Name, engine), func() bool {
		b.Tell(Fact{At: time.Now(), Refused: &Refused{Engine: engine}})
		time.Sleep(100 * time.Millisecond)
		return to.heardOf(engine) > 0
	})
}

// interestOf is the interest that a box has been told of by a follower.
func (b *box) interestOf(name string) (in interest, follows bool) {
	b.Node.mu.Lock()
	defer b.Node.mu.Unlock()
	for f := range b.followers {
		if f.name == name {
			return f.interest, true
		}
	}
	return in, false
}

// A box that deals with few of many engines hears of these, and of the others only how many streams
// were placed. One that is followed hears of all, since it passes facts on. Each box heard each fact: at
// 36 streams a second some 220 of them, of which it had a use for two.
func TestInterest(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	a, c := all[0], all[2]
	c.WantFacts([]string{"mine"})
	eventually(t, "what c wants is known", func() bool {
		in, ok := c.upOf(all).interestOf("c")
		return ok && in.engines != nil
	})
	for range 20 {
		a.Tell(Fact{At: time.Now(), Refused: &Refused{Engine: "other"}})
		a.Tell(Fact{At: time.Now(), Placed: &Placed{Writer: "other", Service: "llm"}})
	}
	a.toldUntil(t, c, "mine")
	if n := c.heardOf("other"); n > 0 {
		t.Errorf("expected nothing of an engine that the box does not deal with, got %d facts", n)
	}
	eventually(t, "the streams are counted", func() bool { return c.streams("llm") == 20 })
	c.WantFacts(nil)
	a.toldUntil(t, c, "other")
}

// upOf is the box that this one follows.
func (b *box) upOf(all []*box) *box {
	for _, up := range all {
		if b.follows(up.o.Self.Name) {
			return up
		}
	}
	return all[0]
}

func (b *box) streams(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.placed[service]
}

// A box that begins to be followed has all facts again: otherwise those that follow it would miss
// what it has no use for itself.
func TestInterestOfFollowed(t *testing.T) {
	var i interests
	i.set(interestIn([]string{"mine"}))
	if m := i.news(false); m == nil || m.All || len(m.Engines) != 1 {
		t.Errorf("expected the one engine to be told, got %v", m)
	}
	if m := i.news(false); m != nil {
		t.Errorf("expected nothing new, got %v", m)
	}
	i.unsaid()
	if m := i.news(false); m == nil {
		t.Error("expected what was lost to be told again")
	}
	if m := i.news(true); m == nil || !m.All {
		t.Errorf("expected a box that is followed to want all, got %v", m)
	}
	i.begin()
	if m := i.news(true); m != nil {
		t.Errorf("expected nothing to be told to another box, which takes it for all, got %v", m)
	}
}

// TestInterestBounds: what a follower claims is bounded, and what it claims too much of is all.
func TestInterestBounds(t *testing.T) {
	m := &v1.Interest{Engines: make([]uint32, mostInterest+1)}
	if in := decodeInterest(m); in.engines != nil {
		t.Errorf("expected all, got %d engines", len(in.engines))
	}
	b := newStore().start(t, "a", "h", 1)
	for _, n := range []int32{-1, 0, mostPlaced} {
		b.heardPlaced(&v1.StreamsPlaced{Service: "llm", N: n})
	}
	if n := b.streams("llm"); n != 0 {
		t.Errorf("expected no streams, got %d", n)
	}
}

// BenchmarkInterest is what a box of a large fleet sends to one follower of 36 streams a second, as bytes
// a second: placed, ended and 4 loads each, at 8,650 engines. 8.9 KB/s while each was told all, and 0.23
// with what it deals with, 96 of the engines (one run each).
func BenchmarkInterest(b *testing.B) {
	const engines, known, streams = 8650, 96, 36
	for _, all := range []bool{true, false} {
		b.Run(fmt.Sprintf("all=%t", all), func(b *testing.B) {
			n := New(Options{Metrics: metrics.NewSet(), Believed: func(string, ...zap.Field) {}, Heard: func(Fact) {}})
			f := &follower{name: "f", queue: newQueue()}
			n.admit(f)
			if !all {
				var names []string
				for i := range known {
					names = append(names, engineName(i*engines/known))
				}
				f.interest = interestIn(names)
			}
			sent, second := 0, 0
			for b.Loop() {
				second++
				for i := range streams {
					e := engineName((second*7919 + i*104729) % engines)
					n.Tell(Fact{At: time.Now(), Placed: &Placed{Writer: e, Reader: engineName(i), Service: "llm", KVTokens: 6000, Prompt: 5200, Home: "box-of-some-hall-17"}})
					n.Tell(Fact{At: time.Now(), Ended: &Ended{Engine: e, Tokens: 5300}})
					for l := range 4 {
						n.Tell(Fact{At: time.Now(), Load: &Load{Engine: engineName((second*31 + i*l*17) % engines), Writes: true, KVUsed: 40000, KVTotal: 63346, Running: 1, Runs: []Run{{5300, 40}}}})
					}
					if i%6 != 5 {
						continue
					}
					text, err := proto.Marshal(n.update(f))
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
