package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/origins"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file lets a stream that its caller takes up go on only at the build that began it. The box that began the stream may be
// another one, and may be gone.

// Origins is the directory of the builds at which streams began. All boxes share it.
type Origins interface {
	// PublishOrigin makes an origin known to the other boxes. It does not wait for them.
	PublishOrigin(o origins.Origin)
	// FindOrigin returns an origin, and the other box that knew it; by is empty if this box did.
	FindOrigin(ctx context.Context, s origins.Stream) (o origins.Origin, by string, ok bool)
}

const (
	// originSlack is how much longer than the caller's time an origin is kept.
	originSlack = 2 * time.Second
	// buildRetention is how long a build counts as serving after its last endpoint has left the list. Callers that come back
	// with a stream that it began do so sooner.
	buildRetention = 30 * time.Second
)

// buildKey identifies a build of a service in a region.
type buildKey struct{ service, region, build string }

// noteBuilds records which builds the list of endpoints has. f.mu is held.
func (f *fleet) noteBuilds(now time.Time) {
	if f.buildSeenAt == nil {
		f.buildSeenAt = map[buildKey]time.Time{}
	}
	var seen []*Endpoint // One of each service, hall and build: few, where a list can have thousands of endpoints.
	for i := range f.endpoints {
		e := &f.endpoints[i]
		same := func(o *Endpoint) bool { return o.Build == e.Build && o.Service == e.Service && o.Hall == e.Hall }
		if e.Build == "" || slices.ContainsFunc(seen, same) { // An unknown build binds no stream.
			continue
		}
		seen = append(seen, e)
		f.buildSeenAt[buildKey{e.Service, f.regionOf(e.Hall), e.Build}] = now
	}
	for k, at := range f.buildSeenAt {
		if now.Sub(at) > buildRetention {
			delete(f.buildSeenAt, k)
		}
	}
	f.listSetAt = now
}

// severalBuilds reports whether streams of a service may have begun at several builds. known reports whether a build is on
// the present list.
func (f *fleet) severalBuilds(now time.Time, service, region, build string) (several, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for k, at := range f.buildSeenAt {
		// The list is set only when it changes.
		if k.service != service || k.region != region || at.Before(f.listSetAt) && now.Sub(at) > buildRetention {
			continue
		}
		n++
		known = known || k.build == build && !at.Before(f.listSetAt)
	}
	return n > 1, known
}

// findOrigin finds out at which build a stream began that the caller takes up. It returns false if the stream must be refused:
// several builds serve and nobody knows which one began it, or that build serves no more.
func (x *exchange) findOrigin(ctx context.Context) (outcome.Outcome, bool) {
	if !x.continues() {
		return outcome.Outcome{}, true
	}
	now := clock.Now()
	if x.resumed = x.resumedStream(); !x.resumed.IsZero() {
		o, by, ok := x.r.o.Origins.FindOrigin(ctx, x.resumed)
		if ok && (o.Ambiguous || o.Service != x.service.Name && !x.takeService(o.Service)) {
			return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.BuildUnknown, RetryAfter: jitter(streamRetryAfter)}, false
		}
		if ok {
			x.origin = o
			x.trace.Step(record.Step{Kind: record.StepOrigin, Build: o.Build, Text: by})
		}
	}
	if x.origin.Build == "" {
		if reason := x.plannedOrigin(ctx); reason != outcome.OK {
			return outcome.Outcome{Kind: outcome.NotRun, Reason: reason, RetryAfter: jitter(streamRetryAfter)}, false
		}
	}
	several, known := x.r.fleet.severalBuilds(now, x.service.Name, x.region, x.origin.Build)
	switch {
	case x.origin.Build == "" && several:
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.BuildUnknown, RetryAfter: jitter(streamRetryAfter)}, false
	case x.origin.Build != "" && !known:
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.BuildGone, RetryAfter: jitter(streamRetryAfter)}, false
	case x.origin.Build != "":
		x.extendOrigin(now)
	}
	return outcome.Outcome{}, true
}

// continues reports whether the caller takes a stream up of which it has a part.
func (x *exchange) continues() bool { return x.meta.LastEvent != "" && x.route.Resumable }

// extendOrigin keeps the origin of a stream that was taken up for as long as the caller may come back once more.
func (x *exchange) extendOrigin(now time.Time) {
	if until := x.callerReturnsUntil(); !x.resumed.IsZero() && until.After(x.origin.Expires) {
		o := x.origin
		o.Key, o.AccountKey, o.Expires = x.resumed.Key, x.resumed.AccountKey(), until
		o.Caller = cmp.Or(o.Caller, x.resumed.Caller)
		x.r.o.Origins.PublishOrigin(o)
		if x.r.o.Builds != nil {
			s := x.resumed
			s.Caller = o.Caller
			x.r.o.Builds.Extend(x.group(), s, o.Build, x.returnsUntil())
		}
	}
}

// callerReturnsUntil is the time until which the caller may take the stream up.
func (x *exchange) callerReturnsUntil() time.Time {
	d := x.meta.Timeout
	if d <= 0 {
		d = x.route.Timeout
	}
	return x.arrived.Add(d + originSlack)
}

// publishOrigin makes known at which build the stream begins. It is called when the decode engine is chosen, so that the other
// boxes know before the caller can have an event, and again if another engine sends the first event.
func (f *flight) publishOrigin(engine string, attempt decide.Attempt) {
	x := f.x
	if !x.route.Resumable || f.eventsSent > 0 || x.r.o.Origins == nil {
		return
	}
	build := x.r.fleet.buildOf(engine)
	if build == "" || build == f.publishedBuild {
		return
	}
	f.publishedBuild = build
	s := x.ownStream()
	x.r.o.Origins.PublishOrigin(origins.Origin{
		Key: s.Key, AccountKey: s.AccountKey(), Caller: s.Caller, Service: x.service.Name, Build: build, Revision: uint32(attempt),
		Expires: x.callerReturnsUntil(),
	})
}
