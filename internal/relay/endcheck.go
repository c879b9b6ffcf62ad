package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/h1"
)

// This file finds out whether an answer without a length is complete. Such an answer ends with its connection, and the
// operating system closes the connections of a crashed endpoint too. For some time its port and its other connections may
// still be open. So only an answer of the same start of the endpoint to a request that was sent after the close counts. An
// endpoint that leaves gets no exception, because what it still runs when it ends is broken off.

const (
	// endCheckTimeout bounds the check. The end of the caller's answer waits for it.
	endCheckTimeout = 2 * time.Second
	// endQueryPause is the pause between two requests of a check.
	endQueryPause = 50 * time.Millisecond
)

// endChecks has the checks that go on. Answers of one endpoint that end at the same time share a request.
type endChecks struct {
	mu        sync.Mutex
	endpoints map[string]*endpointCheck // By address. An endpoint has an entry while a request to it is in progress.
}

// endpointCheck has the requests to one endpoint. Only one is in progress at a time.
type endpointCheck struct {
	next *startQuery // The request that is sent next; nil if no answer waits for it.
}

// startQuery is a request that shows whether an endpoint runs, and which start of it.
type startQuery struct {
	done     chan struct{} // Closed when the result is known.
	sent     time.Time     // When the request was sent first.
	answered bool
	started  int64 // As in Load.
}

// endCheck returns a function that reports whether an endpoint's close of a connection was the end of its answer. endCheck
// is called when the head of the answer arrives.
func (r *Relay) endCheck(addr string) func(ctx context.Context) bool {
	atHead, _ := r.fleet.at(addr)
	return func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
		defer cancel()
		q := r.queryStart(addr)
		select {
		case <-q.done:
			if q.answered && (q.started == 0 || atHead.started == 0 || q.started == atHead.started) {
				return true
			}
		case <-ctx.Done():
		}
		r.m.UnconfirmedEnds.Inc()
		return false
	}
}

// queryStart returns a request to the endpoint that is sent from now on.
func (r *Relay) queryStart(addr string) *startQuery {
	r.endChecks.mu.Lock()
	defer r.endChecks.mu.Unlock()
	c := r.endChecks.endpoints[addr]
	if c == nil {
		c = &endpointCheck{}
		r.endChecks.endpoints[addr] = c
		go r.runEndChecks(addr, c)
	}
	if c.next == nil {
		c.next = &startQuery{done: make(chan struct{})}
	}
	return c.next
}

// runEndChecks sends requests to an endpoint for as long as answers wait for them.
func (r *Relay) runEndChecks(addr string, c *endpointCheck) {
	for {
		r.endChecks.mu.Lock()
		q := c.next
		c.next = nil
		if q == nil {
			delete(r.endChecks.endpoints, addr)
			r.endChecks.mu.Unlock()
			return
		}
		r.endChecks.mu.Unlock()
		q.sent = clock.Now()
		q.started, q.answered = r.askStart(addr)
		close(q.done)
	}
}

// askStart asks an endpoint for its load until it answers, at most for endCheckTimeout. The head of any answer shows that
// it runs; started is 0 if the answer does not say since when. A refused connection shows that it does not run.
func (r *Relay) askStart(addr string) (started int64, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	for {
		started, err := r.queryLoadStart(ctx, addr)
		if err == nil {
			return started, true
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return 0, false
		}
		select {
		case <-time.After(endQueryPause):
		case <-ctx.Done():
			return 0, false
		}
	}
}

// queryLoadStart asks an endpoint for its load once. The error is nil if the head of an answer arrives. Some endpoints give
// another answer than a load.
func (r *Relay) queryLoadStart(ctx context.Context, addr string) (started int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	e, _ := r.fleet.at(addr)
	resp, err := r.controlPool.Do(ctx, controlRequest(e.id, addr, r.protocol.LoadCall()))
	if err != nil {
		return 0, err
	}
	body, err := h1.ReadLimited(resp, maxControlAnswer)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, nil
	}
	if load, err := r.protocol.ParseLoad(body); err == nil {
		return load.Started, nil
	}
	return 0, nil
}
