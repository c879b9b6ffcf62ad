package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/quarantine"
)

// This file finds out whether an endpoint crashed while it ran requests. A lost connection alone is no proof, because a
// healthy endpoint may also close a connection. So the endpoint is probed a few times. A probe shows a crash if the
// endpoint's port refuses connections, which another box must find too, or if another process has taken its place. An
// answer is a sign of life, also one through another box. The probes end with the first such result.

// connLoss describes a call whose connection the endpoint closed. The zero value means that the endpoint did not close
// the connection.
type connLoss struct {
	sent time.Time // When the call was sent.
	// unanswered is set if not even the header of an answer was received.
	unanswered bool
}

// connLossFrom returns the connLoss of a call that got no answer. err is the error of the call.
func connLossFrom(err error) connLoss {
	var failed *h1.Error
	if reasonOf(err) != outcome.EndpointLost || !errors.As(err, &failed) || errors.Is(err, h1.ErrSilent) {
		return connLoss{}
	}
	return connLoss{failed.SentAt, true}
}

// lossInAnswer returns the loss of a connection while the answer was read.
func lossInAnswer(sent time.Time, err error) connLoss {
	if errors.Is(err, h1.ErrSilent) {
		return connLoss{} // The box has ended the call.
	}
	return connLoss{sent: sent}
}

// immediateLossLimit is the time within which a call fails if its endpoint had crashed before the call was sent. Such a
// failure needs one round trip. The close of the connection was then not received yet, or a proxy stands in front of
// the endpoint.
const immediateLossLimit = 10 * time.Millisecond

// lostCall is a request whose call to an endpoint lost its connection.
type lostCall struct {
	request     string // The id of the request.
	caller      string // The client account or host of the caller.
	fingerprint quarantine.Fingerprint
	parts       []quarantine.Part // The parts of the prompt that other prompts may share.
	runTime     time.Duration     // From the sending of the call until the connection was lost.
	sent        time.Time         // When the call was sent.
	doubtful    bool              // The endpoint may have crashed before the call was sent.
	// runEnded means that the run had ended shortly before a call was lost. The call itself was not lost.
	runEnded bool
	// account is the Tag of the client account; empty if the request has none.
	account string
}

// probeTimes are the delays of the probes after the first lost call. The first probe comes late enough for the same
// crash to break other calls too. The last probe comes after the endpoint has expired from the list of endpoints.
var probeTimes = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// maxLostCalls bounds the lost calls recorded for one endpoint. No endpoint runs so many calls at the same time.
const maxLostCalls = 256

// crashWatch records endpoints that are being probed after lost calls. The zero value is ready to use.
type crashWatch struct {
	mu sync.Mutex
	// lostCalls are the lost calls of each endpoint that is being probed.
	lostCalls map[string][]lostCall
	// ended are the runs that ended at an endpoint within outliveTime.
	ended map[string][]lostCall
}

// add records a lost call. If the endpoint is not being probed yet, first is set. The caller of add must then probe the
// endpoint.
func (w *crashWatch) add(endpoint string, c lostCall) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lostCalls == nil {
		w.lostCalls = map[string][]lostCall{}
	}
	_, watched := w.lostCalls[endpoint]
	if !watched {
		w.lostCalls[endpoint] = w.ended[endpoint]
		delete(w.ended, endpoint)
	}
	if len(w.lostCalls[endpoint]) < maxLostCalls {
		w.lostCalls[endpoint] = append(w.lostCalls[endpoint], c)
	}
	return !watched
}

// addEnded records a run that has ended without a lost connection. It returns false if the endpoint is being probed, or if
// too many runs have ended there.
func (w *crashWatch) addEnded(endpoint string, c lostCall) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, watched := w.lostCalls[endpoint]; watched || len(w.ended[endpoint]) >= maxLostCalls {
		return false
	}
	if w.ended == nil {
		w.ended = map[string][]lostCall{}
	}
	w.ended[endpoint] = append(w.ended[endpoint], c)
	return true
}

// removeEnded forgets a run that has ended at an endpoint. It returns false if a call was lost there meanwhile.
func (w *crashWatch) removeEnded(endpoint, request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.ended[endpoint]
	n := slices.IndexFunc(list, func(c lostCall) bool { return c.request == request })
	if n < 0 {
		return false
	}
	if w.ended[endpoint] = slices.Delete(list, n, n+1); len(list) == 1 {
		delete(w.ended, endpoint)
	}
	return true
}

// close ends the probing of an endpoint, and returns the lost calls that were recorded for the endpoint.
func (w *crashWatch) close(endpoint string) []lostCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := w.lostCalls[endpoint]
	delete(w.lostCalls, endpoint)
	return calls
}

