package builds

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/lease"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file has boxes of two releases in the searches. The earlier one divides streams by the name of the account and the ID, and
// ignores what it does not know in the rows of plans.

type release string

const (
	present release = "present"
	earlier release = "earlier"
)

// stream returns what identifies a stream to a box, by the names of the account. A box knows those that the account has had since
// the box started. site.mu is held.
func (b *simBox) stream(k origins.Key) origins.Stream {
	name := func(renames int) origins.Key { return streamOf(k).AccountKey() + origins.Key(renames)<<40 }
	if b.release == earlier {
		return origins.Stream{Key: name(b.site.renames), AccountKeys: []origins.Key{name(b.site.renames)}}
	}
	s := origins.Stream{Key: k}
	for r := b.site.renames; r >= b.renames; r-- {
		s.AccountKeys = append(s.AccountKeys, name(r))
	}
	return s
}

// ask returns the stream as another box decodes it that this box asks about it. site.mu is held.
func (b *simBox) ask(other *simBox, s origins.Stream) origins.Stream {
	switch {
	case b.release == earlier && other.release != earlier:
		s.Key = 0
	case b.release != earlier && other.release == earlier:
		s = origins.Stream{Key: s.AccountKey(), AccountKeys: s.AccountKeys[:1]}
	}
	return s
}

// PlanRules returns what the boxes know. A box of the earlier release knows no higher version.
func (o simBoxes) PlanRules(string) int {
	s := o.b.site
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.boxes, func(b *simBox) bool { return b.release == earlier }) {
		return PlanRulesByName
	}
	return PlanRulesByID
}

// decodeRows returns rows as the box decodes them.
func (b *simBox) decodeRows(rows map[string][]byte) map[string][]byte {
	out := maps.Clone(rows)
	if b.release == earlier {
		for key, value := range out {
			out[key] = asEarlierRelease(value)
		}
	}
	return out
}

// asEarlierRelease drops the fields of a plan's row that the earlier release does not know.
func asEarlierRelease(value []byte) []byte {
	var doc map[string]any
	if json.Unmarshal(value, &doc) != nil {
		return value
	}
	delete(doc, "by_id")
	delete(doc, "opaque_until_ms")
	delete(doc, "unplanned_by_id_until_ms")
	if list, ok := doc["earlier"].([]any); ok {
		for _, e := range list {
			delete(e.(map[string]any), "by_id")
		}
	}
	out, _ := json.Marshal(doc)
	return out
}

// table returns the table of plans as the box decodes it.
func (b *simBox) table() Table {
	if b.release == earlier {
		return earlierTable{simTable{b}}
	}
	return simTable{b}
}

type earlierTable struct{ simTable }

func (t earlierTable) Get(ctx context.Context, key string) (lease.Row, time.Duration, error) {
	row, age, err := t.simTable.Get(ctx, key)
	if row.Value != nil {
		row.Value = asEarlierRelease(row.Value)
	}
	return row, age, err
}

func (t earlierTable) List(ctx context.Context, prefix string) (map[string][]byte, error) {
	rows, err := t.simTable.List(ctx, prefix)
	return t.b.decodeRows(rows), err
}

// Boxes of two releases serve beside each other, are replaced in any order and killed: whoever answers for a stream names the
// build at which it began.
func TestReleasesBesideEachOther(t *testing.T) {
	suspensionOff(t)
	steps := []string{
		"serve v1:2,v2:2", "serve v1:1,v2:3", "serve v2:2", "release 0 present", "release 1 present", "release 0 earlier", "release 1 earlier", "release all earlier",
		"wait 12s", "wait " + nearLapseTime.String(), "wait " + lapseTime.String(), "kill all", "fail writes all hang", "fail calls all hang", "cut 1", "heal",
	}
	for _, first := range []release{earlier, present} {
		c := &searcher{boxes: 2, automatic: true, takes: true, release: first}
		c.run(t, func(yield func([]string) bool) {
			extendSequences([]string{"serve v1:2,v2:2", "wait 400s"}, *searchDepth, steps, yield)
			extendSequences([]string{"serve v1:2,v2:2"}, *searchDepth, steps, yield)
			extendSequences(nil, *searchDepth, steps, yield)
		})
	}
}

// Guards against a stream that is taken for one of another build because its account has another name, whatever else fails.
func TestRenamedAccounts(t *testing.T) {
	suspensionOff(t)
	steps := append([]string{"rename"}, orderedSteps()...)
	c := &searcher{boxes: 2, automatic: true, takes: true}
	c.run(t, func(yield func([]string) bool) {
		extendSequences([]string{"serve v1:2,v2:2", "rename"}, *searchDepth, steps, yield)
		extendSequences(nil, *searchDepth, steps, func(s []string) bool { return yield(append(s, "rename", "kill all")) })
	})
}

// storedPlan returns the row of the plan.
func (s *fakeStore) storedPlan() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.plans[testGroup.rowKey()].Value
}

// Guards against a box of the earlier release that trusts a plan which divides streams by ID, also long after the plan's last
// change.
func TestEarlierReleaseDoesNotTrustPlansByID(t *testing.T) {
	run(t, 3, func(t *testing.T, s *site) {
		s.serve(map[string]int{"v1": 3, "v2": 3})
		time.Sleep(5 * time.Second)
		for range 20 {
			plan, ok := parsePlan(testGroup.rowKey(), asEarlierRelease(s.storedPlan()), time.Now())
			if left := time.Until(time.UnixMilli(plan.UnplannedUntil)); !ok || plan.ByID || left < returnTime {
				t.Fatalf("expected that streams may have begun without the plan for %s, got %s", returnTime, left)
			}
			if own := s.plan(t, 0); !own.ByID || own.unplanned(time.Now()) {
				t.Fatalf("expected that this release trusts the plan, got %+v", own)
			}
			time.Sleep(returnTime / 3)
		}
	})
}

// Guards against a restored store that lacks the change of the division, with all boxes killed that knew it.
func TestRestoredDivision(t *testing.T) {
	suspensionOff(t)
	for _, lost := range []string{"3", "4", "5"} {
		steps := "serve v1:2,v2:2; wait 400s; release all present; wait 15s; begin all 14s; wait 1s; replace " + lost + "; wait 1s"
		r := (&searcher{boxes: 2, release: earlier}).play(t, strings.Split(steps, "; "))
		for _, text := range r.wrong {
			t.Errorf("%q: %s", steps, text)
		}
	}
}
