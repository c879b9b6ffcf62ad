//go:build review2

package standins

import (
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

func init() { cases["moved-key"] = movedKey }

// movedKey: workers of two software versions serve side by side. The operator moves a key from one tenant to another. Then a box is
// killed, and its callers, who have that key, take their streams up at the other boxes.
func movedKey(r *run) bool {
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
	config := func(version int, tenants string) {
		text := fmt.Sprintf(`{"version":%d,"routes":[{"name":"talk","hostname":"h.example","pathPrefix":"/talk/","kind":"stream","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":2,"priority":1,"resumable":true}],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[%s]}`, version, engineService, tenants)
		store.Put("op", "config", []byte(text), 0)
		r.log("configuration %d is acknowledged: tenants %s", version, tenants)
	}
	config(1, `{"name":"north","apiKeys":["key-1","key-2"]},{"name":"south","apiKeys":["key-3"]}`)
	for i, stage := range []string{"prefill", "prefill", "decode", "decode", "decode", "decode"} {
		r.newWorker(standin.WorkerOptions{ID: fmt.Sprintf("i-%d", i), Service: "llm", Stage: stage, Slots: 64, KVTokens: 60000, StepMS: 80, HandleMS: 500, MoveMS: 60, Store: storeAddr, Version: fmt.Sprint("v", 1+i%2)})
	}
	ips := r.freeIPs(3)
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, ip+":18146")
	}
	var boxes []*boxProc
	for i, ip := range ips {
		boxes = append(boxes, r.startBox(fmt.Sprint("box-", i+1), ip, storeAddr, seeds))
	}
	r.awaitReady(boxes...)
	time.Sleep(12 * time.Second)

	const streams = 24
	type try struct {
		id string
		answer
	}
	tries := make([][]try, streams)
	var wg sync.WaitGroup
	stamp := time.Now().UnixNano() & 0xffffffff
	for i := range streams {
		wg.Go(func() {
			deadline := time.Now().Add(14 * time.Second)
			first := fmt.Sprintf("%04x%04x%08x", i+1, 0, stamp)
			a := r.stream(boxes[0].callers, "/talk/x", first, 1000, 1000, 14*time.Second, "X-Key: key-2")
			tries[i] = append(tries[i], try{first, a})
			for n := 1; n <= 3 && !a.complete && len(a.events) > 0; n++ {
				id := fmt.Sprintf("%04x%04x%08x", i+1, n, stamp)
				b := r.stream(boxes[1+(i+n)%2].callers, "/talk/x", id, 1000, 1000, time.Until(deadline), "X-Key: key-2", "Last-Event-Id: "+a.events[len(a.events)-1], "Resumes: "+first)
				tries[i] = append(tries[i], try{id, b})
				if b.status == 200 && len(b.events) > 0 {
					return
				}
				wait, err := strconv.ParseFloat(b.head.Get("Retry-After"), 64)
				if err != nil {
					return
				}
				time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Until(deadline)/3))
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(800 * time.Millisecond)
	if r.trouble {
		config(2, `{"name":"north","apiKeys":["key-1"]},{"name":"south","apiKeys":["key-2","key-3"]}`)
		time.Sleep(2200 * time.Millisecond) // Longer than configApplyMs.
		r.log("SIGKILL to %s", boxes[0].name)
		boxes[0].signal(syscall.SIGKILL)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	mixed := 0
	for i, list := range tries {
		versions, text := map[string]bool{}, ""
		for _, t := range list {
			for j, run := range runs[t.id] {
				last := 0
				if n := len(t.events); n > 0 {
					last, _ = strconv.Atoi(t.events[n-1])
				}
				if j+1 < len(runs[t.id]) {
					last = runs[t.id][j+1].after
				}
				if t.status == 200 && last > run.after {
					versions[run.version] = true
					text += fmt.Sprintf(" events %d to %d of %s,", run.after+1, last, run.version)
				}
			}
		}
		if len(versions) > 1 {
			mixed++
			r.log("ORDER: stream %d:%s over its client's tries", i+1, text)
		}
	}
	r.log("%d of %d streams hold events from workers of two software versions; the rule allows 2", mixed, streams)
	return mixed > 2
}
