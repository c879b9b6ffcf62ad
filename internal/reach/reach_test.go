package reach

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// after returns the time a number of milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func expectState(t *testing.T, tab *Table, addr string, want State) {
	t.Helper()
	if got := tab.State(addr); got != want {
		t.Errorf("%s: expected the state %s, got %s", addr, want, got)
	}
}

func TestPathIsLostIfAnotherBoxConnects(t *testing.T) {
	tab := NewTable()
	var changes []Change
	tab.OnChange = func(c Change) { changes = append(changes, c) }
	tab.DirectFailed("a", Refused, after(0))
	expectState(t, tab, "a", Direct)
	tab.OtherConnected("a", "box", after(5))
	expectState(t, tab, "a", Lost)
	if p := tab.Plan("a", after(6)); p.Direct || !p.Others || p.FailFast {
		t.Errorf("expected a plan through other boxes alone, got %+v", p)
	}
	tab.DirectConnected("a", after(900))
	expectState(t, tab, "a", Direct)
	if p := tab.Plan("a", after(901)); !p.Direct || p.HeadStart != headStart {
		t.Errorf("expected the direct path first, got %+v", p)
	}
	if len(changes) != 2 || changes[0].Via != "box" || changes[0].Failure != Refused || changes[1].To != Direct || changes[1].Lasted != 895*time.Millisecond {
		t.Errorf("expected the loss and its end, got %+v", changes)
	}
}

// Guards against an endpoint that is gone and counts as a lost path, and the reverse.
func TestEndpointGoneIsNoLostPath(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Refused, after(0))
	tab.OtherFailed("a", after(3))
	tab.AllFailed("a", after(4))
	expectState(t, tab, "a", Unreachable)
	if p := tab.Plan("a", after(5)); !p.Direct || p.Others || p.FailFast {
		t.Errorf("expected only direct connects to a port that refuses them, got %+v", p)
	}
	tab.DirectConnected("a", after(500))
	expectState(t, tab, "a", Direct)
}

// Guards against callers that wait for connects to an endpoint that no path reaches.
func TestUnansweredEndpointFailsFast(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Unanswered, after(0))
	tab.OtherFailed("a", after(1))
	tab.AllFailed("a", after(1))
	if p := tab.Plan("a", after(2)); !p.FailFast {
		t.Errorf("expected no attempt, got %+v", p)
	}
	tab.OtherConnected("a", "box", after(400)) // A probe through another box.
	expectState(t, tab, "a", Lost)
}

// An endpoint that was silent and is back may be reached by another box just before this box.
func TestOldFailureIsNoEvidence(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Unanswered, after(0))
	tab.OtherConnected("a", "box", after(2500))
	expectState(t, tab, "a", Direct)
}

// Guards against a false verdict while the boxes that were asked have lost their paths too and don't know it yet.
func TestBoxesThatCannotJudgeAreNoEvidence(t *testing.T) {
	tab := NewTable()
	for round := range roundsToGiveUp {
		expectState(t, tab, "a", Direct)
		tab.DirectFailed("a", Unanswered, after(round))
		tab.AllFailed("a", after(round))
	}
	expectState(t, tab, "a", Unreachable)
	if tab.Denied("a") {
		t.Error("expected no box to have judged the address")
	}
}

func TestFailureIsCredibleWhileOthersAnswer(t *testing.T) {
	tab := NewTable()
	tab.Answered("a", after(0))
	if tab.Credible("a", Refused, after(1), after(2)) {
		t.Error("expected no evidence from the address itself")
	}
	tab.Answered("b", after(10))
	tab.Answered("a", after(20))
	if !tab.Credible("a", Refused, after(100), after(101)) || tab.Credible("a", Refused, after(400), after(401)) {
		t.Error("expected a refusal to count for 300 ms after another address has answered")
	}
	if tab.Credible("a", Unanswered, after(50), after(450)) {
		t.Error("expected a connect without answer to count only if another address has answered since")
	}
	tab.Answered("b", after(60))
	if !tab.Credible("a", Unanswered, after(50), after(450)) {
		t.Error("expected a connect without answer to count, since another address has answered")
	}
}

func TestLostPathIsUnreachableOnceOtherBoxesFail(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Refused, after(0))
	tab.OtherConnected("a", "box", after(1))
	tab.AllFailed("a", after(100)) // The boxes that were tried have lost their paths too; one has just reached it.
	expectState(t, tab, "a", Lost)
	tab.OtherFailed("a", after(200))
	tab.AllFailed("a", after(201))
	expectState(t, tab, "a", Unreachable)
}

// Once several paths are lost, others are tried through other boxes at once.
func TestSeveralLostPathsEndTheHeadStart(t *testing.T) {
	tab := NewTable()
	lose := func(addr string, ms int) {
		tab.DirectFailed(addr, Unanswered, after(ms))
		tab.OtherConnected(addr, "box", after(ms))
	}
	lose("a", 0)
	if p := tab.Plan("new", after(1)); p.HeadStart != headStart {
		t.Errorf("expected a head start after one lost path, got %+v", p)
	}
	lose("b", 2)
	if p := tab.Plan("new", after(3)); p.HeadStart != 0 || !p.Direct {
		t.Errorf("expected both ways at once, got %+v", p)
	}
	tab.DirectConnected("c", after(4))
	if p := tab.Plan("new", after(5)); p.HeadStart != headStart {
		t.Errorf("expected a head start again, since a direct connect succeeded, got %+v", p)
	}
}

