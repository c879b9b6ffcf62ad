package overlay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// homeAt is the box that a box takes for the home of an engine; empty if none.
func (b *box) homeAt(hall, engine string) string {
	m, _ := b.homeOf(hall, engine, time.Now())
	return m.Name
}

// askAgain has the box ask homes again that did not answer it in time, and returns how many it passed
// over. The time is 40 ms, which a machine that is too busy exceeds.
func (b *box) askAgain() int {
	b.homes.mu.Lock()
	defer b.homes.mu.Unlock()
	n := len(b.homes.silent)
	b.homes.silent = nil
	return n
}

// All boxes take the same one for an engine's home, one of its hall; and when it is gone they
// agree on another as soon as they have asked it in vain.
func TestHome(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	for _, b := range all {
		b.o.Room = func(r Room) bool { return r.Prompt < 100 }
	}
	ctx := context.Background()
	homes := map[string]bool{}
	for n := range 20 {
		engine := fmt.Sprint("engine-", n)
		home := all[0].homeAt("h2", engine)
		homes[home] = true
		for i, b := range all {
			b.askAgain()
			if got := b.homeAt("h2", engine); got != home {
				t.Fatalf("box %d takes %s for the home of %s, the first one %s", i, got, engine, home)
			}
			for _, prompt := range []int{50, 500} {
				granted, by := b.AskRoom(ctx, "h2", Room{Engine: engine, Prompt: prompt})
				if n := b.askAgain(); n > 0 && by != "" {
					t.Errorf("box %d: expected no home that answered to be passed over, got %d", i, n)
				}
				if want := prompt == 50 || by == ""; granted != want || by != home && by != "" {
					t.Errorf("box %d, prompt of %d: expected %t of %s, got %t of %q", i, prompt, want, home, granted, by)
				}
			}
		}
	}
	if len(homes) != 2 || !homes["d"] || !homes["e"] {
		t.Errorf("expected both boxes of the hall to be homes, got %v", homes)
	}
	all[3].kill()
	for n := range 20 {
		engine := fmt.Sprint("engine-", n)
		eventually(t, "the other box of the hall is the home of "+engine, func() bool {
			granted, by := all[0].AskRoom(ctx, "h2", Room{Engine: engine, Prompt: 50})
			if !granted {
				t.Error("expected a box that gets no answer to decide alone")
			}
			return by == "e"
		})
	}
}

// Room is told to boxes alone, and sizes that cannot be are refused.
func TestRoomStrangers(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	all[0].o.Room = func(Room) bool { return true }
	client := all[0].client(all[0].srv.Listener.Addr().String())
	expect := func(key string, prompt int32, want connect.Code) {
		t.Helper()
		req := connect.NewRequest(&v1.RoomRequest{Engine: "e", PromptTokens: prompt})
		authorize(req.Header(), key)
		if _, err := client.Room(context.Background(), req); connect.CodeOf(err) != want {
			t.Errorf("expected %v, got %v", want, err)
		}
	}
	expect("guess", 1, connect.CodeUnauthenticated)
	expect(all[0].members.secret(), -1, connect.CodeInvalidArgument)
	expect(all[0].members.secret(), mostTokens, connect.CodeInvalidArgument)
}

// Losing a box moves the engines that it was the home of, and no others.
func TestHomeMovesFew(t *testing.T) {
	n := &Node{o: Options{Self: Member{Name: "box-0", Region: "r"}}}
	n.members.all = map[string]Member{}
	for _, m := range hallOf(59) {
		m.Region = "r"
		n.members.all[m.Name] = m
	}
	before := map[string]string{}
	count := map[string]int{}
	for i := range 600 {
		engine := fmt.Sprint("engine-", i)
		m, _ := n.homeOf("h", engine, time.Now())
		before[engine] = m.Name
		count[m.Name]++
	}
	delete(n.members.all, "box-7")
	for engine, home := range before {
		if m, _ := n.homeOf("h", engine, time.Now()); m.Name != home && home != "box-7" {
			t.Errorf("%s moved from %s to %s", engine, home, m.Name)
		}
	}
	for name, k := range count {
		if k > 25 {
			t.Errorf("%s is the home of %d of 600 engines, expected about 10", name, k)
		}
	}
}
