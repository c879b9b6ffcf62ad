package overlay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/slots"
)

// Guards against a box that uses another owner for 2 s after one late answer, and against more than one request at a time
// that waits for a silent owner.
func TestSlotOwnerIsAskedAgainSoon(t *testing.T) {
	var s slotOwnerStates
	m, start := Member{Name: "d", Incarnation: 1}, time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(ms int, want slotChoice) {
		t.Helper()
		if got := s.choose(m, at(ms), true); got != want {
			t.Errorf("after %d ms: expected %d, got %d", ms, want, got)
		}
	}
	expect(0, askOwner)
	s.answered(m, at(20))
	s.silent(m, at(10), at(50))
	expect(50, askOwner) // Another request was answered meanwhile.
	s.silent(m, at(60), at(100))
	expect(100, awaitOwner)
	expect(149, awaitOwner)
	expect(150, askOwner)
	expect(150, awaitOwner)
	s.answered(m, at(152))
	expect(152, askOwner)
	s.silent(m, at(160), at(200))
	waits, last := 0, 200
	for ms := 200; ms < 5000; ms++ {
		switch s.choose(m, at(ms), true) {
		case askOwner:
			if ms-last > int(slotRetryInterval.Milliseconds()) {
				t.Errorf("expected the owner to be asked again within %s, got %d ms", slotRetryInterval, ms-last)
			}
			waits, last = waits+1, ms
		case awaitOwner:
			if ms >= 700 {
				t.Fatalf("expected the next box to be asked %s after the first time-out", slotLostTimeout)
			}
		case skipOwner:
			if ms < 700 {
				t.Fatalf("expected no other owner %d ms after the first time-out", ms-200)
			}
		}
	}
	if waits > 25 {
		t.Errorf("expected few requests that wait for the silent owner, got %d", waits)
	}
	s.alive(m, at(5000))
	if got := s.choose(m, at(5000), false); got == skipOwner {
		t.Error("expected no other owner while the silent one serves other boxes")
	}
	if got := s.choose(Member{Name: "d", Incarnation: 2}, at(5000), false); got != askOwner {
		t.Errorf("expected a box that started again to be asked, got %d", got)
	}
}

// Guards against a box that takes its owner for silent because it was short of processor time itself, or because of one
// late answer.
func TestSlotOwnStallIsNoSilence(t *testing.T) {
	fired, answers := 0, false
	newTimer := func() *silenceTimer {
		return newSilenceTimer(time.Hour, func(time.Time) bool { return answers }, func() { fired++ })
	}
	timer := newTimer()
	timer.due = time.Now().Add(-time.Second)
	if timer.onTimer(); fired != 0 {
		t.Error("expected a time-out that fires 1 s late to be set once more")
	}
	if timer.onTimer(); fired != 0 {
		t.Error("expected no time-out before the new time is over")
	}
	timer.due = time.Now().Add(-time.Second)
	if timer.onTimer(); fired != 1 || timer.stop() {
		t.Error("expected the second time-out to count")
	}
	timer = newTimer()
	timer.due = time.Now()
	if timer.onTimer(); fired != 2 {
		t.Error("expected a time-out in time to count")
	}
	timer = newTimer()
	if !timer.stop() {
		t.Error("expected the timer to be running")
	}
	timer.due = time.Now()
	if timer.onTimer(); fired != 2 {
		t.Error("expected a stopped timer not to fire")
	}
	timer, answers = newTimer(), true
	timer.due = time.Now()
	if timer.onTimer(); fired != 2 {
		t.Error("expected no time-out while the owner answers other requests")
	}
	timer.due, timer.began = time.Now(), time.Now().Add(-slotQueuedTimeout)
	if timer.onTimer(); fired != 3 {
		t.Errorf("expected a request to wait for at most %s", slotQueuedTimeout)
	}
}

