package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/paths"
)

const (
	// A box that receives no messages from other boxes polls each engine for its load every standalonePollPeriod. Two
	// polls are at least minPollInterval apart, so that their cost does not grow with the fleet. In a large fleet loads
	// are therefore old. In exchange, some engines are polled when a stream is placed (sampleLoads). An engine that
	// refuses a reservation also shows that its load is stale. loadTimeout bounds one request for a load.
	standalonePollPeriod = 3 * time.Second
	minPollInterval      = 400 * time.Millisecond
	loadTimeout          = 700 * time.Millisecond
)

// Where boxes exchange engine loads, one box polls an engine for all boxes. Each box waits until it has received no
// load of the engine for a while, and then polls the engine itself. The wait is pollIntervalDecode or
// pollIntervalPrefill, by the engine's role, plus a jitter. The jitter is fixed for each box and engine. Its range
// grows with the number of boxes. So the box with the shortest jitter polls. The other boxes receive the load before
// their own waits are over. If the first box is down, the box with the next longer jitter polls.
//
// Example: with 85 boxes the jitter is up to 12.75 s. About every 150 ms the poll of another box would be due. The box
// with the shortest jitter polls a decode engine about every 550 ms.
const (
	// pollIntervalDecode and pollIntervalPrefill are the ages, without jitter, at which the load of an engine is polled
	// again.
	pollIntervalDecode  = 400 * time.Millisecond
	pollIntervalPrefill = 1200 * time.Millisecond
	// gossipDelay is the time a message takes to reach the other boxes.
	gossipDelay = 150 * time.Millisecond
	// pollTick and maxPollPause bound the pause between two checks for due polls. The pause lasts until the next poll
	// is due, but no longer than maxPollPause. More streams may have come meanwhile, and raise the allowed rate.
	pollTick     = 100 * time.Millisecond
	maxPollPause = 500 * time.Millisecond
	// maxPollRate bounds the polls a second of all boxes together, whatever the number of engines. The reason is that
	// every load goes to every box. Without the bound, each of 2,250 engines was polled every 0.55 s. Then 301 boxes
	// spent 16% of a core each, and two ran out of memory.
	maxPollRate = 300
	// pollsPerStream bounds the polls of all boxes, in proportion to the boxes' streams. minPollRate is the number of
	// polls a second that are always allowed. At 10 to 40 streams a second and 9 to 45 engines, pollIntervalDecode and
	// pollIntervalPrefill lead to 1.6 to 2.6 polls a stream. That is below the bound. At 35 streams a second and 8,650
	// engines the two intervals would lead to 8 polls a stream. Most of these polls serve no stream.
	//
	// minPollRate is above 0 because of role changes. Without any polls between streams, roles change during traffic
	// and not before it. The goodput score (more is better) is the mean of five days at 7 boxes, processor time not
	// included. It is 0.484 or 0.483 without polls between streams, and 0.503 with them. With the two values given here
	// it is 0.513.
	pollsPerStream = 4
	minPollRate    = 20
	// ownerLoadMaxAge is how old the load of an engine may be when another box asks for room, which is free engine
	// memory. This box, the owner of the engine, grants that room. It polls an engine whose load is older.
	ownerLoadMaxAge = 3 * time.Second
)

