package standin

import (
	"sync/atomic"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind uint8

// The faults.
const (
	NoFault        FaultKind = iota
	Refuse                   // Answer that the request was not run.
	DropAfterRead            // Read the request, run nothing, drop the connection.
	DropAfterRun             // Run the prefill, keep its result, drop the connection.
	Stall                    // Wait for For before answering.
	ExpireAtOnce             // Drop the prefill result at once.
	AnswerOfOther            // Send the answer, or chunk After, of another request.
	Repeat                   // Send the chunk before After twice.
	Skip                     // Leave out chunk After.
	Truncate                 // Close the stream cleanly after After chunks.
	DropMidway               // Drop the connection after After chunks.
	StopGenerating           // Generate no more tokens after After.
)

// CallKind is the kind of call that a fault applies to.
type CallKind uint8

// The calls.
const (
	AtPrefill CallKind = iota
	AtDecode
)

// Fault is one scripted failure.
type Fault struct {
	Call  CallKind
	Kind  FaultKind
	After int
	For   time.Duration
	// Times is how many calls the fault applies to; 0 means one.
	Times int
}

// pendingFault is a fault that has not yet been applied to all of its calls. Several engines may share it.
type pendingFault struct {
	Fault
	remaining *atomic.Int32
}

// InjectFault applies a fault to the next calls that reach any of the engines.
func InjectFault(f Fault, engines ...*Engine) {
	remaining := &atomic.Int32{}
	remaining.Store(int32(max(1, f.Times)))
	for _, e := range engines {
		e.mu.Lock()
		e.faults = append(e.faults, pendingFault{f, remaining})
		e.mu.Unlock()
	}
}

// takeFault returns the fault to apply to this call, if any.
func (e *Engine) takeFault(at CallKind) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.faults {
		if e.faults[i].Call == at && e.faults[i].remaining.Add(-1) >= 0 {
			return e.faults[i].Fault
		}
	}
	return Fault{}
}
