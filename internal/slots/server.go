package slots

import (
	"context"
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// Server lets goroutines wait for the decisions of a Dispatcher. Its methods may be called at the same time.
type Server struct {
	clock func() time.Time

	mu sync.Mutex
	d  *Dispatcher
	// pending has the queued requests that goroutines wait for.
	pending map[string]*pending
	// timer calls step when the Dispatcher must decide. timerAt is the time it is set to, zero if it is not set.
	timer   *time.Timer
	timerAt time.Time
}

// pending is a queued request. Several goroutines wait for it if the request was sent more than once.
type pending struct {
	decided chan struct{} // Closed when decision is set.
	// decision must be read only after decided is closed.
	decision Decision
	waiting  int  // The goroutines that wait.
	taken    bool // A goroutine has returned the decision.
}

// NewServer returns a Server without endpoints.
func NewServer(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clock.Now
	}
	return &Server{clock: o.Clock, d: NewDispatcher(o), pending: map[string]*pending{}}
}

// Acquire asks for a slot and waits until the request is granted or refused. If the request has to wait, Acquire first
// calls queued, which may be nil, with the expected wait. If ctx ends meanwhile, the request is withdrawn and refused as
// TooLate. busy reports whether the box should go on asking.
func (s *Server) Acquire(ctx context.Context, r Request, queued func(Decision)) (d Decision, busy bool) {
	s.mu.Lock()
	if ctx.Err() != nil {
		defer s.mu.Unlock()
		return Decision{State: Refused, Reason: TooLate}, s.finish(s.clock())
	}
	now := s.clock()
	d = s.d.Acquire(now, r)
	if d.State != Queued {
		defer s.mu.Unlock()
		return d, s.finish(now)
	}
	p := s.pending[r.ID]
	if p == nil {
		p = &pending{decided: make(chan struct{})}
		s.pending[r.ID] = p
	}
	p.waiting++
	s.flush(now)
	s.mu.Unlock()

	if queued != nil {
		queued(d)
	}
	select {
	case <-p.decided:
	case <-ctx.Done():
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	now = s.clock()
	p.waiting--
	if ctx.Err() == nil {
		p.taken = true
		return p.decision, s.finish(now)
	}
	if p.waiting == 0 && !p.taken {
		// Withdraws the request, or frees the slot if it was granted meanwhile.
		s.d.Release(now, r.ID, Result{Outcome: Unused})
		if s.pending[r.ID] == p {
			delete(s.pending, r.ID)
		}
	}
	return Decision{State: Refused, Reason: TooLate}, s.finish(now)
}

// Release ends a grant, or withdraws a queued request.
func (s *Server) Release(id string, res Result) (busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.d.Release(now, id, res)
	s.decide(id, Decision{State: Refused, Reason: TooLate})
	return s.finish(now)
}

// SetEndpoints replaces the list of endpoints.
func (s *Server) SetEndpoints(list []Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.d.SetEndpoints(now, list)
	s.flush(now)
}

// SetPart changes Options.Part.
func (s *Server) SetPart(part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.d.SetPart(now, part)
	s.flush(now)
}

// Stop refuses all requests that wait, and all later ones, with Stopping. Grants can still be released.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	for _, c := range s.d.Stop(now) {
		s.decide(c.ID, c.Decision)
	}
	s.flush(now)
}

// Snapshot returns the present state.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	out := s.d.Snapshot(now)
	s.flush(now)
	return out
}

// decide wakes the goroutines that wait for a request. s.mu is held.
func (s *Server) decide(id string, d Decision) {
	if p := s.pending[id]; p != nil {
		p.decision = d
		close(p.decided)
		delete(s.pending, id)
	}
}

// finish ends a call of a method: it hands out the decisions that the call led to. s.mu is held.
func (s *Server) finish(now time.Time) (busy bool) {
	busy = s.d.Busy(now)
	s.flush(now)
	return busy
}

// flush hands out the decisions that are due and sets the timer for the next ones. s.mu is held.
func (s *Server) flush(now time.Time) {
	for _, c := range s.d.Step(now) {
		s.decide(c.ID, c.Decision)
	}
	next, ok := s.d.Next(now)
	if !ok {
		next = time.Time{}
	}
	if next.Equal(s.timerAt) {
		return
	}
	s.timerAt = next
	if !ok {
		s.timer.Stop()
		return
	}
	if s.timer == nil {
		s.timer = time.AfterFunc(next.Sub(now), s.step)
	} else {
		s.timer.Reset(next.Sub(now))
	}
}

// step is called by the timer.
func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerAt = time.Time{}
	s.flush(s.clock())
}
