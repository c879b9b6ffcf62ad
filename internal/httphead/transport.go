package httphead

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport sends requests by a Transport of net/http, and checks their responses.
type Transport struct {
	base        *http.Transport
	onMalformed func(address string, err error)
}

// NewTransport returns a Transport that uses t, which must not be used otherwise and must not use HTTP/2.
// onMalformed is called for each malformed response, with the host of the request. It must not block. It may be nil.
func NewTransport(t *http.Transport, onMalformed func(address string, err error)) *Transport {
	t.MaxResponseHeaderBytes = 2 * MaxBytes // The check of heads ends at MaxBytes, and says why.
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &strictConn{Conn: c}, nil
	}
	return &Transport{base: t, onMalformed: onMalformed}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used *strictConn
	var mu sync.Mutex // net/http may still open a connection when the request has ended.
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*strictConn)
		if !ok {
			return // A TLS connection. Its heads are checked only as net/http has parsed them.
		}
		c.expectHead()
		mu.Lock()
		defer mu.Unlock()
		used = c
	}})
	resp, err := t.base.RoundTrip(r.WithContext(ctx))
	mu.Lock()
	c := used
	mu.Unlock()
	if err == nil {
		err = checkParsed(resp, r)
		if err == nil {
			return resp, nil
		}
		_ = resp.Body.Close()
	} else if c != nil {
		// Not all errors of net/http wrap those of the connection.
		if fault := c.fault(); fault != nil && !errors.Is(err, fault) {
			err = errors.Join(err, fault)
		}
	}
	if t.onMalformed != nil && IsMalformed(err) {
		t.onMalformed(r.URL.Host, err)
	}
	return nil, err
}

// CloseIdleConnections closes idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkParsed checks the head of a response that net/http has parsed.
func checkParsed(resp *http.Response, r *http.Request) error {
	if resp.StatusCode < 100 || resp.StatusCode > 599 {
		return malformed("status %03d", resp.StatusCode)
	}
	for name, values := range resp.Header {
		if !isToken(name) {
			return malformed("a field's name is no token")
		}
		for _, v := range values {
			for i := range len(v) {
				if isControl(v[i]) {
					return malformed("byte 0x%02x in a field's value", v[i])
				}
			}
		}
	}
	return checkSwitch(resp.StatusCode, r.Header)
}

func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte[s[i]] {
			return false
		}
	}
	return s != ""
}

// strictConn is a connection that checks the heads of responses as they arrive. Informational heads are followed by
// another head. The next response's head is expected when the connection is given to a request.
type strictConn struct {
	net.Conn
	mu      sync.Mutex
	heads   Reader
	interim int // The informational heads since the last request.
}

// MaxInterim bounds the informational responses before a response.
const MaxInterim = 5

// NetConn returns the connection whose heads are checked.
func (c *strictConn) NetConn() net.Conn { return c.Conn }

func (c *strictConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interim = 0
	c.heads.expect()
}

// fault returns why the last head was refused, or nil.
func (c *strictConn) fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.err
}

// Read reads from the connection. No byte that arrived with a fault of a head, or after it, is returned.
func (c *strictConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	for rest := b[:n]; len(rest) > 0 && c.heads.scanning; {
		rest = rest[c.heads.check(rest):]
		if c.heads.scanner.isInterim() && c.heads.scanner.status != http.StatusSwitchingProtocols {
			c.heads.expect()
			if c.interim++; c.interim > MaxInterim {
				c.heads.err = fmt.Errorf("%w: more than %d informational responses", ErrTooLong, MaxInterim)
			}
		}
	}
	if c.heads.err != nil {
		return 0, c.heads.err
	}
	return n, err
}
