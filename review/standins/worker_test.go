//go:build review

package standins

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// workerOptions describe a worker process.
type workerOptions struct {
	ID, Service, Address, Zone, Stage, Version, Store string
	Slots                                             int
	// StepMS is the time between two events of a stream. WorkMS is the time of a plain request.
	StepMS, WorkMS int
	// Streams whose IDs begin with UnframedFrom get an answer with neither a length nor chunks, which ends with its
	// connection. It is empty if there are none.
	UnframedFrom string
	HeartbeatMS  int
}

// worker is a sound worker of the platform.
type worker struct {
	o    workerOptions
	born int64

	mu                sync.Mutex
	leaving, vanished bool
	handles           map[string]string // The request of each handle.
	live              map[string]*run
	copies            map[string]bool // The handles whose memory was copied here from other workers.
	running           int
}

// run is a stream in progress.
type run struct {
	stop    chan struct{} // Closed to stop the run for a move.
	stopped bool
	made    int
	ended   chan struct{}
}

func runWorker(options string) {
	w := &worker{born: time.Now().UnixMilli(), handles: map[string]string{}, live: map[string]*run{}, copies: map[string]bool{}}
	if err := json.Unmarshal([]byte(options), &w.o); err != nil {
		log.Fatal(err)
	}
	go func() {
		for {
			w.beat()
			time.Sleep(time.Duration(w.o.HeartbeatMS) * time.Millisecond)
		}
	}()
	log.Fatal(http.ListenAndServe(w.o.Address, w))
}

// note writes a line to the record.
func (w *worker) note(what, id string, more string) {
	fmt.Printf("%d worker %s %s id=%s %s\n", time.Now().UnixMilli(), w.o.ID, what, id, more)
}

func (w *worker) beat() {
	w.mu.Lock()
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	vanished := w.vanished
	w.mu.Unlock()
	if vanished {
		return
	}
	fields := map[string]any{
		"service": w.o.Service, "address": w.o.Address, "zone": w.o.Zone, "version": w.o.Version, "slots": w.o.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": 0, "born": w.born,
	}
	if w.o.Stage != "" {
		fields["stage"] = w.o.Stage
		fields["models"] = models
	}
	value, _ := json.Marshal(fields)
	row, _ := json.Marshal(map[string]any{"table": "servers", "key": w.o.ID, "value": value})
	resp, err := http.Post(fmt.Sprintf("http://%s/standin/put?ttl_ms=%d", w.o.Store, 3*w.o.HeartbeatMS), "application/json", bytes.NewReader(row))
	if err == nil {
		_ = resp.Body.Close()
	}
}

var models = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("X-Request-Id"); id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	switch path := r.URL.Path; {
	case r.Method == http.MethodOptions:
	case path == "/control/leave":
		w.leave(r.URL.Query().Get("end_ms"))
	case path == "/control/running":
		w.mu.Lock()
		fmt.Fprintln(rw, w.running)
		w.mu.Unlock()
	case path == "/control/vanish": // The worker keeps its entry up no more.
		w.mu.Lock()
		w.vanished = true
		w.mu.Unlock()
	case path == "/health":
		rw.Header().Set("X-Instance-Id", w.o.ID)
		w.mu.Lock()
		if w.leaving {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		w.mu.Unlock()
	case path == "/stoatramp/report":
		w.report(rw)
	case path == "/stoatramp/hold-take":
		writeJSON(rw, map[string]any{"hold": rand.Text()})
	case strings.HasPrefix(path, "/stoatramp/hold-drop/"):
	case strings.HasPrefix(path, "/stoatramp/kv-handle/"):
		w.takeHandle(strings.TrimPrefix(path, "/stoatramp/kv-handle/"))
	case strings.HasPrefix(path, "/peer/take/"):
		if w.takeHandle(strings.TrimPrefix(path, "/peer/take/")) == "" {
			rw.WriteHeader(http.StatusNotFound)
		}
	case path == "/stoatramp/kv-move":
		w.move(rw, r)
	case strings.HasPrefix(path, "/peer/copy/"):
		w.mu.Lock()
		w.copies[strings.TrimPrefix(path, "/peer/copy/")] = true
		w.mu.Unlock()
	case path == "/stoatramp/order": // No case has orders.
		rw.WriteHeader(http.StatusConflict)
	default:
		w.serveRequest(rw, r)
	}
}

func writeJSON(rw http.ResponseWriter, doc any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(doc)
}

// leave says draining, and ends the process after that time. end is counted from when the store has taken it.
func (w *worker) leave(end string) {
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	w.beat()
	w.note("draining", "-", "")
	ms, _ := strconv.Atoi(end)
	time.AfterFunc(time.Duration(ms)*time.Millisecond, func() {
		w.note("ends", "-", "")
		os.Exit(0)
	})
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.leaving {
		state = "draining"
	}
	writeJSON(rw, map[string]any{
		"stage": w.o.Stage, "models": models, "busy": false, "sequence": 0, "queued": 0, "running": w.running, "kvUsed": w.running * 2000,
		"kvTotal": kvTokens, "kvHandles": len(w.handles), "state": state, "runs": []any{}, "born": w.born,
	})
}

