// Package slots decides which plain calls get the slots of a service's endpoints. A slot is the capacity of an endpoint
// for one request at a time. Many boxes send calls to the same few endpoints, and each box knows only its own calls. One
// box, the owner, therefore grants the slots of a group of endpoints (a cell) to the calls of all boxes.
//
// A Dispatcher makes the decisions. It does no I/O, and receives the present time with each call. A Server lets
// goroutines wait for the decisions of a Dispatcher.
package slots

import "time"

// Endpoint is an endpoint whose slots a Dispatcher grants.
type Endpoint struct {
	ID, Hall string
	// Slots is how many requests the endpoint runs at the same time; 0 if unknown.
	Slots int
	// Usable is false while the endpoint is leaving or evacuated. It then gets no new grants.
	Usable bool
}

// Request asks for a slot for one call.
type Request struct {
	// ID names the grant later. The asking box chooses it; no two requests have the same ID.
	ID string
	// Box is the box that asks, and Hall the data hall of that box.
	Box, Hall string
	// Account is the client account of the call; empty if the call has none.
	Account string
	// Weight is the share of the account relative to other accounts; 0 stands for 1.
	Weight float64
	// Priority is the priority of the call, 0 the highest.
	Priority int
	// OnTime is the time within which the answer must be complete to be on time. It is 0 or less if the call can no
	// longer be on time.
	OnTime time.Duration
	// Left is the time until the caller or the route gives up.
	Left time.Duration
	// Returning means that the caller was refused before.
	Returning bool
	// Exclude lists endpoints that the call must not get.
	Exclude []string
}

// State is the state of a request for a slot.
type State uint8

// The states of a request.
const (
	Queued State = iota
	Granted
	Refused
)

// Reason says why a request for a slot was refused.
type Reason uint8

// The reasons of refusals.
const (
	// NoEndpoint means that no endpoint of the cell may get the call.
	NoEndpoint Reason = iota
	// TooLate means that no slot is expected to come free in time.
	TooLate
	// QueueFull means that too many requests wait already.
	QueueFull
	// Stopping means that the owner stops. Another box is then the owner.
	Stopping
)

func (r Reason) String() string {
	return [...]string{"no_endpoint", "too_late", "queue_full", "stopping"}[r]
}

// Decision is the answer to a request for a slot.
type Decision struct {
	State State
	// Endpoint is the endpoint of the granted slot.
	Endpoint string
	// Reason is valid only if State is Refused.
	Reason Reason
	// RetryAfter is when a retry of a refused request may find a slot; 0 if a retry would not help.
	RetryAfter time.Duration
	// Wait is the expected wait of a queued request, and the actual wait of a granted one.
	Wait time.Duration
	// Waiting is the number of requests ahead, InUse the number of granted slots, and Limit how many may be granted, at
	// the time of the decision.
	Waiting, InUse, Limit int
}

// Change is a decision on a request that was queued.
type Change struct {
	ID string
	Decision
}

// Outcome says how a call with a granted slot ended.
type Outcome uint8

// The outcomes of calls.
const (
	// Answered means that the endpoint ran the call and gave an answer other than an error.
	Answered Outcome = iota
	// Failed means that the endpoint answered with an error, or gave no whole answer.
	Failed
	// Rejected means that the endpoint was full and did not run the call.
	Rejected
	// Reset means that the endpoint closed the connection before it read the call.
	Reset
	// Unused means that the call was not sent to the endpoint, or that the request for a slot was withdrawn.
	Unused
)

// Result is how a call with a granted slot ended, and how long it took.
type Result struct {
	Outcome Outcome
	Took    time.Duration
}
