package relay

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
)

// This file keeps a stream from an engine that has restarted under its ID as another build, before the list of endpoints
// shows the new start. A request names only the ID of its engine, and the answer to it does not say since when the engine
// runs. An engine's report does. A connection ends with its process. So the process that answers on a connection is the
// start that the report names, if the report was asked for after the first answer on the connection. One report is enough
// for all requests on the connection.

// confirmedStarts has when engines last confirmed that they are the start that the list names. The zero value is ready to
// use.
type confirmedStarts struct {
	mu sync.Mutex
	// at has, by endpoint ID, when the latest request was sent whose answer named the endpoint's start.
	at map[string]time.Time
}

// confirm records that an answer named a start of an endpoint. started is 0 if the answer named none.
func (s *confirmedStarts) confirm(id string, started int64, sent time.Time) {
	if started == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string]time.Time{}
	}
	if sent.After(s.at[id]) {
		s.at[id] = sent
	}
}

// confirmedSince reports whether an endpoint has confirmed its start after a time.
func (s *confirmedStarts) confirmedSince(id string, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[id].After(t)
}

// keep forgets all endpoints but those that are listed.
func (s *confirmedStarts) keep(isListed func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.at, func(id string, _ time.Time) bool { return !isListed(id) })
}

const (
	// unlistedBuild begins the name of the build of an engine that has restarted since the listed start. No other engine has that
	// build, so that no stream goes on there, or from there elsewhere.
	unlistedBuild = "unlisted "
	// staleListAge is how old the list may be for a box that does not ask for the starts of new streams. The list shows a new
	// start within about a second.
	staleListAge = 3 * time.Second
)

// isCalledStart reports whether the head of the answer to the call q came from the start of the engine that the list names.
// While the list names one build alone and is fresh, it asks the engine only for streams that have begun, and returns true for new
// ones: most are then not worth a call. It does the same if the platform does not say when engines start.
func (f *flight) isCalledStart(ctx context.Context, engine string, q *h1.Request) bool {
	x := f.x
	if !f.hasItsBuild(engine) {
		return false
	}
	e, known := x.r.fleet.findCalled(engine)
	if !x.route.Resumable || !known || e.Started == 0 || e.Build == "" || !f.needsStart(&e) || x.r.starts.confirmedSince(engine, q.ConnAnswered) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	query := x.r.queryStart(q.Address)
	select {
	case <-query.done:
	case <-ctx.Done():
		return false
	}
	if !query.answered || query.started != e.Started {
		x.r.m.UnprovenStarts.Inc()
		x.r.noteLaterStart(&e, query.started)
		return false
	}
	x.r.starts.confirm(engine, query.started, query.sent)
	return true
}

// needsStart reports whether an engine must confirm its start before its answer is passed on.
func (f *flight) needsStart(e *Endpoint) bool {
	return f.x.continues() || f.hasBegun() || f.x.r.listAge() > staleListAge || f.x.r.mixesBuilds(e)
}

// hasBegun reports whether the caller may have events of the stream.
func (f *flight) hasBegun() bool {
	_, begun := f.beganBuild.Load().(string)
	return begun
}

// hasItsBuild reports whether the list names the build at which the stream must run for an engine that was chosen earlier. If
// rows name no starts, an engine that has restarted as another build keeps its ID.
func (f *flight) hasItsBuild(engine string) bool {
	x := f.x
	if !x.route.Resumable {
		return true
	}
	began, _ := f.beganBuild.Load().(string)
	want, listed := cmp.Or(x.origin.Build, x.plannedBuild, began), x.r.fleet.buildOf(engine)
	return want == "" || listed == "" || want == listed
}

// mixesBuilds reports whether several builds of an engine's service serve in its region, or did lately.
func (r *Relay) mixesBuilds(e *Endpoint) bool {
	several, _ := r.fleet.severalBuilds(clock.Now(), e.Service, r.fleet.regionOf(e.Hall), e.Build)
	return several
}

// noteLaterStart records that an engine has restarted since the start that the list names. Its build is not known until the list shows
// the new start. While several builds serve, it gets no streams until then, and else only those that no other engine goes on with.
func (r *Relay) noteLaterStart(e *Endpoint, started int64) {
	if started <= e.Started {
		return
	}
	noStreams := r.mixesBuilds(e)
	r.fleet.mu.Lock()
	_, listed := r.fleet.index[e.ID]
	was, restarted := r.fleet.superseded[e.ID]
	known := !listed || restarted && (was || !noStreams)
	if !known {
		if r.fleet.superseded == nil {
			r.fleet.superseded = map[string]bool{}
		}
		r.fleet.superseded[e.ID] = noStreams
	}
	r.fleet.mu.Unlock()
	if known {
		return
	}
	r.o.Recorder.Log.StateChange("endpoint has restarted since the listed start", zap.String("endpoint", e.ID), zap.Int64("started", started), zap.Duration("list_age", r.listAge()))
	r.applyFleet()
}
