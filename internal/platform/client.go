// Package platform calls the services of the platform that the boxes run on: a table whose rows have version numbers,
// an object store, and a list of the live boxes that lags behind. A box is a machine that runs the router.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/stoatramp/stoatramp/internal/httphead"
	"github.com/stoatramp/stoatramp/internal/transfer"
)

// Paths of the platform's HTTP interface.
const (
	TablePath  = "/table/"
	ObjectPath = "/objects/"
	BoxesPath  = "/boxes"
)

// Errors with a meaning for the caller. Any other error means that the service did not answer as expected. After such
// an error it is not known whether a write took effect.
var (
	ErrNotFound = errors.New("platform: no such row")
	// ErrUnchanged is the result of Get if the row still has the version that the caller knows.
	ErrUnchanged = errors.New("platform: unchanged")
	// ErrConflict means that the write did not take effect: the row has another version.
	ErrConflict = errors.New("platform: the row has another version")
)

var errTooLarge = fmt.Errorf("platform: the answer is larger than %d bytes", maxResponseBytes)

// errNoLength means that an answer ended with its connection. Such an end does not show that the answer is whole, or that the
// service has read the whole call.
var errNoLength = errors.New("platform: the answer has neither a length nor chunks")

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version grows by one with every write of the row; 0 means that the row does not exist.
	Version int64 `json:"version"`
	// Token is chosen by the writer of this version. If the response to a write was lost, the writer can tell by the
	// token whether the row is its own write.
	Token string `json:"token"`
	Value string `json:"value"`
}

// Write replaces the value and the token of a row, but only if the row still has the version IfVersion.
type Write struct {
	IfVersion int64  `json:"if_version"`
	Token     string `json:"token"`
	Value     string `json:"value"`
}

// BoxInfo is one box in the platform's list of boxes.
type BoxInfo struct {
	Name string `json:"name"`
	// Address is where the box serves operators and the other boxes.
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

const (
	// callTimeout is how long a call may make no progress. A long row or object may take longer as a whole.
	callTimeout      = 2 * time.Second
	maxResponseBytes = 16 << 20
)

// Client calls the platform. It is safe for concurrent use.
type Client struct {
	// OnMalformed is called for each malformed answer of the platform. It must be set before the first call. It must not block.
	// It may be nil.
	OnMalformed func(address string, err error)

	base string
	key  string
	hc   *http.Client
}

// NewClient returns a client for the services at the base URL. No write carries an Idempotency-Key. Therefore net/http
// sends a write again only if it had sent nothing of that write. A lost response is always reported as an error.
func NewClient(base, key string) *Client {
	return NewClientWithDial(base, key, (&net.Dialer{Timeout: callTimeout}).DialContext)
}

// NewClientWithDial is like NewClient, with a function that opens the connections, for instance one that counts bytes.
func NewClientWithDial(base, key string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	c := &Client{base: base, key: key}
	c.hc = &http.Client{Transport: httphead.NewTransport(&http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute,
	}, func(address string, err error) {
		if c.OnMalformed != nil {
			c.OnMalformed(address, err)
		}
	})}
	return c
}

// newRequest returns a request whose body is counted by the progress of ctx as it is sent.
func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, http.NoBody)
	if err != nil || len(body) == 0 {
		return req, err
	}
	req.ContentLength = int64(len(body))
	req.GetBody = func() (io.ReadCloser, error) {
		return transfer.Reader(ctx, io.NopCloser(bytes.NewReader(body))), nil
	}
	req.Body, err = req.GetBody()
	return req, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (int, []byte, error) {
	ctx, _, cancel := transfer.WithIdleTimeout(ctx, callTimeout, callTimeout, nil, nil)
	defer cancel()
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return 0, nil, callError(ctx, err)
	}
	defer resp.Body.Close()
	if endsWithConn(resp) {
		return 0, nil, errNoLength
	}
	b, err := io.ReadAll(io.LimitReader(transfer.Reader(ctx, resp.Body), maxResponseBytes+1))
	if err != nil {
		return 0, nil, callError(ctx, err)
	}
	if len(b) > maxResponseBytes {
		return 0, nil, errTooLarge
	}
	return resp.StatusCode, b, nil
}

// endsWithConn reports whether only the end of its connection ends an answer.
func endsWithConn(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// callError returns the error of a call. It names how far the transfer came if that is why the call has ended.
func callError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); errors.Is(cause, transfer.ErrStalled) {
		err = cause
	}
	return fmt.Errorf("platform: %w", err)
}

// Get reads a row. If known is above 0 and the row has that version, Get returns ErrUnchanged.
func (c *Client) Get(ctx context.Context, key string, known int64) (Row, error) {
	header := http.Header{}
	if known > 0 {
		header.Set("If-None-Match", strconv.FormatInt(known, 10))
	}
	status, b, err := c.do(ctx, http.MethodGet, TablePath+url.PathEscape(key), nil, header)
	if err != nil {
		return Row{}, err
	}
	switch status {
	case http.StatusOK:
		var row Row
		if err := json.Unmarshal(b, &row); err != nil {
			return Row{}, fmt.Errorf("platform: row %s: %w", key, err)
		}
		return row, nil
	case http.StatusNotModified:
		return Row{}, ErrUnchanged
	case http.StatusNotFound:
		return Row{}, ErrNotFound
	}
	return Row{}, fmt.Errorf("platform: read %s: status %d", key, status)
}

// Put writes a row and returns the new version of the row.
func (c *Client) Put(ctx context.Context, key string, w Write) (int64, error) {
	b, err := json.Marshal(w)
	if err != nil {
		return 0, err
	}
	status, b, err := c.do(ctx, http.MethodPost, TablePath+url.PathEscape(key), b, nil)
	if err != nil {
		return 0, err
	}
	var row Row
	if status == http.StatusConflict {
		return 0, ErrConflict
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("platform: write %s: status %d", key, status)
	}
	if err := json.Unmarshal(b, &row); err != nil {
		return 0, fmt.Errorf("platform: write %s: %w", key, err)
	}
	return row.Version, nil
}

// Boxes reads the list of boxes. The list lags behind: it may have boxes that are gone and lack new ones.
func (c *Client) Boxes(ctx context.Context) ([]BoxInfo, error) {
	status, b, err := c.do(ctx, http.MethodGet, BoxesPath, nil, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("platform: boxes: status %d", status)
	}
	var list []BoxInfo
	if err := json.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("platform: boxes: %w", err)
	}
	return list, nil
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, key string, b []byte) error {
	status, _, err := c.do(ctx, http.MethodPut, ObjectPath+key, b, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("platform: store %s: status %d", key, status)
	}
	return err
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	status, b, err := c.do(ctx, http.MethodGet, ObjectPath+key, nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, ErrNotFound
	case status != http.StatusOK:
		return nil, fmt.Errorf("platform: read %s: status %d", key, status)
	}
	return b, nil
}
