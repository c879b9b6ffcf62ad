//go:build review2

// Package standins plays the cases of this review that have a run.sh. It starts boxes as the deploy file does, with the
// settings template of the deploy file, before stand-ins of the platform: the project's own store and workers
// (platform/standin), wrapped where a case needs a worker that is late or silent. Everything listens on loopback addresses.
// The files are test files behind a build tag, so that they stay out of the default test run and of the program's layers.
package standins

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stoatramp/stoatramp/platform/standin"
)

// run is one play of a case.
type run struct {
	dir     string // The folder of the case; record.txt is written there.
	tmp     string
	trouble bool
	began   time.Time

	mu     sync.Mutex
	record *os.File
	boxes  []*boxProc
	store  *standin.Store
	// bare means that workers don't say when they started.
	bare bool
	// onRun is called for each run of a worker; nil if nobody wants to know.
	onRun func(run standin.Run, version string)
}

// log writes a line to record.txt.
func (r *run) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// exitError ends a play with an exit code.
type exitError struct {
	code int
	text string
}

func (r *run) cannotRun(format string, args ...any) {
	panic(exitError{2, fmt.Sprintf(format, args...)})
}

// boxProc is a box that the play started.
type boxProc struct {
	name, ip                            string
	callers, readiness, operators, peer string
	cmd                                 *exec.Cmd
	exited                              chan struct{}
}

// fill fills the gaps of the settings template, for the gaps that deploy/box.ini has.
func fill(template string, values map[string]string) string {
	template = regexp.MustCompile(`\{\{#zones\}\}.*?\{\{/zones\}\}`).ReplaceAllString(template, values["zones"])
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(template, func(gap string) string {
		return values[strings.Trim(gap, "{}")]
	})
}

// startBox starts a box with the command of the deploy file. All boxes have the same ports, on addresses of their own.
func (r *run) startBox(name, ip, store string, seeds []string) *boxProc {
	b := &boxProc{name: name, ip: ip, callers: ip + ":18144", readiness: ip + ":18140", operators: ip + ":18146", peer: ip + ":17660", exited: make(chan struct{})}
	template, err := os.ReadFile("deploy/box.ini")
	if err != nil {
		r.cannotRun("settings template: %v", err)
	}
	text := fill(string(template), map[string]string{
		"nodeName": name, "region": "perth", "zone": "malaga-hall", "zones": "malaga-hall:perth", "limits.memoryMb": "134",
		"listen.front": b.callers, "listen.readiness": b.readiness, "listen.control": b.operators, "ip": ip, "internalPorts.0": "17660",
		"seeds": strings.Join(seeds, ","), "platform.address": store, "bounds.contactMs": "3000", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000",
		"bounds.budgetSlack": "56", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
	})
	file := filepath.Join(r.tmp, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.cannotRun("settings: %v", err)
	}
	out, err := os.Create(filepath.Join(r.tmp, name+".log"))
	if err != nil {
		r.cannotRun("log: %v", err)
	}
	b.cmd = exec.Command("target/stoatrampd", "relay")
	b.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "STOATRAMP_BOOT=" + file, "STOATRAMP_LINK_MBPS=1000"}
	b.cmd.Stdout, b.cmd.Stderr = out, out
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		r.cannotRun("start %s: %v", name, err)
	}
	go func() {
		_ = b.cmd.Wait()
		r.log("%s has ended: %v", name, b.cmd.ProcessState)
		close(b.exited)
	}()
	r.log("%s started, callers at %s", name, b.callers)
	r.mu.Lock()
	r.boxes = append(r.boxes, b)
	r.mu.Unlock()
	return b
}

func (b *boxProc) signal(s os.Signal) { _ = b.cmd.Process.Signal(s) }

func (b *boxProc) isReady() bool {
	c := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + b.readiness + "/stoatramp/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) awaitReady(boxes ...*boxProc) {
	for _, b := range boxes {
		for end := time.Now().Add(15 * time.Second); !b.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				r.cannotRun("%s is not ready", b.name)
			}
		}
	}
}

// freeIPs returns n loopback addresses on which the ports of boxes are free.
func (r *run) freeIPs(n int) (out []string) {
	for i := 1; i < 250 && len(out) < n; i++ {
		ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, i)
		free := true
		for _, port := range []string{":18144", ":18140", ":18146", ":17660"} {
			lis, err := net.Listen("tcp", ip+port)
			if err != nil {
				free = false
				break
			}
			_ = lis.Close()
		}
		if free {
			out = append(out, ip)
		}
	}
	if len(out) < n {
		r.cannotRun("no free loopback addresses")
	}
	return out
}

