package builds

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file decides where a new stream begins, so that any box that reads the plans and the log later can tell.

// Beginning is where a stream begins.
type Beginning struct {
	// Build is empty if any build will do.
	Build string
	// Plan is the number of the plan that was in force; 0 if there are no builds to plan.
	Plan int64
	How  How
}

// How says how other boxes can tell at which build a stream began.
type How uint8

const (
	// Free streams may begin at any build, because no endpoint names its build.
	Free How = iota
	// ByPlan means that all plans that a box may take into account tell it.
	ByPlan
	// ByLog means that the store has the stream's origin.
	ByLog
	// Unlogged means that the origin should be logged and could not be. The stream begins where the plans tell without the
	// log, or where no box takes it for a stream of another build.
	Unlogged
	// Refused streams do not begin.
	Refused
)

var howNames = [...]string{"free", "by_plan", "by_log", "unlogged", "refused"}

func (h How) String() string { return howNames[h] }

// Hows calls f for each How.
func Hows(f func(How)) {
	for h := range howNames {
		f(How(h))
	}
}

var (
	// ErrNoPlan means that the first plan of a group is not known yet.
	ErrNoPlan = errors.New("there is no plan yet for the builds of the service")
	// ErrUnlogged means that the store did not take the stream's origin, which the plans alone do not tell.
	ErrUnlogged = errors.New("the store does not take the origin of the stream")
	// ErrOutOfStep means that this box has known nothing of the other boxes and the store for too long.
	ErrOutOfStep = errors.New("neither the store nor another box has confirmed the plans for too long")
)

// Begin decides at which build a new stream begins. The caller may take the stream up until the given time of day. Begin waits
// for the first read of the table and for the first plan. If the plans alone don't tell the origin, it waits until the origin
// is logged. After an error the stream must not begin.
func (p *Planner) Begin(ctx context.Context, g Group, s origins.Stream, until time.Time) (Beginning, error) {
	if !p.hasRead() {
		_ = p.confirm(ctx, clock.Now())
	}
	plan, err := p.awaitPlan(ctx, g)
	if plan == nil {
		return refusedOr(Free, err), err
	}
	if plan, err = p.refresh(ctx, plan, until); err != nil {
		return Beginning{Plan: plan.Number, How: Refused}, err
	}
	now := p.o.Now()
	b := Beginning{Plan: plan.Number, How: ByPlan}
	var log bool
	b.Build, log = plan.begin(s, now)
	log = log || outlivesPlans(now, until)
	if !log && p.mayBeUnplanned(plan) {
		_, only := p.onlyBuild(g, plan)
		log = !only
	}
	if !log {
		return b, nil
	}
	err = p.logOrigin(ctx, g, s, b.Build, until)
	if err == nil {
		b.How = ByLog
		return b, nil
	}
	return p.beginUnlogged(plan, s, until, b, err)
}

func refusedOr(how How, err error) Beginning {
	if err != nil {
		how = Refused
	}
	return Beginning{How: how}
}

// beginUnlogged decides where a stream begins after an error of logOrigin. planned is where it would begin if it were logged.
func (p *Planner) beginUnlogged(plan *Plan, s origins.Stream, until time.Time, planned Beginning, err error) (Beginning, error) {
	now := p.o.Now()
	planned.How = Unlogged
	if plan.tellsUnlogged(s, planned.Build, now, until) {
		// The store gets the row once it takes writes again, so that the stream can go on then.
		p.addToLog(p.logKeys(plan, s), &pendingRow{newLoggedOrigin(plan.Group, planned.Build, s.Caller, until), nil})
		return planned, nil
	}
	// A write without an answer may still take effect, and would then name the planned build.
	if oldest, ok := plan.candidates(now)[0].buildOf(s); ok && !errors.Is(err, errUncertain) && plan.tellsUnlogged(s, oldest, now, until) && p.serves(plan.Group, oldest) {
		planned.Build = oldest
		return planned, nil
	}
	return Beginning{Plan: plan.Number, How: Refused}, fmt.Errorf("%w: %w", ErrUnlogged, err)
}

// outOfStep reports whether this box stood still or was isolated a short time ago.
func (p *Planner) outOfStep() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	return now.Sub(p.checkedAt) > stallTime || now.Sub(p.outOfStepAt) < newsTime
}

// noteCheck records that Run runs. p.mu is held.
func (p *Planner) noteCheck(now time.Time, isolated bool) {
	if isolated || !p.checkedAt.IsZero() && now.Sub(p.checkedAt) > stallTime {
		p.outOfStepAt = now
	}
	p.checkedAt = now
}

func (p *Planner) serves(g Group, build string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.serving[g].has(build)
}

func (p *Planner) hasRead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.read
}

// awaitPlan returns the plan of a group; nil if the list of endpoints names no builds of the group. It waits for the first
// plan.
func (p *Planner) awaitPlan(ctx context.Context, g Group) (*Plan, error) {
	for end := clock.Now().Add(firstPlanWait); ; time.Sleep(firstPlanWait / 50) {
		p.mu.Lock()
		plan, listed := p.plans[g], p.listed[g]
		p.mu.Unlock()
		switch {
		case plan != nil || len(listed) == 0:
			return plan, nil
		case clock.Now().After(end) || ctx.Err() != nil:
			return nil, ErrNoPlan
		}
	}
}

// refresh returns a plan that is among the candidates of all boxes that may take a stream up until the given time. A box that
// has had no news for longer reads the table. In an outage of the store no plan changes: then it is enough that other boxes
// reach this one, since they follow the plans too.
func (p *Planner) refresh(ctx context.Context, plan *Plan, until time.Time) (*Plan, error) {
	maxAge := returnTime - until.Sub(p.o.Now()) - 2*clockSlack
	if p.o.Age == nil || p.o.Age() < maxAge || !p.o.Boxes.Isolated() && !p.outOfStep() {
		return plan, nil
	}
	if err := p.confirm(ctx, clock.Now()); err != nil {
		return plan, fmt.Errorf("%w: %w", ErrOutOfStep, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plans[plan.Group], nil
}
