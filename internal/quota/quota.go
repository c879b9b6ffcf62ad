// Package quota enforces the limits of client accounts across all boxes together.
//
// Each box has an equal share of each limit, which it lends for a short time to the owner of the account.
// The owner grants units from the shares that were lent to it, to whichever box received a request. A
// share is lent to one owner at a time, and returns to its box only once the owner has given it back or
// the loan has expired. So the granted units never add up to more than the limit, whatever messages are
// lost, and two boxes that both act as owner share one limit. Package overlay finds the owners and
// calls them; this package decides.
//
// Alternatives (figures in docs/design/accounts.md): fixed shares without lending refuse most streams,
// since the callers of an account use few boxes; an owner that holds the whole limit doubles it while
// there are two owners; usage counts that boxes exchange exceed the limit by what is used before they
// arrive.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are what the platform allows beyond the limits, so that boxes need not agree at every moment.
type Bounds struct {
	// Window is the time over which an account's usage is summed.
	Window time.Duration
	// The sum may exceed what the limit gives in a window by the share Overage of that, plus Slack units.
	Overage float64
	Slack   float64
}

// overage is how many units an account may use beyond its limit in a window.
func (b Bounds) overage(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// Limit is the limit of one account: Rate units per second, with bursts of Burst units. A rate of 0 means
// no limit.
type Limit struct {
	Rate  float64
	Burst float64
}

// Answer is an owner's response to a request for units.
type Answer struct {
	// Granted is 0, or the units asked for and some of those wanted ahead.
	Granted float64
	// Wait is when the account will have enough units, if nothing was granted; negative if never.
	Wait time.Duration
	// LentShare is the share of all boxes that have lent to the owner, and Owner the owner's name; empty where
	// the asking box answered itself.
	LentShare float64
	Owner     string
}

// Groups is the number of groups that the accounts are divided into; each group has one owner. More
// groups spread the work over more boxes, but each box lends to every owner: with four groups at 60 boxes,
// each box makes 8 lend calls per second on top of the calls for requests.
const Groups = 4

// GroupOf returns the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % Groups) }

const (
	// minRenewInterval is how often a box renews its loans in a small fleet, and maxLendsPerSecond bounds
	// the lend calls that an owner receives: 600 per second, at 300 boxes, would take a third of a box with
	// 0.192 of a core at an estimated 0.1 ms each.
	minRenewInterval  = 500 * time.Millisecond
	maxLendsPerSecond = 150
	// renewalsPerLoan is how many renewal intervals a loan lasts, so that two lost renewals do no harm.
	renewalsPerLoan = 3
	// MaxLoan bounds the duration of a loan that an owner accepts.
	MaxLoan = 30 * time.Second
	// grantTTL is how long a box may use units that were granted ahead.
	grantTTL = time.Second
)

// RenewalInterval returns how often each of so many boxes renews its loans, and how long a loan lasts. An owner
// that is frozen or cut off keeps the shares of its boxes for that long.
//
// Example: each of 60 boxes lends every 0.5 s for 1.5 s, each of 300 boxes every 2 s for 6 s.
func RenewalInterval(boxes int) (renew, lentFor time.Duration) {
	renew = max(minRenewInterval, time.Duration(boxes)*time.Second/maxLendsPerSecond)
	return renew, renewalsPerLoan * renew
}

// How the overage of an account in a window is divided. The owner gets only ownerOverageShare, which leaves
// room for units that are granted ahead but used in a later window, and for requests that arrive closer
// together than they were granted. The second and third candidates, which boxes ask when the owner does not
// answer, get secondOverageShare and thirdOverageShare on top of the shares lent to them, until the shares
// of other boxes are lent to them too. All boxes together get isolatedOverageShare, for those that reach no
// other box.
const (
	ownerOverageShare    = 0.30
	secondOverageShare   = 0.30
	thirdOverageShare    = 0.15
	isolatedOverageShare = 0.15
)

var overageShareByRank = [...]float64{ownerOverageShare, secondOverageShare, thirdOverageShare}

// Place is the position of a box among those that may own a group.
type Place struct {
	// Boxes is the number of boxes; 0 if it is not known.
	Boxes int
	// Rank is 0 for the box that all ask first. Ranks beyond the third make no difference.
	Rank int
}

// overageShare is the share of an account's overage that the box at this place may grant.
func (p Place) overageShare() float64 {
	if p.Boxes <= 0 {
		return 0
	}
	share := isolatedOverageShare / float64(p.Boxes)
	if p.Rank < len(overageShareByRank) {
		share += overageShareByRank[p.Rank]
	}
	return share
}
