package main

import (
	"bufio"
	"context"
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

	"github.com/stoatramp/stoatramp/platform/standin"
)

// closeDelimited has the answers of a worker's runs end with their connections, with neither a length nor chunks.
func closeDelimited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Request-Id") != "" && r.Header.Get("X-Serving-Stage") != "prefill" && !strings.HasPrefix(r.URL.Path, "/stoatramp/") {
			rw.Header().Set("Transfer-Encoding", "identity")
		}
		next.ServeHTTP(rw, r)
	})
}

// longAnswerBytes is more than a box buffers of a plain answer before it passes any of it on.
const longAnswerBytes = 200 << 10

// unframedSite is a store with workers whose answers end with their connections.
type unframedSite struct {
	t     *testing.T
	store string
	// release lets plain answers go on to their ends.
	release chan struct{}
}

const unframedConfig = `{"version":1,"routes":[
{"name":"once","hostname":"h.example","pathPrefix":"/once/","kind":"unsafe","timeoutMs":20000,"targetLatencyMs":300,"service":"desk","maxAttempts":1},
{"name":"stream","hostname":"h.example","pathPrefix":"/stream/","kind":"stream","timeoutMs":20000,"targetLatencyMs":900,"targetGapMs":300,"service":"llm","maxAttempts":1}],
"services":[{"name":"desk"},{"name":"llm","engine":{"slots":64,"kvTokens":90000,"tokenKvBytes":100,"linkMbps":1000000,"handleTtlS":0.5,"holdMs":2000,"stride":10}}],
"limits":{"maxBodyBytes":10000}}`

func newUnframedSite(t *testing.T, stepMS int) *unframedSite {
	t.Helper()
	store := standin.NewStore()
	s := &unframedSite{t: t, release: make(chan struct{})}
	s.store = serveHTTP(s.t, store)
	store.Put("op", "config", []byte(unframedConfig), 0)
	for i, stage := range []string{"", "", "prefill", "decode", "decode"} {
		o := standin.WorkerOptions{
			ID: fmt.Sprintf("i-%d", i), Service: "desk", Zone: "h", Stage: stage, Slots: 64, KVTokens: 90000,
			WorkMS: 1, StepMS: stepMS, HandleMS: 500, Store: s.store, HeartbeatMS: 150,
		}
		var h http.Handler
		if stage == "" {
			o.Address = serveHTTP(s.t, closeDelimited(http.HandlerFunc(s.answerPlain)))
		} else {
			o.Service = "llm"
			h = &lateHandler{}
			o.Address = serveHTTP(s.t, closeDelimited(h))
		}
		w := standin.NewWorker(o)
		if l, ok := h.(*lateHandler); ok {
			l.Handler = w
		}
		stop := make(chan struct{})
		t.Cleanup(func() { close(stop) })
		go w.SendHeartbeats(stop)
	}
	return s
}

// lateHandler is a handler that is set after its server has an address, and before the first request.
type lateHandler struct{ http.Handler }

// answerPlain sends half of a long answer, and the rest once it is released. An answer to /once/short is sent at once.
func (s *unframedSite) answerPlain(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	rw.Header().Set("X-Server-Signature", "x")
	if r.URL.Path == "/once/short" {
		_, _ = io.WriteString(rw, shortAnswer)
		return
	}
	half := strings.Repeat("x", longAnswerBytes/2)
	_, _ = io.WriteString(rw, half)
	_ = http.NewResponseController(rw).Flush()
	select {
	case <-s.release:
		_, _ = io.WriteString(rw, half)
	case <-r.Context().Done():
	}
}

const shortAnswer = "a whole answer without a length"

// answer is what a caller has of an answer.
type answer struct {
	bytes int
	// looksWhole is set if the caller can take the answer for complete: it has all that its frame names, or it ended
	// with its connection, which was closed and not reset.
	looksWhole bool
	err        error
}

