package slots

import (
	"fmt"
	"testing"
	"time"
)

// share returns the share of results for which match returns true.
func share(list []callResult, match func(callResult) bool) float64 {
	n := 0
	for _, r := range list {
		if match(r) {
			n++
		}
	}
	return float64(n) / float64(max(len(list), 1))
}

func inUse(d *Dispatcher, now time.Time) (used, limit int) {
	for _, e := range d.Snapshot(now).Endpoints {
		used += e.InUse
		limit += e.Limit
	}
	return used, limit
}

// Guards against grants of a killed box that hold slots for ever, and against grants that no longer count while their
// calls take no longer than usual. Past fault: each lost answer held a slot until its caller gave up.
func TestGrantsOfKilledBoxExpire(t *testing.T) {
	d := newTestDispatcher(Endpoint{ID: "e1", Slots: 4, Usable: true})
	now := warm(d, 100)
	_, limit := inUse(d, now)
	for i := range limit {
		if got := d.Acquire(now, request(fmt.Sprint("killed", i))); got.State != Granted {
			t.Fatalf("request %d: %+v", i, got)
		}
	}
	r := request("waits")
	r.OnTime, r.Left = 3*time.Second, 3*time.Second
	if got := d.Acquire(now, r); got.State != Queued {
		t.Fatalf("with all slots in use: %+v", got)
	}
	expiry := now.Add(overdueFactor * simService)
	if got := d.Step(expiry.Add(-time.Millisecond)); len(got) != 0 {
		t.Errorf("before the grants expire: %+v", got)
	}
	at, ok := d.Next(now)
	if !ok || at.After(expiry) {
		t.Errorf("Next is %v, %v, want %v at the latest", at.Sub(now), ok, expiry.Sub(now))
	}
	got := d.Step(expiry)
	if len(got) != 1 || got[0].ID != "waits" || got[0].State != Granted {
		t.Errorf("after the grants expired: %+v", got)
	}
	d.Release(expiry, "killed0", Result{Answered, time.Second})
	if used, _ := inUse(d, expiry); used != 1 {
		t.Errorf("%d grants in use after the release of an expired one, want 1", used)
	}
}

// Guards against a new owner that adds all slots to the grants of the old owner, and against one that stays at its
// first limit.
func TestNewOwnerStartsAtHalf(t *testing.T) {
	for slots, want := range map[int]int{0: 2, 1: 1, 5: 3, 6: 3, 8: 4} {
		if got := len(occupy(t, newTestDispatcher(Endpoint{ID: "e1", Slots: slots, Usable: true}), epoch)); got != want {
			t.Errorf("a new owner of an endpoint with %d slots grants %d at once, want %d", slots, got, want)
		}
	}
	e := &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 12}
	f := newFleet(1, e)
	o := newOwner(f.sim, f.endpoints)
	f.useOwner(o)
	f.poisson(0, 2*time.Second, 250, func() { f.arrive(simCall{}) })
	most := 0
	for f.elapsed() < 20*time.Millisecond {
		f.run(f.elapsed() + time.Millisecond)
		used, _ := inUse(o.d, f.now)
		most = max(most, used)
	}
	if most > 3 {
		t.Errorf("%d grants at once in the first 20ms, want at most 3", most)
	}
	f.run(300 * time.Millisecond)
	if _, limit := inUse(o.d, f.now); limit != 7 {
		t.Errorf("limit %d after 300ms, want 7", limit)
	}
	f.run(3 * time.Second)
	if good := f.goodput(time.Second, 2*time.Second); good < 0.85*200 {
		t.Errorf("%.0f on-time answers per second in the second second, want 85%% of 200", good)
	}
}

