package builds

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/lease"
)

// This file changes plans as builds come and go.

// Run changes plans as builds come and go, and writes the log, until ctx is done.
func (p *Planner) Run(ctx context.Context) {
	go p.runLog(ctx)
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		for _, g := range p.due(ctx) {
			p.replan(ctx, g)
		}
		select {
		case <-p.wake:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// due returns the groups whose plans this box has to change now.
func (p *Planner) due(ctx context.Context) (out []Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	p.noteCheck(now, p.o.Boxes.Isolated())
	for g, shares := range p.serving {
		if p.read && !p.needsChange(g, shares, now) {
			delete(p.pendingSince, g)
			continue
		}
		rank := p.o.Boxes.Rank(g.Region, g.rowKey())
		if rank < 0 {
			continue
		}
		if !p.read {
			if rank <= maxFirstReaders {
				go func() { _ = p.confirm(ctx, clock.Now()) }() // The other boxes are sent the table.
			}
			return nil
		}
		if p.pendingSince[g].IsZero() {
			p.pendingSince[g] = now
		}
		if now.Sub(p.pendingSince[g]) >= time.Duration(min(rank, maxRank))*rankDelay {
			out = append(out, g)
		}
	}
	return out
}

// needsChange reports whether a group's plan does not fit the builds that serve. A plan is kept while no build serves. p.mu is
// held.
func (p *Planner) needsChange(g Group, serving Shares, now time.Time) bool {
	plan := p.plans[g]
	if len(serving) == 0 {
		return false
	}
	if plan == nil {
		return now.Sub(p.settledAt[g]) >= settleTime
	}
	if now.Sub(p.changedAt[g]) < minChangeInterval {
		return false
	}
	_, damaged := p.rejected[g.rowKey()]
	if plan.Era < p.o.Era() {
		return p.knowsRestored(plan, now)
	}
	delete(p.restoredAt, g)
	return damaged || p.saysUnplannedLate(plan) || plan.opaqueLate(p.o.Now()) || !p.nextDivision(g, plan, now).equal(plan.division())
}

// knowsRestored reports whether this box can say what has become of a plan that is of an earlier era than the store. p.mu is held.
func (p *Planner) knowsRestored(plan *Plan, now time.Time) bool {
	if p.seen[plan.Group] >= plan.Number {
		return true
	}
	if p.restoredAt[plan.Group].IsZero() {
		p.restoredAt[plan.Group] = now
	}
	return now.Sub(p.restoredAt[plan.Group]) >= restoreSettleTime
}

// mayHaveLostPlans reports whether the store may have lost plans after this one by a restore: this box has not seen it in its era, and
// it does not fit what serves or what the boxes know. p.mu is held.
func (p *Planner) mayHaveLostPlans(plan *Plan) bool {
	if plan == nil || plan.Era >= p.o.Era() || p.seen[plan.Group] >= plan.Number {
		return false
	}
	serving := p.serving[plan.Group]
	return plan.ByID != p.rules[plan.Region].byID || !sameBuilds(serving, plan.Shares) || serving.maxDifference(plan.Shares) > maxFractionError
}

// nextShares returns the shares that a plan of a group should have: the plan's own, unless they don't fit the builds that
// serve. A build that serves no more keeps its share for missingTime: its engines may be back after an outage of the store, or
// a restart. p.mu is held.
func (p *Planner) nextShares(g Group, plan *Plan, now time.Time) Shares {
	serving := p.serving[g]
	if plan == nil {
		return serving
	}
	missing := false
	for _, s := range plan.Shares {
		missing = missing || !serving.has(s.Build)
	}
	for _, s := range serving {
		if !plan.Shares.has(s.Build) {
			return p.withMissing(g, plan, now)
		}
	}
	switch {
	case missing:
		return p.withMissing(g, plan, now)
	case serving.maxDifference(plan.Shares) > maxFractionError && now.Sub(p.changedAt[g]) >= minWeightInterval && plan.CountEarlier(p.o.Now()) < maxEarlier/2:
		return serving
	}
	return plan.Shares
}

// withMissing returns the builds that serve, and those of the plan that are not gone. A build that serves keeps the weight that it
// has in the plan as long as none is gone for good. p.mu is held.
func (p *Planner) withMissing(g Group, plan *Plan, now time.Time) Shares {
	out := slices.Clone(p.serving[g])
	for _, s := range plan.Shares {
		if !out.has(s.Build) && !p.gone(servedBuild{g, s.Build}, now) {
			out = append(out, s)
		}
	}
	out = out.normalize()
	if sameBuilds(out, plan.Shares) {
		return plan.Shares
	}
	return out
}

// gone reports whether a build has not served for missingTime. A box whose list is old can't tell. p.mu is held.
func (p *Planner) gone(b servedBuild, now time.Time) bool {
	missing, age := now.Sub(p.servedAt[b]), time.Duration(0)
	if p.o.ListAge != nil {
		age = p.o.ListAge()
	}
	return missing >= missingTime && missing-age >= missingTime/2
}

func sameBuilds(a, b Shares) bool {
	return slices.EqualFunc(a, b, func(x, y Share) bool { return x.Build == y.Build })
}

// allFollow reports whether all boxes of a region know the rules of a division.
func (p *Planner) allFollow(region string, d division) bool {
	return p.o.Boxes.PlanRules(region) >= d.rules()
}

// saysUnplannedLate reports whether a plan must say, again, that boxes of earlier releases begin streams.
func (p *Planner) saysUnplannedLate(plan *Plan) bool {
	return !p.allFollow(plan.Region, plan.division()) && plan.UnplannedUntil < p.o.Now().Add(unplannedTime/2).UnixMilli()
}

// replan writes a new plan of a group. A box that writes at the same time wins: its plan is then read, and compared again.
func (p *Planner) replan(ctx context.Context, g Group) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	row, _, err := p.o.Table.Get(ctx, g.rowKey())
	if err != nil {
		p.o.Failed("build plan not read", err)
		p.postpone(g)
		return
	}
	stored, ok := parsePlan(g.rowKey(), row.Value, p.o.Now())
	damaged := row.Value != nil && !ok
	p.mu.Lock()
	if stored != nil {
		p.adopt(stored)
	}
	known, serving := p.plans[g], p.serving[g]
	if len(serving) == 0 {
		p.mu.Unlock()
		return
	}
	if stored != nil && known.Number == stored.Number && known.Era >= row.Era && known.opaqueLate(p.o.Now()) &&
		!p.saysUnplannedLate(known) && p.nextDivision(g, known, clock.Now()).equal(known.division()) {
		next := known.renewed(p.o.Now())
		p.mu.Unlock()
		p.write(ctx, g, row, next)
		return
	}
	next := successor(g, row.Era, p.o.Now(), p.nextDivision(g, known, clock.Now()), known, stored)
	switch {
	case damaged || p.mayHaveLostPlans(known) || known == nil && row.Era > firstEra: // Streams may have begun by a plan that is lost.
		next.UnplannedUntil = p.o.Now().Add(returnTime).UnixMilli()
		next.LogLostUntil = next.UnplannedUntil
	case !p.allFollow(g.Region, next.division()):
		next.UnplannedUntil = max(next.UnplannedUntil, p.o.Now().Add(unplannedTime).UnixMilli())
	}
	p.mu.Unlock()
	p.write(ctx, g, row, next)
}

// write writes a plan in place of a row that was read.
func (p *Planner) write(ctx context.Context, g Group, row lease.Row, next *Plan) {
	_, err := p.o.Table.Put(ctx, g.rowKey(), row, next.encode())
	switch {
	case errors.Is(err, lease.ErrConflict):
		p.postpone(g)
		return
	case err != nil: // The write may have taken effect; the table will show it.
		p.o.Failed("build plan not written", err)
		p.postpone(g)
		return
	}
	p.mu.Lock()
	before, changed := p.adopt(next)
	p.mu.Unlock()
	if changed {
		p.o.OnChange(before, next)
	}
}

// postpone has a group's plan compared again after minChangeInterval.
func (p *Planner) postpone(g Group) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingSince[g] = clock.Now().Add(minChangeInterval)
}
