// Package quota enforces the limits of client accounts across all boxes together.
//
// Each box has an equal share of each limit. The boxes lend their shares, for a short time, to one box: the owner of
// the account. Any box that received a request asks the owner for units. The owner grants units from the shares that
// were lent to it. A share is lent to one owner at a time. It returns to its box only when the owner has given it back
// or the loan has expired. So the granted units never add up to more than the limit, whatever messages are lost. Two
// boxes that both act as owner grant units from one limit. Package overlay finds the owners and calls them; this
// package decides.
//
// The alternatives were rejected (figures in docs/design/accounts.md). Fixed shares without lending refuse most
// streams, since the callers of an account use few boxes. An owner that holds the whole limit doubles the limit while
// there are two owners. Boxes that only exchange counts of the usage exceed the limit by the usage that is not yet
// counted everywhere.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are what the platform allows accounts beyond their limits, so that boxes need not agree at every moment.
type Bounds struct {
	// Window is the time over which an account's usage is summed.
	Window time.Duration
	// The usage in a window may exceed what the limit gives in that time. It may exceed it by the fraction Overage,
	// and by Slack units in addition.
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
	// Granted is 0 if the request was refused. Otherwise it is the units of the request, plus the units that were
	// granted in advance.
	Granted float64
	// Wait is how long until the account has enough units, if none were granted. It is negative if the account never
	// will have enough.
	Wait time.Duration
	// LentShare is the proportion of all boxes that have lent their shares to the box that answered.
	LentShare float64
	// Owner is the name of the owner that answered. It is empty if the asking box answered from its own pool.
	Owner string
}

// Uncertain reports whether the answer refuses units, but possibly not because of the limit: too few boxes had lent
// their shares to the box that answered; see minLentShare. Another box may then have units.
func (a Answer) Uncertain(units float64) bool {
	return a.Granted < units && a.Wait >= 0 && a.LentShare < minLentShare
}

// AskOwners requests units of an account from candidates for its owner, in turn, until one grants them or refuses them
// because of the limit. Ask calls a candidate; its result is false if the candidate did not answer or knows no limit of
// the account. Known is false if that was so for all candidates. If Granted is above 0 but below units, the request is
// refused, and the granted units can be used by later requests.
//
// While shares move from one owner to another, each of them may have too few units for a request for which they have
// enough together. Units travel in proportion to the shares, so the owners are then asked for parts in this proportion.
func AskOwners(candidates int, units, ahead float64, ask func(i int, units, ahead float64) (Answer, bool)) (a Answer, known bool) {
	type refusal struct {
		candidate int
		share     float64
	}
	var refusals []refusal
	shares := 0.0
	for i := 0; i < candidates && shares < minLentShare; i++ {
		answer, ok := ask(i, units, ahead)
		if !ok {
			continue
		}
		if !answer.Uncertain(units) {
			return answer, true
		}
		if !known || answer.LentShare > a.LentShare {
			a, known = answer, true
		}
		if answer.LentShare > 0 {
			refusals = append(refusals, refusal{i, answer.LentShare})
			shares += answer.LentShare
		}
	}
	if shares < minLentShare {
		return a, known
	}
	a.LentShare = min(1, shares) // If they refuse now, the limit is exceeded.
	for _, r := range refusals {
		part := units * r.share / shares
		answer, ok := ask(r.candidate, part, 0)
		if !ok || answer.Granted < part {
			return a, true
		}
		a.Granted += part
	}
	a.Granted = units // The sum of the parts can differ by a rounding error.
	return a, true
}

// Groups is the number of groups that the accounts are divided into. All accounts of a group have the same owner.
// More groups spread the work over more boxes, but each box makes lend calls to every owner. With four groups and 60
// boxes, each box makes 8 lend calls per second in addition to the calls for requests.
const Groups = 4

// GroupOf returns the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % Groups) }

