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

// Each engine that writes has a home: one box, which all others ask before they place a stream
// there, and which therefore knows at once what all of them placed. Every box finds the home
// by itself, by rendezvous hashing over the members of the engine's hall. Two homes at once, a
// home that is gone or one that knows little cost goodput only: a box that gets no answer in
// time decides by what it knows.

// Room is a stream that an engine is to write. Sizes are in tokens.
type Room struct {
	Engine string
	Prompt int
	// Expected is the length that the answer is expected to have, and Most the longest that
	// is allowed for.
	Expected int
	Most     int
	// Ahead must be free beside the prompt for the answer to begin.
	Ahead int
}

const (
	// roomLimit bounds the question to a home. A call within a hall takes 0.3 ms and one
	// between halls 4 ms with its connection; a box that is short of processor time answers
	// some tens of milliseconds later, and callers wait 900 ms for the first event.
	roomLimit = 40 * time.Millisecond
	// homePause is for how long a home that did not answer is passed over.
	homePause = 2 * time.Second
)

// homes are the boxes that did not answer as homes lately, by when they are asked again.
type homes struct {
	mu     sync.Mutex
	silent map[string]time.Time
}

func (h *homes) failed(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.silent == nil {
		h.silent = map[string]time.Time{}
	}
	h.silent[name] = now.Add(homePause)
}

// usable says whether a box is asked now.
func (h *homes) usable(name string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	until, silent := h.silent[name]
	if silent && now.Before(until) {
		return false
	}
	delete(h.silent, name)
	return true
}

// homeOf finds the home of an engine: of its hall if any box there is usable.
func (n *Node) homeOf(hall, engine string, now time.Time) (home Member, ok bool) {
	list := n.members.list(n.o.Self.Region)
	list = slices.DeleteFunc(list, func(m Member) bool { return !n.homes.usable(m.Name, now) })
	own := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != hall })
	if len(own) > 0 {
		list = own
	}
	return rendezvous(list, engine), len(list) > 0
}

// AskRoom asks the home of an engine in a hall whether it has room for a stream. By is the box
// that said so; it is empty where this box is the home itself, or the home did not answer: the
// stream is granted then, as the box has found room by what it knows.
func (n *Node) AskRoom(ctx context.Context, hall string, r Room) (granted bool, by string) {
	home, ok := n.homeOf(hall, r.Engine, clock.Now())
	if !ok || home.Name == n.o.Self.Name || !n.Connected() {
		return true, ""
	}
	ctx, cancel := context.WithTimeout(ctx, roomLimit)
	defer cancel()
	req := connect.NewRequest(&v1.RoomRequest{
		Engine: r.Engine, PromptTokens: int32(r.Prompt), ExpectedTokens: int32(r.Expected), MostTokens: int32(r.Most),
		AheadTokens: int32(r.Ahead),
	})
	authorize(req.Header(), n.members.secret())
	resp, err := n.client(home.Address).Room(ctx, req)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return true, "" // The caller has left, and says nothing of the home.
	case err != nil:
		n.count.alone.Inc()
		n.homes.failed(home.Name, clock.Now())
		return true, ""
	case resp.Msg.Granted:
		n.count.granted.Inc()
	default:
		n.count.denied.Inc()
	}
	return resp.Msg.Granted, home.Name
}

// Room answers for an engine whose home this box is.
func (s *server) Room(_ context.Context, r *connect.Request[v1.RoomRequest]) (*connect.Response[v1.RoomResponse], error) {
	if err := s.n.allowed(r.Header()); err != nil {
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
	ok = m.Engine != "" && tokens(m.PromptTokens) && tokens(m.ExpectedTokens) && tokens(m.MostTokens) && tokens(m.AheadTokens)
	r = Room{
		Engine: m.Engine, Prompt: int(m.PromptTokens), Expected: int(m.ExpectedTokens), Most: int(m.MostTokens),
		Ahead: int(m.AheadTokens),
	}
	return r, ok
}
