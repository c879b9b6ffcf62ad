package relay

import (
	"context"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/pacing"
	"github.com/stoatramp/stoatramp/internal/quarantine"
	"github.com/stoatramp/stoatramp/internal/record"
)

// This file quarantines requests: a request is not sent to any endpoint if equal requests, or requests with the same part
// in their prompts, have crashed endpoints (package quarantine).

const (
	// lastingRun is how long a run must have written to show that no part of its prompt crashes endpoints. Such a part
	// crashes an endpoint when a run begins to write.
	lastingRun = time.Second
	// outliveTime is how long an endpoint must go on after a complete answer to show the same. A short answer may be
	// complete just before its endpoint crashes.
	outliveTime = 500 * time.Millisecond
)

// quarantined reports whether the request must not be sent to an endpoint, because equal requests, or requests with the
// same part, have crashed endpoints. The outcome is then that of the request. quarantined or awaitVerdict must be called
// before each call to an endpoint.
func (x *exchange) quarantined() (o outcome.Outcome, quarantined bool) {
	detail, quarantined := x.quarantineDetail()
	if !quarantined {
		return o, false
	}
	o = outcome.Refuse(outcome.CrashesEndpoints, detail)
	if x.ran {
		o.Kind = outcome.MayHaveRun
	}
	if x.begun {
		o.Kind = outcome.CutOff
	}
	return o, true
}

// quarantineDetail returns what the request is quarantined for.
func (x *exchange) quarantineDetail() (detail string, quarantined bool) {
	if v := x.r.o.Crashes.CheckParts(x.meta.Parts, x.accountTag); v != nil && v.State == quarantine.Quarantined && !x.isTrial(v) {
		return "part " + v.Part.String() + " of its prompt, " + v.String(), true
	}
	if x.r.o.Crashes.Empty() {
		return "", false
	}
	v := x.r.o.Crashes.Check(x.fingerprints()...)
	return "fingerprint " + x.fingerprint().String() + ", " + v.String(), v.Quarantined
}

// isTrial reports whether the request is sent to an endpoint although a part of its prompt is quarantined, to find out whether
// the part was blamed wrongly. It starts such a trial if one is due and this box is to make it.
func (x *exchange) isTrial(v *quarantine.PartVerdict) bool {
	if x.trialPart == v.Part {
		return true
	}
	n := x.r.o.Crashes.TrialBoxes(v.Part, x.meta.Parts)
	if n == 0 {
		return false
	}
	if !x.mayMakeTrial(v.Part, n) || !x.r.o.Crashes.StartTrial(v.Part) {
		return false
	}
	x.trialPart = v.Part
	x.r.m.PartTrials.Inc()
	x.trace.Step(record.Step{Kind: record.StepTrial, Text: "part " + v.Part.String() + ", " + v.String()})
	return true
}

// mayMakeTrial reports whether this box is one of the n that may make a trial. A box that sees no other box is not the only one
// for that: boxes that are not connected still share the table of crashes.
func (x *exchange) mayMakeTrial(p quarantine.Part, n int) bool {
	boxes, _ := x.r.boxes(x.region)
	if len(boxes) <= 1 {
		return x.r.o.Crashes.IsTrialBox(p, n)
	}
	return pacing.Selected(x.r.o.Box, boxes, p.String(), n)
}

// awaitVerdict is like quarantined. If a part of the prompt is suspected, it waits first until the part is quarantined or
// released, or until ctx ends.
func (x *exchange) awaitVerdict(ctx context.Context) (o outcome.Outcome, quarantined bool) {
	for waited := false; ; waited = true {
		v := x.r.o.Crashes.CheckParts(x.meta.Parts, x.accountTag)
		if v == nil || v.State != quarantine.Suspected {
			return x.quarantined()
		}
		if !waited {
			x.r.m.SuspectedParts.Inc()
			x.trace.Step(record.Step{Kind: record.StepSuspected, Text: "part " + v.Part.String() + ", " + v.String()})
		}
		changed := x.r.o.Crashes.PartsChanged()
		if x.r.o.Crashes.CheckParts(x.meta.Parts, x.accountTag) != v {
			continue // The verdict changed before changed was taken.
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return o, false
		}
	}
}

// accountTag identifies the client account in the table of crashes. It is empty for a request without an account.
func (x *exchange) accountTag() string {
	if x.account == nil {
		return ""
	}
	return quarantine.Tag(x.account.Name)
}

