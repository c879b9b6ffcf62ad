//go:build review

package standins

import (
	"context"
	"fmt"
	"sync"
	"time"
)

func init() { cases["worker-crash"] = workerCrash }

// workerCrash: workers answer streams with chunks, and those whose IDs begin with "b" without a length. One of nine workers
// is killed. No stream that it wrote may look complete to its client before its last piece. If none does, the same follows with
// another worker, up to three times.
func workerCrash(w *world) (broken bool) {
	w.begin(config(false))
	options := func(n int) workerOptions {
		o := workerOptions{ID: fmt.Sprintf("i-%d", n), Service: "verdict", Stage: "decode", Version: "v1", Slots: 64, StepMS: 100, UnframedFrom: "b"}
		if n < 3 {
			o.Stage = "prefill"
		}
		return o
	}
	var workers []*proc
	var addresses []string
	for n := range 9 {
		p, o := w.startWorker(n, options(n))
		workers, addresses = append(workers, p), append(addresses, o.Address)
	}
	w.startBoxes(8)
	time.Sleep(2 * time.Second) // The boxes find each other.
	for round := range 3 {
		if w.crashRound(round, workers, addresses, options) {
			return true
		}
	}
	return false
}

// crashRound has clients send streams, and kills a worker while it writes some of them.
func (w *world) crashRound(round int, workers []*proc, addresses []string, options func(int) workerOptions) (broken bool) {
	const output = 400
	var wg sync.WaitGroup
	// Short streams with chunks, as in any traffic. Their connections are kept.
	for i := range len(w.boxes) * 16 {
		s := &stream{id: fmt.Sprintf("a%d%04d", round, i), box: i % len(w.boxes)}
		wg.Go(func() { w.open(context.Background(), s, "/verdict/x", 50) })
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	var streams []*stream
	for i := range len(w.boxes) * 16 {
		s := &stream{id: fmt.Sprintf("b%d%04d", round, i), box: i % len(w.boxes)}
		streams = append(streams, s)
		wg.Go(func() { w.open(context.Background(), s, "/verdict/x", output) })
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond) // A stream takes 4 s.
	if w.trouble {
		n := busiest(addresses)
		w.note("worker i-%d is killed, which runs %d streams", n, running(addresses[n]))
		workers[n].kill()
		time.Sleep(3 * time.Second)
		workers[n], _ = w.startWorker(n, options(n))
	}
	wg.Wait()
	return w.judgeEnds(streams, pieces(output))
}

// busiest returns the number of the worker that runs most streams.
func busiest(addresses []string) (most int) {
	for n, a := range addresses {
		if running(a) > running(addresses[most]) {
			most = n
		}
	}
	return most
}
