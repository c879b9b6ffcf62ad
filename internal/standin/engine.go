// Package standin holds small stand-ins for the systems around the router: language model engines, a plain service and
// the platform. They speak the same protocols as the real systems. Their work lasts as long as the cost model (package
// cost) predicts. They can be told to fail. They serve tests, benchmarks and the demo; no production code uses them.
package standin

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/cost"
	"github.com/stoatramp/stoatramp/internal/engine"
)

// resumeGrace is how long a stream without a connection is kept, so that it can be resumed.
const resumeGrace = 2 * time.Second

// Engine is a stand-in for a language model engine. It can process prompts (prefill) and generate answers (decode).
type Engine struct {
	Name string
	// Addr is the engine's ip:port. It is set when the engine listens.
	Addr  string
	Model cost.Model
	// CacheBlocks is the capacity of the prefix cache; 0 means defaultCacheBlocks.
	CacheBlocks int
	// EventLag is how many of the newest cache events (evicted blocks) are held back.
	EventLag int
	// ReportLag is the minimum age of the load reports that the engine sends.
	ReportLag time.Duration

	mu           sync.Mutex
	faults       []pendingFault
	results      map[string]*prefillResult // Processed prompts whose KV cache waits for a decode engine, by handle.
	streams      map[string]*stream        // Streams by request id: waiting, running or finished a short while ago.
	waiting      streamQueue
	running      []*stream
	freeKV       int
	queuedTokens int // Prompt tokens that are not cached and not yet processed.
	prefill      prefillHeap
	prefilling   bool
	linkFreeAt   time.Time // When all KV transfers over the link will have ended.
	cache        map[uint64]bool
	leaving      bool
	reports      []loadReport
	counts       EngineCounts
	fenced       bool
	epoch        int64
	orders       []engine.Order
	events       []uint64
	firstEvent   int64           // The sequence number of the first event in events.
	aborted      map[string]bool // Ids of requests that were aborted a short while ago.
	wake         chan struct{}
	stop         chan struct{}
	hc           *http.Client
}

// EngineCounts counts the calls and events of an engine, for tests.
type EngineCounts struct {
	Prefills, Decodes, Aborts, Resumes int
	// Runs is the number of calls with each request id.
	Runs map[string]int
	// Prompts is the number of prefills of each prompt, by PromptHash.
	Prompts map[uint64]int
	// CachedTokens is the total number of prompt tokens that the prefix cache had.
	CachedTokens int
	// Freed is how often memory was freed, by cause, such as "prefill expiry" or "decode abort".
	Freed map[string]int
}

type prefillResult struct {
	handle     string
	requestID  string
	tokens     int
	promptHash uint64
	timer      *time.Timer
}

type loadReport struct {
	at   time.Time
	load engine.Load
}

// NewEngine returns an engine with the cost model m. The caller has to serve its Handler.
func NewEngine(name string, m cost.Model) *Engine {
	e := &Engine{
		Name:    name,
		Model:   m,
		results: map[string]*prefillResult{},
		streams: map[string]*stream{},
		freeKV:  m.KVTokens,
		cache:   map[uint64]bool{},
		aborted: map[string]bool{},
		counts:  EngineCounts{Runs: map[string]int{}, Prompts: map[uint64]int{}, Freed: map[string]int{}},
		wake:    make(chan struct{}, 1),
		stop:    make(chan struct{}),
		hc:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
	go e.decodeLoop()
	return e
}

// Close stops the engine. All its streams end without an end marker.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.stop:
	default:
		close(e.stop)
	}
	e.hc.CloseIdleConnections()
}

// Reserved returns what is reserved: the number of KV caches that wait for a decode engine, and the KV memory of
// running streams in tokens.
func (e *Engine) Reserved() (results, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.results), e.Model.KVTokens - e.freeKV
}

// Counts returns a copy of the counts.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.counts
	s.Runs, s.Freed, s.Prompts = map[string]int{}, map[string]int{}, maps.Clone(e.counts.Prompts)
	for k, v := range e.counts.Runs {
		s.Runs[k] = v
	}
	for k, v := range e.counts.Freed {
		s.Freed[k] = v
	}
	return s
}

// SetLeaving sets whether the engine's load reports say that it is leaving.
func (e *Engine) SetLeaving(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = v
}

// Handler serves the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.ChatPath, e.complete)
	mux.HandleFunc("POST "+engine.CompletionPath, e.complete)
	mux.HandleFunc("POST "+engine.AbortPath, e.abort)
	mux.HandleFunc("POST "+engine.ResumePath, e.resume)
	mux.HandleFunc("POST "+engine.TakePath, e.take)
	mux.HandleFunc("GET "+engine.LoadPath, e.serveLoad)
	mux.HandleFunc("GET "+engine.EventsPath, e.cacheEvents)
	mux.HandleFunc("POST "+engine.OrderPath, e.order)
	return mux
}

// completionRequest is the part of a request body that the stand-in reads.
type completionRequest struct {
	engine.Params
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
}

