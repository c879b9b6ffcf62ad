package relay

import (
	"errors"
	"net"
	"os"
	"time"
)

// lateWrite is how long a write may take whose deadline is over, for each piece that the caller takes: time
// enough for what lies ready to leave, and short beside readerLimit.
const lateWrite = 250 * time.Millisecond

// callerListener accepts callers' connections.
type callerListener struct{ *net.TCPListener }

// ListenCallers is net.Listen for callers on a TCP network: what is written to them is written on as long
// as they read.
func ListenCallers(network, address string) (net.Listener, error) {
	l, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return callerListener{l.(*net.TCPListener)}, nil
}

func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return callerConn{c}, nil
}

// callerConn is a caller's connection.
type callerConn struct{ *net.TCPConn }

// Write gives up only a caller that takes nothing. Deadlines are set before a write, and this process may
// have had no processor until after them: the write then fails at once, though the caller reads.
func (c callerConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	for errors.Is(err, os.ErrDeadlineExceeded) {
		if err := c.SetWriteDeadline(time.Now().Add(lateWrite)); err != nil {
			return n, err
		}
		var more int
		more, err = c.TCPConn.Write(b[n:])
		n += more
		if more == 0 {
			return n, err
		}
	}
	return n, err
}
