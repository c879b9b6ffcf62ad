package overlay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// This file holds the blobs of a box. A blob is a part of a table that is too long for an update, which would delay the
// heartbeats and the other tables. Followers fetch it in pieces beside the updates. If each of seven followers fetched
// all pieces from its upstream, the upstream's link would carry seven copies. So each of them fetches one stripe of the
// pieces from the upstream, and the other stripes from the other followers. All pass on each piece as soon as they have
// it, also to their own followers.

const (
	// maxInlineBytes is the size of a part from which it is a blob. pieceBytes is the size of a blob's pieces.
	maxInlineBytes = 16 << 10
	pieceBytes     = 8 << 10
	// maxBlobSources bounds the stripes of a blob: each follower opens a stream for each stripe.
	maxBlobSources = 8
	// maxBlobs bounds the blobs that are kept of each table. blobRetention is how long an older one is kept for followers
	// that are still fetching it.
	maxBlobs      = 2
	blobRetention = 20 * time.Second
)

var errBlobFailed = errors.New("the blob is no longer fetched")

// blob is the encoded part of a table, whole or while this box fetches it.
type blob struct {
	table          string
	since, version follow.Version
	digest         uint64
	createdAt      time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	data    []byte
	have    []bool // By the index of the piece.
	missing int
	failed  bool
	// changed is closed and replaced with each new piece.
	changed chan struct{}
	// sources are the addresses of the followers that fetch one stripe each from this box; nil before the first offer.
	sources []string
}

func newBlob(table string, since, version follow.Version, digest uint64, size int) *blob {
	pieces := (size + pieceBytes - 1) / pieceBytes
	return &blob{
		table: table, since: since, version: version, digest: digest, createdAt: clock.Now(),
		data: make([]byte, size), have: make([]bool, pieces), missing: pieces, changed: make(chan struct{}),
	}
}

// wholeBlob returns a blob of this box's own.
func wholeBlob(t *v1.Table) (*blob, error) {
	text, err := proto.Marshal(t)
	if err != nil {
		return nil, err
	}
	b := newBlob(t.Name, sinceVersion(t), tableVersion(t), xxhash.Sum64(text), len(text))
	b.data, b.missing = text, 0
	for i := range b.have {
		b.have[i] = true
	}
	return b, nil
}

func (b *blob) bounds(i int) (from, to int) {
	return i * pieceBytes, min((i+1)*pieceBytes, len(b.data))
}

// put adds a piece.
func (b *blob) put(i int, data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i < 0 || i >= len(b.have) {
		return fmt.Errorf("piece %d of %d", i, len(b.have))
	}
	from, to := b.bounds(i)
	if len(data) != to-from {
		return fmt.Errorf("piece %d has %d bytes, expected %d", i, len(data), to-from)
	}
	if !b.have[i] {
		copy(b.data[from:], data)
		b.have[i] = true
		b.missing--
		b.notify()
	}
	return nil
}

// fail ends the waits for pieces that are missing.
func (b *blob) fail() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = true
	b.notify()
}

func (b *blob) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// piece returns a piece; nil if it is missing. Changed is closed when there is another piece.
func (b *blob) piece(i int) (data []byte, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have[i] {
		from, to := b.bounds(i)
		return b.data[from:to], nil, nil
	}
	if b.failed {
		return nil, nil, errBlobFailed
	}
	return nil, b.changed, nil
}

// nextMissing returns the first missing piece of a stripe; ok is false if it has them all.
func (b *blob) nextMissing(stripe, stripes int) (i int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i = stripe; i < len(b.have); i += stripes {
		if !b.have[i] {
			return i, true
		}
	}
	return 0, false
}

// text returns the encoded part once all pieces are there.
func (b *blob) text() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.missing > 0 {
		return nil, fmt.Errorf("%d of %d pieces of the blob are missing", b.missing, len(b.have))
	}
	if xxhash.Sum64(b.data) != b.digest {
		return nil, errors.New("the blob does not have its digest")
	}
	return b.data, nil
}

// offer returns the offer of the blob to a follower. At the first offer, all present followers become sources of stripes.
func (b *blob) offer(candidates func() []string) *v1.BlobOffer {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.sources == nil {
		b.sources = candidates()
	}
	return &v1.BlobOffer{Digest: b.digest, Bytes: int32(len(b.data)), Sources: b.sources}
}

// blobStore keeps the blobs that this box can pass on. The zero value is ready to use.
type blobStore struct {
	mu sync.Mutex
	// blobs are in the order in which they were added.
	blobs []*blob
	// added is closed and set to nil when a blob is added; nil while nobody waits.
	added chan struct{}
}

// add adds a blob. If there is one with the same digest that has not failed, it returns that one and false.
func (s *blobStore) add(b *blob) (kept *blob, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.byDigest(b.digest); old != nil {
		return old, false
	}
	s.blobs = append(s.blobs, b)
	s.drop(b.table, clock.Now())
	if s.added != nil {
		close(s.added)
		s.added = nil
	}
	return b, true
}

// drop removes the oldest blobs of a table beyond maxBlobs, once they are old enough.
func (s *blobStore) drop(table string, now time.Time) {
	kept := 0
	for i := len(s.blobs) - 1; i >= 0; i-- {
		b := s.blobs[i]
		if b.table != table {
			continue
		}
		if kept++; kept > maxBlobs && now.Sub(b.createdAt) > blobRetention {
			s.blobs = slices.Delete(s.blobs, i, i+1)
		}
	}
}

// remove removes a blob that could not be fetched.
func (s *blobStore) remove(b *blob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blobs = slices.DeleteFunc(s.blobs, func(other *blob) bool { return other == b })
}

func (s *blobStore) byDigest(digest uint64) *blob {
	for _, b := range s.blobs {
		if b.digest == digest {
			return b
		}
	}
	return nil
}

// from returns the newest blob with the changes of a table since a version; nil if there is none.
func (s *blobStore) from(table string, since follow.Version) *blob {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found *blob
	for _, b := range s.blobs {
		if b.table == table && b.since == since && (found == nil || found.version.Before(b.version)) {
			found = b
		}
	}
	return found
}

// await returns the blob with a digest. It waits for the blob until ctx ends: the box that asks may have been offered the
// blob earlier than this box.
func (s *blobStore) await(ctx context.Context, digest uint64) *blob {
	for {
		s.mu.Lock()
		b := s.byDigest(digest)
		if b == nil && s.added == nil {
			s.added = make(chan struct{})
		}
		added := s.added
		s.mu.Unlock()
		if b != nil {
			return b
		}
		select {
		case <-added:
		case <-ctx.Done():
			return nil
		}
	}
}
