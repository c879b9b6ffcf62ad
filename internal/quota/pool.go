package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Pool grants units of accounts, from the shares of their limits that boxes have lent to this one. It is safe for
// concurrent use.
type Pool struct {
	mu       sync.Mutex
	bounds   Bounds
	groups   [Groups]group
	accounts map[string]*bucket
}

// group is this box's state of one group of accounts.
type group struct {
	place Place
	// loanExpiry names the boxes that have lent their shares to this one, and when each loan expires.
	loanExpiry map[string]time.Time
	members    []*bucket
}

// bucket is the token bucket of an account: units are taken from level, which is refilled over time. The level never
// exceeds the bucket's capacity.
type bucket struct {
	limit      Limit
	groupIndex int
	level      float64
	updatedAt  time.Time
}

// NewPool returns a pool to which no box has lent its shares yet.
func NewPool() *Pool {
	p := &Pool{accounts: map[string]*bucket{}}
	for i := range p.groups {
		p.groups[i].loanExpiry = map[string]time.Time{}
	}
	return p
}

// SetBounds sets what the platform allows accounts beyond their limits.
func (p *Pool) SetBounds(now time.Time, b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillAll(now)
	p.bounds = b
}

// SetLimits applies the limits of a configuration. The bucket of a new account is full, since no box has granted units
// of it yet. With the first configuration after a start all buckets are empty instead: this box may have granted any
// number of units before it restarted.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillAll(now)
	first := len(p.accounts) == 0
	next := make(map[string]*bucket, len(limits))
	for i := range p.groups {
		p.groups[i].members = nil
	}
	for name, l := range limits {
		b := p.accounts[name]
		if b == nil {
			b = &bucket{limit: l, groupIndex: GroupOf(name), updatedAt: now}
			if !first {
				b.level = p.capacity(b)
			}
		}
		b.limit = l
		b.level = min(b.level, p.capacity(b))
		next[name] = b
		g := &p.groups[b.groupIndex]
		g.members = append(g.members, b)
	}
	p.accounts = next
}

// HasLimits reports whether any account has a limit.
func (p *Pool) HasLimits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts) > 0
}

// SetPlace sets the place of this box among the candidates for the owner of a group.
func (p *Pool) SetPlace(now time.Time, group int, place Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups[group].place == place {
		return
	}
	p.refillGroup(now, group)
	p.groups[group].place = place
	p.clampGroup(group)
}

// Lend records that a box has lent its shares of groups to this one for a time. If back is set, it returns the shares
// to that box instead.
func (p *Pool) Lend(now time.Time, box string, groups []int, back bool, lentFor time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range groups {
		if i < 0 || i >= Groups {
			continue
		}
		p.expire(now, i)
		g := &p.groups[i]
		_, existed := g.loanExpiry[box]
		if existed == back {
			p.refillGroup(now, i)
		}
		if back {
			delete(g.loanExpiry, box)
		} else {
			g.loanExpiry[box] = now.Add(min(lentFor, MaxLoan))
		}
		p.clampGroup(i)
	}
}

// Grant grants units of an account, or none if the bucket has fewer. It grants up to ahead units more, in advance,
// from the part of the bucket above half of its capacity. Known is false if this box knows no limit of the account.
func (p *Pool) Grant(now time.Time, account string, units, ahead float64) (a Answer, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.accounts[account]
	if b == nil {
		return Answer{}, false
	}
	p.expire(now, b.groupIndex)
	p.refill(b, now)
	a.LentShare = p.lentShare(b.groupIndex)
	if units > b.level {
		a.Wait = p.waitFor(b, units)
		return a, true
	}
	if spare := b.level - units - p.capacity(b)/2; spare > 0 {
		units += min(spare, max(0, ahead))
	}
	b.level -= units
	a.Granted = units
	return a, true
}

