package slots

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// sim runs events in virtual time.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	events eventHeap
	seq    int
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSim(seed uint64) *sim { return &sim{now: epoch, rand: rand.New(rand.NewPCG(seed, 1))} }

func (s *sim) at(t time.Time, run func()) {
	s.seq++
	heap.Push(&s.events, event{t, s.seq, run})
}

func (s *sim) after(d time.Duration, run func()) { s.at(s.now.Add(d), run) }

// run runs the events up to a time since the start.
func (s *sim) run(until time.Duration) {
	end := epoch.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) elapsed() time.Duration { return s.now.Sub(epoch) }

// poisson calls arrive at random times between two times, rate times per second on average.
func (s *sim) poisson(from, to time.Duration, rate float64, arrive func()) {
	var next func(t time.Time)
	next = func(t time.Time) {
		t = t.Add(seconds(s.rand.ExpFloat64() / rate))
		if t.Before(epoch.Add(to)) {
			s.at(t, func() { arrive(); next(s.now) })
		}
	}
	next(epoch.Add(from))
}

// simEndpoint is an endpoint with a number of slots and a queue. It rejects calls while its queue is full.
type simEndpoint struct {
	*sim
	id, hall     string
	slots, queue int
	// factor is by how much calls that start now take longer.
	factor  float64
	running int
	waiting []func()
	// started and served count calls, servedSlow those that started while factor was over 1.
	started, served, servedSlow, rejected int
	// most is the highest number of calls in progress.
	most int
}

const (
	simService = 30 * time.Millisecond
	simSpread  = 0.5
	simLong    = 0.01
	longFactor = 5
)

// service returns the work of a call: lognormal with one call in a hundred five times as long, with a mean of 30 ms.
func (e *simEndpoint) service() time.Duration {
	mean := simService.Seconds() / (1 + simLong*(longFactor-1))
	s := mean * math.Exp(simSpread*e.rand.NormFloat64()-simSpread*simSpread/2)
	if e.rand.Float64() < simLong {
		s *= longFactor
	}
	return seconds(s * e.factor)
}

// call runs a call and reports its outcome.
func (e *simEndpoint) call(done func(Outcome)) {
	start := func() {
		e.running++
		e.started++
		slow := e.factor > 1
		e.after(e.service(), func() {
			e.running--
			e.served++
			if slow {
				e.servedSlow++
			}
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next()
			}
			done(Answered)
		})
	}
	e.most = max(e.most, e.running+len(e.waiting)+1)
	switch {
	case e.running < e.slots:
		start()
	case len(e.waiting) < e.queue:
		e.waiting = append(e.waiting, start)
	default:
		e.rejected++
		done(Rejected)
	}
}

// simCall is a call of a caller to a box.
type simCall struct {
	account  string
	weight   float64
	priority int
	// returning means that the caller was refused before.
	returning bool
	arrived   time.Duration
}

// callResult is how a call ended.
type callResult struct {
	simCall
	ended      time.Duration
	answered   bool
	retryAfter time.Duration // If refused.
}

func (r callResult) took() time.Duration { return r.ended - r.arrived }

func (r callResult) onTime() bool { return r.answered && r.took() <= simTarget }

const (
	simTarget  = 150 * time.Millisecond
	simTimeout = 800 * time.Millisecond
	simBoxes   = 23
	// The latency of one pass between halls is that of deployment A.
	passBetween = 900 * time.Microsecond
	passWithin  = 200 * time.Microsecond
)

// simFleet is a number of boxes in three halls that send their calls to the same endpoints.
type simFleet struct {
	*sim
	endpoints []*simEndpoint
	// serve sends a call that arrived at a box to an endpoint.
	serve   func(box int, c simCall, end func(answered bool, retryAfter time.Duration))
	results []callResult
	retry   bool // Refused callers return once.
	calls   int
}

func hallOf(box int) string { return fmt.Sprintf("hall%d", box%3) }

func pass(from, to string) time.Duration {
	if from == to {
		return passWithin
	}
	return passBetween
}

func newFleet(seed uint64, endpoints ...*simEndpoint) *simFleet {
	f := &simFleet{sim: newSim(seed), endpoints: endpoints}
	for _, e := range endpoints {
		e.sim = f.sim
		e.factor = 1
	}
	return f
}

func (f *simFleet) endpoint(id string) *simEndpoint {
	return f.endpoints[slices.IndexFunc(f.endpoints, func(e *simEndpoint) bool { return e.id == id })]
}

