package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
)

// Paths and codes of orders and cache events.
const (
	OrderPath    = "/orders"
	CodeOldEpoch = "old_epoch" // A newer epoch has given orders.
)

// CacheBlockBytes is the prompt text one block of a cache event covers, in bytes.
const CacheBlockBytes = 512

// OrderKind is what an engine is told to do.
type OrderKind string

// The orders.
const (
	OrderLoad   OrderKind = "load_model"
	OrderUnload OrderKind = "unload_model"
	OrderRole   OrderKind = "set_role"
)

// Order is one order to an engine. An engine that checks the fence refuses an order
// whose Epoch is below the newest it has seen.
type Order struct {
	Epoch   int64     `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// ErrOldEpoch means that the engine refused an order because of its epoch.
var ErrOldEpoch = errors.New("engine: a newer epoch has given orders")

// Order gives an order. Any error but ErrOldEpoch leaves open whether the order was
// carried out; orders may be given again, since each sets a state.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallLimit)
	defer cancel()
	resp, err := c.post(ctx, address, OrderPath, b, nil)
	var ce *CallError
	if errors.As(err, &ce) && ce.Code == CodeOldEpoch {
		return ErrOldEpoch
	}
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswer))
	return errors.Join(err, resp.Body.Close())
}

// CacheEvents are the blocks an engine evicted from its prefix cache. They come late,
// and with a gap for who asks too seldom.
type CacheEvents struct {
	Removed []uint64 `json:"removed"`
	// Next is what to ask for the next time.
	Next int64 `json:"next"`
	// Gap says that events before these are lost.
	Gap bool `json:"gap"`
}

// CacheEvents asks for the events after a number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var ev CacheEvents
	err := c.probe(ctx, address, EventsPath+"?after="+strconv.FormatInt(after, 10), &ev)
	return ev, err
}

// probe asks an engine something beside the path of requests.
func (c *Client) probe(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.probes.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(v)
}
