package overlay

import (
	"context"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// untilFound waits until a box finds an origin that has a property.
func (s *originSite) untilFound(b *originBox, stream origins.Stream, what string, has func(o origins.Origin) bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		o, _, ok := b.FindOrigin(context.Background(), stream)
		if ok && has(o) {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("%s: expected %s, got %+v, %t", b.o.Self.Name, what, o, ok)
		}
	}
}

// Guards against origins that boxes of two releases don't find in each other's directories.
func TestOriginsAcrossReleases(t *testing.T) {
	s := newOriginSite(t, 20) // Their rows name no rules for plans: some are of an earlier release.
	until := clock.Now().Add(time.Minute)
	k, byName, former := origins.KeyOf("x"), origins.AccountKeyOf("lab", "x"), origins.AccountKeyOf("west", "x")
	s.boxes[0].PublishOrigin(origins.Origin{Key: k, AccountKey: byName, Caller: 7, Service: "llm", Build: "v1.1", Expires: until})
	s.boxes[1].PublishOrigin(origins.Origin{Key: former, Service: "llm", Build: "v1.2", Expires: until}) // As the earlier release does.
	for _, b := range s.boxes {
		s.untilFound(b, origins.Stream{Key: byName}, "the origin under the key of an earlier release", func(o origins.Origin) bool { return o.Build == "v1.1" })
		s.untilFound(b, origins.Stream{Key: origins.KeyOf("y"), AccountKeys: []origins.Key{origins.AccountKeyOf("lab", "y"), former}},
			"the origin under a former name", func(o origins.Origin) bool { return o.Build == "v1.2" })
	}
}

// Guards against messages for boxes of earlier releases once there are none.
func TestOriginIsSentOnceWithinARelease(t *testing.T) {
	s := newOriginSite(t, 20)
	rows := map[string][]byte{}
	for _, b := range s.boxes {
		m := b.o.Self
		m.PlanRules = PlanRulesByID
		rows[m.Name] = m.encode()
	}
	for _, b := range s.boxes {
		b.SetMembers(rows)
	}
	k, byName := origins.KeyOf("x"), origins.AccountKeyOf("lab", "x")
	s.boxes[0].PublishOrigin(origins.Origin{Key: k, AccountKey: byName, Service: "llm", Build: "v1.1", Expires: clock.Now().Add(time.Minute)})
	for _, b := range s.boxes {
		s.untilFound(b, origins.Stream{Key: k}, "the origin", func(o origins.Origin) bool { return o.Build == "v1.1" })
	}
	holders := 0
	for _, b := range s.boxes {
		_, byID := b.origins.directory.Get(clock.Now(), k)
		_, named := b.origins.directory.Get(clock.Now(), byName)
		if byID != named {
			t.Errorf("%s: expected both keys or none, got %t and %t", b.o.Self.Name, byID, named)
		}
		if byID {
			holders++
		}
	}
	if holders > 1+originHolders {
		t.Errorf("expected %d boxes to hold the origin, got %d", 1+originHolders, holders)
	}
}

// Guards against a stream that goes on at the build of another caller's stream with the same ID, at whichever box.
func TestIDOfTwoCallersIsAmbiguous(t *testing.T) {
	s := newOriginSite(t, 8)
	k, until := origins.KeyOf("x"), clock.Now().Add(time.Minute)
	var others []*originBox // Boxes that hold none of the two origins unless they begin one.
	for _, m := range s.boxes[0].originOrder(k, len(s.boxes))[originHolders+1:] {
		others = append(others, s.byName(m.Name))
	}
	others[0].PublishOrigin(origins.Origin{Key: k, Caller: 7, Service: "llm", Build: "v1", Expires: until})
	others[1].PublishOrigin(origins.Origin{Key: k, Caller: 8, Service: "llm", Build: "v2", Expires: until})
	ambiguous := func(o origins.Origin) bool { return o.Ambiguous }
	s.untilFound(others[2], origins.Stream{Key: k, Caller: 7}, "an ambiguous origin", ambiguous)
	s.untilFound(others[0], origins.Stream{Key: k, Caller: 8}, "an ambiguous origin for the other caller", ambiguous)
	s.untilFound(others[0], origins.Stream{Key: k, Caller: 7}, "the origin of the caller's own stream", func(o origins.Origin) bool { return o.Build == "v1" && !o.Ambiguous })
}

// Guards against a caller with a new API key whose stream is not found.
func TestOriginOfACallerWithAnotherKey(t *testing.T) {
	s := newOriginSite(t, 8)
	k := origins.KeyOf("x")
	s.boxes[0].PublishOrigin(origins.Origin{Key: k, Caller: 7, Service: "llm", Build: "v1", Expires: clock.Now().Add(time.Minute)})
	for _, b := range s.boxes {
		s.untilFound(b, origins.Stream{Key: k, Caller: 9}, "the origin", func(o origins.Origin) bool { return o.Build == "v1" && !o.Ambiguous })
	}
}
