package relay

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/decide"
	"github.com/stoatramp/stoatramp/internal/record"
	"github.com/stoatramp/stoatramp/internal/retry"
)

// plainTable selects endpoints of plain services.
type plainTable struct {
	hall string
	// onStateChange is called when an endpoint is set aside or becomes usable again; it must not block.
	onStateChange func(decide.StateChange)
	// notices are the limits and pauses that endpoints ask for in their answers.
	notices decide.Notices

	mu sync.Mutex
	// setBudget sets this box's retry budget for a service.
	setBudget func(*retry.Budget)
	services  map[string]*plainService
}

type plainService struct {
	budget retry.Budget
	byID   map[string]*plainEndpoint
}

// plainEndpoint is an endpoint with the results of this box's own calls to it.
type plainEndpoint struct {
	knownEndpoint
	inFlight      int // Calls in progress.
	lastChosen    time.Time
	failures      int // In a row.
	setAsideUntil time.Time
	// meanLatency is a moving average of its answer times, in seconds.
	meanLatency float64
	// failureRate is a moving average of the share of calls that failed, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
}

// currentFailureRate returns the failure rate, which decays without calls so that the endpoint is tried again.
func (e *plainEndpoint) currentFailureRate(now time.Time) float64 {
	return e.failureRate * math.Exp2(-float64(now.Sub(e.failureRateAt))/float64(failureHalfLife))
}

const (
	// An endpoint is set aside for setAsideDuration after setAsideFailures failures in a row.
	setAsideFailures = 2
	setAsideDuration = 1500 * time.Millisecond
	// latencyWeight is the weight of a new answer in the average, and initialLatency the average, in seconds, of an
	// endpoint that has not answered yet.
	latencyWeight  = 0.2
	initialLatency = 0.050
	// failureWeight is the weight of a call in the failure rate, and failureCostFactor the weight of that rate in an
	// endpoint's cost: a call that may run only once is lost if it fails, where one that waits is only late. With
	// both, an endpoint that drops a third of its calls is avoided until the others take three times as long.
	failureWeight     = 0.1
	failureHalfLife   = 3 * time.Second
	failureCostFactor = 6
	// otherHallCostFactor is how much cheaper an endpoint in another hall must be to be selected.
	otherHallCostFactor = 1.15
)

// Retry budget of a table that has not received the platform's limits: a share of the requests plus some free
// calls in each window.
const (
	defaultRetryShare  = 0.15
	defaultFreeRetries = 2
	defaultRetryWindow = 10 * time.Second
)

func setDefaultBudget(b *retry.Budget) {
	b.SetFixed(defaultRetryShare, defaultFreeRetries, defaultRetryWindow)
}

func newPlainTable(hall string) *plainTable {
	return &plainTable{hall: hall, onStateChange: func(decide.StateChange) {}, notices: noNotices{}, setBudget: setDefaultBudget, services: map[string]*plainService{}}
}

// noNotices has no limits and no pauses.
type noNotices struct{}

func (noNotices) ThrottledFor(string, time.Time) time.Duration { return 0 }
func (noNotices) Sent(string, time.Time)                       {}
func (noNotices) IsPaused(string, time.Time) bool              { return false }

func (t *plainTable) service(name string) *plainService {
	s := t.services[name]
	if s == nil {
		s = &plainService{byID: map[string]*plainEndpoint{}}
		t.setBudget(&s.budget)
		t.services[name] = s
	}
	return s
}

// set replaces the list and keeps the statistics of endpoints that remain.
func (t *plainTable) set(list []knownEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := map[string]*plainEndpoint{}
	for _, s := range t.services {
		for id, e := range s.byID {
			old[id] = e
		}
		s.byID = map[string]*plainEndpoint{}
	}
	for _, e := range list {
		n := old[e.ID]
		if n == nil {
			n = &plainEndpoint{meanLatency: initialLatency}
		}
		n.knownEndpoint = e
		t.service(e.Service).byID[e.ID] = n
	}
}

