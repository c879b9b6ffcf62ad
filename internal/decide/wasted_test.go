package decide

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// growingCore returns a core with a prefill engine that reads 5,000 tokens per second, and with a decode engine on which
// seven streams have just begun. They use 56,000 of 63,000 tokens now, and are expected to use 60,000 after 0.8 s. With
// ending set, most of the streams are expected to end in that time.
func growingCore(now time.Time, ending bool) *Core {
	c := New(rand.New(rand.NewPCG(1, 1)), 1000)
	c.Step(now, Fleet{Pools: []Pool{{Name: "p", ForecastsMemory: true}}, Engines: []Engine{
		{Name: "reader", Pool: "p", Region: "r", Role: Prefill, PrefillRate: 5000, LinkRate: 1e9},
		{Name: "w", Pool: "p", Region: "r", Role: Decode, KVTokens: 63000, Step: time.Millisecond, LinkRate: 1e9},
	}})
	c.pools["p"].meanOutput, c.pools["p"].receivesStreamEnds = 4400, true
	run := StreamLoad{Tokens: 8000, Output: 100}
	if ending {
		run.Output = 40000
	}
	c.Step(now, LoadReport{Engine: "w", At: now.Add(-time.Millisecond), FreeKV: 7000, Runs: []StreamLoad{run, run, run, run, run, run, run}})
	return c
}

// The prompt of a stream that may be late takes 0.8 s. Its decode engine has room for it now, but is not expected to
// have room when the prompt has been read. The prompt must not be sent. Past fault: only the room at the time of the
// placement counted for streams that may be late, so prompts were read in vain.
func TestPromptWaitsForRoomAtItsEnd(t *testing.T) {
	for _, ending := range []bool{false, true} {
		now := time.Now()
		sent := false
		for _, a := range growingCore(now, ending).Step(now, Submit{Request{
			ID: 1, Pool: "p", Region: "r", PromptTokens: 4000, MaxTokens: 4400, ExpectedTokens: 4400, OutputReserve: 512,
			FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond, ServeLate: true, MaxWait: time.Minute,
		}}) {
			switch a := a.(type) {
			case StartPrefill:
				sent = true
			case Waiting:
				if a.Reason != outcome.NoDecode {
					t.Errorf("expected the stream to wait for a decode engine, got %s", a.Reason)
				}
			}
		}
		if sent != ending {
			t.Errorf("with streams that end soon %t: expected the prompt to be sent %t, got %t", ending, ending, sent)
		}
	}
}

// All decode engines refuse a stream after its prompt was read. For each time that the prompt was read, only one other
// engine is tried. A stream that can still be on time then starts over, until its tries are used up. Past fault: engines were
// tried until the retries of the box were used up, 11 engine calls for one prompt of a pool that was full.
func TestOneOtherDecodeEngineAfterRefusal(t *testing.T) {
	s := newFixture(t, 1, 5)
	s.step(Submit{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 1000, MaxTokens: 10, FirstToken: 5 * time.Second, BetweenTokens: 20 * time.Millisecond,
		Repeatable: true, PrefillNotRun: true,
	}})
	prefills, decodes := 0, 0
	for range 20 {
		if _, ended := s.outcomes[1]; ended {
			break
		}
		if p, ok := s.prefills[1]; ok {
			delete(s.prefills, 1)
			prefills++
			s.step(PrefillDone{ID: 1, Attempt: p.Attempt, Expires: s.now.Add(5 * time.Second)})
		}
		if d, ok := s.decodes[1]; ok {
			delete(s.decodes, 1)
			decodes++
			s.step(Failed{ID: 1, Attempt: d.Attempt, Reason: outcome.EndpointRefused})
		}
	}
	if prefills > maxTries || decodes != 2*prefills {
		t.Errorf("expected at most %d prefills and two decode calls for each, got %d and %d", maxTries, prefills, decodes)
	}
	if o, ok := s.outcomes[1]; !ok || o.Kind != outcome.NotRun {
		t.Errorf("expected the request to be refused as not run, got %+v", o)
	}
}
