// Package builds decides at which build of a service each new stream begins, so that any box can tell the origin of a stream
// from the stream's ID alone (division.go). A build is a version of the endpoints' software. A stream may go on only at the build
// that began it, and its caller takes it up at any box.
//
// The plan of a service and region divides new streams among the builds that serve, by a hash of each stream's key. It is a
// row of the platform's store, so it outlives every box. While nothing is released, nothing is written. A plan that was
// replaced stays a candidate for the origin of a stream until its callers can't come back any more.
//
// Where the plans don't tell the origin of a stream, the store has it before the caller has a byte of the stream
// (originlog.go). If the store can't take it, the stream begins at the build that the plans tell without the log, or not at
// all (begin.go). What the plans tell is read from the store for each stream that is taken up, since a box may have been out of
// step for any time (origin.go).
package builds

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// Group is a service in a region. Builds belong to a service, and streams stay in their region.
type Group struct {
	Service string `json:"service"`
	Region  string `json:"region"`
}

// Share is a build with its weight among the builds of a plan.
type Share struct {
	Build  string `json:"build"`
	Weight int    `json:"weight"` // Positive.
}

// Shares divide new streams among builds. They are sorted by build, and no build is listed twice.
type Shares []Share

// BuildOf returns the build at which a stream begins under these shares; empty if there are none. A change of a weight moves
// only the streams that the change must move (weighted rendezvous hashing).
func (s Shares) BuildOf(k origins.Key) string {
	if len(s) == 1 {
		return s[0].Build
	}
	best, lowest := "", math.Inf(1)
	for _, share := range s {
		h := xxhash.Sum64String(share.Build + "\x00" + strconv.FormatUint(uint64(k), 36))
		u := (float64(h>>11) + 0.5) / (1 << 53) // In (0, 1).
		if cost := -math.Log(u) / float64(share.Weight); cost < lowest {
			best, lowest = share.Build, cost
		}
	}
	return best
}

func (s Shares) has(build string) bool {
	return slices.ContainsFunc(s, func(o Share) bool { return o.Build == build })
}

func (s Shares) total() (n int) {
	for _, share := range s {
		n += share.Weight
	}
	return n
}

// Fraction returns the part of all streams that begin at a build.
func (s Shares) Fraction(build string) float64 {
	for _, share := range s {
		if share.Build == build {
			return float64(share.Weight) / float64(s.total())
		}
	}
	return 0
}

// maxDifference returns the largest difference between the parts of a build of these shares and under others.
func (s Shares) maxDifference(others Shares) (d float64) {
	for _, share := range s {
		d = max(d, math.Abs(s.Fraction(share.Build)-others.Fraction(share.Build)))
	}
	return d
}

// normalize sorts shares, and leaves out those that are invalid or listed twice.
func (s Shares) normalize() Shares {
	out := slices.DeleteFunc(slices.Clone(s), func(o Share) bool { return o.Build == "" || o.Weight <= 0 })
	slices.SortFunc(out, func(a, b Share) int { return cmp.Compare(a.Build, b.Build) })
	return slices.CompactFunc(out, func(a, b Share) bool { return a.Build == b.Build })
}

// Earlier are the shares of a plan that was replaced. Streams that began under them may be taken up until Until.
type Earlier struct {
	Shares Shares `json:"shares"`
	Until  int64  `json:"until_ms"`        // Unix milliseconds.
	ByID   bool   `json:"by_id,omitempty"` // As in Plan.
}

// Plan says at which build each new stream of a group begins.
type Plan struct {
	Group
	// Number rises with each change.
	Number int64 `json:"number"`
	// Era is the era of the store in which the plan was written. After a restore of the store from an older copy, the era is
	// higher, and plans that were written in the meantime are lost.
	Era    int64  `json:"era"`
	Shares Shares `json:"shares"`
	// ByID is set if the shares divide streams by their IDs alone. Otherwise they do so by the account's name too, as boxes of
	// earlier releases do.
	ByID bool `json:"by_id,omitempty"`
	// Earlier are sorted by Until, which is the order in which they were replaced.
	Earlier []Earlier `json:"earlier,omitempty"`
	// UnplannedUntil is until when streams may be taken up that began at any build: boxes of an earlier release began them, or
	// an earlier plan was dropped. It is in Unix milliseconds, and 0 if there are no such streams.
	UnplannedUntil int64 `json:"unplanned_until_ms,omitempty"`
	// LogLostUntil is until when the log may lack origins: the store was restored from an older copy, or a build is back that
	// an earlier plan has and the last one had not. It is in Unix milliseconds, and 0 if the log is complete.
	LogLostUntil int64 `json:"log_lost_until_ms,omitempty"`
	// OpaqueUntil is until when boxes that don't know ByID derive no build from the plan (encode). It is in Unix
	// milliseconds, and 0 if the plan and the earlier shares divide streams as these boxes do.
	OpaqueUntil int64 `json:"opaque_until_ms,omitempty"`
}

