package slots

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"
)

func newTestServer(slots int) *Server {
	s := NewServer(Options{})
	s.SetEndpoints([]Endpoint{{ID: "e1", Slots: slots, Usable: true}})
	return s
}

func longRequest(id string) Request {
	return Request{ID: id, OnTime: time.Minute, Left: time.Minute}
}

func (s *Server) granted() int {
	n := 0
	for _, e := range s.Snapshot().Endpoints {
		n += e.InUse
	}
	return n
}

// Guards against a waiting request that isn't woken by a release, and against a missing or repeated message that it
// waits.
func TestServerGrantsAfterRelease(t *testing.T) {
	s := newTestServer(1)
	ctx := t.Context()
	if d, _ := s.Acquire(ctx, longRequest("a"), func(Decision) { t.Error("a request that need not wait is queued") }); d.State != Granted {
		t.Fatalf("%+v", d)
	}
	queued := make(chan Decision, 2)
	done := make(chan Decision)
	go func() {
		d, _ := s.Acquire(ctx, longRequest("b"), func(d Decision) { queued <- d })
		done <- d
	}()
	if d := <-queued; d.State != Queued || d.Wait <= 0 {
		t.Errorf("%+v", d)
	}
	if busy := s.Release("a", Result{Answered, simService}); !busy {
		t.Error("not busy although a request waited")
	}
	if d := <-done; d.State != Granted || d.Endpoint != "e1" {
		t.Errorf("%+v", d)
	}
	if len(queued) != 0 {
		t.Error("queued was called twice")
	}
}

// Guards against requests and grants that stay when their context has ended.
func TestServerWithdraws(t *testing.T) {
	s := newTestServer(1)
	s.Acquire(t.Context(), longRequest("a"), nil)
	ctx, cancel := context.WithCancel(t.Context())
	d, _ := s.Acquire(ctx, longRequest("b"), func(Decision) { cancel() })
	if d.State != Refused || d.Reason != TooLate {
		t.Errorf("%+v", d)
	}
	if n := s.Snapshot().Waiting; n != 0 {
		t.Errorf("%d requests wait, want 0", n)
	}
	// The context ends and the slot is granted before the goroutine notices either.
	ctx, cancel = context.WithCancel(t.Context())
	d, _ = s.Acquire(ctx, longRequest("c"), func(Decision) {
		s.Release("a", Result{Answered, simService})
		cancel()
	})
	if d.State != Refused || d.Reason != TooLate {
		t.Errorf("%+v", d)
	}
	if n := s.granted(); n != 0 {
		t.Errorf("%d grants, want 0", n)
	}
	if d, _ := s.Acquire(ctx, longRequest("d"), nil); d.State != Refused || s.granted() != 0 {
		t.Errorf("with a context that has ended: %+v, %d grants", d, s.granted())
	}
}

// Guards against a request that was sent twice and is withdrawn when one of its two connections fails.
func TestServerKeepsRequestSentTwice(t *testing.T) {
	s := newTestServer(1)
	s.Acquire(t.Context(), longRequest("a"), nil)
	first, cancel := context.WithCancel(t.Context())
	queued := make(chan struct{}, 2)
	done := make(chan Decision, 2)
	for _, ctx := range []context.Context{first, t.Context()} {
		go func() {
			d, _ := s.Acquire(ctx, longRequest("b"), func(Decision) { queued <- struct{}{} })
			done <- d
		}()
		<-queued
	}
	cancel()
	if d := <-done; d.State != Refused {
		t.Errorf("the canceled one: %+v", d)
	}
	s.Release("a", Result{Answered, simService})
	if d := <-done; d.State != Granted {
		t.Errorf("the other one: %+v", d)
	}
	if n := s.granted(); n != 1 {
		t.Errorf("%d grants, want 1", n)
	}
}

// Guards against a goroutine that waits for ever for a request that was withdrawn, or when the owner stops.
func TestServerReleaseAndStopWake(t *testing.T) {
	s := newTestServer(1)
	s.Acquire(t.Context(), longRequest("a"), nil)
	d, _ := s.Acquire(t.Context(), longRequest("b"), func(Decision) { s.Release("b", Result{Outcome: Unused}) })
	if d.State != Refused || d.Reason != TooLate {
		t.Errorf("withdrawn: %+v", d)
	}
	d, _ = s.Acquire(t.Context(), longRequest("c"), func(Decision) { s.Stop() })
	if d.State != Refused || d.Reason != Stopping {
		t.Errorf("stopped: %+v", d)
	}
	s.Release("a", Result{Answered, simService})
	if n := s.granted(); n != 0 {
		t.Errorf("%d grants, want 0", n)
	}
}

// Guards against a Server that decides only when another method is called: nothing but the timer refuses the request.
func TestServerTimer(t *testing.T) {
	s := newTestServer(1)
	s.Acquire(t.Context(), longRequest("a"), nil)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	r := Request{ID: "b", OnTime: 200 * time.Millisecond, Left: 300 * time.Millisecond}
	d, _ := s.Acquire(ctx, r, nil)
	if ctx.Err() != nil || d.State != Refused || d.Reason != TooLate {
		t.Errorf("%+v, %v", d, ctx.Err())
	}
}

// Guards against races, deadlocks and slots that are lost when contexts end at any time.
func TestServerUnderLoad(t *testing.T) {
	s := newTestServer(4)
	var wg sync.WaitGroup
	for g := range 64 {
		wg.Go(func() {
			for i := range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+(g*7+i*3)%9)*time.Millisecond)
				id := fmt.Sprint(g, "-", i)
				d, _ := s.Acquire(ctx, longRequest(id), nil)
				if d.State == Granted {
					time.Sleep(200 * time.Microsecond)
					s.Release(id, Result{Answered, 200 * time.Microsecond})
				}
				cancel()
			}
		})
	}
	wg.Wait()
	if snap := s.Snapshot(); snap.Waiting != 0 || s.granted() != 0 || len(s.pending) != 0 {
		t.Errorf("%+v, %d pending", snap, len(s.pending))
	}
}
