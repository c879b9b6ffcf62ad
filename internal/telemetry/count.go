package telemetry

import (
	"context"
	"net"

	"github.com/VictoriaMetrics/metrics"
)

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// CountBytes wraps a dialer so that c counts the bytes that its connections read and write. The overhead of TCP and
// the layers below is not counted.
func CountBytes(c *metrics.Counter, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, c: c}, nil
	}
}

type countedConn struct {
	net.Conn
	c *metrics.Counter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.Add(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.Add(n)
	return n, err
}
