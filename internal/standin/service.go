package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Service is a stand-in for one process of a plain service. It echoes what it
// was sent and counts the calls.
type Service struct {
	mu    sync.Mutex
	calls []string // Method and path of each call, in order.
	drop  int      // How many calls to read and then drop without an answer.
}

// Drop makes the next n calls lose their connection after the request was read.
func (s *Service) Drop(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop = n
}

// Calls lists the calls received.
func (s *Service) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	s.mu.Lock()
	s.calls = append(s.calls, r.Method+" "+r.URL.Path)
	drop := s.drop > 0
	if drop {
		s.drop--
	}
	s.mu.Unlock()
	if drop || err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Stand-In", "service")
	fmt.Fprintf(w, "%s %s %d bytes\n%s", r.Method, r.URL.RequestURI(), len(b), b)
}
