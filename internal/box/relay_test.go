package box

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/relay"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// Only rows that changed are read again: on a large fleet each box would otherwise read
// every endpoint several times a second.
func TestListReadsNewsOnly(t *testing.T) {
	reads := 0
	book := &account.Book{Metrics: telemetry.NewMetrics(), Log: account.Quiet()}
	b := &RelayBox{log: zap.NewNop(), book: book, site: Site{Endpoint: func(key string, text []byte) (relay.Endpoint, error) {
		reads++
		return relay.Endpoint{ID: key, Leaving: string(text) == "leaving"}, nil
	}}}
	b.Relay = relay.New(relay.Options{Core: decide.New(rand.New(rand.NewPCG(1, 1)), 1), Book: book})
	rows := map[string][]byte{}
	for n := range 100 {
		rows[fmt.Sprint(n)] = []byte("ready")
	}
	expect := func(what string, more int) {
		t.Helper()
		before := reads
		b.list(rows)
		if reads-before != more {
			t.Errorf("%s: expected %d rows to be read, got %d", what, more, reads-before)
		}
	}
	expect("the first list", 100)
	expect("the same list", 0)
	rows["7"] = []byte("leaving")
	expect("one leaving", 1)
	if !b.listed["7"].endpoint.Leaving {
		t.Error("expected the endpoint to be leaving")
	}
	delete(rows, "8")
	expect("one gone", 0)
	if _, ok := b.listed["8"]; ok {
		t.Error("expected the endpoint to be gone")
	}
}
