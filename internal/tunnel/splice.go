package tunnel

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// copyBufferBytes is the size of the buffer of each direction of a tunnel.
const copyBufferBytes = 4 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// endpointCloseGrace is how long the caller may still read after the endpoint has closed its side.
const endpointCloseGrace = 2 * time.Second

// splice copies bytes between a caller and an endpoint until one of them ends the connection. A reset on one side becomes
// a reset on the other: the end of an answer that has no length must not look like its regular end.
// It calls endpointClosed when the endpoint has closed its connection regularly, before the caller learns of it. It returns
// the number of bytes in both directions.
func splice(caller, endpoint net.Conn, endpointClosed func()) int64 {
	var toEndpoint, toCaller int64
	var wg sync.WaitGroup
	wg.Go(func() {
		n, err := copyBytes(endpoint, caller)
		toEndpoint = n
		// A caller never closes only one direction. So its end means that nobody reads the answer.
		if err != nil && !errors.Is(err, net.ErrClosed) {
			reset(endpoint)
		}
		_ = endpoint.Close()
		_ = caller.Close()
	})
	wg.Go(func() {
		n, err := copyBytes(caller, endpoint)
		toCaller = n
		switch {
		case errors.Is(err, net.ErrClosed): // The other direction has ended the tunnel.
			err = nil
		case err == nil:
			endpointClosed()
		}
		half, ok := caller.(interface{ CloseWrite() error })
		if err != nil || !ok || half.CloseWrite() != nil {
			reset(caller)
			_ = endpoint.Close()
			return
		}
		// The caller closes its side once it has read the end.
		_ = caller.SetReadDeadline(time.Now().Add(endpointCloseGrace))
	})
	wg.Wait()
	return toEndpoint + toCaller
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
