package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math"
	"slices"
	"strings"
	"time"
)

// This file has the rows about the parts of crashes. A box writes one row for each crash, with the parts of its own calls on
// that endpoint that its own runs have not cleared.

// endpointHash identifies a crashed endpoint in rows.
func endpointHash(endpoint string) string {
	h := sha256.Sum256([]byte(endpoint))
	return hex.EncodeToString(h[:8])
}

// partRowDoc is the JSON value of a row about the parts of one crash.
type partRowDoc struct {
	Endpoint string        `json:"endpoint"`
	Parts    []exposureDoc `json:"parts"`
}

type exposureDoc struct {
	Part     string  `json:"part"`
	Request  string  `json:"request"`
	Account  string  `json:"account,omitempty"`
	Bits     float64 `json:"bits"`
	Position int     `json:"position,omitempty"`
	Runs     int     `json:"runs"`
}

func encodePartRow(endpoint string, s suspects) []byte {
	doc := partRowDoc{Endpoint: endpoint}
	for p, e := range s {
		doc.Parts = append(doc.Parts, exposureDoc{p.String(), e.request, e.account, math.Round(e.bits*100) / 100, e.position, e.runs})
	}
	slices.SortFunc(doc.Parts, func(a, b exposureDoc) int {
		return cmp.Or(cmp.Compare(b.Bits, a.Bits), cmp.Compare(b.Position, a.Position), cmp.Compare(a.Part, b.Part))
	})
	doc.Parts = doc.Parts[:min(len(doc.Parts), maxRowParts)]
	b, _ := json.Marshal(doc) // Strings and finite numbers always encode.
	return b
}

// parsePartRow decodes a row; ok is false for a row that no box can have written.
func parsePartRow(key string, value []byte) (endpoint string, s suspects, ok bool) {
	var doc partRowDoc
	if json.Unmarshal(value, &doc) != nil || doc.Endpoint == "" || !fitsRow(doc.Endpoint) || len(doc.Parts) == 0 || len(doc.Parts) > maxRowParts {
		return "", nil, false
	}
	if !strings.HasPrefix(key, partRowPrefix+endpointHash(doc.Endpoint)+".") {
		return "", nil, false
	}
	s = suspects{}
	for _, d := range doc.Parts {
		p, valid := ParsePart(d.Part)
		if !valid || !fitsRow(d.Request, d.Account) || d.Bits < minCrashBits || d.Bits > maxCrashBits || d.Position < 0 || d.Position > maxPosition || d.Runs < 1 || d.Runs > maxRowRuns {
			return "", nil, false
		}
		s[p] = exposure{request: d.Request, account: d.Account, bits: d.Bits, position: d.Position, runs: d.Runs}
	}
	return doc.Endpoint, s, true
}

// readPartRow reads a row of another box about the parts of a crash. l.mu must be held.
func (l *List) readPartRow(key string, value []byte, now time.Time) {
	endpoint, s, ok := parsePartRow(key, value)
	if !ok {
		l.reject(key, value)
		return
	}
	c := l.crashOf(endpoint, now)
	c.rows[key], c.suspected = s, nil
	for p := range s {
		l.parts.named[p] = true
		if l.parts.survived.contains(p, now) {
			c.clear(p)
		}
	}
	l.rows[key] = readRow(value)
	for p := range s {
		if row := l.rows[clearRowKey(p)]; row != nil {
			l.applyClearRow(p, row.value)
		}
	}
}

// forgetPartRow forgets a row about parts that has gone from the table. What a row cleared stays cleared. l.mu must be
// held.
func (l *List) forgetPartRow(key string) {
	l.dropRow(key, false)
	for endpoint, c := range l.parts.crashes {
		if _, ok := c.rows[key]; !ok {
			continue
		}
		c.suspected = nil
		if delete(c.rows, key); len(c.rows) == 0 {
			delete(l.parts.crashes, endpoint)
		}
	}
}
