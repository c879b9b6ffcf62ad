package decide

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// driver plays a pool of engines in virtual time for one core. Engines take all work that the core gives them, and take
// exactly as long as configured. The pool has one prefill engine, which is fast, and four decode engines with memory for
// four streams each. A stream takes one second, so the pool serves 16 streams per second.
type driver struct {
	c      *Core
	now    time.Time
	rng    *rand.Rand
	events []driverEvent
	next   ID
	// callers holds the state of each request by ID.
	callers map[ID]*caller
}

type driverEvent struct {
	at time.Time
	ev Event
}

// caller is one caller, who may return once after a refusal.
type caller struct {
	req        Request
	arrived    time.Time
	started    bool
	refused    bool
	returned   bool // Whether this is the second request of a caller that was refused.
	onTime     bool
	retryAfter time.Duration
}

func newDriver() *driver {
	d := &driver{c: New(rand.New(rand.NewPCG(1, 1)), 1000), now: start, rng: rand.New(rand.NewPCG(2, 2)), callers: map[ID]*caller{}}
	f := Fleet{Pools: []Pool{{Name: "p", KVBytesPerToken: 1, PrefillExpiry: 5 * time.Second}}, Engines: []Engine{{
		Name: "reader", Pool: "p", Region: "r", Role: Prefill, PrefillRate: 1e6, LinkRate: 1e9,
	}}}
	for i := range 4 {
		f.Engines = append(f.Engines, Engine{
			Name: fmt.Sprint("w", i), Pool: "p", Region: "r", Role: Decode, KVTokens: 8000, Step: time.Millisecond, LinkRate: 1e9, PrefillRate: 1e6,
		})
	}
	d.c.Step(d.now, f)
	return d
}

// streamOf is a stream of an account. Its target for the first token is two seconds.
func streamOf(account string, rank int) Request {
	return Request{
		Pool: "p", Region: "r", Client: account, Rank: rank, PromptTokens: 1000, MaxTokens: 1000, Repeatable: true, PrefillNotRun: true,
		FirstToken: 2 * time.Second, BetweenTokens: 20 * time.Millisecond, RefuseEarly: true,
	}
}

func (d *driver) schedule(after time.Duration, ev Event) {
	d.events = append(d.events, driverEvent{d.now.Add(after), ev})
}

// submit schedules a request. The second request of a refused caller is marked as returned.
func (d *driver) submit(after time.Duration, r Request, returned bool) {
	d.next++
	r.ID, r.CallerRetry = d.next, returned
	d.callers[r.ID] = &caller{req: r, arrived: d.now.Add(after), returned: returned}
	d.schedule(after, Submit{r})
}

// load schedules streams of an account at random times within a period, perSecond on average.
func (d *driver) load(r Request, perSecond float64, from, to time.Duration) {
	for at := from; ; {
		at += seconds(d.rng.ExpFloat64() / perSecond)
		if at >= to {
			return
		}
		d.submit(at, r, false)
	}
}