// chosenEndpoint is an endpoint with a call of this box in progress. It is a copy of the entry at the time of
// selection, because the list may change meanwhile.
type chosenEndpoint struct {
	Endpoint
	snapshot record.EndpointState
	// entry is the table's own entry, which is accessed by the table only.
	entry *plainEndpoint
}

// accepts reports whether an endpoint may get a call from this box that was not tried there yet. If it is
// throttled, wait is the time until it may; otherwise wait is 0. t.mu is held.
func (t *plainTable) accepts(e *plainEndpoint, region string, now time.Time, tried map[string]bool) (ok bool, wait time.Duration) {
	if !e.open() || e.Region != region || e.cold(now) {
		return false, 0
	}
	wait = t.notices.ThrottledFor(e.ID, now)
	return wait == 0 && !tried[e.ID], wait
}

// hasUntried reports whether a call could be retried at an endpoint that was not tried yet.
func (t *plainTable) hasUntried(service, region string, now time.Time, tried map[string]bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.service(service).byID {
		if yes, _ := t.accepts(e, region, now, tried); yes {
			return true
		}
	}
	return false
}

// choose selects the endpoint with the lowest expected latency among those of a region that are not leaving and
// were not tried yet; nil if there is none. Endpoints that are set aside are a last resort. If there is none, wait
// is the time until the first throttled endpoint accepts a call, or 0 if none is throttled.
func (t *plainTable) choose(service, region string, now time.Time, tried map[string]bool) (_ *chosenEndpoint, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *plainEndpoint
	bestCost, compared := 0.0, 0
	for _, e := range t.service(service).byID {
		yes, d := t.accepts(e, region, now, tried)
		if !yes {
			if d > 0 && (wait == 0 || d < wait) {
				wait = d
			}
			continue
		}
		compared++
		cost := e.meanLatency * float64(1+e.inFlight) * (1 + failureCostFactor*e.currentFailureRate(now)) * (1 + 0.1*rand.Float64())
		if e.Hall != t.hall {
			cost *= otherHallCostFactor
		}
		if now.Before(e.setAsideUntil) {
			cost += setAsideDuration.Seconds() * 10
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil, wait
	}
	out := &chosenEndpoint{Endpoint: best.Endpoint, entry: best, snapshot: record.EndpointState{
		Compared: compared, Calls: best.inFlight, Failures: best.failures,
		Mean: time.Duration(best.meanLatency * float64(time.Second)),
	}}
	best.inFlight++
	best.lastChosen = now
	t.notices.Sent(best.ID, now)
	return out, 0
}

// done records the end of a call: how long its answer took, or that it failed.
func (t *plainTable) done(c *chosenEndpoint, now time.Time, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := c.entry
	e.inFlight--
	e.failureRate, e.failureRateAt = e.currentFailureRate(now)*(1-failureWeight), now
	if ok {
		if e.failures >= setAsideFailures {
			t.onStateChange(decide.StateChange{Engine: e.ID, State: decide.Usable})
		}
		e.failures = 0
		e.setAsideUntil = time.Time{}
		e.meanLatency += latencyWeight * (took.Seconds() - e.meanLatency)
		return
	}
	e.failureRate += failureWeight
	e.failures++
	if e.failures >= setAsideFailures {
		e.setAsideUntil = now.Add(setAsideDuration)
		t.onStateChange(decide.StateChange{Engine: e.ID, State: decide.SetAside, Until: e.setAsideUntil})
	}
}

// setRetryBudgets sets this box's retry budget for each service, including those added later.
func (t *plainTable) setRetryBudgets(setBudget func(*retry.Budget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setBudget = setBudget
	for _, s := range t.services {
		setBudget(&s.budget)
	}
}

// running returns the number of this box's calls in progress at a service.
func (t *plainTable) running(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.service(service).byID {
		n += e.inFlight
	}
	return n
}

// budgetOf returns the retry budget of a service.
func (t *plainTable) budgetOf(service string) *retry.Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &t.service(service).budget
}

// release returns an endpoint that was selected and not called.
func (t *plainTable) release(c *chosenEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.entry.inFlight--
}
