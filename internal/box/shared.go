package box

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/control"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// SharedTable is the platform's table of the shared configuration, which holds policies and operators.
type SharedTable interface {
	control.Table
	// RestoreRow writes a row again with its old version and text. If the store has the same version of the row or
	// a later version, RestoreRow writes nothing. It reports whether it wrote.
	RestoreRow(ctx context.Context, key string, text []byte) (wrote bool, err error)
	// EncodeRow returns the text of the row that a Put wrote under the given version.
	EncodeRow(version int64, w platform.Write) ([]byte, error)
}

// durableTable writes rows of the shared configuration back to the store if the store has lost them. After the store
// is restored from an older snapshot, an accepted version can be missing. Without the rewriting, the store would accept
// the next change under the same version number.
type durableTable struct {
	inner    SharedTable
	parseRow func(key string, text []byte) (platform.Row, error)
	// onError is called for each row that could not be rewritten. onRewritten is called for each rewritten row.
	onError     func(key string, err error)
	onRewritten func(key string, version int64)

	mu    sync.Mutex
	known map[string]knownRow
}

// knownRow is the newest version of a row that this box has seen.
type knownRow struct {
	version int64
	text    []byte
	// missing means that the store had an older version of the row, or none, when it was last read.
	missing bool
}

const (
	// rewriteTimeout bounds the time for rewriting one row.
	rewriteTimeout = 2 * time.Second
	// minRewriteDelay is the least time between a restore and the first rewriting of rows. It does not apply to a
	// request of an operator, which rewrites its row first. rewriteInterval is the least time between two attempts.
	minRewriteDelay = 300 * time.Millisecond
	rewriteInterval = time.Second
)

// set receives the rows that the store has now. It reports whether the store lacks versions that the box knows.
func (k *durableTable) set(rows map[string][]byte) (anyMissing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known == nil {
		k.known = map[string]knownRow{}
	}
	for key, text := range rows {
		if old := k.known[key]; bytes.Equal(old.text, text) || !control.IsKey(key) {
			continue
		}
		if r, err := k.parseRow(key, text); err == nil && r.Version >= k.known[key].version {
			k.known[key] = knownRow{version: r.Version, text: text}
		}
	}
	for key, row := range k.known {
		row.missing = !bytes.Equal(rows[key], row.text)
		k.known[key] = row
		anyMissing = anyMissing || row.missing
	}
	return anyMissing
}

// Get reads a row. If the store lacks the version that this box knows, Get first rewrites the row.
func (k *durableTable) Get(ctx context.Context, key string, known int64) (platform.Row, error) {
	k.rewrite(ctx, key)
	return k.inner.Get(ctx, key, known)
}

// Put replaces a row. If the store lacks the version that this box knows, Put first rewrites the row.
func (k *durableTable) Put(ctx context.Context, key string, w platform.Write) (int64, error) {
	k.rewrite(ctx, key)
	version, err := k.inner.Put(ctx, key, w)
	if err != nil {
		return version, err
	}
	text, err := k.inner.EncodeRow(version, w)
	if err != nil {
		return version, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known == nil {
		k.known = map[string]knownRow{}
	}
	k.known[key] = knownRow{version: version, text: text}
	return version, nil
}

// rewrite writes the version of a row that this box knows. If the store has that version or a later version, rewrite
// writes nothing.
func (k *durableTable) rewrite(ctx context.Context, key string) {
	k.mu.Lock()
	row := k.known[key]
	k.mu.Unlock()
	if row.text == nil {
		return
	}
	wrote, err := k.inner.RestoreRow(ctx, key, row.text)
	if err != nil {
		k.onError(key, err)
		return
	}
	if wrote {
		k.onRewritten(key, row.version)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.known[key]; now.version == row.version {
		now.missing = false
		k.known[key] = now
	}
}

// rewriteAll rewrites missing rows until the store lacks none. Each box starts after a random delay, so that the boxes
// share the work. The delay is at least minRewriteDelay, and up to spread longer.
func (k *durableTable) rewriteAll(ctx context.Context, spread time.Duration) {
	for wait := minRewriteDelay + rand.N(spread+1); ; wait = rewriteInterval + rand.N(rewriteInterval) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		keys := k.missingKeys()
		if len(keys) == 0 {
			return
		}
		for _, key := range keys {
			limited, cancel := context.WithTimeout(ctx, rewriteTimeout)
			k.rewrite(limited, key)
			cancel()
		}
	}
}

func (k *durableTable) missingKeys() (keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, row := range k.known {
		if row.missing {
			keys = append(keys, key)
		}
	}
	return keys
}

// newSharedTable returns the table of the shared configuration, which writes rows back that the store has lost.
func (b *RelayBox) newSharedTable(site Site) *durableTable {
	return &durableTable{
		inner: site.Shared, parseRow: site.ParseVersioned,
		onError: func(key string, err error) {
			b.recorder.Log.StateChange("shared configuration not rewritten", zap.String("row", key), zap.Error(err))
		},
		onRewritten: func(key string, version int64) {
			b.recorder.Log.StateChange("shared configuration rewritten", zap.String("row", key), zap.Int64("version", version))
		},
	}
}

// rewriteShared rewrites the missing rows of the shared configuration in the background, unless it does so already.
func (b *RelayBox) rewriteShared() {
	if b.rewriting.Swap(true) {
		return
	}
	spread := time.Duration(b.node.MemberCount()) * rewriteSpreadPerBox
	go func() {
		b.shared.rewriteAll(b.ctx, spread)
		b.rewriting.Store(false)
		if len(b.shared.missingKeys()) > 0 && b.ctx.Err() == nil {
			b.rewriteShared() // The store was restored again in the meantime.
		}
	}()
}
