package relay

import (
	"sync"
	"time"

	"github.com/stoatramp/stoatramp/internal/clock"
)

// This file finds out whether the end of a stream without a frame may be the stop of its run. An engine that is asked to
// migrate a run stops it and closes its stream, which is also how such a stream ends. Only an answer with the handle of the
// run's memory says which of the two it was: a faulty engine may answer anything else after the stop, and a repeated request
// finds no run if the first one has stopped it. So any request that may have arrived leaves the end in doubt, until the run
// shows that it goes on: bytes of the stream arrive after the engine has answered.

// lifeMargin is how long after the answer to a migration request bytes of the stream don't show that the run goes on. Bytes
// that were sent before the answer may arrive after it, since they come over another connection.
const lifeMargin = 50 * time.Millisecond

// stopRequests are the requests of a flight that may have stopped runs. The zero value is ready to use.
type stopRequests struct {
	mu       sync.Mutex
	byEngine map[string]*stopRequest
}

// stopRequest is what is known of the requests to one engine.
type stopRequest struct {
	// pending is set while a request is not settled.
	pending bool
	// unanswered is set once a request that may have arrived got no answer. The engine may carry it out at any time.
	unanswered bool
	// answeredAt is when the engine answered a request without naming the memory of a stopped run. It is zero if there was no
	// such answer since the current run began, or if the run has gone on after it.
	answeredAt time.Time
}

// engine returns the entry of an engine. s.mu is held.
func (s *stopRequests) engine(id string) *stopRequest {
	e := s.byEngine[id]
	if e == nil {
		if s.byEngine == nil {
			s.byEngine = map[string]*stopRequest{}
		}
		e = &stopRequest{}
		s.byEngine[id] = e
	}
	return e
}

// begin records that a request is about to be sent.
func (s *stopRequests) begin(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engine(engine).pending = true
}

// settle records how a request was answered.
func (s *stopRequests) settle(engine string, r *migrationResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engine(engine)
	e.pending = false
	e.unanswered = e.unanswered || r.unanswered
	if r.source.Handle == "" && !r.answeredAt.IsZero() {
		e.answeredAt = r.answeredAt
	}
}

// beginRun records that a new run of the stream is sent to an engine. Requests that the engine has answered don't stop it.
func (s *stopRequests) beginRun(engine string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byEngine[engine]; e != nil {
		e.answeredAt = time.Time{}
	}
}

// mayHaveStopped reports whether a request may have stopped the current run at an engine.
func (s *stopRequests) mayHaveStopped(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.byEngine[engine]
	return e != nil && (e.pending || e.unanswered || !e.answeredAt.IsZero())
}

// noteBytes records that bytes of the stream arrived from an engine after a time.
func (s *stopRequests) noteBytes(engine string, after time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.byEngine[engine]; e != nil && after.Sub(e.answeredAt) > lifeMargin {
		e.answeredAt = time.Time{}
	}
}

// lifeReader reads the body of a stream without a frame, and notes when its bytes arrive.
type lifeReader struct {
	requests *stopRequests
	engine   string
	// isQuiet reports whether no byte of the body waits to be read. Bytes that are read next then arrive after the call.
	isQuiet func() bool
	read    func([]byte) (int, error)
}

func (r *lifeReader) Read(b []byte) (int, error) {
	if !r.requests.mayHaveStopped(r.engine) {
		return r.read(b)
	}
	quiet := r.isQuiet()
	began := clock.Now()
	n, err := r.read(b)
	if n > 0 && quiet {
		r.requests.noteBytes(r.engine, began)
	}
	return n, err
}
