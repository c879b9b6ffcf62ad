package quota

import (
	"cmp"
	"slices"
	"time"
)

// MaxLevels bounds the accounts that are listed with the units of a returned share.
const MaxLevels = 256

// Units are the units of accounts that belong to a share of a group. They travel with the share from one owner to the
// next. An owner that returns a share subtracts them from its buckets, and the next owner adds them to its own. If a
// message is lost, its units are lost. So all owners together never grant more than one owner would have granted.
type Units struct {
	// Levels lists accounts whose buckets were not full, at most MaxLevels.
	Levels []Level
	// OthersFull means that the buckets of all accounts of the group that are not listed were full. If it is not set,
	// no units of these accounts travel.
	OthersFull bool
}

// Level is a number of units of one account.
type Level struct {
	Account string
	Units   float64
}

func (u Units) empty() bool { return len(u.Levels) == 0 && !u.OthersFull }

// ofGroup returns the units of the accounts of one group.
func (u Units) ofGroup(group int) Units {
	out := Units{OthersFull: u.OthersFull}
	for _, l := range u.Levels {
		if GroupOf(l.Account) == group {
			out.Levels = append(out.Levels, l)
		}
	}
	return out
}

// AddUnits adds units that came with the shares of groups to the buckets, up to their capacity. It is called after the
// loan of the shares was recorded, since the loan raises the capacity.
//
// The overage of an account moves from owner to owner too: its unused part is in the units of a share. So with the first
// units of another owner, buckets that weren't full there lose the overage that this box has kept of its own. If it were
// kept, each of several owners that stop one after the other would add to what an account gets in a window.
func (p *Pool) AddUnits(now time.Time, groups []int, u Units) {
	if u.empty() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]float64, len(u.Levels))
	for _, l := range u.Levels {
		listed[l.Account] = max(0, l.Units)
	}
	for _, i := range groups {
		if i < 0 || i >= Groups {
			continue
		}
		p.expire(now, i)
		p.refillGroup(now, i)
		ownOverage := p.groups[i].ownOverage
		p.groups[i].ownOverage = false
		for _, b := range p.groups[i].members {
			units, isListed := listed[b.account]
			if !isListed && u.OthersFull {
				b.level += p.unitsPerShare(b)
				continue
			}
			if ownOverage {
				overage, _ := p.burstAndRate(b, 0, p.groups[i].place)
				b.level = max(0, b.level-overage)
			}
			b.level += units
		}
		p.clampGroup(i)
	}
}

// unitsPerShare is how many units of a full bucket belong to one share: the part of the limit's burst and of the overage
// that is lent with the shares. The fixed part of the overage is left out, since each owner has one of its own.
func (p *Pool) unitsPerShare(b *bucket) float64 {
	if boxes := p.groups[b.groupIndex].place.Boxes; boxes > 0 {
		return p.lentBurst(b) / float64(boxes)
	}
	return 0
}

// takeUnits subtracts the units that belong to one of the shares lent to this box from the buckets of a group, and
// returns them. It is called before the loan ends. It lists at most maxLevels accounts, those with the most units. The
// buckets must have been refilled. p.mu must be held.
func (p *Pool) takeUnits(group, maxLevels int) Units {
	g := &p.groups[group]
	lenders := len(g.loanExpiry)
	if lenders == 0 || g.place.Boxes <= 0 || len(g.members) == 0 {
		return Units{}
	}
	var notFull []*bucket
	for _, b := range g.members {
		if b.level < p.capacity(b) {
			notFull = append(notFull, b)
		}
	}
	// With more lenders than boxes, the end of a loan leaves the capacity as it is. The full buckets would then keep the
	// units that OthersFull promises to the next owner.
	u := Units{OthersFull: len(notFull) <= maxLevels && lenders <= g.place.Boxes}
	if len(notFull) > maxLevels {
		slices.SortFunc(notFull, func(a, b *bucket) int {
			return cmp.Or(cmp.Compare(b.level, a.level), cmp.Compare(a.account, b.account))
		})
		notFull = notFull[:maxLevels]
	}
	for _, b := range notFull {
		part := b.level / float64(lenders)
		b.level -= part
		u.Levels = append(u.Levels, Level{b.account, part})
	}
	return u
}
