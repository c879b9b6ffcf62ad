package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Pool grants units of accounts. It grants them from the shares of the limits that boxes have lent to this box. It is
// safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	bounds   Bounds
	overage  overageParts
	groups   [Groups]group
	accounts map[string]*bucket
	// unlimited has the accounts whose limit has a rate of 0. They have no bucket.
	unlimited map[string]bool
	// configured means that limits were set since the start.
	configured bool
}

// group is this box's state of one group of accounts.
type group struct {
	place Place
	// loanExpiry names the boxes that have lent their shares to this box, with the time at which each loan expires.
	loanExpiry map[string]time.Time
	members    []*bucket
	// ownOverage means that the buckets have this box's fixed part of the overage, which accrued while no box had lent
	// its share, and that no units of another owner were added to it since.
	ownOverage bool
}

// bucket is the token bucket of an account. Granted units are subtracted from level, and level is refilled over time.
// The level never exceeds the bucket's capacity.
type bucket struct {
	account    string
	limit      Limit
	groupIndex int
	level      float64
	updatedAt  time.Time
	// promised is the units of refused requests whose callers were told when to retry, as of promisedAt. It falls at the
	// account's rate.
	promised   float64
	promisedAt time.Time
	ahead      aheadGrants
}

// maxPromised bounds the time for which the rate of an account is promised to callers that were told to retry.
const maxPromised = 8 * time.Second

