package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/internal/relay"
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

// expectServed sends requests to a box and expects that all are served. A box without processor time closes connections
// unread, whose callers come again; it must count each that it closes without an answer.
func (s *pathSite) expectServed(n int, path string) {
	s.t.Helper()
	unread, closed := s.boxes[n].Metrics.UnreadConns.Get(), uint64(0)
	for range 10 {
		status, body := s.send(n, path, "innocent")
		for end := time.Now().Add(3 * time.Second); status == 0 && closedByBox(body) && time.Now().Before(end); {
			closed++
			time.Sleep(20 * time.Millisecond)
			status, body = s.send(n, path, "innocent")
		}
		if status != http.StatusOK {
			s.t.Errorf("box %d, %s: expected an answer, got %d %q", n, path, status, body)
		}
	}
	if got := s.boxes[n].Metrics.UnreadConns.Get() - unread; closed > got {
		s.t.Errorf("box %d, %s: expected at most the %d connections that were closed unread to be closed without an answer, got %d", n, path, got, closed)
	}
	if closed > 0 {
		s.t.Logf("box %d, %s: %d connections closed unread", n, path, closed)
	}
}

// closedByBox reports whether the text of an error says that the other side closed the connection without an answer.
func closedByBox(text string) bool {
	return strings.Contains(text, "connection reset by peer") || strings.Contains(text, "broken pipe") || strings.HasSuffix(text, "EOF")
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

// carrier returns a box that carries tunnels of box 0.
func (s *pathSite) carrier() int {
	for name, n := range s.boxes[0].Relay.Paths().Tunnels() {
		if n > 0 {
			var box int
			if _, err := fmt.Sscanf(name, "box-%d", &box); err == nil {
				return box
			}
		}
	}
	return -1
}

// Guards against a planned stop that cuts off the streams of another box.
func TestPlannedStopOfTheCarryingBoxCutsOffNothing(t *testing.T) {
	s := newPathSite(t, 3)
	s.networks[0].SetFault(standin.EgressFault{RefuseNew: true, ResetOpen: true})
	s.until("box 0 to serve through others", func() bool { return s.serves(0, "/stream/a") })
	answers := make(chan string, 8)
	for i := range cap(answers) {
		go func() { answers <- s.sendLong("/stream/a", fmt.Sprintf("long-%d", i)) }()
	}
	s.until("a box to carry the streams", func() bool { return s.carrier() >= 0 })
	stopped := s.carrier()
	if err := s.boxes[stopped].Stop(); err != nil {
		t.Errorf("stop of box %d: %v", stopped, err)
	}
	for range cap(answers) {
		if a := <-answers; a != "" {
			t.Error(a)
		}
	}
	s.until("box 0 to serve through the box that is left", func() bool { return s.serves(0, "/once/a") && s.serves(0, "/stream/a") })
	if got := s.logged(stopped, "connections of other boxes are cut off"); got > 0 {
		t.Error("expected the box to wait for the connections that it carries")
	}
}

// sendLong sends a stream of some hundred events to box 0, and returns what is wrong with the answer.
func (s *pathSite) sendLong(path, id string) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.boxes[0].Callers+path, strings.NewReader("innocent"))
	if err != nil {
		return err.Error()
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Token-Usage", "100,4000")
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s: %d, %v", id, resp.StatusCode, err)
	}
	if n := strings.Count(string(body), "data: "); n != standin.EventsOf(4000) {
		return fmt.Sprintf("%s: %d events", id, n)
	}
	return ""
}

// logLines writes the lines of a box's log that have one of the parts to the test's log.
func (s *pathSite) logLines(n int, parts ...string) {
	l := s.logs[n]
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		for _, p := range parts {
			if strings.Contains(line, p) {
				s.t.Log(line)
			}
		}
	}
}

