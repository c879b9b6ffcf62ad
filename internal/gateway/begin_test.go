package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/account"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/engine"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/telemetry"
)

// recordedChunks is a completionWriter that records the chunks it is asked to send to the caller.
type recordedChunks []string

func (c *recordedChunks) chunk(engineChunk *engine.Chunk, _ bool) error {
	*c = append(*c, engineChunk.Data)
	return nil
}

func (c *recordedChunks) end(*engine.Usage) error { return nil }

// startedDecode removes the pending actions of the decision core from the call. If a decode attempt started, it stores
// the attempt in f. It returns the current decode attempt, or 0 if there is none.
func startedDecode(f *flight) decide.Attempt {
	for _, a := range f.call.TakeActions() {
		if d, ok := a.(decide.StartDecode); ok {
			f.decodeAttempt = d.Attempt
		}
	}
	return f.decodeAttempt
}

// Guards against a caller receiving the start of its answer twice ("w0 w1 w0 w1 w2 …"). On a busy machine, the first
// token of a decode call waited in the box's event queue. Meanwhile the decision core gave that call up as stalled and
// called another engine. The box then forwarded the chunks of the old call, followed by the chunks of the new call.
// In another run the box's event loop was delayed for 3 s before the first token. That run failed in the same way.
func TestStalledCallWritesNothing(t *testing.T) {
	cfg := &config.Shared{Pools: []*config.Pool{{Name: "p", Model: "m", KVBytesPerToken: 1, PrefillExpiry: time.Minute}}}
	for name, role := range map[string]config.Role{"reader": config.RolePrefill, "writer-1": config.RoleDecode, "writer-2": config.RoleDecode} {
		cfg.Endpoints = append(cfg.Endpoints, &config.Endpoint{
			Name: name, Pool: "p", Region: "r", Role: role, PrefillRate: 1000, LinkRate: 1e9, KVTokens: 10000, Step: time.Millisecond,
		})
	}
	g := New(Options{
		Box:      &config.Box{Name: "b", Region: "r"},
		Core:     decide.New(rand.New(rand.NewPCG(1, 1)), 1),
		Engines:  engine.NewClient(),
		Recorder: &account.Recorder{Metrics: telemetry.NewMetrics(), Log: account.NewNopLog()},
	})
	g.SetConfig(cfg, nil)
	x := g.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/completions", nil))
	sent := &recordedChunks{}
	f := &flight{x: x, req: &completionRequest{Choices: 1}, ctx: context.Background(), events: make(chan flightEvent, eventBuffer), out: sent}
	f.id, f.call = g.disp.Submit(x.rec.ID, decide.Request{
		Pool: "p", Region: "r", PromptTokens: 10, MaxTokens: 10, FirstToken: time.Minute, BetweenTokens: time.Second, Repeatable: true,
	})
	defer g.disp.Remove(f.id)
	g.disp.Step(decide.PrefillDone{ID: f.id, Attempt: 1, Expires: time.Now().Add(time.Minute)})
	stalled := startedDecode(f)
	g.disp.Step(decide.Failed{ID: f.id, Attempt: stalled, Reason: outcome.TransferStalled, Ran: true})
	// The engine may have fetched the KV cache, so the prompt is prefilled again.
	g.disp.Step(decide.PrefillDone{ID: f.id, Attempt: stalled + 1, Expires: time.Now().Add(time.Minute)})

	late := flightEvent{attempt: stalled, chunk: &engine.Chunk{Data: "late", HasChoices: true}}
	f.handleEvent(late)
	f.handleEvent(late)
	if len(*sent) > 0 {
		t.Errorf("expected nothing from the call that was given up, got %v", *sent)
	}
	again := startedDecode(f)
	if again == stalled {
		t.Fatal("expected another decode call")
	}
	f.handleEvent(flightEvent{attempt: again, chunk: &engine.Chunk{Data: "w0", HasChoices: true}})
	f.handleEvent(late)
	if len(*sent) != 1 || (*sent)[0] != "w0" {
		t.Errorf("expected the second call's answer alone, got %v", *sent)
	}
}
