package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// This file bounds the memory that a box uses for requests whose callers or endpoints are slow. The platform kills a
// process that exceeds its memory limit, together with all requests that it serves. A box close to the limit therefore
// refuses new requests, and reads answers only as fast as callers take them.

// memory counts the bytes of this box's memory that are reserved for requests.
type memory struct {
	limit int64 // 0 means no limit.
	used  atomic.Int64
}

// reserve adds n bytes to the counter if the sum stays within the limit, and reports whether it did. The counter never
// exceeds the limit, not even for a moment. Otherwise other requests would be refused for memory that is not in use.
func (m *memory) reserve(n int64) bool {
	for {
		used := m.used.Load()
		if m.limit > 0 && used+n > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// release subtracts n bytes that reserve has added.
func (m *memory) release(n int64) { m.used.Add(-n) }

// underPressure reports whether more than three quarters of the limit are in use.
func (m *memory) underPressure() bool { return m.limit > 0 && m.used.Load() > m.limit/4*3 }

const (
	// requestOverheadBytes is the estimated memory of a request, not counting its body and its answer. 16 KiB are for
	// four buffers of 4 KiB on its two connections. The other 16 KiB are for goroutine stacks, headers and the record.
	requestOverheadBytes = 32 << 10
	// bodyChunkBytes is the number of bytes that are reserved at a time for a body of unknown length.
	bodyChunkBytes = 64 << 10
	// callerWriteTimeout is how long a write to a caller may make no progress. Endpoints abort an answer that is not
	// read for some seconds, and that would look like a failure of the endpoint. While the box is short of memory,
	// pressureWriteTimeout is used in place of callerWriteTimeout.
	callerWriteTimeout   = 4 * time.Second
	pressureWriteTimeout = time.Second
	// readAheadPoll is the interval between attempts to reserve memory for a part of an answer while the box is out of
	// memory.
	readAheadPoll = 20 * time.Millisecond
)

// ReservedBytes returns the bytes of this box's memory that are reserved for requests.
func (r *Relay) ReservedBytes() int64 { return r.memory.used.Load() }

// boxFullOutcome refuses a request because this box is out of memory. Another box may have memory left.
func boxFullOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.BoxFull, RetryAfter: jitter(retryAfter)}
}

// reserveMemory reserves n bytes of this box's memory until the request ends. It returns false if that exceeds the
// limit.
func (x *exchange) reserveMemory(n int64) bool {
	if !x.r.memory.reserve(n) {
		return false
	}
	x.reservedBytes += n
	return true
}

// releaseMemory releases all bytes that reserveMemory has reserved for the request.
func (x *exchange) releaseMemory() {
	x.r.memory.release(x.reservedBytes)
	x.reservedBytes = 0
}

// keepBody returns a function that reserves n bytes for a body of which the rest is sent after the request has ended.
func (r *Relay) keepBody(n int64) func() (release func(), ok bool) {
	return func() (func(), bool) {
		if !r.memory.reserve(n) {
			return nil, false
		}
		return func() { r.memory.release(n) }, true
	}
}

var errBoxFull = errors.New("not enough memory on this box for the request body")

// countedBody is a body of unknown length. Memory for the body is reserved while the body is read.
type countedBody struct {
	io.Reader
	x      *exchange
	unread int64 // The bytes that are reserved and not read yet.
}

func (b *countedBody) Read(p []byte) (int, error) {
	if b.unread <= 0 {
		if !b.x.reserveMemory(bodyChunkBytes) {
			return 0, errBoxFull
		}
		b.unread = bodyChunkBytes
	}
	n, err := b.Reader.Read(p[:min(int64(len(p)), b.unread)])
	b.unread -= int64(n)
	return n, err
}

// extendWriteDeadline gives the caller the write timeout for the next write. It is called before each write. It moves
// the deadline only once half of the timeout has passed.
func (x *exchange) extendWriteDeadline() {
	limit := callerWriteTimeout
	if x.r.memory.underPressure() {
		limit = pressureWriteTimeout
	}
	now := time.Now()
	if x.writeDeadline.Sub(now) > limit/2 {
		return
	}
	x.writeDeadline = now.Add(limit)
	// Connections without deadlines, as in tests, return an error that does not matter.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.writeDeadline)
}

// writeErrorOutcome is the outcome of a request whose answer could not be written.
func writeErrorOutcome(err error) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone, Detail: err.Error()}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o.Reason = outcome.CallerSlow
	}
	return o
}

// callerGoneOutcome is the outcome of a request whose caller closed its connection.
func callerGoneOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone, Detail: "read: the connection ended"}
}

// callerWriter writes to the caller, and calls extendWriteDeadline before each write.
type callerWriter struct{ x *exchange }

func (w callerWriter) Write(b []byte) (int, error) {
	w.x.extendWriteDeadline()
	return w.x.w.Write(b)
}

// waitReserve reserves n bytes for a part of an answer. While the box is out of memory, it waits. An endpoint is then
// read only as fast as callers take data. If ctx ends first, waitReserve returns false.
func (m *memory) waitReserve(ctx context.Context, n int64) bool {
	for !m.reserve(n) {
		select {
		case <-time.After(readAheadPoll):
		case <-ctx.Done():
			return false
		}
	}
	return true
}
