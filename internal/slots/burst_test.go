package slots

import (
	"fmt"
	"testing"
	"time"
)

// The phases of the load of deployment A: calm, a burst beyond the capacity of the endpoint, and calm again.
const (
	burstFrom = 3 * time.Second
	burstTo   = 7 * time.Second
	calmRate  = 100
	burstRate = 250
)

// burstSummary is what the check of a burst considers.
type burstSummary struct {
	calm, burst     float64 // On-time answers per second.
	recovered       float64 // The lowest number of on-time answers per second, per arrival rate of calm, after the burst.
	arrivalsAfter   float64
	refused         int
	refusalMedian   time.Duration
	retries         int
	refusedAgain    int
	rejected, most  int
	answeredLate    int
	answeredInBurst int
}

func runBurst(seed uint64, use func(f *simFleet)) burstSummary {
	e := &simEndpoint{id: "e1", hall: "hall0", slots: 6, queue: 12}
	f := newFleet(seed, e)
	f.retry = true
	use(f)
	call := func() { f.arrive(simCall{}) }
	f.poisson(0, burstFrom, calmRate, call)
	f.poisson(burstFrom, burstTo, burstRate, call)
	f.poisson(burstTo, burstTo+6*time.Second, calmRate, call)
	f.run(30 * time.Second)

	s := burstSummary{rejected: e.rejected, most: e.most}
	s.calm = f.goodput(time.Second, burstFrom)
	s.burst = f.goodput(burstFrom, burstTo)
	s.recovered = f.goodput(burstTo+2*time.Second, burstTo+6*time.Second)
	s.arrivalsAfter = float64(len(f.between(burstTo+2*time.Second, burstTo+6*time.Second, nil))) / 4
	var times []time.Duration
	for _, r := range f.results {
		switch {
		case !r.answered && !r.returning:
			s.refused++
			times = append(times, r.took())
		case !r.answered:
			s.refusedAgain++
			times = append(times, r.took())
		case r.arrived >= burstFrom && r.arrived < burstTo:
			s.answeredInBurst++
			if !r.onTime() {
				s.answeredLate++
			}
		}
		if r.returning {
			s.retries++
		}
	}
	s.refusalMedian = median(times)
	return s
}

// problems returns which requirements the run of a burst misses.
func (s burstSummary) problems() []string {
	var out []string
	miss := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }
	capacity := 6 / simService.Seconds()
	if s.burst < 0.85*capacity {
		miss("%.0f on-time answers per second in the burst, want 85%% of %.0f", s.burst, capacity)
	}
	if s.refusalMedian > 20*time.Millisecond {
		miss("refusals are sent after %v in the median, want 20ms", s.refusalMedian)
	}
	// Callers that are told when to return should find a slot. During the whole burst a fifth of the callers can't be
	// served, so a retry that comes at a random time of it would be refused as often.
	if 4*s.refusedAgain > s.retries {
		miss("%d of %d retries were refused again, want at most a quarter", s.refusedAgain, s.retries)
	}
	if s.recovered < 0.95*s.arrivalsAfter {
		miss("%.0f on-time answers per second of %.0f calls per second from 2s after the burst, want 95%%", s.recovered, s.arrivalsAfter)
	}
	// A call that the endpoint rejects costs two passes and may be one too many for a call that runs once.
	if 100*s.rejected > s.answeredInBurst {
		miss("the endpoint rejected %d calls, want at most one in 100 answers", s.rejected)
	}
	return out
}

var burstSeeds = []uint64{1, 2, 3, 4, 5, 6, 7, 8}

// Guards against an admission that lets the endpoint's queue or the owner's queue grow until answers are late, that
// refuses calls while slots are free, and that tells callers to return while there is no slot for them.
func TestBurst(t *testing.T) {
	for _, seed := range burstSeeds {
		s := runBurst(seed, func(f *simFleet) { f.useOwner(newOwner(f.sim, f.endpoints)) })
		t.Logf("seed %d: %+v", seed, s)
		for _, p := range s.problems() {
			t.Errorf("seed %d: %s", seed, p)
		}
	}
}

// Shows that the check of TestBurst finds the faults of a selection by which each box considers its own calls only.
func TestBurstCheckFindsSelectionByOwnCalls(t *testing.T) {
	for _, seed := range burstSeeds {
		s := runBurst(seed, (*simFleet).useOwnCalls)
		t.Logf("seed %d: %+v", seed, s)
		if len(s.problems()) == 0 {
			t.Errorf("seed %d: the check finds nothing", seed)
		} else {
			t.Log(s.problems())
		}
	}
}
