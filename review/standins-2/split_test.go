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

func init() { cases["split"] = split }

// split: the operator shifts the weights of a route that is split between two services, both of which stay on the route. Then a
// box is killed, and its callers take their streams up at the other boxes.
func split(r *run) bool {
	store := standin.NewStore()
	storeAddr := r.serve(store)
	config := func(version, a, b int) {
		putConfig(store, version, fmt.Sprintf(`{"name":"talk","hostname":"h.example","pathPrefix":"/talk/","kind":"stream","timeoutMs":14000,"targetLatencyMs":900,"targetGapMs":300,"trafficSplit":[{"service":"llm","weight":%d},{"service":"llm-b","weight":%d}],"maxAttempts":2,"priority":1,"resumable":true}`, a, b),
			engineService+`,{"name":"llm-b",`+engineService[len(`{"name":"llm",`):])
		r.log("configuration %d is acknowledged: llm has weight %d, llm-b %d", version, a, b)
	}
	config(1, 90, 10)
	for _, service := range []string{"llm", "llm-b"} {
		for i, stage := range []string{"prefill", "decode", "decode"} {
			r.newWorker(standin.WorkerOptions{ID: fmt.Sprintf("%s-%s-%d", service, stage, i), Service: service, Stage: stage, Slots: 64, KVTokens: 60000, StepMS: 80, HandleMS: 500, MoveMS: 60, Store: storeAddr})
		}
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

	const streams, fresh = 24, 16
	goesOn, began := make([]bool, streams), make([]bool, fresh)
	taken := make([]bool, streams)
	var wg sync.WaitGroup
	stamp := time.Now().UnixNano() & 0xffffffff
	for i := range streams {
		wg.Go(func() {
			deadline := time.Now().Add(14 * time.Second)
			first := fmt.Sprintf("%04x%04x%08x", i+1, 0, stamp)
			a := r.stream(boxes[0].callers, "/talk/x", first, 1000, 1000, 14*time.Second)
			if a.complete || len(a.events) == 0 {
				return
			}
			taken[i] = true
			for try := 1; try <= 3; try++ {
				left := time.Until(deadline)
				box := boxes[1+(i+try)%2]
				b := r.stream(box.callers, "/talk/x", fmt.Sprintf("%04x%04x%08x", i+1, try, stamp), 1000, 1000, left, "Last-Event-Id: "+a.events[len(a.events)-1], "Resumes: "+first)
				if b.status == 200 && len(b.events) > 0 {
					goesOn[i] = true
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
		config(2, 10, 90)
		time.Sleep(2200 * time.Millisecond) // Longer than configApplyMs.
		r.log("SIGKILL to %s", boxes[0].name)
		boxes[0].signal(syscall.SIGKILL)
		for i := range fresh {
			wg.Go(func() {
				a := r.stream(boxes[1+i%2].callers, "/talk/x", fmt.Sprintf("ff%02x%04x%08x", i+1, 0, stamp), 1000, 300, 14*time.Second)
				began[i] = a.status == 200 && len(a.events) > 0
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	wg.Wait()
	count := func(list []bool) (n int) {
		for _, x := range list {
			if x {
				n++
			}
		}
		return n
	}
	nTaken, nOn, nBegan := count(taken), count(goesOn), count(began)
	r.log("%d streams were taken up at machines in touch, %d went on; %d of %d new streams began there", nTaken, nOn, nBegan, fresh)
	return nTaken >= 12 && float64(nOn)/float64(nTaken) < 0.5*float64(nBegan)/fresh
}