func TestProbesAreBoundedAndEnd(t *testing.T) {
	tab := NewTable()
	for i := range 20 {
		addr := fmt.Sprint("a", i)
		tab.DirectFailed(addr, Refused, after(0))
		tab.OtherConnected(addr, "box", after(0))
	}
	probed := map[string]int{}
	for ms := 0; ms < 4000; ms += 100 {
		due := tab.DueProbes(after(ms))
		if len(due) > maxProbes {
			t.Fatalf("expected at most %d probes, got %d", maxProbes, len(due))
		}
		for _, p := range due {
			probed[p.Address]++
		}
	}
	for i := range 20 {
		if n := probed[fmt.Sprint("a", i)]; n < 4 {
			t.Errorf("expected all addresses to be probed, a%d was probed %d times", i, n)
		}
	}
	tab.DirectConnected("a0", after(4000))
	if due := tab.DueProbes(after(4000)); len(due) != maxProbes {
		t.Errorf("expected the other paths to be probed at once after one has healed, got %d", len(due))
	}
	tab.DueProbes(after(20_000))
	if left := tab.Entries(); len(left) != 0 {
		t.Errorf("expected unused addresses to be forgotten, got %d", len(left))
	}
}

func TestSlowChecksAreBounded(t *testing.T) {
	tab := NewTable()
	claimed := 0
	for ms := 0; ms < 10_000; ms += 10 {
		for _, addr := range []string{"a", "b", "c"} {
			if tab.ClaimCheck(addr, after(ms), 250*time.Millisecond) {
				claimed++
			}
		}
	}
	if claimed < 20 || claimed > 40 {
		t.Errorf("expected at most 4 checks a second, got %d in 10 s", claimed)
	}
	tab.Answered("d", after(20_000))
	if tab.ClaimCheck("d", after(20_100), 250*time.Millisecond) {
		t.Error("expected no check of an address that has just answered")
	}
}

// Whatever happens in whatever order: a path is never lost without a box that reaches the address, and a direct connect
// ends each other state.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab, now := NewTable(), start
		lastVia, lastFailed := map[string]time.Time{}, map[string]time.Time{}
		tab.OnChange = func(c Change) {
			if c.To == Lost && (now.Sub(lastVia[c.Address]) >= evidenceLife || now.Sub(lastFailed[c.Address]) >= evidenceLife) {
				rt.Fatalf("%s is lost without fresh evidence", c.Address)
			}
		}
		for range rapid.IntRange(1, 60).Draw(rt, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(rt, "ms")) * time.Millisecond)
			addr := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "address")
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0:
				tab.DirectConnected(addr, now)
				if tab.State(addr) != Direct {
					rt.Fatal("expected the direct path after a direct connect")
				}
			case 1:
				lastFailed[addr] = now
				tab.DirectFailed(addr, Failure(rapid.IntRange(1, 2).Draw(rt, "failure")), now)
			case 2:
				lastVia[addr] = now
				tab.OtherConnected(addr, "box", now)
			case 3:
				tab.OtherFailed(addr, now)
			case 4:
				tab.AllFailed(addr, now)
			case 5:
				tab.DirectSlow(addr, now)
			case 6:
				if n := len(tab.DueProbes(now)); n > maxProbes {
					rt.Fatalf("%d probes", n)
				}
			case 7:
				if p := tab.Plan(addr, now); !p.FailFast && !p.Direct && !p.Others {
					rt.Fatal("expected a path, or a refusal at once")
				}
			}
		}
	})
}

// Guards against a flood of probes of endpoints that are gone.
func TestProbesOfUnreachableAddressBackOff(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Unanswered, after(0))
	tab.OtherFailed("a", after(0))
	tab.AllFailed("a", after(0))
	probes := 0
	for ms := 0; ms < 14_000; ms += 100 {
		probes += len(tab.DueProbes(after(ms)))
	}
	if probes < 5 || probes > 8 {
		t.Errorf("expected 5 to 8 probes in 14 s, got %d", probes)
	}
}

// Guards against a log that says that a path works again, although it was only not used.
func TestUnusedPathIsForgotten(t *testing.T) {
	tab := NewTable()
	var last Change
	tab.OnChange = func(c Change) { last = c }
	tab.DirectFailed("a", Refused, after(0))
	tab.OtherConnected("a", "box", after(0))
	tab.Use("a", after(10_000))
	tab.DueProbes(after(20_000))
	expectState(t, tab, "a", Lost)
	tab.DueProbes(after(25_000))
	if !last.Forgotten || tab.State("a") != Direct {
		t.Errorf("expected the path to be forgotten, got %+v", last)
	}
}

