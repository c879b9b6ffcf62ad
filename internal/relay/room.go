package relay

import (
	"context"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file asks the owners of engines for room, and answers such requests from other boxes. Package overlay
// defines owners.

// askRoom asks the owner of a decode engine whether it has room for the request.
func (r *Relay) askRoom(ctx context.Context, engine string, x *exchange) (granted bool, owner string) {
	if !r.connected() {
		return true, ""
	}
	e, _ := r.fleet.endpoint(engine)
	return r.o.Peers.AskRoom(ctx, e.Hall, overlay.Room{
		Engine: engine, PromptTokens: x.meta.PromptTokens, ExpectedTokens: x.expected(), MaxTokens: x.reservedOutput(), OutputReserve: x.outputReserve(),
	})
}

// HasRoom answers another box for an engine that this one owns.
func (r *Relay) HasRoom(room overlay.Room) bool {
	r.adopt(clock.Now(), room.Engine)
	r.pollIfStale(room.Engine)
	return r.disp.Grant(room.Engine, decide.Request{
		PromptTokens: max(1, room.PromptTokens), MaxTokens: room.MaxTokens, ExpectedTokens: room.ExpectedTokens, OutputReserve: room.OutputReserve,
	})
}
