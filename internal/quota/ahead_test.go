package quota

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// poolOwners asks one pool for a box.
type poolOwners struct {
	pool *Pool
	box  string
}

func (o poolOwners) Allow(_ context.Context, account string, units, ahead float64) (Answer, bool) {
	return o.pool.Grant(time.Now(), o.box, account, units, ahead)
}

// Guards against an account that uses a full bucket and the units that all boxes have cached: its requests are refused for
// want of an endpoint and their units given back, and then all are run.
func TestUnitsGivenBackStayWithinOverage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boxes, units = 3, 100.0
		limit, bounds := Limit{3000, 3000}, Bounds{Window: 2 * time.Second, Overage: 0.1, Slack: 600}
		p := NewPool()
		p.SetBounds(time.Now(), bounds)
		p.SetLimits(time.Now(), map[string]Limit{simAccount: limit})
		group := GroupOf(simAccount)
		p.SetPlace(time.Now(), group, Place{Boxes: boxes})
		var caches []*GrantCache
		for i := range boxes {
			p.Lend(time.Now(), fmt.Sprint(i), []int{group}, false, MaxLoan)
			caches = append(caches, NewGrantCache(poolOwners{p, fmt.Sprint(i)}))
		}
		time.Sleep(5 * time.Second) // The bucket fills up.
		for range 200 {
			for _, c := range caches {
				if v := c.Take(t.Context(), simAccount, units); v.OK {
					go func() {
						time.Sleep(12 * time.Millisecond)
						c.Refund(simAccount, units, v.RefundUntil)
					}()
				}
			}
			time.Sleep(15 * time.Millisecond)
		}
		used, start := 0.0, time.Now()
		for time.Since(start) < bounds.Window {
			for _, c := range caches {
				for c.Take(t.Context(), simAccount, units).OK {
					used += units
				}
			}
			time.Sleep(5 * time.Millisecond)
		}
		if most := limit.Rate*bounds.Window.Seconds() + limit.Burst + bounds.overage(limit); used > most {
			t.Errorf("expected at most %.0f units in %s, got %.0f", most, bounds.Window, used)
		}
		if least := limit.Rate*bounds.Window.Seconds() + limit.Burst; used < least {
			t.Errorf("expected the limit's %.0f units to be granted, got %.0f", least, used)
		}
	})
}

func TestAheadGrants(t *testing.T) {
	var g aheadGrants
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	expect := func(ms int, want float64) {
		t.Helper()
		if g.expire(at(ms)); g.sum != want {
			t.Errorf("after %d ms: expected %v units, got %v", ms, want, g.sum)
		}
	}
	g.add(at(0), "", 50) // A box of an earlier release is not counted.
	g.add(at(0), "a", 10)
	g.add(at(200), "b", 20)
	expect(200, 30)
	g.asked(at(250), "b") // The box may not have the units yet.
	expect(250, 30)
	g.asked(at(301), "b")
	expect(301, 10)
	g.add(at(900), "b", 5)
	expect(1099, 15)
	expect(1100, 5)
	expect(1999, 5)
	expect(2000, 0)
	if len(g.byBox) != 0 {
		t.Errorf("expected no boxes, got %d", len(g.byBox))
	}
}

// Units that are given back don't live longer than those of the grant that they came from.
func TestRefundDoesNotExtendUnits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool()
		p.SetLimits(time.Now(), map[string]Limit{simAccount: {100, 100}})
		p.SetPlace(time.Now(), GroupOf(simAccount), Place{Boxes: 1})
		p.Lend(time.Now(), "0", []int{GroupOf(simAccount)}, false, MaxLoan)
		c := NewGrantCache(poolOwners{p, "0"})
		time.Sleep(2 * time.Second)
		v := c.Take(t.Context(), simAccount, 60)
		if !v.OK {
			t.Fatal("expected a full bucket")
		}
		time.Sleep(500 * time.Millisecond)
		c.Refund(simAccount, 60, v.RefundUntil)
		again := c.Take(t.Context(), simAccount, 60)
		if !again.OK || !again.RefundUntil.Equal(v.RefundUntil) {
			t.Errorf("expected the units that were given back until %s, got %+v", v.RefundUntil, again)
		}
		time.Sleep(600 * time.Millisecond)
		c.Refund(simAccount, 60, again.RefundUntil)
		if units := c.cached[simAccount].units; units != 0 {
			t.Errorf("expected units whose time is over to be dropped, got %v", units)
		}
	})
}
