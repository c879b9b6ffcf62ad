package overlay

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

// This file offers blobs to followers, fetches the blobs that the upstream offers, and serves their pieces.

// blobCounters count the fetches of blobs.
type blobCounters struct {
	applied, failed *metrics.Counter
	// stripesFailed counts the stripes that another follower did not deliver, and that were fetched from the upstream.
	stripesFailed *metrics.Counter
	// bytesFetched and bytesServed count the bytes of pieces.
	bytesFetched, bytesServed *metrics.Counter
}

func newBlobCounters(set *metrics.Set) blobCounters {
	return blobCounters{
		applied:       set.NewCounter(`stoatramp_overlay_blobs_total{result="applied"}`),
		failed:        set.NewCounter(`stoatramp_overlay_blobs_total{result="failed"}`),
		stripesFailed: set.NewCounter("stoatramp_overlay_blob_stripes_failed_total"),
		bytesFetched:  set.NewCounter(`stoatramp_overlay_blob_bytes_total{direction="fetched"}`),
		bytesServed:   set.NewCounter(`stoatramp_overlay_blob_bytes_total{direction="served"}`),
	}
}

// offerBlob replaces the rows of a part by the offer of a blob, if they are long. If this box is still fetching the next
// change of the table, it offers that blob. It returns false if nothing is offered.
func (n *Node) offerBlob(f *follower, t *v1.Table, since follow.Version) bool {
	version := tableVersion(t)
	b := n.blobs.from(t.Name, since)
	switch {
	case b != nil && version.Before(b.version): // This box is fetching it.
	case proto.Size(t) <= maxInlineBytes:
		return false
	case b == nil || b.version != version:
		own, err := wholeBlob(&v1.Table{Name: t.Name, Version: t.Version, Era: t.Era, Since: t.Since, SinceEra: t.SinceEra, Skips: t.Skips, Rows: t.Rows, Packed: t.Packed})
		if err != nil {
			return false
		}
		b, _ = n.blobs.add(own)
	}
	t.Rows, t.Packed = nil, nil
	t.Version, t.Era, t.Since, t.SinceEra = b.version.Number, b.version.Era, since.Number, since.Era
	t.Offer = b.offer(func() []string { return n.blobSources(b) })
	n.setFetching(f, b)
	return true
}

// blobSources returns the addresses of the followers that fetch one stripe of a blob each: those that need the same blob.
func (n *Node) blobSources(b *blob) []string {
	var boxes []string
	n.mu.Lock()
	for f := range n.followers {
		if f.can.blobs && f.versions[b.table] == b.since {
			boxes = append(boxes, f.name)
		}
	}
	n.mu.Unlock()
	mrand.Shuffle(len(boxes), func(i, j int) { boxes[i], boxes[j] = boxes[j], boxes[i] })
	sources := []string{}
	for _, box := range boxes {
		if m, ok := n.members.get(box); ok && len(sources) < maxBlobSources {
			sources = append(sources, m.Address)
		}
	}
	if len(sources) < 2 {
		return []string{}
	}
	return sources
}

// setFetching notes that a follower was offered a blob.
func (n *Node) setFetching(f *follower, b *blob) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.fetching[b.table] = b.version
}

// acknowledge records that a follower has applied the blobs that it was offered.
func (n *Node) acknowledge(box string, fetched []*v1.Table) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.followers { // The row of an earlier stream of the box may still be there.
		if f.name != box {
			continue
		}
		for _, t := range fetched {
			if offered, ok := f.fetching[t.Name]; ok && !tableVersion(t).Before(offered) {
				f.versions[t.Name] = offered
				delete(f.fetching, t.Name)
				f.signal()
			}
		}
	}
}

// fetches are the blobs that a link is fetching, and those that the upstream must be told of.
type fetches struct {
	mu           sync.Mutex
	running      map[string]bool // By table.
	acknowledged map[string]follow.Version
}

// begin returns false if the table is being fetched already.
func (s *fetches) begin(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running, s.acknowledged = map[string]bool{}, map[string]follow.Version{}
	}
	if s.running[table] {
		return false
	}
	s.running[table] = true
	return true
}

func (s *fetches) isRunning(table string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[table]
}

func (s *fetches) end(table string, applied follow.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, table)
	s.acknowledged[table] = applied
}

// takeAcknowledged returns what the upstream must be told. The caller returns it by restoreAcknowledged if the call fails.
func (s *fetches) takeAcknowledged() map[string]follow.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.acknowledged
	s.acknowledged = map[string]follow.Version{}
	return out
}

func (s *fetches) restoreAcknowledged(list map[string]follow.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for table, ver := range list {
		if _, newer := s.acknowledged[table]; !newer {
			s.acknowledged[table] = ver
		}
	}
}

// fetchTable fetches and applies a blob that the upstream offered. If that fails, the link ends by fail: the next one
// begins with the version that this box has.
func (l *link) fetchTable(ctx context.Context, fail context.CancelCauseFunc, t Table, p *v1.Table) {
	began := clock.Now()
	applied, err := l.fetchAndApply(ctx, t, p, began)
	if err != nil {
		l.n.blobCount.failed.Inc()
		fail(fmt.Errorf("fetch table %s: %w", p.Name, err))
		return
	}
	l.n.blobCount.applied.Inc()
	l.fetches.end(p.Name, applied)
	l.queue.signal()
}

