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

// plainTable chooses endpoints of plain services.
type plainTable struct {
	hall string
	// believed is told when an endpoint is set aside or back; it must not block.
	believed func(decide.Believed)
	// notices are what endpoints ask for in their answers.
	notices decide.Notices

	mu sync.Mutex
	// bound sets what this box may spend on retries at a service.
	bound    func(*retry.Budget)
	services map[string]*plainService
}

type plainService struct {
	budget retry.Budget
	byID   map[string]*plainEndpoint
}

// plainEndpoint is one endpoint and what this box's own calls showed of it.
type plainEndpoint struct {
	knownEndpoint
	busy     int       // Calls in progress.
	usedAt   time.Time // When it was last chosen.
	failures int       // In a row.
	until    time.Time
	// slow is a moving mean of how long its answers took, in seconds.
	slow float64
	// failing is a moving share of its calls that came to nothing, as of ended.
	failing float64
	ended   time.Time
}

// failShare is the share of calls that come to nothing. It fades while there are none, so
// that the endpoint is tried again.
func (e *plainEndpoint) failShare(now time.Time) float64 {
	return e.failing * math.Exp2(-float64(now.Sub(e.ended))/float64(failHalf))
}

const (
	// failuresAside sets an endpoint aside for asideFor after so many failures in a row.
	failuresAside = 2
	asideFor      = 1500 * time.Millisecond
	// slowBlend is the weight of a new answer in the mean, and slowStart the mean of an
	// endpoint that has not answered yet.
	slowBlend = 0.2
	slowStart = 0.050
	// failBlend is the weight of a call in the share that failed, and failCost what that
	// share adds to an endpoint's cost: a call that may run once and fails is lost, where
	// one that waits is only late. With both, an endpoint that breaks off a third of its
	// calls is left to others until they take three times as long.
	failBlend = 0.1
	failHalf  = 3 * time.Second
	failCost  = 6
	// farCost is what an endpoint in another hall must be better by.
	farCost = 1.15
)

// A table that was not told what the platform allows lets a share of the requests and some free
// calls through in a window.
const (
	aloneShare  = 0.15
	aloneFree   = 2
	aloneWindow = 10 * time.Second
)

func boundAlone(b *retry.Budget) { b.Fixed(aloneShare, aloneFree, aloneWindow) }

func newPlainTable(hall string) *plainTable {
	return &plainTable{hall: hall, believed: func(decide.Believed) {}, notices: noNotices{}, bound: boundAlone, services: map[string]*plainService{}}
}

// noNotices are those of endpoints that ask for nothing.
type noNotices struct{}

func (noNotices) Wait(string, time.Time) time.Duration { return 0 }
func (noNotices) Sent(string, time.Time)               {}
func (noNotices) Rests(string, time.Time) bool         { return false }

func (t *plainTable) service(name string) *plainService {
	s := t.services[name]
	if s == nil {
		s = &plainService{byID: map[string]*plainEndpoint{}}
		t.bound(&s.budget)
		t.services[name] = s
	}
	return s
}

// set replaces the list and keeps what is known of endpoints that stay.
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
			n = &plainEndpoint{slow: slowStart}
		}
		n.knownEndpoint = e
		t.service(e.Service).byID[e.ID] = n
	}
}

// taken is an endpoint with a call of this box in progress. The copy is as the list said
// when it was chosen: the list may change meanwhile.
type taken struct {
	Endpoint
	seen record.Seen
	// in is the table's own entry; only the table touches it.
	in *plainEndpoint
}

// takes says whether an endpoint of a service may get a call from this box that was not tried there yet.
// Otherwise wait is how long it is throttled, and 0 if it is not. The lock is held.
func (t *plainTable) takes(e *plainEndpoint, region string, now time.Time, tried map[string]bool) (yes bool, wait time.Duration) {
	if !e.open() || e.Region != region || e.cold(now) {
		return false, 0
	}
	wait = t.notices.Wait(e.ID, now)
	return wait == 0 && !tried[e.ID], wait
}

// another says whether a call could go on to an endpoint that was not tried yet.
func (t *plainTable) another(service, region string, now time.Time, tried map[string]bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.service(service).byID {
		if yes, _ := t.takes(e, region, now, tried); yes {
			return true
		}
	}
	return false
}

// choose takes the endpoint that is expected to answer first among those of a region that stay and
// were not tried yet; nil if there is none. Endpoints set aside are a last resort. Where there is
// none, wait is the time until the first one that is throttled takes a call, and 0 if none is.
func (t *plainTable) choose(service, region string, now time.Time, tried map[string]bool) (_ *taken, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *plainEndpoint
	least, compared := 0.0, 0
	for _, e := range t.service(service).byID {
		yes, d := t.takes(e, region, now, tried)
		if !yes {
			if d > 0 && (wait == 0 || d < wait) {
				wait = d
			}
			continue
		}
		compared++
		cost := e.slow * float64(1+e.busy) * (1 + failCost*e.failShare(now)) * (1 + 0.1*rand.Float64())
		if e.Hall != t.hall {
			cost *= farCost
		}
		if now.Before(e.until) {
			cost += asideFor.Seconds() * 10
		}
		if best == nil || cost < least {
			best, least = e, cost
		}
	}
	if best == nil {
		return nil, wait
	}
	out := &taken{Endpoint: best.Endpoint, in: best, seen: record.Seen{
		Compared: compared, Calls: best.busy, Failures: best.failures,
		Mean: time.Duration(best.slow * float64(time.Second)),
	}}
	best.busy++
	best.usedAt = now
	t.notices.Sent(best.ID, now)
	return out, 0
}

// done takes the end of a call: how long its answer took, or that there was none.
func (t *plainTable) done(c *taken, now time.Time, took time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := c.in
	e.busy--
	e.failing, e.ended = e.failShare(now)*(1-failBlend), now
	if ok {
		if e.failures >= failuresAside {
			t.believed(decide.Believed{Engine: e.ID, State: decide.Usable})
		}
		e.failures = 0
		e.until = time.Time{}
		e.slow += slowBlend * (took.Seconds() - e.slow)
		return
	}
	e.failing += failBlend
	e.failures++
	if e.failures >= failuresAside {
		e.until = now.Add(asideFor)
		t.believed(decide.Believed{Engine: e.ID, State: decide.SetAside, Until: e.until})
	}
}

// boundRetries sets what this box may spend at each service, of those that come later too.
func (t *plainTable) boundRetries(bound func(*retry.Budget)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound = bound
	for _, s := range t.services {
		bound(&s.budget)
	}
}

// running counts this box's calls in progress at a service.
func (t *plainTable) running(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.service(service).byID {
		n += e.busy
	}
	return n
}

// budgetOf returns the retry budget of a service.
func (t *plainTable) budgetOf(service string) *retry.Budget {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &t.service(service).budget
}

// release gives an endpoint back that was chosen and not called.
func (t *plainTable) release(c *taken) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.in.busy--
}
