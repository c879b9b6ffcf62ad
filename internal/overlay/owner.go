package overlay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/stoatramp/stoatramp/internal/clock"
	v1 "github.com/stoatramp/stoatramp/internal/rpc/stoatrampv1"
)

// Each engine that decodes has an owner: one box, which all others ask before they place a stream
// there, and which therefore knows at once what all of them placed. Every box determines the owner
// by itself, by rendezvous hashing over the members of the engine's hall. Two owners at once, an
// owner that is gone or one that knows little cost goodput only: a box that gets no answer in
// time decides by what it knows.

// Room is a stream that asks for room at an engine. Sizes are in tokens.
type Room struct {
	Engine       string
	PromptTokens int
	// ExpectedTokens is the expected length of the answer, and MaxTokens the longest one that is reserved for.
	ExpectedTokens int
	MaxTokens      int
	// OutputReserve must be free beside the prompt for the answer to begin.
	OutputReserve int
}

const (
	// roomTimeout bounds a request to an owner. A call within a hall takes 0.3 ms and one between
	// halls 4 ms with its connection; a box that is short of processor time answers some tens of
	// milliseconds late, and callers wait 900 ms for the first event.
	roomTimeout = 40 * time.Millisecond
	// ownerRetryDelay is for how long an owner that did not answer is skipped.
	ownerRetryDelay = 2 * time.Second
)

// unresponsiveOwners are the boxes that recently did not answer as owners, with the time of the next attempt.
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

// usable reports whether a box may be asked now.
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

// ownerOf returns the owner of an engine: a box of its hall if any there is usable.
func (n *Node) ownerOf(hall, engine string, now time.Time) (owner Member, ok bool) {
	list := n.members.list(n.o.Self.Region)
	list = slices.DeleteFunc(list, func(m Member) bool { return !n.unresponsive.usable(m.Name, now) })
	local := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != hall })
	if len(local) > 0 {
		list = local
	}
	return rendezvous(list, engine), len(list) > 0
}

// AskRoom asks the owner of an engine in a hall whether it has room for a stream. By is the box
// that answered; it is empty if this box is the owner itself or the owner did not answer. Then the
// stream is granted, as this box has already found room by what it knows.
func (n *Node) AskRoom(ctx context.Context, hall string, r Room) (granted bool, by string) {
	owner, ok := n.ownerOf(hall, r.Engine, clock.Now())
	if !ok || owner.Name == n.o.Self.Name || !n.Connected() {
		return true, ""
	}
	ctx, cancel := context.WithTimeout(ctx, roomTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.RoomRequest{
		Engine: r.Engine, PromptTokens: int32(r.PromptTokens), ExpectedTokens: int32(r.ExpectedTokens), MostTokens: int32(r.MaxTokens),
		AheadTokens: int32(r.OutputReserve),
	})
	authorize(req.Header(), n.members.sharedKey())
	resp, err := n.client(owner.Address).Room(ctx, req)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return true, "" // The caller has left, which says nothing about the owner.
	case err != nil:
		n.count.roomUnanswered.Inc()
		n.unresponsive.failed(owner.Name, clock.Now())
		return true, ""
	case resp.Msg.Granted:
		n.count.roomGranted.Inc()
	default:
		n.count.roomDenied.Inc()
	}
	return resp.Msg.Granted, owner.Name
}

// Room answers for an engine that this box owns.
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
	return connect.NewResponse(&v1.RoomResponse{Granted: s.n.o.Room(room)}), nil
}

func decodeRoom(m *v1.RoomRequest) (r Room, ok bool) {
	ok = m.Engine != "" && validTokens(m.PromptTokens) && validTokens(m.ExpectedTokens) && validTokens(m.MostTokens) && validTokens(m.AheadTokens)
	r = Room{
		Engine: m.Engine, PromptTokens: int(m.PromptTokens), ExpectedTokens: int(m.ExpectedTokens), MaxTokens: int(m.MostTokens),
		OutputReserve: int(m.AheadTokens),
	}
	return r, ok
}
