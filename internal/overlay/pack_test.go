package overlay

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// listPart returns a part of a table of endpoints, with rows as the platform writes them.
func listPart(rows int) *v1.Table {
	t := &v1.Table{Name: "endpoints", Version: 7}
	for i := range rows {
		id := uint32(i) * 2654435761
		t.Rows = append(t.Rows, &v1.Row{Key: fmt.Sprintf("i-%010x", id), Value: fmt.Appendf(nil,
			`{"service":"llm","address":"10.%d.%d.%d:8546","zone":"hall-%d","version":"v1","slots":24,"state":"ready","coldRemainingMs":0,"sequence":12,"stage":"decode","born":17900%08d}`, i%5, i/250, i%250, i%5, id%100e6)})
	}
	return t
}

// packRows returns the compressed rows of a part; nil if they are not compressed.
func packRows(p *packer, t *v1.Table) []byte {
	var rows []follow.Row
	for _, r := range t.Rows {
		rows = append(rows, follow.Row{Key: r.Key, Value: r.Value, Gone: r.Gone})
	}
	return p.encode(t.Name, partKey{sinceVersion(t), tableVersion(t), false}, rows).packed
}

func noValue(string) []byte { return nil }

// The rows of a long part are compressed once for all followers that are sent the same part. They decompress to the
// same rows. A short part is not compressed.
func TestPackCachesPart(t *testing.T) {
	var p packer
	part := listPart(500)
	packed := packRows(&p, part)
	if again := packRows(&p, part); len(packed) == 0 || &again[0] != &packed[0] {
		t.Error("expected the next follower to be sent the same bytes")
	}
	rows, err := unpack(packed)
	if err != nil || !proto.Equal(&v1.Rows{Rows: rows}, &v1.Rows{Rows: part.Rows}) {
		t.Errorf("expected the rows as they were, got %d, %v", len(rows), err)
	}
	part.Since = 3
	if other := packRows(&p, part); &other[0] == &packed[0] {
		t.Error("expected another part to be packed anew")
	}
	if packRows(&p, listPart(20)) != nil {
		t.Error("expected a short part to go as it is")
	}
}

// After a restore the store may reach a version number again. Followers must be sent the rows of the new era, not the
// cached rows of the era before.
func TestPackTellsErasApart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(*v1.Table)
	}{
		{"version of another era", func(t *v1.Table) { t.Era++ }},
		{"base version of another era", func(t *v1.Table) { t.SinceEra++ }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var p packer
			packRows(&p, listPart(500))
			part := listPart(500)
			part.Rows[0].Value = []byte("new")
			tt.change(part)
			rows, err := unpack(packRows(&p, part))
			if err != nil || !proto.Equal(&v1.Rows{Rows: rows}, &v1.Rows{Rows: part.Rows}) {
				t.Errorf("expected the rows of this part, got those of the part before, %v", err)
			}
		})
	}
}

// Compressed rows that are corrupt are an error. A box must not mistake them for an empty table.
func TestUnpackCorrupt(t *testing.T) {
	packed := packRows(&packer{}, listPart(500))
	for name, b := range map[string][]byte{"cut short": packed[:len(packed)/2], "not packed": []byte("rows")} {
		if part, err := decodePart(&v1.Table{Name: "endpoints", Version: 7, Packed: b}, noValue); err == nil {
			t.Errorf("%s: expected an error, got %d rows", name, len(part.Rows))
		}
	}
}

// A box of the previous version cannot read compressed rows, and is sent uncompressed ones.
func TestTablesUnpacked(t *testing.T) {
	s := newStore()
	a := s.start(t, "a", "h1", 1)
	for i, r := range listPart(500).Rows {
		s.set("config", follow.Row{Key: r.Key, Value: r.Value})
		if i == 0 {
			eventually(t, "there is a configuration", func() bool { return a.value() != "" })
		}
	}
	eventually(t, "the configuration is whole", func() bool { return len(a.config.PartSince(follow.Version{}).Rows) == 500 })
	client := a.client(a.srv.Listener.Addr().String())
	for _, packed := range []bool{false, true} {
		resp, err := client.Tables(context.Background(), connect.NewRequest(&v1.TablesRequest{Packed: packed}))
		if err != nil {
			t.Fatal(err)
		}
		if got := len(resp.Msg.Tables[0].Packed) > 0; got != packed || !packed && len(resp.Msg.Tables[0].Rows) != 500 {
			t.Errorf("expected packed %t, got %t and %d rows", packed, got, len(resp.Msg.Tables[0].Rows))
		}
	}
}

// BenchmarkPack measures the time to compress 500 rows of the table of endpoints, and their size. Each of 14
// followers was sent 97 KB without compression, and is sent 9.5 KB with it (one run).
func BenchmarkPack(b *testing.B) {
	part := listPart(500)
	b.ReportAllocs()
	var p packer
	for b.Loop() {
		part.Version++
		packRows(&p, part)
	}
	b.ReportMetric(float64(proto.Size(part)), "B")
	b.ReportMetric(float64(len(p.last["endpoints"][0].rows.packed)), "packed-B")
}
