package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

// buildSite is a set of boxes in front of engines of two builds.
type buildSite struct{ *quarantineSite }

// newBuildSite adds four decode engines of the build v2 to those of v1.
func newBuildSite(t *testing.T, boxes int) *buildSite {
	s := &buildSite{newQuarantineSite(t, boxes, peerSettings, true)}
	for i := range 4 {
		o := s.workers[len(s.workers)-1].options
		o.ID, o.Address, o.Version = fmt.Sprintf("j-%d", i), "", "v2"
		m := &crashingWorker{t: t, options: o, sameID: true}
		m.start()
		t.Cleanup(m.close)
		s.workers = append(s.workers, m)
	}
	s.until("all boxes to see both builds", func() bool {
		for _, b := range s.boxes {
			seen := map[string]int{}
			engines, _, _ := b.Relay.Engines()
			for _, e := range engines {
				seen[e.Build]++
			}
			if seen["v2"] < 4 {
				return false
			}
		}
		return true
	})
	return s
}

// buildsOf returns the builds of the engines that ran a request.
func (s *buildSite) buildsOf(id string) map[string]bool {
	s.t.Helper()
	out := map[string]bool{}
	for _, w := range s.workers {
		resp, err := http.Get("http://" + w.options.Address + standin.PathState)
		if err != nil {
			s.t.Fatal(err)
		}
		var state standin.WorkerState
		err = json.NewDecoder(resp.Body).Decode(&state)
		resp.Body.Close()
		if err != nil {
			s.t.Fatal(err)
		}
		for _, r := range state.Runs {
			if r.ID == id {
				out[w.options.Version] = true
			}
		}
	}
	return out
}

func (s *buildSite) streamRequest(ctx context.Context, n int, id string) *http.Request {
	s.t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.boxes[n].Callers+"/resumed/a", strings.NewReader("!"))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Token-Usage", "100,1000")
	r.Header.Set("X-Deadline-Ms", "60000")
	return r
}

// begin has a stream begin at box n, and leaves after its first event.
func (s *buildSite) begin(n int, id string) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	resp, err := http.DefaultClient.Do(s.streamRequest(ctx, n, id))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	first := standin.Event(id, 1)
	got := make([]byte, len(first))
	if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != first {
		s.t.Fatalf("expected the first event, got %d %q, %v", resp.StatusCode, got, err)
	}
}

// takeUp takes a stream up at box n after its first event. It comes back if it is refused as not run.
func (s *buildSite) takeUp(n int, id, origin string) (status int, text string) {
	s.t.Helper()
	for range 10 {
		if status, text = s.tryTakeUp(n, id, origin); status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status, text
}

func (s *buildSite) tryTakeUp(n int, id, origin string) (status int, text string) {
	s.t.Helper()
	r := s.streamRequest(context.Background(), n, id)
	r.Header.Set("Last-Event-Id", "1")
	r.Header.Set("Resumes", origin)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// expectOneBuild takes streams up at a box, and expects that they go on at the build that began them.
func (s *buildSite) expectOneBuild(n int, origins []string) {
	s.t.Helper()
	for _, origin := range origins {
		id := fmt.Sprintf("%s-again-%d", origin, n)
		status, text := s.takeUp(n, id, origin)
		if status != http.StatusOK || !strings.Contains(text, fmt.Sprintf("id: %d\n", standin.EventsOf(1000))) {
			s.t.Errorf("%s at box %d: expected the stream to go on to its end, got %d %.120q", origin, n, status, text)
		}
		began, wentOn := s.buildsOf(origin), s.buildsOf(id)
		if len(began) != 1 || fmt.Sprint(began) != fmt.Sprint(wentOn) {
			s.t.Errorf("%s at box %d: began at %v and went on at %v", origin, n, began, wentOn)
		}
	}
}

// beginMany has streams begin at box n until both builds have begun some.
func (s *buildSite) beginMany(n int) (ids []string) {
	s.t.Helper()
	seen := map[string]bool{}
	for i := 0; i < 40 && (i < 6 || len(seen) < 2); i++ {
		id := fmt.Sprintf("stream-%d-%d", n, i)
		s.begin(n, id)
		for b := range s.buildsOf(id) {
			seen[b] = true
		}
		ids = append(ids, id)
	}
	if len(seen) < 2 {
		s.t.Fatalf("expected streams of both builds, got %v", seen)
	}
	return ids
}

// Guards against a stream that goes on at another build because the box that gets the caller's next try did not begin it.
func TestTakenUpStreamAtOtherBoxKeepsItsBuild(t *testing.T) {
	s := newBuildSite(t, 3)
	ids := s.beginMany(0)
	s.expectOneBuild(1, ids)
	s.expectOneBuild(2, ids)
}

// Guards against knowledge that ends with the box that began a stream.
func TestTakenUpStreamOutlivesTheBoxThatBeganIt(t *testing.T) {
	s := newBuildSite(t, 3)
	ids := s.beginMany(0)
	if err := s.boxes[0].Stop(); err != nil {
		t.Fatal(err)
	}
	s.expectOneBuild(1, ids)
	s.expectOneBuild(2, ids)
}