// NewPool returns a pool to which no box has lent its shares yet.
func NewPool() *Pool {
	p := &Pool{accounts: map[string]*bucket{}, overage: presentParts}
	for i := range p.groups {
		p.groups[i].loanExpiry, p.groups[i].ownOverage = map[string]time.Time{}, true
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
// of it yet. With the first configuration after a start all buckets are empty instead. This box possibly granted any
// number of units before it restarted. A configuration without limits counts as the first one too.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refillAll(now)
	first := !p.configured
	p.configured = true
	p.unlimited = map[string]bool{}
	next := make(map[string]*bucket, len(limits))
	for i := range p.groups {
		p.groups[i].members = nil
	}
	for name, l := range limits {
		if l.Rate <= 0 {
			p.unlimited[name] = true
			continue
		}
		b := p.accounts[name]
		if b == nil {
			b = &bucket{account: name, limit: l, groupIndex: GroupOf(name), updatedAt: now}
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

// HasLimits reports whether any account has a limit with a rate above 0.
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

// BeginStop records that this box has begun a planned stop; see Place.Stopping. Its place does not change any more.
func (p *Pool) BeginStop(now time.Time) {
	for i := range p.groups {
		p.mu.Lock()
		place := p.groups[i].place
		p.mu.Unlock()
		place.Stopping = true
		p.SetPlace(now, i, place)
	}
}

// Lend records that a box has lent its shares of groups to this box for a time, at most MaxLoan. If back is set, Lend
// ends the loans of these shares instead, so that the box has them back. It then returns the units that belong to the
// shares and subtracts them from the buckets. Nothing belongs to a share that was not lent to this box.
func (p *Pool) Lend(now time.Time, box string, groups []int, back bool, lentFor time.Duration) (returned Units) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended, othersFull := 0, true
	for _, i := range groups {
		if i < 0 || i >= Groups {
			othersFull = false
			continue
		}
		p.expire(now, i)
		g := &p.groups[i]
		_, existed := g.loanExpiry[box]
		if existed == back {
			p.refillGroup(now, i)
		}
		if back {
			if existed {
				u := p.takeUnits(i, MaxLevels-len(returned.Levels))
				returned.Levels = append(returned.Levels, u.Levels...)
				othersFull = othersFull && u.OthersFull
				ended++
			}
			g.endLoan(box)
		} else {
			g.loanExpiry[box] = now.Add(min(lentFor, MaxLoan))
		}
		p.clampGroup(i)
	}
	// OthersFull holds for all groups of the call, so each of them must have had the share.
	returned.OthersFull = othersFull && ended > 0 && ended == len(groups)
	return returned
}

// Grant grants units of an account to a box, or none if the bucket has fewer. If it grants them, it also grants up to
// ahead units in advance. Units in advance come only from the part of the bucket above half of its capacity. Until the
// box asks again, or they have expired, the bucket is not refilled in their place; if box is empty, it is. An account
// whose limit has a rate of 0 gets all units. Known is false if this box knows no limit of the account.
func (p *Pool) Grant(now time.Time, box, account string, units, ahead float64) (a Answer, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unlimited[account] {
		return Answer{Granted: units, LentShare: 1}, true
	}
	b := p.accounts[account]
	if b == nil {
		return Answer{}, false
	}
	p.expire(now, b.groupIndex)
	p.refill(b, now)
	b.ahead.asked(now, box)
	a.LentShare = p.lentShare(b.groupIndex)
	if units > b.level {
		a.Wait = p.waitFor(now, b, units)
		return a, true
	}
	if spare := b.level - units - p.capacity(b)/2; spare > 0 {
		extra := min(spare, max(0, ahead))
		b.ahead.add(now, box, extra)
		units += extra
	}
	b.level -= units
	a.Granted = units
	return a, true
}

// waitFor returns how long it takes until a bucket has enough units; -1 if it never will. Callers that were told to retry
// before go first: without them, callers that are refused together are told the same time, and all but one of them are
// refused again. waitFor assumes that all boxes have lent their shares to this box. If another owner now has some of the
// shares, that owner grants units from them.
func (p *Pool) waitFor(now time.Time, b *bucket, units float64) time.Duration {
	ownerPlace := Place{Boxes: p.groups[b.groupIndex].place.Boxes, Rank: 0}
	burst, rate := p.burstAndRate(b, 1, ownerPlace)
	if units > burst || rate <= 0 {
		return -1
	}
	b.promised = max(0, b.promised-rate*now.Sub(b.promisedAt).Seconds())
	b.promisedAt = now
	wait := (units - b.level + b.promised) / rate
	if p.lentShare(b.groupIndex) >= minLentShare { // Otherwise another owner may be asked for the same request.
		b.promised = min(b.promised+units, rate*maxPromised.Seconds())
	}
	return time.Duration(wait * float64(time.Second))
}

// expire ends the expired loans of a group. It counts each loan up to the time at which the loan expired. p.mu must be
// held.
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
		g.endLoan(e.box)
		p.clampGroup(group)
	}
}

// endLoan removes the loan of a box's share.
func (g *group) endLoan(box string) {
	delete(g.loanExpiry, box)
	g.ownOverage = g.ownOverage || len(g.loanExpiry) == 0
}

// lentShare is the proportion of all boxes that have lent their shares of a group to this box. p.mu must be held.
func (p *Pool) lentShare(group int) float64 {
	g := &p.groups[group]
	if g.place.Boxes <= 0 {
		return 0
	}
	return min(1, float64(len(g.loanExpiry))/float64(g.place.Boxes))
}

// burstAndRate returns the capacity and the refill rate of an account's bucket. Share is the proportion of all boxes
// that have lent to this box. Place is this box's place among the candidates. The overage is how many units an account
// may use beyond its limit in a window. The part that is lent with the shares is added to the capacity only. The fixed
// part of the place is added to the capacity in part, and the rest of it is refilled over a window. So all owners together
// grant at most the limit and the parts of the overage in a window.
func (p *Pool) burstAndRate(b *bucket, share float64, place Place) (burst, rate float64) {
	fixed := p.overage.fixed(place, share > 0) * p.bounds.overage(b.limit)
	burst = share*p.lentBurst(b) + p.overage.atOnce*fixed
	rate = share * b.limit.Rate
	if p.bounds.Window > 0 && !place.Stopping {
		rate += (1 - p.overage.atOnce) * fixed / p.bounds.Window.Seconds()
	}
	return burst, rate
}

// lentBurst is how many units of a bucket's capacity belong to the shares of all boxes.
func (p *Pool) lentBurst(b *bucket) float64 {
	return b.limit.Burst + p.overage.lent*p.bounds.overage(b.limit)
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
	b.ahead.expire(now)
	burst, rate := p.currentBurstAndRate(b)
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 {
		b.level += elapsed * rate
		b.updatedAt = now
	}
	b.level = min(b.level, max(0, burst-b.ahead.sum))
}

// refillGroup refills the buckets of a group. It must be called before the capacity or rate of the buckets changes.
// After the change, clampGroup limits the buckets to their new capacity. p.mu must be held.
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

// LowAccounts returns the accounts whose buckets are nearly empty: filled to less than the fraction below of the
// bucket's capacity. The result has, for each account, the fraction to which its bucket is filled. Groups of accounts
// are left out if no box has lent its shares of the group to this box.
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