// run plays the given time. Callers that are refused and told when to retry return once, if returns is set.
func (d *driver) run(length time.Duration, returns bool) {
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(tickInterval / 4) {
		due := func(e driverEvent) bool { return !e.at.After(d.now) }
		var list []driverEvent
		for _, e := range d.events {
			if due(e) {
				list = append(list, e)
			}
		}
		d.events = slices.DeleteFunc(d.events, due)
		slices.SortStableFunc(list, func(a, b driverEvent) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if d.now.Sub(start)%tickInterval == 0 {
			list = append(list, driverEvent{d.now, Tick{}})
		}
		for _, e := range list {
			d.step(e.ev, returns)
		}
	}
}

func (d *driver) step(ev Event, returns bool) {
	for _, a := range slices.Clone(d.c.Step(d.now, ev)) {
		switch a := a.(type) {
		case StartPrefill:
			d.schedule(5*time.Millisecond, PrefillDone{ID: a.ID, Attempt: a.Attempt, Expires: d.now.Add(5 * time.Second)})
		case StartDecode:
			c := d.callers[a.ID]
			c.started, c.onTime = true, d.now.Sub(c.arrived) <= c.req.FirstToken
			d.schedule(5*time.Millisecond, FirstToken{ID: a.ID, Attempt: a.Attempt})
			d.schedule(time.Second, Done{ID: a.ID, Attempt: a.Attempt, Output: 1000})
		case End:
			c := d.callers[a.ID]
			c.refused, c.retryAfter = a.Outcome.Kind == outcome.NotRun, a.Outcome.RetryAfter
			if returns && c.refused && !c.returned && c.retryAfter > 0 {
				d.submit(c.retryAfter, c.req, true)
			}
		}
	}
}

// count counts the callers that fulfil a condition.
func (d *driver) count(ok func(*caller) bool) (n int) {
	for _, c := range d.callers {
		if ok(c) {
			n++
		}
	}
	return n
}

func percent(n, of int) int { return 100 * n / max(1, of) }

// One account sends ten times its usual load to a pool that its usual load and ten small accounts fill to three
// quarters. The small accounts use less than their shares, so their streams are served as if the account had not done
// so, and the pool stays fully used. Past fault: the queue considered only deadlines.
func TestSmallAccountsBesideOneThatSendsTenTimes(t *testing.T) {
	for _, target := range []time.Duration{2 * time.Second, 500 * time.Millisecond} {
		d := newDriver()
		for i := range 10 {
			r := streamOf(fmt.Sprint("small", i), 0)
			r.FirstToken = target
			d.load(r, 0.8, 0, 20*time.Second)
		}
		large := streamOf("large", 0)
		large.FirstToken = target
		d.load(large, 40, 4*time.Second, 20*time.Second)
		d.run(22*time.Second, false)
		small := func(c *caller) bool { return c.req.Client != "large" }
		n := d.count(small)
		served := d.count(func(c *caller) bool { return small(c) && c.onTime })
		all := d.count(func(c *caller) bool { return c.onTime && c.arrived.After(start.Add(4*time.Second)) })
		t.Logf("target %s: %d of %d small on time, %d of all", target, served, n, all)
		if percent(served, n) < 98 {
			t.Errorf("target %s: expected 98%% of the streams of small accounts on time, got %d of %d", target, served, n)
		}
		if all < 16*16*9/10 {
			t.Errorf("target %s: expected the pool to start at least nine tenths of the 256 streams that it can, got %d", target, all)
		}
	}
}

// Two accounts send twice what the pool can serve. One has three times the weight of the other and gets about three
// times as many streams.
func TestWeights(t *testing.T) {
	d := newDriver()
	heavy, light := streamOf("heavy", 0), streamOf("light", 0)
	heavy.Weight, light.Weight = 3, 1
	d.load(heavy, 16, 0, 20*time.Second)
	d.load(light, 16, 0, 20*time.Second)
	d.run(22*time.Second, false)
	h := d.count(func(c *caller) bool { return c.onTime && c.req.Client == "heavy" })
	l := d.count(func(c *caller) bool { return c.onTime && c.req.Client == "light" })
	t.Logf("heavy %d, light %d", h, l)
	if ratio := float64(h) / float64(l); ratio < 2 || ratio > 4 {
		t.Errorf("expected about three times as many streams of the account with three times the weight, got %d and %d", h, l)
	}
}

// Streams of two ranks share a pool. Those of the lower rank alone would fill it twice. The streams of the higher rank are
// served as if they were alone.
func TestTwoRanksOnOnePool(t *testing.T) {
	for _, account := range []string{"", "other"} {
		d := newDriver()
		d.load(streamOf("", 0), 8, 2*time.Second, 20*time.Second)
		d.load(streamOf(account, 1), 32, 0, 20*time.Second)
		d.run(22*time.Second, false)
		high := func(c *caller) bool { return c.req.Rank == 0 }
		n, served := d.count(high), d.count(func(c *caller) bool { return high(c) && c.onTime })
		all := d.count(func(c *caller) bool { return c.onTime })
		t.Logf("account %q: %d of %d of the higher rank on time, %d of all", account, served, n, all)
		if percent(served, n) < 98 {
			t.Errorf("account %q: expected 98%% of the streams of the higher rank on time, got %d of %d", account, served, n)
		}
		if all < 20*16*9/10 {
			t.Errorf("account %q: expected at least nine tenths of the 320 streams that the pool can start, got %d", account, all)
		}
	}
}

// The streams of the lowest rank are refused first if more wait than can be on time, even if another client has more
// work.
func TestLowestRankIsShedFirst(t *testing.T) {
	s := newFixture(t, 1, 1)
	s.arrive(1, "a", 4000) // Needs 400 ms of prefill and is started immediately.
	s.step(Submit{Request: Request{
		ID: 2, Pool: "p", Region: "r", Client: "b", Rank: 1, PromptTokens: 2500, MaxTokens: 10, FirstToken: time.Second, BetweenTokens: 20 * time.Millisecond,
	}})
	s.arrive(3, "a", 4000)
	s.arrive(4, "a", 1000)
	s.expectRefused(2, outcome.TooLate)
	if o, ok := s.outcomes[3]; ok {
		t.Errorf("expected the larger request of the higher rank to wait, got %+v", o)
	}
}

// A stream of an account with many running streams does not yield to another account's stream if it would then start too
// late while both can be on time in the order of their deadlines.
func TestYieldKeepsStartTime(t *testing.T) {
	for _, slack := range []time.Duration{0, 10 * time.Second} {
		p := &pool{scarceRole: Decode}
		p.throughput.setEngines(Decode, 1)
		c := New(rand.New(rand.NewPCG(1, 1)), 10)
		c.now = start
		p.active = map[string]int{"large": 3}
		work := [2]time.Duration{Decode: time.Second}
		large := &flight{Request: Request{ID: 1, Client: "large"}, pool: p, work: work, latestStart: start.Add(500*time.Millisecond + slack)}
		small := &flight{Request: Request{ID: 2, Client: "small"}, pool: p, work: work, latestStart: start.Add(20 * time.Second)}
		p.queue.add(large)
		p.queue.add(small)
		want := 0
		if slack > 0 {
			want = 1
		}
		if got := c.nextToPlace(p, []*flight{large, small}); got != want {
			t.Errorf("with %s of slack: expected stream %d to be placed first, got %d", slack, want, got)
		}
	}
}

// Twice as many streams arrive as the pool can serve, for six seconds. Refused callers return once at the time that they
// were told. Few of those that return after the overload are refused again. Past fault: refused callers were told one
// second whatever the load, returned during the overload, and were refused again.
func TestRefusedCallersComeBack(t *testing.T) {
	d := newDriver()
	for i := range 4 {
		d.load(streamOf(fmt.Sprint("c", i), 0), 2, 0, 20*time.Second)
		d.load(streamOf(fmt.Sprint("c", i), 0), 6, 4*time.Second, 10*time.Second)
	}
	d.run(30*time.Second, true)
	refused := d.count(func(c *caller) bool { return c.refused && !c.returned })
	returned := d.count(func(c *caller) bool { return c.returned })
	again := d.count(func(c *caller) bool { return c.returned && c.refused })
	all := d.count(func(c *caller) bool { return c.onTime })
	t.Logf("%d refused, %d returned, %d of them refused again, %d on time", refused, returned, again, all)
	if percent(again, returned) > 25 {
		t.Errorf("expected at most a quarter of the callers that return to be refused again, got %d of %d", again, returned)
	}
}

// Guards against a status that hides which account's streams wait, or names accounts without waiting streams.
func TestAccountNotes(t *testing.T) {
	d := newDriver()
	if got := d.c.AccountNotes(); len(got) != 0 {
		t.Errorf("expected no notes, got %q", got)
	}
	for i := range 22 {
		account := "large"
		if i == 21 {
			account = ""
		}
		r := streamOf(account, 0)
		d.next++
		r.ID, r.RefuseEarly = d.next, false
		d.c.Step(d.now, Submit{r})
	}
	got := d.c.AccountNotes()
	want := []string{"pool p: client account large has 5 streams waiting and 16 starting or running on this box", "pool p: callers without an account have 1 streams waiting and 0 starting or running on this box"}
	if !slices.Equal(got, want) {
		t.Errorf("expected %q, got %q", want, got)
	}
	d.c.Step(d.now, RemoteQueue{Waiting: 7, Accounts: []AccountQueue{{Pool: "p", Client: "large", Waiting: 7, Running: 30}}})
	want[0] += ", 7 and 30 on the others"
	if got := d.c.AccountNotes(); !slices.Equal(got, want) {
		t.Errorf("expected %q, got %q", want, got)
	}
}

// The fair order counts the streams of an account on all boxes. Past fault: an account with many streams on other boxes
// went first on a box where it had none.
func TestFairOrderCountsOtherBoxes(t *testing.T) {
	p := &pool{Pool: Pool{Name: "p"}, scarceRole: Decode}
	p.throughput.setEngines(Decode, 1)
	c := New(rand.New(rand.NewPCG(1, 1)), 10)
	c.now, c.pools["p"], c.poolNames = start, p, []string{"p"}
	first := &flight{Request: Request{ID: 1, Client: "large"}, pool: p, latestStart: start.Add(time.Minute), order: start}
	second := &flight{Request: Request{ID: 2, Client: "small"}, pool: p, latestStart: start.Add(time.Minute), order: start.Add(time.Second)}
	p.queue.add(first)
	p.queue.add(second)
	if got := c.nextToPlace(p, p.queue.items); got != 0 {
		t.Errorf("expected the order of deadlines without streams elsewhere, got %d", got)
	}
	c.Step(start, RemoteQueue{Accounts: []AccountQueue{{Pool: "p", Client: "large", Running: 9}, {Pool: "unknown", Client: "large", Running: 9}}})
	if got := c.nextToPlace(p, p.queue.items); got != 1 {
		t.Errorf("expected the account without streams to go first, got %d", got)
	}
	c.Step(start, RemoteQueue{})
	if got := c.nextToPlace(p, p.queue.items); got != 0 {
		t.Errorf("expected the order of deadlines once the reports have expired, got %d", got)
	}
}

// Guards against messages that leave out an account that runs here and waits elsewhere, or the accounts with most streams.
func TestAccountQueues(t *testing.T) {
	p := &pool{Pool: Pool{Name: "p"}, active: map[string]int{"a": 3, "b": 2, "c": 1}}
	c := New(rand.New(rand.NewPCG(1, 1)), 10)
	c.pools["p"], c.poolNames = p, []string{"p"}
	p.queue.add(&flight{Request: Request{ID: 1, Client: "a"}, pool: p})
	p.queue.add(&flight{Request: Request{ID: 2, Client: "a", Rank: 1, Weight: 2}, pool: p})
	c.Step(start, RemoteQueue{Accounts: []AccountQueue{{Pool: "p", Client: "b", Rank: 1, Waiting: 4}, {Pool: "p", Client: "d", Waiting: 1}}})
	want := []AccountQueue{
		{Pool: "p", Client: "a", Weight: 1, Waiting: 1, Running: 3}, {Pool: "p", Client: "a", Rank: 1, Weight: 2, Waiting: 1}, {Pool: "p", Client: "b", Rank: 1, Running: 2},
	}
	if got := c.AccountQueues(8); !slices.Equal(got, want) {
		t.Errorf("expected %+v, got %+v", want, got)
	}
	if got := c.AccountQueues(1); !slices.Equal(got, want[:1]) {
		t.Errorf("expected %+v, got %+v", want[:1], got)
	}
}
