package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/tcpopt"
)

// copyBufferBytes is the size of the buffer of each direction of a tunnel.
const copyBufferBytes = 4 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// endpointCloseGrace is how long after the endpoint has closed its side the caller may send nothing. An endpoint may read on
// after its answer.
const endpointCloseGrace = 2 * time.Second

// carried is a tunnel that a server carries.
type carried struct {
	caller, endpoint net.Conn

	mu sync.Mutex
	// closed is set once the endpoint has closed its connection regularly. failed is set once the connection to the endpoint
	// was reset, or timed out. The operating system reports that only once: after a write has got the report, a read sees a
	// regular end.
	closed, failed bool
	// copied is the number of bytes of the caller whose write to the endpoint's connection was begun.
	copied uint64
	// taken is the number of these bytes that the endpoint has acknowledged. It is valid once the tunnel has ended.
	taken uint64
	ended bool
}

func (t *carried) reset() {
	reset(t.caller)
	reset(t.endpoint)
}

// splice copies bytes between a caller and an endpoint until one of them ends the connection. A reset on one side becomes
// a reset on the other: the end of an answer that has no length must not look like its regular end.
// It calls endpointClosed when the endpoint has closed its connection regularly, before the caller learns of it. It returns
// the number of bytes in both directions.
func (t *carried) splice(endpointClosed func()) int64 {
	var toEndpoint, toCaller int64
	var wg sync.WaitGroup
	wg.Go(func() {
		n, readErr, writeErr := t.copyToEndpoint()
		toEndpoint = n
		if writeErr != nil {
			// What the endpoint sent before can still be read. The other direction then ends too.
			t.fail()
			_ = t.endpoint.SetReadDeadline(time.Now().Add(endpointCloseGrace))
			return
		}
		// A caller never closes only one direction. So its end means that nobody reads the answer.
		t.end()
		if readErr != nil && !errors.Is(readErr, net.ErrClosed) {
			reset(t.endpoint)
		}
		_ = t.endpoint.Close()
		_ = t.caller.Close()
	})
	wg.Go(func() {
		n, err := copyBytes(t.caller, t.endpoint)
		toCaller = n
		switch {
		case errors.Is(err, net.ErrClosed): // The other direction has ended the tunnel.
			err = nil
		case err == nil && !t.close():
			err = syscall.ECONNRESET
		case err == nil:
			endpointClosed()
		}
		half, ok := t.caller.(interface{ CloseWrite() error })
		if err != nil || !ok || half.CloseWrite() != nil {
			t.fail()
			reset(t.caller)
			t.end()
			_ = t.endpoint.Close()
			return
		}
		// The caller closes its side once it has read the end, and has sent the rest of its request.
		_ = t.caller.SetReadDeadline(time.Now().Add(endpointCloseGrace))
	})
	wg.Wait()
	if t.hasFailed() { // The endpoint may have closed its side before.
		t.end()
		t.reset()
	}
	return toEndpoint + toCaller
}

// copyToEndpoint copies the caller's bytes to the endpoint until an error. The caller's end is no error.
func (t *carried) copyToEndpoint() (n int64, readErr, writeErr error) {
	buf, _ := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	for {
		r, err := t.caller.Read(buf[:])
		if r > 0 {
			t.addCopied(r) // Before the write: a reset that it is told of must find bytes that were not taken.
			w, writeErr := t.endpoint.Write(buf[:r])
			n += int64(w)
			if writeErr != nil {
				return n, nil, writeErr
			}
			t.extend()
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = nil
			}
			return n, err, nil
		}
	}
}

// addCopied records bytes that are written to the endpoint's connection.
func (t *carried) addCopied(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copied += uint64(n)
}

// extend lets the caller send more of its request after the endpoint has closed its side.
func (t *carried) extend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = t.caller.SetReadDeadline(time.Now().Add(endpointCloseGrace))
	}
}

// close records that a read has seen the end of the endpoint's bytes. It reports false if that is no regular end.
func (t *carried) close() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe()
	t.closed = !t.failed
	return t.closed
}

func (t *carried) fail() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed = true
}

func (t *carried) hasFailed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

// end records what the endpoint has taken, before its connection is closed.
func (t *carried) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe()
	t.ended = true
}

// observe reads how much the endpoint has taken, and whether its connection is gone. The caller holds t.mu.
func (t *carried) observe() {
	if t.ended {
		return
	}
	st, err := tcpopt.StatusOf(t.endpoint)
	if err != nil { // Only the results of the writes are known.
		t.taken = t.copied
		return
	}
	t.taken = st.Acked
	// A reset after a regular close changes nothing once the endpoint has taken all bytes.
	t.failed = t.failed || st.Closed && t.taken < t.copied
}

// endOf returns how the tunnel ended, for a caller that has sent a number of bytes.
func (t *carried) endOf(sent uint64) (closed bool, taken uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe()
	return t.closed && !t.failed && !(t.ended && t.taken < sent), t.taken
}

// copyBytes copies until the end of src. It hides the methods of the connections by which io.Copy would move bytes inside
// the kernel: these need a pipe, two more descriptors, for each direction.
func copyBytes(dst, src net.Conn) (int64, error) {
	buf, _ := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	return io.CopyBuffer(struct{ io.Writer }{dst}, struct{ io.Reader }{src}, buf[:])
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
