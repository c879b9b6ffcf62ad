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

// plainTable has the endpoints of plain services. It selects an endpoint for each call.
type plainTable struct {
	hall string
	// onStateChange is called when an endpoint is set aside or becomes usable again. It must not block. An endpoint
	// that is set aside gets no calls for a while, unless there is no other endpoint.
	onStateChange func(decide.StateChange)
	// notices has the request rate limits and pauses that endpoints ask for in their answers.
	notices decide.Notices

	mu sync.Mutex
	// setBudget sets this box's part of the retry budget of a service.
	setBudget func(*retry.Budget)
	services  map[string]*plainService
}

type plainService struct {
	budget retry.Budget
	// repeatable is the number of requests in progress that may run again.
	repeatable int
	byID       map[string]*plainEndpoint
	// outside are endpoints that are not in this box's subset, by ID. This box has called them with granted slots.
	outside map[string]*plainEndpoint
}

// plainEndpoint is an endpoint of the table, with the results of this box's own calls to it.
type plainEndpoint struct {
	knownEndpoint
	inFlight      int       // The calls in progress.
	lastChosen    time.Time // When the endpoint was last selected.
	failures      int       // The failures since the last success.
	setAsideUntil time.Time
	// meanLatency is a moving average of the endpoint's answer times, in seconds.
	meanLatency float64
	// failureRate is a moving average of the share of calls that failed, at the time failureRateAt.
	failureRate   float64
	failureRateAt time.Time
}

// currentFailureRate returns the failure rate. The rate decays without calls, so that the endpoint is tried again.
func (e *plainEndpoint) currentFailureRate(now time.Time) float64 {
	return e.failureRate * math.Exp2(-float64(now.Sub(e.failureRateAt))/float64(failureHalfLife))
}

const (
	// An endpoint is set aside for setAsideDuration after setAsideFailures failures in a row.
	setAsideFailures = 2
	setAsideDuration = 1500 * time.Millisecond
	// latencyWeight is the weight of a new answer time in meanLatency. initialLatency is the meanLatency, in seconds,
	// of an endpoint that has not answered yet.
	latencyWeight  = 0.2
	initialLatency = 0.050
	// failureWeight is the weight of a call in the failure rate. failureHalfLife is the time in which the rate halves
	// without calls. failureCostFactor is the weight of the rate in an endpoint's cost. This weight is high: a call
	// that may run only once is lost if it fails, but is only late if it waits. With these values, an endpoint that
	// drops a third of its calls is avoided until the other endpoints take three times as long.
	failureWeight     = 0.1
	failureHalfLife   = 3 * time.Second
	failureCostFactor = 6
	// otherHallCostFactor is the factor by which the cost of an endpoint in another hall is multiplied.
	otherHallCostFactor = 1.15
)

// The retry budget of a service before the box has received the platform's limits. In each window of defaultRetryWindow
// a box may make defaultFreeRetries retries. In addition it may retry the share defaultRetryShare of its requests.
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

// noNotices stands for endpoints that asked for no limits and no pauses.
type noNotices struct{}

func (noNotices) ThrottledFor(string, time.Time) time.Duration { return 0 }
func (noNotices) Sent(string, time.Time)                       {}
func (noNotices) IsPaused(string, time.Time) bool              { return false }

func (t *plainTable) service(name string) *plainService {
	s := t.services[name]
	if s == nil {
		s = &plainService{byID: map[string]*plainEndpoint{}, outside: map[string]*plainEndpoint{}}
		t.setBudget(&s.budget)
		t.services[name] = s
	}
	return s
}