const (
	// returnTime is for how long after a change of a plan callers may take up streams that began before it. A box that has not
	// learned of the change yet still begins some, so returnTime also bounds for how long a box may go without news.
	returnTime = 5 * time.Minute
	// clockSlack is by how much the clocks of two boxes may differ.
	clockSlack = 10 * time.Second
)

// maxEarlier bounds the earlier shares of a plan. They are replaced at most every minChangeInterval.
const maxEarlier = 64

// candidates returns all divisions under which a stream may have begun that is taken up now, the oldest first.
func (p *Plan) candidates(now time.Time) []division {
	var out []division
	for _, e := range p.Earlier {
		if e.Until > now.UnixMilli() {
			out = append(out, division{e.Shares, e.ByID})
		}
	}
	return append(out, p.division())
}

func (p *Plan) division() division { return division{p.Shares, p.ByID} }

// begin returns the build at which a new stream begins. log reports whether its origin must be logged, because a box with
// another clock may still take an earlier plan into account that names another build.
func (p *Plan) begin(s origins.Stream, now time.Time) (build string, log bool) {
	build, _ = p.division().buildOf(s)
	return build, slices.ContainsFunc(p.candidates(now.Add(-clockSlack)), func(d division) bool { return d.mayName(s, build) })
}

// oldestWithin returns all divisions that are the oldest candidates at some time from now until a later time, by any box's clock.
func (p *Plan) oldestWithin(now, until time.Time) []division {
	list := p.candidates(now.Add(-clockSlack))
	for i, e := range p.Earlier[len(p.Earlier)-len(list)+1:] {
		if e.Until > until.Add(clockSlack).UnixMilli() {
			return list[:i+1]
		}
	}
	return list
}

// outlivesPlans reports whether a caller may come back when a plan that is replaced right now is forgotten by some box.
func outlivesPlans(now, until time.Time) bool {
	return until.Sub(now) > returnTime-2*clockSlack
}

// tellsUnlogged reports whether a stream that begins now at a build, and whose origin is not logged, is taken for one of that
// build, or for one whose origin is not known, until its caller can't come back any more.
func (p *Plan) tellsUnlogged(s origins.Stream, build string, now, until time.Time) bool {
	if own, ok := p.division().buildOf(s); ok && build == own && p.LogLostUntil > until.Add(clockSlack).UnixMilli() {
		return true
	}
	return !slices.ContainsFunc(p.oldestWithin(now, until), func(d division) bool {
		// Streams of a build that has left the plan are refused, also after its return (successor).
		return slices.ContainsFunc(d.builds(s), func(other string) bool { return other != build && p.Shares.has(other) })
	})
}

// origin returns the build at which a stream began that is not logged; empty if it does not follow from the plans. agreed is false if that is
// only so if the log has lost nothing.
func (p *Plan) origin(s origins.Stream, now time.Time) (build string, agreed bool) {
	list := p.candidates(now)
	build, ok := list[0].buildOf(s)
	if !ok {
		return "", false
	}
	return build, !slices.ContainsFunc(list, func(d division) bool { return d.mayName(s, build) })
}

// CountEarlier returns the number of plans that this one replaced and under which streams may have begun that are taken up now.
func (p *Plan) CountEarlier(now time.Time) int { return len(p.candidates(now)) - 1 }

// unplanned reports whether a stream that is taken up now may have begun without a plan.
func (p *Plan) unplanned(now time.Time) bool { return p.UnplannedUntil > now.UnixMilli() }

// newer reports whether a plan replaces another one.
func (p *Plan) newer(other *Plan) bool {
	return other == nil || cmp.Or(cmp.Compare(p.Number, other.Number), cmp.Compare(p.Era, other.Era)) > 0
}

