package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// The end of an answer without a length is the close of its connection. At the caller's side of a tunnel, a close by the
// endpoint looks like the death of the box between. So a server remembers for a while which of its tunnels the endpoint
// closed, and tells their callers. The caller may still be sending its request. What it has written may wait in the buffers
// between, so the server also tells how much of it the endpoint has taken.

const (
	// idHeader names a tunnel in its CONNECT request. The caller chooses the name.
	idHeader = "X-Tunnel-Id"
	// maxIDBytes bounds a tunnel's name.
	maxIDBytes = 64
	// endPath is the path at which a caller asks how its tunnel ended, and endQuery the parameter with the tunnel's name.
	endPath  = "/tunnel-end"
	endQuery = "id"
	// sentQuery is the parameter with the number of bytes that the caller has sent through the tunnel. While the endpoint
	// takes them, the answer is 202 with takenHeader, the number of bytes that it has taken.
	sentQuery   = "sent"
	takenHeader = "X-Tunnel-Taken"
	// takenWait is how long the server waits for the endpoint to take the rest before it answers 202. takenPause is the
	// pause between two looks.
	takenWait  = 100 * time.Millisecond
	takenPause = 5 * time.Millisecond
	// takenTimeout is how long the endpoint may take none of the rest.
	takenTimeout = 2 * time.Second
	// maxEnds bounds the remembered tunnels. Callers ask at once.
	maxEnds = 2048
)

// endLog remembers the tunnels whose endpoint closed its connection regularly. Its zero value is empty.
type endLog struct {
	mu     sync.Mutex
	closed map[string]*carried
	ring   []string // The names in closed; the oldest is at next once there are maxEnds.
	next   int
}

// add remembers a tunnel. A tunnel without a name is not remembered.
func (l *endLog) add(name string, t *carried) {
	if name == "" {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = map[string]*carried{}
	}
	l.closed[name] = t
	if len(l.ring) < maxEnds {
		l.ring = append(l.ring, name)
		return
	}
	delete(l.closed, l.ring[l.next])
	l.ring[l.next] = name
	l.next = (l.next + 1) % maxEnds
}

// get returns a remembered tunnel; nil if there is none.
func (l *endLog) get(name string) *carried {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed[name]
}

// tunnelName returns the name under which a tunnel is remembered. Names are separate for each caller's address.
func tunnelName(from, id string) string {
	if id == "" || len(id) > maxIDBytes {
		return ""
	}
	return from + "/" + id
}

// serveEnd answers 200 if the endpoint closed the tunnel and has taken what the caller sent, 202 while it takes it, and 404 if
// it did not close the tunnel, or if the server does not know.
func (s *Server) serveEnd(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r.Header) {
		w.WriteHeader(http.StatusProxyAuthRequired)
		return
	}
	q := r.URL.Query()
	t := s.ends.get(tunnelName(callerIP(r), q.Get(endQuery)))
	sent, err := strconv.ParseUint(q.Get(sentQuery), 10, 64)
	if err != nil {
		sent = 0 // A box of an earlier version does not tell.
	}
	if t == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	for until := time.Now().Add(takenWait); ; {
		closed, taken := t.endOf(sent)
		switch {
		case !closed:
			w.WriteHeader(http.StatusNotFound)
			return
		case taken >= sent:
			return
		case time.Now().After(until):
			w.Header().Set(takenHeader, strconv.FormatUint(taken, 10))
			w.WriteHeader(http.StatusAccepted)
			return
		}
		select {
		case <-time.After(takenPause):
		case <-r.Context().Done():
			return
		}
	}
}

var (
	errNotClosed = errors.New("the endpoint did not close the tunnel")
	errNotTaken  = errors.New("the endpoint closed the tunnel and does not read the rest")
)

// Ended asks the server at address whether the endpoint closed a tunnel of this caller regularly, and has taken the sent
// bytes. Nil means that it did. It waits while the endpoint takes them; timeout bounds each request. Any error means that
// the end says nothing: the connection was reset, or the server does not know, is gone, or is of a build that remembers no
// ends.
func Ended(ctx context.Context, dial DialFunc, address, id, key string, sent uint64, timeout time.Duration) error {
	last, progressAt := "", time.Now()
	for {
		status, taken, err := askEnd(ctx, dial, address, id, key, sent, timeout)
		switch {
		case err != nil:
			return fmt.Errorf("ask how the tunnel ended: %w", err)
		case status == http.StatusOK:
			return nil
		case status != http.StatusAccepted:
			return fmt.Errorf("%w (%d)", errNotClosed, status)
		case taken != last:
			last, progressAt = taken, time.Now()
		case time.Since(progressAt) > takenTimeout:
			return errNotTaken
		}
	}
}

// askEnd asks once.
func askEnd(ctx context.Context, dial DialFunc, address, id, key string, sent uint64, timeout time.Duration) (status int, taken string, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	query := url.Values{endQuery: {id}, sentQuery: {strconv.FormatUint(sent, 10)}}
	u := url.URL{Scheme: "http", Host: address, Path: endPath, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, "", err
	}
	r.Header.Set("Proxy-Authorization", bearer+key)
	t := http.Transport{DialContext: dial, DisableKeepAlives: true}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, resp.Header.Get(takenHeader), nil
}
