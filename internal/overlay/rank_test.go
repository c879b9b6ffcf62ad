package overlay

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestFasterLinkRanksFirst(t *testing.T) {
	list := []Member{
		{Name: "old release", Incarnation: 1},
		{Name: "older, slow", Incarnation: 2, LinkMbps: 10},
		{Name: "younger, slow", Incarnation: 3, LinkMbps: 12},
		{Name: "youngest, fast", Incarnation: 4, LinkMbps: 200},
	}
	slices.SortFunc(list, compareUpstreams)
	for i, want := range []string{"youngest, fast", "older, slow", "younger, slow", "old release"} {
		if list[i].Name != want {
			t.Errorf("rank %d: expected %q, got %q", i, want, list[i].Name)
		}
	}
}

// upstreamOf returns the member that a box follows by its list, which lacks some of the others. A box of the release
// before orders its list by age.
func upstreamOf(list []Member, self Member) (Member, bool) {
	compare := compareUpstreams
	if self.LinkMbps == 0 {
		compare = compareAge
	}
	slices.SortFunc(list, compare)
	if self.LinkMbps == 0 { // By age, parent and selectUpstream are those of the release before.
		for i := range list {
			list[i].LinkMbps = 0
		}
	}
	hall := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m.Hall != self.Hall })
	if m, ok := parent(hall, self); ok {
		return m, true
	}
	if len(list) > 0 && compareUpstreams(list[0], self) < 0 {
		return list[0], true
	}
	return Member{}, false
}

// Boxes of two releases with links of all classes, whose lists of members differ.
func TestNoCycleBesideBoxesOfTheReleaseBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := make([]Member, rapid.IntRange(2, 40).Draw(t, "boxes"))
		for i := range all {
			all[i] = Member{
				Name: fmt.Sprintf("box-%d", i), Hall: rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "hall"),
				Incarnation: rapid.Int64Range(1, 100).Draw(t, "start"), LinkMbps: rapid.SampledFrom([]float64{0, 10, 26, 200}).Draw(t, "link"),
			}
		}
		upstream := map[string]string{}
		for _, self := range all {
			list := slices.DeleteFunc(slices.Clone(all), func(m Member) bool {
				return m.Name == self.Name || rapid.IntRange(0, 4).Draw(t, "lacks") == 0
			})
			if m, ok := upstreamOf(list, self); ok {
				upstream[self.Name] = m.Name
			}
		}
		for name := range upstream {
			for steps, at := 0, name; at != ""; steps, at = steps+1, upstream[at] {
				if steps > len(all) {
					t.Fatalf("%s is in a cycle: %v", name, upstream)
				}
			}
		}
	})
}
