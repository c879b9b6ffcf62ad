package reach

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Box is another box of the region, through which an endpoint may be reached.
type Box struct {
	Name    string
	Hall    string
	Address string // ip:port of its listener for other boxes.
}

const (
	// maxTried bounds the boxes that are tried for one connection. They are the best of sampleSize boxes drawn at random.
	maxTried   = 4
	sampleSize = 48
	// Stagger is the time after which the next box is tried while the one before has not answered.
	Stagger = 80 * time.Millisecond
	// failureLife is how long a box that opened no tunnel is tried after the others. unauthorizedLife applies to a
	// box whose key differs.
	failureLife      = time.Second
	unauthorizedLife = 20 * time.Second
)

// Boxes ranks other boxes as ways to an endpoint, by the results of earlier attempts.
type Boxes struct {
	// Hall is the data hall of this box.
	Hall string

	mu       sync.Mutex
	badUntil map[string]time.Time
	goodAt   map[string]time.Time
	open     map[string]int // Tunnels of this box through each box.
}

// Rank returns the boxes to try for an endpoint of a hall, the best first, at most maxTried. Boxes that failed lately come
// last. Before that come those whose way to the endpoint crosses the halls' border least often, and among these the ones
// with the fewest tunnels of this box; equal ones in random order.
func (b *Boxes) Rank(all []Box, hall string, now time.Time) []Box {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := sample(all)
	slices.SortStableFunc(out, func(x, y Box) int {
		return cmp.Or(
			cmp.Compare(b.health(x, now), b.health(y, now)),
			cmp.Compare(b.crossings(x, hall), b.crossings(y, hall)),
			cmp.Compare(b.open[x.Name], b.open[y.Name]),
		)
	})
	return out[:min(len(out), maxTried)]
}

// sample returns up to sampleSize of the boxes in random order.
func sample(all []Box) []Box {
	if len(all) <= sampleSize {
		out := slices.Clone(all)
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		return out
	}
	out := make([]Box, 0, sampleSize)
	drawn := make(map[int]bool, sampleSize)
	for len(out) < sampleSize {
		if i := rand.IntN(len(all)); !drawn[i] {
			drawn[i] = true
			out = append(out, all[i])
		}
	}
	return out
}

// health orders boxes: 0 for one that opened a tunnel lately, 1 for one that is not known, 2 for one that failed. b.mu is
// held.
func (b *Boxes) health(x Box, now time.Time) int {
	switch {
	case now.Before(b.badUntil[x.Name]):
		return 2
	case now.Sub(b.goodAt[x.Name]) < evidenceLife:
		return 0
	}
	return 1
}

// crossings counts how often the way through a box to an endpoint's hall leaves a hall. b.mu is held.
func (b *Boxes) crossings(x Box, hall string) (n int) {
	if x.Hall != b.Hall {
		n++
	}
	if x.Hall != hall {
		n++
	}
	return n
}

// Opened records that a box opened a tunnel; Closed that the tunnel was closed.
func (b *Boxes) Opened(box string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeMaps()
	b.open[box]++
	b.goodAt[box] = now
	delete(b.badUntil, box)
}

// Closed records that a tunnel through a box was closed.
func (b *Boxes) Closed(box string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[box]--; b.open[box] <= 0 {
		delete(b.open, box)
	}
}

// Failed records that a box opened no tunnel. Unauthorized means that the boxes' keys differ.
func (b *Boxes) Failed(box string, unauthorized bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.makeMaps()
	life := failureLife
	if unauthorized {
		life = unauthorizedLife
	}
	delete(b.goodAt, box)
	b.badUntil[box] = now.Add(life)
}

// Open returns the number of this box's tunnels through each box.
func (b *Boxes) Open() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.open)
}

// Forget drops results that no longer count.
func (b *Boxes) Forget(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.badUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	maps.DeleteFunc(b.goodAt, func(_ string, at time.Time) bool { return now.Sub(at) >= evidenceLife })
}

// makeMaps makes the maps of the zero value. b.mu is held.
func (b *Boxes) makeMaps() {
	if b.open == nil {
		b.open, b.goodAt, b.badUntil = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	}
}
