package overlay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file compresses the rows of long parts of tables. A part is compressed once for all followers that are
// sent the same part. A row of the list of endpoints is 230 B of repetitive text: 10,000 rows are 2.3 MB for
// each follower, and a box with a link of 20 Mbit/s has fourteen followers.

// minPackBytes is the size of keys and values from which rows are compressed. Heartbeats and single changes are shorter
// than that. Their compression is not worth the processor time.
const minPackBytes = 8 << 10

// packedPart holds the compressed rows of a part of a table. The part has the changes from version since to version.
// Version numbers alone do not identify a part: after a restore the store may reach a number again.
type packedPart struct {
	since, version follow.Version
	bytes          []byte
}

// packer caches the compressed rows of the last part of each table. The zero value is ready to use.
type packer struct {
	mu   sync.Mutex
	last map[string]packedPart
	// w is kept for the next part: a compressor takes more than half a megabyte.
	w *flate.Writer
}

// pack returns the compressed rows of a part. It returns nil if the rows are too short to be worth the compression.
func (p *packer) pack(t *v1.Table) []byte {
	size := 0
	for _, r := range t.Rows {
		size += len(r.Key) + len(r.Value)
	}
	if size < minPackBytes {
		return nil
	}
	since, version := follow.Version{Era: t.SinceEra, Number: t.Since}, tableVersion(t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if last, ok := p.last[t.Name]; ok && last.since == since && last.version == version {
		return last.bytes
	}
	text, err := proto.Marshal(&v1.Rows{Rows: t.Rows})
	if err != nil {
		return nil // The rows are sent uncompressed.
	}
	var out bytes.Buffer
	if p.w == nil {
		p.w, _ = flate.NewWriter(&out, flate.BestSpeed) // The level is valid.
	}
	p.w.Reset(&out)
	_, _ = p.w.Write(text) // Writes to a buffer do not fail.
	_ = p.w.Close()
	if p.last == nil {
		p.last = map[string]packedPart{}
	}
	p.last[t.Name] = packedPart{since, version, out.Bytes()}
	return out.Bytes()
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
