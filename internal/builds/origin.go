package builds

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/origins"
)

// This file finds out at which build a stream began that its caller takes up.

// Verdict is what is known of the origin of a stream.
type Verdict uint8

// The verdicts.
const (
	// Unknown streams may have begun at several builds.
	Unknown Verdict = iota
	// Planned streams have begun at the build that the plans name.
	Planned
	// Logged streams have begun at the build that the store keeps for them.
	Logged
	// Unplannable streams belong to a group whose endpoints name no builds.
	Unplannable
	// Confirmed streams have begun at the build that another box has read from the store.
	Confirmed
	// Unconfirmed means that neither this box nor those that it asked could read the store. A plan that this box knows may
	// have been replaced meanwhile.
	Unconfirmed
	// Gone streams have begun at a build that has left the plan.
	Gone
)

var verdictNames = [...]string{"unknown", "planned", "logged", "unplannable", "confirmed", "unconfirmed", "gone"}

func (v Verdict) String() string { return verdictNames[v] }

// Verdicts calls f for each verdict.
func Verdicts(f func(Verdict)) {
	for v := range verdictNames {
		f(Verdict(v))
	}
}

// Finding is what a box found out about the origin of a stream.
type Finding struct {
	Verdict Verdict
	// Build is set if the verdict is Planned, Logged or Confirmed.
	Build string
	// Plan is the number of the plan that tells it, if the verdict is Planned.
	Plan int64
	// By is the box that read the store, if the verdict is Confirmed.
	By string
}

const (
	// originWait bounds the wait of a caller that takes a stream up while the store does not answer. It is as long as that of
	// a new stream, so that an outage of the store refuses no more of the one kind than of the other.
	originWait = firstPlanWait
	// originRetryDelay is the pause between two attempts to read the store.
	originRetryDelay = 50 * time.Millisecond
	// Other boxes are asked once this box's own reads have failed, or have taken peersDelay.
	peersDelay = 100 * time.Millisecond
)

// Origin finds out at which build a stream began. The plans are read from the store after the call, by this box or another one:
// this box may have been suspended or cut off for any time.
func (p *Planner) Origin(ctx context.Context, g Group, s origins.Stream) Finding {
	ctx, cancel := context.WithTimeout(ctx, originWait)
	defer cancel()
	for since := clock.Now(); ; {
		f := p.readOriginAnywhere(ctx, g, s, since)
		if f.Verdict != Unconfirmed {
			return f
		}
		select {
		case <-time.After(originRetryDelay):
		case <-ctx.Done():
			return f
		}
	}
}