// waitFor returns how long it takes until a bucket has enough units; -1 if it never will. It assumes that the shares of
// all boxes are lent to this one. Shares that are now lent to another owner serve the account there.
func (p *Pool) waitFor(b *bucket, units float64) time.Duration {
	ownerPlace := Place{Boxes: p.groups[b.groupIndex].place.Boxes, Rank: 0}
	burst, rate := p.burstAndRate(b, 1, ownerPlace)
	if units > burst || rate <= 0 {
		return -1
	}
	return time.Duration((units - b.level) / rate * float64(time.Second))
}

// expire ends the expired loans of a group. Each ends at the time of its own expiry. p.mu must be held.
func (p *Pool) expire(now time.Time, group int) {
	g := &p.groups[group]
	type expiry struct {
		box string
		at  time.Time
	}
	var expired []expiry
	for box, until := range g.loanExpiry {
		if !now.Before(until) {
			expired = append(expired, expiry{box, until})
		}
	}
	slices.SortFunc(expired, func(a, b expiry) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.box, b.box)) })
	for _, e := range expired {
		p.refillGroup(e.at, group)
		delete(g.loanExpiry, e.box)
		p.clampGroup(group)
	}
}

// lentShare is the share of all boxes that have lent their shares of a group to this box. p.mu must be held.
func (p *Pool) lentShare(group int) float64 {
	g := &p.groups[group]
	if g.place.Boxes <= 0 {
		return 0
	}
	return min(1, float64(len(g.loanExpiry))/float64(g.place.Boxes))
}

// burstAndRate returns the capacity and the refill rate of an account's bucket. They depend on the share of all boxes
// that have lent to this one, and on this box's place among the candidates. Half of the overage, the units allowed
// beyond the limit, is added to the capacity, and the other half is refilled over a window. So the account never gets
// more than the whole overage in a window.
func (p *Pool) burstAndRate(b *bucket, share float64, place Place) (burst, rate float64) {
	overage := place.overageShare() * p.bounds.overage(b.limit)
	burst = share*b.limit.Burst + overage/2
	rate = share * b.limit.Rate
	if p.bounds.Window > 0 {
		rate += overage / 2 / p.bounds.Window.Seconds()
	}
	return burst, rate
}

func (p *Pool) currentBurstAndRate(b *bucket) (burst, rate float64) {
	return p.burstAndRate(b, p.lentShare(b.groupIndex), p.groups[b.groupIndex].place)
}

func (p *Pool) capacity(b *bucket) float64 {
	burst, _ := p.currentBurstAndRate(b)
	return burst
}

// refill adds the units to a bucket that have accrued since its last refill. p.mu must be held.
func (p *Pool) refill(b *bucket, now time.Time) {
	burst, rate := p.currentBurstAndRate(b)
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.updatedAt = now
	}
	b.level = min(b.level, burst)
}

// refillGroup refills the buckets of a group before their capacity or rate changes. clampGroup limits them to their
// capacity after the change. p.mu must be held.
func (p *Pool) refillGroup(now time.Time, group int) {
	for _, b := range p.groups[group].members {
		p.refill(b, now)
	}
}

func (p *Pool) clampGroup(group int) {
	for _, b := range p.groups[group].members {
		b.level = min(b.level, p.capacity(b))
	}
}

func (p *Pool) refillAll(now time.Time) {
	for i := range p.groups {
		p.expire(now, i)
		p.refillGroup(now, i)
	}
}

// LowAccounts returns the accounts whose bucket is filled to less than a share, below, of its capacity, with the share
// to which it is filled. It leaves out groups of accounts for which no box has lent to this one.
func (p *Pool) LowAccounts(now time.Time, below float64) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]float64{}
	for name, b := range p.accounts {
		p.expire(now, b.groupIndex)
		if len(p.groups[b.groupIndex].loanExpiry) == 0 {
			continue
		}
		p.refill(b, now)
		if share := b.level / max(1, p.capacity(b)); share < below {
			out[name] = share
		}
	}
	return out
}
