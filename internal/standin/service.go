package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Service is a stand-in for one process of a plain service (one that runs no language model). It echoes requests and
// keeps a list of the calls.
type Service struct {
	mu        sync.Mutex
	calls     []string // Method and path of each call, oldest first.
	dropsLeft int      // The number of coming calls to read and then drop without a response.
	unframed  bool     // Whether responses have neither a length nor chunks.
}

// SetUnframed makes responses end with their connections, without a length or chunks.
func (s *Service) SetUnframed(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unframed = yes
}

// DropNext makes the service read the next n calls and then drop their connections without a response.
func (s *Service) DropNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropsLeft = n
}

// Calls returns the method and path of each call received, oldest first.
func (s *Service) Calls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	s.mu.Lock()
	s.calls = append(s.calls, r.Method+" "+r.URL.Path)
	drop, unframed := s.dropsLeft > 0, s.unframed
	if drop {
		s.dropsLeft--
	}
	s.mu.Unlock()
	if drop || err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Stand-In", "service")
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	fmt.Fprintf(w, "%s %s %d bytes\n%s", r.Method, r.URL.RequestURI(), len(b), b)
}
