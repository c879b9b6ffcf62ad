package relay

import (
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/overlay"
	"github.com/stoatramp/stoatramp/internal/retry"
)

// This file has the messages that boxes exchange about engines. A message may be late or lost. That lowers only the
// goodput, which is the share of requests served in time.

// publish sends a message to the other boxes. A message without a time gets the present time.
func (r *Relay) publish(msg overlay.Message) {
	if r.o.Peers == nil {
		return
	}
	if msg.At.IsZero() {
		msg.At = clock.Now()
	}
	r.o.Peers.Publish(msg)
}

// connected reports whether this box receives messages from other boxes.
func (r *Relay) connected() bool { return r.o.Peers != nil && r.o.Peers.Connected() }

// publishPlaced publishes that this box has placed a stream on engines, and counts the stream. It is called once memory
// is reserved at the decode engine. Before that, the engines have only been asked for a reservation.
func (f *flight) publishPlaced(a decide.Attempt) {
	p := &overlay.StreamPlaced{DecodeEngine: f.reservation.engine, KVTokens: f.x.meta.PromptTokens + f.x.expected(), PromptTokens: f.x.meta.PromptTokens, OutputReserve: f.x.outputReserve(), Owner: f.reservation.owner, Service: f.x.service.Name}
	if a == f.prefillAttempt {
		p.PrefillEngine, p.PrefillTokens = f.prefillEngine, f.x.meta.PromptTokens
	}
	f.x.r.streams.add(clock.Now(), f.x.service.Name, 1)
	f.x.r.publish(overlay.Message{Placed: p})
}

// publishStreamEnded tells the other boxes that runningEngine no longer runs the stream, and the decision core if it does
// not know. If no run has begun since the last such message, it does nothing.
func (f *flight) publishStreamEnded(coreKnows bool) {
	if f.runningEngine == "" {
		return
	}
	e := &overlay.StreamEnded{Engine: f.runningEngine, Tokens: f.tokensHeld()}
	f.runningEngine = ""
	f.x.r.publish(overlay.Message{Ended: e})
	if !coreKnows {
		f.x.r.disp.Step(decide.StreamEnded{Engine: e.Engine, At: clock.Now(), Tokens: e.Tokens})
	}
}

// Receive handles a message from another box.
func (r *Relay) Receive(msg overlay.Message) {
	switch {
	case msg.Load != nil:
		r.receiveLoad(msg.Box, msg.At, msg.Load)
	case msg.Refused != nil:
		r.disp.Step(decide.RemotePrefillRefused{Engine: msg.Refused.Engine})
	case msg.Placed != nil:
		p := msg.Placed
		r.countRemoteStreams(p.Service, 1)
		if p.PrefillEngine != "" {
			r.disp.Step(decide.RemotePlacement{Engine: p.PrefillEngine, At: msg.At, Tokens: p.PrefillTokens})
		}
		if p.Owner != r.o.Box { // Otherwise this box owns the engine and counted the stream when it granted the room.
			r.disp.Step(decide.RemotePlacement{Engine: p.DecodeEngine, At: msg.At, KV: p.KVTokens, PromptTokens: p.PromptTokens, OutputReserve: p.OutputReserve})
		}
	case msg.Ended != nil:
		r.disp.Step(decide.StreamEnded{Engine: msg.Ended.Engine, At: msg.At, Tokens: msg.Ended.Tokens})
	case msg.Timing != nil:
		r.receiveTiming(msg.Timing)
	case msg.Notice != nil:
		r.receiveNotice(msg.At, msg.Notice)
	case msg.Omitted != nil:
		r.countRemoteStreams(msg.Omitted.Service, msg.Omitted.Placed)
	case msg.Waiting != nil:
		r.remoteQueues.receive(msg.Box, *msg.Waiting, msg.At)
	case msg.Contended != nil:
		r.receiveContended(msg.Contended)
	case msg.CallerLoad != nil:
		r.callerShares.Receive(clock.Now(), msg.Box, msg.CallerLoad.PerSecond)
	}
}

