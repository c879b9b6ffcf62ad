// Package tcpopt sets options of TCP connections by which a process notices that the other side is gone.
package tcpopt

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout is how long sent bytes, and keep-alive probes, may remain unacknowledged. The operating system then ends
// the connection. It also overrides the number of keep-alive probes.
const UserTimeout = 2500 * time.Millisecond

// KeepAlive makes the operating system probe an idle connection.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Dialer returns a dialer whose connections have KeepAlive and UserTimeout. Timeout bounds connecting.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout, KeepAliveConfig: KeepAlive,
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c) },
	}
}

// Watch sets KeepAlive and UserTimeout on an accepted connection. Connections that are not TCP are left as they are.
func Watch(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	if err := tcp.SetKeepAliveConfig(KeepAlive); err != nil {
		return err
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(raw)
}

func setUserTimeout(c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// If the option cannot be set, the timeouts of each request still apply.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UserTimeout.Milliseconds()))
	})
}