// Guards against a box that grants the whole limit while its list of boxes lacks others: they started at the same time,
// and the store does not answer.
func TestSlotBoxWithoutListOwnsNothing(t *testing.T) {
	self := Member{Name: "a", Region: "r", Hall: "h", Address: "10.0.0.1:1", Incarnation: int64(time.Hour)}
	other := Member{Name: "b", Region: "r", Hall: "h", Address: "10.0.0.2:1", Incarnation: self.Incarnation}
	older := self
	older.Incarnation--
	old, same := other, other
	old.Incarnation -= int64(time.Minute)
	for name, c := range map[string]struct {
		running, age time.Duration // Since the start, and since the list was confirmed.
		list         []Member
		upstream     *Member
		seeds        []string
		want         bool
	}{
		"no list":                               {running: time.Minute},
		"list of the start":                     {running: 500 * time.Millisecond, age: 400 * time.Millisecond, list: []Member{self}},
		"list of the start, store silent since": {running: time.Minute, age: time.Minute - 500*time.Millisecond, list: []Member{self, other}},
		"list confirmed later":                  {running: 2 * time.Second, age: 500 * time.Millisecond, list: []Member{self, other}, want: true},
		"alone":                                 {running: 2 * time.Second, age: 500 * time.Millisecond, list: []Member{self}, want: true},
		"alone in the list, store lost, others named": {running: time.Minute, list: []Member{self}, seeds: []string{self.Address, other.Address}},
		"alone in the list, store lost":               {running: time.Minute, list: []Member{self}, seeds: []string{self.Address}, want: true},
		"row of an earlier start":                     {running: 2 * time.Second, age: 500 * time.Millisecond, list: []Member{older, other}},
		"follows a box that runs for long":            {running: 100 * time.Millisecond, list: []Member{self, old}, upstream: &old, want: true},
		"follows a box that has just started":         {running: 100 * time.Millisecond, list: []Member{self, same}, upstream: &same},
	} {
		n := New(Options{Self: self, Metrics: metrics.NewSet(), Seeds: c.seeds, Tables: map[string]Table{"members": lostTable{}}, MembersAge: func() time.Duration { return c.age }})
		n.startedAt = time.Now().Add(-c.running)
		rows := map[string][]byte{}
		for _, m := range c.list {
			rows[m.Name] = m.encode()
		}
		if len(rows) > 0 {
			n.SetMembers(rows)
		}
		if c.upstream != nil {
			n.upstream = &link{member: *c.upstream}
		}
		cell := slots.Cell{Service: "s", Region: "r"}
		if got := n.mayOwnSlots(); got != c.want || got != (n.SlotOwnerPart(cell) > 0) {
			t.Errorf("%s: expected %t, got %t and a part of %g", name, c.want, got, n.SlotOwnerPart(cell))
		}
		n.startedAt = time.Now() // A list that was heard counts from then on.
		if got := n.mayOwnSlots(); c.want && !got {
			t.Errorf("%s: expected the box to remain an owner", name)
		}
	}
}

// Guards against two boxes that grant all slots: one has just got the list and is the first owner, and others still ask
// the next one.
func TestNewOwnerGrantsHalfAtFirst(t *testing.T) {
	self := Member{Name: "a", Region: "r", Hall: "h", Address: "10.0.0.1:1", Incarnation: int64(time.Hour)}
	n := New(Options{Self: self, Metrics: metrics.NewSet(), Tables: map[string]Table{"members": lostTable{}}, MembersAge: func() time.Duration { return 0 }})
	n.startedAt = time.Now().Add(-time.Minute)
	n.SetMembers(map[string][]byte{"a": self.encode()})
	cell := slots.Cell{Service: "s", Region: "r"}
	if got := n.SlotOwnerPart(cell); got != notFirstPart {
		t.Errorf("expected the part %g at first, got %g", notFirstPart, got)
	}
	earlier := time.Now().Add(-slotRetryInterval)
	n.slots.listKnownAt.Store(&earlier)
	if got := n.SlotOwnerPart(cell); got != 1 {
		t.Errorf("expected all slots after %s, got %g", slotRetryInterval, got)
	}
}

// lostTable is a table that the store does not confirm.
type lostTable struct{ Table }

func (lostTable) Unavailable() bool { return true }

