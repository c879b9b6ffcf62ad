package overlay

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

func TestMembersMissingAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s members
		row := func(name string) []byte {
			m := Member{Name: name, Region: "r", Address: "127.0.0.1:1"}
			return m.encode()
		}
		expect := func(what string, size int, listed bool) {
			t.Helper()
			if _, got := s.get("b"); s.size() != size || got != listed {
				t.Errorf("%s: expected %d members, the second listed: %t, got %d, %t", what, size, listed, s.size(), got)
			}
		}
		older := map[string][]byte{"a": row("a")}
		whole := map[string][]byte{"a": row("a"), "b": row("b")}
		s.set(whole)
		expect("at first", 2, true)
		s.set(older)
		expect("a member that leaves", 1, false)
		s.set(whole)
		s.setRestored()
		s.set(older)
		expect("restored from an older copy", 2, false)
		s.set(older)
		expect("after another change", 2, false)
		s.set(whole)
		expect("listed again", 2, true)
		s.setRestored()
		s.set(older)
		time.Sleep(MissingRetention)
		s.set(older)
		expect("not listed again", 1, false)
	})
}

// A box remembers the last message of each box, to accept each message once. It must forget boxes that have left, since
// restarts on other machines bring new names for as long as the box runs. It must not forget one that is missing in the
// list for a moment: late copies of its messages would be accepted again.
func TestLastMessagesOfBoxesThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accepted := 0
		n := New(Options{Self: Member{Name: "self"}, Metrics: metrics.NewSet(), OnMessage: func(Message) { accepted++ }})
		list := func(names ...string) {
			rows := map[string][]byte{}
			for _, name := range names {
				m := Member{Name: name, Region: "r", Address: "127.0.0.1:1"}
				rows[name] = m.encode()
			}
			n.SetMembers(rows)
		}
		receive := func(box string, seq uint64) {
			n.receive(&v1.Fact{Box: box, Incarnation: 1, Seq: seq, Kind: &v1.Fact_Waiting{Waiting: &v1.StreamsWaiting{N: 1}}}, nil, nil)
		}
		expect := func(what string, wantAccepted int, want ...string) {
			t.Helper()
			n.mu.Lock()
			defer n.mu.Unlock()
			if got := slices.Sorted(maps.Keys(n.lastReceived)); !slices.Equal(got, want) || accepted != wantAccepted {
				t.Errorf("%s: expected %v remembered and %d messages accepted, got %v and %d", what, want, wantAccepted, got, accepted)
			}
		}
		list("a", "b")
		receive("a", 5)
		receive("b", 5)
		list("a")
		list("a", "b")
		receive("b", 5)
		expect("missing for a moment", 2, "a", "b")
		list("a")
		time.Sleep(maxMessageAge + time.Second)
		receive("a", 6)
		list("a", "c")
		expect("gone for longer than a message lives", 3, "a")
	})
}
