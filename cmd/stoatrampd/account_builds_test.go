package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"
)

// accountChange is a change of the client accounts while streams run whose callers then come back.
type accountChange struct {
	name string
	// before and after are the accounts, as JSON; empty for a configuration without accounts.
	before, after string
	// later is the key with which callers come back; empty if it is the one with which they began.
	later string
}

const northAccount = `{"name":"north","apiKeys":["key-1","key-2"]},{"name":"south","apiKeys":["key-3"]}`

var accountChanges = []accountChange{
	{"key moved to another account", northAccount, `{"name":"north","apiKeys":["key-1"]},{"name":"south","apiKeys":["key-2","key-3"]}`, ""},
	{"key moved to a new account", northAccount, `{"name":"north","apiKeys":["key-1"]},{"name":"east","apiKeys":["key-2"]}`, ""},
	{"account renamed", northAccount, `{"name":"west","apiKeys":["key-1","key-2"]},{"name":"south","apiKeys":["key-3"]}`, ""},
	{"first accounts", "", northAccount, ""},
	{"no accounts any more", northAccount, "", ""},
	{"caller comes back with another key of another account", northAccount, northAccount, "key-3"},
}

// accountsConfig returns planConfig with accounts.
func accountsConfig(version int, accounts string) []byte {
	text := strings.Replace(planConfig, `"version":1,`, fmt.Sprintf(`"version":%d,`, version), 1)
	if accounts != "" {
		text = strings.TrimSuffix(text, "}") + `,"tenants":[` + accounts + `]}`
	}
	return []byte(text)
}

// configTime is longer than a configuration takes until it is in force at all boxes.
const configTime = 2200 * time.Millisecond

// playAccountChange has streams of key-2 begin at box 0, changes the accounts, and kills the first boxes.
func playAccountChange(t *testing.T, s *planSite, c accountChange, killed int) {
	t.Helper()
	s.keyOf = func(try int) string {
		if try > 0 && c.later != "" {
			return c.later
		}
		return "key-2"
	}
	time.Sleep(2 * time.Second) // The boxes find each other.
	streams := s.followManyFrom("a", 24, func(int) int { return 0 })
	time.Sleep(500 * time.Millisecond)
	s.store.Put("op", "config", accountsConfig(3, c.after), 0)
	time.Sleep(configTime)
	s.killBoxes(killed, func() { time.Sleep(500 * time.Millisecond) })
	s.expectPlanned(streams(), 0.9)
}

func newAccountSite(t *testing.T, boxes, earlierBoxes int, before string) *planSite {
	t.Helper()
	s := newPlanStore(t)
	s.store.Put("op", "config", accountsConfig(2, before), 0)
	for i := range 8 {
		s.addEngine(i, fmt.Sprintf("v%d", 1+i%2))
	}
	s.launchBoxes(boxes, earlierBoxes)
	return s
}

// Guards against streams that are taken up under another build because a configuration changed their account.
func TestStreamsKeepTheirBuildWhenTheirAccountChanges(t *testing.T) {
	for _, c := range accountChanges {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playAccountChange(t, newAccountSite(t, 3, 0, c.before), c, 1)
		})
	}
	t.Run("key moved, all boxes killed", func(t *testing.T) {
		t.Parallel()
		playAccountChange(t, newAccountSite(t, 3, 0, accountChanges[0].before), accountChanges[0], 3)
	})
}

// replaceBox ends a box, by SIGTERM if planned is set and else by SIGKILL, and starts another program in its place.
func (s *planSite) replaceBox(n int, program string, planned bool) {
	s.t.Helper()
	if planned {
		s.boxes[n].signal(syscall.SIGTERM)
		select {
		case <-s.boxes[n].done:
		case <-time.After(20 * time.Second):
			s.t.Fatal("the box does not end after SIGTERM")
		}
	} else {
		s.boxes[n].kill()
	}
	var b *boxProcess
	if program == "" {
		b = launchBox(s.t, s.settings(n))
	} else {
		b = launch(s.t, s.settings(n), program, "relay")
	}
	s.mu.Lock()
	s.boxes[n], s.started = b, append(s.started, startedBox{n, b})
	s.mu.Unlock()
	b.awaitReady()
}

func needEarlierBox(t *testing.T) {
	t.Helper()
	if *earlierBox == "" {
		t.Skip("run by hand, with -args -earlier.box=PROGRAM")
	}
}

// Guards against streams of two builds while boxes of the release before, which know streams by their account's name, serve
// beside this one.
func TestNeighbouringReleasesMixNoBuilds(t *testing.T) {
	needEarlierBox(t)
	// beside has half of eight boxes of each release, and kills one that began the streams. It comes back as this release.
	beside := func(from int, comeTo func(s *planSite) func(int) int) func(t *testing.T) {
		return func(t *testing.T) {
			t.Parallel()
			s := newMixedSite(t, 8, 4)
			if comeTo != nil {
				s.comeTo = comeTo(s)
			}
			time.Sleep(2 * time.Second)
			streams := s.followManyFrom("a", 48, func(int) int { return from })
			time.Sleep(time.Second)
			s.replaceBox(from, "", false)
			s.expectPlanned(streams(), 0.9)
		}
	}
	toEarlier := func(s *planSite) func(int) int { return func(n int) int { return 1 + (n+1)%3 } }
	toPresent := func(s *planSite) func(int) int { return func(n int) int { return 5 + (n+1)%3 } }
	t.Run("begun and taken up at earlier boxes", beside(0, toEarlier))
	t.Run("begun at an earlier box", beside(0, toPresent))
	t.Run("taken up at earlier boxes", beside(4, toEarlier))
	t.Run("begun and taken up at present boxes", beside(4, toPresent))
	t.Run("key moved, begun at an earlier box", func(t *testing.T) {
		t.Parallel()
		s := newAccountSite(t, 6, 3, northAccount)
		s.comeTo = func(n int) int { return 3 + (n+1)%3 }
		playAccountChange(t, s, accountChanges[0], 1)
	})
	t.Run("all killed, back as the other release", func(t *testing.T) {
		for _, c := range []struct {
			name          string
			before, after string
			earlier       int
			part          float64
		}{{"upgrade", "", "", 6, 0.9}, {"rollback", "", *earlierBox, 0, 0}} {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				s := newMixedSite(t, 6, c.earlier)
				time.Sleep(2 * time.Second)
				streams := s.followMany("a", 48)
				time.Sleep(time.Second)
				for _, b := range s.boxes {
					b.kill()
				}
				for n := range s.boxes {
					s.replaceBox(n, c.after, false)
				}
				s.expectPlanned(streams(), c.part)
			})
		}
	})
	t.Run("rolled in turn and back again", func(t *testing.T) {
		t.Parallel()
		s := newMixedSite(t, 4, 4)
		time.Sleep(2 * time.Second)
		var waits []func() []*planStream
		roll := func(prefix, program string, planned bool) {
			for n := range s.boxes {
				waits = append(waits, s.followMany(fmt.Sprint(prefix, n, "-"), 12))
				time.Sleep(700 * time.Millisecond)
				s.replaceBox(n, program, planned)
			}
		}
		roll("up", "", false)
		waits = append(waits, s.followMany("between", 12))
		time.Sleep(13 * time.Second) // The plan divides streams by ID then.
		roll("down", *earlierBox, false)
		roll("again", "", true)
		var all []*planStream
		for _, wait := range waits {
			all = append(all, wait()...)
		}
		s.expectPlanned(all, 0.5)
	})
}