// Guards against a box that has just started and grants slots that the next owner grants too, and against boxes that do
// not ask it for long after that.
func TestSlotOwnerThatHasJustStarted(t *testing.T) {
	all, _ := slotFleet(t, newStore(), 100)
	d := boxNamed(all, "d")
	cell := all[0].cellRanked(t, "d", "e")
	d.o.MembersAge = func() time.Duration { return time.Hour }
	all[0].acquired(t, cell, "e")
	if _, owner, _ := d.AcquireSlot(context.Background(), cell, slotRequest()); owner != "" {
		t.Errorf("expected the box that has just started to use its own part, got a decision of %q", owner)
	}
	if got := d.SlotOwner(cell); got != "" {
		t.Errorf("expected no owner to be displayed, got %q", got)
	}
	now := time.Now()
	d.slots.listKnownAt.Store(&now)
	began := time.Now()
	eventually(t, "the first owner is asked again", func() bool {
		r := slotRequest()
		_, owner, _ := all[0].AcquireSlot(context.Background(), cell, r)
		return owner == "d"
	})
	if took := time.Since(began); took > ownerRetryDelay {
		t.Errorf("expected the first owner to be asked soon, got %s", took)
	}
}

// answerTo sends a request for a slot with a last grant, and returns the last answer.
func (b *box) answerTo(t *testing.T, owner *box, cell slots.Cell, g slotGrantor) *v1.AcquireSlotResponse {
	t.Helper()
	r := slotRequest()
	r.Box = b.o.Self.Name
	req := connect.NewRequest(encodeSlotRequest(cell, r))
	encodeGrantor(req.Msg, g, time.Now())
	authorize(req.Header(), b.members.sharedKey())
	stream, err := b.client(owner.o.Self.Address).AcquireSlot(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	var last *v1.AcquireSlotResponse
	for stream.Receive() {
		last = stream.Msg()
	}
	if last == nil {
		t.Fatalf("expected an answer, got %v", stream.Err())
	}
	return last
}

// Guards against two owners that both go on although a request tells one of them of the other.
func TestSlotLaterOwnerYields(t *testing.T) {
	all, _ := slotFleet(t, newStore(), 100)
	a, d, e := all[0], boxNamed(all, "d"), boxNamed(all, "e")
	cell := a.cellRanked(t, "d", "e")
	ago := func(b *box, age time.Duration) slotGrantor {
		return slotGrantor{b.o.Self.Name, b.o.Self.Incarnation, time.Now().Add(-age)}
	}
	granted := func(m *v1.AcquireSlotResponse) bool { return m.State == v1.SlotState_SLOT_STATE_GRANTED }
	if m := a.answerTo(t, d, cell, ago(e, 10*time.Millisecond)); !granted(m) || m.Owner != "d" || m.Incarnation != d.o.Self.Incarnation {
		t.Errorf("expected the first owner to go on and to name itself, got %v", m)
	}
	restarted := ago(d, 10*time.Millisecond)
	restarted.incarnation--
	if m := a.answerTo(t, e, cell, restarted); !granted(m) {
		t.Errorf("expected the grants of an earlier start of the first owner not to count, got %v", m)
	}
	if m := a.answerTo(t, e, cell, ago(d, 700*time.Millisecond)); m.Reason != v1.SlotReason_SLOT_REASON_STOPPING || m.YieldsTo != "d" {
		t.Errorf("expected the later owner to yield to d, got %v", m)
	}
	if m := a.answerTo(t, e, cell, slotGrantor{}); m.YieldsTo != "d" {
		t.Errorf("expected the later owner to yield in its answers to others too, got %v", m)
	}
	if m := a.answerTo(t, e, slots.Cell{Service: cell.Service, Region: "r", Index: 1}, slotGrantor{}); !granted(m) {
		t.Errorf("expected the owner to go on in another cell, got %v", m)
	}
	eventually(t, "the later owner grants again once the grant of the first is 1 s old", func() bool {
		return granted(a.answerTo(t, e, cell, slotGrantor{}))
	})
}

// Guards against an asker that goes from an owner that yields to a third box, or that does not return to the first owner.
func TestSlotAskerReturnsToFirstOwner(t *testing.T) {
	all, fakes := slotFleet(t, newStore(), 100)
	a := all[0]
	cell := a.cellRanked(t, "d", "e", "c")
	first := a.slotOwners(cell)[0]
	a.acquired(t, cell, "d")
	a.slots.owners.update(first, func(st *slotOwnerState) {
		st.silentSince, st.retryAt = time.Now().Add(-slotLostTimeout), time.Now().Add(time.Hour)
	})
	if _, owner, _ := a.AcquireSlot(context.Background(), cell, slotRequest()); owner != "" {
		t.Errorf("expected no decision of an owner that yields, got one of %q", owner)
	}
	if n := fakes["c"].inUse() + fakes["e"].inUse(); n != 0 {
		t.Errorf("expected no grants of later owners, got %d", n)
	}
	if got := a.slots.owners.choose(first, time.Now(), false); got != awaitOwner {
		t.Errorf("expected the asker to wait for the first owner, got %d", got)
	}
	// An owner that stops does not keep the next one from granting.
	a.resetSlotOwners()
	fakes["d"].update(func() { fakes["d"].stopping = true })
	b := boxNamed(all, "b")
	b.acquired(t, cell, "e")
}

// Guards against a second owner with the whole limit.
func TestSlotOwnerPartOfNextBox(t *testing.T) {
	s := newStore()
	all, _ := slotFleet(t, s, 100)
	cell := all[0].cellRanked(t, "d", "e")
	for name, want := range map[string]float64{"d": 1, "e": 0.5, "a": 0.5} {
		if got := boxNamed(all, name).SlotOwnerPart(cell); got != want {
			t.Errorf("%s: expected a part of %g, got %g", name, want, got)
		}
	}
	boxNamed(all, "d").Leave(context.Background())
	eventually(t, "the next box is the first one and grants all", func() bool { return boxNamed(all, "e").SlotOwnerPart(cell) == 1 })
}

// Guards against memory that grows with the boxes that were asked and with the cells.
func TestSlotOwnerMemoryIsBounded(t *testing.T) {
	var s slotOwnerStates
	var g slotGrantors
	now := time.Now()
	for i := range 3 * maxRankedCells {
		s.answered(Member{Name: fmt.Sprint(i)}, now)
		g.set(slots.Cell{Index: i}, slotGrantor{"d", 1, now})
	}
	s.retain(1, func(name string) bool { return name == "7" })
	if len(s.byName) != 1 || len(g.byCell) > maxRankedCells {
		t.Errorf("expected 1 box and at most %d cells, got %d and %d", maxRankedCells, len(s.byName), len(g.byCell))
	}
	later := now.Add(2 * slotGrantMemory)
	g.set(slots.Cell{Service: "new"}, slotGrantor{"d", 1, later})
	if len(g.byCell) != 1 {
		t.Errorf("expected old grants to be dropped, got %d", len(g.byCell))
	}
}

// Guards against calls by the own part on top of those of an owner that is short of processor time and answers late.
func TestSlotTimeoutFollowsAnswers(t *testing.T) {
	var s slotOwnerStates
	m, start := Member{Name: "d", Incarnation: 1}, time.Now()
	expect := func(m Member, after, want time.Duration) {
		t.Helper()
		if got := s.firstTimeout(m, start.Add(after)); got != want {
			t.Errorf("after %s: expected %s, got %s", after, want, got)
		}
	}
	expect(m, 0, slotFirstTimeout)
	s.answerTook(m, 4*time.Millisecond, start)
	expect(m, 0, slotFirstTimeout)
	s.answerTook(m, 35*time.Millisecond, start)
	expect(m, 0, 70*time.Millisecond)
	expect(Member{Name: "d", Incarnation: 2}, 0, slotFirstTimeout)
	expect(Member{Name: "e", Incarnation: 1}, 0, slotFirstTimeout)
	s.silent(m, start, start.Add(70*time.Millisecond))
	expect(m, 70*time.Millisecond, 140*time.Millisecond)
	s.silent(m, start, start.Add(140*time.Millisecond))
	expect(m, 140*time.Millisecond, slotQueuedTimeout)
	expect(m, 15*time.Second, slotFirstTimeout)
}
