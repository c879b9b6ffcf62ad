package relay

import (
	"net/http"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file passes the answers of engines on to the caller of a stream.

// beginAnswer handles the beginning of the answer to a call. If the decision core has given the call up, nothing of
// this answer is passed on. The caller gets the header of the first answer only. When a stream is resumed at another
// engine, the header of the second answer is dropped. beginAnswer also frees the flight's memory reservation.
func (f *flight) beginAnswer(ev flightEvent) (outcome.Outcome, bool) {
	if !f.migration.is(ev.attempt) && !f.x.r.disp.AcceptFirstToken(decide.FirstToken{
		ID: f.id, Attempt: ev.attempt, Tokens: ev.head.part.events * f.x.service.Engines.TokensPerEvent,
	}) {
		f.abandonedAttempt = ev.attempt
		f.freeEvent(ev)
		return outcome.Outcome{}, false
	}
	if f.firstEventAt.IsZero() {
		f.beganBuild.Store(f.x.r.fleet.buildOf(f.decodeEngine))
		f.firstEventAt = clock.Now()
		f.x.rec.FirstToken = f.firstEventAt.Sub(f.x.arrived)
		f.x.r.m.FirstToken.Update(f.x.rec.FirstToken.Seconds())
	}
	f.publishOrigin(f.decodeEngine, ev.attempt)
	f.source = Source{} // The engine that answers has consumed the result of the prefill, so nothing is left to free.
	f.freeReservation()
	if f.migration.is(ev.attempt) {
		f.finishMigration()
		f.runningEngine = f.decodeEngine
		f.x.countFraming(ev.head.framing)
		return f.passEvents(&ev.head.part)
	}
	f.runningEngine = f.decodeEngine
	f.x.trace.Step(record.Step{Kind: record.StepFirstToken, Decode: f.decodeEngine, Build: f.x.r.fleet.buildOf(f.decodeEngine)})
	if f.x.begun {
		f.x.countFraming(ev.head.framing)
	} else {
		f.x.copyHead(ev.head.header)
		f.x.setFraming(ev.head.framing)
		f.x.writeStatus(http.StatusOK)
	}
	return f.passEvents(&ev.head.part)
}

// tokensSent is the number of tokens that were sent to the caller. Each event counts as TokensPerEvent tokens, which the
// last event of an answer may lack.
func (f *flight) tokensSent() int { return f.eventsSent * f.x.service.Engines.TokensPerEvent }

// tokensHeld is the KV cache, in tokens, that a run of the stream uses at this point.
func (f *flight) tokensHeld() int { return f.x.meta.PromptTokens + f.tokensSent() }

// passEvents sends events to the caller, and releases the memory of this box that was reserved for the events. If the
// events cannot be sent, it returns the outcome of the request and true.
func (f *flight) passEvents(p *part) (outcome.Outcome, bool) {
	if len(p.bytes) == 0 {
		return outcome.Outcome{}, false
	}
	now := clock.Now()
	if !f.lastEventAt.IsZero() {
		gap := now.Sub(f.lastEventAt)
		f.x.r.m.BetweenTokens.Update(gap.Seconds())
		f.x.rec.LongestGap = max(f.x.rec.LongestGap, gap)
	}
	f.lastEventAt = now
	f.observeRun(now)
	if p.lastID != "" {
		f.lastID = p.lastID
	}
	f.eventsSent += p.events
	f.x.rec.Output = f.tokensSent()
	_, err := callerWriter{f.x}.Write(p.bytes)
	f.x.r.memory.release(p.reservedBytes)
	if err == nil && len(f.events) == 0 {
		err = http.NewResponseController(f.x.w).Flush()
	}
	if err != nil {
		return writeErrorOutcome(err), true
	}
	return outcome.Outcome{}, false
}

// passErrorAnswer sends an engine's own error answer to the caller, and returns the outcome of the request. If another
// answer has already begun, nothing is sent and the request is cut off.
func (f *flight) passErrorAnswer(p *errorAnswer) outcome.Outcome {
	if f.x.begun {
		return outcome.Outcome{Kind: outcome.CutOff, Reason: outcome.EndpointLost, Detail: "the engine answered " + p.resp.Status}
	}
	f.x.copyHead(p.resp.Header)
	f.x.setFraming(h1.FramingOf(p.resp))
	f.x.writeStatus(p.resp.StatusCode)
	_, _ = f.x.w.Write(p.body)
	return outcome.Outcome{Kind: outcome.Answered}
}
