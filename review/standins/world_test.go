//go:build review

package standins

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world has the processes of a case.
type world struct {
	dir string // A temporary folder.
	// trouble is false if the case runs without its disruption.
	trouble bool
	record  *os.File

	mu    sync.Mutex
	procs []*proc

	store     string
	usedPorts map[int]bool
	ports     struct{ callers, readiness, operators, peers, worker int }
	boxes     []*box
	// started is when the traffic began.
	started time.Time
}

type proc struct {
	*exec.Cmd
	done chan struct{}
}

// runCase runs a script and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func runCase(folder string, script func(*world) bool) (status int) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if k := os.Getenv("KEEP"); k != "" {
			os.Rename(filepath.Join(w.dir, "log"), k)
		}
		os.RemoveAll(w.dir)
	}()
	if w.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.record.Close()
	defer w.stop()
	defer func() {
		if p := recover(); p != nil {
			w.note("could not run: %v", p)
			fmt.Fprintln(os.Stderr, "could not run:", p)
			status = 2
		}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(110 * time.Second):
		}
		w.stop()
		os.Exit(2)
	}()
	if script(w) {
		return 1
	}
	return 0
}

// must panics if the case can't run.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// note writes a line to the record.
func (w *world) note(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%d "+format+"\n", append([]any{time.Now().UnixMilli()}, a...)...)
}

// start starts a process. Its output goes to the record if recorded is set, and otherwise to a file of the temporary folder.
func (w *world) start(recorded bool, env []string, name string, args ...string) *proc {
	p := &proc{Cmd: exec.Command(name, args...), done: make(chan struct{})}
	p.Env = append(env, "PATH="+os.Getenv("PATH"), "HOME="+os.Getenv("HOME"))
	var out io.Writer = lineWriter{w}
	if !recorded {
		out = must(os.OpenFile(filepath.Join(w.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600))
	}
	p.Stdout, p.Stderr = out, out
	if err := p.Start(); err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	go func() {
		_ = p.Wait()
		close(p.done)
	}()
	return p
}

type lineWriter struct{ w *world }

func (l lineWriter) Write(b []byte) (int, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.record.Write(b)
}

// kill ends a process by SIGKILL and waits for its end.
func (p *proc) kill() {
	_ = p.Process.Kill()
	<-p.done
}

// stop ends all processes.
func (w *world) stop() {
	w.mu.Lock()
	list := w.procs
	w.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
}

// box is a box of the project.
type box struct {
	n        int
	ip       string
	settings string
	*proc
}

var halls = []string{"hall-a", "hall-b", "hall-c"}

// boxIP is the address of a box's machine. The ports are alike on all machines.
func boxIP(n int) string { return fmt.Sprintf("127.0.%d.%d", boxNet, n+1) }

func (w *world) callers(n int) string { return fmt.Sprintf("%s:%d", boxIP(n), w.ports.callers) }

// The loopback addresses of boxes, workers and the store: 127.0.NET.1 and on.
const (
	boxNet, workerNet, storeNet = 1, 2, 3
	maxMachines                 = 16
)

// freePort returns a port that is free on all addresses of a net, and that was not returned before. It is outside the range
// from which the operating system takes the ports of outgoing connections.
func (w *world) freePort(network int) int {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if !w.usedPorts[port] && isFree(network, port) {
			w.usedPorts[port] = true
			return port
		}
	}
	panic("no free port")
}

func isFree(network, port int) bool {
	for n := range maxMachines {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.%d.%d:%d", network, n+1, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// begin starts the store, and writes the configuration.
func (w *world) begin(config map[string]any) {
	w.usedPorts = map[int]bool{}
	for _, p := range []*int{&w.ports.callers, &w.ports.readiness, &w.ports.operators, &w.ports.peers} {
		*p = w.freePort(boxNet)
	}
	w.ports.worker = w.freePort(workerNet)
	w.store = fmt.Sprintf("127.0.%d.1:%d", storeNet, w.freePort(storeNet))
	w.start(true, nil, os.Args[0], "store", w.store)
	w.await("the store", func() bool { return w.post("/standin/fault", struct{}{}) == nil })
	w.putConfig(config)
}

// await waits until a condition holds, at most 20 s.
func (w *world) await(what string, ok func() bool) {
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			panic("no " + what)
		}
	}
}

