// Package claim ensures that a request with an idempotency key runs at most once across all boxes: before it runs,
// its key is claimed by inserting a row into the platform's table if there is none. A claim is never taken over
// by another request. Unlike the decisions of package decide, this needs agreement between boxes, so it uses the
// table.
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/platform"
)

// Table is the part of the platform's table that claims need.
type Table interface {
	Get(ctx context.Context, key string, known int64) (platform.Row, error)
	Put(ctx context.Context, key string, w platform.Write) (int64, error)
}

// State is the state of a claimed request.
type State string

// Running and MayHaveRun block the key forever; Free lets it be claimed again.
const (
	Running    State = "running"
	Done       State = "done"
	MayHaveRun State = "may_have_run"
	Free       State = "free"
)

type rowDoc struct {
	State   State  `json:"state"`
	Request string `json:"request"`
}

// Claim is a key claimed by one request.
type Claim struct {
	key     string
	version int64
	request string
}

// Claims acquires and closes claims.
type Claims struct{ table Table }

// New returns claims that are stored in t.
func New(t Table) *Claims { return &Claims{table: t} }

// Acquire claims the client's key for a request. If the key cannot be claimed, the outcome says why, and the
// request must not run.
func (c *Claims) Acquire(ctx context.Context, client, key, request string) (*Claim, outcome.Outcome) {
	sum := sha256.Sum256([]byte(client + "\x00" + key))
	id := "claim/" + hex.EncodeToString(sum[:16])
	prior, err := c.table.Get(ctx, id, 0)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, storeDown("")
	}
	if err == nil {
		if o, blocked := fate(prior); blocked {
			return nil, o
		}
	}
	version, err := c.table.Put(ctx, id, platform.Write{
		IfVersion: prior.Version,
		Token:     request,
		Value:     encode(rowDoc{Running, request}),
	})
	switch {
	case err == nil:
		return &Claim{id, version, request}, outcome.Outcome{}
	case errors.Is(err, platform.ErrConflict):
		return nil, c.conflict(ctx, id, request)
	}
	return c.readBack(ctx, id, request)
}

// readBack finds out whether a write without a reply took effect. If the table cannot be read, the request is
// refused as not run; its claim, if it exists, stays, so that no other try can run in case the write takes
// effect late.
func (c *Claims) readBack(ctx context.Context, id, request string) (*Claim, outcome.Outcome) {
	got, err := c.table.Get(ctx, id, 0)
	if err == nil && got.Token == request {
		return &Claim{id, got.Version, request}, outcome.Outcome{}
	}
	if err == nil {
		o, _ := fate(got)
		return nil, o
	}
	return nil, storeDown("the claim's own write was not confirmed")
}

// storeDownRetryAfter is when a caller may retry after the table did not respond.
const storeDownRetryAfter = 5 * time.Second

func storeDown(detail string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.StoreDown, Detail: detail, RetryAfter: storeDownRetryAfter}
}

// conflict returns the refusal of a request that lost the race for the key.
func (c *Claims) conflict(ctx context.Context, id, request string) outcome.Outcome {
	got, err := c.table.Get(ctx, id, 0)
	if err != nil {
		return outcome.Refuse(outcome.KeyUnknown, "")
	}
	o, _ := fate(got)
	return o
}

// fate returns the refusal of a later request with the same key, and whether the row blocks it. The refused
// request itself did not run, whatever the first one did.
func fate(r platform.Row) (outcome.Outcome, bool) {
	var doc rowDoc
	if err := json.Unmarshal([]byte(r.Value), &doc); err != nil {
		return outcome.Refuse(outcome.KeyUnknown, "the claim cannot be read"), true
	}
	detail := fmt.Sprintf("the first request was %s", doc.Request)
	switch doc.State {
	case Free:
		return outcome.Refuse(outcome.KeyRunning, detail), false
	case Done:
		return outcome.Refuse(outcome.KeyDone, detail), true
	case MayHaveRun:
		return outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.KeyRunning, Detail: detail + ", which may have run"}, true
	}
	return outcome.Refuse(outcome.KeyRunning, detail), true
}

// Close records how the claimed request ended. If that write is lost the claim stays running, which refuses all
// later tries: unnecessary, but safe.
func (c *Claims) Close(ctx context.Context, cl *Claim, k outcome.Kind) error {
	state := MayHaveRun
	switch k {
	case outcome.Answered:
		state = Done
	case outcome.NotRun:
		state = Free
	}
	_, err := c.table.Put(ctx, cl.key, platform.Write{
		IfVersion: cl.version,
		Token:     cl.request + "/end",
		Value:     encode(rowDoc{state, cl.request}),
	})
	return err
}

func encode(r rowDoc) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim: a row of two strings did not encode: " + err.Error())
	}
	return string(b)
}
