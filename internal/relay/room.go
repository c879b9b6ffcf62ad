package relay

import (
	"context"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file asks the owners of engines for room, and answers such questions of other boxes. Room is free engine memory.
// The owner of an engine is a box: the only box that grants the engine's room to the streams of all boxes. Package
// overlay selects the owner.

// askRoom asks the owner of a decode engine whether the engine has room for the request. owner is the other box that
// answered. It is empty if this box owns the engine, or if the owner did not answer. Without connected boxes, the room
// counts as granted. lost is the room that a lost run used, if the engine runs the request again; otherwise it is 0.
func (r *Relay) askRoom(ctx context.Context, engine string, x *exchange, lost int) (granted bool, owner string) {
	if !r.connected() {
		return true, ""
	}
	e, _ := r.fleet.endpoint(engine)
	return r.o.Peers.AskRoom(ctx, e.Hall, overlay.Room{
		Engine: engine, PromptTokens: x.meta.PromptTokens, ExpectedTokens: x.expected(), MaxTokens: x.reservedOutput(), OutputReserve: x.outputReserve(),
		Rerun: lost,
	})
}

// HasRoom reports whether an engine that this box owns has room for a stream of another box. If so, it reserves the
// room. It also adds the engine to this box's subset, and polls the engine if its load is old.
func (r *Relay) HasRoom(room overlay.Room) bool {
	r.adopt(clock.Now(), room.Engine)
	r.pollIfStale(room.Engine)
	req := decide.Request{
		PromptTokens: max(1, room.PromptTokens), MaxTokens: room.MaxTokens, ExpectedTokens: room.ExpectedTokens, OutputReserve: room.OutputReserve,
	}
	if room.Rerun > 0 {
		return r.disp.GrantRerun(room.Engine, req, room.Rerun)
	}
	return r.disp.Grant(room.Engine, req)
}
