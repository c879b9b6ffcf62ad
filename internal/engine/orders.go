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
	CodeOldEpoch = "old_epoch" // An order of a newer epoch was received before.
)

// CacheBlockBytes is the number of bytes of prompt text that one block of a cache event covers.
const CacheBlockBytes = 512

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load_model"
	OrderUnload OrderKind = "unload_model"
	OrderRole   OrderKind = "set_role"
)

// Order is a command to an engine. An engine that supports fencing refuses an order whose
// Epoch is below the highest it has seen.
type Order struct {
	Epoch   int64     `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// ErrOldEpoch means that the engine refused an order because it had seen a newer epoch.
var ErrOldEpoch = errors.New("engine: a newer epoch has given orders")

// Order sends an order. After any error but ErrOldEpoch it is not known whether the order
// was carried out. Orders are idempotent, since each sets a state, and may be repeated.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	b, err := json.Marshal(o)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	resp, err := c.post(ctx, address, OrderPath, b, nil)
	var ce *CallError
	if errors.As(err, &ce) && ce.Code == CodeOldEpoch {
		return ErrOldEpoch
	}
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes))
	return errors.Join(err, resp.Body.Close())
}

// CacheEvents are the blocks that an engine evicted from its prefix cache. They arrive with
// a delay, and events are lost (Gap) if they are queried too rarely.
type CacheEvents struct {
	Removed []uint64 `json:"removed"`
	// Next is the value of after for the next query.
	Next int64 `json:"next"`
	// Gap means that earlier events were lost.
	Gap bool `json:"gap"`
}

// CacheEvents queries the events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var ev CacheEvents
	err := c.probe(ctx, address, EventsPath+"?after="+strconv.FormatInt(after, 10), &ev)
	return ev, err
}

// probe sends a GET outside the request path.
func (c *Client) probe(ctx context.Context, address, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, shortCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := c.probeClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(v)
}