func (r *completionRequest) text() []byte {
	if len(r.Messages) > 0 {
		return r.Messages
	}
	return r.Prompt
}

// PromptTokens returns the number of tokens of a prompt. The stand-in counts four bytes as a token.
func PromptTokens(text []byte) int { return max(1, len(text)/4) }

// PromptHash returns a hash of a prompt. The stand-in generates its answer to the prompt from this hash.
func PromptHash(text []byte) uint64 {
	h := fnv.New64a()
	h.Write(text)
	return h.Sum64()
}

// AnswerToken returns the token at position i of the answer to the prompt with this hash.
func AnswerToken(prompt uint64, i int) string { return fmt.Sprintf("%08x.%d ", uint32(prompt), i) }

// Answer returns the first n tokens of the answer to a prompt that was sent as a JSON string.
func Answer(prompt string, n int) string {
	raw, _ := json.Marshal(prompt) // Marshalling a string never fails.
	hash := PromptHash(raw)
	var b strings.Builder
	for i := range n {
		b.WriteString(AnswerToken(hash, i))
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	e.counts.Runs[req.RequestID]++
	if req.KV.Prefill {
		e.counts.Prefills++
		e.counts.Prompts[PromptHash(req.text())]++
	} else {
		e.counts.Decodes++
	}
	e.mu.Unlock()
	kind := AtDecode
	if req.KV.Prefill {
		kind = AtPrefill
	}
	f := e.takeFault(kind)
	switch f.Kind {
	case Refuse:
		writeError(w, http.StatusServiceUnavailable, engine.CodeNotRun, "the engine is told to refuse")
		return
	case DropAfterRead:
		panic(http.ErrAbortHandler)
	}
	if req.KV.Prefill {
		e.servePrefill(w, r, &req, f)
		return
	}
	e.serveDecode(w, r, &req, f)
}

func writeError(w http.ResponseWriter, status int, code, msg string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorBody{Error: engine.ErrorDetail{Message: msg, Type: "engine_error", Code: code}})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (e *Engine) abort(w http.ResponseWriter, r *http.Request) {
	var req engine.AbortRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Aborts++
	if s := e.streams[req.RequestID]; s != nil {
		e.release(s, "abort")
	}
	for _, result := range e.results {
		if result.requestID == req.RequestID {
			e.dropResult(result, "abort")
		}
	}
	e.rememberAbort(req.RequestID)
	writeJSON(w, struct{}{})
}

// abortRetention is how long an engine remembers an abort, to stop a call that arrives after it.
const abortRetention = 5 * time.Second

// rememberAbort remembers the id of an aborted call. The call may not have arrived yet, or its prefill or KV transfer
// may be running. Before a call reserves memory, it checks whether its id was aborted.
func (e *Engine) rememberAbort(id string) {
	e.aborted[id] = true
	time.AfterFunc(abortRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.aborted, id)
	})
}

// dropResult drops a KV cache that waits for a decode engine. cause says why, for EngineCounts.Freed. The caller holds
// e.mu.
func (e *Engine) dropResult(result *prefillResult, cause string) {
	if e.results[result.handle] == result {
		result.timer.Stop()
		delete(e.results, result.handle)
		e.counts.Freed["prefill "+cause]++
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.currentLoad()) }

// setLoadHeader adds the load report to the headers of a response.
func (e *Engine) setLoadHeader(w http.ResponseWriter) {
	b, err := json.Marshal(e.currentLoad())
	if err == nil {
		w.Header().Set(engine.LoadHeader, string(b))
	}
}

// currentLoad returns the newest load report that is at least ReportLag old. If no report is that old, it returns the
// oldest report.
func (e *Engine) currentLoad() engine.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, loadReport{now, engine.Load{
		QueuedTokens: e.queuedTokens,
		FreeKV:       e.freeKV,
		Streams:      len(e.running) + len(e.waiting),
		Leaving:      e.leaving,
	}})
	i := 0
	for i+1 < len(e.reports) && now.Sub(e.reports[i+1].at) >= e.ReportLag {
		i++
	}
	e.reports = slices.Delete(e.reports, 0, i)
	l := e.reports[0].load
	l.AgeMS = now.Sub(e.reports[0].at).Milliseconds()
	return l
}

// prefillJob is one prompt in the queue of an engine.
type prefillJob struct {
	requestID      string
	priority       int
	seq            int
	uncachedTokens int // Prompt tokens that the prefix cache did not have.
	cachedTokens   int
	cancelled      bool
	done           chan struct{}
}

type prefillHeap struct {
	jobs []*prefillJob
	seq  int
}

func (h *prefillHeap) Len() int      { return len(h.jobs) }
func (h *prefillHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }
func (h *prefillHeap) Less(i, j int) bool {
	a, b := h.jobs[i], h.jobs[j]
	return a.priority < b.priority || a.priority == b.priority && a.seq < b.seq
}
func (h *prefillHeap) Push(x any) { h.jobs = append(h.jobs, x.(*prefillJob)) }
func (h *prefillHeap) Pop() any {
	n := len(h.jobs) - 1
	j := h.jobs[n]
	h.jobs = h.jobs[:n]
	return j
}

