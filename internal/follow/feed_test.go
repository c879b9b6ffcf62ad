package follow

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests: the same verdict on every run.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.seed" })
	if !set {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// truth is a table of the store with its whole history: states[v] is the table as of v in the present era.
// Like the platform's, its feed names every row that changed, also one that is as it was.
type truth struct {
	era     int64
	states  []map[string][]byte
	changed []string // changed[v] is the row whose change made version v.
	// writes counts the changes of all eras, so that no two write the same.
	writes int
	// forgot is the version before which no change is known any more.
	forgot int64
	// undone has the states of earlier eras.
	undone map[Version]map[string][]byte
}

func (s *truth) now() Version { return Version{s.era, int64(len(s.states) - 1)} }

func (s *truth) present() map[string][]byte { return s.states[len(s.states)-1] }

func (s *truth) at(v Version) map[string][]byte {
	if v.Era == s.era {
		return s.states[v.Number]
	}
	return s.undone[v]
}

// change puts or removes one row.
func (s *truth) change(key string, gone bool) {
	next := maps.Clone(s.present())
	if s.writes++; gone {
		delete(next, key)
	} else {
		next[key] = fmt.Append(nil, s.writes)
	}
	s.states, s.changed = append(s.states, next), append(s.changed, key)
}

// restore has the store come back from a copy that is so many versions old.
func (s *truth) restore(by int) {
	if s.undone == nil {
		s.undone = map[Version]map[string][]byte{}
	}
	for n, state := range s.states {
		s.undone[Version{s.era, int64(n)}] = state
	}
	left := max(1, len(s.states)-by)
	s.forgot = min(s.forgot, int64(left-1))
	s.era, s.states, s.changed = s.era+1, s.states[:left:left], s.changed[:left:left]
}

func (s *truth) All(context.Context) (out []Row, ver Version, err error) {
	for k, v := range s.present() {
		out = append(out, Row{Key: k, Value: v})
	}
	return out, s.now(), nil
}

func (s *truth) Changed(_ context.Context, since Version, _ time.Duration) (out []Row, ver Version, err error) {
	if since.Era != s.era || since.Number < s.forgot {
		return nil, Version{}, ErrForgotten
	}
	for _, k := range s.changed[since.Number+1:] {
		v, there := s.present()[k]
		out = append(out, Row{Key: k, Value: v, Gone: !there})
	}
	return out, s.now(), nil
}

func newTruth() truth {
	return truth{states: []map[string][]byte{{}, {}}, changed: []string{"", ""}}
}

// at is a version of a store that has no eras.
func at(n int64) Version { return Version{Number: n} }

// However boxes read the store and tell each other of it, late, twice, out of order, from
// boxes ahead or behind, with the store back from older copies or without its history meanwhile: each has at all times the table as it was at its version, and no
// version is followed by an older one.
func TestTellAndHear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := newTruth()
		s := &truth
		const boxes = 3
		var tables [boxes]*Table
		var last [boxes]Version
		for i := range tables {
			tables[i] = New(s, Options{Stale: time.Hour}, func(map[string][]byte) {})
		}
		type message struct {
			to   int
			part Part
		}
		var under []message // Under way.
		seen := []Version{{}, s.now()}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, boxes-1).Draw(t, "box")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				s.change(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.IntRange(0, 3).Draw(t, "gone") == 0)
			case 2:
				if _, err := tables[i].step(context.Background(), true); errors.Is(err, ErrForgotten) {
					tables[i].forgotten()
				}
			case 3:
				to := (i + rapid.IntRange(1, boxes-1).Draw(t, "to")) % boxes
				// Also what is meant for a box that has more than this one.
				since := rapid.SampledFrom([]Version{tables[to].Version(), tables[i].Version(), seen[rapid.IntRange(0, len(seen)-1).Draw(t, "since")]}).Draw(t, "of")
				under = append(under, message{to, tables[i].PartSince(since)})
			case 4:
				if len(under) > 0 {
					n := rapid.IntRange(0, len(under)-1).Draw(t, "which")
					tables[under[n].to].Hear(under[n].part, time.Minute)
				}
			case 5:
				switch rapid.IntRange(0, 3).Draw(t, "trouble") {
				case 0:
					s.restore(rapid.IntRange(0, 6).Draw(t, "by"))
				case 1:
					s.forgot = s.now().Number
				}
			}
			seen = append(seen, s.now())
			for i, table := range tables {
				if table.ver.Before(last[i]) {
					t.Fatalf("box %d stepped back from %s to %s", i, last[i], table.ver)
				}
				last[i] = table.ver
				if table.rows != nil && !maps.EqualFunc(table.rows, s.at(table.ver), func(a, b []byte) bool { return string(a) == string(b) }) {
					t.Fatalf("box %d at version %s has %q, the store had %q", i, table.ver, table.rows, s.at(table.ver))
				}
			}
		}
	})
}