// Guards against two owners of one cell that overload its endpoint for longer than a few rejections: together they
// grant at most twice the limit, and the rejections halve that within 0.5 s.
func TestTwoOwners(t *testing.T) {
	for _, seed := range burstSeeds {
		// The endpoint rejects the first call that has to wait for another one, so that more than the limit is rejected.
		e := &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 1}
		f := newFleet(seed, e)
		owners := []*simOwner{newOwner(f.sim, f.endpoints), newOwner(f.sim, f.endpoints)}
		var serve []func(int, simCall, func(bool, time.Duration))
		for _, o := range owners {
			f.useOwner(o)
			serve = append(serve, f.serve)
		}
		// A box asks the same owner always.
		f.serve = func(box int, c simCall, end func(bool, time.Duration)) { serve[box%2](box, c, end) }
		// The calm phase is long enough for both limits to rise to the maximum.
		const calm = 3 * time.Second
		f.poisson(0, calm, 30, func() { f.arrive(simCall{}) })
		f.poisson(calm, calm+3*time.Second, 400, func() { f.arrive(simCall{}) })
		sum := func() (used, limit int) {
			for _, o := range owners {
				u, l := inUse(o.d, f.now)
				used, limit = used+u, limit+l
			}
			return used, limit
		}
		f.run(calm)
		if _, limit := sum(); limit != 14 {
			t.Errorf("seed %d: limits of %d before the burst, want 14", seed, limit)
		}
		most, total, samples := 0, 0, 0
		halved := time.Duration(0)
		for f.elapsed() < calm+3*time.Second {
			f.run(f.elapsed() + time.Millisecond)
			used, limit := sum()
			most = max(most, used)
			if limit <= 7 && halved == 0 {
				halved = f.elapsed() - calm
			}
			if f.elapsed() > calm+500*time.Millisecond {
				total += used
				samples++
			}
		}
		mean := float64(total) / float64(samples)
		t.Logf("seed %d: most %d, halved after %v, %.1f in use afterwards, %d served, %d rejected", seed, most, halved, mean, e.served, e.rejected)
		if most > 14 {
			t.Errorf("seed %d: %d grants at once, want at most 14", seed, most)
		}
		if halved == 0 || halved > 500*time.Millisecond {
			t.Errorf("seed %d: the limits were halved after %v (0: never), want 0.5s", seed, halved)
		}
		if mean > 7 {
			t.Errorf("seed %d: %.1f grants in use on average after 0.5s, want at most 7", seed, mean)
		}
	}
}

// Guards against load that stays at an endpoint that has become slow, and against an endpoint that is avoided long
// after it was slow. At 90 calls per second the other endpoint can serve them all. At 150 it is often full, and the slow
// endpoint gets the calls that find it full; only calls that the other one had a slot for must shift.
func TestSlowPeriod(t *testing.T) {
	for _, rate := range []float64{90, 150} {
		for _, seed := range burstSeeds {
			testSlowPeriod(t, rate, seed)
		}
	}
}

func testSlowPeriod(t *testing.T, rate float64, seed uint64) {
	a := &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 12}
	b := &simEndpoint{id: "e2", hall: "hall0", slots: 6, queue: 12}
	f := newFleet(seed, a, b)
	o := newOwner(f.sim, f.endpoints)
	f.useOwner(o)
	f.poisson(0, 8*time.Second, rate, func() { f.arrive(simCall{}) })
	grants, avoidable, all := 0, 0, 0
	o.observe = func(d Decision, free map[string]bool) {
		if a.factor == 1 || a.servedSlow < 10 || d.State != Granted {
			return
		}
		all++
		if d.Endpoint == a.id {
			grants++
			if free[b.id] {
				avoidable++
			}
		}
	}
	f.run(2 * time.Second)
	a.factor = 2.5
	f.run(2600 * time.Millisecond)
	a.factor = 1
	f.run(4 * time.Second)
	servedA, servedB := a.served, b.served
	f.run(8 * time.Second)
	back := float64(a.served-servedA) / float64(a.served-servedA+b.served-servedB)
	t.Logf("rate %.0f, seed %d: %d of %d calls after ten answers, %d of them avoidable, %.2f after the period", rate, seed, grants, all, avoidable, back)
	// Usually each endpoint gets half.
	if 4*avoidable > all || rate < 100 && 4*grants > all {
		t.Errorf("rate %.0f, seed %d: the slow endpoint gets %d of %d calls after ten answers, %d of them avoidable, want at most half of its usual half", rate, seed, grants, all, avoidable)
	}
	if back < 0.25 {
		t.Errorf("rate %.0f, seed %d: the endpoint gets %.2f of the calls again, want at least half of its usual half", rate, seed, back)
	}
}

