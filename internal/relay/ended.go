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

// brokenOff is how an endpoint broke a call off. The zero value says that it did not.
type brokenOff struct {
	sent time.Time
	// unanswered says that not even the head of an answer came.
	unanswered bool
}

// brokenBy is how a call ended that was sent at a time and got no answer.
func brokenBy(err error, sent time.Time) brokenOff {
	if reasonOf(err) != outcome.EndpointDied {
		return brokenOff{}
	}
	return brokenOff{sent, true}
}

// atOnce is the time in which a call breaks off that was sent to an endpoint which had ended before:
// the way there and back, over a connection that had not heard of it yet or to a proxy before it.
const atOnce = 10 * time.Millisecond

// brokenCall is a request whose call to an endpoint was broken off.
type brokenCall struct {
	request string // Its id.
	caller  string
	print   quarantine.Fingerprint
	ran     time.Duration // From when it was sent until the call broke off.
	sent    time.Time
	doubt   bool // The endpoint may have ended before it was sent.
}

// looks are when an endpoint is looked at, counted from the first broken call. The first one comes
// after calls of the same end have broken off too; the last one after its entry has lapsed from the list.
var looks = []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second}

// mostOpen bounds the broken calls that are kept of one endpoint: more than run on it at once.
const mostOpen = 256

// endings watches endpoints whose calls were broken off. The zero value watches none.
type endings struct {
	mu sync.Mutex
	// open are the broken calls of each endpoint that is being watched.
	open map[string][]brokenCall
}

// add notes a broken call, and returns whether the endpoint is to be watched from now on.
func (w *endings) add(endpoint string, c brokenCall) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.open == nil {
		w.open = map[string][]brokenCall{}
	}
	_, watched := w.open[endpoint]
	if len(w.open[endpoint]) < mostOpen {
		w.open[endpoint] = append(w.open[endpoint], c)
	}
	return !watched
}

// close ends the watch of an endpoint and returns its broken calls.
func (w *endings) close(endpoint string) []brokenCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	calls := w.open[endpoint]
	delete(w.open, endpoint)
	return calls
}

// brokeOff notes how the request's call to an endpoint ended, if the endpoint broke it off.
func (x *exchange) brokeOff(endpoint string, b brokenOff) {
	e, known := x.r.fleet.called(endpoint)
	if !known || e.Leaving || b.sent.IsZero() {
		return // An endpoint that leaves ends as planned.
	}
	c := brokenCall{request: x.ask.ID, caller: x.caller(), print: x.fingerprint(), ran: clock.Since(b.sent), sent: b.sent}
	c.doubt = b.unanswered && c.ran < atOnce
	if x.r.endings.add(endpoint, c) {
		go x.r.watchEnd(e)
	}
}

// watchEnd looks at an endpoint until it is known whether it has ended.
func (r *Relay) watchEnd(e Endpoint) {
	began := clock.Now()
	for n, at := range looks {
		time.Sleep(clock.Until(began.Add(at)))
		switch found, by := r.look(e, n == len(looks)-1); found {
		case ended:
			r.endedUnder(e, by, r.endings.close(e.ID))
			return
		case alive:
			r.endings.close(e.ID)
			return
		case undecided:
		}
	}
	r.o.Book.Log.Belief("endpoint's end not known", zap.String("endpoint", e.ID), zap.Int("requests", len(r.endings.close(e.ID))))
}

// finding is what a look at an endpoint finds.
type finding uint8

const (
	undecided finding = iota
	ended
	alive
)

// look finds out whether an endpoint has ended, and says by what that is known. An endpoint that is
// no engine is not asked anything, so that its port is open is believed at the last look only.
func (r *Relay) look(e Endpoint, last bool) (f finding, by string) {
	now, listed := r.fleet.endpoint(e.ID)
	if listed && now.Leaving {
		return alive, ""
	}
	if !listed && r.fleet.at(e.Address) {
		return ended, "another start is at its address"
	}
	err := r.reach(e)
	switch {
	case errors.Is(err, errOther):
		return ended, "another start answers"
	case errors.Is(err, syscall.ECONNREFUSED):
		return ended, "its port refuses"
	case err != nil && !listed:
		return ended, "it is gone from the list and does not answer"
	case err == nil && (last || r.isEngine(e.Service)):
		return alive, ""
	}
	return undecided, ""
}

// reach asks an engine for its load, and makes a connection to any other endpoint.
func (r *Relay) reach(e Endpoint) error {
	if !r.isEngine(e.Service) {
		c, err := net.DialTimeout("tcp", e.Address, loadLimit)
		if err != nil {
			return err
		}
		return c.Close()
	}
	resp, body, err := r.side.Call(context.Background(), loadLimit, sideRequest(e.ID, e.Address, r.wire.AskLoad()), sideAnswer)
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
		return errOther
	}
	return nil
}

// isEngine tells whether the endpoints of a service are engines.
func (r *Relay) isEngine(service string) bool {
	c := r.cfg.Load()
	return c != nil && c.Services[service] != nil && c.Services[service].Engines != nil
}

// endedUnder takes that an endpoint has ended under requests.
func (r *Relay) endedUnder(e Endpoint, by string, calls []brokenCall) {
	r.m.EndedUnder.Add(len(calls))
	for _, c := range calls {
		r.o.Ends.Ended(quarantine.End{Request: c.print, Endpoint: e.ID, Caller: quarantine.Tag(c.caller), Ran: c.ran, Sent: c.sent, Doubt: c.doubt, Try: quarantine.Tag(c.request)})
		r.o.Book.Log.Belief("endpoint ended under a request", zap.String("endpoint", e.ID), zap.String("service", e.Service),
			zap.String("id", c.request), zap.Stringer("fingerprint", c.print), zap.String("caller", quarantine.Tag(c.caller)),
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