// call makes a call on a connection of its own, closes begun once a part of the answer is there, and reads the answer
// to its end.
func (s *unframedSite) call(callers, proto, path, id string, begun chan struct{}) (a answer) {
	c, err := net.Dial("tcp", callers)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	fmt.Fprintf(c, "POST %s %s\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 20000\r\nX-Token-Usage: 100,900\r\nContent-Length: 1\r\n\r\n!", path, proto, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body)
		return answer{err: fmt.Errorf("%s: %s", resp.Status, b)}
	}
	first := make([]byte, 1)
	if _, err := io.ReadFull(resp.Body, first); err != nil {
		return answer{err: err}
	}
	if begun != nil {
		close(begun)
	}
	n, err := io.Copy(io.Discard, resp.Body)
	return answer{bytes: int(n) + 1, looksWhole: err == nil, err: err}
}

// The ways in which a box's process ends in the middle of answers.
var processEnds = map[string]func(p *boxProcess){
	"killed":                     func(p *boxProcess) { p.signal(syscall.SIGKILL) },
	"crashed":                    func(p *boxProcess) { p.signal(syscall.SIGQUIT) },
	"planned stop past its time": func(p *boxProcess) { p.signal(syscall.SIGTERM) },
	"planned stop, second signal": func(p *boxProcess) {
		p.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		p.signal(syscall.SIGTERM)
	},
	"killed during a planned stop": func(p *boxProcess) {
		p.signal(syscall.SIGTERM)
		time.Sleep(300 * time.Millisecond)
		p.signal(syscall.SIGKILL)
	},
}

// Guards against an answer without a length that a box's end completes at its caller.
func TestAnswerOfABoxThatEndsDoesNotLookWhole(t *testing.T) {
	for name, end := range processEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUnframedSite(t, 100)
			p := startBoxProcess(t, 0, "", s.store)
			answers := s.callInAllForms(p.Callers)
			end(p)
			for form, a := range answers.wait() {
				if a.bytes == 0 || a.looksWhole {
					t.Errorf("%s: expected an answer that is visibly broken off, got %d bytes, looks whole %t, %v", form, a.bytes, a.looksWhole, a.err)
				}
			}
			<-p.done
			if strings.HasPrefix(name, "planned") && !p.log.has("cut off", `"once-HTTP/1.0"`, `"once-HTTP/1.1"`, `"stream-HTTP/1.0"`, `"stream-HTTP/1.1"`) {
				t.Error("expected the log to name the requests that were cut off")
			}
		})
	}
}

// formAnswers are calls in progress, by their path and protocol.
type formAnswers struct {
	mu   sync.Mutex
	wg   sync.WaitGroup
	list map[string]answer
}

// callInAllForms begins a plain answer and a stream for callers of both versions of HTTP, and returns once a part of each is
// at its caller.
func (s *unframedSite) callInAllForms(callers string) *formAnswers {
	s.t.Helper()
	out := &formAnswers{list: map[string]answer{}}
	var starts []chan struct{}
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, kind := range []string{"once", "stream"} {
			begun := make(chan struct{})
			starts = append(starts, begun)
			form := kind + "-" + proto
			out.wg.Go(func() {
				a := s.call(callers, proto, "/"+kind+"/a", form, begun)
				out.mu.Lock()
				defer out.mu.Unlock()
				out.list[form] = a
			})
		}
	}
	for _, begun := range starts {
		select {
		case <-begun:
		case <-time.After(10 * time.Second):
			s.t.Fatal("expected the answers to begin")
		}
	}
	return out
}

func (f *formAnswers) wait() map[string]answer {
	f.wg.Wait()
	return f.list
}

