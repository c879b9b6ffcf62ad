package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sync"

	"github.com/stoatramp/stoatramp/internal/httphead"
)

// The end of an answer without a length is the close of its connection. At the caller's side of a tunnel, a close by the
// endpoint looks like the death of the box between. So a server remembers for a while which of its tunnels the endpoint
// closed, and tells their callers.

const (
	// idHeader names a tunnel in its CONNECT request. The caller chooses the name.
	idHeader = "X-Tunnel-Id"
	// maxIDBytes bounds a tunnel's name.
	maxIDBytes = 64
	// endPath is the path at which a caller asks how its tunnel ended, and endQuery the parameter with the tunnel's name.
	endPath  = "/tunnel-end"
	endQuery = "id"
	// maxEnds bounds the remembered tunnels. Callers ask at once.
	maxEnds = 2048
)

// endLog remembers the tunnels whose endpoint closed its connection regularly. Its zero value is empty.
type endLog struct {
	mu     sync.Mutex
	closed map[string]struct{}
	ring   []string // The names in closed; the oldest is at next once there are maxEnds.
	next   int
}

// add remembers a tunnel. A tunnel without a name is not remembered.
func (l *endLog) add(name string) {
	if name == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = map[string]struct{}{}
	}
	l.closed[name] = struct{}{}
	if len(l.ring) < maxEnds {
		l.ring = append(l.ring, name)
		return
	}
	delete(l.closed, l.ring[l.next])
	l.ring[l.next] = name
	l.next = (l.next + 1) % maxEnds
}

func (l *endLog) has(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.closed[name]
	return ok
}

// tunnelName returns the name under which a tunnel is remembered. Names are separate for each caller's address.
func tunnelName(from, id string) string {
	if id == "" || len(id) > maxIDBytes {
		return ""
	}
	return from + "/" + id
}

// serveEnd answers 200 if the endpoint closed the tunnel, and 404 if it did not, or if the server does not know.
func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	switch {
	case !s.authorized(r.Header):
		w.WriteHeader(http.StatusProxyAuthRequired)
	case !s.ends.has(tunnelName(callerIP(r), r.URL.Query().Get(endQuery))):
		w.WriteHeader(http.StatusNotFound)
	}
}

var errNotClosed = errors.New("the endpoint did not close the tunnel")

// Ended asks the server at address whether the endpoint closed a tunnel of this caller regularly. Nil means that it did.
// Any error means that the end says nothing: the connection was reset, or the server does not know, is gone, or is of a
// build that remembers no ends.
func Ended(ctx context.Context, dial DialFunc, address, id, key string) error {
	u := url.URL{Scheme: "http", Host: address, Path: endPath, RawQuery: url.Values{endQuery: {id}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	r.Header.Set("Proxy-Authorization", bearer+key)
	t := httphead.NewTransport(&http.Transport{DialContext: dial, DisableKeepAlives: true}, nil)
	resp, err := t.RoundTrip(r)
	if err != nil {
		return fmt.Errorf("ask how the tunnel ended: %w", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w (%s)", errNotClosed, resp.Status)
	}
	return nil
}
