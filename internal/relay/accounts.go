package relay

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
	"github.com/stoatramp/stoatramp/internal/outcome"
	"github.com/stoatramp/stoatramp/internal/quota"
)

// KeyHash is the SHA-256 of a client's key. The key itself is not stored.
type KeyHash [sha256.Size]byte

// HashKey hashes a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// short returns a prefix that identifies the key in logs and answers.
func (h KeyHash) short() string { return hex.EncodeToString(h[:4]) }

// KeyState describes the key of a request.
type KeyState uint8

// The states. A BadKey cannot be valid: it is empty, too long, or one of several.
const (
	NoKey KeyState = iota
	OneKey
	BadKey
)

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides that of a request's route, if HasPriority.
	Priority    int
	HasPriority bool
	// Regions are the regions that may serve its requests, combined with those of the route; empty if the account
	// does not restrict them.
	Regions []string
	// Limit is the limit over all boxes. If ByTokens is set it counts tokens, and DefaultTokens for a request that does
	// not say how many it takes; otherwise it counts requests.
	Limit         quota.Limit
	ByTokens      bool
	DefaultTokens int
}

// AccountLimits returns the limits of the accounts that have one, by name.
func (c *Config) AccountLimits() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for _, a := range c.Accounts {
		if a.Limit.Rate > 0 {
			out[a.Name] = a.Limit
		}
	}
	return out
}

// maxCountedTokens limits the tokens that are counted for a request's prompt and for its output.
const maxCountedTokens = 1 << 30

// units returns what a request takes of its account's limit.
func (a *Account) units(meta *RequestMeta) float64 {
	if !a.ByTokens {
		return 1
	}
	if n := min(maxCountedTokens, meta.PromptTokens) + min(maxCountedTokens, meta.MaxOutput); n > 0 {
		return float64(n)
	}
	return float64(a.DefaultTokens)
}

// Quota enforces accounts' limits over all boxes.
type Quota interface {
	Take(ctx context.Context, account string, units float64) quota.Verdict
	Refund(account string, units float64)
}

// KeyPolicy says how keys are checked while the box cannot receive configurations.
type KeyPolicy struct {
	// Strict refuses requests that need a key once the configuration is older than Within, the time within which a
	// revoked key must be refused. Otherwise the last configuration received is used.
	Strict bool
	Within time.Duration
	// Age returns the time since the configuration was last confirmed.
	Age func() time.Duration
}

// maxRevokedKeys limits the revoked keys that are remembered.
const maxRevokedKeys = 4096

// revoked are keys of earlier configurations that the one in force does not have. They are refused like any
// unknown key, but with a reason of their own. The map is immutable once stored.
type revoked map[KeyHash]struct{}

// after returns the revoked keys after a new configuration.
func (r revoked) after(old, next *Config) revoked {
	out := make(revoked, len(r))
	for k := range r {
		if _, back := next.Accounts[k]; !back {
			out[k] = struct{}{}
		}
	}
	if old == nil {
		return out
	}
	for k := range old.Accounts {
		if _, stays := next.Accounts[k]; !stays && len(out) < maxRevokedKeys {
			out[k] = struct{}{}
		}
	}
	return out
}

// authenticate finds the account of the request. There is none if the configuration has no accounts. A public
// route needs no key, and ignores an unknown one, because it would have served the request without a key.
func (x *exchange) authenticate() (outcome.Outcome, bool) {
	if x.cfg.Accounts == nil {
		return outcome.Outcome{}, true
	}
	if x.meta.KeyState == OneKey {
		x.account = x.cfg.Accounts[x.meta.Key]
	}
	if x.account != nil {
		x.rec.Client = x.account.Name
	}
	if x.route.Public {
		return outcome.Outcome{}, true
	}
	if k := x.r.o.Keys; k.Strict && k.Age() > k.Within {
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.KeysStale, RetryAfter: retryAfter}, false
	}
	if x.account != nil {
		return outcome.Outcome{}, true
	}
	switch x.meta.KeyState {
	case NoKey:
		return outcome.Refuse(outcome.UnknownKey, "no key came with the request"), false
	case BadKey:
		return outcome.Refuse(outcome.UnknownKey, "what came in the key's place is no key"), false
	}
	detail := fmt.Sprintf("key with the hash %s…, configuration version %d", x.meta.Key.short(), x.cfg.Version)
	if _, was := (*x.r.revoked.Load())[x.meta.Key]; was {
		return outcome.Refuse(outcome.RevokedKey, detail), false
	}
	return outcome.Refuse(outcome.UnknownKey, detail), false
}

const (
	// limitJitter keeps callers that exceed a limit from retrying at the same time.
	limitJitter = 0.25
	// minLimitRetryAfter is the shortest retry delay that they are given.
	minLimitRetryAfter = 50 * time.Millisecond
)

// chargeLimit takes the request's units from its account's limit, or refuses the request at once.
func (x *exchange) chargeLimit(ctx context.Context) (outcome.Outcome, bool) {
	a := x.account
	if a == nil || a.Limit.Rate <= 0 || x.r.o.Limits == nil {
		return outcome.Outcome{}, true
	}
	units := a.units(&x.meta)
	began := clock.Now()
	v := x.r.o.Limits.Take(ctx, a.Name, units)
	x.r.m.LimitCheckTime.UpdateDuration(began)
	switch {
	case v.OK:
		x.units = units
		return outcome.Outcome{}, true
	case v.Uncertain:
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.LimitUnknown, RetryAfter: jitter(retryAfter),
			Detail: fmt.Sprintf("account %s, %.0f asked for, %s", a.Name, units, decidedBy(v))}, false
	}
	o := outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.RequestRate,
		Detail: fmt.Sprintf("account %s, limit %.0f a second and %.0f at once, %.0f asked for, configuration version %d, %s", a.Name, a.Limit.Rate, a.Limit.Burst, units, x.cfg.Version, decidedBy(v))}
	if a.ByTokens {
		o.Reason = outcome.TokenRate
	}
	if v.Wait >= 0 {
		o.RetryAfter = max(minLimitRetryAfter, time.Duration(float64(v.Wait)*(1+limitJitter*rand.Float64())))
	}
	return o, false
}

// decidedBy says which box decided, and the share of the boxes that had lent it their parts.
func decidedBy(v quota.Verdict) string {
	by := "this box"
	if v.Owner != "" {
		by = "box " + v.Owner
	}
	return fmt.Sprintf("decided by %s with the parts of %.0f%% of the boxes", by, 100*v.LentShare)
}

// refundLimit gives the request's units back if no request was built for an endpoint.
func (x *exchange) refundLimit() {
	if x.units > 0 && !x.dispatched {
		x.r.o.Limits.Refund(x.account.Name, x.units)
	}
}

// rank returns the request's priority, 0 the highest.
func (x *exchange) rank() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}
