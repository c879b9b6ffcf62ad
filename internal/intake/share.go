package intake

import (
	"sync"
	"time"
)

const (
	// hotFactor is how many times the mean of all boxes a hot box gets.
	hotFactor = 2.0
	// quietRate is the rate of connections a second that a box need not publish. A box that has published nothing counts
	// with it.
	quietRate = 3.0
	// publishFactor is by what factor a rate must change before it is published again, and publishInterval the least time
	// between two messages of a box.
	publishFactor   = 2.0
	publishInterval = time.Second
	// rateTTL is how long a published rate counts. A box publishes it again sooner while it is not quiet.
	rateTTL       = time.Minute
	repeatAfter   = 30 * time.Second
	maxKnownBoxes = 4096
)

// Shares compares the connections offered to this box with those of the others. Its messages are few: a box publishes its
// rate when it has changed by publishFactor. The zero value is ready, and safe for concurrent use.
type Shares struct {
	mu          sync.Mutex
	byBox       map[string]published
	last        float64 // The rate published last.
	publishedAt time.Time
}

type published struct {
	rate float64
	at   time.Time
}

// Due reports whether this box's rate should be published now, and records that it is.
func (s *Shares) Due(now time.Time, own float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, present := max(s.last, quietRate), max(own, quietRate)
	changed := present >= publishFactor*last || present <= last/publishFactor
	repeat := s.last > quietRate && now.Sub(s.publishedAt) >= repeatAfter
	if !changed && !repeat || now.Sub(s.publishedAt) < publishInterval {
		return false
	}
	s.last, s.publishedAt = own, now
	return true
}

// Receive records the rate that another box published.
func (s *Shares) Receive(now time.Time, box string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byBox == nil {
		s.byBox = map[string]published{}
	}
	if _, known := s.byBox[box]; known || len(s.byBox) < maxKnownBoxes {
		s.byBox[box] = published{rate, now}
	}
}

// Comparison is how the rate of this box compares with those of all boxes, in connections a second.
type Comparison struct {
	Own, Mean float64
	// Hot means that this box gets hotFactor times the mean or more, and is in the upper half of the boxes. So no more than
	// half of the boxes are hot, however the load is spread.
	Hot bool
}

// Compare compares this box's rate with those of the listed boxes. self is this box's name.
func (s *Shares) Compare(now time.Time, self string, own float64, boxes []string) Comparison {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum, above := own, 0
	for _, box := range boxes {
		if box == self {
			continue
		}
		r := quietRate
		if p, known := s.byBox[box]; known && now.Sub(p.at) < rateTTL {
			r = max(p.rate, quietRate)
		}
		sum += r
		if r >= own {
			above++
		}
	}
	n := max(1, len(boxes))
	c := Comparison{Own: own, Mean: sum / float64(n)}
	// Of two boxes, one that gets everything has no more than twice the mean.
	factor := min(hotFactor, 0.75*float64(n))
	c.Hot = n > 1 && own >= factor*c.Mean && 2*(above+1) <= n
	return c
}

// Forget removes the rates of boxes that are not listed, if there are more rates than listed boxes.
func (s *Shares) Forget(listed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byBox) <= len(listed) {
		return
	}
	keep := make(map[string]published, len(listed))
	for _, box := range listed {
		if p, known := s.byBox[box]; known {
			keep[box] = p
		}
	}
	s.byBox = keep
}