// takeHandle removes a handle, and returns the request whose memory it names.
func (w *worker) takeHandle(handle string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.handles[handle]
	delete(w.handles, handle)
	return id
}

// move stops a run, copies its memory to another worker, and answers with a handle.
func (w *worker) move(rw http.ResponseWriter, r *http.Request) {
	var d struct {
		ID            string
		TargetVersion string
		Latest        bool
	}
	if json.NewDecoder(r.Body).Decode(&d) != nil || !d.Latest {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	x := w.live[d.ID]
	if x == nil || x.stopped {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	x.stopped = true
	close(x.stop)
	w.mu.Unlock()
	<-x.ended
	handle := rand.Text()
	w.mu.Lock()
	w.handles[handle] = d.ID
	w.mu.Unlock()
	resp, err := http.Post("http://"+d.TargetVersion+"/peer/copy/"+handle, "", nil)
	if err != nil {
		rw.WriteHeader(http.StatusServiceUnavailable)
	} else {
		_ = resp.Body.Close()
	}
	w.note("moved", d.ID, fmt.Sprintf("to=%s made=%d", d.TargetVersion, x.made))
	writeJSON(rw, map[string]any{"kvHandle": handle, "made": x.made})
}

func (w *worker) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set("X-Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != w.o.ID {
		w.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("X-Weight-Versions", "1")
	switch {
	case w.o.Stage == "":
		w.servePlain(rw, r, id, body)
	case r.Header.Get("X-Serving-Stage") == "prefill":
		w.servePrefill(rw, r, id)
	case w.o.Stage != "decode":
		w.refuse(rw, http.StatusMisdirectedRequest)
	default:
		w.serveStream(rw, r, id)
	}
}

func (w *worker) servePlain(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	w.note("run", id, "")
	time.Sleep(time.Duration(w.o.WorkMS) * time.Millisecond)
	rw.Header().Set("X-Server-Signature", w.o.ID+"."+id)
	fmt.Fprintf(rw, "answer to %s, %d bytes", id, len(body))
}

func (w *worker) servePrefill(rw http.ResponseWriter, r *http.Request, id string) {
	if w.o.Stage != "prefill" {
		w.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	prompt, _ := usage(r)
	time.Sleep(time.Duration(prompt/50) * time.Millisecond)
	handle := rand.Text()
	w.mu.Lock()
	w.handles[handle] = id
	w.mu.Unlock()
	time.AfterFunc(handleTTL, func() { w.takeHandle(handle) })
	writeJSON(rw, map[string]any{"kvHandle": handle, "tokens": prompt, "version": 1})
}

func usage(r *http.Request) (prompt, output int) {
	a, b, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}

const (
	kvTokens  = 200000
	handleTTL = time.Second
	// stride is the number of tokens in an event.
	stride = 10
)

// pieces is the number of events of a whole stream.
func pieces(output int) int { return output / stride }

// event is event n of the stream that answers a request. A worker of another software version writes other bytes.
func event(id, version string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s by software %s\n\n", n, n, id, version)
}

func (w *worker) serveStream(rw http.ResponseWriter, r *http.Request, id string) {
	prompt, output := usage(r)
	if source := r.Header.Get("X-Kv-Source"); source == "" {
		time.Sleep(time.Duration(prompt/25) * time.Millisecond)
	} else if !fetch(r.Context(), source) {
		w.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.note("run", id, fmt.Sprintf("version=%s after=%d", w.o.Version, first))
	h := rw.Header()
	h.Set("X-Server-Signature", w.o.ID+"."+id)
	h.Set("Content-Type", "text/event-stream")
	if w.o.UnframedFrom != "" && strings.HasPrefix(id, w.o.UnframedFrom) {
		h.Set("Transfer-Encoding", "identity") // The server then adds neither a length nor chunks.
		h.Set("Connection", "close")
	}
	x := &run{stop: make(chan struct{}), made: first, ended: make(chan struct{})}
	w.mu.Lock()
	w.live[id] = x
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		if w.live[id] == x {
			delete(w.live, id)
		}
		w.mu.Unlock()
		close(x.ended)
	}()
	flush := http.NewResponseController(rw).Flush
	for n := first + 1; n <= pieces(output); n++ {
		if _, err := io.WriteString(rw, event(id, w.o.Version, n)); err != nil || flush() != nil {
			w.note("caller gone", id, fmt.Sprintf("at=%d", n))
			return
		}
		x.made = n
		select {
		case <-x.stop:
			panic(http.ErrAbortHandler) // Closes the connection without the stream's end.
		case <-time.After(time.Duration(w.o.StepMS) * time.Millisecond):
		case <-r.Context().Done():
			w.note("caller gone", id, fmt.Sprintf("after=%d", n))
			return
		}
	}
	w.note("whole", id, fmt.Sprintf("pieces=%d", pieces(output)))
}

// fetch takes the memory that a source (address/handle) names.
func fetch(ctx context.Context, source string) bool {
	address, handle, ok := strings.Cut(source, "/")
	if !ok {
		return false
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/peer/take/"+handle, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
