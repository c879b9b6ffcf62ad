package relay

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file asks the owners of engines for room, and answers such questions of other boxes. Room is free engine memory.
// The owner of an engine is a box: the only box that grants the engine's room to the streams of all boxes. Package
// overlay selects the owner.

// askRoom asks the owner of a decode engine whether the engine has room for the stream. owner is the other box that
// answered. It is empty if this box owns the engine, or if the owner did not answer. Without connected boxes, the room
// counts as granted. lost is the room that a lost run used, if the engine runs the request again; otherwise it is 0.
func (f *flight) askRoom(ctx context.Context, engine string, lost int) (answer overlay.RoomAnswer, owner string) {
	x, r := f.x, f.x.r
	if !r.connected() {
		return overlay.RoomAnswer{Granted: true}, ""
	}
	room := overlay.Room{
		Engine: engine, PromptTokens: x.meta.PromptTokens, ExpectedTokens: x.expected(), MaxTokens: x.reservedOutput(), OutputReserve: x.outputReserve(),
		Rerun: lost,
	}
	if o, ok := r.disp.Precedence(f.id); ok {
		now := clock.Now()
		room.Stream, room.Rank, room.Account, room.Weight, room.AccountStreams = f.streamNumber(), o.Rank, o.Account, o.Weight, o.Streams
		room.Order, room.Left = o.Order.Sub(now), o.Deadline.Sub(now)
	}
	e, _ := r.fleet.endpoint(engine)
	return r.o.Peers.AskRoom(ctx, e.Hall, room)
}

// streamNumber identifies the stream among the streams of all boxes. It is never 0. Two streams with the same number cost
// no more than the precedence of one.
func (f *flight) streamNumber() uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, f.x.r.slotIDs, f.id)
	return max(1, h.Sum64())
}

// HasRoom decides whether a stream of another box gets room at an engine that this box owns. If so, it reserves the room.
// It also adds the engine to this box's subset, and polls the engine if its load is old.
func (r *Relay) HasRoom(room overlay.Room) overlay.RoomAnswer {
	r.adopt(clock.Now(), room.Engine)
	r.pollIfStale(room.Engine)
	req := decide.Request{
		PromptTokens: max(1, room.PromptTokens), MaxTokens: room.MaxTokens, ExpectedTokens: room.ExpectedTokens, OutputReserve: room.OutputReserve,
	}
	if room.Rerun > 0 {
		return overlay.RoomAnswer{Granted: r.disp.GrantRerun(room.Engine, req, room.Rerun)}
	}
	now := clock.Now()
	granted, yields := r.disp.Grant(room.Engine, req, decide.Precedence{
		Stream: room.Stream, Rank: room.Rank, Account: room.Account, Weight: room.Weight, Streams: room.AccountStreams,
		Order: now.Add(room.Order), Deadline: now.Add(room.Left),
	})
	return overlay.RoomAnswer{Granted: granted, Yields: yields}
}
