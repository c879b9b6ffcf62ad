package decide

import (
	"math/rand/v2"
	"testing"
	"time"
)

// expectOverflow checks the memory prediction for a request with a prompt of 4,000 tokens and an answer of 4,400
// tokens. The engine has memory for 63,000 tokens. Its report has the given age and lists runs streams. Each stream
// uses memory for tokens tokens, and has generated made tokens of its answer. want is true if the memory must be
// predicted not to suffice.
func expectOverflow(t *testing.T, runs, tokens, made int, age time.Duration, want bool) {
	t.Helper()
	now := time.Now()
	e := &engine{Engine: Engine{KVTokens: 63000}, hasReport: true}
	e.report.At = now.Add(-age)
	for range runs {
		e.report.Runs = append(e.report.Runs, StreamLoad{Tokens: tokens, Output: made})
	}
	e.report.FreeKV = e.KVTokens - runs*tokens
	p := &pool{requestLengths: requestLengths{meanOutput: 4400}}
	f := &flight{Request: Request{PromptTokens: 4000, MaxTokens: 4000, ExpectedTokens: 4400}}
	if got := !e.hasRoom(p, f, now); got != want {
		t.Errorf("%d streams of %d tokens, %d generated, report %s old: expected %t, got %t", runs, tokens, made, age, want, got)
	}
}

func TestOverflowNearlyEmpty(t *testing.T)   { expectOverflow(t, 1, 5000, 0, 0, false) }
func TestOverflowNewStreams(t *testing.T)    { expectOverflow(t, 10, 5000, 0, 0, true) }
func TestOverflowEndingStreams(t *testing.T) { expectOverflow(t, 5, 9000, 8000, 0, false) }
func TestOverflowFull(t *testing.T)          { expectOverflow(t, 7, 8900, 4000, 0, true) }
func TestOverflowOldReport(t *testing.T)     { expectOverflow(t, 10, 5000, 0, 10*time.Second, false) }
func TestOverflowNoStreams(t *testing.T)     { expectOverflow(t, 0, 0, 0, 0, false) }

// A report that is some seconds old is brought up to date by estimate. Since the report, streams that were nearly done
// have ended, and streams that had just begun have grown.
func TestOverflowReportAge(t *testing.T) {
	now := time.Now()
	p := &pool{requestLengths: requestLengths{meanOutput: 4400}}
	f := &flight{Request: Request{PromptTokens: 4000, MaxTokens: 4000, ExpectedTokens: 4400}}
	room := func(age time.Duration, runs ...StreamLoad) bool {
		e := &engine{Engine: Engine{KVTokens: 63000, Step: time.Millisecond}, hasReport: true}
		e.report = LoadReport{At: now.Add(-age), Runs: runs, FreeKV: e.KVTokens}
		for _, r := range runs {
			e.report.FreeKV -= r.Tokens
		}
		return e.hasRoom(p, f, now)
	}
	half := make([]StreamLoad, 8)
	for i := range half {
		half[i] = StreamLoad{Tokens: 7100, Output: 3500}
	}
	if room(0, half...) {
		t.Error("expected no room as long as eight streams run")
	}
	if !room(2900*time.Millisecond, half...) {
		t.Error("expected room three seconds later, when most of them have ended")
	}
	begun := StreamLoad{Tokens: 5000, Output: 100}
	if !room(0, begun, begun, begun) {
		t.Error("expected three streams that have begun to leave room")
	}
	if room(0, begun, begun, begun, begun, begun, begun, begun, begun, begun) {
		t.Error("expected nine streams to leave no room, though memory is free now")
	}
}

// If all slots of an engine are in use, no request fits, however much memory is free.
func TestOverflowSlots(t *testing.T) {
	now := time.Now()
	e := &engine{Engine: Engine{KVTokens: 63000, Slots: 3, Step: time.Millisecond}, hasReport: true}
	e.report = LoadReport{At: now, Runs: []StreamLoad{{1000, 10}, {1000, 10}, {1000, 10}}, FreeKV: 60000}
	f := &flight{Request: Request{PromptTokens: 1000, MaxTokens: 1000, ExpectedTokens: 1000}}
	if e.hasRoom(&pool{requestLengths: requestLengths{meanOutput: 4400}}, f, now) {
		t.Error("expected no room for a fourth stream in three slots")
	}
}

// An engine has memory for 63,000 tokens. It reports one stream of 5,000 tokens and 4,000 free tokens. The other 54,000
// tokens are reserved for streams that have no first token yet. The test expects them to count as used.
func TestOverflowReservedMemory(t *testing.T) {
	now := time.Now()
	e := &engine{Engine: Engine{KVTokens: 63000}, hasReport: true}
	e.report = LoadReport{At: now, Runs: []StreamLoad{{Tokens: 5000}}, FreeKV: 4000}
	f := &flight{Request: Request{PromptTokens: 4000, MaxTokens: 0, ExpectedTokens: 4400}}
	if e.hasRoom(&pool{requestLengths: requestLengths{meanOutput: 4400}}, f, now) {
		t.Error("expected 54,000 reserved tokens to count as used")
	}
}

// Two engines have the same free memory now. On one engine, streams are expected to end soon. On the other, streams
// have just begun. A request is placed on the first.
func TestPlacementUsesForecast(t *testing.T) {
	ending, begun := make([]StreamLoad, 8), make([]StreamLoad, 16)
	for i := range ending {
		ending[i] = StreamLoad{Tokens: 10000, Output: 9000}
	}
	for i := range begun {
		begun[i] = StreamLoad{Tokens: 5000}
	}
	for seed := range uint64(20) {
		s := newFixture(t, 1, 2)
		s.c.rng = rand.New(rand.NewPCG(seed, 1))
		s.step(LoadReport{Engine: "b", At: s.now, FreeKV: 20000, Streams: 10, Runs: begun})
		s.step(LoadReport{Engine: "c", At: s.now, FreeKV: 20000, Streams: 10, Runs: ending})
		s.step(Submit{Request: Request{
			ID: 1, Pool: "p", Region: "r", PromptTokens: 4000, MaxTokens: 4400, ExpectedTokens: 4400,
			FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond, Repeatable: true,
		}})
		s.expectStarted(1)
		if got := s.prefills[1].Decode; got != "c" {
			t.Errorf("seed %d: expected the engine whose streams end soon, got %s", seed, got)
		}
	}
}

// The forecast never exceeds the memory that an engine's streams use if none of them ends. So long prompts with short
// answers can fill an engine nearly completely. Without this limit, it was uncertain when six streams would end, and
// the margin for this was 2,000 tokens that the streams could never use.
func TestOverflowUpperBound(t *testing.T) {
	now := time.Now()
	e := &engine{Engine: Engine{KVTokens: 28400, Step: 5 * time.Millisecond}, hasReport: true}
	e.report = LoadReport{At: now.Add(-500 * time.Millisecond), FreeKV: 28400 - 6*3650}
	for i := range 6 {
		e.report.Runs = append(e.report.Runs, StreamLoad{Tokens: 3500 + 60*i, Output: 20 + 60*i})
	}
	f := &flight{Request: Request{PromptTokens: 3000, MaxTokens: 640, OutputReserve: 75, ExpectedTokens: 550}}
	if !e.hasRoom(&pool{requestLengths: requestLengths{meanOutput: 640}}, f, now) {
		t.Error("expected room for a seventh stream")
	}
}
