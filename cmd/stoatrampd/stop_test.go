package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/platform/standin"
)

const stopSettings = `
[box]
name = box-1
region = r
hall = h
linger = 3s
stop_timeout = 5s
[callers]
listen = 127.0.0.1:0
[readiness]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
key_sha256 = %s
[store]
address = %s
`

const stopSiteConfig = `{"version":1,"routes":[
{"name":"slow","hostname":"h.example","pathPrefix":"/slow/","kind":"unsafe","timeoutMs":20000,"targetLatencyMs":300,"service":"slow","maxAttempts":1},
{"name":"repeat","hostname":"h.example","pathPrefix":"/repeat/","kind":"safe","timeoutMs":20000,"targetLatencyMs":300,"service":"slow","maxAttempts":2},
{"name":"fast","hostname":"h.example","pathPrefix":"/fast/","kind":"unsafe","timeoutMs":20000,"targetLatencyMs":300,"service":"fast","maxAttempts":1}],
"services":[{"name":"slow"},{"name":"fast"}],"limits":{"maxBodyBytes":10000}}`

// slowCallTime is how long a call to /slow/ takes at its endpoint. Late in the stop of stopSettings it cannot end.
const slowCallTime = 2500 * time.Millisecond

// stopSite is a box process with an endpoint of a slow service and one of a fast one.
type stopSite struct {
	t *testing.T
	b *boxProcess
	// runs counts the calls that reached the endpoints, by path.
	mu   sync.Mutex
	runs map[string]int
}

func newStopSite(t *testing.T) *stopSite {
	t.Helper()
	store := standin.NewStore()
	s := &stopSite{t: t, runs: map[string]int{}}
	address := serveHTTP(t, store)
	store.Put("op", "config", []byte(stopSiteConfig), 0)
	for _, service := range []string{"slow", "fast"} {
		store.Put("servers", "i-"+service, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"h","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":0}`, service, serveHTTP(t, http.HandlerFunc(s.serve))), 0)
	}
	s.b = launchBox(t, fmt.Sprintf(stopSettings, config.KeyDigest(operatorKey), address))
	s.b.awaitReady()
	return s
}

func (s *stopSite) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodOptions {
		return
	}
	s.mu.Lock()
	s.runs[r.URL.Path]++
	s.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/stuck") {
		<-r.Context().Done()
		return
	}
	if !strings.HasPrefix(r.URL.Path, "/fast/") {
		select {
		case <-time.After(slowCallTime):
		case <-r.Context().Done():
			return
		}
	}
	echo(w, r)
}

func (s *stopSite) runsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// call makes a call on a connection of its own.
func (s *stopSite) call(path string, body io.Reader) (status int, text string, err error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.b.Callers+path, body)
	if err != nil {
		return 0, "", err
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", "id"+strings.ReplaceAll(path, "/", "-"))
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

// callEach makes n calls, interval apart, and calls check for each with its path.
func (s *stopSite) callEach(prefix string, n int, interval time.Duration, began time.Time, check func(path string, status int, text string, err error)) {
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			path := fmt.Sprint(prefix, i)
			sent := time.Since(began).Milliseconds()
			status, text, err := s.call(path, strings.NewReader("!"))
			s.t.Logf("%s: sent at %d ms, ended at %d ms: %d %s %v, runs %d", path, sent, time.Since(began).Milliseconds(), status, text, err, s.runsOf(path))
			var dial *net.OpError
			if errors.As(err, &dial) && dial.Op == "dial" {
				return // The box did not take the call.
			}
			check(path, status, text, err)
		})
	}
	wg.Wait()
}

// Guards against a planned stop that takes calls late in its grace period and cuts them at its end.
func TestPlannedStopCutsNoLateCall(t *testing.T) {
	s := newStopSite(t)
	began := time.Now()
	answered := func(path string, status int, text string, err error) {
		if status != http.StatusOK || err != nil {
			t.Errorf("%s: expected an answer, got %d %s, %v", path, status, text, err)
		}
	}
	var warm sync.WaitGroup
	for _, prefix := range []string{"/slow/warm", "/repeat/warm", "/fast/warm"} {
		warm.Go(func() { s.callEach(prefix, 5, 0, began, answered) })
	}
	warm.Wait()
	began = time.Now()
	s.b.signal(syscall.SIGTERM)
	refused := 0
	var mu sync.Mutex
	answeredOrRefused := func(path string, status int, text string, err error) {
		mu.Lock()
		defer mu.Unlock()
		notRun := status == http.StatusServiceUnavailable && strings.Contains(text, `"draining"`) && strings.Contains(text, `"not_run"`)
		switch {
		case err != nil || status != http.StatusOK && !notRun:
			t.Errorf("%s: expected an answer or a refusal as not run, got %d %s, %v", path, status, text, err)
		case notRun:
			refused++
			if n := s.runsOf(path); n != 0 {
				t.Errorf("%s: refused as not run, but %d calls reached the endpoint", path, n)
			}
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() { s.callEach("/slow/", 15, 200*time.Millisecond, began, answeredOrRefused) })
	calls.Go(func() { s.callEach("/repeat/", 15, 200*time.Millisecond, began, answeredOrRefused) })
	calls.Go(func() { s.callEach("/fast/", 28, 100*time.Millisecond, began, answered) })
	calls.Wait()
	if refused == 0 {
		t.Error("expected late calls to be refused")
	}
	<-s.b.done
	if code := s.b.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("expected the box to exit cleanly, got exit code %d", code)
	}
	for line := range strings.Lines(s.b.log.all()) {
		if strings.Contains(line, "stop") {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// Guards against closing the connection of a caller whose request still runs or arrives at the end of a planned stop, and
// against a log that does not tell the requests that were cut off from those that ended late.
func TestEndOfPlannedStopIsAnswered(t *testing.T) {
	s := newStopSite(t)
	if status, text, err := s.call("/slow/warm", strings.NewReader("!")); status != http.StatusOK || err != nil {
		t.Fatalf("expected an answer, got %d %s, %v", status, text, err)
	}
	expect := func(path string, body io.Reader, want int, parts ...string) func() {
		return func() {
			status, text, err := s.call(path, body)
			for _, part := range parts {
				if status != want || err != nil || !strings.Contains(text, part) {
					t.Errorf("%s: expected %d with %s, got %d %s, %v", path, want, part, status, text, err)
				}
			}
		}
	}
	body, w := io.Pipe()
	defer w.Close()
	time.AfterFunc(30*time.Second, func() { _ = w.Close() })
	var calls sync.WaitGroup
	calls.Go(expect("/slow/stuck", strings.NewReader("!"), http.StatusBadGateway, `"draining"`, `"may_have_run"`))
	calls.Go(expect("/slow/upload", body, http.StatusServiceUnavailable, `"draining"`, `"not_run"`))
	_, _ = w.Write([]byte("!"))
	for end := time.Now().Add(10 * time.Second); s.runsOf("/slow/stuck") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("expected the call to reach its endpoint")
		}
	}
	s.b.signal(syscall.SIGTERM)
	calls.Wait()
	<-s.b.done
	if n := s.runsOf("/slow/upload"); n != 0 {
		t.Errorf("expected the upload not to be sent, got %d", n)
	}
	if !s.b.log.has("these requests are cut off", `"cut_off":1`, `"refused_late":1`, `"requests":["id-slow-stuck"]`) {
		t.Errorf("expected the log to name the call, got %s", s.b.log.all())
	}
}

// all returns the whole log.
func (l *logBuffer) all() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
