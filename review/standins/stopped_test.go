//go:build review

package standins

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["box-stopped"] = boxStopped }

// boxStopped: workers answer streams without a length. One of eight boxes is stopped as planned while streams run that take
// longer than its time to stop. No stream that it carried may look complete to its client before its last piece.
func boxStopped(w *world) (broken bool) {
	const boxes, perBox, output = 8, 4, 1200
	w.begin(config(false))
	for n := range 6 {
		stage := "decode"
		if n < 2 {
			stage = "prefill"
		}
		w.startWorker(n, workerOptions{ID: fmt.Sprintf("i-%d", n), Service: "verdict", Stage: stage, Version: "v1", Slots: 64, StepMS: 100, UnframedFrom: "a"})
	}
	w.startBoxes(boxes)
	time.Sleep(2 * time.Second) // The boxes find each other.
	var streams []*stream
	var wg sync.WaitGroup
	for i := range boxes * perBox {
		s := &stream{id: fmt.Sprintf("a%04d", i), box: i % boxes}
		streams = append(streams, s)
		wg.Go(func() { w.open(context.Background(), s, "/verdict/x", output) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second) // A stream takes 12 s.
	if b := w.boxes[3]; w.trouble {
		w.note("box %d gets SIGTERM", b.n+1)
		_ = b.Process.Signal(syscall.SIGTERM)
		began := time.Now()
		select {
		case <-b.done:
			w.note("box %d ended by itself after %s", b.n+1, time.Since(began))
		case <-time.After(8 * time.Second):
			w.note("box %d is killed at the end of its time", b.n+1)
			b.kill()
		}
		w.startBox(b)
	}
	wg.Wait()
	return w.judgeEnds(streams, pieces(output))
}
