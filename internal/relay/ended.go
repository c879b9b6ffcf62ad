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

// This file finds out whether an endpoint has ended under the requests that it ran. An answer that
// is broken off says nothing of that: a sound endpoint may drop a connection. So the endpoint is
// looked at some times, until one look tells: its port refuses, another start of it is there, or it
// answers as before.

// connLoss is how an endpoint broke a call off. The zero value says that it did not.
type connLoss struct {
	sent time.Time
	// unanswered says that not even the head of an answer came.
	unanswered bool
}

// connLossFrom is how a call ended that was sent at a time and got no answer.
func connLossFrom(err error, sent time.Time) connLoss {
	if reasonOf(err) != outcome.EndpointDied {
		return connLoss{}
	}
	return connLoss{sent, true}
}

// immediateLossLimit is the time in which a call breaks off that was sent to an endpoint which had ended before:
// the way there and back, over a connection that had not heard of it yet or to a proxy before it.
const immediateLossLimit = 10 * time.Millisecond

// lostCall is a request whose call to an endpoint was broken off.
type lostCall struct {
	request     string // Its id.
	caller      string
	fingerprint quarantine.Fingerprint
	ran         time.Duration // From when it was sent until the call broke off.
	sent        time.Time
	doubt       bool // The endpoint may have ended before it was sent.
}

// probeTimes are when an endpoint is looked at, counted from the first broken call. The first one comes
// after calls of the same end have broken off too; the last one after its entry has lapsed from the list.
var probeTimes = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// maxLostCalls bounds the broken calls that are kept of one endpoint: more than run on it at once.
const maxLostCalls = 256

// crashWatch watches endpoints whose calls were broken off. The zero value watches none.
type crashWatch struct {
	mu sync.Mutex
	// lostCalls are the broken calls of each endpoint that is being watched.
	lostCalls map[string][]lostCall
}

// add notes a broken call, and returns whether the endpoint is to be watched from now on.
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

// close ends the watch of an endpoint and returns its broken calls.
func (w *crashWatch) close(endpoint string) []lostCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := w.lostCalls[endpoint]
	delete(w.lostCalls, endpoint)
	return calls
}

// recordConnLoss notes how the request's call to an endpoint ended, if the endpoint broke it off.
func (x *exchange) recordConnLoss(endpoint string, b connLoss) {
	e, known := x.r.fleet.findCalled(endpoint)
	if !known || e.Leaving || b.sent.IsZero() {
		return // An endpoint that leaves ends as planned.
	}
	c := lostCall{request: x.meta.ID, caller: x.caller(), fingerprint: x.fingerprint(), ran: clock.Since(b.sent), sent: b.sent}
	c.doubt = b.unanswered && c.ran < immediateLossLimit
	if x.r.crashWatch.add(endpoint, c) {
		go x.r.watchCrash(e)
	}
}

// watchCrash looks at an endpoint until it is known whether it has ended.
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
	r.o.Book.Log.Belief("endpoint's end not known", zap.String("endpoint", e.ID), zap.Int("requests", len(r.crashWatch.close(e.ID))))
}

// probeResult is what a look at an endpoint finds.
type probeResult uint8

const (
	undecided probeResult = iota
	crashed
	alive
)

// probe finds out whether an endpoint has ended, and says by what that is known. An endpoint that is
// no engine is not asked anything, so that its port is open is believed at the last probe only.
func (r *Relay) probe(e Endpoint, last bool) (f probeResult, by string) {
	now, listed := r.fleet.endpoint(e.ID)
	if listed && now.Leaving {
		return alive, ""
	}
	if !listed && r.fleet.hasAddress(e.Address) {
		return crashed, "another start is at its address"
	}
	err := r.checkReachable(e)
	switch {
	case errors.Is(err, errRestarted):
		return crashed, "another start answers"
	case errors.Is(err, syscall.ECONNREFUSED):
		return crashed, "its port refuses"
	case err != nil && !listed:
		return crashed, "it is gone from the list and does not answer"
	case err == nil && (last || r.isEngine(e.Service)):
		return alive, ""
	}
	return undecided, ""
}

// checkReachable asks an engine for its load, and makes a connection to any other endpoint.
func (r *Relay) checkReachable(e Endpoint) error {
	if !r.isEngine(e.Service) {
		c, err := net.DialTimeout("tcp", e.Address, loadTimeout)
		if err != nil {
			return err
		}
		return c.Close()
	}
	resp, body, err := r.sidePool.Call(context.Background(), loadTimeout, sideRequest(e.ID, e.Address, r.wire.AskLoad()), maxSideAnswer)
	if err != nil {
		return err
	}
	load, err := r.wire.Load(body)
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

// isEngine tells whether the endpoints of a service are engines.
func (r *Relay) isEngine(service string) bool {
	c := r.cfg.Load()
	return c != nil && c.Services[service] != nil && c.Services[service].Engines != nil
}

// reportCrash takes that an endpoint has ended under requests.
func (r *Relay) reportCrash(e Endpoint, by string, calls []lostCall) {
	r.m.EndedUnder.Add(len(calls))
	for _, c := range calls {
		r.o.Ends.Ended(quarantine.End{Request: c.fingerprint, Endpoint: e.ID, Caller: quarantine.Tag(c.caller), Ran: c.ran, Sent: c.sent, Doubt: c.doubt, Try: quarantine.Tag(c.request)})
		r.o.Book.Log.Belief("endpoint ended under a request", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("id", c.request), zap.Stringer("fingerprint", c.fingerprint), zap.String("caller", quarantine.Tag(c.caller)),
			zap.Duration("ran", c.ran), zap.Bool("doubt", c.doubt), zap.String("known_by", by))
	}
}

// caller names who calls, for the bound of what is kept of one caller: the client account or, where
// there is none, the host of the connection.
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
