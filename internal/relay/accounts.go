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

// KeyHash is the SHA-256 hash of a caller's key. The key identifies a client account, and is not itself stored.
type KeyHash [sha256.Size]byte

// HashKey hashes a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// short returns the first digits of the hash, which identify the key in logs and answers.
func (h KeyHash) short() string { return hex.EncodeToString(h[:4]) }

// KeyState says whether a request has a key.
type KeyState uint8

// The states. BadKey means that the request has something in place of a key that cannot be a key. It is empty, too
// long, or more than one value.
const (
	NoKey KeyState = iota
	OneKey
	BadKey
)

// Account is a client account.
type Account struct {
	Name string
	// Priority replaces the priority of a request's route, if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions are the regions that may serve the account's requests. It is empty if the account does not restrict the
	// regions. If the route names regions too, only regions that both of them name may serve a request.
	Regions []string
	// Limit is the rate limit of the account over all boxes. It counts tokens if ByTokens is set, and requests
	// otherwise. DefaultTokens is the count for a request whose headers do not give its tokens.
	Limit         quota.Limit
	ByTokens      bool
	DefaultTokens int
}

// AccountLimits returns the limits of the accounts that have a limit, by the name of the account.
func (c *Config) AccountLimits() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for _, a := range c.Accounts {
		if a.Limit.Rate > 0 {
			out[a.Name] = a.Limit
		}
	}
	return out
}

// maxCountedTokens limits the tokens charged for a request's prompt. It also limits the tokens charged for its output.
const maxCountedTokens = 1 << 30

// units returns what a request is charged on its account's limit: tokens or, without ByTokens, one request.
func (a *Account) units(meta *RequestMeta) float64 {
	if !a.ByTokens {
		return 1
	}
	if n := min(maxCountedTokens, meta.PromptTokens) + min(maxCountedTokens, meta.MaxOutput); n > 0 {
		return float64(n)
	}
	return float64(a.DefaultTokens)
}

// Quota enforces the limits of client accounts over all boxes. Take charges units on a limit. Refund gives units
// back, unless the time in Verdict.RefundUntil is over.
type Quota interface {
	Take(ctx context.Context, account string, units float64) quota.Verdict
	Refund(account string, units float64, until time.Time)
}

// KeyPolicy says how keys are checked while the box receives no configurations.
type KeyPolicy struct {
	// Within is the time within which a revoked key must be refused. If Strict is set and the configuration is older
	// than Within, requests that need a key are refused. Otherwise keys are checked by the last configuration received.
	Strict bool
	Within time.Duration
	// Age returns the time since the configuration was last confirmed.
	Age func() time.Duration
}

// maxRevokedKeys limits the number of revoked keys that are remembered.
const maxRevokedKeys = 4096

// revoked are the keys of earlier configurations that the present one does not have. They are refused like any unknown
// key, but with the reason RevokedKey. The map is immutable once stored.
type revoked map[KeyHash]struct{}

// updated returns the keys that are revoked once the configuration next has replaced old.
func (r revoked) updated(old, next *Config) revoked {
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

// authenticate finds the client account of the request by its key. There is no account if the configuration has no
// accounts. A public route needs no key. It ignores an unknown key, because it would serve the request without a key
// too. If the result is false, the request must be refused with the returned outcome.
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
	// limitJitter is the largest part that is added to a retry delay, as a share of the delay. Callers that exceed a
	// limit then do not all retry at the same time.
	limitJitter = 0.25
	// minLimitRetryAfter is the shortest retry delay of a request that exceeds a limit.
	minLimitRetryAfter = 50 * time.Millisecond
)

// chargeLimit charges the request on its account's limit. If the limit is exceeded or cannot be checked, the result is
// false. The request must then be refused immediately with the returned outcome.
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
		x.units, x.refundUntil = units, v.RefundUntil
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

// decidedBy says which box decided on a charge. Each box has an equal part of a limit, and lends its part to the box
// that decides. The text also gives the share of the boxes that had lent their parts.
func decidedBy(v quota.Verdict) string {
	by := "this box"
	if v.Owner != "" {
		by = "box " + v.Owner
	}
	return fmt.Sprintf("decided by %s with the parts of %.0f%% of the boxes", by, 100*v.LentShare)
}

// refundLimit gives the request's units back to the limit, if no request to an endpoint was built.
func (x *exchange) refundLimit() {
	if x.units > 0 && !x.dispatched.Load() {
		x.r.o.Limits.Refund(x.account.Name, x.units, x.refundUntil)
	}
}

// priority returns the request's priority, 0 the highest. The priority of the client account comes first, if it has
// one. Otherwise the route's priority is used.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// SetWeights sets the shares of client accounts relative to other accounts, by name. The map must not be changed later.
func (r *Relay) SetWeights(weights map[string]float64) { r.weights.Store(&weights) }

// weight returns the share of the request's client account relative to other accounts.
func (x *exchange) weight() float64 {
	if weights := x.r.weights.Load(); weights != nil {
		if w := (*weights)[x.accountName()]; w > 0 {
			return w
		}
	}
	return 1
}

// accountName returns the name of the request's client account; empty without an account.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
