package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against lost or doubled decisions, grants beyond a limit, and counters that don't fit the grants, in any order
// of events.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDispatcher(Options{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), Part: rapid.SampledFrom([]float64{1, 0.3}).Draw(t, "part")})
		now := epoch
		var ids []string
		state := map[string]State{}
		list := func() (out []Endpoint) {
			for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				out = append(out, Endpoint{
					ID: fmt.Sprint("e", i), Hall: rapid.SampledFrom([]string{"", "h1", "h2"}).Draw(t, "hall"),
					Slots: rapid.IntRange(0, 9).Draw(t, "slots"), Usable: rapid.IntRange(0, 9).Draw(t, "usable") > 0,
				})
			}
			return out
		}
		d.SetEndpoints(now, list())
		take := func(changes []Change) {
			for _, c := range changes {
				if s, ok := state[c.ID]; !ok || s != Queued || c.State == Queued {
					t.Fatalf("decision %+v on a request in state %v, %v", c, s, ok)
				}
				state[c.ID] = c.State
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.OneOf(rapid.IntRange(0, 40), rapid.IntRange(0, 1500)).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				r := request(fmt.Sprint("r", i))
				r.Account = rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account")
				r.Hall = rapid.SampledFrom([]string{"", "h1"}).Draw(t, "box hall")
				r.Weight = rapid.SampledFrom([]float64{0, 1, 5}).Draw(t, "weight")
				r.Priority = rapid.IntRange(-1, 2).Draw(t, "priority")
				r.OnTime = time.Duration(rapid.IntRange(-1, 500).Draw(t, "on time")) * time.Millisecond
				r.Left = time.Duration(rapid.IntRange(-1, 900).Draw(t, "left")) * time.Millisecond
				r.Returning = rapid.Bool().Draw(t, "returning")
				r.Exclude = rapid.SampledFrom([][]string{nil, nil, {"e0"}, {"e1", "e2"}}).Draw(t, "exclude")
				state[r.ID] = d.Acquire(now, r).State
				ids = append(ids, r.ID)
			case 5, 6, 7:
				if len(ids) == 0 {
					continue
				}
				take(d.Step(now))
				id := rapid.SampledFrom(ids).Draw(t, "id")
				d.Release(now, id, Result{Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), time.Duration(rapid.IntRange(0, 100).Draw(t, "took")) * time.Millisecond})
				if _, waits := d.waiting[id]; waits || d.grants[id] != nil {
					t.Fatalf("%s is known after its release", id)
				}
				delete(state, id)
			case 8:
				take(d.Step(now))
			case 9:
				d.SetEndpoints(now, list())
			}
			take(d.Step(now))
			if next, ok := d.Next(now); ok && !next.After(now) {
				t.Fatalf("Next is %v ago right after Step", now.Sub(next))
			}
			waiting, inUse := 0, 0
			for _, s := range state {
				if s == Queued {
					waiting++
				}
			}
			s := d.Snapshot(now)
			if s.Waiting != waiting || d.onTime.len()+d.late.len() != waiting {
				t.Fatalf("%d requests wait, but the dispatcher counts %d in %d and %d", waiting, s.Waiting, d.onTime.len(), d.late.len())
			}
			for _, e := range s.Endpoints {
				inUse += e.InUse
				if e.InUse < 0 || e.Limit < 1 || e.Limit > e.Slots+max(1, e.Slots/8) {
					t.Fatalf("%+v", e)
				}
			}
			for _, g := range d.grants {
				if !g.expires.After(now) {
					t.Fatalf("the grant of %s expired %v ago", g.id, now.Sub(g.expires))
				}
			}
			counted := 0
			for _, g := range d.grants {
				if !g.overdue {
					counted++
				}
			}
			if inUse != counted || len(d.grants) != len(d.expiring) {
				t.Fatalf("%d slots in use, %d grants of which %d count, %d to expire", inUse, len(d.grants), counted, len(d.expiring))
			}
		}
		// Whatever waits is decided and whatever was granted expires in the end.
		now = now.Add(2 * time.Second)
		take(d.Step(now))
		if s := d.Snapshot(now); s.Waiting != 0 || len(d.grants) != 0 {
			t.Fatalf("after 2s: %+v, %d grants", s, len(d.grants))
		}
	})
}