func (l *link) fetchAndApply(ctx context.Context, t Table, p *v1.Table, began time.Time) (applied follow.Version, err error) {
	o := p.Offer
	if o.Bytes <= 0 || o.Bytes > maxMessageBytes {
		return applied, fmt.Errorf("a blob of %d bytes was offered", o.Bytes)
	}
	b, _ := l.n.blobs.add(newBlob(p.Name, sinceVersion(p), tableVersion(p), o.Digest, int(o.Bytes)))
	defer func() {
		if err != nil {
			b.fail()
			l.n.blobs.remove(b)
		}
	}()
	l.n.wakeFollowers()
	if err := l.fetchStripes(ctx, b, o.Sources); err != nil {
		return applied, err
	}
	text, err := b.text()
	if err != nil {
		return applied, err
	}
	var whole v1.Table
	if err := proto.Unmarshal(text, &whole); err != nil {
		return applied, err
	}
	if whole.Name != p.Name || tableVersion(&whole) != b.version {
		return applied, errors.New("the blob is not the table that was offered")
	}
	whole.AgeMs = -1
	if p.AgeMs >= 0 {
		whole.AgeMs = p.AgeMs + clock.Since(began).Milliseconds()
	}
	return b.version, l.n.applyTable(t, &whole)
}

// fetchStripes fetches the missing pieces of a blob.
func (l *link) fetchStripes(ctx context.Context, b *blob, sources []string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stripes := max(1, len(sources))
	errs := make(chan error, stripes)
	for i := range stripes {
		go func() {
			source := ""
			if len(sources) > 0 && sources[i] != l.n.o.Self.Address {
				source = sources[i]
			}
			errs <- l.fetchStripe(ctx, b, i, stripes, source)
		}()
	}
	for range stripes {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

func (l *link) fetchStripe(ctx context.Context, b *blob, stripe, stripes int, source string) error {
	if source != "" {
		if err := l.fetchPieces(ctx, source, b, stripe, stripes); err == nil || ctx.Err() != nil {
			return err
		}
		l.n.blobCount.stripesFailed.Inc()
	}
	return l.fetchPieces(ctx, l.member.Address, b, stripe, stripes)
}

// fetchPieces fetches the missing pieces of a stripe from a box.
func (l *link) fetchPieces(ctx context.Context, address string, b *blob, stripe, stripes int) error {
	ctx, progress, cancel := transfer.WithIdleTimeout(ctx, callTimeout+blobAwaitTime, silenceTimeout, nil, nil)
	defer cancel()
	from, missing := b.nextMissing(stripe, stripes)
	if !missing {
		return nil
	}
	req := connect.NewRequest(&v1.FetchBlobRequest{Digest: b.digest, Stripe: int32(stripe), Stripes: int32(stripes), From: int32(from)})
	authorize(req.Header(), l.key)
	stream, err := l.n.client(address).FetchBlob(ctx, req)
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		progress.Done()
		msg := stream.Msg()
		if len(msg.Data) == 0 {
			continue // The sender waits for the piece itself.
		}
		if err := b.put(int(msg.Index), msg.Data); err != nil {
			return err
		}
		l.n.blobCount.bytesFetched.Add(len(msg.Data))
	}
	if err := stream.Err(); err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	if i, missing := b.nextMissing(stripe, stripes); missing {
		return fmt.Errorf("%s ended the stream without piece %d", address, i)
	}
	return nil
}

// blobAwaitTime is how long a box waits for a blob that another box expects it to have.
const blobAwaitTime = 300 * time.Millisecond

// FetchBlob sends pieces of a blob.
func (s *server) FetchBlob(ctx context.Context, r *connect.Request[v1.FetchBlobRequest], stream *connect.ServerStream[v1.Piece]) error {
	if err := s.n.authenticate(r.Header()); err != nil {
		return err
	}
	m := r.Msg
	if m.Stripes < 1 || m.Stripe < 0 || m.Stripe >= m.Stripes || m.From < 0 || m.From%m.Stripes != m.Stripe {
		return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("stripe %d of %d from piece %d", m.Stripe, m.Stripes, m.From))
	}
	await, cancel := context.WithTimeout(ctx, blobAwaitTime)
	b := s.n.blobs.await(await, m.Digest)
	cancel()
	if b == nil {
		return connect.NewError(connect.CodeNotFound, errors.New("this box does not have the blob"))
	}
	rc, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	for i := int(m.From); i < len(b.have); i += int(m.Stripes) {
		if err := s.n.sendPiece(ctx, rc, stream, b, i); err != nil {
			return err
		}
	}
	return nil
}

// sendPiece sends a piece once this box has it. Until then it sends empty pieces, so that the receiver can tell that this
// box is alive.
func (n *Node) sendPiece(ctx context.Context, rc *http.ResponseController, stream *connect.ServerStream[v1.Piece], b *blob, i int) error {
	for {
		data, changed, err := b.piece(i)
		if err != nil {
			return connect.NewError(connect.CodeUnavailable, err)
		}
		if data == nil {
			select {
			case <-changed:
				continue
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		if rc != nil {
			_ = rc.SetWriteDeadline(time.Now().Add(transfer.WriteTimeout(writeTimeout, len(data))))
		}
		if err := stream.Send(&v1.Piece{Index: int32(i), Data: data}); err != nil {
			return err
		}
		if data != nil {
			n.blobCount.bytesServed.Add(len(data))
			return nil
		}
	}
}
