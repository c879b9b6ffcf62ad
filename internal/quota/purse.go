package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Owners asks the owner of an account for units, or this box itself where no owner answers. Known is
// false where neither knows a limit of the account.
type Owners interface {
	Allow(ctx context.Context, account string, units, ahead float64) (a Answer, known bool)
}

// Verdict reports whether a request is within its account's limit.
type Verdict struct {
	OK bool
	// Uncertain says that a refusal may not be due to the limit: no owner could be asked to which most boxes
	// have lent.
	Uncertain bool
	// Wait is when to retry; negative if the request can never be within the limit.
	Wait time.Duration
	// LentShare is the share of all boxes that had lent to the owner that was asked, and Owner that owner; empty
	// where the box answered itself or had enough cached units.
	LentShare float64
	Owner     string
}

const (
	// minLentShare is the share of all boxes that must have lent to an owner for its refusal to be
	// attributed to the limit.
	minLentShare = 0.75
	// usageHalfLife is the half-life of the moving averages of an account's usage.
	usageHalfLife = 4 * time.Second
	// minPrefetchRequests is how many requests of an account must be expected within grantTTL for units
	// to be requested ahead. Unused units are lost: when 80 of 400 boxes each prefetched for the one
	// stream that they had seen, an account at half of its limit had 4% refused (TestWithinTheLimit).
	minPrefetchRequests = 2.0
	// maxCachedAccounts bounds the accounts whose grants are cached.
	maxCachedAccounts = 16384
)

// GrantCache caches the units that were granted to a box and not used yet. It is safe for concurrent use.
type GrantCache struct {
	owners Owners

	mu     sync.Mutex
	cached map[string]*cachedGrant
}

type cachedGrant struct {
	units   float64
	expires time.Time
	// unitsPerSecond and requestsPerSecond are moving averages of the account's usage, as of updatedAt.
	unitsPerSecond, requestsPerSecond float64
	updatedAt                         time.Time
}

// NewGrantCache returns an empty cache of grants.
func NewGrantCache(h Owners) *GrantCache {
	return &GrantCache{owners: h, cached: map[string]*cachedGrant{}}
}

// Take takes units of an account, from the cache or else from the account's owner.
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

// takeCached takes up to so many units from the cache. If these are not enough, ahead is how many units to
// request in advance: the expected usage within grantTTL, if that is several requests.
func (p *GrantCache) takeCached(now time.Time, account string, units float64) (fromCache, ahead float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.cached[account]
	if k == nil {
		if len(p.cached) >= maxCachedAccounts {
			clear(p.cached) // The granted units are lost and requested again.
		}
		k = &cachedGrant{updatedAt: now}
		p.cached[account] = k
	}
	decay := math.Exp2(-now.Sub(k.updatedAt).Seconds() / usageHalfLife.Seconds())
	weight := math.Ln2 / usageHalfLife.Seconds()
	k.unitsPerSecond = k.unitsPerSecond*decay + units*weight
	k.requestsPerSecond = k.requestsPerSecond*decay + weight
	k.updatedAt = now
	if now.Before(k.expires) {
		fromCache = min(units, k.units)
		k.units -= fromCache
	}
	if k.requestsPerSecond*grantTTL.Seconds() < minPrefetchRequests {
		return fromCache, 0
	}
	return fromCache, k.unitsPerSecond * grantTTL.Seconds()
}

// storeGrant replaces the cached units of an account by those just granted ahead.
func (p *GrantCache) storeGrant(now time.Time, account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.cached[account]; k != nil && units > 0 {
		k.units, k.expires = units, now.Add(grantTTL)
	}
}

// Refund returns the units of a request that did not run to the cache. It does not extend the time for
// which the cached units are valid.
func (p *GrantCache) Refund(account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.cached[account]
	if k == nil || units <= 0 {
		return
	}
	if now := clock.Now(); !now.Before(k.expires) {
		k.units, k.expires = 0, now.Add(grantTTL)
	}
	k.units += units
}
