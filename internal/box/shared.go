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

// SharedTable is the platform's table of the shared configuration.
type SharedTable interface {
	control.Table
	// RestoreRow writes a row again unchanged, unless the store has that version of it or a later one, and reports
	// whether it wrote.
	RestoreRow(ctx context.Context, key string, text []byte) (wrote bool, err error)
	// EncodeRow returns the row that a Put wrote under the given version.
	EncodeRow(version int64, w platform.Write) ([]byte, error)
}

// durableTable writes shared configuration that this box knows back to the store if the store lost it. An
// accepted version can be missing after the store was restored from an older snapshot, and the next change
// would then be accepted under the same number.
type durableTable struct {
	inner SharedTable
	read  func(key string, text []byte) (platform.Row, error)
	// onError reports rows that could not be rewritten, and onRewritten those that were.
	onError     func(key string, err error)
	onRewritten func(key string, version int64)

	mu    sync.Mutex
	known map[string]knownRow
}

// knownRow is the newest version of a row that this box knows.
type knownRow struct {
	version int64
	text    []byte
	// missing means that the store was last seen with an older version of the row, or none.
	missing bool
}

const (
	// rewriteTimeout bounds rewriting one row.
	rewriteTimeout = 2 * time.Second
	// minRewriteDelay is the least time after a restore before a box rewrites rows on its own, without an
	// operator's request, and rewriteInterval the least time between two attempts.
	minRewriteDelay = 300 * time.Millisecond
	rewriteInterval = time.Second
)

// set takes the table as the store has it, and reports whether rows are missing there.
func (k *durableTable) set(rows map[string][]byte) (anyMissing bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known == nil {
		k.known = map[string]knownRow{}
	}
	for key, text := range rows {
		if old := k.known[key]; bytes.Equal(old.text, text) {
			continue
		}
		if r, err := k.read(key, text); err == nil && r.Version >= k.known[key].version {
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

// Get reads a row, and first rewrites it if the store lacks it.
func (k *durableTable) Get(ctx context.Context, key string, known int64) (platform.Row, error) {
	k.rewrite(ctx, key)
	return k.inner.Get(ctx, key, known)
}

// Put replaces a row, and first rewrites the known one if the store lacks it.
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

// rewrite writes the known version of a row unless the store has it.
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

// rewriteAll rewrites the missing rows until none is left. The random first delay, up to spread longer, shares
// the work between boxes.
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

// newSharedTable returns the table of the shared configuration with lost rows rewritten.
func (b *RelayBox) newSharedTable(site Site) *durableTable {
	return &durableTable{
		inner: site.Shared, read: site.ParseVersioned,
		onError: func(key string, err error) {
			b.recorder.Log.StateChange("shared configuration not rewritten", zap.String("row", key), zap.Error(err))
		},
		onRewritten: func(key string, version int64) {
			b.recorder.Log.StateChange("shared configuration rewritten", zap.String("row", key), zap.Int64("version", version))
		},
	}
}

// rewriteShared rewrites the missing rows of the shared configuration in the background.
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
