package tunnel

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/stoatramp/stoatramp/internal/httphead"
)

// DialFunc opens a TCP connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// maxAnswerBytes bounds the header of the answer to a CONNECT.
const maxAnswerBytes = 4 << 10

var errEarlyBytes = errors.New("bytes arrived before the tunnel was used")

// Open opens a tunnel to target (ip:port) through the server at address (ip:port). Key authenticates the caller, and id
// names the tunnel for Ended; each may be empty. The returned connection is that to the server, so its descriptor shows
// whether the tunnel is open. An error is an *Error.
func Open(ctx context.Context, dial DialFunc, address, target, key, id string) (net.Conn, error) {
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Failed, err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	err = connect(c, target, key, id)
	if !stop() { // The end of ctx has closed the connection.
		err = &Error{Failed, ctx.Err()}
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

func connect(c net.Conn, target, key, id string) error {
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return &Error{Failed, err}
	}
	var head strings.Builder
	fmt.Fprintf(&head, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n", target, target)
	if key != "" {
		fmt.Fprintf(&head, "Proxy-Authorization: %s%s\r\n", bearer, key)
	}
	if id != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", idHeader, id)
	}
	head.WriteString("\r\n")
	if _, err := c.Write([]byte(head.String())); err != nil {
		return &Error{Failed, err}
	}
	resp, r, err := httphead.ReadResponse(c, &http.Request{Method: http.MethodConnect}, maxAnswerBytes)
	if err != nil {
		return &Error{Failed, fmt.Errorf("read the answer: %w", err)}
	}
	switch { // The body is left unread, because it may have no end.
	case resp.StatusCode != http.StatusOK:
		return &Error{causeFrom(resp), errors.New(resp.Status)}
	case r.Buffered() > 0:
		return &Error{Failed, errEarlyBytes}
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return &Error{Failed, err}
	}
	return nil
}

// causeFrom returns the cause that an answer states. An HTTP proxy states none: the status then tells its result.
func causeFrom(resp *http.Response) Cause {
	stated := Cause(resp.Header.Get(causeHeader))
	if _, known := statuses[stated]; known {
		return stated
	}
	switch resp.StatusCode {
	case http.StatusBadGateway:
		return Refused
	case http.StatusGatewayTimeout:
		return Unanswered
	case http.StatusProxyAuthRequired:
		return Unauthorized
	case http.StatusServiceUnavailable:
		return Busy
	}
	return Failed
}
