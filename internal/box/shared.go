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
	// Rewrite writes a row again as it was, unless the store has that version of it or a later one, and says
	// whether it did.
	Rewrite(ctx context.Context, key string, text []byte) (wrote bool, err error)
	// Text is the row that a Put which became a version wrote.
	Text(version int64, w platform.Write) ([]byte, error)
}

// keptTable keeps the store up to date with the shared configuration that this box knows. A version that was
// accepted may be missing where the store came back from an older copy, and the next change would be accepted
// under the same number.
type keptTable struct {
	inner SharedTable
	read  func(key string, text []byte) (platform.Row, error)
	// failed reports rows that could not be written again, and rewritten those that were.
	failed    func(key string, err error)
	rewritten func(key string, version int64)

	mu    sync.Mutex
	known map[string]keptRow
}

// keptRow is the newest version of a row that this box knows.
type keptRow struct {
	version int64
	text    []byte
	// lacking says that the store was last seen with an older version, or none.
	lacking bool
}

const (
	// rewriteLimit bounds writing a row again.
	rewriteLimit = 2 * time.Second
	// rewriteFirst is the least time after the store's return before a box writes rows again that no operator
	// asks for, and rewritePause between two tries.
	rewriteFirst = 300 * time.Millisecond
	rewritePause = time.Second
)

// set takes the table as the store has it, and says whether it lacks anything.
func (k *keptTable) set(rows map[string][]byte) (lacks bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known == nil {
		k.known = map[string]keptRow{}
	}
	for key, text := range rows {
		if old := k.known[key]; bytes.Equal(old.text, text) {
			continue
		}
		if r, err := k.read(key, text); err == nil && r.Version >= k.known[key].version {
			k.known[key] = keptRow{version: r.Version, text: text}
		}
	}
	for key, row := range k.known {
		row.lacking = !bytes.Equal(rows[key], row.text)
		k.known[key] = row
		lacks = lacks || row.lacking
	}
	return lacks
}

// Get reads a row, which is written first if the store lacks it.
func (k *keptTable) Get(ctx context.Context, key string, known int64) (platform.Row, error) {
	k.rewrite(ctx, key)
	return k.inner.Get(ctx, key, known)
}

// Put replaces a row, which is written first if the store lacks it.
func (k *keptTable) Put(ctx context.Context, key string, w platform.Write) (int64, error) {
	k.rewrite(ctx, key)
	version, err := k.inner.Put(ctx, key, w)
	if err != nil {
		return version, err
	}
	text, err := k.inner.Text(version, w)
	if err != nil {
		return version, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known == nil {
		k.known = map[string]keptRow{}
	}
	k.known[key] = keptRow{version: version, text: text}
	return version, nil
}

// rewrite has the store hold what this box knows of a row.
func (k *keptTable) rewrite(ctx context.Context, key string) {
	k.mu.Lock()
	row := k.known[key]
	k.mu.Unlock()
	if row.text == nil {
		return
	}
	wrote, err := k.inner.Rewrite(ctx, key, row.text)
	if err != nil {
		k.failed(key, err)
		return
	}
	if wrote {
		k.rewritten(key, row.version)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := k.known[key]; now.version == row.version {
		now.lacking = false
		k.known[key] = now
	}
}

// rewriteAll writes again what the store lacks, until it does not. Boxes share that out over the spread.
func (k *keptTable) rewriteAll(ctx context.Context, spread time.Duration) {
	for wait := rewriteFirst + rand.N(spread+1); ; wait = rewritePause + rand.N(rewritePause) {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		keys := k.lacking()
		if len(keys) == 0 {
			return
		}
		for _, key := range keys {
			limited, cancel := context.WithTimeout(ctx, rewriteLimit)
			k.rewrite(limited, key)
			cancel()
		}
	}
}

func (k *keptTable) lacking() (keys []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, row := range k.known {
		if row.lacking {
			keys = append(keys, key)
		}
	}
	return keys
}

// keepShared has the shared configuration kept where the store comes back without it.
func (b *RelayBox) keepShared(site Site) *keptTable {
	return &keptTable{
		inner: site.Shared, read: site.Versioned,
		failed: func(key string, err error) {
			b.book.Log.Belief("shared configuration not written again", zap.String("row", key), zap.Error(err))
		},
		rewritten: func(key string, version int64) {
			b.book.Log.Belief("shared configuration written again", zap.String("row", key), zap.Int64("version", version))
		},
	}
}

// rewriteShared writes again what the store lacks of the shared configuration.
func (b *RelayBox) rewriteShared() {
	if b.rewriting.Swap(true) {
		return
	}
	spread := time.Duration(b.node.Members()) * writeAgainEach
	go func() {
		b.shared.rewriteAll(b.ctx, spread)
		b.rewriting.Store(false)
		if len(b.shared.lacking()) > 0 && b.ctx.Err() == nil {
			b.rewriteShared() // The store came back again meanwhile.
		}
	}()
}
