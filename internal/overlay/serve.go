package overlay

import (
	"context"
	"crypto/subtle"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/follow"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
	"github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1/stoatrampv1connect"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

// follower is a box that follows this box.
type follower struct {
	name  string
	queue messageQueue
	// versions are the versions of the tables that the follower has, and fetching those of the blobs that it was offered
	// and has not acknowledged. The node's lock guards both.
	versions map[string]follow.Version
	fetching map[string]follow.Version
	can      encodings
	// interest selects the engines whose messages the follower is sent. omittedPlaced counts, for each service,
	// the placed streams whose messages were left out since the last update. The node's lock guards both.
	interest      interest
	omittedPlaced map[string]int32
}

func (f *follower) signal() { f.queue.signal() }

const (
	// maxRequestBytes bounds a request from another box, in bytes.
	maxRequestBytes = 256 << 10
	// writeTimeout bounds the sending of a short update to a follower that does not read.
	writeTimeout = time.Second
	// seedCallsPerSecond bounds the calls of boxes that fetch tables without the shared key.
	seedCallsPerSecond = 20
	bearer             = "Bearer "
)

func authorize(h http.Header, key string) { h.Set("Authorization", bearer+key) }

// authenticate returns an error unless a call has the key that all boxes of the platform share.
func (n *Node) authenticate(h http.Header) error {
	key := n.members.sharedKey()
	if key == "" || subtle.ConstantTimeCompare([]byte(h.Get("Authorization")), []byte(bearer+key)) != 1 {
		n.count.refused.Inc()
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the key is not that of the boxes of this platform"))
	}
	return nil
}

// withoutCompression disables the compression of the RPC library. Instead packer compresses long rows alone.
// The library compressed heartbeats and gossip messages too, and allocated a compressor of about a megabyte for
// each. A box that is short of processor time does not free these as fast: boxes with many followers grew from
// 20 MB to 118 MB.
var withoutCompression = connect.WithCompression("gzip", nil, nil)

// Handler returns the handler of the calls of other boxes.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	path, h := stoatrampv1connect.NewOverlayHandler(&server{n}, connect.WithReadMaxBytes(maxRequestBytes), withoutCompression)
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))))
	}))
	return mux
}

// controllerKey is the key under which the context of a call holds the call's response controller.
type controllerKey struct{}

type server struct{ n *Node }

var _ stoatrampv1connect.OverlayHandler = (*server)(nil)

// Follow sends a follower the gossip messages, and the tables as they change.
func (s *server) Follow(ctx context.Context, r *connect.Request[v1.FollowRequest], stream *connect.ServerStream[v1.Update]) error {
	if err := s.n.authenticate(r.Header()); err != nil {
		return err
	}
	if r.Msg.Protocol != protocolVersion {
		s.n.count.refused.Inc()
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the box speaks another version of the overlay's messages"))
	}
	f := &follower{name: r.Msg.Box, queue: newMessageQueue(), versions: map[string]follow.Version{}, fetching: map[string]follow.Version{},
		can: encodings{packed: r.Msg.Packed, deltas: r.Msg.Deltas, blobs: r.Msg.Blobs}}
	for _, t := range r.Msg.Known {
		if s.n.o.Tables[t.Name] != nil {
			f.versions[t.Name] = tableVersion(t)
		}
	}
	if !s.n.admit(f) {
		s.n.count.refused.Inc()
		return connect.NewError(connect.CodeResourceExhausted, errors.New("enough boxes follow this one, or it stops"))
	}
	defer s.n.removeFollower(f)
	return s.n.sendUpdates(ctx, f, stream)
}

// admit adds a follower unless this box has maxFollowers or is about to stop.
func (n *Node) admit(f *follower) bool {
	if !n.addFollower(f) {
		return false
	}
	n.reportFollowed()
	n.signalInterest() // The upstream is told that this box now needs all messages, to forward them.
	return true
}

func (n *Node) addFollower(f *follower) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.followers) >= maxFollowers || n.stopped.Err() != nil {
		return false
	}
	n.followers[f] = struct{}{}
	return true
}

func (n *Node) removeFollower(f *follower) {
	n.mu.Lock()
	delete(n.followers, f)
	n.mu.Unlock()
	n.reportFollowed()
	n.signalInterest()
}

// reportFollowed tells each table whether other boxes receive the table from this box. The node's lock must not be held
// during these calls: they could deadlock. A table holds its own lock while it calls back with changed rows, and that
// callback calls the node.
func (n *Node) reportFollowed() {
	n.followedMu.Lock()
	defer n.followedMu.Unlock()
	followed := n.Followers() > 0
	for _, t := range n.o.Tables {
		t.SetFollowed(followed)
	}
}

