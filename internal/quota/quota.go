// Package quota keeps client accounts to limits that hold for all boxes together.
//
// Each box has a part of each limit, one of as many as there are boxes, which it lends for a short
// time to the home of the account. The home gives out what was lent to it, to whichever box a caller
// came to. A part is lent to one home at a time, and is the box's own again only once the home has
// given it back or its time is over; so what is given out never adds up to more than the limit,
// whatever boxes hear of each other, and two homes at once share one limit. Package overlay finds
// the homes and speaks to them; this package decides.
//
// Ways weighed (docs/design/accounts.md has the figures): parts alone refuse most streams, since
// callers come to few boxes; a home with the whole limit doubles it while there are two; counts
// passed between boxes go over the limit by what is spent before they are heard.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are what a platform allows beyond the limits, so that no box need know all others' latest
// word.
type Bounds struct {
	// Window is the time in which what an account uses is summed.
	Window time.Duration
	// Overage is a share of what the limit gives in a window, and Slack units beside it, by which
	// the sum may be over that.
	Overage float64
	Slack   float64
}

// over is how many units an account may use beyond its limit in a window.
func (b Bounds) over(l Limit) float64 {
	return b.Overage*(l.Rate*b.Window.Seconds()+l.Burst) + b.Slack
}

// Limit is the limit of one account: Rate units a second, and Burst at once. A rate of 0 is none.
type Limit struct {
	Rate  float64
	Burst float64
}

// Answer is what a home says to a question for units.
type Answer struct {
	// Granted is 0, or what was asked for and some of what was wanted ahead.
	Granted float64
	// Wait is when the account will have room, if nothing was granted; negative if never.
	Wait time.Duration
	// Part is the share of all boxes that has lent to the home, and By the home's name; empty where
	// the box that asked answered itself.
	Part float64
	By   string
}

// Groups is how many groups the accounts are in; each has one home. More spread the work over more
// boxes, and each box lends to so many homes: at 60 boxes with four, 8 calls a second and box
// beside those for requests.
const Groups = 4

// GroupOf is the group of an account.
func GroupOf(account string) int { return int(xxhash.Sum64String(account) % Groups) }

const (
	// leastRenew is how often a box lends anew in a small fleet, and mostLends bounds the lends that a
	// home hears a second: 600 at 300 boxes would take a third of a box with 0.192 of a core, at an
	// estimated 0.1 ms each (not measured).
	leastRenew = 500 * time.Millisecond
	mostLends  = 150
	// lentRenewals is for how many renewals a part is lent: it leaves time for two that are lost.
	lentRenewals = 3
	// LongestLent bounds what a home takes from a box.
	LongestLent = 30 * time.Second
	// grantLife is how long a box may use what it was granted ahead.
	grantLife = time.Second
)

// Renewal is how often boxes lend anew where there are so many, and for how long a part is lent. A
// home that is frozen or cut off has its boxes' parts for so long.
//
// Example: 60 boxes lend each 0.5 s for 1.5 s, 300 each 2 s for 6 s.
func Renewal(boxes int) (renew, lent time.Duration) {
	renew = max(leastRenew, time.Duration(boxes)*time.Second/mostLends)
	return renew, lentRenewals * renew
}

// How the units that an account may use beyond its limit in a window are used: the home keeps
// firstPart, so that grants ahead that are used in a later window, and requests that arrive closer
// together than they were granted, stay within the bound; the first and second box to ask when
// it does not answer give out nextPart and thirdPart beside what they are lent, until the others'
// parts are theirs; and all boxes that hear of no other share alonePart.
const (
	firstPart = 0.30
	nextPart  = 0.30
	thirdPart = 0.15
	alonePart = 0.15
)

var rankParts = [...]float64{firstPart, nextPart, thirdPart}

// Place is where a box stands among those that may be the home of a group.
type Place struct {
	// Boxes is how many there are; 0 if that is not known.
	Boxes int
	// Rank is 0 for the box that all ask first. Those beyond the third do not matter.
	Rank int
}

// extra is the part of what is allowed beyond a limit that a box at a place may give out.
func (p Place) extra() float64 {
	if p.Boxes <= 0 {
		return 0
	}
	out := alonePart / float64(p.Boxes)
	if p.Rank < len(rankParts) {
		out += rankParts[p.Rank]
	}
	return out
}