// set replaces the list of endpoints. Endpoints that are also in the new list keep their statistics.
func (t *plainTable) set(list []knownEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := map[string]*plainEndpoint{}
	for _, s := range t.services {
		for id, e := range s.outside {
			old[id] = e
		}
		for id, e := range s.byID {
			old[id] = e
		}
		s.byID, s.outside = map[string]*plainEndpoint{}, map[string]*plainEndpoint{}
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

// chosenEndpoint is an endpoint that was selected for a call of this box. Endpoint is a copy from the time of
// selection, because the list may change during the call.
type chosenEndpoint struct {
	Endpoint
	snapshot record.EndpointState
	// entry is the endpoint's state in the table. Only methods of the table may access it.
	entry *plainEndpoint
}

// accepts reports whether an endpoint of a region may get a call from this box now. tried are the endpoints that the
// request was sent to before. If the endpoint asked for fewer requests, wait is the time until this box may call it
// again. Otherwise wait is 0. t.mu is held.
func (t *plainTable) accepts(e *plainEndpoint, region string, now time.Time, tried map[string]bool) (ok bool, wait time.Duration) {
	if !e.open() || e.Region != region || e.cold(now) {
		return false, 0
	}
	wait = t.notices.ThrottledFor(e.ID, now)
	return wait == 0 && !tried[e.ID], wait
}

// hasUntried reports whether a call could be retried now at an endpoint that is not in tried.
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

// choose selects an endpoint of a region that accepts a call and is not in tried. It selects the endpoint with the
// lowest expected latency, and counts the call as in progress. Endpoints that are set aside are a last resort. If no
// endpoint accepts a call, choose returns nil. wait is then the time until the first endpoint that asked for fewer
// requests accepts a call. If no endpoint asked for fewer requests, wait is 0.
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
	return t.start(best, now, compared), 0
}

// start counts a call to an endpoint as in progress. compared is the number of endpoints that could have been selected.
// t.mu is held.
func (t *plainTable) start(e *plainEndpoint, now time.Time, compared int) *chosenEndpoint {
	out := &chosenEndpoint{Endpoint: e.Endpoint, entry: e, snapshot: record.EndpointState{
		Compared: compared, Calls: e.inFlight, Failures: e.failures,
		Mean: time.Duration(e.meanLatency * float64(time.Second)),
	}}
	e.inFlight++
	e.lastChosen = now
	t.notices.Sent(e.ID, now)
	return out
}

// take counts a call to an endpoint whose slot was granted as in progress. It returns nil if the endpoint accepts no call
// of this box now. known is false if the endpoint is not in this box's subset.
func (t *plainTable) take(k serviceRegion, id string, now time.Time, exclude map[string]bool) (_ *chosenEndpoint, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.service(k.service).byID[id]
	if e == nil {
		return nil, false
	}
	if yes, _ := t.accepts(e, k.region, now, exclude); !yes {
		return nil, true
	}
	return t.start(e, now, 1), true
}

// takeOutside is take for an endpoint that is not in this box's subset.
func (t *plainTable) takeOutside(known knownEndpoint, region string, now time.Time, exclude map[string]bool) *chosenEndpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(known.Service)
	e := s.outside[known.ID]
	if e == nil {
		e = &plainEndpoint{meanLatency: initialLatency}
		s.outside[known.ID] = e
	}
	e.knownEndpoint = known
	if yes, _ := t.accepts(e, region, now, exclude); !yes {
		return nil
	}
	return t.start(e, now, 1)
}

// done records the end of a call. If ok is set, took is the answer time of the call. Otherwise the call failed. After
// setAsideFailures failures in a row the endpoint is set aside, and after a success it is usable again.
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

// setRetryBudgets sets this box's part of the retry budget of each service. This also holds for services that are added
// later.
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
	for _, e := range t.service(service).outside {
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

// addRepeatable changes the number of requests to a service that are in progress and may run again.
func (t *plainTable) addRepeatable(service string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service(service).repeatable += n
}

// hasRepeatable reports whether a request to a service that may run again is in progress.
func (t *plainTable) hasRepeatable(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	return s != nil && s.repeatable > 0
}

// budgets returns the retry budgets of all services, by name.
func (t *plainTable) budgets() map[string]*retry.Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]*retry.Budget, len(t.services))
	for name, s := range t.services {
		out[name] = &s.budget
	}
	return out
}

// release records that an endpoint is not called although it was selected, or that it was full. An endpoint that is full
// does not fail. While rejected calls counted as failures, endpoints were set aside one after the other, and all load
// moved to the next one.
func (t *plainTable) release(c *chosenEndpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.entry.inFlight--
}
