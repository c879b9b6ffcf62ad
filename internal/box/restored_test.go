package box

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// restoredList is a box whose endpoint list comes from a store that is restored from older snapshots. The text
// of a row consists of the endpoint's state and its start time.
type restoredList struct {
	t   *testing.T
	box *RelayBox
	ver follow.Version
}

func newRestoredList(t *testing.T) *restoredList {
	x := &restoredList{t: t, box: newListBox(), ver: follow.Version{Era: 1, Number: 100}}
	x.box.site.ParseEndpoint = func(key string, text []byte) (relay.Endpoint, error) {
		state, start, _ := strings.Cut(string(text), " ")
		started, err := strconv.ParseInt(start, 10, 64)
		return relay.Endpoint{ID: key + "@" + start, Started: started, Service: "llm", Leaving: state == "leaving"}, err
	}
	table := x.box.tables[tableEndpoints]
	table.OnRestored = func(int64) { x.box.listRestored = true }
	return x
}

// receive passes the whole list to the box as the answer of the store.
func (x *restoredList) receive(rows states) {
	x.t.Helper()
	p := follow.Part{Version: x.ver}
	for key, text := range rows {
		p.Rows = append(p.Rows, follow.Row{Key: key, Value: []byte(text)})
	}
	if !x.box.tables[tableEndpoints].Receive(p, 0) {
		x.t.Fatalf("expected the list of %s to be taken", x.ver)
	}
}

func (x *restoredList) update(rows states) {
	x.t.Helper()
	x.ver.Number++
	x.receive(rows)
}

// restore has the store return a list from an older snapshot.
func (x *restoredList) restore(rows states) {
	x.t.Helper()
	x.ver = follow.Version{Era: x.ver.Era + 1, Number: x.ver.Number - 50}
	x.receive(rows)
}

// expect checks which endpoints the box uses, and whether each of them is ready or leaving.
func (x *restoredList) expect(what string, want states) {
	x.t.Helper()
	synctest.Wait()
	got := map[string]string{}
	table := x.box.tables[tableEndpoints]
	table.Reapply(func() {})
	table.Reapply(func() { // Reapply holds the table's lock, under which applyList runs too.
		for _, e := range usable(x.box.listed) {
			got[e.ID] = map[bool]string{true: "leaving", false: "ready"}[e.Leaving]
		}
	})
	same := len(got) == len(want)
	for id, state := range want {
		same = same && got[id] == state
	}
	if !same {
		x.t.Errorf("%s: expected %v, got %v", what, want, got)
	}
}

type states = map[string]string

func TestEndpointThatLeavesIsNotReadyAgainByAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredList(t)
		x.receive(states{"a": "ready 1", "b": "ready 1"})
		x.update(states{"a": "leaving 1", "b": "ready 1"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		x.expect("at the return", states{"a@1": "leaving", "b@1": "ready"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		time.Sleep(time.Minute)
		x.expect("after a second restore, and long after it", states{"a@1": "leaving", "b@1": "ready"})
		x.update(states{"a": "ready 2", "b": "ready 1"})
		x.expect("with a new start", states{"a@2": "ready", "b@1": "ready"})
	})
}

func TestEndpointThatIsGoneIsNotUsedAgainByAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredList(t)
		x.receive(states{"a": "ready 1", "b": "ready 1"})
		x.update(states{"b": "ready 1"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		x.expect("at the return", states{"b@1": "ready"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		time.Sleep(goneGrace - time.Millisecond)
		x.expect("until its entry should have expired", states{"b@1": "ready"})
		time.Sleep(2 * time.Millisecond)
		x.expect("if its entry has not expired", states{"a@1": "ready", "b@1": "ready"})
	})
}

func TestEndpointThatIsGoneIsUsedAgainWhenItWritesAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredList(t)
		x.receive(states{"a": "ready 1", "b": "ready 1"})
		x.update(states{"b": "ready 1"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		x.update(states{"a": "ready 3", "b": "ready 1"})
		x.expect("after its entry changed", states{"a@3": "ready", "b@1": "ready"})
	})
}

func TestEarlierStartOfAnEndpointDoesNotComeBackByAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredList(t)
		x.receive(states{"a": "ready 1", "b": "ready 1"})
		x.update(states{"a": "ready 2", "b": "ready 1"})
		x.restore(states{"a": "ready 1", "b": "ready 1"})
		x.expect("at the return", states{"a@2": "ready", "b@1": "ready"})
		time.Sleep(expiredEntryGrace + time.Millisecond)
		x.expect("where it has not written again", states{"b@1": "ready"})
		x.update(states{"a": "ready 2", "b": "ready 1"})
		x.expect("where it has", states{"a@2": "ready", "b@1": "ready"})
	})
}

func TestEndpointThatAnOlderCopyLacksIsKeptUntilItShouldBeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newRestoredList(t)
		x.receive(states{"b": "ready 1"})
		x.update(states{"a": "ready 1", "b": "ready 1"})
		x.restore(states{"b": "ready 1"})
		x.expect("at the return", states{"a@1": "ready", "b@1": "ready"})
		time.Sleep(expiredEntryGrace + time.Millisecond)
		x.expect("where it has not written again", states{"b@1": "ready"})
	})
}