// arrive has a call arrive at a random box.
func (f *simFleet) arrive(c simCall) {
	box := f.rand.IntN(simBoxes)
	c.arrived = f.elapsed()
	f.serve(box, c, func(answered bool, retryAfter time.Duration) {
		f.results = append(f.results, callResult{c, f.elapsed(), answered, retryAfter})
		if !answered && f.retry && !c.returning {
			again := c
			again.returning = true
			f.after(retryAfter, func() { f.arrive(again) })
		}
	})
}

// useOwner has the boxes ask an owner in hall0 for a slot of each call.
func (f *simFleet) useOwner(o *simOwner) {
	f.serve = func(box int, c simCall, end func(bool, time.Duration)) {
		f.calls++
		id := fmt.Sprint("call", f.calls)
		hall := hallOf(box)
		arrived := f.now
		toOwner := pass(hall, "hall0")
		r := Request{
			ID: id, Box: fmt.Sprint("box", box), Hall: hall, Account: c.account, Weight: c.weight, Priority: c.priority,
			OnTime: simTarget, Left: simTimeout, Returning: c.returning,
		}
		f.after(toOwner, func() {
			o.acquire(r, func(d Decision) {
				f.after(toOwner, func() {
					if d.State == Refused {
						end(false, d.RetryAfter)
						return
					}
					f.callEndpoint(hall, d.Endpoint, func(outcome Outcome, took time.Duration) {
						f.after(toOwner, func() { o.release(id, Result{outcome, took}) })
						end(outcome == Answered && f.now.Sub(arrived) <= simTimeout, time.Second)
					})
				})
			})
		})
	}
}

// callEndpoint sends a call from a box to an endpoint.
func (f *simFleet) callEndpoint(hall, id string, done func(Outcome, time.Duration)) {
	sent := f.now
	e := f.endpoint(id)
	f.after(pass(hall, e.hall), func() {
		e.call(func(o Outcome) {
			f.after(pass(hall, e.hall), func() { done(o, f.now.Sub(sent)) })
		})
	})
}

// useOwnCalls has each box select endpoints by its own calls only: the lowest mean latency times calls in progress.
// Two failures in a row set an endpoint aside, and a rejection is a failure. That was the selection before slots were
// shared.
func (f *simFleet) useOwnCalls() {
	type state struct {
		mean       float64
		inFlight   int
		failures   int
		asideUntil time.Time
	}
	boxes := make([]map[string]*state, simBoxes)
	for i := range boxes {
		boxes[i] = map[string]*state{}
		for _, e := range f.endpoints {
			boxes[i][e.id] = &state{mean: initialService}
		}
	}
	f.serve = func(box int, _ simCall, end func(bool, time.Duration)) {
		hall, arrived := hallOf(box), f.now
		tried := map[string]bool{}
		var attempt func()
		attempt = func() {
			best, bestCost := "", 0.0
			for _, e := range f.endpoints {
				s := boxes[box][e.id]
				cost := s.mean * float64(1+s.inFlight) * (1 + 0.1*f.rand.Float64())
				if f.now.Before(s.asideUntil) {
					cost += 15
				}
				if !tried[e.id] && (best == "" || cost < bestCost) {
					best, bestCost = e.id, cost
				}
			}
			if best == "" {
				end(false, 250*time.Millisecond)
				return
			}
			tried[best] = true
			s := boxes[box][best]
			s.inFlight++
			f.callEndpoint(hall, best, func(o Outcome, took time.Duration) {
				s.inFlight--
				if o == Answered {
					s.failures, s.asideUntil = 0, time.Time{}
					s.mean += 0.2 * (took.Seconds() - s.mean)
					end(f.now.Sub(arrived) <= simTimeout, time.Second)
					return
				}
				if s.failures++; s.failures >= 2 {
					s.asideUntil = f.now.Add(setAsideDuration)
				}
				attempt()
			})
		}
		attempt()
	}
}

// between returns the results of calls that match, by the time at which they arrived.
func (f *simFleet) between(from, to time.Duration, match func(callResult) bool) []callResult {
	var out []callResult
	for _, r := range f.results {
		if r.arrived >= from && r.arrived < to && (match == nil || match(r)) {
			out = append(out, r)
		}
	}
	return out
}

// goodput returns the answers per second that were given on time between two times.
func (f *simFleet) goodput(from, to time.Duration) float64 {
	n := 0
	for _, r := range f.results {
		if r.onTime() && r.ended >= from && r.ended < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

func median(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[len(list)/2]
}
