package overlay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// longText returns a text of n lines that does not compress, in which one line is changed.
func longText(n, changed int, to string) string {
	r := rand.New(rand.NewPCG(7, 7))
	var out strings.Builder
	for i := range n {
		if i == changed {
			out.WriteString(to)
		}
		fmt.Fprintf(&out, "route %d %x%x%x%x\n", i, r.Uint64(), r.Uint64(), r.Uint64(), r.Uint64())
	}
	return out.String()
}

func (s *fakeStore) setConfig(text string) {
	s.set("config", follow.Row{Key: "k", Value: []byte(text)})
}

// receivedBytes is what a box was sent by others of tables.
func (b *box) receivedBytes() uint64 {
	return b.count.updateBytes.Get() + b.blobCount.bytesFetched.Get()
}

// A change of one line of a long configuration, at each step down the tree.
func TestChangeOfALongRowIsSentAsItsDifference(t *testing.T) {
	const lines = 4000
	s := newStore()
	s.setConfig(longText(lines, -1, ""))
	all := s.fleet(t)
	eventually(t, "all have the configuration", allHave(all, longText(lines, -1, "")))
	before := make([]uint64, len(all))
	for i, b := range all {
		before[i] = b.receivedBytes()
	}
	const changes = 5
	for n := range changes {
		text := longText(lines, 700*n, "another")
		s.setConfig(text)
		eventually(t, "all have the change", allHave(all, text))
	}
	for i, b := range all {
		if got, size := b.receivedBytes()-before[i], len(longText(lines, -1, "")); got > uint64(size) {
			t.Errorf("box %d was sent %d bytes for %d changes of one line of %d bytes", i, got, changes, size)
		}
		if got := b.count.unknownBases.Get(); got != 0 {
			t.Errorf("box %d: %d deltas did not fit", i, got)
		}
	}
}

// newTableNode returns a node with one table, which no box follows yet, and with a configuration as of a version.
func newTableNode(version int64, text string) (*Node, *follow.Table) {
	table := follow.New(nil, follow.Options{}, func(map[string][]byte) {})
	table.Receive(follow.Part{Version: follow.Version{Number: version}, Rows: []follow.Row{{Key: "k", Value: []byte(text)}}}, 0)
	return New(Options{Tables: map[string]Table{"config": table}, Metrics: metrics.NewSet()}), table
}

// change changes the configuration of a table from one version to the next.
func change(table *follow.Table, version int64, text string) {
	table.Receive(follow.Part{Since: follow.Version{Number: version - 1}, Version: follow.Version{Number: version}, Rows: []follow.Row{{Key: "k", Value: []byte(text)}}}, 0)
}

// A box may have another value under a version than its upstream thinks. It then needs the whole table.
func TestDeltaThatDoesNotFitIsFollowedByTheWholeTable(t *testing.T) {
	first, second, third := longText(1000, -1, ""), longText(1000, 500, "another"), longText(1000, 501, "another")
	up, upTable := newTableNode(1, first)
	down, downTable := newTableNode(1, "X"+first)
	f := &follower{queue: newMessageQueue(), fetching: map[string]follow.Version{}, can: encodings{packed: true, deltas: true}, versions: map[string]follow.Version{}}
	send := func() error {
		for _, p := range down.known() {
			f.versions[p.Name] = tableVersion(p)
		}
		return down.applyTable(downTable, up.nextUpdate(f).Tables[0])
	}
	change(upTable, 2, second)
	if err := send(); !errors.Is(err, errUnknownBase) {
		t.Fatalf("expected errUnknownBase, got %v", err)
	}
	if err := send(); err != nil || string(downTable.Value("k")) != second {
		t.Fatalf("expected the whole table to be sent, got %d bytes, %v", len(downTable.Value("k")), err)
	}
	change(upTable, 3, third)
	if err := send(); err != nil || string(downTable.Value("k")) != third {
		t.Errorf("expected the next delta to fit, got %v", err)
	}
	if v := down.known()[0].Version; v != 3 {
		t.Errorf("expected version 3 to be known, got %d", v)
	}
}

// A box that reads the store itself may have the change before the delta arrives.
func TestDeltaOfAKnownVersionIsIgnored(t *testing.T) {
	first, second := longText(1000, -1, ""), longText(1000, 500, "another")
	up, upTable := newTableNode(1, first)
	down, downTable := newTableNode(1, first)
	f := &follower{queue: newMessageQueue(), fetching: map[string]follow.Version{}, can: encodings{packed: true, deltas: true}, versions: map[string]follow.Version{"config": {Number: 1}}}
	change(upTable, 2, second)
	p := up.nextUpdate(f).Tables[0]
	change(downTable, 2, second)
	if err := down.applyTable(downTable, p); err != nil || string(downTable.Value("k")) != second {
		t.Errorf("expected the delta to be ignored, got %v", err)
	}
}

// The same, while its upstream has a newer version still.
func TestDeltaFromAnOlderVersionThanKnownIsAskedForAnew(t *testing.T) {
	down, downTable := newTableNode(1, longText(1000, -1, ""))
	up, upTable := newTableNode(1, longText(1000, -1, ""))
	f := &follower{queue: newMessageQueue(), fetching: map[string]follow.Version{}, can: encodings{packed: true, deltas: true}, versions: map[string]follow.Version{"config": {Number: 1}}}
	change(upTable, 2, longText(1000, 500, "another"))
	change(downTable, 2, longText(1000, 500, "another"))
	last := longText(1000, 501, "another")
	change(upTable, 3, last)
	if err := down.applyTable(downTable, up.nextUpdate(f).Tables[0]); !errors.Is(err, errOtherVersion) {
		t.Fatalf("expected errOtherVersion, got %v", err)
	}
	if v := down.known()[0].Version; v != 2 {
		t.Fatalf("expected version 2 to be known, got %d", v)
	}
	f.versions["config"] = follow.Version{Number: 2}
	if err := down.applyTable(downTable, up.nextUpdate(f).Tables[0]); err != nil || string(downTable.Value("k")) != last {
		t.Errorf("expected the delta to fit, got %v", err)
	}
}

// A box of the release before says nothing of deltas, and is sent rows that it can read.
func TestBoxWithoutDeltasIsSentWholeRows(t *testing.T) {
	s := newStore()
	s.setConfig(longText(1000, -1, ""))
	a := s.start(t, "a", "h1", 1)
	eventually(t, "a has the configuration and the key", func() bool { return a.value() != "" && a.members.sharedKey() != "" })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := connect.NewRequest(&v1.FollowRequest{Box: "old", Protocol: protocolVersion, Packed: true})
	authorize(req.Header(), a.members.sharedKey())
	stream, err := a.client(a.srv.Listener.Addr().String()).Follow(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	text := longText(1000, 500, "another")
	got := ""
	for changed := false; got != text && stream.Receive(); {
		for _, p := range stream.Msg().Tables {
			if p.Name != "config" {
				continue
			}
			rows := p.Rows
			if len(p.Packed) > 0 {
				if rows, err = unpack(p.Packed); err != nil {
					t.Fatal(err)
				}
			}
			for _, r := range rows {
				if len(r.Delta) > 0 {
					t.Fatal("expected no delta")
				}
				got = string(r.Value)
			}
		}
		if !changed && got != "" {
			changed = true
			s.setConfig(text)
		}
	}
	if got != text {
		t.Errorf("expected the changed text, got %d bytes, %v", len(got), stream.Err())
	}
}
