package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
)

const (
	// standalonePollPeriod is how often each engine is asked for its load, and loadLimit how long
	// it may take to answer. Two questions are at least loadPause apart, so that what a
	// box spends on them does not grow with the fleet: streams are placed by what some
	// engines say at that moment (askFresh), and engines that refuse to set memory aside
	// correct what is old.
	standalonePollPeriod = 3 * time.Second
	minPollInterval      = 400 * time.Millisecond
	loadTimeout          = 700 * time.Millisecond
)

// Where boxes tell each other of engines' loads, one asks for all. Each box would ask an
// engine that it has not heard of for askAfter and some time more, which is drawn once for
// each box and engine and is longer the more boxes there are: the first one asks, and the
// others hear its answer before their time comes. When it is gone the next one does.
//
// Example: with 85 boxes the time drawn is up to 12.75 s, so that one of them is due about
// every 150 ms, and an engine is asked about every 550 ms by the same box.
const (
	pollIntervalDecode  = 400 * time.Millisecond
	pollIntervalPrefill = 1200 * time.Millisecond
	// gossipDelay is what an answer takes to reach the other boxes.
	gossipDelay = 150 * time.Millisecond
	// pollTick and askIdle are how soon and how late the engines are looked at again: when the next is due,
	// but the streams of all boxes, which bound the questions, may have become more meanwhile.
	pollTick     = 100 * time.Millisecond
	maxPollPause = 500 * time.Millisecond
	// maxPollRate bounds the questions of all boxes together, a second, whatever the number of
	// engines: each answer goes to every box. With one each 0.55 s to 2,250 engines 301 boxes
	// spent 16% of a core each, and two ran out of memory.
	maxPollRate = 300
	// pollsPerStream bounds those questions by the streams of all boxes, and leastAsked is how many a
	// second they may be at any time. At 10 to 40 streams a second and 9 to 45 engines the times above
	// come to 1.6 to 2.6 questions a stream and are not touched; at 35 streams a second and 8,650 engines
	// they would be 8 a stream, of which most serve nobody. Without any question while no stream comes,
	// engines have their roles changed amid traffic and not before it: at 7 boxes 0.484 and 0.483 was earned
	// in place of 0.503, and 0.513 with these (mean of five days, one score each, no processor time).
	pollsPerStream = 4
	minPollRate    = 20
	// ownerLoadMaxAge is how old the last word of an engine may be when its home is asked for room.
	ownerLoadMaxAge = 3 * time.Second
)

