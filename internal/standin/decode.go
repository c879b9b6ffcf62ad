package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/engine"
)

// stream is one request in a decode engine, waiting or running.
type stream struct {
	id           string
	path         string
	promptHash   uint64
	priority     int
	kvTokens     int // KV memory in tokens that the stream reserves while it runs.
	promptTokens int
	maxTokens    int
	fault        Fault

	mu             sync.Mutex
	generated      int  // The number of tokens generated so far.
	ended          bool // The stream has finished, or its memory was freed before that.
	updated        chan struct{}
	connections    int
	disconnectedAt time.Time // When the stream lost its last connection.
}

// streamQueue holds waiting streams, sorted by priority. A sorted slice is enough, because an engine has only some tens
// of waiting streams.
type streamQueue []*stream

// serveDecode fetches the KV cache of the prompt, waits for memory and streams the answer.
func (e *Engine) serveDecode(w http.ResponseWriter, r *http.Request, req *completionRequest, f Fault) {
	if f.Kind == Stall {
		sleep(r, f.For)
		if r.Context().Err() != nil {
			return
		}
	}
	kv, err := e.importKV(r.Context(), req.KV)
	if err != nil {
		writeError(w, http.StatusConflict, engine.CodeKVExpired, err.Error())
		return
	}
	s := &stream{
		id:           req.RequestID,
		path:         r.URL.Path,
		promptHash:   kv.Prompt,
		priority:     req.Priority,
		kvTokens:     kv.Tokens + req.MaxTokens,
		promptTokens: kv.Tokens,
		maxTokens:    req.MaxTokens,
		fault:        f,
		updated:      make(chan struct{}, 1),
		connections:  1,
	}
	e.mu.Lock()
	if r.Context().Err() != nil || e.aborted[s.id] || s.kvTokens > e.Model.KVTokens {
		e.mu.Unlock()
		writeError(w, http.StatusServiceUnavailable, engine.CodeNotRun, "no memory for the request")
		return
	}
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	slices.SortStableFunc(e.waiting, func(a, b *stream) int { return cmp.Compare(a.priority, b.priority) })
	e.mu.Unlock()
	e.wakeDecodeLoop()
	e.sendChunks(w, r, s, 0)
}

// importKV fetches the KV cache from the prefill engine. It then sleeps for the time that the transfer would take on
// this engine's link, where transfers run one after another.
func (e *Engine) importKV(ctx context.Context, kv engine.KVParams) (takenKV, error) {
	var got takenKV
	b, err := json.Marshal(engine.TakeRequest{Handle: kv.Handle})
	if err != nil {
		return got, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+kv.Remote+engine.TakePath, bytes.NewReader(b))
	if err != nil {
		return got, err
	}
	resp, err := e.hc.Do(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got, errors.New("the prefill engine no longer has the KV cache")
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return got, err
	}
	e.mu.Lock()
	start := time.Now()
	if start.Before(e.linkFreeAt) {
		start = e.linkFreeAt
	}
	e.linkFreeAt = start.Add(e.Model.Transfer(got.Tokens))
	until := e.linkFreeAt
	e.mu.Unlock()
	select {
	case <-time.After(time.Until(until)):
		return got, nil
	case <-ctx.Done():
		return got, ctx.Err()
	}
}

func (e *Engine) wakeDecodeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// decodeLoop generates the tokens of all running streams. Each step generates one token for every running stream;
// between steps, streams start and end (continuous batching).
func (e *Engine) decodeLoop() {
	next := time.Now()
	for {
		n := e.step()
		if n == 0 {
			select {
			case <-e.wake:
			case <-e.stop:
				return
			}
			next = time.Now()
			continue
		}
		next = next.Add(e.Model.StepOf(n))
		select {
		case <-time.After(time.Until(next)):
		case <-e.stop:
			return
		}
	}
}

// step starts the waiting streams for which there is memory. It then generates one token for each running stream. It
// returns the number of running streams.
func (e *Engine) step() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && e.waiting[0].kvTokens <= e.freeKV {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.freeKV -= s.kvTokens
		e.running = append(e.running, s)
	}
	for _, s := range slices.Clone(e.running) {
		e.advance(s)
	}
	return len(e.running)
}

func (e *Engine) advance(s *stream) {
	s.mu.Lock()
	unresponsive := s.fault.Kind == StopGenerating && s.generated >= s.fault.After
	if !unresponsive && s.generated < s.maxTokens {
		s.generated++
	}
	finished := s.generated >= s.maxTokens
	abandoned := s.connections == 0 && time.Since(s.disconnectedAt) > resumeGrace
	s.mu.Unlock()
	select {
	case s.updated <- struct{}{}:
	default:
	}
	if abandoned {
		e.release(s, "abandoned")
	} else if finished {
		e.release(s, "finished")
	}
}

