package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/internal/quarantine"
)

const (
	// contactBound is the time within which boxes must act on the fifth crash under a part.
	contactBound = 3 * time.Second
	// maxLateRequests is the number of requests with a part that may reach workers later than that.
	maxLateRequests = 3
	poisonInterval  = 300 * time.Millisecond
	stormTime       = 12 * time.Second
	calmTime        = 3 * time.Second
)

// soundCalls counts the first attempts of sound requests and those that were answered whole.
type soundCalls struct{ sent, served, quarantined atomic.Int64 }

// share returns the share of the requests that were served.
func (c *soundCalls) share() float64 {
	return float64(c.served.Load()) / max(1, float64(c.sent.Load()))
}

// runSoundCallers has six callers send sound requests with a shared first part for a time.
func (s *quarantineSite) runSoundCallers(path string, d time.Duration) *soundCalls {
	var c soundCalls
	var callers sync.WaitGroup
	end := time.Now().Add(d)
	for n := range 6 {
		callers.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				body := fmt.Sprintf("sound %d %d %d", n, i, end.UnixNano())
				status, text := s.sendPrompt((n+i)%len(s.boxes), path, body, fmt.Sprintf("5c:40,ab%d:30,%x:30", n, end.UnixNano()+int64(i)))
				c.sent.Add(1)
				switch {
				case status == http.StatusOK:
					c.served.Add(1)
				case status == http.StatusInternalServerError:
					c.quarantined.Add(1)
					s.t.Logf("sound request quarantined: %.300s", text)
				}
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	return &c
}

// runPoison sends requests with the poison part, no two alike, to the boxes in turn until the time is over. parts is a
// format for the prompt's parts with the number of the request.
func (s *quarantineSite) runPoison(path, parts string, d time.Duration) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		pending.Go(func() { s.sendPrompt(i%len(s.boxes), path, fmt.Sprint("poison ", i), fmt.Sprintf(parts, i)) })
		time.Sleep(poisonInterval)
	}
}

// crashTimes returns the times of all crashes, and partCalls those of all calls for requests with the poison part.
func (l crashingWorkers) times() (crashes, partCalls []time.Time) {
	for _, m := range l {
		m.mu.Lock()
		crashes, partCalls = append(crashes, m.crashTimes...), append(partCalls, m.partCalls...)
		m.mu.Unlock()
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes, partCalls
}

// Requests with one part in their prompts, no two alike, must not reach workers after five crashes, and sound requests go on.
func TestPartThatCrashesEngines(t *testing.T) {
	for _, c := range []struct{ name, path, peers, parts string }{
		{"the second part", "/stream/", peerSettings, "5c:40," + poisonPart + ":30,%x:30"},
		{"the first part", "/stream/", peerSettings, poisonPart + ":40,77%x:30,%[1]x:30"},
		{"streams that go on elsewhere", "/resumed/", peerSettings, "5c:40,ab:10," + poisonPart + ":30,%x:30"},
		{"boxes that hear nothing of each other", "/resumed/", "", "5c:40," + poisonPart + ":30,%x:30"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newQuarantineSite(t, 3, c.peers, false)
			before := s.runSoundCallers(c.path+"sound", calmTime)
			began := time.Now()
			var poison sync.WaitGroup
			poison.Go(func() { s.runPoison(c.path+"part", c.parts, stormTime) })
			s.runSoundCallers(c.path+"sound", 2*contactBound)
			during := s.runSoundCallers(c.path+"sound", stormTime-2*contactBound)
			poison.Wait()
			crashes, partCalls := s.workers.times()
			t.Logf("%d crashes; sound requests served: %.2f before, %.2f during", len(crashes), before.share(), during.share())
			if len(crashes) < 3 {
				t.Fatalf("expected the part to crash engines, got %d crashes", len(crashes))
			}
			if len(crashes) >= 5 {
				late := 0
				for _, at := range partCalls {
					if at.Sub(crashes[4]) > contactBound {
						late++
					}
				}
				if late > maxLateRequests {
					s.logObservedCrashes()
					t.Errorf("expected at most %d calls with the part later than %s after the fifth crash (at %s), got %d",
						maxLateRequests, contactBound, crashes[4].Sub(began).Round(time.Millisecond), late)
				}
			}
			if during.share() < before.share()/2 {
				t.Errorf("expected sound requests to be served at least half as often as before, got %.2f and %.2f", during.share(), before.share())
			}
			if during.quarantined.Load() > 0 {
				t.Errorf("expected no sound request to be quarantined, got %d", during.quarantined.Load())
			}
		})
	}
}