// Guards against an account that sends ten times its usual load and thereby makes the calls of a small account late.
func TestSmallAccountBesideLargeOne(t *testing.T) {
	for _, seed := range burstSeeds {
		f := newFleet(seed, &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 12})
		f.useOwner(newOwner(f.sim, f.endpoints))
		f.poisson(0, 6*time.Second, 20, func() { f.arrive(simCall{account: "small"}) })
		f.poisson(0, 2*time.Second, 40, func() { f.arrive(simCall{account: "large"}) })
		f.poisson(2*time.Second, 6*time.Second, 400, func() { f.arrive(simCall{account: "large"}) })
		f.run(8 * time.Second)
		of := func(account string) []callResult {
			return f.between(2*time.Second, 6*time.Second, func(r callResult) bool { return r.account == account })
		}
		small, large := share(of("small"), callResult.onTime), share(of("large"), callResult.onTime)
		good := f.goodput(2*time.Second, 6*time.Second)
		t.Logf("seed %d: on time: small %.3f of %d, large %.3f of %d, %.0f per second", seed, small, len(of("small")), large, len(of("large")), good)
		if small < 0.95 {
			t.Errorf("seed %d: %.3f of the small account's calls are on time, want 0.95", seed, small)
		}
		if good < 0.85*200 {
			t.Errorf("seed %d: %.0f on-time answers per second, want 85%% of 200: the large account may use what the small one leaves", seed, good)
		}
	}
}

// Guards against calls of high priority that wait behind others.
func TestPriority(t *testing.T) {
	for _, seed := range burstSeeds {
		f := newFleet(seed, &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 12})
		f.useOwner(newOwner(f.sim, f.endpoints))
		f.poisson(0, 5*time.Second, 250, func() { f.arrive(simCall{priority: 1}) })
		f.poisson(time.Second, 5*time.Second, 60, func() { f.arrive(simCall{priority: 0}) })
		f.run(8 * time.Second)
		of := func(p int) []callResult {
			return f.between(time.Second, 5*time.Second, func(r callResult) bool { return r.priority == p })
		}
		high, low := share(of(0), callResult.onTime), share(of(1), callResult.onTime)
		t.Logf("seed %d: on time: high %.3f of %d, low %.3f of %d", seed, high, len(of(0)), low, len(of(1)))
		if high < 0.95 {
			t.Errorf("seed %d: %.3f of the calls of high priority are on time, want 0.95", seed, high)
		}
		if good := f.goodput(time.Second, 5*time.Second); good < 0.85*200 {
			t.Errorf("seed %d: %.0f on-time answers per second, want 85%% of 200", seed, good)
		}
	}
}

// Guards against an owner whose queue stays too long for the endpoints that are left after a planned scale-in.
func TestScaleIn(t *testing.T) {
	for _, seed := range burstSeeds {
		var list []*simEndpoint
		for i := range 3 {
			list = append(list, &simEndpoint{id: fmt.Sprint("e", i), hall: hallOf(i), slots: 6, queue: 12})
		}
		f := newFleet(seed, list...)
		o := newOwner(f.sim, f.endpoints)
		f.useOwner(o)
		f.poisson(0, 6*time.Second, 250, func() { f.arrive(simCall{}) })
		f.at(epoch.Add(2*time.Second), func() {
			left := entries(list)
			left[0].Usable, left[1].Usable = false, false
			o.d.SetEndpoints(f.now, left)
			o.step()
		})
		f.run(8 * time.Second)
		before := share(f.between(time.Second, 2*time.Second, nil), callResult.onTime)
		good := f.goodput(2*time.Second, 6*time.Second)
		t.Logf("seed %d: %.3f on time before, %.0f per second afterwards", seed, before, good)
		if before < 0.95 {
			t.Errorf("seed %d: %.3f of the calls are on time with three endpoints, want 0.95", seed, before)
		}
		if good < 0.85*200 {
			t.Errorf("seed %d: %.0f on-time answers per second with one endpoint, want 85%% of 200", seed, good)
		}
	}
}
