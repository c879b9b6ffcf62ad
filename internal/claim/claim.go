// Package claim ensures that a request with an idempotency key runs at most once across all boxes. Before the request
// runs, its box claims the key: it inserts a row into the platform's table, unless there is a row for that key. No
// other request can take over a claim. The decisions of package decide need no agreement between boxes, but a claim
// does. So claims use the table.
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

// Table contains the calls of the platform's table that claims need.
type Table interface {
	Get(ctx context.Context, key string, known int64) (platform.Row, error)
	Put(ctx context.Context, key string, w platform.Write) (int64, error)
}

// State is the state of the request that claimed a key.
type State string

// States of a request that claimed a key. With Running, Done and MayHaveRun, no other request can claim the key. With
// Free, the key can be claimed again.
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

// Claim is an idempotency key that one request has claimed.
type Claim struct {
	key     string
	version int64
	request string
}

// Claims acquires and closes claims.
type Claims struct{ table Table }

// New returns claims that are stored in t.
func New(t Table) *Claims { return &Claims{table: t} }

// Acquire claims the idempotency key of a client for a request. If the key cannot be claimed, the outcome says why, and
// the request must not run.
func (c *Claims) Acquire(ctx context.Context, client, key, request string) (*Claim, outcome.Outcome) {
	sum := sha256.Sum256([]byte(client + "\x00" + key))
	id := "claim/" + hex.EncodeToString(sum[:16])
	prior, err := c.table.Get(ctx, id, 0)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return nil, storeDown("")
	}
	if err == nil {
		if o, blocked := refusalByRow(prior); blocked {
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

// readBack finds out whether a write whose reply was lost took effect. If the table cannot be read, the request is
// refused as not run. If the claim is in the table, it stays there. The write can also still take effect late. In both
// cases no other request can run with the key.
func (c *Claims) readBack(ctx context.Context, id, request string) (*Claim, outcome.Outcome) {
	got, err := c.table.Get(ctx, id, 0)
	if err == nil && got.Token == request {
		return &Claim{id, got.Version, request}, outcome.Outcome{}
	}
	if err == nil {
		o, _ := refusalByRow(got)
		return nil, o
	}
	return nil, storeDown("the claim's own write was not confirmed")
}

// storeDownRetryAfter is the delay after which a caller may retry if the table did not respond.
const storeDownRetryAfter = 5 * time.Second

func storeDown(detail string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.StoreDown, Detail: detail, RetryAfter: storeDownRetryAfter}
}

// conflict returns the refusal of a request whose key another request has claimed in the meantime.
func (c *Claims) conflict(ctx context.Context, id, request string) outcome.Outcome {
	got, err := c.table.Get(ctx, id, 0)
	if err != nil {
		return outcome.Refuse(outcome.KeyUnknown, "")
	}
	o, _ := refusalByRow(got)
	return o
}

// refusalByRow returns the refusal of a later request with the same key. The row is the row that the first request
// wrote. The bool says whether that row prevents the key from being claimed. The refused request itself did not run,
// whatever the first request did.
func refusalByRow(r platform.Row) (outcome.Outcome, bool) {
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

// Close records in the table how the request that claimed the key ended. If that write is lost, the claim stays in the
// state Running. Then all later requests with the key are refused, which is unnecessary but safe.
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
