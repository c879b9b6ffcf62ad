package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Owners requests units of an account from the account's owner. The owner is the box that grants units of the
// account to all boxes. If no owner answers, this box grants units from its own pool. Known is false if neither the
// owner nor this box knows a limit of the account.
type Owners interface {
	Allow(ctx context.Context, account string, units, ahead float64) (a Answer, known bool)
}

// Verdict reports whether a request is within its account's limit.
type Verdict struct {
	OK bool
	// Uncertain means that a refusal may not be due to the limit. The box that refused did not know the limit, or it
	// had been lent shares of the limit by too few boxes; see minLentShare.
	Uncertain bool
	// Wait is how long to wait before a retry. It is negative if the request can never be within the limit.
	Wait time.Duration
	// Each box has an equal share of an account's limit and lends that share to the account's owner. LentShare is
	// the proportion of all boxes that had lent their shares to the box that decided. It is 0 if this box had enough
	// cached units.
	LentShare float64
	// Owner is the owner that decided. It is empty if this box decided itself or had enough cached units.
	Owner string
	// RefundUntil is until when the units can be given back and used by other requests of this box.
	RefundUntil time.Time
}

const (
	// minLentShare is a proportion of all boxes. At least this proportion must have lent their shares of the limit
	// to an owner. Otherwise a refusal is not attributed to the limit, since an owner grants only what it was lent.
	minLentShare = 0.75
	// usageHalfLife is the half-life of the moving averages of an account's usage.
	usageHalfLife = 4 * time.Second
	// minPrefetchRequests is how many requests of an account must be expected within grantTTL. If fewer are
	// expected, no units are requested in advance, since units that are not used are lost. In a test 80 of 400
	// boxes each requested units in advance after a single stream. An account at half of its limit then had 4% of
	// its units refused (TestWithinTheLimit).
	minPrefetchRequests = 2.0
	// maxCachedAccounts bounds the number of accounts with cached units.
	maxCachedAccounts = 16384
)

// GrantCache caches units that owners granted to this box in advance and that this box has not used yet. It is safe
// for concurrent use.
type GrantCache struct {
	owners Owners

	mu     sync.Mutex
	cached map[string]*cachedGrant
}

type cachedGrant struct {
	units   float64
	expires time.Time
	// unitsPerSecond and requestsPerSecond are moving averages of the account's usage at this box, as of updatedAt.
	unitsPerSecond, requestsPerSecond float64
	updatedAt                         time.Time
}

// NewGrantCache returns an empty cache of grants.
func NewGrantCache(owners Owners) *GrantCache {
	return &GrantCache{owners: owners, cached: map[string]*cachedGrant{}}
}

// Take uses units of an account for a request. Cached units are used first. If they are too few, Take asks the
// account's owner for the missing units, and for some more units in advance. Units granted in advance go into the
// cache. If the owner refuses, the cached units go back into the cache and the request is not within the limit. The same
// holds for units of a part of the request.
func (p *GrantCache) Take(ctx context.Context, account string, units float64) Verdict {
	fromCache, until, ahead := p.takeCached(clock.Now(), account, units)
	if fromCache >= units {
		return Verdict{OK: true, RefundUntil: until}
	}
	a, known := p.owners.Allow(ctx, account, units-fromCache, ahead)
	if a.Granted >= units-fromCache {
		now := clock.Now()
		p.storeGrant(now, account, a.Granted-(units-fromCache))
		return Verdict{OK: true, LentShare: a.LentShare, Owner: a.Owner, RefundUntil: now.Add(grantTTL)}
	}
	p.Refund(account, fromCache, until)
	p.Refund(account, a.Granted, clock.Now().Add(grantTTL))
	return Verdict{Uncertain: a.Wait >= 0 && (!known || a.LentShare < minLentShare), Wait: a.Wait, LentShare: a.LentShare, Owner: a.Owner}
}

// takeCached removes up to the given units from the cache and counts the request in the averages of the usage. Until is
// when the cached units expire. Ahead is how many units to request in advance if the owner must be asked: the expected
// usage within grantTTL. It is 0 if fewer than minPrefetchRequests requests are expected in that time.
func (p *GrantCache) takeCached(now time.Time, account string, units float64) (fromCache float64, until time.Time, ahead float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant := p.cached[account]
	if grant == nil {
		if len(p.cached) >= maxCachedAccounts {
			clear(p.cached) // The cached units of all accounts are lost. New units will be requested.
		}
		grant = &cachedGrant{updatedAt: now}
		p.cached[account] = grant
	}
	decay := math.Exp2(-now.Sub(grant.updatedAt).Seconds() / usageHalfLife.Seconds())
	weight := math.Ln2 / usageHalfLife.Seconds()
	grant.unitsPerSecond = grant.unitsPerSecond*decay + units*weight
	grant.requestsPerSecond = grant.requestsPerSecond*decay + weight
	grant.updatedAt = now
	if now.Before(grant.expires) {
		fromCache = min(units, grant.units)
		grant.units -= fromCache
	}
	if grant.requestsPerSecond*grantTTL.Seconds() < minPrefetchRequests {
		return fromCache, grant.expires, 0
	}
	return fromCache, grant.expires, grant.unitsPerSecond * grantTTL.Seconds()
}

// storeGrant replaces the cached units of an account by units that were just granted in advance. It does nothing if
// there are no such units.
func (p *GrantCache) storeGrant(now time.Time, account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if grant := p.cached[account]; grant != nil && units > 0 {
		grant.units, grant.expires = units, now.Add(grantTTL)
	}
}

// Refund puts the units of a request that was not run back into the cache, until the given time; see
// Verdict.RefundUntil. It drops units whose time is over. Their time is not extended: the owner counts the cached units
// of a box for no longer, and refills its bucket then.
func (p *GrantCache) Refund(account string, units float64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant, now := p.cached[account], clock.Now()
	if grant == nil || units <= 0 || !now.Before(until) {
		return
	}
	if !now.Before(grant.expires) {
		grant.units, grant.expires = 0, until
	}
	grant.units += units
}