// A box that others' word keeps up to date does not read the store; it does so at once when
// that word is too old, says that the store does not answer, or ends.
func TestRelief(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &counted{truth: newTruth()}
		table := New(s, Options{Wait: time.Second, Limit: time.Second, Stale: 2 * time.Second}, func(map[string][]byte) {})
		go table.Run(ctx)
		time.Sleep(1500 * time.Millisecond)
		hear := func(p Part) {
			p.Version, p.Since = table.Version(), table.Version()
			table.Hear(p, 600*time.Millisecond)
		}
		calls := func(what string, d time.Duration, p Part, want bool) {
			t.Helper()
			hear(p)
			time.Sleep(1100 * time.Millisecond) // A call under way ends.
			before := s.calls.Load()
			for range d / (100 * time.Millisecond) {
				hear(p)
				time.Sleep(100 * time.Millisecond)
			}
			if got := s.calls.Load() > before; got != want {
				t.Errorf("%s: expected calls to the store: %t, got %d", what, want, s.calls.Load()-before)
			}
		}
		fresh := Part{Age: 100 * time.Millisecond}
		for range 3 {
			calls("fresh word", 5*time.Second, fresh, false)
			calls("word of a store that does not answer", 5*time.Second, Part{Age: 100 * time.Millisecond, Lost: true}, true)
			calls("old word", 5*time.Second, Part{Age: 3 * time.Second}, true)
		}
		calls("fresh word again", 5*time.Second, fresh, false)
		before := s.calls.Load()
		table.EndDelegation()
		synctest.Wait()
		if s.calls.Load() == before {
			t.Error("expected the store to be read at once when the other box is gone")
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// counted counts the calls and takes its time where nothing changes.
type counted struct {
	truth
	calls atomic.Int32
}

func (c *counted) All(ctx context.Context) ([]Row, Version, error) {
	c.calls.Add(1)
	return c.truth.All(ctx)
}

func (c *counted) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	c.calls.Add(1)
	if err := passes(ctx, wait); err != nil {
		return nil, Version{}, err
	}
	return c.truth.Changed(ctx, since, wait)
}

// expectSettled has a box start, and another one tell it of the table from a moment on, every
// 200 ms; it expects so many calls to the store in the first five seconds.
func expectSettled(t *testing.T, toldFrom time.Duration, want int32) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		s := &counted{truth: newTruth()}
		o := Options{Wait: 3200 * time.Millisecond, Limit: time.Second, Stale: 2 * time.Second, Settle: 2 * time.Second}
		table := New(s, o, func(map[string][]byte) {})
		go table.Run(ctx)
		time.Sleep(toldFrom)
		for range (5*time.Second - toldFrom) / (200 * time.Millisecond) {
			table.Hear(Part{Version: table.Version(), Since: table.Version()}, 600*time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		if got := s.calls.Load(); got != want {
			t.Errorf("told from %s: expected %d calls, got %d", toldFrom, want, got)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// A box that starts reads the table once, and asks for changes only if nobody tells it of them.
func TestSettlesTold(t *testing.T)  { expectSettled(t, 1500*time.Millisecond, 1) }
func TestSettlesAlone(t *testing.T) { expectSettled(t, 5*time.Second, 2) }

// expectOutageCalls has a box that starts well see the store go down for ten seconds, and expects
// at most so many calls while it is down, once the calls from before have ended, and in the two
// seconds after its return. Where it is told, the other box says first that the store does not
// answer it either, and at the moment of its return that it does.
//
// A box that looks between the return and the next word of it finds the store back by itself, and
// reads all tables: told 100 ms after the return that happened in 66 of 1,000 plays.
func expectOutageCalls(t *testing.T, told bool, mostDown, mostBack int32) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
		o := &outage{from: start.Add(5 * time.Second), to: start.Add(15 * time.Second)}
		ctx, cancel := context.WithCancel(context.Background())
		link := &Link{}
		var tables []*Table
		for range 3 {
			table := New(countedOutage{o, &atomic.Int32{}}, Options{Wait: time.Second, Limit: 600 * time.Millisecond, Stale: 2 * time.Second, Link: link}, func(map[string][]byte) {})
			tables = append(tables, table)
			go table.Run(ctx)
		}
		tell := func(from, to time.Duration, lost bool) {
			for d := from; d < to; d += 200 * time.Millisecond {
				at(d)
				for _, table := range tables {
					if told {
						table.Hear(Part{Version: Version{Number: 1}, Since: Version{Number: 1}, Lost: lost}, 600*time.Millisecond)
					}
				}
			}
		}
		tell(5*time.Second, 6100*time.Millisecond, true)
		at(6100 * time.Millisecond) // The calls that were under way have ended.
		before := callsOf(tables)
		tell(6200*time.Millisecond, 15*time.Second, true)
		at(15*time.Second - time.Nanosecond)
		if got := callsOf(tables) - before; got > mostDown {
			t.Errorf("told %t: expected %d calls at the most while the store is down, got %d", told, mostDown, got)
		}
		before = callsOf(tables)
		tell(15*time.Second, 17*time.Second, false)
		at(17 * time.Second)
		if got := callsOf(tables) - before; got > mostBack {
			t.Errorf("told %t: expected %d calls at the most after its return, got %d", told, mostBack, got)
		}
		for i, table := range tables {
			if table.Unavailable() {
				t.Errorf("table %d: expected the store to be known to be back", i)
			}
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// A box that is told how it stands with the store asks it a third as often while it is down,
// and not at all when it is back. The shortest pauses are 0.7 of 1.8 s, and of 0.6 s.
func TestOutageTold(t *testing.T)  { expectOutageCalls(t, true, 8, 0) }
func TestOutageAlone(t *testing.T) { expectOutageCalls(t, false, 22, 12) }

// countedOutage counts the calls that it is asked, whatever becomes of them.
type countedOutage struct {
	*outage
	calls *atomic.Int32
}

func (c countedOutage) All(ctx context.Context) ([]Row, Version, error) {
	c.calls.Add(1)
	return c.outage.All(ctx)
}

func (c countedOutage) Changed(ctx context.Context, since Version, wait time.Duration) ([]Row, Version, error) {
	c.calls.Add(1)
	return c.outage.Changed(ctx, since, wait)
}

func callsOf(tables []*Table) (n int32) {
	for _, t := range tables {
		n += t.src.(countedOutage).calls.Load()
	}
	return n
}

// A follower that is one change behind is told one row, however many changed before and also where the
// table was read anew. After each 2,048 changed rows every follower was told the whole table: 2.3 MB of
// 10,000 endpoints to each of 986 boxes.
func TestTellsChangesOnly(t *testing.T) {
	table := New(nil, Options{}, func(map[string][]byte) {})
	const rows, changes = 6000, 5000
	var all []Row
	for i := range rows {
		all = append(all, Row{Key: fmt.Sprint(i), Value: []byte("a")})
	}
	table.replace(all, at(1))
	expectOne := func(since Version) {
		t.Helper()
		if p := table.PartSince(since); p.Since != since || len(p.Rows) != 1 {
			t.Fatalf("expected one row that changed since %s, got %d since %s", since, len(p.Rows), p.Since)
		}
	}
	n := int64(1)
	for i := range changes {
		table.merge([]Row{{Key: fmt.Sprint(i), Value: []byte("b")}}, at(n), at(n+1), false)
		expectOne(at(n))
		n++
	}
	for i := range changes {
		all[i].Value = []byte("b")
	}
	all[17].Value = []byte("c")
	table.replace(all, at(n+1))
	expectOne(at(n))
	table.replace(all[:rows-1], at(n+2))
	if p := table.PartSince(at(n + 1)); len(p.Rows) != 1 || !p.Rows[0].Gone {
		t.Errorf("expected the row that is gone, got %v", p.Rows)
	}
	if p := table.PartSince(at(1)); !p.Since.IsZero() || len(p.Rows) != rows-1 {
		t.Errorf("expected a follower that is far behind to get the table whole, got %d rows since %s", len(p.Rows), p.Since)
	}
}

// A box whose teller knows an older era is not relieved of reading the store.
func TestTellerOfAnOlderEraIsNoRelief(t *testing.T) {
	table := New(nil, Options{Stale: time.Hour}, func(map[string][]byte) {})
	ver := Version{Era: 2, Number: 5}
	table.replace([]Row{{Key: "a"}}, ver)
	for _, p := range []Part{
		{Version: Version{Era: 1, Number: 90}, Rows: []Row{{Key: "b"}}},
		{Version: Version{Era: 1, Number: 90}, Since: Version{Era: 1, Number: 80}, Rows: []Row{{Key: "b"}}},
		{Version: Version{Era: 3, Number: 1}, Since: Version{Era: 2, Number: 4}, OmitsReverted: true, Rows: []Row{{Key: "b"}}},
		{Version: Version{Era: 2, Number: 9}, Since: Version{Era: 2, Number: 4}, OmitsReverted: true, Rows: []Row{{Key: "b"}}},
	} {
		if table.Hear(p, time.Minute) || table.relieved() || table.Version() != ver {
			t.Errorf("part of %s since %s: expected it to be of no use, the table is at %s", p.Version, p.Since, table.Version())
		}
	}
	if p := table.PartSince(Version{Era: 3, Number: 1}); len(p.Rows) != 0 {
		t.Errorf("expected nothing to be told to a box of a newer era, got %d rows", len(p.Rows))
	}
	if !table.Hear(Part{Version: Version{Era: 3, Number: 1}, Since: ver, Rows: []Row{{Key: "b"}}}, time.Minute) || !table.relieved() {
		t.Error("expected changes since the table's own version to lead to the next era")
	}
}

// Changes over a return of the store lead only from versions that the teller had itself read.
func TestFollowerThatHadReadFurtherBeforeTheReturnIsToldTheWholeTable(t *testing.T) {
	table := New(nil, Options{}, func(map[string][]byte) {})
	table.replace([]Row{{Key: "a"}}, Version{Era: 1, Number: 5})
	table.merge([]Row{{Key: "b"}}, Version{Era: 1, Number: 5}, Version{Era: 1, Number: 7}, false)
	table.replace([]Row{{Key: "a"}}, Version{Era: 2, Number: 6})
	for number, whole := range map[int64]bool{5: false, 7: false, 8: true} {
		p := table.PartSince(Version{Era: 1, Number: number})
		if p.Since.IsZero() != whole {
			t.Errorf("since %d: expected the whole table: %t, got changes since %s", number, whole, p.Since)
		}
	}
}

// A table that was read whole does not lead on from versions that this box has passed over.
func TestTableReadWholeDoesNotLeadFromVersionsBetween(t *testing.T) {
	first, second := New(nil, Options{}, func(map[string][]byte) {}), New(nil, Options{}, func(map[string][]byte) {})
	first.replace([]Row{{Key: "a"}}, at(5))
	second.replace([]Row{{Key: "a"}}, at(5))
	first.replace([]Row{{Key: "a"}}, at(9)) // A row came and went at 7 and 8.
	second.Hear(first.PartSince(at(5)), time.Minute)
	for name, table := range map[string]*Table{"the box that read": first, "one that was told": second} {
		for number, whole := range map[int64]bool{5: false, 7: true, 9: false} {
			if p := table.PartSince(at(number)); p.Since.IsZero() != whole {
				t.Errorf("%s, since %d: expected the whole table: %t, got changes since %s", name, number, whole, p.Since)
			}
		}
	}
}

// What waits for the next state of a table to be that of an older copy must not take a later one for it.
func TestReturnIsAppliedThoughNoRowDiffers(t *testing.T) {
	told := ""
	table := New(nil, Options{}, func(map[string][]byte) { told += " applied" })
	table.Restored = func(era int64) { told += fmt.Sprintf(" era %d", era) }
	ver := Version{Era: 1, Number: 7}
	table.replace([]Row{{Key: "a"}}, ver)
	table.Hear(Part{Version: Version{Era: 2, Number: 3}, Since: ver, OmitsReverted: true}, 0)
	if told != " applied era 2 applied" {
		t.Errorf("expected the return to be followed by its rows, got%s", told)
	}
}