// Engines that crash by themselves must not get the parts of the streams beside the crashes quarantined.
func TestCrashesOfTheirOwnBlameNoPart(t *testing.T) {
	t.Parallel()
	s := newQuarantineSite(t, 3, peerSettings, false)
	var crashing sync.WaitGroup
	crashing.Go(func() {
		for n := range 16 {
			time.Sleep(500 * time.Millisecond)
			s.workers[4+n%4].crash()
		}
	})
	calls := s.runSoundCallers("/stream/sound", 9*time.Second)
	crashing.Wait()
	if n := calls.quarantined.Load(); n > 0 {
		t.Errorf("expected no request to be quarantined, got %d of %d", n, calls.sent.Load())
	}
}

// Operators see which part is quarantined and why, and can lift it at one box for all.
func TestOperatorsSeeAndLiftQuarantinedPart(t *testing.T) {
	t.Parallel()
	s := newQuarantineSite(t, 2, peerSettings, false)
	tool := func(wantCode int, args ...string) string {
		var out bytes.Buffer
		if code := cli.Main(append([]string{"--box", "http://" + s.boxes[0].Operators, "--key", operatorKey}, args...), &out, &out); code != wantCode {
			t.Errorf("stoatramp %v: expected exit code %d, got %d: %s", args, wantCode, code, out.String())
		}
		return out.String()
	}
	if out := tool(0, "quarantine", "list"); !strings.Contains(out, "Nothing is quarantined") {
		t.Errorf("expected an empty list, got %s", out)
	}
	s.runPoison("/stream/part", "5c:40,"+poisonPart+":30,%x:30", 4*time.Second)
	part := quarantine.NewPart("", poisonPart)
	isQuarantined := func(n int) bool {
		for _, v := range s.boxes[n].Quarantine().Parts() {
			if v.Part == part && v.State == quarantine.Quarantined {
				return true
			}
		}
		return false
	}
	s.until("both boxes to quarantine the part", func() bool { return isQuarantined(0) && isQuarantined(1) })
	if out := tool(0, "quarantine", "list"); !strings.Contains(out, part.String()) || !strings.Contains(out, "quarantined") || !strings.Contains(out, "i-") {
		t.Errorf("expected the part with its crashes, got:\n%s", out)
	}
	if out := tool(0, "status"); !strings.Contains(out, "part "+part.String()+" is quarantined") {
		t.Errorf("expected a note about the part, got:\n%s", out)
	}
	s.sendPrompt(0, "/stream/why", "why", poisonPart+":40,1:30")
	if out := tool(0, "why", fmt.Sprintf("id-%d", s.requests.Load())); !strings.Contains(out, part.String()) {
		t.Errorf("expected the part in the explanation, got:\n%s", out)
	}
	tool(2, "quarantine", "lift", "no-id")
	tool(5, "quarantine", "lift", strings.Repeat("0", 16))
	tool(0, "quarantine", "lift", part.String())
	s.until("both boxes to lift the part", func() bool { return !isQuarantined(0) && !isQuarantined(1) })
}

// A request with a suspected part waits for the verdict. It is then refused without having reached a worker, or served.
func TestRequestWaitsForVerdictOnItsPart(t *testing.T) {
	t.Parallel()
	s := newQuarantineSite(t, 1, peerSettings, false)
	crashes := s.boxes[0].Quarantine()
	suspect := func(part string) {
		for n := range 3 {
			crashes.RecordCrash(quarantine.Crash{
				Request: (&quarantine.Identity{Target: fmt.Sprint(part, n)}).Fingerprint(), Endpoint: fmt.Sprint(part, n), RunTime: 80 * time.Millisecond,
				Parts: []quarantine.Part{quarantine.NewPart("", part)},
			})
		}
	}
	for _, path := range []string{"/stream/a", "/resumed/a"} {
		suspect(poisonPart)
		_, before := s.workers.times()
		if status, text := s.sendPrompt(0, path, "bad", poisonPart+":40,1:30"); status != http.StatusInternalServerError || !strings.Contains(text, "not_run") {
			t.Errorf("%s: expected the request to be refused as not run, got %d %s", path, status, text)
		}
		if _, after := s.workers.times(); len(after) != len(before) {
			t.Errorf("%s: expected the request to reach no worker", path)
		}
		suspect("ab")
		time.AfterFunc(300*time.Millisecond, func() { crashes.RecordLasted([]quarantine.Part{quarantine.NewPart("", "ab")}) })
		if status, text := s.sendPrompt(0, path, "sound", "ab:40,1:30"); status != http.StatusOK {
			t.Errorf("%s: expected the request to be served once its part is cleared, got %d %s", path, status, text)
		}
	}
}
