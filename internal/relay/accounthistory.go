package relay

import (
	"slices"
	"time"
)

// This file remembers the names that the client accounts of API keys had in earlier configurations. Boxes of earlier releases
// know a stream by the name that its account had when it began.

const (
	// formerNameTime is for how long callers may come back with streams that began under an earlier configuration.
	formerNameTime = 5 * time.Minute
	// maxFormerNames bounds the API keys whose former names are remembered, and maxNamesPerKey the names of one.
	maxFormerNames = 16384
	maxNamesPerKey = 8
)

// formerName is a name that an account no longer has for an API key. It is empty if requests with the key had no account.
type formerName struct {
	name  string
	until time.Time
}

// accountHistory has the former names of accounts. It is immutable once stored.
type accountHistory struct {
	byKey map[KeyHash][]formerName
	// ofAll are names that all keys had: that of no account, while the configuration had no accounts.
	ofAll []formerName
}

// updated returns the history once the configuration next has replaced old, which may be nil.
func (h *accountHistory) updated(old, next *Config, now time.Time) *accountHistory {
	out := &accountHistory{byKey: make(map[KeyHash][]formerName, len(h.byKey)), ofAll: unexpired(h.ofAll, now)}
	for k, names := range h.byKey {
		if names = unexpired(names, now); len(names) > 0 {
			out.byKey[k] = names
		}
	}
	if old == nil {
		return out
	}
	until := now.Add(formerNameTime)
	if old.Accounts == nil && next.Accounts != nil {
		out.ofAll = appendName(out.ofAll, formerName{"", until})
	}
	for k, a := range old.Accounts {
		if b := next.Accounts[k]; b == nil || b.Name != a.Name {
			out.add(k, formerName{a.Name, until})
		}
	}
	if old.Accounts != nil {
		for k := range next.Accounts {
			if old.Accounts[k] == nil { // A public route has served the key without an account.
				out.add(k, formerName{"", until})
			}
		}
	}
	return out
}

func (h *accountHistory) add(k KeyHash, n formerName) {
	if names, known := h.byKey[k]; known || len(h.byKey) < maxFormerNames {
		h.byKey[k] = appendName(names, n)
	}
}

// names returns the present name of the account of a key and the former ones, the present one first.
func (h *accountHistory) names(k KeyHash, present string, now time.Time) []string {
	out := []string{present}
	for _, n := range append(unexpired(h.byKey[k], now), h.ofAll...) {
		if n.until.After(now) && !slices.Contains(out, n.name) {
			out = append(out, n.name)
		}
	}
	return out
}

func unexpired(names []formerName, now time.Time) (out []formerName) {
	for _, n := range names {
		if n.until.After(now) {
			out = append(out, n)
		}
	}
	return out
}

// appendName adds a name, in place of an older entry for it, or of the oldest one if there are too many.
func appendName(names []formerName, n formerName) []formerName {
	out := slices.DeleteFunc(slices.Clone(names), func(o formerName) bool { return o.name == n.name })
	if len(out) >= maxNamesPerKey {
		out = out[1:]
	}
	return append(out, n)
}
