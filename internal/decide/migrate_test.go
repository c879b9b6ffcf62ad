package decide

import (
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// migrateFixture is a fixture with prefill engine a and decode engines b, c and d. Request 1 is being streamed
// from b. The fixture keeps all migrations that the core starts.
type migrateFixture struct {
	*fixture
	migrations []Migrate
}

func newMigrateFixture(t *testing.T) *migrateFixture {
	s := &migrateFixture{fixture: newFixture(t, 1, 3)}
	s.updateFleet("")
	s.step(LoadReport{Engine: "b", At: s.now, FreeKV: 100000, Runs: []StreamLoad{}})
	s.step(Submit{Request: Request{
		ID: 1, Pool: "p", Region: "r", PromptTokens: 5000, MaxTokens: 5000, ExpectedTokens: 4400,
		FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond,
	}})
	s.step(PrefillDone{ID: 1, Attempt: 1, Expires: s.now.Add(time.Second)})
	s.step(FirstToken{ID: 1, Attempt: 2})
	if got := s.c.flights[1]; got.decode.Name != "b" || got.stage != streaming {
		t.Fatalf("expected the stream on b, got %+v", got.decode)
	}
	return s
}

// updateFleet sets the configuration of the engines, in which the named engine is leaving.
func (s *migrateFixture) updateFleet(leaving string) {
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second, ForecastsMemory: true, Migrates: true}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		e := s.c.engines[name].Engine
		e.Leaving = name == leaving
		f.Engines = append(f.Engines, e)
	}
	s.step(f)
}

func (s *migrateFixture) step(ev Event) {
	for _, a := range s.c.Step(s.now, ev) {
		if m, ok := a.(Migrate); ok {
			s.migrations = append(s.migrations, m)
		}
	}
}

// report lets engines b and c report. Engine b has the given number of streams that have each generated made tokens.
// Engine c has no streams.
func (s *migrateFixture) report(runs, made int) {
	r := LoadReport{Engine: "b", At: s.now, FreeKV: 100000 - runs*9000, Streams: runs}
	for range runs {
		r.Runs = append(r.Runs, StreamLoad{Tokens: 9000, Output: made})
	}
	s.step(r)
	s.step(LoadReport{Engine: "c", At: s.now, FreeKV: 100000, Runs: []StreamLoad{}})
}

func (s *migrateFixture) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.step(Tick{})
}

func (s *migrateFixture) expectMigrations(what string, n int) {
	s.t.Helper()
	if len(s.migrations) != n {
		s.t.Fatalf("%s: expected %d migrations, got %+v", what, n, s.migrations)
	}
}

// expectReservedOn checks that memory for the stream is reserved on the named engines and on no other.
func (s *migrateFixture) expectReservedOn(names ...string) {
	s.t.Helper()
	for _, e := range s.c.engines {
		want := false
		for _, name := range names {
			want = want || e.Name == name
		}
		if (e.reservedKV > 0) != want {
			s.t.Errorf("expected memory to be reserved on %v, got %d on %s", names, e.reservedKV, e.Name)
		}
	}
}

// An engine is about to run out of memory. Its newest stream is migrated to the engine with the most free memory.
// Memory stays reserved on both engines until the stream continues on the new engine.
func TestMovesNewest(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(11, 600)
	s.advance(migrateInterval)
	s.expectMigrations("the newest of a full engine", 1)
	m := s.migrations[0]
	if m.From != "b" || m.To != "c" || m.Leaving || m.Attempt != 3 {
		t.Errorf("expected a migration from b to c, got %+v", m)
	}
	s.expectReservedOn("b", "c")
	s.advance(migrateInterval)
	s.expectMigrations("while it is being migrated", 1)
	s.step(Migrated{ID: 1, Attempt: 3})
	s.expectReservedOn("c")
	s.step(Failed{ID: 1, Attempt: 2, Reason: outcome.EndpointLost, Ran: true}) // A late event of the old call.
	if f := s.c.flights[1]; f == nil || f.decode.Name != "c" || f.attempt != 3 {
		t.Errorf("expected the stream to continue on c, got %+v", f)
	}
	s.step(Done{ID: 1, Attempt: 3})
	s.expectReservedOn()
}

