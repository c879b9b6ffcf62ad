package builds

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file says by what plans divide streams.
//
// Boxes of earlier releases hash the name of the client account together with the ID of the attempt that began a stream. An
// operator may change the first while the stream runs. Boxes of this release hash the ID alone, as soon as all boxes of a region
// can. Until then they divide streams as the others do, so that all boxes derive the same build for a stream. The change from one
// division to the other is a change of the plan: for returnTime, streams for which the two differ are logged.
//
// A box of an earlier release that starts after the change would misread the plan. For at least returnTime the row marks streams
// as possibly unplanned for it: it then goes on only with streams whose origin the directory or the log has.

// PlanRulesByID is the first version of the rules by which a box knows plans that divide streams by ID. PlanRulesByName is the
// first by which the build of each stream that it begins follows from the log or the plans.
const (
	PlanRulesByName = 1
	PlanRulesByID   = 2
)

const (
	// rulesSettleTime is for how long all boxes of a region must know ByID before a plan uses it. Boxes that are replaced one
	// after the other leave the list for some seconds each.
	rulesSettleTime = 10 * time.Second
	// A row is written again once boxes that don't know ByID would trust it in less than opaqueMargin. Such a box misreads the row
	// only after an outage of the store that is longer than opaqueMargin - returnTime.
	opaqueTime   = 4 * returnTime
	opaqueMargin = 3 * returnTime
)

// division divides new streams among builds.
type division struct {
	shares Shares
	byID   bool
}

// builds returns the builds at which a stream may have begun under the division. There are several if the account of the caller
// has had several names, and none if the stream lacks the key that the division needs, as in a request of an earlier release.
func (d division) builds(s origins.Stream) (out []string) {
	if len(d.shares) == 1 {
		return []string{d.shares[0].Build}
	}
	keys := s.AccountKeys
	if d.byID {
		keys = []origins.Key{s.Key}
	}
	for _, k := range keys {
		if build := d.shares.BuildOf(k); k != 0 && !slices.Contains(out, build) {
			out = append(out, build)
		}
	}
	return out
}

// buildOf returns the build at which a stream began under the division. ok is false if that is not known.
func (d division) buildOf(s origins.Stream) (build string, ok bool) {
	list := d.builds(s)
	if len(list) != 1 {
		return "", false
	}
	return list[0], true
}

// mayName reports whether a box may take a stream under the division for one of another build.
func (d division) mayName(s origins.Stream, build string) bool {
	list := d.builds(s)
	return len(list) != 1 || list[0] != build
}

// rules returns the version of the rules that a box must know in order to follow the division.
func (d division) rules() int {
	if d.byID {
		return PlanRulesByID
	}
	return PlanRulesByName
}

// dividesByID reports whether boxes that don't know ByID misread the plan.
func (p *Plan) dividesByID() bool {
	return p.ByID || slices.ContainsFunc(p.Earlier, func(e Earlier) bool { return e.ByID })
}

// opaqueLate reports whether the row must be written again, so that boxes that don't know ByID don't trust it.
func (p *Plan) opaqueLate(now time.Time) bool {
	return p.dividesByID() && p.OpaqueUntil < now.Add(opaqueMargin).UnixMilli()
}

// renewed returns the plan with a later OpaqueUntil.
func (p *Plan) renewed(now time.Time) *Plan {
	out := *p
	out.Number++
	out.OpaqueUntil = now.Add(opaqueTime).UnixMilli()
	return &out
}

// ruleState says whether all boxes of a region know ByID, and since when that is so.
type ruleState struct {
	byID  bool
	since time.Time
}

// noteRules records whether all boxes of a region know ByID. p.mu is held.
func (p *Planner) noteRules(region string, now time.Time) {
	byID := p.o.Boxes.PlanRules(region) >= PlanRulesByID
	if r, known := p.rules[region]; !known || r.byID != byID {
		p.rules[region] = ruleState{byID, now}
	}
}

// nextByID reports whether the next plan of a group is to divide streams by ID. p.mu is held.
func (p *Planner) nextByID(g Group, plan *Plan, now time.Time) bool {
	p.noteRules(g.Region, now)
	r := p.rules[g.Region]
	if plan == nil {
		return r.byID
	}
	if now.Sub(r.since) < rulesSettleTime || plan.CountEarlier(p.o.Now()) >= maxEarlier/2 {
		return plan.ByID
	}
	return r.byID
}

// nextDivision returns the division that a plan of a group should have. p.mu is held.
func (p *Planner) nextDivision(g Group, plan *Plan, now time.Time) division {
	return division{p.nextShares(g, plan, now), p.nextByID(g, plan, now)}
}

func (d division) equal(o division) bool { return d.byID == o.byID && slices.Equal(d.shares, o.shares) }
