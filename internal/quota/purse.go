package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Owners requests units of an account from the account's owner, the box that grants them for all boxes. If no owner
// answers, this box grants from its own pool. Known is false if neither knows a limit of the account.
type Owners interface {
	Allow(ctx context.Context, account string, units, ahead float64) (a Answer, known bool)
}

// Verdict reports whether a request is within its account's limit.
type Verdict struct {
	OK bool
	// Uncertain means that a refusal may not be due to the limit: the box that refused had been lent the shares of
	// fewer boxes than minLentShare, or did not know the limit.
	Uncertain bool
	// Wait is how long to wait before a retry; negative if the request can never be within the limit.
	Wait time.Duration
	// Each box has an equal share of an account's limit and lends that share to the account's owner. LentShare is
	// the share of all boxes that had lent to the box that decided; 0 if this box had enough cached units.
	LentShare float64
	// Owner is the owner that decided; empty if this box decided itself or had enough cached units.
	Owner string
}

const (
	// minLentShare is the share of all boxes that must have lent their shares of the limit to an owner. With a
	// smaller share a refusal is not attributed to the limit, since the owner grants only what was lent to it.
	minLentShare = 0.75
	// usageHalfLife is the half-life of the moving averages of an account's usage.
	usageHalfLife = 4 * time.Second
	// minPrefetchRequests is how many requests of an account must be expected within grantTTL. If fewer are
	// expected, no units are requested in advance, since units that are not used are lost. When 80 of 400 boxes each
	// requested units in advance after a single stream, an account at half of its limit had 4% of its units
	// refused (TestWithinTheLimit).
	minPrefetchRequests = 2.0
	// maxCachedAccounts bounds the number of accounts with cached units.
	maxCachedAccounts = 16384
)

// GrantCache caches the units of accounts that owners granted to this box and that are not used yet. It is safe for
// concurrent use.
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

// Take takes units for a request of an account. It uses cached units first, and requests those that are missing from
// the account's owner.
func (p *GrantCache) Take(ctx context.Context, account string, units float64) Verdict {
	fromCache, ahead := p.takeCached(clock.Now(), account, units)
	if fromCache >= units {
		return Verdict{OK: true}
	}
	a, known := p.owners.Allow(ctx, account, units-fromCache, ahead)
	if a.Granted >= units-fromCache {
		p.storeGrant(clock.Now(), account, a.Granted-(units-fromCache))
		return Verdict{OK: true, LentShare: a.LentShare, Owner: a.Owner}
	}
	p.Refund(account, fromCache)
	return Verdict{Uncertain: a.Wait >= 0 && (!known || a.LentShare < minLentShare), Wait: a.Wait, LentShare: a.LentShare, Owner: a.Owner}
}

// takeCached takes up to units from the cache. If these are not enough, ahead is how many units to request in advance
// from the owner: the expected usage within grantTTL, if that is minPrefetchRequests requests or more, and otherwise 0.
func (p *GrantCache) takeCached(now time.Time, account string, units float64) (fromCache, ahead float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant := p.cached[account]
	if grant == nil {
		if len(p.cached) >= maxCachedAccounts {
			clear(p.cached) // The cached units of all accounts are lost, and new ones will be requested.
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
		return fromCache, 0
	}
	return fromCache, grant.unitsPerSecond * grantTTL.Seconds()
}

// storeGrant replaces the cached units of an account by units that were just granted in advance.
func (p *GrantCache) storeGrant(now time.Time, account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if grant := p.cached[account]; grant != nil && units > 0 {
		grant.units, grant.expires = units, now.Add(grantTTL)
	}
}

// Refund returns the units of a request that was not run to the cache. It does not extend the time for which units that
// are still cached are valid.
func (p *GrantCache) Refund(account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	grant := p.cached[account]
	if grant == nil || units <= 0 {
		return
	}
	if now := clock.Now(); !now.Before(grant.expires) {
		grant.units, grant.expires = 0, now.Add(grantTTL)
	}
	grant.units += units
}