const (
	// minRenewInterval is how often a box renews its loans to owners in a small fleet. maxLendsPerSecond bounds
	// the lend calls that an owner receives in a larger fleet. Without that bound 300 boxes would make 600 calls
	// per second. At an estimated 0.1 ms each, these would take a third of a box with 0.192 of a core.
	minRenewInterval  = 500 * time.Millisecond
	maxLendsPerSecond = 150
	// renewalsPerLoan is how many renewal intervals a loan lasts, so that two lost renewals do no harm.
	renewalsPerLoan = 3
	// MaxLoan bounds the duration of a loan that an owner accepts.
	MaxLoan = 30 * time.Second
	// grantTTL is how long a box may use units that were granted to it in advance.
	grantTTL = time.Second
)

// RenewalInterval returns how often each box of a fleet renews its loans, and how long a loan lasts. While an owner is
// frozen or cut off, no box can use the shares that are lent to that owner. This lasts as long as the loans last.
//
// Example: each of 60 boxes lends every 0.5 s for 1.5 s, each of 300 boxes every 2 s for 6 s.
func RenewalInterval(boxes int) (renew, lentFor time.Duration) {
	renew = max(minRenewInterval, time.Duration(boxes)*time.Second/maxLendsPerSecond)
	return renew, renewalsPerLoan * renew
}

// These constants divide the overage: the units that an account may use in a window beyond its limit. lentOverageShare is
// lent with the shares, and only makes buckets larger. An owner that has all shares grants it to an account that used less
// than its limit before. The other parts are fixed: each belongs to boxes, whatever was lent to these. A tenth is left for
// units that are granted in advance but used in a later window, and for requests that arrive closer together than the
// owner granted them.
//
// If the owner does not answer, boxes ask the second and then the third candidate. These two candidates get
// secondOverageShare and thirdOverageShare until shares are lent to them too. All boxes together get
// isolatedOverageShare in equal parts, for boxes that reach no other box.
const (
	lentOverageShare     = 0.55
	ownerOverageShare    = 0.05
	secondOverageShare   = 0.15
	thirdOverageShare    = 0.08
	isolatedOverageShare = 0.07
	// fixedAtOnce of a fixed part is in the bucket, and the rest is refilled over a window. At a half, a second candidate
	// had too little for one stream, and 400 boxes that restart in turn refused 3.7% instead of 0.0% (TestWays).
	fixedAtOnce = 2.0 / 3
)

// overageParts divides the overage among boxes. It has the constants above, except on boxes of another release.
type overageParts struct {
	lent, isolated float64
	byRank         [3]float64
	atOnce         float64
}

var presentParts = overageParts{
	lent: lentOverageShare, isolated: isolatedOverageShare,
	byRank: [...]float64{ownerOverageShare, secondOverageShare, thirdOverageShare}, atOnce: fixedAtOnce,
}

// Place is the position of a box among the candidates for the owner of a group of accounts.
type Place struct {
	// Boxes is the number of boxes. It is 0 if the number is not known.
	Boxes int
	// Rank is 0 for the candidate that all boxes ask first. Ranks beyond the third make no difference.
	Rank int
	// Stopping means that the box has begun a planned stop. Its buckets keep the overage that they have until it travels
	// with the shares, but get no more of it: the next owner gets the whole overage from now on.
	Stopping bool
}

// fixed is the share of an account's overage that the box at a place may grant in addition to what was lent to it. The
// reserve of the second and third candidate ends once a share is lent to them: while an owner stops as planned, an account
// would otherwise get more than without the stop.
func (o *overageParts) fixed(p Place, hasShares bool) float64 {
	if p.Boxes <= 0 {
		return 0
	}
	share := o.isolated / float64(p.Boxes)
	if p.Rank >= len(o.byRank) {
		return share
	}
	if hasShares {
		return share + min(o.byRank[0], o.byRank[p.Rank])
	}
	return share + o.byRank[p.Rank]
}
