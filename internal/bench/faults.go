package bench

import (
	"slices"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
)

// faultNames are the faults that "--fault all" simulates, one after another.
var faultNames = []string{"none", "prefill-dies", "decode-dies", "link", "frozen", "third", "cancels", "two"}

// faultLength is how long a fault lasts.
const faultLength = 10 * time.Second

// inject schedules a fault that starts after a third of length, the time in which requests arrive. An engine that
// crashes starts again after faultLength. It then has no requests, but its prefix cache has survived.
func (r *simulation) inject(fault string, length time.Duration) {
	at := r.start.Add(length / 3)
	prefills, decodes := r.engineList[:r.m.prefills], r.engineList[r.m.prefills:]
	kill := func(list []*simEngine) {
		for _, e := range list {
			r.at(at, e.crash)
			r.at(at.Add(faultLength), func() { e.dead, e.samples = false, nil })
		}
	}
	switch fault {
	case "prefill-dies":
		kill(prefills[:max(1, len(prefills)/9)])
	case "decode-dies":
		kill(decodes[:max(1, len(decodes)/9)])
	case "third":
		kill(decodes[:len(decodes)/3])
	case "link":
		for _, e := range decodes[:max(1, len(decodes)/9)] {
			r.at(at, func() { e.stalled = true })
			r.at(at.Add(faultLength), func() { e.stalled = false })
		}
	case "frozen":
		r.freezeReports(at)
	case "two":
		kill(decodes[:max(1, len(decodes)/9)])
		r.freezeReports(at)
	}
}

func (r *simulation) freezeReports(at time.Time) {
	for _, e := range r.engineList {
		r.at(at, func() { e.frozen = true })
		r.at(at.Add(faultLength), func() { e.frozen = false })
	}
}

// burstLength is how long a burst of arrivals lasts.
const burstLength = 5 * time.Second

// withBurst doubles the rate of arrivals for burstLength, starting after a third of length, the time in which requests
// arrive.
func (m *mix) withBurst(seed uint64, reqs []*request, rate float64, length time.Duration) []*request {
	for _, req := range m.arrivals(seed+77, rate, burstLength, 0) {
		req.at += length / 3
		reqs = append(reqs, req)
	}
	slices.SortStableFunc(reqs, func(a, b *request) int { return int(a.at - b.at) })
	for i, req := range reqs {
		req.ID = decide.ID(i + 1)
	}
	return reqs
}