func (r *run) serve(h http.Handler) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannotRun("listen: %v", err)
	}
	go func() { _ = http.Serve(lis, h) }()
	return lis.Addr().String()
}

// endAll ends all boxes that the play started, by their process ids.
func (r *run) endAll() {
	r.mu.Lock()
	boxes := r.boxes
	r.mu.Unlock()
	for _, b := range boxes {
		b.signal(syscall.SIGCONT)
		b.signal(syscall.SIGKILL)
		<-b.exited
	}
}

// worker is a stand-in worker that can fall silent.
type worker struct {
	*standin.Worker
	id, address string
	mu          sync.Mutex
	leaving     bool
	silentUntil time.Time
	movedAt     time.Time // When a run was moved away for the first time.
	options     standin.WorkerOptions
	srv         *http.Server
	stop        chan struct{}
}

func (w *worker) fallSilent(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = time.Now().Add(d)
}

// leave has the worker say that it is leaving, in its entry and in all its answers.
func (r *run) leave(w *worker) {
	r.log("worker %s says that it is leaving", w.id)
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.Leave()
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

func (w *worker) awaitVoice() {
	w.mu.Lock()
	d := time.Until(w.silentUntil)
	w.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// silentWriter holds back what a silent worker would write.
type silentWriter struct {
	http.ResponseWriter
	w *worker
}

func (s silentWriter) Write(b []byte) (int, error) {
	s.w.awaitVoice()
	return s.ResponseWriter.Write(b)
}
func (s silentWriter) WriteHeader(status int) {
	s.w.awaitVoice()
	s.ResponseWriter.WriteHeader(status)
}
func (s silentWriter) Unwrap() http.ResponseWriter { return s.ResponseWriter }

// newWorker starts a stand-in worker and registers it in the store.
func (r *run) newWorker(o standin.WorkerOptions) *worker {
	w := &worker{id: o.ID}
	o.HeartbeatMS, o.Zone = 1200, "malaga-hall"
	r.startWorker(w, o, "127.0.0.1:0")
	return w
}

// startWorker starts a life of a worker at an address.
func (r *run) startWorker(w *worker, o standin.WorkerOptions, address string) {
	o.Born = time.Now().UnixMilli()
	life := standin.NewWorker(o)
	version := cmp.Or(o.Version, "v1")
	life.OnRun = func(run standin.Run) {
		r.log("worker %s begins to run request %s (%s), after event %q, version %s, moved %v", o.ID, run.ID, run.Path, run.After, version, run.Migrated)
		if r.onRun != nil {
			r.onRun(run, version)
		}
	}
	life.OnOrder = func(d standin.Order) { r.log("worker %s gets an order of %s with fence %d", o.ID, d.Holder, d.Token) }
	var lis net.Listener
	var err error
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if lis, err = net.Listen("tcp", address); err == nil {
			break
		}
		if time.Now().After(end) {
			r.cannotRun("listen: %v", err)
		}
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		asked := time.Now()
		w.awaitVoice()
		if w.isLeaving() {
			rw.Header().Set("Server-Leaving", "1")
		}
		if req.URL.Path == "/stoatramp/kv-move" {
			r.log("worker %s gets a call to move a run away, sent %d ms ago", o.ID, time.Since(asked).Milliseconds())
			w.mu.Lock()
			if w.movedAt.IsZero() {
				w.movedAt = time.Now()
			}
			w.mu.Unlock()
		}
		if r.bare && req.URL.Path == "/stoatramp/report" {
			serveBareReport(life, rw, req)
			return
		}
		life.ServeHTTP(silentWriter{rw, w}, req)
	})}
	stop := make(chan struct{})
	w.mu.Lock()
	w.Worker, w.options, w.address, w.srv, w.stop = life, o, lis.Addr().String(), srv, stop
	w.mu.Unlock()
	life.SetAddress(w.address)
	go func() { _ = srv.Serve(lis) }()
	if r.bare {
		go r.writeBareEntries(life, o, stop)
		return
	}
	go life.SendHeartbeats(stop)
}

// serveBareReport answers with a report that does not say when the worker started, as in the bench's examples of messages.
func serveBareReport(life *standin.Worker, rw http.ResponseWriter, req *http.Request) {
	rec := httptest.NewRecorder()
	life.ServeHTTP(rec, req)
	var doc map[string]any
	if json.Unmarshal(rec.Body.Bytes(), &doc) == nil {
		delete(doc, "born")
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc)
}

