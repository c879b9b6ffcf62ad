// Package claim makes a keyed request run at most once, through any box: before
// it runs, its key is claimed by one insert-if-absent row of the platform's
// table. A claim is never taken over. This is agreement and goes through the
// table; nothing in package decide does.
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

// State is what a claim row says of its request.
type State string

// The states. Running and MayHaveRun block the key for good; Free lets it be claimed anew.
const (
	Running    State = "running"
	Done       State = "done"
	MayHaveRun State = "may_have_run"
	Free       State = "free"
)

type row struct {
	State   State  `json:"state"`
	Request string `json:"request"`
}

// Claim is a key held by one request.
type Claim struct {
	key     string
	version int64
	request string
}

// Claims makes and closes claims.
type Claims struct{ table Table }

// New returns claims kept in t.
func New(t Table) *Claims { return &Claims{table: t} }

// Acquire claims the client's key for a request. Where it is not claimed the
// outcome says why, and the request must not run.
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
		Value:     encode(row{Running, request}),
	})
	switch {
	case err == nil:
		return &Claim{id, version, request}, outcome.Outcome{}
	case errors.Is(err, platform.ErrConflict):
		return nil, c.conflict(ctx, id, request)
	}
	return c.readBack(ctx, id, request)
}

// readBack finds out whether a write whose answer was lost took effect. While
// the table cannot be read the request has not run and is refused as such; its
// claim, if it exists, stays, so that no other try can run beside a late one.
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

// comeBack is when a caller may try again after the table did not answer.
const comeBack = 5 * time.Second

func storeDown(detail string) outcome.Outcome {
	return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.StoreDown, Detail: detail, RetryAfter: comeBack}
}

// conflict says whose claim won.
func (c *Claims) conflict(ctx context.Context, id, request string) outcome.Outcome {
	got, err := c.table.Get(ctx, id, 0)
	if err != nil {
		return outcome.Refuse(outcome.KeyUnknown, "")
	}
	o, _ := fate(got)
	return o
}

// fate turns a row into the refusal of a later request with the same key. The
// refused request itself did not run, whatever the first one did.
func fate(r platform.Row) (outcome.Outcome, bool) {
	var v row
	if err := json.Unmarshal([]byte(r.Value), &v); err != nil {
		return outcome.Refuse(outcome.KeyUnknown, "the claim cannot be read"), true
	}
	detail := fmt.Sprintf("the first request was %s", v.Request)
	switch v.State {
	case Free:
		return outcome.Refuse(outcome.KeyRunning, detail), false
	case Done:
		return outcome.Refuse(outcome.KeyDone, detail), true
	case MayHaveRun:
		return outcome.Outcome{Kind: outcome.MayHaveRun, Reason: outcome.KeyRunning, Detail: detail + ", which may have run"}, true
	}
	return outcome.Refuse(outcome.KeyRunning, detail), true
}

// Close writes how the claimed request ended. If that write is lost the claim
// stays running, which refuses later tries: careful, never wrong.
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
		Value:     encode(row{state, cl.request}),
	})
	return err
}

func encode(r row) string {
	b, err := json.Marshal(r)
	if err != nil {
		panic("claim: a row of two strings did not encode: " + err.Error())
	}
	return string(b)
}
