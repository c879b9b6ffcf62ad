package relay

import (
	"context"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
)

// This file asks other boxes for room on engines, and answers them. What a home is, package
// overlay tells.

// askRoom asks the home of a decode engine whether it has room for the request.
func (r *Relay) askRoom(ctx context.Context, engine string, x *exchange) (granted bool, by string) {
	if !r.connected() {
		return true, ""
	}
	return r.o.Others.AskRoom(ctx, r.fleet.hallOf(engine), overlay.Room{
		Engine: engine, Prompt: x.ask.PromptTokens, Expected: x.expected(), Most: x.reserve(), Ahead: x.ahead(),
	})
}

// hallOf is the hall of an engine; empty if it is not on the list.
func (f *fleet) hallOf(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		if f.endpoints[i].ID == id {
			return f.endpoints[i].Hall
		}
	}
	return ""
}

// HasRoom answers another box for an engine whose home this one is.
func (r *Relay) HasRoom(room overlay.Room) bool {
	return r.disp.Grant(room.Engine, decide.Request{
		PromptTokens: max(1, room.Prompt), MaxTokens: room.Most, ExpectTokens: room.Expected, Ahead: room.Ahead, ServeLate: room.Late,
	})
}
