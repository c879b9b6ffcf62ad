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

// KeyHash is the SHA-256 of a client's key. The key itself is kept nowhere.
type KeyHash [sha256.Size]byte

// HashKey hashes a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// short tells keys apart in logs and answers.
func (h KeyHash) short() string { return hex.EncodeToString(h[:4]) }

// KeyState says what a request has in the place of its key.
type KeyState uint8

// The states. A BadKey can be nobody's: it is empty, overlong, or one of several.
const (
	NoKey KeyState = iota
	OneKey
	BadKey
)

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before that of a request's route, if Ranked.
	Priority int
	Ranked   bool
	// Regions are those in which its requests may be served, beside what their route says; empty
	// where the account says nothing of it.
	Regions []string
	// Limit holds for all boxes together. It counts tokens if ByTokens, PlainTokens for a request
	// that does not say how many it takes, and otherwise requests.
	Limit       quota.Limit
	ByTokens    bool
	PlainTokens int
}

// AccountLimits are the limits of the accounts that have one, by the accounts' names.
func (c *Config) AccountLimits() map[string]quota.Limit {
	out := map[string]quota.Limit{}
	for _, a := range c.Accounts {
		if a.Limit.Rate > 0 {
			out[a.Name] = a.Limit
		}
	}
	return out
}

// maxCountedTokens bounds the tokens that a request may say it takes.
const maxCountedTokens = 1 << 30

// units are what a request takes of its account's limit.
func (a *Account) units(ask *Ask) float64 {
	if !a.ByTokens {
		return 1
	}
	if n := min(maxCountedTokens, ask.PromptTokens) + min(maxCountedTokens, ask.MaxOutput); n > 0 {
		return float64(n)
	}
	return float64(a.PlainTokens)
}

// Allowance keeps accounts to their limits over all boxes.
type Allowance interface {
	Take(ctx context.Context, account string, units float64) quota.Verdict
	GiveBack(account string, units float64)
}

// KeyRules say what holds for keys while the box does not hear of the configuration.
type KeyRules struct {
	// Strict refuses requests that need a key once the configuration is older than Within, in which a
	// key that was taken away must be refused. Otherwise the last configuration heard of counts.
	Strict bool
	Within time.Duration
	// Age is how long ago the configuration was heard of.
	Age func() time.Duration
}

// maxRevokedKeys bounds the keys that are remembered as taken away.
const maxRevokedKeys = 4096

// revoked are keys that configurations before the one in force had. They are refused like any
// unknown key, but counted apart. Nothing is changed once it is stored.
type revoked map[KeyHash]struct{}

// after adds what a new configuration took away.
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

// authenticate finds the account of the request. Without accounts in the configuration there is none.
// A public route needs no key, and one that nobody holds is passed over there: it would have been
// served without.
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
		return outcome.Outcome{Kind: outcome.NotRun, Reason: outcome.KeysOld, RetryAfter: retryAfter}, false
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
	// limitJitter keeps callers who are over a limit from coming back together.
	limitJitter = 0.25
	// minLimitRetryAfter is the shortest time that they are told.
	minLimitRetryAfter = 50 * time.Millisecond
)

// chargeLimit takes what the request needs of its account's limit, or refuses it at once.
func (x *exchange) chargeLimit(ctx context.Context) (outcome.Outcome, bool) {
	a := x.account
	if a == nil || a.Limit.Rate <= 0 || x.r.o.Limits == nil {
		return outcome.Outcome{}, true
	}
	units := a.units(&x.meta)
	began := clock.Now()
	v := x.r.o.Limits.Take(ctx, a.Name, units)
	x.r.m.LimitAsked.UpdateDuration(began)
	switch {
	case v.OK:
		x.units = units
		return outcome.Outcome{}, true
	case v.Unsure:
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

// decidedBy says who decided, and how many boxes had lent it their parts.
func decidedBy(v quota.Verdict) string {
	by := "this box"
	if v.By != "" {
		by = "box " + v.By
	}
	return fmt.Sprintf("decided by %s with the parts of %.0f%% of the boxes", by, 100*v.Part)
}

// refundLimit gives back what a request took of its account's limit if no endpoint was sent it.
func (x *exchange) refundLimit() {
	if x.units > 0 && !x.dispatched {
		x.r.o.Limits.GiveBack(x.account.Name, x.units)
	}
}

// rank is the request's priority, 0 the highest.
func (x *exchange) rank() int {
	if x.account != nil && x.account.Ranked {
		return x.account.Priority
	}
	return x.route.Priority
}
