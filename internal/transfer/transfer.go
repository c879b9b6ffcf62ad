// Package transfer observes the bytes of transfers between processes, so that a transfer that is slow can be told from
// one that has failed.
package transfer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Progress counts the bytes of one transfer as they arrive.
type Progress struct {
	mu sync.Mutex
	// bytes counts the bytes since the last call of Done, of which the first ones arrived at first and the last ones at
	// last. From is when the count began.
	bytes             int64
	from, first, last time.Time
	onBytes           func(n int)
	onDone            func()
}

// NewProgress returns a counter that calls onBytes for the bytes of each read. OnBytes may be nil; it must not block.
func NewProgress(onBytes func(n int)) *Progress {
	return &Progress{from: time.Now(), onBytes: onBytes}
}

// Add counts bytes that have arrived.
func (p *Progress) Add(n int) {
	if n <= 0 {
		return
	}
	p.mu.Lock()
	p.last = time.Now()
	if p.bytes == 0 {
		p.first = p.last
	}
	p.bytes += int64(n)
	p.mu.Unlock()
	if p.onBytes != nil {
		p.onBytes(n)
	}
}

// Done starts a new count, because a message is complete.
func (p *Progress) Done() {
	p.mu.Lock()
	p.bytes, p.from, p.first, p.last = 0, time.Now(), time.Time{}, time.Time{}
	p.mu.Unlock()
	if p.onDone != nil {
		p.onDone()
	}
}

// Bytes returns the number of bytes since the last call of Done.
func (p *Progress) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Took returns the time from the first to the last of the bytes since the last call of Done.
func (p *Progress) Took() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last.Sub(p.first)
}

// String describes how far an incomplete transfer has come.
func (p *Progress) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	took := time.Since(p.from).Round(time.Millisecond)
	if p.bytes == 0 {
		return fmt.Sprintf("no byte arrived in %v", took)
	}
	return fmt.Sprintf("%d bytes arrived in %v, the last ones %v ago", p.bytes, took, time.Since(p.last).Round(time.Millisecond))
}

type progressKey struct{}

// WithProgress returns a context whose transfers are counted by p.
func WithProgress(ctx context.Context, p *Progress) context.Context {
	return context.WithValue(ctx, progressKey{}, p)
}

// FromContext returns the counter of a context; nil if there is none.
func FromContext(ctx context.Context) *Progress {
	p, _ := ctx.Value(progressKey{}).(*Progress)
	return p
}

// Reader returns a reader that reads from r and counts the bytes by the counter of ctx.
func Reader(ctx context.Context, r io.ReadCloser) io.ReadCloser {
	p := FromContext(ctx)
	if p == nil {
		return r
	}
	return &countingReader{r, p}
}

type countingReader struct {
	io.ReadCloser
	p *Progress
}

// maxReadBytes bounds each read: net/http returns from a read of a chunked body only when the buffer is full.
const maxReadBytes = 4 << 10

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b[:min(len(b), maxReadBytes)])
	r.p.Add(n)
	return n, err
}

// RoundTripper counts the bytes of the responses that Base returns by the counters of the requests' contexts.
type RoundTripper struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t RoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err == nil {
		resp.Body = Reader(r.Context(), resp.Body)
	}
	return resp, err
}