// servePrefill queues the prompt, waits until it is processed, and keeps its KV cache for a decode engine.
func (e *Engine) servePrefill(w http.ResponseWriter, r *http.Request, req *completionRequest, f Fault) {
	text := req.text()
	tokens := PromptTokens(text)
	job := &prefillJob{requestID: req.RequestID, priority: req.Priority, done: make(chan struct{})}
	e.mu.Lock()
	job.cachedTokens = min(e.cachedTokens(text), tokens-1)
	job.uncachedTokens = tokens - job.cachedTokens
	e.counts.CachedTokens += job.cachedTokens
	e.queuedTokens += job.uncachedTokens
	e.prefill.seq++
	job.seq = e.prefill.seq
	heap.Push(&e.prefill, job)
	if !e.prefilling {
		e.prefilling = true
		go e.prefillLoop()
	}
	e.mu.Unlock()
	select {
	case <-job.done:
	case <-r.Context().Done():
	}
	switch f.Kind {
	case Stall:
		sleep(r, f.For)
	case DropAfterRun:
		panic(http.ErrAbortHandler)
	}
	if r.Context().Err() != nil {
		e.mu.Lock()
		job.cancelled = true
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.answerPrefill(w, req, job, f, text, tokens)
}

func (e *Engine) answerPrefill(w http.ResponseWriter, req *completionRequest, job *prefillJob, f Fault, text []byte, tokens int) {
	result := &prefillResult{handle: "kv-" + e.Name + "-" + req.RequestID, requestID: req.RequestID, tokens: tokens, promptHash: PromptHash(text)}
	e.mu.Lock()
	if e.aborted[req.RequestID] {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if f.Kind != ExpireAtOnce {
		result.timer = time.AfterFunc(e.Model.Expiry, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.dropResult(result, "expiry")
		})
		e.results[result.handle] = result
	}
	e.mu.Unlock()
	id := req.RequestID
	if f.Kind == AnswerOfOther {
		id = "another-request-1"
	}
	e.setLoadHeader(w)
	writeJSON(w, engine.PrefillResponse{
		ID:    "cmpl-" + id,
		Usage: engine.Usage{PromptTokens: tokens, CompletionTokens: 1, TotalTokens: tokens + 1, Details: &engine.PromptDetails{CachedTokens: job.cachedTokens}},
		KV: engine.KVParams{
			Handle:    result.handle,
			ExpiresMS: e.Model.Expiry.Milliseconds(),
			Bytes:     int64(tokens) * int64(e.Model.KVBytesPerToken),
		},
	})
}

// prefillLoop processes the queued prompts one after another until the queue is empty.
func (e *Engine) prefillLoop() {
	for {
		e.mu.Lock()
		if len(e.prefill.jobs) == 0 {
			e.prefilling = false
			e.mu.Unlock()
			return
		}
		job := heap.Pop(&e.prefill).(*prefillJob)
		cancelled := job.cancelled || e.aborted[job.requestID]
		e.mu.Unlock()
		if !cancelled {
			time.Sleep(e.Model.Prefill(job.uncachedTokens, 0))
		}
		e.mu.Lock()
		e.queuedTokens -= job.uncachedTokens
		e.mu.Unlock()
		close(job.done)
	}
}

// defaultCacheBlocks is the capacity of the prefix cache in blocks, if Engine.CacheBlocks is 0.
const defaultCacheBlocks = 4096

// cachedTokens returns how many tokens at the start of the prompt are in the prefix cache. It adds the prompt's other
// blocks to the cache, and evicts arbitrary blocks if the cache is full.
func (e *Engine) cachedTokens(text []byte) int {
	hits, contiguous := 0, true
	for _, sum := range blockHashes(text) {
		contiguous = contiguous && e.cache[sum]
		if contiguous {
			hits++
			continue
		}
		for old := range e.cache {
			if len(e.cache) < e.CacheLimit() {
				break
			}
			delete(e.cache, old)
			e.recordEviction(old)
		}
		e.cache[sum] = true
	}
	return hits * engine.CacheBlockBytes / 4
}

// CacheLimit returns the capacity of the prefix cache in blocks.
func (e *Engine) CacheLimit() int {
	if e.CacheBlocks > 0 {
		return e.CacheBlocks
	}
	return defaultCacheBlocks
}

// take serves a decode engine that fetches a KV cache by its handle. A KV cache can be fetched once.
func (e *Engine) take(w http.ResponseWriter, r *http.Request) {
	var req engine.TakeRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	result := e.results[req.Handle]
	if result == nil {
		writeError(w, http.StatusGone, engine.CodeKVExpired, "no such KV cache")
		return
	}
	e.dropResult(result, "taken")
	writeJSON(w, takenKV{Tokens: result.tokens, Prompt: result.promptHash})
}

// takenKV is what a decode engine receives in place of a real KV cache: the number of tokens and the hash of the
// prompt.
type takenKV struct {
	Tokens int    `json:"tokens"`
	Prompt uint64 `json:"prompt"`
}

func sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}
