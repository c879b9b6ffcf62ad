package box

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// This file decides which of the operator's documents take effect, also when the store was restored from an
// older snapshot and returns outdated ones.

// textHistory tells whether a document is newer than those that have been in force.
type textHistory struct {
	version int64
	seen    map[relay.Digest]bool // Texts already seen under that version.
}

// recordIfNewer reports whether a text is newer, and if so records it as being in force. An operator whose change was
// lost in a restore may write a different text under the same version; a text that was already seen under that
// version is older.
func (s *textHistory) recordIfNewer(version int64, d relay.Digest) bool {
	switch {
	case version < s.version || version == s.version && s.seen[d]:
		return false
	case version > s.version:
		s.version, s.seen = version, map[relay.Digest]bool{}
	}
	s.seen[d] = true
	return true
}

// evacuations are the data halls that the operator's documents close to new requests.
type evacuations struct {
	halls map[string]bool
	// withdrawnAt says when recent evacuations were withdrawn.
	withdrawnAt map[string]time.Time
	// pinned overrides the documents until pinnedUntil: it says of each hall that a restore changed back whether
	// it was evacuated before. In that time the operator writes lost documents again and removes outdated ones.
	pinned      map[string]bool
	pinnedUntil time.Time
}

// update returns the evacuated halls. restored means that the documents come from an older snapshot.
func (e *evacuations) update(listed []string, restored bool, now time.Time) []string {
	next := make(map[string]bool, len(listed))
	for _, hall := range listed {
		next[hall] = true
	}
	if restored {
		e.pin(next, now)
	}
	if now.Before(e.pinnedUntil) {
		for hall, evacuated := range e.pinned {
			next[hall] = evacuated
		}
	}
	var out []string
	for hall, evacuated := range next {
		if evacuated {
			out = append(out, hall)
		}
	}
	e.record(next, now)
	slices.Sort(out)
	return out
}

// pin remembers the state of the halls that the older snapshot changes back.
func (e *evacuations) pin(listed map[string]bool, now time.Time) {
	e.pinned, e.pinnedUntil = map[string]bool{}, now.Add(expiredEntryGrace)
	for hall := range e.halls {
		if !listed[hall] {
			e.pinned[hall] = true
		}
	}
	for hall := range listed {
		if at, withdrawn := e.withdrawnAt[hall]; withdrawn && !e.halls[hall] && now.Sub(at) < goneRetention {
			e.pinned[hall] = false
		}
	}
}

// record remembers which halls are evacuated, and when the evacuation of others was withdrawn.
func (e *evacuations) record(next map[string]bool, now time.Time) {
	if e.withdrawnAt == nil {
		e.withdrawnAt = map[string]time.Time{}
	}
	for hall := range e.halls {
		if !next[hall] {
			e.withdrawnAt[hall] = now
		}
	}
	e.halls = map[string]bool{}
	for hall, evacuated := range next {
		if evacuated {
			e.halls[hall] = true
			delete(e.withdrawnAt, hall)
		}
	}
}

// applyEvacuations applies the evacuations in the operator's documents.
func (b *RelayBox) applyEvacuations(rows map[string][]byte) {
	now := clock.Now()
	b.Relay.SetEvacuated(b.evacuations.update(b.site.EvacuatedHalls(rows), b.configRestored, now))
	if b.configRestored && len(b.evacuations.pinned) > 0 {
		time.AfterFunc(expiredEntryGrace, func() { b.tables[tableConfig].Reapply(func() {}) })
	}
	b.configRestored = false
}
