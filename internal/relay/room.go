package relay

import (
	"context"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file asks other boxes for room on engines, and answers them. What a home is, package
// overlay tells.

// askRoom asks the home of a decode engine whether it has room for the request.
func (r *Relay) askRoom(ctx context.Context, engine string, x *exchange) (granted bool, owner string) {
	if !r.connected() {
		return true, ""
	}
	e, _ := r.fleet.endpoint(engine)
	return r.o.Others.AskRoom(ctx, e.Hall, overlay.Room{
		Engine: engine, Prompt: x.meta.PromptTokens, Expected: x.expected(), Most: x.reservedOutput(), Ahead: x.reservedAhead(),
	})
}

// HasRoom answers another box for an engine whose home this one is.
func (r *Relay) HasRoom(room overlay.Room) bool {
	r.adopt(clock.Now(), room.Engine)
	r.pollIfStale(room.Engine)
	return r.disp.Grant(room.Engine, decide.Request{
		PromptTokens: max(1, room.Prompt), MaxTokens: room.Most, ExpectTokens: room.Expected, Ahead: room.Ahead,
	})
}
