package overlay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// ownerAt returns the box that box b considers the owner of an engine in a hall. It returns "" if there is no owner.
func (b *box) ownerAt(hall, engine string) string {
	m, _ := b.ownerOf(hall, engine, time.Now())
	return m.Name
}

// resetUnresponsive makes the box ask all owners again, also those that recently did not answer it. It returns how many
// owners had not answered. An owner has 40 ms to answer. A machine that is too busy takes longer.
func (b *box) resetUnresponsive() int {
	b.unresponsive.mu.Lock()
	defer b.unresponsive.mu.Unlock()
	n := len(b.unresponsive.retryAt)
	b.unresponsive.retryAt = nil
	return n
}

// All boxes agree on the owner of an engine. The owner is a box of the engine's hall and decides whether the engine has
// room for a stream. When the owner is gone, the other box of the hall becomes the owner as soon as a request has
// failed.
func TestEngineOwner(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	for _, b := range all {
		b.o.Room = func(r Room) RoomAnswer { return RoomAnswer{Granted: r.PromptTokens < 100} }
	}
	ctx := context.Background()
	owners := map[string]bool{}
	for n := range 20 {
		engine := fmt.Sprint("engine-", n)
		owner := all[0].ownerAt("h2", engine)
		owners[owner] = true
		for i, b := range all {
			b.resetUnresponsive()
			if got := b.ownerAt("h2", engine); got != owner {
				t.Fatalf("box %d considers %s the owner of %s, the first one %s", i, got, engine, owner)
			}
			for _, prompt := range []int{50, 500} {
				answer, by := b.AskRoom(ctx, "h2", Room{Engine: engine, PromptTokens: prompt})
				if n := b.resetUnresponsive(); n > 0 && by != "" {
					t.Errorf("box %d: expected no owner that answered to be skipped, got %d", i, n)
				}
				if want := prompt == 50 || by == ""; answer.Granted != want || by != owner && by != "" {
					t.Errorf("box %d, prompt of %d: expected %t of %s, got %t of %q", i, prompt, want, owner, answer.Granted, by)
				}
			}
		}
	}
	if len(owners) != 2 || !owners["d"] || !owners["e"] {
		t.Errorf("expected both boxes of the hall to be owners, got %v", owners)
	}
	all[3].kill()
	for n := range 20 {
		engine := fmt.Sprint("engine-", n)
		eventually(t, "the other box of the hall is the owner of "+engine, func() bool {
			answer, by := all[0].AskRoom(ctx, "h2", Room{Engine: engine, PromptTokens: 50})
			if !answer.Granted {
				t.Error("expected a box that gets no answer to decide alone")
			}
			return by == "e"
		})
	}
}

// Guards against losing what a rerun says about its lost run on the way to the owner.
func TestRoomOfRerunReachesOwner(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	var got atomic.Int64
	for _, b := range all {
		b.o.Room = func(r Room) RoomAnswer { got.Store(int64(r.Rerun)); return RoomAnswer{Granted: true} }
	}
	want := Room{Engine: "engine-1", PromptTokens: 50, Rerun: 70}
	if answer, by := all[0].AskRoom(context.Background(), "h2", want); !answer.Granted || by == "" || got.Load() != 70 {
		t.Errorf("expected the owner to be told of a lost run of 70 tokens, got %d, %t of %q", got.Load(), answer.Granted, by)
	}
}

// A box refuses a request for room at an engine if the shared key is missing or the sizes are out of bounds.
func TestRoomStrangers(t *testing.T) {
	s := newStore()
	all := s.fleet(t)
	all[0].o.Room = func(Room) RoomAnswer { return RoomAnswer{Granted: true} }
	client := all[0].client(all[0].srv.Listener.Addr().String())
	expect := func(key string, prompt int32, want connect.Code) {
		t.Helper()
		req := connect.NewRequest(&v1.RoomRequest{Engine: "e", PromptTokens: prompt})
		authorize(req.Header(), key)
		if _, err := client.Room(context.Background(), req); connect.CodeOf(err) != want {
			t.Errorf("expected %v, got %v", want, err)
		}
	}
	req := connect.NewRequest(&v1.RoomRequest{Engine: "e", Rerun: -1})
	authorize(req.Header(), all[0].members.sharedKey())
	if _, err := client.Room(context.Background(), req); connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Errorf("expected a size below 0 to be refused, got %v", err)
	}
	expect("guess", 1, connect.CodeUnauthenticated)
	expect(all[0].members.sharedKey(), -1, connect.CodeInvalidArgument)
	expect(all[0].members.sharedKey(), maxTokens, connect.CodeInvalidArgument)
}

// When a box is gone, the engines that it owned get new owners, and all other engines keep theirs. No box owns many
// more engines than the mean.
func TestOwnerReassignsFew(t *testing.T) {
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
		m, _ := n.ownerOf("h", engine, time.Now())
		before[engine] = m.Name
		count[m.Name]++
	}
	delete(n.members.all, "box-7")
	for engine, owner := range before {
		if m, _ := n.ownerOf("h", engine, time.Now()); m.Name != owner && owner != "box-7" {
			t.Errorf("%s moved from %s to %s", engine, owner, m.Name)
		}
	}
	for name, k := range count {
		if k > 25 {
			t.Errorf("%s is the owner of %d of 600 engines, expected about 10", name, k)
		}
	}
}