// PollLoads polls the engines for their load until ctx ends.
func (r *Relay) PollLoads(ctx context.Context) {
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

// pollNext polls one engine, and returns the time until the next poll. n is the number of earlier polls. It selects the
// engine: all engines are polled in the order of the list, and then the first engine again.
func (r *Relay) pollNext(ctx context.Context, n int) time.Duration {
	list := r.fleet.allEngines()
	if len(list) == 0 {
		return standalonePollPeriod
	}
	go r.pollLoad(ctx, list[n%len(list)])
	return max(minPollInterval, standalonePollPeriod/time.Duration(len(list)))
}

// pollDue polls the engines that are due: no box has published their load for too long. It returns the time until the
// next check.
func (r *Relay) pollDue(ctx context.Context) time.Duration {
	list, next := r.duePolls(clock.Now())
	for _, e := range list {
		go r.pollLoad(ctx, e)
	}
	return max(pollTick, min(next, maxPollPause))
}

// duePolls lists the engines that this box must poll now, and records these polls. next is the time until the next poll
// is due. The rate of polls of all boxes together is bounded by the rate of streams (pollsPerStream).
func (r *Relay) duePolls(now time.Time) (out []Endpoint, next time.Duration) {
	next = maxPollPause
	neighbours := float64(r.o.Peers.RegionSize())
	schedules := map[string]pollSchedule{}
	for _, e := range r.fleet.allEngines() {
		t, known := schedules[e.Service]
		if !known {
			all, share := r.fleet.engineCount(e.Service)
			rate := min(maxPollRate, max(minPollRate, pollsPerStream*r.streams.rate(now, e.Service)))
			t.round = seconds(max(1, float64(all)) / rate)
			t.spread = seconds(max(1, share*neighbours) * gossipDelay.Seconds())
			r.fleet.advanceRounds(e.Service, now, t.round)
			schedules[e.Service] = t
		}
		again, first := t.delays(r.o.Box, e)
		due, left := r.fleet.claimPoll(e, now, t, again, first)
		if due {
			out = append(out, e)
		}
		next = min(next, left)
	}
	return out, next
}

// pollIfStale polls an engine that this box owns if the engine's load is not recent.
func (r *Relay) pollIfStale(id string) {
	e, listed := r.fleet.endpoint(id)
	if listed && r.fleet.claimStalePoll(id, clock.Now(), ownerLoadMaxAge) {
		go r.pollLoad(context.Background(), e)
	}
}

// allEngines lists the engines that this box may send requests to.
func (f *fleet) allEngines() []Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engineList
}

// pollLoad polls an engine for its load. It applies the load on this box, and publishes it to the other boxes. If the
// engine does not answer, handleSilence finds out whether the engine or this box's path to it is the reason.
func (r *Relay) pollLoad(ctx context.Context, e Endpoint) {
	now := clock.Now()
	if r.notices.ThrottledFor(e.ID, now) > 0 {
		return // The engine asked for fewer requests, and a poll is a request.
	}
	r.notices.Sent(e.ID, now)
	resp, body, err := r.controlPool.DoShort(ctx, loadTimeout, controlRequest(e.ID, e.Address, r.protocol.LoadCall()), maxControlAnswer)
	if ctx.Err() != nil {
		return
	}
	if err != nil || resp.StatusCode != http.StatusOK {
		r.handleSilence(ctx, e, now, err)
		return
	}
	l, err := r.protocol.ParseLoad(body)
	if err != nil {
		r.rejectAnswer("engine load could not be parsed", e.ID, err)
		return
	}
	if !l.matchesStart(&e) {
		r.noteLaterStart(&e, l.Started)
		return // The list of endpoints will show the other start of the engine.
	}
	r.starts.confirm(e.ID, l.Started, now)
	at := now.Add(-l.Age)
	r.applyLoad(e.ID, at, &l)
	r.publishLoad(e.ID, at, &l)
}

// handleSilence handles an engine that did not answer a poll of this box, or answered with an error if err is nil. It
// publishes only what is the state of the engine: other boxes can't tell whether this box has lost its path.
func (r *Relay) handleSilence(ctx context.Context, e Endpoint, polled time.Time, err error) {
	reached, confirmed := false, true
	if err != nil && r.o.TunnelPeers != nil {
		reached, confirmed = r.verifySilence(ctx, e, err)
	}
	if reached {
		return
	}
	r.applySilence(e.ID, r.o.Box)
	if confirmed {
		r.publishLoad(e.ID, polled, nil)
	}
}

