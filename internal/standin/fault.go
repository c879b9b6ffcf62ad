package standin

import (
	"sync/atomic"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind uint8

// The faults. After and For are fields of Fault. The chunks of a stream are numbered from 0.
const (
	NoFault        FaultKind = iota
	Refuse                   // Refuse the call and say that it was not run.
	DropAfterRead            // Read the request, run nothing, and drop the connection.
	DropAfterRun             // Process the prompt, then drop the connection without keeping the KV cache.
	Stall                    // Wait for the duration For before answering.
	ExpireAtOnce             // Answer the prefill, but keep no KV cache.
	AnswerOfOther            // Answer a prefill with another request's id, or send a chunk of another request before chunk After.
	Repeat                   // Send the chunk before chunk After a second time.
	Skip                     // Leave out chunk After.
	Truncate                 // End the response properly after After chunks, without the end marker.
	DropMidway               // Drop the connection after After chunks.
	StopGenerating           // Stop generating after After tokens, and keep the connection open.
)

// CallKind is the kind of call that a fault applies to: prefill or decode.
type CallKind uint8

// The kinds of calls.
const (
	AtPrefill CallKind = iota
	AtDecode
)

// Fault is a failure that a test makes an engine show.
type Fault struct {
	Call  CallKind
	Kind  FaultKind
	After int
	For   time.Duration
	// Times is the number of calls that the fault applies to; 0 means one call.
	Times int
}

// pendingFault is a fault and the number of calls that it still applies to. Several engines may share this number.
type pendingFault struct {
	Fault
	remaining *atomic.Int32
}

// InjectFault makes the next f.Times calls of kind f.Call fail, counted over all the given engines.
func InjectFault(f Fault, engines ...*Engine) {
	remaining := &atomic.Int32{}
	remaining.Store(int32(max(1, f.Times)))
	for _, e := range engines {
		e.mu.Lock()
		e.faults = append(e.faults, pendingFault{f, remaining})
		e.mu.Unlock()
	}
}

// takeFault returns the fault to apply to a call of this kind. If there is none, the Kind of the returned fault is
// NoFault.
func (e *Engine) takeFault(kind CallKind) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.faults {
		if e.faults[i].Call == kind && e.faults[i].remaining.Add(-1) >= 0 {
			return e.faults[i].Fault
		}
	}
	return Fault{}
}
