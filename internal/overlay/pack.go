package overlay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/delta"
	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file encodes the rows of parts of tables. A long row that changed is sent as its difference to the value that the
// follower has. Long parts are compressed. A part is encoded once for all followers that are sent the same part, and a
// box that is sent a part forwards the encoding that it received. A row of the list of endpoints is 230 B of repetitive
// text: 10,000 rows are 2.3 MB for each follower, and a box with a link of 20 Mbit/s has fourteen followers.

// minPackBytes is the size of keys and values from which rows are compressed. Heartbeats and single changes are shorter
// than that. Their compression is not worth the processor time.
const minPackBytes = 8 << 10

// partKey identifies the encoding of a part. The part has the changes from version since to version. Version numbers
// alone do not identify a part: after a restore the store may reach a number again.
type partKey struct {
	since, version follow.Version
	deltas         bool
}

// encodedRows are the rows of a part in a message: either rows or packed is set.
type encodedRows struct {
	rows   []*v1.Row
	packed []byte
}

// maxEncodedParts bounds the encodings that are kept of each table: with and without deltas, since two versions.
const maxEncodedParts = 4

type keptPart struct {
	key  partKey
	rows encodedRows
}

// packer keeps the encodings of the last long parts of each table. The zero value is ready to use.
type packer struct {
	mu   sync.Mutex
	last map[string][]keptPart // Oldest first.
	// w is kept for the next part: a compressor takes more than half a megabyte.
	w *flate.Writer
}

// encode encodes the rows of a part of a table.
func (p *packer) encode(table string, key partKey, rows []follow.Row) encodedRows {
	if partBytes(rows) < minPackBytes {
		return plainRows(rows)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.find(table, key); ok {
		return e
	}
	var e encodedRows
	size := 0
	for _, r := range rows {
		row := encodeRow(r, key.deltas)
		size += len(row.Key) + len(row.Value) + len(row.Delta)
		e.rows = append(e.rows, row)
	}
	if size >= minPackBytes {
		e = p.compress(e)
	}
	p.keep(table, key, e)
	return e
}

func (p *packer) find(table string, key partKey) (encodedRows, bool) {
	for _, k := range p.last[table] {
		if k.key == key {
			return k.rows, true
		}
	}
	return encodedRows{}, false
}

func (p *packer) keep(table string, key partKey, e encodedRows) {
	if p.last == nil {
		p.last = map[string][]keptPart{}
	}
	list := append(p.last[table], keptPart{key, e})
	if extra := len(list) - maxEncodedParts; extra > 0 {
		list = slices.Delete(list, 0, extra)
	}
	p.last[table] = list
}

// forward keeps the encoding of a long part that this box received, for its followers.
func (p *packer) forward(t *v1.Table) {
	if len(t.Packed) == 0 && !slices.ContainsFunc(t.Rows, func(r *v1.Row) bool { return len(r.Delta) > 0 }) {
		return
	}
	key := partKey{sinceVersion(t), tableVersion(t), true}
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.find(t.Name, key); !ok {
		p.keep(t.Name, key, encodedRows{t.Rows, t.Packed})
	}
}

// compress returns compressed rows. It returns the rows themselves if that fails.
func (p *packer) compress(e encodedRows) encodedRows {
	text, err := proto.Marshal(&v1.Rows{Rows: e.rows})
	if err != nil {
		return e
	}
	var out bytes.Buffer
	if p.w == nil {
		p.w, _ = flate.NewWriter(&out, flate.BestSpeed) // The level is valid.
	}
	p.w.Reset(&out)
	_, _ = p.w.Write(text) // Writes to a buffer do not fail.
	_ = p.w.Close()
	return encodedRows{packed: out.Bytes()}
}

func partBytes(rows []follow.Row) (size int) {
	for _, r := range rows {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// plainRows encodes rows as they are.
func plainRows(rows []follow.Row) (e encodedRows) {
	for _, r := range rows {
		e.rows = append(e.rows, encodeRow(r, false))
	}
	return e
}

// encodeRow encodes a row, as a difference to its base if that is shorter.
func encodeRow(r follow.Row, deltas bool) *v1.Row {
	out := &v1.Row{Key: r.Key, Value: r.Value, Gone: r.Gone}
	if !deltas || r.Base == nil || len(r.Value) < minPackBytes {
		return out
	}
	d, err := delta.Encode(r.Base, r.Value)
	if err != nil || len(d) >= len(r.Value) {
		return out // The whole value is sent.
	}
	out.Value, out.Delta, out.Base, out.Sum = nil, d, delta.Sum(r.Base), delta.Sum(r.Value)
	return out
}

// errUnknownBase means that this box does not have the value that a delta was made from, or that the delta does not lead
// to the sender's value. Then the whole table is needed.
var errUnknownBase = errors.New("a delta does not fit the value that this box has")

// errOtherVersion means that a delta is from an older version than this box has. Then the upstream must be told which.
var errOtherVersion = errors.New("a delta is from an older version than this box has")

// decodeRow decodes a row. Value returns the present value of a row.
func decodeRow(r *v1.Row, value func(key string) []byte) (follow.Row, error) {
	out := follow.Row{Key: r.Key, Value: r.Value, Gone: r.Gone}
	if len(r.Delta) == 0 {
		return out, nil
	}
	base := value(r.Key)
	if delta.Sum(base) != r.Base {
		return out, fmt.Errorf("row %s: %w", r.Key, errUnknownBase)
	}
	text, err := delta.Decode(base, r.Delta)
	if err != nil {
		return out, fmt.Errorf("row %s: %w: %w", r.Key, errUnknownBase, err)
	}
	if delta.Sum(text) != r.Sum {
		return out, fmt.Errorf("row %s: %w", r.Key, errUnknownBase)
	}
	out.Value = text
	return out, nil
}

// unpack decompresses rows.
func unpack(packed []byte) ([]*v1.Row, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxMessageBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack rows: %w", err)
	}
	if len(text) > maxMessageBytes {
		return nil, fmt.Errorf("unpack rows: more than %d bytes", maxMessageBytes)
	}
	var rows v1.Rows
	if err := proto.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("unpack rows: %w", err)
	}
	return rows.Rows, nil
}
