package overlay

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// The precedence of a stream reaches the owner unchanged. A request from an older release has none.
func TestRoomPrecedenceRoundTrip(t *testing.T) {
	for _, sent := range []Room{
		{Engine: "e", PromptTokens: 1, ExpectedTokens: 2, MaxTokens: 3, OutputReserve: 4},
		{Engine: "e", PromptTokens: 1, Stream: 7, Rank: 2, Account: "bakery", Weight: 2.5, AccountStreams: 9, Order: -3 * time.Second, Left: 400 * time.Millisecond},
	} {
		if got, ok := decodeRoom(sent.encode()); !ok || got != sent {
			t.Errorf("expected %+v, got %+v (%t)", sent, got, ok)
		}
	}
}

// A request for room has at most 400 B. A longer one is sent without precedence.
func TestRoomRequestIsBounded(t *testing.T) {
	r := Room{Engine: strings.Repeat("e", 100), PromptTokens: maxTokens - 1, ExpectedTokens: maxTokens - 1, MaxTokens: maxTokens - 1, Stream: 1 << 63, Rank: 1 << 30, Account: strings.Repeat("a", 150), Weight: 1.1, AccountStreams: 1 << 40, Order: time.Hour * 1000, Left: -time.Hour * 1000}
	m := r.encode()
	if n := proto.Size(m); n > 400 || m.Stream == 0 {
		t.Errorf("expected at most 400 B with the precedence, got %d and stream %d", n, m.Stream)
	}
	if _, ok := decodeRoom(m); !ok {
		t.Error("expected values out of bounds to be reduced")
	}
	r.Account = strings.Repeat("a", maxNameBytes)
	if m := r.encode(); m.Stream != 0 || m.Account != "" || proto.Size(m) > 400 {
		t.Errorf("expected no precedence, got %v", m)
	}
}

func TestRoomPrecedenceBounds(t *testing.T) {
	for _, m := range []*v1.RoomRequest{
		{Engine: "e", Stream: 1, Rank: maxPriority + 1},
		{Engine: "e", Stream: 1, Account: strings.Repeat("a", maxNameBytes+1)},
		{Engine: "e", Stream: 1, Weight: -1},
		{Engine: "e", Stream: 1, AccountStreams: -1},
		{Engine: "e", Stream: 1, OrderMs: maxRoomTime.Milliseconds() + 1},
		{Engine: "e", Stream: 1, LeftMs: -maxRoomTime.Milliseconds() - 1},
	} {
		if _, ok := decodeRoom(m); ok {
			t.Errorf("expected %v to be rejected", m)
		}
	}
}

// The accounts of waiting streams reach other boxes unchanged. A box of an older release sends neither these nor told callers.
func TestStreamsWaitingRoundTrip(t *testing.T) {
	now := time.Now()
	for _, sent := range []StreamsWaiting{
		{Streams: 3, HasTold: true},
		{Streams: 3, Told: 5, HasTold: true, Accounts: []AccountStreams{
			{Pool: "p", Account: "a", Rank: 1, Weight: 2, Waiting: 3, Running: 4}, {Pool: "p", Account: "", Waiting: 1}, {Pool: "q", Account: "a", Running: 1},
		}},
	} {
		f := Message{At: now, Waiting: &sent}
		if got, ok := decode(f.encode(now), now); !ok || !reflect.DeepEqual(*got.Waiting, sent) {
			t.Errorf("expected %+v, got %+v", sent, got.Waiting)
		}
	}
	old := &v1.Fact{Kind: &v1.Fact_Waiting{Waiting: &v1.StreamsWaiting{N: 2}}}
	if got, ok := decode(old, now); !ok || got.Waiting.HasTold || got.Waiting.Streams != 2 {
		t.Errorf("expected two streams without told callers, got %+v", got.Waiting)
	}
}

// A message about waiting streams has at most 8 accounts and 400 B.
func TestStreamsWaitingIsBounded(t *testing.T) {
	now := time.Now()
	for _, length := range []int{1, 20, 100} {
		w := StreamsWaiting{Streams: 100, Told: 100, HasTold: true}
		for i := range 20 {
			w.Accounts = append(w.Accounts, AccountStreams{Pool: "pool", Account: fmt.Sprint(strings.Repeat("a", length), i), Rank: 1, Weight: 0.5, Waiting: 100, Running: 1000})
		}
		f := Message{At: now, Waiting: &w}
		m := f.encode(now)
		m.Box, m.Incarnation, m.Seq = strings.Repeat("b", 64), now.UnixNano(), 1<<40
		got, ok := decode(m, now)
		if n := proto.Size(m); n > 400 || !ok || len(got.Waiting.Accounts) == 0 || len(got.Waiting.Accounts) > MaxAccountStreams {
			t.Errorf("names of %d bytes: expected at most 400 B and 8 accounts, got %d B and %+v", length, n, got.Waiting)
		}
	}
}

func TestStreamsWaitingBounds(t *testing.T) {
	valid := v1.AccountStreams{Pool: "p", Account: "a"}
	for name, m := range map[string]*v1.StreamsWaiting{
		"negative streams": {N: -1},
		"negative told":    {Told: proto.Int32(-1)},
		"no pool":          {Accounts: []*v1.AccountStreams{{Account: "a"}}},
		"long account":     {Accounts: []*v1.AccountStreams{{Pool: "p", Account: strings.Repeat("a", maxNameBytes+1)}}},
		"negative waiting": {Accounts: []*v1.AccountStreams{{Pool: "p", Waiting: -1}}},
		"many running":     {Accounts: []*v1.AccountStreams{{Pool: "p", Running: maxWaiting}}},
		"negative weight":  {Accounts: []*v1.AccountStreams{{Pool: "p", Weight: -1}}},
		"nine accounts":    {Accounts: []*v1.AccountStreams{&valid, &valid, &valid, &valid, &valid, &valid, &valid, &valid, &valid}},
	} {
		if _, ok := decode(&v1.Fact{Kind: &v1.Fact_Waiting{Waiting: m}}, time.Now()); ok {
			t.Errorf("%s: expected %v to be rejected", name, m)
		}
	}
}
