package quarantine

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// This file has the rows that clear parts. A box whose runs cleared a part that the rows of other boxes name writes one row
// that says so.

// planClears plans a row for each part that this box has cleared, if the table speaks against the part with half of the
// evidence that is needed, or more. A box that does not run the part itself would otherwise quarantine it. l.mu must be
// held.
func (l *List) planClears(now time.Time) {
	open := map[string]suspects{}
	for endpoint, c := range l.parts.crashes {
		if len(c.cleared) == 0 {
			continue
		}
		for _, row := range c.rows {
			for p, e := range row {
				if c.cleared[p] && !c.clearedInTable[p] {
					if open[endpoint] == nil {
						open[endpoint] = suspects{}
					}
					open[endpoint][p] = e
				}
			}
		}
	}
	for p, endpoints := range indexParts(open) {
		if _, planned := l.parts.clears[p]; planned || !l.parts.survived.contains(p, now) || tallyPart(p, open, endpoints).bits < ThresholdBits/2 {
			continue
		}
		delay := clearDelay(int(l.boxes.Load()))
		l.parts.clears[p] = now.Add(delay)
		time.AfterFunc(delay, l.wakeWriter)
	}
}

// clearDelay returns a random delay whose density grows exponentially, so that of any number of boxes only few have
// decided before they learn of the first.
func clearDelay(boxes int) time.Duration {
	if boxes <= 1 {
		return 0
	}
	return time.Duration(max(0, 1+math.Log(1-rand.Float64())/math.Log(float64(boxes))) * float64(maxClearDelay))
}

// prepareClears has the planned rows written that are due and that the table still lacks. l.mu must be held.
func (l *List) prepareClears(now time.Time) {
	for p, due := range l.parts.clears {
		if now.Before(due) {
			continue
		}
		delete(l.parts.clears, p)
		l.writeClear(p)
	}
}

// writeClear has a row written that clears a part of the crashes that this box has cleared it of. It does nothing if the
// table says so already. l.mu must be held.
func (l *List) writeClear(p Part) {
	var list []*partCrash
	missing := false
	for _, c := range l.parts.crashes {
		if c.cleared[p] {
			list = append(list, c)
			missing = missing || !c.clearedInTable[p]
		}
	}
	if !missing {
		return
	}
	slices.SortFunc(list, func(a, b *partCrash) int { return b.observedAt.Compare(a.observedAt) })
	var hashes []string
	for _, c := range list[:min(len(list), maxPartCrashes)] {
		c.clearedInTable[p] = true
		hashes = append(hashes, c.hash)
	}
	l.setOwn(clearRowKey(p), encodeClearRow(hashes))
}

// keepClears keeps what is known to be cleared when a restored table lacks it. l.mu must be held.
func (l *List) keepClears(restored map[string][]byte) {
	for _, c := range l.parts.crashes {
		clear(c.clearedInTable)
	}
	for key, value := range restored {
		if p, ok := parseClearRowKey(key); ok {
			l.applyClearRow(p, value)
		}
	}
}

// clearRowKey returns the key of the row that clears a part.
func clearRowKey(p Part) string { return clearRowPrefix + p.String() }

// parseClearRowKey returns the part that the row with a key clears.
func parseClearRowKey(key string) (p Part, ok bool) {
	text, ok := strings.CutPrefix(key, clearRowPrefix)
	if !ok {
		return p, false
	}
	return ParsePart(text)
}

type clearRowDoc struct {
	Crashes []string `json:"crashes"`
}

func encodeClearRow(hashes []string) []byte {
	b, _ := json.Marshal(clearRowDoc{hashes}) // Strings always encode.
	return b
}

// decodeClearRow returns the hashes of the crashed endpoints in a row; none for a row that no box can have written.
func decodeClearRow(value []byte) []string {
	var doc clearRowDoc
	if json.Unmarshal(value, &doc) != nil || len(doc.Crashes) > maxPartCrashes {
		return nil
	}
	return doc.Crashes
}

// readClearRow reads a row that clears a part. Any box may have replaced it, also by one that clears the part of fewer
// crashes. What the table lacks then is written again. l.mu must be held.
func (l *List) readClearRow(key string, value []byte) {
	p, ok := parseClearRowKey(key)
	if !ok {
		l.reject(key, value)
		return
	}
	for _, c := range l.parts.crashes {
		delete(c.clearedInTable, p)
	}
	if !l.applyClearRow(p, value) {
		if l.rows[key] == nil {
			l.reject(key, value)
		}
		return
	}
	if row := l.rows[key]; row != nil && !row.writeAcked {
		row.seenInTable = true // This box is about to replace the row.
		return
	}
	l.rows[key] = readRow(value)
}

// applyClearRow clears a part of the crashes that a row names. ok is false for a row that no box can have written. l.mu
// must be held.
func (l *List) applyClearRow(p Part, value []byte) (ok bool) {
	hashes := decodeClearRow(value)
	if len(hashes) == 0 {
		return false
	}
	for _, c := range l.parts.crashes {
		if slices.Contains(hashes, c.hash) {
			c.clear(p)
			c.clearedInTable[p] = true
		}
	}
	return true
}