// Guards against an answer without a length that is completed by the end of the box that asked for its connection, or of the
// box that carries it.
func TestAnswerThroughABoxThatEndsDoesNotLookWhole(t *testing.T) {
	for _, ended := range []string{"asks", "carries"} {
		t.Run(ended, func(t *testing.T) {
			t.Parallel()
			s := newUnframedSite(t, 100)
			network, err := standin.NewEgress()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(network.Close)
			carrier := startBoxProcess(t, 1, peerSettings, s.store)
			asker := startBoxProcess(t, 0, peerSettings+fmt.Sprintf("[endpoints]\nproxy = %s\n", network.Address()), s.store)
			time.Sleep(1500 * time.Millisecond) // The boxes find each other.
			network.SetFault(standin.EgressFault{RefuseNew: true, ResetOpen: true})
			s.awaitServed(asker.Callers)
			answers := s.callInAllForms(asker.Callers)
			map[string]*boxProcess{"asks": asker, "carries": carrier}[ended].kill()
			for form, a := range answers.wait() {
				if a.bytes == 0 || a.looksWhole {
					t.Errorf("%s: expected an answer that is visibly broken off, got %d bytes, looks whole %t, %v", form, a.bytes, a.looksWhole, a.err)
				}
			}
		})
	}
}

// awaitServed waits until both services answer.
func (s *unframedSite) awaitServed(callers string) {
	s.t.Helper()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		a := s.call(callers, "HTTP/1.1", "/once/short", "probe", nil)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		b := s.beginStream(ctx, callers)
		cancel()
		if a.looksWhole && b == nil {
			return
		}
		if time.Now().After(end) {
			s.t.Fatalf("expected both services to answer, got %v, %v", a.err, b)
		}
	}
}

// beginStream returns once a stream has begun, and leaves it.
func (s *unframedSite) beginStream(ctx context.Context, callers string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+callers+"/stream/a", strings.NewReader("!"))
	if err != nil {
		return err
	}
	r.Host = "h.example"
	r.Header.Set("X-Request-Id", fmt.Sprint("probe-", time.Now().UnixNano()))
	r.Header.Set("X-Token-Usage", "100,50")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	return err
}

// Guards against a reset of a complete answer that has no length.
func TestWholeAnswersWithoutLengthAreNotReset(t *testing.T) {
	const callers, calls = 64, 10_000
	s := newUnframedSite(t, 1)
	p := startBoxProcess(t, 0, "", s.store)
	var wg sync.WaitGroup
	var mu sync.Mutex
	failed, next := 0, 0
	for range callers {
		wg.Go(func() {
			for {
				mu.Lock()
				n := next
				next++
				mu.Unlock()
				if n >= calls {
					return
				}
				proto := []string{"HTTP/1.1", "HTTP/1.0"}[n%2]
				a := s.call(p.Callers, proto, "/once/short", fmt.Sprint("id-", n), nil)
				if a.bytes != len(shortAnswer) || !a.looksWhole {
					mu.Lock()
					if failed++; failed <= 5 {
						t.Errorf("%s: expected a whole answer, got %d bytes, %v", proto, a.bytes, a.err)
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	if failed > 0 {
		t.Errorf("expected %d whole answers, %d failed", calls, failed)
	}
}

// Guards against a box that stops as planned and takes away what a slow caller has not read yet of a complete answer.
func TestSlowCallerHasTheEndOfItsAnswerAfterTheBoxStopped(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(strings.ReplaceAll(proto, "/", " "), func(t *testing.T) {
			t.Parallel()
			s := newUnframedSite(t, 1)
			p := startBoxProcess(t, 0, "", s.store)
			c, err := net.Dial("tcp", p.Callers)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			close(s.release)
			fmt.Fprintf(c, "POST /once/a %s\r\nHost: h.example\r\nX-Request-Id: slow\r\nX-Deadline-Ms: 10000\r\nContent-Length: 1\r\n\r\n!", proto)
			time.Sleep(500 * time.Millisecond) // The answer is in the buffers of the operating system.
			p.signal(syscall.SIGTERM)
			<-p.done
			_ = c.SetDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if b, err := io.ReadAll(resp.Body); err != nil || len(b) != longAnswerBytes {
				t.Errorf("expected %d bytes, got %d, %v", longAnswerBytes, len(b), err)
			}
		})
	}
}
