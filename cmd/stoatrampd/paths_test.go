package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

// pathSite is a set of boxes, each of which reaches the workers through a network of its own.
type pathSite struct {
	*quarantineSite
	networks []*standin.Egress
}

func newPathSite(t *testing.T, boxes int) *pathSite {
	t.Helper()
	s := &pathSite{quarantineSite: newQuarantineSite(t, 0, "", true)}
	for n := range boxes {
		e, err := standin.NewEgress()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.networks = append(s.networks, e)
		s.startBox(n, peerSettings+fmt.Sprintf("[endpoints]\nproxy = %s\n", e.Address()), s.storeAddress)
	}
	for n := range boxes {
		s.until(fmt.Sprintf("box %d to serve", n), func() bool { return s.serves(n, "/once/a") && s.serves(n, "/stream/a") })
	}
	return s
}

func (s *pathSite) serves(n int, path string) bool {
	status, _ := s.send(n, path, "innocent")
	return status == http.StatusOK
}

// expectServed sends requests to a box and expects that all are served.
func (s *pathSite) expectServed(n int, path string) {
	s.t.Helper()
	for range 10 {
		if status, body := s.send(n, path, "innocent"); status != http.StatusOK {
			s.t.Errorf("box %d, %s: expected an answer, got %d %q", n, path, status, body)
		}
	}
}

// The ways in which a box loses its path to all workers.
var pathFaults = map[string]standin.EgressFault{
	"connections are reset":              {RefuseNew: true, ResetOpen: true},
	"connections hang":                   {HangNew: true, StallToWorkers: true, StallToBox: true},
	"open ones live, new ones refused":   {RefuseNew: true},
	"bytes from the workers are lost":    {HangNew: true, StallToBox: true},
	"open ones live, new ones hang":      {HangNew: true},
	"open ones are reset, new ones hang": {HangNew: true, ResetOpen: true},
}

// detectionTime is the time within which a lost path must be over for callers.
const detectionTime = 3 * time.Second

// Guards against a box that refuses its callers while other boxes reach both it and the endpoints.
func TestBoxWithoutPathServesThroughOthers(t *testing.T) {
	for name, fault := range pathFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPathSite(t, 3)
			s.networks[0].SetFault(fault)
			for end := time.Now().Add(detectionTime); time.Now().Before(end); {
				s.send(0, "/once/a", "innocent")
				s.send(0, "/stream/a", "innocent")
			}
			s.expectServed(0, "/once/a")
			s.expectServed(0, "/stream/a")
			s.expectServed(1, "/once/a")
			s.expectServed(1, "/stream/a")
		})
	}
}

// logged counts the lines of a box's log that have all the parts.
func (s *pathSite) logged(n int, parts ...string) (count int) {
	l := s.logs[n]
	l.mu.Lock()
	defer l.mu.Unlock()
lines:
	for line := range strings.Lines(l.text.String()) {
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue lines
			}
		}
		count++
	}
	return count
}

// Guards against a box without a path that has the other boxes take engines for silent, and requests for deadly.
func TestLostPathIsNoFindingAboutEndpoints(t *testing.T) {
	for name, fault := range pathFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPathSite(t, 3)
			s.networks[0].SetFault(fault)
			for end := time.Now().Add(2 * detectionTime); time.Now().Before(end); {
				for n := range s.boxes {
					s.send(n, "/once/a", "innocent")
					s.send(n, "/stream/a", "innocent")
				}
			}
			for n := range s.boxes {
				if got := s.logged(n, `"endpoint silent"`); n > 0 && got > 0 {
					t.Errorf("box %d: expected no silent engine, got %d lines", n, got)
				}
				if got := s.logged(n, `"endpoint crashed under a request"`); got > 0 {
					t.Errorf("box %d: expected no crash, got %d lines", n, got)
				}
			}
			if s.logged(0, `"path to endpoint lost"`) == 0 {
				t.Error("expected the lost path in the log of its box")
			}
		})
	}
}