// writeBareEntries keeps the entry of a worker in the store, in the form of the bench's examples of messages.
func (r *run) writeBareEntries(life *standin.Worker, o standin.WorkerOptions, stop chan struct{}) {
	for {
		s := life.State()
		doc := map[string]any{
			"service": s.Service, "address": s.Address, "zone": s.Zone, "version": cmp.Or(s.Version, "v1"), "slots": s.Slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": s.Orders,
		}
		if s.Stage != "" {
			doc["stage"] = s.Stage
		}
		text, _ := json.Marshal(doc)
		r.store.Put("servers", o.ID, text, 3600*time.Millisecond)
		select {
		case <-time.After(1200 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// crash ends the present life of a worker: its port refuses connections, and its open connections are closed.
func (r *run) crash(w *worker) {
	r.log("worker %s crashes", w.id)
	close(w.stop)
	_ = w.srv.Close()
}

// restart starts a worker again under its ID and address, which holds and knows nothing of before.
func (r *run) restart(w *worker, version string) {
	r.log("worker %s is back under its id, version %s", w.id, version)
	o := w.options
	o.Version = version
	r.startWorker(w, o, w.address)
}

// answer is what a client saw of a request.
type answer struct {
	id       string
	status   int
	events   []string
	complete bool // The answer ended regularly.
	err      error
	head     http.Header
	body     string
}

// call sends one plain request on a connection of its own.
func (r *run) call(box, method, path, id string, deadline time.Duration) answer {
	a := answer{id: id}
	c, err := net.DialTimeout("tcp", box, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	r.log("client sends %s %s to %s", id, path, box)
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, path, id, deadline.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		r.log("client gets no answer to %s: %v", id, err)
		return a
	}
	body, err := io.ReadAll(resp.Body)
	a.status, a.head, a.body, a.err, a.complete = resp.StatusCode, resp.Header, string(body), err, err == nil
	r.log("client: the answer to %s: status %d, %.200s", id, a.status, a.body)
	return a
}

// stream sends one request for a stream on a connection of its own, and reads its answer to the end.
func (r *run) stream(box, path, id string, prompt, output int, deadline time.Duration, headers ...string) answer {
	a := answer{id: id}
	c, err := net.DialTimeout("tcp", box, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(deadline + 5*time.Second))
	extra := ""
	for _, h := range headers {
		extra += h + "\r\n"
	}
	r.log("client sends %s %s to %s", id, path, box)
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Model-Id: m\r\nX-Token-Usage: %d,%d\r\nX-Length-Hint: %d\r\nX-Prompt-Prefix: aa:200,%s:%d\r\nX-Deadline-Ms: %d\r\n%sContent-Length: 4\r\n\r\nbody",
		path, id, prompt, output, output, id, prompt-200, deadline.Milliseconds(), extra)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: "POST"})
	if err != nil {
		a.err = err
		r.log("client gets no answer to %s: %v", id, err)
		return a
	}
	a.status, a.head = resp.StatusCode, resp.Header
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.events = append(a.events, n)
		}
		if a.status != http.StatusOK {
			a.body += lines.Text()
		}
	}
	a.err = lines.Err()
	a.complete = a.err == nil
	last := ""
	if n := len(a.events); n > 0 {
		last = a.events[n-1]
	}
	r.log("client: the answer to %s has ended: status %d, %d events, the last %q, error %v %s", id, a.status, len(a.events), last, a.err, a.body)
	return a
}

func putConfig(store *standin.Store, version int, routes, services string) {
	text := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":3000,"idleTimeoutMs":20000}}`, version, routes, services)
	if !json.Valid([]byte(text)) {
		panic("configuration")
	}
	store.Put("op", "config", []byte(text), 0)
}

const engineService = `{"name":"llm","engine":{"slots":64,"kvTokens":60000,"tokenKvBytes":100,"linkMbps":100000,"handleTtlS":0.5,"holdMs":2000,"stride":10,"moves":true}}`

// TestMain takes the place of main. review/build-2.sh builds the package into one program.
func TestMain(*testing.M) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		os.Exit(2)
	}
	os.Exit(playCase(play, os.Args[2]))
}

func playCase(play func(*run) (broken bool), dir string) (code int) {
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if r.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return 2
	}
	if r.tmp, err = os.MkdirTemp("", "review-2-"); err != nil {
		return 2
	}
	defer os.RemoveAll(r.tmp)
	defer r.endAll()
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(exitError)
			if !ok {
				panic(v)
			}
			r.log("the case can't run: %s", e.text)
			code = e.code
		}
	}()
	go func() {
		time.Sleep(115 * time.Second)
		r.log("the case took too long")
		r.endAll()
		os.Exit(2)
	}()
	if play(r) {
		r.log("RESULT: the rule was broken")
		return 1
	}
	r.log("RESULT: the rule held")
	return 0
}
