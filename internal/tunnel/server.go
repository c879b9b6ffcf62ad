package tunnel

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/tcpopt"
)

const (
	// serverDialTimeout bounds the server's connect to an endpoint.
	serverDialTimeout = 400 * time.Millisecond
	// maxTunnels bounds the tunnels that a server carries. maxPerCaller bounds those of one box, so that a box that was
	// cut off leaves room for the others.
	maxTunnels   = 512
	maxPerCaller = 192
	bearer       = "Bearer "
)

// Results takes the results of a server's connects, and knows from earlier ones which addresses the box reaches itself.
type Results interface {
	// NoPath reports whether this box has no path of its own to the address.
	NoPath(address string) bool
	// Connected and ConnectFailed record the result of a direct connect that began at a time. ConnectFailed reports
	// whether the failure is credible: it says something about the endpoint, and not only about this box's path.
	Connected(address string)
	ConnectFailed(address string, began time.Time, err error) (credible bool)
}

// Server opens tunnels for other boxes. Its fields must be set before the first request.
type Server struct {
	// Dial opens the connection to an endpoint, always directly.
	Dial DialFunc
	// Key returns the key that callers must have; an empty key admits nobody.
	Key func() string
	// Listed reports whether an address belongs to an endpoint on this box's list.
	Listed  func(address string) bool
	Results Results
	// OnEnd is called when a tunnel was refused or has ended; it may be nil. The cause is empty for a tunnel that was
	// opened; bytes counts both directions.
	OnEnd func(cause Cause, bytes int64)

	mu       sync.Mutex
	stopping bool
	drained  bool // Drain has ended: no further connection is carried.
	open     map[*carried]struct{}
	callers  map[string]int // The open tunnels, and those that are being opened, by the caller's IP address.
	ends     endLog
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Handles reports whether a request asks for a tunnel, or how one ended.
func Handles(r *http.Request) bool { return r.Method == http.MethodConnect || r.URL.Path == endPath }

// ServeHTTP opens the tunnel that the request asks for, and carries it until one side ends it. It also answers how a
// tunnel ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		s.serveEnd(w, r)
		return
	}
	target, from := r.Host, callerIP(r)
	if !s.authorized(r.Header) {
		s.reject(w, Unauthorized)
		return
	}
	if !s.Listed(target) {
		s.reject(w, Unlisted)
		return
	}
	if s.Results.NoPath(target) {
		s.reject(w, NoPath)
		return
	}
	if cause, ok := s.admit(from); !ok {
		s.reject(w, cause)
		return
	}
	defer s.leave(from)
	endpoint, cause := s.dial(r.Context(), target)
	if cause != "" {
		s.reject(w, cause)
		return
	}
	caller, err := accept(w)
	if err != nil {
		_ = endpoint.Close()
		s.reject(w, Failed)
		return
	}
	t := &carried{caller: caller, endpoint: endpoint}
	if !s.add(t) {
		t.reset()
		s.ended(Stopping, 0)
		return
	}
	defer s.remove(t)
	name := tunnelName(from, r.Header.Get(idHeader))
	s.ended("", t.splice(func() { s.ends.add(name, t) }))
}

func (s *Server) authorized(h http.Header) bool {
	key := s.Key()
	return key != "" && subtle.ConstantTimeCompare([]byte(h.Get("Proxy-Authorization")), []byte(bearer+key)) == 1
}

func (s *Server) reject(w http.ResponseWriter, cause Cause) {
	w.Header().Set(causeHeader, string(cause))
	status, known := statuses[cause]
	if !known {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	s.ended(cause, 0)
}

func (s *Server) ended(cause Cause, bytes int64) {
	if s.OnEnd != nil {
		s.OnEnd(cause, bytes)
	}
}

// admit counts a tunnel of a caller, unless there are too many or the server stops.
func (s *Server) admit(from string) (Cause, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers == nil {
		s.callers, s.open = map[string]int{}, map[*carried]struct{}{}
	}
	switch {
	case s.stopping:
		return Stopping, false
	case s.admitted() >= maxTunnels || s.callers[from] >= maxPerCaller:
		return Busy, false
	}
	s.callers[from]++
	return "", true
}

// admitted returns the number of tunnels that are open or being opened. The caller holds s.mu.
func (s *Server) admitted() int {
	total := 0
	for _, n := range s.callers {
		total += n
	}
	return total
}

func (s *Server) leave(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers[from]--; s.callers[from] == 0 {
		delete(s.callers, from)
	}
}

// add records an open tunnel. It reports false when the server no longer carries tunnels.
func (s *Server) add(t *carried) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained {
		return false
	}
	s.open[t] = struct{}{}
	return true
}

func (s *Server) remove(t *carried) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, t)
}

func (s *Server) dial(ctx context.Context, target string) (c net.Conn, cause Cause) {
	ctx, cancel := context.WithTimeout(ctx, serverDialTimeout)
	defer cancel()
	began := clock.Now()
	c, err := s.Dial(ctx, "tcp", target)
	switch {
	case err == nil:
		s.Results.Connected(target)
		return c, ""
	case errors.Is(ctx.Err(), context.Canceled):
		return nil, Failed // The caller is gone.
	case !s.Results.ConnectFailed(target, began, err):
		return nil, NoPath
	}
	return nil, ConnectCause(err)
}

// accept takes over the caller's connection and answers the CONNECT.
func accept(w http.ResponseWriter) (net.Conn, error) {
	c, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	if err := tcpopt.Watch(c); err != nil {
		_ = c.Close()
		return nil, err
	}
	// The timeouts of the HTTP server must not end the tunnel.
	if err := c.SetDeadline(time.Time{}); err != nil || rw.Reader.Buffered() > 0 {
		_ = c.Close()
		return nil, errors.Join(err, errEarlyBytes)
	}
	if _, err := c.Write([]byte("HTTP/1.1 200 Connection established\r\n\r\n")); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func callerIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return strings.Clone(host)
}

// drainCheckInterval is the pause between two checks whether all tunnels have ended.
const drainCheckInterval = 20 * time.Millisecond

// Stop lets no more tunnels open.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain waits until all tunnels have ended, also those that are still being opened. When ctx ends it resets those that
// are left, and returns their number.
func (s *Server) Drain(ctx context.Context) (cutOff int) {
	s.Stop()
	for {
		s.mu.Lock()
		left := s.admitted()
		s.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return s.resetAll()
		case <-time.After(drainCheckInterval):
		}
	}
}

func (s *Server) resetAll() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
	for t := range s.open {
		t.reset()
	}
	return s.admitted()
}
