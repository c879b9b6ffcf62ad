package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// body is a response body. If it was read to its end, closing it can return its connection to the pool.
type body struct {
	io.ReadCloser
	p           *Pool
	c           *conn
	resp        *http.Response
	cancelClose func() bool
	sendResult  <-chan error
	reachedEOF  bool
	once        sync.Once
}

func (b *body) Read(buf []byte) (int, error) {
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		b.reachedEOF = true
	}
	return n, err
}

// Framing is how the body of a response is delimited (RFC 9112, 6.3).
type Framing string

// The framings.
const (
	// FramedByLength bodies have a Content-Length, or no body is allowed.
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunked"
	// CloseDelimited bodies end with their connection. Such an end does not show whether the body is complete.
	CloseDelimited Framing = "close"
)

// Framings calls f for each framing.
func Framings(f func(Framing)) {
	for _, v := range []Framing{FramedByLength, FramedByChunks, CloseDelimited} {
		f(v)
	}
}

// FramingOf returns how the body of a response is delimited.
func FramingOf(resp *http.Response) Framing {
	switch {
	case resp.Body == http.NoBody || resp.ContentLength >= 0:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	}
	return CloseDelimited
}

// closeDelimited is a body that ends with its connection. The connections of an endpoint that has crashed, or of a box
// between that has died, are closed too. The body then ends with io.ErrUnexpectedEOF.
type closeDelimited struct {
	io.ReadCloser
	confirmed func() bool
	end       error // The error of the body's end, once it was read.
}

func (b *closeDelimited) Read(buf []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) && !b.confirmed() {
		err = fmt.Errorf("the connection was closed, and the endpoint did not confirm that it still runs: %w", io.ErrUnexpectedEOF)
	}
	b.end = err
	return n, err
}

// endConfirmer is a connection that can tell whether the endpoint has closed it.
type endConfirmer interface {
	EndConfirmed(ctx context.Context) bool
}

// endConfirmed returns a function that reports whether the close of a connection was the regular end of a body that has no
// length.
func (p *Pool) endConfirmed(ctx context.Context, c *conn) func() bool {
	check := func(context.Context) bool { return true }
	if p.EndCheck != nil {
		check = p.EndCheck(c.addr)
	}
	return func() bool {
		if c.via != "" {
			if e, ok := c.Conn.(endConfirmer); !ok || !e.EndConfirmed(ctx) {
				return false
			}
		}
		return check(ctx)
	}
}

// IsQuiet reports whether no byte of a response's body waits to be read. It must not be called during a read. If it returns
// false, nothing is known.
func IsQuiet(resp *http.Response) bool {
	b, ok := resp.Body.(*body)
	return ok && b.c.isQuiet()
}

// restWriteTimeout applies to an endpoint that answers before it has received the whole request. It bounds the time for
// sending the rest of the request.
const restWriteTimeout = 200 * time.Millisecond

// Close returns the connection to the pool under three conditions. The response was read to its end, the request was
// sent completely, and the request's context has not closed the connection. In all other cases Close closes the
// connection, because the next request could read bytes of this response.
func (b *body) Close() error {
	b.once.Do(func() {
		if b.cancelClose() && b.reachedEOF && b.fullySent() {
			b.p.release(b.c, b.resp)
			return
		}
		b.p.discard(b.c)
	})
	return nil
}

func (b *body) fullySent() bool {
	select {
	case err := <-b.sendResult:
		return err == nil
	case <-time.After(restWriteTimeout):
		return false
	}
}

// ReadLimited reads and closes a body of at most maxBytes. A longer body is an error, and its connection is closed.
func ReadLimited(resp *http.Response, maxBytes int64) ([]byte, error) {
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	if err == nil && int64(len(b)) > maxBytes {
		return nil, ErrTooLong
	}
	return b, err
}

// ErrTooLong means that a body was longer than its reader accepts.
var ErrTooLong = errors.New("the answer is longer than expected")

// DoShort sends a request and reads the whole response. The body of the response may have at most maxBytes. DoShort
// gives up after the timeout.
func (p *Pool) DoShort(ctx context.Context, timeout time.Duration, r *Request, maxBytes int64) (*http.Response, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	b, err := ReadLimited(resp, maxBytes)
	if err != nil {
		return nil, nil, &Error{Sent: true, Err: err}
	}
	return resp, b, nil
}

// hopByHop are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// CopyHeaders copies all headers from src to dst, except those that apply to a single connection.
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
