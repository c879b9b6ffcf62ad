package overlay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// An engine that decodes has an owner. The owner is one box of the engine's hall. Every box asks the owner before
// it places a stream at the engine. So the owner immediately knows of the streams that all boxes place there.
// Every box determines the owner by itself, by rendezvous hashing over the boxes of the engine's hall.
//
// Sometimes an engine has two owners at the same time, or its owner is gone or knows little. Each of these cases
// costs only some goodput. Goodput is the number of requests that are served in time. A box that gets no answer
// from the owner in time decides by what the box knows itself.

// Room is a request to an engine's owner for room. Room is free KV cache of the engine for one stream. Sizes are in
// tokens.
type Room struct {
	Engine       string
	PromptTokens int
	// ExpectedTokens is the expected length of the answer.
	// MaxTokens is the length of the answer up to which room is reserved.
	ExpectedTokens int
	MaxTokens      int
	// OutputReserve is the room that must be free in addition to the prompt before the answer can begin.
	OutputReserve int
	// Rerun is the room that a lost run of the stream used, if the engine runs the stream again; otherwise it is 0. The
	// lost run has ended, which the owner may not know yet.
	Rerun int
	// Stream identifies the stream among the streams of all boxes. It is 0 in a request from a box of an older release,
	// which sends none of the following fields. They say whether the stream goes before others that need the same room.
	Stream uint64
	Rank   int // 0 is the highest.
	// Account is the client account, and Weight its share relative to other accounts; 0 stands for 1. AccountStreams is how
	// many streams of the account run or start on all boxes, as far as the asking box knows.
	Account        string
	Weight         float64
	AccountStreams int
	// Order is the time until the deadline by which streams are ordered, and Left the time until the stream must start.
	// Both are negative once the time has passed.
	Order, Left time.Duration
}

// RoomAnswer is the decision about a request for room.
type RoomAnswer struct {
	Granted bool
	// Yields reports that the engine has room, but that the owner leaves it to a stream that goes first.
	Yields bool
}

const (
	// roomTimeout bounds a request to an engine's owner. A call within a hall takes 0.3 ms. A call between
	// halls takes 4 ms, and that includes connecting. A box that is short of processor time answers some tens of
	// milliseconds late. Callers wait 900 ms for the first event.
	roomTimeout = 40 * time.Millisecond
	// ownerRetryDelay applies to a box that did not answer as owner. For this long the box is not asked again.
	ownerRetryDelay = 2 * time.Second
)

// unresponsiveOwners holds the boxes that recently did not answer as owners. retryAt is the time from which each box
// may be asked again.
type unresponsiveOwners struct {
	mu      sync.Mutex
	retryAt map[string]time.Time
}

func (h *unresponsiveOwners) failed(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.retryAt == nil {
		h.retryAt = map[string]time.Time{}
	}
	h.retryAt[name] = now.Add(ownerRetryDelay)
}

// usable reports whether a box may be asked as owner now.
func (h *unresponsiveOwners) usable(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, failed := h.retryAt[name]
	if failed && now.Before(until) {
		return false
	}
	delete(h.retryAt, name)
	return true
}

// ownerOf returns the owner of an engine. The owner is a usable box of the engine's hall. If the hall has no usable
// box, the owner is a usable box of this box's region. Ok is false if the region has no usable box either.
func (n *Node) ownerOf(hall, engine string, now time.Time) (owner Member, ok bool) {
	list := n.members.list(n.o.Self.Region)
	list = slices.DeleteFunc(list, func(m Member) bool { return !n.unresponsive.usable(m.Name, now) })
	local := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != hall })
	if len(local) > 0 {
		list = local
	}
	return rendezvous(list, engine), len(list) > 0
}

