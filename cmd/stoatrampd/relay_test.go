package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/stoatramp/stoatramp/internal/box"
	"github.com/stoatramp/stoatramp/internal/cli"
	"github.com/stoatramp/stoatramp/internal/config"
)

// tables stands in for the platform's table service.
type tables struct {
	mu   sync.Mutex
	ver  int64
	rows map[string]map[string]tableRow
	down bool
}

type tableRow struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Ver   int64  `json:"ver"`
}

func (s *tables) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	if s.rows[table] == nil {
		s.rows[table] = map[string]tableRow{}
	}
	s.rows[table][key] = tableRow{key, []byte(value), s.ver}
}

func (s *tables) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		rows, ver, down := s.since(r.URL.Query().Get("table"), after)
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(rows) > 0 || time.Now().After(end) {
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": ver, "now_ms": 1})
			return
		}
	}
}

func (s *tables) since(table string, after int64) (out []tableRow, ver int64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows[table] {
		if row.Ver > after {
			out = append(out, row)
		}
	}
	return out, s.ver, s.down
}

const operatorKey = "the operators' key"

// relayBox is a running box before stand-ins.
type relayBox struct {
	t     *testing.T
	b     *box.RelayBox
	store *tables
	ended chan error
}

func startRelay(t *testing.T, service http.HandlerFunc) *relayBox {
	store := &tables{rows: map[string]map[string]tableRow{}}
	platform, endpoint := httptest.NewServer(store), httptest.NewServer(service)
	t.Cleanup(platform.Close)
	t.Cleanup(endpoint.Close)
	store.put("servers", "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"h","state":"ready"}`, endpoint.Listener.Addr()))
	settings := fmt.Sprintf(`
[box]
name = b
region = r
hall = h
linger = 50ms
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
`, config.Digest(operatorKey), platform.Listener.Addr())
	cfg, err := config.ParseRelay("test", []byte(settings))
	if err != nil {
		t.Fatal(err)
	}
	b, err := newRelay(cfg, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	x := &relayBox{t: t, b: b, store: store, ended: make(chan error, 1)}
	go func() { x.ended <- b.Run() }()
	x.await(http.StatusServiceUnavailable) // No configuration yet.
	x.configure(1, "/a/")
	x.await(http.StatusOK)
	return x
}

func (x *relayBox) configure(version int, prefix string) {
	x.store.put("op", "config", fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"h.example","pathPrefix":%q,"kind":"unsafe","timeoutMs":3000,"targetLatencyMs":300,"service":"s","maxAttempts":1}],"services":[{"name":"s"}],"limits":{"maxBodyBytes":1000}}`, version, prefix))
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
	var out bytes.Buffer
	// The first box does not answer; 'why' goes on to the second.
	boxes := "http://" + x.b.Operators
	if args[0] == "why" {
		boxes = "http://127.0.0.1:1," + boxes
	}
	if code := cli.Main(append([]string{"--box", boxes, "--key", operatorKey}, args...), &out, &out); code != 0 {
		x.t.Errorf("stoatramp %v: exit code %d: %s", args, code, out.String())
	}
	return out.String()
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
	x.store.mu.Lock()
	x.store.down = true
	x.store.mu.Unlock()
	x.configure(2, "/b/")
	if status, _ := x.get("/a/x"); status != http.StatusOK {
		t.Errorf("expected the box to serve on while the store is down, got %d", status)
	}
	x.store.mu.Lock()
	x.store.down = false
	x.store.mu.Unlock()
	x.until("version 2 in force", func() bool { status, _ := x.get("/b/x"); return status == http.StatusOK })
	if status, _ := x.get("/a/x"); status != http.StatusNotFound {
		t.Errorf("expected the dropped route to be gone, got %d", status)
	}
	x.stops(slow)
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
