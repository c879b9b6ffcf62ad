package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func accountsOf(names map[string]string) *Config {
	c := &Config{Accounts: map[KeyHash]*Account{}}
	for key, name := range names {
		c.Accounts[HashKey(key)] = &Account{Name: name}
	}
	return c
}

// Guards against streams of boxes of earlier releases that are not found because their account had another name when they began.
func TestFormerNamesOfAccounts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	none := &Config{}
	steps := []*Config{
		accountsOf(map[string]string{"a": "north", "b": "north"}),
		accountsOf(map[string]string{"a": "north", "b": "south"}),
		accountsOf(map[string]string{"a": "north", "b": "south", "c": "east"}),
		none,
		accountsOf(map[string]string{"a": "west"}),
	}
	expected := []map[string][]string{
		{"a": {"north"}, "b": {"north"}},
		{"a": {"north"}, "b": {"south", "north"}},
		{"c": {"east", ""}, "b": {"south", "north"}},
		{"a": {"", "north"}, "b": {"", "north", "south"}, "c": {"", "east"}, "d": {""}},
		{"a": {"west", "north", ""}, "b": {"", "north", "south"}, "d": {""}},
	}
	h, old := &accountHistory{}, (*Config)(nil)
	for i, next := range steps {
		now = now.Add(time.Second)
		h, old = h.updated(old, next, now), next
		for key, want := range expected[i] {
			present := ""
			if a := next.Accounts[HashKey(key)]; a != nil {
				present = a.Name
			}
			if got := h.names(HashKey(key), present, now); !slices.Equal(got, want) {
				t.Errorf("configuration %d, key %s: expected the names %q, got %q", i+1, key, want, got)
			}
		}
	}
	later := now.Add(formerNameTime)
	if got := h.names(HashKey("a"), "west", later); !slices.Equal(got, []string{"west"}) {
		t.Errorf("expected former names to be forgotten, got %q", got)
	}
	if h = h.updated(old, old, later); len(h.byKey)+len(h.ofAll) != 0 {
		t.Errorf("expected an empty history, got %+v", h)
	}
}

// Guards against a history that grows with each change of a large configuration.
func TestFormerNamesAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	h, old := &accountHistory{}, (*Config)(nil)
	for version := range 2 * maxNamesPerKey {
		names := map[string]string{"first": fmt.Sprint("name-", version)}
		for i := range maxFormerNames/4 - 1 {
			names[fmt.Sprint("key-", version, "-", i)] = "lab"
		}
		next := accountsOf(names)
		h, old = h.updated(old, next, now), next
	}
	if n := len(h.byKey); n > maxFormerNames {
		t.Errorf("expected at most %d keys, got %d", maxFormerNames, n)
	}
	last := 2*maxNamesPerKey - 1
	got := h.names(HashKey("first"), fmt.Sprint("name-", last), now)
	if len(got) != 1+maxNamesPerKey || got[1] != fmt.Sprint("name-", last-maxNamesPerKey) {
		t.Errorf("expected the present name and the latest %d, got %q", maxNamesPerKey, got)
	}
}
