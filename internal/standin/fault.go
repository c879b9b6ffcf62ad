package standin

import (
	"sync/atomic"
	"time"
)

// Do is what a fault makes an engine do.
type Do uint8

// The faults.
const (
	Nothing       Do = iota
	Refuse           // Answer that the request was not run.
	DropAfterRead    // Read the request, run nothing, drop the connection.
	DropAfterRun     // Run the prefill, keep its result, drop the connection.
	Stall            // Wait for For before answering.
	ExpireAtOnce     // Forget the prefill's result at once.
	Cross            // Send the answer, or chunk After, of another request.
	Repeat           // Send the chunk before After twice.
	Skip             // Leave out chunk After.
	Truncate         // Close the stream cleanly after After chunks.
	DropMidway       // Drop the connection after After chunks.
	GoSilent         // Make no more tokens after After.
)

// At says at which call a fault strikes.
type At uint8

// The calls.
const (
	AtPrefill At = iota
	AtDecode
)

// Fault is one scripted failure.
type Fault struct {
	At    At
	Do    Do
	After int
	For   time.Duration
	// Times is how many calls it strikes; 0 means one.
	Times int
}

// armed is a fault that waits for its calls, perhaps on several engines.
type armed struct {
	Fault
	left *atomic.Int32
}

// Fail scripts a fault for the next calls that reach any of the engines.
func Fail(f Fault, engines ...*Engine) {
	left := &atomic.Int32{}
	left.Store(int32(max(1, f.Times)))
	for _, e := range engines {
		e.mu.Lock()
		e.faults = append(e.faults, armed{f, left})
		e.mu.Unlock()
	}
}

// takeFault returns the fault that strikes this call, if any.
func (e *Engine) takeFault(at At) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.faults {
		if e.faults[i].At == at && e.faults[i].left.Add(-1) >= 0 {
			return e.faults[i].Fault
		}
	}
	return Fault{}
}
