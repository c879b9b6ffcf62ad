package pacing

// This file bounds what is sent to an endpoint that names a limit in its answers.

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// How far all boxes together may go beyond an endpoint's limit, as the platform's rules have it: in any
// limitWindow, limitOver times what the limit gives in that time and limitSlack requests.
const (
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
)

const (
	// usedPart is the part of that bound which is given out. The rest is for boxes whose lists of boxes
	// differ for some seconds, and for requests that arrive closer together than they were sent.
	usedPart = 0.75
	// othersSlack is kept for the boxes that are not selected, whose slots may coincide.
	othersSlack = 1
	// longestSlot is the longest time in which a box that is not selected may send its request. Without
	// an end, all of them would send at once after a time without traffic.
	longestSlot = 2 * time.Second
	// unlistedBoxes is how many boxes there are taken to be at the least by one that does not find itself
	// on its list: the list is old, or was not read yet.
	unlistedBoxes = 100
)

// Share is what one box may send to an endpoint that names a limit. Either it is selected, and has a Rate
// and a Burst, or it may send one request in each slot.
type Share struct {
	Selected bool
	Rate     float64 // Requests a second.
	Burst    float64 // Requests at once; at least 1.
	// A slot of length Slot begins each Every, at Phase after the epoch of the box's clock.
	Every, Phase, Slot time.Duration
}

// ShareOf is the share of a box among all that may send to an endpoint with a limit of requests a second.
//
// The sum is bounded without a call between boxes. A part of the limit for each box would not do: 400
// boxes that each send one request are far over a limit of 6. So few boxes are selected, by rendezvous
// hashing, and the others share one more part in turns: they find out by themselves when a limit is
// lifted, also where no message of another box reaches them.
//
// Example: 6 a second are at most 41 in 4 s. Of 60 boxes five are selected, each with 1 a second, and the
// other 55 have a slot each 55 s.
func ShareOf(box string, boxes []string, endpoint string, limit float64) Share {
	spare := usedPart*(limitOver*limit*limitWindow.Seconds()+limitSlack) - limit*limitWindow.Seconds() - othersSlack
	n := max(1, int(spare))
	if n >= len(boxes) && len(boxes) > 0 {
		return Share{Selected: true, Rate: limit / float64(len(boxes)), Burst: math.Floor(spare / float64(len(boxes)))}
	}
	part := limit / float64(n+1)
	if selected(box, boxes, endpoint, n) {
		return Share{Selected: true, Rate: part, Burst: 1}
	}
	every := time.Duration(float64(max(1, len(boxes)-n)) / part * float64(time.Second))
	if !slices.Contains(boxes, box) {
		every = max(every, time.Duration(unlistedBoxes/part*float64(time.Second)))
	}
	phase := float64(xxhash.Sum64String("slot "+box+" "+endpoint)>>11) / (1 << 53)
	return Share{Every: every, Phase: time.Duration(phase * float64(every)), Slot: min(longestSlot, every/2)}
}

// slot numbers the slot that a time is in, counted from an epoch; ok is false between two slots.
func (s Share) slot(at time.Duration) (n int64, ok bool) {
	at -= s.Phase
	if at < 0 {
		at += s.Every
	}
	return int64(at / s.Every), at%s.Every < s.Slot
}

// Pacer keeps one box to its share. The zero value has none.
type Pacer struct {
	share Share
	// level is how many requests may be sent at once, as of at. It begins with none: what was sent before
	// the limit was known still arrives.
	level float64
	at    time.Time
	taken int64 // The slot that was used last, from 1; 0 for none.
}

// Settle changes the share; what was saved up stays within the new one.
func (p *Pacer) Settle(now time.Time, s Share) {
	p.fill(now)
	p.share = s
	p.level = min(p.level, s.Burst)
}

func (p *Pacer) fill(now time.Time) {
	if d := now.Sub(p.at).Seconds(); !p.at.IsZero() && d > 0 {
		p.level = min(p.share.Burst, p.level+d*p.share.Rate)
	}
	p.at = now
}

// elsewhere is after how long a caller may try again that came to a box which is not selected: another box
// may be.
const elsewhere = time.Second

// Wait is how long the box may send nothing; 0 if it may send a request now. Slots are counted from epoch.
func (p *Pacer) Wait(now, epoch time.Time) time.Duration {
	if !p.share.Selected {
		if n, open := p.share.slot(now.Sub(epoch)); open && p.taken != n+1 {
			return 0
		}
		return elsewhere
	}
	p.fill(now)
	if p.level >= 1 {
		return 0
	}
	return max(time.Millisecond, time.Duration((1-p.level)/p.share.Rate*float64(time.Second)))
}

// Sent takes a request that is sent.
func (p *Pacer) Sent(now, epoch time.Time) {
	if !p.share.Selected {
		n, _ := p.share.slot(now.Sub(epoch))
		p.taken = n + 1
		return
	}
	p.fill(now)
	p.level--
}