// AskLoads asks the engines for their load until ctx ends.
func (r *Relay) AskLoads(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		var pause time.Duration
		if r.connected() {
			pause = r.pollDue(ctx)
		} else {
			pause = r.pollNext(ctx, n)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// pollNext asks one engine after another, and returns the time until the next.
func (r *Relay) pollNext(ctx context.Context, n int) time.Duration {
	list := r.fleet.allEngines()
	if len(list) == 0 {
		return standalonePollPeriod
	}
	go r.pollLoad(ctx, list[n%len(list)])
	return max(minPollInterval, standalonePollPeriod/time.Duration(len(list)))
}

// pollDue asks the engines that nobody was heard to have asked for too long, and returns the time until
// the next is due.
func (r *Relay) pollDue(ctx context.Context) time.Duration {
	list, next := r.duePolls(clock.Now())
	for _, e := range list {
		go r.pollLoad(ctx, e)
	}
	return max(pollTick, min(next, maxPollPause))
}

// duePolls lists the engines that this box is to ask now, and says when the next is duePolls. What all boxes ask is
// bounded by the streams that there are.
func (r *Relay) duePolls(now time.Time) (out []Endpoint, next time.Duration) {
	next = maxPollPause
	neighbours := float64(r.o.Others.Neighbours())
	schedules := map[string]pollSchedule{}
	for _, e := range r.fleet.allEngines() {
		t, known := schedules[e.Service]
		if !known {
			all, part := r.fleet.engineCount(e.Service)
			rate := min(maxPollRate, max(minPollRate, pollsPerStream*r.streams.rate(now, e.Service)))
			t.round = seconds(max(1, float64(all)) / rate)
			t.spread = seconds(max(1, part*neighbours) * gossipDelay.Seconds())
			r.fleet.advanceRounds(e.Service, now, t.round)
			schedules[e.Service] = t
		}
		again, first := t.delays(r.o.Box, e)
		ask, left := r.fleet.claimPoll(e, now, t, again, first)
		if ask {
			out = append(out, e)
		}
		next = min(next, left)
	}
	return out, next
}

// pollIfStale asks an engine whose home this box is, where nothing was heard of it lately.
func (r *Relay) pollIfStale(id string) {
	e, listed := r.fleet.endpoint(id)
	if listed && r.fleet.claimStalePoll(id, clock.Now(), ownerLoadMaxAge) {
		go r.pollLoad(context.Background(), e)
	}
}

// allEngines lists the engines that this box may send something to.
func (f *fleet) allEngines() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engineList
}

// pollLoad asks an engine, and tells the other boxes what it says.
func (r *Relay) pollLoad(ctx context.Context, e Endpoint) {
	now := clock.Now()
	if r.notices.Wait(e.ID, now) > 0 {
		return // It asked for fewer requests, and a question is one.
	}
	r.notices.Sent(e.ID, now)
	resp, body, err := r.sidePool.Call(ctx, loadTimeout, sideRequest(e.ID, e.Address, r.wire.AskLoad()), maxSideAnswer)
	if ctx.Err() != nil {
		return
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		r.applySilence(e.ID)
		r.publishLoad(e.ID, now, nil)
		return
	}
	l, err := r.wire.Load(body)
	if err != nil {
		r.o.Book.Log.Belief("report not taken", zap.String("endpoint", e.ID), zap.Error(err))
		return
	}
	if !l.matchesStart(&e) {
		return // The list will tell of the other start.
	}
	at := now.Add(-l.Age)
	r.applyLoad(e.ID, at, &l)
	r.publishLoad(e.ID, at, &l)
}

// matchesStart says whether a load is matchesStart this start matchesStart the endpoint, and not what the same address said matchesStart
// itself in another life: its memory, role and orders have nothing to do with this one. One that does not
// say when its engine started is taken: on a platform whose list told starts and whose reports did not,
// no load was ever known, and each box asked all engines by itself, 112,422 questions on a played day.
func (l *Load) matchesStart(e *Endpoint) bool { return l.Started == 0 || l.Started == e.Started }

// applySilence takes that an engine did not answer.
func (r *Relay) applySilence(engine string) {
	r.fleet.mu.Lock()
	r.fleet.recordReport(engine, clock.Now())
	r.fleet.mu.Unlock()
	r.disp.Step(decide.Silent{Engine: engine})
}

// applyLoad takes what an engine said of itself, as of a time.
func (r *Relay) applyLoad(engine string, at time.Time, l *Load) {
	stride, known := r.fleet.recordLoad(engine)
	if !known {
		return
	}
	if !l.Busy && r.fleet.applyReportedRole(engine, l.Role, at) {
		r.o.Book.Log.Belief("endpoint says it is now "+l.Role.String(), zap.String("endpoint", engine), zap.Duration("report_age", clock.Since(at)), zap.Duration("list_age", r.listAge()))
		r.applyFleet()
	}
	r.disp.Step(decide.Report{
		Engine: engine, At: at, FreeKV: l.KVTotal - l.KVUsed, Streams: l.Running, Queued: l.Queued, Leaving: l.Leaving || l.Busy,
		Runs: l.runs(stride),
	})
}

// recordLoad notes that an engine was heard of, and returns how many tokens an event of its
// holds; known is false for one that is not on the list.
func (f *fleet) recordLoad(id string) (stride int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed := f.index[id]
	if !listed {
		return 1, false
	}
	f.recordReport(id, clock.Now())
	return f.stride(f.endpoints[i].Service), true
}

// pollAfterRefusal asks an engine that has just turned a request away for its load: it may have
// another role by now, carry out an order or leave.
func (r *Relay) pollAfterRefusal(id string) {
	r.fleet.mu.Lock()
	i, listed := r.fleet.index[id]
	if !listed || clock.Since(r.fleet.refusalPolledAt[id]) < refusalPollInterval {
		r.fleet.mu.Unlock()
		return
	}
	if r.fleet.refusalPolledAt == nil {
		r.fleet.refusalPolledAt = map[string]time.Time{}
	}
	r.fleet.refusalPolledAt[id] = clock.Now()
	e := r.fleet.endpoints[i]
	r.fleet.mu.Unlock()
	go r.pollLoad(context.Background(), e)
}

// refusalPollInterval is the least time between two such questions to one engine: its figures are
// as of some hundred ms before.
const refusalPollInterval = time.Second

// runs says the streams in tokens.
func (l *Load) runs(stride int) []decide.Run {
	out := make([]decide.Run, len(l.Runs))
	for i, r := range l.Runs {
		out[i] = decide.Run{Tokens: r.Tokens, Made: r.Events * stride}
	}
	return out
}

// stride is how many tokens one event of a service may hold. The lock is held.
func (f *fleet) stride(service string) int {
	if f.cfg == nil || f.cfg.Services[service] == nil || f.cfg.Services[service].Engines == nil {
		return 1
	}
	return f.cfg.Services[service].Engines.Stride
}

const (
	// One decode engine in sampleDivisor, and freshLeast at least, is asked for its load before
	// a stream is placed; freshLimit is how long that may take.
	sampleDivisor = 6
	minSampleSize = 2
	sampleTimeout = 40 * time.Millisecond
)

// sampleLoads asks one in so many decode engines of a service in a region for their load, and freshLeast
// at least.
func (r *Relay) sampleLoads(ctx context.Context, service, region string) {
	var list []Endpoint
	for _, e := range r.fleet.allEngines() {
		if e.Service == service && r.fleet.regionOf(e.Hall) == region && e.Role == decide.Decode && !e.Leaving {
			list = append(list, e)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(max(minSampleSize, len(list)/sampleDivisor), len(list))]
	done := make(chan struct{}, len(list))
	for _, e := range list {
		go func() {
			r.pollLoad(context.WithoutCancel(ctx), e)
			done <- struct{}{}
		}()
	}
	limit := time.NewTimer(sampleTimeout)
	defer limit.Stop()
	for range list {
		select {
		case <-done:
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
