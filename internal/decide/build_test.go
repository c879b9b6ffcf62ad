package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// setBuilds gives the decode engines of the test pool builds, in the order of their names.
func (s *fixture) setBuilds(builds ...string) {
	s.t.Helper()
	decodes := s.c.pools["p"].decode
	if len(decodes) != len(builds) {
		s.t.Fatalf("expected %d decode engines, got %d", len(builds), len(decodes))
	}
	for i, e := range decodes {
		e.Build = builds[i]
	}
	s.c.pools["p"].rebuild()
}

// beginBuiltStream has a stream begin at one of two builds, each with two decode engines.
func beginBuiltStream(t *testing.T) *fixture {
	t.Helper()
	s := newFixture(t, 1, 4)
	s.setBuilds("a", "a", "b", "b")
	s.step(Submit{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: time.Second,
		Repeatable: true, Resumable: true, PrefillNotRun: true, RefuseEarly: true, MaxWait: 2500 * time.Millisecond,
	}})
	s.advance(tickInterval)
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
	return s
}

// Guards against a stream that goes on at another build after each of several losses.
func TestStreamStaysAtItsBuild(t *testing.T) {
	s := beginBuiltStream(t)
	build := s.c.engines[s.decodes[1].Decode].Build
	for range 2 {
		lost := s.decodes[1]
		s.step(Failed{ID: 1, Attempt: lost.Attempt, Reason: outcome.Truncated, Ran: true})
		s.advance(tickInterval)
		if f := s.c.flights[1]; f == nil || f.decode == nil || f.decode.Build != build || f.decode.Name == lost.Decode {
			t.Fatalf("expected the other engine of build %s, got %+v", build, f)
		}
		s.step(PrefillDone{ID: 1, Attempt: s.prefills[1].Attempt, Expires: s.now.Add(time.Second)})
		s.step(FirstToken{ID: 1, Attempt: s.decodes[1].Attempt})
	}
}

// Guards against a stream that waits until its time is over although no engine of its build is left.
func TestStreamEndsWithItsBuild(t *testing.T) {
	s := beginBuiltStream(t)
	build := s.c.engines[s.decodes[1].Decode].Build
	for _, e := range s.c.pools["p"].decode {
		e.Leaving = e.Build == build
	}
	s.step(Failed{ID: 1, Attempt: s.decodes[1].Attempt, Reason: outcome.Truncated, Ran: true})
	if o := s.outcomes[1]; o.Reason != outcome.BuildGone || o.Kind != outcome.MayHaveRun {
		t.Errorf("expected the end of a stream without its build, got %+v", o)
	}
}

// A stream that its caller takes up is placed at its build only. If that build has gone, it is refused at once as not run.
func TestTakenUpStreamIsPlacedAtItsBuild(t *testing.T) {
	for build, placed := range map[string]bool{"a": true, "b": true, "c": false} {
		s := newFixture(t, 1, 4)
		s.setBuilds("a", "a", "b", "b")
		for id := ID(1); id <= 8; id++ {
			s.step(Submit{Request: Request{
				ID: id, Pool: "p", Region: "r", PromptTokens: 100, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: time.Second,
				Repeatable: true, Resumable: true, PrefillNotRun: true, Build: build, Continues: true, MaxWait: time.Second,
			}})
			o, ended := s.outcomes[id]
			switch {
			case placed && (ended || s.c.flights[id].decode != nil && s.c.flights[id].decode.Build != build):
				t.Errorf("build %s: expected the stream to be placed there, got %+v", build, o)
			case !placed && (o.Reason != outcome.BuildGone || o.Kind != outcome.NotRun || o.RetryAfter == 0):
				t.Errorf("build %s: expected a refusal at once, got %+v", build, o)
			}
		}
	}
}

// While engines of a build leave, new streams keep a part of the memory of the others free for the streams that the build has
// begun.
func TestShrinkingBuildKeepsRoom(t *testing.T) {
	s := newFixture(t, 1, 4)
	s.setBuilds("a", "a", "b", "b")
	p := s.c.pools["p"]
	p.decode[0].Leaving = true
	p.rebuild()
	reg, e := p.regionNamed("r"), p.decode[1]
	e.reservedKV = e.KVTokens - int(shrinkingBuildReserve*float64(e.KVTokens)) // All but the reserve.
	begun, anew := &flight{Request: Request{Build: "a", PromptTokens: 10}}, &flight{Request: Request{PromptTokens: 10}}
	if anew.keepsBuildReserve(reg, e) || !begun.keepsBuildReserve(reg, e) || !anew.keepsBuildReserve(reg, p.decode[2]) {
		t.Error("expected the reserve to be kept from new streams alone, at the shrinking build alone")
	}
	p.decode[0].Leaving = false
	p.rebuild()
	if !anew.keepsBuildReserve(p.regionNamed("r"), e) {
		t.Error("expected no reserve while no engine leaves")
	}
}
