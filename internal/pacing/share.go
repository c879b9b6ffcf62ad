package pacing

// This file bounds what all boxes together send to an endpoint that announces a limit in its responses.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// By the platform's rules, all boxes together may exceed an endpoint's limit to some extent. In any limitWindow they
// may send limitFactor times what the limit allows in that time, plus limitSlack requests. This number is called the
// bound.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

const (
	// limitUsableShare is the share of the bound that is distributed among the boxes. The other quarter is for
	// two cases: boxes whose lists of boxes differ for some seconds, and requests that arrive closer together
	// than they were sent.
	limitUsableShare = 0.75
	// unselectedSlack is the part of the bound, in requests, that is kept for boxes that are not selected. Each of
	// them may send only in its own time slots. But slots of two boxes can overlap.
	unselectedSlack = 1
	// maxSlot bounds the length of a slot. In a slot, a box that is not selected may send one request. With longer
	// slots, more of them would overlap, and their boxes would send at the same time after a period without
	// traffic.
	maxSlot = 2 * time.Second
	// minBoxesIfUnlisted is the least number of boxes that a box assumes while its own list of boxes does not
	// contain the box itself. The list is then outdated or was not read yet.
	minBoxesIfUnlisted = 100
)

// Share is what one box may send to an endpoint that announces a limit. A selected box sends at a Rate with a Burst.
// Any other box may send one request in each of its time slots.
type Share struct {
	Selected bool
	Rate     float64 // Requests per second.
	Burst    float64 // Requests that may be sent without a pause between them; at least 1.
	// Slots apply to a box that is not selected. A slot of length Slot begins once per Period. The first slot
	// begins Phase after the epoch, the time from which the box counts its slots.
	Period, Phase, Slot time.Duration
}

// ShareOf returns the share of one box. boxes are all boxes that may send to the endpoint, and limit is the endpoint's
// limit in requests per second.
//
// The sum over all boxes is bounded without communication between them. An equal share of the limit for each box would
// not work: 400 boxes that each send one request far exceed a limit of 6. So a few boxes are selected by rendezvous
// hashing, and each of them gets one share of the limit. All other boxes together get one more share, in time slots.
// When the limit is lifted, a box notices this by the requests that it sends in its slots. It needs no message of
// another box for this.
//
// Example: a limit of 6 per second allows at most 41 requests in 4 s. Of 60 boxes five are selected, each with 1
// request per second. Each of the other 55 boxes has a slot every 55 s.
func ShareOf(box string, boxes []string, endpoint string, limit float64) Share {
	burst := limitUsableShare*(limitFactor*limit*limitWindow.Seconds()+limitSlack) - limit*limitWindow.Seconds() - unselectedSlack
	n := max(1, int(burst))
	if n >= len(boxes) && len(boxes) > 0 {
		return Share{Selected: true, Rate: limit / float64(len(boxes)), Burst: math.Floor(burst / float64(len(boxes)))}
	}
	rate := limit / float64(n+1)
	if Selected(box, boxes, endpoint, n) {
		return Share{Selected: true, Rate: rate, Burst: 1}
	}
	period := time.Duration(float64(max(1, len(boxes)-n)) / rate * float64(time.Second))
	if !slices.Contains(boxes, box) {
		period = max(period, time.Duration(minBoxesIfUnlisted/rate*float64(time.Second)))
	}
	phase := float64(xxhash.Sum64String("slot "+box+" "+endpoint)>>11) / (1 << 53)
	return Share{Period: period, Phase: time.Duration(phase * float64(period)), Slot: min(maxSlot, period/2)}
}

// slot returns the number of the slot that contains the given time. The time is counted from the epoch. ok is false if
// the time lies between two slots.
func (s Share) slot(at time.Duration) (n int64, ok bool) {
	at -= s.Phase
	if at < 0 {
		at += s.Period
	}
	return int64(at / s.Period), at%s.Period < s.Slot
}

// Pacer keeps what one box sends within the share of the box. The zero value allows nothing.
type Pacer struct {
	share Share
	// level is how many requests the box could send without a pause at the time at. The level starts at zero,
	// because requests that were sent before the limit was known may still be on their way.
	level    float64
	at       time.Time
	lastSlot int64 // The slot that was used last, counted from 1; 0 if none was used.
}

// SetShare changes the share of the box, and caps the level at the burst of the new share.
func (p *Pacer) SetShare(now time.Time, s Share) {
	p.refill(now)
	p.share = s
	p.level = min(p.level, s.Burst)
}

func (p *Pacer) refill(now time.Time) {
	if elapsed := now.Sub(p.at).Seconds(); !p.at.IsZero() && elapsed > 0 {
		p.level = min(p.share.Burst, p.level+elapsed*p.share.Rate)
	}
	p.at = now
}

// unselectedRetryDelay is after how long a caller may retry if its request reached a box that is not selected. By then
// the caller may reach a selected box.
const unselectedRetryDelay = time.Second

// Wait returns how long the box must wait before it sends a request, or 0 if it may send now. Slots are counted from
// epoch.
func (p *Pacer) Wait(now, epoch time.Time) time.Duration {
	if !p.share.Selected {
		if n, open := p.share.slot(now.Sub(epoch)); open && p.lastSlot != n+1 {
			return 0
		}
		return unselectedRetryDelay
	}
	p.refill(now)
	if p.level >= 1 {
		return 0
	}
	return max(time.Millisecond, time.Duration((1-p.level)/p.share.Rate*float64(time.Second)))
}

// Sent records a request that the box sends now. The request uses up the slot, or lowers the level by one.
func (p *Pacer) Sent(now, epoch time.Time) {
	if !p.share.Selected {
		n, _ := p.share.slot(now.Sub(epoch))
		p.lastSlot = n + 1
		return
	}
	p.refill(now)
	p.level--
}