func TestControlIsAnotherAddress(t *testing.T) {
	tab := NewTable()
	tab.GroupOf = func(addr string) string { return addr[:1] }
	if c := tab.Control("a1"); c != "" {
		t.Errorf("expected none, got %q", c)
	}
	tab.Answered("b1", after(0))
	tab.Answered("a1", after(1))
	if c := tab.Control("a1"); c != "b1" {
		t.Errorf("expected the address of another group, got %q", c)
	}
	tab.Answered("a2", after(2))
	tab.Answered("a1", after(3))
	if c := tab.Control("a1"); c != "a2" {
		t.Errorf("expected the other address of the group, got %q", c)
	}
}

func expectOrder(t *testing.T, b *Boxes, all []Box, hall string, now time.Time, want ...string) {
	t.Helper()
	got := b.Rank(all, hall, now)
	for i, name := range want {
		if i >= len(got) || got[i].Name != name {
			t.Errorf("expected %v first, got %v", want, got)
			return
		}
	}
}

func TestBoxesOfNearHallsComeFirst(t *testing.T) {
	b := &Boxes{Hall: "h1"}
	all := []Box{{Name: "third", Hall: "h3"}, {Name: "own", Hall: "h1"}, {Name: "endpoint's", Hall: "h2"}}
	expectOrder(t, b, all, "h1", start, "own")
	b.Failed("own", false, start)
	expectOrder(t, b, all, "h2", after(10), "endpoint's", "third", "own")
	expectOrder(t, b, all, "h1", after(2000), "own")
}

// Five boxes that lean on three must not all take the same one.
func TestTunnelsAreSpread(t *testing.T) {
	b := &Boxes{Hall: "h"}
	all := []Box{{Name: "a", Hall: "h"}, {Name: "b", Hall: "h"}, {Name: "c", Hall: "h"}}
	for i := range 30 {
		b.Opened(b.Rank(all, "h", after(i))[0].Name, after(i))
	}
	for name, n := range b.Open() {
		if n < 8 {
			t.Errorf("expected about ten tunnels through each box, got %d through %s", n, name)
		}
	}
}

func TestAtMostFourBoxesAreTried(t *testing.T) {
	b := &Boxes{Hall: "h"}
	var all []Box
	for i := range 400 {
		all = append(all, Box{Name: fmt.Sprint(i), Hall: "h"})
	}
	if n := len(b.Rank(all, "h", start)); n != maxTried {
		t.Errorf("expected %d boxes, got %d", maxTried, n)
	}
}

// Guards against requests that are lost on one open connection after the other while all are reset.
func TestResetConnectionsOfAGroupEndTheUseOfOthers(t *testing.T) {
	tab := NewTable()
	tab.GroupOf = func(addr string) string { return addr[:1] }
	tab.ConnLost("a1", after(0))
	if !tab.Usable("a2") {
		t.Error("expected one reset connection to say nothing about other addresses")
	}
	tab.ConnLost("a2", after(10))
	if tab.Usable("a3") || !tab.Usable("b1") {
		t.Error("expected two to end the use of the group's open connections, and of no others")
	}
	if p := tab.Plan("a3", after(11)); p.HeadStart != 0 {
		t.Errorf("expected no head start, got %+v", p)
	}
	tab.Answered("a3", after(20))
	if !tab.Usable("a1") || !tab.Usable("a3") {
		t.Error("expected open connections to be used again after a direct answer")
	}
}

func TestOpenConnectionsLiveOnWhileNewOnesAreRefused(t *testing.T) {
	tab := NewTable()
	tab.DirectFailed("a", Refused, after(0))
	tab.OtherConnected("a", "box", after(1))
	if !tab.Usable("a") {
		t.Error("expected an open connection to be used while new ones are refused")
	}
	tab.ConnLost("a", after(2))
	if tab.Usable("a") {
		t.Error("expected no use after an open connection was reset")
	}
	tab.DirectFailed("b", Unanswered, after(3))
	tab.OtherConnected("b", "box", after(4))
	if tab.Usable("b") {
		t.Error("expected no use of open connections to an address that does not answer")
	}
}

// Guards against requests that go on to wait on connections of a lost path, and against the end of requests whose endpoint
// still answers on open connections.
func TestOpenConnectionsAreLostWhileConnectsStayUnanswered(t *testing.T) {
	table, now := NewTable(), start
	lose := func(addr string, f Failure) {
		table.DirectFailed(addr, f, now)
		table.OtherConnected(addr, "box", now)
	}
	expect := func(what, addr string, want bool) {
		t.Helper()
		if got := table.OpenLost(addr, now, time.Second); got != want {
			t.Errorf("%s: expected %t, got %t", what, want, got)
		}
	}
	expect("a direct path", "a", false)
	lose("a", Refused)
	expect("only new connections are refused", "a", false)
	lose("b", Unanswered)
	expect("a lost path", "b", true)
	table.Answered("b", now)
	expect("an answer on an open connection", "b", false)
	now = now.Add(time.Second)
	expect("an old answer", "b", true)
	expect("one lost path of the group", "d", false)
	lose("c", Unanswered)
	expect("two lost paths of the group", "d", true)
	now = now.Add(time.Millisecond)
	table.Answered("e", now)
	expect("an answer of the group", "d", false)
}
