package tcpopt

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is the state CLOSE of the Linux kernel.
const tcpClose = 7

// Status is what the operating system knows of a connection that this process opened.
type Status struct {
	// Closed is set once the connection is gone: the other side reset it, or it timed out. The operating system reports
	// that to a single call. After the report to a write, a read sees a regular end of the data.
	Closed bool
	// Acked is the number of sent bytes that the other side's operating system has acknowledged.
	Acked uint64
}

var errNoDescriptor = errors.New("the connection has no descriptor")

// StatusOf returns the status of a connection that was opened by Dialer or net.Dialer and has not been closed.
func StatusOf(c net.Conn) (Status, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return Status{}, errNoDescriptor
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Status{}, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return Status{}, err
	}
	if infoErr != nil {
		return Status{}, infoErr
	}
	s := Status{Closed: info.State == tcpClose, Acked: info.Bytes_acked}
	if s.Acked > 0 {
		s.Acked-- // The SYN counts as a byte.
	}
	return s, nil
}
