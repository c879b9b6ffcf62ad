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

	"github.com/stoatramp/stoatramp/internal/outcome"
)

// CallError says how a call failed and whether it may have run.
type CallError struct {
	Reason outcome.Reason
	// Ran is false only if no byte of the request left, or the engine said it did not run.
	Ran    bool
	KVGone bool
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
	// RequestID is unique to the attempt; the engine puts it into everything it answers.
	RequestID string
	MaxTokens int
	Priority  int
	Rest      []byte // The caller's own fields, a JSON object.
}

const (
	dialTimeout    = 500 * time.Millisecond
	maxAnswer      = 1 << 20
	idlePerHost    = 256
	shortCallLimit = 2 * time.Second
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	hc *http.Client
	// probes is for asking for load, apart from the path of requests.
	probes *http.Client
	// OnLoad, where set before the first call, is given the load report that
	// came with an answer, by the engine's address.
	OnLoad func(address string, l Load)
}

// NewClient returns a client with a connection pool of its own. It speaks only
// HTTP/1.1 and uses no proxy from the environment.
func NewClient() *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	return &Client{hc: httpClient(dial, idlePerHost), probes: httpClient(dial, 1)}
}

// Dial opens a connection, as net.Dialer does.
type Dial = func(ctx context.Context, network, addr string) (net.Conn, error)

// ProbeThrough has probes use another way to dial, so that their bytes can be counted.
func (c *Client) ProbeThrough(wrap func(Dial) Dial) {
	c.probes = httpClient(wrap((&net.Dialer{Timeout: dialTimeout}).DialContext), 1)
}

func httpClient(dial Dial, idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: idle,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		// A redirect would take the request to an endpoint nobody chose.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close drops idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// post sends a body. net/http may send a POST again only if it wrote nothing of
// it to a kept connection that the engine had closed, because no call carries an
// Idempotency-Key; so each call reaches an engine at most once.
func (c *Client) post(ctx context.Context, address, path string, b []byte, header http.Header) (*http.Response, error) {
	// got is set from the moment a connection is ours: from then on bytes may leave.
	var got atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
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
		reason := outcome.EndpointDied
		if !got.Load() {
			reason = outcome.ConnectFailed
		}
		return nil, &CallError{Reason: reason, Ran: got.Load(), Err: err}
	}
	c.readLoad(address, resp)
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, refusal(resp)
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

// refusal reads an error answer. Only an engine that says not_run is believed
// not to have run the request; a bare 500 may come from the middle of it.
func refusal(resp *http.Response) error {
	var body ErrorBody
	b, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	_ = json.Unmarshal(b, &body)
	e := &CallError{
		Reason: outcome.EndpointRefused,
		Ran:    body.Error.Code != CodeNotRun && body.Error.Code != CodeKVExpired,
		KVGone: body.Error.Code == CodeKVExpired,
		Code:   body.Error.Code,
		Err:    fmt.Errorf("status %d, code %q", resp.StatusCode, body.Error.Code),
	}
	if e.KVGone {
		e.Reason = outcome.PrefillExpired
	} else if e.Ran {
		e.Reason = outcome.EndpointDied
	}
	return e
}

// Prefill has an engine read the prompt and keep its KV cache.
func (c *Client) Prefill(ctx context.Context, call Call) (*PrefillAnswer, error) {
	b, err := body(Params{
		RequestID: call.RequestID,
		MaxTokens: 1,
		Priority:  call.Priority,
		KV:        KVParams{Prefill: true},
	}, call.Rest)
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	resp, err := c.post(ctx, call.Address, call.Path, b, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	ans := &PrefillAnswer{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(ans); err != nil {
		return nil, &CallError{Reason: outcome.Truncated, Ran: true, Err: err}
	}
	if !strings.HasSuffix(ans.ID, call.RequestID) {
		return nil, &CallError{Reason: outcome.Crossed, Ran: true, Err: errors.New("the answer carries another request's id")}
	}
	if ans.KV.Handle == "" {
		return nil, &CallError{Reason: outcome.EndpointDied, Ran: true, Err: errors.New("the answer names no KV cache")}
	}
	ans.KV.Remote = call.Address
	return ans, nil
}

// Decode has an engine take a KV cache and stream the answer.
func (c *Client) Decode(ctx context.Context, call Call, kv KVParams) (*Stream, error) {
	b, err := body(Params{
		RequestID:     call.RequestID,
		Stream:        true,
		StreamOptions: &StreamOptions{IncludeUsage: true},
		MaxTokens:     call.MaxTokens,
		Priority:      call.Priority,
		KV:            KVParams{Handle: kv.Handle, Remote: kv.Remote, Bytes: kv.Bytes},
	}, call.Rest)
	if err != nil {
		return nil, &CallError{Reason: outcome.Internal, Err: err}
	}
	resp, err := c.post(ctx, call.Address, call.Path, b, nil)
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, call.RequestID, 0), nil
}

// Resume continues a stream whose connection was lost, from the first chunk not
// yet received. The engine keeps running such a stream for a short while.
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

// Abort frees whatever the engine holds for a call. An engine that never heard
// of the call answers the same, so Abort may be sent again.
func (c *Client) Abort(ctx context.Context, address, requestID string) error {
	b, err := json.Marshal(AbortRequest{RequestID: requestID})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallLimit)
	defer cancel()
	resp, err := c.post(ctx, address, AbortPath, b, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	return errors.Join(err, resp.Body.Close())
}

// Load asks an engine for its load.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var l Load
	err := c.probe(ctx, address, LoadPath, &l)
	return l, err
}
