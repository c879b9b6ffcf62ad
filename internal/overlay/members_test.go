package overlay

import (
	"encoding/json"
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

// earlierMember is the row of a box as releases before PlanRules decode it.
type earlierMember struct {
	Region      string  `json:"region"`
	Hall        string  `json:"hall"`
	Address     string  `json:"address"`
	Incarnation int64   `json:"incarnation"`
	LinkMbps    float64 `json:"linkMbps,omitempty"`
	Plans       bool    `json:"plans,omitempty"`
}

// Guards against boxes of two releases that don't see each other.
func TestRowsOfMembersAcrossReleases(t *testing.T) {
	earlier := earlierMember{Region: "r", Hall: "h", Address: "127.0.0.1:1", Incarnation: 7, LinkMbps: 20, Plans: true}
	row, err := json.Marshal(earlier)
	if err != nil {
		t.Fatal(err)
	}
	var s members
	s.set(map[string][]byte{"a": row})
	if m, _ := s.get("a"); m != (Member{Name: "a", Region: "r", Hall: "h", Address: "127.0.0.1:1", Incarnation: 7, LinkMbps: 20, Plans: true}) {
		t.Errorf("expected the row of an earlier release, without rules for plans, got %+v", m)
	}
	own := Member{Name: "a", Region: "r", Hall: "h", Address: "127.0.0.1:1", Incarnation: 7, LinkMbps: 20, Plans: true, PlanRules: PlanRulesTraceable}
	var got earlierMember
	if err := json.Unmarshal(own.encode(), &got); err != nil || got != earlier {
		t.Errorf("expected an earlier release to decode the row, got %+v, %v", got, err)
	}
	s.set(map[string][]byte{"a": own.encode()})
	if m, _ := s.get("a"); m != own {
		t.Errorf("expected the row that was written, got %+v", m)
	}
	without := earlierMember{Region: "r", Address: "127.0.0.1:1"}
	if row, err = json.Marshal(without); err != nil || string(row) != `{"region":"r","hall":"","address":"127.0.0.1:1","incarnation":0}` {
		t.Errorf("expected a row without plans to be as before, got %s, %v", row, err)
	}
}

// Guards against streams that are taken for planned although a box of an earlier release, which may begin them otherwise, serves.
func TestBoxesOfEarlierReleasesDoNotPlanTraceably(t *testing.T) {
	n := New(Options{Self: Member{Name: "a", Region: "r"}, Metrics: metrics.NewSet()})
	const (
		none      = `{"region":"r","address":"127.0.0.1:1"}`
		planning  = `{"region":"r","address":"127.0.0.1:1","plans":true}`
		present   = `{"region":"r","address":"127.0.0.1:1","plans":true,"plan_rules":1}`
		later     = `{"region":"r","address":"127.0.0.1:1","plans":true,"plan_rules":2,"more":{}}`
		elsewhere = `{"region":"other","address":"127.0.0.1:1","plans":true}`
	)
	for _, c := range []struct {
		rows []string
		// ranked is set if box a is one of those that plan, or there is none.
		all, ranked bool
	}{
		{nil, true, true},
		{[]string{present, present}, true, true},
		{[]string{present, later}, true, true},
		{[]string{present, elsewhere}, true, true},
		{[]string{elsewhere, present}, true, false},
		{[]string{present, planning}, false, true},
		{[]string{planning, present}, false, true},
		{[]string{present, none}, false, true},
		{[]string{none, present}, false, false},
		{[]string{none, none}, false, true},
		{[]string{later, `{"region":"r","address":"127.0.0.1:1","plans":true,"plan_rules":-1}`}, false, true},
	} {
		rows := map[string][]byte{}
		for i, r := range c.rows {
			rows[string(rune('a'+i))] = []byte(r)
		}
		n.SetMembers(rows)
		if got := n.PlanRules("r") >= PlanRulesTraceable; got != c.all {
			t.Errorf("%q: expected %t, got %t", c.rows, c.all, got)
		}
		if got := n.PlanRank("r", "x"); (got >= 0) != c.ranked {
			t.Errorf("%q: expected a rank: %t, got %d", c.rows, c.ranked, got)
		}
	}
}
