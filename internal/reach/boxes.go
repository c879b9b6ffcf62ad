package reach

import (
	"cmp"
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
	// failureLife is how long a box that opened no tunnel is tried after the others. unsupportedLife applies to a box
	// that does not know tunnels, or whose key differs.
	failureLife     = time.Second
	unsupportedLife = 20 * time.Second
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
	if b.open == nil {
		b.open, b.goodAt, b.badUntil = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	}
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

// Failed records that a box opened no tunnel. Unsupported means that it will not open any soon.
func (b *Boxes) Failed(box string, unsupported bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.badUntil == nil {
		b.open, b.goodAt, b.badUntil = map[string]int{}, map[string]time.Time{}, map[string]time.Time{}
	}
	life := failureLife
	if unsupported {
		life = unsupportedLife
	}
	delete(b.goodAt, box)
	b.badUntil[box] = now.Add(life)
}

// Open returns the number of this box's tunnels through each box.
func (b *Boxes) Open() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.open))
	for name, n := range b.open {
		out[name] = n
	}
	return out
}

// Keep forgets boxes that are not in keep.
func (b *Boxes) Keep(keep map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range []map[string]time.Time{b.badUntil, b.goodAt} {
		for name := range m {
			if !keep[name] {
				delete(m, name)
			}
		}
	}
}
