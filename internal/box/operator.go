package box

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/relay"
)

// This file is what a box makes of the operator's documents where the store may have brought them back from an
// older copy.

// seenTexts says which text is newer than those that were in force.
type seenTexts struct {
	version int64
	seen    map[relay.Digest]bool // Of that version.
}

// take says whether a text is newer, and counts it as in force then. An operator whose change was lost with the
// store may write another text under its number; one that was seen under it before is older.
func (s *seenTexts) take(version int64, d relay.Digest) bool {
	switch {
	case version < s.version || version == s.version && s.seen[d]:
		return false
	case version > s.version:
		s.version, s.seen = version, map[relay.Digest]bool{}
	}
	s.seen[d] = true
	return true
}

// evacuations are the halls that the operator's documents say are to get nothing more.
type evacuations struct {
	halls map[string]bool
	// back says when halls were taken back, lately.
	back map[string]time.Time
	// kept says of halls whether they were evacuated before the store came back, until keptUntil: the operator
	// writes again what an older copy lacks, and takes out again what it has in excess.
	kept      map[string]bool
	keptUntil time.Time
}

// take returns the halls that are evacuated, by documents that are those of an older copy if restored is true.
func (e *evacuations) take(listed []string, restored bool, now time.Time) []string {
	next := make(map[string]bool, len(listed))
	for _, hall := range listed {
		next[hall] = true
	}
	if restored {
		e.keep(next, now)
	}
	if now.Before(e.keptUntil) {
		for hall, evacuated := range e.kept {
			next[hall] = evacuated
		}
	}
	var out []string
	for hall, evacuated := range next {
		if evacuated {
			out = append(out, hall)
		}
	}
	e.note(next, now)
	slices.Sort(out)
	return out
}

// keep remembers what the older copy changes back.
func (e *evacuations) keep(listed map[string]bool, now time.Time) {
	e.kept, e.keptUntil = map[string]bool{}, now.Add(lapseGrace)
	for hall := range e.halls {
		if !listed[hall] {
			e.kept[hall] = true
		}
	}
	for hall := range listed {
		if at, wasBack := e.back[hall]; wasBack && !e.halls[hall] && now.Sub(at) < goneKept {
			e.kept[hall] = false
		}
	}
}

// note remembers which halls are evacuated now, and since when others are not any more.
func (e *evacuations) note(next map[string]bool, now time.Time) {
	if e.back == nil {
		e.back = map[string]time.Time{}
	}
	for hall := range e.halls {
		if !next[hall] {
			e.back[hall] = now
		}
	}
	e.halls = map[string]bool{}
	for hall, evacuated := range next {
		if evacuated {
			e.halls[hall] = true
			delete(e.back, hall)
		}
	}
}

// evacuate applies the evacuations of the operator's documents.
func (b *RelayBox) evacuate(rows map[string][]byte) {
	now := clock.Now()
	b.Relay.SetEvacuated(b.evacuations.take(b.site.Evacuated(rows), b.configRestored, now))
	if b.configRestored && len(b.evacuations.kept) > 0 {
		time.AfterFunc(lapseGrace, func() { b.tables[tableConfig].Again(func() {}) })
	}
	b.configRestored = false
}
