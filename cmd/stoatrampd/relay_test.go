package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/internal/config"
	"github.com/stoatramp/stoatramp/internal/telemetry"
	"github.com/stoatramp/stoatramp/platform/standin"
)

const operatorKey = "the operators' key"

// relayBox is a running box before stand-ins.
type relayBox struct {
	t       *testing.T
	b       *box.RelayBox
	store   *standin.Store
	address string // The store's.
	// endpoint is the address of the service.
	endpoint string
	file     string // The settings'.
	log      lines
	ended    chan error
}

// lines gathers what a box logs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) has(parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for line := range strings.Lines(l.text.String()) {
		all := true
		for _, p := range parts {
			all = all && strings.Contains(line, p)
		}
		if all {
			return true
		}
	}
	return false
}

func startRelay(t *testing.T, service http.HandlerFunc) *relayBox {
	store := standin.NewStore()
	x := newRelayBox(t, store, store, service)
	x.start()
	x.await(http.StatusServiceUnavailable) // No configuration yet.
	x.configure(1, "/a/")
	x.await(http.StatusOK)
	return x
}

// newRelayBox prepares a box before a service with one endpoint and a store that the platform's server passes
// calls on to.
func newRelayBox(t *testing.T, store *standin.Store, platform http.Handler, service http.HandlerFunc) *relayBox {
	before, endpoint := httptest.NewServer(platform), httptest.NewServer(service)
	t.Cleanup(before.Close)
	t.Cleanup(endpoint.Close)
	x := &relayBox{t: t, store: store, address: before.Listener.Addr().String(), endpoint: endpoint.Listener.Addr().String(), ended: make(chan error, 1)}
	x.list("i-1", "ready")
	return x
}

// list writes the entry of an endpoint.
func (x *relayBox) list(id, state string) {
	x.store.Put("servers", id, fmt.Appendf(nil, `{"service":"s","address":%q,"zone":"h","version":"v1","slots":8,"state":%q,"coldRemainingMs":0,"sequence":0}`, x.endpoint, state), 0)
}

// settings are those of the box, with more lines in its first section.
func (x *relayBox) settings(more string) string {
	return fmt.Sprintf(`
[box]
name = b
region = r
hall = h
linger = 50ms
stop_timeout = 5s
%s
[callers]
listen = 127.0.0.1:0
[readiness]
listen = 127.0.0.1:0
[operators]
listen = 127.0.0.1:0
key_sha256 = %s
[store]
address = %s
`, more, config.Digest(operatorKey), x.address)
}

// start starts a box of these settings.
func (x *relayBox) start() {
	x.t.Helper()
	x.file = x.t.TempDir() + "/box.ini"
	x.save(x.settings(""))
	cfg, err := config.LoadRelay(x.file)
	if err != nil {
		x.t.Fatal(err)
	}
	if x.b, err = newRelay(cfg, telemetry.NewLogger(&x.log)); err != nil {
		x.t.Fatal(err)
	}
	x.b.Reload = func() (*config.Relay, error) { return config.LoadRelay(x.file) }
	go func() { x.ended <- x.b.Run() }()
}

func (x *relayBox) save(settings string) {
	x.t.Helper()
	if err := os.WriteFile(x.file, []byte(settings), 0o600); err != nil {
		x.t.Fatal(err)
	}
}