// recordConnLoss records that an endpoint closed the connection of the request's call. It then starts to probe the
// endpoint. If the connection was not lost, or if the endpoint is leaving, it does nothing.
func (x *exchange) recordConnLoss(endpoint string, loss connLoss) {
	e, known := x.r.fleet.findCalled(endpoint)
	if !known || e.Leaving || loss.sent.IsZero() {
		return // An endpoint that is leaving stops as planned.
	}
	x.trialPart = quarantine.Part{}
	c := x.lostCall(loss.sent)
	if x.runLasted {
		c.parts = nil
	}
	c.doubtful = loss.unanswered && c.runTime < immediateLossLimit
	if x.r.crashWatch.add(endpoint, c) {
		go x.r.watchCrash(e)
	}
}

// lostCall returns a lost call of the request that was sent at a time.
func (x *exchange) lostCall(sent time.Time) lostCall {
	return lostCall{
		request: x.meta.ID, caller: x.caller(), account: x.accountTag(), fingerprint: x.fingerprint(), parts: x.meta.Parts,
		runTime: clock.Since(sent), sent: sent,
	}
}

// watchCrash probes an endpoint until a probe shows whether the endpoint crashed, or until the last probe. It reports a
// crash.
func (r *Relay) watchCrash(e Endpoint) {
	began := clock.Now()
	for n, at := range probeTimes {
		time.Sleep(clock.Until(began.Add(at)))
		switch found, evidence := r.probe(e, n == len(probeTimes)-1); found {
		case crashed:
			r.reportCrash(e, evidence, r.crashWatch.close(e.ID))
			return
		case alive:
			r.crashWatch.close(e.ID)
			return
		case undecided:
		}
	}
	r.o.Recorder.Log.StateChange("endpoint crash unconfirmed", zap.String("endpoint", e.ID), zap.Int("requests", len(r.crashWatch.close(e.ID))))
}

// probeResult is the result of probing an endpoint.
type probeResult uint8

const (
	undecided probeResult = iota
	crashed
	alive
)

// probe finds out whether an endpoint has crashed. evidence says how a crash is known. Plain endpoints cannot be asked
// for a load. Only the last probe therefore accepts the open port of a plain endpoint as a sign of life.
func (r *Relay) probe(e Endpoint, last bool) (f probeResult, evidence string) {
	now, listed := r.fleet.endpoint(e.ID)
	if listed && now.Leaving {
		return alive, ""
	}
	if !listed && r.HasEndpointAt(e.Address) {
		return crashed, "another instance is listed at its address"
	}
	err := r.checkReachable(e)
	switch {
	case errors.Is(err, errRestarted):
		return crashed, "another instance answers at its address"
	case err != nil && r.pathBroke(e.Address, "", err):
		return undecided, ""
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed, "its port refuses connections"
	case err != nil && !listed:
		return crashed, "it was removed from the list and does not answer"
	case err == nil && (last || r.isEngine(e.Service)):
		return alive, ""
	}
	return undecided, ""
}

// checkReachable asks an engine for its load, or opens a connection to an endpoint of a plain service.
func (r *Relay) checkReachable(e Endpoint) error {
	if !r.isEngine(e.Service) {
		ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
		defer cancel()
		_, err := r.paths.Verify(ctx, e.Address)
		return err
	}
	resp, body, err := r.controlPool.DoShort(context.Background(), loadTimeout, controlRequest(e.ID, e.Address, r.protocol.LoadCall()), maxControlAnswer)
	if err != nil {
		return err
	}
	load, err := r.protocol.ParseLoad(body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return errors.New(resp.Status)
	case err != nil:
		return err
	case load.Started > e.Started:
		return errRestarted
	}
	return nil
}

// isEngine reports whether the endpoints of a service are engines.
func (r *Relay) isEngine(service string) bool {
	c := r.cfg.Load()
	return c != nil && c.Services[service] != nil && c.Services[service].Engines != nil
}

// reportCrash records and logs that an endpoint crashed while it ran the requests of calls.
func (r *Relay) reportCrash(e Endpoint, evidence string, calls []lostCall) {
	for _, c := range calls {
		r.o.Crashes.RecordCrash(quarantine.Crash{
			Request: c.fingerprint, Endpoint: e.ID, Caller: quarantine.Tag(c.caller), RunTime: c.runTime, SentAt: c.sent, Doubtful: c.doubtful,
			Try: quarantine.Tag(c.request), Parts: c.parts, Account: c.account, RunEnded: c.runEnded,
		})
		if !c.runEnded {
			r.m.SuspectedCrashes.Inc()
		}
		r.o.Recorder.Log.StateChange("endpoint crashed under a request", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("id", c.request), zap.Stringer("fingerprint", c.fingerprint), zap.Stringers("parts", c.parts), zap.String("caller", quarantine.Tag(c.caller)),
			zap.Duration("ran", c.runTime), zap.Bool("doubt", c.doubtful), zap.Bool("run_ended", c.runEnded), zap.String("known_by", evidence))
	}
}

// caller identifies the caller by its client account. Without an account, it returns the host of the caller's
// connection. What the box stores is bounded for each caller.
func (x *exchange) caller() string {
	if x.account != nil {
		return x.account.Name
	}
	host, _, err := net.SplitHostPort(x.req.RemoteAddr)
	if err != nil {
		return x.req.RemoteAddr
	}
	return host
}
