package box

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// This file decides which of the operator's documents take effect: the configuration and the evacuations. An
// evacuation closes a data hall to new requests. After the store is restored from an older snapshot, it returns
// outdated documents. These must not replace newer documents.

// textHistory tells whether a document is newer than the documents that have been in force before.
type textHistory struct {
	version int64
	seen    map[relay.Digest]bool // Texts already seen under that version.
}

// recordIfNewer reports whether a text is newer than the recorded texts. If so, it records the text. A restore may
// lose an operator's change. The operator may then write a different text under the same version, and that text counts
// as newer. A text that was already seen under the same version counts as older.
func (s *textHistory) recordIfNewer(version int64, d relay.Digest) bool {
	switch {
	case version < s.version || version == s.version && s.seen[d]:
		return false
	case version > s.version || s.seen == nil:
		s.version, s.seen = version, map[relay.Digest]bool{}
	}
	s.seen[d] = true
	return true
}

// evacuations are the data halls that the operator's documents close to new requests.
type evacuations struct {
	halls map[string]bool
	// withdrawnAt is when the evacuation of each hall was withdrawn. It lists only halls that are not evacuated now.
	withdrawnAt map[string]time.Time
	// After a restore, pinned overrides the documents until pinnedUntil. It lists the halls whose evacuation the
	// older snapshot changes back. For each of them it says whether the hall was evacuated before the restore. Until
	// pinnedUntil the operator can write lost documents again and remove outdated documents.
	pinned      map[string]bool
	pinnedUntil time.Time
}

// update receives the halls that the documents list as evacuated. restored means that the documents come from an older
// snapshot: update then pins the halls that the snapshot changes back. update remembers the result, and returns the
// halls to close to new requests.
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

// pin keeps, for a time, the state that halls had before the restore. It does so only for halls whose state the older
// snapshot changes.
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

// record remembers which halls are evacuated. For each hall that no longer is, it stores when the evacuation was
// withdrawn.
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

// applyEvacuations closes data halls to new requests, as the operator's documents say. After a restore, pinned halls
// override the documents for a time. applyEvacuations then sets a timer that applies the documents again.
func (b *RelayBox) applyEvacuations(rows map[string][]byte) {
	now := clock.Now()
	b.Relay.SetEvacuated(b.evacuations.update(b.site.EvacuatedHalls(rows), b.configRestored, now))
	if b.configRestored && len(b.evacuations.pinned) > 0 {
		time.AfterFunc(expiredEntryGrace, func() { b.tables[tableConfig].Reapply(func() {}) })
	}
	b.configRestored = false
}
