package paths

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/stoatramp/stoatramp/internal/reach"
	"github.com/stoatramp/stoatramp/internal/tunnel"
)

// carriedConn is a connection through another box. It is counted until it is closed.
type carriedConn struct {
	c    net.Conn
	d    *Dialer
	box  reach.Box
	id   string // The tunnel's name at the box.
	once sync.Once
}

var errNoDescriptor = errors.New("the connection has no descriptor")

func (c *carriedConn) Read(b []byte) (int, error)         { return c.c.Read(b) }
func (c *carriedConn) Write(b []byte) (int, error)        { return c.c.Write(b) }
func (c *carriedConn) LocalAddr() net.Addr                { return c.c.LocalAddr() }
func (c *carriedConn) RemoteAddr() net.Addr               { return c.c.RemoteAddr() }
func (c *carriedConn) SetDeadline(t time.Time) error      { return c.c.SetDeadline(t) }
func (c *carriedConn) SetReadDeadline(t time.Time) error  { return c.c.SetReadDeadline(t) }
func (c *carriedConn) SetWriteDeadline(t time.Time) error { return c.c.SetWriteDeadline(t) }

// SyscallConn gives access to the descriptor of the connection to the other box.
func (c *carriedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.c.(syscall.Conn)
	if !ok {
		return nil, errNoDescriptor
	}
	return sc.SyscallConn()
}

// EndConfirmed reports whether it was the endpoint that closed the connection, and not the box between, and whether the
// endpoint has taken the sent bytes.
func (c *carriedConn) EndConfirmed(ctx context.Context, sent uint64) bool {
	return tunnel.Ended(ctx, c.d.toBox, c.box.Address, c.id, c.d.o.Peers.Key(), sent, endTimeout) == nil
}

// endTimeout bounds each question how a tunnel ended. The other box may wait for a third of it.
const endTimeout = 300 * time.Millisecond

func (c *carriedConn) Close() error {
	c.once.Do(func() { c.d.boxes.Closed(c.box.Name) })
	return c.c.Close()
}