// Guards against streams that hang with the path of their box for as long as the path is lost, although another engine can
// go on with them.
func TestStreamsOnAHangingPathGoOnThroughOthers(t *testing.T) {
	for name, fault := range map[string]standin.EgressFault{
		"both directions":       {HangNew: true, StallToWorkers: true, StallToBox: true},
		"bytes from the worker": {HangNew: true, StallToBox: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newPathSite(t, 3)
			s.until("box 0 to have retries", func() bool { // Once the window after its start is over.
				return slices.ContainsFunc(s.boxes[0].Relay.RetryBudgets(), func(b relay.RetryBudget) bool { return b.Name == relay.StreamsBudget && b.Left >= 8 })
			})
			answers := make(chan string, 4)
			for i := range cap(answers) {
				go func() { answers <- s.sendLong("/resumed/a", fmt.Sprintf("long-%d", i)) }()
			}
			time.Sleep(300 * time.Millisecond) // All have begun, and none has ended.
			s.networks[0].SetFault(fault)
			for range cap(answers) {
				select {
				case wrong := <-answers:
					if wrong != "" {
						t.Error(wrong)
						s.logLines(0, wrong[:6], "path to endpoint")
					}
				case <-time.After(5 * time.Second):
					t.Fatal("a stream still hangs")
				}
			}
		})
	}
}

// Guards against a lost path to one service that is taken for one to all.
func TestLostPathToOneServiceLeavesTheOthersDirect(t *testing.T) {
	s := newPathSite(t, 2)
	engines := map[string]bool{}
	for _, w := range s.workers {
		if w.options.Service == "llm" {
			engines[w.options.Address] = true
		}
	}
	s.networks[0].SetFault(standin.EgressFault{RefuseNew: true, ResetOpen: true, Affects: func(address string) bool { return engines[address] }})
	s.until("streams through the other box", func() bool { return s.serves(0, "/stream/a") && len(s.boxes[0].Relay.Paths().Tunnels()) > 0 })
	s.expectServed(0, "/once/a")
	s.expectServed(0, "/stream/a")
	for _, e := range s.boxes[0].Relay.Paths().Table.Entries() {
		if !engines[e.Address] {
			t.Errorf("expected no lost path to a worker of the other service, got %+v", e)
		}
	}
	s.networks[0].SetFault(standin.EgressFault{})
	s.until("all paths to be direct again", func() bool { return len(s.boxes[0].Relay.Paths().Table.Entries()) == 0 })
	s.expectServed(0, "/stream/a")
}

// Guards against callers that wait while no path is left, and are not told when to come back.
func TestNoPathLeftRefusesAtOnce(t *testing.T) {
	s := newPathSite(t, 2)
	for _, n := range s.networks {
		n.SetFault(standin.EgressFault{HangNew: true, ResetOpen: true})
	}
	s.until("a refusal at once", func() bool {
		began := time.Now()
		status, _ := s.send(0, "/once/a", "innocent")
		return status == http.StatusServiceUnavailable && time.Since(began) < 200*time.Millisecond
	})
	for _, n := range s.networks {
		n.SetFault(standin.EgressFault{})
	}
	s.until("box 0 to serve again", func() bool { return s.serves(0, "/once/a") && s.serves(0, "/stream/a") })
}

// Guards against an operator who can't tell a lost path from an endpoint that is gone: status names the paths and the box
// that carries, and why names the box for the request.
func TestOperatorsSeeLostPaths(t *testing.T) {
	s := newPathSite(t, 2)
	s.networks[0].SetFault(standin.EgressFault{RefuseNew: true, ResetOpen: true})
	s.until("box 0 to serve through box 1", func() bool { return s.serves(0, "/once/a") && len(s.boxes[0].Relay.Paths().Tunnels()) > 0 })
	id := fmt.Sprintf("id-%d", s.requests.Load())
	tool := func(args ...string) string {
		var out bytes.Buffer
		if code := cli.Main(append([]string{"--box", "http://" + s.boxes[0].Operators, "--key", operatorKey}, args...), &out, &out); code != 0 {
			t.Errorf("stoatramp %v: exit code %d: %s", args, code, out.String())
		}
		return out.String()
	}
	if out := tool("status"); !strings.Contains(out, "NO DIRECT PATH TO") || !strings.Contains(out, "refused") || !strings.Contains(out, "CONNECTIONS THROUGH") || !strings.Contains(out, "box-1") {
		t.Errorf("expected the lost paths, got:\n%s", out)
	}
	if out := tool("why", id); !strings.Contains(out, "went through box box-1") {
		t.Errorf("expected the box that carried the call, got:\n%s", out)
	}
}
