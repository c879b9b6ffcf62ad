package relay

import (
	"context"
	"encoding/binary"
	"errors"
	"time"

	"github.com/stoatramp/stoatramp/internal/builds"
	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/origins"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file has new streams begin at the build that the plan of their service names (package builds), so that any box knows
// their origin.

// BuildPlanner says at which build each new stream begins, and at which one began.
type BuildPlanner interface {
	SetServing(groups map[builds.Group]builds.Serving)
	Begin(ctx context.Context, g builds.Group, s origins.Stream, until time.Time) (builds.Beginning, error)
	Origin(ctx context.Context, g builds.Group, s origins.Stream) builds.Finding
	Extend(g builds.Group, s origins.Stream, build string, until time.Time)
}

// group returns the group whose plan holds for the request.
func (x *exchange) group() builds.Group {
	return builds.Group{Service: x.service.Name, Region: x.region}
}

// ownStream identifies the stream that this request begins.
func (x *exchange) ownStream() origins.Stream {
	return origins.Stream{Key: origins.KeyOf(x.meta.ID), AccountKeys: []origins.Key{origins.AccountKeyOf(x.accountName(), x.meta.ID)}, Caller: x.callerTag()}
}

// resumedStream identifies the stream that this request takes up. It is zero if the caller does not name the stream.
func (x *exchange) resumedStream() origins.Stream {
	if x.meta.Resumes == "" {
		return origins.Stream{}
	}
	s := origins.Stream{Key: origins.KeyOf(x.meta.Resumes), Caller: x.callerTag()}
	for _, name := range x.accountNames() {
		s.AccountKeys = append(s.AccountKeys, origins.AccountKeyOf(name, x.meta.Resumes))
	}
	return s
}

// accountNames returns the present name of the request's account, and then the names that the account of its API key has had
// lately.
func (x *exchange) accountNames() []string {
	return x.r.accountHistory.Load().names(x.meta.Key, x.accountName(), clock.Now())
}

// callerTag identifies the API key of the caller; 0 if it has none.
func (x *exchange) callerTag() uint64 {
	if x.meta.KeyState != OneKey {
		return 0
	}
	return binary.BigEndian.Uint64(x.meta.Key[:8])
}

// returnsUntil is the time of day until which the caller may take the stream up.
func (x *exchange) returnsUntil() time.Time {
	return time.Now().Add(clock.Until(x.callerReturnsUntil()))
}

// publishServing passes the builds of the engines on the list to the planner.
func (r *Relay) publishServing() {
	if r.o.Builds == nil {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.fleet.cfg != nil {
		r.o.Builds.SetServing(r.fleet.servingBuilds())
	}
}

// servingBuilds counts the decode engines of each service and region that begin streams, by build. f.mu is held.
func (f *fleet) servingBuilds() map[builds.Group]builds.Serving {
	out := map[builds.Group]builds.Serving{}
	for i := range f.endpoints {
		if f.endpoints[i].Build == "" {
			continue
		}
		e := f.describe(i)
		if s := f.cfg.Services[e.Service]; s == nil || s.Engines == nil || e.Role != decide.Decode {
			continue
		}
		g := builds.Group{Service: e.Service, Region: e.Region}
		s, known := out[g]
		if !known {
			s.Counts = map[string]int{}
		}
		build := f.endpoints[i].Build
		if _, listed := s.Counts[build]; !listed {
			s.Counts[build] = 0
			s.Listed = append(s.Listed, build)
		}
		if e.open() && build == e.Build {
			s.Counts[build]++
		}
		out[g] = s
	}
	return out
}

// beginningTexts say how other boxes can tell at which build a stream began.
var beginningTexts = map[builds.How]string{
	builds.ByPlan:   "all plans that count name that build",
	builds.ByLog:    "the store has its origin",
	builds.Unlogged: "the store did not take its origin, and no box takes it for a stream of another build",
}

// planBuild chooses the build at which a new stream begins. Streams that may not be taken up begin at any. It returns false if
// the stream must be refused, because other boxes could not tell where it began.
func (x *exchange) planBuild(ctx context.Context) (outcome.Outcome, bool) {
	if x.r.o.Builds == nil || !x.route.Resumable || x.continues() {
		return outcome.Outcome{}, true
	}
	b, err := x.r.o.Builds.Begin(ctx, x.group(), x.ownStream(), x.returnsUntil())
	x.r.m.CountBeginning(b.How)
	if err != nil {
		o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.NoEndpointsKnown, Detail: err.Error(), RetryAfter: retryAfter}
		if !errors.Is(err, builds.ErrNoPlan) {
			o.Reason, o.RetryAfter = outcome.OriginUnlogged, jitter(retryAfter) // The next attempt has another ID.
		}
		return o, false
	}
	if b.How == builds.ByLog || b.How == builds.Unlogged {
		x.trace.Step(record.Step{Kind: record.StepBeginning, Build: b.Build, Plan: b.Plan, Text: beginningTexts[b.How]})
	}
	x.planned, x.plannedBuild = true, b.Build
	return outcome.Outcome{}, true
}

// findPlannedOrigin finds out from the store where a stream began. If the weights of its route have changed lately, the service
// follows from its logged origin alone.
func (x *exchange) findPlannedOrigin(ctx context.Context) builds.Finding {
	services := x.r.splits.Load().servicesOf(x.route, x.splitID(), clock.Now())
	if len(services) == 1 {
		return x.r.o.Builds.Origin(ctx, x.group(), x.resumed)
	}
	for _, name := range services {
		if !x.takeService(name) {
			continue
		}
		if f := x.r.o.Builds.Origin(ctx, x.group(), x.resumed); f.Verdict == builds.Logged {
			return f
		}
	}
	return builds.Finding{Verdict: builds.Unknown}
}

// plannedOrigin sets the origin of a stream that no box knows, if the store tells it. It returns the reason to refuse the
// stream otherwise; OK if the endpoints name no builds.
func (x *exchange) plannedOrigin(ctx context.Context) outcome.Reason {
	if x.r.o.Builds == nil {
		return outcome.OK
	}
	f := x.findPlannedOrigin(ctx)
	x.r.m.CountPlannedOrigin(f.Verdict)
	switch f.Verdict {
	case builds.Planned, builds.Logged, builds.Confirmed:
		x.origin.Service, x.origin.Build = x.service.Name, f.Build
		x.trace.Step(record.Step{Kind: record.StepPlannedOrigin, Build: f.Build, Plan: f.Plan, Text: f.By})
		return outcome.OK
	case builds.Unplannable:
		return outcome.OK
	case builds.Unconfirmed:
		return outcome.BuildUnconfirmed
	case builds.Gone:
		return outcome.BuildGone
	}
	return outcome.BuildUnknown
}
