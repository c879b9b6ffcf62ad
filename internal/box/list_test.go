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

// BenchmarkListChange measures the time that a box takes to apply one changed row of the endpoint list. It does so for
// several list lengths. At 10,000 rows it took 33 ms while the list, the roles and the logged state were rebuilt on
// each change. It took 21 ms with the list changed in place (one run each, beside other load). On another machine it
// took 11.8 ms and 3.9 MB of garbage while each endpoint was described anew. It took 7.4 ms and 1.7 MB there when only
// the endpoints that the box uses were described.
func BenchmarkListChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rows := map[string][]byte{}
			for i := range n {
				rows[fmt.Sprintf("i-%08x", i)] = []byte("ready")
			}
			x := newListBox()
			x.handOver(rows)
			for i := 0; b.Loop(); i++ {
				rows["i-00000001"] = []byte([]string{"leaving", "ready"}[i%2])
				x.handOver(rows)
			}
		})
	}
}

// newListBox returns a box without listeners or a store, which can only apply lists of endpoints.
func newListBox() *RelayBox {
	recorder := &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()}
	x := &RelayBox{log: zap.NewNop(), recorder: recorder, site: Site{ParseEndpoint: func(key string, text []byte) (relay.Endpoint, error) {
		return relay.Endpoint{ID: key, Service: "llm", Hall: key[len(key)-1:], Role: decide.Decode, Leaving: string(text) == "leaving"}, nil
	}}}
	x.Relay = relay.New(relay.Options{Box: "a", Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Recorder: recorder})
	x.Relay.SetConfig(&relay.Config{Services: map[string]*relay.Service{"llm": {Name: "llm", Engines: &relay.EngineConfig{KVTokens: 1000}}}})
	x.tables = map[string]*follow.Table{tableEndpoints: follow.New(nil, follow.Options{}, x.applyList)}
	return x
}

// handOver has the box apply a list of endpoints as if its table had read the list. It leaves out the pause that the
// box otherwise makes between two lists.
func (b *RelayBox) handOver(rows map[string][]byte) {
	b.tables[tableEndpoints].Reapply(func() {
		b.listDueAt = time.Time{}
		b.applyList(rows)
	})
}

// When the box changes its list in place, the list contains no row twice and no removed row.
func TestListInPlace(t *testing.T) {
	x := newListBox()
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
		x.handOver(rows)
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

// If a long list changes often, the box passes several changes on together, after a bounded delay. Each pass costs work
// on the whole list. Boxes with a fifth of a core that received 50 new rows every 60 ms once did nothing else.
func TestListNewsGathered(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{0: 0, 300 * time.Microsecond: 3 * time.Millisecond, time.Minute: maxListPause} {
		if got := listPause(took); got != want {
			t.Errorf("after %s: expected a pause of %s, got %s", took, want, got)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		x := newListBox()
		table := x.tables[tableEndpoints]
		expect := func(what string, want int) {
			t.Helper()
			if list, _, _ := x.Relay.Engines(); len(list) != want {
				t.Errorf("%s: expected %d engines, got %d", what, want, len(list))
			}
		}
		table.Receive(follow.Part{Version: follow.Version{Number: 1}, Rows: []follow.Row{{Key: "e-1", Value: []byte("ready")}}}, 0)
		expect("the first list", 1)
		table.Reapply(func() { x.listDueAt = clock.Now().Add(100 * time.Millisecond) })
		for n := int64(1); n < 4; n++ {
			table.Receive(follow.Part{Since: follow.Version{Number: n}, Version: follow.Version{Number: n + 1}, Rows: []follow.Row{{Key: fmt.Sprint("e-", n+1), Value: []byte("ready")}}}, 0)
		}
		expect("changes before they are due", 1)
		time.Sleep(110 * time.Millisecond)
		synctest.Wait()
		expect("once they are due", 4)
	})
}