// countRemoteStreams counts streams that other boxes have placed. Services that are not configured are ignored. Memory
// use is then bounded by the configuration, whatever other boxes send.
func (r *Relay) countRemoteStreams(service string, n int) {
	if c := r.cfg.Load(); c != nil && c.Services[service] != nil {
		r.streams.add(clock.Now(), service, n)
	}
}

// receiveLoad applies the load of an engine. Another box has polled the engine and published the load.
func (r *Relay) receiveLoad(box string, at time.Time, l *overlay.Load) {
	if l.Unresponsive {
		r.applySilence(l.Engine, box)
		return
	}
	load := Load{
		Role: decide.Prefill, Queued: l.Queued, Running: l.Running, KVUsed: l.KVUsed, KVTotal: l.KVTotal,
		Leaving: l.Leaving, ExecutingOrder: l.ExecutingOrder, Orders: l.Orders,
	}
	if l.Decodes {
		load.Role = decide.Decode
	}
	for _, run := range l.Runs {
		load.Runs = append(load.Runs, StreamLoad(run))
	}
	r.applyLoad(l.Engine, at, &load)
}

// publishLoad publishes the load that an engine had at a time. If the engine did not answer the poll, l is nil.
func (r *Relay) publishLoad(engine string, at time.Time, l *Load) {
	out := &overlay.Load{Engine: engine, Unresponsive: l == nil}
	if l != nil {
		out.Decodes, out.Queued, out.Running, out.KVUsed, out.KVTotal = l.Role == decide.Decode, l.Queued, l.Running, l.KVUsed, l.KVTotal
		out.Leaving, out.ExecutingOrder, out.Orders = l.Leaving, l.ExecutingOrder, l.Orders
		for _, run := range l.Runs {
			out.Runs = append(out.Runs, overlay.StreamLoad(run))
		}
	}
	r.publish(overlay.Message{At: at, Load: out})
}

// timingPublishInterval is the average interval between two timings, counted over all boxes together. Ten timings a
// second show the engines' speed within some seconds. The cost stays low in a fleet of any size.
const timingPublishInterval = 100 * time.Millisecond

// publishTiming publishes how long the engines of a pool needed for a stream. If this box published a timing recently,
// publishTiming does nothing.
func (r *Relay) publishTiming(pool string, t decide.Timing) {
	if !r.connected() || r.delaysOthers() {
		return
	}
	now, pause := clock.Now(), time.Duration(r.o.Peers.RegionSize())*timingPublishInterval
	last := r.lastTimingPublish.Load()
	if now.UnixNano()-last < int64(pause) || !r.lastTimingPublish.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	r.publish(overlay.Message{At: now, Timing: &overlay.StreamTiming{
		Pool: pool, PrefillTokens: t.PrefillTokens, PrefillTime: t.PrefillTime, FirstEventDelay: t.FirstEventDelay, Step: t.Step, Streams: int(t.Streams),
	}})
}

// Estimates returns, for each pool, the learned speed of its engines and lengths of its prompts and answers.
func (r *Relay) Estimates() []decide.Estimates { return r.disp.Estimates() }

// SetEstimates applies estimates that boxes learned and stored before this box started.
func (r *Relay) SetEstimates(l decide.Estimates) { r.disp.Step(decide.SetEstimates{Estimates: l}) }

func (r *Relay) receiveTiming(t *overlay.StreamTiming) {
	r.disp.Step(decide.RemoteTiming{Pool: t.Pool, Timing: decide.Timing{
		PrefillTokens: t.PrefillTokens, PrefillTime: t.PrefillTime, FirstEventDelay: t.FirstEventDelay, Step: t.Step, Streams: float64(t.Streams),
	}})
}

// UpdatePeers tells the decision core whether this box receives messages from other boxes. It sets this box's part of
// the retry limits, given the number of boxes and the time at which this box started. It also recomputes the paces of
// cold endpoints, and notes that this box runs. It is called each second.
func (r *Relay) UpdatePeers(l retry.Limits, boxes int, started time.Time) {
	r.disp.SetGossipConnected(r.connected())
	r.disp.SetRetryLimits(l, boxes, started)
	r.refreshColdPaces()
	r.contentions.tick(clock.Now())
	r.forgetCallerShares()
	r.plain.setRetryBudgets(func(b *retry.Budget) { b.SetBound(l, boxes, started) })
}
