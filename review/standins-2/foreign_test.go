//go:build review2

package standins

import (
	"fmt"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

func init() { cases["foreign-entry"] = foreignEntry }

// foreignEntry: the table of workers has an entry of another writer, with a service that the configuration does not name.
func foreignEntry(r *run) bool {
	r.bare = true
	store := standin.NewStore()
	r.store = store
	storeAddr := r.serve(store)
	route := func(name, kind, service, extra string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h.example","pathPrefix":"/%s/","kind":%q,"timeoutMs":14000,"targetLatencyMs":900,"service":%q,"maxAttempts":2,"priority":1%s}`, name, name, kind, service, extra)
	}
	putConfig(store, 1, route("talk", "stream", "llm", `,"targetGapMs":300,"resumable":true`)+","+route("book", "unsafe", "desk", "")+","+route("look", "safe", "desk", ""), engineService+`,{"name":"desk"}`)
	for i, stage := range []string{"prefill", "decode", "decode"} {
		r.newWorker(standin.WorkerOptions{ID: fmt.Sprintf("i-llm-%d", i), Service: "llm", Stage: stage, Slots: 64, KVTokens: 60000, StepMS: 5, HandleMS: 500, MoveMS: 60, Store: storeAddr})
	}
	for i := range 3 {
		r.newWorker(standin.WorkerOptions{ID: fmt.Sprintf("i-desk-%d", i), Service: "desk", Slots: 6, Queue: 24, WorkMS: 20, Store: storeAddr})
	}
	if r.trouble {
		entry := fmt.Sprintf(`{"service":"night-batch","address":"127.0.0.1:9","zone":"malaga-hall","version":"v1","slots":4,"state":"ready","coldRemainingMs":0,"sequence":0,"born":%d}`, time.Now().UnixMilli())
		store.Put("servers", "i-other", []byte(entry), 0)
		r.log("another writer has written the entry servers/i-other: %s", entry)
	}
	ips := r.freeIPs(2)
	seeds := []string{ips[0] + ":18146", ips[1] + ":18146"}
	boxes := []*boxProc{r.startBox("box-1", ips[0], storeAddr, seeds), r.startBox("box-2", ips[1], storeAddr, seeds)}
	r.awaitReady(boxes...)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, sent := 0, 0
	for i := range 120 {
		wg.Go(func() {
			var a answer
			box, id := boxes[i%2].callers, fmt.Sprintf("%04x%012x", i, time.Now().UnixNano()&0xffffffffffff)
			switch i % 3 {
			case 0:
				a = r.stream(box, "/talk/x", id, 1000, 100, 14*time.Second)
			case 1:
				a = r.call(box, "POST", "/book/x", id, 3*time.Second)
			case 2:
				a = r.call(box, "GET", "/look/x", id, 3*time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status == 200 && a.complete {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	r.log("%d of %d requests were served", served, sent)
	return served == 0
}