// AskRoom asks the owner of an engine in a hall whether the engine has room for a stream. By is the name of the box
// that answered. If this box is the owner or gets no answer, by is empty and the room is granted. In that case this box
// decides by what it knows, and it found room before the call. An owner that fails to answer is not asked again for
// ownerRetryDelay.
func (n *Node) AskRoom(ctx context.Context, hall string, r Room) (answer RoomAnswer, by string) {
	alone := RoomAnswer{Granted: true}
	owner, ok := n.ownerOf(hall, r.Engine, clock.Now())
	if !ok || owner.Name == n.o.Self.Name || !n.Connected() {
		return alone, ""
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	req := connect.NewRequest(r.encode())
	authorize(req.Header(), n.members.sharedKey())
	resp, err := n.client(owner.Address).Room(ctx, req)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return alone, "" // The client has left, which says nothing about the owner.
	case err != nil:
		n.count.roomUnanswered.Inc()
		n.unresponsive.failed(owner.Name, clock.Now())
		return alone, ""
	case resp.Msg.Granted:
		n.count.roomGranted.Inc()
	case resp.Msg.Yields:
		n.count.roomYielded.Inc()
	default:
		n.count.roomDenied.Inc()
	}
	return RoomAnswer{Granted: resp.Msg.Granted, Yields: resp.Msg.Yields}, owner.Name
}

// Room serves another box's request for room at an engine that this box owns.
func (s *server) Room(_ context.Context, r *connect.Request[v1.RoomRequest]) (*connect.Response[v1.RoomResponse], error) {
	if err := s.n.authenticate(r.Header()); err != nil {
		return nil, err
	}
	room, ok := decodeRoom(r.Msg)
	if !ok {
		s.n.count.refused.Inc()
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the sizes of the stream are out of bounds"))
	}
	if !s.n.Connected() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this box does not hear of the others"))
	}
	answer := s.n.o.Room(room)
	return connect.NewResponse(&v1.RoomResponse{Granted: answer.Granted, Yields: answer.Yields}), nil
}

// maxRoomTime bounds the times in a request for room.
const maxRoomTime = time.Hour

// encode encodes the request. If it would be longer than maxStreamMessageBytes, it is sent without precedence.
func (r *Room) encode() *v1.RoomRequest {
	m := &v1.RoomRequest{
		Engine: r.Engine, PromptTokens: int32(r.PromptTokens), ExpectedTokens: int32(r.ExpectedTokens), MostTokens: int32(r.MaxTokens),
		AheadTokens: int32(r.OutputReserve), Rerun: int32(r.Rerun),
	}
	if r.Stream == 0 {
		return m
	}
	millis := func(d time.Duration) int64 { return max(-maxRoomTime, min(d, maxRoomTime)).Milliseconds() }
	full := proto.CloneOf(m)
	full.Stream, full.Rank, full.Account, full.Weight = r.Stream, encodeRank(r.Rank), r.Account, r.Weight
	full.AccountStreams, full.OrderMs, full.LeftMs = int32(min(r.AccountStreams, maxWaiting-1)), millis(r.Order), millis(r.Left)
	if proto.Size(full) > maxStreamMessageBytes {
		return m
	}
	return full
}

func decodeRoom(m *v1.RoomRequest) (r Room, ok bool) {
	ok = m.Engine != "" && validTokens(m.PromptTokens) && validTokens(m.ExpectedTokens) && validTokens(m.MostTokens) && validTokens(m.AheadTokens) && validTokens(m.Rerun)
	inTime := func(ms int64) bool { return ms >= -maxRoomTime.Milliseconds() && ms <= maxRoomTime.Milliseconds() }
	ok = ok && validRank(m.Rank) && validText(m.Account) && validWeight(m.Weight) && validStreams(m.AccountStreams) && inTime(m.OrderMs) && inTime(m.LeftMs)
	r = Room{
		Engine: m.Engine, PromptTokens: int(m.PromptTokens), ExpectedTokens: int(m.ExpectedTokens), MaxTokens: int(m.MostTokens),
		OutputReserve: int(m.AheadTokens), Rerun: int(m.Rerun), Stream: m.Stream, Rank: int(m.Rank), Account: m.Account, Weight: m.Weight, AccountStreams: int(m.AccountStreams),
		Order: time.Duration(m.OrderMs) * time.Millisecond, Left: time.Duration(m.LeftMs) * time.Millisecond,
	}
	return r, ok
}
