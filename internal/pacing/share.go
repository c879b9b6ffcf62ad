package pacing

// This file bounds what is sent to an endpoint that announces a limit in its responses.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How far all boxes together may exceed an endpoint's limit by the platform's rules: in any limitWindow,
// limitFactor times what the limit allows in that time, plus limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

const (
	// limitUsableShare is the share of that bound that is distributed. The rest is for boxes whose lists of
	// boxes differ for some seconds, and for requests that arrive closer together than they were sent.
	limitUsableShare = 0.75
	// unselectedSlack is reserved for the boxes that are not selected, whose slots may coincide.
	unselectedSlack = 1
	// maxSlot bounds the time in which a box that is not selected may send its request. Without the bound,
	// all of them would send at once after a period without traffic.
	maxSlot = 2 * time.Second
	// minBoxesIfUnlisted is the least number of boxes that a box assumes while it is not on its own list: the
	// list is outdated or was not read yet.
	minBoxesIfUnlisted = 100
)

// Share is what one box may send to an endpoint that announces a limit. A selected box has a Rate and a Burst;
// any other box may send one request in each slot.
type Share struct {
	Selected bool
	Rate     float64 // Requests per second.
	Burst    float64 // Requests at once; at least 1.
	// A slot of length Slot begins once per Period, at Phase after the epoch of the box's clock.
	Period, Phase, Slot time.Duration
}

// ShareOf returns the share of a box among all that may send to an endpoint with a limit in requests per
// second.
//
// The sum is bounded without communication between boxes. An equal share of the limit for each box would not
// do: 400 boxes that each send one request far exceed a limit of 6. So a few boxes are selected by rendezvous
// hashing, and the others share one more share in time slots: that lets each of them find out by itself when
// a limit is lifted, even if no message of another box reaches it.
//
// Example: a limit of 6 per second allows at most 41 requests in 4 s. Of 60 boxes five are selected, each with
// 1 per second, and each of the other 55 has a slot every 55 s.
func ShareOf(box string, boxes []string, endpoint string, limit float64) Share {
	burst := limitUsableShare*(limitFactor*limit*limitWindow.Seconds()+limitSlack) - limit*limitWindow.Seconds() - unselectedSlack
	n := max(1, int(burst))
	if n >= len(boxes) && len(boxes) > 0 {
		return Share{Selected: true, Rate: limit / float64(len(boxes)), Burst: math.Floor(burst / float64(len(boxes)))}
	}
	rate := limit / float64(n+1)
	if selected(box, boxes, endpoint, n) {
		return Share{Selected: true, Rate: rate, Burst: 1}
	}
	period := time.Duration(float64(max(1, len(boxes)-n)) / rate * float64(time.Second))
	if !slices.Contains(boxes, box) {
		period = max(period, time.Duration(minBoxesIfUnlisted/rate*float64(time.Second)))
	}
	phase := float64(xxhash.Sum64String("slot "+box+" "+endpoint)>>11) / (1 << 53)
	return Share{Period: period, Phase: time.Duration(phase * float64(period)), Slot: min(maxSlot, period/2)}
}

// slot returns the number of the slot at a time since the epoch; ok is false between two slots.
func (s Share) slot(at time.Duration) (n int64, ok bool) {
	at -= s.Phase
	if at < 0 {
		at += s.Period
	}
	return int64(at / s.Period), at%s.Period < s.Slot
}

// Pacer limits one box to its share. The zero value allows nothing.
type Pacer struct {
	share Share
	// level is how many requests may be sent at once, as of at. It starts at zero: requests that were sent
	// before the limit was known still arrive.
	level    float64
	at       time.Time
	lastSlot int64 // The last used slot, counted from 1; 0 for none.
}

// SetShare changes the share, and caps the level at the new burst.
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

// unselectedRetryDelay is when a caller that reached an unselected box may retry: it may then reach a
// selected one.
const unselectedRetryDelay = time.Second

// Wait is how long the box must not send; 0 if it may send a request now. Slots are counted from epoch.
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

// Sent accounts for a request that is sent.
func (p *Pacer) Sent(now, epoch time.Time) {
	if !p.share.Selected {
		n, _ := p.share.slot(now.Sub(epoch))
		p.lastSlot = n + 1
		return
	}
	p.refill(now)
	p.level--
}