func (w *world) post(path string, doc any) error { return post("http://"+w.store+path, doc) }

func post(url string, doc any) error {
	b := must(json.Marshal(doc))
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

func (w *world) putConfig(config map[string]any) {
	row := map[string]any{"table": "op", "key": "config", "value": must(json.Marshal(config))}
	if err := w.post("/standin/put", row); err != nil {
		panic(err)
	}
}

// dropWorker removes a worker's entry.
func (w *world) dropWorker(id string) {
	if err := w.post("/standin/drop?table=servers&key="+id, nil); err != nil {
		panic(err)
	}
}

// startWorker starts worker number n on a machine of its own.
func (w *world) startWorker(n int, o workerOptions) (*proc, workerOptions) {
	o.Address = fmt.Sprintf("127.0.%d.%d:%d", workerNet, n+1, w.ports.worker)
	o.Store, o.HeartbeatMS = w.store, 1200
	if o.Zone == "" {
		o.Zone = halls[n%len(halls)]
	}
	p := w.start(true, nil, os.Args[0], "worker", string(must(json.Marshal(o))))
	w.await("worker", func() bool { return get("http://"+o.Address+"/health") == nil })
	return p, o
}

func get(url string) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// fill fills the template of the deploy file for a box, as the platform does.
func (w *world) fill(n, boxes int) string {
	text := string(must(os.ReadFile("deploy/box.ini")))
	var seeds []string
	for i := range min(3, boxes) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", boxIP(i), w.ports.operators))
	}
	text = strings.Replace(text, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", "hall-a:region,hall-b:region,hall-c:region", 1)
	address := func(port int) string { return fmt.Sprintf("%s:%d", boxIP(n), port) }
	for gap, value := range map[string]string{
		"nodeName": fmt.Sprintf("front-%d", n+1), "region": "region", "zone": halls[n%len(halls)], "limits.memoryMb": "134",
		"listen.front": address(w.ports.callers), "listen.readiness": address(w.ports.readiness), "listen.control": address(w.ports.operators),
		"operatorKeySha256": "", "ip": boxIP(n), "internalPorts.0": fmt.Sprint(w.ports.peers), "seeds": strings.Join(seeds, ","),
		"platform.address": w.store, "bounds.contactMs": "3000", "bounds.drainMs": "2000", "bounds.configApplyMs": "2000",
		"bounds.budgetSlack": "56", "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.coldOver": "", "bounds.coldSlack": "",
		"bounds.quotaWindowS": "", "bounds.quotaOverage": "", "bounds.quotaSlack": "", "bounds.revokeMs": "", "bounds.strictRevocation": "",
	} {
		text = strings.ReplaceAll(text, "{{"+gap+"}}", value)
	}
	if strings.Contains(text, "{{") {
		panic("a gap of the template is unknown: " + text[strings.Index(text, "{{"):])
	}
	return text
}

// startBoxes starts that many boxes with the command of the deploy file, and waits until they are ready.
func (w *world) startBoxes(n int) {
	for i := range n {
		b := &box{n: i, ip: boxIP(i), settings: filepath.Join(w.dir, fmt.Sprintf("box-%d.ini", i))}
		if err := os.WriteFile(b.settings, []byte(w.fill(i, n)), 0o600); err != nil {
			panic(err)
		}
		w.boxes = append(w.boxes, b)
		w.startBox(b)
	}
	for _, b := range w.boxes {
		w.awaitReady(b)
	}
}

func (w *world) startBox(b *box) {
	b.proc = w.start(false, []string{"STOATRAMP_BOOT=" + b.settings}, "target/stoatrampd", "relay")
}

func (w *world) isReady(b *box) bool {
	return get(fmt.Sprintf("http://%s:%d/stoatramp/ready", b.ip, w.ports.readiness)) == nil
}

func (w *world) awaitReady(b *box) {
	w.await("ready box", func() bool {
		select {
		case <-b.done:
			log := must(os.ReadFile(filepath.Join(w.dir, "log")))
			panic(fmt.Sprintf("box %d ended at its start: %s", b.n+1, log[max(0, len(log)-600):]))
		default:
			return w.isReady(b)
		}
	})
}

// stream is what a client has seen of an attempt of a stream.
type stream struct {
	id, resumes string
	box         int
	status      int
	pieces      []string // The data of the events.
	last        int      // The ID of the last event.
	// complete is set if the answer ended as complete: by its length, its last chunk, or a regular close of its connection if
	// it has neither.
	complete bool
	framing  string
	err      error
	ended    time.Time
}

// open sends an attempt of a stream over a connection of its own, and reads the answer to its end.
func (w *world) open(ctx context.Context, s *stream, path string, output int) {
	r := must(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.callers(s.box)+path, strings.NewReader(strings.Repeat("p", 2000))))
	r.Host = "llm.example"
	for k, v := range map[string]string{
		"X-Request-Id": s.id, "X-Model-Id": "m", "X-Token-Usage": fmt.Sprintf("500,%d", output), "X-Prompt-Prefix": "5c1e07a2:200," + s.id + ":300",
		"X-Deadline-Ms": "14000", "X-Length-Hint": fmt.Sprint(output),
	} {
		r.Header.Set(k, v)
	}
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", fmt.Sprint(s.last))
		r.Header.Set("Resumes", s.resumes)
	}
	w.note("client sent id=%s box=%d after=%d resumes=%s", s.id, s.box+1, s.last, s.resumes)
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err == nil {
		defer resp.Body.Close()
		s.status = resp.StatusCode
		switch {
		case resp.ContentLength >= 0:
			s.framing = "length"
		case len(resp.TransferEncoding) > 0:
			s.framing = "chunked"
		default:
			s.framing = "close"
		}
		var b []byte
		b, err = io.ReadAll(resp.Body)
		if s.status == http.StatusOK {
			s.addEvents(string(b))
		}
	}
	s.err, s.complete, s.ended = err, err == nil, time.Now()
	w.note("client id=%s box=%d status=%d framing=%s pieces=%d last=%d complete=%t error=%v", s.id, s.box+1, s.status, s.framing, len(s.pieces), s.last, s.complete, err)
}

