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
	"syscall"
	"time"
)

// body is a response body. If it was read to its end, closing it can return its connection to the pool.
type body struct {
	io.ReadCloser
	p           *Pool
	c           *conn
	resp        *http.Response
	cancelClose func() bool
	sending     *sending
	keepBody    func() (release func(), ok bool)
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

// EndCause is why the end of a connection was not the end of a response without a length.
type EndCause string

// The causes.
const (
	// EndReset means that the connection was reset or timed out.
	EndReset EndCause = "reset"
	// EndUnread means that the endpoint did not read the rest of the request.
	EndUnread EndCause = "request_unread"
	// EndUnconfirmed means that neither the endpoint nor the box between confirmed the end.
	EndUnconfirmed EndCause = "unconfirmed"
)

// EndCauses calls f for each cause.
func EndCauses(f func(EndCause)) {
	for _, v := range []EndCause{EndReset, EndUnread, EndUnconfirmed} {
		f(v)
	}
}

// EndCauseOf returns the cause of an error of a body's end; empty if the error has another reason.
func EndCauseOf(err error) EndCause {
	switch {
	case errors.Is(err, ErrRequestLost), errors.Is(err, syscall.ECONNRESET):
		return EndReset
	case errors.Is(err, ErrRequestUnread):
		return EndUnread
	case errors.Is(err, ErrEndUnconfirmed):
		return EndUnconfirmed
	}
	return ""
}

// closeDelimited is a body that ends with its connection. The connections of an endpoint that has crashed, or of a box
// between that has died, are closed too. If the close was not the end of the body, the body ends with io.ErrUnexpectedEOF.
type closeDelimited struct {
	io.ReadCloser
	checkEnd func() error
	rejected func(EndCause)
	end      error // The error of the body's end, once it was read.
}

func (b *closeDelimited) Read(buf []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(buf)
	if errors.Is(err, io.EOF) {
		if endErr := b.checkEnd(); endErr != nil {
			err = fmt.Errorf("%w: %w", endErr, io.ErrUnexpectedEOF)
		}
	}
	if cause := EndCauseOf(err); cause != "" {
		b.rejected(cause)
	}
	b.end = err
	return n, err
}

// endConfirmer is a connection that can tell whether the endpoint has closed it. sent is the number of bytes that the endpoint
// has to take before.
type endConfirmer interface {
	EndConfirmed(ctx context.Context, sent uint64) bool
}

// endCheck returns a function that returns nil if the close of a connection was the regular end of a body that has no length:
// the endpoint has taken the whole request, and still runs.
func (p *Pool) endCheck(ctx context.Context, c *conn, s *sending) func() error {
	runs := func(context.Context) bool { return true }
	if p.EndCheck != nil {
		runs = p.EndCheck(c.addr)
	}
	return func() error {
		if err := c.awaitTaken(ctx, s); err != nil {
			return err
		}
		if c.via != "" {
			if e, ok := c.Conn.(endConfirmer); !ok || !e.EndConfirmed(ctx, c.sentBytes) {
				return ErrEndUnconfirmed
			}
		}
		if !runs(ctx) {
			return ErrEndUnconfirmed
		}
		return nil
	}
}

func (p *Pool) reportRejectedEnd(cause EndCause) {
	if p.OnEndRejected != nil {
		p.OnEndRejected(cause)
	}
}

// IsQuiet reports whether no byte of a response's body waits to be read. It must not be called during a read. If it returns
// false, nothing is known.
func IsQuiet(resp *http.Response) bool {
	b, ok := resp.Body.(*body)
	return ok && b.c.isQuiet()
}

// Close returns the connection to the pool under three conditions. The response was read to its end, the request was
// sent completely, and the request's context has not closed the connection. In all other cases Close closes the
// connection, because the next request could read bytes of this response. The endpoint may still read the rest of a request
// after its whole response. Then Close returns, and the rest is sent in the background.
func (b *body) Close() error {
	b.once.Do(func() {
		switch {
		case !b.cancelClose() || !b.reachedEOF:
			b.p.discard(b.c)
		case b.sending.isDone():
			b.releaseIf(b.sending.err)
		default:
			release, ok := func() {}, true
			if b.keepBody != nil {
				release, ok = b.keepBody()
			}
			if !ok {
				b.p.discard(b.c)
				return
			}
			b.p.rests.Go(func() { b.sendRest(release) })
		}
	})
	return nil
}

// sendRest waits until the rest of the request was sent. Until then the connection must not be closed.
func (b *body) sendRest(release func()) {
	defer release()
	ctx, cancel := context.WithTimeout(context.Background(), restTimeout)
	defer cancel()
	b.releaseIf(b.c.awaitTaken(ctx, b.sending))
}

// releaseIf returns the connection to the pool if the request was sent without an error, and closes it otherwise.
func (b *body) releaseIf(err error) {
	if err == nil {
		b.p.release(b.c, b.resp)
		return
	}
	b.p.discard(b.c)
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
