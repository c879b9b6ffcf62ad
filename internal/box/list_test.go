package box

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/follow"
	"github.com/stoatramp/stoatramp/internal/relay"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// BenchmarkListChange is what one changed row costs a box, of lists of several lengths: 33 ms at 10,000
// rows while the list, the roles and what was logged before were made anew at each change, and 21 ms with
// the list changed in place (one run each, beside other load). On another machine, beside plays, 11.8 ms and
// 3.9 MB of garbage while each endpoint was described anew, and 7.4 ms and 1.7 MB with only those that the box
// deals with.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rows := map[string][]byte{}
			for i := range n {
				rows[fmt.Sprintf("i-%08x", i)] = []byte("ready")
			}
			x := listBox()
			x.hand(rows)
			for i := 0; b.Loop(); i++ {
				rows["i-00000001"] = []byte([]string{"leaving", "ready"}[i%2])
				x.hand(rows)
			}
		})
	}
}

// listBox is a box of which only the list of endpoints is of interest.
func listBox() *RelayBox {
	book := &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}
	x := &RelayBox{log: zap.NewNop(), book: book, site: Site{Endpoint: func(key string, text []byte) (relay.Endpoint, error) {
		return relay.Endpoint{ID: key, Service: "llm", Hall: key[len(key)-1:], Role: decide.Decode, Leaving: string(text) == "leaving"}, nil
	}}}
	x.Relay = relay.New(relay.Options{Box: "a", Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: book})
	x.Relay.SetConfig(&relay.Config{Services: map[string]*relay.Service{"llm": {Name: "llm", Engines: &relay.Engines{KVTokens: 1000}}}})
	x.tables = map[string]*follow.Table{tableEndpoints: follow.New(nil, follow.Options{}, x.list)}
	return x
}

// hand has the box take a list as its table hands it on, without the pause between two of them.
func (b *RelayBox) hand(rows map[string][]byte) {
	b.tables[tableEndpoints].Again(func() {
		b.listDue = time.Time{}
		b.list(rows)
	})
}

// A list that is changed in place has no row twice and none that is gone, whatever comes and goes.
func TestListInPlace(t *testing.T) {
	x := listBox()
	rng := rand.New(rand.NewPCG(1, 1))
	rows := map[string][]byte{}
	for range 300 {
		key := fmt.Sprint("e-", rng.IntN(12))
		switch rng.IntN(3) {
		case 0:
			delete(rows, key)
		case 1:
			rows[key] = []byte("ready")
		case 2:
			rows[key] = []byte("leaving")
		}
		x.hand(rows)
		if len(x.listed) != len(rows) {
			t.Fatalf("expected %d endpoints, got %d", len(rows), len(x.listed))
		}
		for k, text := range rows {
			if x.listed[k].endpoint.Leaving != (string(text) == "leaving") {
				t.Fatalf("expected %s to be %s, got %+v", k, text, x.listed[k].endpoint)
			}
		}
	}
}

// News of a long list that come in quick succession are handed on together, and late by a bounded time:
// each costs work on the whole list, and boxes of a fifth of a core that were told 50 new rows each 60 ms
// did nothing else.
func TestListNewsGathered(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{0: 0, 300 * time.Microsecond: 3 * time.Millisecond, time.Minute: longestListPause} {
		if got := listPause(took); got != want {
			t.Errorf("after %s: expected a pause of %s, got %s", took, want, got)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		x := listBox()
		table := x.tables[tableEndpoints]
		expect := func(what string, want int) {
			t.Helper()
			if list, _, _ := x.Relay.Engines(); len(list) != want {
				t.Errorf("%s: expected %d engines, got %d", what, want, len(list))
			}
		}
		table.Hear(follow.Part{Version: follow.Version{Number: 1}, Rows: []follow.Row{{Key: "e-1", Value: []byte("ready")}}}, 0)
		expect("the first list", 1)
		table.Again(func() { x.listDue = clock.Now().Add(100 * time.Millisecond) })
		for n := int64(1); n < 4; n++ {
			table.Hear(follow.Part{Since: follow.Version{Number: n}, Version: follow.Version{Number: n + 1}, Rows: []follow.Row{{Key: fmt.Sprint("e-", n+1), Value: []byte("ready")}}}, 0)
		}
		expect("news that came too soon", 1)
		time.Sleep(110 * time.Millisecond)
		synctest.Wait()
		expect("once they are due", 4)
	})
}