// release ends a running or waiting stream and frees its memory. cause says why, for EngineCounts.Freed. The caller
// holds e.mu.
func (e *Engine) release(s *stream, cause string) {
	if i := slices.Index(e.running, s); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.freeKV += s.kvTokens
	}
	if i := slices.Index(e.waiting, s); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	}
	if cause != "finished" {
		delete(e.streams, s.id)
	} else {
		// A finished stream can be resumed for a while. It uses no KV memory.
		time.AfterFunc(resumeGrace, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			delete(e.streams, s.id)
		})
	}
	e.counts.Freed["decode "+cause]++
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	select {
	case s.updated <- struct{}{}:
	default:
	}
}

// resume sends the chunks of a stream that follow the chunk numbered in Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var req engine.AbortRequest
	last, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || json.NewDecoder(r.Body).Decode(&req) != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "expected a Last-Event-ID and a request id")
		return
	}
	e.mu.Lock()
	e.counts.Resumes++
	s := e.streams[req.RequestID]
	e.mu.Unlock()
	if s == nil {
		writeError(w, http.StatusGone, "unknown_request", "no such stream")
		return
	}
	s.mu.Lock()
	s.connections++
	s.fault = Fault{}
	s.mu.Unlock()
	e.sendChunks(w, r, s, last+1)
}

// sendChunks writes the chunks of a stream, beginning with the chunk number from. An answer has one chunk per token,
// then one chunk with the token counts, then the end marker.
func (e *Engine) sendChunks(w http.ResponseWriter, r *http.Request, s *stream, from int) {
	defer e.disconnect(s)
	w.Header().Set("Content-Type", "text/event-stream")
	e.setLoadHeader(w)
	rc := http.NewResponseController(w)
	sent := from
	for {
		s.mu.Lock()
		generated, ended, f := s.generated, s.ended, s.fault
		s.mu.Unlock()
		for ; sent < generated; sent++ {
			s.writeChunk(w, f, sent)
			if f.Kind == Truncate && sent+1 >= f.After {
				_ = rc.Flush()
				return // The connection ends properly, but without the end marker.
			}
			if f.Kind == DropMidway && sent+1 >= f.After {
				_ = rc.Flush()
				panic(http.ErrAbortHandler)
			}
		}
		if ended && sent >= generated {
			break
		}
		if err := rc.Flush(); err != nil {
			return
		}
		select {
		case <-s.updated:
		case <-r.Context().Done():
			return
		case <-e.stop:
			panic(http.ErrAbortHandler)
		}
	}
	if sent < s.maxTokens {
		panic(http.ErrAbortHandler) // The stream was ended before its last token.
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"%s\",\"object\":%q,\"created\":%d,\"model\":\"stand-in\",\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		sent, s.answerID(s.id), s.object(), time.Now().Unix(), s.promptTokens, s.maxTokens, s.promptTokens+s.maxTokens)
}

func (e *Engine) disconnect(s *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
	if s.connections == 0 {
		s.disconnectedAt = time.Now()
	}
}

func (s *stream) answerID(id string) string {
	if s.path == engine.ChatPath {
		return "chatcmpl-" + id
	}
	return "cmpl-" + id
}

func (s *stream) object() string {
	if s.path == engine.ChatPath {
		return "chat.completion.chunk"
	}
	return "text_completion"
}

// writeChunk writes the chunk of token i. If fault f applies to this chunk, writeChunk writes another chunk before it
// or leaves it out.
func (s *stream) writeChunk(w http.ResponseWriter, f Fault, i int) {
	if f.Kind == AnswerOfOther && i == f.After {
		s.writeToken(w, "another-request-7", 0xbad, i)
	}
	if f.Kind == Repeat && i == f.After && i > 0 {
		s.writeToken(w, s.id, s.promptHash, i-1)
	}
	if f.Kind == Skip && i == f.After {
		return
	}
	s.writeToken(w, s.id, s.promptHash, i)
}

func (s *stream) writeToken(w http.ResponseWriter, id string, prompt uint64, i int) {
	finish := "null"
	if i == s.maxTokens-1 {
		finish = `"length"`
	}
	choice := fmt.Sprintf(`"text":%q`, AnswerToken(prompt, i))
	if s.path == engine.ChatPath {
		choice = fmt.Sprintf(`"delta":{"content":%q}`, AnswerToken(prompt, i))
		if i == 0 {
			choice = fmt.Sprintf(`"delta":{"role":"assistant","content":%q}`, AnswerToken(prompt, i))
		}
	}
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"object\":%q,\"created\":%d,\"model\":\"stand-in\",\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}],\"usage\":null}\n\n",
		i, s.answerID(id), s.object(), time.Now().Unix(), choice, finish)
}