// successor returns a plan with a new division. It follows all of the given plans, each of which may be nil: streams may have
// begun under any of them.
func successor(g Group, era int64, now time.Time, d division, plans ...*Plan) *Plan {
	out := &Plan{Group: g, Era: era, Shares: d.shares, ByID: d.byID}
	until := now.Add(returnTime).UnixMilli()
	for _, p := range plans { // The order of Until is that of the plans, whatever the clocks of the boxes say.
		if p != nil && len(p.Earlier) > 0 {
			until = max(until, p.Earlier[len(p.Earlier)-1].Until+1)
		}
	}
	add := func(e Earlier) {
		same := func(o Earlier) bool {
			return o.Until == e.Until && o.ByID == e.ByID && slices.Equal(o.Shares, e.Shares)
		}
		if e.Until > now.UnixMilli() && !slices.ContainsFunc(out.Earlier, same) {
			out.Earlier = append(out.Earlier, e)
		}
	}
	for _, p := range plans {
		if p == nil {
			continue
		}
		out.Number = max(out.Number, p.Number)
		out.UnplannedUntil = max(out.UnplannedUntil, p.UnplannedUntil)
		out.LogLostUntil = max(out.LogLostUntil, p.LogLostUntil)
		if p.Era < era {
			out.LogLostUntil = until
		}
		for _, e := range p.Earlier {
			add(e)
		}
		add(Earlier{p.Shares, until, p.ByID})
	}
	out.Number++
	slices.SortStableFunc(out.Earlier, func(a, b Earlier) int { return cmp.Compare(a.Until, b.Until) })
	if dropped := len(out.Earlier) - maxEarlier; dropped > 0 {
		out.Earlier = out.Earlier[dropped:]
		out.UnplannedUntil = max(out.UnplannedUntil, until)
	}
	// While a build was not in the plan, streams that earlier plans have begin there may have begun elsewhere unlogged.
	if latest := latestOf(plans); latest != nil && slices.ContainsFunc(d.shares, func(s Share) bool {
		return !latest.Shares.has(s.Build) && slices.ContainsFunc(out.Earlier, func(e Earlier) bool { return e.Shares.has(s.Build) })
	}) {
		out.LogLostUntil = max(out.LogLostUntil, until)
	}
	if n := len(out.Earlier); n > 0 && out.Earlier[n-1].ByID == d.byID && slices.Equal(out.Earlier[n-1].Shares, d.shares) {
		out.Earlier = out.Earlier[:n-1] // The division stays.
	}
	if out.dividesByID() {
		out.OpaqueUntil = now.Add(opaqueTime).UnixMilli()
	}
	return out
}

// latestOf returns the plan that replaces the others; nil if there is none.
func latestOf(plans []*Plan) (latest *Plan) {
	for _, p := range plans {
		if p != nil && p.newer(latest) {
			latest = p
		}
	}
	return latest
}

// planRowPrefix begins the keys of the rows of plans. Boxes of earlier releases ignore such rows, and leave them in the table.
const planRowPrefix = "build."

// rowKey returns the key of the row of a group's plan.
func (g Group) rowKey() string {
	return planRowPrefix + strconv.FormatUint(xxhash.Sum64String(g.Service+"\x00"+g.Region), 36)
}

// planRow is the value of a row.
type planRow struct {
	Plan
	// UnplannedByID is UnplannedUntil of a plan that divides streams by ID. Boxes that don't know ByID read UnplannedUntil,
	// which is later in the row: until then they derive no build from the plan.
	UnplannedByID *int64 `json:"unplanned_by_id_until_ms,omitempty"`
}

func (p *Plan) encode() []byte {
	row := planRow{Plan: *p}
	if p.OpaqueUntil > 0 {
		row.UnplannedByID, row.UnplannedUntil = &p.UnplannedUntil, max(p.UnplannedUntil, p.OpaqueUntil)
	}
	b, _ := json.Marshal(row) // Strings and numbers always encode.
	return b
}

// Bounds of what boxes write in a row of a plan.
const (
	// maxNumber is more changes than a plan goes through, and maxEra more than the restores of a store.
	maxNumber = 1 << 40
	maxEra    = 1 << 22
	maxBuild  = 256 // Bytes of a build's name.
	maxWeight = 1 << 20
	// maxAhead is above returnTime and unplannedTime and a difference of clocks.
	maxAhead = time.Hour
)

// parsePlan decodes a row. ok is false for a row that no box can have written.
func parsePlan(key string, value []byte, now time.Time) (p *Plan, ok bool) {
	var row planRow
	if !strings.HasPrefix(key, planRowPrefix) || json.Unmarshal(value, &row) != nil || row.rowKey() != key {
		return nil, false
	}
	p = &row.Plan
	if row.UnplannedByID != nil {
		p.UnplannedUntil = *row.UnplannedByID
	}
	latest := now.Add(maxAhead).UnixMilli()
	if p.Number <= 0 || p.Number > maxNumber || p.Era < 0 || p.Era > maxEra || len(p.Earlier) > maxEarlier || p.UnplannedUntil > latest || p.LogLostUntil > latest || p.OpaqueUntil > latest {
		return nil, false
	}
	for i, e := range p.Earlier {
		if !e.Shares.valid() || e.Until > latest || i > 0 && e.Until < p.Earlier[i-1].Until {
			return nil, false
		}
	}
	return p, p.Shares.valid()
}

// valid reports whether a box can have written the shares of a plan.
func (s Shares) valid() bool {
	return len(s) > 0 && slices.Equal(s, s.normalize()) && !slices.ContainsFunc(s, func(o Share) bool { return len(o.Build) > maxBuild || o.Weight > maxWeight })
}
