package quota

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Homes asks the home of an account for units, or this box itself where no home answers. Known is
// false where neither knows a limit of the account.
type Homes interface {
	Allow(ctx context.Context, account string, units, ahead float64) (a Answer, known bool)
}

// Verdict says whether a request is within its account's limit.
type Verdict struct {
	OK bool
	// Unsure says that a refusal is not the limit's: no home could be asked that most boxes have
	// lent to.
	Unsure bool
	// Wait is when to come back; negative where the request can never be within the limit.
	Wait time.Duration
	// Part is what share of the boxes had lent to the home that was asked, and By that home; empty
	// where the box answered itself or had the units at hand.
	Part float64
	By   string
}

const (
	// surePart is the share of the boxes that must have lent to a home for its refusal to be the
	// limit's.
	surePart = 0.75
	// usageHalf is the time in which what a box counts of an account's use fades by half.
	usageHalf = 4 * time.Second
	// aheadFrom is how many requests of an account must be expected within grantLife for units to be
	// asked for ahead. What is not used is lost: with 80 of 400 boxes each asking ahead for the one
	// stream that it saw, an account at half of its limit was refused 4% (TestWithinTheLimit).
	aheadFrom = 2.0
	// mostKept bounds the accounts that a box keeps units of.
	mostKept = 16384
)

// Purse is what a box was granted and has not used. It is safe for concurrent use.
type Purse struct {
	homes Homes

	mu   sync.Mutex
	kept map[string]*kept
}

type kept struct {
	units float64
	until time.Time
	// use and requests are how many units are used and requests made a second, fading, as of at.
	use, requests float64
	at            time.Time
}

// NewPurse returns an empty purse.
func NewPurse(h Homes) *Purse { return &Purse{homes: h, kept: map[string]*kept{}} }

// Take takes units of an account, of what the box has or else from the account's home.
func (p *Purse) Take(ctx context.Context, account string, units float64) Verdict {
	had, ahead := p.takeKept(clock.Now(), account, units)
	if had >= units {
		return Verdict{OK: true}
	}
	a, known := p.homes.Allow(ctx, account, units-had, ahead)
	if a.Granted >= units-had {
		p.keep(clock.Now(), account, a.Granted-(units-had))
		return Verdict{OK: true, Part: a.Part, By: a.By}
	}
	p.GiveBack(account, had)
	return Verdict{Unsure: a.Wait >= 0 && (!known || a.Part < surePart), Wait: a.Wait, Part: a.Part, By: a.By}
}

// takeKept takes what the box has of so many units, and returns what should be asked for ahead
// where that is not all: as much as is used while it may be kept, where that is several requests.
func (p *Purse) takeKept(now time.Time, account string, units float64) (had, ahead float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kept[account]
	if k == nil {
		if len(p.kept) >= mostKept {
			clear(p.kept) // What was granted is lost, and asked for again.
		}
		k = &kept{at: now}
		p.kept[account] = k
	}
	fade := math.Exp2(-now.Sub(k.at).Seconds() / usageHalf.Seconds())
	weight := math.Ln2 / usageHalf.Seconds()
	k.use = k.use*fade + units*weight
	k.requests = k.requests*fade + weight
	k.at = now
	if now.Before(k.until) {
		had = min(units, k.units)
		k.units -= had
	}
	if k.requests*grantLife.Seconds() < aheadFrom {
		return had, 0
	}
	return had, k.use * grantLife.Seconds()
}

// keep sets what the box has of an account to what it was just granted ahead.
func (p *Purse) keep(now time.Time, account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k := p.kept[account]; k != nil && units > 0 {
		k.units, k.until = units, now.Add(grantLife)
	}
}

// GiveBack takes back units of a request that did not run. What the box has is not kept longer for
// it.
func (p *Purse) GiveBack(account string, units float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.kept[account]
	if k == nil || units <= 0 {
		return
	}
	if now := clock.Now(); !now.Before(k.until) {
		k.units, k.until = 0, now.Add(grantLife)
	}
	k.units += units
}
