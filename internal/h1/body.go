package h1

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// body is an answer's body that gives its connection back when it was read whole.
type body struct {
	io.ReadCloser
	p    *Pool
	c    *conn
	resp *http.Response
	stop func() bool
	sent <-chan error
	end  bool // The body's own end was reached.
	once sync.Once
}

func (b *body) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		b.end = true
	}
	return n, err
}

// writeRest is how long an endpoint that has answered may take to read the rest of
// the request.
const writeRest = 200 * time.Millisecond

// Close keeps the connection only if the answer was read to its end, the request was
// sent whole and ctx has not closed it. Otherwise the next request would meet bytes
// that belong to this one.
func (b *body) Close() error {
	b.once.Do(func() {
		if b.stop() && b.end && b.sentWhole() {
			b.p.give(b.c, b.resp)
			return
		}
		_ = b.c.Close()
	})
	return nil
}

func (b *body) sentWhole() bool {
	select {
	case err := <-b.sent:
		return err == nil
	case <-time.After(writeRest):
		return false
	}
}

// Drain reads a short body to its end and closes it; longer ones lose their connection.
func Drain(resp *http.Response, most int64) ([]byte, error) {
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(b)) > most {
		return nil, errTooLong
	}
	return b, err
}

var errTooLong = errors.New("the answer is longer than expected")

// Call sends a request whose answer is short, within a time of its own.
func (p *Pool) Call(ctx context.Context, limit time.Duration, r *Request, most int64) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := Drain(resp, most)
	if err != nil {
		return nil, nil, &Error{Sent: true, Err: err}
	}
	return resp, b, nil
}

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// CopyHeaders copies all headers but those that concern one connection only.
func CopyHeaders(dst, src http.Header) {
	for k, v := range src {
		dst[k] = slices.Clone(v)
	}
	for _, list := range src.Values("Connection") {
		for k := range strings.SplitSeq(list, ",") {
			dst.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopByHop {
		dst.Del(k)
	}
}
