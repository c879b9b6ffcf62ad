//go:build review

package standins

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = versions }

// versions: four of nine workers run software version v1 and are replaced by workers of v2, one after the other. Their entries
// go, and they serve on for 4 s. Then all boxes are killed and start again. Clients take their streams up again. No more than
// two streams may hold events of both versions.
func versions(w *world) (broken bool) {
	const (
		boxes, output          = 8, 900
		minStreams, maxStreams = 48, 144
		minAtOld               = 12
	)
	w.begin(config(true))
	started := 0
	begin := func(stage, version string) (*proc, workerOptions) {
		n := started
		started++
		return w.startWorker(n, workerOptions{ID: fmt.Sprintf("i-%s-%d", version, n), Service: "verdict", Stage: stage, Version: version, Slots: 64, StepMS: 100})
	}
	type oldWorker struct {
		*proc
		workerOptions
	}
	var old []oldWorker
	for range 4 {
		p, o := begin("decode", "v1")
		old = append(old, oldWorker{p, o})
	}
	for _, stage := range []string{"prefill", "prefill", "prefill", "decode", "decode"} {
		begin(stage, "v2")
	}
	w.startBoxes(boxes)
	time.Sleep(2 * time.Second) // The boxes find each other.
	var streams []*stream       // The first attempt of each stream.
	var wg sync.WaitGroup
	results := make([]*stream, maxStreams) // What each client has in the end, over its attempts.
	atOld := func() (n int) {
		for _, o := range old {
			n += running(o.Address)
		}
		return n
	}
	for len(streams) < minStreams || atOld() < minAtOld {
		if len(streams) == maxStreams {
			panic("too few streams began at the old version")
		}
		i := len(streams)
		s := &stream{id: fmt.Sprintf("a%04d", i), box: i % boxes}
		streams = append(streams, s)
		wg.Go(func() { results[i] = w.follow(s, output) })
		time.Sleep(10 * time.Millisecond)
	}
	results = results[:len(streams)]
	// The release: a new worker starts first, then the entry of the old one goes, which never says draining. It serves on for
	// 4 s and ends.
	for _, o := range old {
		begin(o.Stage, "v2")
		w.note("the entry of worker %s goes", o.ID)
		if err := post("http://"+o.Address+"/control/vanish", nil); err != nil {
			panic(err)
		}
		w.dropWorker(o.ID)
		time.AfterFunc(4*time.Second, func() { w.note("worker %s ends", o.ID); o.kill() })
		time.Sleep(time.Second)
	}
	if w.trouble {
		w.note("all boxes are killed")
		for _, b := range w.boxes {
			b.kill()
		}
		time.Sleep(300 * time.Millisecond)
		for _, b := range w.boxes {
			w.startBox(b)
		}
	}
	wg.Wait()
	mixed, whole, begun := 0, 0, 0
	for i, s := range results {
		text := strings.Join(s.pieces, "\n")
		v1, v2 := strings.Contains(text, "software v1"), strings.Contains(text, "software v2")
		if v1 || v2 {
			begun++
		}
		if s.complete {
			whole++
		}
		if v1 && v2 {
			mixed++
			w.note("MIXED VERSIONS: stream %s holds %d events of v1 and %d of v2", streams[i].id, strings.Count(text, "software v1"), strings.Count(text, "software v2"))
		}
	}
	broken = mixed > 2
	w.note("result: %d streams began, %d whole, %d hold events of two versions, broken=%t", begun, whole, mixed, broken)
	if begun == 0 {
		panic("no stream was served")
	}
	return broken
}

// running returns the number of streams that a worker runs.
func running(address string) (n int) {
	resp := must(http.Get("http://" + address + "/control/running"))
	defer resp.Body.Close()
	_, _ = fmt.Fscan(resp.Body, &n)
	return n
}

// follow sends a stream and takes it up at other boxes, a second after each failure, until it is whole or the client's deadline
// is over. It returns what the client has in the end.
func (w *world) follow(first *stream, output int) *stream {
	all := &stream{id: first.id}
	deadline := time.Now().Add(14 * time.Second)
	s := first
	begin := "" // The attempt that brought the first event.
	for n := 1; ; n++ {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		w.open(ctx, s, "/verdict/x", output)
		cancel()
		if begin == "" && len(s.pieces) > 0 {
			begin = s.id
		}
		all.pieces = append(all.pieces, s.pieces...)
		all.complete = s.complete && s.status == 200
		if all.complete || time.Until(deadline) < time.Second {
			return all
		}
		time.Sleep(time.Second)
		s = &stream{id: fmt.Sprintf("%s-%d", first.id, n), box: (s.box + 1) % len(w.boxes), resumes: begin, last: s.last}
	}
}
