package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/outcome"
)

// CallError describes how a call to an engine failed, and whether the engine may have run the request.
type CallError struct {
	Reason outcome.Reason
	// MayHaveRun is false in two cases only. Either no byte of the request was sent, or the engine said that it did not
	// run the request.
	MayHaveRun bool
	// KVExpired means that the prefill engine had dropped the KV cache before the decode engine fetched it.
	KVExpired bool
	// Code is the engine's own error code, if it answered with one.
	Code string
	Err  error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s: %v", e.Reason, e.Err) }
func (e *CallError) Unwrap() error { return e.Err }

// Call is one call to an engine.
type Call struct {
	Address string // ip:port
	Path    string
	// RequestID identifies this call. An engine includes the id in every response to the call. Two calls that are made
	// for one request have different ids.
	RequestID    string
	MaxTokens    int
	Priority     int
	CallerFields []byte // The fields of the caller's body that are passed on, as a JSON object.
}

const (
	dialTimeout      = 500 * time.Millisecond
	maxResponseBytes = 1 << 20
	maxIdlePerHost   = 256
	shortCallTimeout = 2 * time.Second
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	// OnMalformed is called for each malformed answer of an engine, with the engine's address. It must be set before the first
	// call. It must not block. It may be nil.
	OnMalformed func(address string, err error)

	hc *http.Client
	// probeClient queries load and cache events, on connections that no request uses.
	probeClient *http.Client
	// OnLoad is called with the load report of each response and the engine's address. It must be set before the first
	// call. It may be nil.
	OnLoad func(address string, l Load)
}

// NewClient returns a client with its own connection pool. The client uses only HTTP/1.1 and ignores the proxy settings
// of the environment.
func NewClient() *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	c := &Client{}
	c.hc, c.probeClient = c.httpClient(dial, maxIdlePerHost), c.httpClient(dial, 1)
	return c
}

// Dial is a function that opens a connection, like net.Dialer.DialContext.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// WrapProbeDial wraps the function that opens the connections for probes. A probe is a query of load or cache events.
// So the bytes of probes can be counted.
func (c *Client) WrapProbeDial(wrap func(Dial) Dial) {
	c.probeClient = c.httpClient(wrap((&net.Dialer{Timeout: dialTimeout}).DialContext), 1)
}

func (c *Client) httpClient(dial Dial, idle int) *http.Client {
	report := func(address string, err error) {
		if c.OnMalformed != nil {
			c.OnMalformed(address, err)
		}
	}
	return &http.Client{
		Transport: httphead.NewTransport(&http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}, report),
		// Following a redirect would send the request to an endpoint that the router did not select.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// post sends a POST request with the body b. The body reaches the engine at most once. No request carries an
// Idempotency-Key. So net/http sends a request again only if nothing of the request was written. That happens when the
// engine had closed a reused connection.
func (c *Client) post(ctx context.Context, address, path string, b []byte, header http.Header) (*http.Response, error) {
	// maybeSent is set when a connection is obtained, because bytes may be sent from then on.
	var maybeSent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { maybeSent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	for k, v := range header {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.hc.Do(req)
	if err != nil {
		reason := outcome.EndpointLost
		if !maybeSent.Load() {
			reason = outcome.ConnectFailed
		} else if httphead.IsMalformed(err) {
			reason = outcome.WrongAnswer
		}
		return nil, &CallError{Reason: reason, MayHaveRun: maybeSent.Load(), Err: err}
	}
	c.readLoad(address, resp)
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, parseRefusal(resp)
	}
	return resp, nil
}

func (c *Client) readLoad(address string, resp *http.Response) {
	h := resp.Header.Get(LoadHeader)
	if h == "" || c.OnLoad == nil {
		return
	}
	var l Load
	if json.Unmarshal([]byte(h), &l) == nil {
		c.OnLoad(address, l)
	}
}

// parseRefusal reads an error response. The request counts as not run only if the engine says so with an error code. A
// 500 without such a code may come from the middle of a run.
func parseRefusal(resp *http.Response) error {
	var body ErrorBody
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	_ = json.Unmarshal(b, &body)
	e := &CallError{
		Reason:     outcome.EndpointRefused,
		MayHaveRun: body.Error.Code != CodeNotRun && body.Error.Code != CodeKVExpired,
		KVExpired:  body.Error.Code == CodeKVExpired,
		Code:       body.Error.Code,
		Err:        fmt.Errorf("status %d, code %q", resp.StatusCode, body.Error.Code),
	}
	if e.KVExpired {
		e.Reason = outcome.PrefillExpired
	} else if e.MayHaveRun {
		e.Reason = outcome.EndpointLost
	}
	return e
}

// Prefill makes an engine process the prompt and keep its KV cache for a decode engine.
func (c *Client) Prefill(ctx context.Context, call Call) (*PrefillResponse, error) {
	b, err := encodeBody(Params{
		RequestID: call.RequestID,
		MaxTokens: 1,
		Priority:  call.Priority,
		KV:        KVParams{Prefill: true},
	}, call.CallerFields)
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	resp, err := c.post(ctx, call.Address, call.Path, b, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	ans := &PrefillResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(ans); err != nil {
		return nil, &CallError{Reason: outcome.Truncated, MayHaveRun: true, Err: err}
	}
	if !strings.HasSuffix(ans.ID, call.RequestID) {
		return nil, &CallError{Reason: outcome.WrongAnswer, MayHaveRun: true, Err: errors.New("the answer carries another request's id")}
	}
	if ans.KV.Handle == "" {
		return nil, &CallError{Reason: outcome.EndpointLost, MayHaveRun: true, Err: errors.New("the answer has no KV cache handle")}
	}
	ans.KV.Remote = call.Address
	return ans, nil
}

// Decode makes an engine fetch the KV cache described by kv and stream the answer.
func (c *Client) Decode(ctx context.Context, call Call, kv KVParams) (*Stream, error) {
	b, err := encodeBody(Params{
		RequestID:     call.RequestID,
		Stream:        true,
		StreamOptions: &StreamOptions{IncludeUsage: true},
		MaxTokens:     call.MaxTokens,
		Priority:      call.Priority,
		KV:            KVParams{Handle: kv.Handle, Remote: kv.Remote, Bytes: kv.Bytes},
	}, call.CallerFields)
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	resp, err := c.post(ctx, call.Address, call.Path, b, nil)
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, call.RequestID, 0), nil
}

// Resume continues a stream whose connection was lost. next is the number of the first chunk that has not been
// received. Without a connection, the engine keeps running a stream for a short while.
func (c *Client) Resume(ctx context.Context, address, requestID string, next int) (*Stream, error) {
	b, err := json.Marshal(AbortRequest{RequestID: requestID})
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	header := http.Header{"Last-Event-Id": {fmt.Sprint(next - 1)}}
	resp, err := c.post(ctx, address, ResumePath, b, header)
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, requestID, next), nil
}

// Abort frees the memory that the engine reserves for a call. It may be repeated, because the engine gives the same
// answer for a call that it does not know.
func (c *Client) Abort(ctx context.Context, address, requestID string) error {
	b, err := json.Marshal(AbortRequest{RequestID: requestID})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	resp, err := c.post(ctx, address, AbortPath, b, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return errors.Join(err, resp.Body.Close())
}

// Load queries the load of an engine.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.probe(ctx, address, LoadPath, &l)
	return l, err
}
