//go:build review2

package standins

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

func init() { cases["same-id"] = sameID }

// sameID: while the store is silent, engines crash by turns, one at a time, and are back under their ids with the next version of
// their software.
func sameID(r *run) bool {
	var mu sync.Mutex
	runs := map[string][]versionRun{}
	r.onRun = func(run standin.Run, version string) {
		after, _ := strconv.Atoi(run.After)
		mu.Lock()
		defer mu.Unlock()
		runs[run.ID] = append(runs[run.ID], versionRun{version, after})
	}
	store := standin.NewStore()
	storeAddr := r.serve(store)
	putConfig(store, 1, `{"name":"talk","hostname":"h.example","pathPrefix":"/talk/","kind":"stream","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":2,"priority":1,"resumable":true}`, engineService)
	engine := func(id, stage string) *worker {
		return r.newWorker(standin.WorkerOptions{ID: id, Service: "llm", Stage: stage, Slots: 64, KVTokens: 60000, StepMS: 50, HandleMS: 500, MoveMS: 60, Store: storeAddr})
	}
	engine("prefill-1", "prefill")
	engine("prefill-2", "prefill")
	d := []*worker{engine("decode-1", "decode"), engine("decode-2", "decode"), engine("decode-3", "decode")}
	ips := r.freeIPs(2)
	seeds := []string{ips[0] + ":18146", ips[1] + ":18146"}
	boxes := []*boxProc{r.startBox("box-1", ips[0], storeAddr, seeds), r.startBox("box-2", ips[1], storeAddr, seeds)}
	r.awaitReady(boxes...)
	time.Sleep(12 * time.Second) // A box that has just started makes few extra calls in the first window of the retry budget.
	var wg sync.WaitGroup
	answers := make([]answer, 12)
	stamp := time.Now().UnixNano() & 0xffffffffffff
	for i := range answers {
		wg.Go(func() {
			answers[i] = r.stream(boxes[i%2].callers, "/talk/x", fmt.Sprintf("%04x%012x", i+1, stamp), 1000, 1200, 14*time.Second)
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		r.log("the store is silent for 4.5 s")
		store.SetFault(standin.StoreFault{Down: "silent"})
		time.AfterFunc(4500*time.Millisecond, func() {
			store.SetFault(standin.StoreFault{})
			r.log("the store answers again")
		})
		for _, w := range d {
			time.Sleep(700 * time.Millisecond)
			r.crash(w)
			time.Sleep(500 * time.Millisecond)
			r.restart(w, "v2")
		}
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	mixed := 0
	for _, x := range answers {
		if x.status == 200 && holdsTwoVersions(runs[x.id], len(x.events)) {
			mixed++
			r.log("ORDER: the answer to %s, with %d events, holds events of two versions; its runs, as version and the event after which they began: %v", x.id, len(x.events), runs[x.id])
		}
	}
	r.log("%d of %d streams hold events from workers of two software versions; the rule allows 2", mixed, len(answers))
	return mixed > 2
}

// versionRun is a run of a stream: the version of the worker, and the event after which it began.
type versionRun struct {
	version string
	after   int
}

// holdsTwoVersions reports whether an answer holds events of runs at two versions. A run has given the events after the one at
// which it began, up to the one at which the next run began.
func holdsTwoVersions(list []versionRun, events int) bool {
	given := map[string]bool{}
	for i, run := range list {
		end := events
		if i+1 < len(list) {
			end = list[i+1].after
		}
		if end > run.after {
			given[run.version] = true
		}
	}
	return len(given) > 1
}