// sendUpdates sends updates to a follower until the follower is gone or this box stops.
func (n *Node) sendUpdates(ctx context.Context, f *follower, stream *connect.ServerStream[v1.Update]) error {
	rc, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	beat := time.NewTicker(heartbeatInterval)
	defer beat.Stop()
	for {
		msg := n.nextUpdate(f)
		if rc != nil {
			_ = rc.SetWriteDeadline(time.Now().Add(transfer.WriteTimeout(writeTimeout, proto.Size(msg))))
		}
		if err := stream.Send(msg); err != nil {
			return err
		}
		n.noteContact(clock.Now())
		sleep(ctx, sendIntervalAfter(proto.Size(msg)))
		select {
		case <-f.queue.wake:
		case <-beat.C:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.stopped.Done():
			return connect.NewError(connect.CodeUnavailable, errors.New("the box stops"))
		}
	}
}

// sendIntervalAfter returns the minimum time between an update and the next update to the same follower. Bytes is the
// size of the update. The first update of a long change is sent immediately; later changes are batched. Before, when
// 10,000 endpoints started within 3 s, a box sent each of 14 followers some 50 rows every 60 ms. The follower applied
// each of these updates to the whole list. The box had no time left for heartbeats, and was assumed dead.
//
// Example: after an update of 10 KB, which is 500 compressed rows of the list of endpoints, the next update is
// sent 200 ms later.
func sendIntervalAfter(bytes int) time.Duration {
	byRate := time.Duration(float64(bytes) / followerBytesPerSecond * float64(time.Second))
	return max(minSendInterval, min(byRate, maxSendInterval))
}

// nextUpdate returns the next update for a follower.
func (n *Node) nextUpdate(f *follower) *v1.Update {
	n.mu.Lock()
	path := append(slices.Clone(n.upstreamPath), n.o.Self.Name)
	placed := f.omittedPlaced
	f.omittedPlaced = nil
	n.mu.Unlock()
	msg := &v1.Update{Facts: f.queue.drain(clock.Now()), Path: path}
	for service, streams := range placed {
		msg.Placed = append(msg.Placed, &v1.StreamsPlaced{Service: service, N: streams})
	}
	for name, t := range n.o.Tables {
		msg.Tables = append(msg.Tables, n.nextPart(f, name, t))
	}
	return msg
}

// nextPart returns what a follower is sent of a table in the next update.
func (n *Node) nextPart(f *follower, name string, t Table) *v1.Table {
	n.mu.Lock()
	since := f.versions[name]
	_, fetching := f.fetching[name]
	n.mu.Unlock()
	p := t.PartSince(since)
	if fetching {
		p.Version, p.Since, p.Rows = since, since, nil
		return n.encodePart(name, p, f.can)
	}
	out := n.encodePart(name, p, f.can)
	if f.can.blobs && n.offerBlob(f, out, since) {
		return out
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if since.Before(p.Version) {
		f.versions[name] = p.Version
	}
	return out
}

// Tell receives the gossip messages and the interest of a follower.
func (s *server) Tell(_ context.Context, r *connect.Request[v1.TellRequest]) (*connect.Response[v1.TellResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	s.n.acknowledge(r.Msg.Box, r.Msg.Fetched)
	from := s.n.followerNamed(r.Msg.Box)
	if from != nil && r.Msg.Interest != nil {
		s.n.setInterest(from, decodeInterest(r.Msg.Interest))
	}
	for _, m := range r.Msg.Facts {
		s.n.receive(m, nil, from)
	}
	return connect.NewResponse(&v1.TellResponse{}), nil
}

func (n *Node) followerNamed(box string) *follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.followers {
		if f.name == box {
			return f
		}
	}
	return nil
}

// Tables returns the tables that need no key to a box that cannot read the store. The rate of calls is limited.
func (s *server) Tables(_ context.Context, r *connect.Request[v1.TablesRequest]) (*connect.Response[v1.Update], error) {
	if !s.n.seedLimiter.take(clock.Now()) {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many boxes ask at once"))
	}
	msg := &v1.Update{}
	for _, name := range s.n.o.KeylessTables {
		msg.Tables = append(msg.Tables, s.n.encodePart(name, s.n.o.Tables[name].PartSince(follow.Version{}), encodings{packed: r.Msg.Packed}))
	}
	return connect.NewResponse(msg), nil
}

// bucket is a token bucket.
type bucket struct {
	rate, burst float64 // Tokens added per second, and the maximum number of tokens.

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.updatedAt.IsZero() {
		b.tokens = b.burst
	} else {
		b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
