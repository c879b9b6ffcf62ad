package quota

import "time"

// aheadGrants counts the units of an account that boxes got in advance and may still have. They count as units of the
// bucket: if the bucket were refilled in their place, an account whose requests are refused for other reasons, and whose
// units are given back, could use a full bucket and the cached units of all boxes at once.
type aheadGrants struct {
	byBox map[string]aheadGrant
	sum   float64
	// expiresAt is when the first of the grants expires, or earlier.
	expiresAt time.Time
}

type aheadGrant struct {
	units float64
	at    time.Time
}

const (
	// aheadAnswerTime is how long the answer with a grant may be on its way. A request of the box that is served in that
	// time may have been sent before the box had the units.
	aheadAnswerTime = 100 * time.Millisecond
	aheadLifetime   = grantTTL + aheadAnswerTime
)

// add counts units that a box gets in advance.
func (g *aheadGrants) add(now time.Time, box string, units float64) {
	if box == "" || units <= 0 {
		return
	}
	if g.byBox == nil {
		g.byBox = map[string]aheadGrant{}
	}
	if len(g.byBox) == 0 {
		g.expiresAt = now.Add(aheadLifetime)
	}
	g.byBox[box] = aheadGrant{g.byBox[box].units + units, now}
	g.sum += units
}

// asked records a request of a box for units. A box asks only when it has used what it had.
func (g *aheadGrants) asked(now time.Time, box string) {
	if old, ok := g.byBox[box]; ok && now.Sub(old.at) > aheadAnswerTime {
		g.remove(box, old)
	}
}

// expire drops the grants that no box can use any more.
func (g *aheadGrants) expire(now time.Time) {
	if len(g.byBox) == 0 || now.Before(g.expiresAt) {
		return
	}
	g.expiresAt = now.Add(aheadLifetime)
	for box, old := range g.byBox {
		if end := old.at.Add(aheadLifetime); !now.Before(end) {
			g.remove(box, old)
		} else if end.Before(g.expiresAt) {
			g.expiresAt = end
		}
	}
}

func (g *aheadGrants) remove(box string, old aheadGrant) {
	delete(g.byBox, box)
	g.sum -= old.units
	if len(g.byBox) == 0 {
		g.sum = 0 // Without rounding errors.
	}
}
