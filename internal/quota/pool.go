package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Pool is what a box gives out as the home of accounts. It is safe for concurrent use.
type Pool struct {
	mu       sync.Mutex
	bounds   Bounds
	groups   [Groups]group
	accounts map[string]*bucket
}

// group is one group of accounts on this box.
type group struct {
	place Place
	// lenders are the boxes that have lent their parts, by when these end.
	lenders map[string]time.Time
	members []*bucket
}

// bucket holds what an account may still be given. At each moment it is at most its capacity.
type bucket struct {
	limit Limit
	group int
	level float64
	at    time.Time
}

// NewPool returns a pool that nobody has lent to.
func NewPool() *Pool {
	p := &Pool{accounts: map[string]*bucket{}}
	for i := range p.groups {
		p.groups[i].lenders = map[string]time.Time{}
	}
	return p
}

// SetBounds says what the platform allows beyond the limits.
func (p *Pool) SetBounds(now time.Time, b Bounds) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleAll(now)
	p.bounds = b
}

// SetLimits puts the limits of a configuration in force. An account that is new begins with what
// it may have at once, since nobody has served it, unless these are the first limits that the box
// knows: an earlier life of it may have given out anything.
func (p *Pool) SetLimits(now time.Time, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settleAll(now)
	first := len(p.accounts) == 0
	next := make(map[string]*bucket, len(limits))
	for i := range p.groups {
		p.groups[i].members = nil
	}
	for name, l := range limits {
		b := p.accounts[name]
		if b == nil {
			b = &bucket{limit: l, group: GroupOf(name), at: now}
			if !first {
				b.level = p.capacity(b)
			}
		}
		b.limit = l
		b.level = min(b.level, p.capacity(b))
		next[name] = b
		g := &p.groups[b.group]
		g.members = append(g.members, b)
	}
	p.accounts = next
}

// Limited says whether any account has a limit.
func (p *Pool) Limited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.accounts) > 0
}

// SetPlace says where this box stands for a group.
func (p *Pool) SetPlace(now time.Time, group int, at Place) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups[group].place == at {
		return
	}
	p.settle(now, group)
	p.groups[group].place = at
	p.trim(group)
}

// Lend takes the parts of a box in groups for a time, or gives them back.
func (p *Pool) Lend(now time.Time, box string, groups []int, back bool, lent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range groups {
		if i < 0 || i >= Groups {
			continue
		}
		p.expire(now, i)
		g := &p.groups[i]
		_, had := g.lenders[box]
		if had == back {
			p.settle(now, i)
		}
		if back {
			delete(g.lenders, box)
		} else {
			g.lenders[box] = now.Add(min(lent, LongestLent))
		}
		p.trim(i)
	}
}

// Ask gives out units of an account, and some that are wanted ahead while more than half of what
// the account may have at once is left. Known is false for an account without a limit here.
func (p *Pool) Ask(now time.Time, account string, units, ahead float64) (a Answer, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.accounts[account]
	if b == nil {
		return Answer{}, false
	}
	p.expire(now, b.group)
	p.fill(b, now)
	a.Part = p.part(b.group)
	if units > b.level {
		a.Wait = p.wait(b, units)
		return a, true
	}
	if spare := b.level - units - p.capacity(b)/2; spare > 0 {
		units += min(spare, max(0, ahead))
	}
	b.level -= units
	a.Granted = units
	return a, true
}

// wait is when a bucket will have so many units. It counts on the parts of all boxes: those that
// are lent elsewhere now serve the account there.
func (p *Pool) wait(b *bucket, units float64) time.Duration {
	whole := Place{Boxes: p.groups[b.group].place.Boxes, Rank: 0}
	most, rate := p.flow(b, 1, whole)
	if units > most || rate <= 0 {
		return -1
	}
	return time.Duration((units - b.level) / rate * float64(time.Second))
}

// expire ends the parts whose time is over, each at its time. The lock is held.
func (p *Pool) expire(now time.Time, i int) {
	g := &p.groups[i]
	type end struct {
		box string
		at  time.Time
	}
	var ended []end
	for box, until := range g.lenders {
		if !now.Before(until) {
			ended = append(ended, end{box, until})
		}
	}
	slices.SortFunc(ended, func(a, b end) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.box, b.box)) })
	for _, e := range ended {
		p.settle(e.at, i)
		delete(g.lenders, e.box)
		p.trim(i)
	}
}

// part is the share of all boxes that has lent to this one. The lock is held.
func (p *Pool) part(i int) float64 {
	g := &p.groups[i]
	if g.place.Boxes <= 0 {
		return 0
	}
	return min(1, float64(len(g.lenders))/float64(g.place.Boxes))
}

// flow is what an account may have at once and how fast that comes back, with a share of the
// boxes' parts at a place. Half of what is allowed beyond the limit in a window is there at once
// and half comes back in a window: together they are never more than all of it.
func (p *Pool) flow(b *bucket, part float64, at Place) (most, rate float64) {
	over := at.extra() * p.bounds.over(b.limit)
	most = part*b.limit.Burst + over/2
	rate = part * b.limit.Rate
	if p.bounds.Window > 0 {
		rate += over / 2 / p.bounds.Window.Seconds()
	}
	return most, rate
}

func (p *Pool) here(b *bucket) (most, rate float64) {
	return p.flow(b, p.part(b.group), p.groups[b.group].place)
}

func (p *Pool) capacity(b *bucket) float64 {
	most, _ := p.here(b)
	return most
}

// fill brings a bucket up to a time. The lock is held.
func (p *Pool) fill(b *bucket, now time.Time) {
	most, rate := p.here(b)
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level += d * rate
		b.at = now
	}
	b.level = min(b.level, most)
}

// settle brings the buckets of a group up to a time, before what fills them changes, and trim keeps
// them within their capacities after it. The lock is held.
func (p *Pool) settle(now time.Time, i int) {
	for _, b := range p.groups[i].members {
		p.fill(b, now)
	}
}

func (p *Pool) trim(i int) {
	for _, b := range p.groups[i].members {
		b.level = min(b.level, p.capacity(b))
	}
}

func (p *Pool) settleAll(now time.Time) {
	for i := range p.groups {
		p.expire(now, i)
		p.settle(now, i)
	}
}

// Levels returns the accounts that have less than a part of what they may have at once left, with
// that share, among those whose home this box is.
func (p *Pool) Levels(now time.Time, below float64) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]float64{}
	for name, b := range p.accounts {
		p.expire(now, b.group)
		if len(p.groups[b.group].lenders) == 0 {
			continue
		}
		p.fill(b, now)
		if left := b.level / max(1, p.capacity(b)); left < below {
			out[name] = left
		}
	}
	return out
}
