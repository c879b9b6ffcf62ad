package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
)

// storeAddress is an address of the store for one box, with a fault of its own: none, reset or silent.
type storeAddress struct {
	store http.Handler
	fault atomic.Value
}

func (a *storeAddress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch a.fault.Load() {
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		_, _ = r.Body.Read(make([]byte, 1)) // The server notices a closed connection only after the body.
		<-r.Context().Done()
	default:
		a.store.ServeHTTP(w, r)
	}
}

// confirmSite is a set of boxes before engines of two builds, each with an address of the store of its own.
type confirmSite struct {
	*planSite
	stores    []*storeAddress
	addresses []string
}

const (
	confirmBoxes   = 6
	confirmStreams = 36
	// confirmPatience is how long a caller comes back. It covers the restart of all boxes.
	confirmPatience = 20 * time.Second
)

func newConfirmSite(t *testing.T) *confirmSite {
	t.Helper()
	s := &confirmSite{planSite: newPlanStore(t)}
	for i := range 8 {
		s.addEngine(i, fmt.Sprintf("v%d", 1+i%2))
	}
	for n := range confirmBoxes {
		a := &storeAddress{store: s.store}
		a.fault.Store("")
		s.stores, s.addresses = append(s.stores, a), append(s.addresses, serveHTTP(t, a))
		s.boxes = append(s.boxes, s.launch(n))
	}
	s.awaitBoxes()
	return s
}

func (s *confirmSite) launch(n int) *boxProcess {
	s.t.Helper()
	return launchBox(s.t, fmt.Sprintf(boxSettings, n, config.KeyDigest(operatorKey), peerSettings, s.addresses[n]))
}

// awaitBoxes waits until all boxes are ready and have found each other.
func (s *confirmSite) awaitBoxes() {
	s.t.Helper()
	for _, b := range s.boxes {
		b.awaitReady()
	}
	time.Sleep(2 * time.Second)
}

// restartAll kills all boxes at once and starts them again, so that no box remembers where a stream began.
func (s *confirmSite) restartAll() {
	s.t.Helper()
	var wg sync.WaitGroup
	for _, b := range s.boxes {
		wg.Go(b.kill)
	}
	wg.Wait()
	for n := range s.boxes {
		b := s.launch(n)
		s.mu.Lock()
		s.boxes[n] = b
		s.mu.Unlock()
	}
	s.awaitBoxes()
}

// follow begins a stream at one of the other boxes. Once back is closed, its caller takes it up at box 0.
func (s *confirmSite) follow(id string, box int, back <-chan struct{}) *planStream {
	p, end := &planStream{id: id}, time.Now().Add(confirmPatience)
	first := id + "-0"
	if p.whole = s.attempt(p, first, "", "", box, confirmPatience); p.whole || p.events == 0 {
		return p
	}
	p.attempts = []string{first}
	<-back
	for try := 1; !p.whole && time.Now().Before(end); try++ {
		attempt, before := fmt.Sprintf("%s-%d", id, try), p.events
		p.takenUp = true
		if p.whole = s.attempt(p, attempt, first, "", 0, time.Until(end)); p.events > before {
			p.attempts = append(p.attempts, attempt)
		}
		time.Sleep(planPause)
	}
	return p
}

// Guards against streams that are refused, or go on at another build, because the box at which their callers take them up does not
// reach the store, while other boxes do and no box remembers where the streams began.
func TestStreamsGoOnAtABoxThatDoesNotReachTheStore(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		// away is how many boxes do not reach the store, box 0 among them.
		away int
	}{
		{"reset", "reset", 1},
		{"silent", "silent", 1},
		{"silent for half of the boxes", "silent", confirmBoxes / 2},
		{"silent for all but one", "silent", confirmBoxes - 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newConfirmSite(t)
			streams, back := make([]*planStream, confirmStreams), make(chan struct{})
			var wg sync.WaitGroup
			for i := range streams {
				wg.Go(func() { streams[i] = s.follow(fmt.Sprint("a", i), 1+i%(confirmBoxes-1), back) })
			}
			time.Sleep(time.Second)
			s.restartAll()
			for _, a := range s.stores[:c.away] {
				a.fault.Store(c.fault)
			}
			close(back)
			wg.Wait()
			s.expectPlanned(streams, 0.9)
			confirmed := s.confirmedBy()
			t.Logf("confirmed by: %v", confirmed)
			if len(confirmed) == 0 {
				t.Error("expected that other boxes confirm where streams began")
			}
			for n := range c.away {
				if k := confirmed[fmt.Sprintf("box-%d", n)]; k != 0 {
					t.Errorf("expected nothing of box %d, which does not reach the store, got %d confirmations", n, k)
				}
			}
		})
	}
}

// confirmedBy counts the confirmations that box 0 logged, by the box that confirmed.
func (s *confirmSite) confirmedBy() map[string]int {
	out := map[string]int{}
	b := s.boxes[0]
	b.log.mu.Lock()
	defer b.log.mu.Unlock()
	for line := range strings.Lines(b.log.text.String()) {
		var doc struct{ Decision, Text string }
		if json.Unmarshal([]byte(line), &doc) == nil && doc.Decision == "planned_origin" && doc.Text != "" {
			out[doc.Text]++
		}
	}
	return out
}