func (x *relayBox) configure(version int, prefix string) {
	x.store.Put("op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"r","hostname":"h.example","pathPrefix":%q,"kind":"unsafe","timeoutMs":60000,"targetLatencyMs":300,"service":"s","maxAttempts":1}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":1000}}`, version, prefix), 0)
}

// await waits until the readiness address answers so.
func (x *relayBox) await(status int) {
	x.t.Helper()
	x.until(fmt.Sprintf("status %d when asked for readiness", status), func() bool {
		resp, err := http.Get("http://" + x.b.Readiness + "/stoatramp/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == status
	})
}

func (x *relayBox) until(what string, ok func() bool) {
	x.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			x.t.Fatalf("expected %s", what)
		}
	}
}

func (x *relayBox) get(path string) (int, string) {
	x.t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+x.b.Callers+path, nil)
	if err != nil {
		x.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", "id-1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Signature", "x")
	_, _ = io.WriteString(w, "hello")
}

func (x *relayBox) tool(args ...string) string {
	x.t.Helper()
	out, code := x.run(operatorKey, args...)
	if code != 0 {
		x.t.Errorf("stoatramp %v: exit code %d: %s", args, code, out)
	}
	return out
}

// run runs the tool with a key and returns its exit code.
func (x *relayBox) run(key string, args ...string) (string, int) {
	var out bytes.Buffer
	// The first box does not answer; 'why' goes on to the second.
	boxes := "http://" + x.b.Operators
	if args[0] == "why" {
		boxes = "http://127.0.0.1:1," + boxes
	}
	code := cli.Main(append([]string{"--box", boxes, "--key", key}, args...), &out, &out)
	return out.String(), code
}

// A box on the platform serves, follows the configuration through an outage of the store,
// answers its operators, and a signal ends it without cutting a request off.
func TestRelayBox(t *testing.T) {
	slow := make(chan struct{})
	x := startRelay(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-slow
		}
		echo(w, r)
	})
	if status, body := x.get("/a/x"); status != http.StatusOK || body != "hello" {
		t.Errorf("expected the endpoint's answer, got %d %s", status, body)
	}
	if out := x.tool("why", "id-1"); !strings.Contains(out, "/a/x") || !strings.Contains(out, "i-1") {
		t.Errorf("expected the request to be explained, got %s", out)
	}
	if out := x.tool("status"); !strings.Contains(out, "box b in h") || !strings.Contains(out, "configuration version 1") {
		t.Errorf("unexpected status: %s", out)
	}
	x.store.SetFault(standin.StoreFault{Down: "busy"})
	x.configure(2, "/b/")
	if status, _ := x.get("/a/x"); status != http.StatusOK {
		t.Errorf("expected the box to serve on while the store is down, got %d", status)
	}
	x.store.SetFault(standin.StoreFault{})
	x.until("version 2 in force", func() bool { status, _ := x.get("/b/x"); return status == http.StatusOK })
	if status, _ := x.get("/a/x"); status != http.StatusNotFound {
		t.Errorf("expected the dropped route to be gone, got %d", status)
	}
	x.stops(slow)
}

// A box learns of an evacuated hall as it does of the configuration, of which no version changes, and
// holds to it while the store is down.
func TestRelayEvacuation(t *testing.T) {
	x := startRelay(t, echo)
	expect := func(what string, status int) {
		t.Helper()
		x.until(what, func() bool { got, _ := x.get("/a/x"); return got == status })
	}
	x.store.Put("op", "evacuate/h", []byte("{}"), 0)
	expect("the only hall to be evacuated", http.StatusServiceUnavailable)
	if !x.log.has("hall evacuated", `"hall":"h"`) {
		t.Error("expected the log to say that the hall is evacuated")
	}
	x.store.SetFault(standin.StoreFault{Down: "busy"})
	if got, body := x.get("/a/x"); got != http.StatusServiceUnavailable || !strings.Contains(body, "not_run") {
		t.Errorf("expected the hall to stay evacuated while the store is down, got %d %s", got, body)
	}
	x.store.Drop("op", "evacuate/h")
	x.store.SetFault(standin.StoreFault{})
	expect("the hall to be taken back", http.StatusOK)
	_ = x.b.Stop()
	<-x.ended
}

// stops sends a signal while a request runs.
func (x *relayBox) stops(slow chan struct{}) {
	got := make(chan int, 1)
	go func() {
		status, _ := x.get("/b/slow")
		got <- status
	}()
	x.until("the slow request to run", func() bool { return x.b.Relay.Running() == 1 })
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		x.t.Fatal(err)
	}
	go func() { _ = x.b.Stop() }()
	x.await(http.StatusServiceUnavailable)
	close(slow)
	if status := <-got; status != http.StatusOK {
		x.t.Errorf("expected the running request to be answered, got %d", status)
	}
	if err := <-x.ended; err != nil {
		x.t.Errorf("expected a clean end, got %v", err)
	}
}

const refusing = `
def admit(request, pool):
    # Calls that may run once are refused while a test wants it.
    if request.kind == "once":
        return refuse("the test wants it")
    return run()
