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
)

// follower is a box that follows this one.
type follower struct {
	name  string
	queue queue
	// versions are those of the tables that it has.
	versions map[string]follow.Version
	// packed says that it reads packed rows.
	packed bool
	// interest is of which engines it is sent facts, and placed counts the streams of each service
	// whose facts it was not sent since the last message. The node's lock guards both.
	interest interest
	placed   map[string]int32
}

func (f *follower) poke() { f.queue.poke() }

const (
	// mostTold bounds a message of facts, in bytes.
	mostTold = 256 << 10
	// writeLimit bounds a message to a follower that does not read.
	writeLimit = time.Second
	// openRate bounds the boxes that are told tables without a key, a second.
	openRate = 20
	bearer   = "Bearer "
)

func authorize(h http.Header, key string) { h.Set("Authorization", bearer+key) }

// allowed says whether a call comes from a box that knows the key of the platform's store.
func (n *Node) allowed(h http.Header) error {
	key := n.members.secret()
	if key == "" || subtle.ConstantTimeCompare([]byte(h.Get("Authorization")), []byte(bearer+key)) != 1 {
		n.count.refused.Inc()
		return connect.NewError(connect.CodeUnauthenticated, errors.New("the key is not that of the boxes of this platform"))
	}
	return nil
}

// notCompressed leaves it to packer which messages are compressed. The library makes compressors of about
// a megabyte faster than a box that is short of processor time collects them: boxes that are followed by
// many grew from 20 MB to 118 MB while heartbeats and facts were compressed too.
var notCompressed = connect.WithCompression("gzip", nil, nil)

// Handler serves the other boxes.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	path, h := stoatrampv1connect.NewOverlayHandler(&server{n}, connect.WithReadMaxBytes(mostTold), notCompressed)
	mux.Handle(path, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))))
	}))
	return mux
}

// controllerKey is the key of a call's response controller in its context.
type controllerKey struct{}

type server struct{ n *Node }

var _ stoatrampv1connect.OverlayHandler = (*server)(nil)

// Follow sends the tables as they change and what is learned.
func (s *server) Follow(ctx context.Context, r *connect.Request[v1.FollowRequest], stream *connect.ServerStream[v1.Update]) error {
	if err := s.n.allowed(r.Header()); err != nil {
		return err
	}
	if r.Msg.Protocol != protocol {
		s.n.count.refused.Inc()
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the box speaks another version of the overlay's messages"))
	}
	f := &follower{name: r.Msg.Box, queue: newQueue(), versions: map[string]follow.Version{}, packed: r.Msg.Packed}
	for _, t := range r.Msg.Known {
		if s.n.o.Tables[t.Name] != nil {
			f.versions[t.Name] = versionOf(t)
		}
	}
	if !s.n.admit(f) {
		s.n.count.refused.Inc()
		return connect.NewError(connect.CodeResourceExhausted, errors.New("enough boxes follow this one, or it stops"))
	}
	defer s.n.drop(f)
	return s.n.feed(ctx, f, stream)
}

// admit takes a follower in, if there is room.
func (n *Node) admit(f *follower) bool {
	if !n.addFollower(f) {
		return false
	}
	n.sayFollowed()
	n.sayInterest() // A box that is followed passes facts on.
	return true
}

func (n *Node) addFollower(f *follower) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.followers) >= mostFollowers || n.stopped.Err() != nil {
		return false
	}
	n.followers[f] = struct{}{}
	return true
}

func (n *Node) drop(f *follower) {
	n.mu.Lock()
	delete(n.followers, f)
	n.mu.Unlock()
	n.sayFollowed()
	n.sayInterest()
}

// sayFollowed reports to the tables whether others depend on them. The node's lock is not held meanwhile:
// a table hands its rows on with its own lock held, and whoever takes them asks the node.
func (n *Node) sayFollowed() {
	n.telling.Lock()
	defer n.telling.Unlock()
	followed := n.Followers() > 0
	for _, t := range n.o.Tables {
		t.Followed(followed)
	}
}

// feed sends until the follower is gone or this box stops.
func (n *Node) feed(ctx context.Context, f *follower, stream *connect.ServerStream[v1.Update]) error {
	rc, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		if rc != nil {
			_ = rc.SetWriteDeadline(time.Now().Add(writeLimit))
		}
		msg := n.update(f)
		if err := stream.Send(msg); err != nil {
			return err
		}
		sleep(ctx, spacingAfter(proto.Size(msg)))
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

// spacingAfter is the least time between a message of so many bytes and the next one to the same follower.
// The first of a long change goes at once; what comes in pieces is gathered. Where 10,000 endpoints started
// within 3 s a box sent each of 14 followers some 50 rows each 60 ms, which each of them applied to the whole
// list: it had no time for heartbeats, and was taken for dead.
//
// Example: after a message of 10 KB, 500 packed rows of the list, the next one comes 200 ms later.
func spacingAfter(bytes int) time.Duration {
	byRate := time.Duration(float64(bytes) / followerRate * float64(time.Second))
	return max(spacing, min(byRate, longestSpacing))
}

// update is the next message to a follower.
func (n *Node) update(f *follower) *v1.Update {
	n.mu.Lock()
	path := append(slices.Clone(n.path), n.o.Self.Name)
	placed := f.placed
	f.placed = nil
	n.mu.Unlock()
	msg := &v1.Update{Facts: f.queue.take(clock.Now()), Path: path}
	for service, streams := range placed {
		msg.Placed = append(msg.Placed, &v1.StreamsPlaced{Service: service, N: streams})
	}
	for name, t := range n.o.Tables {
		p := t.Tell(f.versions[name])
		if f.versions[name].Before(p.Version) {
			f.versions[name] = p.Version
		}
		msg.Tables = append(msg.Tables, n.tableOf(name, p, f.packed))
	}
	return msg
}

// Tell takes what a follower learned.
func (s *server) Tell(_ context.Context, r *connect.Request[v1.TellRequest]) (*connect.Response[v1.TellResponse], error) {
	if err := s.n.allowed(r.Header()); err != nil {
		return nil, err
	}
	from := s.n.followerOf(r.Msg.Box)
	if from != nil && r.Msg.Interest != nil {
		s.n.setInterest(from, decodeInterest(r.Msg.Interest))
	}
	for _, m := range r.Msg.Facts {
		s.n.heard(m, nil, from)
	}
	return connect.NewResponse(&v1.TellResponse{}), nil
}

func (n *Node) followerOf(box string) *follower {
	n.mu.Lock()
	defer n.mu.Unlock()
	for f := range n.followers {
		if f.name == box {
			return f
		}
	}
	return nil
}

// Tables tells the open tables to a box that cannot read the store, so many a second.
func (s *server) Tables(_ context.Context, r *connect.Request[v1.TablesRequest]) (*connect.Response[v1.Update], error) {
	if !s.n.open.take(clock.Now()) {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.New("too many boxes ask at once"))
	}
	msg := &v1.Update{}
	for _, name := range s.n.o.Open {
		msg.Tables = append(msg.Tables, s.n.tableOf(name, s.n.o.Tables[name].Tell(follow.Version{}), r.Msg.Packed))
	}
	return connect.NewResponse(msg), nil
}

// bucket bounds a rate.
type bucket struct {
	rate, most float64 // A second, and at once.

	mu   sync.Mutex
	left float64
	at   time.Time
}

func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at.IsZero() {
		b.left = b.most
	} else {
		b.left = min(b.most, b.left+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
