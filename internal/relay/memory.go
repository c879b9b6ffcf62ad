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

// This file bounds what a box holds for callers and endpoints that are slow. A process that takes more
// memory than the platform gives it is ended with all that it serves; one that is near that refuses new
// requests instead, and goes on reading answers only as fast as callers take them.

// memory counts what is held for requests, in bytes.
type memory struct {
	limit int64 // 0 for no bound.
	used  atomic.Int64
}

// reserve counts n bytes more if they are within the limit. What is counted is never beyond it, not even
// for a moment: others would be refused for memory that nobody takes.
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

func (m *memory) release(n int64) { m.used.Add(-n) }

// underPressure says that most of the limit is used.
func (m *memory) underPressure() bool { return m.limit > 0 && m.used.Load() > m.limit/4*3 }

const (
	// requestOverheadBytes is what a request is estimated to take beside its body and its answer: four buffers
	// of 4 KiB for two connections, as much for the stacks of its goroutines, heads and its record.
	requestOverheadBytes = 32 << 10
	// bodyChunkBytes is how much of a body of unknown length is counted at a time.
	bodyChunkBytes = 64 << 10
	// callerWriteTimeout is how long a caller may take nothing of what is written to it. Endpoints end an
	// answer that nobody reads after some seconds, and would seem to have failed. pressedLimit is the
	// same while the box is short of memory.
	callerWriteTimeout   = 4 * time.Second
	pressureWriteTimeout = time.Second
	// readAheadPoll paces the looks at whether more of an answer may be read ahead of its caller.
	readAheadPoll = 20 * time.Millisecond
)

// Held is how much is held for requests, in bytes.
func (r *Relay) Held() int64 { return r.memory.used.Load() }

// boxFullOutcome refuses a request because of this box's memory; another box may have room.
func boxFullOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.BoxFull, RetryAfter: jitter(retryAfter)}
}

// reserveMemory counts what the request holds until it ends.
func (x *exchange) reserveMemory(n int64) bool {
	if !x.r.memory.reserve(n) {
		return false
	}
	x.reservedBytes += n
	return true
}

// releaseMemory ends what takeMemory counted.
func (x *exchange) releaseMemory() {
	x.r.memory.release(x.reservedBytes)
	x.reservedBytes = 0
}

var errBoxFull = errors.New("the box has no memory for more of the body")

// countedBody counts a body of unknown length while it is read.
type countedBody struct {
	io.Reader
	x      *exchange
	unread int64 // Counted and not read yet.
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

// extendWriteDeadline gives the caller its time to take what is written next. It is called before each write,
// and the deadline is moved only when half of it is over.
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
	// A connection without deadlines, as in tests, has none to miss.
	_ = http.NewResponseController(x.w).SetWriteDeadline(x.writeDeadline)
}

// writeErrorOutcome says how a request ended whose answer could not be written.
func writeErrorOutcome(err error) outcome.Outcome {
	o := outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone, Detail: err.Error()}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		o.Reason = outcome.CallerSlow
	}
	return o
}

// callerGoneOutcome says how a request ended whose caller was seen to close its connection.
func callerGoneOutcome() outcome.Outcome {
	return outcome.Outcome{Kind: outcome.Cancelled, Reason: outcome.CallerGone, Detail: "read: the connection ended"}
}

// callerWriter writes to the caller, who has its time for each piece.
type callerWriter struct{ x *exchange }

func (w callerWriter) Write(b []byte) (int, error) {
	w.x.extendWriteDeadline()
	return w.x.w.Write(b)
}

// waitReserve counts bytes of an answer that were read before the caller took them, and waits while the box
// holds too much: the endpoint is then read only as fast as callers are. It returns false once ctx ends.
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
