package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/quarantine"
)

// This file finds out whether an endpoint crashed while it ran requests. A lost connection alone is no proof: a
// healthy endpoint may drop one. So the endpoint is probed a few times until a probe decides: its port refuses
// connections, another start of it has taken its place, or it still answers.

// connLoss describes a call whose connection the endpoint closed. The zero value means that it did not.
type connLoss struct {
	sent time.Time
	// unanswered is set if not even the header of an answer was received.
	unanswered bool
}

// connLossFrom classifies the error of a call that was sent at a time and got no answer.
func connLossFrom(err error, sent time.Time) connLoss {
	if reasonOf(err) != outcome.EndpointLost {
		return connLoss{}
	}
	return connLoss{sent, true}
}

// immediateLossLimit is the time within which a call fails whose endpoint had crashed before the call was sent: one
// round trip on a connection whose close was not received yet, or through a proxy in front of the endpoint.
const immediateLossLimit = 10 * time.Millisecond

// lostCall is a request whose call to an endpoint lost its connection.
type lostCall struct {
	request     string // Its id.
	caller      string
	fingerprint quarantine.Fingerprint
	runTime     time.Duration // From sending until the connection was lost.
	sent        time.Time
	doubtful    bool // The endpoint may have crashed before the call was sent.
}

// probeTimes are the times of the probes, counted from the first lost call. The first is late enough for other
// calls to be lost by the same crash; the last is after the endpoint's entry has expired from the list.
var probeTimes = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// maxLostCalls bounds the lost calls recorded for one endpoint; it is more than run there at once.
const maxLostCalls = 256

// crashWatch records endpoints that are being probed after lost calls. The zero value is ready to use.
type crashWatch struct {
	mu sync.Mutex
	// lostCalls are the lost calls of each endpoint that is being probed.
	lostCalls map[string][]lostCall
}

// add records a lost call, and reports whether the caller must start probing the endpoint.
func (w *crashWatch) add(endpoint string, c lostCall) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lostCalls == nil {
		w.lostCalls = map[string][]lostCall{}
	}
	_, watched := w.lostCalls[endpoint]
	if len(w.lostCalls[endpoint]) < maxLostCalls {
		w.lostCalls[endpoint] = append(w.lostCalls[endpoint], c)
	}
	return !watched
}

// close stops watching an endpoint and returns its lost calls.
func (w *crashWatch) close(endpoint string) []lostCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := w.lostCalls[endpoint]
	delete(w.lostCalls, endpoint)
	return calls
}

// recordConnLoss records the end of the request's call to an endpoint, if the endpoint closed the connection.
func (x *exchange) recordConnLoss(endpoint string, b connLoss) {
	e, known := x.r.fleet.findCalled(endpoint)
	if !known || e.Leaving || b.sent.IsZero() {
		return // An endpoint that leaves stops as planned.
	}
	c := lostCall{request: x.meta.ID, caller: x.caller(), fingerprint: x.fingerprint(), runTime: clock.Since(b.sent), sent: b.sent}
	c.doubtful = b.unanswered && c.runTime < immediateLossLimit
	if x.r.crashWatch.add(endpoint, c) {
		go x.r.watchCrash(e)
	}
}

// watchCrash probes an endpoint until it is known whether it crashed.
func (r *Relay) watchCrash(e Endpoint) {
	began := clock.Now()
	for n, at := range probeTimes {
		time.Sleep(clock.Until(began.Add(at)))
		switch found, by := r.probe(e, n == len(probeTimes)-1); found {
		case crashed:
			r.reportCrash(e, by, r.crashWatch.close(e.ID))
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

// probe finds out whether an endpoint has crashed, and says how that is known. An endpoint that is no engine has no
// load to report, so an open port counts as a sign of life at the last probe only.
func (r *Relay) probe(e Endpoint, last bool) (f probeResult, by string) {
	now, listed := r.fleet.endpoint(e.ID)
	if listed && now.Leaving {
		return alive, ""
	}
	if !listed && r.fleet.hasAddress(e.Address) {
		return crashed, "another instance is listed at its address"
	}
	err := r.checkReachable(e)
	switch {
	case errors.Is(err, errRestarted):
		return crashed, "another instance answers at its address"
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed, "its port refuses connections"
	case err != nil && !listed:
		return crashed, "it was removed from the list and does not answer"
	case err == nil && (last || r.isEngine(e.Service)):
		return alive, ""
	}
	return undecided, ""
}

// checkReachable polls an engine for its load, or opens a connection to any other endpoint.
func (r *Relay) checkReachable(e Endpoint) error {
	if !r.isEngine(e.Service) {
		c, err := net.DialTimeout("tcp", e.Address, loadTimeout)
		if err != nil {
			return err
		}
		return c.Close()
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

// reportCrash records that an endpoint crashed while it ran requests.
func (r *Relay) reportCrash(e Endpoint, by string, calls []lostCall) {
	r.m.SuspectedCrashes.Add(len(calls))
	for _, c := range calls {
		r.o.Crashes.RecordCrash(quarantine.Crash{Request: c.fingerprint, Endpoint: e.ID, Caller: quarantine.Tag(c.caller), RunTime: c.runTime, SentAt: c.sent, Doubtful: c.doubtful, Try: quarantine.Tag(c.request)})
		r.o.Recorder.Log.StateChange("endpoint crashed under a request", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("id", c.request), zap.Stringer("fingerprint", c.fingerprint), zap.String("caller", quarantine.Tag(c.caller)),
			zap.Duration("ran", c.runTime), zap.Bool("doubt", c.doubtful), zap.String("known_by", by))
	}
}

// caller identifies the caller, to bound what is stored for each: the client account or, without one, the host of
// the connection.
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