// recordRunEnd records the end of a run whose connection was not lost. If the answer was complete and the endpoint still runs
// after outliveTime, the parts of the prompt are cleared. If the endpoint crashes in that time, they are suspected.
func (x *exchange) recordRunEnd(endpoint string, sent time.Time, complete bool) {
	if len(x.meta.Parts) == 0 || x.runLasted {
		return
	}
	c := x.lostCall(sent)
	c.runEnded = true
	if !x.r.crashWatch.addEnded(endpoint, c) {
		return
	}
	ended := clock.Now()
	time.AfterFunc(outliveTime, func() {
		if x.r.crashWatch.removeEnded(endpoint, c.request) && complete && x.r.stillRuns(endpoint, ended) {
			x.r.o.Crashes.RecordLasted(c.parts)
		}
	})
}

// stillRuns reports whether the start of an endpoint that answered before the time t still runs. That this box has lost no call
// there does not show it, since it may have had none. A connection that is open shows it; else the endpoint is asked.
func (r *Relay) stillRuns(endpoint string, t time.Time) bool {
	e, known := r.fleet.findCalled(endpoint)
	if !known {
		return false
	}
	if r.callerPool.HasAnsweredBefore(e.Address, t) || r.controlPool.HasAnsweredBefore(e.Address, t) {
		return true
	}
	q := r.queryStart(e.Address)
	<-q.done // Within endCheckTimeout.
	return q.answered && (q.started == 0 || e.Started == 0 || q.started == e.Started)
}

// openRun is a run of a flight's stream that an engine may be executing.
type openRun struct {
	engine string // Empty if there is no such run.
	sent   time.Time
	began  time.Time // When the run began to write; zero before that.
}

// observeRun records that the open run goes on writing. After lastingRun, the parts of the prompt are cleared.
func (f *flight) observeRun(now time.Time) {
	switch {
	case f.x.runLasted || f.run.engine == "":
	case f.run.began.IsZero():
		f.run.began = now
	case now.Sub(f.run.began) >= lastingRun:
		f.x.runLasted = true
		f.x.r.o.Crashes.RecordLasted(f.x.meta.Parts)
	}
}

// startRun records that the stream is sent to an engine.
func (f *flight) startRun(engine string) {
	f.run, f.x.runLasted = openRun{engine: engine, sent: clock.Now()}, false
	f.stopRequests.beginRun(engine)
}

// endRun records that the open run has ended, but not because its connection was lost.
func (f *flight) endRun(complete bool) {
	if f.run.engine != "" {
		f.x.recordRunEnd(f.run.engine, f.run.sent, complete)
		f.run = openRun{}
	}
}

// endIfQuarantined returns the outcome of a stream that was quarantined before its answer began. A running answer goes on:
// its engine has got the request already.
func (f *flight) endIfQuarantined() (o outcome.Outcome, end bool) {
	if f.x.begun || f.migration != nil {
		return o, false
	}
	if o, end = f.x.quarantined(); end && f.decodeAttempt != 0 {
		o.Kind = outcome.MayHaveRun
	}
	return o, end
}

// suspected reports whether an equal request is known to have crashed an endpoint. The evidence may not suffice for a
// quarantine.
func (x *exchange) suspected() bool {
	return !x.r.o.Crashes.Empty() && len(x.r.o.Crashes.Check(x.fingerprints()...).Crashes) > 0
}

// maxRememberedBody is the longest body, in bytes, of an answered request that is recorded while the list of crashes is
// empty. Recording needs the fingerprint of the request, which costs 1 ns for each byte of the body.
const maxRememberedBody = 64 << 10

// recordServed records that an endpoint answered the request completely without crashing.
func (x *exchange) recordServed() {
	if len(x.body) <= maxRememberedBody || !x.r.o.Crashes.Empty() {
		x.r.o.Crashes.RecordServed(x.fingerprint())
	}
}

// fingerprint returns the request's fingerprint, under the present name of its account.
func (x *exchange) fingerprint() quarantine.Fingerprint { return x.fingerprints()[0] }

// fingerprints returns the fingerprints that the request has, and has had under former names of its account: a request that crashes
// endpoints stays the same request when its account is renamed. They are computed on first use, because most requests never need
// them.
func (x *exchange) fingerprints() []quarantine.Fingerprint {
	if x.cachedFingerprints == nil {
		for _, name := range x.accountNames() {
			id := quarantine.Identity{
				Method: x.req.Method, Host: strings.ToLower(hostOnly(x.req.Host)),
				Target: x.req.RequestURI, Model: x.meta.Model, Body: x.body, Account: name,
			}
			x.cachedFingerprints = append(x.cachedFingerprints, id.Fingerprint())
		}
	}
	return x.cachedFingerprints
}
