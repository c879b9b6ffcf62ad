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

// The path of orders, and the error code of a refused order. An epoch numbers the right to give orders. A sender may
// take over this right from another sender. It then uses a higher epoch.
const (
	OrderPath    = "/orders"
	CodeOldEpoch = "old_epoch" // The engine has seen an order of a higher epoch.
)

// CacheBlockBytes is the number of bytes of prompt text that one block of the prefix cache covers.
const CacheBlockBytes = 512

// OrderKind says what an order tells an engine to do.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad   OrderKind = "load_model"
	OrderUnload OrderKind = "unload_model"
	OrderRole   OrderKind = "set_role"
)

// Order is a command to an engine. Epoch numbers the sender's right to give orders. A sender that takes over this right
// uses a higher epoch. An engine that supports fencing remembers the highest epoch that it has seen. It refuses an
// order with a lower epoch.
type Order struct {
	Epoch   int64     `json:"epoch"`
	Kind    OrderKind `json:"kind"`
	Model   string    `json:"model,omitempty"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
}

// ErrOldEpoch means that the engine refused an order because it had seen an order of a higher epoch.
var ErrOldEpoch = errors.New("engine: a newer epoch has given orders")

// Order sends an order. After ErrOldEpoch the engine has not carried out the order. After any other error the
// engine may have carried it out. The order may be sent again, because each order sets a state.
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

// CacheEvents lists the blocks that an engine evicted from its prefix cache. The engine publishes these events with a
// delay. It keeps a limited number of events. If they are queried too rarely, some events are lost.
type CacheEvents struct {
	Removed []uint64 `json:"removed"`
	// Next is the sequence number for the next query. The query passes it as its argument after.
	Next int64 `json:"next"`
	// Gap means that the engine had already dropped some of the events that were asked for.
	Gap bool `json:"gap"`
}

// CacheEvents queries the events that follow the event with the sequence number given by after.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) (CacheEvents, error) {
	var ev CacheEvents
	err := c.probe(ctx, address, EventsPath+"?after="+strconv.FormatInt(after, 10), &ev)
	return ev, err
}

// probe sends a GET request and decodes the JSON response into v. Its connection is used for probes only.
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