// readOriginAnywhere finds out by reads of this box, or of others if its own don't succeed soon, at which build a stream began.
func (p *Planner) readOriginAnywhere(ctx context.Context, g Group, s origins.Stream, since time.Time) Finding {
	if p.o.Peers == nil || s.IsZero() {
		return p.readOrigin(ctx, g, s, since)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	own := make(chan Finding, 1)
	go func() { own <- p.readOrigin(ctx, g, s, since) }()
	pending := own
	select {
	case f := <-own:
		if f.Verdict != Unconfirmed {
			return f
		}
		pending = nil
	case <-time.After(peersDelay):
	}
	confirmed := make(chan Finding, 1)
	go func() {
		build, by, ok := p.o.Peers.ConfirmOrigin(ctx, g, s)
		if !ok {
			confirmed <- Finding{Verdict: Unconfirmed}
			return
		}
		confirmed <- Finding{Verdict: Confirmed, Build: build, By: by}
	}()
	for waits := confirmed; ; {
		select {
		case f := <-pending:
			if pending = nil; f.Verdict != Unconfirmed || waits == nil {
				return f
			}
		case f := <-waits:
			if waits = nil; f.Verdict != Unconfirmed || pending == nil {
				return f
			}
		}
	}
}

// ConfirmOrigin finds out for another box at which build a stream began. It reads the store once.
func (p *Planner) ConfirmOrigin(ctx context.Context, g Group, s origins.Stream) (build string, ok bool) {
	f := p.readOrigin(ctx, g, s, clock.Now())
	return f.Build, f.Verdict == Planned || f.Verdict == Logged
}

// readOrigin finds out by reads of the store that begin after since at which build a stream began.
func (p *Planner) readOrigin(ctx context.Context, g Group, s origins.Stream, since time.Time) Finding {
	confirmed := make(chan error, 1)
	go func() { confirmed <- p.confirm(ctx, since) }()
	var logged string
	var logErr error
	if s.Key != 0 {
		logged, logErr = p.loggedBuild(ctx, g, s.Caller, s.Key)
	}
	if logged == "" && !errors.Is(logErr, errOtherStream) {
		if <-confirmed != nil {
			return Finding{Verdict: Unconfirmed}
		}
		if logErr == nil && p.mayBeLoggedByName(g) {
			logged, logErr = p.loggedBuild(ctx, g, s.Caller, s.AccountKeys...)
		}
	}
	switch {
	case logged != "":
		return Finding{Verdict: Logged, Build: logged}
	case errors.Is(logErr, errOtherStream):
		return Finding{}
	}
	p.mu.Lock()
	plan, mayHaveBuilds := p.plans[g], !p.hasList || len(p.listed[g]) > 0
	p.mu.Unlock()
	switch {
	case plan == nil && mayHaveBuilds:
		return Finding{}
	case plan == nil:
		return Finding{Verdict: Unplannable}
	}
	out := Finding{Verdict: Planned, Plan: plan.Number}
	known := false
	if s.IsZero() || p.mayBeUnplanned(plan) {
		out.Build, known = p.onlyBuild(g, plan)
		known = known && plan.Era >= p.o.Era() && plan.LogLostUntil <= p.o.Now().UnixMilli()
	} else {
		out.Build, known = p.plannedBuild(plan, s, logErr == nil)
	}
	switch {
	case !known && logErr != nil:
		return Finding{Verdict: Unconfirmed}
	case !known:
		return Finding{Plan: plan.Number}
	case !plan.Shares.has(out.Build):
		return Finding{Verdict: Gone, Plan: plan.Number}
	}
	return out
}

// mayBeUnplanned reports whether a stream that is taken up now may have begun at a box that knows no plans.
func (p *Planner) mayBeUnplanned(plan *Plan) bool {
	return plan.unplanned(p.o.Now()) || !p.allFollow(plan.Region, plan.division())
}

// mayBeLoggedByName reports whether streams that are taken up now may have rows for the names of their accounts alone.
func (p *Planner) mayBeLoggedByName(g Group) bool {
	p.mu.Lock()
	plan := p.plans[g]
	p.mu.Unlock()
	return plan != nil && (p.mayBeUnplanned(plan) || slices.ContainsFunc(plan.candidates(p.o.Now()), func(d division) bool { return !d.byID }))
}

// onlyBuild returns the only build that serves, or that served when a stream began that may be taken up now. ok is false if
// there are several.
func (p *Planner) onlyBuild(g Group, plan *Plan) (build string, ok bool) {
	p.mu.Lock()
	only := slices.Clone(p.listed[g])
	p.mu.Unlock()
	for _, d := range plan.candidates(p.o.Now()) {
		for _, s := range d.shares {
			only = append(only, s.Build)
		}
	}
	slices.Sort(only)
	if only = slices.Compact(only); len(only) != 1 {
		return "", false
	}
	return only[0], true
}

// plannedBuild returns the build at which a stream began. notLogged is set if the log has been read, and does not have the
// stream. ok is false if the plans differ and the log does not tell.
func (p *Planner) plannedBuild(plan *Plan, s origins.Stream, notLogged bool) (build string, ok bool) {
	now := p.o.Now()
	build, agreed := plan.origin(s, now)
	if plan.Era < p.o.Era() { // The restored store may lack a plan that this box has not seen. A box writes it again (replan).
		return "", false
	}
	return build, agreed || build != "" && notLogged && plan.LogLostUntil <= now.UnixMilli()
}

// tableRead is a read of the table in progress. done is closed at its end.
type tableRead struct {
	began time.Time
	done  chan struct{}
	err   error
}

// confirm reads the table, unless the store has answered a read that began after since. Callers share reads.
func (p *Planner) confirm(ctx context.Context, since time.Time) error {
	for {
		p.mu.Lock()
		if !p.confirmed.Before(since) {
			p.mu.Unlock()
			return nil
		}
		r := p.reading
		wait := confirmInterval - clock.Since(p.readBegan)
		if r == nil && wait <= 0 {
			r = &tableRead{began: clock.Now(), done: make(chan struct{})}
			p.reading, p.readBegan = r, r.began
			go p.readTable(r)
		}
		p.mu.Unlock()
		if r == nil {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		select {
		case <-r.done:
			if r.err != nil && !r.began.Before(since) {
				return r.err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Planner) readTable(r *tableRead) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	rows, err := p.o.Table.List(ctx, planRowPrefix)
	if err == nil {
		p.SetRows(rows)
	} else {
		p.o.Failed("build plans not read", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.confirmed = r.began
	}
	r.err, p.reading = err, nil
	close(r.done)
}