`

const refusingCases = `
expect("once is refused", admit(request(kind = "once"), pool()), refuse())
expect("a stream runs", admit(request(), pool()), run())
`

// Policies and keys are changed through a box, while the store is there, and stay in force
// without it; a bad policy changes nothing, and racing operators are told.
func TestRelayPolicies(t *testing.T) {
	x := startRelay(t, echo)
	dir := t.TempDir()
	file := dir + "/calm.star"
	write := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(dir+"/"+name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("calm.star", refusing)
	write("calm_test.star", strings.Replace(refusingCases, "refuse()", "run()", 1))
	if out, code := x.run(operatorKey, "policy", "apply", file); code != 4 || !strings.Contains(out, "once is refused") {
		t.Errorf("expected a policy whose cases fail to be refused, got %d %s", code, out)
	}
	write("calm_test.star", refusingCases)
	out := x.tool("policy", "apply", file, "--kind", "once", "--author", "ana")
	if !strings.Contains(out, "Accepted as version 1 and in force on this box") {
		t.Errorf("unexpected answer: %s", out)
	}
	if status, body := x.get("/a/x"); status != http.StatusTooManyRequests || !strings.Contains(body, "policy_refused") {
		t.Errorf("expected the policy to refuse, got %d %s", status, body)
	}
	if out := x.tool("why", "id-1"); !strings.Contains(out, "the test wants it") || !strings.Contains(out, "policies of version 1, rule calm") {
		t.Errorf("expected the policy's own words, got %s", out)
	}
	if out := x.tool("policy", "get", "calm"); !strings.Contains(out, "refuse(\"the test wants it\")") {
		t.Errorf("expected the program, got %s", out)
	}
	if out := x.tool("policy", "history"); !strings.Contains(out, "ana") {
		t.Errorf("expected who changed it, got %s", out)
	}
	key := x.issueKey("bo")
	x.store.SetFault(standin.StoreFault{Down: "silent"})
	if status, _ := x.get("/a/x"); status != http.StatusTooManyRequests {
		t.Errorf("expected the policy to stay in force without the store, got %d", status)
	}
	if _, code := x.run(key, "status"); code != 0 {
		t.Errorf("expected an issued key to let in without the store, got exit code %d", code)
	}
	if _, code := x.run(operatorKey, "policy", "remove", "calm"); code != 1 {
		t.Errorf("expected a change without the store to fail, got exit code %d", code)
	}
	x.store.SetFault(standin.StoreFault{})
	x.until("the policy to be removed", func() bool { _, code := x.run(key, "policy", "remove", "calm"); return code == 0 })
	if status, _ := x.get("/a/x"); status != http.StatusOK {
		t.Errorf("expected the built-in rules without a policy, got %d", status)
	}
	x.tool("key", "revoke", "bo")
	if _, code := x.run(key, "status"); code != 1 {
		t.Errorf("expected a revoked key to let nobody in, got exit code %d", code)
	}
	_ = x.b.Stop()
	<-x.ended
}

func (x *relayBox) issueKey(name string) string {
	x.t.Helper()
	out := x.tool("key", "issue", name)
	_, key, ok := strings.Cut(out, "shown only now: ")
	if !ok {
		x.t.Fatalf("expected a key, got %s", out)
	}
	return strings.TrimSpace(key)
}

// A request to read the settings again changes what can change, says what cannot, and a
// fault in them changes nothing. No request is cut.
func TestRelayReload(t *testing.T) {
	slow := make(chan struct{})
	x := startRelay(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/slow") {
			<-slow
		}
		echo(w, r)
	})
	got := make(chan int, 1)
	go func() {
		status, _ := x.get("/a/slow")
		got <- status
	}()
	x.until("the slow request to run", func() bool { return x.b.Relay.Running() == 1 })
	hup := func(settings string) {
		t.Helper()
		x.save(settings)
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hup(x.settings("queue = nonsense"))
	x.until("the fault to be logged", func() bool { return x.log.has(`"msg":"reload"`, "nothing changed", "queue") })
	hup(strings.Replace(x.settings("queue = 7"), "hall = h", "hall = elsewhere", 1))
	x.until("the change to be logged", func() bool {
		return x.log.has(`"msg":"reload"`, `"changed":["queue"]`, `"needs_restart":["hall"]`)
	})
	other := "another key"
	hup(strings.Replace(x.settings("queue = 7"), config.Digest(operatorKey), config.Digest(other), 1))
	x.until("the new key to be let in", func() bool { _, code := x.run(other, "status"); return code == 0 })
	if _, code := x.run(operatorKey, "status"); code != 1 {
		t.Errorf("expected the old key to let nobody in, got exit code %d", code)
	}
	close(slow)
	if status := <-got; status != http.StatusOK {
		t.Errorf("expected the running request to be answered, got %d", status)
	}
	_ = x.b.Stop()
	<-x.ended
	for _, line := range [][]string{{`"msg":"start"`}, {`"msg":"stop"`}, {`"change":"configuration in force"`, `"version":1`}, {`"decision":"endpoint"`, `"list_age_ms"`}} {
		if !x.log.has(line...) {
			t.Errorf("expected a line with %v", line)
		}
	}
}

// holdsList is a store that does not answer who reads the list of endpoints until it is released.
type holdsList struct {
	*standin.Store
	released chan struct{}
}

func (h holdsList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Query().Get("table") == "servers" {
		select {
		case <-h.released:
		case <-r.Context().Done():
			return
		}
	}
	h.Store.ServeHTTP(w, r)
}

func TestBoxThatDoesNotKnowTheEndpointsYetTakesNoConnections(t *testing.T) {
	t.Parallel()
	store := standin.NewStore()
	held := holdsList{store, make(chan struct{})}
	x := newRelayBox(t, store, held, echo)
	x.configure(1, "/a/")
	x.start()
	x.until("the configuration in force", func() bool { return x.log.has("configuration in force") })
	x.await(http.StatusServiceUnavailable)
	if status, body := x.get("/a/x"); status != http.StatusServiceUnavailable || !strings.Contains(body, "no_endpoints_known") {
		t.Errorf("expected a refusal that says why, got %d %s", status, body)
	}
	close(held.released)
	x.await(http.StatusOK)
	if status, body := x.get("/a/x"); status != http.StatusOK {
		t.Errorf("expected the endpoint's answer, got %d %s", status, body)
	}
}