func TestFailedMigration(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(11, 600)
	s.advance(migrateInterval)
	s.expectMigrations("a full engine", 1)
	s.step(MigrateFailed{ID: 1, Attempt: 3})
	s.expectReservedOn("b")
	s.report(11, 700)
	s.advance(migrateInterval)
	s.expectMigrations("right after a failure", 1)
	s.step(Cancel{ID: 1})
	s.expectReservedOn()
}

func TestCancelWhileMoved(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(11, 600)
	s.advance(migrateInterval)
	s.expectReservedOn("b", "c")
	s.step(Cancel{ID: 1})
	s.expectReservedOn()
}

// A stream is not migrated if newer streams run on its engine, since the engine would preempt a newer stream first.
func TestOlderStreamIsNotMigrated(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(time.Second)
	s.report(11, 50)
	s.advance(migrateInterval)
	s.expectMigrations("newer ones run there", 0)
}

func TestNoMigrationWithRoom(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(3, 1500)
	s.advance(migrateInterval)
	s.expectMigrations("an engine with room", 0)
}

// Streams are not migrated to an engine that does not answer load probes, since such an engine only seems to become
// empty. They are not migrated either to an engine on which streams wait for memory.
func TestNoMigrationToUnsuitableEngine(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(11, 600)
	s.step(ProbeFailed{Engine: "c"})
	s.step(LoadReport{Engine: "d", At: s.now, FreeKV: 100000, Queued: 1, Runs: []StreamLoad{}})
	s.advance(migrateInterval)
	s.expectMigrations("only an unresponsive engine and one with a queue", 0)
}

// An engine leaves. Its stream is migrated, unless the stream is nearly done.
func TestMigratesOffLeavingEngine(t *testing.T) {
	s := newMigrateFixture(t)
	s.now = s.now.Add(200 * time.Millisecond)
	s.report(2, 1500)
	s.updateFleet("b")
	s.advance(migrateInterval)
	s.expectMigrations("an engine that leaves", 1)
	if !s.migrations[0].Leaving {
		t.Error("expected the migration's reason to be that the engine leaves")
	}
	s = newMigrateFixture(t)
	s.now = s.now.Add(4100 * time.Millisecond)
	s.report(2, 1500)
	s.updateFleet("b")
	s.advance(migrateInterval)
	s.expectMigrations("a stream that is nearly done", 0)
}

// A migration takes a retry from the budget. If the migration fails before any call was made, it must return the retry.
// For a leaving engine, the core tries again every 1.5 s while no other engine has room. Past fault: failed migrations
// kept their retries, ten in all. Then a stream lost its connection and could have been resumed, but no retry was left.
// Its caller was disconnected.
func TestFailedMigrationReturnsRetry(t *testing.T) {
	s := newMigrateFixture(t)
	before := s.retriesLeft()
	s.report(0, 0)
	s.updateFleet("b")
	for n := 1; n <= 5; n++ {
		s.report(0, 0)
		s.advance(migrationCooldown + migrateInterval)
		s.expectMigrations("while b leaves", n)
		if got := s.retriesLeft(); got != before-1 {
			t.Fatalf("expected one retry to be taken by the running migration, got %d of %d left", got, before)
		}
		s.step(MigrateFailed{ID: 1, Attempt: s.migrations[n-1].Attempt})
	}
	if got := s.retriesLeft(); got != before {
		t.Errorf("expected all %d retries to be left, got %d", before, got)
	}
}

// Guards against a stream that is stopped for a migration, is not taken by the target, and is then turned away by its own
// engine, which had asked for a pause.
func TestNoMigrationDuringPause(t *testing.T) {
	s := newMigrateFixture(t)
	s.c.SetNotices(&fakeNotices{map[string]time.Time{"b": s.now.Add(time.Second)}, map[string]int{}})
	s.report(0, 0)
	s.updateFleet("b")
	s.advance(900 * time.Millisecond)
	s.expectMigrations("while b leaves and asks for a pause", 0)
	s.report(0, 0)
	s.advance(200 * time.Millisecond)
	s.expectMigrations("after the pause", 1)
}

// retriesLeft is how many retries the core's budget has left.
func (s *migrateFixture) retriesLeft() (n int) {
	for s.c.budget.Has(s.now, n+1) {
		n++
	}
	return n
}
