package h1

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// This file checks whether an endpoint keeps a new connection, before a request is sent on it.

const (
	// confirmMargin is how much longer than the time that connecting took a new connection is watched (ConfirmOpen). In
	// that time the endpoint's process has accepted the connection, and a reset by the process has arrived. On a loaded
	// machine some of the resets come 3 to 13 ms after the connection was opened.
	confirmMargin = 5 * time.Millisecond
	// probeTimeout bounds the answer to a probe, beside the time that connecting took, and maxProbeBytes its body.
	probeTimeout  = 200 * time.Millisecond
	maxProbeBytes = 4 << 10
)

// errEarlyBytes means that an endpoint sent bytes on a connection before any request.
var errEarlyBytes = errors.New("the endpoint sent bytes before the request")

// checkOpen returns an error if the endpoint does not keep the new connection; see Request.ConfirmOpen.
func (c *conn) checkOpen(r *Request) error {
	if r.Probe {
		return c.probe(r.Host)
	}
	return c.confirm()
}

// confirm waits for the time that connecting took plus confirmMargin. It returns an error if the endpoint closes or
// resets the new connection in that time, or sends bytes on it.
func (c *conn) confirm() error {
	if err := c.SetReadDeadline(time.Now().Add(c.dialTime + confirmMargin)); err != nil {
		return err
	}
	_, err := c.r.Peek(1)
	switch {
	case err == nil:
		return errEarlyBytes
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	// The process may have got no processor time until after the deadline, and the read was then not tried.
	if !c.isQuiet() {
		return net.ErrClosed
	}
	return nil
}

var errProbeClosed = errors.New("the endpoint closes the connection after the probe")

// probe sends an OPTIONS * request on a new connection and reads the answer. The answer's status does not matter. It
// returns an error if the connection can't carry another request.
func (c *conn) probe(host string) error {
	if err := c.SetDeadline(time.Now().Add(c.dialTime + probeTimeout)); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(c, "OPTIONS * HTTP/1.1\r\nHost: %s\r\n\r\n", host); err != nil {
		return err
	}
	resp, err := c.readHead(&http.Request{Method: http.MethodOptions})
	if err != nil {
		return err
	}
	if _, err := ReadLimited(resp, maxProbeBytes); err != nil {
		return err
	}
	if resp.Close {
		return errProbeClosed
	}
	return c.SetDeadline(time.Time{})
}
