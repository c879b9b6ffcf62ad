//go:build review2

package standins

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

var cases = map[string]func(*run) bool{"twice-moved": twiceMoved}

// twiceMoved: engines are replaced one after the other while a box is stopped as planned. A stream is moved twice, and the
// second engine falls silent for less than a second.
func twiceMoved(r *run) bool {
	store := standin.NewStore()
	storeAddr := r.serve(store)
	putConfig(store, 1, `{"name":"talk","hostname":"h.example","pathPrefix":"/talk/","kind":"stream","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":2,"priority":1,"resumable":true}`, engineService)
	engine := func(id, stage string) *worker {
		return r.newWorker(standin.WorkerOptions{ID: id, Service: "llm", Stage: stage, Slots: 64, KVTokens: 60000, StepMS: 50, HandleMS: 500, MoveMS: 60, Store: storeAddr})
	}
	engine("prefill-1", "prefill")
	engine("prefill-2", "prefill")
	first := engine("decode-1", "decode")
	ips := r.freeIPs(2)
	seeds := []string{ips[0] + ":18146", ips[1] + ":18146"}
	a, b := r.startBox("box-1", ips[0], storeAddr, seeds), r.startBox("box-2", ips[1], storeAddr, seeds)
	r.awaitReady(a, b)
	time.Sleep(12 * time.Second) // A box that has just started makes few extra calls in the first window of the retry budget.
	var wg sync.WaitGroup
	answers := make([]answer, 12)
	sentAt := time.Now()
	for i := range answers {
		wg.Go(func() {
			answers[i] = r.stream(a.callers, "/talk/x", fmt.Sprintf("%04x%012x", i+1, sentAt.UnixNano()&0xffffffffffff), 1000, 1200, 14*time.Second)
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond)
	second := engine("decode-2", "decode")
	engine("decode-3", "decode")
	time.Sleep(900 * time.Millisecond)
	moved := time.Now()
	if r.trouble {
		r.leave(first)
		moved = r.awaitMove(first)
		time.Sleep(time.Until(moved.Add(300 * time.Millisecond)))
		r.leave(second)
	}
	time.Sleep(time.Until(moved.Add(1200 * time.Millisecond)))
	r.log("SIGTERM to %s", a.name)
	a.signal(syscall.SIGTERM)
	if r.trouble {
		time.Sleep(time.Until(moved.Add(1400 * time.Millisecond)))
		r.log("decode-2 is silent for 0.9 s")
		second.fallSilent(900 * time.Millisecond)
	}
	wg.Wait()
	lost := 0
	for _, x := range answers {
		if x.status == 200 && !x.complete || x.status == 0 {
			lost++
			r.log("LOST: %s, taken before SIGTERM and passed on, ended without a complete answer after %d of 120 events", x.id, len(x.events))
		}
	}
	r.log("%d of %d requests ended without a complete answer", lost, len(answers))
	return lost > 0
}

// awaitMove waits until a run is moved away from a worker for the first time, and returns when that was.
func (r *run) awaitMove(w *worker) time.Time {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		at := w.movedAt
		w.mu.Unlock()
		if !at.IsZero() {
			return at
		}
	}
	r.log("no run was moved away from %s", w.id)
	return time.Now()
}