func (s *stream) addEvents(text string) {
	list := strings.Split(text, "\n\n")
	for _, e := range list[:len(list)-1] { // The last one is not complete.
		var id int
		_, data, _ := strings.Cut(e, "\ndata: ")
		if _, err := fmt.Sscanf(e, "id: %d", &id); err == nil {
			s.pieces, s.last = append(s.pieces, data), id
		}
	}
}

// config returns a configuration with a stream route, which may be resumed or not.
func config(resumable bool) map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-verdict", "hostname": "llm.example", "pathPrefix": "/verdict/", "kind": "stream", "timeoutMs": 14000, "targetLatencyMs": 900,
			"priority": 1, "service": "verdict", "maxAttempts": 2, "stickySessions": true, "resumable": resumable, "targetGapMs": 300,
		}},
		"services": []map[string]any{{
			"name": "verdict", "healthCheckPath": "/health", "maxConnections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvTokens": kvTokens, "tokenKvBytes": 18432, "linkMbps": 1000000.0, "moves": true, "backups": true, "stride": stride,
				"most": 12, "handleTtlS": handleTTL.Seconds(), "stageSwitchS": 6.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []map[string]string{{"name": "m"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// judgeEnds notes the streams that ended as complete before their last piece.
func (w *world) judgeEnds(streams []*stream, whole int) (broken bool) {
	good := 0
	for _, s := range streams {
		switch {
		case s.complete && s.status == http.StatusOK && len(s.pieces) < whole:
			broken = true
			w.note("BROKEN: id=%s ended as complete at box %d with %d of %d pieces (framing %s)", s.id, s.box+1, len(s.pieces), whole, s.framing)
		case s.complete && s.status == http.StatusOK:
			good++
		}
	}
	w.note("result: %d of %d streams whole, broken=%t", good, len(streams), broken)
	if good == 0 {
		panic("no stream was served")
	}
	return broken
}