// verifySilence finds out why an engine did not answer a poll. reached means that this box reaches the engine through
// another box. confirmed means that the engine is silent, whoever asks it.
func (r *Relay) verifySilence(ctx context.Context, e Endpoint, err error) (reached, confirmed bool) {
	if dial := (*paths.Error)(nil); errors.As(err, &dial) {
		return false, paths.Confirmed(err)
	}
	via, err := r.paths.Verify(ctx, e.Address)
	if err != nil {
		return false, paths.Confirmed(err)
	}
	return via != "", via == ""
}

// matchesStart reports whether the load belongs to this start of the endpoint. An earlier or later process at the same
// address has other memory, another role and other orders. A load without a start time is accepted, because some
// platforms have start times in the list and none in the loads. If such loads were rejected, no load would ever be
// accepted there. Each box would then poll all engines by itself (112,422 polls in a simulated day).
func (l *Load) matchesStart(e *Endpoint) bool { return l.Started == 0 || l.Started == e.Started }

// applySilence records that an engine did not answer a poll of a box, which may be this box or another.
func (r *Relay) applySilence(engine, box string) {
	r.fleet.mu.Lock()
	r.fleet.recordReport(engine, clock.Now())
	r.fleet.mu.Unlock()
	r.disp.Step(decide.ProbeFailed{Engine: engine, Box: box})
}

// applyLoad applies the load that an engine had at a time.
func (r *Relay) applyLoad(engine string, at time.Time, l *Load) {
	tokensPerEvent, known := r.fleet.recordLoad(engine)
	if !known {
		return
	}
	if !l.ExecutingOrder && r.fleet.applyReportedRole(engine, l.Role, at) {
		r.o.Recorder.Log.StateChange("endpoint reports role "+l.Role.String(), zap.String("endpoint", engine), zap.Duration("report_age", clock.Since(at)), zap.Duration("list_age", r.listAge()))
		r.applyFleet()
	}
	r.disp.Step(decide.LoadReport{
		Engine: engine, At: at, FreeKV: l.KVTotal - l.KVUsed, Streams: l.Running, Queued: l.Queued, Leaving: l.Leaving || l.ExecutingOrder,
		Runs: l.runs(tokensPerEvent),
	})
}

// recordLoad records that an engine's load was received, and returns the tokens per event of the engine's service.
// known is false for an engine that is not on the list.
func (f *fleet) recordLoad(id string) (tokensPerEvent int, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, listed := f.index[id]
	if !listed {
		return 1, false
	}
	f.recordReport(id, clock.Now())
	return f.tokensPerEvent(f.endpoints[i].Service), true
}

// pollAfterRefusal polls an engine that has just refused a request. The engine may have changed its role, may be
// carrying out an order, or may be leaving. An engine polled for this reason within refusalPollInterval is not polled.
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

// refusalPollInterval is the minimum time between two polls of an engine that refuses requests. The loads that
// a box knows are some hundred ms old anyway.
const refusalPollInterval = time.Second

// runs converts the engine's streams from events to tokens.
func (l *Load) runs(tokensPerEvent int) []decide.StreamLoad {
	out := make([]decide.StreamLoad, len(l.Runs))
	for i, r := range l.Runs {
		out[i] = decide.StreamLoad{Tokens: r.Tokens, Output: r.Events * tokensPerEvent}
	}
	return out
}

// tokensPerEvent returns the maximum number of tokens in one event of a service. f.mu is held.
func (f *fleet) tokensPerEvent(service string) int {
	if f.cfg == nil || f.cfg.Services[service] == nil || f.cfg.Services[service].Engines == nil {
		return 1
	}
	return f.cfg.Services[service].Engines.TokensPerEvent
}

const (
	// Before a stream is placed by a box that receives no messages from other boxes, the box polls some decode engines.
	// It polls one in sampleDivisor, but at least minSampleSize. sampleTimeout bounds the wait for the loads.
	sampleDivisor = 6
	minSampleSize = 2
	sampleTimeout = 40 * time.Millisecond
)

// sampleLoads polls a random sample of the decode engines of a service in a region. sampleDivisor and minSampleSize
// give the size of the sample. sampleLoads waits up to sampleTimeout for the loads.
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
