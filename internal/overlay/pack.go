package overlay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file compresses the rows of long parts of tables, once for all followers that are told the same.
// Rows of the list are 230 B of text that repeats itself: 10,000 of them are 2.3 MB for each follower, and
// a box of 20 Mbit/s has fourteen.

// packFrom is the size from which rows are compressed, in bytes. Heartbeats and single changes are
// shorter, and not worth the time.
const packFrom = 8 << 10

// pack is a part of a table as it is sent.
type pack struct {
	since, version int64
	bytes          []byte
}

// packer keeps the last long part of each table. The zero value is ready.
type packer struct {
	mu   sync.Mutex
	last map[string]pack
	// w is kept for the next part: a compressor takes more than half a megabyte.
	w *flate.Writer
}

// pack returns the rows of a part, compressed; nil where they are too short for it.
func (p *packer) pack(t *v1.Table) []byte {
	size := 0
	for _, r := range t.Rows {
		size += len(r.Key) + len(r.Value)
	}
	if size < packFrom {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.last[t.Name]; ok && last.since == t.Since && last.version == t.Version {
		return last.bytes
	}
	text, err := proto.Marshal(&v1.Rows{Rows: t.Rows})
	if err != nil {
		return nil // The rows go as they are.
	}
	var out bytes.Buffer
	if p.w == nil {
		p.w, _ = flate.NewWriter(&out, flate.BestSpeed) // The level is a valid one.
	}
	p.w.Reset(&out)
	_, _ = p.w.Write(text) // A buffer takes all.
	_ = p.w.Close()
	if p.last == nil {
		p.last = map[string]pack{}
	}
	p.last[t.Name] = pack{t.Since, t.Version, out.Bytes()}
	return out.Bytes()
}

// unpack reads rows that were compressed.
func unpack(packed []byte) ([]*v1.Row, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), mostMessage+1))
	if err != nil {
		return nil, fmt.Errorf("unpack rows: %w", err)
	}
	if len(text) > mostMessage {
		return nil, fmt.Errorf("unpack rows: more than %d bytes", mostMessage)
	}
	var rows v1.Rows
	if err := proto.Unmarshal(text, &rows); err != nil {
		return nil, fmt.Errorf("unpack rows: %w", err)
	}
	return rows.Rows, nil
}
